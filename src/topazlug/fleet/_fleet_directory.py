"""Directory of daemons, and the order in which they read the store.

Each daemon writes one row when it starts. Rows of daemons that no longer
exist stay: they only make each daemon's share of the retry budget smaller,
and a daemon that does not answer is skipped.
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
_SECRET_KEY = "secret"
_DAEMON_PREFIX = "daemon/"
_RANKING_HASH = _ranking.chat_hash("relays")
# Up to this many daemons each reads the store directly. That costs less than
# a hundredth of the calls of 60 daemons and saves the hop through a reader.
MAX_SMALL_FLEET = 16
_MAX_JOIN_ATTEMPTS = 5
_MAX_PORT = 65535

_log = _logs.logger("fleet")


@final
class DaemonRow(msgspec.Struct, frozen=True):
    """The row that a daemon writes about itself.

    Attributes
    ----------
    host, port
        Where it listens for peers.
    relays : bool
        Whether its network link is fast enough to relay changes to others.
    delegation_port : int
        Where it listens for requests of other daemons; 0 if it does not.
    """

    host: str
    port: int
    relays: bool
    delegation_port: int = 0


@final
class FleetDirectory:
    """The daemons of the fleet and their shared secret.

    Parameters
    ----------
    daemon_id : DaemonId
        This daemon.
    own_row : DaemonRow
        Its row.

    Attributes
    ----------
    was_registered : bool
        Whether the directory already had its row when it joined, because it
        has run before.
    """

    def __init__(
        self, *, daemon_id: _ids.DaemonId, own_row: DaemonRow
    ) -> None:
        self._daemon_id = daemon_id
        self._own_row = own_row
        self.secret = ""
        self.was_registered = False
        self.daemons_by_id: dict[_ids.DaemonId, DaemonRow] = {
            daemon_id: own_row
        }
        self._reading_order_ids: list[_ids.DaemonId] = [daemon_id]

    def join(
        self, store: _table_source.TableStore
    ) -> _table_source.TableChanges:
        """Write this daemon's row, and the secret if there is none.

        The secret is written on condition that it does not exist. If several
        daemons try at the same time, one succeeds and the others read its
        secret. A restarted daemon whose row is unchanged writes nothing.
        Otherwise hundreds of daemons would write at once after a power loss,
        and each write would be sent to all readers.

        Returns
        -------
        TableChanges
            The table as read before any write.

        Raises
        ------
        StoreUnavailable
            The store could not be read or written.
        """
        own_row = _table_source.Row(
            _DAEMON_PREFIX + self._daemon_id,
            msgspec.json.encode(self._own_row),
        )
        for _ in range(_MAX_JOIN_ATTEMPTS):
            table_changes = store.rows(TABLE)
            data_by_key = {row.key: row.data for row in table_changes.rows}
            self.update(data_by_key)
            if self.secret:
                self.was_registered = (
                    data_by_key.get(own_row.key) == own_row.data
                )
                if not self.was_registered:
                    store.write(TABLE, [own_row])
                return table_changes
            secret_row = _table_source.Row(
                _SECRET_KEY, secrets.token_hex(16).encode()
            )
            try:
                store.write(TABLE, [secret_row, own_row], new=[_SECRET_KEY])
            except _table_source.RowExists:
                continue
            self.secret = secret_row.data.decode()
            return table_changes
        raise _errors.StoreUnavailable(
            f"no fleet secret after {_MAX_JOIN_ATTEMPTS} attempts"
        )

    def update(self, data_by_key: Mapping[str, bytes]) -> None:
        """Replace the directory by the rows of its table."""
        rows_by_daemon = {self._daemon_id: self._own_row}
        for key, data in data_by_key.items():
            if key == _SECRET_KEY:
                self.secret = data.decode("ascii", "replace")
            elif key.startswith(_DAEMON_PREFIX):
                daemon = _ids.DaemonId(key[len(_DAEMON_PREFIX) :])
                row = _decode(key, data)
                if row is not None and daemon != self._daemon_id:
                    rows_by_daemon[daemon] = row
        self.daemons_by_id = rows_by_daemon
        self._reading_order_ids = _reading_order(rows_by_daemon)

    def address_of(self, daemon: _ids.DaemonId) -> _peers.Address | None:
        """Return where a daemon listens for peers, or None if unknown."""
        row = self.daemons_by_id.get(daemon)
        return _peers.Address(row.host, row.port) if row else None

    @property
    def is_small(self) -> bool:
        """Return whether each daemon reads the store directly."""
        return len(self.daemons_by_id) <= MAX_SMALL_FLEET

    def reading_order(self) -> list[_ids.DaemonId]:
        """Return all daemons in the order in which they read for others.

        The order is the same on all daemons that have the same rows. Daemons
        that relay come first. The others follow, for a fleet in which no
        daemon relays or all that do have failed.
        """
        return self._reading_order_ids


def _reading_order(
    daemons: Mapping[_ids.DaemonId, DaemonRow],
) -> list[_ids.DaemonId]:
    ranked = _ranking.rank(daemons, _RANKING_HASH, count=len(daemons))
    order = [_ids.DaemonId(name) for name in ranked]
    return sorted(order, key=lambda daemon: not daemons[daemon].relays)


def _decode(key: str, data: bytes) -> DaemonRow | None:
    try:
        row = msgspec.json.decode(data, type=DaemonRow)
        ipaddress.IPv4Address(row.host)
        if not 0 < row.port <= _MAX_PORT:
            raise ValueError(f"port {row.port}")
        if not 0 <= row.delegation_port <= _MAX_PORT:
            raise ValueError(f"delegation port {row.delegation_port}")
        return row
    except (msgspec.MsgspecError, ValueError, RecursionError) as error:
        _log.warning(
            "invalid row {key} ignored: {why}", key=key, why=str(error)
        )
        return None
