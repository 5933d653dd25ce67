"""A daemon before replicas that say that they want nothing new."""

import contextlib

import gevent
import msgspec
import pytest

from tests.topazlug import routing_fixtures
from tests.topazlug.forwarding import forwarding_fixtures as fixtures
from tests.topazlug_platform import platform_rig
from topazlug.forwarding import _table

ASKED = 12
LEAVING = "Server-Leaving: 1"
IDEMPOTENT = _table.RequestKind.IDEMPOTENT
AT_MOST_ONCE = _table.RequestKind.AT_MOST_ONCE
STREAM = _table.RequestKind.STREAM


@contextlib.contextmanager
def running(*routes, scripts=()):
    rig = platform_rig.Rig(*routes, scripts=scripts)
    try:
        yield rig
    finally:
        rig.stop()


class Scripted:
    """A replica that counts what it gets; its answer may be changed."""

    def __init__(self, data):
        self.data = data
        self.count = 0

    def __call__(self, sock):
        self.count += 1
        sock.sendall(self.data)


def ask_until(rig, condition):
    """Send requests until something holds."""

    def holds():
        rig.send()
        return condition()

    routing_fixtures.wait_until(holds)


class TestLeaving:
    @pytest.mark.parametrize("kind", [IDEMPOTENT, AT_MOST_ONCE, STREAM])
    @pytest.mark.parametrize(
        "data",
        [
            platform_rig.answer(b"whole", LEAVING),
            platform_rig.answer(
                b"", LEAVING, status="500 Internal Server Error"
            ),
            platform_rig.answer(
                b"",
                LEAVING,
                "X-Not-Executed: 1",
                status="503 Service Unavailable",
                signed=False,
            ),
            platform_rig.answer(b"", LEAVING, signed=False),
        ],
        ids=["200", "500", "refused", "not genuine"],
    )
    def test_nothing_more_after_an_answer_of_any_kind(self, data, kind):
        """Requests reach a leaving replica while its entry is old."""
        leaving = Scripted(data)
        other = Scripted(platform_rig.answer())
        route = fixtures.route(kind=kind)
        with running(route, scripts=[leaving, other]) as rig:
            ask_until(rig, lambda: leaving.count)
            leaving.count = 0
            statuses = {rig.send()[0] for _ in range(ASKED)}
        assert (leaving.count, statuses) == (0, {200})

    def test_nothing_more_after_the_head_of_a_stream(self):
        """A stream's answer tells it long before the stream ends."""
        head = platform_rig.stream_head().replace(
            b"Transfer-", LEAVING.encode() + b"\r\nTransfer-"
        )
        goes_on = gevent.event.Event()

        def streaming(sock):
            sock.sendall(head + platform_rig.chunk(platform_rig.event(1)))
            goes_on.wait(10)
            sock.sendall(platform_rig.END)

        route = fixtures.route(kind=STREAM)
        with running(route, scripts=[streaming]) as rig:
            first = gevent.spawn(rig.send)
            routing_fixtures.wait_until(
                lambda: rig.daemon.targets.said_leaving()
            )
            status, fields, _ = rig.send()
            goes_on.set()
            assert first.get(10)[0] == 200
        assert status == 503
        assert fields["retry-after"]

    def test_one_at_a_reused_address_is_not_meant(self):
        """A replica gets nothing as another one at its address leaves."""
        elsewhere = platform_rig.answer(
            b"", LEAVING, status="421 Misdirected Request", signed=False
        )
        replica = Scripted(elsewhere)
        with running(fixtures.route(), scripts=[replica]) as rig:
            ask_until(rig, lambda: replica.count)
            replica.data = platform_rig.answer()
            routing_fixtures.wait_until(lambda: rig.send()[0] == 200)

    def test_a_new_start_gets_requests(self):
        leaving = Scripted(platform_rig.answer(b"", LEAVING))
        with running(fixtures.route(), scripts=[leaving]) as rig:
            ask_until(rig, lambda: leaving.count)
            assert rig.send()[0] == 503
            leaving.data = platform_rig.answer()
            (target,) = rig.daemon.targets.target_by_replica.values()
            again = msgspec.structs.replace(target, incarnation=2)
            rig.daemon.replicas.take([again])
            assert rig.send()[0] == 200
