"""Fakes of the store, the peers and the daemons for tests of the table."""

import copy
import random
from typing import Any
from typing import Callable

import gevent

from tests.topazlug import claim_fakes
from topazlug import _errors
from topazlug import _ids
from topazlug._generated import messages
from topazlug._generated import settings
from topazlug.configuration import _configuration
from topazlug.configuration import _configuration_follower
from topazlug.configuration import _edit_plan
from topazlug.configuration import _table_edits
from topazlug.configuration import _table_snapshot
from topazlug.configuration import _table_storage
from topazlug.store import _table_client

TABLES = _table_snapshot.TableName
HASH = "a" * 64


class FakeStore:
    """An in-memory table service that can fail on request.

    Attributes
    ----------
    down : bool
        Whether every call raises StoreUnavailable.
    lost_answers, lost_requests : int
        Number of next transactions whose answer or request is lost.
    readers : list of FakeStore
        Replicas that serve the next reads, one read each.
    before_transact : list of callable
        Called before the next transactions, one each.
    """

    def __init__(self) -> None:
        self.row_by_key: dict[tuple[str, str], _table_client.Row] = {}
        self.down = False
        self.lost_answers = 0
        self.lost_requests = 0
        self.readers: list["FakeStore"] = []
        self.before_transact: list[Callable[[], None]] = []
        self.reads = 0
        self.commits = 0

    def replica(self) -> "FakeStore":
        """Return a replica with the present rows, which is not updated."""
        replica = FakeStore()
        replica.row_by_key = dict(self.row_by_key)
        return replica

    def read(self, table: str, key: str) -> _table_client.Row | None:
        self.reads += 1
        self._check_up()
        if self.readers:
            return self.readers.pop(0).read(table, key)
        return self.row_by_key.get((table, key))

    def scan(
        self,
        table: str,
        *,
        prefix: str = "",
        after: str = "",
        limit: int = _table_client.DEFAULT_LIMIT,
    ) -> _table_client.Page:
        self.reads += 1
        self._check_up()
        if self.readers:
            return self.readers.pop(0).scan(table, after=after, limit=limit)
        keys = sorted(k for t, k in self.row_by_key if t == table)
        found = [k for k in keys if k > after and k.startswith(prefix)]
        rows = [self.row_by_key[table, key] for key in found[:limit]]
        return _table_client.Page(rows=rows, more=len(found) > limit)

    def transact(
        self,
        *,
        conditions: Any,
        puts: Any,
        deletes: Any = (),
    ) -> dict[str, int]:
        if self.before_transact:
            self.before_transact.pop(0)()
        self._check_up()
        if puts and self.lost_requests:
            self.lost_requests -= 1
            raise _errors.StoreAmbiguous("the request was lost")
        failed = [
            self._row(c.table, c.key)
            for c in conditions
            if self._row(c.table, c.key).version != c.version
        ]
        if failed:
            raise _table_client.TransactionConflict(failed)
        versions = {f"{put.table}/{put.key}": self._put(put) for put in puts}
        for delete in deletes:
            self.row_by_key.pop((delete.table, delete.key), None)
        if puts:
            self.commits += 1
        if puts and self.lost_answers:
            self.lost_answers -= 1
            raise _errors.StoreAmbiguous("the answer was lost")
        return versions

    def _put(self, put: _table_client.Put) -> int:
        version = self._row(put.table, put.key).version + 1
        self.row_by_key[put.table, put.key] = _table_client.Row(
            table=put.table,
            key=put.key,
            version=version,
            value=copy.deepcopy(put.value),
        )
        return version

    def _row(self, table: str, key: str) -> _table_client.Row:
        absent = _table_client.Row(table=table, key=key, version=0, value=None)
        return self.row_by_key.get((table, key), absent)

    def _check_up(self) -> None:
        if self.down:
            raise _errors.StoreUnavailable("the store is down")


class FakeNetwork:
    """Connections between the nodes of a test.

    Attributes
    ----------
    cut : set of str
        Daemons that are disconnected.
    sent : list
        Sender, receiver and message of each delivery.
    """

    def __init__(self) -> None:
        self.handlers_by_daemon: dict[str, dict[type, Any]] = {}
        self.cut: set[str] = set()
        self.sent: list[tuple[str, str, Any]] = []


