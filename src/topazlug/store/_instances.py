"""Client of the platform's instance list.

Reads the list at intervals and keeps a program's own entries on it. The list
lags behind, and may be unreachable for long. The last list read stays in use
until a newer one has been read completely.
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
    """State of an instance on the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


@final
class Instance(msgspec.Struct, kw_only=True, frozen=True):
    """One entry of the list.

    Attributes
    ----------
    group : str
        Pool of an engine, name of a plain service, fleet of a daemon.
    port : int
        For a daemon, the port at which it accepts peers.
    slots : int
        Requests that a target runs concurrently; 0 if not specified.
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


class _RawDocument(msgspec.Struct):
    instances: list[msgspec.Raw]


def decode(data: bytes) -> dict[str, Instance]:
    """Decode a list; return its instances by id.

    An entry that can't be decoded, such as one of a kind added later, is
    skipped, so that the others remain usable.

    Raises
    ------
    msgspec.MsgspecError
        If the data is not a list of instances.
    """
    try:
        found = msgspec.json.decode(data, type=_Document).instances
    except msgspec.ValidationError:
        raw_document = msgspec.json.decode(data, type=_RawDocument)
        found = [
            one for raw in raw_document.instances for one in _decode_entry(raw)
        ]
    return {instance.id: instance for instance in found}


def _decode_entry(raw: msgspec.Raw) -> list[Instance]:
    try:
        return [msgspec.json.decode(raw, type=Instance)]
    except msgspec.ValidationError as error:
        _log.warning("invalid entry of the instance list skipped: {}", error)
        return []


@final
class InstanceList:
    """Caches the instance list, and keeps own entries registered.

    Parameters
    ----------
    host, port
        Address at which the platform serves the list.
    timeout : float
        Maximum duration of one request, in seconds.
    interval : callable
        Returns the seconds until the next read. At the fleet's target size
        the list is 1.3 MB, so daemons share one rate of reads and send each
        other the changes.
    clock : Clock
        Source of monotonic time.

    Attributes
    ----------
    instances_by_id : Mapping
        The list that was read last; replaced, never changed in place.
    refreshed_at : float or None
        Monotonic time of the last successful read.
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
        self._renewer_by_id: dict[str, gevent.Greenlet] = {}
        self._reader: gevent.Greenlet | None = None
        self._http = _platform_http.PlatformHttp(
            host=host, port=port, timeout=timeout, clock=clock
        )

    def on_change(self, callback: Callable[[], None]) -> None:
        """Add a callback that is called after each change of the list."""
        self._callbacks.append(callback)

    def start(self) -> None:
        """Read the list at intervals from now on."""
        self._reader = _tasks.spawn(self._read_forever, clock=self._clock)

    def stop(self) -> None:
        """Stop reading and renewing; own entries are not removed."""
        greenlets = list(self._renewer_by_id.values())
        self._renewer_by_id.clear()
        if self._reader is not None:
            greenlets.append(self._reader)
        gevent.killall(greenlets, block=True)
        self._http.close()

    def refresh(self) -> None:
        """Read the list now.

        Raises
        ------
        StoreUnavailable
            If it can't be read; the last list read stays in use.
        """
        data = self._request("GET", LIST_PATH, b"")
        # At the fleet's target size the list is over a megabyte, and usually
        # unchanged. Hashing it costs far less than decoding it.
        fingerprint = xxhash.xxh3_128_digest(data)
        if fingerprint != self._fingerprint:
            self._replace(data)
            self._fingerprint = fingerprint
        self.refreshed_at = self._clock.monotonic()

    def register(self, instance: Instance) -> None:
        """Put an instance on the list and renew it in the background."""
        self._stop_renewing(instance.id)
        renewer = gevent.spawn(self._renew_forever, instance)
        self._renewer_by_id[instance.id] = renewer

    def unregister(self, instance_id: str) -> None:
        """Remove an instance from the list, in a single attempt.

        Raises
        ------
        StoreUnavailable
            If the platform did not confirm the removal.
        """
        self._stop_renewing(instance_id)
        self._request("DELETE", _instance_path(instance_id), b"")

    def _replace(self, data: bytes) -> None:
        try:
            instances = decode(data)
        except msgspec.MsgspecError as error:
            raise _errors.StoreUnavailable(
                f"the instance list can't be decoded: {error}"
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
                _log.warning("instance list could not be read: {}", error)
            # Without jitter, daemons that were started together would always
            # read at the same time.
            jitter = random.uniform(1 - INTERVAL_JITTER, 1 + INTERVAL_JITTER)
            self._clock.sleep(self._interval() * jitter)

    def _renew_forever(self, instance: Instance) -> None:
        body = msgspec.json.encode(instance)
        while True:
            delay = RENEWAL_SECONDS
            try:
                self._request("PUT", _instance_path(instance.id), body)
            except _errors.StoreUnavailable as error:
                _log.warning(
                    "registration of {} failed: {}", instance.id, error
                )
                delay = RETRY_SECONDS
            self._clock.sleep(delay)

    def _stop_renewing(self, instance_id: str) -> None:
        renewer = self._renewer_by_id.pop(instance_id, None)
        if renewer is not None:
            renewer.kill()

    def _request(self, method: str, path: str, body: bytes) -> bytes:
        try:
            answer = self._http.call(method, path, body=body)
        except _errors.StoreAmbiguous as error:
            # All three methods are idempotent, so they can be repeated.
            raise _errors.StoreUnavailable(error.message) from error
        if not 200 <= answer.status < 300:
            raise _platform_http.unavailable(answer)
        return answer.body


def _instance_path(instance_id: str) -> str:
    return f"{LIST_PATH}/{parse.quote(instance_id, safe='')}"
