"""One connection between two daemons.

Frames can be queued before the handshake is complete.

Besides the kernel's buffers, an idle link holds only the memory of the
greenlet that reads: no timer, no writer and no unpacker. The buffer of a read
(16 KiB) exists only while there is data to process.
"""

import collections
from collections.abc import Callable
import math
from typing import final

import gevent
from gevent import event
import logbook
import msgspec

from topazlug import _clock
from topazlug import _errors
from topazlug.peers import _peer_auth
from topazlug.peers import _peer_codec
from topazlug.peers import _peer_connections

MAX_QUEUED_BYTES = 1048576
MAX_UNANSWERED_SECONDS = 2.0

_log = logbook.Logger("topazlug.peers")


@final
class Link:
    """Sends and receives frames over one connection.

    Parameters
    ----------
    name : str
        The peer, for errors and logs.
    clock : Clock
        Source of monotonic time.
    max_frame_bytes : int
        Largest frame sent.
    """

    def __init__(
        self, *, name: str, clock: _clock.Clock, max_frame_bytes: int
    ) -> None:
        self.name = name
        self.closed = False
        self.last_used = clock.monotonic()
        self.last_received = -math.inf
        self._clock = clock
        self._max_frame_bytes = max_frame_bytes
        self._sock: _peer_connections.CountedSocket | None = None
        self._signer: _peer_auth.BatchSigner | None = None
        self._queue: collections.deque[bytes] = collections.deque()
        self._queued_bytes = 0
        self._writing = False
        self._last_call = 0
        self._unanswered_since: float | None = None
        self._result_by_call: dict[int, event.AsyncResult] = {}

    def open(
        self,
        sock: _peer_connections.CountedSocket,
        session: _peer_auth.Session,
    ) -> None:
        """Send queued frames over an authenticated connection from now on."""
        self._sock = sock
        self._signer = session.signer
        self._wake_writer()

    def post(self, message: msgspec.Struct, *, call: int) -> None:
        """Queue one frame without blocking.

        Raises
        ------
        PeerUnreachable
            If the link is closed, or its queue is full.
        PeerMessageInvalid
            If the frame is too large.
        """
        frame = _peer_codec.encode(
            message, call=call, max_bytes=self._max_frame_bytes
        )
        self.post_frame(frame)

    def post_frame(self, frame: bytes) -> None:
        """Queue one encoded frame without blocking.

        Raises
        ------
        PeerUnreachable
            If the link is closed, or its queue is full.
        """
        if self.closed:
            raise _errors.PeerUnreachable(f"link to {self.name} is closed")
        if self._queue and self._queued_bytes + len(frame) > MAX_QUEUED_BYTES:
            # A frozen peer reads nothing, so its queue would grow without
            # bound. Dropping single frames would leave gaps in the sequence
            # on which receivers rely, so the link is closed and all its
            # pending calls fail.
            self.close()
            raise _errors.PeerUnreachable(
                f"{self.name} does not read: over {MAX_QUEUED_BYTES} bytes"
                " queued"
            )
        self._queue.append(frame)
        self._queued_bytes += len(frame)
        self._wake_writer()

    def call(
        self, message: msgspec.Struct, *, timeout: float
    ) -> msgspec.Struct:
        """Send a request and wait for the answer.

        Raises
        ------
        PeerUnreachable
            If the call timed out, the link was closed, or the peer refused
            to answer.
        """
        # Numbers are never reused on a link, so that a late answer is
        # discarded instead of being taken for the answer to another call.
        self._last_call += 1
        call = self._last_call
        result = event.AsyncResult()
        self._result_by_call[call] = result
        if self._unanswered_since is None:
            self._unanswered_since = self._clock.monotonic()
        try:
            self.post(message, call=call)
            result.wait(timeout)
        finally:
            self._result_by_call.pop(call, None)
        if result.ready():
            return result.get()
        self._close_if_unresponsive()
        kind = type(message).__name__
        raise _errors.PeerUnreachable(
            f"{self.name} left {kind} unanswered for {timeout} s"
        )

    def resolve_call(self, frame: _peer_codec.Frame) -> None:
        """Pass an answer to the call that waits for it."""
        result = self._result_by_call.pop(-frame.call, None)
        if result is None:
            return
        if frame.message is None:
            result.set_exception(
                _errors.PeerUnreachable(
                    f"{self.name} did not answer the request: {frame.kind}"
                )
            )
            return
        result.set(frame.message)

    def read(
        self,
        verifier: _peer_auth.BatchVerifier,
        handle: Callable[[_peer_codec.Frame], None],
    ) -> None:
        """Read frames until the connection ends.

        Raises
        ------
        PeerMessageInvalid
            If the bytes are not valid frames.
        OSError
            If the connection fails.
        """
        sock = self._open_socket()
        while not self.closed:
            data = sock.recv(_peer_auth.READ_BYTES)
            if not data:
                return
            self.last_used = self._clock.monotonic()
            self.last_received = self.last_used
            self._unanswered_since = None
            for batch in verifier.batches(data):
                for frame in _peer_codec.decode(batch):
                    handle(frame)

    @property
    def has_pending_calls(self) -> bool:
        """Whether any call waits for its answer."""
        return bool(self._result_by_call)

    def close(self) -> None:
        """Close the connection and fail all pending calls."""
        if self.closed:
            return
        self.closed = True
        self._queue.clear()
        if self._sock is not None:
            self._sock.close()
        for result in self._result_by_call.values():
            result.set_exception(
                _errors.PeerUnreachable(f"link to {self.name} was closed")
            )
        self._result_by_call.clear()

    def _close_if_unresponsive(self) -> None:
        # A path that drops packets, or a frozen peer, leaves the connection
        # open without any answer, and each call would wait for its timeout.
        # Once it is closed, further calls fail at once, until a new
        # connection has been authenticated.
        since = self._unanswered_since
        if since is None:
            return
        if self._clock.monotonic() - since > MAX_UNANSWERED_SECONDS:
            self.close()

    def _wake_writer(self) -> None:
        if self._sock is None or self._writing or not self._queue:
            return
        self._writing = True
        gevent.get_hub().loop.run_callback(self._write_now)

    def _write_now(self) -> None:
        # Runs in the hub after all greenlets that have something to send at
        # this moment, and must not block. Starting a greenlet for each write
        # would take a third of the time of a call.
        unsent = b""
        try:
            while self._queue and not self.closed and not unsent:
                unsent = self._open_socket().try_send(self._next_batch())
                self.last_used = self._clock.monotonic()
        except OSError as error:
            self._close_after(error)
        if unsent:
            gevent.spawn(self._write, unsent)
        else:
            self._writing = False

    def _write(self, unsent: bytes) -> None:
        try:
            self._open_socket().sendall(unsent)
            while self._queue and not self.closed:
                self._open_socket().sendall(self._next_batch())
                self.last_used = self._clock.monotonic()
        except OSError as error:
            self._close_after(error)
        finally:
            self._writing = False

    def _close_after(self, error: OSError) -> None:
        _log.info("link to {} failed: {}", self.name, error)
        self.close()

    def _open_socket(self) -> _peer_connections.CountedSocket:
        assert self._sock is not None
        return self._sock

    def _next_batch(self) -> bytes:
        assert self._signer is not None
        return self._signer.sign(_peer_codec.join(self._pop_frames()))

    def _pop_frames(self) -> list[bytes]:
        frames = [self._queue.popleft()]
        size = len(frames[0])
        while (
            self._queue
            and size + len(self._queue[0]) <= _peer_connections.BATCH_BYTES
        ):
            frames.append(self._queue.popleft())
            size += len(frames[-1])
        self._queued_bytes -= size
        return frames
