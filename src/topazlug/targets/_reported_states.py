"""Which targets have said themselves that they want no new work.

A target that leaves says so in each answer. The platform's list may not say
it yet: the store is away, or the entry is late. One that turns requests away
may ask the daemon that it answered for a backoff, of which nobody else knows.
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
# Starts remembered, the latest that said something new: a start that has
# ended does not come back, and its id hardly ever does.
_MOST_STARTS = 20000


class _Said(msgspec.Struct):
    leaving: bool = False
    backoff_until: float = -math.inf


@final
class ReportedStates:
    """What starts of targets have said with their answers.

    Parameters
    ----------
    clock : Clock
        Time.
    """

    def __init__(self, *, clock: _clock.Clock) -> None:
        self._clock = clock
        self._said_by_start: collections.OrderedDict[
            _target.ReplicaProcess, _Said
        ]
        self._said_by_start = collections.OrderedDict()

    def note(
        self, target: _target.Target, report: _target_report.TargetReport
    ) -> bool:
        """Take what an answer says of the target that gave it.

        Returns
        -------
        bool
            Whether it is new.
        """
        is_leaving = report.leaving and self._note_leaving(target)
        is_backoff = report.backoff > 0 and self._note_backoff(
            target, report.backoff
        )
        return is_leaving or is_backoff

    def _note_leaving(self, target: _target.Target) -> bool:
        if self.is_leaving(target):
            return False
        self._remembered(target).leaving = True
        _log.info(
            "{replica} says that it is leaving",
            replica=target.replica,
            start=target.incarnation,
            listed_as_leaving=target.leaving,
        )
        return True

    def _note_backoff(self, target: _target.Target, seconds: float) -> bool:
        if not self._keep_longer(target, seconds):
            return False
        _log.info(
            "{replica} asks for a backoff of {seconds:.1f} s",
            replica=target.replica,
            seconds=seconds,
        )
        return True

    def note_peer_backoff(
        self, target: _target.Target, seconds: float
    ) -> None:
        """Take a peer's word that a target wants no request of anybody."""
        if self._keep_longer(target, seconds):
            _log.info(
                "{replica} has asked others for a backoff: {seconds:.1f} s "
                "are left",
                replica=target.replica,
                seconds=seconds,
            )

    def _keep_longer(self, target: _target.Target, seconds: float) -> bool:
        if seconds <= self.remaining_backoff(target):
            return False
        until = self._clock.monotonic() + seconds
        self._remembered(target).backoff_until = until
        return True

    def _remembered(self, target: _target.Target) -> _Said:
        held = self._said_by_start
        start = _target.process_of(target)
        said = held.setdefault(start, _Said())
        held.move_to_end(start)
        while len(held) > _MOST_STARTS:
            held.popitem(last=False)
        return said

    def _said(self, target: _target.Target) -> _Said:
        return self._said_by_start.get(_target.process_of(target), _NOTHING)

    def is_leaving(self, target: _target.Target) -> bool:
        """Say whether a target has said that it is leaving."""
        return self._said(target).leaving

    def is_unavailable(self, target: _target.Target) -> bool:
        """Say whether a target wants no new work of this daemon now."""
        return self.is_leaving(target) or self.remaining_backoff(target) > 0

    def remaining_backoff(self, target: _target.Target) -> float:
        """Give the seconds for which a target still wants no request."""
        until = self._said(target).backoff_until
        return max(0.0, until - self._clock.monotonic())


_NOTHING = _Said()
