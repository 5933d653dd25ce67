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
_LINES_PER_SECOND = 400.0
_BYTES_PER_SECOND = 200_000.0
# Lines of failures and warnings may use what is saved up over so long;
# others stop when half of it is gone.
_BURST_SECONDS = 2.0
_COMMON_FRACTION = 0.5
_MAX_PENDING_BYTES = 1_000_000
_DROP_REPORT_SECONDS = 1.0


class LinePriority(enum.Enum):
    """How much a line matters when not all can be written."""

    COMMON = "common"
    IMPORTANT = "important"


class _TokenBucket:
    """A rate with a burst."""

    def __init__(self, rate: float, clock: _clock.Clock) -> None:
        self._rate = rate
        self._capacity = rate * _BURST_SECONDS
        self._clock = clock
        self._tokens = self._capacity
        self._refilled_at = clock.monotonic()

    def refill(self) -> None:
        now = self._clock.monotonic()
        self._tokens = min(
            self._capacity,
            self._tokens + self._rate * (now - self._refilled_at),
        )
        self._refilled_at = now

    def allows(self, amount: float, priority: LinePriority) -> bool:
        floor = 0.0
        if priority is LinePriority.COMMON:
            floor = self._capacity * (1 - _COMMON_FRACTION)
        return self._tokens - amount >= floor

    def consume(self, amount: float) -> None:
        self._tokens -= amount


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
        self._lines = _TokenBucket(_LINES_PER_SECOND, clock)
        self._bytes = _TokenBucket(_BYTES_PER_SECOND, clock)
        self._pending: collections.deque[bytes] = collections.deque()
        self._pending_bytes = 0
        self._writer: gevent.Greenlet | None = None
        self._reported_drops = 0
        self._reported_at = clock.monotonic()
        self.dropped = 0
        _gevent_os.make_nonblocking(descriptor)

    def write(self, line: str, priority: LinePriority) -> None:
        """Take one line, or count it as dropped."""
        data = line.encode("utf-8", "replace") + b"\n"
        if not self._admits(data, priority):
            self.dropped += 1
            return
        self._report_drops()
        self._queue(data)

    def _admits(self, data: bytes, priority: LinePriority) -> bool:
        self._lines.refill()
        self._bytes.refill()
        if self._pending_bytes + len(data) > _MAX_PENDING_BYTES:
            return False
        if not self._lines.allows(1, priority):
            return False
        if not self._bytes.allows(len(data), priority):
            return False
        self._lines.consume(1)
        self._bytes.consume(len(data))
        return True

    def _report_drops(self) -> None:
        """Say once a second at most how many lines are missing."""
        if self.dropped == self._reported_drops:
            return
        now = self._clock.monotonic()
        if now - self._reported_at < _DROP_REPORT_SECONDS:
            return
        unreported = self.dropped - self._reported_drops
        self._reported_drops = self.dropped
        self._reported_at = now
        self._queue(
            b'{"level": "warning", "logger": "logs", "message": '
            b'"%d lines were dropped", "dropped": %d}\n'
            % (unreported, unreported)
        )

    def _queue(self, data: bytes) -> None:
        self._pending.append(data)
        self._pending_bytes += len(data)
        if self._writer is None and not self._try_write():
            self._writer = gevent.spawn(self._write_when_ready)

    def _try_write(self) -> bool:
        """Write what goes out at once; tell whether that was all."""
        while self._pending:
            data = self._pending[0]
            try:
                written = os.write(self._descriptor, data)
            except OSError as error:
                if error.errno in (errno.EAGAIN, errno.EINTR):
                    return False
                # Nobody reads any more: lines have nowhere to go.
                self.dropped += len(self._pending)
                self._pending.clear()
                self._pending_bytes = 0
                return True
            self._pending_bytes -= written
            if written < len(data):
                self._pending[0] = data[written:]
                return False
            self._pending.popleft()
        return True

    def _write_when_ready(self) -> None:
        while not self._try_write():
            socket.wait_write(self._descriptor)
        self._writer = None
