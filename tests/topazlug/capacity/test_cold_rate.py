"""The rate at which an owner lets requests in to a replica that is cold."""

import pytest

from topazlug.capacity import _cold_rate

# What the platform allows in any second: so much over the rate, and so many.
OVERSHOOT = 1.5
TOLERANCE = 5


def let_in(rate, tolerated, *, seconds, step=0.01, start=0.0):
    """Give the moments at which requests get in that come all the time."""
    found = []
    for number in range(int(seconds / step)):
        now = start + number * step
        if rate.has_capacity(tolerated, now=now):
            rate.note_admitted()
            found.append(now)
    return found


def most_in_a_second(moments):
    return max(
        sum(first <= at < first + 1.0 for at in moments) for first in moments
    )


class TestColdRate:
    @pytest.mark.parametrize("tolerated", [1.0, 4.0, 14.0, 80.0])
    def test_two_owners_stay_within_the_bound(self, tolerated):
        moments = []
        for _ in range(2):
            rate = _cold_rate.ColdRateLimiter()
            moments += let_in(rate, tolerated, seconds=5.0)
        allowed = OVERSHOOT * tolerated + TOLERANCE
        assert most_in_a_second(moments) <= allowed

    @pytest.mark.parametrize("tolerated", [1.0, 4.0, 14.0, 80.0])
    def test_owner_that_starts_again_stays_within_it(self, tolerated):
        moments = []
        for number in range(4):
            rate = _cold_rate.ColdRateLimiter()
            start = 0.5 * number
            moments += let_in(rate, tolerated, seconds=0.5, start=start)
        allowed = OVERSHOOT * tolerated + TOLERANCE
        assert most_in_a_second(moments) <= allowed

    def test_most_of_the_rate_is_used(self):
        rate = _cold_rate.ColdRateLimiter()
        assert len(let_in(rate, 14.0, seconds=10.0)) >= 0.7 * 14.0 * 10.0

    def test_rest_does_not_add_up(self):
        rate = _cold_rate.ColdRateLimiter()
        assert rate.has_capacity(14.0, now=0.0)
        first = let_in(rate, 14.0, seconds=0.05, start=60.0)
        assert len(first) <= 2

    def test_wait_is_until_there_is_room(self):
        rate = _cold_rate.ColdRateLimiter()
        rate.has_capacity(14.0, now=0.0)
        rate.note_admitted()
        assert not rate.has_capacity(14.0, now=0.0)
        wait = rate.wait(14.0)
        assert rate.has_capacity(14.0, now=wait + 1e-6)
