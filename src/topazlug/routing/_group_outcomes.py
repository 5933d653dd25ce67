"""What an owner knows of the outcomes on a group's other replicas."""

import math
from typing import final

import msgspec

from topazlug._generated import messages
from topazlug.capacity import _outcome_counts

_STALE_SECONDS = 3.0
_STALE_INTERVALS = 2.5
# While failures rise, an owner reports this many times as often as usual.
# Where all replicas fail alike, the others must learn it before they eject.
_EARLY_REPORTS = 3


@final
class GroupOutcomes(msgspec.Struct):
    """The collector's last totals, and the owner's own part of them.

    Attributes
    ----------
    failed, ended, ejected : int
        Outcomes and ejected replicas of the others, as last known.
    received_at : float
        Monotonic time of the collector's last reply.
    reported_at : float
        Monotonic time of the owner's last report.
    interval : float
        Seconds between two reports.
    """

    failed: int = 0
    ended: int = 0
    ejected: int = 0
    received_at: float = -math.inf
    reported_at: float = -math.inf
    interval: float = 0.0

    def apply_summary(
        self,
        summary: messages.LoadSummary,
        report: messages.LoadReport,
        *,
        now: float,
    ) -> None:
        """Apply the collector's reply to a report."""
        loads = report.loads
        self.failed = summary.failed - sum(entry.failed for entry in loads)
        self.ended = summary.ended - sum(entry.ended for entry in loads)
        self.ejected = summary.ejected - sum(entry.ejected for entry in loads)
        self.received_at = now
        self.interval = summary.interval

    def is_current(self, *, now: float) -> bool:
        """Return whether the totals are not stale."""
        max_age = max(_STALE_SECONDS, _STALE_INTERVALS * self.interval)
        return now - self.received_at <= max_age

    def totals(self, *, now: float) -> _outcome_counts.OutcomeTotals:
        """Return the outcomes of other owners' replicas, 0 if unknown."""
        if not self.is_current(now=now):
            return _outcome_counts.OutcomeTotals()
        return _outcome_counts.OutcomeTotals(
            max(0, self.failed), max(0, self.ended)
        )

    @property
    def early_interval(self) -> float:
        """Return the least seconds between reports while failures rise."""
        return self.interval / _EARLY_REPORTS
