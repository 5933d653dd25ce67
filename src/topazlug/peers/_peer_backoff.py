"""Waits between attempts to reach a peer that can't be reached."""

import random
from typing import final

from topazlug import _clock
from topazlug import _errors
from topazlug import _ids

BASE_SECONDS = 0.05
LIMIT_SECONDS = 2.0
KEPT_SECONDS = 60.0
MAX_KEPT = 4096


@final
class _Wait:
    def __init__(self) -> None:
        self.failures = 0
        self.until = 0.0


@final
class Backoff:
    """Remembers which peers failed, and until when they are left alone.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, *, clock: _clock.Clock) -> None:
        self._clock = clock
        self._wait_by_id: dict[_ids.DaemonId, _Wait] = {}

    def check(self, peer: _ids.DaemonId) -> None:
        """Let an attempt pass, or fail it at once.

        Raises
        ------
        PeerUnreachable
            If the peer is left alone for now.
        """
        wait = self._wait_by_id.get(peer)
        if wait is not None and self._clock.monotonic() < wait.until:
            raise _errors.PeerUnreachable(
                f"{peer!r} failed {wait.failures} times; retried within "
                f"{LIMIT_SECONDS} s"
            )

    def succeeded(self, peer: _ids.DaemonId) -> None:
        """Forget the failures of a peer."""
        self._wait_by_id.pop(peer, None)

    def failed(self, peer: _ids.DaemonId) -> None:
        """Leave a peer alone, longer with each failure in a row."""
        now = self._clock.monotonic()
        if len(self._wait_by_id) >= MAX_KEPT:
            self._forget_before(now - KEPT_SECONDS)
        wait = self._wait_by_id.setdefault(peer, _Wait())
        longest = BASE_SECONDS * 2.0 ** min(wait.failures, 16)
        longest = min(longest, LIMIT_SECONDS)
        # Without jitter, all daemons dial a peer that comes back in the
        # same instant, and fill its backlog again and again.
        wait.until = now + longest * random.uniform(0.5, 1.0)
        wait.failures += 1

    def _forget_before(self, until: float) -> None:
        self._wait_by_id = {
            peer: wait
            for peer, wait in self._wait_by_id.items()
            if wait.until > until
        }
