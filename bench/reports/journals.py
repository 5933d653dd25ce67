"""Load and bound figures from the engines' journals, merged by time."""

import collections
import math
from typing import Iterator
from typing import final

import msgspec

from bench.reports import records

GONE = "gone"
LEAVING = "leaving"
START = "start"
_GRID_SECONDS = 0.05


class Event(msgspec.Struct, frozen=True):
    """One line of an engine's journal; `at` in seconds since the epoch."""

    at: float
    event: str
    running: int
    engine: str = ""


class Sample(msgspec.Struct, frozen=True):
    """Load that an engine reported at a time."""

    at: float
    engine: str
    running: int
    waiting: int


def load_limit(*, bound: float, total: int, engines: int) -> int:
    """Return the load that the bound allows on one engine.

    Parameters
    ----------
    bound : float
        Multiple of the mean.
    total : int
        Running on all engines, including the arriving request.
    engines : int
        Number of engines.
    """
    return max(1, math.ceil(bound * total / max(1, engines)))


@final
class _Pool:
    """Running counts of the engines at one time."""

    def __init__(self) -> None:
        self.running_by_engine: dict[str, int] = {}
        self._leaving: set[str] = set()

    def apply(self, event: Event) -> None:
        if event.event in (GONE, LEAVING):
            self.running_by_engine.pop(event.engine, None)
            self._leaving.discard(event.engine)
        if event.event == LEAVING:
            self._leaving.add(event.engine)
        if event.event in (GONE, LEAVING) or event.engine in self._leaving:
            return
        self.running_by_engine[event.engine] = event.running

    @property
    def total(self) -> int:
        return sum(self.running_by_engine.values())

    def limit(self, bound: float) -> int:
        return load_limit(
            bound=bound,
            total=self.total,
            engines=len(self.running_by_engine),
        )


@final
class _OverLimitIntervals:
    """Tracks how long each engine has been over the limit continuously."""

    def __init__(self) -> None:
        self._since: dict[str, float] = {}
        self.longest = 0.0

    def apply(self, pool: _Pool, *, limit: int, at: float) -> None:
        overloaded = {
            engine
            for engine, running in pool.running_by_engine.items()
            if running > limit
        }
        for engine in list(self._since):
            self.longest = max(self.longest, at - self._since[engine])
            if engine not in overloaded:
                del self._since[engine]
        for engine in overloaded:
            self._since.setdefault(engine, at)


def merge(events: list[Event]) -> list[Event]:
    """Order the events of all engines by time."""
    return sorted(events, key=lambda event: event.at)


def bound_figures(
    events: list[Event], *, bound: float, start: float, end: float
) -> records.BoundFigures:
    """Check each admission of a phase against the bound.

    Parameters
    ----------
    events : list of Event
        Events of the whole run, in order of time.
    bound : float
        Multiple of the mean.
    start, end : float
        Start and end of the phase in seconds since the epoch.
    """
    pool = _Pool()
    intervals = _OverLimitIntervals()
    over_by = collections.Counter[int]()
    admissions = 0
    for event in events:
        if event.at >= end:
            break
        pool.apply(event)
        if event.at < start:
            continue
        limit = pool.limit(bound)
        intervals.apply(pool, limit=limit, at=event.at)
        if event.event != START:
            continue
        admissions += 1
        excess = event.running - limit
        if excess > 0:
            over_by[excess] += 1
    count = max(1, admissions)
    count_over_by_two = sum(
        over_by[excess] for excess in over_by if excess >= 2
    )
    return records.BoundFigures(
        admissions=admissions,
        share_over=sum(over_by.values()) / count,
        share_over_by_two=count_over_by_two / count,
        largest=max(over_by, default=0),
        longest=intervals.longest,
        over_by=dict(over_by),
    )


def _sample_running(
    events: list[Event], *, start: float, end: float
) -> Iterator[list[int]]:
    pool = _Pool()
    at = start
    for event in events:
        while event.at > at and at < end:
            yield list(pool.running_by_engine.values())
            at += _GRID_SECONDS
        pool.apply(event)


def skew_figures(
    events: list[Event], *, start: float, end: float
) -> records.SkewFigures:
    """Return largest over mean running count, sampled every 50 ms."""
    return _skew(list(_sample_running(events, start=start, end=end)))


def sampled_skew(
    samples: list[Sample], *, start: float, end: float
) -> records.SkewFigures | None:
    """Return largest over mean load, including requests that wait.

    Returns
    -------
    SkewFigures or None
        None if the engines sent no load reports.
    """
    by_time: dict[int, dict[str, int]] = {}
    for sample in samples:
        if start <= sample.at < end:
            loads = by_time.setdefault(round(sample.at * 5), {})
            loads[sample.engine] = sample.running + sample.waiting
    rows = [list(loads.values()) for loads in by_time.values()]
    return _skew(rows) if rows else None


def _skew(rows: list[list[int]]) -> records.SkewFigures:
    ratios = []
    means = []
    for loads in rows:
        mean = sum(loads) / max(1, len(loads))
        means.append(mean)
        if mean > 0:
            ratios.append(max(loads) / mean)
    return records.SkewFigures(
        mean=sum(ratios) / max(1, len(ratios)),
        worst=max(ratios, default=0.0),
        mean_load=sum(means) / max(1, len(means)),
    )
