"""Crash records that a daemon retains, its own and those of others."""

import datetime

import pytest

from tests.topazlug import claim_fakes
from tests.topazlug.crashes import crash_fixtures as fixtures
from topazlug import _ids
from topazlug.crashes import _crash_history
from topazlug.crashes import _crash_records
from topazlug.crashes import _record_retention
from topazlug.targets import _target
from topazlug.targets import _target_runs


@pytest.fixture
def clock():
    return claim_fakes.FakeClock()


@pytest.fixture
def history(clock):
    return _crash_history.CrashHistory(daemon=_ids.DaemonId("d1"), clock=clock)


def crashes(clock, *numbers, name="f", daemon="d2"):
    return [
        fixtures.crash(
            f"i-{n}@1", (name, f"{name}{n}"), daemon=daemon, at=clock.now()
        )
        for n in numbers
    ]


def add_own_crash(history, number, name="f"):
    runs = [
        _target_runs.Run(
            target=None,
            fingerprint=_ids.Fingerprint(name),
            attempt=f"{name}{number}",
            began_at=0.0,
        )
    ]
    process = _target.ReplicaProcess(_ids.ReplicaId(f"i-{number}"), 1)
    return history.add_crash(process, fixtures.GROUP, runs, replicas=5)


def answer(history, name="f"):
    """Let a request get a complete answer."""
    run = _target_runs.Run(
        target=None,
        fingerprint=_ids.Fingerprint(name),
        attempt="answered",
        began_at=0.0,
        end=_target_runs.RunEnd.COMPLETE,
        status=200,
    )
    history.handle_end(run)


class TestSources:
    def test_own_shared_and_peer_records_are_combined(self, history, clock):
        add_own_crash(history, 1)
        history.set_shared_records(crashes(clock, 2))
        history.add_peer_records(crashes(clock, 3))
        assert history.analysis.crash_count_of("f") == 3
        (cause,) = history.analysis.causes()
        assert cause.members == {"f"}

    def test_record_from_several_sources_counts_once(self, history, clock):
        crash = add_own_crash(history, 1)
        history.add_peer_records([crash])
        history.set_shared_records([crash])
        assert history.analysis.crash_count_of("f") == 1

    def test_own_record_counts_until_its_row_is_read(self, history, clock):
        """A daemon lost its own record while the row was being written.

        A read of the table that began before the write may return after it.
        Records that are not in the table yet must survive such a read.
        """
        crash = add_own_crash(history, 1)
        history.set_shared_records([])
        assert history.analysis.crash_count_of("f") == 1
        history.set_shared_records([crash])
        history.set_shared_records([])
        assert history.analysis.crash_count_of("f") == 0

    def test_has_own_crash_only_if_it_recorded_one(self, history, clock):
        history.set_shared_records(crashes(clock, 1, daemon="d2"))
        assert not history.has_own_crash("f")
        add_own_crash(history, 2)
        assert history.has_own_crash("f")


class TestBlock:
    def test_block_lists_the_crashes_that_led_to_it(self, history, clock):
        history.set_shared_records(crashes(clock, 1, 2, 3))
        (block,) = history.block(history.analysis.causes())
        assert block.starts == ["i-1@1", "i-2@1", "i-3@1"]
        assert history.analysis.is_blocked("f")
        assert not history.analysis.causes()

    def test_block_of_another_daemon_covers_own_block(self, history, clock):
        history.set_shared_records(crashes(clock, 1, 2, 3))
        (own,) = history.block(history.analysis.causes())
        assert not history.is_in_table(own)
        others = fixtures.block("f", "i-1@1", "i-2@1", at=clock.now())
        history.set_shared_records([*crashes(clock, 1, 2, 3), others])
        assert history.is_in_table(own)

    def test_release_overrides_own_block(self, history, clock):
        records = crashes(clock, 1, 2, 3)
        history.set_shared_records(records)
        (own,) = history.block(history.analysis.causes())
        history.set_shared_records([*records, own])
        released = fixtures.block(
            "f", *own.starts, at=clock.now(), released=True
        )
        history.set_shared_records([*records, released])
        assert not history.analysis.is_blocked("f")
        assert not history.analysis.causes()

    def test_released_request_is_blocked_again(self, history, clock):
        old = fixtures.block("f", "i-1@1", at=clock.now(), released=True)
        clock.advance(10.0)
        history.set_shared_records([old, *crashes(clock, 4, 5, 6)])
        (block,) = history.block(history.analysis.causes())
        history.set_shared_records([old, *crashes(clock, 4, 5, 6)])
        assert history.analysis.is_blocked("f")
        assert not history.is_in_table(block)


