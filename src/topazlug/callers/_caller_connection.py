"""Connection handler of the callers' listener, with bounds on time."""

import socket as _plain_socket
import ssl
import traceback
from typing import Any

import gevent
from gevent import pywsgi

from topazlug import _errors
from topazlug import _ids
from topazlug import _logs
from topazlug.callers import _caller_answer
from topazlug.callers import _caller_head
from topazlug.callers import _caller_request

_log = _logs.logger("callers")
HEAD_SECONDS = 10.0
IDLE_SECONDS = 75.0
_WRITE_SECONDS = 30.0
_LINGER_SECONDS = 2.0
_LINGER_BLOCK_BYTES = 65536


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
    # Requests that the connection has carried.
    request_count = 0

    def handle(self) -> None:
        """Serve one connection."""
        self.socket.setsockopt(
            _plain_socket.IPPROTO_TCP, _plain_socket.TCP_NODELAY, 1
        )
        self.server.handler_accepted(self)
        try:
            super().handle()
        finally:
            self.server.request_received(self)

    def read_requestline(self) -> str:
        """Read the request line; close a connection that stays idle."""
        # A new connection is about to carry its first request.
        if self.server.closes_idle and self.request_count:
            self.end_reading()
        self.server.idle_handlers[self] = None
        try:
            with gevent.Timeout(self.server.idle_seconds, False):
                return super().read_requestline()
        finally:
            self.server.idle_handlers.pop(self, None)
        return ""

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
        timeout_error = _errors.BodyTooSlow(
            "the head of the request took too long"
        )
        _caller_head.check_line(raw_requestline)
        with gevent.Timeout(self.server.head_seconds, timeout_error):
            return super().read_request(raw_requestline)

    def MessageClass(self, *args: Any) -> Any:  # noqa: N802
        """Read the fields; the library calls this method by its name."""
        fields = _caller_head.read(self.rfile, version=self.request_version)
        return super().MessageClass(fields)

    def handle_one_request(self) -> Any:
        """Serve one request; answer a malformed one with a JSON error."""
        result = super().handle_one_request()
        if not isinstance(result, tuple):
            return result
        if self.has_ended_reading:
            # The request is incomplete because nothing more is read.
            return None
        error = self._rejection or _errors.BadHeader(
            "the request line is too long"
        )
        self.socket.sendall(_error_response(error))
        self._linger()
        return None

    def _handle_client_error(self, ex: Exception) -> Any:
        self._rejection = (
            ex
            if isinstance(ex, _errors.RequestError)
            else _errors.BadHeader("not an HTTP/1.1 request")
        )
        _log.info("rejected a request: {why}", why=self._rejection.message)
        return super()._handle_client_error(self._rejection)

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment with the project's own keys."""
        environ = super().get_environ()
        # After `end_reading` the socket looks as if the caller had
        # disconnected, so a watch would cancel a request that had just
        # arrived.
        is_watched = not self.has_ended_reading
        environ[_caller_request.SOCKET] = self.socket if is_watched else None
        environ[_caller_request.HAS_ENDED_READING] = self.has_ended_reading
        environ[_caller_request.RAW_PATH] = self.path.partition("?")[0]
        environ[_caller_request.FIELDS] = self.headers.items()
        environ[_caller_request.TARGET] = self.path
        self.request_count += 1
        environ[_caller_request.NUMBER] = self.request_count
        return environ

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
            if self._has_unread_body():
                self.close_connection = True
                self.wsgi_input = pywsgi.Input(self.rfile, None)
                self._linger()

    def _has_unread_body(self) -> bool:
        body = self.wsgi_input
        if body is None:
            return False
        if body.chunked_input:
            return bool(body.chunk_length)
        return bool(body.position < (body.content_length or 0))

    def _linger(self) -> None:
        """Read what the caller still sends, so that it gets its answer.

        Closing a connection with unread bytes resets it, and the caller may
        receive the reset before it has read the answer.
        """
        try:
            self.socket.shutdown(_plain_socket.SHUT_WR)
            with gevent.Timeout(_LINGER_SECONDS, False):
                while self.socket.recv(_LINGER_BLOCK_BYTES):
                    pass
        except OSError:
            return

    def log_request(self) -> None:
        """Log nothing; the application logs requests itself."""

    def log_error(self, msg: str, *args: object) -> None:
        """Log an error of the library with the daemon's logger."""
        _log.info("connection: {what}", what=str(msg)[:200])

    def handle_error(self, t: Any, v: Any, tb: Any) -> None:
        """Cut off a truncated answer without the terminating chunk."""
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
