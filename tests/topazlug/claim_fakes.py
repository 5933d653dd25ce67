"""Clock, table service and object store controlled by tests of claims."""

import collections
from collections.abc import Callable
import datetime
import enum
from typing import final

import gevent
from gevent import event

from topazlug import _errors
from topazlug import _ids
from topazlug.claims import _claim_rows
from topazlug.claims import _claims
from topazlug.store import _table_client

EPOCH = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)
TEAM = _ids.TeamName("acme")
SERVICE = "registration"
FINGERPRINT = _claim_rows.fingerprint(method="POST", path="/", body=b"a")
ROW_KEY = _claim_rows.row_key(team=TEAM, service=SERVICE, key="k")


class Fault(enum.Enum):
    """How one call to the store fails.

    An ANSWER_LOST call fails after it took effect, a REQUEST_LOST call without
    taking effect. A LATE call fails at once and takes effect in
    `apply_late_writes`. A DELAYED call succeeds after some other greenlets
    have run. A BLOCKED call waits for the event `unblocked`.
    """

    NONE = enum.auto()
    DOWN = enum.auto()
    ANSWER_LOST = enum.auto()
    REQUEST_LOST = enum.auto()
    LATE = enum.auto()
    DELAYED = enum.auto()
    BLOCKED = enum.auto()


@final
class FakeClock:
    """A clock that advances only by `sleep` and `advance`."""

    def __init__(self) -> None:
        self.seconds = 0.0

    def now(self) -> datetime.datetime:
        return EPOCH + datetime.timedelta(seconds=self.seconds)

    def monotonic(self) -> float:
        return self.seconds

    def sleep(self, seconds: float) -> None:
        gevent.sleep(0)
        self.seconds += seconds

    def advance(self, seconds: float) -> None:
        self.seconds += seconds


@final
class FakeStore:
    """Table service in memory; versions restart after a delete."""

    def __init__(self) -> None:
        self.row_by_key: dict[str, _table_client.Row] = {}
        self.transact_faults: collections.deque[Fault] = collections.deque()
        self.read_faults: collections.deque[Fault] = collections.deque()
        self.batch_sizes: list[int] = []
        self.unblocked = event.Event()
        self._late: list[Callable[[], object]] = []

    def read(self, table, key):
        fault = _next(self.read_faults)
        gevent.sleep(0)
        if fault is Fault.DOWN:
            raise _errors.StoreUnavailable("read while down")
        return self.row_by_key.get(key)

    def scan(self, table, *, prefix="", after="", limit=500):
        keys = sorted(key for key in self.row_by_key if key > after)
        rows = [self.row_by_key[key] for key in keys[:limit]]
        return _table_client.Page(rows=rows, more=len(keys) > limit)

    def transact(self, *, conditions, puts, deletes=()):
        fault = _next(self.transact_faults)
        self.batch_sizes.append(len(puts) + len(deletes))
        gevent.sleep(0)
        if fault is Fault.DOWN:
            raise _errors.StoreUnavailable("write while down", retry_after=3)
        if fault is Fault.REQUEST_LOST:
            raise _errors.StoreAmbiguous("request lost")
        if fault is Fault.LATE:
            self._late.append(lambda: self._apply(conditions, puts, deletes))
            raise _errors.StoreAmbiguous("on its way")
        if fault is Fault.DELAYED:
            for _ in range(10):
                gevent.sleep(0)
        if fault is Fault.BLOCKED:
            self.unblocked.wait()
        versions = self._apply(conditions, puts, deletes)
        gevent.sleep(0)
        if fault is Fault.ANSWER_LOST:
            raise _errors.StoreAmbiguous("answer lost")
        return versions

    def apply_late_writes(self) -> None:
        """Apply late writes whose conditions hold."""
        late, self._late = self._late, []
        for apply in late:
            try:
                apply()
            except _table_client.TransactionConflict:
                pass

    def claim_row(self, key: str = ROW_KEY) -> _claim_rows.ClaimRow | None:
        """Return the claim at a row key."""
        row = self.row_by_key.get(key)
        return None if row is None else _claim_rows.parse_row(row.value)

    def _apply(self, conditions, puts, deletes):
        current = [self._current(condition) for condition in conditions]
        failed = [
            row
            for row, condition in zip(current, conditions)
            if row.version != condition.version
        ]
        if failed:
            raise _table_client.TransactionConflict(failed)
        versions = {}
        for put in puts:
            version = self._current(put).version + 1
            self.row_by_key[put.key] = _table_client.Row(
                table=put.table, key=put.key, version=version, value=put.value
            )
            versions[f"{put.table}/{put.key}"] = version
        for delete in deletes:
            self.row_by_key.pop(delete.key, None)
        return versions

    def _current(self, operation) -> _table_client.Row:
        absent = _table_client.Row(
            table=operation.table, key=operation.key, version=0, value=None
        )
        return self.row_by_key.get(operation.key, absent)


@final
class FakeObjects:
    """Object store in memory."""

    def __init__(self) -> None:
        self.data_by_key: dict[str, bytes] = {}
        self.down = False

    def put(self, key: str, data: bytes) -> None:
        if self.down:
            raise _errors.StoreUnavailable("objects down")
        self.data_by_key[key] = data

    def get(self, key: str) -> bytes | None:
        if self.down:
            raise _errors.StoreUnavailable("objects down")
        return self.data_by_key.get(key)


def make_claim_manager(
    store, *, objects=None, clock=None, name="d1", **options
):
    """Return a ClaimManager of daemon `name` that uses fakes."""
    return _claims.ClaimManager(
        store=store,
        objects=objects or FakeObjects(),
        daemon_id=_ids.DaemonId(name),
        clock=clock or FakeClock(),
        max_kept_bytes=10_000,
        min_interval=0.0,
        **options,
    )


def claim(
    manager, *, key="k", fingerprint=FINGERPRINT, deadline=1000.0, team=TEAM
):
    """Claim a request with default values."""
    return manager.claim(
        team=team,
        service=SERVICE,
        key=key,
        fingerprint=fingerprint,
        deadline=deadline,
    )


def crash(manager) -> None:
    """Kill all greenlets of a daemon's claim manager."""
    worker = manager._committer._worker
    if worker is not None:
        worker.kill()
    manager._finalizer._jobs.kill()
    manager._finalizer._accepts = lambda held: False


def _next(faults: collections.deque[Fault]) -> Fault:
    return faults.popleft() if faults else Fault.NONE
