"""HTTP messages as bytes, and servers that run a script per connection."""

from collections.abc import Callable
import json
from typing import Any
from typing import final

from gevent import server as gevent_server
import msgspec

HOST = "127.0.0.1"
KEY = "tzk_test"


def scripted_server(script: Callable[[Any], None]) -> Any:
    """Start a TCP server that runs a function for each connection."""

    def handle(sock: Any, _: Any) -> None:
        try:
            script(sock)
        except OSError:
            pass
        finally:
            sock.close()

    server = gevent_server.StreamServer((HOST, 0), handle)
    server.start()
    return server


def read_request(sock: Any) -> bytes:
    """Return one request of the daemon, empty if it disconnected."""
    data = b""
    while b"\r\n\r\n" not in data:
        more = sock.recv(65536)
        if not more:
            return b""
        data += more
    head, _, body = data.partition(b"\r\n\r\n")
    length = 0
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            length = int(value)
    while len(body) < length:
        body += sock.recv(65536)
    return head + b"\r\n\r\n" + body


def http_answer(body: bytes, *fields: str, status: str = "200 OK") -> bytes:
    """Return the bytes of an answer with a Content-Length."""
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {len(body)}", *fields]
    return "\r\n".join([*lines, "", ""]).encode() + body


def chat_body(question: str, *, stream: bool = False, **options: Any) -> bytes:
    """Return the body of a chat request."""
    message = {"role": "user", "content": question}
    document = {
        "model": "standin",
        "messages": [message],
        "stream": stream,
        **options,
    }
    return json.dumps(document).encode()


def raw_request(
    method: str,
    path: str,
    *,
    headers: Any = (),
    body: bytes = b"",
    key: str = KEY,
) -> bytes:
    """Return the bytes of a request."""
    lines = [f"{method} {path} HTTP/1.1", "Host: topazlug"]
    lines.append(f"Authorization: Bearer {key}")
    lines += [f"{name}: {value}" for name, value in headers]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


@final
class Answer(msgspec.Struct):
    """An answer as read by a caller; `whole` is false if it was cut off."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool

    @property
    def code(self) -> str:
        """Return the error code of the body or of a stream's last event."""
        text = self.body
        if text.startswith((b"data: ", b"id: ")):
            last = text.strip().rpartition(b"\n\n")[2]
            text = last.partition(b"data: ")[2]
        try:
            return json.loads(text)["error"]["code"]
        except (ValueError, KeyError):
            return ""

    @property
    def outcome(self) -> str:
        """Return the request's outcome as stated in the headers."""
        return self.headers.get("topazlug-outcome", "")

    @property
    def done(self) -> bool:
        """Return whether a stream ends with its closing event."""
        return self.body.endswith(b"data: [DONE]\n\n")

    @property
    def text(self) -> str:
        """Return the tokens of a JSON or a streamed answer."""
        if not self.headers.get("content-type", "").startswith("text/event"):
            choice = json.loads(self.body)["choices"][0]
            return choice["message"]["content"]
        parts = []
        for event in self.body.split(b"\n\n"):
            data = event.partition(b"data: ")[2]
            if data and data != b"[DONE]":
                choices = json.loads(data).get("choices", [])
                parts += [c["delta"].get("content", "") for c in choices]
        return "".join(parts)


def read_answer(sock: Any, *, method: str = "GET") -> Answer:
    """Return one answer, or what was received of it before it was cut off."""
    buffer = _Buffer(sock)
    head = buffer.until(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    assert lines[0].startswith("HTTP/1.1 "), lines
    pairs = [line.split(": ", 1) for line in lines[1:] if line]
    headers = {name.lower(): value for name, value in pairs}
    answer = Answer(int(lines[0].split()[1]), headers, b"", True)
    try:
        if method == "HEAD" or answer.status == 204:
            return answer
        if headers.get("transfer-encoding") == "chunked":
            while size := int(buffer.until(b"\r\n"), 16):
                answer.body += buffer.exactly(size + 2)[:-2]
            buffer.exactly(2)
        else:
            answer.body = buffer.exactly(int(headers["content-length"]))
    except EOFError:
        answer.whole = False
    return answer


class _Buffer:
    def __init__(self, sock: Any) -> None:
        self._sock = sock
        self._data = b""

    def until(self, end: bytes) -> bytes:
        while end not in self._data:
            self._more()
        found, _, self._data = self._data.partition(end)
        return found

    def exactly(self, size: int) -> bytes:
        while len(self._data) < size:
            self._more()
        found, self._data = self._data[:size], self._data[size:]
        return found

    def _more(self) -> None:
        try:
            data = self._sock.recv(65536)
        except ConnectionResetError:
            data = b""
        if not data:
            raise EOFError(self._data)
        self._data += data
