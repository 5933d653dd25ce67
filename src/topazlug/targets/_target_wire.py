"""Header conventions between the daemon and one kind of target."""

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
    """Header conventions of one kind of target.

    Attributes
    ----------
    id_header : str
        Header with the request's id, which targets echo.
    repeats_answers : bool
        Whether a target may answer a request a second time before it
        answers the next one on the same connection.
    """

    id_header: str
    repeats_answers: bool

    def rejection(
        self, answer: _target_answer.TargetAnswer
    ) -> _errors.TargetRefused | None:
        """Return the error if the target rejected the request, else None."""

    def report(
        self, answer: _target_answer.TargetAnswer
    ) -> _target_report.TargetReport:
        """Return the target's report on its own state."""

    def idle_seconds(
        self, answer: _target_answer.TargetAnswer
    ) -> float | None:
        """Return for how long the target keeps idle connections, if known."""


@final
class DefaultTargetWire:
    """Header conventions of the project's own interface to targets."""

    id_header = REQUEST_ID
    repeats_answers = False

    def rejection(
        self, answer: _target_answer.TargetAnswer
    ) -> _errors.TargetRefused | None:
        """Return the error if the target rejected the request, else None."""
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
        """Return the target's report on its own state."""
        return _target_report.TargetReport(
            leaving=_LEAVING in answer.header_values(TARGET_STATE),
            backoff=_target_report.parse_backoff(
                answer.status, answer.header_values(_target_report.RETRY_AFTER)
            ),
        )

    def idle_seconds(
        self, answer: _target_answer.TargetAnswer
    ) -> float | None:
        """Return None, as these targets don't report it."""
        return None
