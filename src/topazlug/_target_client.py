"""Connections to targets, and one request with its answer on each.

A connection serves one request at a time and is reused only after the whole
answer was read: a late answer on a reused connection would otherwise reach
the next caller. The library's own client is not used to send, because it
silently sends again when a kept connection turns out to be closed, and a
request that may run once only must never be sent twice.
"""

import math
import socket as _plain_socket
from typing import final

from gevent import socket
from geventhttpclient import response as _response
import msgspec

from topazlug import _clock
from topazlug import _errors
from topazlug import _ids
from topazlug import _target_answer
from topazlug import _targets

_MAX_HEAD = 65536
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
    is_probe: bool = False


@final
class ConnectFailed(_errors.TopazlugError):
    """No connection: not a byte of the request was sent."""

    code = _errors.Code.NO_TARGET


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
        self._heard_at: dict[_ids.ReplicaId, float] = {}
        self._idle_by_address: dict[
            tuple[str, int], _target_answer.IdleConnections
        ] = {}

    def exchange(
        self,
        target: _targets.Target,
        request: TargetRequest,
        *,
        head_timeout: float,
        deadline: float = math.inf,
    ) -> _target_answer.TargetAnswer:
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
        if not request.is_probe:
            self._heard_at[target.replica] = self._clock.monotonic()
        self._check(answer, request)
        return answer

    def heard_within(self, target: _targets.Target, seconds: float) -> bool:
        """Say whether a target has answered a caller's request lately."""
        at = self._heard_at.get(target.replica, -math.inf)
        return self._clock.monotonic() - at < seconds

    def _pool(self, target: _targets.Target) -> _target_answer.IdleConnections:
        address = (target.host, target.port)
        pool = self._idle_by_address.get(address)
        if pool is None:
            pool = _target_answer.IdleConnections(clock=self._clock)
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
        pool: _target_answer.IdleConnections,
        head_timeout: float,
        deadline: float,
    ) -> _target_answer.TargetAnswer:
        parser = _target_answer.AnswerParser(method=request.method)
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
                raise _target_answer.too_late() from error
            raise _errors.TargetSilent(
                "the target did not answer in time",
                outcome=_errors.Outcome.UNKNOWN,
            ) from error
        except (OSError, _response.HTTPParseError) as error:
            raise _failed(str(error)) from error
        return _target_answer.TargetAnswer(
            connection=connection, parser=parser, pool=pool, clock=self._clock
        )

    def _left(self, end: float) -> float:
        return max(0.0, end - self._clock.monotonic())

    def _read_head(
        self,
        connection: socket.socket,
        parser: _target_answer.AnswerParser,
        end: float,
    ) -> None:
        size = 0
        while (
            not parser.headers_complete
            or parser.final_status < _target_answer.FINAL
        ):
            connection.settimeout(self._left(end))
            data = connection.recv(_target_answer.BLOCK)
            if not data:
                raise _failed("the connection ended before the answer")
            size += len(data)
            if size > _MAX_HEAD and not parser.headers_complete:
                raise _failed("the head of the answer is too long")
            parser.feed(data)

    def _check(
        self, answer: _target_answer.TargetAnswer, request: TargetRequest
    ) -> None:
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

    def sweep(self) -> None:
        """Close connections that waited too long for a next request."""
        for address, pool in list(self._idle_by_address.items()):
            pool.sweep()
            if not len(pool):
                del self._idle_by_address[address]

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
