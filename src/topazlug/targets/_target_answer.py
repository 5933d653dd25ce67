"""Answers of targets, and the connections that they arrive on."""

import collections
from collections.abc import Callable
from collections.abc import Iterator
import math
import socket as _plain_socket
from typing import NamedTuple
from typing import final

import gevent
from gevent import socket
from geventhttpclient import response as _response

from topazlug import _clock
from topazlug import _errors
from topazlug import _ids
from topazlug.targets import _framing_bound
from topazlug.targets import _target_runs

RECEIVE_BYTES = 16384
MIN_FINAL_STATUS = 200
_IDLE_SECONDS = 60.0
IDLE_PER_TARGET = 32


class AnswerParser(_response.HTTPResponse):
    """The library's parser, stopped at the end of the first answer.

    The library continues to parse whatever follows a complete answer, and
    appends the body of a second answer to that of the first, so that a caller
    would receive data of another caller. Here the answer ends where its
    framing says. Bytes after it only mark the connection as not reusable.
    """

    def __init__(self, *, method: str) -> None:
        super().__init__(method=method)
        self.final_status = 0
        self.has_more = False

    def _on_headers_complete(self) -> int | bool | None:
        self.final_status = self.get_code()
        return super()._on_headers_complete()

    def _on_message_begin(self) -> None:
        if self.message_complete and self.final_status >= MIN_FINAL_STATUS:
            self.has_more = True
            raise _response.HTTPParseError("bytes after the complete answer")
        super()._on_message_begin()

    def feed(self, data: str | bytes) -> None:
        try:
            super().feed(data)
        except _response.HTTPParseError:
            if not self.has_more:
                raise

    def should_close(self) -> bool:
        return self.has_more or super().should_close()

    @property
    def has_body(self) -> bool:
        """Return whether a part of the body waits to be taken."""
        return bool(self._body_buffer)

    def take_body(self) -> bytes:
        body = bytes(self._body_buffer)
        del self._body_buffer[:]
        return body


