"""A store of tables in memory, for feeds and directories."""

import gevent
from gevent import event

from topazlug import _errors
from topazlug.fleet import _table_source

Row = _table_source.Row


class FakeTables:
    """Tables with one counter of versions; may be away, stale or forget."""

    def __init__(self):
        self.version = 0
        self.log = []
        self.forgotten = 0
        self.is_unavailable = False
        self.stale = None
        self.whole = None
        self.stale_reads = 0
        self.calls = 0
        self._news = event.Event()

    def write(self, table, rows, *, new=()):
        self._call()
        if set(new) & self._held(table).keys():
            raise _table_source.RowExists("exists")
        self.version += 1
        self.log += [(self.version, table, row) for row in rows]
        self._news.set()
        self._news.clear()

    def put(self, table, key, data):
        self.write(table, [Row(key, data)])

    def drop(self, table, key):
        self.write(table, [Row(key, deleted=True)])

    def _call(self):
        self.calls += 1
        if self.is_unavailable:
            raise _errors.StoreUnavailable("away")

    def _held(self, table):
        held = {}
        for _, name, row in self.log:
            if name == table:
                held.pop(row.key, None)
                if not row.deleted:
                    held[row.key] = row
        return held

    def rows(self, table):
        self._call()
        if self.stale is not None:
            self.stale_reads += 1
            return self.stale
        return _table_source.TableChanges(
            self.version, list(self._held(table).values())
        )

    def changes(self, table, *, after, wait, age=0.0):
        self._call()
        if after < self.forgotten:
            raise _table_source.HistoryLost("gone")
        if self.whole is not None and after != self.whole.version:
            return self.whole
        rows = self._since(table, after)
        if not rows:
            self._news.wait(min(wait, 0.02))
            gevent.sleep(0)
            if self.is_unavailable:
                raise _errors.StoreUnavailable("away")
            rows = self._since(table, after)
        return _table_source.TableChanges(self.version, rows)

    def _since(self, table, after):
        return [
            row for at, name, row in self.log if name == table and at > after
        ]
