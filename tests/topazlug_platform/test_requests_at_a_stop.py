"""Requests that a stopping daemon can still read."""

import contextlib
import time

import gevent
import pytest

from tests.topazlug import routing_fixtures
from tests.topazlug.forwarding import forwarding_fixtures as fixtures
from tests.topazlug_platform import platform_rig
from topazlug.forwarding import _graceful_stop
from topazlug.forwarding import _table

STREAM = _table.RequestKind.STREAM
AT_MOST_ONCE = _table.RequestKind.AT_MOST_ONCE
# The load balancer needs this long to remove the daemon in these tests.
UNLISTED_SECONDS = 0.3
STOP_SECONDS = 2.0
# The longest time until a refusal.
REFUSAL_SECONDS = 0.1
EVENTS = 6
PAUSE_SECONDS = 0.2
DEADLINE = "X-Deadline-Ms: 4000"


@pytest.fixture(autouse=True)
def _short_stop(monkeypatch):
    monkeypatch.setattr(
        _graceful_stop, "_READINESS_PROPAGATION_SECONDS", UNLISTED_SECONDS
    )


def stream_route(**changes):
    return fixtures.route(kind=STREAM, timeout=8.0, **changes)


def slow_route(**changes):
    """Return a route whose requests are not retried early."""
    return fixtures.route(latency_objective=5.0, timeout=8.0, **changes)


def streaming(sock):
    """Send a stream that takes 1.2 s."""
    sock.sendall(platform_rig.stream_head())
    for number in range(1, EVENTS + 1):
        sock.sendall(platform_rig.chunk(platform_rig.event(number)))
        gevent.sleep(PAUSE_SECONDS)
    sock.sendall(platform_rig.END)


def answering(seconds=0.0):
    def script(sock):
        gevent.sleep(seconds)
        sock.sendall(platform_rig.answer())

    return script


def silent(sock):
    """Send nothing until the daemon closes the connection."""
    sock.recv(1)
    return False


def request(*fields, body=b"body", length=None):
    """Return a request whose connection is kept."""
    data = platform_rig.request(DEADLINE, *fields, body=body)
    data = data.replace(b"Connection: close\r\n", b"")
    if length is not None:
        data = data.replace(
            b"Content-Length: %d\r\n" % len(body),
            b"Content-Length: %d\r\n" % length,
        )
    return data


class StoppingRig(platform_rig.Rig):
    """A daemon that is told to stop, and what its callers receive."""

    def __init__(self, route, *scripts):
        super().__init__(route, scripts=scripts, stop_seconds=STOP_SECONDS)
        self.stopping = None
        self.began = 0.0

    def begin_stop(self):
        """Tell the daemon to stop; return at once."""
        self.began = time.monotonic()
        self.stopping = gevent.spawn(self.daemon.stop)
        routing_fixtures.wait_until(lambda: not self.daemon.is_ready())

    def wait_unlisted(self):
        """Wait until the load balancer sends no more callers."""
        gevent.sleep(self.began + UNLISTED_SECONDS - time.monotonic() + 0.2)

    def learn(self):
        """Serve one request, so that its duration is known."""
        with gevent.Timeout(10):
            assert self.send(DEADLINE)[0] == 200

    def wait_stopped(self):
        with gevent.Timeout(10):
            self.stopping.get()
        assert time.monotonic() - self.began < STOP_SECONDS


@contextlib.contextmanager
def running(route, *scripts):
    rig = StoppingRig(route, *scripts)
    try:
        yield rig
    finally:
        rig.stop()


class Connection:
    """A caller's kept connection, on which answers are read one by one."""

    def __init__(self, rig):
        self.sock = rig.connect()
        self._data = b""

    def __enter__(self):
        return self

    def __exit__(self, *exception):
        self.sock.close()

    def send(self, *fields, body=b"body", length=None):
        """Send a request; return whether the connection was still open."""
        try:
            self.sock.sendall(request(*fields, body=body, length=length))
        except OSError:
            return False
        return True

    def _fill(self):
        try:
            more = self.sock.recv(65536)
        except ConnectionResetError:
            more = b""
        self._data += more
        return bool(more)

    def read(self):
        """Return status and fields of an answer; None if it is not whole."""
        with gevent.Timeout(10):
            while b"\r\n\r\n" not in self._data:
                if not self._fill():
                    assert not self._data
                    return None
            head, _, self._data = self._data.partition(b"\r\n\r\n")
            first, *lines = head.decode().lower().split("\r\n")
            fields = dict(line.split(": ", 1) for line in lines)
            status = int(first.split()[1])
            if not self._skip_body(fields):
                return status, None
            return status, fields

    def _skip_body(self, fields):
        end = platform_rig.END
        if "content-length" in fields:
            length = int(fields["content-length"])
            while len(self._data) < length:
                if not self._fill():
                    return False
            self._data = self._data[length:]
            return True
        while end not in self._data:
            if not self._fill():
                return False
        self._data = self._data.partition(end)[2]
        return True


