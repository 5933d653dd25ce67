"""Far ends for measurements of a relay: engines and callers.

They run in separate processes, so that the processor time of the measured
process is that of the relay alone.
"""

from gevent import monkey

monkey.patch_all()

import random  # noqa: E402
import socket  # noqa: E402

import click  # noqa: E402
import gevent  # noqa: E402
from gevent import server  # noqa: E402

_HOST = "127.0.0.1"
_MAX_SECONDS = 90.0
_LOAD = b'{"running": 7, "state": "live", "incarnation": 1700000000000}'
_LOAD_ANSWER = (
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    b"Content-Length: %d\r\n\r\n%s" % (len(_LOAD), _LOAD)
)
_STREAM_HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
_EVENT = (
    'id: {}\ndata: {{"id":"chatcmpl-0123456789abcdef","object":'
    '"chat.completion.chunk","created":1700000000,"model":"model-07",'
    '"choices":[{{"index":0,"delta":{{"content":" word"}},'
    '"finish_reason":null}}]}}\n\n'
)
_DONE = b"data: [DONE]\n\n"


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


class _Engine:
    def __init__(self, *, interval: float, tokens: int) -> None:
        self._interval = interval
        self._tokens = tokens

    def serve(self, sock: socket.socket, address: object) -> None:
        """Answer requests on one connection."""
        buffered = b""
        while True:
            data = sock.recv(16384)
            if not data:
                return
            buffered += data
            if b"\r\n\r\n" not in buffered:
                continue
            if buffered.startswith(b"GET"):
                sock.sendall(_LOAD_ANSWER)
            else:
                self._stream(sock)
            buffered = b""

    def _stream(self, sock: socket.socket) -> None:
        sock.sendall(_STREAM_HEAD)
        gevent.sleep(random.uniform(0, self._interval))
        for number in range(self._tokens):
            sock.sendall(_chunk(_EVENT.format(number).encode()))
            gevent.sleep(self._interval)
        sock.sendall(_chunk(_DONE) + b"0\r\n\r\n")


@click.group()
def main() -> None:
    """Run one kind of far end; it exits by itself after 90 s."""


@main.command()
@click.option("--ports", default=1)
@click.option("--interval", default=0.057)
@click.option("--tokens", default=100)
def engine(ports: int, interval: float, tokens: int) -> None:
    """Serve streams of tokens and load documents."""
    engine_server = _Engine(interval=interval, tokens=tokens)
    servers = [
        server.StreamServer((_HOST, 0), engine_server.serve, backlog=1024)
        for _ in range(ports)
    ]
    for each_server in servers:
        each_server.start()
    listed = " ".join(str(each_server.server_port) for each_server in servers)
    click.echo(f"READY {listed}")
    gevent.sleep(_MAX_SECONDS)


@main.command()
@click.option("--port", required=True, type=int)
@click.option("--count", required=True, type=int)
def callers(port: int, count: int) -> None:
    """Request streams concurrently and read them to the end."""
    readers = [gevent.spawn(_read_stream, port) for _ in range(count)]
    gevent.joinall(readers, timeout=_MAX_SECONDS)
    whole = sum(bool(greenlet.value) for greenlet in readers)
    click.echo(f"WHOLE {whole}")


def _read_stream(port: int) -> bool:
    sock = socket.create_connection((_HOST, port))
    sock.sendall(b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
    last = b""
    while data := sock.recv(16384):
        last = (last + data)[-40:]
        if last.endswith(b"0\r\n\r\n"):
            break
    sock.close()
    return _DONE in last


if __name__ == "__main__":
    main()
