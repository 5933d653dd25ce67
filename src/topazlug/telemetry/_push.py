"""Pushes metrics by OTLP in batches."""

from collections.abc import Iterator
from collections.abc import Sequence
from typing import Any
from typing import final

import gevent
from opentelemetry.sdk.metrics import export as sdk_export
from opentelemetry.sdk.util import instrumentation

from topazlug.telemetry import _batches

TIMEOUT_SECONDS = 5.0
SCOPE = instrumentation.InstrumentationScope("topazlug")


def create_reader(
    *,
    endpoint: str,
    interval: float,
    instruments: Sequence[_batches.Instrument],
) -> sdk_export.MetricReader:
    """Start to push metrics at intervals.

    Parameters
    ----------
    endpoint : str
        URL that accepts OTLP over HTTP.
    interval : float
        Seconds between pushes.
    instruments : sequence of Instrument
        Instruments to push besides the SDK's own.

    Returns
    -------
    opentelemetry.sdk.metrics.export.MetricReader
        The reader for the meter provider; its shutdown ends the pushes.
    """
    # Imported only if metrics are pushed: with its encoder the module takes
    # 2 MB of the 64 MB that a daemon may use.
    from opentelemetry.exporter.otlp.proto.http import metric_exporter

    inner = metric_exporter.OTLPMetricExporter(
        endpoint=endpoint, timeout=TIMEOUT_SECONDS
    )
    return sdk_export.PeriodicExportingMetricReader(
        BatchingExporter(inner, instruments=instruments),
        export_interval_millis=interval * 1000,
    )


@final
class BatchingExporter(sdk_export.MetricExporter):
    """Sends the SDK's metrics, then the other instruments in batches.

    Parameters
    ----------
    inner : MetricExporter
        Sends one batch.
    instruments : sequence of Instrument
        The other instruments.
    """

    def __init__(
        self,
        inner: sdk_export.MetricExporter,
        *,
        instruments: Sequence[_batches.Instrument],
    ) -> None:
        super().__init__()
        self._inner = inner
        self._instruments = instruments

    def export(
        self,
        metrics_data: sdk_export.MetricsData,
        timeout_millis: float = 10_000,
        **kwargs: Any,
    ) -> sdk_export.MetricExportResult:
        """Send all batches until one fails."""
        for batch in self._split(metrics_data):
            result = self._inner.export(batch, timeout_millis=timeout_millis)
            # Each batch has its own timeout, so going on after a failure
            # would take minutes if the endpoint does not respond.
            if result is not sdk_export.MetricExportResult.SUCCESS:
                return result
            gevent.sleep(_batches.PAUSE_SECONDS)
        return sdk_export.MetricExportResult.SUCCESS

    def force_flush(self, timeout_millis: float = 10_000) -> bool:
        """Return True, as nothing is buffered."""
        return True

    def shutdown(self, timeout_millis: float = 30_000, **kwargs: Any) -> None:
        """Close the connection."""
        self._inner.shutdown(timeout_millis=timeout_millis)

    def _split(
        self, collected: sdk_export.MetricsData
    ) -> Iterator[sdk_export.MetricsData]:
        yield collected
        resource = collected.resource_metrics[0].resource
        for instrument in self._instruments:
            for metric in instrument.metrics():
                scope = sdk_export.ScopeMetrics(
                    scope=SCOPE, metrics=[metric], schema_url=""
                )
                resource_metrics = sdk_export.ResourceMetrics(
                    resource=resource, scope_metrics=[scope], schema_url=""
                )
                yield sdk_export.MetricsData(
                    resource_metrics=[resource_metrics]
                )
