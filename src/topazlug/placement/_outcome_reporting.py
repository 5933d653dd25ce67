"""Which outcomes of this daemon's requests are reported to owners, and how."""

from typing import final

from topazlug import _ids
from topazlug.routing import _outcome_reports
from topazlug.routing import _owner_client
from topazlug.routing import _placement
from topazlug.targets import _targets


@final
class OutcomeReporting:
    """Reports outcomes of requests while and after they are held.

    Parameters
    ----------
    is_enabled : bool
        Whether the mechanism is switched on.

    Attributes
    ----------
    owner_client : OwnerClient or None
        Sends reports of requests that owners count.
    reports : OutcomeReports or None
        Collects outcomes of other requests.
    is_capacity_short : bool
        Whether capacity is short at times. Otherwise owners use only the
        outcomes of replicas that report how slow they are.
    late_count : int
        Requests that were reported as failed while they waited for the head
        of an answer.
    """

    def __init__(self, *, is_enabled: bool) -> None:
        self._is_enabled = is_enabled
        self._slowness_reporters: set[_ids.ReplicaId] = set()
        self.owner_client: _owner_client.OwnerClient | None = None
        self.reports: _outcome_reports.OutcomeReports | None = None
        self.is_capacity_short = False
        self.late_count = 0

    def record_head(
        self, placement: _placement.Placement, head: _placement.AnswerHead
    ) -> None:
        """Record whether a replica reports how slow it is."""
        if head.slowness is not None:
            self._slowness_reporters.add(placement.target.replica)

    def applies_to(self, replica: _ids.ReplicaId) -> bool:
        """Return whether outcomes on a replica are reported to its owner."""
        return self._is_enabled and (
            self.is_capacity_short or replica in self._slowness_reporters
        )

    def report_late(self, placement: _placement.Placement) -> bool:
        """Report a request as failed that still waits for its answer.

        Returns
        -------
        bool
            Whether it was reported.
        """
        if self.owner_client is None:
            return False
        if not self.applies_to(placement.target.replica):
            return False
        if placement.released or placement.is_failure_reported:
            return False
        placement.is_failure_reported = True
        self.late_count += 1
        if self.is_counted(placement):
            self.owner_client.held_placements.report_failure(placement)
        else:
            self._record(placement.target, failed=True)
        return True

    def is_counted(self, placement: _placement.Placement) -> bool:
        """Return whether a replica's owner counts a placement."""
        if self.owner_client is None or placement.owner is None:
            return False
        held = self.owner_client.held_placements.placement_by_ask
        return placement.is_counted and held.get(placement.ask) is placement

    def prepare_release(self, placement: _placement.Placement) -> None:
        """Record the outcome of a placement that is about to be released.

        Its owner learns the outcome of a request that it counts with the
        release.
        """
        if not self.applies_to(placement.target.replica):
            placement.failed = False
            placement.is_outcome_unknown = False
        elif not self.is_counted(placement):
            if not (
                placement.is_failure_reported or placement.is_outcome_unknown
            ):
                self._record(placement.target, failed=placement.failed)
            placement.failed = False

    def _record(self, target: _targets.Target, *, failed: bool) -> None:
        if self.reports is not None:
            self.reports.record(target, failed=failed)
