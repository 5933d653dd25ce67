"""What a replica gets of all daemons together while it is cold."""

import itertools
import random

import msgspec
import pytest

from tests.topazlug.forwarding import forwarding_fixtures as fixtures
from tests.topazlug.placement import owner_fixtures
from topazlug import _errors
from topazlug import _ids
from topazlug.routing import _ranking
from topazlug.targets import _cold_replicas

REPLICAS = ("i-0", "i-1", "i-2", "i-3")
COLD = _ids.ReplicaId("i-0")
PER_SECOND = 14.0
SECONDS = 3.0
# What the platform allows in any second, of all daemons.
MOST_IN_A_SECOND = 1.5 * PER_SECOND + 5
SIZES = (8, 70, 195, 880)
STEP_SECONDS = 0.005


def home_of(chat):
    return _ranking.first(REPLICAS, chat)


def chats_of(replica):
    """Give chats whose home a replica is."""
    return (
        _ids.ChatHash(chat)
        for chat in (
            _ranking.chat_hash("c", str(n)) for n in itertools.count()
        )
        if home_of(chat) == replica
    )


class Return:
    """A fleet whose replica i-0 comes back cold under all of its chats."""

    def __init__(self, count, *, names=REPLICAS, slots=64):
        self.random = random.Random(count)
        self.fleet = owner_fixtures.Fleet(
            *(f"d{number}" for number in range(count)),
            replicas=names,
            slots=slots,
        )
        self.daemons = list(self.fleet.daemons)
        start = _cold_replicas.ColdStart(SECONDS, PER_SECOND)
        for daemon in self.daemons:
            daemon.targets.cold.set_cold_starts({fixtures.GROUP: start})
        self.chats = list(itertools.islice(chats_of(COLD), 400))
        self.sent = []
        self.refused = 0
        self._held = []

    @property
    def owner(self):
        return self.fleet.owner_of(COLD)

    def list(self, *, cold=(COLD,), cold_for=SECONDS, daemons=None):
        """Have daemons read that replicas are cold."""
        targets = [
            msgspec.structs.replace(
                one, cold_for=cold_for if one.replica in cold else 0.0
            )
            for one in self.fleet.targets
        ]
        for daemon in daemons or self.daemons:
            daemon.targets.take_list(targets)

    def run(self, seconds, *, each_step=lambda: None, **request):
        """Send two requests a step, for so long."""
        end = self.fleet.clock.monotonic() + seconds
        while self.fleet.clock.monotonic() < end:
            each_step()
            self._release()
            for _ in range(2):
                self._send(request)
            self.fleet.clock.advance(STEP_SECONDS)

    def _send(self, request):
        daemon = self.random.choice(self.daemons)
        try:
            place = daemon.admit(self.random.choice(self.chats), **request)
        except _errors.RequestError as error:
            assert error.retry_after
            self.refused += 1
            return
        now = self.fleet.clock.monotonic()
        self._held.append((now, daemon, place))
        if place.target.replica == COLD:
            self.sent.append(now)

    def _release(self):
        now = self.fleet.clock.monotonic()
        while self._held and self._held[0][0] < now - 0.05:
            _, daemon, place = self._held.pop(0)
            daemon.admission.release(place)

    def most_in_a_second(self):
        return max(
            (
                sum(first <= at < first + 1.0 for at in self.sent)
                for first in self.sent
            ),
            default=0,
        )


class TestColdReplica:
    """Symptom: a replica crashes in the second in which it is back.

    Sequence of events: it comes back; all of its chats return to it, through
    daemons that each see a sliver of them. Cause: nobody counted what it got
    of all daemons together.
    """

    @pytest.mark.parametrize("count", SIZES)
    def test_stays_within_its_rate(self, count):
        back = Return(count)
        back.list()
        back.run(1.5)
        assert back.most_in_a_second() <= MOST_IN_A_SECOND
        assert len(back.sent) >= 0.5 * PER_SECOND
        assert back.refused == 0

    @pytest.mark.parametrize("count", SIZES[:3])
    def test_owner_says_nothing(self, count):
        back = Return(count)
        back.list()
        back.fleet.silent.add(back.owner)
        back.run(1.5)
        assert back.most_in_a_second() <= MOST_IN_A_SECOND
        assert back.refused == 0

    @pytest.mark.parametrize("count", SIZES[:3])
    def test_two_daemons_take_themselves_for_its_owner(self, count):
        back = Return(count)
        back.list()
        owner = back.owner
        known = [name for name in back.fleet.daemon_by_name if name != owner]
        for daemon in back.daemons[::2]:
            if daemon is not back.fleet.daemon_by_name[owner]:
                daemon.owners.take_daemons(dict.fromkeys(known))
        second = back.daemons[0].owners.owner_of(COLD)
        if second in back.fleet.daemon_by_name and second != owner:
            back.fleet.daemon_by_name[second].owners.take_daemons(
                dict.fromkeys(known)
            )
        back.run(1.5)
        assert back.most_in_a_second() <= MOST_IN_A_SECOND

    @pytest.mark.parametrize("count", SIZES[:3])
    def test_only_some_have_read_that_it_is_cold(self, count):
        """The owner has not, but hears of it with each ask."""
        back = Return(count)
        informed = [
            daemon
            for number, daemon in enumerate(back.daemons)
            if number % 2
            and daemon is not back.fleet.daemon_by_name[back.owner]
        ]
        back.list(daemons=informed)
        back.daemons = informed
        back.run(1.5)
        assert back.most_in_a_second() <= MOST_IN_A_SECOND

    @pytest.mark.parametrize("count", SIZES[:3])
    def test_one_daemon_found_it_gone(self, count):
        """Nobody has read anything: it crashed and is back at once."""
        back = Return(count)
        back.list(cold=())
        place = back.daemons[1].admit(back.chats[0])
        back.daemons[1].admission.note_unreached(place, is_silent=False)
        back.daemons[1].admission.release(place)
        # Without a word of the owner others would go on by their own view.
        back.run(1.5)
        assert back.most_in_a_second() <= MOST_IN_A_SECOND

    def test_gets_its_chats_once_it_is_warm(self):
        back = Return(8)
        back.list()
        back.run(0.5)
        back.list(cold=())
        back.sent.clear()
        # Those that went elsewhere meanwhile have their context there now.
        back.chats = list(itertools.islice(chats_of(COLD), 400, 800))
        back.run(1.0)
        assert len(back.sent) > 2 * MOST_IN_A_SECOND


class TestAllAreCold:
    @pytest.mark.parametrize("keeps_context", [True, False])
    def test_as_many_are_served_as_they_stand(self, keeps_context):
        back = Return(8)
        back.list(cold=REPLICAS)
        back.run(2.0, keeps_context=keeps_context, rank=1)
        assert back.most_in_a_second() <= MOST_IN_A_SECOND
        assert back.refused > 0
        assert back.sent

    def test_nobody_is_sent_there_without_a_word(self):
        back = Return(8)
        back.list(cold=REPLICAS)
        back.fleet.silent.update(back.fleet.daemon_by_name)
        back.daemons = [
            one for one in back.daemons if one.owners.ledger_of(COLD) is None
        ]
        back.run(0.5)
        assert not back.sent
