"""Relays tables from daemons that read the store to those that do not.

Each daemon that reads the store makes calls all the time, and all of them
share the store's rate limit. In a large fleet only a few daemons read the
store. The others send them the requests that they would send to the store.
"""

import base64
from collections.abc import Callable
from typing import Any
from typing import final
import zlib

import gevent
from gevent import event
import msgspec

from topazlug import _clock
from topazlug import _errors
from topazlug import _ids
from topazlug import _logs
from topazlug._generated import messages
from topazlug.fleet import _reading_plan
from topazlug.fleet import _source_search
from topazlug.fleet import _table_feed
from topazlug.fleet import _table_source
from topazlug.peers import _peers

_log = _logs.logger("fleet")
# A reader answers within this time. Together with the slack it bounds the age
# of a daemon's tables when its reader is frozen or cut off.
_MAX_WAIT_SECONDS = 1.0
_ANSWER_SLACK_SECONDS = 0.5
# A daemon without a valid copy reads the store on behalf of the caller. If
# that takes longer, it replies that it cannot answer, and the caller tries the
# next daemon. The store usually answers within some milliseconds.
CATCH_UP_TIMEOUT_SECONDS = 0.12
_ROWS = msgspec.msgpack.Decoder(list[_table_source.Row])
_UNKNOWN_REPLY = messages.ChangesReply(known=False)


@final
class RelayServer:
    """Answers other daemons from this daemon's copies.

    Parameters
    ----------
    links : PeerLinks
        Streams to peers.
    on_miss : callable
        Called with the table of each request for which this daemon has no
        valid copy.
    """

    def __init__(
        self, *, links: _peers.PeerLinks, on_miss: Callable[[str], None]
    ) -> None:
        self._on_miss = on_miss
        self._feed_added = event.Event()
        self._feed_by_table: dict[str, _table_feed.TableFeed] = {}
        self._packed_by_table: dict[str, _PackedRows] = {}
        links.handle(messages.ChangesAsk, self._on_request)

    def add_feed(self, feed: _table_feed.TableFeed) -> None:
        """Answer requests for a table from a feed's copy."""
        self._feed_by_table[feed.table] = feed
        self._feed_added.set()
        self._feed_added.clear()

    def _on_request(
        self, sender: _ids.DaemonId, request: Any, reply: _peers.Reply
    ) -> None:
        # Answering may take a second, which must not block the stream.
        gevent.spawn(self._answer, request, reply)

    def _answer(
        self, request: messages.ChangesAsk, reply: _peers.Reply
    ) -> None:
        wait = min(request.wait, _MAX_WAIT_SECONDS)
        if request.table not in self._feed_by_table:
            # The other daemon started at the same time as this one.
            self._feed_added.wait(wait)
        feed = self._feed_by_table.get(request.table)
        table_changes = None
        if feed is not None:
            table_changes = feed.changes_since(
                request.after, wait=wait, age=request.age
            )
            if table_changes is None:
                self._on_miss(request.table)
                feed.catch_up(timeout=CATCH_UP_TIMEOUT_SECONDS)
                table_changes = feed.changes_since(request.after, wait=0.0)
        reply(
            _UNKNOWN_REPLY
            if table_changes is None
            else self._reply(request, table_changes)
        )

    def _reply(
        self,
        request: messages.ChangesAsk,
        table_changes: _table_source.TableChanges,
    ) -> messages.ChangesReply:
        """Return the reply; rows are packed once for all daemons.

        Packing a change of 150 KB takes 3 ms, and sixty daemons wait for it
        at the same time.
        """
        if not table_changes.rows:
            return messages.ChangesReply(
                known=True,
                version=table_changes.version,
                age=table_changes.age,
            )
        cached = self._packed_by_table.get(request.table)
        if cached is not None and cached.rows == table_changes.rows:
            packed = cached.text
        else:
            body = zlib.compress(
                msgspec.msgpack.encode(list(table_changes.rows))
            )
            packed = base64.b64encode(body).decode()
            self._packed_by_table[request.table] = _PackedRows(
                list(table_changes.rows), packed
            )
        return messages.ChangesReply(
            known=True,
            version=table_changes.version,
            packed=packed,
            whole=table_changes.whole,
            age=table_changes.age,
        )


@final
class _PackedRows(msgspec.Struct, frozen=True):
    rows: list[_table_source.Row]
    text: str


