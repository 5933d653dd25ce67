"""Tests that events are complete, in order and returned once."""

from hypothesis import given
from hypothesis import strategies
import pytest

from topazlug.calls import _sse


def event(number: int) -> bytes:
    return b"id: %d\ndata: t%d\n\n" % (number, number)


DONE = b"data: [DONE]\n\n"
STREAM = b"".join(event(number) for number in range(6)) + DONE


class TestEventReader:
    @given(strategies.lists(strategies.integers(0, len(STREAM)), max_size=8))
    def test_events_do_not_depend_on_chunk_boundaries(self, boundaries):
        reader = _sse.EventReader()
        ends = sorted([0, *boundaries, len(STREAM)])
        received = [reader.feed(STREAM[a:b]) for a, b in zip(ends, ends[1:])]
        assert b"".join(received) == STREAM
        assert reader.done
        assert reader.count == 6

    def test_partial_event_is_not_returned(self):
        reader = _sse.EventReader()
        assert reader.feed(event(0) + b"id: 1\ndata: t") == event(0)
        reader.discard_partial()
        assert reader.feed(event(1)) == event(1)

    def test_repeated_events_are_discarded(self):
        reader = _sse.EventReader()
        repeated = event(0) * 2 + event(1) + event(0) + event(2)
        assert reader.feed(repeated) == event(0) + event(1) + event(2)

    def test_nothing_follows_the_closing_event(self):
        reader = _sse.EventReader()
        assert reader.feed(event(0) + DONE + DONE + event(1)) == (
            event(0) + DONE
        )

    def test_missing_event_is_an_error(self):
        """An event that the engine lost must be detected by the ids.

        Without this, the caller would receive an answer with a word missing.
        """
        reader = _sse.EventReader()
        reader.feed(event(0))
        with pytest.raises(_sse.EventMissing):
            reader.feed(event(2))
        assert reader.last_id == 0

    def test_events_before_a_gap_are_returned_first(self):
        reader = _sse.EventReader()
        assert reader.feed(event(0) + event(2) + DONE) == event(0)
        assert not reader.done
        with pytest.raises(_sse.EventMissing):
            reader.feed(event(3))

    def test_incomplete_event_is_bounded(self):
        reader = _sse.EventReader()
        with pytest.raises(_sse.EventTooLong):
            reader.feed(b"data: " + b"x" * (1 << 20))
