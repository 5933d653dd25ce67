"""Asks that wait at an owner for their turn."""

from collections.abc import Callable
from typing import final

import gevent

from topazlug import _clock
from topazlug import _ids
from topazlug._generated import messages
from topazlug.capacity import _slot_key
from topazlug.routing import _group_accounts
from topazlug.routing import _ledger
from topazlug.routing import _owner_answers
from topazlug.targets import _targets

SHORT_WAIT = 1.0
_LEAST_RETURN_SECONDS = 0.1


@final
class OwnerQueue:
    """Queues asks on the ledgers of an owner's replicas.

    Parameters
    ----------
    accounts : GroupAccounts
        Loads of groups.
    answers : OwnerAnswers
        Answers asks.
    targets : TargetDirectory
        Which replicas may get new work.
    weight_of : callable
        Gives a team's weight.
    clock : Clock
        Time.
    """

    def __init__(
        self,
        *,
        accounts: _group_accounts.GroupAccounts,
        answers: _owner_answers.OwnerAnswers,
        targets: _targets.TargetDirectory,
        weight_of: Callable[[_ids.TeamName], float],
        clock: _clock.Clock,
    ) -> None:
        self._accounts = accounts
        self._answers = answers
        self._targets = targets
        self._weight_of = weight_of
        self._clock = clock

    def enqueue(
        self,
        ledger: _ledger.ReplicaLedger,
        key: _slot_key.SlotKey,
        held: _ledger.Held,
        wait: float,
        reply: _owner_answers.Reply,
    ) -> None:
        """Let an ask wait for its turn, for so many seconds."""
        expected = ledger.expected_wait(batch=held.batch)
        waiting = _ledger.Waiting(
            key=key,
            held=held,
            deadline=self._clock.monotonic() + wait,
            grant=lambda: self._answers.give(
                reply, messages.Verdict.granted, load=ledger.load
            ),
            refuse=lambda verdict: self.refuse(
                ledger, expected, reply, verdict
            ),
        )
        ledger.enqueue(waiting, team_weight=self._weight_of(held.team))
        self.pump(ledger)
        if wait <= SHORT_WAIT and key in ledger.waiting_by_key:
            gevent.spawn(self._lapse, ledger, waiting, wait)

    def _lapse(
        self,
        ledger: _ledger.ReplicaLedger,
        waiting: _ledger.Waiting,
        wait: float,
    ) -> None:
        """Answer a short wait when it is over.

        The entry daemon goes on to the next replica; without an answer it
        would wait for the owner's timeout on top, and blame the owner.
        """
        self._clock.sleep(wait)
        if ledger.lapse(waiting):
            waiting.refuse(messages.Verdict.full)

    def refuse(
        self,
        ledger: _ledger.ReplicaLedger,
        expected: float,
        reply: _owner_answers.Reply,
        verdict: messages.Verdict = messages.Verdict.full,
    ) -> None:
        """Refuse an ask that would wait for so many seconds."""
        self._answers.give(
            reply,
            verdict,
            load=ledger.load,
            retry_after=max(expected, _LEAST_RETURN_SECONDS),
        )

    def pump(self, ledger: _ledger.ReplicaLedger) -> None:
        """Grant what waits and now fits."""
        if not ledger.waiting_by_key:
            return
        if not self._targets.is_in_service(ledger.replica):
            ledger.refuse_all(messages.Verdict.expired)
            return
        total = self._accounts.total(ledger.group)
        ledger.pump(
            limit=self._accounts.limit(ledger.group, total),
            now=self._clock.monotonic(),
            mean=total.mean,
        )
