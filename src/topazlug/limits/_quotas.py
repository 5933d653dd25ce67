"""Fleet-wide ceilings of teams, as enforced by the entry daemon.

A team's owner daemon (ranked like a replica's) lends parts of the ceiling to
the daemons that receive the team's requests. A slice expires, so what a dead
daemon held becomes available again without a message. While no owner responds,
a daemon limits each team to an even share of its ceiling.
"""

from collections.abc import Callable
from collections.abc import Iterable
import math
from typing import Protocol
from typing import final

from gevent import lock
import msgspec

from topazlug import _clock
from topazlug import _errors
from topazlug import _ids
from topazlug._generated import messages
from topazlug._generated import table
from topazlug.limits import _quota_owner
from topazlug.routing import _ranking

_OWNER_TIMEOUT_SECONDS = 0.2
_UNRESPONSIVE_SECONDS = 1.0
_SMOOTHING_SECONDS = 1.0
_MIN_RETRY_AFTER = 0.1
_DEMAND_SECONDS = 0.2
_MAX_WAIT_SECONDS = 0.3
_MAX_WAITING = 8
_IDLE_SECONDS = 60.0


class Ticket(Protocol):
    """Permission for one request to run."""

    def release(self) -> None:
        """Return the ticket; repeated calls do nothing."""


class Quotas(Protocol):
    """Grants tickets."""

    def acquire(self, team: table.TeamRow, *, deadline: float) -> Ticket:
        """Acquire a ticket.

        Raises
        ------
        TeamCeiling
            The team uses all that its row allows.
        """

    def usage(self) -> list[messages.TeamUse]:
        """Return the usage of this daemon by team."""


class Links(Protocol):
    """Connections to peers."""

    def call(
        self, to: _ids.DaemonId, message: msgspec.Struct, *, timeout: float
    ) -> msgspec.Struct:
        """Send a message and return the reply; raises PeerUnreachable."""


class _TeamUsage(msgspec.Struct):
    """One team's usage of this daemon, and the slice and lease it holds."""

    lock: lock.BoundedSemaphore
    running: int = 0
    leased: int = 0
    leased_until: float = 0.0
    lender: _ids.DaemonId | None = None
    rejected_until: float = 0.0
    waiting: int = 0
    slice_remaining: float = 0.0
    slice_expires_at: float = 0.0
    rate: float = 0.0
    requested_at: float = 0.0
    refused: int = 0
    even_share_at: float = 0.0

    def record_request(self, now: float) -> None:
        """Count a request in the smoothed rate, in requests a second."""
        gap = max(1e-6, now - self.requested_at)
        weight = 1.0 - math.exp(-gap / _SMOOTHING_SECONDS)
        self.rate += weight * (1.0 / gap - self.rate)
        self.requested_at = now


@final
class _Ticket:
    def __init__(self, usage: _TeamUsage) -> None:
        self._team_usage: _TeamUsage | None = usage
        usage.running += 1

    def release(self) -> None:
        usage, self._team_usage = self._team_usage, None
        if usage is not None:
            usage.running -= 1


def owner_of(
    team: _ids.TeamName, daemons: Iterable[_ids.DaemonId]
) -> _ids.DaemonId | None:
    """Return the daemon that lends a team's ceiling."""
    seed = _ranking.chat_hash("team", team)
    name = _ranking.first(daemons, seed)
    return None if name is None else _ids.DaemonId(name)


