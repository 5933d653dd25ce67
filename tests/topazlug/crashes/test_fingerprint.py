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
