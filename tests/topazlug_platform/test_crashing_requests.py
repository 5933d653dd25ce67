"""Requests that crash replicas, sent through a fleet of daemons."""

import contextlib

import gevent
import pytest

from tests.topazlug.forwarding import forwarding_fixtures as fixtures
from tests.topazlug_platform import crash_fleet
from topazlug import _ids
from topazlug.forwarding import _table

KINDS = {
    "idempotent": {"kind": _table.RequestKind.IDEMPOTENT},
    "at-most-once": {"kind": _table.RequestKind.AT_MOST_ONCE},
    "stream": {"kind": _table.RequestKind.STREAM},
    "resumable": {"kind": _table.RequestKind.STREAM, "resumable": True},
    "placed-by-owners": {
        "kind": _table.RequestKind.STREAM,
        "has_context": True,
    },
}
# Three attempts identify the request; the first may crash two replicas.
MAX_CRASHED = 4


@contextlib.contextmanager
def running_fleet(*, daemons=3, replicas=4, **changes):
    made = crash_fleet.CrashFleet(
        fixtures.route(**changes), daemons=daemons, replicas=replicas
    )
    try:
        yield made
    finally:
        made.stop()


class TestBlocked:
    @pytest.mark.parametrize("kind", list(KINDS))
    def test_few_replicas_crash_on_every_kind_of_route(self, kind):
        """One request crashed a dozen replicas one after the other.

        It was repeated with new ids to any daemon, and each daemon treated
        it as a new request.
        """
        with running_fleet(**KINDS[kind]) as made:
            made.ask_in_turn(12)
            made.wait_blocked(0, 1, 2)
            assert made.reached_count() <= MAX_CRASHED

    def test_attempts_with_the_same_id_are_counted(self):
        """Attempts were distinguished by the id that the caller sets.

        The attempts of a caller that never changes it were counted as one.
        """
        with running_fleet() as made:
            made.ask_in_turn(8, attempt="always")
            made.wait_blocked(0, 1, 2)
            assert made.reached_count() <= MAX_CRASHED

    def test_blocked_request_is_rejected_with_retry_after(self):
        with running_fleet() as made:
            made.ask_in_turn(6)
            made.wait_blocked(0, 1, 2)
            before = len(made.runs)
            status, fields = made.ask(0, crash_fleet.CRASHING)
            assert status == 503
            assert fields["topazlug-outcome"] == "not-run"
            assert float(fields["retry-after"]) > 0
            assert len(made.runs) == before

    def test_other_requests_are_served(self):
        with running_fleet() as made:
            made.ask_in_turn(6)
            made.wait_blocked(0, 1, 2)
            assert made.ask_in_turn(6, crash_fleet.ORDINARY) == [200] * 6
            assert made.ask(0, crash_fleet.CRASHING, path="/a/other")[0] == 502

    def test_same_request_of_another_team_is_not_blocked(self):
        """Two teams may send the same body; only one team's was seen."""
        with running_fleet() as made:
            made.ask_in_turn(6)
            made.wait_blocked(0, 1, 2)
            for daemon in made.daemons:
                team = _table.Team(_ids.TeamName("ort"), None)
                daemon.take_table(
                    _table.RoutingTable(
                        version=2,
                        routes=[fixtures.route()],
                        teams_by_key={fixtures.KEY: team},
                        bounds=_table.CallerBounds(),
                    )
                )
            before = made.reached_count()
            made.ask(0, crash_fleet.CRASHING)
            assert made.reached_count() > before

    def test_replica_that_restarts_with_the_same_id(self):
        """Replicas restarted with the same id.

        Crashes were counted by replica id, so that several crashes of one
        replica were counted as one.
        """
        with running_fleet(daemons=2, replicas=1) as made:
            for number in range(8):
                made.ask(number, crash_fleet.CRASHING)
                if made.replicas[0].is_running:
                    break
                made.replicas = [
                    crash_fleet.Replica("i-1", made.runs, start=number + 2)
                ]
                made.list_replicas()
                crash_fleet.wait_until(
                    lambda: made.are_records_known(number + 1)
                )
            made.wait_blocked(0, 1)
            ran = [one for one in made.runs if one[1] == crash_fleet.CRASHING]
            assert len(ran) <= MAX_CRASHED


class TestRestarts:
    def test_restarted_daemons_block_the_request(self):
        with running_fleet() as made:
            made.ask_in_turn(6)
            made.wait_blocked(0, 1, 2)
            for number in range(3):
                made.restart(number)
            made.wait_blocked(0, 1, 2)
            before = made.reached_count()
            assert set(made.ask_in_turn(6)) == {503}
            assert made.reached_count() == before

    def test_crashes_detected_by_replaced_daemons_count(self):
        """Each daemon that detected a crash was replaced soon afterwards."""
        with running_fleet() as made:
            for number in range(8):
                made.ask(number, crash_fleet.CRASHING)
                made.replace_crashed()
                crash_fleet.wait_until(lambda: made.store.log)
                gevent.sleep(0.05)
                made.restart(number % 3)
            made.wait_blocked(0, 1, 2)
            assert made.reached_count() <= MAX_CRASHED


