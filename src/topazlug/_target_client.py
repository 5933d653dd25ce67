"""Connections to targets, and one request with its answer on each.

A connection serves one request at a time and is reused only after the whole
answer was read: a late answer on a reused connection would otherwise reach
the next caller. The library's own client is not used to send, because it
silently sends again when a kept connection turns out to be closed, and a
request that may run once only must never be sent twice.
"""

import collections
from collections.abc import Iterator
import math
import socket as _plain_socket
from typing import final

from gevent import socket
from geventhttpclient import response as _response
import msgspec

from topazlug import _clock
from topazlug import _errors
from topazlug import _ids
from topazlug import _targets

_BLOCK = 16384
_IDLE_PER_TARGET = 32
_MAX_HEAD = 65536
_FINAL = 200
REQUEST_ID = "X-Request-Id"
NOT_RUN = "X-Not-Run"
TARGET_STATE = "X-Target-State"


class TargetRequest(msgspec.Struct, frozen=True):
    """One request as it goes to a target.

    Attributes
    ----------
    fresh : bool
        Whether a new connection must carry it. A kept one may be closed by
        the target at the same moment, which leaves the outcome unknown.
    """

    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    request_id: _ids.RequestId
    fresh: bool = False


@final
class ConnectFailed(_errors.TopazlugError):
    """No connection: not a byte of the request was sent."""

    code = _errors.Code.NO_TARGET


class _Parser(_response.HTTPResponse):
    """The library's parser; it hands over the body as it comes.

    The library goes on with whatever follows a whole answer, and adds the
    body of a second answer to that of the first: a caller would read what
    belongs to another. Here the answer ends where its framing says; more
    bytes only show that the connection must not be used again.
    """

    def __init__(self, *, method: str) -> None:
        super().__init__(method=method)
        self.final_status = 0
        self.has_more = False

    def _on_headers_complete(self) -> int | bool | None:
        self.final_status = self.get_code()
        return super()._on_headers_complete()

    def _on_message_begin(self) -> None:
        if self.message_complete and self.final_status >= _FINAL:
            self.has_more = True
            raise _response.HTTPParseError("bytes after the whole answer")
        super()._on_message_begin()

    def feed(self, data: str | bytes) -> None:
        try:
            super().feed(data)
        except _response.HTTPParseError:
            if not self.has_more:
                raise

    def should_close(self) -> bool:
        return self.has_more or super().should_close()

    def take_body(self) -> bytes:
        body = bytes(self._body_buffer)
        del self._body_buffer[:]
        return body


@final
class TargetAnswer:
    """An answer whose head has arrived.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : list of tuple
        Header fields in order.
    """

    def __init__(
        self,
        *,
        connection: socket.socket,
        parser: _Parser,
        pool: "_IdleConnections",
        clock: _clock.Clock,
    ) -> None:
        self._connection = connection
        self._clock = clock
        self._parser = parser
        self._pool = pool
        self._closed = False
        self.aborted = False
        self.status = parser.final_status
        self.headers = list(parser.items())

    def header(self, name: str) -> str:
        """Give a header's value, empty when absent or repeated."""
        value = self._parser.get(name)
        return value if isinstance(value, str) else ""

    def header_values(self, name: str) -> list[str]:
        """Give all values of a header."""
        wanted = name.lower()
        return [value for key, value in self.headers if key.lower() == wanted]

    def chunks(
        self, *, silence: float, deadline: float = math.inf
    ) -> Iterator[bytes]:
        """Give the body as it comes.

        Parameters
        ----------
        silence : float
            Seconds without a byte after which the target counts as silent.
        deadline : float
            Monotonic seconds at which the request ends, also when bytes
            trickle in.

        Raises
        ------
        TargetTruncated
            The connection ended before the answer was whole.
        TargetSilent
            Nothing came for too long.
        DeadlineExceeded
            The answer was not whole at the deadline.
        """
        while True:
            body = self._parser.take_body()
            if body:
                yield body
            if self._parser.message_complete:
                self._finish()
                return
            self._receive(silence, deadline)

    def _receive(self, silence: float, deadline: float) -> None:
        left = deadline - self._clock.monotonic()
        try:
            self._connection.settimeout(max(0.0, min(silence, left)))
            data = self._connection.recv(_BLOCK)
            self._parser.feed(data)
        except (TimeoutError, BlockingIOError) as error:
            self.close()
            if left <= silence:
                raise _too_late() from error
            raise _errors.TargetSilent(
                "the target fell silent in the middle of its answer",
                outcome=_errors.Outcome.UNKNOWN,
            ) from error
        except (OSError, _response.HTTPParseError) as error:
            self.close()
            raise _truncated() from error
        if not data and not self._parser.message_complete:
            self.close()
            raise _truncated()

    def _finish(self) -> None:
        if self._closed:
            return
        self._closed = True
        if self._parser.should_close():
            self._connection.close()
        else:
            self._pool.keep(self._connection)

    def abort(self) -> None:
        """Break the connection, from any greenlet."""
        self.aborted = True
        if self._closed:
            return
        try:
            self._connection.shutdown(_plain_socket.SHUT_RDWR)
        except OSError:
            return

    def close(self) -> None:
        """Close the connection; an answer read whole has kept it."""
        if self._closed:
            return
        self._closed = True
        self._connection.close()


