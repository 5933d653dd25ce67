import pytest

from tests.topazlug import table_fakes
from topazlug import _errors
from topazlug._generated import messages
from topazlug.configuration import _table_errors
from topazlug.store import _table_client


@pytest.fixture
def store():
    return table_fakes.FakeStore()


@pytest.fixture
def network():
    return table_fakes.FakeNetwork()


@pytest.fixture
def add_node(store, network):
    def add(name):
        node = table_fakes.Node(name, store=store, network=network)
        node.follower.catch_up()
        return node

    return add


def revisions(nodes):
    return [node.holder.revision for node in nodes]


class TestPropagation:
    def test_edit_reaches_all_without_a_poll(self, add_node):
        nodes = [add_node(f"d{number}") for number in range(5)]
        nodes[0].put("acme", weight=7)
        table_fakes.settle()
        assert [node.weight("acme") for node in nodes] == [7] * 5

    def test_daemon_that_missed_pushes_pulls_what_it_lacks(
        self, add_node, network
    ):
        """A daemon must not lack a row or stay behind after lost pushes.

        A daemon is disconnected while two edits are pushed, then receives the
        push of the third. It must pull the changes between its revision and
        the pushed one.
        """
        first, second = add_node("a"), add_node("b")
        network.cut.add("b")
        first.put("acme", weight=1)
        first.put("beta", weight=2)
        table_fakes.settle()
        network.cut.clear()
        first.put("acme", weight=3)
        table_fakes.settle()
        assert second.holder.revision == 3
        assert (second.weight("acme"), second.weight("beta")) == (3, 2)

    def test_heartbeat_with_a_higher_revision_triggers_a_pull(
        self, add_node, network
    ):
        first, second = add_node("a"), add_node("b")
        network.cut.add("b")
        first.put("acme", weight=4)
        table_fakes.settle()
        network.cut.clear()
        second.follower.handle_peer_revision(peer=first.id, revision=1)
        table_fakes.settle()
        assert second.weight("acme") == 4

    def test_heartbeat_with_an_older_revision_sends_nothing(
        self, add_node, network
    ):
        first, second = add_node("a"), add_node("b")
        first.put("acme")
        table_fakes.settle()
        network.sent.clear()
        first.follower.handle_peer_revision(peer=second.id, revision=0)
        table_fakes.settle()
        assert not network.sent

    def test_each_daemon_pushes_a_change_once(self, add_node, network):
        nodes = [add_node(f"d{number}") for number in range(4)]
        nodes[0].put("acme")
        table_fakes.settle()
        senders = [
            sender
            for sender, _, message in network.sent
            if isinstance(message, messages.ConfigPush)
        ]
        assert len(senders) == 3 + 3 * 2


class TestOutage:
    def test_daemon_that_starts_in_an_outage_gets_the_table_from_peers(
        self, add_node, store, network
    ):
        """A replaced daemon must serve callers while the store is down.

        The store goes down and an instance is replaced. The new daemon must
        not depend on the store alone for the table.
        """
        behind, ahead = add_node("a"), add_node("b")
        behind.put("acme", weight=1)
        table_fakes.settle()
        network.cut.add("a")
        ahead.put("acme", weight=2)
        network.cut.clear()
        store.down = True
        started = table_fakes.Node("c", store=store, network=network)
        started.follower.start()
        table_fakes.settle()
        started.follower.stop()
        assert started.weight("acme") == 2
        assert started.follower.failure_count >= 1

    def test_outage_leaves_the_revision_in_force(self, add_node, store):
        node = add_node("a")
        node.put("acme", weight=5)
        store.down = True
        with pytest.raises(_errors.StoreUnavailable):
            node.follower.catch_up()
        assert node.weight("acme") == 5


