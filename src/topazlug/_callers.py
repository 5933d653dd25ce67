"""The callers' listener: HTTP in, answers and errors out."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from http import HTTPStatus
import socket as _plain_socket
from typing import Any
from typing import Protocol
from typing import final

import gevent
from gevent import pool as _pool
from gevent import pywsgi
import msgspec

from topazlug import _caller_answer
from topazlug import _caller_head
from topazlug import _caller_request
from topazlug import _caller_watch
from topazlug import _clock
from topazlug import _configuration
from topazlug import _errors
from topazlug import _ids
from topazlug import _logs
from topazlug import _metrics
from topazlug import _service_calls
from topazlug._generated import settings as _settings_types
from topazlug._generated import table

_log = _logs.logger("callers")
_CHAT = "/v1/chat/completions"
_MODELS = "/v1/models"
_HEAD_SECONDS = 10.0
_IDLE_SECONDS = 75.0
_WRITE_SECONDS = 30.0
_LINGER_SECONDS = 2.0
_LINGER_BLOCK = 65536

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class Calls(Protocol):
    """What serves one kind of request."""

    def serve(
        self,
        request: _caller_request.CallerRequest,
        caller: _caller_request.Caller,
        snapshot: _configuration.TableSnapshot,
    ) -> _caller_answer.CallerAnswer:
        """Answer one request; raises RequestError."""


class _Model(msgspec.Struct):
    id: str
    object: str = "model"
    created: int = 0
    owned_by: str = "topazlug"


class _Models(msgspec.Struct):
    data: list[_Model]
    object: str = "list"


@final
class CallersApp:
    """The WSGI application of the callers' listener.

    Parameters
    ----------
    chats, services : Calls
        What serves chats and plain services.
    configuration : ConfigurationHolder
        The table in force.
    limits : LimitSettings
        Bounds.
    metrics : Metrics
        What is measured.
    clock : Clock
        Time.
    """

    def __init__(
        self,
        *,
        chats: Calls,
        services: Calls,
        configuration: _configuration.ConfigurationHolder,
        limits: _settings_types.LimitSettings,
        metrics: _metrics.Metrics,
        clock: _clock.Clock,
    ) -> None:
        self._chats = chats
        self._services = services
        self._configuration = configuration
        self._limits = limits
        self._metrics = metrics
        self._clock = clock
        self.in_progress = 0

    def __call__(
        self, environ: Mapping[str, Any], start: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request, as WSGI asks."""
        request = _caller_request.CallerRequest(
            environ=environ, limits=self._limits, clock=self._clock
        )
        self.in_progress += 1
        body = _Body(ended=self._ended)
        try:
            answer = self._answer(request)
            body.pieces = answer.body
            start(_status_line(answer.status), answer.headers)
        except BaseException:
            body.close()
            raise
        if request.method == "HEAD":
            # Bytes after this head would be read as the next answer.
            body.close()
            return _Body()
        return body

    def _ended(self) -> None:
        self.in_progress -= 1

    def _answer(
        self, request: _caller_request.CallerRequest
    ) -> _caller_answer.CallerAnswer:
        with _logs.request_fields(request_id=request.request_id):
            try:
                return self._serve(request)
            except _caller_watch.CallerLeft as error:
                _log.info("the caller left before its answer began")
                return _caller_answer.of_error(error, request.request_id)
            except _errors.TopazlugError as error:
                _log.info(
                    "refused with {code}: {why}",
                    code=error.code.value,
                    why=error.message,
                )
                return _caller_answer.of_error(error, request.request_id)
            except Exception:
                _log.exception("a request met a fault of this daemon")
                fault = _errors.TopazlugError("internal error")
                return _caller_answer.of_error(fault, request.request_id)

    def _serve(
        self, request: _caller_request.CallerRequest
    ) -> _caller_answer.CallerAnswer:
        snapshot = self._configuration.current
        if snapshot is None:
            raise _errors.NotReady(
                "this daemon has no configuration yet", retry_after=1.0
            )
        caller = request.identify(snapshot)
        with _logs.request_fields(team=caller.name):
            try:
                return self._dispatch(request, caller, snapshot)
            except _errors.RequestError as error:
                self._count(caller, error)
                raise

    def _dispatch(
        self,
        request: _caller_request.CallerRequest,
        caller: _caller_request.Caller,
        snapshot: _configuration.TableSnapshot,
    ) -> _caller_answer.CallerAnswer:
        if request.path == _CHAT:
            _want_method(request, "POST")
            return self._chats.serve(request, caller, snapshot)
        if request.path == _MODELS:
            _want_method(request, "GET")
            return _models(request, caller, snapshot)
        if request.raw_path.startswith(_service_calls.PREFIX):
            return self._services.serve(request, caller, snapshot)
        raise _errors.UnknownPath(f"no path {request.path!r}")

    def _count(
        self,
        caller: _caller_request.Caller,
        error: _errors.RequestError,
    ) -> None:
        request_class = table.RequestClass(caller.class_name)
        self._metrics.count_request(
            caller.name, request_class, error.code, error.outcome
        )
        if error.outcome is _errors.Outcome.NOT_RUN:
            self._metrics.count_refusal(caller.name, request_class, error.code)


