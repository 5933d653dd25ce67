"""The owner of a team's ceiling: lends parts of it to other daemons.

A rate is lent as requests that may start until the slice lapses; a ceiling
on running requests as room. Both are soft state: a new owner starts with an
empty bucket and learns what runs from the askers, so a change of owner never
lends the same part twice for longer than a slice lasts.
"""

from collections.abc import Callable
import math
from typing import final

import msgspec

from topazlug import _clock
from topazlug import _ids
from topazlug._generated import messages
from topazlug._generated import table

SLICE_SECONDS = 1.0
BUCKET_SECONDS = 0.5
MIN_BUCKET = 2.0
ROOM_SECONDS = 60.0
LEARN_SECONDS = 1.5


class _Room(msgspec.Struct):
    lent: int
    until: float


class _TeamBucket(msgspec.Struct):
    """What is left of one team's ceiling."""

    level: float
    filled_at: float
    opened_at: float
    room_by_daemon: dict[_ids.DaemonId, _Room]


@final
class QuotaOwner:
    """Lends the ceilings of the teams that this daemon owns.

    Parameters
    ----------
    team_of : callable
        Gives a team's row, None when there is none.
    reachable_fraction : callable
        Gives which part of the fleet this daemon can reach, 0 to 1.
    clock : Clock
        Time.
    """

    def __init__(
        self,
        *,
        team_of: Callable[[_ids.TeamName], table.TeamRow | None],
        reachable_fraction: Callable[[], float],
        clock: _clock.Clock,
    ) -> None:
        self._team_of = team_of
        self._reachable_fraction = reachable_fraction
        self._clock = clock
        self._bucket_by_team: dict[_ids.TeamName, _TeamBucket] = {}

    def lend(
        self, sender: _ids.DaemonId, ask: messages.SliceAsk
    ) -> messages.Slice:
        """Lend a part of a team's ceiling.

        While links are cut each side has an owner of its own. Each lends
        only the part of the ceiling that its side is of the fleet, so that
        both together stay within it.

        Parameters
        ----------
        sender : DaemonId
            Who asks.
        ask : SliceAsk
            What it wants, and what it gives back.
        """
        team = _ids.TeamName(ask.team)
        row = self._team_of(team)
        if row is None:
            return messages.Slice(
                team=team, lent=0, lapse=0.0, retry_after=SLICE_SECONDS
            )
        bucket = self._bucket(team)
        part = self._reachable_fraction()
        slice_ = messages.Slice(team=team, lent=ask.want, lapse=SLICE_SECONDS)
        if row.ceiling_rate:
            self._lend_rate(bucket, row.ceiling_rate * part, ask, slice_)
        if row.ceiling_running:
            ceiling = math.floor(row.ceiling_running * part)
            self._lend_room(bucket, max(1, ceiling), sender, ask, slice_)
        return slice_

    def drop_daemon(self, daemon: _ids.DaemonId) -> None:
        """Take back the room of a dead daemon."""
        for bucket in self._bucket_by_team.values():
            bucket.room_by_daemon.pop(daemon, None)

    def drop_unowned(self, owned: Callable[[_ids.TeamName], bool]) -> None:
        """Drop the buckets of teams that another daemon owns now."""
        for team in list(self._bucket_by_team):
            if not owned(team):
                del self._bucket_by_team[team]

    def _bucket(self, team: _ids.TeamName) -> _TeamBucket:
        bucket = self._bucket_by_team.get(team)
        if bucket is None:
            now = self._clock.monotonic()
            bucket = _TeamBucket(
                level=0.0, filled_at=now, opened_at=now, room_by_daemon={}
            )
            self._bucket_by_team[team] = bucket
        return bucket

    def _lend_rate(
        self,
        bucket: _TeamBucket,
        rate: float,
        ask: messages.SliceAsk,
        slice_: messages.Slice,
    ) -> None:
        now = self._clock.monotonic()
        gained = (now - bucket.filled_at) * rate + ask.unused
        size = max(MIN_BUCKET, rate * BUCKET_SECONDS)
        bucket.level = min(size, bucket.level + gained)
        bucket.filled_at = now
        lent = min(ask.want, math.floor(bucket.level))
        bucket.level -= lent
        slice_.lent = lent
        if not lent:
            slice_.retry_after = (1.0 - bucket.level) / rate

    def _lend_room(
        self,
        bucket: _TeamBucket,
        ceiling: int,
        sender: _ids.DaemonId,
        ask: messages.SliceAsk,
        slice_: messages.Slice,
    ) -> None:
        """Lend room for running requests.

        A new owner does not know yet what runs elsewhere. While it learns,
        it confirms what askers say they run and lends nothing more.
        """
        now = self._clock.monotonic()
        rooms = bucket.room_by_daemon
        for daemon, room in list(rooms.items()):
            if room.until < now and daemon != sender:
                del rooms[daemon]
        taken = sum(r.lent for d, r in rooms.items() if d != sender)
        free = max(0, ceiling - taken - ask.running)
        if now - bucket.opened_at < LEARN_SECONDS:
            free = 0
        lent = ask.running + min(ask.want, free)
        rooms[sender] = _Room(lent=lent, until=now + ROOM_SECONDS)
        slice_.running_room = lent
        if lent <= ask.running:
            slice_.retry_after = max(slice_.retry_after, 0.25)
