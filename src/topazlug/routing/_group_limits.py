"""An owner's accounts of whole groups: their load, mean and limit.

The owner counts its own replicas exactly and hears the rest of a group from
the group's collector.
"""

from collections.abc import Mapping
from typing import NamedTuple
from typing import Protocol
from typing import final

from topazlug import _clock
from topazlug import _ids
from topazlug._generated import messages
from topazlug.routing import _group_load
from topazlug.routing import _ledger
from topazlug.targets import _targets


class Bounds(Protocol):
    """What the table says of groups."""

    def bound_of(self, group: _ids.GroupName) -> float:
        """Give the multiple of the mean that no replica may pass."""

    def allowance_of(self, group: _ids.GroupName) -> int:
        """Give the load units that a replica may hold beyond it."""


class GroupTotal(NamedTuple):
    """Load of a group, in load units, and its usable replicas."""

    load: float
    replicas: int

    @property
    def mean(self) -> float:
        """Give the mean load of a replica."""
        return self.load / max(1, self.replicas)


@final
class GroupLimits:
    """Loads of the groups that this daemon owns replicas of.

    Parameters
    ----------
    ledger_by_replica : mapping
        The owner's ledgers, as they are at each moment.
    targets : TargetDirectory
        Which replicas may get new work.
    bounds : Bounds
        Multiples of the mean.
    clock : Clock
        Time.
    """

    def __init__(
        self,
        *,
        ledger_by_replica: Mapping[_ids.ReplicaId, _ledger.ReplicaLedger],
        targets: _targets.TargetDirectory,
        bounds: Bounds,
        clock: _clock.Clock,
    ) -> None:
        self._ledger_by_replica = ledger_by_replica
        self._targets = targets
        self._bounds = bounds
        self._clock = clock
        self._estimate_by_group: dict[
            _ids.GroupName, _group_load.GroupEstimate
        ] = {}

    def total(self, group: _ids.GroupName) -> GroupTotal:
        """Give a group's load now."""
        own = [ledger.demand() for ledger in self.ledgers_of(group)]
        replicas = len(self._targets.in_service(group))
        # What another owner admits raises the mean too. Counted on the
        # replica alone, every one looks over the bound while links are cut
        # and all calls wait.
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
        """Give the load that the bound allows on a replica now."""
        known = self.total(group) if total is None else total
        return _group_load.bound_limit(
            bound=self._bounds.bound_of(group),
            allowance=self._bounds.allowance_of(group),
            total=known.load,
            replicas=known.replicas,
        )

    def ledgers_of(self, group: _ids.GroupName) -> list[_ledger.ReplicaLedger]:
        """Give the ledgers of a group's replicas owned here."""
        ledgers = self._ledger_by_replica.values()
        return [ledger for ledger in ledgers if ledger.group == group]

    def due_reports(self) -> list[messages.LoadReport]:
        """Give the load reports that collectors should get now."""
        now = self._clock.monotonic()
        loads: dict[_ids.GroupName, list[messages.ReplicaLoad]] = {}
        for ledger in self._ledger_by_replica.values():
            estimate = self._estimate_of(ledger.group)
            if now < estimate.next_report:
                continue
            loads.setdefault(ledger.group, []).append(
                messages.ReplicaLoad(
                    replica=ledger.replica, load=ledger.demand()
                )
            )
        return [
            messages.LoadReport(group=group, loads=entries)
            for group, entries in loads.items()
        ]

    def apply_summary(
        self, summary: messages.LoadSummary, report: messages.LoadReport
    ) -> None:
        """Note a collector's answer to a report."""
        self._estimate_of(_ids.GroupName(summary.group)).apply_summary(
            summary,
            own=sum(entry.load for entry in report.loads),
            now=self._clock.monotonic(),
        )

    def mean_by_group(self) -> dict[_ids.GroupName, float]:
        """Give the mean load of each group with a replica owned here."""
        ledgers = self._ledger_by_replica.values()
        groups = {ledger.group for ledger in ledgers}
        return {group: self.total(group).mean for group in groups}

    def skew_by_group(self) -> dict[_ids.GroupName, float]:
        """Give the largest owned load of each group over its mean."""
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
