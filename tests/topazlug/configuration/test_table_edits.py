import pytest

from tests.topazlug import table_fakes
from topazlug import _errors
from topazlug.configuration import _edit_plan
from topazlug.configuration import _table_edits
from topazlug.configuration import _table_errors
from topazlug.configuration import _table_storage

TEAMS = table_fakes.TABLES.TEAMS


@pytest.fixture
def store():
    return table_fakes.FakeStore()


@pytest.fixture
def network():
    return table_fakes.FakeNetwork()


@pytest.fixture
def node(store, network):
    node = table_fakes.Node("a", store=store, network=network)
    node.follower.catch_up()
    return node


@pytest.fixture
def other(store, network):
    network.cut.add("b")
    node = table_fakes.Node("b", store=store, network=network)
    node.follower.catch_up()
    return node


def edit(node, key="acme", *, edit_id="", **columns):
    row_edit = table_fakes.team_edit(key, **columns)
    return node.editor.edit([row_edit], stamp=table_fakes.stamp(edit_id))


class TestEdit:
    def test_accepted_edit_is_in_force_at_once(self, node):
        result = node.put("acme", weight=2)
        assert (result.first_revision, result.revision) == (1, 1)
        assert node.weight("acme") == 2

    def test_history_shows_who_when_what_and_why(self, node, store):
        node.put("acme", weight=2)
        node.put("acme", weight=3)
        entry = _table_storage.read_history(store, after=1)[0]
        assert (entry.who, entry.why) == ("ana", "a test")
        assert entry.what == "weight: 2.0 -> 3.0"
        assert entry.when.startswith("2026-01-01T")

    def test_rows_of_one_edit_get_consecutive_revisions(self, node):
        edits = [table_fakes.team_edit(key) for key in ("a", "b")]
        result = node.editor.edit(edits, stamp=table_fakes.stamp())
        assert (result.first_revision, result.revision) == (1, 2)

    def test_rejected_row_rejects_the_whole_edit(self, node, store):
        edits = [table_fakes.team_edit("a", pools=["none"])]
        edits.append(table_fakes.team_edit("b"))
        with pytest.raises(_table_errors.RowInvalid, match="'none'"):
            node.editor.edit(edits, stamp=table_fakes.stamp())
        assert not store.commits

    def test_removal(self, node):
        node.put("acme")
        removal = _edit_plan.RowEdit(
            table=TEAMS,
            key="acme",
            value=None,
            expected=node.etag(TEAMS, "acme"),
        )
        node.editor.edit([removal], stamp=table_fakes.stamp())
        assert not node.holder.current.teams_by_name

    def test_removal_of_no_row(self, node):
        removal = _edit_plan.RowEdit(table=TEAMS, key="acme", value=None)
        with pytest.raises(_table_errors.RowNotFound):
            node.editor.edit([removal], stamp=table_fakes.stamp())

    def test_existing_row_requires_its_etag(self, node):
        node.put("acme")
        with pytest.raises(_table_errors.PreconditionMissing):
            edit(node, weight=2)

    def test_force_requires_no_etag(self, node):
        node.put("acme")
        unforced = table_fakes.team_edit("acme", weight=2)
        forced = _edit_plan.RowEdit(
            table=TEAMS, key="acme", value=unforced.value, force=True
        )
        node.editor.edit([forced], stamp=table_fakes.stamp())
        assert node.weight("acme") == 2

    def test_old_history_is_deleted(self, node, store, monkeypatch):
        monkeypatch.setattr(_table_edits, "KEPT_REVISIONS", 2)
        for number in range(4):
            node.put("acme", edit_id=f"edit-{number}-x")
        kept = [key for table, key in store.row_by_key if table == "edits"]
        assert sorted(kept) == ["edit-2-x", "edit-3-x"]
        entries = _table_storage.read_history(store, after=0)
        assert [entry.revision for entry in entries] == [3, 4]


