"""Sends most new connections to one of several real daemons.

Prints, for each second, how many requests were sent, served in time, and read
by the first daemon that they reached.

    python -m bench.experiments.connection_herd [--even] [--idle N] [--rate N]
"""

from gevent import monkey

monkey.patch_all()

# flake8: noqa: E402
import argparse
import collections
import pathlib
import random
import tempfile
import time
from typing import NamedTuple

import gevent
from gevent import server as gevent_server
from gevent import socket

from soak import _expected
from soak import _world

_DAEMONS = 5
_REPLICAS = 8
_SLOTS = 400
_DEADLINE_SECONDS = 4.0
_CALM_SECONDS = 5.0
_HERD_SECONDS = 8.0
_HERD_PART = 0.9
_HERD_FACTOR = 3.0
# A caller tries another daemon if a request is not read within this time.
_UNREAD_SECONDS = 1.0
_MAX_TRIES = 4
_WORK_SECONDS = (1.0, 2.0)
_READ_BYTES = 65536


class _Outcome(NamedTuple):
    """What became of one request."""

    second: int
    served: bool
    tries: int


class _Replica:
    """A replica in this process whose answers take one to two seconds."""

    def __init__(self, name: str, world: _world.World) -> None:
        self._server = gevent_server.StreamServer(
            ("127.0.0.1", 0), self._serve, backlog=1024
        )
        self._server.start()
        world.store.put(
            "servers",
            name,
            {
                "service": _world.SERVICE,
                "address": f"127.0.0.1:{self._server.server_port}",
                "zone": "z",
                "version": "v1",
                "slots": _SLOTS,
                "state": "serving",
                "cold_remaining_ms": 0,
            },
        )

    def _serve(self, sock: socket.socket, address: object) -> None:
        buffer = b""
        while True:
            while b"\r\n\r\n" not in buffer:
                data = sock.recv(_READ_BYTES)
                if not data:
                    return
                buffer += data
            head, _, buffer = buffer.partition(b"\r\n\r\n")
            attempt = b""
            for line in head.split(b"\r\n"):
                name, _, value = line.partition(b": ")
                if name.lower() == b"x-attempt-id":
                    attempt = value
            gevent.sleep(random.uniform(*_WORK_SECONDS))
            sock.sendall(
                b"HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + b"\r\n"
                b"X-Response-Signature: s\r\nContent-Length: 2\r\n\r\nok"
            )


class _Callers:
    """Callers that open a connection for each request."""

    def __init__(self, world: _world.World, seed: int) -> None:
        self._world = world
        self._random = random.Random(seed)
        self._count = 0
        self.outcomes: list[_Outcome] = []

    def run(self, *, seconds: float, rate: float, herd: bool) -> None:
        """Send requests at a rate, and wait until all have ended."""
        began = time.monotonic()
        tasks = []
        while (now := time.monotonic()) < began + seconds:
            tasks.append(gevent.spawn(self._ask, int(now - began), herd))
            gevent.sleep(self._random.expovariate(rate))
        gevent.joinall(tasks)

    def _first(self, herd: bool) -> int:
        if herd and self._random.random() < _HERD_PART:
            return 0
        return self._random.randrange(_DAEMONS)

    def _ask(self, second: int, herd: bool) -> None:
        deadline = time.monotonic() + _DEADLINE_SECONDS
        daemon = self._first(herd)
        for tries in range(1, _MAX_TRIES + 1):
            if self._try(daemon, deadline):
                self.outcomes.append(_Outcome(second, True, tries))
                return
            if time.monotonic() >= deadline:
                break
            others = [n for n in range(_DAEMONS) if n != daemon]
            daemon = self._random.choice(others)
        self.outcomes.append(_Outcome(second, False, tries))

    def _try(self, number: int, deadline: float) -> bool:
        self._count += 1
        daemon = self._world.daemons[number]
        request = (
            f"POST {_expected.ONCE}x HTTP/1.1\r\nHost: {_world.HOST}\r\n"
            f"X-Attempt-Id: a{self._count}\r\n"
            f"Authorization: Bearer {_world.KEY}\r\n"
            f"X-Deadline-Ms: {int(1000 * (deadline - time.monotonic()))}\r\n"
            "Content-Length: 0\r\nConnection: close\r\n\r\n"
        )
        try:
            with socket.create_connection(
                (daemon.host, daemon.port), timeout=_UNREAD_SECONDS
            ) as sock:
                sock.settimeout(max(0.0, deadline - time.monotonic()))
                sock.sendall(request.encode())
                return sock.recv(_READ_BYTES).startswith(b"HTTP/1.1 200")
        except OSError:
            return False


def _hold_idle(world: _world.World, count: int) -> list[socket.socket]:
    """Open connections to the first daemon on which nothing is sent."""
    daemon = world.daemons[0]
    found = []
    for _ in range(count):
        sock = socket.create_connection((daemon.host, daemon.port))
        found.append(sock)
    return found


def _print(name: str, outcomes: list[_Outcome]) -> None:
    by_second: dict[int, list[_Outcome]] = collections.defaultdict(list)
    for outcome in outcomes:
        by_second[outcome.second].append(outcome)
    for second, found in sorted(by_second.items()):
        served = sum(one.served for one in found)
        first = sum(one.served and one.tries == 1 for one in found)
        print(
            f"{name} {second:3}: {len(found):4} sent, {served:4} served,"
            f" {first:4} at the first daemon"
        )
    total = sum(one.served for one in outcomes) / max(1, len(outcomes))
    print(f"{name}: {total:.3f} of {len(outcomes)} served in time")


def main() -> None:
    """Run calm traffic, then the herd."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--even", action="store_true")
    parser.add_argument("--idle", type=int, default=0)
    parser.add_argument("--rate", type=float, default=60.0)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        world = _world.World(
            folder=pathlib.Path(folder),
            daemons=_DAEMONS,
            replicas=0,
            seed=200 + options.seed,
        )
        try:
            for number in range(_REPLICAS):
                _Replica(f"i-{number}", world)
            callers = _Callers(world, options.seed)
            callers.run(seconds=3.0, rate=10.0, herd=False)
            idle = _hold_idle(world, options.idle)
            for name, herd in (("calm", False), ("herd", True)):
                callers.outcomes = []
                factor = _HERD_FACTOR if herd else 1.0
                callers.run(
                    seconds=_HERD_SECONDS if herd else _CALM_SECONDS,
                    rate=factor * options.rate,
                    herd=herd and not options.even,
                )
                _print(name, callers.outcomes)
            for sock in idle:
                sock.close()
        finally:
            world.stop()


if __name__ == "__main__":
    main()
