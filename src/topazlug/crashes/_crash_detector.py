"""Finds out whether a replica has crashed, when a connection to it ends.

A connection that ends in the middle of an answer shows little: replicas cut
off answers, reset connections that are too many, and links break. A replica
that has crashed refuses new connections, or a relay before it closes them,
and its entry lapses.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import enum
import math
from typing import final

import gevent
from gevent import event
from gevent import socket

from topazlug import _clock
from topazlug import _ids
from topazlug import _logs
from topazlug.targets import _target
from topazlug.targets import _target_runs
from topazlug.targets import _targets

_log = _logs.logger("crashes")
# A replica in the same region refuses a connection in a few milliseconds; one
# that says nothing for so long is dark or cut off.
_CONNECT_TIMEOUT_SECONDS = 0.25
# A relay between takes connections for a replica that has ended, and closes
# them when it can't connect further; that takes a few milliseconds.
_RELAY_CLOSE_SECONDS = 0.05
# One that takes connections is not asked again sooner, however many answers
# it breaks off.
_RECHECK_SECONDS = 1.0
# Requests that ended this long before the crash was seen may have been what
# crashed it: callers that left, and what was lost while no check was due.
_RECENT_RUN_SECONDS = 2.0
# Where more replicas than this refuse connections within half a second, this
# daemon may be cut off from all of them, or a rack has lost its power. Then
# only the lapse of an entry counts as a crash. Requests that crash replicas
# may come several at once, more so in larger groups.
_MAX_SIMULTANEOUS = 2
_MAX_SIMULTANEOUS_FRACTION = 0.125
_SIMULTANEOUS_SECONDS = 0.5
_MAX_REPORTED = 4096

OnCrash = Callable[[_targets.Target, list[_target_runs.Run]], None]


class _ConnectResult(enum.Enum):
    """What became of an attempt to connect."""

    TAKEN = "taken"
    REFUSED = "refused"
    NONE = "none"


@final
class CrashDetector:
    """Tells of crashes, with what this daemon had running there.

    Parameters
    ----------
    runs : RunBook
        What runs where.
    listed : callable
        Gives the platform's list of targets by replica.
    is_leaving : callable
        Says whether a target leaves as planned.
    crashed : callable
        Gets the target and this daemon's runs there, once for each start.
    clock : Clock
        Time.
    """

    def __init__(
        self,
        *,
        runs: _target_runs.RunBook,
        listed: Callable[[], Mapping[_ids.ReplicaId, _targets.Target]],
        is_leaving: Callable[[_targets.Target], bool],
        crashed: OnCrash,
        clock: _clock.Clock,
    ) -> None:
        self._runs = runs
        self._listed = listed
        self._is_leaving = is_leaving
        self._crashed = crashed
        self._clock = clock
        self._check_by_incarnation: dict[_target.Start, event.Event] = {}
        self._checked_at: dict[_target.Start, float] = {}
        self._refused_at: collections.deque[float] = collections.deque()
        # Starts whose crash was told, the oldest first.
        self._reported: collections.OrderedDict[_target.Start, None]
        self._reported = collections.OrderedDict()
        runs.on_end(self._on_run_end)

    def wait_for_check(self, target: _targets.Target) -> None:
        """Wait until it is known whether a target takes connections."""
        incarnation = _target.start_of(target)
        check = self._check_by_incarnation.get(incarnation)
        if check is not None and not self._recheck_delay(incarnation):
            check.wait(_CONNECT_TIMEOUT_SECONDS)

    def wait_for_other_checks(
        self, fingerprint: _ids.Fingerprint, target: _targets.Target
    ) -> None:
        """Wait for the checks of other targets that lost such a request."""
        for incarnation in list(self._check_by_incarnation):
            if incarnation == _target.start_of(target) or self._recheck_delay(
                incarnation
            ):
                continue
            broken = self._runs.broken(
                incarnation, seconds=_RECENT_RUN_SECONDS
            )
            if any(run.fingerprint == fingerprint for run in broken):
                self._check_by_incarnation[incarnation].wait(
                    _CONNECT_TIMEOUT_SECONDS
                )

    def _on_run_end(self, run: _target_runs.Run) -> None:
        if run.end is not _target_runs.RunEnd.LOST:
            return
        incarnation = _target.start_of(run.target)
        if (
            incarnation in self._reported
            or incarnation in self._check_by_incarnation
        ):
            return
        # One that leaves as planned ends too, and cuts off what still runs.
        if not self._is_serving(run.target):
            return
        self._check_by_incarnation[incarnation] = event.Event()
        gevent.spawn_later(
            self._recheck_delay(incarnation), self._check, run.target
        )

    def _recheck_delay(self, incarnation: _target.Start) -> float:
        """Give the seconds until a start may be asked again."""
        now = self._clock.monotonic()
        again_at = (
            self._checked_at.get(incarnation, -math.inf) + _RECHECK_SECONDS
        )
        return max(0.0, again_at - now)

    def _is_serving(self, target: _targets.Target) -> bool:
        listed = self._listed().get(target.replica)
        if listed is None or self._is_leaving(listed):
            return False
        return listed.incarnation == target.incarnation

    def _check(self, target: _targets.Target) -> None:
        incarnation = _target.start_of(target)
        try:
            answer = _connect(target)
            if answer is _ConnectResult.REFUSED and self._few_refuse(target):
                runs = self._runs.running(incarnation)
                runs += self._runs.broken(
                    incarnation, seconds=_RECENT_RUN_SECONDS
                )
                self._report(target, runs)
        finally:
            self._record_check(incarnation)
            self._check_by_incarnation.pop(incarnation).set()

    def _record_check(self, incarnation: _target.Start) -> None:
        now = self._clock.monotonic()
        self._checked_at = {
            one: at
            for one, at in self._checked_at.items()
            if now - at < _RECHECK_SECONDS
        }
        self._checked_at[incarnation] = now

    def _few_refuse(self, target: _targets.Target) -> bool:
        """Say whether few replicas refuse connections at this moment."""
        group = sum(
            other.group == target.group for other in self._listed().values()
        )
        now = self._clock.monotonic()
        refused = self._refused_at
        while refused and now - refused[0] > _SIMULTANEOUS_SECONDS:
            refused.popleft()
        refused.append(now)
        return len(refused) <= max(
            _MAX_SIMULTANEOUS, _MAX_SIMULTANEOUS_FRACTION * group
        )

    def handle_list_change(
        self,
        before: Mapping[_ids.ReplicaId, _targets.Target],
        listed: Iterable[_targets.Target],
    ) -> None:
        """Look into starts that are off the list without having left.

        Parameters
        ----------
        before : mapping
            The list as it was.
        listed : iterable of Target
            The list as it is.
        """
        incarnations = {_target.start_of(target) for target in listed}
        for target in before.values():
            incarnation = _target.start_of(target)
            if incarnation in incarnations or incarnation in self._reported:
                continue
            if self._is_leaving(target):
                continue
            broken = [
                run
                for run in self._broken(incarnation)
                if _was_interrupted(run)
            ]
            if broken:
                gevent.spawn(self._check_expired, target, broken)

    def _broken(self, incarnation: _target.Start) -> list[_target_runs.Run]:
        return self._runs.broken(
            incarnation, seconds=_target_runs.KEPT_SECONDS
        )

    def _check_expired(
        self, target: _targets.Target, broken: list[_target_runs.Run]
    ) -> None:
        """Tell of a lapsed replica, unless it goes on taking connections.

        Some leave without saying so: their entry goes and they serve on for
        a while. An address that another has taken over says nothing of it.
        """
        is_replaced = any(
            other.host == target.host and other.port == target.port
            for other in self._listed().values()
        )
        if is_replaced or _connect(target) is not _ConnectResult.TAKEN:
            self._report(target, broken)

    def _report(
        self, target: _targets.Target, runs: list[_target_runs.Run]
    ) -> None:
        incarnation = _target.start_of(target)
        if incarnation in self._reported or not runs:
            return
        self._reported[incarnation] = None
        while len(self._reported) > _MAX_REPORTED:
            self._reported.popitem(last=False)
        _log.warning(
            "{replica} has crashed with {n} requests of this daemon",
            replica=target.replica,
            start=target.incarnation,
            group=target.group,
            n=len(runs),
            fingerprints=" ".join(sorted({run.fingerprint for run in runs})),
        )
        self._crashed(target, runs)


def _was_interrupted(run: _target_runs.Run) -> bool:
    ends = _target_runs.RunEnd
    return run.end in (ends.LOST, ends.SILENT)


def _connect(target: _targets.Target) -> _ConnectResult:
    try:
        connection = socket.create_connection(
            (target.host, target.port), timeout=_CONNECT_TIMEOUT_SECONDS
        )
    except ConnectionRefusedError:
        return _ConnectResult.REFUSED
    except OSError as error:
        _log.debug(
            "no word of {replica}: {why}",
            replica=target.replica,
            why=str(error),
        )
        return _ConnectResult.NONE
    try:
        return (
            _ConnectResult.TAKEN
            if _stays_open(connection)
            else _ConnectResult.REFUSED
        )
    finally:
        connection.close()


def _stays_open(connection: socket.socket) -> bool:
    connection.settimeout(_RELAY_CLOSE_SECONDS)
    try:
        return bool(connection.recv(1))
    except TimeoutError:
        return True
    except OSError:
        return False
