"""Measures resource usage of daemons in real fleets, idle and under load."""

from collections.abc import Callable
from concurrent import futures
from http import HTTPStatus
import math
import os
import pathlib
import statistics
import subprocess
import sys
import time
from typing import final

import click
import msgspec
import psutil  # type: ignore[import-untyped]

from bench.fleets import deployment as _deployment
from bench.fleets import fleet as _fleet
from bench.fleets import fleet_calls

_EXAMPLE = pathlib.Path("examples/kuehlfach.yaml")
_ENGINES = 20
_POLLERS = 6
_READY_SECONDS = 180.0
_FLEET_AT_ONCE = 40
_WATCH_SECONDS = 60.0
_WORKER_RATE = 60.0
_TEAMS_AT_ONCE = 1000
_OTHER_KEYS = 2**40
_SENT = "topazlug_control_sent_bytes_total"
_RECEIVED = "topazlug_control_received_bytes_total"
_MEMBERS = "topazlug_members"
_REVISION = "topazlug_configuration_revision"


@final
class Sample(msgspec.Struct, kw_only=True):
    """Readings of one daemon at one time."""

    processor: float
    sent: float
    received: float


@final
class Usage(msgspec.Struct, kw_only=True):
    """Resource usage of the daemons in a window, mean and maximum."""

    processor: float
    highest_processor: float
    sent: float
    received: float
    highest_bytes: float
    resident: float
    unique: float
    highest_resident: float
    links: float


def _metric(daemon: _fleet.DaemonProcess, name: str) -> float:
    text = _fleet.get(f"{daemon.administration_url}/metrics").decode()
    found = [
        float(line.rsplit(" ", 1)[1])
        for line in text.splitlines()
        if line.startswith((f"{name} ", f"{name}{{"))
    ]
    return sum(found)


def _control_bytes(daemon: _fleet.DaemonProcess) -> tuple[float, float]:
    return _metric(daemon, _SENT), _metric(daemon, _RECEIVED)


def _processor_seconds(daemon: _fleet.DaemonProcess) -> float:
    times = psutil.Process(daemon.process.pid).cpu_times()
    return float(times.user + times.system)


def _map_daemons(
    daemons: list[_fleet.DaemonProcess],
    function: Callable[[_fleet.DaemonProcess], object],
) -> list[object]:
    with futures.ThreadPoolExecutor(_POLLERS) as pool:
        return list(pool.map(function, daemons))


def _count_links(daemon: _fleet.DaemonProcess, peer_ports: set[int]) -> int:
    return sum(
        connection.status == psutil.CONN_ESTABLISHED
        and (
            connection.laddr.port in peer_ports
            or connection.raddr.port in peer_ports
        )
        for connection in psutil.Process(daemon.process.pid).net_connections(
            "tcp"
        )
    )


def _measure_usage(
    fleet: _fleet.Fleet, work: Callable[[], None]
) -> tuple[Usage, float]:
    daemons = fleet.daemons
    # Metrics are scraped outside the interval in which processor time is
    # measured: one scrape costs a daemon as much as a second of idling.
    bytes_before = [_control_bytes(daemon) for daemon in daemons]
    bytes_at = time.monotonic()
    processor_before = [_processor_seconds(daemon) for daemon in daemons]
    started = time.monotonic()
    work()
    seconds = time.monotonic() - started
    processor = [
        (_processor_seconds(daemon) - before) / seconds
        for daemon, before in zip(daemons, processor_before)
    ]
    bytes_seconds = time.monotonic() - bytes_at
    byte_rates = [
        ((now[0] - old[0]) / bytes_seconds, (now[1] - old[1]) / bytes_seconds)
        for now, old in zip(map(_control_bytes, daemons), bytes_before)
    ]
    memory = [
        psutil.Process(daemon.process.pid).memory_full_info()
        for daemon in daemons
    ]
    ports = {daemon.peers_port for daemon in daemons}
    links = [_count_links(daemon, ports) for daemon in daemons[:5]]
    usage = Usage(
        processor=statistics.mean(processor),
        highest_processor=max(processor),
        sent=statistics.mean(sent for sent, _ in byte_rates),
        received=statistics.mean(received for _, received in byte_rates),
        highest_bytes=max(max(pair) for pair in byte_rates),
        resident=statistics.mean(found.rss for found in memory),
        unique=statistics.mean(found.uss for found in memory),
        highest_resident=max(found.rss for found in memory),
        links=statistics.mean(links),
    )
    return usage, seconds


