"""Which requests run on each start of a target, and how their runs end.

A target that crashes says nothing of what it was at. What ran on it when its
connections ended is all that is known of the cause, so it is noted here for
as long as it may be asked for.
"""

import collections
from collections.abc import Callable
import enum
from typing import final

import msgspec

from topazlug import _clock
from topazlug import _ids
from topazlug.targets import _target
from topazlug.targets import _targets

# Runs that ended without a whole answer are kept for so long: a replica whose
# entry lapses has been dead for up to three of its heartbeats, of 1.2 to 3 s.
RETENTION_SECONDS = 10.0
# And so many of them for each start: as many as an engine runs at once.
_KEPT_RUNS = 64


class RunEnd(enum.Enum):
    """How a run ended.

    Attributes
    ----------
    WHOLE
        Its answer was read whole, and said itself where it ends.
    NOT_RUN
        The target refused it, or got nothing of it.
    LOST
        The connection ended before the answer was whole.
    SILENT
        Nothing came for too long.
    LEFT
        This side stopped waiting, or can't say whether the answer is whole.
    """

    WHOLE = "whole"
    NOT_RUN = "not-run"
    LOST = "lost"
    SILENT = "silent"
    LEFT = "left"


@final
class Run(msgspec.Struct, eq=False, kw_only=True):
    """One request at one start of a target.

    Attributes
    ----------
    target : Target
        Where it runs.
    fingerprint : Fingerprint
        The same for all repeats of the request.
    attempt : str
        Names the attempt of its caller, the same at all targets that the
        daemon sends it to.
    began_at : float
        Monotonic seconds.
    end : RunEnd or None
        How it ended, None while it runs.
    ended_at : float
        Monotonic seconds.
    status : int
        Status of its answer, 0 if it had none.
    """

    target: _targets.Target
    fingerprint: _ids.Fingerprint
    attempt: str
    began_at: float
    end: RunEnd | None = None
    ended_at: float = 0.0
    status: int = 0

    def seconds(self, now: float) -> float:
        """Give how long it took, or has taken by now."""
        return (now if self.end is None else self.ended_at) - self.began_at

    @property
    def is_success(self) -> bool:
        """Say whether it ended with a whole answer that is a success."""
        return self.end is RunEnd.WHOLE and 200 <= self.status < 300


@final
class RunTracker:
    """Runs in progress, and those that ended lately without a whole answer.

    Parameters
    ----------
    clock : Clock
        Time.
    """

    def __init__(self, *, clock: _clock.Clock) -> None:
        self._clock = clock
        self._running_by_start: dict[_target.ReplicaProcess, set[Run]] = {}
        self._broken_by_start: dict[
            _target.ReplicaProcess, collections.deque[Run]
        ] = {}
        self._ended_callbacks: list[Callable[[Run], None]] = []

    def on_end(self, callback: Callable[[Run], None]) -> None:
        """Have a callable called with each run that has ended.

        It runs in the request's greenlet and must not block.
        """
        self._ended_callbacks.append(callback)

    def begin(
        self,
        target: _targets.Target,
        *,
        fingerprint: _ids.Fingerprint,
        attempt: str,
    ) -> Run:
        """Note that a request goes to a target."""
        run = Run(
            target=target,
            fingerprint=fingerprint,
            attempt=attempt,
            began_at=self._clock.monotonic(),
        )
        self._running_by_start.setdefault(
            _target.process_of(target), set()
        ).add(run)
        return run

    def finish(self, run: Run, end: RunEnd, *, status: int = 0) -> None:
        """Note how a run ended; a second time does nothing."""
        if run.end is not None:
            return
        run.end = end
        run.ended_at = self._clock.monotonic()
        run.status = status
        start = _target.process_of(run.target)
        running = self._running_by_start.get(start, set())
        running.discard(run)
        if not running:
            self._running_by_start.pop(start, None)
        if end not in (RunEnd.WHOLE, RunEnd.NOT_RUN):
            self._keep_broken(start, run)
        for callback in self._ended_callbacks:
            callback(run)

    def _keep_broken(self, start: _target.ReplicaProcess, run: Run) -> None:
        self._forget_old()
        broken = self._broken_by_start.get(start)
        if broken is None:
            broken = collections.deque(maxlen=_KEPT_RUNS)
            self._broken_by_start[start] = broken
        broken.append(run)

    def _forget_old(self) -> None:
        oldest = self._clock.monotonic() - RETENTION_SECONDS
        for start, broken in list(self._broken_by_start.items()):
            while broken and broken[0].ended_at < oldest:
                broken.popleft()
            if not broken:
                del self._broken_by_start[start]

    def running(self, start: _target.ReplicaProcess) -> list[Run]:
        """Give the runs in progress on a start."""
        return list(self._running_by_start.get(start, ()))

    def broken(
        self, start: _target.ReplicaProcess, *, seconds: float
    ) -> list[Run]:
        """Give the runs that ended on a start without a whole answer.

        Parameters
        ----------
        seconds : float
            How long ago at most, up to `RETENTION_SECONDS`.
        """
        oldest = self._clock.monotonic() - seconds
        broken = self._broken_by_start.get(start, ())
        return [run for run in broken if run.ended_at >= oldest]
