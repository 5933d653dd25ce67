"""Placement of work while replicas are slower than others."""

import collections
import itertools

import pytest

from tests.topazlug.placement import owner_fixtures
from topazlug import _ids
from topazlug._generated import messages
from topazlug.routing import _owner_features
from topazlug.routing import _ranking

DAEMONS = tuple(f"d{n}" for n in range(5))
REPLICAS = tuple(f"i-{n}" for n in range(6))
SLOW = _ids.ReplicaId("i-0")
STEP_SECONDS = 0.1
# New requests of new chats in each step. Each holds its slot for this many
# steps times the slowness of its replica, which makes a mean load of 5.
ARRIVALS = 3
HOLD_STEPS = 10
WITHOUT = _owner_features.OwnerFeatures(replica_speed=False)


def make_fleet(features=_owner_features.DEFAULT_FEATURES):
    return owner_fixtures.Fleet(
        *DAEMONS, replicas=REPLICAS, slots=48, features=features
    )


def report_slowness(fleet, slowness_by_replica):
    """Deliver one head of an answer of each replica to its owner."""
    for replica, slowness in slowness_by_replica.items():
        daemon = fleet.daemon_by_name["d0"]
        daemon.owners.owner_client.report_response_head(
            replica,
            messages.EngineWord(
                replica=replica, running=1, waiting=0, slowness=slowness
            ),
        )


def ledger_of(fleet, replica):
    owner = fleet.daemon_by_name[fleet.owner_of(replica)]
    return owner.owners.ledger_of(replica)


class Load:
    """Constant load of new chats on a fleet.

    Parameters
    ----------
    fleet : Fleet
        The fleet.
    slows_work : bool
        Whether a slow replica takes longer for its work.

    Attributes
    ----------
    placed : list
        Replicas that requests were placed at, by step.
    over_bound : int
        Requests placed at a replica above 2 times the mean load plus 3.
    """

    def __init__(self, fleet, *, slows_work=True):
        self.fleet = fleet
        self._slows_work = slows_work
        self.placed = []
        self.over_bound = 0
        self._held_until = []
        self._entries = itertools.cycle(fleet.daemons)
        self._numbers = itertools.count()

    def run(self, seconds, slowness_by_replica):
        """Run for some seconds; return how many requests each replica got."""
        start = len(self.placed)
        for _ in range(round(seconds / STEP_SECONDS)):
            self._step(slowness_by_replica)
        return collections.Counter(
            itertools.chain.from_iterable(self.placed[start:])
        )

    def _step(self, slowness_by_replica):
        report_slowness(self.fleet, slowness_by_replica)
        placements = []
        for _ in range(ARRIVALS):
            daemon = next(self._entries)
            chat = _ranking.chat_hash("chat", str(next(self._numbers)))
            placement = daemon.admit(_ids.ChatHash(chat))
            placements.append((daemon, placement))
            loads = self.fleet.load_by_replica()
            mean = sum(loads.values()) / len(loads)
            held = loads[placement.target.replica] - 1
            self.over_bound += held > 2 * mean + 3
        self.placed.append([p.target.replica for _, p in placements])
        step = len(self.placed)
        for daemon, placement in placements:
            factor = 1.0
            if self._slows_work:
                factor = slowness_by_replica[placement.target.replica]
            until = step + HOLD_STEPS * factor
            self._held_until.append((until, daemon, placement))
        ended = [entry for entry in self._held_until if entry[0] <= step]
        for entry in ended:
            self._held_until.remove(entry)
            entry[1].admission.release(entry[2])
        self.fleet.report()


def slowness(slow, *, others=1.0):
    return {**dict.fromkeys(REPLICAS, others), SLOW: slow}


class TestSlowInstance:
    def test_loses_new_work_within_a_second(self):
        """A slow replica got as much work as the others, and all was late."""
        load = Load(make_fleet())
        load.run(4.0, slowness(1.0))
        load.run(1.0, slowness(2.5))
        placed = load.run(5.0, slowness(2.5))
        others = (placed.total() - placed[SLOW]) / (len(REPLICAS) - 1)
        assert placed[SLOW] <= 0.4 * others
        assert placed[SLOW] >= 1
        assert load.over_bound == 0

    def test_regains_new_work_without_oscillation(self):
        """A replica that had recovered stayed idle, or was flooded."""
        load = Load(make_fleet())
        load.run(4.0, slowness(1.0))
        load.run(6.0, slowness(2.5))
        load.run(2.0, slowness(1.0))
        placed = load.run(6.0, slowness(1.0))
        mean = placed.total() / len(REPLICAS)
        assert 0.6 * mean <= placed[SLOW] <= 1.4 * mean
        assert load.over_bound == 0

    def test_all_replicas_are_slow(self):
        """Requests were rejected when no replica was within its limit."""
        load = Load(make_fleet())
        load.run(4.0, slowness(1.0))
        placed = load.run(4.0, slowness(2.5, others=2.5))
        assert placed.total() == 40 * ARRIVALS
        assert load.over_bound == 0

    @pytest.mark.parametrize("lost", [1, 2])
    def test_heads_are_lost_on_the_way(self, lost):
        """A slow replica kept its work when some of its heads were lost."""
        fleet = make_fleet()
        for step in range(40):
            if step % 3 >= lost:
                figure = 1.0 if step < 20 else 2.5
                report_slowness(fleet, slowness(figure))
            fleet.clock.advance(STEP_SECONDS)
        speed = ledger_of(fleet, SLOW).speed
        assert speed.sustained(now=fleet.clock.monotonic()) > 2.0


