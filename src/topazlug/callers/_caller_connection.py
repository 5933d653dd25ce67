"""Connection handler of the callers' listener, with bounds on time."""

import functools
import socket as _plain_socket
import ssl
import struct
import time
import traceback
from typing import Any

import gevent
from gevent import pywsgi

from topazlug import _errors
from topazlug import _ids
from topazlug import _logs
from topazlug.callers import _body_reader
from topazlug.callers import _caller_answer
from topazlug.callers import _caller_head
from topazlug.callers import _caller_request
from topazlug.callers import _caller_watch
from topazlug.callers import _kernel_queues
from topazlug.callers import _memory_budget

_log = _logs.logger("callers")
HEAD_SECONDS = 10.0
IDLE_SECONDS = 75.0
_WRITE_SECONDS = 30.0
_LINGER_SECONDS = 2.0
_LINGER_BLOCK_BYTES = 65536
_SEND_BLOCK_BYTES = 65536
_MAX_JOINED_BYTES = 16384
# Blocks that are read or sent between two turns.
_BLOCKS_PER_TURN = 4
# Closes a connection with a reset, which frees its queues in the kernel.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_GIVEN_UP_RETRY_SECONDS = 0.5
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


def _error_response(error: _errors.RequestError) -> bytes:
    """Return the bytes of the answer to a malformed request."""
    answer = _caller_answer.error_answer(error, _ids.RequestId(""))
    lines = [f"HTTP/1.1 {_caller_answer.status_line(answer.status)}"]
    lines += [f"{name}: {value}" for name, value in answer.headers]
    lines += ["Connection: close", "", ""]
    return "\r\n".join(lines).encode("latin-1") + b"".join(answer.body)


