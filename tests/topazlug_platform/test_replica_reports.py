"""Replicas that report in an answer that they are leaving or in backoff."""

import contextlib

import gevent
import msgspec
import pytest

from tests.topazlug import routing_fixtures
from tests.topazlug.forwarding import forwarding_fixtures as fixtures
from tests.topazlug_platform import platform_rig
from topazlug.forwarding import _table

REQUEST_COUNT = 12
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


class ScriptedReplica:
    """A replica that counts its requests; its answer may be changed."""

    def __init__(self, data):
        self.data = data
        self.count = 0

    def __call__(self, sock):
        self.count += 1
        sock.sendall(self.data)


def send_until(rig, condition):
    """Send requests until `condition` returns true."""

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
    def test_no_request_after_an_answer_of_any_kind(self, data, kind):
        """Requests were sent to a leaving replica while its entry was old."""
        leaving = ScriptedReplica(data)
        other = ScriptedReplica(platform_rig.answer())
        route = fixtures.route(kind=kind)
        with running(route, scripts=[leaving, other]) as rig:
            send_until(rig, lambda: leaving.count)
            leaving.count = 0
            statuses = {rig.send()[0] for _ in range(REQUEST_COUNT)}
        assert (leaving.count, statuses) == (0, {200})

    def test_no_request_after_the_head_of_a_stream(self):
        """The head of a stream reports it long before the stream ends."""
        head = platform_rig.stream_head().replace(
            b"Transfer-", LEAVING.encode() + b"\r\nTransfer-"
        )
        go_on = gevent.event.Event()

        def streaming(sock):
            sock.sendall(head + platform_rig.chunk(platform_rig.event(1)))
            go_on.wait(10)
            sock.sendall(platform_rig.END)

        route = fixtures.route(kind=STREAM)
        with running(route, scripts=[streaming]) as rig:
            first = gevent.spawn(rig.send)
            routing_fixtures.wait_until(
                lambda: rig.daemon.targets.reported_leaving()
            )
            status, fields, _ = rig.send()
            go_on.set()
            assert first.get(10)[0] == 200
        assert status == 503
        assert fields["retry-after"]

    def test_report_of_another_replica_at_the_address_is_ignored(self):
        """A replica got no requests because its address was reused."""
        elsewhere = platform_rig.answer(
            b"", LEAVING, status="421 Misdirected Request", signed=False
        )
        replica = ScriptedReplica(elsewhere)
        with running(fixtures.route(), scripts=[replica]) as rig:
            send_until(rig, lambda: replica.count)
            replica.data = platform_rig.answer()
            routing_fixtures.wait_until(lambda: rig.send()[0] == 200)

    def test_new_incarnation_gets_requests(self):
        leaving = ScriptedReplica(platform_rig.answer(b"", LEAVING))
        with running(fixtures.route(), scripts=[leaving]) as rig:
            send_until(rig, lambda: leaving.count)
            assert rig.send()[0] == 503
            leaving.data = platform_rig.answer()
            (target,) = rig.daemon.targets.target_by_replica.values()
            again = msgspec.structs.replace(target, incarnation=2)
            rig.daemon.replicas.update([again])
            assert rig.send()[0] == 200


def rejection(retry_after):
    """Return the answer of a replica that rejects a request."""
    return platform_rig.answer(
        b"",
        "X-Not-Executed: 1",
        f"Retry-After: {retry_after}",
        status="503 Service Unavailable",
        signed=False,
    )


class TestBackoff:
    @pytest.mark.parametrize("kind", [IDEMPOTENT, AT_MOST_ONCE, STREAM])
    def test_no_request_until_it_ends(self, kind):
        """Requests were sent to a replica that had asked for a backoff."""
        busy = ScriptedReplica(rejection(60))
        other = ScriptedReplica(platform_rig.answer())
        route = fixtures.route(kind=kind)
        with running(route, scripts=[busy, other]) as rig:
            send_until(rig, lambda: busy.count)
            busy.count = 0
            statuses = {rig.send()[0] for _ in range(REQUEST_COUNT)}
        assert (busy.count, statuses) == (0, {200})

    def test_requests_resume_when_it_ends(self):
        busy = ScriptedReplica(rejection("0.2"))
        with running(fixtures.route(), scripts=[busy]) as rig:
            send_until(rig, lambda: busy.count)
            busy.data = platform_rig.answer()
            routing_fixtures.wait_until(lambda: rig.send()[0] == 200)

    def test_rejected_at_once_if_all_are_in_backoff(self):
        """Callers waited, or retried too soon, though all were in backoff."""
        busy = [ScriptedReplica(rejection(60)) for _ in range(2)]
        with running(fixtures.route(), scripts=busy) as rig:
            send_until(rig, lambda: all(one.count for one in busy))
            for one in busy:
                one.count = 0
            status, fields, body = rig.send("X-Deadline-Ms: 3000")
        assert (status, [one.count for one in busy]) == (503, [0, 0])
        assert b"backoff" in body
        assert 3.0 < float(fields["retry-after"]) <= 60.0

    def test_last_rejected_caller_gets_retry_after(self):
        busy = ScriptedReplica(rejection(60))
        with running(fixtures.route(), scripts=[busy]) as rig:
            status, fields, body = rig.send()
        assert (status, busy.count) == (503, 1)
        assert 3.0 < float(fields["retry-after"]) <= 60.0

    def test_short_retry_after_if_another_replica_serves(self):
        busy = ScriptedReplica(rejection(60))
        other = ScriptedReplica(platform_rig.answer())
        route = fixtures.route(max_replicas=1)
        with running(route, scripts=[busy, other]) as rig:
            answers = [rig.send()[:2] for _ in range(2)]
        (refused,) = [one for one in answers if one[0] == 503]
        assert float(refused[1]["retry-after"]) < 1.0

    @pytest.mark.parametrize("value", ["soon", "-3", "nan", "", "1e3"])
    def test_value_that_is_no_number_of_seconds_is_ignored(self, value):
        busy = ScriptedReplica(rejection(value))
        with running(fixtures.route(), scripts=[busy]) as rig:
            send_until(rig, lambda: busy.count)
            assert rig.daemon.targets.in_backoff() == []
            busy.data = platform_rig.answer()
            routing_fixtures.wait_until(lambda: rig.send()[0] == 200)
