"""Replicas that reject requests, in front of many daemons."""

import itertools
import random

import pytest

from tests.topazlug.forwarding import forwarding_fixtures as fixtures
from tests.topazlug.placement import owner_fixtures
from topazlug import _errors
from topazlug import _ids
from topazlug.routing import _ranking
from topazlug.targets import _target_report

REPLICAS = tuple(f"i-{n}" for n in range(20))
BACKOFF_SECONDS = 3.0
BACKOFF = _target_report.TargetReport(backoff=BACKOFF_SECONDS)
PER_SECOND = 200
CHATS = 2000
SEED = 3


class Replay:
    """Requests of many chats, through random daemons.

    Parameters
    ----------
    daemons : int
        Number of daemons.
    shedding : tuple of str
        Replicas that reject requests.
    fraction : float
        Fraction of its requests that such a replica rejects.
    """

    def __init__(self, *, daemons, shedding, fraction=1.0):
        names = [f"d{n}" for n in range(daemons)]
        self.fleet = owner_fixtures.Fleet(*names, replicas=REPLICAS)
        self.shedding = shedding
        self.fraction = fraction
        self.random = random.Random(SEED)
        self.sent = 0
        self.shed = 0
        self.rejected = []

    def run(self, seconds):
        for _ in range(int(seconds * PER_SECOND)):
            self.fleet.clock.advance(1.0 / PER_SECOND)
            self.send()

    def send(self):
        daemon = self.random.choice(list(self.fleet.daemons))
        name = str(self.random.randrange(CHATS))
        chat = _ids.ChatHash(_ranking.chat_hash("chat", name))
        try:
            placement = daemon.admit(chat, rank=1)
        except _errors.RequestError as error:
            self.rejected.append(error)
            return
        if placement.target.replica in self.shedding:
            self.sent += 1
            if self.random.random() < self.fraction:
                self.shed += 1
                daemon.targets.handle_report(placement.target, BACKOFF)
        daemon.admission.release(placement)


class TestManyDaemons:
    @pytest.mark.parametrize("daemons", [9, 24, 70])
    @pytest.mark.parametrize("count", [1, 4])
    def test_few_requests_are_shed_in_any_fleet_size(self, daemons, count):
        """Few requests may be rejected before all daemons back off.

        Each of 70 daemons had a request rejected before it backed off from the
        same replica.
        """
        replay = Replay(daemons=daemons, shedding=REPLICAS[:count])
        backoffs = 3
        replay.run(backoffs * BACKOFF_SECONDS)
        # A backoff is shared once two daemons have had a request rejected.
        assert replay.shed <= 2 * backoffs * count
        assert not replay.rejected

    def test_replica_that_serves_most_keeps_getting_requests(self):
        replay = Replay(daemons=9, shedding=REPLICAS[:1], fraction=0.05)
        accepting = Replay(daemons=9, shedding=REPLICAS[:1], fraction=0.0)
        for one in (replay, accepting):
            one.run(9.0)
        assert replay.shed
        assert replay.sent > accepting.sent / 3

    def test_all_daemons_send_again_after_the_backoff(self):
        replay = Replay(daemons=9, shedding=REPLICAS[:1])
        replay.run(BACKOFF_SECONDS)
        replay.fraction = 0.0
        replay.sent = 0
        replay.run(2 * BACKOFF_SECONDS)
        assert replay.sent > 0.8 * BACKOFF_SECONDS * PER_SECOND / 20

    def test_requests_are_rejected_while_all_replicas_shed(self):
        replay = Replay(daemons=9, shedding=REPLICAS)
        replay.run(1.0)
        replay.rejected.clear()
        replay.shed = 0
        replay.run(1.0)
        assert replay.shed == 0
        assert len(replay.rejected) == PER_SECOND
        waits = [error.retry_after for error in replay.rejected]
        assert all(0.0 < wait <= BACKOFF_SECONDS for wait in waits)


class TestOwner:
    def test_owners_own_backoff_does_not_apply_to_others(self):
        fleet = owner_fixtures.Fleet("d0", "d1", "d2", replicas=REPLICAS)
        numbers = itertools.count()
        chats = (
            _ids.ChatHash(_ranking.chat_hash("chat", str(n))) for n in numbers
        )
        chat = next(
            chat
            for chat in chats
            if fleet.owner_of(_ranking.first(REPLICAS, chat)) == "d1"
        )
        home = fixtures.target(_ranking.first(REPLICAS, chat), slots=64)
        fleet.daemon_by_name["d1"].targets.handle_report(home, BACKOFF)
        placement = fleet.daemon_by_name["d0"].admit(chat, rank=1)
        assert (placement.target.replica, placement.owner) == (
            home.replica,
            "d1",
        )
