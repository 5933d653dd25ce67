"""What this daemon knows of each replica: its load and how it answers.

Load is this daemon's own requests in progress, counted exactly, plus what
the replica last reported beyond them. Health comes from the outcomes of
requests alone: a health check may pass while requests fail.
"""

import collections
from collections.abc import Iterable
import math
from typing import final

import msgspec

from topazlug import _clock
from topazlug import _ids
from topazlug import _logs
from topazlug.placement import _mechanisms
from topazlug.targets import _targets

_log = _logs.logger("replicas")
# A report is as old as the answer that brought it. After this many seconds
# the others' part is taken to have ended: about the length of a stream.
REPORT_LIFETIME_SECONDS = 2.0
# In a large fleet each daemon hears of a replica every 7 s or so. A replica
# that was full would look empty most of the time, and more than 3 in 100
# requests reach replicas above twice the mean load (seen at 81 daemons).
LARGE_FLEET_REPORT_LIFETIME_SECONDS = 6.0
# Outcomes older than this say nothing of a replica's health now.
_OUTCOME_SECONDS = 6.0
_MAX_OUTCOMES = 40
# A replica is ill when it failed this often and this much more often than
# the rest of its group. Fewer failures are within what a sound service of
# the users shows (14% of its idempotent reads).
_ILL_FAILURES = 3
_ILL_SHARE = 0.3
_ILL_RATIO = 2.0
# Where an owner has just found no room for a rank there is none for so long:
# a busy engine of 64 slots gives back some ten places meanwhile.
_FULL_SECONDS = 0.25
_HOLD_SECONDS = 1.0
_MAX_HOLD_SECONDS = 4.0


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
        Moving mean of the seconds to an answer's first byte; 0 unknown.
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
        self._others = 0
        self._reported_at = -math.inf
        self._outcomes: collections.deque[_Outcome] = collections.deque(
            maxlen=_MAX_OUTCOMES
        )
        self._full_until_by_rank: dict[int, float] = {}
        self._held_until = -math.inf
        self._hold = _HOLD_SECONDS

    @property
    def load(self) -> float:
        """Give the requests that the replica holds, by all daemons."""
        age = self._clock.monotonic() - self._reported_at
        fresh = max(0.0, 1.0 - age / self.report_seconds)
        return self.in_flight + self._others * fresh

    @property
    def report_age(self) -> float | None:
        """Give the age of the replica's last report in seconds."""
        if self._reported_at == -math.inf:
            return None
        return round(self._clock.monotonic() - self._reported_at, 3)

    def note_report(self, held: int) -> None:
        """Take the replica's own word on how many requests it holds."""
        self._others = max(0, held - self.in_flight)
        self._reported_at = self._clock.monotonic()

    @property
    def is_known(self) -> bool:
        """Say whether a report of its load still counts."""
        age = self._clock.monotonic() - self._reported_at
        return age < self.report_seconds

    def note_full(self, rank: int) -> None:
        """Take an owner's word that there is no room for a rank."""
        until = self._clock.monotonic() + _FULL_SECONDS
        self._full_until_by_rank[rank] = until

    def is_full(self, rank: int) -> bool:
        """Say whether a rank or a more urgent one found no room just now."""
        now = self._clock.monotonic()
        return any(
            now < until
            for other, until in self._full_until_by_rank.items()
            if other <= rank
        )

    def note_latency(self, seconds: float) -> None:
        """Take the time to the first byte of an answer."""
        if self.latency == 0.0:
            self.latency = seconds
        # A rise counts fast and a fall slowly: a replica that turned slow
        # must not get half of the requests until the mean has crept up.
        weight = 0.5 if seconds > self.latency else 0.2
        self.latency += weight * (seconds - self.latency)

    def note_outcome(self, *, failed: bool) -> None:
        """Take the outcome of one request."""
        self._outcomes.append(_Outcome(self._clock.monotonic(), failed))
        if not failed and not self.is_ejected:
            self._hold = _HOLD_SECONDS

    def failures(self) -> tuple[int, int]:
        """Give how many of the last requests failed, and how many ended."""
        oldest = self._clock.monotonic() - _OUTCOME_SECONDS
        while self._outcomes and self._outcomes[0].at < oldest:
            self._outcomes.popleft()
        return sum(one.failed for one in self._outcomes), len(self._outcomes)

    @property
    def is_ejected(self) -> bool:
        """Say whether it gets no new work for a moment."""
        return self._clock.monotonic() < self._held_until

    def eject(self) -> float:
        """Keep new work away, each time for longer.

        Afterwards its outcomes start anew, so that a replica that is well
        again is not judged by what it did before.

        Returns
        -------
        float
            Seconds for which it is kept away.
        """
        seconds = self._hold
        self._held_until = self._clock.monotonic() + seconds
        self._hold = min(_MAX_HOLD_SECONDS, self._hold * 2)
        self._outcomes.clear()
        return seconds


