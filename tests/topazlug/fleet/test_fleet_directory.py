"""Joining a fleet, its secret, and who reads the store for whom."""

import pytest

from tests.topazlug.fleet import store_fakes
from topazlug import _errors
from topazlug import _ids
from topazlug.fleet import _fleet_directory


def directory(name, *, relays=True):
    return _fleet_directory.FleetDirectory(
        daemon_id=_ids.DaemonId(name),
        own_row=_fleet_directory.DaemonRow("127.0.0.1", 7340, relays),
    )


def look(store, one):
    found = store.rows(_fleet_directory.TABLE)
    one.update({row.key: row.data for row in found.rows})


def fleet(count, *, slow=()):
    store = store_fakes.FakeTables()
    made = [
        directory(f"d{number}", relays=number not in slow)
        for number in range(count)
    ]
    for one in made:
        one.join(store)
    for one in made:
        look(store, one)
    return made


class TestJoining:
    def test_all_have_one_secret(self):
        made = fleet(5)
        assert len({one.secret for one in made}) == 1
        assert len(made[0].secret) >= 16
        assert len(made[0].daemons_by_id) == 5

    def test_race_for_the_secret_has_one_winner(self):
        """Symptom: daemons refuse each other's streams.

        Sequence: two daemons find no secret and both write one. Cause: the
        write was not under the condition that there is none.
        """
        store = store_fakes.FakeTables()
        first, second = directory("a"), directory("b")
        rows = store.rows
        raced = []

        def late_rows(table):
            found = rows(table)
            if not raced:
                raced.append(True)
                first.join(store)
            return found

        store.rows = late_rows
        second.join(store)
        assert second.secret == first.secret

    def test_store_is_away(self):
        store = store_fakes.FakeTables()
        store.is_unavailable = True
        with pytest.raises(_errors.StoreUnavailable):
            directory("a").join(store)

    def test_row_that_cannot_be_read_is_left_out(self):
        one = directory("a")
        one.update({"daemon/b": b"?", "secret": b"s" * 16})
        assert list(one.daemons_by_id) == ["a"]


class TestStartingAgain:
    def test_row_that_is_there_is_not_written_again(self):
        """Symptom: hundreds of writes a second after a loss of power.

        Sequence: all daemons start again under the same names and
        addresses. Cause: each wrote its row, which all readers were told of.
        """
        store = store_fakes.FakeTables()
        directory("a").join(store)
        written = store.version
        again = directory("a")
        again.join(store)
        assert store.version == written
        assert again.was_known and again.secret

    def test_row_that_changed_is_written(self):
        store = store_fakes.FakeTables()
        directory("a").join(store)
        again = directory("a", relays=False)
        again.join(store)
        third = directory("b")
        third.join(store)
        assert not again.was_known
        assert not third.daemons_by_id["a"].relays


class TestReadingOrder:
    def test_all_agree(self):
        made = fleet(60)
        order = made[0].reading_order()
        assert len(order) == 60
        assert all(one.reading_order() == order for one in made)

    def test_fast_links_come_first(self):
        slow = set(range(30))
        order = fleet(60, slow=slow)[0].reading_order()
        names = {f"d{number}" for number in slow}
        assert not names & set(order[:30])
        assert names == set(order[30:])
