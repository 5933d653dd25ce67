"""Tests of chats and service calls that crash the targets they run on."""

import json

import pytest

from tests.topazlug import routing_fixtures as fixtures
from tests.topazlug import wire_fixtures
from topazlug.crashes import _cause_analysis

QUESTION = "the one that crashes"
# Three attempts are enough evidence; the first may crash a second target.
MAX_CRASHED = 4


class Targets:
    """Targets that crash on one question, and answer all others."""

    def __init__(self, rig, group):
        self.rig = rig
        self.group = group
        self.crashed = []
        self.started = 0
        for _ in range(3):
            self.start()

    def start(self):
        name = f"t{self.started}"
        self.started += 1
        self.rig.scripted(name, self._script(name), group=self.group)

    def _script(self, name):
        def script(sock):
            while data := wire_fixtures.read_request(sock):
                if QUESTION.encode() in data:
                    self._crash(name)
                    return
                sock.sendall(wire_fixtures.http_answer(b"{}"))

        return script

    def _crash(self, name):
        self.crashed.append(name)
        (target,) = [
            target for target in self.rig.listed if target.replica == name
        ]
        for server in self.rig.servers:
            if server.server_port == target.port:
                server.stop(timeout=0)

    def replace_crashed(self):
        """Take crashed targets off the list, and list new ones."""
        before = self.rig.entry.targets.target_by_replica
        unlisted = [
            target
            for target in self.rig.listed
            if target.replica in self.crashed
        ]
        for target in unlisted:
            self.rig.listed.remove(target)
            self.start()
        listed = self.rig.entry.targets.target_by_replica.values()
        self.rig.guard.handle_list_change(before, listed)
        fixtures.wait_until(self._are_recorded)

    def _are_recorded(self):
        records = self.rig.guard._history._own_by_key
        return len(records) >= len(self.crashed)


@pytest.fixture
def rig():
    made = fixtures.Rig()
    yield made
    made.stop()


def call_repeatedly(rig, targets, call, times):
    answers = []
    for _ in range(times):
        answers.append(call())
        targets.replace_crashed()
        rig.guard.decide()
    return answers


def decide_and_check_blocked(rig):
    """Run the guard's decision; return whether a request is blocked."""
    rig.guard.decide()
    return bool(rig.guard.blocked)


class TestChat:
    @pytest.mark.parametrize("stream", [False, True])
    def test_few_engines_crash(self, rig, stream):
        """A chat that crashes engines must be blocked after few crashes.

        It crashed four engines with each call: after a failure it is sent to
        up to three other engines, and then its caller repeats the call.
        """
        targets = Targets(rig, fixtures.POOL)
        answers = call_repeatedly(
            rig, targets, lambda: rig.chat(QUESTION, stream=stream), 8
        )
        assert len(targets.crashed) <= MAX_CRASHED
        assert answers[-1].status == 503
        assert answers[-1].code == "request_blocked"
        assert answers[-1].outcome == "not-run"
        fixtures.wait_until(lambda: decide_and_check_blocked(rig))
        assert rig.guard.blocked == 1
        rig.wait_idle()

    def test_other_chats_are_served(self, rig):
        targets = Targets(rig, fixtures.POOL)
        call_repeatedly(rig, targets, lambda: rig.chat(QUESTION), 6)
        assert rig.chat("another").status == 200


class TestService:
    def test_few_services_crash(self, rig):
        targets = Targets(rig, fixtures.SERVICE)

        def call():
            return rig.send(
                "GET", "/v1/services/letters/x", body=QUESTION.encode()
            )

        answers = call_repeatedly(rig, targets, call, 8)
        assert len(targets.crashed) <= MAX_CRASHED
        assert answers[-1].code == "request_blocked"

    def test_key_of_a_blocked_call_is_released(self, rig):
        """A call that did not run must not keep its idempotency key."""
        targets = Targets(rig, fixtures.SERVICE)

        def call():
            key = f"k{targets.started}-{len(targets.crashed)}"
            return rig.send(
                "POST",
                "/v1/services/letters/x",
                headers=[("Idempotency-Key", key)],
                body=QUESTION.encode(),
            )

        answers = call_repeatedly(rig, targets, call, 8)
        assert len(targets.crashed) <= _cause_analysis.MIN_CRASHES
        assert answers[-1].code == "request_blocked"
        assert answers[-1].outcome == "not-run"
        last = rig.send(
            "POST",
            "/v1/services/letters/x",
            headers=[("Idempotency-Key", "another")],
            body=QUESTION.encode(),
        )
        assert json.loads(last.body)["error"]["code"] == "request_blocked"
        states = [row.value["state"] for row in rig.store.row_by_key.values()]
        assert states.count("claimed") == len(targets.crashed)
        assert set(states) == {"claimed", "released"}
