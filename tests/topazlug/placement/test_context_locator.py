"""The replica that a prompt's context is copied from."""

from tests.topazlug import claim_fakes
from tests.topazlug.forwarding import forwarding_fixtures as fixtures
from topazlug import _ids
from topazlug.placement import _context_locator
from topazlug.routing import _ranking
from topazlug.targets import _targets

NAMES = [f"r{number}" for number in range(6)]


class Rig:
    def __init__(self):
        self.clock = claim_fakes.FakeClock()
        self.clock.advance(1000.0)
        self.targets = _targets.TargetDirectory(
            clock=self.clock, flap_window=10.0
        )
        self.locator = _context_locator.ContextLocator(
            targets=self.targets, clock=self.clock
        )

    def list(self, names, *, leaving=(), incarnations=None):
        self.targets.set_list(
            [
                fixtures.target(
                    name,
                    leaving=name in leaving,
                    incarnation=(incarnations or {}).get(name, 1),
                )
                for name in names
            ]
        )
        self.locator.update_targets(self.targets.target_by_replica.values())

    def record_read(self, chat, name):
        self.locator.record_read(chat, self.targets.target_by_replica[name])

    def source(self, chat, chosen):
        found = self.locator.source(
            chat, self.targets.target_by_replica[chosen]
        )
        return found and found.replica


def chat_that_moves(names, new):
    """Return a chat whose home changes when a replica joins, and its home."""
    for number in range(1000):
        chat = _ranking.chat_hash(f"c{number}")
        if _ranking.first([*names, new], chat) == new:
            return chat, _ranking.first(names, chat)
    raise AssertionError("no chat moves")


class TestSource:
    def test_settled_home_needs_no_source(self):
        rig = Rig()
        rig.list(NAMES)
        chat = _ranking.chat_hash("c")
        assert rig.source(chat, _ranking.first(NAMES, chat)) is None

    def test_new_replica_copies_from_the_previous_home(self):
        """Prompts must not be read again for each replica that joins.

        A replica joins and becomes the home of some chats, whose next
        requests arrive at a daemon that has not seen these chats before.
        """
        rig = Rig()
        rig.list(NAMES)
        chat, before = chat_that_moves(NAMES, "new")
        rig.list([*NAMES, "new"])
        assert rig.source(chat, "new") == before
        rig.clock.advance(60.0)
        assert rig.source(chat, "new") is None

    def test_leaving_home_is_a_source(self):
        rig = Rig()
        rig.list(NAMES)
        chat = _ranking.chat_hash("c")
        home = _ranking.first(NAMES, chat)
        others = [name for name in NAMES if name != home]
        rig.list(NAMES, leaving=[home])
        assert rig.source(chat, _ranking.first(others, chat)) == home

    def test_displaced_chat_copies_from_its_last_replica(self):
        rig = Rig()
        rig.list(NAMES)
        chat = _ranking.chat_hash("c")
        home, second, third = _ranking.rank(NAMES, chat, count=3)
        rig.record_read(chat, second)
        assert rig.source(chat, third) == second
        assert rig.source(chat, second) is None

    def test_replica_that_is_gone_is_no_source(self):
        rig = Rig()
        rig.list(NAMES)
        chat = _ranking.chat_hash("c")
        home, second = _ranking.rank(NAMES, chat, count=2)
        rig.record_read(chat, home)
        rig.list([name for name in NAMES if name != home])
        assert rig.source(chat, second) is None

    def test_replica_that_takes_no_connection_is_no_source(self):
        """Requests must not stall when a replica becomes unreachable.

        A chat's home becomes unreachable. The next replica in its ranking
        got the request with the home as the source of the context, and
        waited for the copy.
        """
        rig = Rig()
        rig.list(NAMES)
        chat = _ranking.chat_hash("c")
        home, second = _ranking.rank(NAMES, chat, count=2)
        rig.record_read(chat, home)
        assert rig.source(chat, second) == home
        rig.targets.avoid(_ids.ReplicaId(home))
        assert rig.source(chat, second) is None

    def test_restarted_replica_is_no_source(self):
        """A restarted replica must not be used as a source.

        A chat's home restarts under its id and is listed again. The chat
        goes to another replica, which tried to copy from the home although
        the restart had lost the context, and read the whole prompt.
        """
        rig = Rig()
        rig.list(NAMES)
        chat = _ranking.chat_hash("c")
        home, second = _ranking.rank(NAMES, chat, count=2)
        rig.record_read(chat, home)
        rig.list(NAMES, incarnations={home: 2})
        assert rig.source(chat, second) is None

    def test_restarted_replica_copies_like_a_new_one(self):
        """A restarted replica must not read all of its prompts again.

        A home restarts under its id, while its chats were served by the next
        replica in their ranking. Identified by its id alone, it was assumed
        to hold its earlier contexts and copied none.
        """
        rig = Rig()
        rig.list(NAMES)
        chat = _ranking.chat_hash("c")
        home, second = _ranking.rank(NAMES, chat, count=2)
        rig.record_read(chat, home)
        rig.list(NAMES, incarnations={home: 2})
        assert rig.source(chat, home) == second


class TestDrainedZone:
    def test_context_is_copied_from_a_replica_that_gets_no_new_work(self):
        """Draining a zone must not cause its prompts to be read again.

        The zone's chats move to replicas of other zones. A third of all
        prompts was read again in one second when drained replicas were not
        used as sources.
        """
        rig = Rig()
        rig.list(NAMES)
        chat = _ranking.chat_hash("c")
        home = _ranking.first(NAMES, chat)
        other = next(name for name in NAMES if name != home)
        rig.record_read(chat, home)
        rig.targets.set_drains(_targets.Drains(replicas=frozenset({home})))
        assert rig.source(chat, other) == home

    def test_context_is_not_copied_from_a_replica_that_is_down(self):
        rig = Rig()
        rig.list(NAMES)
        chat = _ranking.chat_hash("c")
        home = _ranking.first(NAMES, chat)
        other = next(name for name in NAMES if name != home)
        rig.record_read(chat, home)
        rig.targets.set_drains(_targets.Drains(replicas=frozenset({home})))
        rig.targets.avoid(_ids.ReplicaId(home))
        assert rig.source(chat, other) is None


class TestHeld:
    def test_only_a_recorded_read_counts(self):
        """New chats must not be taken for chats that were copied."""
        rig = Rig()
        rig.list(NAMES)
        chat = _ids.ChatHash(_ranking.chat_hash("c"))
        assert rig.source(chat, NAMES[0]) or rig.source(chat, NAMES[1])
        assert not rig.locator.is_held(chat, fixtures.GROUP)
        rig.record_read(chat, NAMES[2])
        assert rig.locator.is_held(chat, fixtures.GROUP)
        rig.list([name for name in NAMES if name != NAMES[2]])
        assert not rig.locator.is_held(chat, fixtures.GROUP)
