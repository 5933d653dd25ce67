"""Forwarding by a whole daemon with the platform's headers."""

import contextlib

import gevent
import gevent.socket
import logbook
import pytest

from tests.topazlug import routing_fixtures
from tests.topazlug.forwarding import forwarding_fixtures as fixtures
from tests.topazlug_platform import platform_rig
from topazlug.forwarding import _graceful_stop
from topazlug.forwarding import _table
from topazlug.targets import _cold_replicas

AT_MOST_ONCE = _table.RequestKind.AT_MOST_ONCE
STREAM = _table.RequestKind.STREAM


@contextlib.contextmanager
def running(*routes, scripts=()):
    rig = platform_rig.Rig(*routes, scripts=scripts)
    try:
        yield rig
    finally:
        rig.stop()


def answering(data):
    return lambda sock: sock.sendall(data)


def cutting(data):
    """Return a script that sends `data`, then closes the connection."""

    def script(sock):
        sock.sendall(data)
        return False

    return script


def is_closed(port):
    """Return whether a port refuses or drops new connections."""
    try:
        gevent.socket.create_connection(
            ("127.0.0.1", port), timeout=0.1
        ).close()
    except OSError:
        return True
    return False


class TestRequest:
    def test_is_sent_to_the_replica_unchanged(self):
        script = answering(platform_rig.answer())
        with running(fixtures.route(), scripts=[script]) as rig:
            status, fields, body = rig.send("X-Deadline-Ms: 3000", "X-Own: 1")
            (sent,) = rig.requests
        assert (status, body) == (200, b"whole")
        assert fields["x-response-signature"] == "s1"
        head, _, sent_body = sent.decode().partition("\r\n\r\n")
        assert head.startswith("POST /a/x?q=1 HTTP/1.1\r\n")
        assert sent_body == "body"
        for line in (
            "X-Attempt-Id: a1",
            "X-Own: 1",
            "Host: chat.example",
            "X-Expected-Replica: i-1",
            "X-Tenant: udelar",
        ):
            assert line in head.split("\r\n")
        assert fixtures.KEY not in head

    def test_deadline_is_the_remaining_time(self):
        script = answering(platform_rig.answer())
        with running(fixtures.route(timeout=2.0), scripts=[script]) as rig:
            rig.send("X-Deadline-Ms: 9000")
            head = rig.requests[0].decode()
        (left,) = [
            int(line.split()[1])
            for line in head.split("\r\n")
            if line.startswith("X-Deadline-Ms")
        ]
        assert 0 < left <= 2000

    @pytest.mark.parametrize(
        "field",
        [
            "X-Tenant: other",
            "X-Expected-Replica: i-9",
            "Kv-From: 1.2.3.4:5/6",
            "X-Kv-Backup: 1.2.3.4:5",
            "X-Cache-Retention: 1",
            "X-Pin-Duration-Ms: 1",
            "X-Request-Priority: 0",
        ],
    )
    def test_fields_reserved_for_the_system_are_dropped(self, field):
        script = answering(platform_rig.answer())
        with running(fixtures.route(), scripts=[script]) as rig:
            rig.send(field)
            assert field not in rig.requests[0].decode().split("\r\n")

    def test_disconnect_of_the_client_ends_its_request(self):
        """Replicas continued requests of callers that had disconnected."""
        ended = []

        def script(sock):
            ended.append(sock.recv(1))
            return False

        with running(fixtures.route(), scripts=[script]) as rig:
            with rig.connect() as sock:
                sock.sendall(platform_rig.request())
                routing_fixtures.wait_until(lambda: bool(rig.requests))
            routing_fixtures.wait_until(lambda: bool(ended))
        assert ended == [b""]


class TestStart:
    def test_request_before_the_first_table_is_served(self):
        """After a restart of all daemons, callers got 503 and late answers.

        A request that arrived some milliseconds before the first table was
        rejected at once, and could be retried only half a second later.
        """
        script = answering(platform_rig.answer())
        with running() as rig:
            pending = gevent.spawn(rig.send)
            gevent.sleep(0.02)
            rig.list(script)
            rig.daemon.update_table(fixtures.table(fixtures.route()))
            assert pending.get(timeout=10)[0] == 200


