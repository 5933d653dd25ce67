"""Chats return to the replicas that hold their contexts under new owners."""

import itertools

import pytest

from tests.topazlug.forwarding import forwarding_fixtures
from tests.topazlug.placement import owner_fixtures
from tests.topazlug.placement import recovery_fixtures as fixtures
from topazlug import _ids
from topazlug._generated import messages
from topazlug.capacity import _context_reads
from topazlug.capacity import _context_recovery
from topazlug.routing import _owner_features

STATE = _context_recovery.RecoveryState
READ = _context_reads.ReadState
VERDICT = messages.Verdict


@pytest.fixture
def scene():
    return fixtures.Scene()


class TestRecovery:
    def test_displaced_chat_returns_to_its_holder(self, scene):
        """Chats must not be read again at home after all owners were lost."""
        scene.restart()
        assert sorted(scene.fleet.contexts.asked) == sorted(fixtures.REPLICAS)
        placement = scene.admit()
        assert placement.target.replica == scene.holder
        assert not placement.reads_context
        recoveries = scene.owners(scene.home_owner).recoveries
        assert recoveries.displaced_count == 1

    def test_context_at_home_is_known(self, scene):
        scene.fleet.contexts.chats_by_replica = {scene.home: [scene.chat]}
        scene.restart()
        placement = scene.admit()
        assert placement.target.replica == scene.home
        assert not placement.reads_context

    def test_loss_of_one_owner(self, scene):
        """The new owner of one replica must learn what it holds."""
        scene.fleet.remove(scene.home_owner)
        fixtures.settle()
        assert scene.home in scene.fleet.contexts.asked
        assert scene.holder not in scene.fleet.contexts.asked

    def test_small_context_is_left_out(self, scene):
        """Reading it takes less time than a message to another owner."""
        scene.fleet.contexts.chats_by_replica = {}
        contexts = [_context_recovery.HeldContext(scene.chat, 999)]
        scene.fleet.contexts.list_contexts = lambda target: contexts
        scene.restart()
        assert scene.admit().target.replica == scene.home

    def test_new_replica_is_not_asked(self, scene):
        """It holds nothing, and an answer costs it time."""
        scene.fleet.targets.append(forwarding_fixtures.target("i-9"))
        for daemon in scene.fleet.daemons:
            daemon.targets.set_list(scene.fleet.targets)
        fixtures.settle()
        assert scene.fleet.contexts.asked == []
        assert scene.ledger("i-9").context_recovery.state is STATE.NOT_NEEDED

    def test_replica_is_not_asked_before_prompts_arrive(self, scene):
        """A plain service would run the request; starts would cost lists."""
        scene.fleet.restart()
        fixtures.settle()
        assert scene.fleet.contexts.asked == []

    def test_switched_off(self):
        scene = fixtures.Scene(
            _owner_features.OwnerFeatures(
                context_recovery=False, is_capacity_short=True
            )
        )
        scene.restart()
        assert scene.fleet.contexts.asked == []
        assert scene.admit().target.replica == scene.home

    def test_replica_is_asked_when_it_reports_its_slowness(self):
        """Other deployments must send no additional requests."""
        scene = fixtures.Scene(
            _owner_features.OwnerFeatures(context_recovery=True)
        )
        scene.restart()
        assert scene.fleet.contexts.asked == []
        for _ in range(2):
            scene.report_slowness(scene.holder)
        fixtures.settle()
        assert scene.fleet.contexts.asked == [scene.holder]

    def test_plain_service_that_reports_its_slowness(self):
        """It has no list, and would run the request."""
        scene = fixtures.Scene(
            _owner_features.OwnerFeatures(context_recovery=True)
        )
        scene.fleet.restart()
        scene.report_slowness(scene.holder)
        fixtures.settle()
        assert scene.fleet.contexts.asked == []

    def test_chat_of_a_replica_that_reports_its_slowness_returns(self):
        scene = fixtures.Scene(
            _owner_features.OwnerFeatures(context_recovery=True)
        )
        scene.restart()
        scene.report_slowness(scene.holder)
        fixtures.settle()
        assert scene.admit().target.replica == scene.holder


