"""Gauges and totals of a forwarding daemon, read at each scrape."""

from collections.abc import Callable

from topazlug.callers import _caller_gauges
from topazlug.callers import _caller_server
from topazlug.crashes import _crash_guard
from topazlug.delegation import _delegator
from topazlug.fleet import _fleet
from topazlug.forwarding import _app
from topazlug.forwarding import _table
from topazlug.placement import _over_bound_reads
from topazlug.placement import _read_search
from topazlug.targets import _replica_paths
from topazlug.targets import _target_gauges
from topazlug.targets import _targets
from topazlug.telemetry import _metrics
from topazlug.versions import _stream_versions


def watch(
    metrics: _metrics.Metrics,
    *,
    app: _app.ForwardingApp,
    callers: _caller_server.CallersServer,
    tables: _table.TableHolder,
    targets: _targets.TargetDirectory,
    paths: _replica_paths.ReplicaPaths,
    delegator: _delegator.Delegator,
    fleet: _fleet.Fleet,
    guard: _crash_guard.CrashGuard,
    versions: _stream_versions.StreamVersions,
    read_placements: _read_search.ReadPlacements,
    over_bound_reads: _over_bound_reads.OverBoundReads,
    fairness_rejections: Callable[[], int],
    late_requests: Callable[[], int],
) -> None:
    """Register the gauges and totals of a daemon with its metrics."""
    _target_gauges.watch(metrics, targets)
    _caller_gauges.watch(metrics, callers)
    gauge = _metrics.Gauge
    metrics.watch(gauge.IN_FLIGHT, lambda: len(app.requests))
    metrics.watch(gauge.REVISION, lambda: tables.version)
    metrics.watch(gauge.TABLE_AGE, lambda: fleet.table_age)
    metrics.watch(gauge.MEMBERS, lambda: fleet.size)
    metrics.watch(gauge.BLOCKED, lambda: guard.blocked)
    metrics.watch(_metrics.Total.BLOCK_TRIALS, lambda: guard.trials.count)
    metrics.watch(gauge.CUT_OFF, lambda: len(paths.cut_groups()))
    total = _metrics.Total
    metrics.watch(total.CUTS, lambda: paths.cut_count)
    metrics.watch(total.DELEGATED, lambda: delegator.sent_count)
    metrics.watch(total.NOT_DELEGATED, lambda: delegator.refused_count)
    metrics.watch(total.SERVED_FOR_OTHERS, lambda: app.delegated_count)
    metrics.watch(gauge.STREAMS_REMEMBERED, lambda: versions.remembered_count)
    metrics.watch(total.STREAMS_TAKEN_UP, lambda: versions.taken_up_count)
    metrics.watch(total.STREAMS_NOT_TAKEN_UP, lambda: versions.refused_count)
    metrics.watch(total.STREAM_MESSAGES, lambda: versions.message_count)
    metrics.watch(total.FAIRNESS_REJECTIONS, fairness_rejections)
    metrics.watch(total.LATE_REQUESTS, late_requests)
    metrics.watch(total.CONTROL_SENT, lambda: fleet.bytes_sent)
    metrics.watch(total.CONTROL_RECEIVED, lambda: fleet.bytes_received)
    metrics.watch(total.MOVED_READS, lambda: read_placements.moved_count)
    metrics.watch(total.STALLING_READS, lambda: read_placements.stalling_count)
    metrics.watch(total.OVER_BOUND_READS, lambda: over_bound_reads.count)
