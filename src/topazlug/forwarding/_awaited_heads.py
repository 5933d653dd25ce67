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

_log = _logs.logger("forwarding")
# As for a second try: before twice the objective the answer may still be on
# time, and a service that is slow as a whole is not at fault.
_OBJECTIVES = 2.0
_LATENCIES = 4.0
_CHECK_SECONDS = 0.1


class _Wait(msgspec.Struct, eq=False):
    placement: _placement.Placement
    started_at: float
    max_seconds: float


@final
class AwaitedHeads:
    """Requests of this daemon whose answers have not begun.

    Parameters
    ----------
    views : ReplicaViews
        Latencies of replicas.
    report_late : callable
        Called once with the placement of a request that is clearly late.
    clock : Clock
        Time.
    """

    def __init__(
        self,
        *,
        views: _replica_view.ReplicaViews,
        report_late: Callable[[_placement.Placement], None],
        clock: _clock.Clock,
    ) -> None:
        self._views = views
        self._report_late = report_late
        self._clock = clock
        self._waits: dict[int, _Wait] = {}

    @contextlib.contextmanager
    def waiting(self, placement: _placement.Placement) -> Iterator[None]:
        """Watch a request until the head of its answer has arrived."""
        objective = placement.request.latency_objective
        latency = self._views.of_incarnation(placement.target).latency
        wait = _Wait(
            placement,
            self._clock.monotonic(),
            max(_OBJECTIVES * objective, _LATENCIES * latency),
        )
        if objective > 0:
            self._waits[id(wait)] = wait
        try:
            yield
        finally:
            self._waits.pop(id(wait), None)

    def check(self) -> None:
        """Report the requests that have become late."""
        now = self._clock.monotonic()
        for key, wait in list(self._waits.items()):
            if now - wait.started_at < wait.max_seconds:
                continue
            if self._waits.pop(key, None) is None:
                continue
            _log.info(
                "no answer from {replica} for {seconds:.1f} s",
                replica=wait.placement.target.replica,
                seconds=now - wait.started_at,
            )
            self._report_late(wait.placement)

    def check_forever(self) -> None:
        """Check all waiting requests periodically."""
        while True:
            self._clock.sleep(_CHECK_SECONDS)
            self.check()
