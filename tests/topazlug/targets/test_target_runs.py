"""What runs on a target, and how its runs end."""

import pytest

from tests.topazlug import claim_fakes
from tests.topazlug.forwarding import forwarding_fixtures as fixtures
from topazlug import _ids
from topazlug.targets import _target
from topazlug.targets import _target_runs

ENDS = _target_runs.RunEnd
TARGET = fixtures.target("i-1")
START = _target.process_of(TARGET)


@pytest.fixture
def clock():
    return claim_fakes.FakeClock()


@pytest.fixture
def book(clock):
    return _target_runs.RunTracker(clock=clock)


def begin(book, name="f1", target=TARGET):
    return book.begin(
        target,
        fingerprint=_ids.Fingerprint(name),
        attempt=f"of {name}",
    )


class TestRuns:
    def test_run_in_progress(self, book):
        run = begin(book)
        assert book.running(START) == [run]
        assert book.broken(START, seconds=1.0) == []

    @pytest.mark.parametrize("end", [ENDS.WHOLE, ENDS.NOT_RUN])
    def test_run_that_ended_well_is_forgotten(self, book, end):
        book.finish(begin(book), end, status=200)
        assert book.running(START) == []
        assert book.broken(START, seconds=1.0) == []

    @pytest.mark.parametrize("end", [ENDS.LOST, ENDS.SILENT, ENDS.LEFT])
    def test_broken_run_is_kept_for_a_while(self, book, clock, end):
        run = begin(book)
        book.finish(run, end)
        clock.advance(0.5)
        assert book.broken(START, seconds=1.0) == [run]
        clock.advance(1.0)
        assert book.broken(START, seconds=1.0) == []

    def test_first_end_counts(self, book):
        ended = []
        book.on_end(ended.append)
        run = begin(book)
        book.finish(run, ENDS.WHOLE, status=200)
        book.finish(run, ENDS.LEFT)
        assert (run.end, ended) == (ENDS.WHOLE, [run])

    def test_starts_of_a_replica_are_kept_apart(self, book):
        again = fixtures.target("i-1", incarnation=2)
        run = begin(book, target=again)
        assert book.running(START) == []
        assert book.running(_target.process_of(again)) == [run]

    def test_what_is_kept_is_bounded(self, book, clock):
        for _ in range(200):
            book.finish(begin(book), ENDS.LOST)
        assert len(book.broken(START, seconds=1.0)) == 64
        clock.advance(_target_runs.RETENTION_SECONDS + 1)
        other = fixtures.target("i-2")
        book.finish(begin(book, target=other), ENDS.LOST)
        assert book.broken(START, seconds=_target_runs.RETENTION_SECONDS) == []

    @pytest.mark.parametrize(
        "end, status, is_success",
        [
            (ENDS.WHOLE, 200, True),
            (ENDS.WHOLE, 204, True),
            (ENDS.WHOLE, 500, False),
            (ENDS.LOST, 200, False),
        ],
    )
    def test_success_is_a_whole_answer(self, book, end, status, is_success):
        run = begin(book)
        book.finish(run, end, status=status)
        assert run.is_success is is_success
