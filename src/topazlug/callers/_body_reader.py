"""Reads the body of a caller's request.

The library's reader takes chunk sizes and trailers byte by byte, and never
yields while bytes arrive: one caller with chunks of one byte holds up all
others for as long as it sends.
"""

from collections.abc import Callable
import io
import re
from typing import final

from topazlug import _allocator
from topazlug import _errors
from topazlug.callers import _caller_head
from topazlug.callers import _memory_budget
from topazlug.callers import _turns

_BLOCK_BYTES = 65536
_MAX_LINE_BYTES = 8192
_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})(?:;[^\r\n]*)?\r\n")
_LINE_END = b"\r\n"
# Chunk extensions mean nothing to this program. A caller may send some for
# each chunk, but not without an end.
_MAX_EXTENSION_BYTES = 65536
_MAX_EXTENSION_RATIO = 16
# Chunks whose size has one digit are read many at a time. Otherwise a body in
# such chunks would take seconds of processor time.
_MAX_TINY_SIZE = 15
_TINY_DATA = b"|".join(
    rb"(?<=[%x%X]\r\n)[\s\S]{%d}" % (size, size, size)
    for size in range(1, _MAX_TINY_SIZE + 1)
)
_TINY_CHUNK = re.compile(rb"[1-9A-Fa-f]\r\n(" + _TINY_DATA + rb")\r\n")
_TINY_CHUNKS = re.compile(
    rb"(?:[1-9A-Fa-f]\r\n(?:" + _TINY_DATA + rb")\r\n)++"
)
# Work between two turns, in units of about a microsecond: a line is one, a
# block of this many bytes as well. The first turn of a body in chunks comes
# sooner, as its size is not known, but not within 64 KB in ordinary chunks.
_TURN_WORK = 1000
_FIRST_TURN_WORK = 500
_WORK_BYTES = 256
# Long bodies that wait for a turn before further ones are refused.
_MAX_WAITING = 128
_RETRY_AFTER_SECONDS = 0.5
# Room that is reserved for the first chunks.
_FIRST_CHUNKS_BYTES = 16384


class BodyEnded(OSError):
    """The connection ended before the body did."""


