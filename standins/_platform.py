"""The platform: table service, object store, list of instances.

All is in memory of one process. No greenlet yields between the check of
a transaction's conditions and its writes, so each is atomic.
"""

import bisect
import collections
import copy
import time
from typing import Any
from typing import final
from urllib import parse

import gevent
import msgspec

from standins import _http

HISTORY_LIMIT = 64
DEFAULT_PAGE = 1000


@final
class Faults(msgspec.Struct, kw_only=True):
    """Faults of the platform; times in seconds."""

    down: bool = False
    delay: float = 0.0
    lose_answers: int = 0
    lose_answers_table: str | None = None
    stale_revision_lag: int = 0
    down_list: bool = False


@final
class Counters(msgspec.Struct, kw_only=True):
    """What was asked since the start."""

    writes: int = 0
    transact_calls: int = 0
    reads: int = 0
    list_reads: int = 0


@final
class Row(msgspec.Struct, frozen=True, kw_only=True):
    """A row as it goes over the wire; version 0 is an absent row."""

    table: str
    key: str
    version: int
    value: Any


@final
class Condition(msgspec.Struct, frozen=True, kw_only=True):
    """A row's version that a transaction asks for."""

    table: str
    key: str
    version: int


@final
class Put(msgspec.Struct, frozen=True, kw_only=True):
    """A row to write."""

    table: str
    key: str
    value: dict[str, Any]


@final
class Delete(msgspec.Struct, frozen=True, kw_only=True):
    """A row to remove."""

    table: str
    key: str


@final
class Transaction(msgspec.Struct, frozen=True, kw_only=True):
    """The body of a transact call."""

    conditions: list[Condition] = []
    puts: list[Put] = []
    deletes: list[Delete] = []


@final
class _Table:
    def __init__(self, name: str) -> None:
        self.name = name
        self.keys: list[str] = []
        self.row_by_key: dict[str, Row] = {}
        self.history_by_key: dict[str, collections.deque[Row]] = {}

    def absent(self, key: str) -> Row:
        return Row(table=self.name, key=key, version=0, value=None)

    def row(self, key: str, lag: int = 0) -> Row:
        current = self.row_by_key.get(key) or self.absent(key)
        if not lag:
            return current
        history = self.history_by_key.get(key, ())
        return history[-lag] if lag <= len(history) else self.absent(key)

    def write(self, key: str, value: dict[str, Any]) -> int:
        old = self._remember(key)
        if not old.version:
            bisect.insort(self.keys, key)
        row = Row(
            table=self.name, key=key, version=old.version + 1, value=value
        )
        self.row_by_key[key] = row
        return row.version

    def delete(self, key: str) -> None:
        if key in self.row_by_key:
            self._remember(key)
            del self.row_by_key[key]
            del self.keys[bisect.bisect_left(self.keys, key)]

    def _remember(self, key: str) -> Row:
        old = self.row(key)
        history = self.history_by_key.get(key)
        if history is None:
            history = collections.deque(maxlen=HISTORY_LIMIT)
            self.history_by_key[key] = history
        history.append(old)
        return old

    def page(
        self, *, after: str, prefix: str, limit: int, lag: int
    ) -> tuple[list[Row], bool]:
        start = bisect.bisect_left(self.keys, prefix)
        if after:
            start = max(start, bisect.bisect_right(self.keys, after))
        rows: list[Row] = []
        for index in range(start, len(self.keys)):
            key = self.keys[index]
            if not key.startswith(prefix):
                break
            if len(rows) == limit:
                return rows, True
            row = self.row(key, lag)
            if row.version:
                rows.append(row)
        return rows, False


@final
class _InstanceList:
    def __init__(self, lag: float) -> None:
        self._lag = lag
        self._by_id: dict[str, Any] = {}
        self._pending: collections.deque[tuple[float, str, Any]]
        self._pending = collections.deque()

    def change(self, instance_id: str, instance: Any) -> None:
        due = time.monotonic() + self._lag
        self._pending.append((due, instance_id, instance))

    def seen(self) -> list[Any]:
        now = time.monotonic()
        while self._pending and self._pending[0][0] <= now:
            _, instance_id, instance = self._pending.popleft()
            self._by_id.pop(instance_id, None)
            if instance is not None:
                self._by_id[instance_id] = instance
        return list(self._by_id.values())


@final
class _WriteRate:
    def __init__(self, per_second: float) -> None:
        self._per_second = per_second
        self._tokens = max(per_second, 1.0)
        self._at = time.monotonic()

    def admits(self) -> bool:
        if not self._per_second:
            return True
        now = time.monotonic()
        grown = self._tokens + (now - self._at) * self._per_second
        self._tokens = min(grown, max(self._per_second, 1.0))
        self._at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


