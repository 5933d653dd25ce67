"""Replicas that report leaving or a backoff in a response get no requests."""

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
_REQUESTS = 40
_MAX_REQUESTS = 400
_PATHS = (_expected.READ, _expected.STREAM, _expected.ONCE)


@pytest.fixture
def world(tmp_path: pathlib.Path) -> Iterator[_world.World]:
    """Return a world whose replicas are all listed as serving."""
    created = _world.World(
        folder=tmp_path,
        daemons=_DAEMONS,
        replicas=_REPLICAS,
        seed=_SEED,
        direct=True,
    )
    try:
        for daemon in created.daemons:
            wait_until_served(daemon)
        yield created
    finally:
        created.stop()


def wait_until_served(daemon: _world.Daemon) -> None:
    daemon.process.wait_for_line(f"{_REPLICAS} replicas listed")
    for _ in range(_MAX_REQUESTS):
        if send_request(daemon, _expected.READ)[1] == 200:
            return
    raise AssertionError("daemon served no request")


def send_request(daemon: _world.Daemon, path: str) -> tuple[str, int]:
    """Send a request; return its attempt and status, 0 without a response."""
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


def send_until_reported(
    world: _world.World, daemon: _world.Daemon, kind: str
) -> float:
    """Send requests until a replica reports a state; return the time."""
    attempts: set[str] = set()
    for number in range(_MAX_REQUESTS):
        attempts.add(send_request(daemon, _PATHS[number % len(_PATHS)])[0])
        for one in world.reports():
            if one.kind == kind and one.attempt in attempts:
                return one.at
    raise AssertionError(f"no response reported {kind!r}")


def arrivals(
    world: _world.World, replica: _world.Replica, attempts: list[str]
) -> list[float]:
    """Return when attempts reached a replica, also those it rejected."""
    rejected = [(one.at, one.replica, one.attempt) for one in world.reports()]
    return sorted(
        at
        for at, name, attempt in {*world.runs(), *rejected}
        if name == replica.name and attempt in attempts
    )


class TestLeaving:
    def test_no_request_after_leaving_was_reported(
        self, world: _world.World
    ) -> None:
        """A daemon must respect a report of leaving before the entry changes.

        Requests went on reaching the replica until its entry was updated.
        """
        leaving = world.replicas[0]
        leaving.process.send(signal.SIGUSR2)
        for daemon in world.daemons:
            send_until_reported(world, daemon, "leaving")
            attempts = [
                send_request(daemon, _PATHS[number % len(_PATHS)])[0]
                for number in range(_REQUESTS)
            ]
            assert arrivals(world, leaving, attempts) == []


class TestBackoff:
    def test_no_request_during_a_backoff(self, world: _world.World) -> None:
        """A daemon must send no request to a replica during its backoff.

        Requests went on reaching replicas that had requested a backoff.
        """
        rejecting = world.replicas[0]
        rejecting.process.send(signal.SIGUSR1)
        for daemon in world.daemons:
            reported_at = send_until_reported(world, daemon, "backoff")
            attempts = [
                send_request(daemon, _PATHS[number % len(_PATHS)])[0]
                for number in range(_REQUESTS)
            ]
            until = reported_at + _expected.BACKOFF_SECONDS
            found = arrivals(world, rejecting, attempts)
            assert [at for at in found if at < until] == []
