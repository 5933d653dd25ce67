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
                lambda: rig.daemon.targets.reported_leaving()
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
            rig.daemon.replicas.update([again])
            assert rig.send()[0] == 200


def turning_away(retry_after):
    """Give the answer of a replica that turns a request away."""
    return platform_rig.answer(
        b"",
        "X-Not-Executed: 1",
        f"Retry-After: {retry_after}",
        status="503 Service Unavailable",
        signed=False,
    )


class TestBackoff:
    @pytest.mark.parametrize("kind", [IDEMPOTENT, AT_MOST_ONCE, STREAM])
    def test_nothing_until_it_is_over(self, kind):
        """Requests reach a replica that has asked for a backoff."""
        busy = Scripted(turning_away(60))
        other = Scripted(platform_rig.answer())
        route = fixtures.route(kind=kind)
        with running(route, scripts=[busy, other]) as rig:
            ask_until(rig, lambda: busy.count)
            busy.count = 0
            statuses = {rig.send()[0] for _ in range(ASKED)}
        assert (busy.count, statuses) == (0, {200})

    def test_requests_come_back_when_it_is_over(self):
        busy = Scripted(turning_away("0.2"))
        with running(fixtures.route(), scripts=[busy]) as rig:
            ask_until(rig, lambda: busy.count)
            busy.data = platform_rig.answer()
            routing_fixtures.wait_until(lambda: rig.send()[0] == 200)

    def test_refused_at_once_where_all_ask_for_one(self):
        """A caller waits, or comes back too soon, though nobody can serve."""
        busy = [Scripted(turning_away(60)) for _ in range(2)]
        with running(fixtures.route(), scripts=busy) as rig:
            ask_until(rig, lambda: all(one.count for one in busy))
            for one in busy:
                one.count = 0
            status, fields, body = rig.send("X-Deadline-Ms: 3000")
        assert (status, [one.count for one in busy]) == (503, [0, 0])
        assert b"backoff" in body
        assert 3.0 < float(fields["retry-after"]) <= 60.0

    def test_who_was_turned_away_last_hears_when_to_come_back(self):
        busy = Scripted(turning_away(60))
        with running(fixtures.route(), scripts=[busy]) as rig:
            status, fields, body = rig.send()
        assert (status, busy.count) == (503, 1)
        assert 3.0 < float(fields["retry-after"]) <= 60.0

    def test_come_back_soon_where_another_serves(self):
        busy = Scripted(turning_away(60))
        other = Scripted(platform_rig.answer())
        route = fixtures.route(max_replicas=1)
        with running(route, scripts=[busy, other]) as rig:
            answers = [rig.send()[:2] for _ in range(2)]
        (refused,) = [one for one in answers if one[0] == 503]
        assert float(refused[1]["retry-after"]) < 1.0

    @pytest.mark.parametrize("value", ["soon", "-3", "nan", "", "1e3"])
    def test_what_is_no_number_of_seconds_asks_for_nothing(self, value):
        busy = Scripted(turning_away(value))
        with running(fixtures.route(), scripts=[busy]) as rig:
            ask_until(rig, lambda: busy.count)
            assert rig.daemon.targets.in_backoff() == []
            busy.data = platform_rig.answer()
            routing_fixtures.wait_until(lambda: rig.send()[0] == 200)
