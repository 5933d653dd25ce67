"""Connections to targets, and requests on them.

A connection serves one request at a time and is reused only after the answer
was read completely: a late answer on a reused connection would otherwise reach
the next caller. The library's own client is not used to send requests, because
it silently sends them again when a reused connection turns out to be closed,
and a request that may run only once must never be sent twice.
"""

from collections.abc import Callable
import functools
import math
import socket as _plain_socket
from typing import NamedTuple
from typing import final

import gevent
from gevent import socket
from geventhttpclient import response as _response
import msgspec

from topazlug import _clock
from topazlug import _connection_loss
from topazlug import _errors
from topazlug import _ids
from topazlug import _logs
from topazlug.targets import _answer_heads
from topazlug.targets import _target
from topazlug.targets import _target_answer
from topazlug.targets import _target_report
from topazlug.targets import _target_runs
from topazlug.targets import _target_wire
from topazlug.targets import _targets

_log = _logs.logger("targets")
# A body of up to this many bytes fits the kernel buffers of both ends and is
# sent in one call. A longer one is sent while the answer is being read.
_MAX_INLINE_BODY_BYTES = 16384
# A connection whose peer vanished without a reset fails after this time, well
# before callers give up.
_MAX_SILENCE_SECONDS = 3

Opener = Callable[[_targets.Target], socket.socket]
ReportHandler = Callable[
    [_targets.Target, _target_report.TargetReport], object
]


@final
class _Use(NamedTuple):
    """A connection in use by a request."""

    connection: socket.socket
    target: _targets.Target
    run: _target_runs.Run | None


class TargetRequest(msgspec.Struct, frozen=True):
    """A request to a target.

    Attributes
    ----------
    fresh : bool
        Whether it requires a new connection. The target may close an idle one
        just as the request is sent, which leaves the outcome unknown.
    is_probe : bool
        Whether it is a poll, whose answer `has_answered_within` ignores.
    fingerprint : Fingerprint or None
        Identifies a caller's request across all its repeats; None for the
        daemon's own requests, whose runs are not tracked.
    attempt : str
        Identifies the caller's attempt, as a caller may use one request id
        for several attempts.
    parts : tuple of Fingerprint
        Parts of its prompt that it may share with other requests.
    """

    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    request_id: _ids.RequestId
    fresh: bool = False
    is_probe: bool = False
    fingerprint: _ids.Fingerprint | None = None
    attempt: str = ""
    parts: tuple[_ids.Fingerprint, ...] = ()


@final
class ConnectFailed(_errors.TopazlugError):
    """The connection failed; nothing of the request was sent.

    Attributes
    ----------
    is_timeout : bool
        Whether it timed out rather than being refused.
    """

    code = _errors.Code.NO_TARGET

    def __init__(self, message: str, *, is_timeout: bool = False) -> None:
        super().__init__(message)
        self.is_timeout = is_timeout


