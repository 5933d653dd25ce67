"""The total load of a group, collected from the owners of its replicas.

Each owner reports the load of its replicas to the group's collector, a daemon
chosen by rendezvous hashing, and receives the total in reply. The interval
between reports grows with the number of owners, so that a collector's traffic
stays within its budget. The mean of a large group changes slowly, so older
totals do little harm there.
"""

from collections.abc import Iterable
import math
from typing import final

import msgspec

from topazlug import _clock
from topazlug import _ids
from topazlug._generated import messages
from topazlug.routing import _ranking

_STALE_SECONDS = 3.0
# The total lags by one report. While load falls, the true mean is below the
# one that owners use, and requests admitted at the limit exceed the bound.
LAG_MARGIN = 1
# A reported load is valid for at least this many report intervals: in a group
# of 143 owners, the interval alone is longer than three seconds.
_STALE_INTERVALS = 2.5
_REPORT_BYTES = 240
_COLLECTOR_BYTES_PER_SECOND = 8192
# The mean of a small group changes with each request, so lag is worst there.
# Its collector has a larger budget, for more frequent reports.
_SMALL_GROUP_REPORTERS = 16
_SMALL_GROUP_BYTES_PER_SECOND = 25600


def collector_of(
    group: _ids.GroupName, daemons: Iterable[_ids.DaemonId]
) -> _ids.DaemonId | None:
    """Return the daemon that collects a group's load."""
    seed = _ranking.chat_hash("collector", group)
    name = _ranking.first(daemons, seed)
    return None if name is None else _ids.DaemonId(name)


class _Report(msgspec.Struct):
    load: int
    reporter: _ids.DaemonId
    received_at: float
    failed: int
    ended: int
    ejected: bool


@final
class LoadCollector:
    """Adds up the loads that owners report, by group."""

    def __init__(self, *, clock: _clock.Clock, interval: float) -> None:
        self._clock = clock
        self._interval = interval
        self._reports: dict[_ids.GroupName, dict[_ids.ReplicaId, _Report]] = {}

    def add_report(
        self, sender: _ids.DaemonId, report: messages.LoadReport
    ) -> messages.LoadSummary:
        """Record a report and return the group's total.

        Replicas whose report is stale are excluded from both the total and
        the number of replicas, so an unresponsive owner does not distort the
        mean.
        """
        now = self._clock.monotonic()
        group = _ids.GroupName(report.group)
        by_replica = self._reports.setdefault(group, {})
        interval = self._interval_of(by_replica)
        max_age = max(_STALE_SECONDS, _STALE_INTERVALS * interval)
        for entry in report.loads:
            by_replica[_ids.ReplicaId(entry.replica)] = _Report(
                load=entry.load,
                reporter=sender,
                received_at=now,
                failed=entry.failed,
                ended=entry.ended,
                ejected=entry.ejected,
            )
        for replica, stored in list(by_replica.items()):
            if now - stored.received_at > max_age:
                del by_replica[replica]
        return messages.LoadSummary(
            group=group,
            total=sum(stored.load for stored in by_replica.values()),
            replicas=len(by_replica),
            interval=self._interval_of(by_replica),
            failed=sum(stored.failed for stored in by_replica.values()),
            ended=sum(stored.ended for stored in by_replica.values()),
            ejected=sum(stored.ejected for stored in by_replica.values()),
        )

    def _interval_of(self, by_replica: dict[_ids.ReplicaId, _Report]) -> float:
        reporters = {stored.reporter for stored in by_replica.values()}
        cost = len(reporters) * _REPORT_BYTES
        budget = _COLLECTOR_BYTES_PER_SECOND
        if len(reporters) <= _SMALL_GROUP_REPORTERS:
            budget = _SMALL_GROUP_BYTES_PER_SECOND
        return max(self._interval, cost / budget)


class GroupEstimate(msgspec.Struct):
    """One owner's estimate of a group's load.

    The collector's total lags by one report. The owner's own part of it is
    replaced by its current count.
    """

    total: int = 0
    replicas: int = 0
    own_reported: int = 0
    received_at: float = -math.inf
    interval: float = 0.0
    next_report: float = 0.0

    def apply_summary(
        self, summary: messages.LoadSummary, *, own: int, now: float
    ) -> None:
        """Apply the collector's reply to a report."""
        self.total = summary.total
        self.replicas = summary.replicas
        self.own_reported = own
        self.received_at = now
        self.interval = summary.interval
        self.next_report = now + summary.interval

    def estimate(
        self, *, own: int, own_replicas: int, replicas: int, now: float
    ) -> float:
        """Return the estimated total load of the group, in load units.

        Parameters
        ----------
        own : int
            Current load of the owner's replicas.
        own_replicas : int
            Number of these replicas.
        replicas : int
            Usable replicas of the group.
        now : float
            Monotonic seconds.
        """
        max_age = max(_STALE_SECONDS, _STALE_INTERVALS * self.interval)
        if now - self.received_at > max_age or not self.replicas:
            # No recent total: extrapolate from the owner's own replicas.
            return own / max(1, own_replicas) * replicas
        others = max(0, self.total - self.own_reported)
        reported = max(1, self.replicas)
        return (others + own) / reported * max(reported, replicas)


def bound_limit(
    *, bound: float, total: float, replicas: int, allowance: int = 0
) -> int:
    """Return the maximum load of one replica, in load units.

    Consistent hashing with bounded loads [1]_: the ceiling of the bound
    times the mean, including the arriving load unit, minus a margin for the
    lag of the total. The allowance, in load units, is for means so small
    that a multiple of them would move chats away from their context.

    .. [1] Mirrokni, Thorup, Zadimoghaddam, "Consistent hashing with bounded
       loads", SODA 2018.
    """
    mean = (total + 1) / max(1, replicas)
    limit = math.ceil(bound * mean) + allowance - LAG_MARGIN
    # Some replica is always at or below the mean, so with this minimum every
    # request fits somewhere. Without it, nothing is admitted at low load.
    return max(1, math.ceil(mean), limit)
