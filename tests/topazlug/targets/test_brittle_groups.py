"""Tests of which groups count as brittle."""

import pytest

from tests.topazlug import claim_fakes
from tests.topazlug.forwarding import forwarding_fixtures as fixtures
from topazlug.targets import _brittle_groups

TARGET = fixtures.target("i-1")
OTHER = fixtures.target("i-2")


@pytest.fixture
def clock():
    return claim_fakes.FakeClock()


@pytest.fixture
def groups(clock):
    return _brittle_groups.BrittleGroups(clock=clock)


class TestBrittleGroups:
    def test_one_replica_shows_it_for_the_group(self, groups):
        groups.record(TARGET, 3)
        assert groups.tolerated_by(OTHER.group) == 3
        assert groups.tolerated_by("others") is None
        assert groups.brittle_count() == 1

    def test_none_tolerated_is_brittle(self, groups):
        """0 was taken for a replica that is not brittle."""
        groups.record(TARGET, 0)
        assert groups.tolerated_by(TARGET.group) == 0

    def test_ends_without_answers(self, groups, clock):
        groups.record(TARGET, 3)
        clock.advance(3.1)
        assert groups.tolerated_by(TARGET.group) is None

    def test_answer_that_was_overtaken_does_not_end_it(self, groups, clock):
        """An answer begun before the replicas turned brittle came last."""
        groups.record(TARGET, 3)
        clock.advance(0.1)
        groups.record(OTHER, None)
        assert groups.tolerated_by(TARGET.group) == 3

    def test_answers_without_the_report_end_it(self, groups, clock):
        groups.record(TARGET, 3)
        clock.advance(0.6)
        groups.record(OTHER, None)
        assert groups.tolerated_by(TARGET.group) is None
