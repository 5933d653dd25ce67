"""A bounded queue that is weighted fair between teams.

Start-time fair queueing [1]_: each team's requests carry virtual start
times spaced by size over weight, and the earliest goes first. A team that
surges lines up behind itself, not before the others. When the queue is full
the longest team gives up its newest entry, so that a surge can't keep the
others out.

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


class _Line(msgspec.Struct, Generic[ItemT]):
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
        self._virtual = 0.0
        self._size = 0
        self._line_by_team: dict[_ids.TeamName, _Line[ItemT]] = {}
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
        """Let an item wait.

        Parameters
        ----------
        item : ItemT
            What waits.
        team : TeamName
            Whose line it joins.
        weight : float
            The team's weight, above 0.
        size : float
            How much service the item takes.

        Returns
        -------
        ItemT or None
            The item that had to give way; it may be the one pushed.
        """
        line = self._line_by_team.get(team)
        if line is None:
            finish = self._finish_by_idle_team.pop(team, self._virtual)
            line = _Line(finish=finish, entries=collections.deque())
            self._line_by_team[team] = line
        start = max(self._virtual, line.finish)
        line.finish = start + size / weight
        line.entries.append(_Entry(start=start, item=item))
        self._size += 1
        if self._size <= self._capacity:
            return None
        return self._give_way()

    def pop(self) -> ItemT | None:
        """Take the entry whose turn it is, None when nobody waits."""
        if not self._size:
            return None
        team = min(
            self._line_by_team,
            key=lambda name: self._line_by_team[name].entries[0].start,
        )
        line = self._line_by_team[team]
        entry = line.entries.popleft()
        self._virtual = entry.start
        self._shrink(team, line)
        return entry.item

    def remove(self, item: ItemT) -> bool:
        """Take out an item that no longer waits.

        Returns
        -------
        bool
            Whether it was here.
        """
        for team, line in self._line_by_team.items():
            for entry in line.entries:
                if entry.item is item:
                    line.entries.remove(entry)
                    self._shrink(team, line)
                    return True
        return False

    def drain(self) -> list[ItemT]:
        """Take out all entries."""
        items = [
            entry.item
            for line in self._line_by_team.values()
            for entry in line.entries
        ]
        self._line_by_team.clear()
        self._finish_by_idle_team.clear()
        self._size = 0
        return items

    def _give_way(self) -> ItemT:
        team = max(
            self._line_by_team,
            key=lambda name: len(self._line_by_team[name].entries),
        )
        line = self._line_by_team[team]
        entry = line.entries.pop()
        line.finish = entry.start
        self._shrink(team, line)
        return entry.item

    def _shrink(self, team: _ids.TeamName, line: _Line[ItemT]) -> None:
        self._size -= 1
        if line.entries:
            return
        del self._line_by_team[team]
        if not self._size:
            self._finish_by_idle_team.clear()
            return
        self._remember(team, line.finish)

    def _remember(self, team: _ids.TeamName, finish: float) -> None:
        """Keep an idle team's finish time while it lies ahead.

        Forgotten, a team of small weight that sends one request at a time
        would start level with the others each time, and get as much as they.
        """
        idle = self._finish_by_idle_team
        if finish > self._virtual:
            idle[team] = finish
        if len(idle) <= self._capacity:
            return
        # 13,000 teams on each replica would grow without bound; those whose
        # time has come start level in any case.
        for name in [n for n, at in idle.items() if at <= self._virtual]:
            del idle[name]
        while len(idle) > self._capacity:
            del idle[min(idle, key=lambda name: idle[name])]
