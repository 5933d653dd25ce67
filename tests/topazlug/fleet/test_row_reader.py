"""Decoding and logging of rows with invalid data."""

import logbook
import pytest

from tests.topazlug import claim_fakes
from topazlug.fleet import _row_reader


@pytest.fixture
def clock():
    return claim_fakes.FakeClock()


@pytest.fixture
def reader(clock):
    return _row_reader.RowReader(
        name="rows", decode=lambda key, data: int(data), clock=clock
    )


class TestRowReader:
    def test_invalid_row_does_not_affect_others(self, reader):
        assert reader.read({"a": b"1", "b": b"x", "c": b"3"}) == [1, 3]

    def test_unchanged_row_is_not_decoded_again(self, clock):
        decoded = []
        reader = _row_reader.RowReader(
            name="rows",
            decode=lambda key, data: decoded.append(key) or data,
            clock=clock,
        )
        reader.read({"a": b"1", "b": b"2"})
        reader.read({"a": b"1", "b": b"3"})
        assert decoded == ["a", "b", "b"]

    def test_invalid_row_is_logged_once_per_interval(self, reader, clock):
        """Guards against a row that floods the log.

        Another writer replaces an invalid row ten times a second.
        """
        with logbook.TestHandler() as handler:
            for number in range(200):
                reader.read({"a": f"x{number}".encode()})
                clock.advance(0.1)
        assert len(handler.records) == 1

    def test_number_of_logged_rows_is_limited(self, reader):
        with logbook.TestHandler() as handler:
            reader.read({str(number): b"x" for number in range(500)})
        assert 0 < len(handler.records) <= 20