@final
class BodyReader:
    """The body of one request.

    Parameters
    ----------
    stream : BufferedReader
        The connection, positioned after the head.
    length : int
        Length of the body; ignored if it is chunked.
    is_chunked : bool
        Whether the body is in chunks.
    holding : Holding
        Counts what the connection makes the daemon hold.
    turns : Turns
        Lets other greenlets run.
    on_begin, on_end : callable
        Called before the first read, and once the body is complete.
    """

    def __init__(
        self,
        stream: io.BufferedReader,
        *,
        length: int,
        is_chunked: bool,
        holding: _memory_budget.Holding,
        turns: _turns.Turns,
        on_begin: Callable[[], None],
        on_end: Callable[[], None],
    ) -> None:
        self._stream = stream
        self._length = length
        self._is_chunked = is_chunked
        self._holding = holding
        self._turns = turns
        self._on_begin = on_begin
        self._on_end = on_end
        self._work = _TURN_WORK - _FIRST_TURN_WORK
        self._has_had_turn = False
        self._reserved = 0
        self._extension_bytes = 0
        self.has_unread = is_chunked or length > 0

    def read(self, limit: int) -> bytes:
        """Return the complete body.

        Parameters
        ----------
        limit : int
            Maximum bytes.

        Raises
        ------
        BodyTooLarge, BadBody
            The body is too long or malformed.
        MemoryBudgetExceeded, Overloaded
            There is no room for it, or no time.
        BodyEnded, OSError
            The connection ended before the body did.
        """
        if not self.has_unread:
            self._on_end()
            return b""
        self._on_begin()
        held = self._holding.size
        try:
            body = self._read(limit)
        except BaseException:
            self._holding.release(self._holding.size - held)
            raise
        self._holding.release(self._holding.size - held - len(body))
        self.has_unread = False
        self._on_end()
        return body

    def _read(self, limit: int) -> bytes:
        if self._is_chunked:
            return self._assemble(lambda body: self._read_chunks(body, limit))
        return self._read_length(limit)

    def _discard(self) -> None:
        """Do nothing: the library calls it after each answer.

        A connection with an unread body is closed instead.
        """

    def _read_length(self, limit: int) -> bytes:
        size = self._length
        if size > limit:
            raise too_large(limit)
        if size > _memory_budget.SMALL_BYTES:
            # Many callers that send part of a long body and leave would
            # otherwise hold up those with short requests.
            self._wait_for_turn()
            return self._assemble(lambda body: self._read_data(body, size))
        self._holding.grow(size, is_small=True)
        data = self._stream.read(size)
        if len(data) < size:
            raise BodyEnded(f"it ended after {len(data)} of {size} bytes")
        return data

    @staticmethod
    def _assemble(read: Callable[[bytearray], None]) -> bytes:
        body = bytearray()
        try:
            read(body)
            return bytes(body)
        finally:
            # A traceback may keep the buffer alive for longer.
            body.clear()

    def _read_data(self, body: bytearray, size: int) -> None:
        """Append this many bytes to the body."""
        while size:
            wanted = min(size, _BLOCK_BYTES)
            self._make_room(body, wanted)
            block = self._stream.read1(wanted)
            if not block:
                raise BodyEnded(f"it ended {size} bytes too soon")
            body += block
            size -= len(block)
            self._holding.record_progress(len(block))
            self._count_work(len(block) // _WORK_BYTES)

    def _make_room(self, body: bytearray, size: int) -> None:
        """Reserve room for further bytes, at most a block."""
        if len(body) + size <= self._reserved:
            return
        if self._is_chunked and not self._reserved:
            self._reserve(_FIRST_CHUNKS_BYTES, is_small=True)
        if len(body) + size > self._reserved:
            self._reserve(_BLOCK_BYTES)
            _allocator.return_large_blocks()

    def _reserve(self, size: int, *, is_small: bool = False) -> None:
        self._holding.grow(size, is_small=is_small)
        self._reserved += size

    def _count_work(self, units: int) -> None:
        self._work += units
        if self._work >= _TURN_WORK:
            self._wait_for_turn()

    def _wait_for_turn(self) -> None:
        self._work = 0
        if not self._has_had_turn:
            self._check_queue()
        self._turns.wait()

    def _check_queue(self) -> None:
        """Refuse a long body at once if many others wait for their turns."""
        if self._turns.waiting >= _MAX_WAITING:
            raise _errors.Overloaded(
                f"{self._turns.waiting} long bodies wait to be read",
                retry_after=_RETRY_AFTER_SECONDS,
            )
        self._has_had_turn = True

    def _read_chunks(self, body: bytearray, limit: int) -> None:
        while size := self._read_chunk_size(body):
            if len(body) + size > limit:
                raise too_large(limit)
            self._read_data(body, size)
            self._read_line_end()
            if size <= _MAX_TINY_SIZE:
                self._read_tiny_chunks(body, limit)
        self._read_trailers()

    def _read_chunk_size(self, body: bytearray) -> int:
        line = self._read_line()
        match = _CHUNK_LINE.fullmatch(line)
        if match is None:
            raise _errors.BadBody(f"not a chunk size: {line[:40]!r}")
        self._extension_bytes += len(line) - match.end(1) - len(_LINE_END)
        allowed = _MAX_EXTENSION_BYTES + _MAX_EXTENSION_RATIO * len(body)
        if self._extension_bytes > allowed:
            raise _errors.BadBody(
                f"more than {allowed} bytes of chunk extensions for a body of"
                f" {len(body)} bytes so far"
            )
        return int(match[1], 16)

    def _read_line(self) -> bytes:
        line = self._stream.readline(_MAX_LINE_BYTES)
        self._count_work(1 + len(line) // _WORK_BYTES)
        if line.endswith(b"\n") or len(line) == _MAX_LINE_BYTES:
            return line
        raise BodyEnded("it ended before its last chunk")

    def _read_line_end(self) -> None:
        data = self._stream.read(len(_LINE_END))
        if data == _LINE_END:
            return
        if len(data) < len(_LINE_END):
            raise BodyEnded("it ended within a chunk")
        raise _errors.BadBody(f"a chunk is followed by {data!r}")

    def _read_tiny_chunks(self, body: bytearray, limit: int) -> None:
        """Read as many tiny chunks as have arrived completely."""
        while run := _TINY_CHUNKS.match(self._stream.peek(1)):
            chunks = _TINY_CHUNK.findall(self._stream.read(run.end()))
            data = b"".join(chunks)
            self._make_room(body, len(data))
            body += data
            if len(body) > limit:
                raise too_large(limit)
            self._holding.record_progress(run.end())
            self._count_work(1 + len(chunks) // 2)

    def _read_trailers(self) -> None:
        """Read and ignore the fields after the last chunk."""
        size = count = 0
        while (line := self._read_line()) != _LINE_END:
            size += len(line)
            count += 1
            _caller_head.check_trailer(line, size=size, count=count)


def too_large(limit: int) -> _errors.BodyTooLarge:
    """Return the error for a body that is longer than the limit."""
    return _errors.BodyTooLarge(f"the body is longer than {limit} bytes")