class TestFailures:
    def test_replica_that_does_not_answer_is_asked_again(self, scene):
        """One lost answer must not cost all contexts of a replica."""
        scene.fleet.contexts.failure_count = len(fixtures.REPLICAS)
        scene.restart()
        for _ in range(2 * len(fixtures.REPLICAS)):
            fixtures.settle()
        assert len(scene.fleet.contexts.asked) == 2 * len(fixtures.REPLICAS)
        assert scene.admit().target.replica == scene.holder

    def test_replica_that_never_answers_is_given_up(self, scene):
        """Contexts are then learnt from reads, as without the list."""
        scene.fleet.contexts.failure_count = 1000
        scene.restart()
        assert len(scene.fleet.contexts.asked) == 3 * len(fixtures.REPLICAS)
        assert scene.ledger(scene.home).context_recovery.state is (
            STATE.GIVEN_UP
        )
        assert scene.admit().target.replica == scene.home
        owners = [daemon.owners for daemon in scene.fleet.daemons]
        given_up = sum(one.recoveries.given_up_count for one in owners)
        assert given_up == len(fixtures.REPLICAS)

    def test_replica_lost_while_the_list_is_awaited(self, scene):
        """An answer must not be recorded by a daemon that lost the replica."""
        owners = scene.owners(scene.holder_owner)

        def lose():
            scene.fleet.contexts.before_answer = lambda: None
            owners.update_daemons({_ids.DaemonId(scene.entry): None})

        scene.fleet.restart(scene.holder_owner)
        owners = scene.owners(scene.holder_owner)
        ledger = owners.ledger_of(scene.holder)
        scene.fleet.contexts.before_answer = lose
        scene.forget()
        scene.begin_prompts()
        fixtures.settle()
        assert scene.holder in scene.fleet.contexts.asked
        assert owners.ledger_of(scene.holder) is None
        assert ledger.context_recovery.state is STATE.AWAITED
        assert owners.recoveries.list_count == 0
        assert scene.fleet.sent == []

    def test_replica_restarts_while_the_list_is_awaited(self, scene):
        """Chats must not be sent to a process that holds nothing."""

        def restart():
            scene.fleet.contexts.before_answer = lambda: None
            scene.fleet.targets[:] = map(
                owner_fixtures.restarted, scene.fleet.targets
            )
            for daemon in scene.fleet.daemons:
                daemon.targets.set_list(scene.fleet.targets)

        scene.fleet.contexts.before_answer = restart
        scene.restart()
        ledger = scene.ledger(scene.holder)
        assert ledger.incarnation == 2
        assert ledger.context_recovery.state is STATE.NOT_NEEDED
        now = scene.fleet.clock.monotonic()
        assert ledger.context_reads.state(scene.chat, now=now) is READ.FIRST
        assert scene.admit().target.replica == scene.home

    def test_owner_of_the_home_is_unavailable(self, scene):
        """The other contexts must be recovered all the same.

        The next turn of the chat is read at home.
        """
        other = next(
            chat
            for chat in fixtures.chats()
            if scene.fleet.owner_of(fixtures.ranking_of(chat)[0])
            not in (scene.home_owner, scene.holder_owner)
        )
        held = [scene.chat, other]
        scene.fleet.contexts.chats_by_replica[scene.holder] = held
        scene.fleet.unreachable.add(scene.home_owner)
        scene.restart()
        scene.fleet.unreachable.clear()
        assert scene.admit().target.replica == scene.home
        entry = scene.fleet.daemon_by_name[scene.entry]
        placement = entry.admit(**fixtures.request(other))
        assert placement.target.replica == scene.holder

    def test_entry_of_an_evicted_context(self, scene):
        """A wrong entry must cost one read, not one for each turn."""
        scene.restart()
        scene.fleet.clock.advance(31)
        placement = scene.admit()
        assert placement.target.replica == scene.holder
        assert placement.reads_context

    def test_older_daemon_replaces_what_is_known(self, scene):
        """Without `recovered`, an entry counts like any other."""
        links = scene.fleet.daemon_by_name[scene.entry].links
        third = fixtures.ranking_of(scene.chat)[2]
        for replica in (third, scene.holder):
            entry = messages.Displaced(
                group="engines",
                home=scene.home,
                chat=scene.chat,
                replica=replica,
            )
            batch = messages.DisplacedBatch(entries=[entry])
            links.send(scene.home_owner, batch)
        assert scene.admit().target.replica == scene.holder


