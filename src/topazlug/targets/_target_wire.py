"""The names that targets of one kind use on the wire."""

from typing import Protocol
from typing import final

from topazlug import _errors
from topazlug.targets import _target_answer
from topazlug.targets import _target_report

REQUEST_ID = "X-Request-Id"
NOT_RUN = "X-Not-Run"
TARGET_STATE = "X-Target-State"
_LEAVING = "leaving"


class TargetWire(Protocol):
    """The names that targets of one kind use.

    Attributes
    ----------
    id_header : str
        Header that names a request; targets echo it.
    repeats_answers : bool
        Whether a target may answer a request a second time, before it
        answers the connection's next one.
    """

    id_header: str
    repeats_answers: bool

    def refusal(
        self, answer: _target_answer.TargetAnswer
    ) -> _errors.TargetRefused | None:
        """Give the error for an answer that says "did not run"."""

    def report(
        self, answer: _target_answer.TargetAnswer
    ) -> _target_report.TargetReport:
        """Give what an answer says of the target that was asked."""

    def idle_seconds(
        self, answer: _target_answer.TargetAnswer
    ) -> float | None:
        """Give how long the target keeps an idle connection, if it says."""


@final
class ProductWire:
    """The names of the project's own interface to targets."""

    id_header = REQUEST_ID
    repeats_answers = False

    def refusal(
        self, answer: _target_answer.TargetAnswer
    ) -> _errors.TargetRefused | None:
        """Give the error for an answer that says "did not run"."""
        if answer.status != 503 or answer.header(NOT_RUN) != "true":
            return None
        leaving = _LEAVING in answer.header_values(TARGET_STATE)
        return _errors.TargetRefused(
            "the target is leaving" if leaving else "the target refused",
            retry_after=1.0,
        )

    def report(
        self, answer: _target_answer.TargetAnswer
    ) -> _target_report.TargetReport:
        """Give what an answer says of the target that was asked."""
        return _target_report.TargetReport(
            leaving=_LEAVING in answer.header_values(TARGET_STATE),
            backoff=_target_report.parse_backoff(
                answer.status, answer.header_values(_target_report.RETRY_AFTER)
            ),
        )

    def idle_seconds(
        self, answer: _target_answer.TargetAnswer
    ) -> float | None:
        """Give None: these targets don't say."""
        return None