class FakeLinks:
    """The connections of one node."""

    def __init__(self, network: FakeNetwork, own_id: str) -> None:
        self._network = network
        self._own_id = own_id
        network.handlers_by_daemon[own_id] = {}

    def handle(self, kind: type, handler: Any) -> None:
        self._network.handlers_by_daemon[self._own_id][kind] = handler

    def send(self, to: str, message: Any) -> None:
        self._deliver(to, message, lambda reply: None)

    def call(self, to: str, message: Any, *, timeout: float) -> Any:
        replies: list[Any] = []
        self._deliver(to, message, replies.append)
        return replies[0]

    def received_since(self, peer: str, moment: float) -> bool:
        return False

    def _deliver(self, to: str, message: Any, reply: Any) -> None:
        if {to, self._own_id} & self._network.cut:
            raise _errors.PeerUnreachable(f"{to} is disconnected")
        self._network.sent.append((self._own_id, to, message))
        handlers = self._network.handlers_by_daemon[to]
        handlers[type(message)](_ids.DaemonId(self._own_id), message, reply)


class FakeMembers:
    """A membership in which every daemon on the network is usable."""

    def __init__(self, network: FakeNetwork) -> None:
        self._network = network

    def usable(self) -> dict[Any, Any]:
        return dict.fromkeys(self._network.handlers_by_daemon)


class Node:
    """The part of a daemon that holds and edits the table."""

    def __init__(
        self, name: str, *, store: FakeStore, network: FakeNetwork
    ) -> None:
        self.id = _ids.DaemonId(name)
        self.clock = claim_fakes.FakeClock()
        self.holder = _configuration.ConfigurationHolder()
        self.follower = _configuration_follower.ConfigurationFollower(
            daemon_id=self.id,
            holder=self.holder,
            store=store,
            links=FakeLinks(network, name),
            members=FakeMembers(network),
            settings=settings.ConfigurationSettings(),
            clock=self.clock,
            randomness=random.Random(1),
        )
        self.editor = _table_edits.TableEditor(
            store=store,
            holder=self.holder,
            publisher=self.follower,
            clock=self.clock,
        )

    def etag(self, table: TABLES, key: str) -> str | None:
        """Return the ETag of a row in this node's table, None without one."""
        current = self.holder.current
        assert current is not None
        row = current.rows_by_name(table).get(key)
        return _edit_plan.etag_of(row, current.version_of(table, key)) or None

    def put(
        self, key: str, *, edit_id: str = "", **columns: Any
    ) -> _table_edits.EditResult:
        """Write a team, based on the row in this node's table."""
        edit = team_edit(key, expected=self.etag(TABLES.TEAMS, key), **columns)
        return self.editor.edit([edit], stamp=stamp(edit_id))

    def weight(self, key: str) -> float:
        """Return a team's weight in this node's table."""
        assert self.holder.current is not None
        return self.holder.current.teams_by_name[key].weight


def settle() -> None:
    """Let spawned greenlets run to completion."""
    for _ in range(20):
        gevent.sleep(0)


def stamp(edit_id: str = "") -> _edit_plan.Stamp:
    """Return a stamp with the edit id given, or else a random one."""
    chosen_id = edit_id or f"edit-{random.getrandbits(64):016x}"
    return _edit_plan.Stamp(who="ana", why="a test", edit_id=chosen_id)


def team_edit(
    key: str, *, expected: str | None = None, **columns: Any
) -> _edit_plan.RowEdit:
    """Return an edit of a team."""
    return _edit_plan.RowEdit(
        table=TABLES.TEAMS,
        key=key,
        value={"name": key, **columns},
        expected=expected,
    )


def change(
    revision: int, key: str = "acme", table: str = "teams", **columns: Any
) -> messages.RowChange:
    """Return the change of a row."""
    return messages.RowChange(
        revision=revision,
        table=table,
        key=key,
        row_version=revision,
        value={"name": key, **columns},
    )


def removal(revision: int, key: str = "acme") -> messages.RowChange:
    """Return the removal of a team."""
    return messages.RowChange(
        revision=revision, table="teams", key=key, value=None
    )


def write_unreadable_revision(store: FakeStore, revision: int) -> None:
    """Write a revision with an unknown column, as a newer version would."""
    value = {"name": "acme", "column_of_a_newer_program": 1}
    entry = _table_storage.HistoryEntry(
        revision=revision,
        table="teams",
        key="acme",
        value=value,
        row_version=1,
        who="",
        when="",
        what="",
        why="",
        edit_id="",
    )
    key = _table_storage.history_key(revision)
    put = _table_client.Put
    store.transact(
        conditions=(),
        puts=[
            put(table="teams", key="acme", value=value),
            put(
                table="history",
                key=key,
                value={f: getattr(entry, f) for f in entry.__struct_fields__},
            ),
            put(table="meta", key="config", value={"revision": revision}),
        ],
    )
