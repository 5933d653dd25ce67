"""Who is in the fleet, with daemons that fail in each way."""

import msgspec
import pytest

from tests.topazlug import peer_fixtures
from topazlug._generated import messages
from topazlug.membership import _fact_exchange
from topazlug.store import _instances

State = messages.FactState
wait_until = peer_fixtures.wait_until


class Fleet:
    """Daemons that share one list."""

    def __init__(self):
        self.instances = peer_fixtures.FakeList()
        self.nodes = []

    def add(self, name, *, listed=True, incarnation=1):
        node = peer_fixtures.Node(
            name, self.instances, incarnation=incarnation
        )
        self.nodes.append(node)
        if listed:
            self.list_all(*self.nodes)
        return node

    def list_all(self, *nodes):
        self.instances.show(*(node.instance() for node in nodes))

    def started(self, count):
        nodes = [self.add(f"d{number}") for number in range(count)]
        for node in nodes:
            node.membership.start()
        wait_until(lambda: all_see_each_other(nodes))
        return nodes

    def stop(self):
        for node in self.nodes:
            node.stop()


def all_see_each_other(nodes):
    return all(
        node.sees(*(other for other in nodes if other is not node))
        for node in nodes
    )


@pytest.fixture
def fleet():
    fleet = Fleet()
    yield fleet
    fleet.stop()


class TestJoining:
    """A daemon is known by the list, or before it by its own word."""

    def test_all_meet(self, fleet):
        fleet.started(5)

    def test_known_before_the_list_shows_it(self, fleet):
        nodes = fleet.started(3)
        late = fleet.add("late", listed=False)
        late.membership.start()
        wait_until(lambda: all_see_each_other([*nodes, late]))

    def test_change_is_told(self, fleet):
        nodes = fleet.started(2)
        told = []
        nodes[0].membership.on_change(lambda: told.append(1))
        fleet.add("late").membership.start()
        wait_until(lambda: bool(told))


class TestFailing:
    """A daemon that falls silent is given up; one that speaks is not."""

    def test_killed(self, fleet):
        nodes = fleet.started(4)
        nodes[0].stop()
        wait_until(lambda: all_see_each_other(nodes[1:]))
        assert nodes[1].member(nodes[0]).state is State.dead

    def test_frozen(self, fleet):
        """Work goes on being owned by a daemon that is stopped.

        Sequence: the process is frozen; its kernel accepts connections.
        Cause: a connection taken as a sign of life.
        """
        nodes = fleet.started(3)
        nodes[0].links.handle(messages.Exchange, lambda *_: None)
        nodes[0].membership.stop()
        wait_until(lambda: all_see_each_other(nodes[1:]))

    def test_list_that_lags_does_not_revive(self, fleet):
        """A dead daemon comes back with each read of the list.

        Sequence: it dies, the platform goes on listing it as live. Cause:
        the list taken as newer than the daemons' own evidence.
        """
        nodes = fleet.started(3)
        nodes[0].stop()
        wait_until(lambda: all_see_each_other(nodes[1:]))
        fleet.list_all(*nodes)
        assert all_see_each_other(nodes[1:])

    def test_new_incarnation_revives(self, fleet):
        nodes = fleet.started(3)
        nodes[0].stop()
        wait_until(lambda: all_see_each_other(nodes[1:]))
        again = fleet.add("d0", listed=False, incarnation=2)
        fleet.list_all(again, *nodes[1:])
        again.membership.start()
        wait_until(lambda: all_see_each_other([again, *nodes[1:]]))
        assert nodes[1].member(again).incarnation == 2

    def test_doubt_that_nobody_spread_is_refuted(self, fleet, monkeypatch):
        monkeypatch.setattr(
            _fact_exchange.FactExchange, "_compare", lambda *_: None
        )
        nodes = fleet.started(2)
        monkeypatch.setattr(nodes[1].membership, "_bury_silent", lambda: None)
        held = nodes[1].membership._book.get("daemon", "d0")
        nodes[1].membership._take(
            msgspec.structs.replace(held, state=State.suspected)
        )
        wait_until(lambda: nodes[1].member(nodes[0]).state is State.live)

    def test_answer_late_by_own_fault(self, fleet):
        """A busy or paused daemon takes others for dead.

        Sequence: it asks, is paused, and runs again past the timeout.
        Cause: its own delay counted as the peer's silence.
        """
        nodes = fleet.started(2)
        asked = []
        book = nodes[0].membership._book
        before = book.get("daemon", "d1")

        def pause_the_asker(_peer, _message, _reply):
            asked.append(1)
            nodes[0].clock.ahead += 0.9

        nodes[1].links.handle(messages.Exchange, pause_the_asker)
        wait_until(lambda: len(asked) > 4)
        assert book.get("daemon", "d1") == before

    @pytest.mark.parametrize("state", [State.suspected, State.dead])
    def test_doubted_daemon_refutes(self, fleet, state):
        nodes = fleet.started(3)
        doubt = messages.Fact(
            kind=messages.FactKind.daemon,
            subject="d0",
            incarnation=1,
            sequence=50,
            state=state,
            host=peer_fixtures.LOCALHOST,
            port=nodes[0].port,
        )
        exchange = messages.Exchange(facts=[doubt], digest=0, revision=0)
        nodes[2].links.send("d1", exchange)
        wait_until(
            lambda: all(
                node.membership._book.get("daemon", "d0").sequence > 50
                for node in nodes
            )
        )
        wait_until(lambda: all_see_each_other(nodes))


