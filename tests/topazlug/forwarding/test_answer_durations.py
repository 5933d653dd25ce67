"""How long answers are expected to take."""

import pytest

from tests.topazlug.forwarding import forwarding_fixtures as fixtures
from topazlug import _ids
from topazlug.forwarding import _answer_durations

SAFETY = 1.2


def kind(route="plan", *, tokens=0, group=fixtures.GROUP):
    return _answer_durations.AnswerKind(route, group, tokens)


@pytest.fixture
def durations():
    return _answer_durations.AnswerDurations()


class TestExpected:
    def test_nothing_is_known(self, durations):
        assert durations.expected(kind()) is None

    def test_longest_of_the_latest(self, durations):
        for seconds in (0.2, 1.0, 0.5):
            durations.record(kind(), until_begin=seconds, whole=seconds)
        assert durations.expected(kind()) == pytest.approx(1.0 * SAFETY)

    def test_earlier_answers_are_forgotten(self, durations):
        """Requests were refused for one slow answer of an hour before."""
        durations.record(kind(), until_begin=9.0, whole=9.0)
        for _ in range(32):
            durations.record(kind(), until_begin=0.5, whole=0.5)
        assert durations.expected(kind()) == pytest.approx(0.5 * SAFETY)

    def test_scales_with_the_tokens(self, durations):
        """A long answer was expected to end as soon as a short one."""
        durations.record(kind(tokens=100), until_begin=0.2, whole=1.2)
        expected = durations.expected(kind(tokens=200))
        assert expected == pytest.approx(2.2 * SAFETY)

    def test_short_answers_say_little_of_long_ones(self, durations):
        """Answers of few tokens take longer for each of them."""
        durations.record(kind(tokens=2), until_begin=0.2, whole=0.4)
        durations.record(kind(tokens=200), until_begin=0.2, whole=2.2)
        expected = durations.expected(kind(tokens=300))
        assert expected == pytest.approx(3.2 * SAFETY)

    def test_only_short_answers_are_known(self, durations):
        durations.record(kind(tokens=10), until_begin=0.2, whole=0.4)
        durations.record(kind(tokens=10), until_begin=0.2, whole=0.6)
        expected = durations.expected(kind(tokens=100))
        assert expected == pytest.approx((0.2 + 100 * 0.03) * SAFETY)

    def test_routes_differ(self, durations):
        durations.record(kind("query"), until_begin=0.1, whole=0.1)
        durations.record(kind("audit"), until_begin=4.0, whole=4.0)
        assert durations.expected(kind("query")) == pytest.approx(0.1 * SAFETY)

    def test_route_that_was_not_used_yet(self, durations):
        durations.record(kind("query"), until_begin=0.1, whole=0.1)
        assert durations.expected(kind("new")) == pytest.approx(0.1 * SAFETY)
        elsewhere = kind("new", group=_ids.GroupName("other"))
        assert durations.expected(elsewhere) is None

    def test_routes_used_longest_ago_are_forgotten(self, durations):
        """A configuration may add routes without an end."""
        for number in range(2000):
            durations.record(kind(f"r{number}"), until_begin=1.0, whole=1.0)
        assert len(durations._latest_by_key) <= 512
        assert durations.expected(kind("r1999")) is not None
