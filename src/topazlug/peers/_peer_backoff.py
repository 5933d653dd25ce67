"""Waits between attempts to reach a peer that can't be reached."""

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
    """Remembers which peers failed, and until when they are left alone.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    """

    def __init__(self, *, clock: _clock.Clock) -> None:
        self._clock = clock
        self._backoff_by_id: dict[_ids.DaemonId, _PeerBackoff] = {}

    def check(self, peer: _ids.DaemonId) -> None:
        """Let an attempt pass, or fail it at once.

        Raises
        ------
        PeerUnreachable
            If the peer is left alone for now.
        """
        entry = self._backoff_by_id.get(peer)
        if entry is not None and self._clock.monotonic() < entry.until:
            raise _errors.PeerUnreachable(
                f"{peer!r} failed {entry.failures} times; retried within "
                f"{MAX_SECONDS} s"
            )

    def record_success(self, peer: _ids.DaemonId) -> None:
        """Forget the failures of a peer."""
        self._backoff_by_id.pop(peer, None)

    def record_failure(self, peer: _ids.DaemonId) -> None:
        """Leave a peer alone, longer with each failure in a row."""
        now = self._clock.monotonic()
        if len(self._backoff_by_id) >= MAX_ENTRIES:
            self._evict_before(now - RETENTION_SECONDS)
        entry = self._backoff_by_id.setdefault(peer, _PeerBackoff())
        max_delay = BASE_SECONDS * 2.0 ** min(entry.failures, 16)
        max_delay = min(max_delay, MAX_SECONDS)
        # Without jitter, all daemons dial a peer that comes back in the
        # same instant, and fill its backlog again and again.
        entry.until = now + max_delay * random.uniform(0.5, 1.0)
        entry.failures += 1

    def _evict_before(self, until: float) -> None:
        self._backoff_by_id = {
            peer: entry
            for peer, entry in self._backoff_by_id.items()
            if entry.until > until
        }
