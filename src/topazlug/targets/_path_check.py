"""Connects to replicas to find out whether this daemon is cut off."""

from collections.abc import Callable
from collections.abc import Collection
from typing import Protocol
from typing import final

import gevent
from gevent import event

from topazlug import _clock
from topazlug import _ids
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
    """Checks the paths of this daemon to replicas.

    Parameters
    ----------
    paths : ReplicaPaths
        Receives the results.
    connector : ReplicaConnector
        Opens connections.
    targets : callable
        Returns all listed replicas.
    on_lost_replicas : callable
        Called with the replicas of a group that is reachable again, if none
        of them has answered any daemon meanwhile.
    clock : Clock
        Time.
    """

    def __init__(
        self,
        *,
        paths: _replica_paths.ReplicaPaths,
        connector: ReplicaConnector,
        targets: Callable[[], Collection[_target.Target]],
        on_lost_replicas: Callable[[list[_target.Target]], None],
        clock: _clock.Clock,
    ) -> None:
        self.paths = paths
        self._connector = connector
        self._targets = targets
        self._on_lost_replicas = on_lost_replicas
        self._clock = clock
        self._ended_by_group: dict[_ids.GroupName, event.Event] = {}

    def is_cut_off(self, group: _ids.GroupName) -> bool:
        """Return whether no replica of a group could be reached."""
        return self.paths.is_cut_off(group)

    def find_cut(
        self, group: _ids.GroupName, *, failed: str = "", since: float
    ) -> bool:
        """Return whether this daemon is cut off, after a failed connection.

        Concurrent callers wait for the same check. It runs in a greenlet of
        its own, as one of them may be cancelled meanwhile.

        Parameters
        ----------
        group : GroupName
            The group of the replica.
        failed : str
            The replica that could not be reached.
        since : float
            Monotonic seconds at which the connection was begun.
        """
        if self.paths.needs_check(group, since=since):
            self._start(group, failed)
        ended = self._ended_by_group.get(group)
        if ended is not None:
            ended.wait()
        return self.paths.is_cut_off(group)

    def recheck_forever(self) -> None:
        """Check periodically the groups that this daemon is cut off from."""
        while True:
            self._clock.sleep(_RECHECK_SECONDS)
            for group in self.paths.cut_groups():
                self._start(group)

    def record_reached(self, target: _target.Target) -> None:
        """Record that a replica has accepted a connection."""
        self._end_cut(target.group)

    def _end_cut(self, group: _ids.GroupName) -> None:
        if self.paths.record_reached(group):
            self._on_lost_replicas(
                [one for one in self._targets() if one.group == group]
            )

    def _start(self, group: _ids.GroupName, failed: str = "") -> None:
        if group not in self._ended_by_group:
            self.paths.record_check(group)
            self._ended_by_group[group] = event.Event()
            gevent.spawn(self._check, group, failed)

    def _check(self, group: _ids.GroupName, failed: str) -> None:
        """Connect to some replicas; ends as soon as one has accepted."""
        was_cut_off = self.paths.is_cut_off(group)
        try:
            chosen = self.paths.choose(group, self._targets(), failed=failed)
            connects = [
                gevent.spawn(self._connector.can_connect, one)
                for one in chosen
            ]
            is_reached = any(one.value for one in gevent.iwait(connects))
            if is_reached or not chosen:
                self._end_cut(group)
                return
            self.paths.record_unreached(group, checked=len(chosen))
        finally:
            self._ended_by_group.pop(group).set()
        if self.paths.is_cut_off(group) and not was_cut_off:
            self._check_other_groups(group)

    def _check_other_groups(self, group: _ids.GroupName) -> None:
        """Check all groups: a daemon is often cut off from all at once."""
        now = self._clock.monotonic()
        for other in {one.group for one in self._targets()} - {group}:
            if self.paths.needs_check(other, since=now):
                self._start(other)
