"""A bounded queue with weighted fairness between teams."""

import collections

from hypothesis import given
from hypothesis import strategies
import pytest

from topazlug.limits import _fair_queue

TEAMS = strategies.sampled_from("abc")
STEPS = strategies.lists(
    strategies.one_of(
        strategies.tuples(strategies.just("push"), TEAMS),
        strategies.tuples(strategies.just("pop"), TEAMS),
        strategies.tuples(strategies.just("remove"), TEAMS),
    ),
    max_size=60,
)


def served(queue, count):
    return collections.Counter(queue.pop()[0] for _ in range(count))


def fill(queue, team, weight, count):
    for number in range(count):
        queue.push((team, number), team=team, weight=weight)


class TestFairness:
    @pytest.mark.parametrize("heavy", [1.0, 2.0, 5.0])
    def test_shares_follow_the_weights(self, heavy):
        queue = _fair_queue.FairQueue(capacity=1000)
        fill(queue, "heavy", heavy, 300)
        fill(queue, "light", 1.0, 300)
        served_by_team = served(queue, 120)
        share = heavy / (heavy + 1.0) * 120
        assert abs(served_by_team["heavy"] - share) <= 2

    def test_burst_does_not_delay_others(self):
        queue = _fair_queue.FairQueue(capacity=1000)
        fill(queue, "burst", 1.0, 500)
        fill(queue, "calm", 1.0, 2)
        assert served(queue, 5)["calm"] == 2

    def test_team_of_small_weight_with_one_request_at_a_time(self):
        """A team must not get more than the share of its weight.

        A team with a tenth of the weight keeps one request in the queue and
        sends the next one when that is served. It got half of a pool when its
        finish time was discarded with its last entry.
        """
        queue = _fair_queue.FairQueue(capacity=1000)
        fill(queue, "heavy", 10.0, 500)
        fill(queue, "light", 1.0, 1)
        served_by_team = collections.Counter()
        for _ in range(110):
            team, _ = queue.pop()
            served_by_team[team] += 1
            if team == "light":
                fill(queue, "light", 1.0, 1)
        assert served_by_team["light"] <= 12

    def test_items_of_a_team_keep_their_order(self):
        queue = _fair_queue.FairQueue(capacity=10)
        fill(queue, "a", 1.0, 5)
        assert [queue.pop()[1] for _ in range(5)] == list(range(5))


class TestBound:
    def test_newest_item_of_longest_team_is_evicted(self):
        queue = _fair_queue.FairQueue(capacity=4)
        fill(queue, "burst", 1.0, 4)
        assert queue.push(("calm", 0), team="calm", weight=1.0) == (
            "burst",
            3,
        )
        assert len(queue) == 4

    def test_queue_without_capacity(self):
        queue = _fair_queue.FairQueue(capacity=0)
        assert queue.push("x", team="a", weight=1.0) == "x"
        assert queue.pop() is None

    def test_state_of_idle_teams_is_bounded(self):
        queue = _fair_queue.FairQueue(capacity=8)
        fill(queue, "a", 1.0, 4)
        for number in range(100):
            item = object()
            queue.push(item, team=f"t{number}", weight=0.001)
            queue.remove(item)
        assert len(queue._finish_by_idle_team) <= 8


class TestAnySteps:
    @given(STEPS)
    def test_each_item_leaves_once(self, steps):
        queue = _fair_queue.FairQueue(capacity=5)
        queued, number = [], 0
        for step, team in steps:
            out = None
            if step == "push":
                number += 1
                queued.append((team, number))
                out = queue.push(queued[-1], team=team, weight=1.0)
            elif step == "pop":
                out = queue.pop()
                assert (out is None) is not queued or out is not None
            elif queued:
                out = queued[0]
                assert queue.remove(out)
            if out is not None:
                queued.remove(out)
            assert len(queue) == len(queued)
        assert sorted(queue.drain()) == sorted(queued)
        assert len(queue) == 0
