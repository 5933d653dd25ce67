"""The callers' listener answers malformed requests with an error."""

import json
import socket

import gevent
from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from tests.topazlug import routing_fixtures as fixtures
from tests.topazlug import wire_fixtures

MODELS_REQUEST = wire_fixtures.raw_request("GET", "/v1/models")
SERVICE_PATH = "/v1/services/letters/x"


@pytest.fixture(scope="module")
def rig():
    rig = fixtures.Rig(max_body_bytes=100_000, body_timeout=0.3)
    rig.engine("e1")
    rig.service("s1")
    yield rig
    rig.stop()


def is_healthy(rig):
    """Return whether the listener still serves a valid request."""
    return rig.send("GET", "/v1/models").status == 200


def send_raw(rig, data, *, half_close=False):
    """Send bytes; return all bytes until the daemon closes."""
    with rig.connect() as sock:
        try:
            sock.sendall(data)
            if half_close:
                sock.shutdown(socket.SHUT_WR)
            return b"".join(iter(lambda: sock.recv(65536), b""))
        except (ConnectionResetError, BrokenPipeError):
            return b""


def post(rig, body, *, path=fixtures.CHAT_PATH, **options):
    return rig.send("POST", path, body=body, **options)


def rejection(data):
    """Return status and error code of the only answer in the bytes."""
    head, _, body = data.partition(b"\r\n\r\n")
    assert b"connection: close" in head.lower()
    assert data.count(b"HTTP/1.1 4") == 1, data
    return int(head.split()[1]), json.loads(body)["error"]["code"]


def chat(**changes):
    document = {
        "model": "standin",
        "messages": [{"role": "user", "content": "q"}],
    }
    return json.dumps({**document, **changes}).encode()


class TestBadBody:
    @pytest.mark.parametrize(
        "body",
        [
            b"{",
            b"[]",
            b"null",
            b'"text"',
            b"\xff\xfe",
            b'{"model": "\xff", "messages": []}',
            b'{"model": "\\ud800", "messages": []}',
            b"[" * 90000,
            b'{"model": "standin", "messages": ' + b"[" * 90000,
            b'{"model": "standin", "x": ' + b'{"a":' * 15000,
            chat(messages=[]),
            chat(messages={}),
            chat(messages=[1]),
            chat(messages=[{"role": 5}]),
            chat(messages=[{"role": "user"}] * 10001)[:99999],
            chat(model=7),
            chat(stream="yes"),
        ],
    )
    def test_is_rejected(self, rig, body):
        answer = post(rig, body)
        assert (answer.status, answer.code) == (400, "invalid_body")
        assert answer.outcome == "not-run"

    def test_huge(self, rig):
        answer = post(rig, b"x" * 3_000_000)
        assert (answer.status, answer.code) == (413, "body_too_large")

    def test_huge_in_chunks(self, rig):
        head = wire_fixtures.raw_request(
            "POST",
            fixtures.CHAT_PATH,
            headers=[("Transfer-Encoding", "chunked")],
        )
        chunks = b"4000\r\n" + b"x" * 0x4000 + b"\r\n"
        data = send_raw(rig, head + chunks * 20)
        assert rejection(data) == (413, "body_too_large")

    def test_slow(self, rig):
        head = wire_fixtures.raw_request(
            "POST", fixtures.CHAT_PATH, headers=[("Content-Length", "10")]
        )
        assert rejection(send_raw(rig, head + b"x")) == (408, "body_too_slow")

    def test_truncated_body_does_no_harm(self, rig):
        head = wire_fixtures.raw_request(
            "POST", fixtures.CHAT_PATH, headers=[("Content-Length", "10")]
        )
        send_raw(rig, head + b"x", half_close=True)
        rig.wait_idle()
        assert is_healthy(rig)

    def test_unread_body_holds_no_connection(self, rig):
        """Otherwise callers without a key could use up all connections.

        A caller announces a long body and sends it slowly. After rejecting
        the request the daemon used to read the rest of the body without a
        time limit.
        """
        head = wire_fixtures.raw_request(
            "POST",
            fixtures.CHAT_PATH,
            headers=[("Content-Length", "99999")],
            key="wrong",
        )
        data = send_raw(rig, head + b"x")
        assert rejection(data) == (401, "invalid_api_key")

    def test_stream_may_be_null(self, rig):
        assert post(rig, chat(stream=None)).status == 200