@final
class TargetConnections:
    """All connections of this daemon to targets.

    Parameters
    ----------
    connect_timeout : float
        Timeout in seconds for establishing a connection.
    clock : Clock
        Time.
    wire : TargetWire or None
        Header conventions; None for the project's own.
    idle_per_target : int
        Maximum number of idle connections to each target.
    handle_report : callable or None
        Called with each target that answers, and its report.
    on_connected : callable or None
        Called with each target that has accepted a connection.
    opener : callable or None
        Opens a connection to a target, and raises OSError or PeerRefused if
        that fails; None for plain TCP.

    Attributes
    ----------
    last_received_at : float
        Monotonic seconds at which any target last sent something.
    runs : RunTracker
        Runs of callers' requests on each replica process.
    """

    def __init__(
        self,
        *,
        connect_timeout: float,
        clock: _clock.Clock,
        wire: _target_wire.TargetWire | None = None,
        idle_per_target: int = _target_answer.IDLE_PER_TARGET,
        handle_report: ReportHandler | None = None,
        on_connected: Callable[[_targets.Target], None] | None = None,
        opener: Opener | None = None,
    ) -> None:
        self._open = opener or self._open_plain
        self.last_received_at = -math.inf
        self._handle_report = handle_report
        self._on_connected = on_connected
        self._idle_per_target = idle_per_target
        self._connect_timeout = connect_timeout
        self._clock = clock
        self._wire = wire or _target_wire.DefaultTargetWire()
        self._head_reader = _answer_heads.HeadReader(
            id_header=self._wire.id_header, clock=clock
        )
        self.runs = _target_runs.RunTracker(clock=clock)
        self._last_received_at: dict[_ids.ReplicaId, float] = {}
        self._in_use_by_process: dict[
            _target.ReplicaProcess, set[socket.socket]
        ] = {}
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
            The target.
        request : TargetRequest
            The request.
        head_timeout : float
            Timeout in seconds for receiving the head.
        deadline : float
            Monotonic seconds at which the request ends.

        Raises
        ------
        ConnectFailed
            Nothing was sent.
        TargetRefused
            The target answered that it did not run the request.
        TargetFailed, TargetSilent
            The request was sent but not validly answered; its outcome is
            unknown.
        DeadlineExceeded
            The deadline passed. The outcome is unknown if the request was
            sent.
        """
        pool = self._pool(target)
        idle = None if request.fresh else pool.take()
        connection = idle.connection if idle else self._connect(target)
        use = self._begin_use(connection, target, request)
        try:
            answer = self._send_and_read_head(
                use,
                request,
                head_timeout,
                deadline,
                previous=self._previous_request(idle),
            )
        except BaseException as error:
            self._end_use(use, _end_of(error))
            connection.close()
            raise
        if not request.is_probe:
            self.record_received(target)
        if self._handle_report is not None:
            self._handle_report(target, self._wire.report(answer))
        answer.idle_seconds = self._wire.idle_seconds(answer)
        rejection = self._wire.rejection(answer)
        if rejection is not None:
            answer.close(_target_runs.RunEnd.NOT_RUN)
            _log.info(
                "{replica} rejected the request: {why}",
                replica=target.replica,
                why=rejection.message,
                status=answer.status,
                retry_after=answer.header(_target_report.RETRY_AFTER),
            )
            raise rejection
        return answer

    def _begin_use(
        self,
        connection: socket.socket,
        target: _targets.Target,
        request: TargetRequest,
    ) -> _Use:
        process = _target.process_of(target)
        self._in_use_by_process.setdefault(process, set()).add(connection)
        run = None
        if request.fingerprint is not None:
            run = self.runs.begin(
                target,
                fingerprint=request.fingerprint,
                attempt=request.attempt or request.request_id,
                parts=request.parts,
            )
        return _Use(connection, target, run)

    def _end_use(
        self, use: _Use, end: _target_runs.RunEnd, status: int = 0
    ) -> None:
        process = _target.process_of(use.target)
        in_use = self._in_use_by_process.get(process, set())
        in_use.discard(use.connection)
        if not in_use:
            self._in_use_by_process.pop(process, None)
        if use.run is not None:
            self.runs.finish(use.run, end, status=status)

    def drop_connections(self, target: _targets.Target) -> None:
        """Shut down all connections to a replica process that has ended.

        Requests that wait on them fail at once, even if the process ended
        without a reset of its connections. An answer that would still arrive
        on one is not from the replica's current process.
        """
        pool = self._idle_by_address.pop((target.host, target.port), None)
        if pool is not None:
            pool.close()
        in_use = self._in_use_by_process.get(_target.process_of(target), set())
        for connection in list(in_use):
            _target_answer.shut_down(connection)

    def record_received(self, target: _targets.Target) -> None:
        """Record that a target has just sent something."""
        self.last_received_at = self._clock.monotonic()
        self._last_received_at[target.replica] = self.last_received_at

    def _previous_request(
        self, idle: _target_answer.IdleConnection | None
    ) -> _ids.RequestId | None:
        """Return the request whose answer may be repeated, if any."""
        if idle is None or not self._wire.repeats_answers:
            return None
        return idle.last_request

    def has_answered_within(
        self, replica: _ids.ReplicaId, seconds: float
    ) -> bool:
        """Return whether a target has recently answered a caller's request."""
        at = self._last_received_at.get(replica, -math.inf)
        return self._clock.monotonic() - at < seconds

    def _pool(self, target: _targets.Target) -> _target_answer.IdleConnections:
        address = (target.host, target.port)
        pool = self._idle_by_address.get(address)
        if pool is None:
            pool = _target_answer.IdleConnections(
                clock=self._clock, max_connections=self._idle_per_target
            )
            self._idle_by_address[address] = pool
        return pool

    def _connect(self, target: _targets.Target) -> socket.socket:
        try:
            connection = self._open(target)
        except (OSError, _errors.PeerRefused) as error:
            raise ConnectFailed(
                f"no connection to {target.replica}: {error}",
                is_timeout=isinstance(error, TimeoutError),
            ) from error
        _set_options(connection)
        if self._on_connected is not None:
            self._on_connected(target)
        return connection

    def _open_plain(self, target: _targets.Target) -> socket.socket:
        return socket.create_connection(
            (target.host, target.port), timeout=self._connect_timeout
        )

    def can_connect(self, target: _targets.Target) -> bool:
        """Return whether a target accepts a connection, which is closed."""
        try:
            self._connect(target).close()
        except ConnectFailed:
            return False
        return True

    def _send_and_read_head(
        self,
        use: _Use,
        request: TargetRequest,
        head_timeout: float,
        deadline: float,
        *,
        previous: _ids.RequestId | None,
    ) -> _target_answer.TargetAnswer:
        connection, target = use.connection, use.target
        now = self._clock.monotonic()
        if now >= deadline:
            # If the daemon was suspended while it connected, the request
            # would run long after its caller received a deadline error.
            raise _errors.DeadlineExceeded("no connection before the deadline")
        head_timeout_at = now + head_timeout
        end = min(head_timeout_at, deadline)
        sender = None
        try:
            connection.settimeout(self._remaining(end))
            sender = self._send(connection, request)
            parser = self._head_reader.read(
                connection,
                method=request.method,
                request_id=request.request_id,
                end=end,
                previous=previous,
            )
        except (TimeoutError, BlockingIOError) as error:
            if deadline <= head_timeout_at:
                raise _target_answer.deadline_error() from error
            raise _errors.TargetSilent(
                "the target did not answer within the timeout",
                outcome=_errors.Outcome.UNKNOWN,
            ) from error
        except (OSError, _response.HTTPParseError) as error:
            raise _answer_heads.target_failed_error(str(error)) from error
        return _target_answer.TargetAnswer(
            connection=connection,
            parser=parser,
            pool=self._pool(target),
            request_id=request.request_id,
            clock=self._clock,
            sender=sender,
            on_receive=functools.partial(self.record_received, target),
            on_end=functools.partial(self._end_use, use),
            on_body=(
                functools.partial(self.runs.record_body, use.run)
                if use.run is not None
                else None
            ),
        )

    def _send(
        self, connection: socket.socket, request: TargetRequest
    ) -> gevent.Greenlet | None:
        """Send a request; a long body is sent by a greenlet of its own.

        A target may answer before it has read all of a long body, and stop
        reading. A sender that first sent the complete body would then block
        on the target, and the target on a reader for its answer.
        """
        head = _head(request, self._wire.id_header)
        if len(request.body) <= _MAX_INLINE_BODY_BYTES:
            connection.sendall(head + request.body)
            return None
        connection.sendall(head)
        return gevent.spawn(_send_body, connection, request.body)

    def _remaining(self, end: float) -> float:
        return max(0.0, end - self._clock.monotonic())

    def sweep(self) -> None:
        """Close expired idle connections."""
        for address, pool in list(self._idle_by_address.items()):
            pool.sweep()
            if not len(pool):
                del self._idle_by_address[address]

    def close(self) -> None:
        """Close all idle connections."""
        for pool in self._idle_by_address.values():
            pool.close()


