"""Command that runs the platform."""

import click

from standins import _http
from standins import _platform


@click.command()
@click.option("--port", default=0)
@click.option("--list-lag", default=0.0, help="Seconds.")
@click.option("--writes-per-second", default=0.0, help="0 for no limit.")
@click.option("--max-seconds", default=3600.0)
def platform(
    port: int, list_lag: float, writes_per_second: float, max_seconds: float
) -> None:
    """Run the table service, object store and instance list."""
    made = _platform.Platform(
        list_lag=list_lag, writes_per_second=writes_per_second
    )
    server = _http.server(made.answer, port)
    _http.run_until_stopped(server.server_port, max_seconds)
