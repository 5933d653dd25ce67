"""Trials of what is blocked, so that a wrong block ends by itself.

A block removes the evidence that would show it to be wrong: what is blocked is
not answered any more. So one request at a time may run again, first some
seconds after the block. If it is answered, the block is lifted for all
daemons. If its replica crashes, the next trial is several times as far away:
what crashes replicas ends one more of them in the first minute, and four in
the first hour.

The daemon that ranks first for the block may try first, and twice as many each
few seconds later: few do so at the same time, and any of them does where such
requests are rare.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import enum
import math
from typing import final

import msgspec

from topazlug import _clock
from topazlug import _ids
from topazlug import _logs
from topazlug.crashes import _crash_records
from topazlug.crashes import _sound_parts
from topazlug.targets import _target_runs

_log = _logs.logger("crashes")
# Seconds from a block to its first trial, the factor by which each failed one
# delays the next, and the maximum.
_FIRST_SECONDS = 10.0
_FACTOR = 6.0
_MAX_SECONDS = 4 * 3600.0
# After this time twice as many daemons may try: it is long enough for the news
# of a crash.
_DOUBLING_SECONDS = 3.0
# All daemons of any fleet may try from then on.
_MAX_DOUBLINGS = 20
# A request that was let through may wait this long for a replica.
_MAX_WAIT_SECONDS = 5.0
_MIN_RETRY_AFTER_SECONDS = 1.0
# Interval at which a trial in progress is looked at.
_POLL_SECONDS = 0.5


class Verdict(enum.Enum):
    """Outcome of a trial.

    Attributes
    ----------
    ANSWERED
        The request was answered, so the block is wrong.
    CRASHED
        Its replica crashed or fell silent.
    OPEN
        It shows neither.
    """

    ANSWERED = "answered"
    CRASHED = "crashed"
    OPEN = "open"


class _State(msgspec.Struct):
    """What this daemon knows of the trials of one block.

    Attributes
    ----------
    trials : int
        Failed trials that the block has recorded.
    since : float
        Monotonic seconds from which the time to the next trial counts.
    attempt : str
        Attempt that was let through, empty if none is.
    granted_at : float
        Monotonic seconds.
    run : Run or None
        Its run, once it has ended.
    """

    trials: int
    since: float
    attempt: str = ""
    granted_at: float = -math.inf
    run: _target_runs.Run | None = None


@final
class BlockTrials:
    """Lets single requests through that are blocked, and judges them.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Attributes
    ----------
    rank_of : callable
        Returns this daemon's rank for a fingerprint, 0 for the first.
    count : int
        Number of requests that were let through.
    """

    def __init__(self, *, clock: _clock.Clock) -> None:
        self._clock = clock
        self._state_by_fingerprint: dict[_ids.Fingerprint, _State] = {}
        self.rank_of: Callable[[_ids.Fingerprint], int] = lambda _: 0
        self.count = 0

    def update(
        self, block_by_fingerprint: Mapping[_ids.Fingerprint, object]
    ) -> None:
        """Drop the state of what is not blocked any more.

        Parameters
        ----------
        block_by_fingerprint : mapping
            The blocks in force.
        """
        self._state_by_fingerprint = {
            fingerprint: state
            for fingerprint, state in self._state_by_fingerprint.items()
            if fingerprint in block_by_fingerprint
        }

    def _state_of(self, block: _crash_records.Block) -> _State:
        state = self._state_by_fingerprint.get(block.fingerprint)
        if state is None or state.trials < block.trials:
            state = _State(block.trials, self._clock.monotonic())
            self._state_by_fingerprint[block.fingerprint] = state
        return state

    def known_since(self, block: _crash_records.Block) -> float:
        """Return the monotonic seconds since when a block is known."""
        return self._state_of(block).since

    def retry_after(self, block: _crash_records.Block) -> float:
        """Return the seconds until a blocked request may be tried."""
        due_at = self._due_at(self._state_of(block))
        remaining = due_at - self._clock.monotonic()
        return max(_MIN_RETRY_AFTER_SECONDS, remaining)

    def _due_at(self, state: _State) -> float:
        delay = _FIRST_SECONDS * _FACTOR**state.trials
        return state.since + min(_MAX_SECONDS, delay)

    def may_run(
        self,
        block: _crash_records.Block,
        attempt: str,
        *,
        last_crash_at: Callable[[], float],
    ) -> bool:
        """Return whether an attempt may run although it is blocked.

        Parameters
        ----------
        attempt : str
            Identifies the caller's attempt; empty if it may not be let
            through.
        last_crash_at : callable
            Returns the monotonic seconds at which this daemon learned of the
            last crash under what is blocked.
        """
        if not attempt:
            return False
        state = self._state_of(block)
        if state.attempt:
            return state.attempt == attempt
        now = self._clock.monotonic()
        waited = now - self._due_at(state)
        if waited < 0:
            return False
        doublings = min(_MAX_DOUBLINGS, int(waited / _DOUBLING_SECONDS))
        if self.rank_of(block.fingerprint) >= 2**doublings:
            return False
        if now - last_crash_at() < _DOUBLING_SECONDS:
            # Another daemon's trial has crashed a replica.
            return False
        state.attempt = attempt
        state.granted_at = now
        self.count += 1
        _log.info(
            "one request with {fingerprint} runs although it is blocked, to "
            "try whether it still crashes replicas",
            fingerprint=block.fingerprint,
            trials=block.trials,
            crashes=len(block.starts),
        )
        return True

    def record_end(self, run: _target_runs.Run) -> bool:
        """Record the end of a run; return whether it was a trial."""
        for state in self._state_by_fingerprint.values():
            if state.attempt == run.attempt:
                state.run = run
                return True
        return False

    def verdict(
        self,
        block: _crash_records.Block,
        running: Iterable[_target_runs.Run],
        *,
        has_crashed: Callable[[_target_runs.Run], bool],
    ) -> Verdict | None:
        """Return the outcome of a block's trial, None if it has none yet.

        Parameters
        ----------
        running : iterable of Run
            Runs in progress.
        has_crashed : callable
            Returns whether a run's replica has crashed since, by itself.
        """
        state = self._state_of(block)
        if not state.attempt:
            return None
        now = self._clock.monotonic()
        if state.run is not None:
            return _verdict_of(state.run, has_crashed, now)
        for run in running:
            if run.attempt == state.attempt:
                survived_at = run.wrote_at + _sound_parts.SURVIVAL_SECONDS
                return Verdict.ANSWERED if now >= survived_at else None
        has_waited = now - state.granted_at >= _MAX_WAIT_SECONDS
        return Verdict.OPEN if has_waited else None

    def restart(self, block: _crash_records.Block) -> None:
        """Wait for the next trial from now on."""
        self._state_by_fingerprint[block.fingerprint] = _State(
            block.trials, self._clock.monotonic()
        )

    def next_poll(self) -> float | None:
        """Return when trials in progress are due, None if there are none."""
        if any(state.attempt for state in self._state_by_fingerprint.values()):
            return self._clock.monotonic() + _POLL_SECONDS
        return None


def _verdict_of(
    run: _target_runs.Run,
    has_crashed: Callable[[_target_runs.Run], bool],
    now: float,
) -> Verdict | None:
    """Return what a run that has ended shows, None if that is not known."""
    ends = _target_runs.RunEnd
    if run.is_success:
        return Verdict.ANSWERED
    if run.end is ends.TIMED_OUT:
        return Verdict.CRASHED
    if run.end not in (ends.LOST, ends.UNDELIMITED):
        return Verdict.OPEN
    if now < run.ended_at + _sound_parts.SURVIVAL_SECONDS:
        return None
    if has_crashed(run):
        return Verdict.CRASHED
    is_complete = run.end is ends.UNDELIMITED and 200 <= run.status < 300
    return Verdict.ANSWERED if is_complete else Verdict.OPEN
