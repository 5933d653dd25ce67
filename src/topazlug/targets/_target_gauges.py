"""What a daemon shows of the replicas that it knows."""

from topazlug.targets import _targets
from topazlug.telemetry import _metrics


def watch(
    metrics: _metrics.Metrics, targets: _targets.TargetDirectory
) -> None:
    """Have replicas counted whenever metrics are read."""
    gauge = _metrics.Gauge
    metrics.watch(gauge.KNOWN_REPLICAS, lambda: len(targets.target_by_replica))
    metrics.watch(gauge.COLD_REPLICAS, lambda: len(targets.cold_replicas()))
    metrics.watch(gauge.DRAINED_REPLICAS, lambda: len(targets.drained()))
    metrics.watch(
        gauge.LEAVING_REPLICAS, lambda: len(targets.reported_leaving())
    )
    metrics.watch(gauge.BACKOFF_REPLICAS, lambda: len(targets.in_backoff()))
    metrics.watch(gauge.UNREACHED_REPLICAS, lambda: len(targets.unreachable()))
