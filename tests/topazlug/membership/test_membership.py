"""Membership of a fleet in which daemons join, fail and leave."""

import msgspec
import pytest

from tests.topazlug import peer_fixtures
from topazlug._generated import messages
from topazlug.membership import _fact_exchange
from topazlug.store import _instances

State = messages.FactState
wait_until = peer_fixtures.wait_until


class Fleet:
    """Daemons that share one platform list."""

    def __init__(self):
        self.instances = peer_fixtures.FakeInstanceList()
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
        self.instances.set_instances(*(node.instance() for node in nodes))

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
        node.usable_peers_are(*(other for other in nodes if other is not node))
        for node in nodes
    )


@pytest.fixture
def fleet():
    fleet = Fleet()
    yield fleet
    fleet.stop()


class TestJoining:
    """A daemon is discovered by the list, or earlier by its heartbeats."""

    def test_all_daemons_discover_each_other(self, fleet):
        fleet.started(5)

    def test_known_before_the_list_shows_it(self, fleet):
        nodes = fleet.started(3)
        late = fleet.add("late", listed=False)
        late.membership.start()
        wait_until(lambda: all_see_each_other([*nodes, late]))

    def test_callback_runs_on_change(self, fleet):
        nodes = fleet.started(2)
        calls = []
        nodes[0].membership.on_change(lambda: calls.append(1))
        fleet.add("late").membership.start()
        wait_until(lambda: bool(calls))


