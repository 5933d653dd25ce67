"""Refusing what crashes replicas, and what must be refused no longer."""

import gevent
import msgspec
import pytest

from bench.fleets import processes
from tests.topazlug import claim_fakes
from tests.topazlug.crashes import crash_fixtures
from tests.topazlug.forwarding import forwarding_fixtures as fixtures
from topazlug import _errors
from topazlug import _ids
from topazlug.crashes import _crash_guard
from topazlug.crashes import _crash_records
from topazlug.targets import _target_runs
from topazlug.targets import _targets

F = _ids.Fingerprint("f")


class Published:
    """Keeps what a guard shares."""

    def __init__(self):
        self.records = []

    def publish(self, records, *, remove=()):
        self.records += records


class Rig:
    """A guard, told of crashes by hand."""

    def __init__(self, *, rejects=True):
        self.clock = claim_fakes.FakeClock()
        self.book = _target_runs.RunBook(clock=self.clock)
        self.guard = _crash_guard.CrashGuard(
            daemon=_ids.DaemonId("d1"),
            runs=self.book,
            targets=_targets.TargetDirectory(
                clock=self.clock, flap_window=1.0
            ),
            rejects=rejects,
            clock=self.clock,
        )
        self.shared = Published()
        self.guard.publisher = self.shared

    def crash(self, number, *names):
        """Have a replica crash under requests of this daemon."""
        target = fixtures.target(f"i-{number}")
        runs = [
            self.book.begin(
                target,
                fingerprint=_ids.Fingerprint(name),
                attempt=f"{name}-{number}",
            )
            for name in names
        ]
        self.guard._on_crash(target, runs)

    def settle(self):
        """Let the time pass after which it is decided."""
        self.guard.decide()
        self.clock.advance(1.01)
        self.guard.decide()

    def others(self, *numbers, name="f"):
        """Give crashes that another daemon saw."""
        return [
            crash_fixtures.crash(
                f"i-{n}@1", (name, f"a{n}"), daemon="d2", at=self.clock.now()
            )
            for n in numbers
        ]

    def answer(self, name="f"):
        """Have a request be answered whole."""
        run = self.book.begin(
            fixtures.target("i-9"),
            fingerprint=_ids.Fingerprint(name),
            attempt="r",
        )
        self.book.finish(run, _target_runs.RunEnd.WHOLE, status=200)

    def is_refused(self, name=F):
        try:
            self.guard.check(name)
        except _errors.RequestBlocked:
            return True
        return False


@pytest.fixture
def rig():
    return Rig()


class TestRefusal:
    def test_request_that_crashed_three_replicas_is_refused(self, rig):
        for number in range(3):
            assert not rig.is_refused()
            rig.crash(number, "f")
        rig.settle()
        assert rig.is_refused()
        assert not rig.is_refused(_ids.Fingerprint("g"))
        assert rig.guard.blocked == 1

    def test_error_is_certain_and_says_when_to_come_back(self, rig):
        for number in range(3):
            rig.crash(number, "f")
        rig.settle()
        rig.clock.advance(600.0)
        with pytest.raises(_errors.RequestBlocked) as caught:
            rig.guard.check(F)
        assert caught.value.outcome is _errors.Outcome.NOT_RUN
        assert caught.value.retry_after == 86400.0 - 600.0

    def test_it_ends_after_a_day(self, rig):
        for number in range(3):
            rig.crash(number, "f")
        rig.settle()
        rig.clock.advance(_crash_records.RETENTION.total_seconds() + 10)
        assert not rig.is_refused()
        rig.guard.add_peer_records([])
        assert rig.guard.blocked == 0

    def test_mechanism_that_is_switched_off_refuses_nothing(self):
        rig = Rig(rejects=False)
        for number in range(6):
            rig.crash(number, "f")
        rig.settle()
        assert not rig.is_refused()
        assert rig.guard.may_repeat(F, fixtures.target("i-1"))


class TestAttempt:
    def test_two_crashes_in_one_moment_are_enough(self, rig):
        """One attempt ends a third replica as two end within a millisecond."""
        targets = [
            fixtures.target(f"i-{n}", port=processes.free_port())
            for n in range(2)
        ]
        rig.guard._targets.take_list(targets)
        may_repeat = []
        for target in targets:
            run = rig.book.begin(target, fingerprint=F, attempt="a")
            rig.book.finish(run, _target_runs.RunEnd.LOST)
            may_repeat.append(rig.guard.may_repeat(F, target))
        assert may_repeat == [True, False]


