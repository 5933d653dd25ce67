"""Gauges of the replicas that a daemon owns."""

from collections.abc import Callable
from collections.abc import Mapping

from topazlug import _ids
from topazlug.routing import _context_recoveries
from topazlug.routing import _outcome_ejection
from topazlug.telemetry import _metrics

# Limits divided by this or more are at least halved.
_HALVED = 2.0


def watch(
    metrics: _metrics.Metrics,
    slowness_by_replica: Callable[[], Mapping[_ids.ReplicaId, float]],
    ejections: _outcome_ejection.OutcomeEjections,
) -> None:
    """Register gauges of slow replicas and of ejections.

    Parameters
    ----------
    metrics : Metrics
        Metrics of the daemon.
    slowness_by_replica : callable
        Returns what the limits of each owned replica are divided by.
    ejections : OutcomeEjections
        Ejections of owned replicas.
    """
    metrics.watch(
        _metrics.Gauge.SLOW_REPLICAS,
        lambda: sum(
            slowness >= _HALVED for slowness in slowness_by_replica().values()
        ),
    )
    metrics.watch(
        _metrics.Gauge.MAX_SLOWNESS,
        lambda: max(slowness_by_replica().values(), default=1.0),
    )
    metrics.watch(_metrics.Gauge.EJECTED_REPLICAS, ejections.ejected_replicas)
    metrics.watch(_metrics.Total.EJECTIONS, lambda: ejections.ejection_count)


def watch_recoveries(
    metrics: _metrics.Metrics,
    recoveries: _context_recoveries.ContextRecoveries,
) -> None:
    """Register totals of the contexts learnt after changes of owners.

    Parameters
    ----------
    metrics : Metrics
        Metrics of the daemon.
    recoveries : ContextRecoveries
        Recoveries of the replicas that it owns.
    """
    total = _metrics.Total
    metrics.watch(total.CONTEXT_LISTS, lambda: recoveries.list_count)
    metrics.watch(
        total.CONTEXT_LISTS_GIVEN_UP, lambda: recoveries.given_up_count
    )
    metrics.watch(total.RECOVERED_CONTEXTS, lambda: recoveries.context_count)
    metrics.watch(
        total.RECOVERED_DISPLACED, lambda: recoveries.displaced_count
    )
