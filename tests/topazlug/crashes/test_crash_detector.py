"""Which events count as a crash, and which requests ran there."""

import gevent
from gevent import server
import msgspec
import pytest

from tests.topazlug import routing_fixtures
from tests.topazlug.forwarding import forwarding_fixtures as fixtures
from topazlug import _clock
from topazlug import _ids
from topazlug.crashes import _crash_detector
from topazlug.targets import _target
from topazlug.targets import _target_runs

ENDS = _target_runs.RunEnd


class Rig:
    """A detector, and targets that accept or refuse connections."""

    def __init__(self):
        clock = _clock.SystemClock()
        self.tracker = _target_runs.RunTracker(clock=clock)
        self.listed = {}
        self.crashes = []
        self.closing = set()
        self.leaving = set()
        self._servers = {}
        self.detector = _crash_detector.CrashDetector(
            runs=self.tracker,
            listed=lambda: self.listed,
            is_leaving=lambda target: (
                target.leaving or target.replica in self.leaving
            ),
            on_crash=lambda target, runs: self.crashes.append((target, runs)),
            clock=clock,
        )

    def start(self, name, *, port=0):
        """List a target that accepts connections."""
        stream_server = server.StreamServer(("127.0.0.1", port), self._serve)
        stream_server.start()
        self._servers[name] = stream_server
        target = fixtures.target(name, port=stream_server.server_port)
        self.listed[name] = target
        return target

    def _serve(self, sock, address):
        if sock.getsockname()[1] not in self.closing:
            sock.recv(1)

    def end(self, target):
        """Make a target refuse connections."""
        self._servers.pop(target.replica).stop(timeout=0)

    def end_behind_relay(self, target):
        """Make connections to a target be accepted and closed at once."""
        self.closing.add(target.port)

    def run(self, target, name="f"):
        return self.tracker.begin(
            target,
            fingerprint=_ids.Fingerprint(name),
            attempt=f"of {name}",
        )

    def unlist(self, *targets):
        """Remove targets from the list."""
        before = dict(self.listed)
        for target in targets:
            del self.listed[target.replica]
        self.detector.handle_list_change(before, list(self.listed.values()))

    def wait_for_check(self, target):
        """Wait until the check of a target is done."""
        process = _target.process_of(target)
        routing_fixtures.wait_until(
            lambda: process not in self.detector._check_by_process
        )

    def crashed(self):
        return [target.replica for target, _ in self.crashes]

    def stop(self):
        for stream_server in self._servers.values():
            stream_server.stop(timeout=0)


@pytest.fixture
def rig():
    made = Rig()
    yield made
    made.stop()


def settle():
    """Let running checks finish."""
    gevent.sleep(0.05)


