"""Replicas that turn requests away, before many daemons."""

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
WORD = _target_report.TargetReport(backoff=BACKOFF_SECONDS)
PER_SECOND = 200
CHATS = 2000
SEED = 3


class Replay:
    """Requests of many chats, through daemons at random.

    Parameters
    ----------
    daemons : int
        How many.
    shedding : tuple of str
        Replicas that turn requests away.
    part : float
        Part of its requests that such a one turns away.
    """

    def __init__(self, *, daemons, shedding, part=1.0):
        names = [f"d{n}" for n in range(daemons)]
        self.fleet = owner_fixtures.Fleet(*names, replicas=REPLICAS)
        self.shedding = shedding
        self.part = part
        self.random = random.Random(SEED)
        self.sent = 0
        self.turned_away = 0
        self.refused = []

    def run(self, seconds):
        for _ in range(int(seconds * PER_SECOND)):
            self.fleet.clock.advance(1.0 / PER_SECOND)
            self.ask()

    def ask(self):
        daemon = self.random.choice(list(self.fleet.daemons))
        name = str(self.random.randrange(CHATS))
        chat = _ids.ChatHash(_ranking.chat_hash("chat", name))
        try:
            place = daemon.admit(chat, rank=1)
        except _errors.RequestError as error:
            self.refused.append(error)
            return
        if place.target.replica in self.shedding:
            self.sent += 1
            if self.random.random() < self.part:
                self.turned_away += 1
                daemon.targets.handle_report(place.target, WORD)
        daemon.admission.release(place)


class TestManyDaemons:
    @pytest.mark.parametrize("daemons", [9, 24, 70])
    @pytest.mark.parametrize("count", [1, 4])
    def test_few_requests_are_turned_away_whatever_their_number(
        self, daemons, count
    ):
        """Each of 70 daemons has requests turned away to learn the same."""
        replay = Replay(daemons=daemons, shedding=REPLICAS[:count])
        backoffs = 3
        replay.run(backoffs * BACKOFF_SECONDS)
        # Two daemons show that it is not about one of them.
        assert replay.turned_away <= 2 * backoffs * count
        assert not replay.refused

    def test_one_that_serves_most_goes_on_getting_requests(self):
        replay = Replay(daemons=9, shedding=REPLICAS[:1], part=0.05)
        alone = Replay(daemons=9, shedding=REPLICAS[:1], part=0.0)
        for one in (replay, alone):
            one.run(9.0)
        assert replay.turned_away
        assert replay.sent > alone.sent / 3

    def test_all_daemons_send_again_when_it_is_over(self):
        replay = Replay(daemons=9, shedding=REPLICAS[:1])
        replay.run(BACKOFF_SECONDS)
        replay.part = 0.0
        replay.sent = 0
        replay.run(2 * BACKOFF_SECONDS)
        assert replay.sent > 0.8 * BACKOFF_SECONDS * PER_SECOND / 20

    def test_who_waits_is_refused_once_where_all_turn_away(self):
        replay = Replay(daemons=9, shedding=REPLICAS)
        replay.run(1.0)
        replay.refused.clear()
        replay.turned_away = 0
        replay.run(1.0)
        assert replay.turned_away == 0
        assert len(replay.refused) == PER_SECOND
        waits = [error.retry_after for error in replay.refused]
        assert all(0.0 < wait <= BACKOFF_SECONDS for wait in waits)


class TestOwner:
    def test_its_own_backoff_is_not_everybodys(self):
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
        fleet.daemon_by_name["d1"].targets.handle_report(home, WORD)
        place = fleet.daemon_by_name["d0"].admit(chat, rank=1)
        assert (place.target.replica, place.owner) == (home.replica, "d1")