def is_refusal(answer):
    status, fields = answer
    return (
        status == 503
        and fields["connection"] == "close"
        and 0 < float(fields["retry-after"]) <= UNLISTED_SECONDS
    )


class TestKeptConnection:
    """The answer before the request began before the stop."""

    @pytest.mark.parametrize("pause", [0.0, 0.02])
    def test_next_request_is_not_cut_off(self, pause):
        """Requests read seconds after the signal were sent and cut off."""
        with running(stream_route(), streaming) as rig:
            rig.learn()
            with Connection(rig) as connection:
                connection.send()
                gevent.sleep(0.1)
                rig.begin_stop()
                assert connection.read()[0] == 200
                gevent.sleep(pause)
                if connection.send():
                    answer = connection.read()
                    assert answer is None or is_refusal(answer)
                assert len(rig.requests) == 2
            rig.wait_stopped()

    def test_request_sent_while_the_answer_runs_is_refused(self):
        """It had waited too long to be closed unread, and was cut off."""
        with running(stream_route(), streaming) as rig:
            rig.learn()
            with Connection(rig) as connection:
                connection.send()
                gevent.sleep(0.1)
                rig.begin_stop()
                gevent.sleep(0.3)
                connection.send()
                assert connection.read()[0] == 200
                answered_at = time.monotonic()
                assert is_refusal(connection.read())
                assert time.monotonic() - answered_at < REFUSAL_SECONDS
                assert len(rig.requests) == 2
            rig.wait_stopped()

    def test_request_sent_while_the_answer_runs_is_answered_in_time(self):
        """A refusal would cost its caller a retry for nothing."""
        with running(slow_route(), answering(0.7)) as rig:
            rig.learn()
            with Connection(rig) as connection:
                connection.send()
                gevent.sleep(0.05)
                rig.begin_stop()
                rig.wait_unlisted()
                connection.send()
                assert connection.read()[0] == 200
                status, fields = connection.read()
                assert (status, fields["connection"]) == (200, "close")
            rig.wait_stopped()

    def test_idle_connection_carries_requests_until_unlisted(self):
        """Callers would have had to connect anew for nothing."""
        with running(slow_route(), answering()) as rig:
            with Connection(rig) as connection:
                connection.send()
                assert connection.read()[0] == 200
                rig.begin_stop()
                connection.send()
                status, fields = connection.read()
                assert (status, fields["connection"]) == (200, "close")
            rig.wait_stopped()


class TestNewConnection:
    """Callers come until the load balancer has removed the daemon."""

    def test_request_that_has_time_is_answered(self):
        with running(stream_route(), streaming) as rig:
            rig.learn()
            rig.begin_stop()
            with Connection(rig) as connection:
                connection.send()
                status, fields = connection.read()
            assert (status, fields["connection"]) == (200, "close")
            rig.wait_stopped()

    def test_first_request_of_its_kind_is_answered(self):
        """It was refused for nothing, as its duration was not known."""
        with running(stream_route(), streaming) as rig:
            rig.begin_stop()
            status, _, body = rig.send("X-Deadline-Ms: 2000")
            assert status == 200
            assert body.endswith(platform_rig.END)
            rig.wait_stopped()

    def test_request_that_cannot_end_is_refused_at_once(self):
        """It ran at a replica and was cut off by the end of the stop."""
        with running(slow_route(), answering(1.8)) as rig:
            rig.learn()
            rig.begin_stop()
            with Connection(rig) as connection:
                sent_at = time.monotonic()
                connection.send()
                assert is_refusal(connection.read())
                assert time.monotonic() - sent_at < REFUSAL_SECONDS
            assert len(rig.requests) == 1
            rig.wait_stopped()

    def test_retry_after_lasts_until_unlisted(self):
        """Callers came back to the same daemon, and were refused again."""
        with running(slow_route(), answering(1.8)) as rig:
            rig.learn()
            rig.begin_stop()
            with Connection(rig) as connection:
                connection.send()
                _, fields = connection.read()
            back_at = time.monotonic() + float(fields["retry-after"])
            # The field has milliseconds.
            assert back_at >= rig.began + UNLISTED_SECONDS - 0.001
            rig.wait_stopped()

    def test_request_with_an_early_deadline_is_sent(self):
        """It ends by its deadline, however long others take."""
        with running(slow_route(), answering(1.8)) as rig:
            rig.learn()
            rig.begin_stop()
            status, _, _ = rig.send("X-Deadline-Ms: 500")
            assert status == 504
            assert len(rig.requests) == 2
            rig.wait_stopped()

    def test_refusal_is_logged(self):
        """The log gave the number of requests that were cut off only."""
        lines = platform_rig.LogLines()
        with running(slow_route(), answering(1.8)) as rig:
            rig.learn()
            rig.begin_stop()
            with lines.applicationbound():
                assert rig.send(DEADLINE)[0] == 503
            rig.wait_stopped()
        (fields,) = [
            fields
            for text, fields in lines.of_request("a1")
            if text.startswith("failed with")
        ]
        assert fields["code"] == "daemon_stopping"
        assert "the answer may take 2." in fields["why"]


