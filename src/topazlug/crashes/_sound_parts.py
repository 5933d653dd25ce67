"""Prompt parts that replicas have lately answered without a crash."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import math
from typing import NamedTuple
from typing import final

from topazlug import _clock
from topazlug import _ids
from topazlug.targets import _target
from topazlug.targets import _target_runs

# A part crashes a replica as it begins to write an answer. A replica that has
# been writing for this long, or is still there this long after an answer of
# unknown length, has not crashed on the request's parts.
SURVIVAL_SECONDS = 1.0
# A part that was answered this recently is not held back on suspicion.
_RECENT_SECONDS = 60.0
# A daemon answers some 34 requests a second, most of whose parts recur. 8,192
# entries take 3.1 MB.
_MAX_PARTS = 8192
_MAX_UNDELIMITED = 1024


class _Answer(NamedTuple):
    """The newest answer to a request with a part.

    Attributes
    ----------
    began_at, ended_at : float
        Monotonic seconds at which its output began, and at which it was clear
        that the replica had survived it.
    """

    began_at: float
    ended_at: float


_NEVER = _Answer(-math.inf, -math.inf)


@final
class SoundParts:
    """Remembers for each prompt part the newest answer.

    An answer proves that the part did not crash replicas when the output
    began. It proves nothing of later times: a part may become one that crashes
    replicas, with their next software.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, *, clock: _clock.Clock) -> None:
        self._clock = clock
        self._answer_by_part: collections.OrderedDict[
            _ids.Fingerprint, _Answer
        ] = collections.OrderedDict()
        self._undelimited: collections.deque[_target_runs.Run] = (
            collections.deque(maxlen=_MAX_UNDELIMITED)
        )

    def handle_end(self, run: _target_runs.Run) -> None:
        """Record a run that has ended."""
        if run.is_success:
            self._record(run)
        elif run.end is _target_runs.RunEnd.UNDELIMITED:
            self._undelimited.append(run)

    def confirm(
        self,
        running: Iterable[_target_runs.Run],
        *,
        has_crashed: Callable[[_target.ReplicaProcess], bool],
    ) -> None:
        """Record the runs whose replicas have survived them.

        Parameters
        ----------
        running : iterable of Run
            The runs in progress.
        has_crashed : callable
            Returns whether a replica process has crashed.
        """
        latest = self._clock.monotonic() - SURVIVAL_SECONDS
        while self._undelimited and self._undelimited[0].ended_at <= latest:
            run = self._undelimited.popleft()
            if not has_crashed(_target.process_of(run.target)):
                self._record(run)
        for run in running:
            if run.parts and run.wrote_at <= latest:
                self._record(run)

    def _record(self, run: _target_runs.Run) -> None:
        now = self._clock.monotonic()
        for part in run.parts:
            before = self._answer_by_part.get(part, _NEVER)
            self._answer_by_part[part] = _Answer(
                max(before.began_at, output_began_at(run)), now
            )
            self._answer_by_part.move_to_end(part)
        while len(self._answer_by_part) > _MAX_PARTS:
            self._answer_by_part.popitem(last=False)

    def began_at(self, part: _ids.Fingerprint) -> float:
        """Return when the output of the newest answer began."""
        return self._answer_by_part.get(part, _NEVER).began_at

    def is_recent(self, part: _ids.Fingerprint) -> bool:
        """Return whether a request with the part was answered lately."""
        ended_at = self._answer_by_part.get(part, _NEVER).ended_at
        return ended_at > self._clock.monotonic() - _RECENT_SECONDS


def output_began_at(run: _target_runs.Run) -> float:
    """Return when a run's output began, or when it was sent if it had none."""
    return run.began_at if run.wrote_at == math.inf else run.wrote_at