class TestRejections:
    def test_no_table(self):
        with running() as rig:
            status, fields, _ = rig.send()
        assert status == 503 and "retry-after" in fields

    def test_no_route(self):
        with running(fixtures.route()) as rig:
            assert rig.send(path="/b/")[0] == 404

    def test_log_line_has_the_table_version_and_age(self):
        """The log did not show which table had rejected a new route."""
        lines = logbook.TestHandler()
        with running(fixtures.route()) as rig, lines.applicationbound():
            rig.send(path="/b/")
        refused = next(
            line for line in lines.records if "failed with" in line.message
        )
        assert refused.kwargs["table"] == rig.daemon.tables.version
        assert refused.kwargs["table_age"] >= 0.0

    def test_unknown_key(self):
        route = fixtures.route(anonymous=False)
        with running(route) as rig:
            rig.daemon.update_table(
                _table.RoutingTable(
                    version=2,
                    routes=[route],
                    teams_by_key={},
                    bounds=_table.CallerBounds(),
                )
            )
            assert rig.send()[0] == 401

    def test_rejected_at_once_without_replicas(self):
        with running(fixtures.route()) as rig:
            status, fields, _ = rig.send("X-Deadline-Ms: 60000")
        assert status == 503 and "retry-after" in fields

    def test_rejected_by_all_replicas(self):
        rejection = platform_rig.answer(
            b"", "X-Not-Executed: 1", status="503 Full", signed=False
        )
        scripts = [answering(rejection)] * 2
        route = fixtures.route(kind=AT_MOST_ONCE)
        with running(route, scripts=scripts) as rig:
            assert rig.send()[0] == 503
            assert len(rig.requests) == 2

    def test_refused_connection_is_retried_elsewhere(self):
        script = answering(platform_rig.answer())
        route = fixtures.route(kind=AT_MOST_ONCE, max_replicas=1)
        with running(route, scripts=[script]) as rig:
            known = list(rig.daemon.targets.target_by_replica.values())
            gone = [fixtures.target(f"gone-{n}", port=1) for n in range(3)]
            rig.daemon.replicas.update([*known, *gone])
            assert [rig.send()[0] for _ in range(8)] == [200] * 8


class TestAnswers:
    """An answer that is not genuine is never passed on to a client."""

    @pytest.mark.parametrize(
        "data",
        [
            platform_rig.answer(signed=False),
            platform_rig.answer(b"x", "Content-Encoding: gzip"),
            platform_rig.answer(attempt="a2"),
            platform_rig.answer(status="503 Busy"),
            platform_rig.answer(status="429 Many"),
            b"\x00\x01 no HTTP\r\n\r\n",
            platform_rig.answer(b"half")[:-1],
        ],
    )
    def test_not_genuine(self, data):
        route = fixtures.route(kind=AT_MOST_ONCE, max_replicas=3)
        scripts = [cutting(data)] * 3
        with running(route, scripts=scripts) as rig:
            status, fields, _ = rig.send()
            assert status == 502
            assert "x-response-signature" not in fields
            assert len(rig.requests) == 1

    def test_idempotent_request_is_retried_elsewhere(self):
        calls = []

        def script(sock):
            calls.append(sock)
            if len(calls) == 1:
                return False
            sock.sendall(platform_rig.answer())
            return None

        with running(fixtures.route(), scripts=[script] * 2) as rig:
            assert rig.send()[0] == 200
            assert len(rig.requests) == 2

    def test_error_of_a_replica_is_passed_on(self):
        failure = platform_rig.answer(b"sorry", status="500 Broken")
        with running(
            fixtures.route(), scripts=[answering(failure)] * 2
        ) as rig:
            status, fields, body = rig.send()
            assert (status, body) == (500, b"sorry")
            assert fields["x-response-signature"] == "s1"
            assert len(rig.requests) == 2

    def test_body_that_ends_with_its_connection(self):
        data = (
            b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\n"
            b"X-Response-Signature: s1\r\n\r\nunframed"
        )
        with running(fixtures.route(), scripts=[cutting(data)]) as rig:
            assert rig.send()[2] == b"unframed"


