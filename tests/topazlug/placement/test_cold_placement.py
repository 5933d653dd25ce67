"""Requests that all daemons together send to a replica that just started."""

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
# Limit of the platform over all daemons, for any second.
MAX_IN_A_SECOND = 1.5 * PER_SECOND + 5
FLEET_SIZES = (8, 70, 195, 880)
STEP_SECONDS = 0.005


def home_of(chat):
    return _ranking.first(REPLICAS, chat)


def chats_of(replica):
    """Return chats whose home is a given replica."""
    return (
        _ids.ChatHash(chat)
        for chat in (
            _ranking.chat_hash("c", str(n)) for n in itertools.count()
        )
        if home_of(chat) == replica
    )


class RestartReplay:
    """Requests for chats of replica i-0, which has just restarted."""

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
        self.rejected = 0
        self._held = []

    @property
    def owner(self):
        return self.fleet.owner_of(COLD)

    def list_cold(self, *, cold=(COLD,), cold_for=SECONDS, daemons=None):
        """Update daemons with a list in which some replicas are cold."""
        targets = [
            msgspec.structs.replace(
                one, cold_for=cold_for if one.replica in cold else 0.0
            )
            for one in self.fleet.targets
        ]
        for daemon in daemons or self.daemons:
            daemon.targets.set_list(targets)

    def run(self, seconds, *, each_step=lambda: None, **request):
        """Send two requests in each step for a number of seconds."""
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
            placement = daemon.admit(self.random.choice(self.chats), **request)
        except _errors.RequestError as error:
            assert error.retry_after
            self.rejected += 1
            return
        now = self.fleet.clock.monotonic()
        self._held.append((now, daemon, placement))
        if placement.target.replica == COLD:
            self.sent.append(now)

    def _release(self):
        now = self.fleet.clock.monotonic()
        while self._held and self._held[0][0] < now - 0.05:
            _, daemon, placement = self._held.pop(0)
            daemon.admission.release(placement)

    def max_in_a_second(self):
        return max(
            (
                sum(first <= at < first + 1.0 for at in self.sent)
                for first in self.sent
            ),
            default=0,
        )


class TestColdReplica:
    """A restarted replica must not crash under the load of all daemons.

    All of its chats return to it through daemons that each get only a small
    part of them. The replica crashed when no daemon counted the requests of
    all daemons together.
    """

    @pytest.mark.parametrize("count", FLEET_SIZES)
    def test_stays_within_its_rate(self, count):
        replay = RestartReplay(count)
        replay.list_cold()
        replay.run(1.5)
        assert replay.max_in_a_second() <= MAX_IN_A_SECOND
        assert len(replay.sent) >= 0.5 * PER_SECOND
        assert replay.rejected == 0

    @pytest.mark.parametrize("count", FLEET_SIZES[:3])
    def test_owner_does_not_reply(self, count):
        replay = RestartReplay(count)
        replay.list_cold()
        replay.fleet.unresponsive.add(replay.owner)
        replay.run(1.5)
        assert replay.max_in_a_second() <= MAX_IN_A_SECOND
        assert replay.rejected == 0

    @pytest.mark.parametrize("count", FLEET_SIZES[:3])
    def test_two_daemons_act_as_its_owner(self, count):
        replay = RestartReplay(count)
        replay.list_cold()
        owner = replay.owner
        known = [name for name in replay.fleet.daemon_by_name if name != owner]
        for daemon in replay.daemons[::2]:
            if daemon is not replay.fleet.daemon_by_name[owner]:
                daemon.owners.update_daemons(dict.fromkeys(known))
        second = replay.daemons[0].owners.owner_of(COLD)
        if second in replay.fleet.daemon_by_name and second != owner:
            replay.fleet.daemon_by_name[second].owners.update_daemons(
                dict.fromkeys(known)
            )
        replay.run(1.5)
        assert replay.max_in_a_second() <= MAX_IN_A_SECOND

    @pytest.mark.parametrize("count", FLEET_SIZES[:3])
    def test_only_some_daemons_list_it_as_cold(self, count):
        """The owner must be notified by the admission requests."""
        replay = RestartReplay(count)
        informed = [
            daemon
            for number, daemon in enumerate(replay.daemons)
            if number % 2
            and daemon is not replay.fleet.daemon_by_name[replay.owner]
        ]
        replay.list_cold(daemons=informed)
        replay.daemons = informed
        replay.run(1.5)
        assert replay.max_in_a_second() <= MAX_IN_A_SECOND

    @pytest.mark.parametrize("count", FLEET_SIZES[:3])
    def test_one_daemon_could_not_connect(self, count):
        """The replica crashed and restarted before any list showed it."""
        replay = RestartReplay(count)
        replay.list_cold(cold=())
        placement = replay.daemons[1].admit(replay.chats[0])
        replay.daemons[1].admission.handle_connection_failure(
            placement, timed_out=False
        )
        replay.daemons[1].admission.release(placement)
        # All lists show the replica as warm, so the owner must be notified.
        replay.run(1.5)
        assert replay.max_in_a_second() <= MAX_IN_A_SECOND

    def test_gets_its_chats_once_it_is_warm(self):
        replay = RestartReplay(8)
        replay.list_cold()
        replay.run(0.5)
        replay.list_cold(cold=())
        replay.sent.clear()
        # Chats that were placed elsewhere meanwhile stay where their context
        # is now, so other chats are used.
        replay.chats = list(itertools.islice(chats_of(COLD), 400, 800))
        replay.run(1.0)
        assert len(replay.sent) > 2 * MAX_IN_A_SECOND


class TestAllAreCold:
    @pytest.mark.parametrize("keeps_context", [True, False])
    def test_requests_within_the_rate_are_served(self, keeps_context):
        replay = RestartReplay(8)
        replay.list_cold(cold=REPLICAS)
        replay.run(2.0, keeps_context=keeps_context, rank=1)
        assert replay.max_in_a_second() <= MAX_IN_A_SECOND
        assert replay.rejected > 0
        assert replay.sent

    def test_nothing_is_sent_without_an_owners_reply(self):
        replay = RestartReplay(8)
        replay.list_cold(cold=REPLICAS)
        replay.fleet.unresponsive.update(replay.fleet.daemon_by_name)
        replay.daemons = [
            one for one in replay.daemons if one.owners.ledger_of(COLD) is None
        ]
        replay.run(0.5)
        assert not replay.sent
