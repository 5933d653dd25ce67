"""Repeats of a request have its fingerprint, other requests do not."""

import pytest

from topazlug import _ids
from topazlug.crashes import _fingerprint

REQUEST = {
    "method": "POST",
    "host": "chat.example",
    "path": "/a/x?q=1",
    "team": _ids.TeamName("udelar"),
    "body": b"body",
}


def fingerprint(**changes):
    return _fingerprint.fingerprint(**{**REQUEST, **changes})


class TestFingerprint:
    def test_repeat_has_same_fingerprint(self):
        assert fingerprint() == fingerprint()
        assert len(fingerprint()) == 24

    def test_host_is_case_insensitive(self):
        assert fingerprint(host="Chat.Example") == fingerprint()

    @pytest.mark.parametrize(
        "changes",
        [
            {"method": "PUT"},
            {"host": "other.example"},
            {"path": "/a/x?q=2"},
            {"team": _ids.TeamName("ort")},
            {"body": b"bodz"},
            {"path": "/a/x?q=1\nudelar", "team": _ids.TeamName("")},
            {"team": _ids.TeamName("udelarb"), "body": b"ody"},
        ],
    )
    def test_other_request_has_other_fingerprint(self, changes):
        assert fingerprint(**changes) != fingerprint()


class TestPartFingerprints:
    GROUP = _ids.GroupName("engines")

    def parts(self, *names, group=GROUP):
        return _fingerprint.part_fingerprints(group, names)

    def test_last_part_is_left_out(self):
        assert self.parts("a") == ()
        assert self.parts("a", "b", "c") == self.parts("a", "b", "d")

    def test_part_is_the_same_in_other_prompts(self):
        assert self.parts("a", "b", "x")[1] == self.parts("b", "y")[0]

    def test_part_of_another_group_is_another(self):
        other = self.parts("a", "x", group=_ids.GroupName("other"))
        assert other != self.parts("a", "x")

    def test_repeated_part_counts_once(self):
        assert len(self.parts("a", "a", "x")) == 1

    def test_number_of_parts_is_bounded(self):
        found = self.parts(*(f"{number}" for number in range(5000)))
        assert len(found) == _fingerprint.MAX_PARTS

    def test_part_differs_from_requests(self):
        (part,) = self.parts("a", "x")
        assert _fingerprint.is_part(part)
        assert not _fingerprint.is_part(fingerprint())
