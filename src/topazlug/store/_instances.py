"""The platform's list of instances: read at intervals, and written for us.

The list lags, and may be out of reach for long. What was read last stays in
force until a newer list is read whole.
"""

from collections.abc import Callable
from collections.abc import Mapping
import enum
import random
from typing import final
from urllib import parse

import gevent
import logbook
import msgspec
import xxhash

from topazlug import _clock
from topazlug import _errors
from topazlug import _tasks
from topazlug.store import _platform_http

LIST_PATH = "/instances"
RENEWAL_SECONDS = 5.0
RETRY_SECONDS = 0.5
INTERVAL_JITTER = 0.2

_log = logbook.Logger("topazlug.instances")


class InstanceKind(enum.Enum):
    """What runs on an instance."""

    DAEMON = "daemon"
    ENGINE = "engine"
    SERVICE = "service"


class InstanceState(enum.Enum):
    """What the platform says of an instance."""

    LIVE = "live"
    LEAVING = "leaving"


@final
class Instance(msgspec.Struct, kw_only=True, frozen=True):
    """One entry of the list.

    Attributes
    ----------
    group : str
        Pool of an engine, service of a plain service, fleet of a daemon.
    port : int
        For a daemon, the port for peers.
    slots : int
        Requests that a target runs at once; 0 where it says none.
    """

    id: str
    kind: InstanceKind
    group: str
    host: str
    port: int
    zone: str
    region: str = ""
    state: InstanceState = InstanceState.LIVE
    incarnation: int = 0
    slots: int = 0


class _Document(msgspec.Struct):
    instances: list[Instance]


class _LooseDocument(msgspec.Struct):
    instances: list[msgspec.Raw]


def decode(data: bytes) -> dict[str, Instance]:
    """Decode a list, by id.

    An entry that can't be read, such as one of a kind to come, is left out:
    it must not hide all others.

    Raises
    ------
    msgspec.MsgspecError
        If it is no list at all.
    """
    try:
        found = msgspec.json.decode(data, type=_Document).instances
    except msgspec.ValidationError:
        loose = msgspec.json.decode(data, type=_LooseDocument)
        found = [one for raw in loose.instances for one in _decoded(raw)]
    return {instance.id: instance for instance in found}


def _decoded(raw: msgspec.Raw) -> list[Instance]:
    try:
        return [msgspec.json.decode(raw, type=Instance)]
    except msgspec.ValidationError as error:
        _log.warning("entry left out of the list: {}", error)
        return []


@final
class InstanceList:
    """Keeps the last list, and this program's own entries on it.

    Parameters
    ----------
    host, port
        Where the platform serves the list.
    timeout : float
        Longest wait for one answer, in seconds.
    interval : callable
        Gives the seconds to the next read. At the fleet's target size the
        list is 1.3 MB, so daemons share one rate of reads and tell each
        other what is new on it.
    clock : Clock
        Source of monotonic time.

    Attributes
    ----------
    instances_by_id : Mapping
        The list as it was last read; replaced, never changed in place.
    refreshed_at : float or None
        Monotonic time of the last read that succeeded.
    """

    def __init__(
        self,
        *,
        host: str,
        port: int,
        timeout: float,
        interval: Callable[[], float],
        clock: _clock.Clock,
    ) -> None:
        self.instances_by_id: Mapping[str, Instance] = {}
        self.refreshed_at: float | None = None
        self._interval = interval
        self._clock = clock
        self._fingerprint = b""
        self._callbacks: list[Callable[[], None]] = []
        self._keeper_by_id: dict[str, gevent.Greenlet] = {}
        self._reader: gevent.Greenlet | None = None
        self._http = _platform_http.PlatformHttp(
            host=host, port=port, timeout=timeout, clock=clock
        )

    def on_change(self, callback: Callable[[], None]) -> None:
        """Have a callable called after each read that brought a change."""
        self._callbacks.append(callback)

    def start(self) -> None:
        """Read the list at intervals from now on."""
        self._reader = _tasks.spawn(self._read_forever, clock=self._clock)

    def stop(self) -> None:
        """Stop reading and renewing; entries stay on the list."""
        greenlets = list(self._keeper_by_id.values())
        self._keeper_by_id.clear()
        if self._reader is not None:
            greenlets.append(self._reader)
        gevent.killall(greenlets, block=True)
        self._http.close()

    def refresh(self) -> None:
        """Read the list now.

        Raises
        ------
        StoreUnavailable
            If it can't be read; the last one stays.
        """
        data = self._requested("GET", LIST_PATH, b"")
        # At the fleet's target size the list is a megabyte, and mostly
        # the same one: hashing it costs far less than decoding it.
        fingerprint = xxhash.xxh3_128_digest(data)
        if fingerprint != self._fingerprint:
            self._replace(data)
            self._fingerprint = fingerprint
        self.refreshed_at = self._clock.monotonic()

    def register(self, instance: Instance) -> None:
        """Put an instance on the list and keep it there, in its own time."""
        self._stop_keeper(instance.id)
        keeper = gevent.spawn(self._keep, instance)
        self._keeper_by_id[instance.id] = keeper

    def unregister(self, instance_id: str) -> None:
        """Take an instance off the list, in one attempt.

        Raises
        ------
        StoreUnavailable
            If the platform did not confirm it.
        """
        self._stop_keeper(instance_id)
        self._requested("DELETE", _path_of(instance_id), b"")

    def _replace(self, data: bytes) -> None:
        try:
            instances = decode(data)
        except msgspec.MsgspecError as error:
            raise _errors.StoreUnavailable(
                f"the list of instances can't be read: {error}"
            ) from error
        if instances != self.instances_by_id:
            self.instances_by_id = instances
            for callback in self._callbacks:
                callback()

    def _read_forever(self) -> None:
        while True:
            try:
                self.refresh()
            except _errors.StoreUnavailable as error:
                _log.warning("list of instances not read: {}", error)
            # Daemons that were started together would otherwise ask
            # together for good.
            jitter = random.uniform(1 - INTERVAL_JITTER, 1 + INTERVAL_JITTER)
            self._clock.sleep(self._interval() * jitter)

    def _keep(self, instance: Instance) -> None:
        body = msgspec.json.encode(instance)
        while True:
            pause = RENEWAL_SECONDS
            try:
                self._requested("PUT", _path_of(instance.id), body)
            except _errors.StoreUnavailable as error:
                _log.warning("{} not registered: {}", instance.id, error)
                pause = RETRY_SECONDS
            self._clock.sleep(pause)

    def _stop_keeper(self, instance_id: str) -> None:
        keeper = self._keeper_by_id.pop(instance_id, None)
        if keeper is not None:
            keeper.kill()

    def _requested(self, method: str, path: str, body: bytes) -> bytes:
        try:
            answer = self._http.call(method, path, body=body)
        except _errors.StoreAmbiguous as error:
            # All three methods are idempotent: doing it again settles it.
            raise _errors.StoreUnavailable(error.message) from error
        if not 200 <= answer.status < 300:
            raise _platform_http.unavailable(answer)
        return answer.body


def _path_of(instance_id: str) -> str:
    return f"{LIST_PATH}/{parse.quote(instance_id, safe='')}"
