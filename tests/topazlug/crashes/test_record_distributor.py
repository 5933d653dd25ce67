"""Which daemons receive the record of a crash or a decision."""

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
    """Daemons that send each other crash records."""

    def __init__(self, count):
        names = [_ids.DaemonId(f"d{n}") for n in range(count)]
        self.links = {}
        self.received = {name: [] for name in names}
        self.holds = {name: [] for name in names}
        self.distributors = {}
        self.stand_ins = set()
        self.unshared = []
        for name in names:
            self.links[name] = Links(name, self.links)
            self.distributors[name] = _record_distributor.RecordDistributor(
                daemon=name,
                links=self.links[name],
                daemons=lambda: dict.fromkeys(names),
                on_records=functools.partial(self._on_records, name),
                on_holds=functools.partial(self._on_holds, name),
                unshared=lambda: self.unshared,
            )

    def _on_records(self, name, records, *, stand_in):
        self.received[name] += records
        if stand_in:
            self.stand_ins.add(name)

    def _on_holds(self, name, holds):
        self.holds[name] += holds

    def receivers(self):
        return {name for name, records in self.received.items() if records}


@pytest.fixture
def fleet():
    return Fleet(30)


class TestCrash:
    def test_two_collectors_receive_all_crashes_of_a_request(self, fleet):
        for number in range(6):
            daemon = f"d{number}"
            crash = fixtures.crash(f"i-{number}@1", ("f", "a"), daemon=daemon)
            fleet.distributors[daemon].send([crash])
        counts = {
            name: len(records) for name, records in fleet.received.items()
        }
        assert len(fleet.receivers()) == 2
        # A collector is not sent the crashes that it reported itself.
        assert all(counts[name] >= 5 for name in fleet.receivers())

    def test_unreachable_collector_does_not_affect_the_other(self, fleet):
        crash = fixtures.crash("i-1@1", ("f", "a"), ("g", "b"))
        fleet.distributors["d9"].send([crash])
        first = sorted(fleet.receivers())[0]
        fleet.received[first].clear()
        fleet.links["d9"].refusing.add(first)
        fleet.distributors["d9"].send([crash])
        assert fleet.receivers() and first not in fleet.receivers()


class TestBlock:
    def test_all_daemons_receive_block(self, fleet):
        block = fixtures.block("f", "i-1@1")
        fleet.distributors["d0"].send([block])
        assert len(fleet.receivers()) == 29
        assert fleet.received["d7"] == [block]

    def test_all_daemons_of_a_large_fleet_receive_block(self):
        """A daemon that does not receive a block loses one more replica.

        Of 880 daemons 200 received it at once, and the others not at all
        while the store was unavailable.
        """
        fleet = Fleet(880)
        fleet.distributors["d0"].send([fixtures.block("f", "i-1@1")])
        assert len(fleet.receivers()) == 879

    @pytest.mark.parametrize("count", [3, 30, 880])
    def test_few_stand_ins_are_chosen(self, count):
        fleet = Fleet(count)
        fleet.distributors["d0"].send([fixtures.block("f", "i-1@1")])
        assert len(fleet.stand_ins) == min(4, count - 1)

    def test_failed_relays_do_not_keep_a_block_from_others(self):
        """A tenth of the daemons are down, some of those that relay too."""
        fleet = Fleet(880)
        failed = {f"d{n}" for n in range(1, 880, 10)}
        for name in failed:
            fleet.links[name].handler = lambda *args: None
        fleet.distributors["d0"].send([fixtures.block("f", "i-1@1")])
        fleet.distributors["d2"].send([fixtures.block("f", "i-1@1")])
        assert len(fleet.receivers()) >= 880 - len(failed) - 8

    def test_no_daemon_sends_many_messages(self):
        """The streams of a daemon also carry its admission requests."""
        fleet = Fleet(880)
        fleet.distributors["d0"].send([fixtures.block("f", "i-1@1")])
        assert max(link.sent for link in fleet.links.values()) <= 200
        assert max(map(len, fleet.received.values())) <= 2


class TestHold:
    def test_all_daemons_of_a_large_fleet_receive_a_hold(self):
        """A daemon that does not receive it may lose one more replica."""
        fleet = Fleet(880)
        first = sorted(fleet.distributors["d0"].collectors_of("f"))[0]
        fleet.distributors[first].send_hold("f", 3)
        assert sum(map(bool, fleet.holds.values())) == 879
        assert fleet.receivers() == set()

    def test_only_collectors_send_holds(self, fleet):
        """All daemons that crashed a replica would send it to all others."""
        collectors = fleet.distributors["d0"].collectors_of("f")
        other = next(name for name in fleet.links if name not in collectors)
        fleet.distributors[other].send_hold("f", 3)
        assert fleet.links[other].sent == 0


class TestMessage:
    def test_invalid_row_is_skipped(self, fleet):
        block = fixtures.block("f", "i-1@1")
        good = _record_distributor._encode_row(block)
        for data in ("", "%%%", "e30="):
            bad = messages.TableRow(key="block/f", data=data)
            message = messages.CrashNotes(rows=[bad, good])
            fleet.received["d1"].clear()
            fleet.links["d1"].handler("d0", message, None)
            assert fleet.received["d1"] == [block]
