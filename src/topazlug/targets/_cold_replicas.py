"""Cold replicas: just started, with a low maximum request rate.

When a zone's replicas restart together, or one replica crashes and restarts at
once, their chats return within the same second, from daemons that each see a
small part of them. A cold replica crashes under its usual load, which then
moves to the next replica and crashes that too.

A replica reports in its list entry how long it stays cold, but the entry is
seconds late. So a replica that refused connections, or whose zone was drained,
is presumed cold for the duration of a cold start.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from typing import final

import msgspec

from topazlug import _clock
from topazlug import _ids
from topazlug.targets import _target

# A replica that refused a connection may restart some time later. Its entry or
# the next refusal shows this within this many seconds.
_RESTART_NOTICE_SECONDS = 1.0


@final
class ColdStart(msgspec.Struct, frozen=True):
    """Limits of a group's replicas after a start.

    Attributes
    ----------
    seconds : float
        Duration for which a replica stays cold.
    per_second : float
        Maximum requests per second of a cold replica; 0 if unlimited.
    """

    seconds: float
    per_second: float


class _Reported(msgspec.Struct, frozen=True):
    incarnation: int
    cold_for: float


@final
class ColdReplicas:
    """Tracks replicas that are reported or presumed to be cold.

    Parameters
    ----------
    clock : Clock
        Time.
    """

    def __init__(self, *, clock: _clock.Clock) -> None:
        self._clock = clock
        self._cold_start_by_group: Mapping[_ids.GroupName, ColdStart] = {}
        self._reported_by_replica: dict[_ids.ReplicaId, _Reported] = {}
        self._reported_until: dict[_ids.ReplicaId, float] = {}
        self._presumed_until: dict[_ids.ReplicaId, float] = {}

    def set_cold_starts(
        self, cold_start_by_group: Mapping[_ids.GroupName, ColdStart]
    ) -> None:
        """Set the limits of groups, as configured in the table."""
        self._cold_start_by_group = cold_start_by_group

    def update_reported(self, targets: Iterable[_target.Target]) -> None:
        """Update the reported cold periods from the list.

        A period begins when an entry first shows it. Reading the same entry
        again does not extend it.
        """
        now = self._clock.monotonic()
        before = self._reported_by_replica
        self._reported_by_replica = {}
        for target in targets:
            reported = _Reported(target.incarnation, target.cold_for)
            if reported != before.get(target.replica):
                self._reported_until[target.replica] = now + target.cold_for
            self._reported_by_replica[target.replica] = reported
        for until in (self._reported_until, self._presumed_until):
            for replica in until.keys() - self._reported_by_replica.keys():
                del until[replica]

    def presume_cold(self, targets: Iterable[_target.Target]) -> None:
        """Treat replicas as cold that may just have restarted."""
        now = self._clock.monotonic()
        for target in targets:
            cold_start = self._cold_start_by_group.get(target.group)
            if (
                cold_start is not None
                and target.replica in self._reported_by_replica
            ):
                until = now + cold_start.seconds + _RESTART_NOTICE_SECONDS
                self._presumed_until[target.replica] = until

    def max_request_rate(self, target: _target.Target) -> float | None:
        """Return the maximum requests per second of a cold replica.

        Returns
        -------
        float or None
            None if it is not cold, or its group has no limit.
        """
        cold_start = self._cold_start_by_group.get(target.group)
        if cold_start is None or cold_start.per_second <= 0:
            return None
        until = max(
            self._reported_until.get(target.replica, 0.0),
            self._presumed_until.get(target.replica, 0.0),
        )
        return (
            cold_start.per_second if self._clock.monotonic() < until else None
        )

    def is_cold(self, target: _target.Target) -> bool:
        """Return whether a replica has a lower limit because it is cold."""
        return self.max_request_rate(target) is not None
