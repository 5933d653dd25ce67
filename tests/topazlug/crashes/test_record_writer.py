"""Notes are written until the store has them, and told meanwhile."""

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
        self.told = []
        self.records = _record_writer.RecordWriter(
            write=self._write,
            notify=self.told.append,
            clock=_clock.SystemClock(),
        )
        self._writer = gevent.spawn(self.records.run)

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
        """Give the keys of all rows, whether the store is away or not."""
        return sorted(self.store._held(_crash_records.TABLE))

    def stop(self):
        self._writer.kill()


@pytest.fixture
def rig(monkeypatch):
    monkeypatch.setattr(_record_writer, "_REMOVE_PROBABILITY", 1.0)
    made = Rig()
    yield made
    made.stop()


def wait_until(condition):
    routing_fixtures.wait_until(condition)


class TestWriting:
    def test_note_becomes_a_row(self, rig):
        rig.records.publish([CRASH])
        wait_until(rig.keys)
        assert rig.keys() == ["crash/i-1@1/d1"]
        assert rig.told == []

    def test_notes_of_one_moment_take_one_call(self, rig):
        rig.records.publish([CRASH])
        rig.records.publish([fixtures.block("f", "i-1@1")])
        wait_until(rig.keys)
        assert len(rig.keys()) == 2
        assert rig.store.calls == 1

    def test_rows_without_use_are_dropped(self, rig):
        rig.store.put(_crash_records.TABLE, "crash/i-0@1/d1", b"{}")
        rig.records.publish([CRASH], remove=["crash/i-0@1/d1"])
        wait_until(lambda: rig.keys() == ["crash/i-1@1/d1"])


class TestStoreAway:
    def test_others_are_told_once_and_the_row_comes_later(self, rig):
        """While the store was away each daemon learnt for itself.

        Nine daemons then needed three crashes each to know one request.
        """
        rig.store.is_away = True
        rig.records.publish([CRASH])
        wait_until(lambda: rig.store.calls > 2)
        assert rig.told == [[CRASH]]
        rig.store.is_away = False
        wait_until(rig.keys)
        assert rig.keys() == ["crash/i-1@1/d1"]

    def test_each_further_note_is_told(self, rig):
        rig.store.is_away = True
        rig.records.publish([CRASH])
        wait_until(lambda: rig.told)
        block = fixtures.block("f", "i-1@1")
        rig.records.publish([block])
        wait_until(lambda: len(rig.told) == 2)
        assert rig.told == [[CRASH], [block]]

    def test_refused_drop_keeps_no_note_back(self, rig):
        """A row was to be dropped that another daemon had dropped already.

        If the store refuses that, the notes of the same call would never be
        written.
        """

        def write(table, rows, *, new=()):
            if any(row.deleted for row in rows):
                raise _errors.StoreUnavailable("no such row")
            plain_write(table, rows, new=new)

        plain_write = rig.store.write
        rig.store.write = write
        rig.records.publish([CRASH], remove=["crash/i-0@1/d1"])
        wait_until(rig.keys)
        rig.records.publish([fixtures.block("f", "i-1@1")])
        wait_until(lambda: len(rig.keys()) == 2)

    def test_what_waits_is_bounded(self, rig):
        rig.store.is_away = True
        for number in range(400):
            rig.records.publish([fixtures.crash(f"i-{number}@1", ("f", "a"))])
        rig.store.is_away = False
        wait_until(lambda: "crash/i-399@1/d1" in rig.keys())
        wait_until(lambda: len(rig.keys()) == 256)

    def test_answer_that_was_lost_is_written_again(self, rig):
        """The store did the write and its answer never came."""
        lost = []

        def write(records, removed):
            plain_write(records, removed)
            if not lost:
                lost.append(True)
                raise _errors.StoreAmbiguous("no answer")

        plain_write = rig.records._write_rows
        rig.records._write_rows = write
        rig.records.publish([CRASH])
        wait_until(lambda: rig.store.calls == 2)
        assert rig.keys() == ["crash/i-1@1/d1"]

    def test_few_daemons_drop_rows(self, rig, monkeypatch):
        """Each daemon that notes one crash finds the same rows too many."""
        monkeypatch.setattr(_record_writer, "_REMOVE_PROBABILITY", 0.0)
        rig.records.publish([CRASH], remove=["crash/i-0@1/d1"])
        wait_until(rig.keys)
        assert rig.store.calls == 1
