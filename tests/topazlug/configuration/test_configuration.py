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
    configuration = _configuration.ConfigurationHolder()
    configuration.apply_full_table(
        revision=3, rows=[table_fakes.change(3, weight=3)]
    )
    return configuration


def weight(holder):
    return holder.current.teams_by_name["acme"].weight


class TestApply:
    def test_there_is_no_revision_at_first(self):
        holder = _configuration.ConfigurationHolder()
        assert holder.current is None
        assert holder.revision == _configuration.NO_REVISION

    def test_following_changes_come_into_force(self, holder):
        changes = [table_fakes.change(r, weight=r) for r in (4, 5)]
        assert holder.apply(changes) is RESULT.APPLIED
        assert (holder.revision, weight(holder)) == (5, 5)

    def test_changes_may_come_in_any_order(self, holder):
        changes = [table_fakes.change(r, weight=r) for r in (5, 4)]
        assert holder.apply(changes) is RESULT.APPLIED
        assert weight(holder) == 5

    def test_late_push_does_not_revert(self, holder):
        """A limit that an operator raised must not revert temporarily.

        A slow peer pushes revision 4 after 5 has been applied. Treating the
        message that arrives last as the newest would revert the limit.
        """
        holder.apply([table_fakes.change(r, weight=r) for r in (4, 5)])
        late = [table_fakes.change(4, weight=4)]
        assert holder.apply(late) is RESULT.OLD
        assert (holder.revision, weight(holder)) == (5, 5)

    def test_gap_is_not_skipped(self, holder):
        """A daemon must not report the newest revision and lack a row.

        The push of revision 4 is lost and the push of 5 arrives. Revision 5
        must not be applied without the change in between.
        """
        assert holder.apply([table_fakes.change(5)]) is RESULT.GAP
        assert holder.revision == 3

    def test_changes_before_a_gap_come_into_force(self, holder):
        changes = [table_fakes.change(r, weight=r) for r in (4, 6)]
        assert holder.apply(changes) is RESULT.GAP
        assert (holder.revision, weight(holder)) == (4, 4)

    def test_unreadable_row_keeps_the_last_valid_revision(self, holder):
        """Teams must keep their limits while daemons differ in version.

        A newer version writes a row that this one can't decode. If the row
        were skipped or decoded in part, the team would lose its limits. The
        revision must be rejected and counted.
        """
        unreadable = table_fakes.change(4, weight=-1)
        assert holder.apply([unreadable]) is RESULT.UNREADABLE
        assert (holder.revision, weight(holder)) == (3, 3)
        assert holder.rejected_count == 1
        assert holder.is_newer_revision_rejected

    def test_unknown_table_is_unreadable(self, holder):
        unknown = table_fakes.change(4, table="gateways")
        assert holder.apply([unknown]) is RESULT.UNREADABLE

    def test_removal(self, holder):
        holder.apply([table_fakes.removal(4)])
        assert "acme" not in holder.current.teams_by_name
        assert holder.current.row_versions_by_key.get("teams/acme") is None

    def test_earlier_snapshot_is_unchanged(self, holder):
        earlier = holder.current
        holder.apply([table_fakes.change(4, weight=4)])
        assert earlier.teams_by_name["acme"].weight == 3

    def test_failing_callback_does_not_stop_later_ones(self, holder):
        """No part of a daemon may go on with an outdated limit.

        A callback raises. The callbacks registered after it must still be
        called.
        """
        notified = []
        holder.on_change(lambda: 1 / 0)
        holder.on_change(lambda: notified.append(holder.revision))
        holder.apply([table_fakes.change(4)])
        assert notified == [4]


class TestApplyFullTable:
    def test_lower_or_equal_revision_is_ignored(self, holder):
        rows = [table_fakes.change(3, weight=9)]
        assert holder.apply_full_table(revision=3, rows=rows) is RESULT.OLD
        assert weight(holder) == 3

    def test_absent_rows_are_removed(self, holder):
        holder.apply_full_table(revision=9, rows=[])
        assert not holder.current.teams_by_name

    def test_unreadable_row_rejects_the_table(self, holder):
        rows = [table_fakes.change(9, "b"), table_fakes.change(9, weight=-1)]
        assert (
            holder.apply_full_table(revision=9, rows=rows) is RESULT.UNREADABLE
        )
        assert list(holder.current.teams_by_name) == ["acme"]


class TestKeys:
    def add_key(self, holder, **columns):
        keys = [{"hash": table_fakes.HASH, **columns}]
        holder.apply([table_fakes.change(holder.revision + 1, keys=keys)])

    def team(self, holder):
        return holder.current.team_of_key(table_fakes.HASH, now=NOW)

    def test_team_of_key(self, holder):
        self.add_key(holder)
        assert self.team(holder).name == "acme"

    def test_revoked_key_has_no_team(self, holder):
        self.add_key(holder)
        holder.apply([table_fakes.change(5, keys=[])])
        assert self.team(holder) is None

    def test_key_of_removed_team_has_no_team(self, holder):
        self.add_key(holder)
        holder.apply([table_fakes.removal(5)])
        assert self.team(holder) is None

    def test_key_of_two_teams_stays_with_the_first(self, holder):
        """One team's requests must not be counted as another's.

        A row with another team's key got past the checks. The row applied
        last must not take the key over.
        """
        self.add_key(holder)
        keys = [{"hash": table_fakes.HASH}]
        holder.apply([table_fakes.change(5, "thief", keys=keys)])
        assert self.team(holder).name == "acme"

    @pytest.mark.parametrize(
        "expires, is_valid",
        [
            ("2026-06-01T00:00:01Z", True),
            ("2026-06-01T00:00:00Z", False),
            ("2026-06-01T01:00:00+02:00", False),
            ("soon", False),
        ],
    )
    def test_expiry(self, holder, expires, is_valid):
        self.add_key(holder, expires=expires)
        assert (self.team(holder) is not None) is is_valid


class TestPools:
    def test_pool_by_model_is_updated_with_the_pools(self, holder):
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