def _print_usage(what: str, usage: Usage) -> None:
    click.echo(
        f"| {what} | {usage.processor:.2%} ({usage.highest_processor:.2%}) "
        f"| {usage.sent / 1e3:.2f} / {usage.received / 1e3:.2f} "
        f"({usage.highest_bytes / 1e3:.2f}) "
        f"| {usage.resident / 1e6:.1f} ({usage.highest_resident / 1e6:.1f}) "
        f"| {usage.unique / 1e6:.1f} | {usage.links:.0f} "
        f"| {os.getloadavg()[0]:.1f} |"
    )


def _load(
    fleet: _fleet.Fleet, *, rate: float, tokens: int, seconds: float
) -> str:
    ports = [str(daemon.callers_port) for daemon in fleet.daemons]
    workers = math.ceil(rate * len(ports) / _WORKER_RATE)
    team = fleet.deployment.teams[0]
    processes = [
        subprocess.Popen(
            [
                *(sys.executable, "-m", "bench.capacity.capacity_load"),
                *("--key", team.key, "--tokens", str(tokens)),
                *("--model", fleet.deployment.pools[0].model),
                *("--rate", str(rate), "--seconds", str(seconds)),
                *ports[number::workers],
            ],
            stdout=subprocess.PIPE,
            text=True,
        )
        for number in range(workers)
    ]
    total = whole = 0
    for process in processes:
        output, _ = process.communicate()
        counts = [int(word) for word in output.split()]
        total += counts[0]
        whole += counts[1]
    return f"{whole} of {total} calls whole"


def _time_until(
    daemons: list[_fleet.DaemonProcess],
    condition: Callable[[_fleet.DaemonProcess], bool],
    started: float,
) -> tuple[float, float]:
    """Return after how long half, and all, daemons met the condition."""
    waiting = list(daemons)
    half = math.inf
    while waiting and time.monotonic() - started < _WATCH_SECONDS:
        found = _map_daemons(waiting, condition)
        waiting = [one for one, met in zip(waiting, found) if not met]
        elapsed = time.monotonic() - started
        if len(waiting) <= len(daemons) / 2:
            half = min(half, elapsed)
    return half, elapsed if not waiting else math.inf


def _change_configuration(fleet: _fleet.Fleet) -> tuple[float, float]:
    started = time.monotonic()
    answer = fleet_calls.operate(
        fleet.daemons[0],
        "PUT",
        "/v1/teams/capacity-team?force=true",
        {"weight": 2.0},
    )
    revision = answer.document["revision"]
    return _time_until(
        fleet.daemons,
        lambda daemon: _metric(daemon, _REVISION) >= revision,
        started,
    )


def _kill_one(fleet: _fleet.Fleet) -> tuple[float, float]:
    killed = fleet.daemons.pop()
    started = time.monotonic()
    killed.process.kill()
    return _time_until(
        fleet.daemons,
        lambda daemon: _metric(daemon, _MEMBERS) <= len(fleet.daemons),
        started,
    )


def _start_fleet(count: int) -> _fleet.Fleet:
    """Start a fleet, in batches if large: starting is processor-bound."""
    deployment = _deployment.load(_EXAMPLE)
    deployment.services = []
    deployment.pools[0].replicas = _ENGINES
    fleet = _fleet.Fleet(deployment, daemons=min(count, _FLEET_AT_ONCE))
    fleet.start()
    while len(fleet.daemons) < count:
        start = len(fleet.daemons)
        for number in range(start, min(count, start + _FLEET_AT_ONCE)):
            fleet.daemons.append(fleet.start_daemon(number))
        fleet.wait_ready(seconds=_READY_SECONDS)
    return fleet


