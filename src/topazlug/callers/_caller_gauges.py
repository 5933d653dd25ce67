"""Gauges and totals of the callers' listener, read at each scrape."""

from topazlug.callers import _caller_server
from topazlug.telemetry import _metrics


def watch(
    metrics: _metrics.Metrics, server: _caller_server.CallersServer
) -> None:
    """Register the gauges and totals of a listener and its budget."""
    gauge, total = _metrics.Gauge, _metrics.Total
    budget = server.budget
    metrics.watch(gauge.CONNECTIONS, lambda: server.connections)
    metrics.watch(gauge.CALLERS_HELD, lambda: budget.held)
    metrics.watch(gauge.CALLERS_HELD_LIMIT, lambda: budget.limit)
    metrics.watch(total.GAVE_WAY, lambda: budget.evicted)
    metrics.watch(total.CONNECTIONS_CLOSED_UNREAD, lambda: server.refused)
    metrics.watch(total.IDLE_CONNECTIONS_CLOSED, lambda: server.evicted)
    metrics.watch(
        total.STALLED_CONNECTIONS_CLOSED, lambda: server.stalled.given_up
    )
