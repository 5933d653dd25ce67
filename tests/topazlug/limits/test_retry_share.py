"""The shares of all daemons add up to no more than the fleet's limit."""

from hypothesis import given
from hypothesis import strategies

from tests.topazlug import claim_fakes
from topazlug import _ids
from topazlug.limits import _retry_share

GROUP = _ids.GroupName("engines")


def retry_share(clock, *, daemons=1, extra=10.0):
    return _retry_share.RetryShare(
        ratio=0.2, extra=extra, window=10.0, daemons=daemons, clock=clock
    )


class TestRetryShare:
    @given(
        strategies.lists(
            strategies.tuples(
                strategies.floats(0.0, 2.0), strategies.booleans()
            ),
            max_size=200,
        )
    )
    def test_retries_stay_under_the_bound_in_each_window(self, steps):
        clock = claim_fakes.FakeClock()
        budget = retry_share(clock, daemons=2)
        now = 0.0
        requests, retries = [], []
        for pause, is_request in steps:
            clock.advance(pause)
            now += pause
            if is_request:
                budget.earn(GROUP)
                requests.append(now)
            elif budget.spend(GROUP):
                retries.append(now)
        for end in retries:
            spent = sum(end - 10.0 < at <= end for at in retries)
            earned = sum(end - 10.0 < at <= end for at in requests)
            assert spent <= 0.2 * earned + 10.0 / 2

    def test_services_do_not_share_retries(self):
        clock = claim_fakes.FakeClock()
        budget = retry_share(clock, extra=1.2)
        assert budget.spend(GROUP)
        assert not budget.spend(GROUP)
        assert budget.spend(_ids.GroupName("bookings"))

    def test_changed_bounds_apply_at_once(self):
        budget = retry_share(claim_fakes.FakeClock(), extra=0.0)
        assert not budget.spend(GROUP)
        budget.set_bounds(ratio=0.2, extra=2.0, window=10.0)
        assert budget.spend(GROUP)
        assert not budget.spend(GROUP)
