"""Notes are written until the store has them, and told meanwhile."""

import gevent
import pytest

from tests.topazlug import routing_fixtures
from tests.topazlug.crashes import crash_fixtures as fixtures
from tests.topazlug.fleet import store_fakes
from topazlug import _clock
from topazlug import _errors
from topazlug.crashes import _notes
from topazlug.crashes import _stored_notes
from topazlug.fleet import _table_source

CRASH = fixtures.crash("i-1@1", ("f", "a1"))


class Rig:
    """Writes to a store in memory."""

    def __init__(self):
        self.store = store_fakes.FakeTables()
        self.told = []
        self.notes = _stored_notes.StoredNotes(
            write=self._write,
            tell=self.told.append,
            clock=_clock.SystemClock(),
        )
        self._writer = gevent.spawn(self.notes.run)

    def _write(self, notes, dropped):
        rows = [
            _table_source.Row(_notes.key_of(note), _notes.encode(note))
            for note in notes
        ]
        rows += [_table_source.Row(key, deleted=True) for key in dropped]
        self.store.write(_notes.TABLE, rows)

    def keys(self):
        """Give the keys of all rows, whether the store is away or not."""
        return sorted(self.store._held(_notes.TABLE))

    def stop(self):
        self._writer.kill()


@pytest.fixture
def rig(monkeypatch):
    monkeypatch.setattr(_stored_notes, "_DROP_CHANCE", 1.0)
    made = Rig()
    yield made
    made.stop()


def wait_until(condition):
    routing_fixtures.wait_until(condition)


class TestWriting:
    def test_note_becomes_a_row(self, rig):
        rig.notes.publish([CRASH])
        wait_until(rig.keys)
        assert rig.keys() == ["crash/i-1@1/d1"]
        assert rig.told == []

    def test_notes_of_one_moment_take_one_call(self, rig):
        rig.notes.publish([CRASH])
        rig.notes.publish([fixtures.block("f", "i-1@1")])
        wait_until(rig.keys)
        assert len(rig.keys()) == 2
        assert rig.store.calls == 1

    def test_rows_without_use_are_dropped(self, rig):
        rig.store.put(_notes.TABLE, "crash/i-0@1/d1", b"{}")
        rig.notes.publish([CRASH], drop=["crash/i-0@1/d1"])
        wait_until(lambda: rig.keys() == ["crash/i-1@1/d1"])


class TestStoreAway:
    def test_others_are_told_once_and_the_row_comes_later(self, rig):
        """While the store was away each daemon learnt for itself.

        Nine daemons then needed three crashes each to know one request.
        """
        rig.store.is_unavailable = True
        rig.notes.publish([CRASH])
        wait_until(lambda: rig.store.calls > 2)
        assert rig.told == [[CRASH]]
        rig.store.is_unavailable = False
        wait_until(rig.keys)
        assert rig.keys() == ["crash/i-1@1/d1"]

    def test_each_further_note_is_told(self, rig):
        rig.store.is_unavailable = True
        rig.notes.publish([CRASH])
        wait_until(lambda: rig.told)
        block = fixtures.block("f", "i-1@1")
        rig.notes.publish([block])
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
        rig.notes.publish([CRASH], drop=["crash/i-0@1/d1"])
        wait_until(rig.keys)
        rig.notes.publish([fixtures.block("f", "i-1@1")])
        wait_until(lambda: len(rig.keys()) == 2)

    def test_what_waits_is_bounded(self, rig):
        rig.store.is_unavailable = True
        for number in range(400):
            rig.notes.publish([fixtures.crash(f"i-{number}@1", ("f", "a"))])
        rig.store.is_unavailable = False
        wait_until(lambda: "crash/i-399@1/d1" in rig.keys())
        wait_until(lambda: len(rig.keys()) == 256)

    def test_answer_that_was_lost_is_written_again(self, rig):
        """The store did the write and its answer never came."""
        lost = []

        def write(notes, dropped):
            plain_write(notes, dropped)
            if not lost:
                lost.append(True)
                raise _errors.StoreAmbiguous("no answer")

        plain_write = rig.notes._write_rows
        rig.notes._write_rows = write
        rig.notes.publish([CRASH])
        wait_until(lambda: rig.store.calls == 2)
        assert rig.keys() == ["crash/i-1@1/d1"]

    def test_few_daemons_drop_rows(self, rig, monkeypatch):
        """Each daemon that notes one crash finds the same rows too many."""
        monkeypatch.setattr(_stored_notes, "_DROP_CHANCE", 0.0)
        rig.notes.publish([CRASH], drop=["crash/i-0@1/d1"])
        wait_until(rig.keys)
        assert rig.store.calls == 1