class CallersHandler(pywsgi.WSGIHandler):
    """Handler of one connection, with bounds on the time for each step."""

    _rejection: _errors.RequestError | None = None
    has_ended_reading = False
    # Whether it was given up, so that no more is sent.
    _is_aborted = False
    _is_lingering = False
    _may_linger = True
    # Whether the next bytes to send wait for those after them, and these.
    _joins_head = False
    _head = b""
    # Changes when a request begins and when it ends.
    _step = 0
    # Iteration of the event loop in which the last request line was read.
    _read_in_iteration: int | None = None
    _greenlet: gevent.Greenlet | None = None
    code: Any = None
    # Requests that the connection has carried.
    request_count = 0

    def handle(self) -> None:
        """Serve one connection."""
        self.socket.setsockopt(
            _plain_socket.IPPROTO_TCP, _plain_socket.TCP_NODELAY, 1
        )
        self._greenlet = gevent.getcurrent()
        self._hub = gevent.get_hub()
        self.holding = _memory_budget.Holding(self.server.budget, self)
        self.server.handler_accepted(self)
        try:
            super().handle()
        except _errors.TopazlugError as error:
            _log.info("connection ended: {why}", why=error.message)
        finally:
            self.server.handler_closed(self)
            self.holding.close()
            # These refer to the handler; a cycle would stay until the next
            # collection of garbage.
            self.environ = None
            self._greenlet = None
            self._rejection = None

    def read_requestline(self) -> str:
        """Read the request line; close a connection that stays idle."""
        # A new connection is about to carry its first request.
        if self.server.closes_idle and self.request_count:
            self.end_reading()
        line = ""
        self.server.idle_handlers[self] = None
        try:
            with gevent.Timeout(self.server.idle_seconds, False):
                line = super().read_requestline()
        finally:
            self.server.idle_handlers.pop(self, None)
        loop = self._hub.loop
        if self._read_in_iteration == loop.iteration:
            # Nobody else has run since the last request was read. A caller
            # that sends requests ahead would hold up all others.
            self.server.turns.wait()
        self._read_in_iteration = loop.iteration
        return line

    def end_reading(self) -> bool:
        """Accept no further request, unless one has begun to arrive.

        Returns
        -------
        bool
            Whether the connection ends. If not, the request that arrives is
            read completely.
        """
        if self._has_unread_bytes():
            return False
        self.has_ended_reading = True
        try:
            # The library's own shutdown interrupts a waiting read and so
            # discards bytes that have just arrived.
            self.socket._sock.shutdown(_plain_socket.SHUT_RD)
        except OSError:
            # The caller has closed it.
            return True
        return True

    def _has_unread_bytes(self) -> bool:
        # A TLS connection can't be peeked at without consuming data.
        if isinstance(self.socket, ssl.SSLSocket):
            return False
        flags = _plain_socket.MSG_PEEK | _plain_socket.MSG_DONTWAIT
        try:
            return bool(self.socket._sock.recv(1, flags))
        except OSError:
            # Nothing has arrived, or the caller has closed it.
            return False

    def read_request(self, raw_requestline: str) -> Any:
        """Read the head within the time limit.

        Otherwise a caller that sends a byte from time to time could hold a
        connection for ever, and enough such callers would hold all of them.
        """
        _caller_head.check_line(raw_requestline)
        self._step += 1
        self.holding.begin(_memory_budget.Stage.READING)
        self.server.stalled.begin(self)
        # A variable for the error would make a cycle with its traceback.
        with gevent.Timeout(
            self.server.head_seconds,
            _errors.BodyTooSlow("the head of the request took too long"),
        ):
            return super().read_request(raw_requestline)

    def MessageClass(self, *args: Any) -> Any:  # noqa: N802
        """Read the fields; the library calls this method by its name."""
        fields = _caller_head.read(
            self.rfile,
            version=self.request_version,
            max_bytes=self.server.max_head_bytes,
            count_bytes=functools.partial(self.holding.grow, is_small=True),
        )
        return super().MessageClass(fields)

    def handle_one_request(self) -> Any:
        """Serve one request; answer a malformed one with a JSON error."""
        try:
            return self._handle_one_request()
        finally:
            self._step += 1
            self.server.stalled.end(self)
            self.holding.release()

    def _handle_one_request(self) -> Any:
        result = super().handle_one_request()
        if not isinstance(result, tuple):
            return result
        self.holding.release()
        if self.has_ended_reading or self._is_aborted:
            # The request is incomplete because nothing more is read.
            return None
        error = self._rejection or _errors.BadHeader(
            "the request line is too long"
        )
        self.socket.sendall(_error_response(error))
        self._linger()
        return None

    def _handle_client_error(self, ex: Exception) -> Any:
        self._rejection = _errors.BadHeader("not an HTTP/1.1 request")
        if isinstance(ex, _errors.RequestError):
            # The traceback refers to the head that was read.
            self._rejection = ex.with_traceback(None)
        _log.info("rejected a request: {why}", why=self._rejection.message)
        # The library would also print a traceback. Its result means that the
        # connection ends; `_handle_one_request` sends the answer.
        return self._rejection.status, b""

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment with the project's own keys."""
        environ = super().get_environ()
        # Also where another protocol is asked for, which the library would
        # leave to the application.
        self.wsgi_input = environ["wsgi.input"] = self._new_body_reader()
        # After `end_reading` the socket looks as if the caller had
        # disconnected, so a watch would cancel a request that had just
        # arrived.
        is_watched = not self.has_ended_reading
        environ[_caller_request.SOCKET] = self.socket if is_watched else None
        environ[_caller_request.HAS_ENDED_READING] = self.has_ended_reading
        environ[_caller_request.RAW_PATH] = self.path.partition("?")[0]
        environ[_caller_request.HOLDING] = self.holding
        environ[_caller_request.FIELDS] = self.headers.items()
        environ[_caller_request.TARGET] = self.path
        self.request_count += 1
        environ[_caller_request.NUMBER] = self.request_count
        return environ

    def _new_body_reader(self) -> _body_reader.BodyReader:
        coding = self.headers.get("transfer-encoding", "")
        return _body_reader.BodyReader(
            self.rfile,
            length=self.content_length or 0,
            is_chunked=coding.lower() == "chunked",
            holding=self.holding,
            turns=self.server.turns,
            on_begin=self._begin_body,
            on_end=self._end_body,
        )

    def _begin_body(self) -> None:
        if self.headers.get("expect", "") == "100-continue":
            self.socket.sendall(_CONTINUE)

    def _end_body(self) -> None:
        self.server.stalled.end(self)
        self.holding.stage = _memory_budget.Stage.SERVING

    def is_moving(self) -> bool:
        """Return whether the caller has sent or read much just now."""
        return self.holding.is_moving()

    def give_up(self) -> None:
        """End the connection, which has waited for its caller for long."""
        error = _errors.Overloaded(
            "nearly all connections are in use, and this request is"
            " incomplete",
            retry_after=_GIVEN_UP_RETRY_SECONDS,
        )
        self._hub.loop.run_callback(self._interrupt, error, self._step, False)

    def give_way(self, error: _errors.MemoryBudgetExceeded) -> None:
        """Release what the connection holds."""
        self._hub.loop.run_callback(self._interrupt, error, self._step, True)

    def _interrupt(
        self, error: _errors.RequestError, step: int, may_linger: bool
    ) -> None:
        """Refuse a request that is being read; close any other connection."""
        if self._greenlet is None or step != self._step:
            return
        self._may_linger = may_linger
        if self._is_lingering:
            self._end_lingering()
        elif self.holding.stage is _memory_budget.Stage.READING:
            self._greenlet.throw(error)
        else:
            _log.warning(
                "connection closed in the middle of its answer: {why}",
                why=error.message,
            )
            self._is_aborted = True
            self._greenlet.throw(_caller_watch.CallerLeft(error.message))

    def handle_one_response(self) -> None:
        """Answer one request; close the connection if the daemon stops."""
        self.server.request_received(self)
        if getattr(self.server, "stopping", False):
            self.close_connection = True
        # Otherwise a caller that does not read could block the answer, and a
        # slot of an engine, for ever.
        self.socket.settimeout(_WRITE_SECONDS)
        super().handle_one_response()

    def start_response(
        self, status: str, headers: Any, exc_info: Any = None
    ) -> Any:
        """Start the answer; add `Connection: close` if it is the last one."""
        if self.close_connection or self._has_unread_body():
            headers = [*headers, ("Connection", "close")]
        return super().start_response(status, headers, exc_info)

    def run_application(self) -> None:
        """Answer one request without reading an unread body afterwards.

        The library reads the rest of the body without a time limit, so a
        caller without a key could hold a connection for ever.
        """
        try:
            super().run_application()
        finally:
            if self._is_aborted:
                self._reset()
            elif self._has_unread_body():
                self.close_connection = True
                self.wsgi_input.has_unread = False
                self.holding.release()
                self._linger()

    def _has_unread_body(self) -> bool:
        body = self.wsgi_input
        return body is not None and body.has_unread

    def _reset(self) -> None:
        """Close the connection so that no truncated answer looks complete."""
        self.close_connection = True
        self.socket.setsockopt(
            _plain_socket.SOL_SOCKET, _plain_socket.SO_LINGER, _RESET_ON_CLOSE
        )

    def _linger(self) -> None:
        """Read what the caller still sends, so that it gets its answer.

        Closing a connection with unread bytes resets it, and the caller may
        receive the reset before it has read the answer.
        """
        if not self._may_linger:
            return
        self._is_lingering = True
        try:
            self.socket.shutdown(_plain_socket.SHUT_WR)
            with (
                gevent.Timeout(_LINGER_SECONDS, False),
                self.server.stalled.waiting(self),
            ):
                self._discard_received()
        except OSError:
            return
        finally:
            self._is_lingering = False

    def _discard_received(self) -> None:
        blocks = 0
        while self.socket.recv(_LINGER_BLOCK_BYTES):
            blocks += 1
            if blocks % _BLOCKS_PER_TURN == 0:
                self.server.turns.wait()

    def _end_lingering(self) -> None:
        try:
            self.socket._sock.shutdown(_plain_socket.SHUT_RD)
        except OSError:
            # The caller has closed it.
            return

    def _write_with_headers(self, data: bytes) -> None:
        """Send the head, with the first part of the body if that is short."""
        self._joins_head = 0 < len(data) <= _MAX_JOINED_BYTES
        super()._write_with_headers(data)

    def _sendall(self, data: bytes) -> None:
        """Send a part of the answer; the library calls it by this name."""
        if self._is_aborted:
            raise ConnectionAbortedError("the connection was given up")
        if self._joins_head:
            # The first part follows at once; one system call sends both.
            self._joins_head = False
            self._head = data
            return
        if self._head:
            data, self._head = self._head + data, b""
        try:
            sent = self._send_at_once(data)
            if sent < len(data):
                self._send_slowly(data, sent)
        except OSError as error:
            self.status = f"socket error: {error}"
            self.code = -abs(self.code)
            raise
        self.response_length += len(data)

    def _send_at_once(self, data: bytes) -> int:
        """Send what the kernel takes at once; return the number of bytes."""
        if isinstance(self.socket, ssl.SSLSocket):
            return 0
        try:
            return int(self.socket._sock.send(data))
        except BlockingIOError:
            return 0

    def _send_slowly(self, data: bytes, sent: int) -> None:
        """Send the rest of a part as the caller reads it."""
        holding, stage = self.holding, self.holding.stage
        holding.begin(_memory_budget.Stage.ANSWERING)
        holding.add(len(data))
        deadline = time.monotonic() + _WRITE_SECONDS
        rest = memoryview(data)[sent:]
        blocks = 0
        try:
            with self.server.stalled.waiting(self):
                while rest:
                    seconds = max(0.0, deadline - time.monotonic())
                    self.socket.settimeout(seconds)
                    count = self.socket.send(rest[:_SEND_BLOCK_BYTES])
                    holding.record_progress(count)
                    rest = rest[count:]
                    blocks += 1
                    if blocks % _BLOCKS_PER_TURN == 0:
                        self.server.turns.wait()
        finally:
            self.socket.settimeout(_WRITE_SECONDS)
            holding.release(len(data))
            holding.stage = stage

    def measure_queued(self) -> None:
        """Count what the kernel holds for this connection."""
        if self.socket is not None:
            descriptor = self.socket.fileno()
            self.holding.set_queued(_kernel_queues.queued_bytes(descriptor))

    def log_request(self) -> None:
        """Log nothing; the application logs requests itself."""

    def log_error(self, msg: str, *args: object) -> None:
        """Log an error of the library with the daemon's logger."""
        _log.info("connection: {what}", what=str(msg)[:200])

    def handle_error(self, t: Any, v: Any, tb: Any) -> None:
        """Cut off a truncated answer without the terminating chunk."""
        if self._is_aborted:
            self.close_connection = True
            return
        if isinstance(v, _errors.TopazlugError):
            _log.warning("answer cut off: {code}", code=v.code.value)
        elif not issubclass(t, (OSError, GeneratorExit)):
            _log.error("answer cut off by {kind}: {why}", kind=t, why=str(v))
        if self.response_length or self.headers_sent:
            self.close_connection = True
            return
        # The library would report this to the event loop without a context.
        # The loop would handle it as an error of its own and end the process
        # with all its other requests.
        _log.error(
            "{trace}", trace="".join(traceback.format_exception(t, v, tb))
        )
        self._send_error_response_if_possible(500)
