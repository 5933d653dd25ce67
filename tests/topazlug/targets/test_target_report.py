"""Tests of the backoff that an answer requests."""

import pytest

from topazlug.targets import _target_report


class TestBackoff:
    @pytest.mark.parametrize(
        ("value", "seconds"),
        [
            ("3", 3.0),
            (" 0.25 ", 0.25),
            ("0", 0.0),
            ("9" * 400, 86400.0),
            ("86401", 86400.0),
        ],
    )
    def test_seconds(self, value, seconds):
        assert _target_report.parse_backoff(503, [value]) == seconds

    @pytest.mark.parametrize(
        "value",
        [
            "",
            "-3",
            "+3",
            "3s",
            "1e3",
            "1_000",
            ".5",
            "5.",
            "nan",
            "inf",
            "٣",
            "Wed, 21 Oct 2026 07:28:00 GMT",
        ],
    )
    def test_other_values_are_ignored(self, value):
        assert _target_report.parse_backoff(503, [value]) == 0.0

    @pytest.mark.parametrize("status", [200, 421, 429, 500, 502, 504])
    def test_only_503_requests_one(self, status):
        assert _target_report.parse_backoff(status, ["3"]) == 0.0

    def test_longest_of_several_applies(self):
        assert _target_report.parse_backoff(503, ["1", "x", "4", "2"]) == 4.0

    def test_none_requested(self):
        assert _target_report.parse_backoff(503, []) == 0.0
