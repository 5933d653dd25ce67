"""News of the store's tables, from daemons that read it to those that don't.

Each daemon that reads the store itself costs calls all the time, and the
store's rate is shared. In a large fleet a few read and the others ask them,
in the way in which they would ask the store. Nobody depends on a relay: one
that is silent, has lost the store or lacks the changes is passed over, and
with none left the store is asked.
"""

import base64
from collections.abc import Callable
import random
from typing import Any
from typing import final
import zlib

import gevent
import msgspec

from topazlug import _clock
from topazlug import _errors
from topazlug import _ids
from topazlug import _logs
from topazlug._generated import messages
from topazlug.fleet import _table_feed
from topazlug.fleet import _table_source
from topazlug.peers import _peers

_log = _logs.logger("fleet")
# A relay answers at the latest after this; together with the slack it bounds
# how old a daemon's tables get when its relay is frozen or cut off.
_WAIT_SECONDS = 1.0
_SLACK_SECONDS = 0.5
# A relay that failed is passed over for this long.
_AVOID_SECONDS = 3.0
# All relays may lose the store in the same moment, and all daemons turn to it.
# Their calls are spread so that so many come in a second: half of the rate of
# the smallest store known.
_DIRECT_CALLS_A_SECOND = 1000.0
_TABLES = 3
_ROWS = msgspec.msgpack.Decoder(list[_table_source.Row])


@final
class RelayServer:
    """Answers other daemons from this daemon's copies.

    Parameters
    ----------
    links : PeerLinks
        Streams to peers.
    """

    def __init__(self, *, links: _peers.PeerLinks) -> None:
        self._feed_by_table: dict[str, _table_feed.TableFeed] = {}
        links.handle(messages.ChangesAsk, self._on_ask)

    def offer(self, feed: _table_feed.TableFeed) -> None:
        """Answer for a table from a feed's copy."""
        self._feed_by_table[feed.table] = feed

    def _on_ask(
        self, sender: _ids.DaemonId, ask: Any, reply: _peers.Reply
    ) -> None:
        # The answer may take a second; the stream's reader must not wait.
        gevent.spawn(self._answer, ask, reply)

    def _answer(self, ask: messages.ChangesAsk, reply: _peers.Reply) -> None:
        feed = self._feed_by_table.get(ask.table)
        found = None
        if feed is not None:
            wait = min(ask.wait, _WAIT_SECONDS)
            found = feed.changes_since(ask.after, wait=wait)
        if found is None:
            reply(messages.ChangesReply(known=False))
            return
        packed = ""
        if found.rows:
            body = zlib.compress(msgspec.msgpack.encode(list(found.rows)))
            packed = base64.b64encode(body).decode()
        reply(
            messages.ChangesReply(
                known=True,
                version=found.version,
                packed=packed,
                whole=found.whole,
            )
        )


@final
class RelayedTables:
    """A source of tables that asks relays first and the store last.

    Parameters
    ----------
    store : TableSource
        The store.
    links : PeerLinks
        Streams to peers.
    relays : callable
        Gives the relays to ask, in order; none where the store is asked.
    daemons : callable
        Gives the number of daemons in the fleet.
    clock : Clock
        Time.
    """

    def __init__(
        self,
        *,
        store: _table_source.TableSource,
        links: _peers.PeerLinks,
        relays: Callable[[], list[_ids.DaemonId]],
        daemons: Callable[[], int],
        clock: _clock.Clock,
    ) -> None:
        self._store = store
        self._links = links
        self._relays = relays
        self._daemons = daemons
        self._clock = clock
        self._avoid_until: dict[_ids.DaemonId, float] = {}

    def rows(self, table: str) -> _table_source.TableChanges:
        """Read a table whole, from the store."""
        return self._store.rows(table)

    def changes(
        self, table: str, *, after: int, wait: float
    ) -> _table_source.TableChanges:
        """Wait for changes; see `TableSource`."""
        relays = self._relays()
        for relay in relays:
            if self._is_avoided(relay):
                continue
            found = self._ask(relay, table, after, min(wait, _WAIT_SECONDS))
            if found is not None:
                return found
            self._avoid(relay, table)
        if relays:
            wait = min(wait, _WAIT_SECONDS)
            self._spread()
        return self._store.changes(table, after=after, wait=wait)

    def _spread(self) -> None:
        """Wait for this daemon's moment to ask the store itself."""
        longest = self._daemons() * _TABLES / _DIRECT_CALLS_A_SECOND
        self._clock.sleep(random.uniform(0, longest))

    def _is_avoided(self, relay: _ids.DaemonId) -> bool:
        until = self._avoid_until.get(relay, 0.0)
        return self._clock.monotonic() < until

    def _avoid(self, relay: _ids.DaemonId, table: str) -> None:
        self._avoid_until[relay] = self._clock.monotonic() + _AVOID_SECONDS
        _log.info("{relay} has no news of {table}", relay=relay, table=table)

    def _ask(
        self, relay: _ids.DaemonId, table: str, after: int, wait: float
    ) -> _table_source.TableChanges | None:
        ask = messages.ChangesAsk(table=table, after=after, wait=wait)
        timeout = wait + _SLACK_SECONDS
        try:
            answer = self._links.call(relay, ask, timeout=timeout)
        except _errors.PeerUnreachable as error:
            _log.debug("{relay}: {why}", relay=relay, why=error.message)
            # A stream to a daemon that is cut off stays open for minutes.
            self._links.disconnect(relay)
            return None
        if not isinstance(answer, messages.ChangesReply) or not answer.known:
            return None
        rows: list[_table_source.Row] = []
        if answer.packed:
            body = zlib.decompress(base64.b64decode(answer.packed))
            rows = _ROWS.decode(body)
        return _table_source.TableChanges(answer.version, rows, answer.whole)
