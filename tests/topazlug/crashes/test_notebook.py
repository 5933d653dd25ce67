"""What a daemon keeps of notes, its own and those of others."""

import datetime

import pytest

from tests.topazlug import claim_fakes
from tests.topazlug.crashes import crash_fixtures as fixtures
from topazlug import _ids
from topazlug.crashes import _notebook
from topazlug.crashes import _notes
from topazlug.targets import _target
from topazlug.targets import _target_runs


@pytest.fixture
def clock():
    return claim_fakes.FakeClock()


@pytest.fixture
def book(clock):
    return _notebook.Notebook(daemon=_ids.DaemonId("d1"), clock=clock)


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
    start = _target.ReplicaProcess(_ids.ReplicaId(f"i-{number}"), 1)
    return book.note_crash(start, fixtures.GROUP, runs, replicas=5)


class TestSources:
    def test_own_shared_and_told_notes_count_together(self, book, clock):
        own_crash(book, 1)
        book.take_shared(crashes(clock, 2))
        book.take_told(crashes(clock, 3))
        assert book.evidence.count_of("f") == 3
        assert set(book.evidence.causes()) == {"f"}

    def test_note_counts_once_wherever_it_is_from(self, book, clock):
        crash = own_crash(book, 1)
        book.take_told([crash])
        book.take_shared([crash])
        assert book.evidence.count_of("f") == 1

    def test_own_note_counts_until_its_row_is_seen(self, book, clock):
        """A daemon wrote that a replica crashed, and forgot it again.

        A read of the table that had begun before the row was written came
        back after it. What waits to be written must outlast such a read.
        """
        crash = own_crash(book, 1)
        book.take_shared([])
        assert book.evidence.count_of("f") == 1
        book.take_shared([crash])
        book.take_shared([])
        assert book.evidence.count_of("f") == 0

    def test_witness_is_who_had_the_request_there(self, book, clock):
        book.take_shared(crashes(clock, 1, daemon="d2"))
        assert not book.is_witness("f")
        own_crash(book, 2)
        assert book.is_witness("f")


class TestBlock:
    def test_block_holds_what_led_to_it(self, book, clock):
        book.take_shared(crashes(clock, 1, 2, 3))
        (block,) = book.block(book.evidence.causes())
        assert block.starts == ["i-1@1", "i-2@1", "i-3@1"]
        assert book.evidence.is_blocked("f")
        assert not book.evidence.causes()

    def test_block_of_another_daemon_is_enough(self, book, clock):
        book.take_shared(crashes(clock, 1, 2, 3))
        (own,) = book.block(book.evidence.causes())
        assert not book.is_shared(own)
        others = fixtures.block("f", "i-1@1", "i-2@1", at=clock.now())
        book.take_shared([*crashes(clock, 1, 2, 3), others])
        assert book.is_shared(own)

    def test_release_goes_before_the_own_block(self, book, clock):
        notes = crashes(clock, 1, 2, 3)
        book.take_shared(notes)
        (own,) = book.block(book.evidence.causes())
        book.take_shared([*notes, own])
        released = fixtures.block(
            "f", *own.starts, at=clock.now(), released=True
        )
        book.take_shared([*notes, released])
        assert not book.evidence.is_blocked("f")
        assert not book.evidence.causes()

    def test_released_request_is_blocked_anew(self, book, clock):
        old = fixtures.block("f", "i-1@1", at=clock.now(), released=True)
        clock.advance(10.0)
        book.take_shared([old, *crashes(clock, 4, 5, 6)])
        (block,) = book.block(book.evidence.causes())
        book.take_shared([old, *crashes(clock, 4, 5, 6)])
        assert book.evidence.is_blocked("f")
        assert not book.is_shared(block)


class TestAnswered:
    def test_request_that_nothing_counts_against_is_not_noted(self, book):
        book.note_answered(_ids.Fingerprint("f"))
        assert book.cleared() == []

    def test_answer_is_told_before_one_more_crash_would_block(
        self, book, clock
    ):
        """A read that succeeds most of the time was refused for a day.

        It ran on three replicas when they crashed, hours apart, and was
        answered thousands of times in between. Each daemon knew of answers
        of its own only.
        """
        book.take_shared(crashes(clock, 1))
        book.note_answered(_ids.Fingerprint("f"))
        assert book.cleared() == []
        book.take_shared(crashes(clock, 1, 2))
        (note,) = book.cleared()
        assert note.starts == ["i-1@1", "i-2@1"]
        assert book.evidence.count_of("f") == 0
        assert book.cleared() == []

    def test_answer_long_ago_says_nothing_of_later_crashes(self, book, clock):
        before = crashes(clock, 1)
        book.take_shared(before)
        book.note_answered(_ids.Fingerprint("f"))
        clock.advance(61.0)
        book.take_shared([*before, *crashes(clock, 2)])
        (note,) = book.cleared()
        assert note.starts == ["i-1@1"]
        assert book.evidence.count_of("f") == 1

    def test_clearing_keeps_what_was_cleared_before(self, book, clock):
        book.take_shared(
            [*crashes(clock, 1, 2, 3), fixtures.answered("f", "i-1@1")]
        )
        book.note_answered(_ids.Fingerprint("f"))
        (note,) = book.cleared()
        assert note.starts == ["i-1@1", "i-2@1", "i-3@1"]


class TestBounds:
    def test_notes_lapse_after_a_day(self, book, clock):
        book.take_shared(crashes(clock, 1, 2, 3))
        clock.advance(_notes.LASTING / datetime.timedelta(seconds=1) + 1)
        book.take_told([])
        assert book.evidence.count_of("f") == 0
        assert sorted(book.surplus()) == [
            "crash/i-1@1/d2",
            "crash/i-2@1/d2",
            "crash/i-3@1/d2",
        ]

    def test_oldest_notes_go_first(self, book, clock):
        notes = []
        for number in range(_notebook.MOST_CRASHES + 50):
            clock.advance(1.0)
            notes += crashes(clock, number, name=f"f{number}")
        book.take_shared(notes)
        assert book.evidence.count_of("f0") == 0
        assert book.evidence.count_of("f60") == 1
        assert len(book.surplus()) == 50

    def test_suspects_are_bounded(self, book, clock):
        notes = []
        for number in range(200):
            clock.advance(1.0)
            suspects = [(f"f{number}-{m}", "a") for m in range(64)]
            notes.append(
                fixtures.crash(f"i-{number}@1", *suspects, at=clock.now())
            )
        book.take_shared(notes)
        kept = [n for n in range(200) if book.evidence.count_of(f"f{n}-0")]
        assert len(kept) * 64 == _notebook.MOST_SUSPECTS
        assert kept[-1] == 199

    def test_own_notes_are_bounded_while_the_store_is_away(self, book, clock):
        for number in range(_notebook.MOST_CRASHES + 50):
            clock.advance(1.0)
            own_crash(book, number, name=f"f{number}")
        assert book.evidence.count_of("f10") == 0
        assert book.evidence.count_of("f299") == 1

    def test_answered_requests_push_no_block_out(self, book, clock):
        block = fixtures.block("f", "i-1@1", at=clock.now())
        clock.advance(1.0)
        answers = [
            fixtures.answered(f"f{n}", "i-1@1", at=clock.now())
            for n in range(_notebook.MOST_BLOCKS + 50)
        ]
        book.take_shared([block, *answers])
        assert book.evidence.is_blocked("f")
        assert len(book.surplus()) == 50
