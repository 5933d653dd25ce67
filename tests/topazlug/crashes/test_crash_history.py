"""What a daemon keeps of notes, its own and those of others."""

import datetime

import pytest

from tests.topazlug import claim_fakes
from tests.topazlug.crashes import crash_fixtures as fixtures
from topazlug import _ids
from topazlug.crashes import _crash_history
from topazlug.crashes import _crash_records
from topazlug.targets import _target
from topazlug.targets import _target_runs


@pytest.fixture
def clock():
    return claim_fakes.FakeClock()


@pytest.fixture
def book(clock):
    return _crash_history.CrashHistory(daemon=_ids.DaemonId("d1"), clock=clock)


def crashes(clock, *numbers, name="f", daemon="d2"):
    return [
        fixtures.crash(
            f"i-{n}@1", (name, f"{name}{n}"), daemon=daemon, at=clock.now()
        )
        for n in numbers
    ]


def own_crash(book, number, name="f"):
    runs = [
        _target_runs.Run(
            target=None,
            fingerprint=_ids.Fingerprint(name),
            attempt=f"{name}{number}",
            began_at=0.0,
        )
    ]
    start = _target.Start(_ids.ReplicaId(f"i-{number}"), 1)
    return book.add_crash(start, fixtures.GROUP, runs, replicas=5)


class TestSources:
    def test_own_shared_and_told_notes_count_together(self, book, clock):
        own_crash(book, 1)
        book.set_shared_records(crashes(clock, 2))
        book.add_peer_records(crashes(clock, 3))
        assert book.analysis.crash_count_of("f") == 3
        assert set(book.analysis.causes()) == {"f"}

    def test_note_counts_once_wherever_it_is_from(self, book, clock):
        crash = own_crash(book, 1)
        book.add_peer_records([crash])
        book.set_shared_records([crash])
        assert book.analysis.crash_count_of("f") == 1

    def test_own_note_counts_until_its_row_is_seen(self, book, clock):
        """A daemon wrote that a replica crashed, and forgot it again.

        A read of the table that had begun before the row was written came
        back after it. What waits to be written must outlast such a read.
        """
        crash = own_crash(book, 1)
        book.set_shared_records([])
        assert book.analysis.crash_count_of("f") == 1
        book.set_shared_records([crash])
        book.set_shared_records([])
        assert book.analysis.crash_count_of("f") == 0

    def test_witness_is_who_had_the_request_there(self, book, clock):
        book.set_shared_records(crashes(clock, 1, daemon="d2"))
        assert not book.has_own_crash("f")
        own_crash(book, 2)
        assert book.has_own_crash("f")


class TestBlock:
    def test_block_holds_what_led_to_it(self, book, clock):
        book.set_shared_records(crashes(clock, 1, 2, 3))
        (block,) = book.block(book.analysis.causes())
        assert block.starts == ["i-1@1", "i-2@1", "i-3@1"]
        assert book.analysis.is_blocked("f")
        assert not book.analysis.causes()

    def test_block_of_another_daemon_is_enough(self, book, clock):
        book.set_shared_records(crashes(clock, 1, 2, 3))
        (own,) = book.block(book.analysis.causes())
        assert not book.is_in_table(own)
        others = fixtures.block("f", "i-1@1", "i-2@1", at=clock.now())
        book.set_shared_records([*crashes(clock, 1, 2, 3), others])
        assert book.is_in_table(own)

    def test_release_goes_before_the_own_block(self, book, clock):
        records = crashes(clock, 1, 2, 3)
        book.set_shared_records(records)
        (own,) = book.block(book.analysis.causes())
        book.set_shared_records([*records, own])
        released = fixtures.block(
            "f", *own.starts, at=clock.now(), released=True
        )
        book.set_shared_records([*records, released])
        assert not book.analysis.is_blocked("f")
        assert not book.analysis.causes()

    def test_released_request_is_blocked_anew(self, book, clock):
        old = fixtures.block("f", "i-1@1", at=clock.now(), released=True)
        clock.advance(10.0)
        book.set_shared_records([old, *crashes(clock, 4, 5, 6)])
        (block,) = book.block(book.analysis.causes())
        book.set_shared_records([old, *crashes(clock, 4, 5, 6)])
        assert book.analysis.is_blocked("f")
        assert not book.is_in_table(block)


