"""Sequence of the sources that one read of a table tries."""

from typing import final

from topazlug.fleet import _reading_plan

Step = _reading_plan.Step
Outcome = _reading_plan.Outcome


@final
class SourceSearch:
    """Selects the next source of one read until one has answered.

    Parameters
    ----------
    plan : ReadingPlan
        Plan of the daemon that reads.
    table : str
        Name of the table.
    """

    def __init__(self, plan: _reading_plan.ReadingPlan, table: str) -> None:
        self._plan = plan
        self._steps = plan.first_steps(table)
        self._tried: list[Step] = []
        self._tried_substitutes = False
        self._tried_last_step = False
        self._store_reported_lost = False
        self._unanswered_seconds = 0.0

    def next(self) -> Step | None:
        """Return the next source to try; None if there is none now."""
        while True:
            step = self._next_step()
            if step is None:
                return None
            if step in self._tried:
                continue
            self._tried.append(step)
            if not isinstance(step, _reading_plan.ReadPeer):
                return step
            reason = self._plan.avoidance_reason(step.peer)
            if reason is None:
                return step
            self._store_reported_lost = (
                self._store_reported_lost or reason is Outcome.STORE_LOST
            )

    def _next_step(self) -> Step | None:
        if (
            self._steps
            and self._unanswered_seconds < _reading_plan.MAX_UNANSWERED_SECONDS
        ):
            return self._steps.pop(0)
        if self._tried_last_step:
            return None
        if (
            not self._tried_substitutes
            and self._unanswered_seconds < _reading_plan.MAX_UNANSWERED_SECONDS
        ):
            self._tried_substitutes = True
            self._steps = self._plan.substitutes()
            return self._next_step()
        self._tried_last_step = True
        return self._plan.last_step(
            store_reported_lost=self._store_reported_lost
        )

    def record(self, step: Step, outcome: Outcome, *, seconds: float) -> None:
        """Record the outcome of a step and the seconds that it took."""
        self._plan.record(step, outcome, seconds=seconds)
        if outcome is Outcome.NO_ANSWER and isinstance(
            step, _reading_plan.ReadPeer
        ):
            self._unanswered_seconds += seconds
        if outcome is Outcome.STORE_LOST:
            self._store_reported_lost = True
