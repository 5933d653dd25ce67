"""When a replica's backoffs hold for everybody."""

import pytest

from topazlug import _ids
from topazlug.capacity import _shared_backoff

D1, D2, D3 = map(_ids.DaemonId, ("d1", "d2", "d3"))


@pytest.fixture
def backoff():
    return _shared_backoff.SharedBackoff()


class TestDaemons:
    def test_one_alone_is_its_own(self, backoff):
        for _ in range(3):
            backoff.note(D1, seconds=3.0, now=0.0)
        assert backoff.remaining(now=0.0) == 0.0

    def test_as_long_as_two_are_in_one(self, backoff):
        backoff.note(D1, seconds=3.0, now=0.0)
        backoff.note(D2, seconds=5.0, now=1.0)
        assert backoff.remaining(now=1.0) == pytest.approx(2.0)
        assert backoff.remaining(now=3.0) == 0.0

    def test_third_prolongs_it(self, backoff):
        for at, daemon in enumerate((D1, D2, D3)):
            backoff.note(daemon, seconds=3.0, now=float(at))
        assert backoff.remaining(now=2.0) == pytest.approx(2.0)

    def test_one_that_is_over_does_not_count(self, backoff):
        backoff.note(D1, seconds=3.0, now=0.0)
        backoff.note(D2, seconds=3.0, now=3.0)
        assert backoff.remaining(now=3.0) == 0.0


class TestPart:
    """A replica that turns few away would idle if all kept off."""

    def let_in(self, backoff, count):
        for _ in range(count):
            backoff.note_admitted()

    def test_few_of_those_let_in(self, backoff):
        backoff.note(D1, seconds=3.0, now=0.0)
        self.let_in(backoff, 4)
        backoff.note(D2, seconds=3.0, now=0.1)
        assert backoff.remaining(now=0.1) == 0.0

    def test_half_of_those_let_in(self, backoff):
        backoff.note(D1, seconds=3.0, now=0.0)
        self.let_in(backoff, 3)
        backoff.note(D2, seconds=3.0, now=0.1)
        assert backoff.remaining(now=0.1) > 0.0

    def test_counted_anew_once_all_are_over(self, backoff):
        backoff.note(D1, seconds=3.0, now=0.0)
        self.let_in(backoff, 100)
        for daemon in (D1, D2):
            backoff.note(daemon, seconds=3.0, now=4.0)
        assert backoff.remaining(now=4.0) == pytest.approx(3.0)

    def test_requests_before_the_first_do_not_count(self, backoff):
        self.let_in(backoff, 100)
        for daemon in (D1, D2):
            backoff.note(daemon, seconds=3.0, now=0.0)
        assert backoff.remaining(now=0.0) == pytest.approx(3.0)
