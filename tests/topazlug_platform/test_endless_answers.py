"""Replicas that send bytes without end where an answer is expected."""

import contextlib
import itertools
import os
import time

import gevent
import pytest

from tests.topazlug import routing_fixtures
from tests.topazlug.forwarding import forwarding_fixtures as fixtures
from tests.topazlug_platform import cut_fleet
from tests.topazlug_platform import platform_rig
from topazlug.delegation import _delegation_server
from topazlug.forwarding import _table

DEADLINE_SECONDS = 8.0
# A request is given up at a replica early enough to be retried.
MAX_SECONDS = 6.0
MAX_GROWTH_BYTES = 16 << 20
FLOOD_BYTES = 65536
DRIP_SECONDS = 0.05
HEAD = (
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\n" + platform_rig.SIGNED + "\r\n"
).encode()
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
BODY = platform_rig.chunk(b"whole")
REJECTED = (
    b"HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: a1\r\n"
    b"X-Not-Executed: 1\r\n"
)
FAILED = (
    "HTTP/1.1 500 Internal Server Error\r\nX-Attempt-Id: a1\r\n"
    + platform_rig.SIGNED
    + "\r\n"
).encode()
UNSIGNED = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\n"
ENDLESS_BODY = b"Transfer-Encoding: chunked\r\n\r\n"
# What is sent first, and what is repeated without end.
PLACES = {
    "status line": (b"HTTP/1.1 200 O", b"K"),
    "value of a field": (HEAD + b"X-Own: ", b"1"),
    "fields of the head": (HEAD, b"X-Own: 1\r\n"),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "size of a chunk": (CHUNKED, b"0"),
    "size of a later chunk": (CHUNKED + BODY, b"0"),
    "extension of a chunk": (CHUNKED + b"5;x=", b"1"),
    "name of a trailer": (CHUNKED + BODY + b"0\r\n", b"x"),
    "value of a trailer": (CHUNKED + BODY + b"0\r\nX-Own: ", b"1"),
    "trailers": (CHUNKED + BODY + b"0\r\n", b"X-Own: 1\r\n"),
    "head of a rejection": (REJECTED, b"X-Own: 1\r\n"),
    "body of a rejection": (
        REJECTED + ENDLESS_BODY,
        platform_rig.chunk(b"later"),
    ),
    "body of a failure": (
        FAILED + ENDLESS_BODY,
        platform_rig.chunk(b"failed"),
    ),
    "body of an answer that is not genuine": (
        UNSIGNED + ENDLESS_BODY,
        platform_rig.chunk(b"foreign"),
    ),
}
STREAM_HEAD = platform_rig.stream_head()
FIRST_EVENT = platform_rig.chunk(platform_rig.event(1))
STREAM_PLACES = {
    "size of a chunk": (STREAM_HEAD + FIRST_EVENT, b"0"),
    "trailers": (STREAM_HEAD + FIRST_EVENT + b"0\r\n", b"X-Own: 1\r\n"),
    "an event": (
        STREAM_HEAD + FIRST_EVENT,
        platform_rig.chunk(b"data: more "),
    ),
    "events that the caller has": (STREAM_HEAD + FIRST_EVENT, FIRST_EVENT),
}


