"""Who is told of a crash that can't be written for all."""

import functools

import pytest

from tests.topazlug.crashes import crash_fixtures as fixtures
from topazlug import _errors
from topazlug import _ids
from topazlug._generated import messages
from topazlug.crashes import _record_distributor


class Links:
    """Streams between daemons, as plain calls."""

    def __init__(self, name, links_by_daemon):
        self.name = name
        self.links_by_daemon = links_by_daemon
        self.handler = None
        self.refusing = set()
        self.sent = 0

    def handle(self, kind, handler):
        assert kind is messages.CrashNotes
        self.handler = handler

    def send(self, to, message):
        if to in self.refusing:
            raise _errors.PeerUnreachable("gone")
        self.sent += 1
        self.links_by_daemon[to].handler(self.name, message, None)


class Fleet:
    """Daemons that tell each other."""

    def __init__(self, count):
        names = [_ids.DaemonId(f"d{n}") for n in range(count)]
        self.links = {}
        self.heard = {name: [] for name in names}
        self.told = {}
        self.stand_ins = set()
        for name in names:
            self.links[name] = Links(name, self.links)
            self.told[name] = _record_distributor.RecordDistributor(
                daemon=name,
                links=self.links[name],
                daemons=lambda: dict.fromkeys(names),
                on_records=functools.partial(self._on_records, name),
            )

    def _on_records(self, name, records, *, stand_in):
        self.heard[name] += records
        if stand_in:
            self.stand_ins.add(name)

    def hearers(self):
        return {name for name, records in self.heard.items() if records}


@pytest.fixture
def fleet():
    return Fleet(30)


class TestCrash:
    def test_two_daemons_hear_of_all_crashes_under_a_request(self, fleet):
        for number in range(6):
            daemon = f"d{number}"
            crash = fixtures.crash(f"i-{number}@1", ("f", "a"), daemon=daemon)
            fleet.told[daemon].send([crash])
        told = {name: len(records) for name, records in fleet.heard.items()}
        assert len(fleet.hearers()) == 2
        # A collector that saw a crash itself is not told of that one.
        assert all(told[name] >= 5 for name in fleet.hearers())

    def test_a_daemon_that_is_gone_keeps_nobody_from_hearing(self, fleet):
        crash = fixtures.crash("i-1@1", ("f", "a"), ("g", "b"))
        fleet.told["d9"].send([crash])
        first = sorted(fleet.hearers())[0]
        fleet.heard[first].clear()
        fleet.links["d9"].refusing.add(first)
        fleet.told["d9"].send([crash])
        assert fleet.hearers() and first not in fleet.hearers()


class TestBlock:
    def test_all_daemons_hear(self, fleet):
        block = fixtures.block("f", "i-1@1")
        fleet.told["d0"].send([block])
        assert len(fleet.hearers()) == 29
        assert fleet.heard["d7"] == [block]

    def test_all_daemons_of_a_large_fleet_hear(self):
        """A daemon that does not hear of a block ends one more replica.

        Of 880 daemons 200 were told at once, and the others not at all while
        the store was away.
        """
        fleet = Fleet(880)
        fleet.told["d0"].send([fixtures.block("f", "i-1@1")])
        assert len(fleet.hearers()) == 879

    @pytest.mark.parametrize("count", [3, 30, 880])
    def test_a_few_are_asked_to_write_it(self, count):
        fleet = Fleet(count)
        fleet.told["d0"].send([fixtures.block("f", "i-1@1")])
        assert len(fleet.stand_ins) == min(4, count - 1)

    def test_daemons_that_are_gone_keep_none_from_hearing(self):
        """Which daemons pass a note on is drawn; a tenth of them are gone."""
        fleet = Fleet(880)
        gone = {f"d{n}" for n in range(1, 880, 10)}
        for name in gone:
            fleet.links[name].handler = lambda *args: None
        fleet.told["d0"].send([fixtures.block("f", "i-1@1")])
        fleet.told["d2"].send([fixtures.block("f", "i-1@1")])
        assert len(fleet.hearers()) >= 880 - len(gone) - 8

    def test_no_daemon_sends_many_messages(self):
        """The streams of a daemon carry its asks as well."""
        fleet = Fleet(880)
        fleet.told["d0"].send([fixtures.block("f", "i-1@1")])
        assert max(link.sent for link in fleet.links.values()) <= 200
        assert max(map(len, fleet.heard.values())) <= 2


class TestMessage:
    def test_row_that_is_no_note_is_passed_over(self, fleet):
        block = fixtures.block("f", "i-1@1")
        good = _record_distributor._encode_row(block)
        for data in ("", "%%%", "e30="):
            bad = messages.TableRow(key="block/f", data=data)
            message = messages.CrashNotes(rows=[bad, good])
            fleet.heard["d1"].clear()
            fleet.links["d1"].handler("d0", message, None)
            assert fleet.heard["d1"] == [block]
