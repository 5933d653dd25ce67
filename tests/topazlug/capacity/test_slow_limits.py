"""Limits of a slow replica, and the changes that are logged."""

import pytest

from topazlug.capacity import _slow_limits

BEGAN = _slow_limits.PhaseChange.BEGAN
ENDED = _slow_limits.PhaseChange.ENDED


class TestDivide:
    @pytest.mark.parametrize(
        "limit, slowness, expected",
        [(11, 1.0, 11), (11, 2.5, 4), (9, 6.25, 1), (1, 2.5, 1)],
    )
    def test_limit_is_divided(self, limit, slowness, expected):
        assert _slow_limits.divide(limit, slowness) == expected

    def test_slightly_slow_replica_keeps_a_small_limit(self):
        """At low load a limit of 2 became 1, and chats moved."""
        assert _slow_limits.divide(2, 1.3) == 2

    def test_fast_replica_gets_no_more(self):
        """A replica that reported 0.5 exceeded its group's bound."""
        assert _slow_limits.divide(8, 0.5) == 8


class TestSlowPhase:
    def test_begin_and_end(self):
        phase = _slow_limits.SlowPhase()
        assert phase.update(2.5, now=0.0) is BEGAN
        assert phase.update(2.5, now=3.0) is None
        assert phase.update(1.0, now=6.0) is ENDED
        assert phase.update(1.0, now=9.0) is None

    def test_usual_slowness_of_shared_instances_is_no_slow_phase(self):
        """A third of the replicas were logged as slow all day."""
        phase = _slow_limits.SlowPhase()
        assert phase.update(1.3, now=0.0) is None

    def test_changes_are_bounded(self):
        """A figure that jumps caused ten log lines a second."""
        phase = _slow_limits.SlowPhase()
        changes = [
            phase.update(2.5 if step % 2 else 1.0, now=step / 10)
            for step in range(200)
        ]
        assert sum(change is not None for change in changes) <= 10
