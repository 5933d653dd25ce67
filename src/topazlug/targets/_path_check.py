"""Connects to replicas to find out whether this daemon is cut off."""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Protocol
from typing import final

import gevent
from gevent import event

from topazlug import _clock
from topazlug.targets import _replica_paths
from topazlug.targets import _target

# Interval of the checks while this daemon is cut off, and so about the time
# for which requests still take the longer way after the path has healed.
_RECHECK_SECONDS = 0.5


class ReplicaConnector(Protocol):
    """Opens connections to replicas."""

    def can_connect(self, target: _target.Target) -> bool:
        """Return whether a replica accepts a connection."""


@final
class PathCheck:
    """Checks the path of this daemon to its replicas.

    Parameters
    ----------
    paths : ReplicaPaths
        Receives the results.
    connector : ReplicaConnector
        Opens connections.
    targets : callable
        Returns all listed replicas.
    clock : Clock
        Time.
    """

    def __init__(
        self,
        *,
        paths: _replica_paths.ReplicaPaths,
        connector: ReplicaConnector,
        targets: Callable[[], Iterable[_target.Target]],
        clock: _clock.Clock,
    ) -> None:
        self.paths = paths
        self._connector = connector
        self._targets = targets
        self._clock = clock
        self._running: event.Event | None = None

    @property
    def is_cut_off(self) -> bool:
        """Return whether no replica could be reached in the last check."""
        return self.paths.is_cut_off

    def find_cut(self, *, failed: str, since: float) -> bool:
        """Return whether this daemon is cut off, after a failed connection.

        Concurrent callers wait for the same check. It runs in a greenlet of
        its own, as one of them may be cancelled meanwhile.

        Parameters
        ----------
        failed : str
            The replica that could not be reached.
        since : float
            Monotonic seconds at which the connection was begun.
        """
        if self._running is None and self.paths.needs_check(since=since):
            self._start(failed)
        if self._running is not None:
            self._running.wait()
        return self.paths.is_cut_off

    def recheck_forever(self) -> None:
        """Check periodically while this daemon is cut off."""
        while True:
            self._clock.sleep(_RECHECK_SECONDS)
            if self.paths.is_cut_off and self._running is None:
                self._start()

    def _start(self, failed: str = "") -> None:
        self._running = event.Event()
        gevent.spawn(self._check, failed, self._running)

    def _check(self, failed: str, done: event.Event) -> None:
        """Connect to some replicas; ends as soon as one has accepted."""
        try:
            chosen = self.paths.choose(self._targets(), failed=failed)
            connects = [
                gevent.spawn(self._connector.can_connect, one)
                for one in chosen
            ]
            for ended in gevent.iwait(connects):
                if ended.value:
                    self.paths.record_check(reached=1, checked=len(chosen))
                    return
            self.paths.record_check(reached=0, checked=len(chosen))
        finally:
            self._running = None
            done.set()
