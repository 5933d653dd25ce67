"""Detects crashes of replicas, by a check after a connection to one is lost.

A connection that ends in the middle of an answer proves little: replicas
truncate answers and reset connections above their limit, and links break. A
replica that has crashed refuses new connections, or a relay in front of it
closes them, and its entry expires.
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
# A replica in the same region refuses a connection in a few milliseconds. If
# there is no response for this long, it is down or unreachable.
_CONNECT_TIMEOUT_SECONDS = 0.25
# A relay accepts connections for a replica that has crashed, and closes them
# when it can't connect to the replica; that takes a few milliseconds.
_RELAY_CLOSE_SECONDS = 0.05
# Minimum time between checks of a replica that accepts connections, however
# many answers it truncates.
_RECHECK_SECONDS = 1.0
# Requests that ended within this time before a crash was detected may have
# caused it: their callers left, or they were lost while no check was due.
_RECENT_RUN_SECONDS = 2.0
# If more replicas than this refuse connections within half a second, this
# daemon may be cut off from all of them, or a rack may have lost power. Then
# only the expiry of an entry counts as a crash. Several requests that crash
# replicas may arrive together, so the limit grows with the group.
_MAX_SIMULTANEOUS = 2
_MAX_SIMULTANEOUS_FRACTION = 0.125
_SIMULTANEOUS_SECONDS = 0.5
_MAX_REPORTED = 4096
# Bounds the line that is logged at a crash.
_MAX_LOGGED = 16

OnCrash = Callable[[_targets.Target, list[_target_runs.Run]], None]


class _ConnectResult(enum.Enum):
    """Result of an attempt to connect.

    Attributes
    ----------
    ACCEPTED
        The connection was accepted and stayed open.
    REFUSED
        The connection was refused, or accepted and closed by a relay.
    NONE
        There was no response.
    """

    ACCEPTED = "taken"
    REFUSED = "refused"
    NONE = "none"


@final
class CrashDetector:
    """Reports crashes, with the requests that this daemon ran there.

    Parameters
    ----------
    runs : RunTracker
        Running and recent requests by target.
    listed : callable
        Returns the platform's list of targets by replica.
    is_leaving : callable
        Returns whether a target leaves as planned.
    on_crash : callable
        Called once for each incarnation that crashed, with the target and
        this daemon's runs there.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        *,
        runs: _target_runs.RunTracker,
        listed: Callable[[], Mapping[_ids.ReplicaId, _targets.Target]],
        is_leaving: Callable[[_targets.Target], bool],
        on_crash: OnCrash,
        clock: _clock.Clock,
    ) -> None:
        self._runs = runs
        self._listed = listed
        self._is_leaving = is_leaving
        self._on_crash = on_crash
        self._clock = clock
        self._check_by_process: dict[_target.ReplicaProcess, event.Event] = {}
        self._checked_at: dict[_target.ReplicaProcess, float] = {}
        self._refused_at: collections.deque[float] = collections.deque()
        # Incarnations whose crash was reported, oldest first.
        self._reported: collections.OrderedDict[_target.ReplicaProcess, None]
        self._reported = collections.OrderedDict()
        runs.on_end(self._on_run_end)

    def wait_for_check(self, target: _targets.Target) -> None:
        """Wait for a running check of a target, if there is one."""
        process = _target.process_of(target)
        check = self._check_by_process.get(process)
        if check is not None and not self._recheck_delay(process):
            check.wait(_CONNECT_TIMEOUT_SECONDS)

    def wait_for_other_checks(
        self, fingerprint: _ids.Fingerprint, target: _targets.Target
    ) -> None:
        """Wait for checks of other targets where the request was lost."""
        for process in list(self._check_by_process):
            if process == _target.process_of(target) or self._recheck_delay(
                process
            ):
                continue
            broken = self._runs.broken(process, seconds=_RECENT_RUN_SECONDS)
            if any(run.fingerprint == fingerprint for run in broken):
                self._check_by_process[process].wait(_CONNECT_TIMEOUT_SECONDS)

    def _on_run_end(self, run: _target_runs.Run) -> None:
        ends = _target_runs.RunEnd
        if run.end not in (ends.LOST, ends.UNDELIMITED):
            return
        process = _target.process_of(run.target)
        if process in self._reported or process in self._check_by_process:
            return
        # A target that leaves as planned ends too, and cuts off running
        # requests.
        if not self._is_serving(run.target):
            return
        self._check_by_process[process] = event.Event()
        gevent.spawn_later(
            self._recheck_delay(process), self._check, run.target
        )

    def _recheck_delay(self, process: _target.ReplicaProcess) -> float:
        """Return the seconds until an incarnation may be checked again."""
        now = self._clock.monotonic()
        again_at = self._checked_at.get(process, -math.inf) + _RECHECK_SECONDS
        return max(0.0, again_at - now)

    def _is_serving(self, target: _targets.Target) -> bool:
        listed = self._listed().get(target.replica)
        if listed is None or self._is_leaving(listed):
            return False
        return listed.incarnation == target.incarnation

    def _check(self, target: _targets.Target) -> None:
        process = _target.process_of(target)
        try:
            result = _connect(target)
            if result is _ConnectResult.REFUSED and self._few_replicas_refuse(
                target
            ):
                runs = self._runs.running(process)
                runs += self._runs.broken(process, seconds=_RECENT_RUN_SECONDS)
                self._report(target, runs)
        finally:
            self._save_check_time(process)
            self._check_by_process.pop(process).set()

    def _save_check_time(self, process: _target.ReplicaProcess) -> None:
        now = self._clock.monotonic()
        self._checked_at = {
            checked: at
            for checked, at in self._checked_at.items()
            if now - at < _RECHECK_SECONDS
        }
        self._checked_at[process] = now

    def _few_replicas_refuse(self, target: _targets.Target) -> bool:
        """Count a refusal; return whether few enough replicas refuse now."""
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
        """Check incarnations that disappeared from the list unplanned.

        Parameters
        ----------
        before : mapping
            The previous list.
        listed : iterable of Target
            The current list.
        """
        processes = {_target.process_of(target) for target in listed}
        for target in before.values():
            process = _target.process_of(target)
            if process in processes or process in self._reported:
                continue
            if self._is_leaving(target):
                continue
            broken = [
                run for run in self._broken(process) if _was_interrupted(run)
            ]
            if broken:
                gevent.spawn(self._check_expired, target, broken)

    def _broken(
        self, process: _target.ReplicaProcess
    ) -> list[_target_runs.Run]:
        return self._runs.broken(
            process, seconds=_target_runs.RETENTION_SECONDS
        )

    def _check_expired(
        self, target: _targets.Target, broken: list[_target_runs.Run]
    ) -> None:
        """Report a replica whose entry expired, unless it still serves.

        Some replicas leave unannounced: their entry is removed and they go on
        accepting connections for a while. If another target now has the
        address, connections to it prove nothing about the replica.
        """
        is_replaced = any(
            other.host == target.host and other.port == target.port
            for other in self._listed().values()
        )
        if is_replaced or _connect(target) is not _ConnectResult.ACCEPTED:
            self._report(target, broken)

    def _report(
        self, target: _targets.Target, runs: list[_target_runs.Run]
    ) -> None:
        process = _target.process_of(target)
        if process in self._reported or not runs:
            return
        self._reported[process] = None
        while len(self._reported) > _MAX_REPORTED:
            self._reported.popitem(last=False)
        _log.warning(
            "{replica} crashed while running {n} requests of this daemon",
            replica=target.replica,
            start=target.incarnation,
            group=target.group,
            n=len(runs),
            fingerprints=" ".join(sorted({run.fingerprint for run in runs})),
            requests=" ".join(_describe(run) for run in runs[:_MAX_LOGGED]),
        )
        self._on_crash(target, runs)


def _describe(run: _target_runs.Run) -> str:
    """Return a run's request, its prompt parts, and whether it had output."""
    request, _, _ = run.attempt.partition(" ")
    output = "none" if run.wrote_at == math.inf else "some"
    return f"{request}:{','.join(run.parts)}:{output}"


def _was_interrupted(run: _target_runs.Run) -> bool:
    ends = _target_runs.RunEnd
    return run.end in (ends.LOST, ends.TIMED_OUT)


def _connect(target: _targets.Target) -> _ConnectResult:
    try:
        connection = socket.create_connection(
            (target.host, target.port), timeout=_CONNECT_TIMEOUT_SECONDS
        )
    except ConnectionRefusedError:
        return _ConnectResult.REFUSED
    except OSError as error:
        _log.debug(
            "connecting to {replica} failed: {why}",
            replica=target.replica,
            why=str(error),
        )
        return _ConnectResult.NONE
    try:
        return (
            _ConnectResult.ACCEPTED
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
