"""Reports of a replica in the platform's header fields."""

import pytest
from topazlug_platform import headers

from topazlug.targets import _target_answer
from topazlug.targets import _target_report

WIRE = headers.ReplicaHeaders()


class Answer:
    """An answer's head."""

    def __init__(self, status, *fields):
        self.status = status
        self._fields = fields

    def header_values(self, name):
        return [value for key, value in self._fields if key == name]


def report(status, *fields) -> _target_report.TargetReport:
    answer: _target_answer.TargetAnswer = Answer(status, *fields)
    return WIRE.report(answer)


class TestReport:
    @pytest.mark.parametrize("status", [200, 429, 500, 503])
    def test_leaving_in_answers_of_every_kind(self, status):
        assert report(status, ("Server-Leaving", "1")).leaving

    def test_leaving_in_one_of_two_fields(self):
        fields = ("Server-Leaving", "0"), ("Server-Leaving", "1")
        assert report(200, *fields).leaving

    @pytest.mark.parametrize("value", ["", "0", "2", "true", "11"])
    def test_other_values_are_ignored(self, value):
        assert not report(200, ("Server-Leaving", value)).leaving

    def test_backoff(self):
        assert report(503, ("Retry-After", "3")).backoff == 3.0

    def test_misdirected_answer_reports_nothing(self):
        """A replica got no requests because its address was reused."""
        fields = ("Server-Leaving", "1"), ("Retry-After", "3")
        assert report(421, *fields) == _target_report.EMPTY_REPORT

    def test_no_fields(self):
        assert report(200) == _target_report.EMPTY_REPORT
