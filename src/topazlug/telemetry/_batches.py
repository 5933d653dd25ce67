"""Splits the series of a metric, so that no collection blocks for long.

With the maximum number of teams a collection covers thousands of series.
Processing them in one step would block all streams of the daemon, and callers
would see a gap between tokens at each scrape or push. A batch of a few series
takes a few milliseconds, and other greenlets run between batches.
"""

from __future__ import annotations

from collections.abc import Collection
from collections.abc import Iterator
from collections.abc import Sequence
from typing import Protocol
from typing import TYPE_CHECKING
from typing import TypeVar

from topazlug import _lazy_module

if TYPE_CHECKING:
    from opentelemetry.sdk.metrics import export
    from prometheus_client import core
else:
    export = _lazy_module.LazyModule("opentelemetry.sdk.metrics.export")
    core = _lazy_module.LazyModule("prometheus_client.core")


BATCH_SERIES = 10
# A pause of 0 would run only greenlets that are ready, without polling the
# sockets for data that has arrived meanwhile.
PAUSE_SECONDS = 0.001

_Item = TypeVar("_Item")


class Instrument(Protocol):
    """A metric that stores its own series."""

    def families(self) -> Iterator[core.Metric]:
        """Yield the series in batches, as parts of a Prometheus family."""

    def metrics(self) -> Iterator[export.Metric]:
        """Yield the series in batches, as parts of an OpenTelemetry metric."""


def split(items: Collection[_Item]) -> Iterator[Sequence[_Item]]:
    """Split a collection into batches; items added later are left out."""
    snapshot = list(items)
    for start in range(0, len(snapshot), BATCH_SERIES):
        yield snapshot[start : start + BATCH_SERIES]
