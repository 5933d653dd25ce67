"""Requests between daemons of which one is told to stop."""

import contextlib

import gevent
import gevent.pool
import pytest

from tests.topazlug.forwarding import forwarding_fixtures as fixtures
from tests.topazlug_platform import cut_fleet
from topazlug.forwarding import _graceful_stop
from topazlug.forwarding import _table

KIND = _table.RequestKind
CALLERS = 24


@pytest.fixture(autouse=True)
def _short_stop(monkeypatch):
    monkeypatch.setattr(_graceful_stop, "_READINESS_PROPAGATION_SECONDS", 0.3)


@contextlib.contextmanager
def cut_off_fleet(**changes):
    """Yield a fleet whose first daemon reaches no replica."""
    fleet = cut_fleet.CutFleet(fixtures.route(**changes))
    try:
        fleet.warm_up()
        fleet.cut_off(cut_fleet.CUT.RESET, 0)
        fleet.notice_cut(0)
        yield fleet
    finally:
        fleet.stop()


class TestDelegate:
    @pytest.mark.parametrize("kind", [KIND.AT_MOST_ONCE, KIND.IDEMPOTENT])
    def test_no_request_is_lost_as_it_ends(self, kind):
        """Requests that had not run failed as if they might have."""
        statuses = []
        with cut_off_fleet(kind=kind) as fleet:
            callers = gevent.pool.Pool(CALLERS)
            stopping = gevent.spawn(fleet.daemons[1].stop)

            def call():
                while not stopping.ready():
                    statuses.append(fleet.try_(0)[0])

            for _ in range(CALLERS):
                callers.spawn(call)
            callers.join(timeout=20)
        assert set(statuses) == {200}

    def test_it_is_not_asked_any_more(self):
        """Each request went to the daemon that stops first."""
        with cut_off_fleet(kind=KIND.AT_MOST_ONCE) as fleet:
            stopping = gevent.spawn(fleet.daemons[1].stop)
            gevent.sleep(0.2)
            assert cut_fleet.refuses_connections(fleet.delegation_port(1))
            assert fleet.statuses(0, 10) == [200] * 10
            stopping.get(timeout=10)


class TestSender:
    def test_its_requests_at_others_are_answered(self):
        """A daemon that is cut off is told to stop as others serve for it."""
        with cut_off_fleet(kind=KIND.AT_MOST_ONCE) as fleet:
            calls = [gevent.spawn(fleet.try_, 0) for _ in range(CALLERS)]
            gevent.sleep(0.005)
            stopping = gevent.spawn(fleet.daemons[0].stop)
            gevent.joinall(calls, timeout=10)
            assert {call.value[0] for call in calls} == {200}
            stopping.get(timeout=10)