@final
class TargetAnswer:
    """An answer whose head has been received.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : list of tuple
        Header fields in order.
    idle_seconds : float or None
        Seconds for which the target keeps an idle connection, if known.
    is_between_events : callable or None
        Returns whether a stream has ended after a complete event; None if the
        answer is no stream. A stream without chunks that ends within an event
        was lost.
    """

    def __init__(
        self,
        *,
        connection: socket.socket,
        parser: AnswerParser,
        pool: "IdleConnections",
        request_id: _ids.RequestId,
        clock: _clock.Clock,
        sender: gevent.Greenlet | None = None,
        on_receive: Callable[[], None] | None = None,
        on_end: Callable[[_target_runs.RunEnd, int], None] | None = None,
        on_body: Callable[[], None] | None = None,
    ) -> None:
        self._sender = sender
        self._on_end = on_end
        self._on_body = on_body
        self._on_receive = on_receive
        self.idle_seconds: float | None = None
        self.is_between_events: Callable[[], bool] | None = None
        self._connection = connection
        self._clock = clock
        self._framing = _framing_bound.FramingBound(clock=clock)
        self._parser = parser
        self._pool = pool
        self._request_id = request_id
        self._closed = False
        self.aborted = False
        self.status = parser.final_status
        self.headers = list(parser.items())

    def header(self, name: str) -> str:
        """Return a header's value, empty if absent or repeated."""
        value = self._parser.get(name)
        return value if isinstance(value, str) else ""

    def header_values(self, name: str) -> list[str]:
        """Return all values of a header."""
        wanted = name.lower()
        return [value for key, value in self.headers if key.lower() == wanted]

    def chunks(
        self, *, receive_timeout: float, deadline: float = math.inf
    ) -> Iterator[bytes]:
        """Yield the body in chunks as they arrive.

        Parameters
        ----------
        receive_timeout : float
            Timeout in seconds for receiving the next bytes.
        deadline : float
            Monotonic seconds at which the request ends, even if bytes still
            arrive.

        Raises
        ------
        TargetTruncated
            The connection ended before the answer was complete.
        TargetSilent
            No bytes arrived within the timeout.
        DeadlineExceeded
            The answer was not complete at the deadline.
        """
        while True:
            body = self._parser.take_body()
            if body:
                if self._on_body is not None:
                    self._on_body()
                yield body
            if self._parser.message_complete:
                self._finish()
                return
            self._receive(receive_timeout, deadline)

    def _receive(self, receive_timeout: float, deadline: float) -> None:
        remaining = deadline - self._clock.monotonic()
        try:
            self._connection.settimeout(
                max(0.0, min(receive_timeout, remaining))
            )
            data = self._connection.recv(RECEIVE_BYTES)
            if self._on_receive is not None:
                self._on_receive()
            self._feed(data)
        except (TimeoutError, BlockingIOError) as error:
            self.close(_target_runs.RunEnd.TIMED_OUT)
            if remaining <= receive_timeout:
                raise deadline_error() from error
            raise _errors.TargetSilent(
                "the target stopped sending in the middle of its answer",
                outcome=_errors.Outcome.UNKNOWN,
            ) from error
        except (OSError, _response.HTTPParseError) as error:
            self.close(self._lost_end)
            raise _truncated_error() from error
        except _errors.TargetTruncated:
            self.close(self._lost_end)
            raise
        if not data and not self._is_ended_by_target:
            self.close(self._lost_end)
            raise _truncated_error()

    @property
    def _is_ended_by_target(self) -> bool:
        """Return whether the end of the connection ends the answer.

        The system reports a reset once only. If the greenlet that sends the
        request's body gets it, the answer seems to end in the ordinary way.
        """
        if not self._parser.message_complete:
            return False
        has_send_failed = (
            self._sender is not None
            and self._sender.ready()
            and not self._sender.value
        )
        return self.is_delimited or not has_send_failed

    def _feed(self, data: bytes) -> None:
        self._parser.feed(data)
        if self._parser.has_body or self._parser.message_complete:
            self._framing.reset()
            return
        self._framing.add(len(data))
        if self._framing.is_exceeded:
            raise _errors.TargetTruncated(
                f"the target sent {self._framing.size} bytes without a part "
                "of its answer",
                outcome=_errors.Outcome.UNKNOWN,
            )

    @property
    def _lost_end(self) -> _target_runs.RunEnd:
        """Return how the run ended, depending on who ended its connection."""
        ends = _target_runs.RunEnd
        return ends.ABANDONED if self.aborted else ends.LOST

    def _finish(self) -> None:
        if self._closed:
            return
        self._record_end(self._complete_end)
        if self._parser.should_close() or not self._all_sent():
            self._close_connection()
        else:
            self._pool.keep(
                self._connection,
                last_request=self._request_id,
                seconds=self.idle_seconds,
            )

    @property
    def _complete_end(self) -> _target_runs.RunEnd:
        """Return how the run ended whose answer's body has ended."""
        ends = _target_runs.RunEnd
        if self.is_delimited:
            return ends.COMPLETE
        if self.is_between_events is None or self.is_between_events():
            return ends.UNDELIMITED
        return ends.LOST

    @property
    def is_delimited(self) -> bool:
        """Return whether the answer's headers delimit its body.

        Without them, the answer ends with its connection, and looks complete
        even if the target crashed in the middle of it.
        """
        names = {name.lower() for name, _ in self.headers}
        return bool(names & {"content-length", "transfer-encoding"})

    def _record_end(self, end: _target_runs.RunEnd) -> None:
        self._closed = True
        if self._on_end is not None:
            self._on_end(end, self.status)

    def _all_sent(self) -> bool:
        """Return whether the request's body was sent completely.

        A target that answers early reads the rest of the body later. It would
        take the next request on this connection for that rest.
        """
        return self._sender is None or bool(self._sender.value)

    def _close_connection(self) -> None:
        if self._sender is not None:
            self._sender.kill(block=False)
        self._connection.close()

    def abort(self) -> None:
        """Shut down the connection; may be called from any greenlet."""
        self.aborted = True
        if self._closed:
            return
        shut_down(self._connection)

    def close(
        self, end: _target_runs.RunEnd = _target_runs.RunEnd.ABANDONED
    ) -> None:
        """Close the connection, unless the answer was read completely.

        Parameters
        ----------
        end : RunEnd
            How the run ended, if its answer was not read completely.
        """
        if self._closed:
            return
        self._record_end(end)
        self._close_connection()