def _end_of(error: BaseException) -> _target_runs.RunEnd:
    """Return how a run ended that failed before an answer's head."""
    ends = _target_runs.RunEnd
    if isinstance(error, _errors.RequestError):
        if error.outcome is _errors.Outcome.NOT_RUN:
            return ends.NOT_RUN
        is_failed = isinstance(error, _errors.TargetFailed)
        return ends.LOST if is_failed else ends.TIMED_OUT
    return ends.ABANDONED


def _set_options(connection: socket.socket) -> None:
    connection.setsockopt(
        _plain_socket.IPPROTO_TCP, _plain_socket.TCP_NODELAY, 1
    )
    _connection_loss.limit_silence(connection, seconds=_MAX_SILENCE_SECONDS)


def _send_body(connection: socket.socket, body: bytes) -> bool:
    """Send a body; failures are left to the reader of the answer.

    Returns
    -------
    bool
        Whether all of it was sent.
    """
    try:
        connection.sendall(body)
    except OSError as error:
        _log.debug("request body not sent completely: {why}", why=str(error))
        return False
    return True


def _head(request: TargetRequest, id_header: str) -> bytes:
    lines = [f"{request.method} {request.path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in request.headers]
    lines.append(f"{id_header}: {request.request_id}")
    if request.body or request.method not in ("GET", "HEAD"):
        lines.append(f"Content-Length: {len(request.body)}")
    lines.append("\r\n")
    return "\r\n".join(lines).encode("latin-1")
