"""The owner's decision on where a prompt is read."""

from typing import final

from topazlug import _clock
from topazlug import _ids
from topazlug import _logs
from topazlug._generated import messages
from topazlug.capacity import _context_reads
from topazlug.capacity import _prompt_reads
from topazlug.capacity import _slot_key
from topazlug.routing import _ledger
from topazlug.routing import _owner_features
from topazlug.routing import _owner_replies

_log = _logs.logger("owner")
# Cost of copying a context from another replica, as a fraction of the cost of
# reading it.
_COPY_COST = 0.1
# Each check costs a message each way; at this interval a read that waits for
# a late list makes six of them.
_LIST_RETRY_SECONDS = 0.05


@final
class ReadAdmission:
    """Sends reads that would stall streams to other replicas.

    Parameters
    ----------
    replies : OwnerReplies
        Sends replies.
    features : OwnerFeatures
        Optional decisions that are switched on.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        *,
        replies: _owner_replies.OwnerReplies,
        features: _owner_features.OwnerFeatures,
        clock: _clock.Clock,
    ) -> None:
        self._replies = replies
        self._features = features
        self._clock = clock

    def holds(
        self, ledger: _ledger.ReplicaLedger, ask: messages.AdmitAsk
    ) -> bool:
        """Return whether a replica is known to hold a request's context.

        Only where the entry daemon may place the request there over the
        bound: elsewhere replies stay as they were.
        """
        features = self._features
        if not features.context_recovery or (
            not features.is_capacity_short and not ledger.speed.is_reported
        ):
            return False
        state = ledger.context_reads.state(
            _ids.ChatHash(ask.chat), now=self._clock.monotonic()
        )
        return (
            ask.shared >= _context_reads.MIN_SHARED_TOKENS
            and state is _context_reads.ReadState.KNOWN
        )

    def delay(
        self,
        ledger: _ledger.ReplicaLedger,
        ask: messages.AdmitAsk,
        state: _context_reads.ReadState,
        reply: _owner_replies.Reply,
    ) -> bool:
        """Reply to a first read that waits for the replica's contexts.

        Granted now, it would read a prompt that the replica, or the one that
        the chat was displaced to, may turn out to hold.

        Parameters
        ----------
        ledger : ReplicaLedger
            Ledger of the requested replica.
        ask : AdmitAsk
            Admission request that would be granted otherwise.
        state : ReadState
            State of its context on the replica.
        reply : callable
            Called with the reply, if any.

        Returns
        -------
        bool
            Whether a reply was sent.
        """
        now = self._clock.monotonic()
        if not (
            ask.may_wait
            and state is _context_reads.ReadState.FIRST
            and ledger.context_recovery.delays_reads(now=now)
        ):
            return False
        self._replies.send(
            reply,
            messages.Verdict.reading,
            load=ledger.load,
            retry_after=_LIST_RETRY_SECONDS,
        )
        return True

    def redirect(
        self,
        ledger: _ledger.ReplicaLedger,
        ask: messages.AdmitAsk,
        state: _context_reads.ReadState,
        reply: _owner_replies.Reply,
    ) -> bool:
        """Reply to a request whose prompt should be read elsewhere.

        Parameters
        ----------
        ledger : ReplicaLedger
            Ledger of the requested replica.
        ask : AdmitAsk
            Admission request that would be granted otherwise.
        state : ReadState
            State of its context on the replica.
        reply : callable
            Called with the reply, if any.

        Returns
        -------
        bool
            Whether a reply was sent.
        """
        if not self._may_redirect(ledger, ask, state):
            return False
        now = self._clock.monotonic()
        chat = _ids.ChatHash(ask.chat)
        is_searching = ledger.prompt_reads.is_searching(chat, now=now)
        if is_searching and ask.home and ask.may_wait:
            # Repeated here, the request learns where the chat was displaced.
            self._replies.send(
                reply,
                messages.Verdict.reading,
                load=ledger.load,
                retry_after=_prompt_reads.SEARCH_RETRY_SECONDS,
            )
            return True
        impact = self._impact(ledger, ask, state)
        if impact.is_harmless and not is_searching:
            return False
        if not is_searching:
            ledger.prompt_reads.begin_search(chat, now=now)
        _log.info(
            "read at {replica} would stall {streams} streams for {seconds} s",
            replica=ledger.replica,
            streams=impact.streams,
            seconds=round(impact.duration, 3),
            wait=round(impact.wait, 3),
            stall=round(impact.stall, 3),
            tokens=_unread_tokens(ask, state),
            tokens_per_second=round(ledger.prompt_reads.rate),
            slowness=round(ledger.speed.current(now=now), 2),
            max_pause=_shortest_pause(ledger, ask),
            objective=ask.objective,
            home=ask.home,
        )
        self._replies.send(
            reply,
            messages.Verdict.stalls,
            load=ledger.load,
            stall=impact.stall,
        )
        return True

    def _may_redirect(
        self,
        ledger: _ledger.ReplicaLedger,
        ask: messages.AdmitAsk,
        state: _context_reads.ReadState,
    ) -> bool:
        """Return whether the read may be sent elsewhere.

        A new owner does not know yet which contexts its replicas hold. If it
        sent requests elsewhere meanwhile, prompts would be read again.
        """
        now = self._clock.monotonic()
        return (
            self._is_active(ledger, ask)
            and state is _context_reads.ReadState.FIRST
            and ask.rank != _ledger.UNRANKED
            and not ask.accept_stall
            and now >= ledger.uncertain_until
            and ledger.context_recovery.may_redirect(now=now)
        )

    def _is_active(
        self, ledger: _ledger.ReplicaLedger, ask: messages.AdmitAsk
    ) -> bool:
        return (
            self._features.prompt_reads
            and ask.tokens > 0
            and ledger.speed.is_reported
        )

    def _impact(
        self,
        ledger: _ledger.ReplicaLedger,
        ask: messages.AdmitAsk,
        state: _context_reads.ReadState,
    ) -> _prompt_reads.ReadImpact:
        now = self._clock.monotonic()
        return ledger.prompt_reads.impact(
            _unread_tokens(ask, state),
            slowness=ledger.speed.current(now=now),
            streams=len(ledger.entry_by_key),
            max_pause=_shortest_pause(ledger, ask),
            objective=ask.objective,
            now=now,
        )

    def record_granted(
        self,
        ledger: _ledger.ReplicaLedger,
        key: _slot_key.SlotKey,
        ask: messages.AdmitAsk,
        state: _context_reads.ReadState,
    ) -> None:
        """Record the read of a request that was granted."""
        if not self._is_active(ledger, ask):
            return
        now = self._clock.monotonic()
        ledger.prompt_reads.record_granted(
            key,
            _unread_tokens(ask, state),
            slowness=ledger.speed.current(now=now),
            now=now,
        )


def _unread_tokens(
    ask: messages.AdmitAsk, state: _context_reads.ReadState
) -> float:
    """Return the tokens that the replica must read, a copy included."""
    if state is _context_reads.ReadState.KNOWN:
        return max(0, ask.tokens - ask.shared)
    return max(0.0, ask.tokens - (1 - _COPY_COST) * ask.held)


def _shortest_pause(
    ledger: _ledger.ReplicaLedger, ask: messages.AdmitAsk
) -> float:
    """Return the shortest pause that streams on a replica may have.

    That of the request itself if none is known: after a change of owners,
    entries come from renewals, which do not name it.
    """
    pauses = [entry.max_pause for entry in ledger.entry_by_key.values()]
    return min((pause for pause in pauses if pause > 0), default=ask.max_pause)
