"""Targets that send bytes without end to a daemon's own requests."""

import gevent
import pytest

from tests.topazlug import routing_fixtures as fixtures
from tests.topazlug import wire_fixtures
from topazlug import _clock
from topazlug import _errors
from topazlug import _ids
from topazlug.routing import _context_lister
from topazlug.targets import _process_check
from topazlug.targets import _target_client
from topazlug.targets import _target_poller
from topazlug.targets import _target_wire

CLOCK = _clock.SystemClock()
OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
BODY = b"2\r\n{}\r\n"
# What is sent first, and what is repeated without end.
PLACES = {
    "status line": (b"HTTP/1.1 200 O", b"K"),
    "head": (OK, b"X-Own: 1\r\n"),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "size of a chunk": (CHUNKED, b"0"),
    "body": (CHUNKED, BODY),
    "trailers": (CHUNKED + BODY + b"0\r\n", b"X-Own: 1\r\n"),
}
MAX_SECONDS = 4.0


class Endless:
    """A target that sends bytes without end, fast or slowly."""

    def __init__(self, place, pause):
        self._begin, repeated = place
        self._pause = pause
        size = 1 if pause else 16384 // len(repeated)
        self._repeated = repeated * size
        self.is_closed = False
        self.server = wire_fixtures.scripted_server(self._script)
        self.target = fixtures.target("t", port=self.server.server_port)

    def _script(self, sock):
        wire_fixtures.read_request(sock)
        try:
            sock.sendall(self._begin)
            while True:
                sock.sendall(self._repeated)
                gevent.sleep(self._pause)
        except OSError:
            self.is_closed = True


@pytest.fixture(params=[0.0, 0.05], ids=["flood", "drip"])
def pause(request):
    return request.param


@pytest.fixture(params=list(PLACES))
def endless(request, pause):
    made = Endless(PLACES[request.param], pause)
    yield made
    made.server.stop(timeout=0)


@pytest.fixture
def connections():
    made = _target_client.TargetConnections(connect_timeout=1.0, clock=CLOCK)
    yield made
    made.close()


class Reports:
    """Form of a report that states the start of a process."""

    path = "/report"

    def states_start(self, target):
        return True

    def incarnation(self, body):
        return 0


class Contexts:
    """Form of a list of contexts."""

    path = "/contexts"

    def fields(self, target):
        return []

    def decode(self, body):
        return []


def given_up(endless, ask):
    """Return whether a question fails in time and ends its connection."""
    with gevent.Timeout(MAX_SECONDS):
        with pytest.raises((_errors.TopazlugError, ValueError)):
            ask(endless.target)
        fixtures.wait_until(lambda: endless.is_closed)
    return True


class TestQuestions:
    """The daemon read on, and its memory grew."""

    def test_report(self, connections, endless):
        check = _process_check.ProcessCheck(
            connections=connections,
            listed=dict,
            codec=Reports(),
            is_mixed=lambda group: True,
            clock=CLOCK,
        )
        assert given_up(endless, check.confirm)

    def test_contexts(self, connections, endless):
        lister = _context_lister.ConnectionContextLister(
            connections=connections, codec=Contexts(), clock=CLOCK
        )
        assert given_up(endless, lister.list_contexts)

    def test_load(self, connections, endless):
        poller = _target_poller.TargetPoller(
            owned=list,
            targets=None,
            connections=connections,
            publisher=None,
            report=lambda replica, running: None,
            interval=1.0,
            clock=CLOCK,
        )
        assert given_up(endless, poller._fetch_load)


class RepeatingWire(_target_wire.TargetWire):
    """Headers of targets that may answer a request a second time."""

    id_header = _target_wire.REQUEST_ID
    repeats_answers = True

    def rejection(self, answer):
        return None

    def report(self, answer):
        return _target_wire.DefaultTargetWire().report(answer)

    def idle_seconds(self, answer):
        return None


class TestRepeatedAnswers:
    def test_are_given_up(self):
        """The next request on the connection waited for its deadline."""
        first = wire_fixtures.http_answer(b"x" * 60000, "X-Request-Id: r0")
        closed = []

        def script(sock):
            wire_fixtures.read_request(sock)
            sock.sendall(first)
            wire_fixtures.read_request(sock)
            try:
                while True:
                    sock.sendall(first)
            except OSError:
                closed.append(True)

        server = wire_fixtures.scripted_server(script)
        target = fixtures.target("t", port=server.server_port)
        connections = _target_client.TargetConnections(
            connect_timeout=1.0, clock=CLOCK, wire=RepeatingWire()
        )

        def exchange(number):
            return connections.exchange(
                target,
                _target_client.TargetRequest(
                    method="GET",
                    path="/",
                    headers=[],
                    body=b"",
                    request_id=_ids.RequestId(f"r{number}"),
                ),
                head_timeout=MAX_SECONDS,
            )

        try:
            b"".join(exchange(0).chunks(receive_timeout=MAX_SECONDS))
            with gevent.Timeout(MAX_SECONDS / 2):
                with pytest.raises(_errors.TargetFailed):
                    exchange(1)
                fixtures.wait_until(lambda: closed)
        finally:
            connections.close()
            server.stop(timeout=0)