class TestStoreReplicas:
    def test_replica_that_lags_does_not_revert(self, add_node, store):
        """An accepted edit must not be reverted temporarily on a daemon.

        An edit is in force, and the next poll is answered by a replica of
        the store that lacks it. The store's last answer must not be treated
        as the newest.
        """
        node = add_node("a")
        node.put("acme", weight=1)
        old = store.replica()
        node.put("acme", weight=2)
        store.readers = [old]
        node.follower.catch_up()
        assert node.weight("acme") == 2
        assert node.follower.stale_count == 1

    def test_history_from_a_replica_that_lags_is_read_later(
        self, add_node, store
    ):
        writer, reader = add_node("a"), add_node("b")
        old = store.replica()
        reader.follower.stop()
        edit = table_fakes.team_edit("acme", weight=2)
        writer.editor.edit([edit], stamp=table_fakes.stamp())
        store.readers = [store.replica(), old]
        reader.follower.catch_up()
        assert reader.holder.revision == 0
        reader.follower.catch_up()
        assert reader.weight("acme") == 2

    def test_rows_of_two_revisions_are_not_combined(
        self, add_node, store, network
    ):
        """A daemon at the newest revision must not lack a team permanently.

        A daemon starts and reads the full table. The revision before and
        after comes from an up-to-date replica of the store, the teams from
        one that lags. Rows of two revisions must not be taken for one table.
        """
        writer = add_node("a")
        writer.put("acme")
        old = store.replica()
        writer.put("beta")
        started = table_fakes.Node("c", store=store, network=network)
        fresh = store.replica()
        # One read of the revision, then one attempt: revision, teams, the 4
        # other tables, revision.
        one_attempt = [fresh, old, *[fresh] * 4, fresh]
        store.readers = [fresh, *one_attempt]
        started.follower.catch_up()
        assert set(started.holder.current.teams_by_name) == {"acme", "beta"}
        assert not store.readers

    def test_rows_that_never_match_the_digest_are_rejected(
        self, add_node, store, network
    ):
        writer = add_node("a")
        writer.put("acme")
        del store.row_by_key["teams", "acme"]
        started = table_fakes.Node("c", store=store, network=network)
        with pytest.raises(_table_errors.TableInconsistent):
            started.follower.catch_up()
        assert started.holder.current is None


class TestUnreadable:
    def test_later_readable_table_replaces_an_unreadable_revision(
        self, add_node, store
    ):
        """A daemon must not stay at an old revision after a row was fixed.

        Revision 1 can't be decoded, and revision 2 fixes the row. Applied one
        by one, the changes would stop at revision 1.
        """
        node = add_node("a")
        table_fakes.write_unreadable_revision(store, 1)
        node.follower.catch_up()
        assert node.holder.revision == 0
        assert node.holder.is_newer_revision_rejected
        fixed = {"name": "acme", "weight": 3.0}
        put = _table_client.Put
        store.transact(
            conditions=(),
            puts=[
                put(table="teams", key="acme", value=fixed),
                put(table="meta", key="config", value={"revision": 2}),
            ],
        )
        node.follower.catch_up()
        assert (node.holder.revision, node.weight("acme")) == (2, 3)

    def test_unreadable_table_is_read_in_full_once(self, add_node, store):
        node = add_node("a")
        table_fakes.write_unreadable_revision(store, 1)
        node.follower.catch_up()
        before = store.reads
        node.follower.catch_up()
        assert store.reads - before == 2


class TestPull:
    def answer(self, node, network, after):
        replies = []
        handler = network.handlers_by_daemon[node.id][messages.ConfigPull]
        handler("x", messages.ConfigPull(after=after), replies.append)
        return replies[0]

    def test_recent_changes_are_sent_one_by_one(self, add_node, network):
        node = add_node("a")
        for number in range(3):
            node.put("acme", weight=number + 1)
        answer = self.answer(node, network, 1)
        assert not answer.whole
        assert [c.revision for c in answer.changes] == [2, 3]

    def test_peer_without_a_table_gets_the_full_table(self, add_node, network):
        node = add_node("a")
        node.put("acme")
        answer = self.answer(node, network, -1)
        assert answer.whole
        assert [c.key for c in answer.changes] == ["acme"]

    def test_peer_with_a_higher_revision_gets_nothing(self, add_node, network):
        node = add_node("a")
        assert self.answer(node, network, 5).changes == []