def _status_line(status: int) -> str:
    """Give the status line; a target may use a status nobody knows."""
    try:
        phrase = HTTPStatus(status).phrase
    except ValueError:
        phrase = "Unknown"
    return f"{status} {phrase}"


def _want_method(request: _caller_request.CallerRequest, method: str) -> None:
    if request.method != method:
        raise _errors.BadMethod(
            f"{request.path} takes {method}, not {request.method}"
        )


def _models(
    request: _caller_request.CallerRequest,
    caller: _caller_request.Caller,
    snapshot: _configuration.TableSnapshot,
) -> _caller_answer.CallerAnswer:
    allowed = caller.team.pools
    names = sorted(
        row.model
        for row in snapshot.pools_by_name.values()
        if not allowed or row.name in allowed
    )
    document = _Models(data=[_Model(id=name) for name in names])
    return _caller_answer.of_json(document, request.request_id)


@final
class _Body:
    """An answer's pieces; tells when the answer has ended, however."""

    def __init__(self, *, ended: Callable[[], None] | None = None) -> None:
        self.pieces: Iterator[bytes] = iter(())
        self._ended = ended

    def __iter__(self) -> Iterator[bytes]:
        return self.pieces

    def close(self) -> None:
        ended, self._ended = self._ended, None
        try:
            close = getattr(self.pieces, "close", None)
            if close is not None:
                close()
        finally:
            if ended is not None:
                ended()


def _refused(error: _errors.RequestError) -> bytes:
    """Give the whole answer to what is no request."""
    answer = _caller_answer.of_error(error, _ids.RequestId(""))
    lines = [f"HTTP/1.1 {_status_line(answer.status)}"]
    lines += [f"{name}: {value}" for name, value in answer.headers]
    lines += ["Connection: close", "", ""]
    return "\r\n".join(lines).encode("latin-1") + b"".join(answer.body)


class CallersHandler(pywsgi.WSGIHandler):
    """The library's handler, with bounds on time and the socket at hand."""

    _refusal: _errors.RequestError | None = None

    def handle(self) -> None:
        """Serve one connection."""
        self.socket.setsockopt(
            _plain_socket.IPPROTO_TCP, _plain_socket.TCP_NODELAY, 1
        )
        super().handle()

    def read_requestline(self) -> str:
        """Read the request line; an idle connection ends in time."""
        with gevent.Timeout(_IDLE_SECONDS, False):
            return super().read_requestline()
        return ""

    def read_request(self, raw_requestline: str) -> Any:
        """Read the head; one that trickles in is given up.

        A caller that sends a byte now and then would otherwise hold a
        connection for ever, and enough of them hold all.
        """
        late = _errors.BodyTooSlow("the head of the request took too long")
        _caller_head.check_line(raw_requestline)
        with gevent.Timeout(_HEAD_SECONDS, late):
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
        error = self._refusal or _errors.BadHeader(
            "the request line is too long"
        )
        self.socket.sendall(_refused(error))
        self._linger()
        return None

    def _handle_client_error(self, ex: Exception) -> Any:
        self._refusal = (
            ex
            if isinstance(ex, _errors.RequestError)
            else _errors.BadHeader("not an HTTP/1.1 request")
        )
        _log.info("refused: {why}", why=self._refusal.message)
        return super()._handle_client_error(self._refusal)

    def get_environ(self) -> dict[str, Any]:
        """Give the WSGI environment and the connection."""
        environ = super().get_environ()
        environ[_caller_request.SOCKET] = self.socket
        environ[_caller_request.RAW_PATH] = self.path.partition("?")[0]
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
                while self.socket.recv(_LINGER_BLOCK):
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
        self.server.loop.handle_error(None, t, v, tb)
        self._send_error_response_if_possible(500)


class CallersServer(pywsgi.WSGIServer):
    """The callers' listener.

    Attributes
    ----------
    stopping : bool
        Whether answers now close their connection.
    """

    handler_class = CallersHandler

    def __init__(
        self,
        *,
        address: _settings_types.AddressSettings,
        app: CallersApp,
        max_connections: int,
        tls: _settings_types.TlsSettings | None = None,
    ) -> None:
        options: dict[str, Any] = {}
        if tls is not None:
            options = {"certfile": tls.certificate, "keyfile": tls.key}
        super().__init__(
            (address.host, address.port),
            app,
            log=None,
            error_log=None,
            spawn=_pool.Pool(max_connections),
            backlog=1024,
            **options,
        )
        self.stopping = False

    @property
    def connections(self) -> int:
        """Give the number of open connections."""
        return len(self.pool) if self.pool is not None else 0
