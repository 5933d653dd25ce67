"""Tests of the benchmark's client against handwritten answers."""

from typing import Any
from typing import Callable
from typing import Iterator

import gevent
from gevent import server
import pytest

from bench.load import chat_caller
from bench.reports import records

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
HEAD += b"Topazlug-Replica: asistente-1\r\nTopazlug-Cached-Tokens: 7\r\n\r\n"
TOKEN = b'id: 1\ndata: {"choices":[{"delta":{"content":"hola "}}]}\n\n'
ERROR = b'data: {"error":{"code":"target_silent"}}\n\n'
DONE = b"data: [DONE]\n\n"
END = b"0\r\n\r\n"
Send = Callable[[bytes], chat_caller.ChatAnswer]


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


@pytest.fixture
def send_request() -> Iterator[Send]:
    """Return a function that sends a request to a server.

    The server answers with the given bytes and closes the connection.
    """
    answers: list[bytes] = []

    def serve(connection: Any, _address: Any) -> None:
        connection.recv(65536)
        connection.sendall(answers.pop())
        connection.close()

    listening = server.StreamServer(("127.0.0.1", 0), serve)
    listening.start()

    def send_chat(data: bytes) -> chat_caller.ChatAnswer:
        answers.append(data)
        request = chat_caller.ChatRequest(
            key="key", chat="chat", body={"model": "m"}, deadline=5.0
        )
        return chat_caller.send(listening.server_port, request)

    yield send_chat
    listening.stop()


class TestSend:
    def test_complete_answer(self, send_request: Send) -> None:
        answer = send_request(HEAD + _chunk(TOKEN + TOKEN + DONE) + END)
        assert answer.is_whole
        assert answer.text == "hola hola "
        assert (answer.replica, answer.cached) == ("asistente-1", 7)

    def test_events_split_over_blocks(self, send_request: Send) -> None:
        data = TOKEN + DONE
        body = b"".join(
            _chunk(data[i : i + 5]) for i in range(0, len(data), 5)
        )
        answer = send_request(HEAD + body + END)
        assert answer.is_whole

    def test_answer_without_its_end_is_cut(self, send_request: Send) -> None:
        assert send_request(HEAD + _chunk(TOKEN)).code == records.CUT

    def test_error_event_gives_its_code(self, send_request: Send) -> None:
        answer = send_request(HEAD + _chunk(TOKEN + ERROR) + END)
        assert answer.code == "in stream: target_silent"

    def test_error_response_gives_its_code(self, send_request: Send) -> None:
        body = b'{"error":{"code":"overloaded"}}'
        head = b"HTTP/1.1 503 X\r\nContent-Length: %d\r\n\r\n" % len(body)
        assert send_request(head + body).code == "overloaded"

    def test_refused_connection_raises(self) -> None:
        closed = server.StreamServer(("127.0.0.1", 0), lambda *_: None)
        closed.start()
        port = closed.server_port
        closed.stop()
        gevent.sleep(0)
        request = chat_caller.ChatRequest(
            key="key", chat="chat", body={}, deadline=1.0
        )
        with pytest.raises(chat_caller.ConnectionRefused):
            chat_caller.send(port, request)
