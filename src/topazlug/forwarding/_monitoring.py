"""Listeners for readiness checks and for scrapes of metrics."""

from collections.abc import Callable
from typing import Any
from typing import final

from topazlug._generated import settings as _settings_types
from topazlug.callers import _caller_server
from topazlug.callers import _memory_budget
from topazlug.forwarding import _options
from topazlug.telemetry import _metrics

_METRICS_PATH = "/metrics"
_MAX_CONNECTIONS = 64


@final
class MonitoringListeners:
    """Answers readiness checks and scrapes of metrics.

    Parameters
    ----------
    options : ForwardingOptions
        Addresses, and the path of readiness checks.
    is_ready : callable
        Returns whether the load balancer may send requests here.
    metrics : Metrics
        Metrics returned by scrapes.
    budget : MemoryBudget
        What all listeners together may be made to hold.
    """

    def __init__(
        self,
        *,
        options: _options.ForwardingOptions,
        is_ready: Callable[[], bool],
        metrics: _metrics.Metrics,
        budget: _memory_budget.MemoryBudget,
    ) -> None:
        self._health_path = options.health_path
        self._is_ready = is_ready
        self._metrics = metrics
        self._readiness_server = _new_server(
            options.health, self._answer_readiness, budget
        )
        self._metrics_server = _new_server(
            options.metrics, self._answer_metrics, budget
        )

    def start(self) -> None:
        """Start both listeners."""
        self._readiness_server.start()
        self._metrics_server.start()

    def stop(self) -> None:
        """Stop both listeners."""
        self._readiness_server.stop(timeout=0)
        self._metrics_server.stop(timeout=0)

    @property
    def metrics_port(self) -> int:
        """Return the port that serves metrics."""
        return int(self._metrics_server.server_port)

    def _answer_readiness(
        self, environ: Any, start_response: Any
    ) -> list[bytes]:
        found = environ["PATH_INFO"] == self._health_path
        status = "200 OK" if self._is_ready() else "503 Service Unavailable"
        start_response(
            status if found else "404 Not Found", [("Content-Length", "0")]
        )
        return [b""]

    def _answer_metrics(
        self, environ: Any, start_response: Any
    ) -> list[bytes]:
        if environ["PATH_INFO"] != _METRICS_PATH:
            start_response("404 Not Found", [("Content-Length", "0")])
            return [b""]
        body = self._metrics.exposition()
        headers = [("Content-Type", _metrics.CONTENT_TYPE)]
        start_response(
            "200 OK", [*headers, ("Content-Length", str(len(body)))]
        )
        return [body]


def _new_server(
    address: _settings_types.AddressSettings,
    answer: Callable[..., Any],
    budget: _memory_budget.MemoryBudget,
) -> _caller_server.InternalServer:
    return _caller_server.InternalServer(
        address=address,
        app=answer,
        max_connections=_MAX_CONNECTIONS,
        budget=budget,
    )
