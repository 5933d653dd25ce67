"""Which replicas have just started, and stand only a few requests a second.

Load pattern: a zone's replicas come back together, or one crashes and is back
at once. Their chats return in the same second, from daemons that each see a
sliver; a replica that is cold crashes under what it usually runs, and the next
one gets its share too.

A replica says for how long it stays cold, in an entry that is seconds late. So
one that was not to be reached, or whose zone was out of service, is taken to
be cold until it may not be any more.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from typing import final

import msgspec

from topazlug import _clock
from topazlug import _ids
from topazlug.targets import _target

# A replica that refuses connections may start again after that. Its entry, or
# the next refusal, tells of it within so many seconds.
_NOTICE_SECONDS = 1.0


@final
class ColdStart(msgspec.Struct, frozen=True):
    """How a group's replicas are after a start.

    Attributes
    ----------
    seconds : float
        For how long they stay cold.
    per_second : float
        Requests a second that one stands meanwhile; 0 if there is no bound.
    """

    seconds: float
    per_second: float


class _Told(msgspec.Struct, frozen=True):
    incarnation: int
    cold_for: float


@final
class ColdReplicas:
    """Replicas that are cold, or may be.

    Parameters
    ----------
    clock : Clock
        Time.
    """

    def __init__(self, *, clock: _clock.Clock) -> None:
        self._clock = clock
        self._start_by_group: Mapping[_ids.GroupName, ColdStart] = {}
        self._told_by_replica: dict[_ids.ReplicaId, _Told] = {}
        self._listed_until: dict[_ids.ReplicaId, float] = {}
        self._suspected_until: dict[_ids.ReplicaId, float] = {}

    def set_cold_starts(
        self, start_by_group: Mapping[_ids.GroupName, ColdStart]
    ) -> None:
        """Take over what the table says of groups."""
        self._start_by_group = start_by_group

    def take_list(self, targets: Iterable[_target.Target]) -> None:
        """Take over what listed replicas say of themselves."""
        now = self._clock.monotonic()
        before = self._told_by_replica
        self._told_by_replica = {}
        for target in targets:
            told = _Told(target.incarnation, target.cold_for)
            if told != before.get(target.replica):
                self._listed_until[target.replica] = now + target.cold_for
            self._told_by_replica[target.replica] = told
        for until in (self._listed_until, self._suspected_until):
            for replica in until.keys() - self._told_by_replica.keys():
                del until[replica]

    def presume_cold(self, targets: Iterable[_target.Target]) -> None:
        """Take replicas to be cold that may just have started again."""
        now = self._clock.monotonic()
        for target in targets:
            start = self._start_by_group.get(target.group)
            if start is not None and target.replica in self._told_by_replica:
                until = now + start.seconds + _NOTICE_SECONDS
                self._suspected_until[target.replica] = until

    def max_request_rate(self, target: _target.Target) -> float | None:
        """Give the requests a second that a replica stands now.

        Returns
        -------
        float or None
            None if it is not cold, or stands what others do.
        """
        start = self._start_by_group.get(target.group)
        if start is None or start.per_second <= 0:
            return None
        until = max(
            self._listed_until.get(target.replica, 0.0),
            self._suspected_until.get(target.replica, 0.0),
        )
        return start.per_second if self._clock.monotonic() < until else None

    def is_cold(self, target: _target.Target) -> bool:
        """Say whether a replica stands fewer requests than others now."""
        return self.max_request_rate(target) is not None
