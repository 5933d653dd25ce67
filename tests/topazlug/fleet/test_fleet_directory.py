"""Joining a fleet, its secret, and the order of readers."""

import pytest

from tests.topazlug.fleet import store_fakes
from topazlug import _errors
from topazlug import _ids
from topazlug.fleet import _fleet_directory


def make_directory(name, *, relays=True):
    return _fleet_directory.FleetDirectory(
        daemon_id=_ids.DaemonId(name),
        own_row=_fleet_directory.DaemonRow("127.0.0.1", 7340, relays),
    )


def update_from_store(store, directory):
    table_changes = store.rows(_fleet_directory.TABLE)
    directory.update({row.key: row.data for row in table_changes.rows})


def make_fleet(count, *, not_relaying=()):
    store = store_fakes.FakeTables()
    directories = [
        make_directory(f"d{number}", relays=number not in not_relaying)
        for number in range(count)
    ]
    for directory in directories:
        directory.join(store)
    for directory in directories:
        update_from_store(store, directory)
    return directories


class TestJoining:
    def test_all_have_one_secret(self):
        directories = make_fleet(5)
        assert len({directory.secret for directory in directories}) == 1
        assert len(directories[0].secret) >= 16
        assert len(directories[0].daemons_by_id) == 5

    def test_only_one_secret_is_written(self):
        """Guards against daemons that reject each other's streams.

        Two daemons find no secret and both try to write one. The write must
        be conditional on its absence.
        """
        store = store_fakes.FakeTables()
        first, second = make_directory("a"), make_directory("b")
        rows = store.rows
        raced = []

        def late_rows(table):
            table_changes = rows(table)
            if not raced:
                raced.append(True)
                first.join(store)
            return table_changes

        store.rows = late_rows
        second.join(store)
        assert second.secret == first.secret

    def test_unavailable_store_raises(self):
        store = store_fakes.FakeTables()
        store.is_unavailable = True
        with pytest.raises(_errors.StoreUnavailable):
            make_directory("a").join(store)

    def test_invalid_row_is_ignored(self):
        directory = make_directory("a")
        directory.update({"daemon/b": b"?", "secret": b"s" * 16})
        assert list(directory.daemons_by_id) == ["a"]


class TestRestart:
    def test_unchanged_row_is_not_written_again(self):
        """Guards against hundreds of writes per second after a power loss.

        All daemons restart with the same names and addresses. Each write of
        a row is sent to all readers.
        """
        store = store_fakes.FakeTables()
        make_directory("a").join(store)
        written = store.version
        again = make_directory("a")
        again.join(store)
        assert store.version == written
        assert again.was_registered and again.secret

    def test_changed_row_is_written(self):
        store = store_fakes.FakeTables()
        make_directory("a").join(store)
        again = make_directory("a", relays=False)
        again.join(store)
        third = make_directory("b")
        third.join(store)
        assert not again.was_registered
        assert not third.daemons_by_id["a"].relays


class TestReadingOrder:
    def test_all_daemons_have_the_same_order(self):
        directories = make_fleet(60)
        order = directories[0].reading_order()
        assert len(order) == 60
        assert all(
            directory.reading_order() == order for directory in directories
        )

    def test_relaying_daemons_come_first(self):
        not_relaying = set(range(30))
        order = make_fleet(60, not_relaying=not_relaying)[0].reading_order()
        names = {f"d{number}" for number in not_relaying}
        assert not names & set(order[:30])
        assert names == set(order[30:])