class TestNothingChanges:
    @pytest.mark.parametrize(
        "figures, features",
        [
            ({}, _owner_features.DEFAULT_FEATURES),
            (slowness(0.0, others=0.0), _owner_features.DEFAULT_FEATURES),
            (slowness(1e9, others=1e9), _owner_features.DEFAULT_FEATURES),
            (slowness(2.5), WITHOUT),
        ],
        ids=["not reported", "zero", "implausible", "switched off"],
    )
    def test_placements_are_the_same(self, figures, features):
        """Replicas that do not report their slowness lost work."""
        load = Load(make_fleet(features), slows_work=False)
        load.run(4.0, figures)
        expected = Load(make_fleet(WITHOUT), slows_work=False)
        expected.run(4.0, {})
        assert load.placed == expected.placed


class TestLowLoad:
    def test_chats_of_a_usually_slower_replica_stay(self):
        """At low load, chats moved away from replicas that report 1.3.

        Their contexts were read again on other replicas.
        """
        fleet = make_fleet()
        figures = dict.fromkeys(REPLICAS, 1.3)
        numbers = [_ranking.chat_hash("chat", str(n)) for n in range(400)]
        home_of = {chat: _ranking.first(REPLICAS, chat) for chat in numbers}
        on_slow = [chat for chat in numbers if home_of[chat] == SLOW]
        elsewhere = [chat for chat in numbers if home_of[chat] != SLOW]
        chats = elsewhere[:3] + on_slow[:3]
        for step in range(30):
            report_slowness(fleet, figures)
            placements = []
            for number, chat in enumerate(chats):
                # The mean that owners know lags by one report.
                fleet.report()
                daemon = fleet.daemon_by_name[
                    DAEMONS[(step + number) % len(DAEMONS)]
                ]
                placement = daemon.admit(_ids.ChatHash(chat))
                assert placement.target.replica == home_of[chat]
                placements.append((daemon, placement))
            for daemon, placement in placements:
                daemon.admission.release(placement)
            fleet.report()


class TestNewLedger:
    def slow_fleet(self):
        fleet = make_fleet()
        for _ in range(20):
            report_slowness(fleet, slowness(2.5))
            fleet.clock.advance(STEP_SECONDS)
        return fleet

    def test_new_owner_learns_the_slowness_again(self):
        """After the loss of an owner, a slow replica kept getting work."""
        fleet = self.slow_fleet()
        lost = fleet.owner_of(SLOW)
        remaining = [name for name in DAEMONS if name != lost]
        fleet.daemon_by_name = {
            name: fleet.daemon_by_name[name] for name in remaining
        }
        for daemon in fleet.daemons:
            daemon.owners.update_daemons(
                dict.fromkeys(map(_ids.DaemonId, remaining))
            )
        entry = fleet.daemon_by_name[remaining[0]]
        speed = ledger_of(fleet, SLOW).speed
        assert not speed.is_reported
        for _ in range(10):
            entry.owners.owner_client.report_response_head(
                SLOW,
                messages.EngineWord(
                    replica=SLOW, running=1, waiting=0, slowness=2.5
                ),
            )
            fleet.clock.advance(STEP_SECONDS)
        now = fleet.clock.monotonic()
        assert speed.sustained(now=now) == pytest.approx(2.5)

    def test_restarted_replica_is_not_slow(self):
        """A replica that was restarted elsewhere was kept without work."""
        fleet = self.slow_fleet()
        fleet.targets = [
            (
                owner_fixtures.restarted(target)
                if target.replica == SLOW
                else target
            )
            for target in fleet.targets
        ]
        for daemon in fleet.daemons:
            daemon.targets.set_list(fleet.targets)
        speed = ledger_of(fleet, SLOW).speed
        assert not speed.is_reported
        assert speed.sustained(now=fleet.clock.monotonic()) == 1.0


class TestWithoutOwners:
    def place(self, figure):
        """Place new chats by one daemon's own view; count those of SLOW."""
        fleet = make_fleet()
        daemon = fleet.daemon_by_name["d0"]
        daemon.admission.owner_client = None
        for _ in range(20):
            for replica in REPLICAS:
                view = daemon.views.of(replica)
                view.record_slowness(figure if replica == SLOW else 1.0)
            fleet.clock.advance(STEP_SECONDS)
        for number in range(60):
            chat = _ranking.chat_hash("chat", str(number))
            daemon.admit(_ids.ChatHash(chat), keeps_context=True)
        return fleet.load_by_replica()[SLOW]

    def test_slow_replica_gets_less(self):
        """Without an owner's reply, a slow replica got its full share."""
        assert self.place(4.0) < self.place(1.0)
