"""Ceilings of teams over the whole fleet, as the entry daemon keeps them.

A team's owner daemon (ranked like a replica's) lends parts of the ceiling to
the daemons that see the team's demand. A slice lapses, so what a dead daemon
held comes back by itself. With no owner in reach a daemon keeps to its even
share.
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

_ASK_TIMEOUT = 0.2
_SILENT_SECONDS = 1.0
_SMOOTHING_SECONDS = 1.0
_MIN_RETRY_AFTER = 0.1
_SLICE_DEMAND_SECONDS = 0.2
_MAX_WAIT_SECONDS = 0.3
_MAX_WAITING = 8
_FORGET_SECONDS = 60.0


class Ticket(Protocol):
    """Leave for one request to run."""

    def release(self) -> None:
        """Say that the request has ended; a second time does nothing."""


class Quotas(Protocol):
    """What grants tickets."""

    def acquire(self, team: table.TeamRow, *, deadline: float) -> Ticket:
        """Take a ticket.

        Raises
        ------
        TeamCeiling
            The team uses all that its row allows.
        """

    def usage(self) -> list[messages.TeamUse]:
        """Give what teams use of this daemon."""


class Links(Protocol):
    """What is needed of the peers' streams."""

    def call(
        self, to: _ids.DaemonId, message: msgspec.Struct, *, timeout: float
    ) -> msgspec.Struct:
        """Ask and wait; raises PeerUnreachable."""


class _Use(msgspec.Struct):
    """What one team uses of this daemon, and what it was lent."""

    lock: lock.BoundedSemaphore
    running: int = 0
    room: int = 0
    room_until: float = 0.0
    lender: _ids.DaemonId | None = None
    closed_until: float = 0.0
    waiting: int = 0
    remaining: float = 0.0
    lapses: float = 0.0
    rate: float = 0.0
    seen_at: float = 0.0
    refused: int = 0
    alone_at: float = 0.0

    def note_demand(self, now: float) -> None:
        """Keep a smoothed rate of requests a second."""
        gap = max(1e-6, now - self.seen_at)
        weight = 1.0 - math.exp(-gap / _SMOOTHING_SECONDS)
        self.rate += weight * (1.0 / gap - self.rate)
        self.seen_at = now


@final
class _Ticket:
    def __init__(self, usage: _Use) -> None:
        self._use: _Use | None = usage
        usage.running += 1

    def release(self) -> None:
        usage, self._use = self._use, None
        if usage is not None:
            usage.running -= 1


def owner_of(
    team: _ids.TeamName, daemons: Iterable[_ids.DaemonId]
) -> _ids.DaemonId | None:
    """Give the daemon that lends a team's ceiling."""
    seed = _ranking.chat_hash("team", team)
    name = _ranking.first(daemons, seed)
    return None if name is None else _ids.DaemonId(name)


