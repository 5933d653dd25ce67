"""What counts as a crash of a replica, and what was running there."""

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
    """A watch over targets that take connections or refuse them."""

    def __init__(self):
        clock = _clock.SystemClock()
        self.book = _target_runs.RunBook(clock=clock)
        self.listed = {}
        self.crashes = []
        self.closing = set()
        self.leaving = set()
        self._servers = {}
        self.watch = _crash_detector.CrashDetector(
            runs=self.book,
            listed=lambda: self.listed,
            is_leaving=lambda target: (
                target.leaving or target.replica in self.leaving
            ),
            crashed=lambda target, runs: self.crashes.append((target, runs)),
            clock=clock,
        )

    def start(self, name, *, port=0):
        """List a target that takes connections."""
        one = server.StreamServer(("127.0.0.1", port), self._serve)
        one.start()
        self._servers[name] = one
        target = fixtures.target(name, port=one.server_port)
        self.listed[name] = target
        return target

    def _serve(self, sock, address):
        if sock.getsockname()[1] not in self.closing:
            sock.recv(1)

    def end(self, target):
        """Have a target refuse connections."""
        self._servers.pop(target.replica).stop(timeout=0)

    def end_behind_relay(self, target):
        """Have connections to a target be taken, and closed at once."""
        self.closing.add(target.port)

    def run(self, target, name="f"):
        return self.book.begin(
            target,
            fingerprint=_ids.Fingerprint(name),
            attempt=f"of {name}",
        )

    def unlist(self, *targets):
        """Have the list say that targets are gone."""
        before = dict(self.listed)
        for target in targets:
            del self.listed[target.replica]
        self.watch.handle_list_change(before, list(self.listed.values()))

    def wait_for_check(self, target):
        """Wait until the watch has looked at a target."""
        start = _target.start_of(target)
        routing_fixtures.wait_until(
            lambda: start not in self.watch._check_by_incarnation
        )

    def crashed(self):
        return [target.replica for target, _ in self.crashes]

    def stop(self):
        for one in self._servers.values():
            one.stop(timeout=0)


@pytest.fixture
def rig():
    made = Rig()
    yield made
    made.stop()


def settle():
    """Let checks that were begun come to their end."""
    gevent.sleep(0.05)


class TestRefusedConnection:
    def test_target_that_refuses_connections_has_crashed(self, rig):
        target = rig.start("i-1")
        one, other = rig.run(target, "f"), rig.run(target, "g")
        rig.end(target)
        rig.book.finish(one, ENDS.LOST)
        rig.wait_for_check(target)
        assert rig.crashed() == ["i-1"]
        assert set(
            rig.crashes[0][1],
        ) == {one, other}

    def test_target_that_takes_connections_has_not(self, rig):
        target = rig.start("i-1")
        rig.book.finish(rig.run(target), ENDS.LOST)
        rig.wait_for_check(target)
        assert rig.crashed() == []

    def test_target_behind_a_relay_that_closes_connections(self, rig):
        """Seventeen replicas ended under one request, and none was noticed.

        A relay before each of them still took connections, and closed them:
        "the target failed: [Errno 104] Connection reset by peer", 707 times.
        """
        target = rig.start("i-1")
        run = rig.run(target)
        rig.end_behind_relay(target)
        rig.book.finish(run, ENDS.LOST)
        rig.wait_for_check(target)
        assert rig.crashed() == ["i-1"]

    def test_crash_is_told_once(self, rig):
        target = rig.start("i-1")
        runs = [rig.run(target, f"f{n}") for n in range(3)]
        rig.end(target)
        for run in runs:
            rig.book.finish(run, ENDS.LOST)
            rig.wait_for_check(target)
        rig.unlist(target)
        settle()
        assert rig.crashed() == ["i-1"]

    def test_crash_soon_after_a_broken_answer_is_seen(self, rig):
        """A replica broke off an answer, and crashed half a second later.

        It had just been found to live, and was not asked again so soon.
        """
        target = rig.start("i-1")
        rig.book.finish(rig.run(target, "broken"), ENDS.LOST)
        rig.wait_for_check(target)
        rig.end(target)
        run = rig.run(target, "f")
        rig.book.finish(run, ENDS.LOST)
        routing_fixtures.wait_until(lambda: rig.crashes)
        assert run in rig.crashes[0][1]

    def test_what_was_given_up_just_before_is_told_too(self, rig):
        target = rig.start("i-1")
        left = rig.run(target, "left")
        rig.book.finish(left, ENDS.LEFT)
        rig.end(target)
        rig.book.finish(rig.run(target, "f"), ENDS.LOST)
        rig.wait_for_check(target)
        assert left in rig.crashes[0][1]

    def test_target_that_said_that_it_leaves_ends_as_planned(self, rig):
        """Requests are blamed for the planned end of a replica."""
        target = rig.start("i-1")
        rig.leaving.add("i-1")
        run = rig.run(target)
        rig.end(target)
        rig.book.finish(run, ENDS.LOST)
        rig.unlist(target)
        settle()
        assert rig.crashed() == []

    def test_target_that_leaves_ends_as_planned(self, rig):
        target = rig.start("i-1")
        rig.listed["i-1"] = msgspec.structs.replace(target, leaving=True)
        run = rig.run(target)
        rig.end(target)
        rig.book.finish(run, ENDS.LOST)
        settle()
        assert rig.crashed() == []

    @pytest.mark.parametrize("end", [ENDS.SILENT, ENDS.LEFT, ENDS.NOT_RUN])
    def test_other_ends_are_no_sign(self, rig, end):
        target = rig.start("i-1")
        run = rig.run(target)
        rig.end(target)
        rig.book.finish(run, end)
        settle()
        assert rig.crashed() == []

    def test_a_daemon_that_is_cut_off_tells_of_no_crowd(self, rig):
        """A cut that resets connections made all replicas seem to crash.

        Everything that this daemon had running was then suspected.
        """
        targets = [rig.start(f"i-{n}") for n in range(8)]
        runs = [rig.run(target) for target in targets]
        for target in targets:
            rig.end(target)
        for run in runs:
            rig.book.finish(run, ENDS.LOST)
        for target in targets:
            rig.wait_for_check(target)
        assert len(rig.crashes) == 2


