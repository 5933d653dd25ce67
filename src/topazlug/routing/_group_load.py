"""The mean load of a group, which no single owner can see.

Each owner tells the group's collector (ranked like an owner) the load of its
replicas, and hears the total. The time between reports grows with the number
of owners, so that a collector's traffic stays within its budget: the mean of
a large group moves slowly, and a later figure costs it little.
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
# one that owners go by, and what they admit at the limit is over the bound.
_LAG_MARGIN = 1
# A load counts for this many of the intervals that its reporter was given:
# in a group of 143 owners the interval alone is longer than three seconds.
_STALE_INTERVALS = 2.5
_REPORT_BYTES = 240
_COLLECTOR_BYTES_PER_SECOND = 8192
# A small group's mean jumps with each call, so its lag costs most there; its
# collector may spend more on fresh figures.
_SMALL_GROUP_REPORTERS = 16
_SMALL_GROUP_BYTES_PER_SECOND = 25600


def collector_of(
    group: _ids.GroupName, daemons: Iterable[_ids.DaemonId]
) -> _ids.DaemonId | None:
    """Give the daemon that adds up a group's load."""
    seed = _ranking.chat_hash("collector", group)
    name = _ranking.first(daemons, seed)
    return None if name is None else _ids.DaemonId(name)


class _Report(msgspec.Struct):
    load: int
    reporter: _ids.DaemonId
    at: float


@final
class LoadCollector:
    """Adds up what owners report of a group."""

    def __init__(self, *, clock: _clock.Clock, interval: float) -> None:
        self._clock = clock
        self._interval = interval
        self._reports: dict[_ids.GroupName, dict[_ids.ReplicaId, _Report]] = {}

    def add_report(
        self, sender: _ids.DaemonId, report: messages.LoadReport
    ) -> messages.LoadSummary:
        """Note a report and give the total.

        Replicas whose report is stale are left out of both figures, so a
        silent owner does not pull the mean down.
        """
        now = self._clock.monotonic()
        group = _ids.GroupName(report.group)
        by_replica = self._reports.setdefault(group, {})
        interval = self._interval_of(by_replica)
        stale = max(_STALE_SECONDS, _STALE_INTERVALS * interval)
        for entry in report.loads:
            by_replica[_ids.ReplicaId(entry.replica)] = _Report(
                load=entry.load, reporter=sender, at=now
            )
        for replica, stored in list(by_replica.items()):
            if now - stored.at > stale:
                del by_replica[replica]
        return messages.LoadSummary(
            group=group,
            total=sum(stored.load for stored in by_replica.values()),
            replicas=len(by_replica),
            interval=self._interval_of(by_replica),
        )

    def _interval_of(self, by_replica: dict[_ids.ReplicaId, _Report]) -> float:
        reporters = {stored.reporter for stored in by_replica.values()}
        cost = len(reporters) * _REPORT_BYTES
        budget = _COLLECTOR_BYTES_PER_SECOND
        if len(reporters) <= _SMALL_GROUP_REPORTERS:
            budget = _SMALL_GROUP_BYTES_PER_SECOND
        return max(self._interval, cost / budget)


class GroupEstimate(msgspec.Struct):
    """What one owner knows of a group's load.

    The collector's total lags by one report; the owner's own part of it is
    replaced by what it counts now.
    """

    total: int = 0
    replicas: int = 0
    own_reported: int = 0
    at: float = -math.inf
    interval: float = 0.0
    next_report: float = 0.0

    def apply_summary(
        self, summary: messages.LoadSummary, *, own: int, now: float
    ) -> None:
        """Note the collector's answer to a report."""
        self.total = summary.total
        self.replicas = summary.replicas
        self.own_reported = own
        self.at = now
        self.interval = summary.interval
        self.next_report = now + summary.interval

    def estimate(
        self, *, own: int, own_replicas: int, replicas: int, now: float
    ) -> float:
        """Give the total load of the group now, in load units.

        Parameters
        ----------
        own : int
            Load of the owner's replicas now.
        own_replicas : int
            How many replicas that is.
        replicas : int
            Usable replicas of the group.
        now : float
            Monotonic seconds.
        """
        stale = max(_STALE_SECONDS, _STALE_INTERVALS * self.interval)
        if now - self.at > stale or not self.replicas:
            # No collector answers: the owner's own replicas stand for all.
            return own / max(1, own_replicas) * replicas
        others = max(0, self.total - self.own_reported)
        seen = max(1, self.replicas)
        return (others + own) / seen * max(seen, replicas)


def bound_limit(
    *, bound: float, total: float, replicas: int, allowance: int = 0
) -> int:
    """Give the load that one replica may reach, in load units.

    Consistent hashing with bounded loads [1]_: the ceiling of the bound
    times the mean, the arriving unit counted in, less a margin for the lag
    of the total. An allowance in load units comes on top where the mean is
    so small that a multiple of it would part chats from their context.

    .. [1] Mirrokni, Thorup, Zadimoghaddam, "Consistent hashing with bounded
       loads", SODA 2018.
    """
    mean = (total + 1) / max(1, replicas)
    limit = math.ceil(bound * mean) + allowance - _LAG_MARGIN
    # Some replica is always at the mean or below it, so this floor leaves
    # a place for every call; without it a fleet at low load admits nothing.
    return max(1, math.ceil(mean), limit)
