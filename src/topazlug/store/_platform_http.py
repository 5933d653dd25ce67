"""One HTTP exchange with a service of the platform, never repeated.

The library's own client sends a request again when a reused connection
turns out closed. For a write that is a second execution, so this module
takes the library's connection pool and parser and sends each request once.
"""

import datetime
from email import utils
import select
from typing import final

import gevent
from gevent import socket
from geventhttpclient import connectionpool
from geventhttpclient import response
import msgspec

from topazlug import _clock
from topazlug import _errors

MAX_CONNECTIONS = 8
MAX_ANSWER_BYTES = 64 * 1024 * 1024
DEFAULT_RETRY_AFTER = 1.0
MAX_RETRY_AFTER = 300.0
_BLOCK_BYTES = 64 * 1024
# Two seconds of silence on the line mean that the platform is out of reach;
# a new connection then finds the way back as soon as there is one.
_KEEPALIVE_SECONDS = 1
_KEEPALIVE_PROBES = 1
_UNACKNOWLEDGED_MILLISECONDS = 2000
_HEAD = (
    "{method} {target} HTTP/1.1\r\n"
    "Host: {host}:{port}\r\n"
    "Content-Type: {content_type}\r\n"
    "Content-Length: {length}\r\n"
    "\r\n"
)


@final
class PlatformAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """A whole answer of the platform.

    Attributes
    ----------
    status : int
        HTTP status code.
    retry_after : float or None
        Seconds that the answer asks to wait, if it names any.
    body : bytes
        The whole body.
    """

    status: int
    retry_after: float | None
    body: bytes


@final
class _Pool(connectionpool.ConnectionPool):
    # A call may wait long for its answer by design. If the platform is cut
    # off meanwhile, only unanswered probes show it.
    def after_connect(self, sock: socket.socket) -> None:
        tcp = socket.IPPROTO_TCP
        sock.setsockopt(tcp, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(tcp, socket.TCP_KEEPIDLE, _KEEPALIVE_SECONDS)
        sock.setsockopt(tcp, socket.TCP_KEEPINTVL, _KEEPALIVE_SECONDS)
        sock.setsockopt(tcp, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
        sock.setsockopt(
            tcp, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MILLISECONDS
        )

    # The library asks select(), which refuses descriptors from 1024 on: a
    # daemon with many callers would then open a connection for every call,
    # seen as a growing count of sockets in TIME_WAIT. poll() has no such
    # bound.
    def _is_socket_alive(self, sock: socket.socket | None) -> bool:
        if sock is None or sock.fileno() < 0:
            return False
        poll = select.poll()
        poll.register(sock.fileno(), select.POLLIN)
        return not poll.poll(0)


@final
class PlatformHttp:
    """Bounded connections to one service of the platform.

    Parameters
    ----------
    host : str
        IP number.
    port : int
        TCP port.
    timeout : float
        Longest time in seconds that one exchange takes, with the wait for
        a connection.
    clock : Clock
        Tells how far away a ``Retry-After`` date is.
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
    ) -> PlatformAnswer:
        """Send one request once and read its whole answer.

        Parameters
        ----------
        method, target : str
            As in the request line.
        body : bytes
            Whole body.
        content_type : str
            Its kind.
        timeout : float or None
            Longest time in seconds instead of the usual one.

        Raises
        ------
        StoreUnavailable
            No byte was sent.
        StoreAmbiguous
            Bytes were sent and no whole answer came back.
        """
        head = _HEAD.format(
            method=method,
            target=target,
            host=self._host,
            port=self._port,
            content_type=content_type,
            length=len(body),
        )
        allowed = self._timeout if timeout is None else timeout
        with gevent.Timeout(allowed) as expiry:
            sock = self._connect(expiry)
            whole = False
            try:
                sock.settimeout(allowed)
                sock.sendall(head.encode("ascii") + body)
                parsed = _read_answer(sock, method)
                whole = not parsed.should_close()
            except gevent.Timeout as error:
                if error is not expiry:
                    raise
                raise self._ambiguous(method, "no answer in time") from error
            except (OSError, response.HTTPParseError) as error:
                raise self._ambiguous(method, repr(error)) from error
            finally:
                # A connection whose answer was not read whole would hand
                # that answer to the next request.
                self._put_back(sock, reusable=whole)
        return self._answer_of(parsed)

    def close(self) -> None:
        """Close the idle connections; later calls fail."""
        self._pool.close()

    def _connect(self, timeout: gevent.Timeout) -> socket.socket:
        try:
            return self._pool.get_socket()
        except gevent.Timeout as error:
            if error is not timeout:
                raise
            raise self._unreached("no connection in time") from error
        except (OSError, RuntimeError) as error:
            raise self._unreached(repr(error)) from error

    def _put_back(self, sock: socket.socket, *, reusable: bool) -> None:
        if reusable:
            self._pool.return_socket(sock)
        else:
            self._pool.release_socket(sock)

    def _unreached(self, why: str) -> _errors.StoreUnavailable:
        return _errors.StoreUnavailable(
            f"platform at {self._host}:{self._port} not reached: {why}",
            retry_after=DEFAULT_RETRY_AFTER,
        )

    def _ambiguous(self, method: str, why: str) -> _errors.StoreAmbiguous:
        return _errors.StoreAmbiguous(
            f"{method} to {self._host}:{self._port} got no whole answer: {why}"
        )

    def _answer_of(self, parsed: response.HTTPResponse) -> PlatformAnswer:
        named = parsed.get("retry-after")
        wait = None
        if isinstance(named, str):
            wait = _seconds_of(named, now=self._clock.now())
        return PlatformAnswer(
            status=parsed.status_code,
            retry_after=wait,
            body=bytes(parsed._body_buffer),
        )


def unavailable(answer: PlatformAnswer) -> _errors.StoreUnavailable:
    """Give the error for a request that the platform refused whole."""
    return _errors.StoreUnavailable(
        f"platform answered {answer.status}; try again later",
        retry_after=answer.retry_after or DEFAULT_RETRY_AFTER,
    )


def _read_answer(sock: socket.socket, method: str) -> response.HTTPResponse:
    parsed = response.HTTPResponse(method=method)
    size = 0
    while not parsed.message_complete or parsed.status_code < 200:
        block = sock.recv(_BLOCK_BYTES)
        size += len(block)
        parsed.feed(block)
        if not block and not parsed.message_complete:
            raise response.HTTPConnectionClosed("closed inside the answer")
        if size > MAX_ANSWER_BYTES:
            raise response.HTTPParseError("answer passes MAX_ANSWER_BYTES")
    return parsed


def _seconds_of(named: str, *, now: datetime.datetime) -> float | None:
    if named.isascii() and named.isdigit():
        return min(float(named), MAX_RETRY_AFTER)
    try:
        at = utils.parsedate_to_datetime(named)
    except ValueError:
        return None
    if at.tzinfo is None:
        at = at.replace(tzinfo=datetime.timezone.utc)
    return min(max((at - now).total_seconds(), 0.0), MAX_RETRY_AFTER)
