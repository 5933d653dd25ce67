"""Encoding of crash records as rows, and invalid rows."""

import pytest

from tests.topazlug.crashes import crash_fixtures as fixtures
from topazlug.crashes import _crash_records

RECORDS = [
    fixtures.crash("i-1@7", ("f", "a1"), ("g", "b1")),
    fixtures.answered("f", "i-1@7"),
    fixtures.block("f", "i-1@7", "i-2@1", "i-3@1"),
    fixtures.block("f", "i-1@7", released=True),
]


class TestRows:
    @pytest.mark.parametrize("record", RECORDS)
    def test_encoded_record_is_decoded_unchanged(self, record):
        key = _crash_records.record_key(record)
        assert (
            _crash_records.decode(key, _crash_records.encode(record)) == record
        )

    def test_keys(self):
        assert [_crash_records.record_key(record) for record in RECORDS] == [
            "crash/i-1@7/d1",
            "answered/f",
            "block/f",
            "block/f",
        ]

    @pytest.mark.parametrize(
        "data",
        [
            b"",
            b"{}",
            b"\xff",
            b'{"type": "other"}',
            _crash_records.encode(fixtures.block("g", "i-1@7")),
            _crash_records.encode(RECORDS[2]).replace(b"Z", b""),
        ],
    )
    def test_invalid_row_is_rejected(self, data):
        with pytest.raises(ValueError):
            _crash_records.decode("block/f", data)

    def test_attempt_tags_are_short_and_distinct(self):
        one, other = map(_crash_records.attempt_tag, ("a" * 32, "b" * 32))
        assert one != other
        assert len(one) == 8