class TestInternalError:
    def test_list_is_requested_again(self, scene):
        """A ledger awaited its list for ever after an unforeseen error."""

        def fail():
            scene.fleet.contexts.before_answer = lambda: None
            raise RuntimeError("unforeseen")

        scene.fleet.contexts.before_answer = fail
        scene.restart()
        for _ in range(2 * len(fixtures.REPLICAS)):
            fixtures.settle()
        assert scene.admit().target.replica == scene.holder


class TestReceiver:
    def send(self, scene, replica):
        entry = messages.Displaced(
            group="engines",
            home=scene.home,
            chat=scene.chat,
            replica=replica,
        )
        scene.fleet.daemon_by_name[scene.entry].links.send(
            scene.home_owner,
            messages.DisplacedBatch(entries=[entry], recovered=True),
        )

    def displaced_to(self, scene):
        displaced = scene.owners(scene.home_owner)._owner.displaced
        return displaced.find(scene.chat, home=scene.home)

    def test_first_of_two_holders_is_used(self, scene):
        """A chat must not move to and fro between two copies."""
        other = fixtures.ranking_of(scene.chat)[2]
        self.send(scene, scene.holder)
        self.send(scene, other)
        assert self.displaced_to(scene) == scene.holder

    def test_context_held_at_home_stays(self, scene):
        """An old copy elsewhere must not move a chat from its home."""
        now = scene.fleet.clock.monotonic()
        scene.ledger(scene.home).context_reads.record_read(scene.chat, now=now)
        self.send(scene, scene.holder)
        assert self.displaced_to(scene) is None

    def test_list_of_the_home_arrives_last(self, scene):
        """All turns went to an old copy, although the home held the chat."""
        scene.fleet.restart()
        self.send(scene, scene.holder)
        assert self.displaced_to(scene) == scene.holder
        scene.fleet.contexts.chats_by_replica = {scene.home: [scene.chat]}
        scene.begin_prompts()
        fixtures.settle()
        assert self.displaced_to(scene) is None

    def test_context_being_read_at_home_stays(self, scene):
        assert scene.admit().reads_context
        self.send(scene, scene.holder)
        assert self.displaced_to(scene) is None


