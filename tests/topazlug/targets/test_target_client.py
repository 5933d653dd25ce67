"""Tests that a request gets its own complete answer, or a visible failure."""

import gevent
import pytest

from tests.topazlug import claim_fakes
from tests.topazlug import routing_fixtures as fixtures
from tests.topazlug import wire_fixtures
from topazlug import _clock
from topazlug import _errors
from topazlug import _ids
from topazlug.targets import _target_client
from topazlug.targets import _target_wire

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
UNKNOWN = _errors.Outcome.UNKNOWN


@pytest.fixture
def connections():
    made = _target_client.TargetConnections(
        connect_timeout=1.0, clock=_clock.SystemClock()
    )
    yield made
    made.close()


@pytest.fixture
def serve():
    servers = []

    def start(script):
        servers.append(wire_fixtures.scripted_server(script))
        return fixtures.target("t", port=servers[-1].server_port)

    yield start
    for server in servers:
        server.stop(timeout=0)


def request(request_id="r1", *, fresh=False, method="GET"):
    return _target_client.TargetRequest(
        method=method,
        path="/",
        headers=[("Host", "t")],
        body=b"",
        request_id=_ids.RequestId(request_id),
        fresh=fresh,
    )


def body_of(answer, *, receive_timeout=5.0, **options):
    return b"".join(answer.chunks(receive_timeout=receive_timeout, **options))


def answering(*answers):
    """Send one answer for each request, on one connection."""

    def script(sock):
        for answer in answers:
            if not wire_fixtures.read_request(sock):
                return
            sock.sendall(answer)
        wire_fixtures.read_request(sock)

    return script