def _too_late() -> _errors.DeadlineExceeded:
    return _errors.DeadlineExceeded(
        "the request's deadline passed before the target's answer was whole",
        outcome=_errors.Outcome.UNKNOWN,
    )


def _truncated() -> _errors.TargetTruncated:
    return _errors.TargetTruncated(
        "the target's answer ended before it was whole",
        outcome=_errors.Outcome.UNKNOWN,
    )


@final
class _IdleConnections:
    """Connections to one address that wait for their next request."""

    def __init__(self) -> None:
        self._idle: collections.deque[socket.socket] = collections.deque()

    def keep(self, connection: socket.socket) -> None:
        if len(self._idle) >= _IDLE_PER_TARGET:
            connection.close()
            return
        self._idle.append(connection)

    def take(self) -> socket.socket | None:
        while self._idle:
            connection = self._idle.pop()
            if _is_quiet(connection):
                return connection
            connection.close()
        return None

    def close(self) -> None:
        while self._idle:
            self._idle.pop().close()


def _is_quiet(connection: socket.socket) -> bool:
    """Say whether an idle connection has neither ended nor spoken.

    Bytes on an idle connection belong to an answer nobody asked for; the
    next caller must not get them.
    """
    flags = _plain_socket.MSG_PEEK | _plain_socket.MSG_DONTWAIT
    try:
        connection._sock.recv(1, flags)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


