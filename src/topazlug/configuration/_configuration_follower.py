"""Keeps a daemon at the newest revision of the operators' table.

Few daemons poll the store; who learns of news pushes it to some peers, who
push on what was news to them. A peer whose heartbeat shows a higher revision
is asked for the changes. So a change spreads without each daemon reading the
store, and a daemon that starts in an outage of the store gets the table from
its peers.
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

MIN_INTERVAL = 0.2
JITTER = 0.25
PULL_TIMEOUT = 2.0
KEPT_CHANGES = 2000
MAX_PUSHED_CHANGES = 200
MAX_CHANGES_READ = 2000
_LOG = logbook.Logger("topazlug.configuration")
_UNREADABLE = _configuration.ApplyResult.UNREADABLE

Reply = Callable[[msgspec.Struct], None]


class Links(Protocol):
    """What the follower asks of the streams to peers."""

    def handle(
        self,
        kind: type[msgspec.Struct],
        handler: Callable[[_ids.DaemonId, Any, Reply], None],
    ) -> None:
        """Have a handler run for each message of a kind."""

    def send(self, to: _ids.DaemonId, message: msgspec.Struct) -> None:
        """Send one way; PeerUnreachable when it can't be sent."""

    def call(
        self, to: _ids.DaemonId, message: msgspec.Struct, *, timeout: float
    ) -> msgspec.Struct:
        """Send and wait for the answer; PeerUnreachable without one."""


class Members(Protocol):
    """What the follower asks of the membership."""

    def usable(self) -> Mapping[_ids.DaemonId, Any]:
        """Give the daemons that take part, this one included."""


