"""Gauges of the replicas that a daemon has in its directory."""

from topazlug.targets import _targets
from topazlug.telemetry import _metrics


def watch(
    metrics: _metrics.Metrics, targets: _targets.TargetDirectory
) -> None:
    """Register gauges that count replicas whenever metrics are read."""
    gauge = _metrics.Gauge
    metrics.watch(gauge.KNOWN_REPLICAS, lambda: len(targets.target_by_replica))
    metrics.watch(gauge.COLD_REPLICAS, lambda: len(targets.cold_replicas()))
    metrics.watch(gauge.DRAINED_REPLICAS, lambda: len(targets.drained()))
    metrics.watch(
        gauge.LEAVING_REPLICAS, lambda: len(targets.reported_leaving())
    )
    metrics.watch(gauge.BACKOFF_REPLICAS, lambda: len(targets.in_backoff()))
    metrics.watch(gauge.BRITTLE_GROUPS, targets.brittle.brittle_count)
    metrics.watch(gauge.UNREACHED_REPLICAS, lambda: len(targets.unreachable()))