class TestLeaving:
    """Who says that it leaves is out at once, and stays out."""

    def test_daemon(self, fleet):
        nodes = fleet.started(4)
        nodes[0].membership.announce_leaving()
        wait_until(lambda: all_see_each_other(nodes[1:]))
        assert nodes[1].member(nodes[0]).state is State.leaving
        assert "d0" not in nodes[0].membership.usable()

    def test_daemon_stays_out_though_it_answers(self, fleet):
        nodes = fleet.started(3)
        nodes[0].membership.announce_leaving()
        wait_until(lambda: all_see_each_other(nodes[1:]))
        nodes[0].clock.ahead += 60.0
        wait_until(lambda: nodes[0].membership.pause_count == 1)
        fleet.list_all(*nodes)
        assert all_see_each_other(nodes[1:])

    def test_listed_as_leaving(self, fleet):
        nodes = fleet.started(3)
        leaving = msgspec.structs.replace(
            nodes[0].instance(), state=_instances.InstanceState.LEAVING
        )
        fleet.instances.show(leaving)
        assert all_see_each_other(nodes[1:])
        assert "d0" not in nodes[0].membership.usable()


class TestTargets:
    """What one learns of a target, all know."""

    def publish(self, node, state, incarnation=1):
        node.membership.publish_target(
            "t", incarnation=incarnation, state=state
        )

    def state(self, node):
        fact = node.membership.target_facts_by_id.get("t")
        return fact and fact.state

    def test_leaving_spreads(self, fleet):
        nodes = fleet.started(5)
        told = []
        nodes[4].membership.on_target_fact(told.append)
        self.publish(nodes[0], State.leaving)
        wait_until(
            lambda: all(self.state(node) is State.leaving for node in nodes)
        )
        assert [fact.state for fact in told] == [State.leaving]

    def test_leaving_sticks_to_the_incarnation(self, fleet):
        """A target on its way out gets new work.

        Sequence: it says that it leaves, then answers one more request.
        Cause: the latest sign taken for the truth.
        """
        node = fleet.started(1)[0]
        self.publish(node, State.leaving)
        self.publish(node, State.live)
        self.publish(node, State.dead)
        assert self.state(node) is State.leaving
        self.publish(node, State.live, incarnation=2)
        assert self.state(node) is State.live
        self.publish(node, State.leaving)
        assert self.state(node) is State.live

    def test_dead_target_may_come_back(self, fleet):
        nodes = fleet.started(2)
        self.publish(nodes[0], State.dead)
        wait_until(lambda: self.state(nodes[1]) is State.dead)
        self.publish(nodes[1], State.live)
        wait_until(lambda: self.state(nodes[0]) is State.live)


