"""Which groups' replicas this daemon can connect to.

A daemon may lose its network path to all replicas of a group, or of all
groups, while callers and other daemons still reach it. Each replica then
looks as if it had failed, although all of them are healthy. A check that
connects to some more replicas of the group tells the two apart: if none of
them can be reached either, this daemon is cut off from the group.
"""

from collections.abc import Iterable
import math
from typing import final

from topazlug import _clock
from topazlug import _ids
from topazlug import _logs
from topazlug.targets import _target

_log = _logs.logger("replicas")
# Minimum time between two checks of a group. While many requests fail at one
# replica, each of them would otherwise connect to several others.
_MIN_CHECK_INTERVAL_SECONDS = 0.1
# Replicas that a check connects to, in different zones if there are any.
_CHECKED_REPLICAS = 3


class _Path:
    def __init__(self) -> None:
        self.reached_at = -math.inf
        self.checked_at = -math.inf
        self.cut_at: float | None = None
        self.is_served_elsewhere = False


@final
class ReplicaPaths:
    """Tracks from which groups this daemon is cut off.

    Parameters
    ----------
    clock : Clock
        Time.

    Attributes
    ----------
    cut_count : int
        Number of times that this daemon has been cut off from a group.
    """

    def __init__(self, *, clock: _clock.Clock) -> None:
        self._clock = clock
        self._path_by_group: dict[_ids.GroupName, _Path] = {}
        self._turn = 0
        self.cut_count = 0

    def is_cut_off(self, group: _ids.GroupName) -> bool:
        """Return whether no replica of a group could be reached."""
        path = self._path_by_group.get(group)
        return path is not None and path.cut_at is not None

    def cut_groups(self) -> list[_ids.GroupName]:
        """Return the groups that this daemon is cut off from."""
        return [
            group
            for group, path in self._path_by_group.items()
            if path.cut_at is not None
        ]

    def needs_check(self, group: _ids.GroupName, *, since: float) -> bool:
        """Return whether a failed connection calls for a check.

        It does not if a replica of the group has accepted a connection
        meanwhile.

        Parameters
        ----------
        group : GroupName
            The group of the replica that could not be reached.
        since : float
            Monotonic seconds at which the connection was begun.
        """
        path = self._path(group)
        if path.cut_at is not None or path.reached_at >= since:
            return False
        age = self._clock.monotonic() - path.checked_at
        return age >= _MIN_CHECK_INTERVAL_SECONDS

    def choose(
        self,
        group: _ids.GroupName,
        targets: Iterable[_target.Target],
        *,
        failed: str = "",
    ) -> list[_target.Target]:
        """Return the replicas to connect to in the next check.

        They belong to the group, unless it has no other replica than the
        one that failed.

        Parameters
        ----------
        group : GroupName
            The group to check.
        targets : iterable of Target
            All listed replicas.
        failed : str
            The replica that no connection could be established to, if any.
        """
        found = [one for one in targets if one.replica != failed]
        found = [one for one in found if one.group == group] or found
        if not found:
            return []
        self._turn += 1
        start = self._turn * _CHECKED_REPLICAS % len(found)
        chosen: dict[str, _target.Target] = {}
        rest: list[_target.Target] = []
        for one in [*found[start:], *found[:start]]:
            if chosen.setdefault(one.zone, one) is not one:
                rest.append(one)
        return [*chosen.values(), *rest][:_CHECKED_REPLICAS]

    def record_check(self, group: _ids.GroupName) -> None:
        """Record that a check begins."""
        self._path(group).checked_at = self._clock.monotonic()

    def record_unreached(self, group: _ids.GroupName, *, checked: int) -> None:
        """Record that a check has reached no replica.

        A check of no replica shows nothing.
        """
        path = self._path(group)
        if not checked or path.cut_at is not None:
            return
        path.cut_at = self._clock.monotonic()
        path.is_served_elsewhere = False
        self.cut_count += 1
        _log.warning(
            "no replica of {group} accepts connections from this daemon: "
            "{checked} checked",
            group=group,
            checked=checked,
        )

    def record_served_elsewhere(self, group: _ids.GroupName) -> None:
        """Record that a replica has answered another daemon meanwhile."""
        self._path(group).is_served_elsewhere = True

    def record_reached(self, group: _ids.GroupName) -> bool:
        """Record that a replica of a group has accepted a connection.

        Returns
        -------
        bool
            Whether this ends a cut during which no replica of the group has
            answered any other daemon, so that all of them may have restarted.
        """
        path = self._path(group)
        path.reached_at = self._clock.monotonic()
        if path.cut_at is None:
            return False
        _log.warning(
            "replicas of {group} accept connections from this daemon again, "
            "after {seconds:.1f} s",
            group=group,
            seconds=path.reached_at - path.cut_at,
            served_elsewhere=path.is_served_elsewhere,
        )
        path.cut_at = None
        return not path.is_served_elsewhere

    def _path(self, group: _ids.GroupName) -> _Path:
        return self._path_by_group.setdefault(group, _Path())