@final
class TargetConnections:
    """All connections of this daemon to targets.

    Parameters
    ----------
    connect_timeout : float
        Longest wait for a connection in seconds.
    clock : Clock
        Time.
    """

    def __init__(self, *, connect_timeout: float, clock: _clock.Clock) -> None:
        self._connect_timeout = connect_timeout
        self._clock = clock
        self._idle_by_address: dict[tuple[str, int], _IdleConnections] = {}

    def exchange(
        self,
        target: _targets.Target,
        request: TargetRequest,
        *,
        head_timeout: float,
        deadline: float = math.inf,
    ) -> TargetAnswer:
        """Send a request and wait for the head of its answer.

        Parameters
        ----------
        target : Target
            Where to.
        request : TargetRequest
            What.
        head_timeout : float
            Longest wait for the head in seconds.
        deadline : float
            Monotonic seconds at which the request ends.

        Raises
        ------
        ConnectFailed
            Not a byte was sent.
        TargetRefused
            The target says that it did not run the request.
        TargetFailed, TargetSilent
            Bytes were sent and no proper answer came: outcome unknown.
        DeadlineExceeded
            Bytes were sent and the deadline came first: outcome unknown.
        """
        pool = self._pool(target)
        connection = None if request.fresh else pool.take()
        if connection is None:
            connection = self._connect(target)
        try:
            answer = self._talk(
                connection, request, pool, head_timeout, deadline
            )
        except BaseException:
            connection.close()
            raise
        self._check(answer, request)
        return answer

    def _pool(self, target: _targets.Target) -> _IdleConnections:
        address = (target.host, target.port)
        pool = self._idle_by_address.get(address)
        if pool is None:
            pool = _IdleConnections()
            self._idle_by_address[address] = pool
        return pool

    def _connect(self, target: _targets.Target) -> socket.socket:
        try:
            connection = socket.create_connection(
                (target.host, target.port), timeout=self._connect_timeout
            )
        except OSError as error:
            raise ConnectFailed(
                f"no connection to {target.replica}: {error}"
            ) from error
        connection.setsockopt(
            _plain_socket.IPPROTO_TCP, _plain_socket.TCP_NODELAY, 1
        )
        return connection

    def _talk(
        self,
        connection: socket.socket,
        request: TargetRequest,
        pool: _IdleConnections,
        head_timeout: float,
        deadline: float,
    ) -> TargetAnswer:
        parser = _Parser(method=request.method)
        now = self._clock.monotonic()
        if now >= deadline:
            # A daemon that was frozen while it connected would run a
            # request long after its caller was told of the deadline.
            raise _errors.DeadlineExceeded("no connection before the deadline")
        silent_at = now + head_timeout
        end = min(silent_at, deadline)
        try:
            connection.settimeout(self._left(end))
            connection.sendall(_head(request) + request.body)
            self._read_head(connection, parser, end)
        except (TimeoutError, BlockingIOError) as error:
            if deadline <= silent_at:
                raise _too_late() from error
            raise _errors.TargetSilent(
                "the target did not answer in time",
                outcome=_errors.Outcome.UNKNOWN,
            ) from error
        except (OSError, _response.HTTPParseError) as error:
            raise _failed(str(error)) from error
        return TargetAnswer(
            connection=connection, parser=parser, pool=pool, clock=self._clock
        )

    def _left(self, end: float) -> float:
        return max(0.0, end - self._clock.monotonic())

    def _read_head(
        self, connection: socket.socket, parser: _Parser, end: float
    ) -> None:
        size = 0
        while not parser.headers_complete or parser.final_status < _FINAL:
            connection.settimeout(self._left(end))
            data = connection.recv(_BLOCK)
            if not data:
                raise _failed("the connection ended before the answer")
            size += len(data)
            if size > _MAX_HEAD and not parser.headers_complete:
                raise _failed("the head of the answer is too long")
            parser.feed(data)

    def _check(self, answer: TargetAnswer, request: TargetRequest) -> None:
        """Drop an answer that belongs to another request."""
        echoed = set(answer.header_values(REQUEST_ID))
        if echoed - {request.request_id}:
            answer.close()
            raise _failed("the answer belongs to another request")
        if answer.status == 503 and answer.header(NOT_RUN) == "true":
            leaving = answer.header(TARGET_STATE) == "leaving"
            answer.close()
            raise _errors.TargetRefused(
                "the target is leaving" if leaving else "the target refused",
                retry_after=1.0,
            )

    def close(self) -> None:
        """Close all idle connections."""
        for pool in self._idle_by_address.values():
            pool.close()


def _failed(why: str) -> _errors.TargetFailed:
    return _errors.TargetFailed(
        f"the target failed: {why}", outcome=_errors.Outcome.UNKNOWN
    )


def _head(request: TargetRequest) -> bytes:
    lines = [f"{request.method} {request.path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in request.headers]
    lines.append(f"{REQUEST_ID}: {request.request_id}")
    if request.body or request.method not in ("GET", "HEAD"):
        lines.append(f"Content-Length: {len(request.body)}")
    lines.append("\r\n")
    return "\r\n".join(lines).encode("latin-1")
