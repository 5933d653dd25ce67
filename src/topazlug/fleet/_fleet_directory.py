"""Which daemons there are, and which of them read the store for others.

Each daemon writes one row at its start. Rows of daemons that are gone stay:
a daemon too many only makes shares smaller, and a relay that does not answer
is passed over.
"""

from collections.abc import Mapping
import ipaddress
import math
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
_RELAYS = _ranking.chat_hash("relays")
# Below this many daemons each reads the store itself: that costs less than
# a hundredth of what the calls of 60 daemons do, and is one step shorter.
SMALL_FLEET = 16
# One relay serves about a dozen daemons: a change of 100 KB for each of them
# passes a link of 100 Mbit/s in a tenth of a second.
_DAEMONS_A_RELAY = 12
_MIN_RELAYS = 3
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
    me : DaemonId
        This daemon.
    own : DaemonRow
        Its row.
    """

    def __init__(self, *, me: _ids.DaemonId, own: DaemonRow) -> None:
        self._me = me
        self._own = own
        self.secret = ""
        self.daemons_by_id: dict[_ids.DaemonId, DaemonRow] = {me: own}

    def join(self, store: _table_source.TableStore) -> None:
        """Write this daemon's row; agree on the secret.

        The first daemon writes the secret, under the condition that there is
        none: of several at once only one succeeds and the others read it.

        Raises
        ------
        StoreUnavailable
            It could not be written.
        """
        own = _table_source.Row(
            _DAEMON + self._me, msgspec.json.encode(self._own)
        )
        for _ in range(_JOIN_TRIES):
            found = store.rows(TABLE)
            self.take({row.key: row.data for row in found.rows})
            if self.secret:
                store.write(TABLE, [own])
                return
            fresh = _table_source.Row(_SECRET, secrets.token_hex(16).encode())
            try:
                store.write(TABLE, [fresh, own], new=[_SECRET])
            except _table_source.RowExists:
                continue
            self.secret = fresh.data.decode()
            return
        raise _errors.StoreUnavailable(
            f"no secret of the fleet after {_JOIN_TRIES} tries"
        )

    def take(self, data_by_key: Mapping[str, bytes]) -> None:
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

    def address_of(self, daemon: _ids.DaemonId) -> _peers.Address | None:
        """Give where a daemon listens for peers."""
        row = self.daemons_by_id.get(daemon)
        return _peers.Address(row.host, row.port) if row else None

    @property
    def is_small(self) -> bool:
        """Say whether each daemon reads the store itself."""
        return len(self.daemons_by_id) <= SMALL_FLEET

    def relays(self) -> list[_ids.DaemonId]:
        """Give the daemons that read the store for others, if any."""
        if self.is_small:
            return []
        able = [one for one, row in self.daemons_by_id.items() if row.relays]
        wanted = math.ceil(len(self.daemons_by_id) / _DAEMONS_A_RELAY)
        count = max(_MIN_RELAYS, wanted)
        best = _ranking.rank(able, _RELAYS, count=count)
        return [_ids.DaemonId(name) for name in best]

    def relays_for_me(self) -> list[_ids.DaemonId]:
        """Give the relays that this daemon asks, in its own order.

        Empty on a relay, and in a small fleet: those read the store.
        """
        relays = self.relays()
        if not relays or self._me in relays:
            return []
        own = _ranking.chat_hash(self._me)
        ranked = _ranking.rank(relays, own, count=len(relays))
        return [_ids.DaemonId(name) for name in ranked]


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