def flood(sock, repeated):
    block = repeated * (FLOOD_BYTES // len(repeated))
    while True:
        sock.sendall(block)


def drip(sock, repeated):
    while True:
        sock.sendall(repeated)
        gevent.sleep(DRIP_SECONDS)


PACES = {"flood": flood, "drip": drip}


class Endless:
    """Replicas of which the first one asked sends bytes without end."""

    def __init__(self, place, pace, answer):
        self._begin, self._repeated = place
        self._pace = pace
        self._answer = answer
        self._asked = itertools.count()
        self.sent = 0
        self.is_closed = False

    def script(self, sock):
        if next(self._asked):
            sock.sendall(self._answer)
            return True
        try:
            sock.sendall(self._begin)
            self._pace(sock, self._repeated)
        except OSError:
            self.is_closed = True
        return False


def resident_bytes():
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


class Growth:
    """The growth of this process's memory while it runs."""

    def __init__(self):
        self._before = resident_bytes()
        self.most = 0
        self._greenlet = gevent.spawn(self._measure)

    def _measure(self):
        while True:
            self.most = max(self.most, resident_bytes() - self._before)
            gevent.sleep(0.02)

    def __enter__(self):
        return self

    def __exit__(self, *exception):
        self._greenlet.kill()


@contextlib.contextmanager
def running(replicas, **changes):
    route = fixtures.route(timeout=DEADLINE_SECONDS, **changes)
    rig = platform_rig.Rig(route, scripts=[replicas.script] * 2)
    try:
        yield rig
    finally:
        rig.stop()


@pytest.mark.parametrize("pace", list(PACES))
class TestBytesWithoutEnd:
    """The request failed at its deadline, and the daemon's memory grew."""

    @pytest.mark.parametrize("place", list(PLACES))
    def test_request_is_retried_elsewhere(self, place, pace):
        replicas = Endless(PLACES[place], PACES[pace], platform_rig.answer())
        with running(replicas) as rig, Growth() as growth:
            began = time.monotonic()
            status, _, body = rig.send()
            assert (status, body) == (200, b"whole")
            assert time.monotonic() - began < MAX_SECONDS
            routing_fixtures.wait_until(lambda: replicas.is_closed)
            assert growth.most < MAX_GROWTH_BYTES

    @pytest.mark.parametrize("place", list(PLACES))
    def test_short_deadline_leaves_time_for_a_retry(self, place, pace):
        """Bytes that drip were given up as the deadline passed."""
        replicas = Endless(PLACES[place], PACES[pace], platform_rig.answer())
        with running(replicas) as rig:
            status, _, body = rig.send("X-Deadline-Ms: 1000")
            assert (status, body) == (200, b"whole")
            routing_fixtures.wait_until(lambda: replicas.is_closed)

    @pytest.mark.parametrize("place", list(STREAM_PLACES))
    def test_stream_is_resumed_elsewhere(self, place, pace):
        rest = platform_rig.chunk(platform_rig.event(2))
        replicas = Endless(
            STREAM_PLACES[place],
            PACES[pace],
            STREAM_HEAD + rest + platform_rig.END,
        )
        with (
            running(
                replicas, kind=_table.RequestKind.STREAM, resumable=True
            ) as rig,
            Growth() as growth,
        ):
            began = time.monotonic()
            status, _, body = rig.send()
            assert status == 200
            assert platform_rig.event(2) in body
            assert body.endswith(platform_rig.END)
            assert time.monotonic() - began < MAX_SECONDS
            routing_fixtures.wait_until(lambda: replicas.is_closed)
            assert growth.most < MAX_GROWTH_BYTES

    def test_after_a_whole_answer(self, pace):
        """The bytes belong to no request, and are not read."""
        place = (platform_rig.answer(), b"HTTP/1.1 200 OK\r\n")
        replicas = Endless(place, PACES[pace], platform_rig.answer())
        with running(replicas) as rig, Growth() as growth:
            for _ in range(3):
                assert rig.send()[0] == 200
            routing_fixtures.wait_until(lambda: replicas.is_closed)
            assert growth.most < MAX_GROWTH_BYTES


@pytest.mark.parametrize("pace", list(PACES))
class TestOtherDaemon:
    """A daemon that serves requests of one that is cut off."""

    @pytest.mark.parametrize(
        "place",
        ["status line", "fields of the head", "size of a chunk", "trailers"],
    )
    def test_request_is_served_by_the_next_one(self, place, pace, monkeypatch):
        """Callers got 504, and the memory of their daemon grew."""
        fleet = cut_fleet.CutFleet(fixtures.route(timeout=DEADLINE_SECONDS))
        replicas = Endless(PLACES[place], PACES[pace], b"")
        serve = _delegation_server.DelegationHandler.handle_one_response
        asked = itertools.count()

        def respond(handler):
            if next(asked):
                serve(handler)
            else:
                handler.close_connection = True
                replicas.script(handler.socket)

        try:
            fleet.warm_up()
            fleet.cut_off(cut_fleet.CUT.RESET, 0)
            fleet.notice_cut(0)
            monkeypatch.setattr(
                _delegation_server.DelegationHandler,
                "handle_one_response",
                respond,
            )
            with Growth() as growth:
                began = time.monotonic()
                assert fleet.try_(0)[0] == 200
                assert time.monotonic() - began < MAX_SECONDS
                routing_fixtures.wait_until(lambda: replicas.is_closed)
                assert growth.most < MAX_GROWTH_BYTES
        finally:
            fleet.stop()
