"""Backoff between attempts to connect to an unreachable peer."""

import random
from typing import final

from topazlug import _clock
from topazlug import _errors
from topazlug import _ids

BASE_SECONDS = 0.05
MAX_SECONDS = 2.0
RETENTION_SECONDS = 60.0
MAX_ENTRIES = 4096


@final
class _PeerBackoff:
    def __init__(self) -> None:
        self.failures = 0
        self.until = 0.0


@final
class Backoff:
    """Tracks failed connection attempts and the backoff of each peer.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, *, clock: _clock.Clock) -> None:
        self._clock = clock
        self._backoff_by_id: dict[_ids.DaemonId, _PeerBackoff] = {}

    def check(self, peer: _ids.DaemonId) -> None:
        """Raise an error while a peer is in backoff.

        Raises
        ------
        PeerUnreachable
            If the peer is in backoff.
        """
        entry = self._backoff_by_id.get(peer)
        if entry is not None and self._clock.monotonic() < entry.until:
            raise _errors.PeerUnreachable(
                f"{peer!r} was unreachable {entry.failures} times; retried "
                f"within {MAX_SECONDS} s"
            )

    def record_success(self, peer: _ids.DaemonId) -> None:
        """End the backoff of a peer."""
        self._backoff_by_id.pop(peer, None)

    def record_failure(self, peer: _ids.DaemonId) -> None:
        """Start a backoff that grows with each consecutive failure."""
        now = self._clock.monotonic()
        if len(self._backoff_by_id) >= MAX_ENTRIES:
            self._evict_before(now - RETENTION_SECONDS)
        entry = self._backoff_by_id.setdefault(peer, _PeerBackoff())
        max_delay = BASE_SECONDS * 2.0 ** min(entry.failures, 16)
        max_delay = min(max_delay, MAX_SECONDS)
        # Without jitter, all daemons would dial a restarted peer at the same
        # moment and fill its backlog again and again.
        entry.until = now + max_delay * random.uniform(0.5, 1.0)
        entry.failures += 1

    def _evict_before(self, until: float) -> None:
        self._backoff_by_id = {
            peer: entry
            for peer, entry in self._backoff_by_id.items()
            if entry.until > until
        }
