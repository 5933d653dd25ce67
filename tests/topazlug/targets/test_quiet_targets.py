"""What targets say of themselves, and for how long it counts."""

import logbook
import pytest

from tests.topazlug import claim_fakes
from tests.topazlug.forwarding import forwarding_fixtures as fixtures
from topazlug.targets import _quiet_targets
from topazlug.targets import _target_word

LEAVES = _target_word.TargetWord(leaving=True)
TARGET = fixtures.target("i-1")
NEXT_START = fixtures.target("i-1", incarnation=2)
OTHER = fixtures.target("i-2")


@pytest.fixture
def clock():
    return claim_fakes.FakeClock()


@pytest.fixture
def quiet(clock):
    return _quiet_targets.QuietTargets(clock=clock)


def wants(seconds):
    return _target_word.TargetWord(backoff=seconds)


class TestLeaving:
    def test_counts_for_the_start_that_said_it(self, quiet):
        assert quiet.note(TARGET, LEAVES)
        assert quiet.is_leaving(TARGET)
        assert not quiet.is_leaving(OTHER)
        assert not quiet.is_leaving(NEXT_START)

    def test_does_not_end_with_time_or_with_another_answer(self, quiet, clock):
        quiet.note(TARGET, LEAVES)
        clock.advance(3600.0)
        quiet.note(TARGET, _target_word.NOTHING)
        assert quiet.is_leaving(TARGET)

    def test_is_news_once(self, quiet):
        quiet.note(TARGET, LEAVES)
        with logbook.TestHandler() as logs:
            assert not quiet.note(TARGET, LEAVES)
        assert not logs.records


class TestBackoff:
    def test_lasts_as_long_as_was_asked_for(self, quiet, clock):
        assert quiet.note(TARGET, wants(3.0))
        clock.advance(2.9)
        assert quiet.backoff_left(TARGET) == pytest.approx(0.1)
        clock.advance(0.1)
        assert quiet.backoff_left(TARGET) == 0.0

    def test_counts_for_the_start_that_asked(self, quiet):
        quiet.note(TARGET, wants(3.0))
        assert quiet.backoff_left(OTHER) == 0.0
        assert quiet.backoff_left(NEXT_START) == 0.0

    def test_is_never_shortened(self, quiet, clock):
        quiet.note(TARGET, wants(3.0))
        clock.advance(1.0)
        assert not quiet.note(TARGET, wants(0.5))
        assert not quiet.note(TARGET, _target_word.NOTHING)
        assert quiet.backoff_left(TARGET) == pytest.approx(2.0)

    def test_is_prolonged(self, quiet, clock):
        quiet.note(TARGET, wants(3.0))
        clock.advance(1.0)
        assert quiet.note(TARGET, wants(3.0))
        assert quiet.backoff_left(TARGET) == pytest.approx(3.0)


class TestMemory:
    def test_forgets_the_starts_that_were_quiet_longest(
        self, quiet, monkeypatch
    ):
        monkeypatch.setattr(_quiet_targets, "_MOST_STARTS", 2)
        for name in ("i-1", "i-2", "i-3"):
            quiet.note(fixtures.target(name), LEAVES)
        assert not quiet.is_leaving(fixtures.target("i-1"))
        assert quiet.is_leaving(fixtures.target("i-3"))
