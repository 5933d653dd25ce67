"""News of the store's tables, from daemons that read it to those that don't.

Each daemon that reads the store itself costs calls all the time, and the
store's rate is shared. In a large fleet a few read and the others ask them,
in the way in which they would ask the store.
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
from topazlug.fleet import _reading_round
from topazlug.fleet import _table_feed
from topazlug.fleet import _table_source
from topazlug.peers import _peers

_log = _logs.logger("fleet")
# A reader answers at the latest after this; together with the slack it bounds
# how old a daemon's tables get when its reader is frozen or cut off.
_WAIT_SECONDS = 1.0
_SLACK_SECONDS = 0.5
# A daemon that has no news itself asks the store for the one that asks it,
# and says that it has none if that takes longer: then the next is asked. A
# store's answer takes some milliseconds.
CATCH_UP_SECONDS = 0.12
_ROWS = msgspec.msgpack.Decoder(list[_table_source.Row])
_NOT_KNOWN = messages.ChangesReply(known=False)


@final
class RelayServer:
    """Answers other daemons from this daemon's copies.

    Parameters
    ----------
    links : PeerLinks
        Streams to peers.
    asked : callable
        Gets the table of each ask that this daemon has no news for.
    """

    def __init__(
        self, *, links: _peers.PeerLinks, asked: Callable[[str], None]
    ) -> None:
        self._asked = asked
        self._offered = event.Event()
        self._feed_by_table: dict[str, _table_feed.TableFeed] = {}
        self._last_by_table: dict[str, _Packed] = {}
        links.handle(messages.ChangesAsk, self._on_ask)

    def offer(self, feed: _table_feed.TableFeed) -> None:
        """Answer for a table from a feed's copy."""
        self._feed_by_table[feed.table] = feed
        self._offered.set()
        self._offered.clear()

    def _on_ask(
        self, sender: _ids.DaemonId, ask: Any, reply: _peers.Reply
    ) -> None:
        # The answer may take a second; the stream's reader must not wait.
        gevent.spawn(self._answer, ask, reply)

    def _answer(self, ask: messages.ChangesAsk, reply: _peers.Reply) -> None:
        wait = min(ask.wait, _WAIT_SECONDS)
        if ask.table not in self._feed_by_table:
            # Whoever asks has started at the same time as this daemon.
            self._offered.wait(wait)
        feed = self._feed_by_table.get(ask.table)
        found = None
        if feed is not None:
            found = feed.changes_since(ask.after, wait=wait, age=ask.age)
            if found is None:
                self._asked(ask.table)
                feed.catch_up(longest=CATCH_UP_SECONDS)
                found = feed.changes_since(ask.after, wait=0.0)
        reply(_NOT_KNOWN if found is None else self._reply(ask, found))

    def _reply(
        self, ask: messages.ChangesAsk, found: _table_source.TableChanges
    ) -> messages.ChangesReply:
        """Give the answer; the same rows are packed once for all who ask.

        A change of 150 KB takes 3 ms to pack, and sixty daemons wait for it
        at the same time.
        """
        if not found.rows:
            return messages.ChangesReply(
                known=True, version=found.version, age=found.age
            )
        last = self._last_by_table.get(ask.table)
        if last is not None and last.rows == found.rows:
            packed = last.text
        else:
            body = zlib.compress(msgspec.msgpack.encode(list(found.rows)))
            packed = base64.b64encode(body).decode()
            self._last_by_table[ask.table] = _Packed(list(found.rows), packed)
        return messages.ChangesReply(
            known=True,
            version=found.version,
            packed=packed,
            whole=found.whole,
            age=found.age,
        )


@final
class _Packed(msgspec.Struct, frozen=True):
    rows: list[_table_source.Row]
    text: str


