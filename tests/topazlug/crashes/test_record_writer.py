"""Records are written until the store accepts them, and sent meanwhile."""

import gevent
import pytest

from tests.topazlug import routing_fixtures
from tests.topazlug.crashes import crash_fixtures as fixtures
from tests.topazlug.fleet import store_fakes
from topazlug import _clock
from topazlug import _errors
from topazlug.crashes import _crash_records
from topazlug.crashes import _record_writer
from topazlug.fleet import _table_source

CRASH = fixtures.crash("i-1@1", ("f", "a1"))


class Rig:
    """Writes to a store in memory."""

    def __init__(self):
        self.store = store_fakes.FakeTables()
        self.notified = []
        self.writer = _record_writer.RecordWriter(
            write=self._write,
            notify=self.notified.append,
            clock=_clock.SystemClock(),
        )
        self._task = gevent.spawn(self.writer.run)

    def _write(self, records, removed):
        rows = [
            _table_source.Row(
                _crash_records.record_key(record),
                _crash_records.encode(record),
            )
            for record in records
        ]
        rows += [_table_source.Row(key, deleted=True) for key in removed]
        self.store.write(_crash_records.TABLE, rows)

    def keys(self):
        """Return the keys of all rows, even while the store is unavailable."""
        return sorted(self.store._current_rows(_crash_records.TABLE))

    def stop(self):
        self._task.kill()


@pytest.fixture
def rig(monkeypatch):
    monkeypatch.setattr(_record_writer, "_REMOVE_PROBABILITY", 1.0)
    made = Rig()
    yield made
    made.stop()


def wait_until(condition):
    routing_fixtures.wait_until(condition)


class TestWriting:
    def test_record_becomes_a_row(self, rig):
        rig.writer.publish([CRASH])
        wait_until(rig.keys)
        assert rig.keys() == ["crash/i-1@1/d1"]
        assert rig.notified == []

    def test_simultaneous_records_take_one_call(self, rig):
        rig.writer.publish([CRASH])
        rig.writer.publish([fixtures.block("f", "i-1@1")])
        wait_until(rig.keys)
        assert len(rig.keys()) == 2
        assert rig.store.calls == 1

    def test_obsolete_rows_are_removed(self, rig):
        rig.store.put(_crash_records.TABLE, "crash/i-0@1/d1", b"{}")
        rig.writer.publish([CRASH], remove=["crash/i-0@1/d1"])
        wait_until(lambda: rig.keys() == ["crash/i-1@1/d1"])


class TestStoreUnavailable:
    def test_peers_are_notified_once_and_the_row_is_written_later(self, rig):
        """While the store is unavailable, daemons still share crashes.

        Without that, each of nine daemons needed three crashes to block one
        request.
        """
        rig.store.is_unavailable = True
        rig.writer.publish([CRASH])
        wait_until(lambda: rig.store.calls > 2)
        assert rig.notified == [[CRASH]]
        rig.store.is_unavailable = False
        wait_until(rig.keys)
        assert rig.keys() == ["crash/i-1@1/d1"]

    def test_peers_are_notified_of_each_further_record(self, rig):
        rig.store.is_unavailable = True
        rig.writer.publish([CRASH])
        wait_until(lambda: rig.notified)
        block = fixtures.block("f", "i-1@1")
        rig.writer.publish([block])
        wait_until(lambda: len(rig.notified) == 2)
        assert rig.notified == [[CRASH], [block]]

    def test_rejected_removal_does_not_block_records(self, rig):
        """A row is to be removed that another daemon has removed already.

        If the store rejects that, records in the same call would never be
        written.
        """

        def write(table, rows, *, new=()):
            if any(row.deleted for row in rows):
                raise _errors.StoreUnavailable("no such row")
            plain_write(table, rows, new=new)

        plain_write = rig.store.write
        rig.store.write = write
        rig.writer.publish([CRASH], remove=["crash/i-0@1/d1"])
        wait_until(rig.keys)
        rig.writer.publish([fixtures.block("f", "i-1@1")])
        wait_until(lambda: len(rig.keys()) == 2)

    def test_pending_records_are_bounded(self, rig):
        rig.store.is_unavailable = True
        for number in range(400):
            rig.writer.publish([fixtures.crash(f"i-{number}@1", ("f", "a"))])
        rig.store.is_unavailable = False
        wait_until(lambda: "crash/i-399@1/d1" in rig.keys())
        wait_until(lambda: len(rig.keys()) == 256)

    def test_write_is_repeated_if_its_response_is_lost(self, rig):
        """The store performed the write, but its response was lost."""
        lost = []

        def write(records, removed):
            plain_write(records, removed)
            if not lost:
                lost.append(True)
                raise _errors.StoreAmbiguous("no answer")

        plain_write = rig.writer._write_rows
        rig.writer._write_rows = write
        rig.writer.publish([CRASH])
        wait_until(lambda: rig.store.calls == 2)
        assert rig.keys() == ["crash/i-1@1/d1"]

    def test_few_daemons_remove_rows(self, rig, monkeypatch):
        """All daemons that record one crash find the same obsolete rows."""
        monkeypatch.setattr(_record_writer, "_REMOVE_PROBABILITY", 0.0)
        rig.writer.publish([CRASH], remove=["crash/i-0@1/d1"])
        wait_until(rig.keys)
        assert rig.store.calls == 1
