"""Limits of what each rank may hold on a replica, adapted to its reports.

Load pattern: for seconds more work arrives than the replicas can do. In the
replicas' own queues each request would wait behind hundreds of others, hold
its slot until its deadline and then fail, urgent ones too; what a replica has
read for them would be evicted and read again.
"""

import collections
import math
from typing import final

# A queue of this fraction of the slots keeps a replica busy. A shorter one is
# refilled too late, as a release reaches the owner some milliseconds later.
# At least two requests, for replicas with few slots.
_QUEUE_FRACTION = 1 / 16
_MIN_QUEUE = 2
# The limit never falls below this fraction of the slots. Otherwise reports
# could never show that the replica can run more.
_MIN_LIMIT_FRACTION = 1 / 8
# Reports come with each answer. The limit changes at most once in this time,
# so that it reacts only once to a queue.
_STEP_SECONDS = 0.1
# The limit falls at most by this factor in a step, as a queue may last only a
# moment: from 64 to half of it in half a second.
_MAX_DECREASE = 0.85
# Fraction of the slots by which the limit grows in a step: from an eighth to
# all of them in 1.4 s.
_INCREASE_FRACTION = 1 / 16
# Fraction of the limit that a rank leaves to each more urgent active rank.
# Without it, at four times the usual load, the most urgent rank waited as long
# as the others.
_MARGIN_FRACTION = 1 / 8
# Fraction of that margin for requests with a reservation that is due. With no
# margin the least urgent of them take the capacity of the urgent ranks;
# with the full margin they are rejected again, and their reserved slots stay
# empty.
_DUE_MARGIN_FRACTION = 1 / 2
# Fraction of the limit that a rank may hold regardless of the margins, so that
# the least urgent rank is served too.
_MIN_SHARE_FRACTION = 1 / 12
# A rank without requests for this long is no longer active: no margin is left
# for it.
_ACTIVE_SECONDS = 2.0


@final
class RankLimits:
    """Limits what each rank may hold on one replica.

    Parameters
    ----------
    slots : int
        Requests that the replica reports to run concurrently.
    """

    def __init__(self, *, slots: int) -> None:
        self._slots = slots
        self._limit = float(slots)
        self._changed_at = -math.inf
        self._held_by_rank: collections.Counter[int] = collections.Counter()
        self._requested_at_by_rank: dict[int, float] = {}

    @property
    def limit(self) -> int:
        """Return the maximum number of requests on the replica."""
        return int(self._limit)

    @property
    def max_queue(self) -> int:
        """Return the number of requests that may wait on the replica."""
        return max(_MIN_QUEUE, int(self._slots * _QUEUE_FRACTION))

    def add_held(self, rank: int) -> None:
        """Count a request that holds a slot."""
        self._held_by_rank[rank] += 1

    def remove_held(self, rank: int) -> None:
        """Remove a request from the count."""
        self._held_by_rank[rank] -= 1

    def record_request(self, rank: int, *, now: float) -> None:
        """Record that a rank has sent a request."""
        self._requested_at_by_rank[rank] = now

    def handle_report(
        self, running: int, waiting: int, *, slow: bool, now: float
    ) -> None:
        """Adapt the limit to a report of the replica.

        A replica that has a queue and answers slowly is at its capacity,
        whether slots, memory or the reading of prompts limits it. The limit
        falls towards the number of requests that it runs plus a short queue,
        and rises in small steps while no request waits. A queue alone is no
        sign of overload, as it also holds prompts that are read within
        moments.

        Parameters
        ----------
        running, waiting : int
            Requests that the replica runs, and that wait there.
        slow : bool
            Whether the answer that carried the report began late.
        now : float
            Monotonic seconds.
        """
        if now - self._changed_at < _STEP_SECONDS:
            return
        if waiting > self.max_queue and slow:
            min_limit = max(1.0, self._slots * _MIN_LIMIT_FRACTION)
            sustainable = max(min_limit, float(running + self.max_queue))
            lower = max(sustainable, self._limit * _MAX_DECREASE)
            self._limit = min(self._limit, lower)
        elif waiting <= self.max_queue / 2:
            step = max(1.0, self._slots * _INCREASE_FRACTION)
            self._limit = min(float(self._slots), self._limit + step)
        self._changed_at = now

    def has_capacity(
        self,
        rank: int,
        *,
        load: int,
        reserved: int,
        is_due: bool,
        now: float,
        slowness: float = 1.0,
    ) -> bool:
        """Return whether a rank may hold one more request.

        Parameters
        ----------
        rank : int
            The rank; 0 is the most urgent.
        load : int
            Requests that the replica holds.
        reserved : int
            Slots that are reserved for rejected requests that will be retried.
        is_due : bool
            Whether the request has a reservation that is due: then it leaves
            only half of the margin to more urgent ranks.
        now : float
            Monotonic seconds.
        slowness : float
            What the limit is divided by, at least 1; it never falls below one
            request. The limit that the reports have led to is not changed.
        """
        limit = max(1.0, self._limit / max(1.0, slowness))
        free = limit - load - reserved
        if free < 1:
            return False
        share = max(1.0, limit * _MIN_SHARE_FRACTION)
        if self._held_by_rank[rank] < share:
            return True
        margin = limit * _MARGIN_FRACTION * self._more_urgent_ranks(rank, now)
        if is_due:
            margin *= _DUE_MARGIN_FRACTION
        return free - margin >= 1

    def _more_urgent_ranks(self, rank: int, now: float) -> int:
        since = now - _ACTIVE_SECONDS
        return sum(
            requested_at > since
            for other, requested_at in self._requested_at_by_rank.items()
            if other < rank
        )
