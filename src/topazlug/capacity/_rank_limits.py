"""How much of one replica each rank may hold, learnt from what it reports.

Load pattern: more work arrives than the replicas can do, for seconds. Left
to the replicas' own queues, each request waits behind hundreds, holds its
place until its deadline and is then lost, the urgent ones too; what a
replica has read for them is dropped and read again.
"""

import collections
import math
from typing import final

# A replica that lets this part of its slots wait has all that it can run. A
# shorter queue is refilled too late: a place that is given back is known to
# its owner some milliseconds later. At least two, for replicas of few slots.
_QUEUE_PART = 1 / 16
_LEAST_QUEUE = 2
# However little a replica seems to run, so much of its slots stays open: its
# next report would otherwise never show that it can run more.
_LEAST_PART = 1 / 8
# Reports come with each answer. The limit moves once in this many seconds, so
# that one moment's queue is answered once.
_STEP_SECONDS = 0.1
# The limit falls to this part of itself in a step at most: a queue may be of
# one moment. From 64 to half of it in half a second.
_FALL = 0.85
# Part of the slots by which the limit grows a step; from an eighth to all of
# them in 1.4 s.
_GROWTH_PART = 1 / 16
# Part of the limit that a rank leaves to each more urgent rank that is about.
# On a day of four times the usual load, leaving nothing made the most urgent
# wait as long as the rest.
_MARGIN_PART = 1 / 8
# Part of that margin that is left by who comes back to a kept place. With no
# margin the least urgent returns fill the room of the urgent; with all of it
# they are refused again, and the places kept for them stay empty.
_DUE_PART = 1 / 2
# Part of the limit that a rank may hold beside all margins, so that the least
# urgent are served too.
_SHARE_PART = 1 / 12
# A rank that has held nothing for so many seconds is left no room.
_ACTIVE_SECONDS = 2.0


@final
class RankLimits:
    """Limits what each rank may hold on one replica.

    Parameters
    ----------
    slots : int
        Requests that the replica says it runs at once.
    """

    def __init__(self, *, slots: int) -> None:
        self._slots = slots
        self._limit = float(slots)
        self._moved_at = -math.inf
        self._held_by_rank: collections.Counter[int] = collections.Counter()
        self._seen_at_by_rank: dict[int, float] = {}

    @property
    def limit(self) -> int:
        """Give the requests that the replica may hold in all."""
        return int(self._limit)

    @property
    def queue(self) -> int:
        """Give the requests that may wait on the replica itself."""
        return max(_LEAST_QUEUE, int(self._slots * _QUEUE_PART))

    def note_held(self, rank: int) -> None:
        """Count a request."""
        self._held_by_rank[rank] += 1

    def note_released(self, rank: int) -> None:
        """Count a request no more."""
        self._held_by_rank[rank] -= 1

    def note_demand(self, rank: int, *, now: float) -> None:
        """Note that a rank is about."""
        self._seen_at_by_rank[rank] = now

    def take_report(
        self, running: int, waiting: int, *, slow: bool, now: float
    ) -> None:
        """Learn from what the replica says that it runs.

        A replica with a queue whose answers are slow runs all it can,
        whatever binds it: places, memory or the reading of prompts. The
        limit falls towards that and a short queue, and rises by small steps
        while none waits. A queue alone says little: prompts that are read
        in a moment stand in it too.

        Parameters
        ----------
        running, waiting : int
            Requests that it runs, and that wait there.
        slow : bool
            Whether the answer that told it began late.
        now : float
            Monotonic seconds.
        """
        if now - self._moved_at < _STEP_SECONDS:
            return
        if waiting > self.queue and slow:
            least = max(1.0, self._slots * _LEAST_PART)
            able = max(least, float(running + self.queue))
            lower = max(able, self._limit * _FALL)
            self._limit = min(self._limit, lower)
        elif waiting <= self.queue / 2:
            step = max(1.0, self._slots * _GROWTH_PART)
            self._limit = min(float(self._slots), self._limit + step)
        self._moved_at = now

    def has_capacity(
        self,
        rank: int,
        *,
        load: int,
        reserved: int,
        is_due: bool,
        now: float,
    ) -> bool:
        """Say whether a rank may hold one more.

        Parameters
        ----------
        rank : int
            The rank, 0 first.
        load : int
            Requests that the replica holds.
        reserved : int
            Places that are kept for requests which come back.
        is_due : bool
            Whether it comes back to a place of its own: then it leaves the
            more urgent half of the room.
        now : float
            Monotonic seconds.
        """
        free = self._limit - load - reserved
        if free < 1:
            return False
        share = max(1.0, self._limit * _SHARE_PART)
        if self._held_by_rank[rank] < share:
            return True
        margin = self._limit * _MARGIN_PART * self._more_urgent(rank, now)
        if is_due:
            margin *= _DUE_PART
        return free - margin >= 1

    def _more_urgent(self, rank: int, now: float) -> int:
        since = now - _ACTIVE_SECONDS
        return sum(
            seen_at > since
            for other, seen_at in self._seen_at_by_rank.items()
            if other < rank
        )
