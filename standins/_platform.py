"""The platform: table service, object store and instance list.

All data is in the memory of one process. A transaction is atomic because
no greenlet yields between the check of its conditions and its writes.
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
    """Faults of the platform; `delay` is in seconds."""

    down: bool = False
    delay: float = 0.0
    lose_answers: int = 0
    lose_answers_table: str | None = None
    stale_revision_lag: int = 0
    down_list: bool = False


@final
class Counters(msgspec.Struct, kw_only=True):
    """Calls since the start."""

    writes: int = 0
    transact_calls: int = 0
    reads: int = 0
    list_reads: int = 0


@final
class Row(msgspec.Struct, frozen=True, kw_only=True):
    """A row as sent over the wire; version 0 is an absent row."""

    table: str
    key: str
    version: int
    value: Any


@final
class Condition(msgspec.Struct, frozen=True, kw_only=True):
    """Version of a row that a transaction requires."""

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
        old = self._append_history(key)
        if not old.version:
            bisect.insort(self.keys, key)
        row = Row(
            table=self.name, key=key, version=old.version + 1, value=value
        )
        self.row_by_key[key] = row
        return row.version

    def delete(self, key: str) -> None:
        if key in self.row_by_key:
            self._append_history(key)
            del self.row_by_key[key]
            del self.keys[bisect.bisect_left(self.keys, key)]

    def _append_history(self, key: str) -> Row:
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

    def update(self, instance_id: str, instance: Any) -> None:
        due = time.monotonic() + self._lag
        self._pending.append((due, instance_id, instance))

    def visible(self) -> list[Any]:
        now = time.monotonic()
        while self._pending and self._pending[0][0] <= now:
            _, instance_id, instance = self._pending.popleft()
            self._by_id.pop(instance_id, None)
            if instance is not None:
                self._by_id[instance_id] = instance
        return list(self._by_id.values())


@final
class _WriteRateLimiter:
    def __init__(self, per_second: float) -> None:
        self._per_second = per_second
        self._tokens = max(per_second, 1.0)
        self._refilled_at = time.monotonic()

    def allows(self) -> bool:
        if not self._per_second:
            return True
        now = time.monotonic()
        refilled = self._tokens + (now - self._refilled_at) * self._per_second
        self._tokens = min(refilled, max(self._per_second, 1.0))
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


@final
class Platform:
    """The three services on one port.

    Parameters
    ----------
    list_lag
        Seconds until a change is visible on the instance list.
    writes_per_second
        Maximum rate of transactions that write; 0 for no limit.
    """

    def __init__(self, *, list_lag: float, writes_per_second: float) -> None:
        self.faults = Faults()
        self.counters = Counters()
        self._table_by_name: dict[str, _Table] = {}
        self._object_by_key: dict[str, bytes] = {}
        self._instances = _InstanceList(list_lag)
        self._rate = _WriteRateLimiter(writes_per_second)

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
            visible = self._instances.visible()
            return _http.json_answer(200, {"instances": visible})
        deleted = request.method == "DELETE"
        instance = None if deleted else _http.parse_json_body(request)
        self._instances.update(instance_id, instance)
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
        if _http.consume_fault(self.faults, "lose_answers"):
            raise _http.ConnectionCut()

    def _transact_answer(self, request: _http.Request) -> _http.Answer:
        self.counters.transact_calls += 1
        try:
            transaction = msgspec.json.decode(request.body, type=Transaction)
        except msgspec.DecodeError as error:
            raise _http.BadRequest(str(error)) from error
        writes = bool(transaction.puts or transaction.deletes)
        if writes and not self._rate.allows():
            retry = (("Retry-After", "1"),)
            return _http.error_answer(429, "write_rate", "too fast", retry)
        failed = self._unmet_conditions(transaction)
        if failed:
            rejection = {"committed": False, "failed": failed}
            return _http.json_answer(409, rejection)
        versions = self._commit(transaction)
        table = self.faults.lose_answers_table
        if table is None or any(
            put.table == table for put in transaction.puts
        ):
            self._lose_answer()
        done = {"committed": True, "versions": versions}
        return _http.json_answer(200, done)

    def _unmet_conditions(self, transaction: Transaction) -> list[Row]:
        rows = [
            (condition, self._table(condition.table).row(condition.key))
            for condition in transaction.conditions
        ]
        return [
            row for condition, row in rows if condition.version != row.version
        ]

    def _commit(self, transaction: Transaction) -> dict[str, int]:
        self.counters.writes += 1
        versions = {}
        for put in transaction.puts:
            version = self._table(put.table).write(
                put.key, copy.deepcopy(put.value)
            )
            versions[f"{put.table}/{put.key}"] = version
        for delete in transaction.deletes:
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
