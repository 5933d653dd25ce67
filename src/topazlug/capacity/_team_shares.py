"""Fair shares of a replica's capacity for teams, while it is short.

Load pattern: for seconds the teams of a pool want more than it can process.
Among requests of one rank, order of arrival would decide, so a team that sends
eight times as much would get eight times as much, and a team with a few large
requests much more than one with many small ones.
"""

import collections
from collections.abc import Callable
import math
import random
from typing import NamedTuple
from typing import final

import msgspec

from topazlug import _ids

# Work of an output token, in prompt tokens. A replica reads 40 to 140 prompt
# tokens per millisecond and generates about 3 tokens per millisecond for all
# its streams together (32 streams, 12 ms per token).
_OUTPUT_TOKEN_WORK = 14.0
# Time constant with which work is forgotten. Long enough to hold several
# requests of a team, and short enough that a team that was idle gets more
# than its share for a moment only.
_MEMORY_SECONDS = 2.0
# A team that was rejected within this time still wants capacity. Its caller
# retries after 0.2 s at the earliest.
_WAITING_SECONDS = 0.5
# Accounts not used for this long hold less than 1% of their work.
_IDLE_SECONDS = 5 * _MEMORY_SECONDS
# Accounts, waiting teams of a rank and promised retries kept for one replica;
# the least recently used is dropped, so 13,000 teams need no more memory.
_MAX_TEAMS = 4096
_MAX_WAITING = 512
_MAX_RETRIES = 2000
# Minimum delay of a retry, and jitter as a fraction of the delay, as for
# reservations.
_MIN_DELAY_SECONDS = 0.05
_JITTER = 0.25
# A promised retry that is this late is no longer expected.
_EXPIRY_SECONDS = 0.5
# A reservation may be due this much earlier than the retry was promised. The
# report of the rejection arrives some milliseconds after the promise.
_REPORT_SECONDS = 0.05
# Work assumed for requests of unknown size until sizes are known.
_INITIAL_WORK = 1000.0
_WORK_SMOOTHING = 0.1

# Slots that requests of teams which are ahead leave to waiting teams. More
# would stand empty, as a waiting team takes the next slot within the time of
# a few arrivals.
KEPT_SLOTS = 1


def work_of(*, unread_tokens: int, output_tokens: int) -> float:
    """Return the work of a request in prompt tokens, 0 if it is unknown."""
    return max(0, unread_tokens) + _OUTPUT_TOKEN_WORK * max(0, output_tokens)


class Demand(NamedTuple):
    """A request for capacity.

    Attributes
    ----------
    team : TeamName
        Its team; requests without a team share the account of the empty name.
    rank : int
        Its rank; 0 is the most urgent.
    work : float
        Its work in tokens, 0 if unknown.
    prompt : int
        Hash of its whole prompt, the same when it is retried; 0 for none.
    """

    team: _ids.TeamName
    rank: int
    work: float
    prompt: int = 0


class Standing(NamedTuple):
    """How a team compares with the others that want capacity of one rank.

    Attributes
    ----------
    share : float
        Fraction of the capacity that is the team's by weight.
    recent : float
        Its recent work, with the requested work, divided by its weight.
    least : float
        The same for the waiting team with the least recent work.
    """

    share: float
    recent: float
    least: float


class _Account(msgspec.Struct):
    """Recent work of a team by rank, as of a moment."""

    updated_at: float
    work_by_rank: dict[int, float] = msgspec.field(default_factory=dict)
    # Ranks in which a request was rejected for fairness, with the time.
    rejected_at_by_rank: dict[int, float] = msgspec.field(default_factory=dict)

    def decay(self, now: float) -> None:
        """Reduce the work by what is forgotten until now."""
        factor = math.exp(-max(0.0, now - self.updated_at) / _MEMORY_SECONDS)
        for rank in self.work_by_rank:
            self.work_by_rank[rank] *= factor
        self.updated_at = max(self.updated_at, now)

    def recent(self, rank: int, *, now: float) -> float:
        """Return the work of a rank and of more urgent ones."""
        self.decay(now)
        return sum(
            work for other, work in self.work_by_rank.items() if other <= rank
        )


class _Retry(NamedTuple):
    """A rejected request, and when it was promised capacity."""

    demand: Demand
    due: float


