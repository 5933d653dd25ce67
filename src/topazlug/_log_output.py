"""Where log lines go: bounded in rate and memory, and never waited for.

A reader of standard output that stops, as a full pipe or a stuck collector,
would otherwise block the whole daemon at its next line, and with it all
requests.
"""

import collections
import enum
import errno
import os
from typing import final

import gevent
from gevent import os as _gevent_os
from gevent import socket

from topazlug import _clock

# Lines and bytes a second that one daemon may write. A busy day of 12
# requests a second writes about 40 lines and 16 KB.
_LINES_A_SECOND = 400.0
_BYTES_A_SECOND = 200_000.0
# Lines of failures and warnings may use what is saved up over so long;
# others stop when half of it is gone.
_BURST_SECONDS = 2.0
_COMMON_PART = 0.5
_MAX_WAITING_BYTES = 1_000_000
_TELL_SECONDS = 1.0


class Weight(enum.Enum):
    """How much a line matters when not all can be written."""

    COMMON = "common"
    IMPORTANT = "important"


class _Allowance:
    """A rate with a burst."""

    def __init__(self, rate: float, clock: _clock.Clock) -> None:
        self._rate = rate
        self._most = rate * _BURST_SECONDS
        self._clock = clock
        self._left = self._most
        self._at = clock.monotonic()

    def refill(self) -> None:
        now = self._clock.monotonic()
        self._left = min(
            self._most, self._left + self._rate * (now - self._at)
        )
        self._at = now

    def has(self, amount: float, weight: Weight) -> bool:
        floor = 0.0
        if weight is Weight.COMMON:
            floor = self._most * (1 - _COMMON_PART)
        return self._left - amount >= floor

    def take(self, amount: float) -> None:
        self._left -= amount


@final
class BoundedOutput:
    """A file descriptor that takes lines without ever blocking.

    Parameters
    ----------
    descriptor : int
        Where lines go; it is switched to non-blocking mode.
    clock : Clock
        Time.

    Attributes
    ----------
    dropped : int
        Lines that were left out so far.
    """

    def __init__(self, *, descriptor: int, clock: _clock.Clock) -> None:
        self._descriptor = descriptor
        self._clock = clock
        self._lines = _Allowance(_LINES_A_SECOND, clock)
        self._bytes = _Allowance(_BYTES_A_SECOND, clock)
        self._waiting: collections.deque[bytes] = collections.deque()
        self._waiting_bytes = 0
        self._writer: gevent.Greenlet | None = None
        self._told = 0
        self._told_at = clock.monotonic()
        self.dropped = 0
        _gevent_os.make_nonblocking(descriptor)

    def write(self, line: str, weight: Weight) -> None:
        """Take one line, or count it as dropped."""
        data = line.encode("utf-8", "replace") + b"\n"
        if not self._admits(data, weight):
            self.dropped += 1
            return
        self._tell_dropped()
        self._queue(data)

    def _admits(self, data: bytes, weight: Weight) -> bool:
        self._lines.refill()
        self._bytes.refill()
        if self._waiting_bytes + len(data) > _MAX_WAITING_BYTES:
            return False
        if not self._lines.has(1, weight):
            return False
        if not self._bytes.has(len(data), weight):
            return False
        self._lines.take(1)
        self._bytes.take(len(data))
        return True

    def _tell_dropped(self) -> None:
        """Say once a second at most how many lines are missing."""
        if self.dropped == self._told:
            return
        now = self._clock.monotonic()
        if now - self._told_at < _TELL_SECONDS:
            return
        missing = self.dropped - self._told
        self._told = self.dropped
        self._told_at = now
        self._queue(
            b'{"level": "warning", "logger": "logs", "message": '
            b'"%d lines were dropped", "dropped": %d}\n' % (missing, missing)
        )

    def _queue(self, data: bytes) -> None:
        self._waiting.append(data)
        self._waiting_bytes += len(data)
        if self._writer is None and not self._write_some():
            self._writer = gevent.spawn(self._write_rest)

    def _write_some(self) -> bool:
        """Write what goes out at once; tell whether that was all."""
        while self._waiting:
            data = self._waiting[0]
            try:
                written = os.write(self._descriptor, data)
            except OSError as error:
                if error.errno in (errno.EAGAIN, errno.EINTR):
                    return False
                # Nobody reads any more: lines have nowhere to go.
                self.dropped += len(self._waiting)
                self._waiting.clear()
                self._waiting_bytes = 0
                return True
            self._waiting_bytes -= written
            if written < len(data):
                self._waiting[0] = data[written:]
                return False
            self._waiting.popleft()
        return True

    def _write_rest(self) -> None:
        while not self._write_some():
            socket.wait_write(self._descriptor)
        self._writer = None
