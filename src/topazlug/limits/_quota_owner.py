"""The owner of a team's ceiling, which lends parts of it to other daemons.

A team may have a ceiling on its request rate and one on its running requests.
Of the rate, the owner lends slices: numbers of requests that may start until
the slice expires. Of the running requests it lends leases: numbers of requests
that may run. Both are soft state. A new owner starts with an empty bucket, and
daemons report what runs in their requests for slices. So after a change of
owner, no part is lent twice for longer than a slice lasts.
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
LEASE_SECONDS = 60.0
LEARNING_SECONDS = 1.5


class _Lease(msgspec.Struct):
    lent: int
    until: float


class _TeamBucket(msgspec.Struct):
    """The remainder of one team's ceiling, and its leases."""

    level: float
    filled_at: float
    opened_at: float
    lease_by_daemon: dict[_ids.DaemonId, _Lease]


@final
class QuotaOwner:
    """Lends the ceilings of the teams that this daemon owns.

    Parameters
    ----------
    team_of : callable
        Returns a team's row, None if there is none.
    reachable_fraction : callable
        Returns the fraction of the fleet that this daemon can reach, 0 to 1.
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

        While the fleet is partitioned, each side has its own owner of a team.
        Each owner lends only the fraction of the ceiling that its side is of
        the fleet, so that both together stay within the ceiling.

        Parameters
        ----------
        sender : DaemonId
            The requesting daemon.
        ask : SliceAsk
            What it requests, and what it returns unused.
        """
        team = _ids.TeamName(ask.team)
        row = self._team_of(team)
        if row is None:
            return messages.Slice(
                team=team, lent=0, lapse=0.0, retry_after=SLICE_SECONDS
            )
        bucket = self._bucket(team)
        fraction = self._reachable_fraction()
        slice_ = messages.Slice(team=team, lent=ask.want, lapse=SLICE_SECONDS)
        if row.ceiling_rate:
            self._lend_rate(bucket, row.ceiling_rate * fraction, ask, slice_)
        if row.ceiling_running:
            ceiling = math.floor(row.ceiling_running * fraction)
            self._lend_running(bucket, max(1, ceiling), sender, ask, slice_)
        return slice_

    def drop_daemon(self, daemon: _ids.DaemonId) -> None:
        """Remove the leases of a dead daemon."""
        for bucket in self._bucket_by_team.values():
            bucket.lease_by_daemon.pop(daemon, None)

    def drop_unowned(self, owned: Callable[[_ids.TeamName], bool]) -> None:
        """Discard the buckets of teams that another daemon owns now."""
        for team in list(self._bucket_by_team):
            if not owned(team):
                del self._bucket_by_team[team]

    def _bucket(self, team: _ids.TeamName) -> _TeamBucket:
        bucket = self._bucket_by_team.get(team)
        if bucket is None:
            now = self._clock.monotonic()
            bucket = _TeamBucket(
                level=0.0, filled_at=now, opened_at=now, lease_by_daemon={}
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

    def _lend_running(
        self,
        bucket: _TeamBucket,
        ceiling: int,
        sender: _ids.DaemonId,
        ask: messages.SliceAsk,
        slice_: messages.Slice,
    ) -> None:
        """Lend a number of running requests.

        A new owner has no leases of requests that run already. During its
        learning time it confirms what daemons report as running and lends
        nothing more.
        """
        now = self._clock.monotonic()
        leases = bucket.lease_by_daemon
        for daemon, lease in list(leases.items()):
            if lease.until < now and daemon != sender:
                del leases[daemon]
        taken = sum(r.lent for d, r in leases.items() if d != sender)
        free = max(0, ceiling - taken - ask.running)
        if now - bucket.opened_at < LEARNING_SECONDS:
            free = 0
        lent = ask.running + min(ask.want, free)
        leases[sender] = _Lease(lent=lent, until=now + LEASE_SECONDS)
        slice_.running_room = lent
        if lent <= ask.running:
            slice_.retry_after = max(slice_.retry_after, 0.25)