class TestConflicts:
    def test_second_of_two_editors_gets_both_values(self, node, other):
        """An operator's change must not be lost without notice.

        Two operators read a row and both write it. The last write must not
        silently overwrite the first.
        """
        node.put("acme", weight=1)
        other.follower.catch_up()
        etag = other.etag(TEAMS, "acme")
        node.put("acme", weight=2)
        with pytest.raises(_table_errors.RowConflict) as caught:
            edit(other, expected=etag, weight=3)
        assert caught.value.mine["weight"] == 3
        assert caught.value.current["weight"] == 2

    def test_concurrent_edits_of_a_row(self, node, other, store):
        """As above, with the other commit between read and write."""
        node.put("acme", weight=1)
        other.follower.catch_up()
        etag = other.etag(TEAMS, "acme")
        store.before_transact = [lambda: node.put("acme", weight=2)]
        with pytest.raises(_table_errors.RowConflict):
            edit(other, expected=etag, weight=3)
        assert other.weight("acme") == 2

    def test_concurrent_edits_of_different_rows(self, node, other, store):
        store.before_transact = [lambda: node.put("acme", weight=2)]
        other.put("beta", weight=3)
        assert (other.weight("acme"), other.weight("beta")) == (2, 3)

    def test_row_that_was_removed_and_added_again(self, node):
        """An edit based on a removed row must not change the new row.

        A row is read, removed and added again, then written by the reader.
        The new row may have the same version as the old one.
        """
        node.put("acme", weight=1)
        etag = node.etag(TEAMS, "acme")
        removal = _edit_plan.RowEdit(
            table=TEAMS, key="acme", value=None, expected=etag
        )
        node.editor.edit([removal], stamp=table_fakes.stamp())
        node.put("acme", weight=5)
        with pytest.raises(_table_errors.RowConflict):
            edit(node, expected=etag, weight=2)

    def test_two_editors_can_not_both_pass_a_check(self, node, other, store):
        """A team must not reference a pool that was removed.

        One operator removes a pool while another lets a team use it. Each
        edit alone passes the checks.
        """
        pools = table_fakes.TABLES.POOLS
        pool = _edit_plan.RowEdit(
            table=pools, key="p", value={"name": "p", "model": "m"}
        )
        node.editor.edit([pool], stamp=table_fakes.stamp())

        def remove_pool():
            removal = _edit_plan.RowEdit(
                table=pools, key="p", value=None, force=True
            )
            node.editor.edit([removal], stamp=table_fakes.stamp())

        other.follower.catch_up()
        store.before_transact = [remove_pool]
        with pytest.raises(_table_errors.RowInvalid, match="no pool 'p'"):
            edit(other, pools=["p"])

    def test_attempts_are_limited_under_contention(self, node, store):
        changed_rows = [("meta", "config"), ("x", "y")]
        numbers = iter(range(1000))

        def change_meta():
            table, key = changed_rows[0]
            put = type("P", (), {"table": table, "key": key})
            put.value = {"revision": 0, "n": next(numbers)}
            store._put(put)

        store.before_transact = [change_meta] * _table_edits.MAX_ATTEMPTS
        with pytest.raises(_table_errors.EditContention):
            edit(node)
        assert not store.commits


class TestLostAnswers:
    def test_edit_whose_answer_was_lost_is_found_by_its_id(self, node, store):
        """An accepted edit must not be reported as failed or made twice.

        The store commits and its answer is lost. Before the write is retried
        or reported as failed, the store must be asked whether it was made.
        """
        store.lost_answers = 1
        result = node.put("acme", weight=2)
        assert (result.revision, result.repeated) == (1, True)
        assert store.commits == 1
        assert node.weight("acme") == 2

    def test_edit_whose_request_was_lost_is_made(self, node, store):
        store.lost_requests = 1
        result = node.put("acme", weight=2)
        assert (result.revision, result.repeated) == (1, False)
        assert store.commits == 1

    def test_outage_after_a_lost_answer_is_ambiguous(self, node, store):
        """A change that may have been made must not be reported as not made.

        The store commits, the answer is lost, and the store goes down. The
        error must be StoreAmbiguous, not StoreUnavailable.
        """
        read = store.read

        def lose_then_fail(table, key):
            if store.commits:
                raise _errors.StoreUnavailable("down")
            return read(table, key)

        store.read = lose_then_fail
        store.lost_answers = 1
        with pytest.raises(_errors.StoreAmbiguous, match="edit-one"):
            edit(node, edit_id="edit-one")
        store.read = read
        repeat = edit(node, edit_id="edit-one")
        assert (repeat.revision, repeat.repeated) == (1, True)

    def test_outage_before_the_edit_is_not_ambiguous(self, node, store):
        store.down = True
        with pytest.raises(_errors.StoreUnavailable):
            edit(node)

    def test_lost_answer_read_from_a_replica_that_lags(self, node, store):
        """An accepted edit must not be made twice.

        The answer is lost, and the edit's record is read from a replica of
        the store that lags. A record missing there does not mean that the
        edit was not made.
        """
        store.lost_answers = 1
        old = store.replica()
        store.before_transact = [lambda: store.readers.append(old)]
        result = edit(node, weight=2)
        assert (result.revision, result.repeated) == (1, True)
        assert store.commits == 1


class TestEditIds:
    def test_repeat_returns_the_first_result(self, node, store):
        first = edit(node, edit_id="edit-one", weight=2)
        node.put("acme", weight=3)
        again = edit(node, edit_id="edit-one", weight=2)
        assert (again.revision, again.repeated) == (first.revision, True)
        assert node.weight("acme") == 3

    def test_id_of_another_edit_is_rejected(self, node):
        edit(node, edit_id="edit-one", weight=2)
        with pytest.raises(_table_errors.EditIdReused):
            edit(node, edit_id="edit-one", weight=3)


class TestUnreadable:
    def test_no_edit_after_an_unreadable_revision(self, node, store):
        """An old daemon must not overwrite what a newer one wrote.

        A newer daemon writes an unknown column, and an operator edits through
        the old one. The edit must not be based on a table without that
        revision.
        """
        node.follower.catch_up()
        table_fakes.write_unreadable_revision(store, 1)
        with pytest.raises(_errors.StoreUnavailable, match="newer"):
            edit(node, "beta")
