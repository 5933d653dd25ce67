"""Parsing of the names of mechanisms to switch off."""

import pytest

from topazlug import _errors
from topazlug.placement import _mechanisms


class TestParseDisabled:
    def test_names_are_found(self):
        found = _mechanisms.parse_disabled(["copies", " owners ", ""])
        assert found == {
            _mechanisms.Mechanism.COPIES,
            _mechanisms.Mechanism.OWNERS,
        }

    def test_unknown_name_lists_the_known_ones(self):
        with pytest.raises(_errors.SettingsInvalid, match="rank-limits"):
            _mechanisms.parse_disabled(["wings"])
