"""Crowds of clients that send on, stop or reset, beside a daemon's callers."""

from collections.abc import Iterator
import pathlib

import gevent

from bench.fleets import processes

# Memory in the settings of each daemon, and the most that it may use.
MEMORY_MB = 300
_CLIENTS = 12
# None of these ever sends a complete request, which would run.
_KINDS = (
    "stop_short_in_chunks",
    "stop_short_of_length",
    "trickle",
    "tiny_chunks",
    "endless_trailers",
    "half_and_reset",
    "unfinished_head",
    "bad_requests_ahead",
)


def run_crowd(
    address: tuple[str, int],
    *,
    number: int,
    seconds: float,
    request: tuple[str, str, str],
    folder: pathlib.Path,
) -> None:
    """Run a crowd against a daemon for a while.

    Parameters
    ----------
    address : (str, int)
        Where the daemon listens for callers.
    number : int
        Selects the kind of crowd.
    seconds : float
        For how long.
    request : (str, str, str)
        Path, key and host of its requests.
    folder : pathlib.Path
        Directory of its log.
    """
    host, port = address
    kind = _KINDS[number % len(_KINDS)]
    clients = processes.Process(
        name=f"crowd-{kind}",
        arguments=[
            *("-m", "tests.topazlug_platform.misbehaving_clients"),
            *(host, str(port), kind, str(_CLIENTS), *request),
        ],
        folder=folder,
    )
    clients.start()
    try:
        gevent.sleep(seconds)
    finally:
        clients.kill()


def check_memory(daemons: list[processes.Process]) -> Iterator[str]:
    """Yield a description of each process that used too much memory."""
    for process in daemons:
        if not process.is_running():
            continue
        status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
        lines = dict(line.split(":", 1) for line in status.splitlines())
        used = int(lines["VmHWM"].split()[0]) / 1024
        if used > MEMORY_MB:
            yield f"MEMORY {process.name}: {used:.0f} MB of {MEMORY_MB}"
