"""A target that is leaving gets no new chats from any daemon."""

import json
from typing import Iterator

import pytest

from bench.fleets import fleet as _fleet
from bench.fleets import fleet_calls
from bench.fleets import processes
from tests.fleet import fleet_fixtures

pytestmark = pytest.mark.processes
CHATS_PER_DAEMON = 4
FLAPS = 4
CHATS_WHILE_UP = 5


class ListedEngine:
    """An engine whose entry in the instance list is set by the test."""

    def __init__(self, fleet: _fleet.Fleet, name: str) -> None:
        self.name = name
        self._fleet = fleet
        self._incarnation = 0
        self.process = self._start_process(0)
        self.target = _fleet.TargetProcess(name=name, process=self.process)

    def _start_process(self, port: int) -> processes.Process:
        process = processes.Process(
            name=self.name,
            arguments=[
                *("-m", "standins", "engine", "--id", self.name),
                *("--pool", fleet_fixtures.POOL, "--slots", "64"),
                *("--port", str(port), "--incarnation", "1"),
            ],
            folder=self._fleet.folder,
        )
        process.start()
        return process

    def restart(self) -> None:
        """Start it again on the same port after it has ended."""
        self.process = self._start_process(self.target.port)

    def list_as(self, state: str) -> None:
        """List it with a state; each `live` is a new incarnation."""
        self._incarnation += state == "live"
        instance = {
            "id": self.name,
            "kind": "engine",
            "group": fleet_fixtures.POOL,
            "host": _fleet.HOST,
            "port": self.target.port,
            "zone": "zone-a",
            "region": "region-1",
            "state": state,
            "incarnation": self._incarnation,
            "slots": 64,
        }
        body = json.dumps(instance).encode()
        self._send("PUT", body)

    def take_off_list(self) -> None:
        """Remove it from the list."""
        self._send("DELETE", b"")

    def _send(self, method: str, body: bytes) -> None:
        fleet_calls.send(
            self._fleet.platform_url,
            method,
            f"/instances/{self.name}",
            body=body,
        )


@pytest.fixture
def listed_engine(large_fleet: _fleet.Fleet) -> Iterator[ListedEngine]:
    """Return an additional engine that all daemons use."""
    name = fleet_fixtures.new_key()
    engine = ListedEngine(large_fleet, name)
    engine.list_as("live")
    fleet_fixtures.eventually(
        lambda: is_live_on_all_daemons(large_fleet, name)
    )
    yield engine
    engine.take_off_list()
    engine.process.kill()
    fleet_fixtures.eventually(lambda: "live" not in states(large_fleet, name))


def states(fleet: _fleet.Fleet, replica: str) -> set[str]:
    """Return the states that the daemons report for a replica."""
    views = [fleet_calls.replicas(daemon) for daemon in fleet.daemons]
    return {found[replica]["state"] for found in views if replica in found}


def is_live_on_all_daemons(fleet: _fleet.Fleet, replica: str) -> bool:
    """Return whether all daemons report a replica as live."""
    views = [fleet_calls.replicas(daemon) for daemon in fleet.daemons]
    return all(
        replica in found and found[replica]["state"] == "live"
        for found in views
    )


def chats_received(target: _fleet.TargetProcess) -> int:
    """Count the chats that an engine started or rejected."""
    events = ("start", "refused")
    return sum(e["event"] in events for e in fleet_calls.journal(target))


def chat_on_all_daemons(fleet: _fleet.Fleet) -> list[fleet_calls.Answer]:
    """Send new chats through each daemon."""
    return fleet_fixtures.run_concurrently(
        [
            lambda daemon=daemon: fleet_fixtures.chat(daemon, tokens=1)
            for daemon in fleet.daemons * CHATS_PER_DAEMON
        ]
    )


def expect_no_new_work(
    fleet: _fleet.Fleet, target: _fleet.TargetProcess
) -> None:
    """Check that a target gets no chats once all daemons are notified."""
    fleet_fixtures.eventually(
        lambda: not states(fleet, target.name) & {"live", "suspected"}
    )
    before = chats_received(target)
    answers = chat_on_all_daemons(fleet)
    assert {a.ending for a in answers} == {fleet_calls.Ending.WHOLE}
    assert chats_received(target) == before


