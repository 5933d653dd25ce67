"""When callers send, and what counts as an answer."""

import pytest

from soak import _clients
from soak import _expected
from tests.topazlug import wire_fixtures

HEAD = b"HTTP/1.1 200 OK\r\n"
WHOLE = HEAD + b"Content-Length: 9\r\n\r\nall of it"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"


class TestAnswer:
    @pytest.mark.parametrize(
        "data, expected",
        [
            (WHOLE, _clients.Completion.ANSWERED),
            # A daemon that was killed between head and body.
            (WHOLE[: -len(b"all of it")], _clients.Completion.TRUNCATED),
            (WHOLE[:-2], _clients.Completion.TRUNCATED),
            (CHUNKED + b"0\r\n\r\n", _clients.Completion.ANSWERED),
            (CHUNKED, _clients.Completion.TRUNCATED),
            (b"", _clients.Completion.NO_RESPONSE),
        ],
    )
    def test_answer_without_its_end_is_truncated(self, data, expected):
        """Half of a body with a length counted as another whole one."""

        def script(sock):
            wire_fixtures.read_request(sock)
            sock.sendall(data)

        server = wire_fixtures.scripted_server(script)
        caller = _clients.Caller(
            addresses=[("127.0.0.1", server.server_port)], key="k", seed=1
        )
        outcome = caller.send(0, _expected.READ)
        server.stop(timeout=0)
        assert outcome.completion is expected


class TestWaves:
    @pytest.mark.parametrize(
        "now, expected", [(10.0, 0.0), (10.7, 0.0), (10.9, 1.1), (11.9, 0.1)]
    )
    def test_callers_begin_at_the_same_time(self, now, expected):
        """Clumps are what a mean of a second before does not show."""
        assert _clients.until_next_wave(now) == pytest.approx(expected)
