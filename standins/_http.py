"""HTTP server shared by the stand-ins."""

import errno
import json
import logging
import signal
import socket
from typing import Any
from typing import Callable
from typing import Iterable
from typing import Mapping
from typing import final
from urllib import parse

import gevent
from gevent import event
from gevent import pywsgi
import msgspec

HOST = "127.0.0.1"
BACKLOG = 1024
_SOCKET_KEY = "standins.socket"
_REASONS = {
    200: "OK",
    204: "No Content",
    400: "Bad Request",
    404: "Not Found",
    409: "Conflict",
    429: "Too Many Requests",
    503: "Service Unavailable",
}

StartResponse = Callable[..., Any]
Body = Iterable[bytes]


@final
class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """One answer; `body` may be a generator, to stream.

    Notes
    -----
    Without a ``Content-Length`` the body is sent chunked.
    """

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: Any = ()


@final
class Request:
    """One request with its complete body.

    Parameters
    ----------
    environ
        The WSGI environment.
    """

    def __init__(self, environ: dict[str, Any]) -> None:
        self.method: str = environ["REQUEST_METHOD"]
        # PATH_INFO is unquoted, so that a quoted slash in a key would look
        # like a path separator; the raw target keeps it quoted.
        target = str(environ["standins.target"])
        self.path, _, query = target.partition("?")
        self.query = dict(parse.parse_qsl(query))
        self.body: bytes = environ["wsgi.input"].read()
        self.socket: Any = environ[_SOCKET_KEY]
        self._environ = environ

    def header(self, name: str, default: str = "") -> str:
        """Return a header, `default` when absent."""
        key = "HTTP_" + name.upper().replace("-", "_")
        return str(self._environ.get(key, default))

    def client_closed(self) -> bool:
        """Return whether the client has closed the connection."""
        flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
        try:
            # The method of the underlying socket; gevent's would block.
            return not self.socket._sock.recv(1, flags)
        except BlockingIOError:
            return False
        except OSError:
            return True


Application = Callable[[Request], Answer]


@final
class _Handler(pywsgi.WSGIHandler):
    def __init__(self, sock: Any, *args: Any, **kwargs: Any) -> None:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().__init__(sock, *args, **kwargs)

    def get_environ(self) -> Any:
        environ = super().get_environ()
        environ[_SOCKET_KEY] = self.socket
        environ["standins.target"] = self.path
        return environ


class ConnectionCut(OSError):
    """Closes the connection at once, without a final chunk.

    pywsgi handles a broken pipe as a disconnect of the client: it closes
    the connection and writes nothing more.
    """

    def __init__(self) -> None:
        super().__init__(errno.EPIPE, "connection cut by an injected fault")


class BadRequest(Exception):
    """A request is malformed."""


def json_answer(
    status: int,
    value: Any,
    headers: Iterable[tuple[str, str]] = (),
) -> Answer:
    """Return an answer with a JSON body."""
    body = msgspec.json.encode(value)
    kind = ("Content-Type", "application/json")
    return bytes_answer(status, body, (kind, *headers))


def bytes_answer(
    status: int, body: bytes, headers: Iterable[tuple[str, str]] = ()
) -> Answer:
    """Return an answer with a body of known length."""
    length = ("Content-Length", str(len(body)))
    if status == 204:
        return Answer(status=status, headers=tuple(headers))
    return Answer(status=status, headers=(*headers, length), body=(body,))


def error_answer(
    status: int,
    code: str,
    message: str,
    headers: Iterable[tuple[str, str]] = (),
) -> Answer:
    """Return an error in the format of the OpenAI API."""
    error = {"code": code, "message": message}
    return json_answer(status, {"error": error}, headers)