def _add_teams(fleet: _fleet.Fleet, teams: int) -> None:
    """Import teams into the table, then start one more daemon."""
    started = time.monotonic()
    for first in range(0, teams, _TEAMS_AT_ONCE):
        rows = [
            {
                "name": f"team-{number:05}",
                "ceiling_rate": 40.0,
                "keys": [
                    {"hash": f"{number + keys:064x}", "label": "main"}
                    for keys in (0, _OTHER_KEYS)
                ],
            }
            for number in range(first, min(teams, first + _TEAMS_AT_ONCE))
        ]
        document = {"document": {"teams": rows}, "with_keys": True}
        answer = fleet_calls.operate(
            fleet.daemons[0], "POST", "/v1/import", document
        )
        if answer.status != HTTPStatus.OK:
            raise click.ClickException(answer.body.decode()[:500])
    seconds = time.monotonic() - started
    click.echo(f"{teams} teams imported in {seconds:.1f} s\n")
    started = time.monotonic()
    fleet.daemons.append(fleet.start_daemon(len(fleet.daemons)))
    fleet.wait_ready(seconds=_READY_SECONDS)
    revision = _metric(fleet.daemons[0], _REVISION)
    _time_until(
        fleet.daemons,
        lambda daemon: _metric(daemon, _REVISION) >= revision,
        started,
    )
    memory = psutil.Process(fleet.daemons[-1].process.pid).memory_full_info()
    click.echo(
        f"a daemon started then holds the table and sees all after "
        f"{time.monotonic() - started:.1f} s; {memory.rss / 1e6:.1f} MB "
        f"resident, {memory.uss / 1e6:.1f} its own\n"
    )


def _measure(
    count: int,
    *,
    seconds: float,
    settle: float,
    loads: tuple[tuple[float, int], ...],
    teams: int,
) -> None:
    began = time.monotonic()
    fleet = _start_fleet(count)
    try:
        click.echo(
            f"\n{count} daemons, {_ENGINES} engines, all ready after "
            f"{time.monotonic() - began:.0f} s\n"
        )
        if teams:
            _add_teams(fleet, teams)
        click.echo(
            "| | core (highest) | KB/s sent / received (highest) "
            "| MB resident (highest) | MB unique | links | load average |"
        )
        click.echo("|---|---|---|---|---|---|---|")
        time.sleep(settle)
        usage, _ = _measure_usage(fleet, lambda: time.sleep(seconds))
        _print_usage("idle", usage)
        for rate, tokens in loads:
            load_results: list[str] = []
            usage, elapsed = _measure_usage(
                fleet,
                lambda: load_results.append(
                    _load(fleet, rate=rate, tokens=tokens, seconds=seconds)
                ),
            )
            what = f"{rate:g} requests/s, {tokens} tokens"
            _print_usage(
                f"{what} ({load_results[0]} in {elapsed:.1f} s)", usage
            )
        half, whole = _change_configuration(fleet)
        click.echo(
            f"\nchange in force on half {half:.2f} s, all {whole:.2f} s"
        )
        half, whole = _kill_one(fleet)
        click.echo(
            f"killed daemon gone for half {half:.2f} s, all {whole:.2f} s"
        )
    finally:
        fleet.stop()


def _load_option(text: str) -> tuple[float, int]:
    rate, _, tokens = text.partition(":")
    return float(rate), int(tokens)


@click.command()
@click.option("--daemons", default=[9, 50], multiple=True, type=int)
@click.option("--seconds", default=15.0, show_default=True)
@click.option("--settle", default=5.0, show_default=True)
@click.option("--teams", default=0, help="Number of teams added to the table.")
@click.option(
    "--load",
    "loads",
    default=["3:8"],
    multiple=True,
    help="Requests per second per daemon, colon, tokens per answer.",
)
def main(
    daemons: tuple[int, ...],
    seconds: float,
    settle: float,
    teams: int,
    loads: tuple[str, ...],
) -> None:
    """Print the resource usage of daemons in fleets of several sizes."""
    for count in daemons:
        _measure(
            count,
            seconds=seconds,
            settle=settle,
            loads=tuple(map(_load_option, loads)),
            teams=teams,
        )


if __name__ == "__main__":
    main()
