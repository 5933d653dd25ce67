"""Where a prompt is read that would stall streams at the chat's home."""

import itertools

import gevent
import pytest

from tests.topazlug.placement import owner_fixtures
from topazlug import _ids
from topazlug._generated import messages
from topazlug.capacity import _rank_limits
from topazlug.routing import _owner_features
from topazlug.routing import _placement
from topazlug.routing import _ranking

DAEMONS = tuple(f"d{n}" for n in range(12))
REPLICAS = tuple(f"i-{n}" for n in range(4))
OBJECTIVE = 1.0
SHORT = 4_000
LONG = 30_000


def chats():
    """Return an endless series of chats."""
    return (
        _ids.ChatHash(_ranking.chat_hash("chat", str(n)))
        for n in itertools.count()
    )


def ranking_of(chat):
    return [
        _ids.ReplicaId(one) for one in _ranking.rank(REPLICAS, chat, count=4)
    ]


def request(chat, tokens=LONG, **changes):
    """Return the fields of a request for a prompt of some length."""
    return {
        "chat": chat,
        "rank": 0,
        "prompt": chat,
        "latency_objective": OBJECTIVE,
        "prompt_tokens": tokens,
        "shared_tokens": tokens - 100,
        "max_pause": 0.4,
        **changes,
    }


def asks(fleet):
    """Return the replicas whose owners other daemons asked, in order."""
    return [
        message.replica
        for message in fleet.sent
        if isinstance(message, messages.AdmitAsk)
    ]


class Scene:
    """A fleet whose owners know the slowness of all replicas.

    Entry daemons own no replica, so that all requests to owners are seen. The
    owners of the chat's home and of the next two replicas differ.
    """

    def __init__(self, **fleet_changes):
        self.fleet = owner_fixtures.Fleet(
            *DAEMONS, replicas=REPLICAS, **fleet_changes
        )
        owner_of = self.fleet.owner_of
        owners = set(map(owner_of, REPLICAS))
        self.entries = [name for name in DAEMONS if name not in owners]
        self.daemon = self.fleet.daemon_by_name[self.entries[0]]
        self.chat = next(
            chat
            for chat in itertools.islice(chats(), 1000)
            if len(set(map(owner_of, ranking_of(chat)[:3]))) == 3
        )
        self.home, self.second, self.third = ranking_of(self.chat)[:3]
        for replica in REPLICAS:
            self.report(replica, 1.0)

    def ledger(self, replica):
        owner = self.fleet.daemon_by_name[self.fleet.owner_of(replica)]
        return owner.owners.ledger_of(replica)

    def report(self, replica, slowness):
        """Report a replica's slowness in the head of an answer."""
        word = messages.EngineWord(
            replica=replica, running=1, waiting=0, slowness=slowness
        )
        self.daemon.links.send(self.fleet.owner_of(replica), word)
        self.fleet.sent.clear()

    def admit(self, *, by=0, **changes):
        """Place a request through one of the entry daemons."""
        daemon = self.fleet.daemon_by_name[self.entries[by]]
        return daemon.admit(**request(self.chat, **changes))

    def run_streams(self, *replicas, count=3):
        """Let each of some replicas run streams whose prompts are known."""
        for replica in replicas:
            chat = next(c for c in chats() if ranking_of(c)[0] == replica)
            for _ in range(count):
                self.daemon.admit(**request(chat, 100, shared_tokens=0))
        self.fleet.clock.advance(0.1)
        self.fleet.sent.clear()

    def report_read(self, placement, *, by=0, seconds=0.2):
        head = _placement.AnswerHead(
            seconds=seconds, running=1, waiting=0, slowness=1.0
        )
        daemon = self.fleet.daemon_by_name[self.entries[by]]
        daemon.admission.handle_response_head(placement, head)


@pytest.fixture
def scene():
    return Scene()