class TestFailing:
    """A daemon that stops answering is declared dead; others are not."""

    def test_killed_daemon_is_declared_dead(self, fleet):
        nodes = fleet.started(4)
        nodes[0].stop()
        wait_until(lambda: all_see_each_other(nodes[1:]))
        assert nodes[1].member(nodes[0]).state is State.dead

    def test_frozen_daemon_is_declared_dead(self, fleet):
        """Guards against a frozen daemon that keeps its replicas.

        The kernel still accepts connections for a frozen process, so an
        accepted connection does not show that the daemon is alive.
        """
        nodes = fleet.started(3)
        nodes[0].links.handle(messages.Exchange, lambda *_: None)
        nodes[0].membership.stop()
        wait_until(lambda: all_see_each_other(nodes[1:]))

    def test_list_that_lags_does_not_revive(self, fleet):
        """Guards against a dead daemon that each read of the list revives.

        The platform may list a dead daemon as live for a while. What the
        daemons observed themselves takes precedence.
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

    def test_suspicion_held_by_one_peer_is_refuted(self, fleet, monkeypatch):
        monkeypatch.setattr(
            _fact_exchange.FactExchange, "_compare_digests", lambda *_: None
        )
        nodes = fleet.started(2)
        monkeypatch.setattr(
            nodes[1].membership, "_expire_suspected", lambda: None
        )
        held = nodes[1].membership._fact_set.get("daemon", "d0")
        nodes[1].membership._merge(
            msgspec.structs.replace(held, state=State.suspected)
        )
        wait_until(lambda: nodes[1].member(nodes[0]).state is State.live)

    def test_own_pause_is_not_counted_as_timeout(self, fleet):
        """Guards against a busy or paused daemon that suspects its peers.

        A daemon sends a heartbeat, is paused, and resumes after the timeout.
        Its own delay must not count against the peer.
        """
        nodes = fleet.started(2)
        requests = []
        fact_set = nodes[0].membership._fact_set
        before = fact_set.get("daemon", "d1")

        def pause_sender(_peer, _message, _reply):
            requests.append(1)
            nodes[0].clock.offset += 0.9

        nodes[1].links.handle(messages.Exchange, pause_sender)
        wait_until(lambda: len(requests) > 4)
        assert fact_set.get("daemon", "d1") == before

    @pytest.mark.parametrize("state", [State.suspected, State.dead])
    def test_suspected_or_dead_daemon_refutes(self, fleet, state):
        nodes = fleet.started(3)
        false_fact = messages.Fact(
            kind=messages.FactKind.daemon,
            subject="d0",
            incarnation=1,
            sequence=50,
            state=state,
            host=peer_fixtures.LOCALHOST,
            port=nodes[0].port,
        )
        exchange = messages.Exchange(facts=[false_fact], digest=0, revision=0)
        nodes[2].links.send("d1", exchange)
        wait_until(
            lambda: all(
                node.membership._fact_set.get("daemon", "d0").sequence > 50
                for node in nodes
            )
        )
        wait_until(lambda: all_see_each_other(nodes))


class TestLeaving:
    """A daemon that announces that it is leaving is unusable at once."""

    def test_leaving_daemon_is_unusable(self, fleet):
        nodes = fleet.started(4)
        nodes[0].membership.announce_leaving()
        wait_until(lambda: all_see_each_other(nodes[1:]))
        assert nodes[1].member(nodes[0]).state is State.leaving
        assert "d0" not in nodes[0].membership.usable()

    def test_leaving_daemon_stays_unusable_though_it_answers(self, fleet):
        nodes = fleet.started(3)
        nodes[0].membership.announce_leaving()
        wait_until(lambda: all_see_each_other(nodes[1:]))
        nodes[0].clock.offset += 60.0
        wait_until(lambda: nodes[0].membership.pause_count == 1)
        fleet.list_all(*nodes)
        assert all_see_each_other(nodes[1:])

    def test_listed_as_leaving(self, fleet):
        nodes = fleet.started(3)
        leaving = msgspec.structs.replace(
            nodes[0].instance(), state=_instances.InstanceState.LEAVING
        )
        fleet.instances.set_instances(leaving)
        assert all_see_each_other(nodes[1:])
        assert "d0" not in nodes[0].membership.usable()


class TestTargets:
    """A fact about a target that one daemon publishes reaches all."""

    def publish(self, node, state, incarnation=1):
        node.membership.publish_target(
            "t", incarnation=incarnation, state=state
        )

    def state(self, node):
        fact = node.membership.target_facts_by_id.get("t")
        return fact and fact.state

    def test_leaving_spreads(self, fleet):
        nodes = fleet.started(5)
        received = []
        nodes[4].membership.on_target_fact(received.append)
        self.publish(nodes[0], State.leaving)
        wait_until(
            lambda: all(self.state(node) is State.leaving for node in nodes)
        )
        assert [fact.state for fact in received] == [State.leaving]

    def test_leaving_is_final_for_the_incarnation(self, fleet):
        """Guards against new requests to a target that is leaving.

        A leaving target may still answer a request. That answer must not
        make it live again.
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
    """A daemon does not count the time of its own pauses against peers."""

    def test_pause_is_reported_and_peers_stay_live(self, fleet):
        nodes = fleet.started(3)
        pauses = []
        nodes[0].membership.on_pause(pauses.append)
        nodes[0].clock.offset += 60.0
        wait_until(lambda: bool(pauses))
        assert pauses[0] >= 60.0
        assert nodes[0].membership.pause_count == 1
        assert nodes[0].membership._own().sequence > 0
        wait_until(lambda: all_see_each_other(nodes))
        dead = [
            member
            for member in nodes[0].membership.members_by_id.values()
            if member.state is State.dead
        ]
        assert not dead

    def test_pause_restarts_the_suspect_timeout(self, fleet):
        """Guards against declaring a suspected peer dead after a pause.

        A daemon suspects a peer and is then frozen. The pause must be
        detected before the suspect timeout is checked, otherwise its length
        counts against the peer.
        """
        nodes = fleet.started(2)
        for node in nodes:
            node.membership.stop()
        membership = nodes[0].membership
        membership._on_no_answer("d1")
        nodes[0].clock.offset += 60.0
        assert membership.check_pause()
        membership._expire_suspected()
        assert nodes[0].member(nodes[1]).state is State.suspected

    def test_pause_is_detected_before_a_waiting_message(self, fleet):
        """Guards against an owner that admits requests it no longer owns.

        An owner is frozen and another daemon takes over. When it resumes, a
        message that was waiting may be handled before the ticker runs.
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
        nodes[0].clock.offset += 60.0
        pull = messages.ConfigPull(after=0)
        nodes[1].links.call("d0", pull, timeout=10.0)
        assert counts == [1]


class TestSyncs:
    """Sets that differ while nothing is spreading are synchronized."""

    def test_fact_that_was_not_pushed_arrives(self, fleet):
        nodes = fleet.started(3)
        fact = messages.Fact(
            kind=messages.FactKind.target,
            subject="t",
            incarnation=1,
            sequence=0,
            state=State.leaving,
        )
        nodes[0].membership._fact_set.merge(fact)
        wait_until(
            lambda: all(
                "t" in node.membership.target_facts_by_id for node in nodes[1:]
            )
        )

    def test_sync_without_effect_backs_off(self, fleet, monkeypatch):
        """Guards against full syncs that are repeated forever.

        Two sets may differ in facts that neither daemon accepts from the
        other, so their digests differ after each sync.
        """
        monkeypatch.setattr(_fact_exchange, "MIN_SYNC_INTERVAL_SECONDS", 0.05)
        nodes = fleet.started(2)
        nodes[0].membership._fact_set.digest ^= 1
        exchange = nodes[1].membership._exchange
        wait_until(lambda: exchange._sync_interval >= 0.8)

    def test_peer_revisions_are_received(self, fleet):
        nodes = fleet.started(2)
        received = []
        nodes[1].membership.on_peer_revision(
            lambda peer, revision: received.append((peer, revision))
        )
        nodes[0].revision = 7
        wait_until(lambda: ("d0", 7) in received)


class TestPartitions:
    """Daemons rejoin after a network partition."""

    def test_rejoin_after_partition(self, fleet, monkeypatch):
        """Guards against a fleet that stays split after a partition.

        Each half declares the daemons of the other dead. Unless dead daemons
        are contacted as well, the halves never rejoin.
        """
        monkeypatch.setattr(_fact_exchange, "DEAD_PEER_RETRY_SECONDS", 0.2)
        nodes = fleet.started(4)
        halves = (nodes[:2], nodes[2:])
        for half, others in (halves, halves[::-1]):
            for node in half:
                node.disconnect_from(others)
        wait_until(lambda: all(all_see_each_other(half) for half in halves))
        for node in nodes:
            node.disconnect_from([])
        wait_until(lambda: all_see_each_other(nodes))

    def test_isolated_daemon_contacts_dead_peers(self, fleet, monkeypatch):
        monkeypatch.setattr(_fact_exchange, "DEAD_PEER_RETRY_SECONDS", 3600.0)
        nodes = fleet.started(2)
        nodes[0].disconnect_from(nodes[1:])
        nodes[1].disconnect_from(nodes[:1])
        wait_until(
            lambda: nodes[0].usable_peers_are() and nodes[1].usable_peers_are()
        )
        nodes[0].disconnect_from([])
        nodes[1].disconnect_from([])
        wait_until(lambda: all_see_each_other(nodes))
