"""Daemons that reach no replica, while others of their fleet do."""

import contextlib
import time

import gevent
import logbook
import pytest

from tests.topazlug.forwarding import forwarding_fixtures as fixtures
from tests.topazlug_platform import cut_fleet
from topazlug.forwarding import _stop_admission
from topazlug.forwarding import _table

CUT = cut_fleet.CUT
KIND = _table.RequestKind
KINDS = {
    "idempotent": {"kind": KIND.IDEMPOTENT},
    "at-most-once": {"kind": KIND.AT_MOST_ONCE},
    "stream": {"kind": KIND.STREAM, "has_context": True},
    "resumable": {
        "kind": KIND.STREAM,
        "has_context": True,
        "resumable": True,
    },
}
TRIES = 40
# Of a daemon that has just been told to stop.
SCHEDULE = _stop_admission.StopSchedule(
    unlisted_at=time.monotonic() + 60.0, ends_at=time.monotonic() + 60.0
)
# Of the tries at a daemon that is cut off, at least this fraction is served.
MIN_SERVED = 0.95


@contextlib.contextmanager
def running_fleet(*, daemons=3, **changes):
    fleet = cut_fleet.CutFleet(fixtures.route(**changes), daemons=daemons)
    try:
        fleet.warm_up()
        yield fleet
    finally:
        fleet.stop()


class TestOneDaemon:
    """Callers of a daemon that reached no replica were refused."""

    @pytest.mark.parametrize("how", list(CUT))
    @pytest.mark.parametrize("kind", list(KINDS))
    def test_callers_are_served(self, kind, how):
        with running_fleet(**KINDS[kind]) as fleet:
            fleet.cut_off(how, 0)
            fleet.notice_cut(0)
            served = fleet.statuses(0, TRIES).count(200)
            assert served >= MIN_SERVED * TRIES
            assert fleet.statuses(1, TRIES) == [200] * TRIES


class TestMostDaemons:
    @pytest.mark.parametrize("how", list(CUT))
    def test_callers_are_served_by_the_one_that_is_left(self, how):
        """Two of three daemons refused all callers, and the third none."""
        with running_fleet() as fleet:
            fleet.cut_off(how, 0, 1)
            fleet.notice_cut(0, 1)
            for number in (0, 1):
                served = fleet.statuses(number, TRIES).count(200)
                assert served >= MIN_SERVED * TRIES


class TestAllDaemons:
    def test_callers_are_refused_at_once(self):
        """Each request tried replica after replica before it was refused."""
        with running_fleet() as fleet:
            fleet.cut_off(CUT.HANG, 0, 1, 2)
            fleet.notice_cut(0, 1, 2)
            before = [fleet.delegated(number) for number in range(3)]
            for _ in range(TRIES):
                status, fields, _ = fleet.try_(0)
                assert status == 503
                assert float(fields["retry-after"]) > 0
            assert [fleet.delegated(number) for number in range(3)] == before

    def test_callers_are_served_once_a_daemon_is_connected_again(self):
        with running_fleet() as fleet:
            fleet.cut_off(CUT.RESET, 0, 1, 2)
            fleet.notice_cut(0, 1, 2)
            fleet.heal(2)
            cut_fleet.wait_until(lambda: fleet.try_(0)[0] == 200)


class TestHealing:
    @pytest.mark.parametrize("how", list(CUT))
    def test_no_request_takes_the_longer_way_afterwards(self, how):
        with running_fleet(kind=KIND.AT_MOST_ONCE) as fleet:
            fleet.cut_off(how, 0)
            fleet.notice_cut(0)
            fleet.heal(0)
            cut_fleet.wait_until(lambda: not fleet.is_cut_off(0))
            before = fleet.delegated(0)
            assert fleet.statuses(0, TRIES) == [200] * TRIES
            assert fleet.delegated(0) == before

    def test_cuts_that_come_and_go(self):
        """Each end of a cut left replicas excluded, and so did its begin."""
        with running_fleet() as fleet:
            for how in (CUT.RESET, CUT.HANG, CUT.REFUSE, CUT.RESET):
                fleet.cut_off(how, 0)
                fleet.notice_cut(0)
                assert 200 in fleet.statuses(0, 4)
                fleet.heal(0)
                cut_fleet.wait_until(lambda: not fleet.is_cut_off(0))
                served = fleet.statuses(0, TRIES).count(200)
                assert served >= MIN_SERVED * TRIES

    def test_healthy_replicas_are_not_taken_for_restarted(self):
        """A cut made all daemons treat all replicas as just started."""
        with running_fleet(kind=KIND.AT_MOST_ONCE) as fleet:
            fleet.limit_cold_starts()
            fleet.cut_off(CUT.HANG, 0, 1)
            fleet.notice_cut(0, 1)
            fleet.statuses(0, TRIES)
            for daemon in fleet.daemons:
                assert daemon.targets.cold_replicas() == []


class TestConnectedDaemons:
    def test_no_request_is_sent_to_another_daemon(self):
        with running_fleet() as fleet:
            for number in range(3):
                fleet.statuses(number, TRIES)
                assert fleet.delegated(number) == 0

    def test_crash_of_a_replica_is_no_cut(self):
        with running_fleet(kind=KIND.AT_MOST_ONCE) as fleet:
            fleet.replicas[0].crash()
            fleet.cut_links(0, fleet.replicas[0].name)
            fleet.statuses(0, TRIES)
            assert not fleet.is_cut_off(0)
            assert fleet.delegated(0) == 0


