"""Renders many series in the Prometheus text format, in batches."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING
from typing import final

import gevent

from topazlug import _lazy_module
from topazlug.telemetry import _batches

if TYPE_CHECKING:
    import prometheus_client
    from prometheus_client import core
else:
    prometheus_client = _lazy_module.LazyModule("prometheus_client")
    core = _lazy_module.LazyModule("prometheus_client.core")

COMMENT = b"#"


@final
class _SingleFamilyCollector:
    def __init__(self, family: core.Metric) -> None:
        self._family = family

    def collect(self) -> list[core.Metric]:
        return [self._family]


def render_text(families: Iterable[core.Metric]) -> bytes:
    """Render families, and let other greenlets run in between.

    Parameters
    ----------
    families : iterable of prometheus_client.core.Metric
        Consecutive ones with the same name are parts of one family.

    Returns
    -------
    bytes
        The text, with one header for each family.
    """
    parts = []
    last_name = ""
    for family in families:
        text = prometheus_client.generate_latest(
            _SingleFamilyCollector(family)
        )
        if family.name == last_name:
            text = _strip_header(text)
        last_name = family.name
        parts.append(text)
        gevent.sleep(_batches.PAUSE_SECONDS)
    return b"".join(parts)


def _strip_header(text: bytes) -> bytes:
    lines = text.splitlines(keepends=True)
    return b"".join(line for line in lines if not line.startswith(COMMENT))
