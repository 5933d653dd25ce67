"""Client of the table service, against the stand-in and broken servers."""

import socket

from gevent import event
from gevent import server as gevent_server
import pytest

from standins import _http
from standins import _platform
from topazlug import _clock
from topazlug import _errors
from topazlug.store import _table_client

ABSENT = _table_client.Condition(table="t", key="k", version=0)
PUT = _table_client.Put(table="t", key="k", value={"n": 1})


@pytest.fixture
def platform():
    stand_in = _platform.Platform(list_lag=0.0, writes_per_second=0.0)
    server = _http.server(stand_in.answer, 0)
    stand_in.port = server.server_port
    yield stand_in
    server.stop()


@pytest.fixture
def client(platform):
    return make_client(platform.port)


def make_client(port, *, timeout=5.0):
    return _table_client.TableClient(
        host="127.0.0.1",
        port=port,
        timeout=timeout,
        clock=_clock.SystemClock(),
    )


class ScriptedServer:
    """A server that answers each connection with fixed bytes."""

    def __init__(self, answer):
        self.answer = answer
        self.requests = 0
        self.stopped = event.Event()
        self.server = gevent_server.StreamServer(("127.0.0.1", 0), self.serve)
        self.server.start()

    def serve(self, connection, _):
        if not connection.recv(65536):
            return
        self.requests += 1
        if self.answer is None:
            self.stopped.wait()
        else:
            connection.sendall(self.answer)

    def stop(self):
        self.stopped.set()
        self.server.stop()


@pytest.fixture
def start_server():
    servers = []

    def make(answer):
        servers.append(ScriptedServer(answer))
        return servers[-1]

    yield make
    for one in servers:
        one.stop()


def http_answer(status, body, extra=""):
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{extra}\r\n"
    return head.encode() + body


class TestAnswers:
    def test_write_then_read(self, client):
        versions = client.transact(conditions=[ABSENT], puts=[PUT])
        assert versions == {"t/k": 1}
        assert client.read("t", "k") == _table_client.Row(
            table="t", key="k", version=1, value={"n": 1}
        )

    def test_absent_row(self, client):
        assert client.read("t", "k") is None

    def test_conflict_shows_the_row(self, client):
        client.transact(conditions=[], puts=[PUT])
        with pytest.raises(_table_client.TransactionConflict) as caught:
            client.transact(conditions=[ABSENT], puts=[PUT])
        assert [row.version for row in caught.value.failed] == [1]

    def test_key_with_slashes(self, client):
        put = _table_client.Put(table="t", key="a/b c?&é", value={})
        client.transact(conditions=[], puts=[put])
        assert client.read("t", "a/b c?&é").key == "a/b c?&é"

    def test_scan_continues_after_a_key(self, client):
        for key in ("a1", "a2", "b1"):
            put = _table_client.Put(table="t", key=key, value={})
            client.transact(conditions=[], puts=[put])
        page = client.scan("t", prefix="a", limit=1)
        assert ([row.key for row in page.rows], page.more) == (["a1"], True)
        page = client.scan("t", prefix="a", after="a1")
        assert ([row.key for row in page.rows], page.more) == (["a2"], False)

    def test_connection_is_reused(self, client, platform):
        client.read("t", "k")
        queue = client._http._pool._socket_queue
        first = queue.queue[0]
        client.read("t", "k")
        assert queue.queue[0] is first


class TestNoEffect:
    """Failures after which nothing was written."""

    def test_refused_connection(self):
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            port = free.getsockname()[1]
        with pytest.raises(_errors.StoreUnavailable) as caught:
            make_client(port).transact(conditions=[], puts=[PUT])
        assert caught.value.retry_after

    @pytest.mark.parametrize("status", [429, 503])
    @pytest.mark.parametrize(
        ("named", "seconds"),
        [("7", 7.0), ("soon", 1.0), ("Thu, 01 Jan 1970 00:00:00 GMT", 1.0)],
    )
    def test_rejection_has_retry_after(
        self, start_server, status, named, seconds
    ):
        answer = http_answer(status, b"{}", f"Retry-After: {named}\r\n")
        client = make_client(start_server(answer).server.server_port)
        with pytest.raises(_errors.StoreUnavailable) as caught:
            client.transact(conditions=[], puts=[PUT])
        assert caught.value.retry_after == seconds


class TestAmbiguous:
    """Failures after which a write may have taken effect.

    If they were taken for failed writes, a request would be reported as not
    run while its claim stands. If they were taken for commits, two requests
    would hold one claim.
    """

    @pytest.mark.parametrize(
        "answer",
        [
            b"",
            b"garbage\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nContent-Le",
            b'HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{"com',
            http_answer(200, b"<html>"),
            http_answer(200, b'{"committed": false, "versions": {}}'),
            http_answer(409, b"{}"),
            http_answer(409, b'{"committed": true, "failed": []}'),
            http_answer(500, b"{}"),
            http_answer(502, b"{}"),
            http_answer(400, b"{}"),
        ],
    )
    def test_answer(self, start_server, answer):
        server = start_server(answer)
        client = make_client(server.server.server_port)
        with pytest.raises(_errors.StoreAmbiguous):
            client.transact(conditions=[], puts=[PUT])
        assert server.requests == 1

    def test_no_answer_in_time(self, start_server):
        server = start_server(None)
        client = make_client(server.server.server_port, timeout=0.05)
        with pytest.raises(_errors.StoreAmbiguous):
            client.transact(conditions=[], puts=[PUT])

    def test_request_is_not_repeated_on_a_reused_connection(
        self, platform, client
    ):
        """Guards against an edit that is written twice.

        The answer is lost on a reused connection. A library that takes this
        for an idle connection closed by the server would send the request
        again.
        """
        client.read("t", "k")
        platform.faults.lose_answers = 1
        with pytest.raises(_errors.StoreAmbiguous):
            client.transact(conditions=[], puts=[PUT])
        assert platform.counters.transact_calls == 1

    def test_late_answer_is_discarded(self, platform):
        """Guards against a read that gets the row of one that timed out."""
        platform.faults.delay = 0.2
        client = make_client(platform.port, timeout=0.05)
        with pytest.raises(_errors.StoreUnavailable):
            client.read("t", "other")
        platform.faults.delay = 0.0
        client.transact(conditions=[], puts=[PUT])
        assert client.read("t", "k").key == "k"


class TestReads:
    @pytest.mark.parametrize(
        "answer", [b"", http_answer(200, b"<html>"), http_answer(500, b"")]
    )
    def test_failure_is_unavailable(self, start_server, answer):
        client = make_client(start_server(answer).server.server_port)
        with pytest.raises(_errors.StoreUnavailable):
            client.read("t", "k")