class TestAnswered:
    def test_request_that_nothing_counts_against_is_not_noted(self, book):
        book.add_answered(_ids.Fingerprint("f"))
        assert book.add_clearances() == []

    def test_answer_is_told_before_one_more_crash_would_block(
        self, book, clock
    ):
        """A read that succeeds most of the time was refused for a day.

        It ran on three replicas when they crashed, hours apart, and was
        answered thousands of times in between. Each daemon knew of answers
        of its own only.
        """
        book.set_shared_records(crashes(clock, 1))
        book.add_answered(_ids.Fingerprint("f"))
        assert book.add_clearances() == []
        book.set_shared_records(crashes(clock, 1, 2))
        (record,) = book.add_clearances()
        assert record.starts == ["i-1@1", "i-2@1"]
        assert book.analysis.crash_count_of("f") == 0
        assert book.add_clearances() == []

    def test_answer_long_ago_says_nothing_of_later_crashes(self, book, clock):
        before = crashes(clock, 1)
        book.set_shared_records(before)
        book.add_answered(_ids.Fingerprint("f"))
        clock.advance(61.0)
        book.set_shared_records([*before, *crashes(clock, 2)])
        (record,) = book.add_clearances()
        assert record.starts == ["i-1@1"]
        assert book.analysis.crash_count_of("f") == 1

    def test_clearing_keeps_what_was_cleared_before(self, book, clock):
        book.set_shared_records(
            [*crashes(clock, 1, 2, 3), fixtures.answered("f", "i-1@1")]
        )
        book.add_answered(_ids.Fingerprint("f"))
        (record,) = book.add_clearances()
        assert record.starts == ["i-1@1", "i-2@1", "i-3@1"]


class TestBounds:
    def test_notes_lapse_after_a_day(self, book, clock):
        book.set_shared_records(crashes(clock, 1, 2, 3))
        clock.advance(
            _crash_records.RETENTION / datetime.timedelta(seconds=1) + 1
        )
        book.add_peer_records([])
        assert book.analysis.crash_count_of("f") == 0
        assert sorted(book.obsolete_keys()) == [
            "crash/i-1@1/d2",
            "crash/i-2@1/d2",
            "crash/i-3@1/d2",
        ]

    def test_oldest_notes_go_first(self, book, clock):
        records = []
        for number in range(_crash_history.MAX_CRASHES + 50):
            clock.advance(1.0)
            records += crashes(clock, number, name=f"f{number}")
        book.set_shared_records(records)
        assert book.analysis.crash_count_of("f0") == 0
        assert book.analysis.crash_count_of("f60") == 1
        assert len(book.obsolete_keys()) == 50

    def test_suspects_are_bounded(self, book, clock):
        records = []
        for number in range(200):
            clock.advance(1.0)
            suspects = [(f"f{number}-{m}", "a") for m in range(64)]
            records.append(
                fixtures.crash(f"i-{number}@1", *suspects, at=clock.now())
            )
        book.set_shared_records(records)
        kept = [
            n for n in range(200) if book.analysis.crash_count_of(f"f{n}-0")
        ]
        assert len(kept) * 64 == _crash_history.MAX_SUSPECTS
        assert kept[-1] == 199

    def test_own_notes_are_bounded_while_the_store_is_away(self, book, clock):
        for number in range(_crash_history.MAX_CRASHES + 50):
            clock.advance(1.0)
            own_crash(book, number, name=f"f{number}")
        assert book.analysis.crash_count_of("f10") == 0
        assert book.analysis.crash_count_of("f299") == 1

    def test_answered_requests_push_no_block_out(self, book, clock):
        block = fixtures.block("f", "i-1@1", at=clock.now())
        clock.advance(1.0)
        answers = [
            fixtures.answered(f"f{n}", "i-1@1", at=clock.now())
            for n in range(_crash_history.MAX_BLOCKS + 50)
        ]
        book.set_shared_records([block, *answers])
        assert book.analysis.is_blocked("f")
        assert len(book.obsolete_keys()) == 50