@final
class TeamShares:
    """Recent work of the teams on one replica, and which of them wait.

    Parameters
    ----------
    weight_of : callable
        Returns a team's weight, above 0.
    random_fraction : callable
        Returns random numbers from 0 to 1, for jitter.
    """

    def __init__(
        self,
        *,
        weight_of: Callable[[_ids.TeamName], float] = lambda team: 1.0,
        random_fraction: Callable[[], float] = random.random,
    ) -> None:
        self._weight_of = weight_of
        self._random_fraction = random_fraction
        self._account_by_team: collections.OrderedDict[
            _ids.TeamName, _Account
        ] = collections.OrderedDict()
        self._total = _Account(updated_at=0.0)
        # Times of the last rejections, in order of time.
        self._waiting_by_rank: dict[
            int, collections.OrderedDict[_ids.TeamName, float]
        ] = {}
        self._retry_by_prompt: collections.OrderedDict[int, _Retry]
        self._retry_by_prompt = collections.OrderedDict()
        self._average_work = _INITIAL_WORK

    def __len__(self) -> int:
        """Return the number of accounts."""
        return len(self._account_by_team)

    def record_admitted(self, demand: Demand, *, now: float) -> None:
        """Count the work of a request that holds a slot from now on."""
        self._retry_by_prompt.pop(demand.prompt, None)
        if demand.work > 0:
            change = demand.work - self._average_work
            self._average_work += _WORK_SMOOTHING * change
        work = self._estimated(demand)
        account = self._use_account(demand.team, now=now)
        account.rejected_at_by_rank.pop(demand.rank, None)
        for one in (account, self._total):
            one.decay(now)
            before = one.work_by_rank.get(demand.rank, 0.0)
            one.work_by_rank[demand.rank] = before + work

    def compare(self, demand: Demand, *, now: float) -> Standing | None:
        """Return the standing of a request's team if the team is ahead.

        The team is ahead if a team that waits for capacity of the same rank
        has got less, or if a more urgent request of the team was rejected for
        fairness just now: a less urgent one must not overtake that.

        Parameters
        ----------
        demand : Demand
            The request.
        now : float
            Monotonic seconds.

        Returns
        -------
        Standing or None
            None if the request may take a free slot.
        """
        waiting = self._waiting(demand.rank, now=now)
        standing = self._standing(demand, waiting, now=now)
        if standing.least < standing.recent:
            return standing
        account = self._account_by_team.get(demand.team)
        if account is None:
            return None
        for rank, rejected_at in account.rejected_at_by_rank.items():
            if rank < demand.rank and now - rejected_at <= _WAITING_SECONDS:
                return standing
        return None

    def reject(
        self,
        demand: Demand,
        *,
        max_delay: float,
        is_for_fairness: bool,
        now: float,
    ) -> float | None:
        """Record a rejected request; return when to retry it.

        The delay is the time that the team's share of the current throughput
        takes to serve what the team is ahead by, the retries promised to it
        before, and this request.

        Parameters
        ----------
        demand : Demand
            The request.
        max_delay : float
            Maximum seconds that the caller would wait.
        is_for_fairness : bool
            Whether a slot was free and is left to another team.
        now : float
            Monotonic seconds.

        Returns
        -------
        float or None
            Seconds; None if nothing of this rank has run recently.
        """
        waiting = self._waiting(demand.rank, now=now)
        self._record_waiting(demand, now=now)
        if is_for_fairness:
            account = self._use_account(demand.team, now=now)
            account.rejected_at_by_rank[demand.rank] = now
        self._total.decay(now)
        rate = self._total.work_by_rank.get(demand.rank, 0.0)
        rate /= _MEMORY_SECONDS
        if rate <= 0:
            return None
        standing = self._standing(demand, waiting, now=now)
        weight = self._weight_of(demand.team)
        others = weight / standing.share - weight
        lead = max(0.0, standing.recent - standing.least)
        promised = self._promised(demand, now=now) + self._estimated(demand)
        seconds = _MIN_DELAY_SECONDS + (
            lead * others / rate + promised / (rate * standing.share)
        )
        seconds *= 1.0 + _JITTER * self._random_fraction()
        if demand.prompt:
            self._retry_by_prompt.pop(demand.prompt, None)
            self._retry_by_prompt[demand.prompt] = _Retry(
                demand, now + seconds
            )
            if len(self._retry_by_prompt) > _MAX_RETRIES:
                self._retry_by_prompt.popitem(last=False)
        return min(seconds, max_delay)

    def may_reserve(self, prompt: int, *, seconds: float, now: float) -> bool:
        """Return whether a slot may be reserved for a rejected request.

        Callers wait only for a limited time. A retry that comes before its
        team's share has room for it has no claim to a slot; otherwise a team
        could get any amount by being rejected often.
        """
        retry = self._retry_by_prompt.get(prompt)
        return retry is None or retry.due <= now + seconds + _REPORT_SECONDS

    def _estimated(self, demand: Demand) -> float:
        return demand.work if demand.work > 0 else self._average_work

    def _standing(
        self,
        demand: Demand,
        waiting: list[_ids.TeamName],
        *,
        now: float,
    ) -> Standing:
        """Return a team's standing among the waiting teams.

        Half of the requested work is added, so that a team with large
        requests is neither served before its turn nor a whole request late.
        """
        weight = self._weight_of(demand.team)
        due = sum(
            self._estimated(retry.demand)
            for retry in self._retry_by_prompt.values()
            if retry.demand.team == demand.team
            and retry.demand.rank <= demand.rank
            and retry.demand.prompt != demand.prompt
            and retry.due <= now <= retry.due + _EXPIRY_SECONDS
        )
        recent = self._recent(demand.team, demand.rank, now=now) + due
        recent = (recent + self._estimated(demand) / 2) / weight
        least = math.inf
        total_weight = weight
        for team in waiting:
            if team == demand.team:
                continue
            other_weight = self._weight_of(team)
            total_weight += other_weight
            other = self._recent(team, demand.rank, now=now)
            least = min(
                least, (other + self._average_work / 2) / other_weight
            )
        return Standing(weight / total_weight, recent, least)

    def _recent(
        self, team: _ids.TeamName, rank: int, *, now: float
    ) -> float:
        account = self._account_by_team.get(team)
        return 0.0 if account is None else account.recent(rank, now=now)

    def _promised(self, demand: Demand, *, now: float) -> float:
        """Return the work of the retries promised to a team in a rank."""
        return sum(
            self._estimated(retry.demand)
            for retry in self._retry_by_prompt.values()
            if retry.demand.team == demand.team
            and retry.demand.rank == demand.rank
            and retry.demand.prompt != demand.prompt
            and now <= retry.due
        )

    def _waiting(self, rank: int, *, now: float) -> list[_ids.TeamName]:
        """Return the teams rejected in a rank just now."""
        rejected_at_by_team = self._waiting_by_rank.get(rank)
        if rejected_at_by_team is None:
            return []
        since = now - _WAITING_SECONDS
        while rejected_at_by_team:
            team, rejected_at = next(iter(rejected_at_by_team.items()))
            if rejected_at >= since:
                return list(rejected_at_by_team)
            del rejected_at_by_team[team]
        del self._waiting_by_rank[rank]
        return []

    def _record_waiting(self, demand: Demand, *, now: float) -> None:
        rejected_at_by_team = self._waiting_by_rank.setdefault(
            demand.rank, collections.OrderedDict()
        )
        rejected_at_by_team[demand.team] = now
        rejected_at_by_team.move_to_end(demand.team)
        if len(rejected_at_by_team) > _MAX_WAITING:
            rejected_at_by_team.popitem(last=False)

    def _use_account(self, team: _ids.TeamName, *, now: float) -> _Account:
        """Return a team's account, and drop those of idle teams."""
        account = self._account_by_team.get(team)
        if account is None:
            account = _Account(updated_at=now)
            self._account_by_team[team] = account
        self._account_by_team.move_to_end(team)
        while len(self._account_by_team) > 1:
            oldest = next(iter(self._account_by_team))
            is_idle = (
                now - self._account_by_team[oldest].updated_at > _IDLE_SECONDS
            )
            if not is_idle and len(self._account_by_team) <= _MAX_TEAMS:
                break
            del self._account_by_team[oldest]
        return account
