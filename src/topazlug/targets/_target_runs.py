"""Runs of requests on each replica process, and how they ended.

A crashed target can't report which request made it crash. The only evidence
is which requests ran on it when its connections ended, so these runs are kept
here until the crash has been noticed and examined.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterator
import enum
import math
from typing import final

import msgspec

from topazlug import _clock
from topazlug import _ids
from topazlug.targets import _target
from topazlug.targets import _targets

# Retention of runs that ended without a complete answer. A replica's entry
# expires up to three heartbeats, of 1.2 to 3 s each, after the replica died.
RETENTION_SECONDS = 10.0
# Maximum for each process: as many as an engine runs concurrently.
_MAX_BROKEN_RUNS = 64


class RunEnd(enum.Enum):
    """How a run ended.

    Attributes
    ----------
    COMPLETE
        The answer was read completely; its framing marked its end.
    NOT_RUN
        The target rejected the request, or nothing of it was sent.
    LOST
        The connection ended before the answer was complete.
    TIMED_OUT
        The target sent nothing until the timeout.
    ABANDONED
        The daemon stopped waiting.
    UNDELIMITED
        The target closed the connection, which ends an answer that has
        neither a length nor chunks. It may have crashed.
    """

    COMPLETE = "whole"
    NOT_RUN = "not-run"
    LOST = "lost"
    TIMED_OUT = "silent"
    ABANDONED = "left"
    UNDELIMITED = "undelimited"


@final
class Run(msgspec.Struct, eq=False, kw_only=True):
    """One run of a request on one replica process.

    Attributes
    ----------
    target : Target
        The target that it runs on.
    fingerprint : Fingerprint
        Identifies the request across all its repeats.
    attempt : str
        Identifies the caller's attempt, on all targets that the daemon sends
        it to.
    began_at : float
        Monotonic seconds.
    parts : tuple of Fingerprint
        Parts of its prompt that it may share with other requests.
    wrote_at : float
        Monotonic seconds at which the first bytes of its answer's body
        arrived; infinite before.
    end : RunEnd or None
        How it ended; None while it runs.
    ended_at : float
        Monotonic seconds.
    status : int
        Status of its answer, 0 if there was none.
    """

    target: _targets.Target
    fingerprint: _ids.Fingerprint
    attempt: str
    began_at: float
    parts: tuple[_ids.Fingerprint, ...] = ()
    wrote_at: float = math.inf
    end: RunEnd | None = None
    ended_at: float = 0.0
    status: int = 0

    def seconds(self, now: float) -> float:
        """Return its duration, up to now if it is still in progress."""
        return (now if self.end is None else self.ended_at) - self.began_at

    @property
    def is_success(self) -> bool:
        """Return whether it ended with a complete 2xx answer."""
        return self.end is RunEnd.COMPLETE and 200 <= self.status < 300


@final
class RunTracker:
    """Runs in progress, and broken runs: those without a complete answer.

    Broken runs are kept for `RETENTION_SECONDS`. Runs that the target did
    not start are not counted among them.

    Parameters
    ----------
    clock : Clock
        Time.
    """

    def __init__(self, *, clock: _clock.Clock) -> None:
        self._clock = clock
        self._running_by_process: dict[_target.ReplicaProcess, set[Run]] = {}
        self._broken_by_process: dict[
            _target.ReplicaProcess, collections.deque[Run]
        ] = {}
        self._ended_callbacks: list[Callable[[Run], None]] = []

    def on_end(self, callback: Callable[[Run], None]) -> None:
        """Register a callback for runs that have ended.

        It is called in the request's greenlet and must not block.
        """
        self._ended_callbacks.append(callback)

    def begin(
        self,
        target: _targets.Target,
        *,
        fingerprint: _ids.Fingerprint,
        attempt: str,
        parts: tuple[_ids.Fingerprint, ...] = (),
    ) -> Run:
        """Record that a request is about to be sent to a target."""
        run = Run(
            target=target,
            fingerprint=fingerprint,
            attempt=attempt,
            began_at=self._clock.monotonic(),
            parts=parts,
        )
        self._running_by_process.setdefault(
            _target.process_of(target), set()
        ).add(run)
        return run

    def record_body(self, run: Run) -> None:
        """Record that bytes of the answer's body have arrived."""
        if run.wrote_at == math.inf:
            run.wrote_at = self._clock.monotonic()

    def finish(self, run: Run, end: RunEnd, *, status: int = 0) -> None:
        """Record how a run ended; only the first call has an effect."""
        if run.end is not None:
            return
        run.end = end
        run.ended_at = self._clock.monotonic()
        run.status = status
        process = _target.process_of(run.target)
        running = self._running_by_process.get(process, set())
        running.discard(run)
        if not running:
            self._running_by_process.pop(process, None)
        if end not in (RunEnd.COMPLETE, RunEnd.NOT_RUN):
            self._add_broken(process, run)
        for callback in self._ended_callbacks:
            callback(run)

    def _add_broken(self, process: _target.ReplicaProcess, run: Run) -> None:
        self._evict_expired()
        broken = self._broken_by_process.get(process)
        if broken is None:
            broken = collections.deque(maxlen=_MAX_BROKEN_RUNS)
            self._broken_by_process[process] = broken
        broken.append(run)

    def _evict_expired(self) -> None:
        oldest = self._clock.monotonic() - RETENTION_SECONDS
        for process, broken in list(self._broken_by_process.items()):
            while broken and broken[0].ended_at < oldest:
                broken.popleft()
            if not broken:
                del self._broken_by_process[process]

    def running(self, process: _target.ReplicaProcess) -> list[Run]:
        """Return the runs in progress on a replica process."""
        return list(self._running_by_process.get(process, ()))

    def all_running(self) -> Iterator[Run]:
        """Yield the runs in progress on all replica processes."""
        for runs in self._running_by_process.values():
            yield from runs

    def broken(
        self, process: _target.ReplicaProcess, *, seconds: float
    ) -> list[Run]:
        """Return the broken runs of a replica process.

        Parameters
        ----------
        process : ReplicaProcess
            The replica process.
        seconds : float
            Maximum time since they ended; at most `RETENTION_SECONDS`.
        """
        oldest = self._clock.monotonic() - seconds
        broken = self._broken_by_process.get(process, ())
        return [run for run in broken if run.ended_at >= oldest]
