"""Chats and service calls that crash the targets that run them."""

import json

import pytest

from tests.topazlug import routing_fixtures as fixtures
from tests.topazlug import wire_fixtures
from topazlug.crashes import _cause_analysis

QUESTION = "the one that crashes"
# Three attempts show it; the first of them may end a second target.
MOST_ENDED = 4


class Targets:
    """Targets that end at one question, and answer all others."""

    def __init__(self, rig, group):
        self.rig = rig
        self.group = group
        self.ended = []
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
                    self._end(name)
                    return
                sock.sendall(wire_fixtures.http_answer(b"{}"))

        return script

    def _end(self, name):
        self.ended.append(name)
        (target,) = [one for one in self.rig.listed if one.replica == name]
        for server in self.rig.servers:
            if server.server_port == target.port:
                server.stop(timeout=0)

    def replace_ended(self):
        """Take ended targets off the list, and list new ones."""
        before = self.rig.entry.targets.target_by_replica
        gone = [one for one in self.rig.listed if one.replica in self.ended]
        for target in gone:
            self.rig.listed.remove(target)
            self.start()
        listed = self.rig.entry.targets.target_by_replica.values()
        self.rig.guard.handle_list_change(before, listed)
        fixtures.wait_until(self._are_noted)

    def _are_noted(self):
        notes = self.rig.guard._history._own_by_key
        return len(notes) >= len(self.ended)


@pytest.fixture
def rig():
    made = fixtures.Rig()
    yield made
    made.stop()


def ask(rig, targets, call, times):
    answers = []
    for _ in range(times):
        answers.append(call())
        targets.replace_ended()
        rig.guard.decide()
    return answers


def is_decided(rig):
    """Have the guard decide; say whether a request is blocked."""
    rig.guard.decide()
    return bool(rig.guard.blocked)


class TestChat:
    @pytest.mark.parametrize("stream", [False, True])
    def test_few_engines_get_it(self, rig, stream):
        """One chat ended four engines at each of its attempts.

        A chat whose engine fails is sent to up to three others, and its
        caller asks again.
        """
        targets = Targets(rig, fixtures.POOL)
        answers = ask(
            rig, targets, lambda: rig.chat(QUESTION, stream=stream), 8
        )
        assert len(targets.ended) <= MOST_ENDED
        assert answers[-1].status == 503
        assert answers[-1].code == "request_blocked"
        assert answers[-1].outcome == "not-run"
        fixtures.wait_until(lambda: is_decided(rig))
        assert rig.guard.blocked == 1
        rig.wait_idle()

    def test_other_chats_are_served(self, rig):
        targets = Targets(rig, fixtures.POOL)
        ask(rig, targets, lambda: rig.chat(QUESTION), 6)
        assert rig.chat("another").status == 200


class TestService:
    def test_few_services_get_it(self, rig):
        targets = Targets(rig, fixtures.SERVICE)

        def call():
            return rig.send(
                "GET", "/v1/services/letters/x", body=QUESTION.encode()
            )

        answers = ask(rig, targets, call, 8)
        assert len(targets.ended) <= MOST_ENDED
        assert answers[-1].code == "request_blocked"

    def test_key_of_a_blocked_call_is_free_again(self, rig):
        """A call that certainly did not run must not keep its key."""
        targets = Targets(rig, fixtures.SERVICE)

        def call():
            key = f"k{targets.started}-{len(targets.ended)}"
            return rig.send(
                "POST",
                "/v1/services/letters/x",
                headers=[("Idempotency-Key", key)],
                body=QUESTION.encode(),
            )

        answers = ask(rig, targets, call, 8)
        assert len(targets.ended) <= _cause_analysis.MIN_CRASHES
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
        assert states.count("claimed") == len(targets.ended)
        assert set(states) == {"claimed", "released"}
