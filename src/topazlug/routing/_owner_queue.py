"""Queues of admission requests at an owner."""

from collections.abc import Callable
from typing import final

import gevent

from topazlug import _clock
from topazlug import _ids
from topazlug._generated import messages
from topazlug.capacity import _slot_key
from topazlug.routing import _group_limits
from topazlug.routing import _ledger
from topazlug.routing import _owner_replies
from topazlug.targets import _targets

# Requests that may wait at most this long get a reply when their wait is over.
# Longer waits end at the caller's deadline.
SHORT_WAIT_SECONDS = 1.0
_MIN_RETRY_AFTER_SECONDS = 0.1


@final
class OwnerQueue:
    """Queues admission requests on the ledgers of an owner's replicas.

    Parameters
    ----------
    group_limits : GroupLimits
        Loads and limits of groups.
    replies : OwnerReplies
        Sends replies.
    targets : TargetDirectory
        Replicas and their health.
    weight_of : callable
        Returns a team's weight.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        *,
        group_limits: _group_limits.GroupLimits,
        replies: _owner_replies.OwnerReplies,
        targets: _targets.TargetDirectory,
        weight_of: Callable[[_ids.TeamName], float],
        clock: _clock.Clock,
    ) -> None:
        self._group_limits = group_limits
        self._replies = replies
        self._targets = targets
        self._weight_of = weight_of
        self._clock = clock

    def enqueue(
        self,
        ledger: _ledger.ReplicaLedger,
        key: _slot_key.SlotKey,
        entry: _ledger.LedgerEntry,
        wait: float,
        reply: _owner_replies.Reply,
    ) -> None:
        """Queue a request for at most the given seconds."""
        expected = ledger.expected_wait(batch=entry.batch)
        queued = _ledger.QueuedRequest(
            key=key,
            entry=entry,
            deadline=self._clock.monotonic() + wait,
            grant=lambda: self._replies.send(
                reply, messages.Verdict.granted, load=ledger.load
            ),
            reject=lambda verdict: self.reject(
                ledger, expected, reply, verdict
            ),
        )
        ledger.enqueue(queued, team_weight=self._weight_of(entry.team))
        self.grant_queued(ledger)
        if wait <= SHORT_WAIT_SECONDS and key in ledger.queued_by_key:
            gevent.spawn(self._expire, ledger, queued, wait)

    def _expire(
        self,
        ledger: _ledger.ReplicaLedger,
        queued: _ledger.QueuedRequest,
        wait: float,
    ) -> None:
        """Reject a request when its short wait is over.

        The entry daemon then tries the next replica. Without a reply it
        would also wait for the owner timeout, and count it as a timeout of
        this owner.
        """
        self._clock.sleep(wait)
        if ledger.remove_queued(queued):
            queued.reject(messages.Verdict.full)

    def reject(
        self,
        ledger: _ledger.ReplicaLedger,
        expected: float,
        reply: _owner_replies.Reply,
        verdict: messages.Verdict = messages.Verdict.full,
    ) -> None:
        """Reject a request; the expected wait becomes its retry delay."""
        self._replies.send(
            reply,
            verdict,
            load=ledger.load,
            retry_after=max(expected, _MIN_RETRY_AFTER_SECONDS),
        )

    def grant_queued(self, ledger: _ledger.ReplicaLedger) -> None:
        """Grant the queued requests of a replica that fit now."""
        if not ledger.queued_by_key:
            return
        if not self._targets.is_in_service(ledger.replica):
            ledger.reject_all(messages.Verdict.expired)
            return
        total = self._group_limits.total(ledger.group)
        ledger.grant_queued(
            limit=self._group_limits.limit_of(ledger, total),
            now=self._clock.monotonic(),
            mean=total.mean,
        )
