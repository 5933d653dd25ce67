"""Where a prompt's context may be copied from."""

from tests.topazlug import claim_fakes
from tests.topazlug.forwarding import forwarding_fixtures as fixtures
from topazlug import _ids
from topazlug.placement import _context
from topazlug.routing import _ranking
from topazlug.targets import _targets

NAMES = [f"r{number}" for number in range(6)]


class World:
    def __init__(self):
        self.clock = claim_fakes.FakeClock()
        self.clock.advance(1000.0)
        self.targets = _targets.TargetDirectory(
            clock=self.clock, flap_window=10.0
        )
        self.memory = _context.ContextMemory(
            targets=self.targets, clock=self.clock
        )

    def list(self, names, *, leaving=(), starts=None):
        self.targets.take_list(
            [
                fixtures.target(
                    name,
                    leaving=name in leaving,
                    incarnation=(starts or {}).get(name, 1),
                )
                for name in names
            ]
        )
        self.memory.take_list(self.targets.target_by_replica.values())

    def note_read(self, chat, name):
        self.memory.note_read(chat, self.targets.target_by_replica[name])

    def source(self, chat, chosen):
        found = self.memory.source(
            chat, self.targets.target_by_replica[chosen]
        )
        return found and found.replica


def chat_that_moves(names, new):
    """Give a chat whose home changes when a replica joins."""
    for number in range(1000):
        chat = _ranking.chat_hash(f"c{number}")
        if _ranking.first([*names, new], chat) == new:
            return chat, _ranking.first(names, chat)
    raise AssertionError("no chat moves")


class TestSource:
    def test_settled_home_needs_none(self):
        world = World()
        world.list(NAMES)
        chat = _ranking.chat_hash("c")
        assert world.source(chat, _ranking.first(NAMES, chat)) is None

    def test_new_replica_copies_from_the_home_before(self):
        """Symptom: prompts are read again for each replica that joins.

        Sequence: a replica joins and becomes the home of some chats; a
        daemon that has not seen them before gets their next requests.
        """
        world = World()
        world.list(NAMES)
        chat, before = chat_that_moves(NAMES, "new")
        world.list([*NAMES, "new"])
        assert world.source(chat, "new") == before
        world.clock.advance(60.0)
        assert world.source(chat, "new") is None

    def test_leaving_home_is_copied_from(self):
        world = World()
        world.list(NAMES)
        chat = _ranking.chat_hash("c")
        home = _ranking.first(NAMES, chat)
        others = [name for name in NAMES if name != home]
        world.list(NAMES, leaving=[home])
        assert world.source(chat, _ranking.first(others, chat)) == home

    def test_displaced_chat_copies_from_where_it_was_last(self):
        world = World()
        world.list(NAMES)
        chat = _ranking.chat_hash("c")
        home, second, third = _ranking.rank(NAMES, chat, count=3)
        world.note_read(chat, second)
        assert world.source(chat, third) == second
        assert world.source(chat, second) is None

    def test_replica_that_is_gone_is_no_source(self):
        world = World()
        world.list(NAMES)
        chat = _ranking.chat_hash("c")
        home, second = _ranking.rank(NAMES, chat, count=2)
        world.note_read(chat, home)
        world.list([name for name in NAMES if name != home])
        assert world.source(chat, second) is None

    def test_replica_that_takes_no_connection_is_no_source(self):
        """Symptom: requests stall when a replica goes dark.

        Sequence: a chat's home goes dark; the next replica of its rank gets
        the request, with the home as the source of its context, and waits.
        """
        world = World()
        world.list(NAMES)
        chat = _ranking.chat_hash("c")
        home, second = _ranking.rank(NAMES, chat, count=2)
        world.note_read(chat, home)
        assert world.source(chat, second) == home
        world.targets.avoid(_ids.ReplicaId(home))
        assert world.source(chat, second) is None

    def test_replica_that_started_again_is_no_source(self):
        """Symptom: prompts are read whole though a copy was asked for.

        Sequence: a chat's home starts again under its id and comes back to
        the list; the chat goes to another replica, which is told to copy
        from there. Cause: the memory is of a start that has ended.
        """
        world = World()
        world.list(NAMES)
        chat = _ranking.chat_hash("c")
        home, second = _ranking.rank(NAMES, chat, count=2)
        world.note_read(chat, home)
        world.list(NAMES, starts={home: 2})
        assert world.source(chat, second) is None

    def test_replica_that_started_again_copies_as_a_new_one_does(self):
        """Symptom: a replica that is back reads all its prompts anew.

        Sequence: a home starts again under its id; its chats were at the
        next of their rank meanwhile. Cause: by its id it had been there all
        the time, so that it was taken to hold what it held before.
        """
        world = World()
        world.list(NAMES)
        chat = _ranking.chat_hash("c")
        home, second = _ranking.rank(NAMES, chat, count=2)
        world.note_read(chat, home)
        world.list(NAMES, starts={home: 2})
        assert world.source(chat, home) == second


class TestDrainedZone:
    def test_context_is_copied_from_a_replica_that_gets_no_new_work(self):
        """Symptom: a third of all prompts is read again in one second.

        Sequence of events: a zone is taken out of service; its chats go to
        replicas of other zones. Cause: a replica that gets no new work was
        not asked for the context that it holds.
        """
        world = World()
        world.list(NAMES)
        chat = _ranking.chat_hash("c")
        home = _ranking.first(NAMES, chat)
        other = next(name for name in NAMES if name != home)
        world.note_read(chat, home)
        world.targets.set_drains(_targets.Drains(replicas=frozenset({home})))
        assert world.source(chat, other) == home

    def test_context_is_not_copied_from_a_replica_that_is_down(self):
        world = World()
        world.list(NAMES)
        chat = _ranking.chat_hash("c")
        home = _ranking.first(NAMES, chat)
        other = next(name for name in NAMES if name != home)
        world.note_read(chat, home)
        world.targets.set_drains(_targets.Drains(replicas=frozenset({home})))
        world.targets.avoid(_ids.ReplicaId(home))
        assert world.source(chat, other) is None
