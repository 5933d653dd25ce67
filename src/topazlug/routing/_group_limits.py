"""Load, mean and load limit of whole groups, as estimated by an owner.

The owner counts its own replicas exactly and receives the load of the others
from the group's collector.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple
from typing import Protocol
from typing import final

from topazlug import _clock
from topazlug import _ids
from topazlug._generated import messages
from topazlug.capacity import _slow_limits
from topazlug.routing import _group_load
from topazlug.routing import _group_outcomes
from topazlug.routing import _ledger
from topazlug.routing import _owner_features
from topazlug.targets import _targets


class Bounds(Protocol):
    """Bounds of groups from the table."""

    def bound_of(self, group: _ids.GroupName) -> float:
        """Return the maximum load of a replica as a multiple of the mean."""

    def allowance_of(self, group: _ids.GroupName) -> int:
        """Return the load units allowed on top of that multiple."""


class GroupTotal(NamedTuple):
    """Load of a group, in load units, and its number of replicas."""

    load: float
    replicas: int

    @property
    def mean(self) -> float:
        """Mean load of a replica."""
        return self.load / max(1, self.replicas)


@final
class GroupLimits:
    """Loads and limits of the groups that this daemon owns replicas of.

    Parameters
    ----------
    ledger_by_replica : mapping
        The owner's ledgers; a live view.
    targets : TargetDirectory
        Replicas and their health.
    bounds : Bounds
        Bounds of groups.
    clock : Clock
        Source of time.
    features : OwnerFeatures
        Optional decisions that are switched on.
    """

    def __init__(
        self,
        *,
        ledger_by_replica: Mapping[_ids.ReplicaId, _ledger.ReplicaLedger],
        targets: _targets.TargetDirectory,
        bounds: Bounds,
        clock: _clock.Clock,
        features: _owner_features.OwnerFeatures = (
            _owner_features.DEFAULT_FEATURES
        ),
    ) -> None:
        self._ledger_by_replica = ledger_by_replica
        self._targets = targets
        self._bounds = bounds
        self._clock = clock
        self._features = features
        self._estimate_by_group: dict[
            _ids.GroupName, _group_load.GroupEstimate
        ] = {}
        self._outcomes_by_group: dict[
            _ids.GroupName, _group_outcomes.GroupOutcomes
        ] = {}

    def total(self, group: _ids.GroupName) -> GroupTotal:
        """Return a group's current load."""
        own = [ledger.demand() for ledger in self.ledgers_of(group)]
        replicas = len(self._targets.in_service(group))
        # demand() includes what other owners admit. If that counted for the
        # replica but not for the mean, every replica would be over the bound
        # while daemons are disconnected, and all requests would wait.
        load = self._estimate_of(group).estimate(
            own=sum(own),
            own_replicas=len(own),
            replicas=replicas,
            now=self._clock.monotonic(),
        )
        return GroupTotal(load, replicas)

    def limit(
        self, group: _ids.GroupName, total: GroupTotal | None = None
    ) -> int:
        """Return the load that the bound allows on a replica."""
        current = self.total(group) if total is None else total
        return _group_load.bound_limit(
            bound=self._bounds.bound_of(group),
            allowance=self._bounds.allowance_of(group),
            total=current.load,
            replicas=current.replicas,
        )

    def limit_of(
        self, ledger: _ledger.ReplicaLedger, total: GroupTotal
    ) -> int:
        """Return the load that the bound allows on one replica.

        The multiple of the mean is divided by the replica's usual slowness,
        without the allowance, which keeps chats in place at low load. While
        the replica is slower than usual, the result is divided by how much
        slower it is. That can be below the mean, as other replicas take the
        difference.
        """
        limit = self.limit(ledger.group, total)
        if not self._features.replica_speed or not ledger.speed.is_reported:
            return limit
        now = self._clock.monotonic()
        usual = max(1.0, ledger.speed.usual(now=now))
        usual_limit = _group_load.bound_limit(
            bound=self._bounds.bound_of(ledger.group) / usual,
            allowance=self._bounds.allowance_of(ledger.group),
            total=total.load,
            replicas=total.replicas,
        )
        return _slow_limits.divide(
            usual_limit, ledger.speed.sustained(now=now) / usual
        )

    def slowness_of(self, ledger: _ledger.ReplicaLedger) -> float:
        """Return what a replica's limits by rank are divided by."""
        if not self._features.replica_speed:
            return 1.0
        return max(1.0, ledger.speed.sustained(now=self._clock.monotonic()))

    def ledgers_of(self, group: _ids.GroupName) -> list[_ledger.ReplicaLedger]:
        """Return the ledgers of a group's replicas that are owned here."""
        ledgers = self._ledger_by_replica.values()
        return [ledger for ledger in ledgers if ledger.group == group]

    def ledgers(self) -> Iterable[_ledger.ReplicaLedger]:
        """Return the ledgers of all replicas that are owned here."""
        return self._ledger_by_replica.values()

    def outcomes_of(
        self, group: _ids.GroupName
    ) -> _group_outcomes.GroupOutcomes:
        """Return what is known of the outcomes on a group's others."""
        return self._outcomes_by_group.setdefault(
            group, _group_outcomes.GroupOutcomes()
        )

    def request_report(
        self, group: _ids.GroupName, *, earliest: float = 0.0
    ) -> None:
        """Make the next report of a group due now, or at a later moment."""
        estimate = self._estimate_of(group)
        due = max(earliest, self._clock.monotonic())
        estimate.next_report = min(estimate.next_report, due)

    def due_reports(self) -> list[messages.LoadReport]:
        """Return the load reports that are due now."""
        now = self._clock.monotonic()
        loads: dict[_ids.GroupName, list[messages.ReplicaLoad]] = {}
        for ledger in self._ledger_by_replica.values():
            estimate = self._estimate_of(ledger.group)
            if now < estimate.next_report:
                continue
            loads.setdefault(ledger.group, []).append(
                self._replica_load(ledger, now)
            )
        return [
            messages.LoadReport(group=group, loads=entries)
            for group, entries in loads.items()
        ]

    def _replica_load(
        self, ledger: _ledger.ReplicaLedger, now: float
    ) -> messages.ReplicaLoad:
        totals = ledger.outcomes.totals(now=now)
        ledger.outcomes.reported_failed = totals.failed
        self.outcomes_of(ledger.group).reported_at = now
        return messages.ReplicaLoad(
            replica=ledger.replica,
            load=ledger.demand(),
            failed=totals.failed,
            ended=totals.ended,
            ejected=ledger.outcomes.is_limited,
        )

    def apply_summary(
        self, summary: messages.LoadSummary, report: messages.LoadReport
    ) -> None:
        """Apply a collector's reply to a report."""
        group = _ids.GroupName(summary.group)
        now = self._clock.monotonic()
        self._estimate_of(group).apply_summary(
            summary, own=sum(entry.load for entry in report.loads), now=now
        )
        self.outcomes_of(group).apply_summary(summary, report, now=now)

    def mean_by_group(self) -> dict[_ids.GroupName, float]:
        """Return the mean load of each group with a replica owned here."""
        ledgers = self._ledger_by_replica.values()
        groups = {ledger.group for ledger in ledgers}
        return {group: self.total(group).mean for group in groups}

    def skew_by_group(self) -> dict[_ids.GroupName, float]:
        """Return each group's largest owned load divided by its mean."""
        skews = {}
        for group, mean in self.mean_by_group().items():
            largest = max(ledger.load for ledger in self.ledgers_of(group))
            skews[group] = largest / mean if mean else 0.0
        return skews

    def _estimate_of(self, group: _ids.GroupName) -> _group_load.GroupEstimate:
        estimate = self._estimate_by_group.get(group)
        if estimate is None:
            estimate = _group_load.GroupEstimate()
            self._estimate_by_group[group] = estimate
        return estimate
