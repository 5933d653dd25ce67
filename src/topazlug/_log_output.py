"""Non-blocking output of log lines, bounded in rate and memory.

If the reader of the output, such as a log collector, stopped reading, a
blocking write of the next line would block the daemon and all its requests.
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

# Maximum rates of one daemon. At 12 requests per second, as on a busy day, it
# writes about 40 lines and 16 KB per second.
_LINES_PER_SECOND = 400.0
_BYTES_PER_SECOND = 200_000.0
# A burst may be as large as the output of this many seconds at the maximum
# rates. Important lines may use all of it, common lines only half.
_BURST_SECONDS = 2.0
_COMMON_FRACTION = 0.5
_MAX_PENDING_BYTES = 1_000_000
_DROP_REPORT_SECONDS = 1.0


class LinePriority(enum.Enum):
    """Priority of a line when not all lines can be written."""

    COMMON = "common"
    IMPORTANT = "important"


class _TokenBucket:
    """Token bucket; common lines may use only a part of the burst."""

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
    """Writes lines to a file descriptor without blocking.

    Parameters
    ----------
    descriptor : int
        Destination of the lines; it is switched to non-blocking mode.
    clock : Clock
        Source of monotonic time.

    Attributes
    ----------
    dropped : int
        Number of lines dropped so far.
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
        """Write one line, or drop and count it."""
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
        """Log the number of dropped lines, at most once per second."""
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
        """Write without blocking; return whether nothing is pending."""
        while self._pending:
            data = self._pending[0]
            try:
                written = os.write(self._descriptor, data)
            except OSError as error:
                if error.errno in (errno.EAGAIN, errno.EINTR):
                    return False
                # The reader has closed its end, so no line can be written.
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
