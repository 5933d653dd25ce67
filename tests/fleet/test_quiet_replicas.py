"""Replicas say in answers that they want nothing, and get nothing."""

from http import client as http_client
import pathlib
import signal
from typing import Iterator
import uuid

import pytest

from soak import _clients
from soak import _expected
from soak import _world

pytestmark = pytest.mark.processes
_SEED = 67
_DAEMONS = 3
_REPLICAS = 4
_ASKED = 40
_MOST_ASKED = 400
_PATHS = (_expected.READ, _expected.STREAM, _expected.ONCE)


@pytest.fixture
def world(tmp_path: pathlib.Path) -> Iterator[_world.World]:
    """Give daemons, and replicas that are listed as serving."""
    made = _world.World(
        folder=tmp_path,
        daemons=_DAEMONS,
        replicas=_REPLICAS,
        seed=_SEED,
        direct=True,
    )
    try:
        for daemon in made.daemons:
            wait_until_served(daemon)
        yield made
    finally:
        made.stop()


def wait_until_served(daemon: _world.Daemon) -> None:
    daemon.process.wait_for_line(f"{_REPLICAS} replicas listed")
    for _ in range(_MOST_ASKED):
        if ask(daemon, _expected.READ)[1] == 200:
            return
    raise AssertionError("a daemon serves nobody")


def ask(daemon: _world.Daemon, path: str) -> tuple[str, int]:
    """Send a request; give its attempt and status, 0 if there is none."""
    attempt = uuid.uuid4().hex
    fields = {
        "Host": _clients.HOST,
        "X-Attempt-Id": attempt,
        "Authorization": f"Bearer {_world.KEY}",
        "X-Deadline-Ms": "5000",
    }
    connection = http_client.HTTPConnection(
        daemon.host, daemon.port, timeout=10.0
    )
    try:
        connection.request("POST", f"{path}x", b"{}", fields)
        answer = connection.getresponse()
        answer.read()
        return attempt, answer.status
    except (OSError, http_client.HTTPException):
        return attempt, 0
    finally:
        connection.close()


def ask_until_said(
    world: _world.World, daemon: _world.Daemon, kind: str
) -> float:
    """Ask until an answer to a daemon says a word; give when it did."""
    own: set[str] = set()
    for number in range(_MOST_ASKED):
        own.add(ask(daemon, _PATHS[number % len(_PATHS)])[0])
        for one in world.reports():
            if one.kind == kind and one.attempt in own:
                return one.at
    raise AssertionError(f"no answer said {kind!r}")


def arrivals(
    world: _world.World, replica: _world.Replica, attempts: list[str]
) -> list[float]:
    """Give when a replica got some attempts, whether it ran them or not."""
    rejected = [(one.at, one.replica, one.attempt) for one in world.reports()]
    return sorted(
        at
        for at, name, attempt in {*world.runs(), *rejected}
        if name == replica.name and attempt in attempts
    )


class TestLeaving:
    def test_one_that_says_so_gets_nothing_more(
        self, world: _world.World
    ) -> None:
        """Requests reach a replica for as long as its entry is old."""
        leaving = world.replicas[0]
        leaving.process.send(signal.SIGUSR2)
        for daemon in world.daemons:
            ask_until_said(world, daemon, "leaving")
            asked = [
                ask(daemon, _PATHS[number % len(_PATHS)])[0]
                for number in range(_ASKED)
            ]
            assert arrivals(world, leaving, asked) == []


class TestBackoff:
    def test_one_that_asks_for_it_gets_nothing_meanwhile(
        self, world: _world.World
    ) -> None:
        """Requests reach a replica that has asked for a backoff."""
        shedding = world.replicas[0]
        shedding.process.send(signal.SIGUSR1)
        for daemon in world.daemons:
            said_at = ask_until_said(world, daemon, "backoff")
            asked = [
                ask(daemon, _PATHS[number % len(_PATHS)])[0]
                for number in range(_ASKED)
            ]
            until = said_at + _expected.BACKOFF_SECONDS
            found = arrivals(world, shedding, asked)
            assert [at for at in found if at < until] == []