def shut_down(connection: socket.socket) -> None:
    """Shut down a connection that another greenlet may be waiting on."""
    try:
        connection.shutdown(_plain_socket.SHUT_RDWR)
    except OSError:
        # Already closed.
        return


def deadline_error() -> _errors.DeadlineExceeded:
    return _errors.DeadlineExceeded(
        "the request's deadline passed before the target's answer was whole",
        outcome=_errors.Outcome.UNKNOWN,
    )


def _truncated_error() -> _errors.TargetTruncated:
    return _errors.TargetTruncated(
        "the target's answer ended before it was whole",
        outcome=_errors.Outcome.UNKNOWN,
    )


class IdleConnection(NamedTuple):
    """An idle connection that can be reused.

    Attributes
    ----------
    connection : socket
        The connection.
    last_request : RequestId
        The request whose answer was read last.
    expires_at : float
        Monotonic seconds at which it expires.
    """

    connection: socket.socket
    last_request: _ids.RequestId
    expires_at: float


@final
class IdleConnections:
    """Idle connections to one address.

    Parameters
    ----------
    clock : Clock
        Time.
    max_connections : int
        Maximum number of idle connections.
    """

    def __init__(
        self, *, clock: _clock.Clock, max_connections: int = IDLE_PER_TARGET
    ) -> None:
        self._clock = clock
        self._max_connections = max_connections
        self._idle: collections.deque[IdleConnection] = collections.deque()

    def __len__(self) -> int:
        return len(self._idle)

    def keep(
        self,
        connection: socket.socket,
        *,
        last_request: _ids.RequestId,
        seconds: float | None = None,
    ) -> None:
        """Keep a connection whose answer was read completely.

        Parameters
        ----------
        connection : socket
            The connection.
        last_request : RequestId
            The request whose answer was read.
        seconds : float or None
            Seconds for which the target keeps it; None for the daemon's
            default.
        """
        idle_seconds = _IDLE_SECONDS if seconds is None else seconds
        if len(self._idle) >= self._max_connections or idle_seconds <= 0:
            connection.close()
            return
        now = self._clock.monotonic()
        self._idle.append(
            IdleConnection(connection, last_request, now + idle_seconds)
        )

    def sweep(self) -> None:
        """Close expired connections.

        One idle connection to each of 6,100 targets takes 42 MB of memory and
        as many file descriptors.
        """
        now = self._clock.monotonic()
        unexpired = [idle for idle in self._idle if now < idle.expires_at]
        for idle in self._idle:
            if now >= idle.expires_at:
                idle.connection.close()
        self._idle = collections.deque(unexpired)

    def take(self) -> IdleConnection | None:
        """Remove and return the most recently used connection still usable."""
        now = self._clock.monotonic()
        while self._idle:
            idle = self._idle.pop()
            if now < idle.expires_at and _is_reusable(idle.connection):
                return idle
            idle.connection.close()
        return None

    def close(self) -> None:
        """Close all idle connections."""
        while self._idle:
            self._idle.pop().connection.close()


def _is_reusable(connection: socket.socket) -> bool:
    """Return whether an idle connection is open with no bytes to read.

    Such bytes belong to an answer without a request, and the next caller must
    not receive them.
    """
    flags = _plain_socket.MSG_PEEK | _plain_socket.MSG_DONTWAIT
    try:
        connection._sock.recv(1, flags)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False