@final
class RelayedTables:
    """Reads tables from the peers or the store that the plan selects.

    Parameters
    ----------
    store : TableSource
        The store.
    links : callable
        Returns the streams to peers; None before this daemon has joined.
    plan : ReadingPlan
        Decides where to read.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        *,
        store: _table_source.TableSource,
        links: Callable[[], _peers.PeerLinks | None],
        plan: _reading_plan.ReadingPlan,
        clock: _clock.Clock,
    ) -> None:
        self._store = store
        self._links = links
        self._plan = plan
        self._clock = clock
        # When the store was lost, and when the last failed call started.
        self._store_lost_at: float | None = None
        self._failed_at = 0.0

    def rows(self, table: str) -> _table_source.TableChanges:
        """Read all rows of a table; see `RelayedSource`."""
        links = self._links()
        if links is None:
            return self._store.rows(table)
        request = messages.ChangesAsk(
            table=table, after=0, wait=_MAX_WAIT_SECONDS
        )
        return self._read(links, request, whole=True)

    def changes(
        self, table: str, *, after: int, wait: float, age: float = 0.0
    ) -> _table_source.TableChanges:
        """Wait for changes; see `RelayedSource`."""
        links = self._links()
        if links is None:
            return self._store.changes(table, after=after, wait=wait)
        request = messages.ChangesAsk(
            table=table, after=after, wait=wait, age=age
        )
        return self._read(links, request, whole=False)

    def is_store_due(self) -> bool:
        """Return whether the store may be called; see `RelayedSource`."""
        return self._plan.store_is_due

    def changes_now(
        self, table: str, *, after: int
    ) -> _table_source.TableChanges:
        """Read changes from the store directly; see `RelayedSource`."""
        step = _reading_plan.ReadStore(max_wait=0.0)
        outcome = _reading_plan.Outcome.STORE_LOST
        called_at = self._clock.monotonic()
        try:
            table_changes = self._store.changes(table, after=after, wait=0.0)
            outcome = _reading_plan.Outcome.ANSWERED
        finally:
            seconds = self._clock.monotonic() - called_at
            self._plan.record(step, outcome, seconds=seconds)
        return table_changes

    def _read(
        self,
        links: _peers.PeerLinks,
        request: messages.ChangesAsk,
        *,
        whole: bool,
    ) -> _table_source.TableChanges:
        """Try one source after the other until one answers.

        Parameters
        ----------
        request : ChangesAsk
            The request to send.
        whole : bool
            Whether to read the whole table instead of its changes.
        """
        search = _source_search.SourceSearch(self._plan, request.table)
        why: Exception | None = None
        while (step := search.next()) is not None:
            called_at = self._clock.monotonic()
            try:
                if isinstance(step, _reading_plan.ReadStore):
                    table_changes = self._read_store(
                        step, request, whole=whole
                    )
                else:
                    table_changes = self._read_peer(
                        links, step.peer, request, whole=whole
                    )
            except _errors.StoreUnavailable as error:
                outcome, why = _reading_plan.Outcome.STORE_LOST, error
            except _errors.PeerUnreachable as error:
                outcome, why = _reading_plan.Outcome.NO_ANSWER, error
            else:
                outcome = _reading_plan.Outcome.ANSWERED
            seconds = self._clock.monotonic() - called_at
            search.record(step, outcome, seconds=seconds)
            is_answered = outcome is _reading_plan.Outcome.ANSWERED
            seconds_since_failure = None
            if isinstance(step, _reading_plan.ReadStore) and is_answered:
                seconds_since_failure = self._record_store_answer(request)
            elif isinstance(step, _reading_plan.ReadStore):
                self._record_store_failure(request, why, called_at=called_at)
            if is_answered:
                return msgspec.structs.replace(
                    table_changes, seconds_since_failure=seconds_since_failure
                )
            _log.debug(
                "could not read {table}: {why}",
                table=request.table,
                why=str(why),
            )
        raise _errors.StoreUnavailable(
            f"neither the store nor a peer returned the table: {why}"
        ) from why

    def _record_store_failure(
        self,
        request: messages.ChangesAsk,
        why: Exception | None,
        *,
        called_at: float,
    ) -> None:
        """Record and log that the store did not answer.

        The feed records a loss only if no other daemon answers either.
        """
        self._failed_at = called_at
        if self._store_lost_at is not None:
            return
        self._store_lost_at = self._clock.monotonic()
        _log.warning(
            "no answer from the store for {table} in {seconds:.1f} s: {why}",
            table=request.table,
            seconds=self._store_lost_at - called_at,
            after=request.after,
            why=str(why),
        )

    def _record_store_answer(
        self, request: messages.ChangesAsk
    ) -> float | None:
        """Record an answer; return the value of `seconds_since_failure`."""
        lost_at = self._store_lost_at
        if lost_at is None:
            return None
        now = self._clock.monotonic()
        self._store_lost_at = None
        _log.info(
            "the store answers for {table} again after {seconds:.1f} s",
            table=request.table,
            seconds=now - lost_at,
        )
        return now - self._failed_at

    def _read_store(
        self,
        step: _reading_plan.ReadStore,
        request: messages.ChangesAsk,
        *,
        whole: bool,
    ) -> _table_source.TableChanges:
        if step.pause:
            self._clock.sleep(step.pause)
        if whole:
            return self._store.rows(request.table)
        wait = min(request.wait, step.max_wait)
        return self._store.changes(
            request.table, after=request.after, wait=wait
        )

    def _read_peer(
        self,
        links: _peers.PeerLinks,
        peer: _ids.DaemonId,
        request: messages.ChangesAsk,
        *,
        whole: bool,
    ) -> _table_source.TableChanges:
        """Read from a peer; raise StoreUnavailable or PeerUnreachable."""
        wait = min(request.wait, _MAX_WAIT_SECONDS)
        peer_request = msgspec.structs.replace(request, wait=wait)
        try:
            answer = links.call(
                peer, peer_request, timeout=wait + _ANSWER_SLACK_SECONDS
            )
        except _errors.PeerUnreachable:
            # Otherwise a stream to an unreachable daemon stays open for
            # minutes.
            links.disconnect(peer)
            raise
        if not isinstance(answer, messages.ChangesReply) or not answer.known:
            raise _errors.StoreUnavailable(f"daemon {peer} lost the store")
        rows: list[_table_source.Row] = []
        if answer.packed:
            body = zlib.decompress(base64.b64decode(answer.packed))
            rows = _ROWS.decode(body)
        return _table_source.TableChanges(
            answer.version,
            rows,
            whole=answer.whole or whole,
            relayed=True,
            age=answer.age,
        )
