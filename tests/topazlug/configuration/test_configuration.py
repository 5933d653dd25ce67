import datetime

import pytest

from tests.topazlug import table_fakes
from topazlug._generated import table
from topazlug.configuration import _configuration
from topazlug.configuration import _table_errors
from topazlug.configuration import _table_snapshot

RESULT = _configuration.ApplyResult
NOW = datetime.datetime(2026, 6, 1, tzinfo=datetime.timezone.utc)


@pytest.fixture
def holder():
    made = _configuration.ConfigurationHolder()
    made.apply_full_table(revision=3, rows=[table_fakes.change(3, weight=3)])
    return made


def weight(holder):
    return holder.current.teams_by_name["acme"].weight


class TestApply:
    def test_nothing_is_held_at_first(self):
        holder = _configuration.ConfigurationHolder()
        assert holder.current is None
        assert holder.revision == _configuration.NOTHING_HELD

    def test_following_changes_come_into_force(self, holder):
        changes = [table_fakes.change(r, weight=r) for r in (4, 5)]
        assert holder.apply(changes) is RESULT.APPLIED
        assert (holder.revision, weight(holder)) == (5, 5)

    def test_changes_may_come_in_any_order(self, holder):
        changes = [table_fakes.change(r, weight=r) for r in (5, 4)]
        assert holder.apply(changes) is RESULT.APPLIED
        assert weight(holder) == 5

    def test_late_push_does_not_revert(self, holder):
        """A limit that an operator raised falls back for a moment.

        Sequence: revisions 4 and 5 arrive; a peer that was slow pushes 4
        once more. Cause: the last message to arrive taken for the newest.
        """
        holder.apply([table_fakes.change(r, weight=r) for r in (4, 5)])
        late = [table_fakes.change(4, weight=4)]
        assert holder.apply(late) is RESULT.OLD
        assert (holder.revision, weight(holder)) == (5, 5)

    def test_gap_is_not_jumped(self, holder):
        """A daemon shows the newest revision but lacks a row.

        Sequence: the push of 4 is lost, the push of 5 arrives. Cause: the
        revision raised although the change between was never applied.
        """
        assert holder.apply([table_fakes.change(5)]) is RESULT.GAP
        assert holder.revision == 3

    def test_changes_before_a_gap_come_into_force(self, holder):
        changes = [table_fakes.change(r, weight=r) for r in (4, 6)]
        assert holder.apply(changes) is RESULT.GAP
        assert (holder.revision, weight(holder)) == (4, 4)

    def test_unreadable_row_leaves_the_last_good_revision(self, holder):
        """Teams lose their limits after an update of one daemon.

        Sequence: a newer program writes a column that this one does not
        know. Cause: the row skipped or half read; instead the revision is
        refused and counted.
        """
        unreadable = table_fakes.change(4, weight=-1)
        assert holder.apply([unreadable]) is RESULT.UNREADABLE
        assert (holder.revision, weight(holder)) == (3, 3)
        assert holder.refused_count == 1
        assert holder.is_blocked

    def test_unknown_table_is_unreadable(self, holder):
        odd = table_fakes.change(4, table="gateways")
        assert holder.apply([odd]) is RESULT.UNREADABLE

    def test_removal(self, holder):
        holder.apply([table_fakes.removal(4)])
        assert "acme" not in holder.current.teams_by_name
        assert holder.current.row_versions_by_key.get("teams/acme") is None

    def test_earlier_snapshot_stays_as_it_was(self, holder):
        earlier = holder.current
        holder.apply([table_fakes.change(4, weight=4)])
        assert earlier.teams_by_name["acme"].weight == 3

    def test_failing_reader_does_not_keep_others_from_the_news(self, holder):
        """One part of a daemon goes on with an old limit.

        Sequence: a reader of the table raises at a change. Cause: the
        readers after it were never called.
        """
        told = []
        holder.on_change(lambda: 1 / 0)
        holder.on_change(lambda: told.append(holder.revision))
        holder.apply([table_fakes.change(4)])
        assert told == [4]


class TestApplyWhole:
    def test_lower_or_equal_revision_is_ignored(self, holder):
        rows = [table_fakes.change(3, weight=9)]
        assert holder.apply_full_table(revision=3, rows=rows) is RESULT.OLD
        assert weight(holder) == 3

    def test_rows_that_are_gone_go(self, holder):
        holder.apply_full_table(revision=9, rows=[])
        assert not holder.current.teams_by_name

    def test_unreadable_row_refuses_all(self, holder):
        rows = [table_fakes.change(9, "b"), table_fakes.change(9, weight=-1)]
        assert (
            holder.apply_full_table(revision=9, rows=rows) is RESULT.UNREADABLE
        )
        assert list(holder.current.teams_by_name) == ["acme"]


class TestKeys:
    def give_key(self, holder, **columns):
        keys = [{"hash": table_fakes.HASH, **columns}]
        holder.apply([table_fakes.change(holder.revision + 1, keys=keys)])

    def team(self, holder):
        return holder.current.team_of_key(table_fakes.HASH, now=NOW)

    def test_team_of_key(self, holder):
        self.give_key(holder)
        assert self.team(holder).name == "acme"

    def test_revoked_key_is_nobodys(self, holder):
        self.give_key(holder)
        holder.apply([table_fakes.change(5, keys=[])])
        assert self.team(holder) is None

    def test_key_of_removed_team_is_nobodys(self, holder):
        self.give_key(holder)
        holder.apply([table_fakes.removal(5)])
        assert self.team(holder) is None

    def test_key_that_two_teams_name_stays_the_firsts(self, holder):
        """One team's requests are counted as another's.

        Sequence: a row that names another team's key got past the checks.
        Cause: the last row read takes the key over.
        """
        self.give_key(holder)
        keys = [{"hash": table_fakes.HASH}]
        holder.apply([table_fakes.change(5, "thief", keys=keys)])
        assert self.team(holder).name == "acme"

    @pytest.mark.parametrize(
        "expires, holds",
        [
            ("2026-06-01T00:00:01Z", True),
            ("2026-06-01T00:00:00Z", False),
            ("2026-06-01T01:00:00+02:00", False),
            ("soon", False),
        ],
    )
    def test_expiry(self, holder, expires, holds):
        self.give_key(holder, expires=expires)
        assert (self.team(holder) is not None) is holds


class TestPools:
    def test_pool_by_model_follows_the_pools(self, holder):
        added = table_fakes.change(4, "p", table="pools", model="m")
        holder.apply([added])
        assert holder.current.pool_by_model["m"].name == "p"
        moved = table_fakes.change(5, "p", table="pools", model="n")
        holder.apply([moved])
        assert set(holder.current.pool_by_model) == {"n"}


class TestDecodeRow:
    def test_name_must_be_the_key(self):
        name = _table_snapshot.TableName.DRAINS
        with pytest.raises(_table_errors.RowInvalid, match="'z'"):
            value = {"name": "z", "kind": "zone"}
            _table_snapshot.decode_row(name, "other", value)

    def test_row_is_typed(self):
        name = _table_snapshot.TableName.DRAINS
        value = {"name": "z", "kind": "zone"}
        row = _table_snapshot.decode_row(name, "z", value)
        assert row == table.DrainRow(name="z", kind=table.DrainKind.zone)
