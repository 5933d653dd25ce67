"""The checks of streams that callers take up."""

import types

from soak import _clients
from soak import _expected
from soak import _stream_guarantees

COMPLETION = _clients.Completion
STREAM = "a1"
COUNT = _expected.event_count(STREAM)


def attempt(name, body, *, after=None, **changes):
    values = {
        "attempt": name,
        "path": _expected.STREAM,
        "daemon": 0,
        "started": 10.0,
        "ended": 10.5,
        "completion": COMPLETION.ANSWERED,
        "status": 200,
        "body": body,
        "signed": True,
        "reused": False,
        "taken_up": (
            None if after is None else _clients.TakenUp(STREAM, after)
        ),
    }
    return _clients.Outcome(**{**values, **changes})


def replica(version, **changes):
    values = {
        "version": version,
        "started_at": 0.0,
        "replaced_at": 99.0,
        "drained_at": None,
        "disruptions": [],
    }
    return types.SimpleNamespace(**{**values, **changes})


def begun(version):
    return attempt(STREAM, _expected.format_event(STREAM, 1, version))


class TestVersions:
    def test_stream_of_two_versions(self):
        for version, expected in (("v1", 0), ("v2", 1)):
            rest = _expected.stream_body(STREAM, version, after=1)
            outcomes = [begun("v1"), attempt("a2", rest, after=1)]
            found = list(_stream_guarantees.check_versions(outcomes))
            assert len(found) == expected

    def test_two_versions_in_one_answer(self):
        body = _expected.format_event(STREAM, 1, "v1")
        body += _expected.stream_body(STREAM, "v2", after=1)
        (found,) = _stream_guarantees.check_versions([attempt(STREAM, body)])
        assert found.startswith("ORDER")

    def test_stream_that_goes_on_too_early(self):
        """An event that came twice must not pass as the rest of a stream."""
        rest = _expected.stream_body(STREAM, "v1", after=1)
        outcome = attempt("a2", rest, after=2)
        assert _stream_guarantees.expected_body(outcome) != rest


class TestTakenUp:
    def violations(self, *, went_on, replicas, is_current=True):
        rest = _expected.stream_body(STREAM, "v1", after=1)
        outcomes = [begun("v1")]
        outcomes += [
            attempt(f"b{number}", rest if number < went_on else b"", after=1)
            for number in range(12)
        ]
        return list(
            _stream_guarantees.check_taken_up(
                replicas, outcomes, lambda daemon, at: is_current
            )
        )

    def test_most_streams_go_on(self):
        two = [replica("v1"), replica("v1")]
        assert self.violations(went_on=6, replicas=two) == []
        (found,) = self.violations(went_on=5, replicas=two)
        assert found.startswith("LOST")

    def test_one_replica_of_the_version_is_not_enough(self):
        one = [replica("v1"), replica("v2"), replica("v1", replaced_at=10.2)]
        assert self.violations(went_on=0, replicas=one) == []

    def test_daemons_that_are_disrupted(self):
        two = [replica("v1"), replica("v1")]
        assert not self.violations(went_on=0, replicas=two, is_current=False)
