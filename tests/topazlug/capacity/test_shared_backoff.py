"""When a replica's backoffs apply to all daemons."""

import pytest

from topazlug import _ids
from topazlug.capacity import _shared_backoff

D1, D2, D3 = map(_ids.DaemonId, ("d1", "d2", "d3"))


@pytest.fixture
def backoff():
    return _shared_backoff.SharedBackoff()


class TestDaemons:
    def test_backoff_of_one_daemon_is_not_shared(self, backoff):
        for _ in range(3):
            backoff.record(D1, seconds=3.0, now=0.0)
        assert backoff.remaining(now=0.0) == 0.0

    def test_lasts_while_two_daemons_are_in_backoff(self, backoff):
        backoff.record(D1, seconds=3.0, now=0.0)
        backoff.record(D2, seconds=5.0, now=1.0)
        assert backoff.remaining(now=1.0) == pytest.approx(2.0)
        assert backoff.remaining(now=3.0) == 0.0

    def test_third_daemon_prolongs_it(self, backoff):
        for at, daemon in enumerate((D1, D2, D3)):
            backoff.record(daemon, seconds=3.0, now=float(at))
        assert backoff.remaining(now=2.0) == pytest.approx(2.0)

    def test_expired_backoff_does_not_count(self, backoff):
        backoff.record(D1, seconds=3.0, now=0.0)
        backoff.record(D2, seconds=3.0, now=3.0)
        assert backoff.remaining(now=3.0) == 0.0


class TestRejectedFraction:
    """A replica must not idle because it rejects a few requests."""

    def admit(self, backoff, count):
        for _ in range(count):
            backoff.record_admitted()

    def test_few_of_the_admitted(self, backoff):
        backoff.record(D1, seconds=3.0, now=0.0)
        self.admit(backoff, 4)
        backoff.record(D2, seconds=3.0, now=0.1)
        assert backoff.remaining(now=0.1) == 0.0

    def test_half_of_the_admitted(self, backoff):
        backoff.record(D1, seconds=3.0, now=0.0)
        self.admit(backoff, 3)
        backoff.record(D2, seconds=3.0, now=0.1)
        assert backoff.remaining(now=0.1) > 0.0

    def test_counts_restart_after_all_have_expired(self, backoff):
        backoff.record(D1, seconds=3.0, now=0.0)
        self.admit(backoff, 100)
        for daemon in (D1, D2):
            backoff.record(daemon, seconds=3.0, now=4.0)
        assert backoff.remaining(now=4.0) == pytest.approx(3.0)

    def test_requests_before_the_first_backoff_do_not_count(self, backoff):
        self.admit(backoff, 100)
        for daemon in (D1, D2):
            backoff.record(daemon, seconds=3.0, now=0.0)
        assert backoff.remaining(now=0.0) == pytest.approx(3.0)