class TestPromises:
    @pytest.mark.parametrize("how", list(CUT))
    def test_request_runs_at_most_once(self, how):
        with running_fleet(kind=KIND.AT_MOST_ONCE) as fleet:
            fleet.cut_off(how, 0, 1)
            statuses = fleet.statuses(0, TRIES) + fleet.statuses(1, TRIES)
            assert statuses.count(200) >= 1
            assert max(fleet.runs_by_try().values()) == 1

    def test_refused_request_has_not_run(self):
        with running_fleet(kind=KIND.AT_MOST_ONCE) as fleet:
            fleet.cut_off(CUT.RESET, 0, 1, 2)
            fleet.notice_cut(0, 1, 2)
            ran = len(fleet.runs)
            assert set(fleet.statuses(0, TRIES)) == {503}
            fleet.heal(0, 1, 2)
            cut_fleet.wait_until(lambda: fleet.try_(0)[0] == 200)
            assert len(fleet.runs) == ran + 1

    def test_daemon_that_is_cut_off_too_passes_no_request_on(self):
        """Requests must not go round between daemons."""
        with running_fleet(daemons=2) as fleet:
            fleet.cut_off(CUT.RESET, 0, 1)
            fleet.notice_cut(0, 1)
            cut_fleet.wait_until(lambda: fleet.try_(0)[0] == 503)
            served = [one._app.delegated_count for one in fleet.daemons]
            fleet.statuses(0, TRIES)
            fleet.statuses(1, TRIES)
            after = [one._app.delegated_count for one in fleet.daemons]
            assert sum(after) - sum(served) <= 2 * TRIES
            assert not any(len(one._app.requests) for one in fleet.daemons)

    def test_caller_that_hangs_up_ends_the_run(self):
        """A replica must not go on for a caller that left another daemon."""
        with running_fleet(**KINDS["stream"]) as fleet:
            fleet.cut_off(CUT.RESET, 0)
            fleet.notice_cut(0)
            with fleet.begin_slow_stream(0):
                cut_fleet.wait_until(
                    lambda: fleet.daemons[1]._app.requests.delegated_count
                    + fleet.daemons[2]._app.requests.delegated_count
                )
                assert fleet.open_connections() > 0
            cut_fleet.wait_until(
                lambda: not any(
                    len(one._app.requests) for one in fleet.daemons
                )
            )

    def test_deadline_is_that_of_the_caller(self):
        with running_fleet() as fleet:
            fleet.cut_off(CUT.RESET, 0)
            fleet.notice_cut(0)
            fleet.try_(0, fields=("X-Deadline-Ms: 700",))
            limit = int(fleet.last_fields()["x-deadline-ms"])
            assert 0 < limit <= 700

    def test_client_can_not_pose_as_a_daemon(self):
        """The header of daemons must mean nothing on a caller's request."""
        with running_fleet() as fleet:
            forged = 'Topazlug-Delegation: {"remaining":900,"replicas":99}'
            fleet.try_(0, fields=("X-Deadline-Ms: 700", forged))
            limit = int(fleet.last_fields()["x-deadline-ms"])
            assert limit <= 700
            assert fleet.daemons[0]._app.delegated_count == 0


class TestLostDelegate:
    def test_repeatable_request_is_served_by_the_next_daemon(self):
        with running_fleet() as fleet:
            fleet.cut_off(CUT.RESET, 0)
            fleet.notice_cut(0)
            fleet.statuses(0, TRIES)
            fleet.daemons[1].halt()
            served = fleet.statuses(0, TRIES).count(200)
            assert served >= MIN_SERVED * TRIES

    def test_stopping_daemon_accepts_no_more_requests(self):
        with running_fleet() as fleet:
            fleet.cut_off(CUT.RESET, 0)
            fleet.notice_cut(0)
            fleet.daemons[1]._stop_admission.begin(SCHEDULE)
            before = fleet.daemons[1]._app.delegated_count
            assert fleet.statuses(0, TRIES).count(200) >= MIN_SERVED * TRIES
            assert fleet.daemons[1]._app.delegated_count == before

    def test_daemon_with_an_older_table_rejects_nothing(self):
        """A route that the sender knows was unknown to the other daemon."""
        with running_fleet() as fleet:
            fleet.cut_off(CUT.RESET, 0)
            fleet.notice_cut(0)
            fleet.add_route(0, 2, prefix="/new/")
            assert fleet.statuses(0, TRIES, "/new/x") == [200] * TRIES


class TestFailingReplicas:
    def test_only_connected_daemon_is_not_blamed_for_its_replicas(self):
        """All callers were refused for a while after one got no answer."""
        with running_fleet(timeout=1.0, daemons=2) as fleet:
            fleet.cut_off(CUT.RESET, 0)
            fleet.notice_cut(0)
            silent = gevent.spawn(fleet.send_silent, 0)
            while not silent.ready():
                assert fleet.try_(0)[0] == 200
            assert fleet.try_(0)[0] == 200


class TestLogs:
    def test_both_daemons_log_the_request(self):
        with running_fleet() as fleet:
            fleet.cut_off(CUT.RESET, 0)
            fleet.notice_cut(0)
            handler = logbook.TestHandler()
            with handler.applicationbound():
                fleet.try_(0)
            found = {one.msg for one in handler.records}
            assert "served by daemon {delegate} with {status}" in found
            assert "serves a request of a daemon that reaches no replica" in (
                found
            )


class TestAttempts:
    @pytest.mark.parametrize("max_replicas", [1, 2, 3])
    def test_silent_replicas_get_no_more_than_the_routes_attempts(
        self, max_replicas
    ):
        """The other daemon's attempts were not counted by the first."""
        with running_fleet(max_replicas=max_replicas) as fleet:
            fleet.cut_off(CUT.RESET, 0)
            fleet.notice_cut(0)
            fleet.silence_replicas()
            fleet.try_(0, fields=("X-Deadline-Ms: 900",))
            last = fleet.runs[-1][1]
            assert fleet.runs_by_try()[last] <= max_replicas