class TestRefusedConnection:
    def test_target_that_refuses_connections_has_crashed(self, rig):
        target = rig.start("i-1")
        one, other = rig.run(target, "f"), rig.run(target, "g")
        rig.end(target)
        rig.tracker.finish(one, ENDS.LOST)
        rig.wait_for_check(target)
        assert rig.crashed() == ["i-1"]
        assert set(
            rig.crashes[0][1],
        ) == {one, other}

    def test_target_that_accepts_connections_has_not_crashed(self, rig):
        target = rig.start("i-1")
        rig.tracker.finish(rig.run(target), ENDS.LOST)
        rig.wait_for_check(target)
        assert rig.crashed() == []

    def test_target_behind_a_relay_that_closes_connections(self, rig):
        """Seventeen replicas crashed under one request, all undetected.

        A relay in front of each still accepted connections and closed them:
        "the target failed: [Errno 104] Connection reset by peer", 707 times.
        """
        target = rig.start("i-1")
        run = rig.run(target)
        rig.end_behind_relay(target)
        rig.tracker.finish(run, ENDS.LOST)
        rig.wait_for_check(target)
        assert rig.crashed() == ["i-1"]

    def test_crash_is_reported_once(self, rig):
        target = rig.start("i-1")
        runs = [rig.run(target, f"f{n}") for n in range(3)]
        rig.end(target)
        for run in runs:
            rig.tracker.finish(run, ENDS.LOST)
            rig.wait_for_check(target)
        rig.unlist(target)
        settle()
        assert rig.crashed() == ["i-1"]

    def test_crash_soon_after_a_truncated_answer_is_detected(self, rig):
        """A replica truncated an answer and crashed half a second later.

        It had just passed a check and is not checked again so soon.
        """
        target = rig.start("i-1")
        rig.tracker.finish(rig.run(target, "broken"), ENDS.LOST)
        rig.wait_for_check(target)
        rig.end(target)
        run = rig.run(target, "f")
        rig.tracker.finish(run, ENDS.LOST)
        routing_fixtures.wait_until(lambda: rig.crashes)
        assert run in rig.crashes[0][1]

    def test_request_abandoned_just_before_is_reported_too(self, rig):
        target = rig.start("i-1")
        left = rig.run(target, "left")
        rig.tracker.finish(left, ENDS.ABANDONED)
        rig.end(target)
        rig.tracker.finish(rig.run(target, "f"), ENDS.LOST)
        rig.wait_for_check(target)
        assert left in rig.crashes[0][1]

    def test_target_that_announced_leaving_has_not_crashed(self, rig):
        """Guards against suspecting requests when a replica leaves."""
        target = rig.start("i-1")
        rig.leaving.add("i-1")
        run = rig.run(target)
        rig.end(target)
        rig.tracker.finish(run, ENDS.LOST)
        rig.unlist(target)
        settle()
        assert rig.crashed() == []

    def test_target_listed_as_leaving_has_not_crashed(self, rig):
        target = rig.start("i-1")
        rig.listed["i-1"] = msgspec.structs.replace(target, leaving=True)
        run = rig.run(target)
        rig.end(target)
        rig.tracker.finish(run, ENDS.LOST)
        settle()
        assert rig.crashed() == []

    @pytest.mark.parametrize(
        "end", [ENDS.TIMED_OUT, ENDS.ABANDONED, ENDS.NOT_RUN]
    )
    def test_other_run_ends_trigger_no_check(self, rig, end):
        target = rig.start("i-1")
        run = rig.run(target)
        rig.end(target)
        rig.tracker.finish(run, end)
        settle()
        assert rig.crashed() == []

    def test_daemon_that_is_cut_off_reports_few_crashes(self, rig):
        """A network failure that resets connections looks like crashes.

        All requests that this daemon was running were suspected then.
        """
        targets = [rig.start(f"i-{n}") for n in range(8)]
        runs = [rig.run(target) for target in targets]
        for target in targets:
            rig.end(target)
        for run in runs:
            rig.tracker.finish(run, ENDS.LOST)
        for target in targets:
            rig.wait_for_check(target)
        assert len(rig.crashes) == 2


class TestExpiredEntry:
    def test_rack_without_power_is_reported_on_expiry(self, rig):
        targets = [rig.start(f"i-{n}") for n in range(5)]
        runs = [rig.run(target) for target in targets]
        for target in targets:
            rig.end(target)
        for run in runs:
            rig.tracker.finish(run, ENDS.LOST)
        for target in targets:
            rig.wait_for_check(target)
        rig.unlist(*targets)
        routing_fixtures.wait_until(lambda: len(rig.crashes) == 5)

    def test_silent_run_on_a_target_whose_entry_expires(self, rig):
        target = rig.start("i-1")
        run = rig.run(target)
        rig.end(target)
        rig.tracker.finish(run, ENDS.TIMED_OUT)
        rig.unlist(target)
        routing_fixtures.wait_until(lambda: rig.crashes)
        assert rig.crashes[0][1] == [run]

    def test_address_reused_by_another_target(self, rig):
        """A replica restarted at its address within the time of a check."""
        target = rig.start("i-1")
        run = rig.run(target)
        rig.tracker.finish(run, ENDS.LOST)
        rig.wait_for_check(target)
        before = dict(rig.listed)
        new = msgspec.structs.replace(target, replica=_ids.ReplicaId("i-2"))
        rig.listed = {"i-2": new}
        rig.detector.handle_list_change(before, [new])
        routing_fixtures.wait_until(lambda: rig.crashes)
        assert rig.crashed() == ["i-1"]

    def test_new_incarnation_under_the_same_id(self, rig):
        target = rig.start("i-1")
        rig.tracker.finish(rig.run(target), ENDS.TIMED_OUT)
        before = dict(rig.listed)
        new = msgspec.structs.replace(target, incarnation=2)
        rig.listed = {"i-1": new}
        rig.detector.handle_list_change(before, [new])
        routing_fixtures.wait_until(lambda: rig.crashes)
        assert rig.crashes[0][0].incarnation == 1

    def test_target_that_leaves_unannounced_still_serves(self, rig):
        """Some replicas only remove their entry, and serve on for long."""
        target = rig.start("i-1")
        rig.tracker.finish(rig.run(target), ENDS.LOST)
        rig.wait_for_check(target)
        rig.unlist(target)
        settle()
        assert rig.crashed() == []

    def test_no_request_ran_there(self, rig):
        target = rig.start("i-1")
        rig.end(target)
        rig.unlist(target)
        settle()
        assert rig.crashed() == []