@final
class TeamQuotas:
    """Tickets within the teams' ceilings.

    Parameters
    ----------
    daemon : DaemonId
        This daemon.
    owner : QuotaOwner
        Lends what this daemon itself owns.
    links : Links
        Streams to peers.
    daemons : callable
        Gives the usable daemons.
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
        self._use_by_team: dict[_ids.TeamName, _Use] = {}
        self._silent_until: dict[_ids.DaemonId, float] = {}
        self._ranked_daemons: Iterable[_ids.DaemonId] | None = None
        self._owner_by_team: dict[_ids.TeamName, _ids.DaemonId | None] = {}

    def acquire(self, team: table.TeamRow, *, deadline: float) -> Ticket:
        """Take a ticket; a team without ceilings always gets one.

        Raises
        ------
        TeamCeiling
            The team uses all that its row allows; the error says when a
            repeat makes sense.
        """
        usage = self._use(_ids.TeamName(team.name))
        usage.note_demand(self._clock.monotonic())
        if not team.ceiling_rate and not team.ceiling_running:
            return _Ticket(usage)
        if not self._has(team, usage):
            self._open(team, usage, deadline)
        if team.ceiling_rate:
            usage.remaining -= 1
        return _Ticket(usage)

    def _has(self, team: table.TeamRow, usage: _Use) -> bool:
        now = self._clock.monotonic()
        if team.ceiling_rate and (usage.remaining < 1 or now > usage.lapses):
            return False
        if not team.ceiling_running:
            return True
        return usage.running < usage.room and now <= usage.room_until

    def _open(self, team: table.TeamRow, usage: _Use, deadline: float) -> None:
        """Get a slice, waiting a moment if that is all it takes.

        Retry-After counts in whole seconds. Refused for want of a tenth of
        one, callers come back late and a small ceiling is never reached.
        Few may wait, or a surge would queue here unseen. While the owner's
        refusal holds, others are refused without asking it again.

        Raises
        ------
        TeamCeiling
            There is no room, or none soon enough.
        """
        for is_last in (False, True):
            wait = self._ask_once(team, usage)
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

    def _ask_once(self, team: table.TeamRow, usage: _Use) -> float:
        """Ask for a slice; give the seconds to wait, 0 with one at hand."""
        with usage.lock:
            if self._has(team, usage):
                return 0.0
            now = self._clock.monotonic()
            if now < usage.closed_until:
                return usage.closed_until - now
            retry_after = self._ask(team, usage)
            if self._has(team, usage):
                return 0.0
            retry_after = max(retry_after, _MIN_RETRY_AFTER)
            closed = min(retry_after, _MAX_WAIT_SECONDS)
            usage.closed_until = self._clock.monotonic() + closed
            return retry_after

    def _ask(self, team: table.TeamRow, usage: _Use) -> float:
        """Ask the owner; give the seconds that it says to wait."""
        name = _ids.TeamName(team.name)
        owner = self._owner_of(name)
        now = self._clock.monotonic()
        unused = math.floor(usage.remaining) if now <= usage.lapses else 0
        wanted = math.ceil(usage.rate * _SLICE_DEMAND_SECONDS)
        message = messages.SliceAsk(
            team=name,
            want=max(1, wanted),
            unused=max(0, unused),
            running=usage.running,
        )
        usage.remaining = 0.0
        answer = self._exchange(owner, message)
        if answer is None:
            self._share_alone(team, usage)
            return _SILENT_SECONDS
        usage.lender = owner
        self._note(team, usage, answer)
        return answer.retry_after

    def _note(
        self, team: table.TeamRow, usage: _Use, answer: messages.Slice
    ) -> None:
        now = self._clock.monotonic()
        usage.remaining = answer.lent
        usage.lapses = now + answer.lapse
        if team.ceiling_running:
            self._note_room(usage, answer)

    def _note_room(self, usage: _Use, answer: messages.Slice) -> None:
        """Note lent room, which counts for half the time it was lent for.

        Used until the owner forgets it, the same room would be lent to two
        daemons whenever a message is late.
        """
        now = self._clock.monotonic()
        usage.room = answer.running_room
        usage.room_until = now + _quota_owner.ROOM_SECONDS / 2

    def _exchange(
        self, owner: _ids.DaemonId | None, message: messages.SliceAsk
    ) -> messages.Slice | None:
        if owner is None:
            return None
        if owner == self._daemon:
            return self._owner.lend(self._daemon, message)
        now = self._clock.monotonic()
        if now < self._silent_until.get(owner, 0.0):
            return None
        try:
            answer = self._links.call(owner, message, timeout=_ASK_TIMEOUT)
        except _errors.PeerUnreachable:
            # A frozen owner would cost each request the whole timeout.
            self._silent_until[owner] = now + _SILENT_SECONDS
            return None
        return answer if isinstance(answer, messages.Slice) else None

    def _share_alone(self, team: table.TeamRow, usage: _Use) -> None:
        """Keep to the even share while no owner answers."""
        now = self._clock.monotonic()
        daemons = max(1, len(list(self._daemons())))
        if team.ceiling_rate:
            rate = team.ceiling_rate / daemons
            since = min(now - usage.alone_at, _quota_owner.SLICE_SECONDS)
            if since * rate >= 1:
                usage.remaining = math.floor(since * rate)
                usage.lapses = now + _quota_owner.SLICE_SECONDS
                usage.alone_at = now
        if team.ceiling_running:
            usage.room = math.ceil(team.ceiling_running / daemons)
            usage.room_until = now + _quota_owner.SLICE_SECONDS

    def _use(self, team: _ids.TeamName) -> _Use:
        usage = self._use_by_team.get(team)
        if usage is None:
            usage = _Use(
                lock=lock.BoundedSemaphore(),
                seen_at=self._clock.monotonic(),
            )
            self._use_by_team[team] = usage
        return usage

    def usage(self) -> list[messages.TeamUse]:
        """Give what teams use of this daemon; idle ones are left out."""
        now = self._clock.monotonic()
        return [
            messages.TeamUse(
                team=team,
                running=usage.running,
                rate=usage.rate if now - usage.seen_at < 5 else 0.0,
                refused=usage.refused,
            )
            for team, usage in self._use_by_team.items()
        ]

    def renew(self) -> None:
        """Keep the owners' word on room in step with what runs.

        Called every half second. Told are the owners of teams whose room
        is larger than what runs, about to lapse, or lent by a daemon that
        owns the team no more: a new owner learns of long answers, which ask
        for nothing by themselves, only by this.
        """
        now = self._clock.monotonic()
        for team, usage in list(self._use_by_team.items()):
            if usage.room and self._is_out_of_step(team, usage, now):
                self._renew(team, usage)
            elif not usage.running and now - usage.seen_at > _FORGET_SECONDS:
                del self._use_by_team[team]

    def _is_out_of_step(
        self, team: _ids.TeamName, usage: _Use, now: float
    ) -> bool:
        if usage.running < usage.room or now > usage.room_until:
            return True
        return usage.lender != self._owner_of(team)

    def _renew(self, team: _ids.TeamName, usage: _Use) -> None:
        message = messages.SliceAsk(
            team=team, want=0, unused=0, running=usage.running
        )
        with usage.lock:
            owner = self._owner_of(team)
            answer = self._exchange(owner, message)
            if answer is not None and answer.running_room >= 0:
                usage.lender = owner
                self._note_room(usage, answer)

    def _owner_of(self, team: _ids.TeamName) -> _ids.DaemonId | None:
        """Give a team's owner, remembered while the daemons stay the same.

        Ranking 880 daemons takes 135 us, half the cost of an ask.
        """
        daemons = self._daemons()
        if daemons is not self._ranked_daemons:
            self._ranked_daemons = daemons
            self._owner_by_team.clear()
        if team not in self._owner_by_team:
            self._owner_by_team[team] = owner_of(team, daemons)
        return self._owner_by_team[team]
