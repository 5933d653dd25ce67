"""Tests of the figures computed from the engines' journals."""

import pytest

from bench.reports import journals


def _start(at: float, running: int, engine: str) -> journals.Event:
    return journals.Event(at, journals.START, running, engine)


@pytest.fixture
def unbalanced_events() -> list[journals.Event]:
    """Return events of an engine that runs three and one that runs one."""
    return [
        _start(1.0, 1, "a"),
        _start(1.1, 1, "b"),
        _start(1.2, 2, "a"),
        _start(1.3, 3, "a"),
    ]


class TestLimit:
    def test_rounds_up(self) -> None:
        assert journals.load_limit(bound=1.5, total=5, engines=2) == 4

    def test_is_never_below_one(self) -> None:
        assert journals.load_limit(bound=1.25, total=0, engines=6) == 1


class TestBound:
    def test_admission_over_the_bound_is_counted(
        self, unbalanced_events: list[journals.Event]
    ) -> None:
        figures = journals.bound_figures(
            unbalanced_events, bound=1.25, start=1.15, end=2.0
        )
        assert (figures.admissions, figures.largest) == (2, 0)
        figures = journals.bound_figures(
            unbalanced_events, bound=1.0, start=1.15, end=2.0
        )
        assert figures.share_over == 0.5

    def test_events_before_the_phase_are_not_counted(
        self, unbalanced_events: list[journals.Event]
    ) -> None:
        figures = journals.bound_figures(
            unbalanced_events, bound=1.0, start=1.4, end=2.0
        )
        assert figures.admissions == 0

    def test_longest_time_over_the_bound(
        self, unbalanced_events: list[journals.Event]
    ) -> None:
        events = unbalanced_events + [
            journals.Event(1.8, "end", 2, "a"),
            journals.Event(1.9, "end", 1, "a"),
        ]
        figures = journals.bound_figures(
            events, bound=1.0, start=1.15, end=2.0
        )
        assert figures.longest == pytest.approx(0.5)

    def test_engine_that_leaves_is_no_longer_counted(
        self, unbalanced_events: list[journals.Event]
    ) -> None:
        events = unbalanced_events + [
            journals.Event(1.4, journals.LEAVING, 0, "b"),
            journals.Event(1.5, "end", 0, "b"),
            _start(1.6, 4, "a"),
        ]
        figures = journals.bound_figures(
            events, bound=1.0, start=1.45, end=2.0
        )
        assert (figures.admissions, figures.largest) == (1, 0)

    def test_engine_that_restarted_is_counted_again(
        self, unbalanced_events: list[journals.Event]
    ) -> None:
        events = unbalanced_events + [
            journals.Event(1.4, journals.GONE, 0, "b"),
            _start(1.5, 1, "b"),
            _start(1.6, 4, "a"),
        ]
        figures = journals.bound_figures(
            events, bound=1.0, start=1.55, end=2.0
        )
        assert figures.largest == 1


class TestSkew:
    def test_is_the_ratio_of_largest_to_mean(
        self, unbalanced_events: list[journals.Event]
    ) -> None:
        events = unbalanced_events + [journals.Event(3.0, "end", 2, "a")]
        figures = journals.skew_figures(events, start=1.5, end=2.5)
        assert figures.mean == pytest.approx(1.5)
        assert figures.mean_load == pytest.approx(2.0)

    def test_waiting_requests_are_included(self) -> None:
        samples = [
            journals.Sample(1.0, "a", 2, 4),
            journals.Sample(1.0, "b", 2, 0),
        ]
        figures = journals.sampled_skew(samples, start=0.5, end=1.5)
        assert figures is not None
        assert figures.worst == pytest.approx(1.5)

    def test_is_none_without_load_reports(self) -> None:
        assert journals.sampled_skew([], start=0.0, end=1.0) is None