class TestBadRequest:
    @pytest.mark.parametrize(
        "method, path, status, code",
        [
            ("GET", "/", 404, "path_not_found"),
            ("GET", fixtures.CHAT_PATH, 405, "method_not_allowed"),
            ("DELETE", "/v1/models", 405, "method_not_allowed"),
            ("GET", "/v1/services/none/x", 404, "service_not_found"),
            ("GET", "/v1/services/", 404, "service_not_found"),
            ("GET", "/v1/%73ervices/letters/x", 404, "path_not_found"),
        ],
    )
    def test_is_rejected(self, rig, method, path, status, code):
        answer = rig.send(method, path)
        assert (answer.status, answer.code) == (status, code)
        assert answer.outcome == "not-run"

    @pytest.mark.parametrize("key", ["wrong", "", "x" * 600, "\xff\xfe"])
    def test_bad_key(self, rig, key):
        answer = rig.send("GET", "/v1/models", key=key)
        assert (answer.status, answer.code) == (401, "invalid_api_key")

    def test_no_key(self, rig):
        data = send_raw(rig, b"GET /v1/models HTTP/1.0\r\n\r\n")
        assert rejection(data) == (401, "invalid_api_key")

    def test_unavailable_models_and_services_are_not_found(self, rig):
        for answer, code in [
            (post(rig, chat(), key="tzk_narrow"), "model_not_found"),
            (post(rig, chat(model="none")), "model_not_found"),
            (
                post(rig, b"", path=SERVICE_PATH, key="tzk_narrow"),
                "service_not_found",
            ),
        ]:
            assert (answer.status, answer.code) == (404, code)

    @pytest.mark.parametrize(
        "field",
        [
            ("X-Request-Timeout", "0"),
            ("X-Request-Timeout", "nan"),
            ("X-Request-Timeout", "-1"),
            ("X-Request-Timeout", "soon"),
            ("X-Request-Class", "vip"),
            ("X-Chat-Id", "c" * 257),
        ],
    )
    def test_bad_field(self, rig, field):
        answer = post(rig, chat(), headers=[field])
        assert (answer.status, answer.code) == (400, "invalid_header")

    def test_too_long_idempotency_key(self, rig):
        headers = [("Idempotency-Key", "k" * 257)]
        answer = post(rig, b"", path=SERVICE_PATH, headers=headers)
        assert (answer.status, answer.code) == (400, "invalid_header")


SMUGGLED = b"GET /v1/smuggled HTTP/1.1\r\nHost: x\r\n\r\n"


def framed(*fields, body=SMUGGLED, version="HTTP/1.1"):
    lines = [f"POST {SERVICE_PATH} {version}", "Host: x"]
    lines.append(f"Authorization: Bearer {fixtures.KEY}")
    head = "\r\n".join([*lines, *fields, "", ""])
    return head.encode("latin-1") + body


