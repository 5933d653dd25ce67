"""Listeners for the balancer's question and for scrapes of metrics."""

from collections.abc import Callable
from typing import Any
from typing import final

from gevent import pywsgi

from topazlug._generated import settings as _settings_types
from topazlug.forwarding import _options
from topazlug.telemetry import _metrics

_METRICS_PATH = "/metrics"


@final
class Probes:
    """Answers whoever asks how this daemon does.

    Parameters
    ----------
    options : ForwardingOptions
        Addresses, and the path of the balancer's question.
    is_ready : callable
        Says whether the balancer may send callers here.
    metrics : Metrics
        What scrapes get.
    """

    def __init__(
        self,
        *,
        options: _options.ForwardingOptions,
        is_ready: Callable[[], bool],
        metrics: _metrics.Metrics,
    ) -> None:
        self._health_path = options.health_path
        self._is_ready = is_ready
        self._metrics = metrics
        self._health = _listener(options.health, self._answer_health)
        self._scrapes = _listener(options.metrics, self._answer_scrape)

    def start(self) -> None:
        """Listen from now on."""
        self._health.start()
        self._scrapes.start()

    def stop(self) -> None:
        """Listen no more."""
        self._health.stop(timeout=0)
        self._scrapes.stop(timeout=0)

    @property
    def metrics_port(self) -> int:
        """Give the port of the metrics."""
        return int(self._scrapes.server_port)

    def _answer_health(self, environ: Any, start: Any) -> list[bytes]:
        found = environ["PATH_INFO"] == self._health_path
        status = "200 OK" if self._is_ready() else "503 Service Unavailable"
        start(status if found else "404 Not Found", [("Content-Length", "0")])
        return [b""]

    def _answer_scrape(self, environ: Any, start: Any) -> list[bytes]:
        if environ["PATH_INFO"] != _METRICS_PATH:
            start("404 Not Found", [("Content-Length", "0")])
            return [b""]
        body = self._metrics.exposition()
        headers = [("Content-Type", _metrics.CONTENT_TYPE)]
        start("200 OK", [*headers, ("Content-Length", str(len(body)))])
        return [body]


def _listener(
    address: _settings_types.AddressSettings, answer: Callable[..., Any]
) -> pywsgi.WSGIServer:
    return pywsgi.WSGIServer(
        (address.host, address.port),
        answer,
        log=None,
        error_log=None,
        # Without a name the library asks the resolver for one.
        environ={"SERVER_NAME": address.host},
    )
