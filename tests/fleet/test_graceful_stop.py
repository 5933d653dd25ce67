"""A planned stop cuts off nothing."""

from concurrent import futures
from typing import Iterator

import pytest

from bench.fleets import fleet as _fleet
from bench.fleets import fleet_calls
from tests.fleet import fleet_fixtures
from tests.fleet import fleet_load

pytestmark = pytest.mark.processes
STREAMS = 200
TOKENS = 100
BATCH_SIZE = 20
CONNECTIONS = 400


@pytest.fixture
def own_fleet() -> Iterator[_fleet.Fleet]:
    """Give a fleet of its own to a test that ends daemons."""
    deployment = fleet_fixtures.deployment(
        daemons=3, slots=200, token_interval=0.01
    )
    with _fleet.Fleet(deployment) as started:
        yield started


class TestStopUnderStreams:
    def test_open_streams_finish_whole(self, own_fleet: _fleet.Fleet) -> None:
        """Symptom: calls fall silent whenever an instance is replaced.

        Sequence: a daemon with 200 streams is told to stop. Cause: it ends
        with the process, and not with the last stream.
        """
        daemon = own_fleet.daemons[0]
        with futures.ThreadPoolExecutor(STREAMS) as executor:
            set_engines(own_fleet, stalled=True)
            requests = open_streams(executor, daemon)
            daemon.process.terminate()
            fleet_fixtures.eventually(lambda: not is_ready(daemon))
            late_answer = fleet_fixtures.chat(daemon)
            set_engines(own_fleet, stalled=False)
            answers = [future.result() for future in requests]
        assert {a.ending for a in answers} == {fleet_calls.Ending.WHOLE}
        assert late_answer.ending is fleet_calls.Ending.REFUSED
        assert daemon.process.wait(20.0) == 0
        others = own_fleet.daemons[1:]
        fleet_fixtures.eventually(
            lambda: all(fleet_fixtures.is_idle(other) for other in others)
        )


class TestStopWithUnacceptedConnections:
    def test_they_are_served(self, own_fleet: _fleet.Fleet) -> None:
        """Symptom: during a release some calls break without any answer.

        Sequence: callers have connected and sent their requests; the
        daemon, busy, has not accepted all of them; it is told to stop.
        Cause: with its listener, the kernel resets what waits there.
        """
        daemon = own_fleet.daemons[0]
        daemon.process.freeze()
        with futures.ThreadPoolExecutor(CONNECTIONS) as executor:
            requests = [
                executor.submit(
                    fleet_calls.send,
                    daemon.url,
                    "GET",
                    "/v1/models",
                    headers={"Authorization": f"Bearer {fleet_fixtures.KEY}"},
                )
                for _ in range(CONNECTIONS)
            ]
            fleet_fixtures.eventually(
                lambda: fleet_fixtures.unaccepted_connections(daemon)
                == CONNECTIONS
            )
            daemon.process.terminate()
            daemon.process.thaw()
            answers = [future.result() for future in requests]
        assert {a.ending for a in answers} == {fleet_calls.Ending.WHOLE}
        assert daemon.process.wait(20.0) == 0


class TestRollingReplacement:
    def test_no_call_fails(self, own_fleet: _fleet.Fleet) -> None:
        """Symptom: calls fail during each release.

        Sequence: under load, each daemon is stopped and another takes its
        place. Cause: a connection that waits to be accepted is reset, or
        work is sent to a daemon that has gone.
        """
        with fleet_load.Load(own_fleet, callers=12) as load:
            for number in range(len(own_fleet.daemons)):
                load.wait_for_more(50)
                ended = own_fleet.daemons[number]
                ended.process.terminate()
                assert ended.process.wait(20.0) == 0
                started = own_fleet.start_daemon(number)
                fleet_fixtures.eventually(lambda: is_ready(started))
                own_fleet.daemons[number] = started
            load.wait_for_more(50)
        assert load.failures() == []


def open_streams(
    executor: futures.Executor, daemon: _fleet.DaemonProcess
) -> list["futures.Future[fleet_calls.Answer]"]:
    """Ask until enough streams are open; who is refused asks again."""
    requests = []
    while len(requests) < STREAMS:
        missing = min(BATCH_SIZE, STREAMS - len(requests))
        requests += [
            executor.submit(fleet_fixtures.chat, daemon, tokens=TOKENS)
            for _ in range(missing)
        ]
        fleet_fixtures.eventually(
            lambda: fleet_fixtures.in_flight(daemon)
            == sum(not future.done() for future in requests)
        )
        requests = [future for future in requests if not future.done()]
    return requests


def set_engines(fleet: _fleet.Fleet, **switches: bool) -> None:
    for engine in fleet.engines:
        fleet_calls.fault(engine.url, **switches)


def is_ready(daemon: _fleet.DaemonProcess) -> bool:
    url = daemon.administration_url
    return fleet_calls.send(url, "GET", "/health/ready").status == 200
