"""Latency that one daemon adds to a call, and its throughput per core.

All measurements use the same stand-in engines in the same run. Calls sent
to an engine directly are the baseline for the calls through the daemon.
"""

from gevent import monkey

monkey.patch_all()

# flake8: noqa: E402
from collections.abc import Callable
import json
import os
import pathlib
import platform
import random
import sys
import time
from typing import Any
from typing import final

import click
import gevent
from gevent import subprocess
import msgspec
import psutil  # type: ignore[import-untyped]

from bench.fleets import deployment as _deployment
from bench.fleets import fleet as _fleet
from bench.load import stream_client

_TEAM = "bench"
_KEY = "bench-key-of-one-team"
_MODEL = "bench-model"
_WARM_UP_SECONDS = 3.0
_SETTLE_SECONDS = 2.0
_SERVICE = "bench-service"


@final
class Sample(msgspec.Struct, kw_only=True):
    """Resources that a daemon used in an interval, in cores and bytes."""

    seconds: float
    cores: float
    resident: int


def _make_deployment(
    engines: int, *, interval: float
) -> _deployment.Deployment:
    """Return a deployment whose engines are never the bottleneck."""
    return _deployment.Deployment(
        name="stream-cost",
        region="bench",
        zones=["bench-a"],
        daemons=1,
        pools=[
            _deployment.Pool(
                name="bench",
                model=_MODEL,
                replicas=engines,
                slots=1000,
                bound=10,
            )
        ],
        services=[
            _deployment.Service(name=_SERVICE, replicas=engines, slots=1000)
        ],
        teams=[_deployment.Team(name=_TEAM, key=_KEY)],
        engine=_deployment.Engine(token_interval=interval),
        settings={"logs": {"format": "json", "level": "warning"}},
    )


def _measure(pid: int, work: Callable[[], None]) -> Sample:
    """Run `work` and return what a process used in the meantime."""
    process = psutil.Process(pid)
    before = process.cpu_times()
    started_at = time.monotonic()
    work()
    seconds = time.monotonic() - started_at
    after = process.cpu_times()
    processor_seconds = after.user + after.system - before.user - before.system
    return Sample(
        seconds=seconds,
        cores=processor_seconds / seconds,
        resident=process.memory_info().rss,
    )


