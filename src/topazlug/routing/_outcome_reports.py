"""An entry daemon's reports of outcomes that no owner counts.

A request that an owner has admitted is counted with its release. Others were
placed by the daemon's own view, and their outcomes are collected here.
"""

from collections.abc import Callable
import math
from typing import final

import msgspec

from topazlug import _clock
from topazlug import _ids
from topazlug._generated import messages
from topazlug.targets import _targets

# Failures are sent soon. One daemon sends a replica few requests, so this
# limit matters only while it fails many at once.
_FAILURE_SECONDS = 0.1
# Successes lower the fraction of failures only, in a window of 2 s.
_SUCCESS_SECONDS = 1.0
SEND_SECONDS = 0.1


class _Pending(msgspec.Struct):
    incarnation: int
    failed: int = 0
    ended: int = 0
    sent_at: float = -math.inf


@final
class OutcomeReports:
    """Collects outcomes by replica, and sends them when they are due.

    Parameters
    ----------
    send : callable
        Sends a message to the owner of a replica.
    clock : Clock
        Time.
    """

    def __init__(
        self,
        *,
        send: Callable[[messages.Outcomes], None],
        clock: _clock.Clock,
    ) -> None:
        self._send = send
        self._clock = clock
        self._pending: dict[_ids.ReplicaId, _Pending] = {}

    def record(self, target: _targets.Target, *, failed: bool) -> None:
        """Record the outcome of one request."""
        pending = self._pending.get(target.replica)
        if pending is None or pending.incarnation != target.incarnation:
            # If successes were always late, a replica that fails some of its
            # requests would seem to fail most of them.
            pending = _Pending(incarnation=target.incarnation)
            self._pending[target.replica] = pending
        pending.failed += failed
        pending.ended += 1
        self._send_if_due(target.replica, pending)

    def send_due(self) -> None:
        """Send what is due, and forget what was sent long ago."""
        for replica, pending in list(self._pending.items()):
            if pending.ended:
                self._send_if_due(replica, pending)
            elif self._clock.monotonic() - pending.sent_at > _SUCCESS_SECONDS:
                del self._pending[replica]

    def _send_if_due(self, replica: _ids.ReplicaId, pending: _Pending) -> None:
        now = self._clock.monotonic()
        interval = _FAILURE_SECONDS if pending.failed else _SUCCESS_SECONDS
        if now - pending.sent_at < interval:
            return
        message = messages.Outcomes(
            replica=replica,
            incarnation=pending.incarnation,
            failed=pending.failed,
            ended=pending.ended,
        )
        pending.failed = 0
        pending.ended = 0
        pending.sent_at = now
        self._send(message)
