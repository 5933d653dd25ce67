"""Whether a new owner knows the contexts that its replica holds.

Load pattern: owners are lost, one or all at once, while the replicas keep
running and hold the contexts. The chats return within the same seconds. A new
owner that does not know which contexts its replica holds, nor which chats were
displaced from it, has all of them read again.

The replica's answer costs it as much as a health check, so it is asked once
for each new owner, with a few attempts.
"""

import enum
import math
from typing import final

import msgspec

from topazlug import _ids

MAX_ATTEMPTS = 3
ATTEMPT_TIMEOUT_SECONDS = 0.5
ATTEMPT_INTERVAL_SECONDS = 1.0
# How long a first read waits for the list. Reading a prompt takes 0.06 to
# 0.22 s on an idle engine, so a longer wait costs more than it saves.
_MAX_READ_DELAY_SECONDS = 0.3
# Contexts expire within 30 s. Those that are in use have been learnt from
# reads by then.
_WITHOUT_LIST_SECONDS = 30.0


@final
class HeldContext(msgspec.Struct, frozen=True):
    """A context that a replica reports to hold.

    Attributes
    ----------
    chat : ChatHash
        Hash under which requests name the context.
    tokens : int
        Number of its tokens that the replica holds.
    """

    chat: _ids.ChatHash
    tokens: int


class RecoveryState(enum.Enum):
    """State of the recovery of one replica's contexts.

    NOT_NEEDED: the replica held nothing when the ledger was opened. NEEDED:
    the list has not been requested. AWAITED: it has been requested. DONE: it
    has arrived. GIVEN_UP: all attempts have failed.
    """

    NOT_NEEDED = "not-needed"
    NEEDED = "needed"
    AWAITED = "awaited"
    DONE = "done"
    GIVEN_UP = "given-up"


@final
class ContextRecovery:
    """Recovery of the contexts of one replica under one owner.

    Parameters
    ----------
    is_needed : bool
        Whether the replica may hold contexts that the owner does not know.
    opened_at : float
        Monotonic seconds at which the ledger was opened.

    Attributes
    ----------
    state : RecoveryState
        Its state.
    """

    def __init__(
        self, *, is_needed: bool = False, opened_at: float = 0.0
    ) -> None:
        states = RecoveryState
        self.state = states.NEEDED if is_needed else states.NOT_NEEDED
        self._opened_at = opened_at
        self._attempts = 0
        self._is_attempt_awaited = False
        self._next_attempt_at = -math.inf
        self._delays_reads_until = -math.inf

    def request(self, *, now: float) -> bool:
        """Request the list, unless that is not needed or was done before.

        Returns
        -------
        bool
            Whether the attempts begin now.
        """
        if self.state is not RecoveryState.NEEDED:
            return False
        self.state = RecoveryState.AWAITED
        self._is_attempt_awaited = True
        self._next_attempt_at = now
        self._delays_reads_until = now + _MAX_READ_DELAY_SECONDS
        return True

    def wait(self, *, now: float) -> float:
        """Return the seconds until the next attempt is due."""
        return max(0.0, self._next_attempt_at - now)

    def begin_attempt(self, *, now: float) -> None:
        """Record that the replica is asked."""
        self._attempts += 1
        self._is_attempt_awaited = True
        self._next_attempt_at = now + ATTEMPT_INTERVAL_SECONDS

    def record_failure(self) -> None:
        """Record that an attempt failed; give up after the last one."""
        self._is_attempt_awaited = False
        if self._attempts >= MAX_ATTEMPTS:
            self.state = RecoveryState.GIVEN_UP

    def record_list(self) -> None:
        """Record that the list has arrived."""
        self._is_attempt_awaited = False
        self.state = RecoveryState.DONE

    @property
    def is_open(self) -> bool:
        """Return whether the list may still arrive."""
        return self.state in (RecoveryState.NEEDED, RecoveryState.AWAITED)

    def delays_reads(self, *, now: float) -> bool:
        """Return whether first reads wait, as the list may arrive any moment.

        Between two attempts nothing can arrive, so nothing waits.
        """
        return (
            self.state is RecoveryState.AWAITED
            and self._is_attempt_awaited
            and now < self._delays_reads_until
        )

    def may_redirect(self, *, now: float) -> bool:
        """Return whether reads may be sent to other replicas.

        Otherwise a prompt that this replica holds would be read again
        elsewhere. Without a list, reads may move once those before it have
        shown the contexts that are in use.
        """
        if self.state in (RecoveryState.NOT_NEEDED, RecoveryState.DONE):
            return True
        return now >= self._opened_at + _WITHOUT_LIST_SECONDS
