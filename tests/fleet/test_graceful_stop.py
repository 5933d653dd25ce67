"""A planned stop interrupts no call."""

from concurrent import futures
import http.client
import json
import time
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
# Chats that are sent after a stopping daemon has had no request for a second.
LATE_CHATS = 10
LATE_CHAT_SECONDS = 1.25
# Longer than a daemon without requests takes to stop.
LATE_SECONDS = 2.5


@pytest.fixture
def own_fleet() -> Iterator[_fleet.Fleet]:
    """Return a fleet for a single test, which may end daemons."""
    deployment = fleet_fixtures.deployment(
        daemons=3, slots=200, token_interval=0.01
    )
    with _fleet.Fleet(deployment) as started:
        yield started


class TestStopUnderStreams:
    def test_open_streams_finish_whole(self, own_fleet: _fleet.Fleet) -> None:
        """A daemon that is asked to stop must finish its open streams.

        If the process exits before the last of 200 streams has ended, callers
        lose their calls whenever an instance is replaced.
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
        """Connections in the accept queue must be served before a stop.

        A busy daemon is asked to stop while callers have connected and sent
        requests that it has not accepted. When the listener is closed, the
        kernel resets these connections, so calls break without a response.
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


class TestStopBeforeFirstRequest:
    def test_late_request_is_served(self, own_fleet: _fleet.Fleet) -> None:
        """A caller that has connected must be able to send its request.

        A busy caller sends its request seconds after it has connected. If
        the daemon exits because no request is in progress, the call breaks
        without a response.
        """
        daemon = own_fleet.daemons[0]
        connection = http.client.HTTPConnection(
            _fleet.HOST, daemon.callers_port, timeout=20.0
        )
        connection.connect()
        daemon.process.terminate()
        fleet_fixtures.eventually(lambda: not is_ready(daemon))
        time.sleep(LATE_SECONDS)
        connection.request(
            "GET",
            "/v1/models",
            headers={"Authorization": f"Bearer {fleet_fixtures.KEY}"},
        )
        assert connection.getresponse().status == 200
        assert daemon.process.wait(20.0) == 0


class TestStopWithKeptConnections:
    def test_late_chats_are_not_cut_off(self, own_fleet: _fleet.Fleet) -> None:
        """A chat that a stopping daemon reads must not be cut off.

        The daemon has had no request for a second, and is about to end.
        Callers send chats on connections that they have kept. The engines run
        them, and the callers get 500 as the daemon ends.
        """
        daemon = own_fleet.daemons[0]
        connections = [keep_connection(daemon) for _ in range(LATE_CHATS)]
        daemon.process.terminate()
        time.sleep(LATE_CHAT_SECONDS)
        with futures.ThreadPoolExecutor(LATE_CHATS) as executor:
            endings = list(executor.map(late_chat, connections))
        assert daemon.process.wait(20.0) == 0
        assert set(endings) <= {"whole", "no answer"}
        assert chats_begun(own_fleet) == endings.count("whole")


class TestRollingReplacement:
    def test_no_call_fails(self, own_fleet: _fleet.Fleet) -> None:
        """No call may fail while each daemon is replaced under load.

        Calls fail if a connection in the accept queue is reset, or if a
        request is sent to a daemon that has exited.
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


def chats_begun(fleet: _fleet.Fleet) -> int:
    """Return how many chats the engines have begun to run."""
    return sum(
        run["event"] == "start"
        for engine in fleet.engines
        for run in fleet_calls.journal(engine)
    )


def keep_connection(
    daemon: _fleet.DaemonProcess,
) -> http.client.HTTPConnection:
    """Return a connection that has carried a request."""
    connection = http.client.HTTPConnection(
        _fleet.HOST, daemon.callers_port, timeout=20.0
    )
    connection.request(
        "GET",
        "/v1/models",
        headers={"Authorization": f"Bearer {fleet_fixtures.KEY}"},
    )
    assert connection.getresponse().read()
    return connection


def late_chat(connection: http.client.HTTPConnection) -> str:
    """Send a chat on a kept connection; return how it ended."""
    question = fleet_fixtures.new_question()
    body = {
        "model": fleet_fixtures.MODEL,
        "messages": [{"role": "user", "content": question}],
        "max_tokens": TOKENS,
    }
    # Otherwise it would connect anew if the connection was closed.
    connection.auto_open = 0
    try:
        connection.request(
            "POST",
            "/v1/chat/completions",
            json.dumps(body),
            {"Authorization": f"Bearer {fleet_fixtures.KEY}"},
        )
        answer = connection.getresponse()
    except (OSError, http.client.NotConnected, http.client.BadStatusLine):
        return "no answer"
    if answer.status != 200:
        return f"status {answer.status}"
    try:
        return "whole" if answer.read() else "empty"
    except (OSError, http.client.HTTPException):
        return "cut off"


def open_streams(
    executor: futures.Executor, daemon: _fleet.DaemonProcess
) -> list["futures.Future[fleet_calls.Answer]"]:
    """Open streams until there are enough, retrying rejected ones."""
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
        fleet_calls.set_faults(engine.url, **switches)


def is_ready(daemon: _fleet.DaemonProcess) -> bool:
    url = daemon.administration_url
    return fleet_calls.send(url, "GET", "/health/ready").status == 200
