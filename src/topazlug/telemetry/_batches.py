"""Splits what is handed out at once, so that no collection blocks for long.

At the cap of teams a collection covers thousands of series. Handed over at
one go they hold up every stream of the daemon, which callers see as a gap
between tokens at each scrape or push. Parts of a few series take a few
milliseconds, and other greenlets run between them.
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
# Not 0: a pause of 0 lets only those greenlets run that are ready already,
# and leaves what has arrived on sockets meanwhile unread.
PAUSE_SECONDS = 0.001

_Item = TypeVar("_Item")


class Instrument(Protocol):
    """What keeps its own series."""

    def families(self) -> Iterator[core.Metric]:
        """Give parts of one Prometheus family."""

    def metrics(self) -> Iterator[export.Metric]:
        """Give parts of one OpenTelemetry metric."""


def split(items: Collection[_Item]) -> Iterator[Sequence[_Item]]:
    """Split a collection; what joins it meanwhile is left out."""
    snapshot = list(items)
    for start in range(0, len(snapshot), BATCH_SERIES):
        yield snapshot[start : start + BATCH_SERIES]
