"""When callers send."""

import pytest

from soak import _clients


class TestWaves:
    @pytest.mark.parametrize(
        "now, expected", [(10.0, 0.0), (10.7, 0.0), (10.9, 1.1), (11.9, 0.1)]
    )
    def test_callers_begin_at_the_same_time(self, now, expected):
        """Clumps are what a mean of a second before does not show."""
        assert _clients.until_next_wave(now) == pytest.approx(expected)