class TestStreams:
    def test_whole(self):
        whole = platform_rig.stream_head() + b"".join(
            platform_rig.chunk(platform_rig.event(n)) for n in range(1, 4)
        )
        script = answering(whole + platform_rig.END)
        with running(fixtures.route(kind=STREAM), scripts=[script]) as rig:
            status, _, body = rig.send()
        assert status == 200
        assert body.endswith(platform_rig.END)
        for number in range(1, 4):
            assert platform_rig.event(number) in body

    def test_broken_stream_is_resumed_elsewhere(self):
        """A stream ended early when its replica crashed.

        The replica closes the connection within its third event; another
        replica is asked to resume after the second.
        """
        attempts = []

        def script(sock):
            attempts.append(sock)
            if len(attempts) == 1:
                part = platform_rig.event(1) + platform_rig.event(2)
                torn = platform_rig.event(3)[:9]
                sock.sendall(
                    platform_rig.stream_head()
                    + platform_rig.chunk(part + torn)
                )
                return False
            rest = platform_rig.event(3) + platform_rig.event(4)
            sock.sendall(
                platform_rig.stream_head()
                + platform_rig.chunk(rest)
                + platform_rig.END
            )
            return None

        route = fixtures.route(kind=STREAM, resumable=True)
        with running(route, scripts=[script] * 2) as rig:
            _, _, body = rig.send()
            second_request = rig.requests[1].decode()
        assert "\r\nLast-Event-Id: 2\r\n" in second_request
        events = [platform_rig.event(n) for n in range(1, 5)]
        text = b"".join(
            line for line in body.split(b"\r\n") if b"data" in line
        )
        assert text == b"".join(events)
        assert body.endswith(platform_rig.END)

    def test_stream_that_is_not_resumable_is_cut(self):
        part = platform_rig.stream_head() + platform_rig.chunk(
            platform_rig.event(1)
        )
        route = fixtures.route(kind=STREAM)
        with running(route, scripts=[cutting(part)] * 2) as rig:
            _, _, body = rig.send()
            assert len(rig.requests) == 1
        assert platform_rig.event(1) in body
        assert not body.endswith(platform_rig.END)

    def test_stream_with_a_missing_event_is_cut(self):
        """An answer lacked an event in the middle."""
        data = platform_rig.stream_head() + b"".join(
            platform_rig.chunk(platform_rig.event(n)) for n in (1, 2, 4)
        )
        route = fixtures.route(kind=STREAM)
        script = answering(data + platform_rig.END)
        with running(route, scripts=[script]) as rig:
            _, _, body = rig.send()
        assert platform_rig.event(4) not in body
        assert not body.endswith(platform_rig.END)


class TestUndelimitedStreams:
    """Streams with neither a length nor chunks end with their connection."""

    HEAD = platform_rig.stream_head().replace(
        b"Transfer-Encoding: chunked", b"Connection: close"
    )

    def send(self, *streams, **changes):
        """Send a request to replicas; return its answer and their number."""
        route = fixtures.route(kind=STREAM, **changes)
        scripts = [cutting(self.HEAD + stream) for stream in streams]
        with running(route, scripts=scripts) as rig:
            answer = rig.send()
            return answer, len(rig.requests)

    def test_whole(self):
        (status, _, body), _ = self.send(platform_rig.event(1))
        assert status == 200
        assert platform_rig.event(1) in body
        assert body.endswith(platform_rig.END)

    def test_end_within_an_event_is_not_passed_on_as_complete(self):
        """A stream that broke off looked complete to its caller."""
        torn = platform_rig.event(1) + platform_rig.event(2)[:9]
        (_, _, body), _ = self.send(torn)
        assert platform_rig.event(1) in body
        assert not body.endswith(platform_rig.END)

    @pytest.mark.parametrize("begun", [b"", platform_rig.event(1)[:9]])
    def test_end_before_the_first_event_is_a_failure(self, begun):
        """A stream without any event was passed on as complete."""
        (status, fields, _), _ = self.send(begun)
        assert status == 502
        assert fields["topazlug-outcome"] == "unknown"

    def test_end_within_an_event_is_resumed_elsewhere(self):
        torn = platform_rig.event(1) + platform_rig.event(2)[:9]
        (_, _, body), count = self.send(torn, torn, resumable=True)
        assert count == 2
        assert body.count(platform_rig.event(1)) == 1


