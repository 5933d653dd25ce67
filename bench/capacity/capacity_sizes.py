"""Sizes assumed by the capacity page, and helpers for measurements."""

from collections.abc import Callable
from collections.abc import Iterable
import gc
import os
import time
import tracemalloc
from typing import TypeVar
from typing import final

import click
import msgspec

from topazlug import _ids
from topazlug.targets import _targets

DAEMONS = 880
REPLICAS = 6100
POOLS = 39
TEAMS = 13000
REQUESTS_PER_SECOND = 30000.0
TOKENS_PER_SECOND = 8.8e6
TOKEN_INTERVAL = 0.057
ZONES = 8
CHATS = 37_000_000

_MICRO = 1e6
_REPEATS = 3
_Item = TypeVar("_Item")


@final
class Slope(msgspec.Struct, frozen=True):
    """One measured figure."""

    name: str
    value: float
    unit: str


def daemon_ids(count: int = DAEMONS) -> list[_ids.DaemonId]:
    """Return names of daemons of a large fleet."""
    return [_ids.DaemonId(f"daemon-{number:04}") for number in range(count)]


def replica_ids(count: int = REPLICAS) -> list[_ids.ReplicaId]:
    """Return names of replicas, distributed evenly over the pools."""
    return [
        _ids.ReplicaId(f"pool-{number % POOLS:02}-replica-{number:04}")
        for number in range(count)
    ]


def team_names(count: int = TEAMS) -> list[_ids.TeamName]:
    """Return names of teams."""
    return [_ids.TeamName(f"team-{number:05}") for number in range(count)]


def targets(count: int = REPLICAS) -> list[_targets.Target]:
    """Return the platform's list of targets."""
    return [
        _targets.Target(
            replica=replica,
            kind=_targets.TargetKind.ENGINE,
            group=_ids.GroupName(f"pool-{number % POOLS:02}"),
            host=f"10.{number % 7}.{number % 250}.{number // 250}",
            port=8000 + number % 16,
            zone=f"zone-{number % ZONES}",
            incarnation=1_700_000_000_000 + number,
            slots=128,
            leaving=False,
        )
        for number, replica in enumerate(replica_ids(count))
    ]


def processor_micros(function: Callable[[], object], *, count: int) -> float:
    """Return the processor time per item in µs, the best of three runs.

    Parameters
    ----------
    function : callable
        Processes `count` items.
    count : int
        Number of items per run.
    """
    best = float("inf")
    for _ in range(_REPEATS):
        started = time.process_time()
        function()
        best = min(best, time.process_time() - started)
    return best / count * _MICRO


def for_each(
    function: Callable[[_Item], object], items: Iterable[_Item]
) -> None:
    """Call a function with each item."""
    for item in items:
        function(item)


def once_millis(function: Callable[[], object]) -> float:
    """Return the processor time of a single run in ms."""
    started = time.process_time()
    function()
    return (time.process_time() - started) * 1000


def held_bytes(build: Callable[[], object]) -> float:
    """Return the bytes that Python's allocator holds for what is built."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    built = build()
    gc.collect()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del built
    return float(after - before)


def resident_bytes() -> int:
    """Return this process's resident memory in bytes."""
    gc.collect()
    with open("/proc/self/statm", encoding="ascii") as statm:
        pages = int(statm.read().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def print_table(slopes: list[Slope]) -> None:
    """Print figures as a Markdown table."""
    click.echo("| what | figure | unit |")
    click.echo("|---|---:|---|")
    for slope in slopes:
        click.echo(f"| {slope.name} | {slope.value:,.4g} | {slope.unit} |")


def print_load() -> None:
    """Print the load average of the machine."""
    one, five, _ = os.getloadavg()
    click.echo(f"load average {one:.1f} (1 min), {five:.1f} (5 min)")