@final
class TeamQuotas:
    """Grants tickets within the teams' ceilings.

    Parameters
    ----------
    daemon : DaemonId
        This daemon.
    owner : QuotaOwner
        Lends the ceilings of teams that this daemon owns.
    links : Links
        Connections to peers.
    daemons : callable
        Returns the usable daemons.
    clock : Clock
        Time.
    """

    def __init__(
        self,
        *,
        daemon: _ids.DaemonId,
        owner: _quota_owner.QuotaOwner,
        links: Links,
        daemons: Callable[[], Iterable[_ids.DaemonId]],
        clock: _clock.Clock,
    ) -> None:
        self._daemon = daemon
        self._owner = owner
        self._links = links
        self._daemons = daemons
        self._clock = clock
        self._usage_by_team: dict[_ids.TeamName, _TeamUsage] = {}
        self._unresponsive_until: dict[_ids.DaemonId, float] = {}
        self._ranked_daemons: Iterable[_ids.DaemonId] | None = None
        self._owner_by_team: dict[_ids.TeamName, _ids.DaemonId | None] = {}

    def acquire(self, team: table.TeamRow, *, deadline: float) -> Ticket:
        """Acquire a ticket; always granted to a team without ceilings.

        Raises
        ------
        TeamCeiling
            The team uses all that its row allows. The error has a suggested
            retry delay.
        """
        usage = self._team_usage(_ids.TeamName(team.name))
        usage.record_request(self._clock.monotonic())
        if not team.ceiling_rate and not team.ceiling_running:
            return _Ticket(usage)
        if not self._has_capacity(team, usage):
            self._acquire_slice(team, usage, deadline)
        if team.ceiling_rate:
            usage.slice_remaining -= 1
        return _Ticket(usage)

    def _has_capacity(self, team: table.TeamRow, usage: _TeamUsage) -> bool:
        now = self._clock.monotonic()
        if team.ceiling_rate and (
            usage.slice_remaining < 1 or now > usage.slice_expires_at
        ):
            return False
        if not team.ceiling_running:
            return True
        return usage.running < usage.leased and now <= usage.leased_until

    def _acquire_slice(
        self, team: table.TeamRow, usage: _TeamUsage, deadline: float
    ) -> None:
        """Get a slice, waiting a moment if that suffices.

        Retry-After counts in whole seconds. Without the wait, callers that
        lack a tenth of a second would retry late, and a small ceiling would
        never be used up. Only a few requests may wait, as a burst would
        otherwise queue here unnoticed. While a rejection by the owner is in
        force, further requests are rejected without asking it again.

        Raises
        ------
        TeamCeiling
            The ceiling is used up, and nothing is available soon enough.
        """
        for is_last in (False, True):
            wait = self._request_slice(team, usage)
            if wait <= 0:
                return
            now = self._clock.monotonic()
            too_many = usage.waiting >= _MAX_WAITING
            too_late = wait > _MAX_WAIT_SECONDS or now + wait >= deadline
            if is_last or too_many or too_late:
                break
            usage.waiting += 1
            self._clock.sleep(wait)
            usage.waiting -= 1
        usage.refused += 1
        raise _errors.TeamCeiling(
            f"team {team.name} uses all that its ceiling allows",
            retry_after=max(wait, _MIN_RETRY_AFTER),
        )

    def _request_slice(self, team: table.TeamRow, usage: _TeamUsage) -> float:
        """Return the seconds to wait for a slice, 0 if one is held now.

        Requests a slice from the owner if none is held.
        """
        with usage.lock:
            if self._has_capacity(team, usage):
                return 0.0
            now = self._clock.monotonic()
            if now < usage.rejected_until:
                return usage.rejected_until - now
            retry_after = self._request_from_owner(team, usage)
            if self._has_capacity(team, usage):
                return 0.0
            retry_after = max(retry_after, _MIN_RETRY_AFTER)
            reject_seconds = min(retry_after, _MAX_WAIT_SECONDS)
            usage.rejected_until = self._clock.monotonic() + reject_seconds
            return retry_after

    def _request_from_owner(
        self, team: table.TeamRow, usage: _TeamUsage
    ) -> float:
        """Request a slice from the owner; return the delay in its reply."""
        name = _ids.TeamName(team.name)
        owner = self._owner_of(name)
        now = self._clock.monotonic()
        unused = (
            math.floor(usage.slice_remaining)
            if now <= usage.slice_expires_at
            else 0
        )
        requested = math.ceil(usage.rate * _DEMAND_SECONDS)
        message = messages.SliceAsk(
            team=name,
            want=max(1, requested),
            unused=max(0, unused),
            running=usage.running,
        )
        usage.slice_remaining = 0.0
        answer = self._exchange(owner, message)
        if answer is None:
            self._use_even_share(team, usage)
            return _UNRESPONSIVE_SECONDS
        usage.lender = owner
        self._record_slice(team, usage, answer)
        return answer.retry_after

    def _record_slice(
        self, team: table.TeamRow, usage: _TeamUsage, answer: messages.Slice
    ) -> None:
        now = self._clock.monotonic()
        usage.slice_remaining = answer.lent
        usage.slice_expires_at = now + answer.lapse
        if team.ceiling_running:
            self._record_lease(usage, answer)

    def _record_lease(self, usage: _TeamUsage, answer: messages.Slice) -> None:
        """Record a lease, which is used for half of its duration.

        If it were used until the owner removes it, a late message could cause
        the same part to be lent to two daemons.
        """
        now = self._clock.monotonic()
        usage.leased = answer.running_room
        usage.leased_until = now + _quota_owner.LEASE_SECONDS / 2

    def _exchange(
        self, owner: _ids.DaemonId | None, message: messages.SliceAsk
    ) -> messages.Slice | None:
        if owner is None:
            return None
        if owner == self._daemon:
            return self._owner.lend(self._daemon, message)
        now = self._clock.monotonic()
        if now < self._unresponsive_until.get(owner, 0.0):
            return None
        try:
            answer = self._links.call(
                owner, message, timeout=_OWNER_TIMEOUT_SECONDS
            )
        except _errors.PeerUnreachable:
            # Otherwise a frozen owner would delay each request by the timeout.
            self._unresponsive_until[owner] = now + _UNRESPONSIVE_SECONDS
            return None
        return answer if isinstance(answer, messages.Slice) else None

    def _use_even_share(self, team: table.TeamRow, usage: _TeamUsage) -> None:
        """Limit the team to its even share while no owner responds."""
        now = self._clock.monotonic()
        daemons = max(1, len(list(self._daemons())))
        if team.ceiling_rate:
            rate = team.ceiling_rate / daemons
            since = min(now - usage.even_share_at, _quota_owner.SLICE_SECONDS)
            if since * rate >= 1:
                usage.slice_remaining = math.floor(since * rate)
                usage.slice_expires_at = now + _quota_owner.SLICE_SECONDS
                usage.even_share_at = now
        if team.ceiling_running:
            usage.leased = math.ceil(team.ceiling_running / daemons)
            usage.leased_until = now + _quota_owner.SLICE_SECONDS

    def _team_usage(self, team: _ids.TeamName) -> _TeamUsage:
        usage = self._usage_by_team.get(team)
        if usage is None:
            usage = _TeamUsage(
                lock=lock.BoundedSemaphore(),
                requested_at=self._clock.monotonic(),
            )
            self._usage_by_team[team] = usage
        return usage

    def usage(self) -> list[messages.TeamUse]:
        """Return the usage of this daemon by team, without idle teams."""
        now = self._clock.monotonic()
        return [
            messages.TeamUse(
                team=team,
                running=usage.running,
                rate=usage.rate if now - usage.requested_at < 5 else 0.0,
                refused=usage.refused,
            )
            for team, usage in self._usage_by_team.items()
        ]

    def renew(self) -> None:
        """Renew leases so that the owners' counts match what runs.

        Called every half second. A lease is renewed if it is larger than what
        runs, if it may no longer be used, or if the daemon that lent it no
        longer owns the team. While a long answer runs, no slice is requested
        for it, so a new owner is notified of it only by these renewals.
        """
        now = self._clock.monotonic()
        for team, usage in list(self._usage_by_team.items()):
            if usage.leased and self._needs_renewal(team, usage, now):
                self._renew(team, usage)
            elif (
                not usage.running and now - usage.requested_at > _IDLE_SECONDS
            ):
                del self._usage_by_team[team]

    def _needs_renewal(
        self, team: _ids.TeamName, usage: _TeamUsage, now: float
    ) -> bool:
        if usage.running < usage.leased or now > usage.leased_until:
            return True
        return usage.lender != self._owner_of(team)

    def _renew(self, team: _ids.TeamName, usage: _TeamUsage) -> None:
        message = messages.SliceAsk(
            team=team, want=0, unused=0, running=usage.running
        )
        with usage.lock:
            owner = self._owner_of(team)
            answer = self._exchange(owner, message)
            if answer is not None and answer.running_room >= 0:
                usage.lender = owner
                self._record_lease(usage, answer)

    def _owner_of(self, team: _ids.TeamName) -> _ids.DaemonId | None:
        """Return a team's owner, cached while the daemons stay the same.

        Ranking 880 daemons takes 135 us, half the cost of requesting a slice.
        """
        daemons = self._daemons()
        if daemons is not self._ranked_daemons:
            self._ranked_daemons = daemons
            self._owner_by_team.clear()
        if team not in self._owner_by_team:
            self._owner_by_team[team] = owner_of(team, daemons)
        return self._owner_by_team[team]
