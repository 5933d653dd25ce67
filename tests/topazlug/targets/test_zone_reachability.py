"""Zones that a daemon leaves alone, and until when."""

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


class TestZoneReach:
    def test_one_silent_replica_is_no_silent_zone(self, reachability):
        for _ in range(5):
            reachability.note_timeout(target("i-1"))
        assert reachability.is_reachable("b")

    def test_two_are(self, reachability):
        assert not reachability.note_timeout(target("i-1"))
        assert reachability.note_timeout(target("i-2"))
        assert not reachability.is_reachable("b")
        assert reachability.is_reachable("a")

    def test_two_with_an_answer_between_are_not(self, reachability):
        reachability.note_timeout(target("i-1"))
        reachability.note_answer(target("i-3"))
        reachability.note_timeout(target("i-2"))
        assert reachability.is_reachable("b")

    def test_it_is_tried_again_and_left_alone_for_longer(
        self, reachability, clock
    ):
        reachability.note_timeout(target("i-1"))
        reachability.note_timeout(target("i-2"))
        closed = []
        for _ in range(4):
            began = clock.monotonic()
            while not reachability.is_reachable("b"):
                clock.advance(0.1)
            closed.append(clock.monotonic() - began)
            reachability.note_timeout(target("i-3"))
        assert closed == pytest.approx([1.0, 2.0, 4.0, 4.0], abs=0.11)

    def test_silences_that_were_on_their_way_change_nothing(
        self, reachability, clock
    ):
        reachability.note_timeout(target("i-1"))
        reachability.note_timeout(target("i-2"))
        for number in range(9):
            assert not reachability.note_timeout(target(f"j-{number}"))
        clock.advance(1.1)
        assert reachability.is_reachable("b")

    def test_answer_opens_it_at_once(self, reachability, clock):
        reachability.note_timeout(target("i-1"))
        reachability.note_timeout(target("i-2"))
        reachability.note_answer(target("i-1"))
        assert reachability.is_reachable("b")