class TestHold:
    def test_request_is_held_back_before_it_is_decided(self, rig):
        """Between the third crash and the decision more replicas ended.

        Its caller repeats at once: five attempts came in that time.
        """
        for number in range(3):
            rig.crash(number, "f")
        assert rig.is_refused()
        assert rig.guard.blocked == 0

    def test_hold_ends_if_another_is_the_cause(self, rig):
        for number in range(4):
            names = ("f", "g") if number else ("g",)
            rig.crash(number, *names)
        rig.settle()
        rig.clock.advance(1.0)
        assert not rig.is_refused()
        assert rig.is_refused(_ids.Fingerprint("g"))

    def test_hold_does_not_begin_anew_with_other_news(self, rig):
        for number in range(3):
            rig.crash(number, "f", "g")
        rig.clock.advance(2.0)
        rig.crash(7, "other")
        rig.guard.add_peer_records([])
        assert not rig.is_refused()

    def test_request_that_is_sent_all_the_time_is_not_held(self, rig):
        """Reads of one team were refused for half a second at each crash.

        The same read ran all the time, so that some were at each crash; the
        daemon had answered dozens in between.
        """
        for number in range(6):
            rig.crash(number, "f", "cause")
            assert not rig.is_refused()
            rig.answer("f")
        rig.settle()
        assert not rig.is_refused()
        assert rig.is_refused(_ids.Fingerprint("cause"))

    def test_note_that_comes_late_shows_the_cause(self, rig):
        """A read of one team was blocked for a day, and was no cause.

        It ran all the time, so that some were at each of three crashes. What
        else had run at the second was told 0.15 s after the third: "requests
        of f3eb35a03d37 are blocked: 3 replicas crashed".
        """
        records = [
            crash_fixtures.crash("i-1@1", ("f", "a1"), ("cause", "c1")),
            crash_fixtures.crash("i-2@1", ("f", "a2")),
            crash_fixtures.crash("i-3@1", ("f", "a3"), ("cause", "c3")),
            crash_fixtures.crash("i-4@1", ("cause", "c4")),
        ]
        records = [
            msgspec.structs.replace(record, at=rig.clock.now())
            for record in records
        ]
        rig.guard.set_shared_records(records)
        rig.guard.decide()
        rig.clock.advance(0.5)
        late = crash_fixtures.crash(
            "i-2@1", ("cause", "c2"), daemon="d3", at=rig.clock.now()
        )
        rig.guard.set_shared_records([*records, late])
        rig.settle()
        assert [block.fingerprint for block in rig.guard.blocks()] == ["cause"]

    def test_request_that_was_answered_just_before_the_news(self, rig):
        """What was answered a moment ago ends no replica."""
        rig.answer("f")
        before = rig.others(1, 2, 3)
        rig.guard.set_shared_records(before)
        assert not rig.is_refused()
        rig.settle()
        assert not rig.guard.blocked
        rig.clock.advance(120.0)
        rig.guard.set_shared_records([*before, *rig.others(4, 5, 6)])
        rig.settle()
        assert rig.guard.blocked


class TestRepeats:
    def test_one_attempt_may_meet_one_crash(self, rig):
        target = fixtures.target("i-1")
        assert rig.guard.may_repeat(F, target)
        rig.crash(1, "f")
        assert rig.guard.may_repeat(F, target)
        rig.crash(2, "f")
        assert not rig.guard.may_repeat(F, target)

    def test_blocked_request_is_not_repeated(self, rig):
        rig.guard.set_shared_records(
            [crash_fixtures.block("f", "i-1@1", at=rig.clock.now())]
        )
        assert not rig.guard.may_repeat(F, fixtures.target("i-1"))


