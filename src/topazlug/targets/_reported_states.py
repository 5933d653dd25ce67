"""States that targets have reported in their answers: leaving, in backoff.

A leaving target reports this in each answer, often before the platform's list
shows it: the store may be unavailable, or the target's entry late. A target
that rejects requests may request a backoff from the daemon that it answers,
and only that daemon receives this request.
"""

import collections
import math
from typing import final

import msgspec

from topazlug import _clock
from topazlug import _logs
from topazlug.targets import _target
from topazlug.targets import _target_report

_log = _logs.logger("replicas")
# Maximum number of processes tracked; those whose state changed longest ago
# are evicted. A process that has ended never returns, and its replica's id
# rarely does.
_MAX_PROCESSES = 20000


class _State(msgspec.Struct):
    leaving: bool = False
    backoff_until: float = -math.inf


@final
class ReportedStates:
    """States that replica processes have reported in their answers.

    Parameters
    ----------
    clock : Clock
        Time.
    """

    def __init__(self, *, clock: _clock.Clock) -> None:
        self._clock = clock
        self._state_by_process: collections.OrderedDict[
            _target.ReplicaProcess, _State
        ]
        self._state_by_process = collections.OrderedDict()

    def record(
        self, target: _target.Target, report: _target_report.TargetReport
    ) -> bool:
        """Record a target's report.

        Returns
        -------
        bool
            Whether it changes the target's state.
        """
        is_leaving = report.leaving and self._record_leaving(target)
        is_backoff = report.backoff > 0 and self._record_backoff(
            target, report.backoff
        )
        return is_leaving or is_backoff

    def _record_leaving(self, target: _target.Target) -> bool:
        if self.is_leaving(target):
            return False
        self._ensure_state(target).leaving = True
        _log.info(
            "{replica} reports that it is leaving",
            replica=target.replica,
            start=target.incarnation,
            listed_as_leaving=target.leaving,
        )
        return True

    def _record_backoff(self, target: _target.Target, seconds: float) -> bool:
        if not self._extend_backoff(target, seconds):
            return False
        _log.info(
            "{replica} requests a backoff of {seconds:.1f} s",
            replica=target.replica,
            seconds=seconds,
        )
        return True

    def record_peer_backoff(
        self, target: _target.Target, seconds: float
    ) -> None:
        """Record a backoff that holds for all daemons, as a peer reported."""
        if self._extend_backoff(target, seconds):
            _log.info(
                "peer reports a backoff of {replica}: {seconds:.1f} s "
                "remaining",
                replica=target.replica,
                seconds=seconds,
            )

    def _extend_backoff(self, target: _target.Target, seconds: float) -> bool:
        if seconds <= self.remaining_backoff(target):
            return False
        until = self._clock.monotonic() + seconds
        self._ensure_state(target).backoff_until = until
        return True

    def _ensure_state(self, target: _target.Target) -> _State:
        state_by_process = self._state_by_process
        process = _target.process_of(target)
        state = state_by_process.setdefault(process, _State())
        state_by_process.move_to_end(process)
        while len(state_by_process) > _MAX_PROCESSES:
            state_by_process.popitem(last=False)
        return state

    def _state(self, target: _target.Target) -> _State:
        return self._state_by_process.get(
            _target.process_of(target), _NO_REPORT
        )

    def is_leaving(self, target: _target.Target) -> bool:
        """Return whether a target has reported that it is leaving."""
        return self._state(target).leaving

    def is_unavailable(self, target: _target.Target) -> bool:
        """Return whether a target is leaving or in backoff."""
        return self.is_leaving(target) or self.remaining_backoff(target) > 0

    def remaining_backoff(self, target: _target.Target) -> float:
        """Return the seconds until a target's backoff ends, 0 if none."""
        until = self._state(target).backoff_until
        return max(0.0, until - self._clock.monotonic())


_NO_REPORT = _State()