class TestExchange:
    def test_connection_is_reused_after_a_complete_answer(
        self, connections, serve
    ):
        accepted = []

        def script(sock):
            accepted.append(sock)
            answering(*[wire_fixtures.http_answer(b"x")] * 2)(sock)

        target = serve(script)
        for _ in range(2):
            answer = connections.exchange(target, request(), head_timeout=5)
            assert body_of(answer) == b"x"
        assert len(accepted) == 1

    @pytest.mark.parametrize("echoed", [True, False])
    def test_second_answer_in_the_same_bytes(self, connections, serve, echoed):
        """A second answer must not be appended to the first one.

        When a target sends a late answer directly after this one and both
        arrive at once, the library's parser appends the second body to the
        first, so that a caller receives data of another caller.
        """
        ids = ["X-Request-Id: r1", "X-Request-Id: r0"] if echoed else ["", ""]
        mine, other = [
            wire_fixtures.http_answer(body, *([field] if field else []))
            for body, field in zip([b"mine", b"other"], ids)
        ]
        target = serve(answering(mine + other, mine))
        for _ in range(2):
            answer = connections.exchange(target, request(), head_timeout=5)
            assert body_of(answer) == b"mine"

    @pytest.mark.parametrize("garbage", [b"\x00\x17 no HTTP", b"HTTP/1.1 2"])
    def test_garbage_after_a_complete_answer(
        self, connections, serve, garbage
    ):
        """A complete answer must not fail because of bytes after it.

        This happened when they were received together with its last bytes.
        """
        answers = [wire_fixtures.http_answer(b"one") + garbage]
        target = serve(answering(*answers))
        for _ in range(2):
            answer = connections.exchange(target, request(), head_timeout=5)
            assert body_of(answer) == b"one"

    def test_bytes_on_an_idle_connection(self, connections, serve):
        """A stray answer on an idle connection must not reach a caller.

        After a complete answer, the target sends another one without a
        request. Its bytes would be read by the next request that reuses the
        connection.
        """
        send_stray = gevent.event.Event()

        def script(sock):
            wire_fixtures.read_request(sock)
            sock.sendall(wire_fixtures.http_answer(b"one"))
            if not send_stray.is_set():
                send_stray.wait()
                sock.sendall(wire_fixtures.http_answer(b"stray"))
            wire_fixtures.read_request(sock)

        target = serve(script)
        answer = connections.exchange(target, request(), head_timeout=5)
        assert body_of(answer) == b"one"
        (idle,) = connections._idle_by_address.values()
        (kept,) = idle._idle
        send_stray.set()
        gevent.socket.wait_read(kept.connection.fileno())
        answer = connections.exchange(target, request(), head_timeout=5)
        assert body_of(answer) == b"one"

    def test_head_that_arrives_before_its_body(self, connections, serve):
        """A head in a packet of its own must not end the answer.

        Requests failed with "incomplete response", because the parser was
        fed the empty rest after the head and took it for the end of the
        connection.
        """
        go_on = gevent.event.Event()

        def script(sock):
            wire_fixtures.read_request(sock)
            sock.sendall(CHUNKED)
            go_on.wait()
            sock.sendall(b"3\r\none\r\n0\r\n\r\n")

        answer = connections.exchange(serve(script), request(), head_timeout=5)
        go_on.set()
        assert body_of(answer) == b"one"

    def test_repeated_answer_is_discarded(self, serve):
        """The request after a repeated answer must not fail.

        The target answers a request a second time when the connection's next
        request arrives, and then answers that one. The repeated answer was
        treated as a failure of the next request.
        """

        class Wire(_target_wire.DefaultTargetWire):
            repeats_answers = True

        made = _target_client.TargetConnections(
            connect_timeout=1.0, clock=_clock.SystemClock(), wire=Wire()
        )

        def script(sock):
            wire_fixtures.read_request(sock)
            first = wire_fixtures.http_answer(b"one", "X-Request-Id: r1")
            sock.sendall(first)
            wire_fixtures.read_request(sock)
            sock.sendall(first)
            sock.sendall(wire_fixtures.http_answer(b"two", "X-Request-Id: r2"))

        target = serve(script)
        for name, body in (("r1", b"one"), ("r2", b"two")):
            answer = made.exchange(target, request(name), head_timeout=5)
            assert body_of(answer) == body
        made.close()

    def test_answer_before_the_body_was_read(self, connections, serve):
        """A connection must not be reused before the body was sent.

        The target answers early and reads the body later. The next request
        was sent on the same connection, and the target took it for the rest
        of the body.
        """
        sockets = []

        def script(sock):
            sockets.append(sock)
            sock.recv(1024)
            sock.sendall(wire_fixtures.http_answer(b"early"))
            gevent.sleep(60)

        target = serve(script)
        large = _target_client.TargetRequest(
            method="POST",
            path="/",
            headers=[],
            body=b"x" * 30_000_000,
            request_id=_ids.RequestId("r1"),
        )
        answer = connections.exchange(target, large, head_timeout=5)
        assert body_of(answer) == b"early"
        connections.exchange(target, request("r2"), head_timeout=5).close()
        assert len(sockets) == 2

    def test_idle_connection_is_closed_after_a_minute(self, serve):
        """Idle connections must expire.

        With one to each of thousands of targets, a daemon ran out of file
        descriptors under little load.
        """
        clock = claim_fakes.FakeClock()
        made = _target_client.TargetConnections(
            connect_timeout=1.0, clock=clock
        )
        target = serve(answering(wire_fixtures.http_answer(b"one")))
        answer = made.exchange(target, request(), head_timeout=5)
        assert body_of(answer) == b"one"
        made.sweep()
        assert made._idle_by_address
        clock.advance(61)
        made.sweep()
        assert not made._idle_by_address

    def test_idle_connection_that_the_target_closed(self, connections, serve):
        """A connection that the target closed while idle must not be reused.

        The first request after an idle period failed.
        """
        target = serve(answering(wire_fixtures.http_answer(b"one")))
        connections.exchange(target, request(), head_timeout=5)
        answer = connections.exchange(target, request(), head_timeout=5)
        assert body_of(answer) == b"one"

    @pytest.mark.parametrize(
        "echo",
        [("X-Request-Id: other",), ("X-Request-Id: r1", "X-Request-Id: r2")],
    )
    def test_answer_to_another_request_is_a_failure(
        self, connections, serve, echo
    ):
        target = serve(answering(wire_fixtures.http_answer(b"x", *echo)))
        with pytest.raises(_errors.TargetFailed) as caught:
            connections.exchange(target, request(), head_timeout=5)
        assert caught.value.outcome is UNKNOWN

    def test_rejected_request_did_not_run(self, connections, serve):
        refusal = wire_fixtures.http_answer(
            b"", "X-Not-Run: true", status="503 Busy"
        )
        target = serve(answering(refusal))
        with pytest.raises(_errors.TargetRefused) as caught:
            connections.exchange(target, request(), head_timeout=5)
        assert caught.value.outcome is _errors.Outcome.NOT_RUN

    def test_fresh_request_uses_no_idle_connection(self, connections, serve):
        accepted = []

        def script(sock):
            accepted.append(sock)
            answering(wire_fixtures.http_answer(b"x"))(sock)

        target = serve(script)
        for _ in range(2):
            answer = connections.exchange(
                target, request(fresh=True), head_timeout=5
            )
            body_of(answer)
        assert len(accepted) == 2

    def test_nothing_is_sent_after_the_deadline(self, connections, serve):
        """The deadline must be checked after connecting.

        A daemon that was suspended while it connected sent the request long
        after its deadline.
        """
        received = []
        target = serve(lambda sock: received.append(sock.recv(1)))
        with pytest.raises(_errors.DeadlineExceeded) as caught:
            connections.exchange(
                target, request(), head_timeout=5, deadline=0.0
            )
        assert caught.value.outcome is _errors.Outcome.NOT_RUN
        fixtures.wait_until(lambda: bool(received))
        assert received == [b""]

    def test_refused_connection(self, connections):
        with pytest.raises(_target_client.ConnectFailed):
            connections.exchange(
                fixtures.target("t", port=1), request(), head_timeout=5
            )


