"""Joining a fleet, its secret, and who reads the store for whom."""

import pytest

from tests.topazlug.fleet import store_fakes
from topazlug import _errors
from topazlug import _ids
from topazlug.fleet import _fleet_directory


def directory(name, *, relays=True):
    return _fleet_directory.FleetDirectory(
        me=_ids.DaemonId(name),
        own=_fleet_directory.DaemonRow("127.0.0.1", 7340, relays),
    )


def look(store, one):
    found = store.rows(_fleet_directory.TABLE)
    one.take({row.key: row.data for row in found.rows})


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
        store.is_away = True
        with pytest.raises(_errors.StoreUnavailable):
            directory("a").join(store)

    def test_row_that_cannot_be_read_is_left_out(self):
        one = directory("a")
        one.take({"daemon/b": b"?", "secret": b"s" * 16})
        assert list(one.daemons_by_id) == ["a"]


class TestRelays:
    def test_none_in_a_small_fleet(self):
        assert all(one.relays_for_me() == [] for one in fleet(9))

    def test_all_agree_on_a_few(self):
        made = fleet(60)
        relays = made[0].relays()
        assert len(relays) == 5
        assert all(one.relays() == relays for one in made)
        assert made[0].relays() and all(
            one.relays_for_me() == [] for one in made if one._me in relays
        )

    def test_asks_are_spread(self):
        made = fleet(60)
        first = [one.relays_for_me()[0] for one in made if one.relays_for_me()]
        counts = [first.count(relay) for relay in set(first)]
        assert len(counts) == 5 and max(counts) <= 24

    def test_slow_links_don_t_relay(self):
        slow = set(range(30))
        relays = fleet(60, slow=slow)[0].relays()
        assert not {f"d{number}" for number in slow} & set(relays)