class TestSearch:
    def test_harmless_read_asks_only_the_home(self, scene):
        scene.run_streams(scene.home)
        placement = scene.admit(tokens=SHORT)
        assert placement.target.replica == scene.home
        assert asks(scene.fleet) == [scene.home]

    def test_stalling_read_goes_to_the_next_replica(self, scene):
        """Streams must not be stalled while other replicas are free."""
        scene.run_streams(scene.home)
        placement = scene.admit(tokens=15_000)
        assert placement.target.replica == scene.second
        assert asks(scene.fleet) == [scene.home, scene.second]
        counts = scene.daemon.admission.read_placements
        assert (counts.moved_count, counts.stalling_count) == (1, 0)

    def test_moved_chat_stays_where_its_context_is(self, scene):
        """A moved read must not be followed by another at the home."""
        scene.run_streams(scene.home)
        scene.report_read(scene.admit(tokens=15_000))
        scene.fleet.sent.clear()
        placement = scene.admit(by=1, tokens=15_000)
        assert placement.target.replica == scene.second
        assert not placement.reads_context

    def test_least_stall_gets_a_read_that_stalls_everywhere(self, scene):
        scene.run_streams(scene.home, scene.second, count=5)
        scene.run_streams(scene.third, count=2)
        placement = scene.admit()
        assert placement.target.replica == scene.third
        assert placement.owner == scene.fleet.owner_of(scene.third)
        ranked = [scene.home, scene.second, scene.third]
        assert asks(scene.fleet) == [*ranked, scene.third]
        counts = scene.daemon.admission.read_placements
        assert (counts.moved_count, counts.stalling_count) == (1, 1)

    def test_home_is_kept_if_no_replica_is_better(self, scene):
        placement = scene.admit()
        assert placement.target.replica == scene.home
        counts = scene.daemon.admission.read_placements
        assert (counts.moved_count, counts.stalling_count) == (0, 1)

    def test_slow_replica_reads_only_short_prompts(self, scene):
        scene.run_streams(scene.home)
        scene.report(scene.home, 2.5)
        assert scene.admit(tokens=6_000).target.replica == scene.second

    def test_known_context_stays(self, scene):
        scene.report_read(scene.admit(tokens=SHORT))
        scene.run_streams(scene.home)
        scene.report(scene.home, 6.0)
        assert scene.admit().target.replica == scene.home

    def test_copied_context_is_hardly_read(self, scene):
        """A chat that moves must not be sent on because of a short copy."""
        scene.run_streams(scene.home)
        placement = scene.admit(held_tokens=LONG - 100)
        assert placement.target.replica == scene.home

    def test_resumed_stream_is_placed_at_once(self, scene):
        scene.run_streams(scene.home)
        assert scene.admit(rank=-1).target.replica == scene.home
        assert asks(scene.fleet) == [scene.home]

    def test_full_replica_among_those_that_stall(self, scene):
        """No request may be rejected because its prompt stalls streams."""
        scene.run_streams(scene.home, scene.third)
        scene.run_streams(scene.second)
        ledger = scene.ledger(scene.second)
        ledger.rank_limits = _rank_limits.RankLimits(slots=1)
        placement = scene.admit()
        assert placement.target.replica == scene.home
        assert placement.owner == scene.fleet.owner_of(scene.home)
        ranked = [scene.home, scene.second, scene.third]
        assert asks(scene.fleet) == [*ranked, scene.home]

    def test_requests_that_arrive_together_read_once(self, scene):
        """Several requests of a chat must not read it on two replicas."""
        scene.run_streams(scene.home)
        placements = []

        def place(number):
            placement = scene.admit(by=number, tokens=15_000)
            placements.append(placement)
            gevent.sleep(0)
            if placement.reads_context:
                scene.report_read(placement, by=number)

        gevent.joinall(
            [gevent.spawn(place, number) for number in range(4)],
            raise_error=True,
        )
        replicas = {placement.target.replica for placement in placements}
        assert replicas == {scene.second}
        assert len(placements) == 4
        granted = [
            ledger.context_reads.state(
                scene.chat, now=scene.fleet.clock.monotonic()
            ).value
            for ledger in map(scene.ledger, REPLICAS)
        ]
        assert granted.count("known") == 1 and "wait" not in granted

    def test_home_that_turns_free_during_a_search(self, scene):
        """A later request must not read at home what an earlier one moves."""
        scene.run_streams(scene.home)
        placements = []

        def place():
            placements.append(scene.admit(tokens=15_000))
            scene.report_read(placements[-1])

        def free_home_and_place():
            scene.ledger(scene.home).entry_by_key.clear()
            placements.append(scene.admit(by=1, tokens=15_000))

        gevent.joinall(
            [gevent.spawn(place), gevent.spawn(free_home_and_place)],
            raise_error=True,
        )
        replicas = [placement.target.replica for placement in placements]
        assert replicas == [scene.second, scene.second]


class TestInactive:
    @pytest.mark.parametrize(
        "case", ["feature off", "no tokens", "no slowness"]
    )
    def test_prompts_are_read_at_home(self, case):
        """Service of deployments without the reports must not change."""
        features = _owner_features.OwnerFeatures(
            prompt_reads=case != "feature off"
        )
        scene = Scene(features=features)
        scene.run_streams(scene.home)
        if case == "no slowness":
            scene.ledger(scene.home).speed.is_reported = False
        tokens = 0 if case == "no tokens" else LONG
        placement = scene.admit(prompt_tokens=tokens)
        assert placement.target.replica == scene.home
        assert asks(scene.fleet) == [scene.home]


