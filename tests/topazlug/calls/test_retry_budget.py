"""Tests that retries add at most the ratio to a failing pool's load."""

from hypothesis import given
from hypothesis import strategies

from topazlug import _ids
from topazlug.calls import _retry_budget

GROUP = _ids.GroupName("engines")


class TestRetryBudget:
    @given(
        strategies.floats(0.0, 1.0),
        strategies.lists(strategies.booleans(), max_size=300),
    )
    def test_retries_are_a_fraction_of_first_attempts(self, ratio, steps):
        budget = _retry_budget.RetryBudget(ratio=ratio)
        for first in steps:
            budget.earn(GROUP) if first else budget.spend(GROUP)
        assert budget.spent <= 3 + ratio * sum(steps) + 1e-6
        assert budget.spent + budget.rejected == len(steps) - sum(steps)

    def test_balance_is_bounded(self):
        budget = _retry_budget.RetryBudget(ratio=1.0)
        for _ in range(10_000):
            budget.earn(GROUP)
        assert sum(budget.spend(GROUP) for _ in range(10_000)) == 100
