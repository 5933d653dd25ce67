"""One caller's connection: the library's handler, held within bounds."""

import socket as _plain_socket
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
    """Give the whole answer to what is no request."""
    answer = _caller_answer.error_answer(error, _ids.RequestId(""))
    lines = [f"HTTP/1.1 {_caller_answer.status_line(answer.status)}"]
    lines += [f"{name}: {value}" for name, value in answer.headers]
    lines += ["Connection: close", "", ""]
    return "\r\n".join(lines).encode("latin-1") + b"".join(answer.body)


class CallersHandler(pywsgi.WSGIHandler):
    """The library's handler, with bounds on time and the socket at hand."""

    _rejection: _errors.RequestError | None = None
    _has_ended_reading = False

    def handle(self) -> None:
        """Serve one connection."""
        self.socket.setsockopt(
            _plain_socket.IPPROTO_TCP, _plain_socket.TCP_NODELAY, 1
        )
        super().handle()

    def read_requestline(self) -> str:
        """Read the request line; an idle connection ends in time."""
        self.server.idle_handlers.add(self)
        try:
            with gevent.Timeout(self.server.idle_seconds, False):
                return super().read_requestline()
        finally:
            self.server.idle_handlers.discard(self)
        return ""

    def end_reading(self) -> None:
        """Take no further request than one that is already here."""
        self._has_ended_reading = True
        try:
            # The library's own shutdown breaks off a read that waits, and
            # bytes that have just arrived would be thrown away with it.
            self.socket._sock.shutdown(_plain_socket.SHUT_RD)
        except OSError:
            return

    def read_request(self, raw_requestline: str) -> Any:
        """Read the head; one that trickles in is given up.

        A caller that sends a byte now and then would otherwise hold a
        connection for ever, and enough of them hold all.
        """
        timeout_error = _errors.BodyTooSlow(
            "the head of the request took too long"
        )
        _caller_head.check_line(raw_requestline)
        with gevent.Timeout(self.server.head_seconds, timeout_error):
            return super().read_request(raw_requestline)

    def MessageClass(self, *args: Any) -> Any:  # noqa: N802
        """Read the fields; the library asks for them by this name."""
        fields = _caller_head.read(self.rfile, version=self.request_version)
        return super().MessageClass(fields)

    def handle_one_request(self) -> Any:
        """Serve one request; what is none gets an error of our shape."""
        result = super().handle_one_request()
        if not isinstance(result, tuple):
            return result
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
        _log.info("refused: {why}", why=self._rejection.message)
        return super()._handle_client_error(self._rejection)

    def get_environ(self) -> dict[str, Any]:
        """Give the WSGI environment and the connection."""
        environ = super().get_environ()
        # The end of reading looks like a caller that hangs up; a request
        # that had just arrived would be given up while it runs.
        is_watched = not self._has_ended_reading
        environ[_caller_request.SOCKET] = self.socket if is_watched else None
        environ[_caller_request.RAW_PATH] = self.path.partition("?")[0]
        environ[_caller_request.FIELDS] = self.headers.items()
        environ[_caller_request.TARGET] = self.path
        return environ

    def handle_one_response(self) -> None:
        """Answer; while the daemon stops, keep no connection after it."""
        if getattr(self.server, "stopping", False):
            self.close_connection = True
        # A caller that reads nothing would otherwise block the answer for
        # ever, and with it a slot of an engine.
        self.socket.settimeout(_WRITE_SECONDS)
        super().handle_one_response()

    def start_response(
        self, status: str, headers: Any, exc_info: Any = None
    ) -> Any:
        """Start the answer, and say so when the connection ends with it."""
        if self.close_connection or self._has_unread_body():
            headers = [*headers, ("Connection", "close")]
        return super().start_response(status, headers, exc_info)

    def run_application(self) -> None:
        """Answer; a body that nobody read is not read after the answer.

        The library reads what is left of it, however long that takes. A
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
        """Let a caller that still sends read its answer first.

        A connection closed with bytes unread is reset, and the reset can
        overtake the answer.
        """
        try:
            self.socket.shutdown(_plain_socket.SHUT_WR)
            with gevent.Timeout(_LINGER_SECONDS, False):
                while self.socket.recv(_LINGER_BLOCK_BYTES):
                    pass
        except OSError:
            return

    def log_request(self) -> None:
        """Leave it out; the application logs what matters."""

    def log_error(self, msg: str, *args: object) -> None:
        """Log through the daemon's own logger."""
        _log.info("connection: {what}", what=str(msg)[:200])

    def handle_error(self, t: Any, v: Any, tb: Any) -> None:
        """Cut a torn answer without its terminating chunk."""
        if isinstance(v, _errors.TopazlugError):
            _log.warning("answer cut: {code}", code=v.code.value)
        elif not issubclass(t, (OSError, GeneratorExit)):
            _log.error("answer cut by {kind}: {why}", kind=t, why=str(v))
        if self.response_length or self.headers_sent:
            self.close_connection = True
            return
        # The library would hand this to the event loop without a context,
        # which takes it for a fault of its own and ends the process: one
        # bad request would take all others with it.
        _log.error(
            "{trace}", trace="".join(traceback.format_exception(t, v, tb))
        )
        self._send_error_response_if_possible(500)