@final
class ConfigurationFollower:
    """Follows the table in one greenlet, helped by peers' messages.

    Parameters
    ----------
    daemon_id : DaemonId
        This daemon.
    holder : ConfigurationHolder
        What the changes are applied to.
    store : TableStore
        The platform's table service.
    links : Links
        Streams to peers; two handlers are added.
    members : Members
        Who the peers are.
    settings : ConfigurationSettings
        Rate of polls and fan-out of pushes.
    clock : Clock
        Waits between polls.
    randomness : random.Random
        Chooses peers and spreads the polls.

    Attributes
    ----------
    stale_count : int
        Answers of the store that were older than what is held.
    failure_count : int
        Polls that the store did not answer.
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
        self._recent: collections.deque[messages.RowChange]
        self._recent = collections.deque(maxlen=KEPT_CHANGES)
        self._reading = lock.BoundedSemaphore()
        self._pulled_peers: set[_ids.DaemonId] = set()
        self._whole_refused_at = int(_configuration.NOTHING_HELD)
        self._greenlet: gevent.Greenlet | None = None
        self.stale_count = 0
        self.failure_count = 0
        links.handle(messages.ConfigPush, self._on_push)
        links.handle(messages.ConfigPull, self._on_pull)

    def start(self) -> None:
        """Begin to follow."""
        self._greenlet = _tasks.spawn(self._run, clock=self._clock)

    def stop(self) -> None:
        """Stop polling; peers are still answered."""
        if self._greenlet is not None:
            self._greenlet.kill()

    def handle_peer_revision(
        self, *, peer: _ids.DaemonId, revision: int
    ) -> None:
        """Take note of the revision that a peer's heartbeat shows."""
        if revision <= self._holder.revision or peer in self._pulled_peers:
            return
        # A revision that can't be read would be pulled again with each
        # heartbeat. The store's newest table settles it at a later poll.
        if self._holder.is_blocked:
            return
        gevent.spawn(self._pull, peer)

    def publish(self, changes: Sequence[messages.RowChange]) -> None:
        """Bring committed changes into force here and push them at once."""
        self._take(changes, source=self._daemon_id)

    def catch_up(self) -> None:
        """Read what the store holds beyond the revision in force.

        Raises
        ------
        StoreUnavailable
            The store does not answer.
        TableInconsistent
            The store's answers are of no one revision.
        """
        with self._reading:
            meta = _table_storage.read_meta(self._store)
            if meta.revision < self._holder.revision:
                self.stale_count += 1
                return
            if meta.revision > self._holder.revision:
                self._read_up_to(meta.revision)

    def _run(self) -> None:
        self._poll()
        self._pull_from_some()
        while True:
            self._clock.sleep(self._interval())
            self._poll()
            if self._holder.current is None:
                self._pull_from_some()

    def _interval(self) -> float:
        """Give the seconds to the next poll, so that all share one rate."""
        daemons = max(len(self._members.usable()), 1)
        mean = daemons / self._settings.polls_per_second
        spread = self._random.uniform(1 - JITTER, 1 + JITTER)
        return max(mean * spread, MIN_INTERVAL)

    def _poll(self) -> None:
        try:
            self.catch_up()
        except (
            _errors.StoreUnavailable,
            _table_errors.TableInconsistent,
        ) as error:
            self.failure_count += 1
            _LOG.warning(
                "revision {} stays in force: {}",
                self._holder.revision,
                error.message,
            )
        except Exception:
            # A fault of ours in one poll would end the greenlet: this daemon
            # would keep an old revision for good and only `topazlug config
            # status` would show it. The next poll tries again.
            self.failure_count += 1
            _LOG.exception("a poll of the table failed")

    def _read_up_to(self, revision: int) -> None:
        behind = revision - self._holder.revision
        if self._holder.current is None or behind > MAX_CHANGES_READ:
            self._read_whole(revision)
            return
        while self._holder.revision < revision:
            entries = _table_storage.read_history(
                self._store, after=self._holder.revision
            )
            if not entries:
                # The revision came from one replica of the store and the
                # history from another that lags.
                self.stale_count += 1
                return
            changes = [_table_storage.as_change(entry) for entry in entries]
            result = self._take(changes, source=self._daemon_id)
            if result is not _configuration.ApplyResult.APPLIED:
                self._read_whole(revision)
                return

    def _read_whole(self, revision: int) -> None:
        if revision <= self._whole_refused_at:
            return
        meta, rows = _table_storage.read_full_table(self._store)
        if meta.revision < self._holder.revision:
            self.stale_count += 1
            return
        result = self._holder.apply_full_table(
            revision=meta.revision, rows=rows
        )
        if result is _UNREADABLE:
            self._whole_refused_at = meta.revision

    def _take(
        self,
        changes: Sequence[messages.RowChange],
        *,
        source: _ids.DaemonId,
    ) -> _configuration.ApplyResult:
        before = self._holder.revision
        result = self._holder.apply(changes)
        news = sorted(
            (
                c
                for c in changes
                if before < c.revision <= self._holder.revision
            ),
            key=lambda change: change.revision,
        )
        self._remember(news)
        self._push(news, source=source)
        return result

    def _remember(self, news: Sequence[messages.RowChange]) -> None:
        for change in news:
            last = self._recent[-1].revision if self._recent else None
            if last is not None and change.revision != last + 1:
                self._recent.clear()
            self._recent.append(change)

    def _push(
        self,
        news: Sequence[messages.RowChange],
        *,
        source: _ids.DaemonId,
    ) -> None:
        if not news:
            return
        # Peers that lack what came before these pull from this daemon.
        push = messages.ConfigPush(changes=list(news[-MAX_PUSHED_CHANGES:]))
        for peer in self._some_peers(without=source):
            gevent.spawn(self._push_to, peer, push)

    def _push_to(self, peer: _ids.DaemonId, push: messages.ConfigPush) -> None:
        try:
            self._links.send(peer, push)
        except _errors.PeerUnreachable:
            _LOG.debug("revision not pushed to {}", peer)

    def _some_peers(self, *, without: _ids.DaemonId) -> list[_ids.DaemonId]:
        peers = [
            peer
            for peer in self._members.usable()
            if peer not in (self._daemon_id, without)
        ]
        count = min(self._settings.push_fanout, len(peers))
        return self._random.sample(peers, count)

    def _pull_from_some(self) -> None:
        peers = self._some_peers(without=self._daemon_id)
        gevent.joinall([gevent.spawn(self._pull, peer) for peer in peers])

    def _pull(self, peer: _ids.DaemonId) -> None:
        if peer in self._pulled_peers:
            return
        self._pulled_peers.add(peer)
        try:
            while self._pull_once(peer):
                pass
        except _errors.PeerUnreachable:
            _LOG.debug("no table from {}", peer)
        finally:
            self._pulled_peers.discard(peer)

    def _pull_once(self, peer: _ids.DaemonId) -> bool:
        """Pull once and tell whether the peer still holds more."""
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
            self._take(answer.changes, source=peer)
        return before < self._holder.revision < answer.revision

    def _on_push(
        self, sender: _ids.DaemonId, push: messages.ConfigPush, reply: Reply
    ) -> None:
        result = self._take(push.changes, source=sender)
        if result is _configuration.ApplyResult.GAP:
            gevent.spawn(self._pull, sender)

    def _on_pull(
        self, sender: _ids.DaemonId, pull: messages.ConfigPull, reply: Reply
    ) -> None:
        reply(self._answer(pull.after))

    def _answer(self, after: int) -> messages.ConfigAnswer:
        snapshot = self._holder.current
        if snapshot is None or after >= snapshot.revision:
            return messages.ConfigAnswer(
                revision=self._holder.revision, whole=False, changes=[]
            )
        if self._recent and self._recent[0].revision <= after + 1:
            skipped = after + 1 - self._recent[0].revision
            changes = list(itertools.islice(self._recent, skipped, None))
            if changes and changes[-1].revision == snapshot.revision:
                return messages.ConfigAnswer(
                    revision=snapshot.revision, whole=False, changes=changes
                )
        return messages.ConfigAnswer(
            revision=snapshot.revision,
            whole=True,
            changes=_table_snapshot.table_to_changes(snapshot),
        )
