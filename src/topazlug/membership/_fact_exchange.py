"""Heartbeats, pushes of news and full syncs between daemons' fact books.

In quiet times a heartbeat holds no facts: a digest and a revision, whatever
the size of the fleet.
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
EMPTY_BYTES = 256
PUSH_DELAY_SECONDS = 0.01
INTERVAL_JITTER = 0.1
OWN_DELAY_SECONDS = 0.2
LOST_RETRY_SECONDS = 3.0
SYNC_TIMEOUT_SECONDS = 2.0
SYNC_BASE_SECONDS = 2.0
SYNC_LIMIT_SECONDS = 60.0
SYNC_SERVE_SECONDS = 1.0
RESTLESS_SECONDS = 10.0

_log = logbook.Logger("topazlug.membership")


@final
class FactExchange:
    """Keeps one fact book in step with those of the peers.

    Parameters
    ----------
    settings : MembershipSettings
        Interval, fan-out and timeout.
    links : PeerLinks
        Streams to the peers.
    book : FactSet
        What is exchanged.
    clock : Clock
        Source of monotonic time.
    current_revision : callable
        Gives the configuration revision to tell.
    take : callable
        Takes a fact into the book; tells whether it was news.
    candidates : callable
        Gives the peers that count as alive.
    doubted : callable
        Called with a peer that gave no answer.
    lost_ids : callable
        Gives the peers that count as dead and might be back.

    Attributes
    ----------
    revision_callbacks : list of callable
        Called with each peer's name and revision as they are heard.
    """

    def __init__(
        self,
        *,
        settings: _settings.MembershipSettings,
        links: _peers.PeerLinks,
        book: _facts.FactSet,
        clock: _clock.Clock,
        current_revision: Callable[[], int],
        take: Callable[[messages.Fact], bool],
        candidates: Callable[[], set[_ids.DaemonId]],
        doubted: Callable[[_ids.DaemonId], None],
        lost_ids: Callable[[], list[_ids.DaemonId]],
    ) -> None:
        self.revision_callbacks: list[Callable[[_ids.DaemonId, int], None]] = (
            []
        )
        self._settings = settings
        self._links = links
        self._book = book
        self._clock = clock
        self._revision_of = current_revision
        self._take = take
        self._candidates = candidates
        self._doubted = doubted
        self._lost_ids = lost_ids
        self._round: list[_ids.DaemonId] = []
        self._asked_ids: set[_ids.DaemonId] = set()
        self._outbox_by_subject: dict[_facts.Subject, messages.Fact] = {}
        self._pushing = False
        self._running = False
        self._alike_at = clock.monotonic()
        self._sync_after = 0.0
        self._sync_wait = SYNC_BASE_SECONDS
        self._served_sync_at = -SYNC_SERVE_SECONDS
        self._greenlets: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Answer and ask from now on."""
        self._running = True
        self._links.handle(messages.Exchange, self._answer)
        self._greenlets = [
            _tasks.spawn(self._ask_forever, clock=self._clock),
            _tasks.spawn(self._retry_lost_forever, clock=self._clock),
        ]
        self._wake_pusher()

    def stop(self) -> None:
        """Ask no more."""
        self._running = False
        gevent.killall(self._greenlets, block=True)

    def spread(self, fact: messages.Fact) -> None:
        """Push a fact to some peers and repeat it in heartbeats."""
        fleet_size = len(self._candidates()) + 1
        self._book.freshen(fact, fleet_size=fleet_size)
        self._outbox_by_subject[_facts.subject_of(fact)] = fact
        self._wake_pusher()

    def remind(self, fact: messages.Fact) -> None:
        """Repeat a fact in the next heartbeats and answers."""
        fleet_size = len(self._candidates()) + 1
        self._book.freshen(fact, fleet_size=fleet_size)

    def _ask_forever(self) -> None:
        while True:
            for peer in self._next_peers():
                gevent.spawn(self._heartbeat, peer)
            self._sleep_about(self._settings.exchange_interval)

    def _retry_lost_forever(self) -> None:
        # Regions that lost each other take each other's daemons for dead.
        # Nobody would ask the dead, and the halves would stay apart after
        # the network is whole again.
        while True:
            self._sleep_about(LOST_RETRY_SECONDS)
            for peer in _some(self._lost_ids(), 1):
                self._heartbeat(peer)

    def _sleep_about(self, seconds: float) -> None:
        # In step, all daemons would ask in the same instants.
        jitter = random.uniform(1 - INTERVAL_JITTER, 1 + INTERVAL_JITTER)
        self._clock.sleep(seconds * jitter)

    def _next_peers(self) -> list[_ids.DaemonId]:
        fanout = self._settings.fanout
        candidates = self._candidates()
        if not candidates:
            return _some(self._lost_ids(), fanout)
        if len(candidates) <= fanout:
            return list(candidates)
        # A shuffled round asks each peer in bounded time; independent
        # draws would leave some unasked for long.
        chosen: list[_ids.DaemonId] = []
        while len(chosen) < fanout:
            if not self._round:
                self._round = _some(candidates, len(candidates))
            peer = self._round.pop()
            if peer in candidates and peer not in chosen:
                chosen.append(peer)
        return chosen

    def _heartbeat(self, peer: _ids.DaemonId) -> None:
        if peer in self._asked_ids:
            return
        self._asked_ids.add(peer)
        try:
            self._ask(peer)
        except _errors.PeerMessageInvalid as error:
            _log.error("heartbeat to {}: {}", peer, error)
        finally:
            self._asked_ids.discard(peer)

    def _ask(self, peer: _ids.DaemonId) -> None:
        timeout = self._settings.answer_timeout
        question = self._heartbeat_for(peer)
        asked_at = self._clock.monotonic()
        try:
            answer = self._links.call(peer, question, timeout=timeout)
        except _errors.PeerUnreachable as error:
            late = self._clock.monotonic() - asked_at - timeout
            # A timeout that fires late shows that we ourselves were
            # paused, or too busy to read an answer that lay there.
            if late < OWN_DELAY_SECONDS:
                _log.debug("no answer of {}: {}", peer, error)
                self._doubted(peer)
            return
        if isinstance(answer, messages.Exchange):
            self._hear(peer, answer)
            self._compare(peer, question, answer)

    def _heartbeat_for(self, peer: _ids.DaemonId) -> messages.Exchange:
        limit = min(MAX_HEARTBEAT_FACTS, self._fact_limit())
        facts = self._book.take_fresh(limit)
        held = self._book.get(messages.FactKind.daemon, peer)
        if held is not None and held.state is not messages.FactState.live:
            # It can only refute what it hears.
            facts.append(held)
        return self._exchange_of(facts)

    def _exchange_of(
        self, facts: list[messages.Fact], *, want_all: bool = False
    ) -> messages.Exchange:
        return messages.Exchange(
            facts=facts,
            digest=self._book.digest,
            revision=self._revision_of(),
            want_all=want_all,
        )

    def _fact_limit(self) -> int:
        room = self._links.max_frame_bytes - EMPTY_BYTES
        return min(MAX_SYNC_FACTS, max(room // FACT_BYTES, 1))

    def _answer(
        self,
        peer: _ids.DaemonId,
        message: msgspec.Struct,
        reply: _peers.Reply,
    ) -> None:
        assert isinstance(message, messages.Exchange)
        self._hear(peer, message)
        if reply is _peers.ignore_reply:
            return
        if message.want_all and self._may_serve_sync():
            facts = self._book.next_chunk(self._fact_limit())
            reply(self._exchange_of(facts))
            return
        reply(self._heartbeat_for(peer))

    def _may_serve_sync(self) -> bool:
        # One daemon that differs from all others is asked by all of them
        # for its whole book; this keeps the cost to it bounded.
        now = self._clock.monotonic()
        if now - self._served_sync_at < SYNC_SERVE_SECONDS:
            return False
        self._served_sync_at = now
        return True

    def _hear(
        self, peer: _ids.DaemonId, exchange: messages.Exchange
    ) -> list[messages.Fact]:
        news = [fact for fact in exchange.facts if self._take(fact)]
        # More news than one push holds is a book that was new to us, not
        # news to the fleet: passed on, it would cost its size again for
        # each daemon that joins.
        if len(news) <= MAX_PUSH_FACTS:
            for fact in news:
                self.spread(fact)
        for callback in self.revision_callbacks:
            callback(peer, exchange.revision)
        return news

    def _compare(
        self,
        peer: _ids.DaemonId,
        question: messages.Exchange,
        answer: messages.Exchange,
    ) -> None:
        now = self._clock.monotonic()
        if answer.digest == self._book.digest:
            self._alike_at = now
            self._sync_wait = SYNC_BASE_SECONDS
            return
        fresh = question.facts or answer.facts or self._book.has_fresh
        # While news is on its way, books differ and will soon be alike.
        if fresh and now - self._alike_at < RESTLESS_SECONDS:
            return
        if now >= self._sync_after:
            self._sync(peer, now)

    def _sync(self, peer: _ids.DaemonId, now: float) -> None:
        self._sync_after = now + self._sync_wait
        facts = self._book.next_chunk(self._fact_limit())
        question = self._exchange_of(facts, want_all=True)
        try:
            answer = self._links.call(
                peer, question, timeout=SYNC_TIMEOUT_SECONDS
            )
        except _errors.PeerUnreachable as error:
            _log.info("no sync with {}: {}", peer, error)
            return
        if not isinstance(answer, messages.Exchange):
            return
        news = self._hear(peer, answer)
        if news or answer.digest == self._book.digest:
            self._sync_wait = SYNC_BASE_SECONDS
            return
        # A sync that mends nothing, such as with a daemon that goes by
        # another's name, would be repeated for good at full size.
        self._sync_wait = min(self._sync_wait * 2, SYNC_LIMIT_SECONDS)

    def _wake_pusher(self) -> None:
        ready = self._running and self._outbox_by_subject
        if ready and not self._pushing:
            self._pushing = True
            gevent.spawn_later(PUSH_DELAY_SECONDS, self._push)

    def _push(self) -> None:
        self._pushing = False
        facts = list(self._outbox_by_subject.values())
        self._outbox_by_subject.clear()
        size = min(MAX_PUSH_FACTS, self._fact_limit())
        chunks = [
            self._exchange_of(facts[start : start + size])
            for start in range(0, len(facts), size)
        ]
        pushed = 0
        for peer in _some(self._candidates(), len(self._candidates())):
            if pushed == self._settings.fanout:
                return
            pushed += self._sent_all(peer, chunks)

    def _sent_all(
        self, peer: _ids.DaemonId, chunks: list[messages.Exchange]
    ) -> bool:
        try:
            for chunk in chunks:
                self._links.send(peer, chunk)
        except _errors.TopazlugError as error:
            _log.debug("news not pushed to {}: {}", peer, error)
            return False
        return True


def _some(peers: Iterable[_ids.DaemonId], count: int) -> list[_ids.DaemonId]:
    pool = list(peers)
    return random.sample(pool, min(count, len(pool)))
