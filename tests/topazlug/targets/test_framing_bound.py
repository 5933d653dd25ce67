"""Bytes of an answer that belong to no part of it."""

import pytest

from tests.topazlug import claim_fakes
from topazlug.targets import _framing_bound


@pytest.fixture
def clock():
    return claim_fakes.FakeClock()


@pytest.fixture
def framing(clock):
    return _framing_bound.FramingBound(clock=clock)


class TestFramingBound:
    def test_many_bytes(self, framing):
        framing.add(65536)
        assert not framing.is_exceeded
        framing.add(1)
        assert framing.is_exceeded

    def test_bytes_that_drip(self, framing, clock):
        """A byte now and then counted as progress until the deadline."""
        for _ in range(5):
            assert not framing.is_exceeded
            framing.add(1)
            clock.advance(0.07)
        assert framing.is_exceeded

    def test_replica_that_pauses(self, framing, clock):
        """A sound replica may pause between two blocks."""
        framing.add(10)
        clock.advance(1.5)
        framing.add(10)
        assert not framing.is_exceeded

    def test_many_small_blocks_at_once(self, framing):
        for _ in range(20):
            framing.add(1)
        assert not framing.is_exceeded

    def test_part_of_the_answer(self, framing, clock):
        """A long answer in many chunks was given up."""
        for _ in range(20):
            framing.add(5)
            clock.advance(0.1)
            framing.reset()
        assert not framing.is_exceeded