class TestFraming:
    """Request smuggling on a connection that a load balancer shares.

    A request is hidden in the body of another, whose head gives the length
    of the body in two ways. If the daemon chooses another length than the
    load balancer, it takes the rest of the body for the next request, and
    another caller gets the answer.
    """

    @pytest.mark.parametrize(
        "fields",
        [
            ("Content-Length: 5", "Transfer-Encoding: chunked"),
            ("Transfer-Encoding: chunked", "Content-Length: 0"),
            ("Content-Length: 0", "Content-Length: 41"),
            ("Content-Length: 0", "content-length: 0"),
            ("Content-Length: -1",),
            ("Content-Length: +0",),
            ("Content-Length: 0_0",),
            ("Content-Length: 0, 41",),
            ("Content-Length: ",),
            ("Content-Length: " + "9" * 5000,),
            ("Content-Length : 41",),
            ("Content-Length\t: 41",),
            (" Content-Length: 41",),
            ("X-A: a\rContent-Length: 41",),
            ("X-A: a\nContent-Length: 41",),
            ("X-A: a", " folded"),
            ("X-A: a\x00b",),
            ("No colon here",),
            (": no name",),
            ("Transfer-Encoding: identity",),
            ("Transfer-Encoding: gzip, chunked",),
            ("Transfer-Encoding: xchunked",),
            ("Transfer-Encoding: \x0bchunked",),
            ("Transfer-Encoding: chunked", "Transfer-Encoding: identity"),
            ("Idempotency-Key: a", "Idempotency-Key: b"),
            ("Authorization: Bearer x",),
        ],
    )
    def test_ambiguous_head_is_rejected(self, rig, fields):
        before = len(rig.services["s1"].journal)
        status, code = rejection(
            send_raw(rig, framed(*fields) + MODELS_REQUEST)
        )
        assert (status, code) == (400, "invalid_header")
        assert len(rig.services["s1"].journal) == before

    @pytest.mark.parametrize(
        "chunks",
        [
            b"-1\r\n\r\n",
            b"zz\r\n",
            b"+5\r\nhello\r\n0\r\n\r\n",
            b"0x5\r\nhello\r\n0\r\n\r\n",
            b"5\nhello\r\n0\r\n\r\n",
            b"5\r\nhelloXX0\r\n\r\n",
            b"ffffffffffffffffffff\r\n",
        ],
    )
    def test_malformed_chunks(self, rig, chunks):
        data = send_raw(
            rig,
            framed("Transfer-Encoding: chunked", body=chunks) + SMUGGLED,
            half_close=True,
        )
        assert rejection(data) == (400, "invalid_body")
        rig.wait_idle()

    def test_chunked_before_http_11(self, rig):
        data = framed("Transfer-Encoding: chunked", version="HTTP/1.0")
        assert rejection(send_raw(rig, data)) == (400, "invalid_header")

    @pytest.mark.parametrize(
        "line",
        [
            b"GET /v1/models\r\n\r\n",
            b"GET /v1/models HTTP/2.0\r\n\r\n",
            b"GET /v1/models HTTP/1.1.1\r\n\r\n",
            b"GET /v1/\x85models HTTP/1.1\r\n\r\n",
            b"GET\x0b/v1/models\x0cHTTP/1.1\r\n\r\n",
            b"G(T /v1/models HTTP/1.1\r\n\r\n",
            b"GET /v1/\xffmodels HTTP/1.1\r\n\r\n",
            b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n",
            b"GET /" + b"a" * 9000 + b" HTTP/1.1\r\n\r\n",
            b"GET /v1/models HTTP/1.1\r\n" + b"A: b\r\n" * 101 + b"\r\n",
            b"GET /v1/models HTTP/1.1\r\nA: " + b"b" * 20000 + b"\r\n\r\n",
            b"GET /v1/models HTTP/1.1\r\n" + b"A: bbbbbbb\r\n" * 9000,
        ],
    )
    def test_malformed_head(self, rig, line):
        assert rejection(send_raw(rig, line)) == (400, "invalid_header")

    def test_requests_in_one_write_are_answered_in_turn(self, rig):
        body = framed(
            "Transfer-Encoding: chunked", body=b"2\r\nab\r\n0\r\n\r\n"
        )
        with rig.connect() as sock:
            sock.sendall(
                body + MODELS_REQUEST + framed("Content-Length: 2", body=b"xy")
            )
            data = b""
            while data.count(b"HTTP/1.1 200") < 3:
                data += sock.recv(65536)
        assert data.index(b"letters") < data.index(b"standin")

    def test_slow_head(self, rig):
        rig.server.head_seconds = 0.05
        data = send_raw(rig, b"GET /v1/models HTTP/1.1\r\nHost: x\r\n")
        assert rejection(data)[0] == 408

    def test_idle_connection_is_closed(self, rig):
        rig.server.idle_seconds = 0.05
        assert send_raw(rig, b"") == b""

    def test_error_to_head_has_no_body(self, rig):
        head = wire_fixtures.raw_request("HEAD", "/v1/models")
        data = send_raw(rig, head + b"GET /v1/models HTTP/1.0\r\n\r\n")
        first, _, rest = data.partition(b"\r\n\r\n")
        assert first.startswith(b"HTTP/1.1 405")
        assert rest.startswith(b"HTTP/1.1 401")


class TestStopping:
    def test_answers_close_their_connection(self):
        rig = fixtures.Rig()
        rig.server.stopping = True
        data = send_raw(rig, MODELS_REQUEST)
        rig.stop()
        assert b"Connection: close" in data
        assert b"standin" in data


PIECES = strategies.sampled_from(
    [
        b"GET ",
        b"POST ",
        fixtures.CHAT_PATH.encode(),
        b" HTTP/1.1\r\n",
        b"Host: x\r\n",
        f"Authorization: Bearer {fixtures.KEY}\r\n".encode(),
        b"Content-Length: 3\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"\r\n",
        b"3\r\nabc\r\n",
        b"0\r\n\r\n",
        chat(),
        b"\x00",
        b"\xff\r",
    ]
)
RAW_BYTES = strategies.lists(
    strategies.one_of(PIECES, strategies.binary(max_size=20)), max_size=12
).map(b"".join)


class TestAnyBytes:
    @settings(max_examples=150)
    @given(data=RAW_BYTES)
    @example(data=b"")
    def test_listener_stays_healthy(self, rig, data):
        """The daemon must not fail or answer 500, whatever bytes it gets.

        The caller sends arbitrary bytes and then closes its sending side.
        """
        with gevent.Timeout(10):
            received = send_raw(rig, data, half_close=True)
        assert b"HTTP/1.1 5" not in received
        if received:
            assert received.startswith(b"HTTP/1.1 ")
        rig.wait_idle()
        assert is_healthy(rig)