def truncate(answer: Answer) -> Answer:
    """Return `answer` with its connection cut after half of the body."""
    whole = b"".join(answer.body)

    def cut_body() -> Body:
        yield whole[: len(whole) // 2]
        raise ConnectionCut()

    return Answer(
        status=answer.status, headers=answer.headers, body=cut_body()
    )


def send_garbage(request: Request) -> None:
    """Write bytes that are not HTTP and close the connection.

    Raises
    ------
    ConnectionCut
        Always.
    """
    request.socket.sendall(b"\x00\x17\xffnot http at all\r\n\r\n\x00")
    raise ConnectionCut()


def parse_json_body(request: Request) -> Any:
    """Return the JSON body.

    Raises
    ------
    BadRequest
        If the body is not a JSON object.
    """
    try:
        value = json.loads(request.body or b"{}")
    except ValueError as error:
        raise BadRequest(f"body is not JSON: {error}") from error
    if not isinstance(value, dict):
        raise BadRequest("body is not a JSON object; send an object")
    return value


def int_header(request: Request, name: str, default: int) -> int:
    """Return a header as an int, `default` when absent.

    Raises
    ------
    BadRequest
        If the header is not an int.
    """
    given = request.header(name)
    try:
        return int(given) if given else default
    except ValueError as error:
        raise BadRequest(f"{name} is {given!r}; send an int") from error


def update_faults(faults: msgspec.Struct, request: Request) -> None:
    """Set the faults given in the body; the others are unchanged.

    Raises
    ------
    BadRequest
        If a fault is unknown or its value has the wrong type.
    """
    changes = parse_json_body(request)
    known = msgspec.structs.asdict(faults)
    unknown = sorted(set(changes) - set(known))
    if unknown:
        raise BadRequest(f"no such faults: {unknown}; known: {sorted(known)}")
    try:
        checked = msgspec.convert({**known, **changes}, type(faults))
    except msgspec.ValidationError as error:
        raise BadRequest(str(error)) from error
    for name in changes:
        setattr(faults, name, getattr(checked, name))


def faults_answer(faults: msgspec.Struct, request: Request) -> Answer:
    """Answer ``GET /faults`` and ``POST /faults``."""
    if request.method == "POST":
        update_faults(faults, request)
    return json_answer(200, faults)


def consume_fault(faults: msgspec.Struct, name: str) -> bool:
    """Decrement a counted fault; return False if it was at 0."""
    left: int = getattr(faults, name)
    if left <= 0:
        return False
    setattr(faults, name, left - 1)
    return True


def wsgi(application: Application) -> Callable[..., Body]:
    """Return `application` as a WSGI application."""

    def call(environ: dict[str, Any], start_response: StartResponse) -> Body:
        request = Request(environ)
        try:
            answer = application(request)
        except BadRequest as error:
            answer = error_answer(400, "bad_request", str(error))
        reason = _REASONS.get(answer.status, "Unknown")
        start_response(f"{answer.status} {reason}", list(answer.headers))
        body: Body = answer.body
        return body

    return call


def server(application: Application, port: int) -> pywsgi.WSGIServer:
    """Return a started server on loopback; port 0 selects a free port."""
    made = pywsgi.WSGIServer(
        (HOST, port),
        wsgi(application),
        handler_class=_Handler,
        backlog=BACKLOG,
        log=None,
        error_log=logging.getLogger("standins"),
    )
    made.start()
    return made


def run_until_stopped(
    ports: Mapping[str, int] | int,
    max_seconds: float,
    on_stop: Callable[[], None] = lambda: None,
) -> None:
    """Print the READY line, then wait for SIGTERM or `max_seconds`."""
    stopped = event.Event()
    gevent.signal_handler(signal.SIGTERM, stopped.set)
    gevent.signal_handler(signal.SIGINT, stopped.set)
    if isinstance(ports, int):
        print(f"READY {ports}", flush=True)
    else:
        shown = " ".join(str(port) for port in ports.values())
        print(f"READY {shown}", flush=True)
    stopped.wait(max_seconds)
    on_stop()
