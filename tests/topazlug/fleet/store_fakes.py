"""An in-memory store of tables, for feeds and directories."""

import gevent
from gevent import event

from topazlug import _errors
from topazlug.fleet import _table_source

Row = _table_source.Row


class FakeTables:
    """Tables with a common version that can fail in different ways."""

    def __init__(self):
        self.version = 0
        self.log = []
        self.oldest_version = 0
        self.is_unavailable = False
        self.stale_answer = None
        self.whole_answer = None
        self.stale_read_count = 0
        self.calls = 0
        self._changed_event = event.Event()

    def write(self, table, rows, *, new=()):
        self._call()
        if set(new) & self._current_rows(table).keys():
            raise _table_source.RowExists("exists")
        self.version += 1
        self.log += [(self.version, table, row) for row in rows]
        self._changed_event.set()
        self._changed_event.clear()

    def put(self, table, key, data):
        self.write(table, [Row(key, data)])

    def drop(self, table, key):
        self.write(table, [Row(key, deleted=True)])

    def _call(self):
        self.calls += 1
        if self.is_unavailable:
            raise _errors.StoreUnavailable("unavailable")

    def _current_rows(self, table):
        held = {}
        for _, name, row in self.log:
            if name == table:
                held.pop(row.key, None)
                if not row.deleted:
                    held[row.key] = row
        return held

    def rows(self, table):
        self._call()
        if self.stale_answer is not None:
            self.stale_read_count += 1
            return self.stale_answer
        return _table_source.TableChanges(
            self.version, list(self._current_rows(table).values())
        )

    def changes(self, table, *, after, wait, age=0.0):
        self._call()
        if after < self.oldest_version:
            raise _table_source.HistoryLost("history lost")
        if (
            self.whole_answer is not None
            and after != self.whole_answer.version
        ):
            return self.whole_answer
        rows = self._since(table, after)
        if not rows:
            self._changed_event.wait(min(wait, 0.02))
            gevent.sleep(0)
            if self.is_unavailable:
                raise _errors.StoreUnavailable("unavailable")
            rows = self._since(table, after)
        return _table_source.TableChanges(self.version, rows)

    def _since(self, table, after):
        return [
            row for at, name, row in self.log if name == table and at > after
        ]