def _percentile(values: list[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _latency(fleet: _fleet.Fleet, calls: int) -> dict[str, Any]:
    """Compare single calls through the daemon with direct calls."""
    engine = stream_client.Address(port=fleet.engines[0].port, key="")
    daemon = stream_client.Address(
        port=fleet.daemons[0].callers_port, key=_KEY
    )
    figures_by_name: dict[str, Any] = {}
    answers_by_path: dict[str, list[stream_client.StreamTimes]] = {
        "direct": [],
        "daemon": [],
    }
    for number in range(calls):
        order = [("direct", engine), ("daemon", daemon)]
        if number % 2:
            order.reverse()
        for name, address in order:
            body = stream_client.chat_body(_MODEL, f"q {number}", tokens=2)
            answers_by_path[name].append(stream_client.stream(address, body))
    for name, answers in answers_by_path.items():
        first = [answer.first for answer in answers]
        total = [answer.total for answer in answers]
        for share in (0.5, 0.95):
            label = f"p{share * 100:.0f}"
            figures_by_name[f"{name} first {label} ms"] = 1e3 * _percentile(
                first, share
            )
            figures_by_name[f"{name} total {label} ms"] = 1e3 * _percentile(
                total, share
            )
    for metric in ("first", "total"):
        for label in ("p50", "p95"):
            key = f"{metric} {label} ms"
            figures_by_name[f"added {key}"] = (
                figures_by_name[f"daemon {key}"]
                - figures_by_name[f"direct {key}"]
            )
    return figures_by_name


def _load(
    fleet: _fleet.Fleet,
    *,
    kind: str,
    clients: int,
    workers: int,
    seconds: float,
    tokens: int,
) -> dict[str, Any]:
    """Measure the daemon under load from separate client processes."""
    daemon = fleet.daemons[0]
    command = [
        sys.executable,
        "-m",
        "bench.load.stream_client",
        *("--port", str(daemon.callers_port)),
        *("--key", _KEY, "--model", _MODEL, "--service", _SERVICE),
        *("--kind", kind, "--clients", str(clients // workers)),
        *("--tokens", str(tokens)),
        *("--seconds", str(seconds + 2 * _WARM_UP_SECONDS)),
    ]
    started = [
        subprocess.Popen(command, stdout=subprocess.PIPE)
        for _ in range(workers)
    ]
    time.sleep(_WARM_UP_SECONDS)
    before = _counts(daemon)
    sample = _measure(daemon.process.pid, lambda: gevent.sleep(seconds))
    after = _counts(daemon)
    outputs = [process.communicate()[0] for process in started]
    answers = [json.loads(output) for output in outputs]
    rates = [(b - a) / sample.seconds for a, b in zip(before, after)]
    return {
        "clients": clients,
        "requests a second": rates[0],
        "pieces relayed a second": rates[1],
        "tokens a second": rates[0] * tokens,
        "daemon's cores": sample.cores,
        "requests a core-second": rates[0] / sample.cores,
        "tokens a core-second": rates[0] * tokens / sample.cores,
        "resident MB": sample.resident / 1e6,
        "failed": sum(answer["failed"] for answer in answers),
        "load average": os.getloadavg()[0],
    }


def _counts(daemon: _fleet.DaemonProcess) -> tuple[float, float]:
    """Return the daemon's counts of answered requests and token gaps."""
    text = _fleet.get(f"{daemon.administration_url}/metrics").decode()
    requests = gaps = 0.0
    for line in text.splitlines():
        if line.startswith("topazlug_requests_total"):
            requests += float(line.split()[-1])
        if line.startswith("topazlug_between_tokens_duration_seconds_count"):
            gaps += float(line.split()[-1])
    return requests, gaps


def _open_streams(fleet: _fleet.Fleet, count: int) -> dict[str, Any]:
    """Measure the memory of each of many concurrently open streams."""
    daemon = fleet.daemons[0]
    pid = daemon.process.pid
    idle_resident = psutil.Process(pid).memory_info().rss
    address = stream_client.Address(port=daemon.callers_port, key=_KEY)
    streams_held = [
        stream_client.open_chat(
            address,
            stream_client.chat_body(
                _MODEL, f"open {number} {random.random()}", tokens=3000
            ),
        )
        for number in range(count)
    ]
    readers = [gevent.spawn(stream_client.drain, one) for one in streams_held]
    gevent.sleep(_SETTLE_SECONDS)
    sample = _measure(pid, lambda: gevent.sleep(5.0))
    open_now = sum(not reader.ready() for reader in readers)
    for one in streams_held:
        one.close()
    gevent.joinall(readers, timeout=5.0)
    gevent.sleep(_SETTLE_SECONDS)
    return {
        "streams open": open_now,
        "resident at rest MB": idle_resident / 1e6,
        "resident with streams MB": sample.resident / 1e6,
        "bytes a stream": (sample.resident - idle_resident) / count,
        "daemon's cores": sample.cores,
        "resident afterwards MB": psutil.Process(pid).memory_info().rss / 1e6,
    }


def _print_figures(title: str, figures_by_name: dict[str, Any]) -> None:
    click.echo(f"\n{title}")
    for name, value in figures_by_name.items():
        click.echo(f"  {name:<28} {value:>12.3f}")


@click.command()
@click.option("--engines", default=6)
@click.option("--workers", default=4, help="Number of client processes.")
@click.option(
    "--calls", default=300, help="Pairs of calls for the latency comparison."
)
@click.option("--seconds", default=8.0, help="Duration of each load step.")
@click.option(
    "--streams", default=500, help="Number of concurrently open streams."
)
@click.option("--output", type=click.Path(path_type=pathlib.Path))
def main(
    engines: int,
    workers: int,
    calls: int,
    seconds: float,
    streams: int,
    output: pathlib.Path | None,
) -> None:
    """Measure one daemon and print the results."""
    figures: dict[str, Any] = {
        "machine": {
            "cores": float(os.cpu_count() or 0),
            "load average before": os.getloadavg()[0],
        }
    }
    click.echo(f"python {platform.python_version()}")
    _print_figures("machine", figures["machine"])
    with _fleet.Fleet(_make_deployment(engines, interval=0.01)) as fleet:
        steps: list[tuple[str, Callable[[], dict[str, Any]]]] = [
            ("single calls", lambda: _latency(fleet, calls)),
            ("open streams", lambda: _open_streams(fleet, streams)),
        ]
        for kind, clients, tokens in _STEPS:
            title = f"{kind}, {clients} clients, {tokens} tokens"
            steps.append(
                (
                    title,
                    _make_load_step(
                        fleet, kind, clients, tokens, workers, seconds
                    ),
                )
            )
        for title, step in steps:
            figures[title] = step()
            _print_figures(title, figures[title])
    if output is not None:
        output.write_text(json.dumps(figures, indent=1))


_STEPS = (
    ("service", 12, 0),
    ("service", 48, 0),
    ("chat", 24, 1),
    ("chat", 96, 1),
    ("chat", 60, 200),
    ("chat", 120, 200),
    ("chat", 240, 200),
)


def _make_load_step(
    fleet: _fleet.Fleet,
    kind: str,
    clients: int,
    tokens: int,
    workers: int,
    seconds: float,
) -> Callable[[], dict[str, Any]]:
    return lambda: _load(
        fleet,
        kind=kind,
        clients=clients,
        workers=workers,
        seconds=seconds,
        tokens=tokens,
    )


if __name__ == "__main__":
    main()