class TestBody:
    """The body of the request ends after the signal."""

    def test_in_time(self):
        with running(slow_route(), answering()) as rig:
            rig.learn()
            with Connection(rig) as connection:
                connection.send(body=b"", length=4)
                gevent.sleep(0.05)
                rig.begin_stop()
                rig.wait_unlisted()
                connection.sock.sendall(b"body")
                assert connection.read()[0] == 200
            rig.wait_stopped()

    def test_too_late(self):
        """The request was sent to a replica and cut off."""
        with running(stream_route(), streaming) as rig:
            rig.learn()
            with Connection(rig) as connection:
                connection.send(body=b"", length=4)
                gevent.sleep(0.05)
                rig.begin_stop()
                # An answer takes 1.2 s, so that it has to begin by now.
                gevent.sleep(1.0)
                with gevent.Timeout(REFUSAL_SECONDS):
                    assert is_refusal(connection.read())
            assert len(rig.requests) == 1
            rig.wait_stopped()

    def test_never(self):
        """The caller got 500 as the daemon ended."""
        with running(slow_route(), answering()) as rig:
            rig.learn()
            with Connection(rig) as connection:
                connection.send(body=b"", length=4)
                gevent.sleep(0.05)
                rig.begin_stop()
                assert is_refusal(connection.read())
            rig.wait_stopped()


class TestPartOfRequest:
    """A connection is closed as idle while a request arrives on it."""

    @staticmethod
    @contextlib.contextmanager
    def idle_connection():
        """Yield the listener, and a caller whose connection is idle."""
        with running(slow_route(), answering()) as rig:
            callers = rig.daemon._callers
            with Connection(rig) as connection:
                connection.send()
                assert connection.read()[0] == 200
                routing_fixtures.wait_until(lambda: callers.idle_handlers)
                yield callers, connection

    def test_rest_that_follows_is_read(self):
        """Callers got 400 for a request whose body followed its head."""
        with self.idle_connection() as (callers, connection):
            connection.send(body=b"", length=4)
            callers.close_idle()
            gevent.sleep(0.05)
            connection.sock.sendall(b"body")
            assert connection.read()[0] == 200

    def test_rest_that_is_not_read(self):
        """Callers got 400 for a request that the daemon stopped reading."""
        with self.idle_connection() as (callers, connection):
            callers.close_idle()
            connection.send(body=b"", length=4)
            status, fields = connection.read()
            assert status == 503
            assert float(fields["retry-after"]) > 0

    def test_part_of_a_head(self):
        """Callers got 400 for a head that the daemon stopped reading."""
        with self.idle_connection() as (callers, connection):
            connection.sock.sendall(b"POST /a/x HT")
            gevent.sleep(0.05)
            callers.close_idle()
            assert connection.read() is None


class TestSilentReplica:
    def test_caller_is_told(self):
        """The caller got 500, as if the request had failed by itself."""
        with running(slow_route(kind=AT_MOST_ONCE), silent) as rig:
            with Connection(rig) as connection:
                connection.send()
                routing_fixtures.wait_until(lambda: bool(rig.requests))
                rig.begin_stop()
                status, fields = connection.read()
            assert status == 502
            assert "retry-after" not in fields
            rig.wait_stopped()


class TestRetry:
    def test_failure_of_a_replica_is_passed_on(self):
        """A replica's answer was replaced by a failure of the daemon."""

        def script(sock):
            gevent.sleep(0.8)
            sock.sendall(platform_rig.answer(b"x", status="500 Failed"))

        with running(slow_route(), script, script) as rig:
            with Connection(rig) as connection:
                connection.send()
                gevent.sleep(0.05)
                rig.begin_stop()
                # Another attempt may take until the deadline, as far as the
                # daemon knows.
                status, _ = connection.read()
            assert status == 500
            assert len(rig.requests) == 1
            rig.wait_stopped()


class TestSecondSignal:
    def test_does_not_end_the_stop(self):
        """A second signal must neither end nor prolong the first stop."""
        with running(slow_route(), answering(1.0)) as rig:
            with Connection(rig) as connection:
                connection.send()
                routing_fixtures.wait_until(lambda: bool(rig.requests))
                rig.begin_stop()
                gevent.sleep(0.5)
                gevent.spawn(rig.daemon.stop).get(timeout=0.1)
                assert connection.read()[0] == 200
            rig.wait_stopped()
