"""HTTP exchanges with the platform's services, without automatic retries.

The client of geventhttpclient sends a request again if a reused connection
turns out to be closed. A write could then be executed twice, so this module
uses the library's connection pool and parser, and sends each request once.
"""

from collections.abc import Callable
import datetime
from email import utils
import functools
import select
from typing import final

import gevent
from gevent import socket
from geventhttpclient import connectionpool
from geventhttpclient import response
import msgspec

from topazlug import _clock
from topazlug import _connection_loss
from topazlug import _errors

MAX_CONNECTIONS = 8
MAX_ANSWER_BYTES = 64 * 1024 * 1024
DEFAULT_RETRY_AFTER = 1.0
MAX_RETRY_AFTER = 300.0
_BLOCK_BYTES = 64 * 1024
# Maximum seconds for which a large answer may arrive after the time-out for
# its first byte. At 5 Mbit/s these are 2 MB.
_MAX_TRANSFER_SECONDS = 4.0
# After two seconds without acknowledgements the platform counts as
# unreachable. A new connection works as soon as it is reachable again.
_MAX_SILENCE_SECONDS = 2
_REQUEST_HEAD = (
    "{method} {target} HTTP/1.1\r\n"
    "Host: {host}:{port}\r\n"
    "Content-Type: {content_type}\r\n"
    "Content-Length: {length}\r\n"
    "\r\n"
)


@final
class PlatformAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """A complete answer of the platform.

    Attributes
    ----------
    status : int
        HTTP status code.
    retry_after : float or None
        Value of ``Retry-After`` in seconds, if any.
    body : bytes
        The complete body.
    """

    status: int
    retry_after: float | None
    body: bytes


@final
class _Pool(connectionpool.ConnectionPool):
    # A call may wait long for its answer by design. Only keepalive probes
    # detect that the platform has become unreachable meanwhile.
    def after_connect(self, sock: socket.socket) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        _connection_loss.limit_silence(sock, seconds=_MAX_SILENCE_SECONDS)

    # The library's method uses select(), which fails for descriptors from
    # 1024 on. A daemon with many callers would then open a connection for
    # every call, which shows as a growing number of sockets in TIME_WAIT.
    # poll() has no such limit.
    def _is_socket_alive(self, sock: socket.socket | None) -> bool:
        if sock is None or sock.fileno() < 0:
            return False
        poll = select.poll()
        poll.register(sock.fileno(), select.POLLIN)
        return not poll.poll(0)


