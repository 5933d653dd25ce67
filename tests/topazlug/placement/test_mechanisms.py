"""Parsing of the names of mechanisms to switch on and off."""

import pytest

from topazlug import _errors
from topazlug.placement import _mechanisms


class TestParseDisabled:
    def test_names_are_found(self):
        found = _mechanisms.parse_disabled(["copies", " owners ", ""])
        assert found == _mechanisms.OFF_BY_DEFAULT | {
            _mechanisms.Mechanism.COPIES,
            _mechanisms.Mechanism.OWNERS,
        }

    def test_mechanism_that_is_off_by_default_is_switched_on(self):
        speed = _mechanisms.Mechanism.REPLICA_SPEED
        assert speed in _mechanisms.parse_disabled([])
        assert speed not in _mechanisms.parse_disabled([], with_=[speed.value])

    def test_what_is_switched_on_and_off_is_off(self):
        speed = _mechanisms.Mechanism.REPLICA_SPEED
        found = _mechanisms.parse_disabled([speed.value], with_=[speed.value])
        assert speed in found

    def test_unknown_name_lists_the_known_ones(self):
        with pytest.raises(_errors.SettingsInvalid, match="rank-limits"):
            _mechanisms.parse_disabled(["wings"])
