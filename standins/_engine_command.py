"""Command that runs a model engine."""

import os
import time
from typing import TextIO

import click

from standins import _engine
from standins import _generation
from standins import _http
from standins import _registration


@click.command()
@click.option("--port", default=0)
@click.option("--id", "engine_id", required=True)
@click.option("--pool", required=True)
@click.option("--zone", default="zone-1")
@click.option("--region", default="region-1")
@click.option("--platform", default="", help="host:port.")
@click.option("--slots", default=8)
@click.option("--prefix-cache-tokens", default=100_000)
@click.option("--prefill-tokens-per-second", default=10_000.0)
@click.option("--token-interval", default=0.01, help="Seconds.")
@click.option("--token-interval-per-running", default=0.0, help="Seconds.")
@click.option("--load-lag", default=0.0, help="Seconds.")
@click.option("--resume-grace", default=2.0, help="Seconds.")
@click.option("--incarnation", type=int, help="Default: now in ms.")
@click.option("--journal", type=click.File("a"), help="JSON lines.")
@click.option("--max-seconds", default=3600.0)
def engine(
    port: int,
    engine_id: str,
    pool: str,
    zone: str,
    region: str,
    platform: str,
    slots: int,
    prefix_cache_tokens: int,
    prefill_tokens_per_second: float,
    token_interval: float,
    token_interval_per_running: float,
    load_lag: float,
    resume_grace: float,
    incarnation: int | None,
    journal: TextIO | None,
    max_seconds: float,
) -> None:
    """Run one replica of a model."""
    registration = _registration.Registration(
        platform=platform,
        instance={
            "id": engine_id,
            "kind": "engine",
            "group": pool,
            "host": _http.HOST,
            "port": port,
            "zone": zone,
            "region": region,
            "state": "live",
            "incarnation": incarnation or int(time.time() * 1000),
            "slots": slots,
        },
    )
    settings = _generation.Settings(
        slots=slots,
        prefix_cache_tokens=prefix_cache_tokens,
        prefill_tokens_per_second=prefill_tokens_per_second,
        token_interval=token_interval,
        token_interval_per_running=token_interval_per_running,
        load_lag=load_lag,
        resume_grace=resume_grace,
    )
    made = _engine.Engine(
        settings=settings,
        registration=registration,
        journal_file=journal,
        crash=lambda: os._exit(1),
    )
    server = _http.server(made.answer, port)
    registration.instance["port"] = server.server_port
    registration.start()
    _http.run_until_stopped(server.server_port, max_seconds, registration.stop)
