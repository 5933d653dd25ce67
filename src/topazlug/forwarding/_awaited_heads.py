"""Requests that wait for the head of an answer, and those clearly late.

Load pattern: a replica hangs, so its requests fail only at their deadlines,
seconds later. The owner must learn of it before many more are sent there.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
from typing import final

import msgspec

from topazlug import _clock
from topazlug import _logs
from topazlug.placement import _replica_view
from topazlug.routing import _placement
from topazlug.targets import _targets

_log = _logs.logger("forwarding")
# As for a second try: before twice the objective the answer may still be on
# time, and a service that is slow as a whole is not at fault.
_OBJECTIVES = 2.0
_LATENCIES = 4.0
# A replica that is cold or whose latency is unknown may just have started.
_UNMEASURED_OBJECTIVES = 4.0
_CHECK_SECONDS = 0.1


class _Wait(msgspec.Struct, eq=False):
    placement: _placement.Placement
    started_at: float


@final
class AwaitedHeads:
    """Requests of this daemon whose answers have not begun.

    Parameters
    ----------
    views : ReplicaViews
        Latencies of replicas.
    report_late : callable
        Called once with the placement of a request that is clearly late;
        returns whether it was reported.
    is_cold : callable
        Returns whether a replica has just started.
    is_cut_off : callable
        Called with a replica and the time of a request to it; returns
        whether this daemon can't reach the replica's group. Its requests
        then say nothing of the replica.
    clock : Clock
        Time.
    """

    def __init__(
        self,
        *,
        views: _replica_view.ReplicaViews,
        report_late: Callable[[_placement.Placement], bool],
        is_cold: Callable[[_targets.Target], bool],
        is_cut_off: Callable[[_targets.Target, float], bool],
        clock: _clock.Clock,
    ) -> None:
        self._views = views
        self._report_late = report_late
        self._is_cold = is_cold
        self._is_cut_off = is_cut_off
        self._clock = clock
        self._waits: dict[int, _Wait] = {}

    @contextlib.contextmanager
    def waiting(self, placement: _placement.Placement) -> Iterator[None]:
        """Watch a request until the head of its answer has arrived."""
        wait = _Wait(placement, self._clock.monotonic())
        if placement.request.latency_objective > 0:
            self._waits[id(wait)] = wait
        try:
            yield
        finally:
            self._waits.pop(id(wait), None)

    def check(self) -> None:
        """Report the requests that have become late."""
        now = self._clock.monotonic()
        for key, wait in list(self._waits.items()):
            seconds = now - wait.started_at
            if seconds < self._max_seconds(wait.placement):
                continue
            if self._waits.pop(key, None) is None:
                continue
            if self._is_cut_off(wait.placement.target, wait.started_at):
                continue
            if self._report_late(wait.placement):
                _log.info(
                    "no answer from {replica} for {seconds:.1f} s",
                    replica=wait.placement.target.replica,
                    seconds=seconds,
                )

    def _max_seconds(self, placement: _placement.Placement) -> float:
        """Return after how many seconds a request is clearly late."""
        view = self._views.of_incarnation(placement.target)
        is_measured = view.latency > 0 and not self._is_cold(placement.target)
        objectives = _OBJECTIVES if is_measured else _UNMEASURED_OBJECTIVES
        return view.slowness * max(
            objectives * placement.request.latency_objective,
            _LATENCIES * view.latency,
        )

    def check_forever(self) -> None:
        """Check all waiting requests periodically."""
        while True:
            self._clock.sleep(_CHECK_SECONDS)
            self.check()
