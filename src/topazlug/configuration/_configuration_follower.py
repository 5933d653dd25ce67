"""Keeps a daemon at the newest revision of the operators' table.

All daemons together poll the store at one fixed rate. A daemon that receives
changes pushes them to a few random peers, and each peer pushes on those that
it did not have yet. A daemon also pulls changes from a peer whose heartbeat
carries a higher revision. A change therefore spreads without every daemon
reading the store, and a daemon that starts during an outage of the store gets
the table from its peers.
"""

import collections
import itertools
import random
from typing import Any
from typing import Callable
from typing import Mapping
from typing import Protocol
from typing import Sequence
from typing import final

import gevent
from gevent import lock
import logbook
import msgspec

from topazlug import _clock
from topazlug import _errors
from topazlug import _ids
from topazlug import _tasks
from topazlug._generated import messages
from topazlug._generated import settings as settings_types
from topazlug.configuration import _configuration
from topazlug.configuration import _table_errors
from topazlug.configuration import _table_snapshot
from topazlug.configuration import _table_storage
from topazlug.store import _table_client

MIN_POLL_INTERVAL = 0.2
POLL_JITTER = 0.25
PULL_TIMEOUT = 2.0
MAX_RECENT_CHANGES = 2000
MAX_PUSHED_CHANGES = 200
MAX_CHANGES_READ = 2000
_LOG = logbook.Logger("topazlug.configuration")
_UNREADABLE = _configuration.ApplyResult.UNREADABLE

Reply = Callable[[msgspec.Struct], None]


class Links(Protocol):
    """The connections to peers, as far as the follower uses them."""

    def handle(
        self,
        kind: type[msgspec.Struct],
        handler: Callable[[_ids.DaemonId, Any, Reply], None],
    ) -> None:
        """Register a handler for messages of a type."""

    def send(self, to: _ids.DaemonId, message: msgspec.Struct) -> None:
        """Send without a reply; raise PeerUnreachable if that fails."""

    def call(
        self, to: _ids.DaemonId, message: msgspec.Struct, *, timeout: float
    ) -> msgspec.Struct:
        """Send and return the reply; raise PeerUnreachable without one."""


class Members(Protocol):
    """The fleet's membership, as far as the follower uses it."""

    def usable(self) -> Mapping[_ids.DaemonId, Any]:
        """Return the usable daemons by id, including this one."""