class TestStopping:
    def test_requests_in_progress_are_completed(self, monkeypatch):
        """Callers lost answers when a daemon was replaced."""
        monkeypatch.setattr(
            _graceful_stop, "_READINESS_PROPAGATION_SECONDS", 0.2
        )
        go_on = gevent.event.Event()

        def script(sock):
            go_on.wait()
            sock.sendall(platform_rig.answer())

        with running(fixtures.route(), scripts=[script]) as rig:
            running_one = gevent.spawn(rig.send)
            routing_fixtures.wait_until(lambda: bool(rig.requests))
            assert rig.daemon.is_ready()
            stopping = gevent.spawn(rig.daemon.stop)
            routing_fixtures.wait_until(lambda: not rig.daemon.is_ready())
            late_one = gevent.spawn(rig.send)
            routing_fixtures.wait_until(lambda: len(rig.requests) == 2)
            # The replica answers only after the daemon has stopped listening.
            port = rig.port
            routing_fixtures.wait_until(lambda: is_closed(port))
            gevent.sleep(0)
            assert not stopping.ready()
            go_on.set()
            assert running_one.get(timeout=10)[0] == 200
            assert late_one.get(timeout=10)[0] == 200
            stopping.get(timeout=10)
            assert rig.daemon.stopped.is_set()

    def test_request_during_the_shutdown_of_its_idle_connection(self):
        """Callers got 500 while a daemon was replaced.

        A stopping daemon shuts down its idle connections for reading. If a
        request has just arrived on one, it is still read and sent to a
        replica, but the daemon mistook its own shutdown for a disconnect of
        the caller.
        """

        def script(sock):
            gevent.sleep(0.05)
            sock.sendall(platform_rig.answer())

        with running(fixtures.route(), scripts=[script]) as rig:
            callers = rig.daemon._callers
            with rig.connect() as sock:
                routing_fixtures.wait_until(lambda: callers.idle_handlers)
                sock.sendall(platform_rig.request())
                callers.close_idle()
                with gevent.Timeout(10):
                    assert platform_rig.read_all(sock)[0] == 200

    def test_idle_connections_are_closed(self, monkeypatch):
        monkeypatch.setattr(
            _graceful_stop, "_READINESS_PROPAGATION_SECONDS", 0.05
        )
        with running(fixtures.route()) as rig:
            with rig.connect() as sock:
                stopping = gevent.spawn(rig.daemon.stop)
                with gevent.Timeout(10):
                    assert sock.recv(1) == b""
                stopping.get(timeout=10)


class TestMetrics:
    def test_scrape_shows_requests_by_team(self):
        script = answering(platform_rig.answer())
        with running(fixtures.route(), scripts=[script]) as rig:
            rig.send()
            rig.send(path="/b/")
            text = rig.scrape()
        assert 'team="udelar"' in text
        assert 'code="path_not_found"' in text
        assert "topazlug_requests_in_flight 0.0" in text

    def test_scrape_shows_why_replicas_get_few_requests(self):
        with running(fixtures.route()) as rig:
            daemon = rig.daemon
            cold = _cold_replicas.ColdStart(3.0, 14.0)
            daemon.targets.cold.set_cold_starts({fixtures.GROUP: cold})
            daemon.replicas.update(
                [
                    fixtures.target("i-1"),
                    fixtures.target("i-2", zone="y"),
                    fixtures.target("i-3", zone="y"),
                ]
            )
            daemon.targets.cold.presume_cold([fixtures.target("i-1")])
            daemon.update_drained_zones(frozenset({"y"}))
            text = rig.scrape()
        assert "topazlug_replicas_known 3.0" in text
        assert "topazlug_replicas_cold 1.0" in text
        assert "topazlug_replicas_drained 2.0" in text
        assert "topazlug_replicas_unreached 0.0" in text
        assert "topazlug_tables_age_seconds" in text
        assert "topazlug_owner_fairness_rejections_total 0.0" in text
