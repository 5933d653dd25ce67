"""Timeouts of calls to the platform, with large answers on slow links."""

import time

import gevent
from gevent import server as gevent_server
import pytest

from topazlug import _clock
from topazlug import _errors
from topazlug.store import _platform_http

BODY = b"x" * 1000
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n"


class SlowPlatform:
    """Sends an answer in pieces, each after a pause; then nothing."""

    def __init__(self, pieces):
        self.pieces = pieces
        self.server = gevent_server.StreamServer(
            ("127.0.0.1", 0), self._answer
        )
        self.server.start()
        self.client = _platform_http.PlatformHttp(
            host="127.0.0.1",
            port=self.server.server_port,
            timeout=5.0,
            clock=_clock.SystemClock(),
        )

    def _answer(self, sock, address):
        sock.recv(65536)
        for pause, data in self.pieces:
            gevent.sleep(pause)
            sock.sendall(data)
        gevent.sleep(10.0)

    def call(self, **timeouts):
        return self.client.call("GET", "/", **timeouts)


@pytest.fixture
def start():
    started = []

    def make(*pieces):
        started.append(SlowPlatform(pieces))
        return started[-1]

    yield make
    for platform in started:
        platform.client.close()
        platform.server.stop(timeout=0)


def in_pieces(count, pause):
    """Return an answer in equal pieces."""
    size = len(BODY) // count
    parts = [BODY[n * size : (n + 1) * size] for n in range(count)]
    return [(0.0, HEAD), *((pause, part) for part in parts)]


class TestCall:
    def test_large_answer_is_read_while_it_arrives(self, start):
        """A change of the table could never be read on a slow link.

        Its answer took longer than the time-out. Each call was ended in the
        middle of it and made again.
        """
        platform = start(*in_pieces(10, 0.1))
        answer = platform.call(timeout=0.3, idle_timeout=0.3)
        assert answer.body == BODY

    def test_head_that_is_sent_before_the_wait(self, start):
        """A call must not end earlier than without an idle time-out."""
        platform = start((0.0, HEAD), (0.5, BODY))
        answer = platform.call(timeout=1.0, idle_timeout=0.1)
        assert answer.body == BODY

    def test_platform_without_answer(self, start):
        """A silent platform must be detected as early as before."""
        platform = start((5.0, HEAD))
        began = time.monotonic()
        with pytest.raises(_errors.StoreAmbiguous, match="no answer in time"):
            platform.call(timeout=0.3, idle_timeout=1.0)
        assert time.monotonic() - began < 0.8

    def test_platform_that_stops_in_the_middle(self, start):
        """The rest of an answer may never come, as after a cut."""
        platform = start(*in_pieces(10, 0.05)[:6])
        began = time.monotonic()
        with pytest.raises(_errors.StoreAmbiguous):
            platform.call(timeout=0.3, idle_timeout=0.3)
        assert 0.4 < time.monotonic() - began < 1.2

    def test_answer_that_never_ends(self, start, monkeypatch):
        """A feed must not wait for one answer forever."""
        monkeypatch.setattr(_platform_http, "_MAX_TRANSFER_SECONDS", 0.4)
        platform = start(*in_pieces(20, 0.1))
        with pytest.raises(_errors.StoreAmbiguous, match="no answer in time"):
            platform.call(timeout=0.2, idle_timeout=0.3)

    def test_without_idle_timeout_the_whole_answer_is_limited(self, start):
        platform = start(*in_pieces(10, 0.1))
        with pytest.raises(_errors.StoreAmbiguous, match="no answer in time"):
            platform.call(timeout=0.3)