class TestLapsedEntry:
    def test_rack_without_power_is_told_when_its_entries_lapse(self, rig):
        targets = [rig.start(f"i-{n}") for n in range(5)]
        runs = [rig.run(target) for target in targets]
        for target in targets:
            rig.end(target)
        for run in runs:
            rig.book.finish(run, ENDS.LOST)
        for target in targets:
            rig.wait_for_check(target)
        rig.unlist(*targets)
        routing_fixtures.wait_until(lambda: len(rig.crashes) == 5)

    def test_silent_run_on_a_target_whose_entry_lapses(self, rig):
        target = rig.start("i-1")
        run = rig.run(target)
        rig.end(target)
        rig.book.finish(run, ENDS.SILENT)
        rig.unlist(target)
        routing_fixtures.wait_until(lambda: rig.crashes)
        assert rig.crashes[0][1] == [run]

    def test_address_that_another_target_has_taken_over(self, rig):
        """A replica was back at its address within the time of a check."""
        target = rig.start("i-1")
        run = rig.run(target)
        rig.book.finish(run, ENDS.LOST)
        rig.wait_for_check(target)
        before = dict(rig.listed)
        new = msgspec.structs.replace(target, replica=_ids.ReplicaId("i-2"))
        rig.listed = {"i-2": new}
        rig.watch.handle_list_change(before, [new])
        routing_fixtures.wait_until(lambda: rig.crashes)
        assert rig.crashed() == ["i-1"]

    def test_new_start_under_the_same_id(self, rig):
        target = rig.start("i-1")
        rig.book.finish(rig.run(target), ENDS.SILENT)
        before = dict(rig.listed)
        new = msgspec.structs.replace(target, incarnation=2)
        rig.listed = {"i-1": new}
        rig.watch.handle_list_change(before, [new])
        routing_fixtures.wait_until(lambda: rig.crashes)
        assert rig.crashes[0][0].incarnation == 1

    def test_target_that_leaves_without_a_word_serves_on(self, rig):
        """Some replicas leave by dropping their entry, and go on for long."""
        target = rig.start("i-1")
        rig.book.finish(rig.run(target), ENDS.LOST)
        rig.wait_for_check(target)
        rig.unlist(target)
        settle()
        assert rig.crashed() == []

    def test_nothing_ran_there(self, rig):
        target = rig.start("i-1")
        rig.end(target)
        rig.unlist(target)
        settle()
        assert rig.crashed() == []