@final
class ConfigurationFollower:
    """Polls the store in one greenlet and exchanges changes with peers.

    Parameters
    ----------
    daemon_id : DaemonId
        This daemon.
    holder : ConfigurationHolder
        Table that the changes are applied to.
    store : TableStore
        The platform's table service.
    links : Links
        Connections to peers; handlers for pushes and pulls are registered.
    members : Members
        The fleet's daemons.
    settings : ConfigurationSettings
        Poll rate and push fan-out.
    clock : Clock
        Used to sleep between polls.
    randomness : random.Random
        Used to choose peers and to jitter polls.

    Attributes
    ----------
    stale_count : int
        Answers of the store that were out of date: the revision was older
        than the one in force, or the history of a revision that the store
        had reported was missing.
    failure_count : int
        Polls that failed.
    """

    def __init__(
        self,
        *,
        daemon_id: _ids.DaemonId,
        holder: _configuration.ConfigurationHolder,
        store: _table_client.TableStore,
        links: Links,
        members: Members,
        settings: settings_types.ConfigurationSettings,
        clock: _clock.Clock,
        randomness: random.Random,
    ) -> None:
        self._daemon_id = daemon_id
        self._holder = holder
        self._store = store
        self._links = links
        self._members = members
        self._settings = settings
        self._clock = clock
        self._random = randomness
        self._recent_changes: collections.deque[messages.RowChange]
        self._recent_changes = collections.deque(maxlen=MAX_RECENT_CHANGES)
        self._read_lock = lock.BoundedSemaphore()
        self._peers_being_pulled: set[_ids.DaemonId] = set()
        self._rejected_table_revision = int(_configuration.NO_REVISION)
        self._greenlet: gevent.Greenlet | None = None
        self.stale_count = 0
        self.failure_count = 0
        links.handle(messages.ConfigPush, self._handle_push)
        links.handle(messages.ConfigPull, self._handle_pull)

    def start(self) -> None:
        """Start polling."""
        self._greenlet = _tasks.spawn(self._run, clock=self._clock)

    def stop(self) -> None:
        """Stop polling; pushes and pulls of peers are still handled."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def handle_peer_revision(
        self, *, peer: _ids.DaemonId, revision: int
    ) -> None:
        """Pull from a peer whose heartbeat carries a higher revision."""
        if (
            revision <= self._holder.revision
            or peer in self._peers_being_pulled
        ):
            return
        # A revision that can't be decoded would be pulled again with each
        # heartbeat. A later poll reads the newest table from the store.
        if self._holder.is_newer_revision_rejected:
            return
        gevent.spawn(self._pull, peer)

    def publish(self, changes: Sequence[messages.RowChange]) -> None:
        """Apply committed changes on this daemon and push them to peers."""
        self._apply(changes, source=self._daemon_id)

    def catch_up(self) -> None:
        """Read and apply the store's changes after the revision in force.

        Raises
        ------
        StoreUnavailable
            The store does not answer.
        TableInconsistent
            The store's answers do not belong to a single revision.
        """
        with self._read_lock:
            meta = _table_storage.read_meta(self._store)
            if meta.revision < self._holder.revision:
                self.stale_count += 1
                return
            if meta.revision > self._holder.revision:
                self._read_up_to(meta.revision)

    def _run(self) -> None:
        self._poll()
        self._pull_from_sample()
        while True:
            self._clock.sleep(self._poll_interval())
            self._poll()
            if self._holder.current is None:
                self._pull_from_sample()

    def _poll_interval(self) -> float:
        """Return the seconds to the next poll.

        The interval grows with the number of daemons, so that their polls
        together stay at `polls_per_second`.
        """
        daemons = max(len(self._members.usable()), 1)
        mean = daemons / self._settings.polls_per_second
        spread = self._random.uniform(1 - POLL_JITTER, 1 + POLL_JITTER)
        return max(mean * spread, MIN_POLL_INTERVAL)

    def _poll(self) -> None:
        try:
            self.catch_up()
        except (
            _errors.StoreUnavailable,
            _table_errors.TableInconsistent,
        ) as error:
            self.failure_count += 1
            _LOG.warning(
                "table poll failed, revision {} stays in force: {}",
                self._holder.revision,
                error.message,
            )
        except Exception:
            # A bug that raised here would end the greenlet: this daemon would
            # stay at an old revision, and only `topazlug config status` would
            # show it. The next poll tries again.
            self.failure_count += 1
            _LOG.exception("table poll failed")

    def _read_up_to(self, revision: int) -> None:
        behind = revision - self._holder.revision
        if self._holder.current is None or behind > MAX_CHANGES_READ:
            self._read_full_table(revision)
            return
        while self._holder.revision < revision:
            entries = _table_storage.read_history(
                self._store, after=self._holder.revision
            )
            if not entries:
                # The revision was read from one replica of the store, and the
                # history from another one that lags behind.
                self.stale_count += 1
                return
            changes = [
                _table_storage.entry_to_change(entry) for entry in entries
            ]
            result = self._apply(changes, source=self._daemon_id)
            if result is not _configuration.ApplyResult.APPLIED:
                self._read_full_table(revision)
                return

    def _read_full_table(self, revision: int) -> None:
        if revision <= self._rejected_table_revision:
            return
        meta, rows = _table_storage.read_full_table(self._store)
        if meta.revision < self._holder.revision:
            self.stale_count += 1
            return
        result = self._holder.apply_full_table(
            revision=meta.revision, rows=rows
        )
        if result is _UNREADABLE:
            self._rejected_table_revision = meta.revision

    def _apply(
        self,
        changes: Sequence[messages.RowChange],
        *,
        source: _ids.DaemonId,
    ) -> _configuration.ApplyResult:
        before = self._holder.revision
        result = self._holder.apply(changes)
        applied = sorted(
            (
                c
                for c in changes
                if before < c.revision <= self._holder.revision
            ),
            key=lambda change: change.revision,
        )
        self._record_recent(applied)
        self._push(applied, source=source)
        return result

    def _record_recent(self, applied: Sequence[messages.RowChange]) -> None:
        for change in applied:
            last = (
                self._recent_changes[-1].revision
                if self._recent_changes
                else None
            )
            if last is not None and change.revision != last + 1:
                self._recent_changes.clear()
            self._recent_changes.append(change)

    def _push(
        self,
        applied: Sequence[messages.RowChange],
        *,
        source: _ids.DaemonId,
    ) -> None:
        if not applied:
            return
        # Peers that lack earlier changes pull them from this daemon.
        push = messages.ConfigPush(changes=list(applied[-MAX_PUSHED_CHANGES:]))
        for peer in self._sample_peers(excluded=source):
            gevent.spawn(self._push_to, peer, push)

    def _push_to(self, peer: _ids.DaemonId, push: messages.ConfigPush) -> None:
        try:
            self._links.send(peer, push)
        except _errors.PeerUnreachable:
            _LOG.debug("table push to {} failed: peer unreachable", peer)

    def _sample_peers(self, *, excluded: _ids.DaemonId) -> list[_ids.DaemonId]:
        peers = [
            peer
            for peer in self._members.usable()
            if peer not in (self._daemon_id, excluded)
        ]
        count = min(self._settings.push_fanout, len(peers))
        return self._random.sample(peers, count)

    def _pull_from_sample(self) -> None:
        peers = self._sample_peers(excluded=self._daemon_id)
        gevent.joinall([gevent.spawn(self._pull, peer) for peer in peers])

    def _pull(self, peer: _ids.DaemonId) -> None:
        if peer in self._peers_being_pulled:
            return
        self._peers_being_pulled.add(peer)
        try:
            while self._pull_once(peer):
                pass
        except _errors.PeerUnreachable:
            _LOG.debug("table pull from {} failed: peer unreachable", peer)
        finally:
            self._peers_being_pulled.discard(peer)

    def _pull_once(self, peer: _ids.DaemonId) -> bool:
        """Pull once and return whether the peer has more changes."""
        before = self._holder.revision
        answer = self._links.call(
            peer, messages.ConfigPull(after=before), timeout=PULL_TIMEOUT
        )
        if not isinstance(answer, messages.ConfigAnswer):
            return False
        if answer.whole:
            self._holder.apply_full_table(
                revision=answer.revision, rows=answer.changes
            )
        else:
            self._apply(answer.changes, source=peer)
        return before < self._holder.revision < answer.revision

    def _handle_push(
        self, sender: _ids.DaemonId, push: messages.ConfigPush, reply: Reply
    ) -> None:
        result = self._apply(push.changes, source=sender)
        if result is _configuration.ApplyResult.GAP:
            gevent.spawn(self._pull, sender)

    def _handle_pull(
        self, sender: _ids.DaemonId, pull: messages.ConfigPull, reply: Reply
    ) -> None:
        reply(self._build_answer(pull.after))

    def _build_answer(self, after: int) -> messages.ConfigAnswer:
        snapshot = self._holder.current
        if snapshot is None or after >= snapshot.revision:
            return messages.ConfigAnswer(
                revision=self._holder.revision, whole=False, changes=[]
            )
        if (
            self._recent_changes
            and self._recent_changes[0].revision <= after + 1
        ):
            skipped = after + 1 - self._recent_changes[0].revision
            changes = list(
                itertools.islice(self._recent_changes, skipped, None)
            )
            if changes and changes[-1].revision == snapshot.revision:
                return messages.ConfigAnswer(
                    revision=snapshot.revision, whole=False, changes=changes
                )
        return messages.ConfigAnswer(
            revision=snapshot.revision,
            whole=True,
            changes=_table_snapshot.table_to_changes(snapshot),
        )
