"""A daemon with the platform's headers and scripted replicas."""

import gevent
from gevent import server
from gevent import socket
import logbook
from topazlug_platform import contexts
from topazlug_platform import headers

from tests.topazlug import wire_fixtures
from tests.topazlug.fleet import store_fakes
from tests.topazlug.forwarding import forwarding_fixtures as fixtures
from topazlug import _clock
from topazlug import _ids
from topazlug import _logs
from topazlug._generated import settings
from topazlug.fleet import _staleness_bounds
from topazlug.forwarding import _daemon
from topazlug.forwarding import _options
from topazlug.placement import _mechanisms

ANY = settings.AddressSettings(host="127.0.0.1", port=0)
MECHANISM = _mechanisms.Mechanism
SIGNED = "X-Response-Signature: s1"


def answer(body=b"whole", *fields, status="200 OK", attempt="a1", signed=True):
    """Return the bytes of a replica's answer."""
    lines = [f"X-Attempt-Id: {attempt}", *fields]
    if signed:
        lines.append(SIGNED)
    return wire_fixtures.http_answer(body, *lines, status=status)


def stream_head(attempt="a1"):
    """Return the head of a replica's event stream."""
    lines = (
        "HTTP/1.1 200 OK",
        "Content-Type: text/event-stream",
        f"X-Attempt-Id: {attempt}",
        SIGNED,
        "Transfer-Encoding: chunked",
        "",
        "",
    )
    return "\r\n".join(lines).encode()


def chunk(data):
    """Return one chunk of a chunked body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def event(number):
    """Return one server-sent event."""
    return f"id: {number}\ndata: word {number}\n\n".encode()


END = b"0\r\n\r\n"


def options(**changes):
    """Return the options of a daemon on loopback."""
    values = {
        "daemon": _ids.DaemonId("d1"),
        "callers": ANY,
        "health": ANY,
        "health_path": "/v1/readiness",
        "metrics": ANY,
        "zone": "z",
        "stop_seconds": 8.0,
        "retry_ratio": 0.2,
        "retry_extra": 100.0,
        "retry_window": 10.0,
        "peers": ANY,
        "delegation_port": 0,
        "relays": True,
        "staleness_bounds": _staleness_bounds.StalenessBounds(
            propagation=0.1, recovery=0.0
        ),
        "first_start": False,
        "max_connections": 100,
    }
    return _options.ForwardingOptions(**{**values, **changes})


class LogLines(logbook.TestHandler):
    """Keeps log lines with the fields of the request in progress."""

    def __init__(self):
        super().__init__()
        self.lines = []

    def emit(self, record):
        fields = {**_logs.current_fields(), **record.kwargs}
        self.lines.append((record.msg, fields))

    def of_request(self, attempt):
        """Return the text and the fields of a request's lines."""
        return [
            (text, fields)
            for text, fields in self.lines
            if fields.get("request_id") == attempt
        ]


class Rig:
    """One daemon; a replica is a callable that serves one request.

    It is called with the connection once the request is read; if it returns
    False, the connection is closed.
    """

    def __init__(self, *routes, scripts=(), **changes):
        self.requests = []
        self._servers = []
        self.daemon = _daemon.ForwardingDaemon(
            options=options(**changes),
            caller_decoder=headers.ClientHeaders(),
            replica_codec=headers.ReplicaHeaders(),
            new_store=store_fakes.FakeTables,
            clock=_clock.SystemClock(),
            context_codec=contexts.ContextLists(),
        )
        self.daemon.start()
        if routes:
            self.daemon.update_table(fixtures.table(*routes))
        self.list(*scripts)

    def list(self, *scripts):
        """Start these replicas and add them to the daemon's targets."""
        targets = []
        for script in scripts:
            one = server.StreamServer(
                ("127.0.0.1", 0), self._recording(script)
            )
            one.start()
            self._servers.append(one)
            targets.append(
                fixtures.target(
                    f"i-{len(self._servers)}", port=one.server_port
                )
            )
        self.daemon.replicas.update(targets)

    def _recording(self, script):
        def serve(sock, address):
            while data := wire_fixtures.read_request(sock):
                self.requests.append(data)
                if script(sock) is False:
                    return

        return serve

    @property
    def port(self):
        return self.daemon.callers_port

    def connect(self):
        return self._connect_to(self.port)

    def send(self, *fields, method="POST", path="/a/x?q=1", body=b"body"):
        """Send a request and read until the connection is closed."""
        with self.connect() as sock:
            sock.sendall(request(*fields, method=method, path=path, body=body))
            with gevent.Timeout(10):
                return read_all(sock)

    def scrape(self):
        """Return the daemon's metrics as text."""
        with self._connect_to(self.daemon.metrics_port) as sock:
            sock.sendall(
                b"GET /metrics HTTP/1.1\r\nHost: x\r\n"
                b"Connection: close\r\n\r\n"
            )
            with gevent.Timeout(10):
                return read_all(sock)[2].decode()

    def _connect_to(self, port):
        return socket.create_connection(("127.0.0.1", port))

    def stop(self):
        self.daemon.halt()
        for one in self._servers:
            one.stop(timeout=0)


def request(*fields, method="POST", path="/a/x?q=1", body=b"body"):
    """Return the bytes of a client's request with Connection: close."""
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: chat.example",
        "X-Attempt-Id: a1",
        f"Authorization: Bearer {fixtures.KEY}",
        "Connection: close",
        f"Content-Length: {len(body)}",
        *fields,
    ]
    return "\r\n".join([*lines, "", ""]).encode() + body


def read_all(sock):
    """Read until the daemon closes; return status, fields and body."""
    data = b""
    while more := sock.recv(65536):
        data += more
    head, _, body = data.partition(b"\r\n\r\n")
    first, *lines = head.decode().split("\r\n")
    fields = dict(line.lower().split(": ", 1) for line in lines)
    return int(first.split()[1]), fields, body