def trickle(first, byte):
    """Send something, then the same bytes every few milliseconds."""

    def script(sock):
        wire_fixtures.read_request(sock)
        sock.sendall(first)
        while True:
            sock.sendall(byte)
            gevent.sleep(0.005)

    return script


class TestDeadline:
    """A request must end at its deadline, even if bytes still arrive.

    Each received byte restarted the receive timeout.
    """

    def test_slow_head(self, connections, serve):
        target = serve(trickle(b"HTTP/1.1 200 OK\r\nX-A: ", b"a"))
        deadline = _clock.SystemClock().monotonic() + 0.05
        with pytest.raises(_errors.DeadlineExceeded) as caught:
            connections.exchange(
                target, request(), head_timeout=5, deadline=deadline
            )
        assert caught.value.outcome is UNKNOWN

    def test_slow_body(self, connections, serve):
        target = serve(trickle(CHUNKED, b"1\r\na\r\n"))
        answer = connections.exchange(target, request(), head_timeout=5)
        deadline = _clock.SystemClock().monotonic() + 0.05
        with pytest.raises(_errors.DeadlineExceeded):
            body_of(answer, deadline=deadline)

    def test_silent_target(self, connections, serve):
        target = serve(lambda sock: sock.recv(65536) and sock.recv(1))
        with pytest.raises(_errors.TargetSilent) as caught:
            connections.exchange(target, request(), head_timeout=0.02)
        assert caught.value.outcome is UNKNOWN


class TestTruncation:
    @pytest.mark.parametrize(
        "part",
        [
            b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf",
            CHUNKED + b"4\r\nhalf\r\n",
            CHUNKED + b"9\r\nhalf",
            CHUNKED + b"4\r\nhalf\r\nzz\r\n",
        ],
    )
    def test_truncated_body_is_an_error(self, connections, serve, part):
        def script(sock):
            wire_fixtures.read_request(sock)
            sock.sendall(part)

        target = serve(script)
        broken = (_errors.TargetTruncated, _errors.TargetFailed)
        with pytest.raises(broken) as caught:
            body_of(connections.exchange(target, request(), head_timeout=5))
        assert caught.value.outcome is UNKNOWN

    @pytest.mark.parametrize(
        "part", [b"", b"HTTP/1.1 200", b"\x00\xff no HTTP\r\n\r\n"]
    )
    def test_missing_head_is_a_failure(self, connections, serve, part):
        def script(sock):
            wire_fixtures.read_request(sock)
            sock.sendall(part)

        target = serve(script)
        with pytest.raises(_errors.TargetFailed) as caught:
            connections.exchange(target, request(), head_timeout=5)
        assert caught.value.outcome is UNKNOWN


class TestDropConnections:
    """Requests must not wait on connections to a process that has ended.

    A replica crashed behind a network partition and restarted under its id.
    Its connections got no reset, and requests on them waited until their
    deadlines.
    """

    def test_waiting_request_fails_at_once(self, connections, serve):
        def script(sock):
            wire_fixtures.read_request(sock)
            gevent.sleep(60)

        target = serve(script)
        waiting = gevent.spawn(
            connections.exchange, target, request(), head_timeout=30
        )
        fixtures.wait_until(lambda: bool(connections._in_use_by_process))
        gevent.sleep(0.05)
        connections.drop_connections(target)
        with pytest.raises(_errors.TargetFailed) as caught:
            waiting.get(timeout=5)
        assert caught.value.outcome is UNKNOWN
        assert not connections._in_use_by_process

    def test_idle_connections_are_not_reused(self, connections, serve):
        accepted = []

        def script(sock):
            accepted.append(sock)
            answering(*[wire_fixtures.http_answer(b"x")] * 2)(sock)

        target = serve(script)
        for _ in range(2):
            answer = connections.exchange(target, request(), head_timeout=5)
            assert body_of(answer) == b"x"
            connections.drop_connections(target)
        assert len(accepted) == 2
        assert not connections._in_use_by_process
