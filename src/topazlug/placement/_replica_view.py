"""Load, latency and health of each replica as observed by this daemon.

Load is this daemon's own requests in progress, counted exactly, plus the
other daemons' requests that the replica last reported. Health depends on the
outcomes of requests only: a health check may pass while requests fail.
"""

import collections
from collections.abc import Iterable
import math
from typing import final

import msgspec

from topazlug import _clock
from topazlug import _ids
from topazlug import _logs
from topazlug.capacity import _replica_speed
from topazlug.placement import _mechanisms
from topazlug.targets import _targets

_log = _logs.logger("replicas")
# A report is as old as the answer that carried it. The weight of the other
# daemons' requests in it falls to 0 over this time, about the length of a
# stream.
REPORT_LIFETIME_SECONDS = 2.0
# In a large fleet each daemon receives a report of a replica every 7 s or so.
# With the shorter lifetime, full replicas seemed empty most of the time and
# more than 3 in 100 requests reached replicas above twice the mean load (at
# 81 daemons).
LARGE_FLEET_REPORT_LIFETIME_SECONDS = 6.0
# Older outcomes do not count towards a replica's health.
_OUTCOME_SECONDS = 6.0
_MAX_OUTCOMES = 40
# A replica is an outlier if at least this many of its requests and at least
# this fraction of them failed, and the fraction is at least this multiple of
# that of the rest of its group. Healthy services of users stay below that
# (14% of their idempotent reads fail).
_OUTLIER_FAILURES = 3
_OUTLIER_FRACTION = 0.3
_OUTLIER_RATIO = 2.0
# How long a rank counts as rejected after an owner had no capacity for it: a
# busy engine of 64 slots frees some ten of them in that time.
_FULL_SECONDS = 0.25
_EJECTION_SECONDS = 1.0
_MAX_EJECTION_SECONDS = 4.0


class _Outcome(msgspec.Struct, frozen=True):
    at: float
    failed: bool


@final
class ReplicaView:
    """One replica as this daemon sees it.

    Attributes
    ----------
    in_flight : int
        This daemon's own requests in progress.
    report_seconds : float
        Seconds for which a report of its load counts.
    latency : float
        Moving average of the seconds to an answer's first byte; 0 if unknown.
    """

    def __init__(
        self,
        *,
        clock: _clock.Clock,
        report_seconds: float = REPORT_LIFETIME_SECONDS,
    ) -> None:
        self._clock = clock
        self.report_seconds = report_seconds
        self.in_flight = 0
        self.latency = 0.0
        self._speed: _replica_speed.ReplicaSpeed | None = None
        self._load_of_others = 0
        self._reported_at = -math.inf
        self._outcomes: collections.deque[_Outcome] = collections.deque(
            maxlen=_MAX_OUTCOMES
        )
        self._full_until_by_rank: dict[int, float] = {}
        self._ejected_until = -math.inf
        self._ejection_seconds = _EJECTION_SECONDS

    @property
    def load(self) -> float:
        """Return the estimated requests that the replica holds in total."""
        age = self._clock.monotonic() - self._reported_at
        weight = max(0.0, 1.0 - age / self.report_seconds)
        return self.in_flight + self._load_of_others * weight

    @property
    def report_age(self) -> float | None:
        """Return the age of the replica's last report in seconds."""
        if self._reported_at == -math.inf:
            return None
        return round(self._clock.monotonic() - self._reported_at, 3)

    def record_report(self, held: int) -> None:
        """Record the number of requests that the replica reports to hold."""
        self._load_of_others = max(0, held - self.in_flight)
        self._reported_at = self._clock.monotonic()

    @property
    def has_current_report(self) -> bool:
        """Return whether a report of its load still counts."""
        age = self._clock.monotonic() - self._reported_at
        return age < self.report_seconds

    def record_slowness(self, slowness: float) -> None:
        """Record how slow the replica reports to be."""
        if self._speed is None:
            self._speed = _replica_speed.ReplicaSpeed()
        self._speed.record(slowness, now=self._clock.monotonic())

    @property
    def slowness(self) -> float:
        """Return how slow the replica has been for about a second."""
        if self._speed is None:
            return 1.0
        return max(1.0, self._speed.sustained(now=self._clock.monotonic()))

    def record_full(self, rank: int) -> None:
        """Record that an owner had no free capacity for a rank."""
        until = self._clock.monotonic() + _FULL_SECONDS
        self._full_until_by_rank[rank] = until

    def is_full(self, rank: int) -> bool:
        """Return whether this or a more urgent rank was just rejected."""
        now = self._clock.monotonic()
        return any(
            now < until
            for other, until in self._full_until_by_rank.items()
            if other <= rank
        )

    def record_latency(self, seconds: float) -> None:
        """Record the time to the first byte of an answer."""
        if self.latency == 0.0:
            self.latency = seconds
        # The average rises faster than it falls, so that a replica that
        # becomes slow is not sent half of the requests until the average has
        # caught up.
        weight = 0.5 if seconds > self.latency else 0.2
        self.latency += weight * (seconds - self.latency)

    def record_outcome(self, *, failed: bool) -> None:
        """Record the outcome of one request."""
        self._outcomes.append(_Outcome(self._clock.monotonic(), failed))
        if not failed and not self.is_ejected:
            self._ejection_seconds = _EJECTION_SECONDS

    def failures(self) -> tuple[int, int]:
        """Return how many recent requests failed, and how many ended."""
        oldest = self._clock.monotonic() - _OUTCOME_SECONDS
        while self._outcomes and self._outcomes[0].at < oldest:
            self._outcomes.popleft()
        return sum(outcome.failed for outcome in self._outcomes), len(
            self._outcomes
        )

    @property
    def is_ejected(self) -> bool:
        """Return whether the replica is temporarily excluded from new work."""
        return self._clock.monotonic() < self._ejected_until

    def eject(self) -> float:
        """Exclude the replica from new work, each time for longer.

        Its outcomes are cleared, so that after recovery earlier failures
        don't count against it.

        Returns
        -------
        float
            Seconds for which it is excluded.
        """
        seconds = self._ejection_seconds
        self._ejected_until = self._clock.monotonic() + seconds
        self._ejection_seconds = min(
            _MAX_EJECTION_SECONDS, self._ejection_seconds * 2
        )
        self._outcomes.clear()
        return seconds