@final
class Platform:
    """The three services behind one port.

    Parameters
    ----------
    list_lag
        Seconds until a change shows on the list of instances.
    writes_per_second
        Transactions with writes admitted a second; 0 for no bound.
    """

    def __init__(self, *, list_lag: float, writes_per_second: float) -> None:
        self.faults = Faults()
        self.counters = Counters()
        self._table_by_name: dict[str, _Table] = {}
        self._object_by_key: dict[str, bytes] = {}
        self._instances = _InstanceList(list_lag)
        self._rate = _WriteRate(writes_per_second)

    def answer(self, request: _http.Request) -> _http.Answer:
        """Answer one request."""
        first, _, rest = request.path.lstrip("/").partition("/")
        if first == "faults":
            return _http.faults_answer(self.faults, request)
        if first == "counters":
            return _http.json_answer(200, self.counters)
        if self.faults.delay:
            gevent.sleep(self.faults.delay)
        if first == "instances":
            return self._instances_answer(request, parse.unquote(rest))
        if self.faults.down:
            return _http.error_answer(503, "down", "the platform is down")
        if first == "objects":
            return self._object_answer(request, parse.unquote(rest))
        if first == "table" and rest == "transact":
            return self._transact_answer(request)
        if first == "table" and rest.startswith("rows/"):
            return self._rows_answer(request, rest.removeprefix("rows/"))
        return _http.error_answer(404, "no_path", request.path)

    def _instances_answer(
        self, request: _http.Request, instance_id: str
    ) -> _http.Answer:
        if self.faults.down_list:
            return _http.error_answer(503, "down", "the list is down")
        if request.method == "GET":
            self.counters.list_reads += 1
            seen = self._instances.seen()
            return _http.json_answer(200, {"instances": seen})
        deleted = request.method == "DELETE"
        instance = None if deleted else _http.decoded(request)
        self._instances.change(instance_id, instance)
        return _http.bytes_answer(204, b"")

    def _object_answer(self, request: _http.Request, key: str) -> _http.Answer:
        if request.method == "PUT":
            self._object_by_key[key] = request.body
            if self.faults.lose_answers_table is None:
                self._lose_answer()
            return _http.bytes_answer(204, b"")
        found = self._object_by_key.get(key)
        if found is None:
            return _http.error_answer(404, "no_object", key)
        return _http.bytes_answer(200, found)

    def _lose_answer(self) -> None:
        if _http.taken(self.faults, "lose_answers"):
            raise _http.ConnectionCut()

    def _transact_answer(self, request: _http.Request) -> _http.Answer:
        self.counters.transact_calls += 1
        try:
            asked = msgspec.json.decode(request.body, type=Transaction)
        except msgspec.DecodeError as error:
            raise _http.BadRequest(str(error)) from error
        writes = bool(asked.puts or asked.deletes)
        if writes and not self._rate.admits():
            retry = (("Retry-After", "1"),)
            return _http.error_answer(429, "write_rate", "too fast", retry)
        failed = self._failed(asked)
        if failed:
            refusal = {"committed": False, "failed": failed}
            return _http.json_answer(409, refusal)
        versions = self._commit(asked)
        table = self.faults.lose_answers_table
        if table is None or any(put.table == table for put in asked.puts):
            self._lose_answer()
        done = {"committed": True, "versions": versions}
        return _http.json_answer(200, done)

    def _failed(self, asked: Transaction) -> list[Row]:
        rows = [
            (condition, self._table(condition.table).row(condition.key))
            for condition in asked.conditions
        ]
        return [row for asks, row in rows if asks.version != row.version]

    def _commit(self, asked: Transaction) -> dict[str, int]:
        self.counters.writes += 1
        versions = {}
        for put in asked.puts:
            version = self._table(put.table).write(
                put.key, copy.deepcopy(put.value)
            )
            versions[f"{put.table}/{put.key}"] = version
        for delete in asked.deletes:
            self._table(delete.table).delete(delete.key)
        return versions

    def _table(self, name: str) -> _Table:
        if name not in self._table_by_name:
            self._table_by_name[name] = _Table(name)
        return self._table_by_name[name]

    def _rows_answer(self, request: _http.Request, rest: str) -> _http.Answer:
        self.counters.reads += 1
        quoted_table, _, quoted_key = rest.partition("/")
        table = self._table(parse.unquote(quoted_table))
        lag = self.faults.stale_revision_lag
        if not quoted_key:
            rows, more = table.page(
                after=request.query.get("after", ""),
                prefix=request.query.get("prefix", ""),
                limit=int(request.query.get("limit", DEFAULT_PAGE)),
                lag=lag,
            )
            return _http.json_answer(200, {"rows": rows, "more": more})
        row = table.row(parse.unquote(quoted_key), lag)
        if not row.version:
            return _http.error_answer(404, "no_row", row.key)
        return _http.json_answer(200, row)
