"""Tests of which zones count as unreachable, and for how long."""

import msgspec
import pytest

from tests.topazlug import claim_fakes
from tests.topazlug.forwarding import forwarding_fixtures as fixtures
from topazlug.targets import _zone_reachability


@pytest.fixture
def clock():
    return claim_fakes.FakeClock()


@pytest.fixture
def reachability(clock):
    return _zone_reachability.ZoneReachability(clock=clock)


def target(name, zone="b"):
    return msgspec.structs.replace(fixtures.target(name), zone=zone)


class TestZoneReachability:
    def test_one_replica_is_not_enough(self, reachability):
        for _ in range(5):
            reachability.record_timeout(target("i-1"))
        assert reachability.is_reachable("b")

    def test_two_replicas_are_enough(self, reachability):
        assert not reachability.record_timeout(target("i-1"))
        assert reachability.record_timeout(target("i-2"))
        assert not reachability.is_reachable("b")
        assert reachability.is_reachable("a")

    def test_answer_in_between_resets_the_count(self, reachability):
        reachability.record_timeout(target("i-1"))
        reachability.record_answer(target("i-3"))
        reachability.record_timeout(target("i-2"))
        assert reachability.is_reachable("b")

    def test_backoff_doubles_up_to_a_maximum(self, reachability, clock):
        reachability.record_timeout(target("i-1"))
        reachability.record_timeout(target("i-2"))
        backoffs = []
        for _ in range(4):
            began = clock.monotonic()
            while not reachability.is_reachable("b"):
                clock.advance(0.1)
            backoffs.append(clock.monotonic() - began)
            reachability.record_timeout(target("i-3"))
        assert backoffs == pytest.approx([1.0, 2.0, 4.0, 4.0], abs=0.11)

    def test_timeouts_during_the_backoff_have_no_effect(
        self, reachability, clock
    ):
        reachability.record_timeout(target("i-1"))
        reachability.record_timeout(target("i-2"))
        for number in range(9):
            assert not reachability.record_timeout(target(f"j-{number}"))
        clock.advance(1.1)
        assert reachability.is_reachable("b")

    def test_answer_makes_it_reachable_at_once(self, reachability, clock):
        reachability.record_timeout(target("i-1"))
        reachability.record_timeout(target("i-2"))
        reachability.record_answer(target("i-1"))
        assert reachability.is_reachable("b")