class TestSharing:
    def test_crash_and_block_are_shared_by_who_saw_it(self, rig):
        rig.guard.set_shared_records(rig.others(1, 2))
        rig.crash(3, "f")
        rig.settle()
        kinds = [type(record) for record in rig.shared.records]
        assert kinds == [_crash_records.Crash, _crash_records.Block]

    def test_who_saw_no_crash_leaves_it_to_others_for_a_while(self, rig):
        """The daemons that saw the crashes may be gone by then."""
        rig.guard.set_shared_records(rig.others(1, 2, 3))
        rig.settle()
        assert rig.is_refused()
        assert rig.guard.blocked == 1
        assert rig.shared.records == []
        rig.clock.advance(5.0)
        rig.guard.decide()
        assert [type(record) for record in rig.shared.records] == [
            _crash_records.Block
        ]

    def test_block_that_another_has_written_is_not_written_again(self, rig):
        crashes = rig.others(1, 2, 3)
        rig.guard.set_shared_records(crashes)
        rig.settle()
        written = crash_fixtures.block("f", "i-1@1", at=rig.clock.now())
        rig.guard.set_shared_records([*crashes, written])
        rig.clock.advance(5.0)
        rig.settle()
        assert rig.shared.records == []

    def test_who_is_asked_to_writes_what_it_was_told(self, rig):
        """Whoever decided it may be kept from the store for long."""
        block = crash_fixtures.block("f", "i-1@1", at=rig.clock.now())
        rig.guard.add_peer_records([block], stand_in=True)
        rig.guard.decide()
        assert rig.shared.records == []
        rig.clock.advance(5.0)
        rig.guard.add_peer_records([block], stand_in=True)
        rig.guard.decide()
        assert rig.shared.records == [block]
        # It tells the others that it wrote it, and hears that back.
        rig.guard.add_peer_records([block], stand_in=True)
        rig.clock.advance(5.0)
        rig.guard.decide()
        assert rig.shared.records == [block]

    def test_who_is_told_and_not_asked_to_writes_nothing(self, rig):
        block = crash_fixtures.block("f", "i-1@1", at=rig.clock.now())
        rig.guard.add_peer_records([block])
        rig.clock.advance(5.0)
        rig.guard.decide()
        assert rig.shared.records == []

    def test_what_the_teller_has_written_since_is_not_written(self, rig):
        block = crash_fixtures.block("f", "i-1@1", at=rig.clock.now())
        rig.guard.add_peer_records([block], stand_in=True)
        rig.guard.set_shared_records([block])
        rig.clock.advance(5.0)
        rig.guard.decide()
        assert rig.shared.records == []

    def test_answer_of_a_suspected_request_is_shared(self, rig):
        rig.guard.set_shared_records(rig.others(1, 2))
        rig.answer()
        rig.settle()
        (record,) = rig.shared.records
        assert record.starts == ["i-1@1", "i-2@1"]
        rig.crash(3, "f")
        rig.settle()
        assert not rig.guard.blocked

    def test_task_decides_after_news(self, rig):
        task = gevent.spawn(rig.guard.run)
        for number in range(3):
            rig.crash(number, "f")
        with gevent.Timeout(5):
            while not rig.guard.blocked:
                gevent.sleep(0.01)
                rig.clock.advance(0.1)
        task.kill()


class TestRelease:
    def test_released_request_runs_again(self, rig):
        for number in range(3):
            rig.crash(number, "f")
        rig.settle()
        rig.clock.advance(5.0)
        (block,) = rig.guard.blocks()
        assert rig.guard.release(F).fingerprint == block.fingerprint
        assert not rig.is_refused()
        assert rig.guard.blocks() == []
        assert rig.shared.records[-1].released

    def test_release_holds_against_the_row_of_the_block(self, rig):
        """A daemon wrote its release, and read the block's row once more."""
        crashes = rig.others(1, 2, 3)
        block = crash_fixtures.block(
            "f", "i-1@1", "i-2@1", "i-3@1", at=rig.clock.now()
        )
        rig.guard.set_shared_records([*crashes, block])
        released = rig.guard.release(F)
        rig.guard.set_shared_records([*crashes, block])
        assert not rig.is_refused()
        rig.guard.set_shared_records([*crashes, released])
        rig.settle()
        assert not rig.is_refused()

    def test_other_daemons_are_told(self, rig):
        block = crash_fixtures.block("f", "i-1@1", at=rig.clock.now())
        rig.guard.set_shared_records([block])
        released = _crash_records.released_block(block, now=rig.clock.now())
        rig.guard.add_peer_records([released])
        assert not rig.is_refused()

    def test_it_is_blocked_again_after_three_crashes(self, rig):
        for number in range(3):
            rig.crash(number, "f")
        rig.settle()
        rig.guard.release(F)
        rig.clock.advance(60.0)
        for number in range(3, 6):
            rig.crash(number, "f")
        rig.settle()
        assert rig.is_refused()

    def test_nothing_to_release(self, rig):
        assert rig.guard.release(F) is None
        assert rig.shared.records == []
