"""The list of contexts that a replica holds."""

import json
import types

from soak import _held_contexts


def new(monkeypatch, *, fault_probability):
    monkeypatch.setattr(
        _held_contexts, "_FAULT_PROBABILITY", fault_probability
    )
    monkeypatch.setattr(_held_contexts, "_LATE_SECONDS", 0.0)
    contexts = _held_contexts.HeldContexts(seed=1)
    header_by_name = {"X-Model": "m", "X-Prompt-Prefix": "a1:4000,b2:500"}
    contexts.add(
        types.SimpleNamespace(
            header=lambda name, default="": header_by_name.get(name, default)
        )
    )
    return contexts


class TestAnswer:
    def test_parts_that_were_read(self, monkeypatch):
        """A wrong list would hide that owners decode the platform's."""
        answer = new(monkeypatch, fault_probability=0.0).answer()
        document = json.loads(b"".join(answer.body))
        assert sorted(document) == ["epoch", "held", "next"]
        assert document["held"] == [
            ["", "a1", 4000, "m"],
            ["", "b2", 500, "m"],
        ]

    def test_each_fault_occurs(self, monkeypatch):
        contexts = new(monkeypatch, fault_probability=1.0)
        answers = [contexts.answer() for _ in range(40)]
        assert {one.status for one in answers} == {200, 500}
        bodies = {one.body for one in answers if isinstance(one.body, tuple)}
        assert any(b'"held":[]' in body for (body,) in bodies)
        assert any(body.endswith(b'"hel') for (body,) in bodies)
        assert any(b'"a1",4000' in body for (body,) in bodies)
