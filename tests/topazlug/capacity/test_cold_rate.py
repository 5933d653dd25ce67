"""Rate limit of an owner for requests to a cold replica."""

import pytest

from topazlug.capacity import _cold_rate

# Limit of the platform for any second: OVERSHOOT times the rate plus
# TOLERANCE.
OVERSHOOT = 1.5
TOLERANCE = 5


def admit(rate, tolerated, *, seconds, step=0.01, start=0.0):
    """Return the times at which requests of a constant stream are admitted."""
    admitted_at = []
    for number in range(int(seconds / step)):
        now = start + number * step
        if rate.has_capacity(tolerated, now=now):
            rate.record_admitted()
            admitted_at.append(now)
    return admitted_at


def max_in_a_second(times):
    return max(
        sum(first <= at < first + 1.0 for at in times) for first in times
    )


class TestColdRate:
    @pytest.mark.parametrize("tolerated", [1.0, 4.0, 14.0, 80.0])
    def test_two_owners_stay_within_the_bound(self, tolerated):
        times = []
        for _ in range(2):
            rate = _cold_rate.ColdRateLimiter()
            times += admit(rate, tolerated, seconds=5.0)
        allowed = OVERSHOOT * tolerated + TOLERANCE
        assert max_in_a_second(times) <= allowed

    @pytest.mark.parametrize("tolerated", [1.0, 4.0, 14.0, 80.0])
    def test_restarting_owner_stays_within_the_bound(self, tolerated):
        times = []
        for number in range(4):
            rate = _cold_rate.ColdRateLimiter()
            start = 0.5 * number
            times += admit(rate, tolerated, seconds=0.5, start=start)
        allowed = OVERSHOOT * tolerated + TOLERANCE
        assert max_in_a_second(times) <= allowed

    def test_most_of_the_rate_is_used(self):
        rate = _cold_rate.ColdRateLimiter()
        assert len(admit(rate, 14.0, seconds=10.0)) >= 0.7 * 14.0 * 10.0

    def test_unused_rate_does_not_accumulate(self):
        rate = _cold_rate.ColdRateLimiter()
        assert rate.has_capacity(14.0, now=0.0)
        first = admit(rate, 14.0, seconds=0.05, start=60.0)
        assert len(first) <= 2

    def test_wait_lasts_until_a_request_may_be_admitted(self):
        rate = _cold_rate.ColdRateLimiter()
        rate.has_capacity(14.0, now=0.0)
        rate.record_admitted()
        assert not rate.has_capacity(14.0, now=0.0)
        wait = rate.wait(14.0)
        assert rate.has_capacity(14.0, now=wait + 1e-6)
