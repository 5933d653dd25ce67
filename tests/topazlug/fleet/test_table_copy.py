"""Replacing and changing a copy of a table, and the changes that it keeps."""

import pytest

from topazlug import _errors
from topazlug.fleet import _table_copy
from topazlug.fleet import _table_source

Row = _table_source.Row


def changes(version, *rows):
    return _table_source.TableChanges(version, rows)


@pytest.fixture
def copy():
    table_copy = _table_copy.TableCopy("op")
    table_copy.replace(changes(5, Row("a", b"1"), Row("b", b"1")))
    return table_copy


class TestTableCopy:
    def test_changes_are_applied_in_their_order(self, copy):
        copy.apply(changes(8, Row("a", deleted=True), Row("b", b"2")))
        assert copy.data_by_key == {"b": b"2"}
        assert copy.rows() == [Row("b", b"2")]
        assert copy.version == 8

    def test_older_table_is_rejected(self, copy):
        """Guards against revoked keys that become valid again."""
        with pytest.raises(_errors.StoreUnavailable):
            copy.replace(changes(4, Row("a", b"0")))
        assert copy.data_by_key["a"] == b"1"

    def test_changes_since_a_version(self, copy):
        copy.apply(changes(8, Row("b", b"2")))
        copy.apply(changes(9, Row("c", b"1")))
        assert copy.since(5) == [Row("b", b"2"), Row("c", b"1")]
        assert copy.since(8) == [Row("c", b"1")]
        assert copy.since(9) == []

    def test_changes_before_the_whole_table_are_not_kept(self, copy):
        assert copy.since(4) is None

    def test_oldest_changes_are_discarded(self, copy):
        for version in range(6, 6 + 2 * _table_copy.MAX_KEPT_CHANGES):
            copy.apply(changes(version, Row("b", b"%d" % version)))
        assert copy.since(6) is None
        assert len(copy.since(copy.version - 10)) == 10
