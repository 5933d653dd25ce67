"""A client that sends each chat request on a new connection.

A client with a connection pool would resend a request if a pooled connection
had been closed, and so hide failures that this benchmark counts.
"""

import json
import time
from typing import Any
from typing import Iterator
from typing import final

from gevent import socket
from geventhttpclient import response as _response
import msgspec

from bench.reports import records

_HOST = "127.0.0.1"
_BLOCK = 65536
_TIMEOUT_MARGIN = 5.0
_HEALTH_TIMEOUT = 0.5


class ConnectionRefused(OSError):
    """The daemon did not accept the connection; nothing was sent."""


class ChatRequest(msgspec.Struct, frozen=True, kw_only=True):
    """One request; `deadline` in seconds."""

    key: str
    chat: str
    body: dict[str, Any]
    deadline: float


class ChatAnswer(msgspec.Struct, kw_only=True):
    """The answer to a request, as far as it was received."""

    code: str = records.CUT
    text: str = ""
    replica: str = ""
    cached: int = 0
    first_at: float = 0.0
    gaps: list[float] = []

    @property
    def is_whole(self) -> bool:
        """Whether the complete answer was received."""
        return self.code == records.OK


class _Delta(msgspec.Struct):
    content: str = ""


class _Choice(msgspec.Struct):
    delta: _Delta = msgspec.field(default_factory=_Delta)


class _Error(msgspec.Struct):
    code: str = "unnamed"


class _Event(msgspec.Struct):
    choices: list[_Choice] = []
    error: _Error | None = None


_EVENTS = msgspec.json.Decoder(_Event)


@final
class _Parser(_response.HTTPResponse):
    """Parses an answer incrementally."""

    def read_body(self) -> bytes:
        """Return the part of the body received since the last call."""
        data = bytes(self._body_buffer)
        del self._body_buffer[:]
        return data


def _format_head(method: str, path: str, headers: dict[str, str]) -> bytes:
    lines = [f"{method} {path} HTTP/1.1", "Host: balancer"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "Connection: close", "", ""]).encode()


def _connect(port: int, timeout: float) -> Any:
    try:
        return socket.create_connection((_HOST, port), timeout=timeout)
    except OSError as error:
        raise ConnectionRefused(str(error)) from error


def send(port: int, request: ChatRequest) -> ChatAnswer:
    """Send a request and read its answer to the end.

    Raises
    ------
    ConnectionRefused
        If the daemon does not accept the connection; nothing was sent.
    """
    body = msgspec.json.encode(request.body)
    head = _format_head(
        "POST",
        "/v1/chat/completions",
        {
            "Authorization": f"Bearer {request.key}",
            "X-Chat-Id": request.chat,
            "X-Request-Timeout": str(request.deadline),
            "Content-Type": "application/json",
            "Content-Length": str(len(body)),
        },
    )
    connection = _connect(port, request.deadline)
    answer = ChatAnswer()
    try:
        connection.settimeout(request.deadline + _TIMEOUT_MARGIN)
        connection.sendall(head + body)
        _read_answer(connection, answer)
    except TimeoutError:
        answer.code = records.CLIENT_TIMEOUT
    except (OSError, _response.HTTPParseError):
        answer.code = records.CUT
    finally:
        connection.close()
    return answer


def _read_answer(connection: Any, answer: ChatAnswer) -> None:
    parser = _Parser()
    incomplete_event = b""
    error_body = b""
    last_token_at = 0.0
    answer.gaps = []
    for data in _blocks(connection, parser):
        if parser.status_code != 200:
            error_body += data
            continue
        *events, incomplete_event = (incomplete_event + data).split(b"\n\n")
        now = time.time()
        if sum(_handle_event(event, answer) for event in events):
            if last_token_at:
                answer.gaps.append(now - last_token_at)
            last_token_at = now
            answer.first_at = answer.first_at or now
    if not parser.headers_complete:
        return
    answer.replica = str(parser.get("Topazlug-Replica", ""))
    answer.cached = int(str(parser.get("Topazlug-Cached-Tokens", "0")))
    if parser.status_code != 200 and parser.message_complete:
        answer.code = _error_code(error_body)


def _blocks(connection: Any, parser: _Parser) -> Iterator[bytes]:
    while not parser.message_complete:
        data = connection.recv(_BLOCK)
        if not data:
            return
        parser.feed(data)
        if parser.headers_complete:
            yield parser.read_body()


def _handle_event(event: bytes, answer: ChatAnswer) -> bool:
    """Handle one event; return whether it contained a token."""
    _, _, data = event.rpartition(b"data: ")
    if data == b"[DONE]":
        answer.code = records.OK
        return False
    if not data:
        return False
    decoded = _EVENTS.decode(data)
    if decoded.error is not None:
        answer.code = f"in stream: {decoded.error.code}"
        return False
    content = "".join(choice.delta.content for choice in decoded.choices)
    answer.text += content
    return bool(content)


def _error_code(body: bytes) -> str:
    try:
        return str(json.loads(body)["error"]["code"])
    except (ValueError, KeyError, TypeError):
        return records.CUT


def is_ready(port: int) -> bool:
    """Return whether a daemon's administration reports it as ready."""
    try:
        connection = _connect(port, _HEALTH_TIMEOUT)
    except ConnectionRefused:
        return False
    parser = _Parser()
    try:
        connection.settimeout(_HEALTH_TIMEOUT)
        connection.sendall(_format_head("GET", "/health/ready", {}))
        for _ in _blocks(connection, parser):
            continue
    except (OSError, _response.HTTPParseError):
        return False
    finally:
        connection.close()
    return bool(parser.message_complete and parser.status_code < 300)