class TestStoreUnreachable:
    def test_daemons_share_crash_records_without_the_store(self):
        """While the store was unreachable, daemons shared no crash records.

        Each of nine daemons needed three crashes of its own to block the
        request. Here each daemon detects only one.
        """
        with running_fleet(daemons=5) as made:
            made.wait_joined()
            made.cut_from_store(0, 1, 2, 3, 4)
            made.ask_in_turn(5, wait_known=False)
            made.wait_blocked(0, 1, 2, 3, 4)
            before = made.reached_count()
            assert set(made.ask_in_turn(10, wait_known=False)) == {503}
            assert made.reached_count() == before

    def test_block_is_written_when_the_store_is_back(self):
        with running_fleet() as made:
            made.wait_joined()
            made.cut_from_store(0, 1, 2)
            made.ask_in_turn(6, wait_known=False)
            made.wait_blocked(0, 1, 2)
            made.cut_from_store()
            crash_fleet.wait_until(made.is_block_written)
            for number in range(3):
                made.restart(number)
            made.wait_blocked(0, 1, 2)
            before = made.reached_count()
            assert set(made.ask_in_turn(3)) == {503}
            assert made.reached_count() == before

    @pytest.mark.parametrize("path", ["/a/x", "/a/y", "/a/z", "/a/w"])
    def test_records_of_cut_off_daemons_are_written_by_others(self, path):
        """Daemons cut off from the store had the records, and shared them.

        The daemons with access to the store did not write these records. A
        daemon that started then read none, and replicas crashed again.
        """
        with running_fleet(daemons=6) as made:
            made.wait_joined()
            made.cut_from_store(0, 1, 2, 3)
            for number in range(6):
                made.ask(number % 4, crash_fleet.CRASHING, path)
                made.replace_crashed()
            made.wait_blocked(*range(6))
            crash_fleet.wait_until(made.is_block_written)
            made.restart(5)
            made.wait_blocked(5)

    def test_daemon_cut_off_from_the_store_gets_the_block(self):
        with running_fleet() as made:
            made.cut_from_store(2)
            for number in range(6):
                made.ask(number % 2, crash_fleet.CRASHING)
                made.replace_crashed()
            made.wait_blocked(0, 1)
            made.cut_from_store()
            made.wait_blocked(2)


class TestNotBlocked:
    def test_concurrent_requests_are_not_blocked(self):
        """A crash also ends the requests beside it, which are repeated too."""
        with running_fleet(**KINDS["stream"]) as made:
            for number in range(6):
                pending = [
                    gevent.spawn(made.ask, n, crash_fleet.SLOW, f"/a/{n}")
                    for n in range(8)
                ]
                crash_fleet.wait_until(
                    lambda: sum(b == crash_fleet.SLOW for _, b in made.runs)
                    >= 8 * (number + 1) - 7
                )
                made.ask(number, crash_fleet.CRASHING)
                made.replace_crashed()
                gevent.killall(pending)
            made.wait_blocked(0, 1, 2)
            for daemon in made.daemons:
                assert daemon._crashes.guard.blocked == 1

    def test_replicas_that_crash_by_themselves(self):
        """Replicas crashed repeatedly, regardless of their requests."""
        with running_fleet() as made:
            for number in range(8):
                pending = gevent.spawn(made.ask, number, crash_fleet.SLOW)
                crash_fleet.wait_until(lambda: len(made.runs) > number)
                made.replicas[number % 4].crash()
                made.replace_crashed()
                gevent.killall([pending])
                made.ask(number, crash_fleet.SLOW + b"!")
            assert not any(made.is_blocked(n) for n in range(3))

    def test_broken_connections_are_no_crashes(self):
        """Replicas closed connections mid-answer and continued to run."""
        with running_fleet(**KINDS["stream"]) as made:
            for number in range(6):
                pending = gevent.spawn(made.ask, number, crash_fleet.SLOW)
                crash_fleet.wait_until(lambda: len(made.runs) > number)
                for replica in made.replicas:
                    replica.cut_off()
                pending.join(5)
                crash_fleet.wait_until(made.is_checked)
            assert not any(made.is_blocked(n) for n in range(3))
            assert not made.store._held("crashes")

    def test_planned_exit_is_no_crash(self):
        """A leaving replica ends its remaining requests when it exits."""
        with running_fleet(**KINDS["stream"]) as made:
            for number in range(4):
                pending = gevent.spawn(made.ask, number, crash_fleet.SLOW)
                crash_fleet.wait_until(lambda: len(made.runs) > number)
                leaving = made.replicas
                for replica in leaving:
                    replica.leave()
                made.list_replicas()
                for replica in leaving:
                    replica.crash()
                pending.join(5)
                made.replace_crashed()
            assert not made.store._held("crashes")
