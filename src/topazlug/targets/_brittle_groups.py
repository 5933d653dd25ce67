"""Groups whose replicas report that they are brittle.

A brittle replica crashes if it has to reject more than a few requests in a
second. It reports that in each answer, as do the others of its group, so a
daemon needs an answer of any of them to know it.
"""

import math
from typing import final

import msgspec

from topazlug import _clock
from topazlug import _ids
from topazlug import _logs
from topazlug.targets import _target

_log = _logs.logger("replicas")
# For how long a group counts as brittle after the last such answer.
_LIFETIME_SECONDS = 3.0
# An answer without the report ends it only this long after the last one that
# had it, as answers of different replicas overtake each other.
_OVERTAKING_SECONDS = 0.5


class _Report(msgspec.Struct):
    tolerated: int
    at: float


@final
class BrittleGroups:
    """Groups that are brittle, and how many rejections they tolerate.

    Parameters
    ----------
    clock : Clock
        Time.
    """

    def __init__(self, *, clock: _clock.Clock) -> None:
        self._clock = clock
        self._report_by_group: dict[_ids.GroupName, _Report] = {}

    def record(self, target: _target.Target, tolerated: int | None) -> None:
        """Record what an answer reports.

        Parameters
        ----------
        target : Target
            The replica that answered.
        tolerated : int or None
            Rejections within a second that it tolerates; None if it is not
            brittle.
        """
        now = self._clock.monotonic()
        held = self._report_by_group.get(target.group)
        if tolerated is None:
            if held is not None and now - held.at >= _OVERTAKING_SECONDS:
                del self._report_by_group[target.group]
                _log.info(
                    "replicas of {group} are no longer brittle",
                    group=target.group,
                )
            return
        if self.tolerated_by(target.group) is None:
            _log.warning(
                "replicas of {group} are brittle: more than {tolerated} "
                "rejections in a second crash one",
                group=target.group,
                tolerated=tolerated,
                replica=target.replica,
            )
        self._report_by_group[target.group] = _Report(tolerated, now)

    def tolerated_by(self, group: _ids.GroupName) -> int | None:
        """Return the tolerated rejections, None if it is not brittle."""
        held = self._report_by_group.get(group)
        since = -math.inf if held is None else held.at
        if self._clock.monotonic() - since >= _LIFETIME_SECONDS:
            return None
        return held.tolerated if held is not None else None

    def brittle_count(self) -> int:
        """Return the number of groups that are brittle."""
        groups = list(self._report_by_group)
        return sum(self.tolerated_by(group) is not None for group in groups)
