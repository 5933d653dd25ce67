"""Crash records are sent to peers at once and kept in the table."""

import gevent
import msgspec
import pytest

from tests.topazlug import claim_fakes
from tests.topazlug import routing_fixtures
from tests.topazlug.crashes import crash_fixtures as fixtures
from topazlug import _clock
from topazlug.crashes import _crash_records
from topazlug.crashes import _record_sync
from topazlug.store import _table_client

CRASH = fixtures.crash("i-1@1", ("f", "a1"))
BLOCK = fixtures.block("f", "i-1@1")


class FakeDistributor:
    """Collects the records that are sent."""

    def __init__(self):
        self.records = []

    def send(self, records):
        self.records += records


class Rig:
    """The record sync of one daemon; several may share a store."""

    def __init__(self, store=None):
        self.store = store or claim_fakes.FakeStore()
        self.distributor = FakeDistributor()
        self.received = []
        self.sync = _record_sync.RecordSync(
            store=self.store,
            distributor=self.distributor,
            on_records=self.received.append,
            clock=_clock.SystemClock(),
        )
        self._tasks = [gevent.spawn(task) for task in self.sync.tasks()]

    def stop(self):
        gevent.killall(self._tasks)


@pytest.fixture
def rig():
    made = Rig()
    yield made
    made.stop()


class TestRecords:
    def test_records_are_sent_and_written(self, rig):
        rig.sync.publish([CRASH, BLOCK])
        assert rig.distributor.records == [CRASH, BLOCK]
        routing_fixtures.wait_until(lambda: len(rig.store.row_by_key) == 2)
        assert rig.sync.read() == [BLOCK, CRASH]

    def test_daemon_that_starts_later_reads_records(self, rig):
        rig.sync.publish([BLOCK])
        routing_fixtures.wait_until(lambda: rig.store.row_by_key)
        later = Rig(rig.store)
        routing_fixtures.wait_until(lambda: later.received)
        later.stop()
        assert later.received == [[BLOCK]]

    def test_write_is_retried_after_an_outage(self, rig):
        rig.store.transact_faults.append(claim_fakes.Fault.DOWN)
        rig.store.transact_faults.append(claim_fakes.Fault.ANSWER_LOST)
        rig.sync.publish([BLOCK])
        routing_fixtures.wait_until(lambda: rig.store.row_by_key)
        assert rig.sync.read() == [BLOCK]

    def test_invalid_row_is_skipped(self, rig):
        rig.sync.publish([BLOCK])
        routing_fixtures.wait_until(lambda: rig.store.row_by_key)
        rig.store.row_by_key["crash/x"] = _table_client.Row(
            table=_crash_records.TABLE,
            key="crash/x",
            version=1,
            value={"a": 1},
        )
        assert rig.sync.read() == [BLOCK]

    def test_many_rows_are_read_page_by_page(self, rig):
        records = [
            fixtures.crash(f"i-{n:04}@1", ("f", "a")) for n in range(1100)
        ]
        for record in records:
            key = _crash_records.record_key(record)
            value = msgspec.to_builtins(record)
            rig.store.row_by_key[key] = _table_client.Row(
                table=_crash_records.TABLE, key=key, version=1, value=value
            )
        assert rig.sync.read() == records