class TestAwaitedList:
    """First reads wait for the list, but not for long."""

    def verdicts(self, scene, **changes):
        """Return the verdict and the delay of one admission request."""
        replies = []
        ask = {
            "ask": 1,
            "group": "engines",
            "replica": scene.home,
            "chat": scene.chat,
            "team": "udelar",
            "batch": False,
            "weight": 1,
            "home": True,
            "rank": 0,
            "shared": 4000,
            "tokens": 4100,
            "may_wait": True,
            **changes,
        }
        scene.owners(scene.home_owner)._owner.handle_admission_request(
            scene.entry, messages.AdmitAsk(**ask), replies.append
        )
        return replies[0].verdict, replies[0].retry_after

    def test_first_read_waits_for_the_list(self, scene):
        """A prompt was read at home just before the list named its holder."""
        scene.fleet.restart()
        scene.begin_prompts()
        assert self.verdicts(scene) == (VERDICT.reading, 0.05)
        fixtures.settle()
        assert self.verdicts(scene)[0] is VERDICT.elsewhere

    def test_request_that_may_not_wait(self, scene):
        scene.fleet.restart()
        scene.begin_prompts()
        assert self.verdicts(scene, may_wait=False)[0] is VERDICT.granted

    def test_short_prompt_does_not_wait(self, scene):
        scene.fleet.restart()
        scene.begin_prompts()
        assert self.verdicts(scene, shared=999)[0] is VERDICT.granted

    def test_list_that_is_late(self, scene):
        """A hanging replica must not delay the chats of its neighbors."""
        scene.fleet.restart()
        scene.begin_prompts()
        scene.fleet.clock.advance(0.31)
        assert self.verdicts(scene)[0] is VERDICT.granted

    def test_list_that_has_arrived(self, scene):
        scene.fleet.contexts.chats_by_replica = {}
        scene.restart()
        assert self.verdicts(scene)[0] is VERDICT.granted


class TestMovedReads:
    """Reads that would stall streams stay while contexts are unknown."""

    def admit(self, scene, *, after):
        scene.fleet.contexts.chats_by_replica = {}
        scene.fleet.contexts.failure_count = 1000
        scene.restart()
        owner = scene.owners(scene.home_owner)
        ledger = owner.ledger_of(scene.home)
        scene.fleet.clock.advance(
            ledger.uncertain_until
            - 2.5
            + after
            - scene.fleet.clock.monotonic()
        )
        for replica in fixtures.REPLICAS:
            scene.report_slowness(replica)
        chat = next(
            c
            for c in fixtures.chats()
            if fixtures.ranking_of(c)[0] == scene.home
        )
        entry = scene.fleet.daemon_by_name[scene.entry]
        for _ in range(3):
            entry.admit(
                **fixtures.request(chat, shared_tokens=0, prompt_tokens=100)
            )
        return scene.admit(prompt_tokens=15_000, shared_tokens=14_900)

    def test_read_stays_at_home_without_a_list(self, scene):
        """A prompt that the home holds must not be read elsewhere."""
        placement = self.admit(scene, after=29.5)
        assert placement.target.replica == scene.home

    def test_read_moves_after_30_seconds(self, scene):
        """Reads must not stall streams forever as a list never came."""
        placement = self.admit(scene, after=30.5)
        assert placement.target.replica != scene.home


class TestAllOwnersLost:
    """All daemons lose power while 45 replicas hold displaced chats."""

    REPLICAS = tuple(_ids.ReplicaId(f"i-{n}") for n in range(45))

    def reads(self, *, is_on):
        """Return how many returning chats read their context again."""
        fleet = owner_fixtures.Fleet(
            *(f"d{n}" for n in range(9)),
            replicas=self.REPLICAS,
            features=_owner_features.OwnerFeatures(
                context_recovery=is_on, is_capacity_short=True
            ),
        )
        displaced = list(itertools.islice(fixtures.chats(), 180))
        held = fleet.contexts.chats_by_replica
        for chat in displaced:
            second = fixtures.ranking_of(chat, self.REPLICAS)[1]
            held.setdefault(second, []).append(chat)
        fleet.restart()
        fixtures.begin_prompts(fleet)
        fixtures.settle()
        entries = itertools.cycle(fleet.daemons)
        placements = [
            daemon.admit(**fixtures.request(chat))
            for daemon, chat in zip(entries, displaced)
        ]
        return sum(
            placement.target.replica
            != fixtures.ranking_of(placement.request.chat, self.REPLICAS)[1]
            for placement in placements
        )

    def test_chats_return_without_reads(self):
        """After a power loss all displaced chats were read at home."""
        assert self.reads(is_on=False) == 180
        assert self.reads(is_on=True) == 0