@final
class RelayedTables:
    """A source of tables that goes where the fleet's plan says.

    Parameters
    ----------
    store : TableSource
        The store.
    links : callable
        Gives the streams to peers; None before this daemon has joined.
    plan : ReadingPlan
        Says whom to ask.
    clock : Clock
        Time.
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
        # When the store was lost, and when the last call that failed began.
        self._store_lost_at: float | None = None
        self._failed_at = 0.0

    def rows(self, table: str) -> _table_source.TableChanges:
        """Read a table whole; see `RelayedSource`."""
        links = self._links()
        if links is None:
            return self._store.rows(table)
        wanted = messages.ChangesAsk(table=table, after=0, wait=_WAIT_SECONDS)
        return self._search(links, wanted, whole=True)

    def changes(
        self, table: str, *, after: int, wait: float, age: float = 0.0
    ) -> _table_source.TableChanges:
        """Wait for changes; see `RelayedSource`."""
        links = self._links()
        if links is None:
            return self._store.changes(table, after=after, wait=wait)
        wanted = messages.ChangesAsk(
            table=table, after=after, wait=wait, age=age
        )
        return self._search(links, wanted, whole=False)

    def is_worth_asking(self) -> bool:
        """Say whether the store may be asked; see `RelayedSource`."""
        return self._plan.store_is_due

    def changes_now(
        self, table: str, *, after: int
    ) -> _table_source.TableChanges:
        """Ask the store itself; see `RelayedSource`."""
        step = _reading_plan.AskStore(longest=0.0)
        outcome = _reading_plan.Outcome.LOST
        began = self._clock.monotonic()
        try:
            found = self._store.changes(table, after=after, wait=0.0)
            outcome = _reading_plan.Outcome.ANSWERED
        finally:
            seconds = self._clock.monotonic() - began
            self._plan.note(step, outcome, seconds=seconds)
        return found

    def _search(
        self,
        links: _peers.PeerLinks,
        wanted: messages.ChangesAsk,
        *,
        whole: bool,
    ) -> _table_source.TableChanges:
        """Ask one after the other until someone has an answer.

        Parameters
        ----------
        wanted : ChangesAsk
            What is asked.
        whole : bool
            Whether the whole table is wanted, whatever is held.
        """
        search = _reading_round.Round(self._plan, wanted.table)
        why: Exception | None = None
        while (step := search.next()) is not None:
            began = self._clock.monotonic()
            try:
                if isinstance(step, _reading_plan.AskStore):
                    found = self._ask_store(step, wanted, whole=whole)
                else:
                    found = self._ask_peer(
                        links, step.peer, wanted, whole=whole
                    )
            except _errors.StoreUnavailable as error:
                outcome, why = _reading_plan.Outcome.LOST, error
            except _errors.PeerUnreachable as error:
                outcome, why = _reading_plan.Outcome.SILENT, error
            else:
                outcome = _reading_plan.Outcome.ANSWERED
            seconds = self._clock.monotonic() - began
            search.note(step, outcome, seconds=seconds)
            is_answered = outcome is _reading_plan.Outcome.ANSWERED
            lost_since = None
            if isinstance(step, _reading_plan.AskStore) and is_answered:
                lost_since = self._note_answer(wanted)
            elif isinstance(step, _reading_plan.AskStore):
                self._note_failure(wanted, why, began=began)
            if is_answered:
                return msgspec.structs.replace(found, lost_since=lost_since)
            _log.debug(
                "no news of {table}: {why}", table=wanted.table, why=str(why)
            )
        raise _errors.StoreUnavailable(
            f"nobody who was asked has the store: {why}"
        ) from why

    def _note_failure(
        self,
        wanted: messages.ChangesAsk,
        why: Exception | None,
        *,
        began: float,
    ) -> None:
        """Note that the store itself gave no answer.

        The feed notes a loss only if no other daemon has an answer either.
        """
        self._failed_at = began
        if self._store_lost_at is not None:
            return
        self._store_lost_at = self._clock.monotonic()
        _log.warning(
            "no answer of the store for {table} in {seconds:.1f} s: {why}",
            table=wanted.table,
            seconds=self._store_lost_at - began,
            after=wanted.after,
            why=str(why),
        )

    def _note_answer(self, wanted: messages.ChangesAsk) -> float | None:
        """Note that the store answers; give what `lost_since` says."""
        lost_at = self._store_lost_at
        if lost_at is None:
            return None
        now = self._clock.monotonic()
        self._store_lost_at = None
        _log.info(
            "the store answers for {table} again after {seconds:.1f} s",
            table=wanted.table,
            seconds=now - lost_at,
        )
        return now - self._failed_at

    def _ask_store(
        self,
        step: _reading_plan.AskStore,
        wanted: messages.ChangesAsk,
        *,
        whole: bool,
    ) -> _table_source.TableChanges:
        if step.pause:
            self._clock.sleep(step.pause)
        if whole:
            return self._store.rows(wanted.table)
        wait = min(wanted.wait, step.longest)
        return self._store.changes(wanted.table, after=wanted.after, wait=wait)

    def _ask_peer(
        self,
        links: _peers.PeerLinks,
        peer: _ids.DaemonId,
        wanted: messages.ChangesAsk,
        *,
        whole: bool,
    ) -> _table_source.TableChanges:
        """Ask a daemon; raises StoreUnavailable or PeerUnreachable."""
        wait = min(wanted.wait, _WAIT_SECONDS)
        ask = msgspec.structs.replace(wanted, wait=wait)
        try:
            answer = links.call(peer, ask, timeout=wait + _SLACK_SECONDS)
        except _errors.PeerUnreachable:
            # A stream to a daemon that is cut off stays open for minutes.
            links.disconnect(peer)
            raise
        if not isinstance(answer, messages.ChangesReply) or not answer.known:
            raise _errors.StoreUnavailable(f"{peer} has lost the store")
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