class TestPauses:
    """A daemon that was frozen itself judges nobody by that time."""

    def test_pause_is_told_and_others_live(self, fleet):
        nodes = fleet.started(3)
        told = []
        nodes[0].membership.on_pause(told.append)
        nodes[0].clock.ahead += 60.0
        wait_until(lambda: bool(told))
        assert told[0] >= 60.0
        assert nodes[0].membership.pause_count == 1
        assert nodes[0].membership._own().sequence > 0
        wait_until(lambda: all_see_each_other(nodes))
        dead = [
            member
            for member in nodes[0].membership.members_by_id.values()
            if member.state is State.dead
        ]
        assert not dead

    def test_suspected_get_their_time_again(self, fleet):
        """A thawed daemon takes for dead whom it suspected before.

        Sequence: it suspects a peer, is frozen, and on its thaw counts the
        pause as the peer's silence. Cause: the wrong order of the two.
        """
        nodes = fleet.started(2)
        for node in nodes:
            node.membership.stop()
        membership = nodes[0].membership
        membership._doubted("d1")
        nodes[0].clock.ahead += 60.0
        assert membership.check_pause()
        membership._bury_silent()
        assert nodes[0].member(nodes[1]).state is State.suspected

    def test_found_before_a_waiting_message(self, fleet):
        """A thawed owner admits work that is no longer its own.

        Sequence: an owner is frozen, another takes over, on its thaw it
        handles a question that waited. Cause: the ticker runs later.
        """
        nodes = fleet.started(2)
        counts = []
        membership = nodes[0].membership
        nodes[0].links.handle(
            messages.ConfigPull,
            lambda _peer, _message, reply: (
                counts.append(membership.pause_count),
                reply(messages.Ack()),
            ),
        )
        membership.stop()
        nodes[0].clock.ahead += 60.0
        pull = messages.ConfigPull(after=0)
        nodes[1].links.call("d0", pull, timeout=10.0)
        assert counts == [1]


class TestSyncs:
    """Books that differ in silence are brought together."""

    def test_lost_news_arrives(self, fleet):
        nodes = fleet.started(3)
        fact = messages.Fact(
            kind=messages.FactKind.target,
            subject="t",
            incarnation=1,
            sequence=0,
            state=State.leaving,
        )
        nodes[0].membership._book.merge(fact)
        wait_until(
            lambda: all(
                "t" in node.membership.target_facts_by_id for node in nodes[1:]
            )
        )

    def test_sync_that_mends_nothing_grows_rare(self, fleet, monkeypatch):
        """Two daemons send each other their books for good.

        Sequence: two books differ in what neither takes from the other.
        Cause: a sync repeated whenever the digests differ.
        """
        monkeypatch.setattr(_fact_exchange, "SYNC_BASE_SECONDS", 0.05)
        nodes = fleet.started(2)
        nodes[0].membership._book.digest ^= 1
        exchange = nodes[1].membership._exchange
        wait_until(lambda: exchange._sync_wait >= 0.8)

    def test_revisions_are_heard(self, fleet):
        nodes = fleet.started(2)
        heard = []
        nodes[1].membership.on_peer_revision(
            lambda peer, revision: heard.append((peer, revision))
        )
        nodes[0].revision = 7
        wait_until(lambda: ("d0", 7) in heard)


class TestPartitions:
    """Halves that lost each other find each other again."""

    def test_rejoin(self, fleet, monkeypatch):
        """Two regions stay apart after the network is whole.

        Sequence: for a while neither half reaches the other; each takes
        the other's daemons for dead. Cause: nobody asks the dead.
        """
        monkeypatch.setattr(_fact_exchange, "LOST_RETRY_SECONDS", 0.2)
        nodes = fleet.started(4)
        halves = (nodes[:2], nodes[2:])
        for half, others in (halves, halves[::-1]):
            for node in half:
                node.part_from(others)
        wait_until(lambda: all(all_see_each_other(half) for half in halves))
        for node in nodes:
            node.part_from([])
        wait_until(lambda: all_see_each_other(nodes))

    def test_all_alone_asks_the_lost(self, fleet, monkeypatch):
        monkeypatch.setattr(_fact_exchange, "LOST_RETRY_SECONDS", 3600.0)
        nodes = fleet.started(2)
        nodes[0].part_from(nodes[1:])
        nodes[1].part_from(nodes[:1])
        wait_until(lambda: nodes[0].sees() and nodes[1].sees())
        nodes[0].part_from([])
        nodes[1].part_from([])
        wait_until(lambda: all_see_each_other(nodes))
