"""Histograms by team and request class that are cheap to update.

Counts are stored in lists of integers, and converted to OpenTelemetry data
points or Prometheus families only when a reader collects them.
"""

from __future__ import annotations

import bisect
from collections.abc import Iterator
from collections.abc import Sequence
import itertools
import math
import time
from typing import TYPE_CHECKING
from typing import final

from topazlug import _ids
from topazlug import _lazy_module
from topazlug._generated import table
from topazlug.telemetry import _batches

if TYPE_CHECKING:
    from opentelemetry.sdk.metrics import export
    from prometheus_client import core
else:
    export = _lazy_module.LazyModule("opentelemetry.sdk.metrics.export")
    core = _lazy_module.LazyModule("prometheus_client.core")

OTHER_TEAM = "other"

_SeriesKey = tuple[str, table.RequestClass]


@final
class TeamLabels:
    """Assigns label values to teams, up to a maximum number of teams.

    Parameters
    ----------
    cap : int
        Maximum number of teams with series of their own. The first teams
        seen keep theirs permanently: if a team lost its series, its counts
        would decrease, and a scraper takes a decreasing count for a restart.
    """

    def __init__(self, *, cap: int) -> None:
        self._cap = cap
        self._teams_with_series: set[str] = set()

    def team_label(self, team: str) -> str:
        """Return the label value of a team: its name, or ``other``."""
        if team in self._teams_with_series:
            return team
        if len(self._teams_with_series) >= self._cap:
            return OTHER_TEAM
        self._teams_with_series.add(team)
        return team


@final
class _Series:
    __slots__ = ("counts", "largest", "smallest", "total")

    def __init__(self, buckets: int) -> None:
        self.counts = [0] * buckets
        self.total = 0.0
        self.smallest = math.inf
        self.largest = -math.inf


@final
class Histogram:
    """A histogram of durations by team and request class.

    Parameters
    ----------
    name, description : str
        Name and description of the metric, as in OpenTelemetry.
    bounds : sequence of float
        Upper bounds of the buckets in seconds, ascending. One more bucket
        counts longer durations.
    teams : TeamLabels
        Label values of the teams.
    """

    def __init__(
        self,
        *,
        name: str,
        description: str,
        bounds: Sequence[float],
        teams: TeamLabels,
    ) -> None:
        self._name = name
        self._description = description
        self._bounds = tuple(bounds)
        self._team_labels = teams
        self._started = time.time_ns()
        self._series_by_key: dict[_SeriesKey, _Series] = {}

    def observe(
        self,
        team: _ids.TeamName,
        request_class: table.RequestClass,
        seconds: float,
    ) -> None:
        """Record one duration."""
        series = self._series_by_key.get((team, request_class))
        if series is None:
            series = self._get_or_add_series(team, request_class)
        series.counts[bisect.bisect_left(self._bounds, seconds)] += 1
        series.total += seconds
        if seconds > series.largest:
            series.largest = seconds
        if seconds < series.smallest:
            series.smallest = seconds

    def _get_or_add_series(
        self, team: _ids.TeamName, request_class: table.RequestClass
    ) -> _Series:
        key = (self._team_labels.team_label(team), request_class)
        series = self._series_by_key.get(key)
        if series is None:
            series = _Series(len(self._bounds) + 1)
            self._series_by_key[key] = series
        return series

    def families(self) -> Iterator[core.HistogramMetricFamily]:
        """Yield the counts as parts of one Prometheus family.

        Yields
        ------
        prometheus_client.core.HistogramMetricFamily
            One batch of series, read when the batch is requested.
        """
        for batch in _batches.split(self._series_by_key):
            yield self._family(batch)

    def _family(
        self, keys: Sequence[_SeriesKey]
    ) -> core.HistogramMetricFamily:
        family = core.HistogramMetricFamily(
            name=self._name.replace(".", "_") + "_seconds",
            documentation=self._description,
            labels=("team", "class"),
        )
        names = [str(bound) for bound in self._bounds] + ["+Inf"]
        for team, request_class in keys:
            series = self._series_by_key[team, request_class]
            family.add_metric(
                labels=(team, request_class.value),
                buckets=list(zip(names, itertools.accumulate(series.counts))),
                sum_value=series.total,
            )
        return family

    def metrics(self) -> Iterator[export.Metric]:
        """Yield the counts as parts of one OpenTelemetry metric."""
        for batch in _batches.split(self._series_by_key):
            points = [self._point(key) for key in batch]
            yield export.Metric(
                name=self._name,
                description=self._description,
                unit="s",
                data=export.Histogram(
                    data_points=points,
                    aggregation_temporality=(
                        export.AggregationTemporality.CUMULATIVE
                    ),
                ),
            )

    def _point(self, key: _SeriesKey) -> export.HistogramDataPoint:
        team, request_class = key
        series = self._series_by_key[key]
        return export.HistogramDataPoint(
            attributes={"team": team, "class": request_class.value},
            start_time_unix_nano=self._started,
            time_unix_nano=time.time_ns(),
            count=sum(series.counts),
            sum=series.total,
            bucket_counts=tuple(series.counts),
            explicit_bounds=self._bounds,
            min=series.smallest,
            max=series.largest,
        )
