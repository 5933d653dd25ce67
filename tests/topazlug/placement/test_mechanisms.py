"""Words that switch mechanisms off."""

import pytest

from topazlug import _errors
from topazlug.placement import _mechanisms


class TestWords:
    def test_words_are_found(self):
        found = _mechanisms.parse_disabled(["copies", " owners ", ""])
        assert found == {
            _mechanisms.Mechanism.COPIES,
            _mechanisms.Mechanism.OWNERS,
        }

    def test_unknown_word_says_what_is_known(self):
        with pytest.raises(_errors.SettingsInvalid, match="rank-limits"):
            _mechanisms.parse_disabled(["wings"])
