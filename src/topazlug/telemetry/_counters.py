"""Counters by labels that are cheap to increment."""

from __future__ import annotations

from collections.abc import Iterator
from collections.abc import Sequence
import time
from typing import TYPE_CHECKING
from typing import final

from topazlug import _lazy_module
from topazlug.telemetry import _batches

if TYPE_CHECKING:
    from opentelemetry.sdk.metrics import export
    from prometheus_client import core
else:
    export = _lazy_module.LazyModule("opentelemetry.sdk.metrics.export")
    core = _lazy_module.LazyModule("prometheus_client.core")


@final
class Counter:
    """A counter by labels.

    Parameters
    ----------
    name, description : str
        Name and description of the metric, as in OpenTelemetry.
    labels : sequence of str
        Names of the labels.
    """

    def __init__(
        self, *, name: str, description: str, labels: Sequence[str]
    ) -> None:
        self._name = name
        self._description = description
        self._labels = tuple(labels)
        self._started = time.time_ns()
        self._counts_by_values: dict[tuple[str, ...], int] = {}

    def add(self, values: tuple[str, ...], count: int = 1) -> None:
        """Increase the count of these label values."""
        current = self._counts_by_values.get(values, 0)
        self._counts_by_values[values] = current + count

    def families(self) -> Iterator[core.Metric]:
        """Yield the counts as parts of one Prometheus family."""
        for batch in _batches.split(self._counts_by_values):
            family = core.CounterMetricFamily(
                name=self._name.replace(".", "_"),
                documentation=self._description,
                labels=self._labels,
            )
            for values in batch:
                family.add_metric(values, self._counts_by_values[values])
            yield family

    def metrics(self) -> Iterator[export.Metric]:
        """Yield the counts as parts of one OpenTelemetry metric."""
        for batch in _batches.split(self._counts_by_values):
            points = [self._point(values) for values in batch]
            yield export.Metric(
                name=self._name,
                description=self._description,
                unit="",
                data=export.Sum(
                    data_points=points,
                    aggregation_temporality=(
                        export.AggregationTemporality.CUMULATIVE
                    ),
                    is_monotonic=True,
                ),
            )

    def _point(self, values: tuple[str, ...]) -> export.NumberDataPoint:
        return export.NumberDataPoint(
            attributes=dict(zip(self._labels, values)),
            start_time_unix_nano=self._started,
            time_unix_nano=time.time_ns(),
            value=self._counts_by_values[values],
        )
