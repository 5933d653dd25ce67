"""A bounded queue with weighted fairness between teams.

Start-time fair queueing [1]_: each team's requests have virtual start times
that are spaced by size over weight, and the earliest is served first. A burst
of one team delays that team's own requests, not those of others. When the
queue is full, the newest entry of the team with most entries is evicted, so
that a burst can't keep the others out.

.. [1] Goyal, Vin, Cheng, "Start-time fair queueing", SIGCOMM 1996.
"""

import collections
from typing import Generic
from typing import TypeVar
from typing import final

import msgspec

from topazlug import _ids

ItemT = TypeVar("ItemT")


class _Entry(msgspec.Struct, Generic[ItemT]):
    start: float
    item: ItemT


class _TeamQueue(msgspec.Struct, Generic[ItemT]):
    finish: float
    entries: collections.deque[_Entry[ItemT]]


@final
class FairQueue(Generic[ItemT]):
    """Queue of one replica for one request class.

    Parameters
    ----------
    capacity : int
        Entries that may wait.
    """

    def __init__(self, *, capacity: int) -> None:
        self._capacity = capacity
        self._virtual_time = 0.0
        self._size = 0
        self._queue_by_team: dict[_ids.TeamName, _TeamQueue[ItemT]] = {}
        self._finish_by_idle_team: dict[_ids.TeamName, float] = {}

    def __len__(self) -> int:
        return self._size

    def push(
        self,
        item: ItemT,
        *,
        team: _ids.TeamName,
        weight: float,
        size: float = 1.0,
    ) -> ItemT | None:
        """Add an item.

        Parameters
        ----------
        item : ItemT
            The item.
        team : TeamName
            The team whose queue it joins.
        weight : float
            The team's weight, above 0.
        size : float
            How much service the item takes.

        Returns
        -------
        ItemT or None
            The item that was evicted, if any; it may be the one pushed.
        """
        queue = self._queue_by_team.get(team)
        if queue is None:
            finish = self._finish_by_idle_team.pop(team, self._virtual_time)
            queue = _TeamQueue(finish=finish, entries=collections.deque())
            self._queue_by_team[team] = queue
        start = max(self._virtual_time, queue.finish)
        queue.finish = start + size / weight
        queue.entries.append(_Entry(start=start, item=item))
        self._size += 1
        if self._size <= self._capacity:
            return None
        return self._evict_newest()

    def pop(self) -> ItemT | None:
        """Remove and return the next item, None if the queue is empty."""
        if not self._size:
            return None
        team = min(
            self._queue_by_team,
            key=lambda name: self._queue_by_team[name].entries[0].start,
        )
        queue = self._queue_by_team[team]
        entry = queue.entries.popleft()
        self._virtual_time = entry.start
        self._note_removed(team, queue)
        return entry.item

    def remove(self, item: ItemT) -> bool:
        """Remove an item that no longer waits.

        Returns
        -------
        bool
            Whether it was in the queue.
        """
        for team, queue in self._queue_by_team.items():
            for entry in queue.entries:
                if entry.item is item:
                    queue.entries.remove(entry)
                    self._note_removed(team, queue)
                    return True
        return False

    def drain(self) -> list[ItemT]:
        """Remove and return all items."""
        items = [
            entry.item
            for queue in self._queue_by_team.values()
            for entry in queue.entries
        ]
        self._queue_by_team.clear()
        self._finish_by_idle_team.clear()
        self._size = 0
        return items

    def _evict_newest(self) -> ItemT:
        team = max(
            self._queue_by_team,
            key=lambda name: len(self._queue_by_team[name].entries),
        )
        queue = self._queue_by_team[team]
        entry = queue.entries.pop()
        queue.finish = entry.start
        self._note_removed(team, queue)
        return entry.item

    def _note_removed(
        self, team: _ids.TeamName, queue: _TeamQueue[ItemT]
    ) -> None:
        self._size -= 1
        if queue.entries:
            return
        del self._queue_by_team[team]
        if not self._size:
            self._finish_by_idle_team.clear()
            return
        self._keep_finish_time(team, queue.finish)

    def _keep_finish_time(self, team: _ids.TeamName, finish: float) -> None:
        """Keep an idle team's finish time while it lies in the future.

        Otherwise each request of a team that sends one at a time would start
        at the current virtual time, and a team of small weight would get as
        much service as the others.
        """
        idle = self._finish_by_idle_team
        if finish > self._virtual_time:
            idle[team] = finish
        if len(idle) <= self._capacity:
            return
        # Bounds memory, as there may be 13,000 teams on each replica. Teams
        # whose finish time has passed would start at the current virtual time
        # anyway.
        for name in [n for n, at in idle.items() if at <= self._virtual_time]:
            del idle[name]
        while len(idle) > self._capacity:
            del idle[min(idle, key=lambda name: idle[name])]
