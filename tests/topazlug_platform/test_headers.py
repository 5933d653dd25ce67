"""Reports of a replica in the platform's header fields."""

import pytest
from topazlug_platform import headers

from topazlug import _errors
from topazlug.forwarding import _wire
from topazlug.targets import _target_answer
from topazlug.targets import _target_report

WIRE = headers.ReplicaHeaders()


class Answer:
    """An answer's head."""

    def __init__(self, status, *fields):
        self.status = status
        self._fields = fields

    def header(self, name):
        return ", ".join(self.header_values(name))

    def header_values(self, name):
        return [value for key, value in self._fields if key == name]


def report(status, *fields) -> _target_report.TargetReport:
    answer: _target_answer.TargetAnswer = Answer(status, *fields)
    return WIRE.report(answer)


class TestReport:
    @pytest.mark.parametrize("status", [200, 429, 500, 503])
    def test_leaving_in_answers_of_every_kind(self, status):
        assert report(status, ("Server-Leaving", "1")).leaving

    @pytest.mark.parametrize("status", [200, 500, 503])
    def test_brittle_in_answers_of_every_kind(self, status):
        found = report(status, ("Server-Brittle", "4"))
        assert found.tolerated_rejections == 4

    @pytest.mark.parametrize(
        ("values", "tolerated"),
        [
            ((), None),
            (("0",), 0),
            (("7", "2"), 2),
            (("-1",), None),
            (("NaN",), None),
            (("9" * 400,), None),
            (("x", "3"), 3),
        ],
    )
    def test_brittle_values(self, values, tolerated):
        fields = [("Server-Brittle", value) for value in values]
        assert report(200, *fields).tolerated_rejections == tolerated

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


def load(value) -> _wire.LoadReport | None:
    answer: _target_answer.TargetAnswer = Answer(
        200, ("X-Replica-Load", value)
    )
    return WIRE.load(answer)


class TestLoad:
    def test_three_figures(self):
        assert load("3, 1,48") == _wire.LoadReport(3, 1, 48)

    def test_fourth_figure_is_the_slowness(self):
        """The load of replicas that share their machines was ignored.

        Without it, requests for a context that had been read went on
        waiting for the read until they were late.
        """
        assert load("3,1,48,250") == _wire.LoadReport(3, 1, 48, slowness=2.5)

    def test_further_figures_are_ignored(self):
        assert load("3,1,48,130,7") == _wire.LoadReport(3, 1, 48, slowness=1.3)

    def test_zero_is_no_slowness(self):
        assert load("3,1,48,0") == _wire.LoadReport(3, 1, 48)

    @pytest.mark.parametrize(
        "value",
        ["", "3,1", "a,1,48", "3,1,-48", "3,,48", "\u00b2,1,48", "3,1,x,9"],
    )
    def test_malformed_figures(self, value):
        assert load(value) is None

    @pytest.mark.parametrize("value", ["3,1,48,", "3,1,48,x", "3,1,48,-9,x"])
    def test_malformed_slowness_leaves_the_load(self, value):
        """A replica's load was lost with a slowness that made no sense."""
        assert load(value) == _wire.LoadReport(3, 1, 48)

    @pytest.mark.parametrize("digits", [10, 400, 5000])
    def test_endless_figure(self, digits):
        """A request failed as the slowness of its replica overflowed."""
        figure = "9" * digits
        assert load("3,1,48," + figure) == _wire.LoadReport(3, 1, 48)
        assert load(figure + ",1,48") is None


def output_tokens(value) -> int:
    return (
        headers.ClientHeaders()
        .decode([("X-Token-Counts", value)])
        .output_tokens
    )


class TestTokenCounts:
    def test_output_tokens(self):
        assert output_tokens("1460,80") == 80

    @pytest.mark.parametrize(
        "value",
        ["", "1460", "1460,", "1460,x", "1460,-8", "1," + "9" * 25]
        + ["1," + "9" * 5000],
    )
    def test_malformed_counts(self, value):
        assert output_tokens(value) == 0


class TestPromptParts:
    @pytest.mark.parametrize("digits", [25, 5000])
    def test_endless_length(self, digits):
        """A request with an endless number failed with an internal error."""
        fields = [("X-Prompt-Prefix", "5c1e07a2:" + "9" * digits)]
        (part,) = headers.ClientHeaders().decode(fields).parts
        assert part.tokens == 0


class TestResumedAttempt:
    def test_names_the_attempt_that_brought_the_first_event(self):
        fields = [("X-Attempt-Id", "a2"), ("resumes", " a1 ")]
        head = headers.ClientHeaders().decode(fields)
        assert (head.attempt, head.resumes) == ("a2", "a1")

    def test_is_empty_for_a_new_stream(self):
        head = headers.ClientHeaders().decode([("X-Attempt-Id", "a2")])
        assert head.resumes == ""

    def test_two_are_rejected(self):
        """Two daemons could each look up another attempt."""
        fields = [("Resumes", "a1"), ("Resumes", "a2")]
        with pytest.raises(_errors.BadHeader):
            headers.ClientHeaders().decode(fields)
