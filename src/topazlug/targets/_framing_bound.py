"""Bounds what a target sends that is no part of an answer's body."""

from typing import final

from topazlug import _clock

_MAX_BYTES = 65536
# A head, the size of a chunk or the fields after the last chunk arrive in one
# or two blocks. A target that sends more blocks for longer than this sends
# them without an end.
_MAX_BLOCKS = 4
_MAX_SECONDS = 0.25


@final
class FramingBound:
    """Tells whether bytes between two parts of an answer have no end.

    These are its head, the size of a chunk, its extension, and the fields
    after the last chunk.

    Parameters
    ----------
    clock : Clock
        Time.

    Attributes
    ----------
    size : int
        Bytes since the last part.
    is_exceeded : bool
        Whether there were so many, or for so long, that they have no end.
    """

    def __init__(self, *, clock: _clock.Clock) -> None:
        self._clock = clock
        self._began_at = 0.0
        self._blocks = 0
        self.size = 0
        self.is_exceeded = False

    def reset(self) -> None:
        """Record that a part has arrived."""
        self._blocks = self.size = 0

    def add(self, size: int) -> None:
        """Record a block of bytes without a part."""
        now = self._clock.monotonic()
        if not self._blocks:
            self._began_at = now
        self._blocks += 1
        self.size += size
        is_dripping = (
            self._blocks > _MAX_BLOCKS and now - self._began_at > _MAX_SECONDS
        )
        self.is_exceeded = self.size > _MAX_BYTES or is_dripping
