"""Heartbeats, pushes of changes and full syncs between daemons.

While nothing changes, a heartbeat contains no facts, only a digest and a
revision, so its size does not depend on the size of the fleet.
"""

from collections.abc import Callable
from collections.abc import Iterable
import random
from typing import final

import gevent
import logbook
import msgspec

from topazlug import _clock
from topazlug import _errors
from topazlug import _ids
from topazlug import _tasks
from topazlug._generated import messages
from topazlug._generated import settings as _settings
from topazlug.membership import _facts
from topazlug.peers import _peers

MAX_HEARTBEAT_FACTS = 16
MAX_PUSH_FACTS = 64
MAX_SYNC_FACTS = 2000
FACT_BYTES = 256
MESSAGE_OVERHEAD_BYTES = 256
PUSH_DELAY_SECONDS = 0.01
INTERVAL_JITTER = 0.1
LOCAL_DELAY_SECONDS = 0.2
DEAD_PEER_RETRY_SECONDS = 3.0
SYNC_TIMEOUT_SECONDS = 2.0
MIN_SYNC_INTERVAL_SECONDS = 2.0
MAX_SYNC_INTERVAL_SECONDS = 60.0
FULL_REPLY_INTERVAL_SECONDS = 1.0
DIVERGENCE_GRACE_SECONDS = 10.0

_log = logbook.Logger("topazlug.membership")


