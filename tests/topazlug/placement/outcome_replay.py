"""Requests through many daemons, to replicas of which some fail them."""

import heapq
import random
from typing import NamedTuple

from tests.topazlug.placement import owner_fixtures
from topazlug import _errors
from topazlug import _ids
from topazlug.routing import _owner_features
from topazlug.routing import _ranking

DAEMONS = 72
REPLICAS = tuple(_ids.ReplicaId(f"i-{n}") for n in range(45))
PER_SECOND = 11
CHATS = 2000
STEP_SECONDS = 0.01
REPORT_SECONDS = 0.1
SERVICE_SECONDS = 0.3
# Replicas fail their requests for this long on the days measured.
TROUBLE_SECONDS = 5.2
# Time in which owners learn the usual outcomes of their group.
WARM_UP_SECONDS = 3.0


class Ejection(NamedTuple):
    """One ejection, in seconds since the trouble began."""

    at: float
    replica: _ids.ReplicaId
    end: float


class OutcomeReplay:
    """A fleet whose daemons place requests at random.

    Parameters
    ----------
    fraction_of : callable
        Returns the fraction of its requests that a replica fails, by replica
        and seconds since the trouble began.
    is_enabled : bool
        Whether owners count failures.
    keeps_context : bool
        Whether owners admit the requests. Otherwise daemons place them by
        their own views.
    seed : int
        Seed of all random choices.

    Attributes
    ----------
    failed_at : list
        Time and replica of each failed request, in seconds since the trouble
        began.
    ejected_at : list
        Ejections in order.
    max_ejected : int
        Most replicas that were ejected or on probation at once.
    rejected : int
        Requests that no replica was found for.
    """

    def __init__(
        self,
        fraction_of,
        *,
        is_enabled=True,
        keeps_context=True,
        seed=1,
        daemons=DAEMONS,
        replicas=REPLICAS,
    ):
        self.replicas = replicas
        self.fleet = owner_fixtures.Fleet(
            *(f"d{n}" for n in range(daemons)),
            replicas=replicas,
            features=_owner_features.OwnerFeatures(
                shared_outcomes=is_enabled, is_capacity_short=True
            ),
        )
        self.fraction_of = fraction_of
        self.keeps_context = keeps_context
        self.random = random.Random(seed)
        self.daemons = list(self.fleet.daemons)
        self.failed_at = []
        self.sent = 0
        self.rejected = 0
        self.ejected_at = []
        self.max_ejected = 0
        self._ends = []
        self._number = 0
        self._began_at = self.fleet.clock.monotonic() + WARM_UP_SECONDS

    @property
    def now(self):
        """Return the seconds since the trouble began."""
        return self.fleet.clock.monotonic() - self._began_at

    def run(self, seconds=WARM_UP_SECONDS + TROUBLE_SECONDS):
        """Run for some seconds; the first of them are without trouble."""
        expected = PER_SECOND * len(self.replicas) * STEP_SECONDS
        credit = 0.0
        for step in range(round(seconds / STEP_SECONDS)):
            self.fleet.clock.advance(STEP_SECONDS)
            self._end_due()
            credit += self.random.expovariate(1.0 / expected)
            while credit >= 1.0:
                credit -= 1.0
                self._send()
            if step % round(REPORT_SECONDS / STEP_SECONDS) == 0:
                self._report()
            self._record_ejections()
        return self

    def _report(self):
        for daemon in self.daemons:
            daemon.owners.outcome_reports.send_due()
            daemon.owners.report()
        self.fleet.wait_for_reports()

    def _send(self):
        daemon = self.random.choice(self.daemons)
        name = str(self.random.randrange(CHATS))
        chat = _ids.ChatHash(_ranking.chat_hash("chat", name))
        try:
            placement = daemon.admit(
                chat, rank=1, keeps_context=self.keeps_context
            )
        except _errors.RequestError:
            self.rejected += 1
            return
        self.sent += 1
        replica = placement.target.replica
        fraction = self.fraction_of(replica, self.now)
        placement.failed = self.random.random() < fraction
        # A request that fails does so at once, the others take some time.
        seconds = self.random.expovariate(
            1.0 / (0.02 if placement.failed else SERVICE_SECONDS)
        )
        if placement.failed:
            self.failed_at.append((self.now, replica))
        self._number += 1
        end = self.fleet.clock.monotonic() + seconds
        heapq.heappush(self._ends, (end, self._number, daemon, placement))

    def _end_due(self):
        now = self.fleet.clock.monotonic()
        while self._ends and self._ends[0][0] <= now:
            _, _, daemon, placement = heapq.heappop(self._ends)
            view = daemon.views.of(placement.target.replica)
            view.record_outcome(failed=placement.failed)
            daemon.admission.release(placement)

    def _record_ejections(self):
        limited = 0
        known = {(one.replica, one.end) for one in self.ejected_at}
        for daemon in self.daemons:
            owned = daemon.owners.ejections
            limited += owned.ejected_replicas()
        self.max_ejected = max(self.max_ejected, limited)
        if not limited:
            return
        now = self.fleet.clock.monotonic()
        for replica in self.replicas:
            owner = self.fleet.daemon_by_name[self.fleet.owner_of(replica)]
            ledger = owner.owners.ledger_of(replica)
            remaining = ledger.outcomes.remaining(now=now)
            end = round(self.now + remaining, 6)
            if remaining > 0 and (replica, end) not in known:
                self.ejected_at.append(Ejection(self.now, replica, end))

    def failures_of(self, replica, *, until=float("inf"), since=-float("inf")):
        """Return how many requests a replica failed in some period."""
        return sum(
            name == replica and since <= at < until
            for at, name in self.failed_at
        )
