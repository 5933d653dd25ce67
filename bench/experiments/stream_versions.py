"""Takes streams up at real daemons, with replicas of two versions.

Counts the streams that hold events of both versions, and those that go on.

    python -m bench.experiments.stream_versions [--seed N] [SCENARIO ...]
"""

from gevent import monkey

monkey.patch_all()

# flake8: noqa: E402
import argparse
import collections
from collections.abc import Callable
import contextlib
from http import client as http_client
import itertools
import pathlib
import random
import signal
import tempfile
from typing import NamedTuple

import gevent
from gevent import pool

from soak import _clients
from soak import _expected
from soak import _run_plan
from soak import _world

_DAEMONS = 3
_REPLICAS = 6
_CALLERS = 8
_FREEZE_SECONDS = 2.0
_FAULT_PAUSE_SECONDS = 3.0
_PATIENCE_SECONDS = 1.0
_READY_SECONDS = 20.0
_MAX_TRIES = 4
_READ_BYTES = 4096


class _Stream(NamedTuple):
    """What a caller received over all its tries."""

    versions: frozenset[str]
    is_taken_up: bool
    is_complete: bool


class _Caller:
    """A caller that takes its stream up until it is complete."""

    def __init__(self, world: _world.World, seed: int) -> None:
        self._world = world
        self._random = random.Random(seed)
        self._numbers = itertools.count()
        self._seed = seed

    def stream(self, *, leaves: bool) -> _Stream | None:
        """Receive one stream; return None if no try brought an event.

        Parameters
        ----------
        leaves : bool
            Whether the caller gives its first try up after two events.
        """
        events: list[tuple[int, str]] = []
        first = ""
        tries = 0
        daemons = list(self._world.daemons)
        self._random.shuffle(daemons)
        for daemon in (daemons * 2)[:_MAX_TRIES]:
            attempt = f"{self._seed:08x}{next(self._numbers):08x}"
            limit = 2 if leaves and not tries else None
            found = self._try(daemon, attempt, first, events, limit)
            if found and not first:
                first = attempt
            events += found
            tries += bool(first)
            count = _expected.event_count(first) if first else 0
            if events and events[-1][0] == count:
                break
        if not events:
            return None
        return _Stream(
            versions=frozenset(version for _, version in events),
            is_taken_up=tries > 1,
            is_complete=events[-1][0] == _expected.event_count(first),
        )

    def _try(
        self,
        daemon: _world.Daemon,
        attempt: str,
        first: str,
        events: list[tuple[int, str]],
        limit: int | None,
    ) -> list[tuple[int, str]]:
        fields = {
            "Host": _world.HOST,
            "X-Attempt-Id": attempt,
            "Authorization": f"Bearer {_world.KEY}",
            "X-Deadline-Ms": "4000",
            "X-Prompt-Prefix": f"{attempt}:400,{attempt}f:100",
        }
        if events:
            fields["Resumes"] = first
            fields["Last-Event-Id"] = str(events[-1][0])
        connection = http_client.HTTPConnection(
            daemon.host, daemon.port, timeout=_PATIENCE_SECONDS
        )
        received = b""
        with contextlib.suppress(OSError, http_client.HTTPException):
            path = f"{_expected.STREAM}x"
            connection.request("POST", path, b"{}", fields)
            response = connection.getresponse()
            while data := response.read1(_READ_BYTES):
                received += data
                if limit and len(_expected.parse_events(received)) >= limit:
                    break
        connection.close()
        return _expected.parse_events(received)


def _kill_daemons(world: _world.World) -> None:
    for daemon in world.daemons:
        gevent.sleep(_FAULT_PAUSE_SECONDS)
        daemon.process.kill()
        daemon.start()


def _freeze_daemons(world: _world.World) -> None:
    for daemon in world.daemons:
        gevent.sleep(_FAULT_PAUSE_SECONDS)
        daemon.process.send(signal.SIGSTOP)
        gevent.sleep(_FREEZE_SECONDS)
        daemon.process.send(signal.SIGCONT)


def _kill_replicas(world: _world.World) -> None:
    for replica in list(world.replicas)[:3]:
        gevent.sleep(_FAULT_PAUSE_SECONDS)
        replica.process.kill()
        world.replace(replica)


def _replace_replicas(world: _world.World) -> None:
    for replica in list(world.replicas):
        gevent.sleep(_FAULT_PAUSE_SECONDS / 2)
        world.replace(replica)
        replica.process.send(signal.SIGTERM)


def _nothing(world: _world.World) -> None:
    gevent.sleep(3 * _FAULT_PAUSE_SECONDS)


_SCENARIOS: dict[str, tuple[Callable[[_world.World], None], bool]] = {
    "callers go on elsewhere": (_nothing, True),
    "replicas killed": (_kill_replicas, False),
    "daemons killed": (_kill_daemons, False),
    "daemons stopped for 2 s": (_freeze_daemons, False),
    "replicas replaced one by one": (_replace_replicas, True),
}


def _play(name: str, *, seed: int) -> str:
    inject, leaves = _SCENARIOS[name]
    folder = pathlib.Path(tempfile.mkdtemp(prefix="stream-versions-"))
    world = _world.World(
        folder=folder,
        daemons=_DAEMONS,
        replicas=_REPLICAS,
        seed=seed,
        plan=_run_plan.RunPlan(has_versions=True),
    )
    streams: list[_Stream | None] = []
    try:
        _wait_until_ready(world, seed)
        ended = gevent.spawn(inject, world)

        def call(number: int) -> None:
            caller = _Caller(world, seed * 1000 + number)
            while not ended.ready():
                streams.append(caller.stream(leaves=leaves))
                gevent.sleep(0.01)

        callers = pool.Pool(_CALLERS)
        callers.map(call, range(_CALLERS))
        ended.get()
    finally:
        world.stop()
    return _describe(name, streams)


def _wait_until_ready(world: _world.World, seed: int) -> None:
    addresses = [(one.host, one.port) for one in world.daemons]
    caller = _clients.Caller(
        addresses=addresses, key=_world.KEY, seed=f"ready {seed}"
    )
    with gevent.Timeout(_READY_SECONDS):
        for daemon in range(len(addresses)):
            while caller.send(daemon, _expected.READ).status != 200:
                gevent.sleep(0.1)


def _describe(name: str, streams: list[_Stream | None]) -> str:
    begun = [one for one in streams if one is not None]
    taken_up = [one for one in begun if one.is_taken_up]
    counts = collections.Counter(
        mixed=sum(len(one.versions) > 1 for one in begun),
        went_on=sum(one.is_complete for one in taken_up),
    )
    return (
        f"| {name} | {len(streams)} | {len(begun)} | {len(taken_up)} | "
        f"{counts['went_on']} | {counts['mixed']} |"
    )


def main() -> None:
    """Print a table with one row for each scenario."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=901)
    parser.add_argument("names", nargs="*")
    options = parser.parse_args()
    print("| scenario | streams | begun | taken up | went on | mixed |")
    print("|---|---:|---:|---:|---:|---:|")
    for number, name in enumerate(options.names or _SCENARIOS):
        print(_play(name, seed=options.seed + number), flush=True)


if __name__ == "__main__":
    main()
