"""The owner's decision on one ask: a place now, or why not and when.

Nothing in here yields, reads or waits on a connection: each ask is judged
against an exact count.
"""

from typing import final

from topazlug import _clock
from topazlug import _ids
from topazlug import _logs
from topazlug._generated import messages
from topazlug.capacity import _context_reads
from topazlug.capacity import _place_key
from topazlug.capacity import _start_room
from topazlug.routing import _group_accounts
from topazlug.routing import _ledger
from topazlug.routing import _owner_answers
from topazlug.routing import _owner_queue
from topazlug.targets import _targets

_log = _logs.logger("owner")


@final
class OwnerJudge:
    """Judges asks against the ledgers of an owner's replicas.

    Parameters
    ----------
    accounts : GroupAccounts
        Loads of groups.
    answers : OwnerAnswers
        Answers asks.
    queue : OwnerQueue
        Takes those that may wait.
    targets : TargetDirectory
        Which replicas there are, and which are cold.
    start : StartRoom
        What holds while this owner has just started.
    clock : Clock
        Time.
    """

    def __init__(
        self,
        *,
        accounts: _group_accounts.GroupAccounts,
        answers: _owner_answers.OwnerAnswers,
        queue: _owner_queue.OwnerQueue,
        targets: _targets.TargetDirectory,
        start: _start_room.StartRoom,
        clock: _clock.Clock,
    ) -> None:
        self._accounts = accounts
        self._answers = answers
        self._queue = queue
        self._targets = targets
        self._start = start
        self._clock = clock

    def judge(
        self,
        sender: _ids.DaemonId,
        ask: messages.AdmitAsk,
        ledger: _ledger.ReplicaLedger,
        reply: _owner_answers.Reply,
    ) -> None:
        """Grant an ask, let it wait, or turn it away.

        Parameters
        ----------
        sender : DaemonId
            The entry daemon.
        ask : AdmitAsk
            What it asks.
        ledger : ReplicaLedger
            What the replica carries.
        reply : callable
            Called once with the verdict, now or later.
        """
        if self._is_in_backoff(ledger, reply):
            return
        if not self._is_too_cold(ask, ledger, reply):
            self._judge(sender, ask, ledger, reply)

    def _is_in_backoff(
        self, ledger: _ledger.ReplicaLedger, reply: _owner_answers.Reply
    ) -> bool:
        """Turn an ask away while its replica wants no request of anybody."""
        left = ledger.backoff.left(now=self._clock.monotonic())
        if left <= 0:
            return False
        _log.info(
            "no room at {replica}: it has asked daemons for a backoff",
            replica=ledger.replica,
            retry_after=round(left, 3),
        )
        self._answers.give(
            reply,
            messages.Verdict.full,
            load=ledger.load,
            retry_after=left,
            backoff=left,
        )
        return True

    def _is_too_cold(
        self,
        ask: messages.AdmitAsk,
        ledger: _ledger.ReplicaLedger,
        reply: _owner_answers.Reply,
    ) -> bool:
        """Turn an ask away while its replica has just started.

        A replica whose chats all return to it in its first second crashes,
        and the next one gets them.
        """
        target = self._targets.target_by_replica[ledger.replica]
        if ask.cold and not self._targets.cold.is_cold(target):
            self._targets.cold.presume_cold([target])
        max_request_rate = self._tolerated(ledger)
        if max_request_rate is None:
            return False
        if ledger.cold.has_room(max_request_rate, now=self._clock.monotonic()):
            return False
        wait = ledger.cold.wait(max_request_rate)
        _log.info(
            "no room at {replica}: it has just started",
            replica=ledger.replica,
            tolerated=max_request_rate,
            retry_after=round(wait, 3),
        )
        self._answers.give(
            reply,
            messages.Verdict.full,
            load=ledger.load,
            retry_after=wait,
            cold=True,
        )
        return True

    def _tolerated(self, ledger: _ledger.ReplicaLedger) -> float | None:
        target = self._targets.target_by_replica[ledger.replica]
        return self._targets.cold.max_request_rate(target)

    def _judge(
        self,
        sender: _ids.DaemonId,
        ask: messages.AdmitAsk,
        ledger: _ledger.ReplicaLedger,
        reply: _owner_answers.Reply,
    ) -> None:
        key = _place_key.PlaceKey(sender, _ids.AskNumber(ask.ask))
        held = _ledger.Held(
            weight=ask.weight,
            team=_ids.TeamName(ask.team),
            batch=ask.batch,
            chat=_ids.ChatHash(ask.chat),
            rank=ask.rank,
        )
        total = self._accounts.total(ledger.group)
        if ask.total > total.load:
            total = total._replace(load=ask.total)
        limit = max(
            self._accounts.limit(ledger.group, total),
            self._start.limit(ledger.slots, now=self._clock.monotonic()),
        )
        judgement = ledger.judge(
            weight=ask.weight,
            batch=ask.batch,
            limit=limit,
            now=self._clock.monotonic(),
            mean=total.mean,
        )
        if judgement is _ledger.Judgement.OVER_BOUND:
            judgement = self._judge_return(ledger, held, judgement)
        if ask.rank != _ledger.UNRANKED:
            if not self._has_room(ledger, ask):
                self._turn_away(ledger, ask, reply)
                return
            if judgement is _ledger.Judgement.FULL:
                judgement = _ledger.Judgement.FREE
        ahead = ledger.has_ahead(batch=ask.batch)
        if judgement is _ledger.Judgement.FREE and not ahead:
            self._grant(ledger, key, held, ask, reply)
            return
        if ask.wait <= 0:
            _log.info(
                "no room at {replica} for {daemon}: load {load}, "
                "limit {limit}",
                replica=ledger.replica,
                daemon=sender,
                load=ledger.load,
                limit=limit,
                mean=round(total.mean, 2),
                home=ask.home,
                places_of_chat=ledger.places_of(held.chat),
                judgement=judgement.name.lower(),
            )
            verdict = messages.Verdict.full
            if judgement is _ledger.Judgement.OVER_BOUND:
                verdict = messages.Verdict.over_bound
            is_cold = self._tolerated(ledger) is not None
            self._answers.give(reply, verdict, load=ledger.load, cold=is_cold)
            return
        # What waits for the bound does not wait for a release: the bound
        # rises with the group's load.
        is_full = judgement is _ledger.Judgement.FULL
        expected = ledger.expected_wait(batch=held.batch)
        if expected > ask.wait and (
            is_full or ask.wait <= _owner_queue.SHORT_WAIT
        ):
            self._queue.refuse(ledger, expected, reply)
            return
        self._queue.enqueue(ledger, key, held, ask.wait, reply)

    def _has_room(
        self, ledger: _ledger.ReplicaLedger, ask: messages.AdmitAsk
    ) -> bool:
        now = self._clock.monotonic()
        ledger.room.note_asked(ask.rank, now=now)
        load = ledger.seen_load()
        is_due = ledger.returns.is_due(ask.request, now=now)
        kept = ledger.returns.kept(ask.rank, now=now, is_due=is_due)
        return ledger.room.has_room(
            ask.rank, load=load, promised=kept, is_due=is_due, now=now
        )

    def _turn_away(
        self,
        ledger: _ledger.ReplicaLedger,
        ask: messages.AdmitAsk,
        reply: _owner_answers.Reply,
    ) -> None:
        after = ledger.returns.after(
            ask.rank,
            interval=ledger.release_interval,
            longest=ask.longest,
            now=self._clock.monotonic(),
        )
        _log.info(
            "no room at {replica} for rank {rank}: load {load}, "
            "limit {limit}",
            replica=ledger.replica,
            rank=ask.rank,
            load=ledger.load,
            limit=ledger.room.limit,
            home=ask.home,
            retry_after=round(after, 3),
        )
        self._answers.give(
            reply,
            messages.Verdict.full,
            load=ledger.load,
            retry_after=after,
        )

    def _grant(
        self,
        ledger: _ledger.ReplicaLedger,
        key: _place_key.PlaceKey,
        held: _ledger.Held,
        ask: messages.AdmitAsk,
        reply: _owner_answers.Reply,
    ) -> None:
        """Count a place, unless its context is being read there just now."""
        now = self._clock.monotonic()
        turn = _context_reads.Turn.KNOWN
        if ask.shared >= _context_reads.LEAST_SHARED_TOKENS:
            turn = ledger.reads.turn(held.chat, now=now)
        if turn is _context_reads.Turn.WAIT and ask.may_wait:
            self._answers.give(
                reply,
                messages.Verdict.reading,
                load=ledger.load,
                retry_after=ledger.reads.wait(held.chat, now=now),
            )
            return
        ledger.let_in(key, held)
        if self._tolerated(ledger) is not None:
            ledger.cold.note_sent()
        ledger.returns.forget(ask.request)
        first = turn is _context_reads.Turn.FIRST
        if first:
            ledger.reads.begin(held.chat, key, now=now)
        else:
            ledger.reads.note_use(held.chat, now=now)
        self._answers.give(
            reply, messages.Verdict.granted, load=ledger.load, reads=first
        )

    def _judge_return(
        self,
        ledger: _ledger.ReplicaLedger,
        held: _ledger.Held,
        judgement: _ledger.Judgement,
    ) -> _ledger.Judgement:
        """Let a chat back in whose last turn is still counted.

        A chat that returns at once through another daemon overtakes the
        release of its last turn. At low load that turn alone fills the
        bound; the chat would be sent away from its own context. Its old
        place is about to go, so it takes that one's room. That holds at
        its home, at a displaced chat's seat, and at the next of its rank
        while its home comes and goes.
        """
        if ledger.load < ledger.slots and ledger.holds_chat(held.chat):
            return _ledger.Judgement.FREE
        return judgement