class TestAnswered:
    def test_answer_of_unsuspected_request_is_not_recorded(self, history):
        answer(history)
        assert history.add_clearances(publishes=lambda fingerprint: True) == []

    def test_answer_is_published_before_one_more_crash_would_block(
        self, history, clock
    ):
        """A read that usually succeeds was blocked for a day.

        It was running on three replicas when they crashed, hours apart, and
        was answered thousands of times in between. Each daemon had only its
        own answers.
        """
        history.set_shared_records(crashes(clock, 1))
        answer(history)
        assert history.add_clearances(publishes=lambda fingerprint: True) == []
        history.set_shared_records(crashes(clock, 1, 2))
        (record,) = history.add_clearances(publishes=lambda fingerprint: True)
        assert record.starts == ["i-1@1", "i-2@1"]
        assert history.analysis.crash_count_of("f") == 0
        assert history.add_clearances(publishes=lambda fingerprint: True) == []

    def test_old_answer_does_not_clear_later_crashes(self, history, clock):
        before = crashes(clock, 1)
        history.set_shared_records(before)
        answer(history)
        clock.advance(61.0)
        history.set_shared_records([*before, *crashes(clock, 2)])
        (record,) = history.add_clearances(publishes=lambda fingerprint: True)
        assert record.starts == ["i-1@1"]
        assert history.analysis.crash_count_of("f") == 1

    def test_clearance_keeps_earlier_clearances(self, history, clock):
        history.set_shared_records(
            [*crashes(clock, 1, 2, 3), fixtures.answered("f", "i-1@1")]
        )
        answer(history)
        (record,) = history.add_clearances(publishes=lambda fingerprint: True)
        assert record.starts == ["i-1@1", "i-2@1", "i-3@1"]


class TestBounds:
    def test_records_expire_after_a_day(self, history, clock):
        history.set_shared_records(crashes(clock, 1, 2, 3))
        clock.advance(
            _crash_records.RETENTION / datetime.timedelta(seconds=1) + 1
        )
        history.add_peer_records([])
        assert history.analysis.crash_count_of("f") == 0
        assert sorted(history.obsolete_keys()) == [
            "crash/i-1@1/d2",
            "crash/i-2@1/d2",
            "crash/i-3@1/d2",
        ]

    def test_oldest_records_are_discarded_first(self, history, clock):
        records = []
        for number in range(_record_retention.MAX_CRASHES + 50):
            clock.advance(1.0)
            records += crashes(clock, number, name=f"f{number}")
        history.set_shared_records(records)
        assert history.analysis.crash_count_of("f0") == 0
        assert history.analysis.crash_count_of("f60") == 1
        assert len(history.obsolete_keys()) == 50

    def test_suspects_are_bounded(self, history, clock):
        records = []
        for number in range(200):
            clock.advance(1.0)
            suspects = [(f"f{number}-{m}", "a") for m in range(64)]
            records.append(
                fixtures.crash(f"i-{number}@1", *suspects, at=clock.now())
            )
        history.set_shared_records(records)
        retained = [
            n for n in range(200) if history.analysis.crash_count_of(f"f{n}-0")
        ]
        assert len(retained) * 64 == _record_retention.MAX_SUSPECTS
        assert retained[-1] == 199

    def test_own_records_are_bounded_during_a_store_outage(
        self, history, clock
    ):
        for number in range(_record_retention.MAX_CRASHES + 50):
            clock.advance(1.0)
            add_own_crash(history, number, name=f"f{number}")
        assert history.analysis.crash_count_of("f10") == 0
        assert history.analysis.crash_count_of("f299") == 1

    def test_answered_requests_do_not_evict_blocks(self, history, clock):
        block = fixtures.block("f", "i-1@1", at=clock.now())
        clock.advance(1.0)
        answers = [
            fixtures.answered(f"f{n}", "i-1@1", at=clock.now())
            for n in range(_record_retention.MAX_ANSWERED + 50)
        ]
        history.set_shared_records([block, *answers])
        assert history.analysis.is_blocked("f")
        assert len(history.obsolete_keys()) == 50