@final
class FactExchange:
    """Keeps the fact set of this daemon in sync with those of its peers.

    Parameters
    ----------
    settings : MembershipSettings
        Interval, fan-out and timeout.
    links : PeerLinks
        Streams to the peers.
    fact_set : FactSet
        The facts to exchange.
    clock : Clock
        Source of monotonic time.
    current_revision : callable
        Returns the configuration revision to send.
    merge : callable
        Merges a fact into the set; returns whether that changed the set.
    candidates : callable
        Returns the peers that are considered alive.
    on_no_answer : callable
        Called with each peer that did not answer.
    dead_ids : callable
        Returns the peers that are considered dead and might have returned.

    Attributes
    ----------
    revision_callbacks : list of callable
        Called with the peer's name and revision for each message received.
    """

    def __init__(
        self,
        *,
        settings: _settings.MembershipSettings,
        links: _peers.PeerLinks,
        fact_set: _facts.FactSet,
        clock: _clock.Clock,
        current_revision: Callable[[], int],
        merge: Callable[[messages.Fact], bool],
        candidates: Callable[[], set[_ids.DaemonId]],
        on_no_answer: Callable[[_ids.DaemonId], None],
        dead_ids: Callable[[], list[_ids.DaemonId]],
    ) -> None:
        self.revision_callbacks: list[Callable[[_ids.DaemonId, int], None]] = (
            []
        )
        self._settings = settings
        self._links = links
        self._fact_set = fact_set
        self._clock = clock
        self._current_revision = current_revision
        self._merge = merge
        self._candidates = candidates
        self._on_no_answer = on_no_answer
        self._dead_ids = dead_ids
        self._shuffled_peers: list[_ids.DaemonId] = []
        self._awaiting_answer_ids: set[_ids.DaemonId] = set()
        self._outbox_by_subject: dict[_facts.Subject, messages.Fact] = {}
        self._pushing = False
        self._running = False
        self._in_sync_at = clock.monotonic()
        self._next_sync_at = 0.0
        self._sync_interval = MIN_SYNC_INTERVAL_SECONDS
        self._full_reply_at = -FULL_REPLY_INTERVAL_SECONDS
        self._greenlets: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Start answering peers and sending heartbeats."""
        self._running = True
        self._links.handle(messages.Exchange, self._on_exchange)
        self._greenlets = [
            _tasks.spawn(self._run_heartbeats, clock=self._clock),
            _tasks.spawn(self._run_dead_peer_retries, clock=self._clock),
        ]
        self._schedule_push()

    def stop(self) -> None:
        """Stop sending heartbeats."""
        self._running = False
        gevent.killall(self._greenlets, block=True)

    def broadcast(self, fact: messages.Fact) -> None:
        """Push a fact to some peers and repeat it in later heartbeats."""
        fleet_size = len(self._candidates()) + 1
        self._fact_set.schedule_retransmits(fact, fleet_size=fleet_size)
        self._outbox_by_subject[_facts.subject_of(fact)] = fact
        self._schedule_push()

    def repeat(self, fact: messages.Fact) -> None:
        """Repeat a fact in the next heartbeats and answers, without a push."""
        fleet_size = len(self._candidates()) + 1
        self._fact_set.schedule_retransmits(fact, fleet_size=fleet_size)

    def _run_heartbeats(self) -> None:
        while True:
            for peer in self._next_peers():
                gevent.spawn(self._heartbeat, peer)
            self._sleep_with_jitter(self._settings.exchange_interval)

    def _run_dead_peer_retries(self) -> None:
        # After a network partition each side considers the daemons of the
        # other dead. Without heartbeats to dead peers the two sides would
        # stay separate after the network has recovered.
        while True:
            self._sleep_with_jitter(DEAD_PEER_RETRY_SECONDS)
            for peer in _sample(self._dead_ids(), 1):
                self._heartbeat(peer)

    def _sleep_with_jitter(self, seconds: float) -> None:
        # Without jitter all daemons might send at the same moments.
        jitter = random.uniform(1 - INTERVAL_JITTER, 1 + INTERVAL_JITTER)
        self._clock.sleep(seconds * jitter)

    def _next_peers(self) -> list[_ids.DaemonId]:
        fanout = self._settings.fanout
        candidates = self._candidates()
        if not candidates:
            return _sample(self._dead_ids(), fanout)
        if len(candidates) <= fanout:
            return list(candidates)
        # Going through a shuffled list contacts each peer in bounded time.
        # Independent random draws could skip a peer for long.
        chosen: list[_ids.DaemonId] = []
        while len(chosen) < fanout:
            if not self._shuffled_peers:
                self._shuffled_peers = _sample(candidates, len(candidates))
            peer = self._shuffled_peers.pop()
            if peer in candidates and peer not in chosen:
                chosen.append(peer)
        return chosen

    def _heartbeat(self, peer: _ids.DaemonId) -> None:
        if peer in self._awaiting_answer_ids:
            return
        self._awaiting_answer_ids.add(peer)
        try:
            self._exchange_with(peer)
        except _errors.PeerMessageInvalid as error:
            _log.error("heartbeat to {} failed: {}", peer, error)
        finally:
            self._awaiting_answer_ids.discard(peer)

    def _exchange_with(self, peer: _ids.DaemonId) -> None:
        timeout = self._settings.answer_timeout
        request = self._build_heartbeat(peer)
        sent_at = self._clock.monotonic()
        try:
            answer = self._links.call(peer, request, timeout=timeout)
        except _errors.PeerUnreachable as error:
            extra_delay = self._clock.monotonic() - sent_at - timeout
            # If the timeout fired late, this process was paused or too busy
            # to read an answer that had already arrived.
            if extra_delay < LOCAL_DELAY_SECONDS:
                _log.debug("no heartbeat answer from {}: {}", peer, error)
                self._on_no_answer(peer)
            return
        if isinstance(answer, messages.Exchange):
            self._receive(peer, answer)
            self._compare_digests(peer, request, answer)

    def _build_heartbeat(self, peer: _ids.DaemonId) -> messages.Exchange:
        limit = min(MAX_HEARTBEAT_FACTS, self._max_facts())
        facts = self._fact_set.take_pending(limit)
        held = self._fact_set.get(messages.FactKind.daemon, peer)
        if held is not None and held.state is not messages.FactState.live:
            # A peer can refute such a fact only if it receives it.
            facts.append(held)
        return self._build_exchange(facts)

    def _build_exchange(
        self, facts: list[messages.Fact], *, want_all: bool = False
    ) -> messages.Exchange:
        return messages.Exchange(
            facts=facts,
            digest=self._fact_set.digest,
            revision=self._current_revision(),
            want_all=want_all,
        )

    def _max_facts(self) -> int:
        available = self._links.max_frame_bytes - MESSAGE_OVERHEAD_BYTES
        return min(MAX_SYNC_FACTS, max(available // FACT_BYTES, 1))

    def _on_exchange(
        self,
        peer: _ids.DaemonId,
        message: msgspec.Struct,
        reply: _peers.Reply,
    ) -> None:
        assert isinstance(message, messages.Exchange)
        self._receive(peer, message)
        if reply is _peers.ignore_reply:
            return
        if message.want_all and self._allow_full_reply():
            facts = self._fact_set.next_chunk(self._max_facts())
            reply(self._build_exchange(facts))
            return
        reply(self._build_heartbeat(peer))

    def _allow_full_reply(self) -> bool:
        # If one daemon differs from all others, each of them requests all
        # of its facts. This limit bounds the load on that daemon.
        now = self._clock.monotonic()
        if now - self._full_reply_at < FULL_REPLY_INTERVAL_SECONDS:
            return False
        self._full_reply_at = now
        return True

    def _receive(
        self, peer: _ids.DaemonId, exchange: messages.Exchange
    ) -> list[messages.Fact]:
        changes = [fact for fact in exchange.facts if self._merge(fact)]
        # More changes than fit into one push come from a full sync. They
        # are new to this daemon but not to the fleet; passing them on would
        # send the whole set again for each daemon that joins.
        if len(changes) <= MAX_PUSH_FACTS:
            for fact in changes:
                self.broadcast(fact)
        for callback in self.revision_callbacks:
            callback(peer, exchange.revision)
        return changes

    def _compare_digests(
        self,
        peer: _ids.DaemonId,
        request: messages.Exchange,
        answer: messages.Exchange,
    ) -> None:
        now = self._clock.monotonic()
        if answer.digest == self._fact_set.digest:
            self._in_sync_at = now
            self._sync_interval = MIN_SYNC_INTERVAL_SECONDS
            return
        is_spreading = (
            request.facts or answer.facts or self._fact_set.has_pending
        )
        # While changes are still spreading, digests differ temporarily.
        if is_spreading and now - self._in_sync_at < DIVERGENCE_GRACE_SECONDS:
            return
        if now >= self._next_sync_at:
            self._full_sync(peer, now)

    def _full_sync(self, peer: _ids.DaemonId, now: float) -> None:
        self._next_sync_at = now + self._sync_interval
        facts = self._fact_set.next_chunk(self._max_facts())
        request = self._build_exchange(facts, want_all=True)
        try:
            answer = self._links.call(
                peer, request, timeout=SYNC_TIMEOUT_SECONDS
            )
        except _errors.PeerUnreachable as error:
            _log.info("full sync with {} failed: {}", peer, error)
            return
        if not isinstance(answer, messages.Exchange):
            return
        changes = self._receive(peer, answer)
        if changes or answer.digest == self._fact_set.digest:
            self._sync_interval = MIN_SYNC_INTERVAL_SECONDS
            return
        # Some differences persist after a sync, for example those with a
        # daemon that uses another daemon's name. Without this back-off the
        # full sync would be repeated forever.
        self._sync_interval = min(
            self._sync_interval * 2, MAX_SYNC_INTERVAL_SECONDS
        )

    def _schedule_push(self) -> None:
        ready = self._running and self._outbox_by_subject
        if ready and not self._pushing:
            self._pushing = True
            gevent.spawn_later(PUSH_DELAY_SECONDS, self._push)

    def _push(self) -> None:
        self._pushing = False
        facts = list(self._outbox_by_subject.values())
        self._outbox_by_subject.clear()
        size = min(MAX_PUSH_FACTS, self._max_facts())
        chunks = [
            self._build_exchange(facts[start : start + size])
            for start in range(0, len(facts), size)
        ]
        pushed = 0
        for peer in _sample(self._candidates(), len(self._candidates())):
            if pushed == self._settings.fanout:
                return
            pushed += self._send_all(peer, chunks)

    def _send_all(
        self, peer: _ids.DaemonId, chunks: list[messages.Exchange]
    ) -> bool:
        try:
            for chunk in chunks:
                self._links.send(peer, chunk)
        except _errors.TopazlugError as error:
            _log.debug("push to {} failed: {}", peer, error)
            return False
        return True


def _sample(peers: Iterable[_ids.DaemonId], count: int) -> list[_ids.DaemonId]:
    pool = list(peers)
    return random.sample(pool, min(count, len(pool)))