@final
class ReplicaViews:
    """All replicas as this daemon sees them.

    Parameters
    ----------
    clock : Clock
        Time.
    disabled : frozenset of Mechanism
        What is switched off.
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
        self._start_by_replica: dict[_ids.ReplicaId, int] = {}

    def of(self, replica: _ids.ReplicaId) -> ReplicaView:
        """Give the view of a replica, a new one if there is none."""
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
        """Give the view of one start of a replica.

        What is known late of a start that has ended goes to a view that
        nobody looks at: a request that was on the old start would otherwise
        be taken off the load of the new one, and its failure held against
        it.
        """
        known = self._start_by_replica.get(target.replica, target.incarnation)
        if known != target.incarnation:
            return self._new_view()
        return self.of(target.replica)

    def set_report_lifetime(self, seconds: float) -> None:
        """Change for how long reports of load count."""
        self._report_seconds = seconds
        for view in self._view_by_replica.values():
            view.report_seconds = seconds

    def take_list(self, targets: Iterable[_targets.Target]) -> None:
        """Begin anew with replicas that started again, and drop gone ones.

        The view of one that is gone is kept while it holds requests.
        """
        listed = {one.replica: one.incarnation for one in targets}
        for replica, view in list(self._view_by_replica.items()):
            start = self._start_by_replica.get(replica)
            restarted = start is not None and start != listed.get(replica)
            is_gone = replica not in listed
            if is_gone and view.in_flight:
                continue
            if is_gone or restarted:
                del self._view_by_replica[replica]
        for replica in self._start_by_replica.keys() - listed.keys():
            if replica not in self._view_by_replica:
                del self._start_by_replica[replica]
        self._start_by_replica.update(listed)

    def healthy(
        self, replicas: Iterable[_ids.ReplicaId]
    ) -> list[_ids.ReplicaId]:
        """Give the replicas that are not ill, or all when all are.

        When a whole service fails, holding its replicas out one after the
        other would pile all requests on the last.
        """
        named = list(replicas)
        if _mechanisms.Mechanism.OUTLIER_EJECTION in self._disabled:
            return named
        self._hold_ill(named)
        healthy = [one for one in named if not self.of(one).is_ejected]
        return healthy if len(healthy) * 2 >= len(named) else named

    def _hold_ill(self, replicas: list[_ids.ReplicaId]) -> None:
        counts = {one: self.of(one).failures() for one in replicas}
        failed = sum(count[0] for count in counts.values())
        ended = sum(count[1] for count in counts.values())
        for replica, (own_failed, own_ended) in counts.items():
            if own_failed < _ILL_FAILURES:
                continue
            share = own_failed / own_ended
            others = (failed - own_failed) / max(1, ended - own_ended)
            if share >= _ILL_SHARE and share >= _ILL_RATIO * others:
                seconds = self.of(replica).eject()
                _log.warning(
                    "{replica} is held out for {seconds:.0f} s: "
                    "{failed} of {ended} requests failed",
                    replica=replica,
                    seconds=seconds,
                    failed=own_failed,
                    ended=own_ended,
                    others=round(others, 2),
                )