class TestLeavingSignal:
    @pytest.fixture(autouse=True)
    def receives_chats_at_first(
        self, large_fleet: _fleet.Fleet, listed_engine: ListedEngine
    ) -> None:
        chat_on_all_daemons(large_fleet)
        assert chats_received(listed_engine.target) > 0

    def test_from_the_engine_itself(
        self, large_fleet: _fleet.Fleet, listed_engine: ListedEngine
    ) -> None:
        """All daemons must respect an engine's own report that it is leaving.

        The engine reports it while the list is down. Chats are interrupted
        when it exits if daemons rely on the list alone, or if only the daemon
        that polled the engine is notified.
        """
        with fleet_fixtures.faults(large_fleet.platform_url, down_list=True):
            _fleet.post(f"{listed_engine.target.url}/admin/leave", {})
            expect_no_new_work(large_fleet, listed_engine.target)

    def test_from_operators(
        self, large_fleet: _fleet.Fleet, listed_engine: ListedEngine
    ) -> None:
        path = f"/v1/drains/{listed_engine.name}"
        daemon = large_fleet.daemons[0]
        answer = fleet_calls.operate(daemon, "PUT", path, {"kind": "replica"})
        assert answer.status == 201
        expect_no_new_work(large_fleet, listed_engine.target)
        answer = fleet_calls.operate(daemon, "DELETE", path + "?force=true")
        assert answer.status == 200
        fleet_fixtures.eventually(
            lambda: is_live_on_all_daemons(large_fleet, listed_engine.name)
        )

    def test_from_the_list(
        self, large_fleet: _fleet.Fleet, listed_engine: ListedEngine
    ) -> None:
        listed_engine.list_as("leaving")
        expect_no_new_work(large_fleet, listed_engine.target)

    def test_from_unreachability(
        self, large_fleet: _fleet.Fleet, listed_engine: ListedEngine
    ) -> None:
        """All daemons must be notified of an engine that was killed.

        The list still shows it. If each daemon has to detect the failure by
        itself, a chat at each of them waits for a dead engine first.
        """
        with fleet_fixtures.faults(large_fleet.platform_url, down_list=True):
            listed_engine.process.kill()
            fleet_fixtures.eventually(
                lambda: states(large_fleet, listed_engine.name) == {"dead"}
            )
            answers = chat_on_all_daemons(large_fleet)
        assert {a.ending for a in answers} == {fleet_calls.Ending.WHOLE}


class TestFlapping:
    def test_chats_do_not_move_with_each_return(
        self, large_fleet: _fleet.Fleet, listed_engine: ListedEngine
    ) -> None:
        """Chats must not follow each restart of a flapping engine.

        An engine dies and returns several times. If each return takes effect
        at once, its chats move away and back every time and lose their
        context.
        """
        chat_id = find_chat_with_home(large_fleet, listed_engine.name)
        visited = [listed_engine.name]
        for _ in range(FLAPS):
            listed_engine.process.kill()
            chat_until_state(
                large_fleet, chat_id, visited, listed_engine.name, is_dead=True
            )
            listed_engine.restart()
            chat_until_state(
                large_fleet,
                chat_id,
                visited,
                listed_engine.name,
                is_dead=False,
            )
            visited += [
                send_chat(large_fleet, chat_id) for _ in range(CHATS_WHILE_UP)
            ]
        moves = sum(
            previous != current
            for previous, current in zip(visited, visited[1:])
        )
        # Three moves: away, back after the first return, and away for good.
        # From the second return on, the engine would have to stay up longer
        # than it does here.
        assert moves <= 3, " ".join(visited)


def chat_until_state(
    fleet: _fleet.Fleet,
    chat_id: str,
    visited: list[str],
    replica: str,
    *,
    is_dead: bool,
) -> None:
    """Repeat a chat until its daemon has detected a replica's state."""

    def has_state() -> bool:
        visited.append(send_chat(fleet, chat_id))
        found = fleet_calls.replicas(fleet.daemons[0])
        return (found[replica]["state"] == "dead") is is_dead

    fleet_fixtures.eventually(has_state)


def send_chat(fleet: _fleet.Fleet, chat_id: str) -> str:
    """Send a chat through one daemon; return the replica that served it."""
    answer = fleet_fixtures.chat(fleet.daemons[0], chat_id=chat_id, tokens=1)
    assert answer.ending is fleet_calls.Ending.WHOLE
    return answer.headers["topazlug-replica"]


def find_chat_with_home(fleet: _fleet.Fleet, replica: str) -> str:
    """Return a chat whose home is a replica."""
    for _ in range(200):
        chat_id = fleet_fixtures.new_question()
        if send_chat(fleet, chat_id) == replica:
            return chat_id
    raise AssertionError(f"no chat has its home on {replica}")
