"""Which daemons there are, and which of them come first to read the store.

Each daemon writes one row at its start. Rows of daemons that are gone stay:
a daemon too many only makes shares smaller, and one that does not answer is
passed over.
"""

from collections.abc import Mapping
import ipaddress
import secrets
from typing import final

import msgspec

from topazlug import _errors
from topazlug import _ids
from topazlug import _logs
from topazlug.fleet import _table_source
from topazlug.peers import _peers
from topazlug.routing import _ranking

TABLE = "fleet"
_SECRET = "secret"
_DAEMON = "daemon/"
_READERS = _ranking.chat_hash("relays")
# Below this many daemons each reads the store itself: that costs less than
# a hundredth of what the calls of 60 daemons do, and is one step shorter.
MAX_SMALL_FLEET = 16
_JOIN_TRIES = 5
_MAX_PORT = 65535

_log = _logs.logger("fleet")


@final
class DaemonRow(msgspec.Struct, frozen=True):
    """What a daemon writes of itself.

    Attributes
    ----------
    host, port
        Where it listens for peers.
    relays : bool
        Whether its link carries news for other daemons.
    """

    host: str
    port: int
    relays: bool


@final
class FleetDirectory:
    """The daemons of the fleet, and its shared secret.

    Parameters
    ----------
    daemon_id : DaemonId
        This daemon.
    own_row : DaemonRow
        Its row.

    Attributes
    ----------
    was_known : bool
        Whether its row was there when it joined: it has started before.
    """

    def __init__(
        self, *, daemon_id: _ids.DaemonId, own_row: DaemonRow
    ) -> None:
        self._me = daemon_id
        self._own = own_row
        self.secret = ""
        self.was_known = False
        self.daemons_by_id: dict[_ids.DaemonId, DaemonRow] = {
            daemon_id: own_row
        }
        self._order: list[_ids.DaemonId] = [daemon_id]

    def join(
        self, store: _table_source.TableStore
    ) -> _table_source.TableChanges:
        """Write this daemon's row; agree on the secret.

        The first daemon writes the secret, under the condition that there is
        none: of several at once only one succeeds and the others read it. A
        daemon that starts again finds its row as it would write it and
        writes nothing: after a loss of power hundreds would else write at
        once, and all readers be told of each.

        Returns
        -------
        TableChanges
            The table as it was found.

        Raises
        ------
        StoreUnavailable
            It could not be written.
        """
        own_row = _table_source.Row(
            _DAEMON + self._me, msgspec.json.encode(self._own)
        )
        for _ in range(_JOIN_TRIES):
            found = store.rows(TABLE)
            data_by_key = {row.key: row.data for row in found.rows}
            self.update(data_by_key)
            if self.secret:
                self.was_known = data_by_key.get(own_row.key) == own_row.data
                if not self.was_known:
                    store.write(TABLE, [own_row])
                return found
            fresh = _table_source.Row(_SECRET, secrets.token_hex(16).encode())
            try:
                store.write(TABLE, [fresh, own_row], new=[_SECRET])
            except _table_source.RowExists:
                continue
            self.secret = fresh.data.decode()
            return found
        raise _errors.StoreUnavailable(
            f"no secret of the fleet after {_JOIN_TRIES} tries"
        )

    def update(self, data_by_key: Mapping[str, bytes]) -> None:
        """Take the table's rows."""
        found = {self._me: self._own}
        for key, data in data_by_key.items():
            if key == _SECRET:
                self.secret = data.decode("ascii", "replace")
            elif key.startswith(_DAEMON):
                daemon = _ids.DaemonId(key[len(_DAEMON) :])
                row = _decoded(key, data)
                if row is not None and daemon != self._me:
                    found[daemon] = row
        self.daemons_by_id = found
        self._order = _reading_order(found)

    def address_of(self, daemon: _ids.DaemonId) -> _peers.Address | None:
        """Give where a daemon listens for peers."""
        row = self.daemons_by_id.get(daemon)
        return _peers.Address(row.host, row.port) if row else None

    @property
    def is_small(self) -> bool:
        """Say whether each daemon reads the store itself."""
        return len(self.daemons_by_id) <= MAX_SMALL_FLEET

    def reading_order(self) -> list[_ids.DaemonId]:
        """Give all daemons in the order in which they read for others.

        The same on all daemons that have the same rows. Those whose links
        carry news come first; the others follow, for a fleet that has none
        of them, or has lost them.
        """
        return self._order


def _reading_order(
    daemons: Mapping[_ids.DaemonId, DaemonRow],
) -> list[_ids.DaemonId]:
    ranked = _ranking.rank(daemons, _READERS, count=len(daemons))
    order = [_ids.DaemonId(name) for name in ranked]
    return sorted(order, key=lambda one: not daemons[one].relays)


def _decoded(key: str, data: bytes) -> DaemonRow | None:
    try:
        row = msgspec.json.decode(data, type=DaemonRow)
        ipaddress.IPv4Address(row.host)
        if not 0 < row.port <= _MAX_PORT:
            raise ValueError(f"port {row.port}")
        return row
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        _log.warning("row {key} is left out: {why}", key=key, why=str(error))
        return None