class TestFailures:
    def test_lost_owner(self, scene):
        """A new owner must not move chats whose contexts it does not know."""
        scene.run_streams(scene.home)
        lost = scene.fleet.owner_of(scene.home)
        remaining = {name: None for name in DAEMONS if name != lost}
        for daemon in scene.fleet.daemons:
            daemon.owners.update_daemons(remaining)
        scene.report(scene.home, 1.0)
        assert scene.admit().target.replica == scene.home
        scene.fleet.clock.advance(3.0)
        scene.run_streams(scene.home)
        chat = next(
            c
            for c in chats()
            if c != scene.chat and ranking_of(c)[0] == scene.home
        )
        placement = scene.daemon.admit(**request(chat, 15_000))
        assert placement.target.replica != scene.home

    def test_new_ledger_starts_from_the_rate_of_its_group(self, scene):
        """A replica that changes its owner must not seem slower again."""
        scene.report_read(scene.admit(tokens=SHORT), seconds=0.01)
        learnt = scene.ledger(scene.home).prompt_reads
        assert learnt.is_rate_learnt
        owner = scene.fleet.owner_of(scene.home)
        others = [
            replica
            for replica in REPLICAS
            if scene.fleet.owner_of(replica) != owner
        ]
        for daemon in scene.fleet.daemons:
            daemon.owners.update_daemons({owner: None})
        rates = {scene.ledger(replica).prompt_reads.rate for replica in others}
        assert rates == {learnt.rate}

    def test_paused_owner(self, scene):
        """Nor may an owner whose counts are uncertain after a pause."""
        scene.run_streams(scene.home)
        now = scene.fleet.clock.monotonic()
        scene.ledger(scene.home).uncertain_until = now + 2.5
        assert scene.admit().target.replica == scene.home

    def test_owner_of_the_home_does_not_reply(self, scene):
        """The entry daemon's own view decides, after one timeout."""
        scene.fleet.unresponsive.add(scene.fleet.owner_of(scene.home))
        placement = scene.admit()
        assert placement.target.replica == scene.home
        assert placement.owner is None

    def test_owner_of_the_next_replica_does_not_reply(self, scene):
        """A slot that was nearly granted must not become uncounted."""
        scene.run_streams(scene.home)
        scene.fleet.unresponsive.add(scene.fleet.owner_of(scene.second))
        placement = scene.admit()
        assert placement.target.replica == scene.home
        assert placement.owner == scene.fleet.owner_of(scene.home)
        assert scene.third not in asks(scene.fleet)

    def test_figure_of_slowness_stops(self, scene):
        """A slow moment that ended unreported must not move reads."""
        scene.run_streams(scene.home)
        for slowness in (1.0,) * 20 + (2.5,):
            scene.report(scene.home, slowness)
        scene.fleet.clock.advance(12.0)
        assert scene.admit(tokens=6_000).target.replica == scene.home

    def test_figure_of_zero_is_no_figure(self, scene):
        scene.run_streams(scene.home)
        scene.report(scene.home, 0.0)
        assert scene.admit(tokens=6_000).target.replica == scene.home

    def test_lost_reports_of_reads(self, scene):
        """Reads whose heads are lost must not close a replica."""
        for chat in [c for c in itertools.islice(chats(), 40)]:
            if ranking_of(chat)[0] == scene.home:
                scene.daemon.admit(**request(chat, SHORT))
        scene.fleet.clock.advance(10.0)
        assert scene.admit(tokens=SHORT).target.replica == scene.home

    def test_daemon_dies_with_a_granted_read(self, scene):
        """Its read must not stall, or wait for, others for long."""
        dead = scene.admit(by=1, tokens=SHORT)
        assert dead.target.replica == scene.home
        owner = scene.fleet.daemon_by_name[dead.owner].owners
        scene.fleet.clock.advance(5.0)
        owner.drop_unresponsive()
        assert scene.ledger(scene.home).load == 0
        placement = scene.admit(tokens=SHORT)
        assert placement.target.replica == scene.home
        assert placement.reads_context

    def test_replica_restarts(self, scene):
        """Nothing that was learnt of the old process is held against it."""
        scene.report(scene.home, 6.0)
        scene.fleet.targets = [
            (
                owner_fixtures.restarted(one)
                if one.replica == scene.home
                else one
            )
            for one in scene.fleet.targets
        ]
        for daemon in scene.fleet.daemons:
            daemon.views.update_targets(scene.fleet.targets)
            daemon.targets.set_list(scene.fleet.targets)
        ledger = scene.ledger(scene.home)
        assert not ledger.speed.is_reported
        assert scene.admit().target.replica == scene.home
        assert asks(scene.fleet) == [scene.home]
