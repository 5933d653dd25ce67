"""A low-overhead client with raw sockets and one greenlet per connection."""

from gevent import monkey

monkey.patch_all()

# flake8: noqa: E402
import json
import random
import socket
import time
from typing import Any
from typing import final

import click
import gevent
import msgspec

_TIMEOUT_SECONDS = 60.0
_BLOCK = 65536
_LAST_CHUNK = b"0\r\n\r\n"
_END_OF_HEAD = b"\r\n\r\n"


@final
class Address(msgspec.Struct, frozen=True, kw_only=True):
    """The address to call, with an empty key if none is required."""

    port: int
    key: str


@final
class StreamTimes(msgspec.Struct, frozen=True, kw_only=True):
    """Seconds to the first event and to the end of a stream."""

    first: float
    total: float
    whole: bool


def chat_body(model: str, question: str, *, tokens: int) -> dict[str, Any]:
    """Return the body of a streamed chat request."""
    return {
        "model": model,
        "messages": [{"role": "user", "content": question}],
        "max_tokens": tokens,
        "stream": True,
    }


def _format_request(
    address: Address, method: str, path: str, body: bytes
) -> bytes:
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: x\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
        f"Authorization: Bearer {address.key}\r\n\r\n"
    )
    return head.encode() + body


def connect(address: Address) -> socket.socket:
    """Open a connection."""
    made = socket.create_connection(
        ("127.0.0.1", address.port), _TIMEOUT_SECONDS
    )
    made.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return made


def open_chat(address: Address, body: dict[str, Any]) -> socket.socket:
    """Send a chat; return the connection without reading the answer."""
    made = connect(address)
    made.sendall(
        _format_request(
            address, "POST", "/v1/chat/completions", json.dumps(body).encode()
        )
    )
    return made


def drain(connection: socket.socket) -> None:
    """Read and discard until the answer or the connection ends."""
    tail = b""
    try:
        while data := connection.recv(_BLOCK):
            tail = (tail + data)[-len(_LAST_CHUNK) :]
            if tail == _LAST_CHUNK:
                return
    except OSError:
        return


def stream(address: Address, body: dict[str, Any]) -> StreamTimes:
    """Send one chat on a new connection."""
    connection = connect(address)
    try:
        return _stream_chat(connection, address, body)
    finally:
        connection.close()


def _stream_chat(
    connection: socket.socket, address: Address, body: dict[str, Any]
) -> StreamTimes:
    sent = json.dumps(body).encode()
    began = time.monotonic()
    connection.sendall(
        _format_request(address, "POST", "/v1/chat/completions", sent)
    )
    received = b""
    first = 0.0
    while not received.endswith(_LAST_CHUNK):
        data = connection.recv(_BLOCK)
        if not data:
            break
        received += data
        if not first and b"data: " in received:
            first = time.monotonic() - began
    total = time.monotonic() - began
    whole = b"data: [DONE]" in received and received.endswith(_LAST_CHUNK)
    return StreamTimes(first=first or total, total=total, whole=whole)


def _get_service(
    connection: socket.socket, address: Address, service: str
) -> bool:
    path = f"/v1/services/{service}/visitors"
    connection.sendall(_format_request(address, "GET", path, b""))
    received = b""
    while _END_OF_HEAD not in received:
        data = connection.recv(_BLOCK)
        if not data:
            return False
        received += data
    head, _, body = received.partition(_END_OF_HEAD)
    length = int(head.lower().partition(b"content-length: ")[2].split()[0])
    while len(body) < length:
        body += connection.recv(_BLOCK)
    return head.startswith(b"HTTP/1.1 200")


@final
class Clients:
    """Connections that each keep one request in progress.

    Parameters
    ----------
    address : Address
        The address to call.
    kind : str
        ``chat`` or ``service``.
    model, service : str
        Names in the requests of the respective kind.
    tokens : int
        Length of a chat's answer.
    """

    def __init__(
        self,
        *,
        address: Address,
        kind: str,
        model: str,
        service: str,
        tokens: int,
    ) -> None:
        self._address = address
        self._kind = kind
        self._model = model
        self._service = service
        self._tokens = tokens
        self.made = 0
        self.failed = 0

    def run(self, *, clients: int, seconds: float) -> None:
        """Send requests on all connections until the time is over."""
        end = time.monotonic() + seconds
        gevent.joinall(
            [gevent.spawn(self._run_client, end) for _ in range(clients)]
        )

    def _run_client(self, end: float) -> None:
        # Stagger the clients, so that their answers don't end all at once.
        gevent.sleep(random.random())
        connection = connect(self._address)
        while time.monotonic() < end:
            if not self._send_request(connection):
                self.failed += 1
                connection.close()
                connection = connect(self._address)
            self.made += 1
        connection.close()

    def _send_request(self, connection: socket.socket) -> bool:
        try:
            if self._kind == "service":
                return _get_service(connection, self._address, self._service)
            question = f"question {random.random()}"
            body = chat_body(self._model, question, tokens=self._tokens)
            return _stream_chat(connection, self._address, body).whole
        except (OSError, ValueError, IndexError):
            return False


@click.command()
@click.option("--port", type=int, required=True)
@click.option("--key", default="")
@click.option("--model", default="")
@click.option("--service", default="")
@click.option("--kind", type=click.Choice(["chat", "service"]))
@click.option("--clients", default=10)
@click.option("--tokens", default=20)
@click.option("--seconds", type=click.FloatRange(0, 120), default=10.0)
def main(
    port: int,
    key: str,
    model: str,
    service: str,
    kind: str,
    clients: int,
    tokens: int,
    seconds: float,
) -> None:
    """Load a daemon and print the number of calls made."""
    made = Clients(
        address=Address(port=port, key=key),
        kind=kind,
        model=model,
        service=service,
        tokens=tokens,
    )
    made.run(clients=clients, seconds=seconds)
    click.echo(json.dumps({"made": made.made, "failed": made.failed}))


if __name__ == "__main__":
    main()