@final
class ReplicaViews:
    """Views of all replicas.

    Parameters
    ----------
    clock : Clock
        Time.
    disabled : frozenset of Mechanism
        Mechanisms that are switched off.
    """

    def __init__(
        self,
        *,
        clock: _clock.Clock,
        disabled: _mechanisms.DisabledMechanisms = _mechanisms.NONE_DISABLED,
    ) -> None:
        self._clock = clock
        self._disabled = disabled
        self._report_seconds = REPORT_LIFETIME_SECONDS
        self._view_by_replica: dict[_ids.ReplicaId, ReplicaView] = {}
        self._incarnation_by_replica: dict[_ids.ReplicaId, int] = {}

    def of(self, replica: _ids.ReplicaId) -> ReplicaView:
        """Return the view of a replica, a new one if there is none."""
        view = self._view_by_replica.get(replica)
        if view is None:
            view = self._new_view()
            self._view_by_replica[replica] = view
        return view

    def _new_view(self) -> ReplicaView:
        return ReplicaView(
            clock=self._clock, report_seconds=self._report_seconds
        )

    def of_incarnation(self, target: _targets.Target) -> ReplicaView:
        """Return the view of one incarnation of a replica.

        For an incarnation that has ended this is a view that nothing reads.
        Otherwise the end of a request to the old process would reduce the
        load of the new one, and its failure would count against it.
        """
        known = self._incarnation_by_replica.get(
            target.replica, target.incarnation
        )
        if known != target.incarnation:
            return self._new_view()
        return self.of(target.replica)

    def set_report_lifetime(self, seconds: float) -> None:
        """Set for how long reports of load count."""
        self._report_seconds = seconds
        for view in self._view_by_replica.values():
            view.report_seconds = seconds

    def update_targets(self, targets: Iterable[_targets.Target]) -> None:
        """Reset the views of restarted replicas; remove those of gone ones.

        The view of a gone replica is kept while it holds requests.
        """
        listed = {target.replica: target.incarnation for target in targets}
        for replica, view in list(self._view_by_replica.items()):
            incarnation = self._incarnation_by_replica.get(replica)
            restarted = incarnation is not None and incarnation != listed.get(
                replica
            )
            is_gone = replica not in listed
            if is_gone and view.in_flight:
                continue
            if is_gone or restarted:
                del self._view_by_replica[replica]
        for replica in self._incarnation_by_replica.keys() - listed.keys():
            if replica not in self._view_by_replica:
                del self._incarnation_by_replica[replica]
        self._incarnation_by_replica.update(listed)

    def healthy(
        self, replicas: Iterable[_ids.ReplicaId]
    ) -> list[_ids.ReplicaId]:
        """Return the replicas not ejected, or all if over half are ejected.

        When a whole service fails, ejecting its replicas one after the other
        would send all requests to the last one.
        """
        candidates = list(replicas)
        if _mechanisms.Mechanism.OUTLIER_EJECTION in self._disabled:
            return candidates
        self._eject_outliers(candidates)
        healthy = [
            replica
            for replica in candidates
            if not self.of(replica).is_ejected
        ]
        return healthy if len(healthy) * 2 >= len(candidates) else candidates

    def _eject_outliers(self, replicas: list[_ids.ReplicaId]) -> None:
        counts = {replica: self.of(replica).failures() for replica in replicas}
        failed = sum(count[0] for count in counts.values())
        ended = sum(count[1] for count in counts.values())
        for replica, (own_failed, own_ended) in counts.items():
            if own_failed < _OUTLIER_FAILURES:
                continue
            fraction = own_failed / own_ended
            others = (failed - own_failed) / max(1, ended - own_ended)
            if (
                fraction >= _OUTLIER_FRACTION
                and fraction >= _OUTLIER_RATIO * others
            ):
                seconds = self.of(replica).eject()
                _log.warning(
                    "{replica} is ejected for {seconds:.0f} s: "
                    "{failed} of {ended} requests failed",
                    replica=replica,
                    seconds=seconds,
                    failed=own_failed,
                    ended=own_ended,
                    others=round(others, 2),
                )