@final
class PlatformHttp:
    """A bounded pool of connections to one service of the platform.

    Parameters
    ----------
    host : str
        IP number.
    port : int
        TCP port.
    timeout : float
        Maximum duration of one exchange in seconds, including the wait for
        a connection.
    clock : Clock
        Source of wall time, for dates in ``Retry-After``.
    """

    def __init__(
        self, *, host: str, port: int, timeout: float, clock: _clock.Clock
    ) -> None:
        self._host = host
        self._port = port
        self._timeout = timeout
        self._clock = clock
        self._pool = _Pool(
            host,
            port,
            host,
            port,
            size=MAX_CONNECTIONS,
            connection_timeout=timeout,
            network_timeout=timeout,
        )

    def call(
        self,
        method: str,
        target: str,
        *,
        body: bytes = b"",
        content_type: str = "application/json",
        timeout: float | None = None,
        idle_timeout: float | None = None,
    ) -> PlatformAnswer:
        """Send a request once and read its complete answer.

        Parameters
        ----------
        method, target : str
            Method and target of the request line.
        body : bytes
            Complete body.
        content_type : str
            Content type of the body.
        timeout : float or None
            Maximum duration in seconds, if not the default.
        idle_timeout : float or None
            If given, the answer may arrive until after `timeout`, as long as
            no more than this many seconds pass between two parts of it.
            Otherwise a large answer on a slow link would be discarded while
            it arrives, and requested again in vain.

        Raises
        ------
        StoreUnavailable
            No byte was sent.
        StoreAmbiguous
            Bytes were sent, and no complete answer was received.
        """
        head = _REQUEST_HEAD.format(
            method=method,
            target=target,
            host=self._host,
            port=self._port,
            content_type=content_type,
            length=len(body),
        )
        seconds = self._timeout if timeout is None else timeout
        ends_at = self._clock.monotonic() + seconds
        transfer_seconds = (
            0.0 if idle_timeout is None else _MAX_TRANSFER_SECONDS
        )
        with (
            gevent.Timeout(seconds + transfer_seconds) as whole,
            gevent.Timeout(seconds) as start,
        ):
            sock = self._connect(start)
            complete = False
            try:
                sock.settimeout(seconds)
                sock.sendall(head.encode("ascii") + body)
                parsed = _read_answer(
                    sock,
                    method,
                    on_block=functools.partial(
                        self._extend, sock, start, ends_at, idle_timeout
                    ),
                )
                complete = not parsed.should_close()
            except gevent.Timeout as error:
                if error is not whole and error is not start:
                    raise
                raise self._ambiguous(method, "no answer in time") from error
            except (OSError, response.HTTPParseError) as error:
                raise self._ambiguous(method, repr(error)) from error
            finally:
                # If the answer was not read completely, the next request
                # on the connection would receive the rest of it.
                self._release(sock, reusable=complete)
        return self._build_answer(parsed)

    def _extend(
        self,
        sock: socket.socket,
        start: gevent.Timeout,
        ends_at: float,
        idle_timeout: float | None,
    ) -> None:
        """Let a call whose answer has begun go on while more arrives."""
        if idle_timeout is None:
            return
        start.cancel()
        remaining = ends_at - self._clock.monotonic()
        sock.settimeout(max(idle_timeout, remaining))

    def close(self) -> None:
        """Close the idle connections; later calls fail."""
        self._pool.close()

    def _connect(self, timeout: gevent.Timeout) -> socket.socket:
        try:
            return self._pool.get_socket()
        except gevent.Timeout as error:
            if error is not timeout:
                raise
            raise self._unreachable("no connection in time") from error
        except (OSError, RuntimeError) as error:
            raise self._unreachable(repr(error)) from error

    def _release(self, sock: socket.socket, *, reusable: bool) -> None:
        if reusable:
            self._pool.return_socket(sock)
        else:
            self._pool.release_socket(sock)

    def _unreachable(self, why: str) -> _errors.StoreUnavailable:
        return _errors.StoreUnavailable(
            f"platform at {self._host}:{self._port} is unreachable: {why}",
            retry_after=DEFAULT_RETRY_AFTER,
        )

    def _ambiguous(self, method: str, why: str) -> _errors.StoreAmbiguous:
        return _errors.StoreAmbiguous(
            f"{method} to {self._host}:{self._port}: no complete answer: {why}"
        )

    def _build_answer(self, parsed: response.HTTPResponse) -> PlatformAnswer:
        value = parsed.get("retry-after")
        retry_after = None
        if isinstance(value, str):
            retry_after = _parse_retry_after(value, now=self._clock.now())
        return PlatformAnswer(
            status=parsed.status_code,
            retry_after=retry_after,
            body=bytes(parsed._body_buffer),
        )


def unavailable(answer: PlatformAnswer) -> _errors.StoreUnavailable:
    """Return the error for a request that the platform rejected."""
    return _errors.StoreUnavailable(
        f"platform answered {answer.status}; try again later",
        retry_after=answer.retry_after or DEFAULT_RETRY_AFTER,
    )


def _read_answer(
    sock: socket.socket,
    method: str,
    *,
    on_block: Callable[[], None],
) -> response.HTTPResponse:
    parsed = response.HTTPResponse(method=method)
    size = 0
    while not parsed.message_complete or parsed.status_code < 200:
        block = sock.recv(_BLOCK_BYTES)
        on_block()
        size += len(block)
        parsed.feed(block)
        if not block and not parsed.message_complete:
            raise response.HTTPConnectionClosed(
                "connection closed before the end of the answer"
            )
        if size > MAX_ANSWER_BYTES:
            raise response.HTTPParseError("answer exceeds MAX_ANSWER_BYTES")
    return parsed


def _parse_retry_after(value: str, *, now: datetime.datetime) -> float | None:
    if value.isascii() and value.isdigit():
        return min(float(value), MAX_RETRY_AFTER)
    try:
        at = utils.parsedate_to_datetime(value)
    except ValueError:
        return None
    if at.tzinfo is None:
        at = at.replace(tzinfo=datetime.timezone.utc)
    return min(max((at - now).total_seconds(), 0.0), MAX_RETRY_AFTER)
