"""Fair shares of a replica's capacity for teams, while it is short.

Load pattern: for seconds the teams of a pool want more than it can process.
Among requests of one rank, order of arrival would decide, so a team that sends
eight times as much would get eight times as much, and a team with a few large
requests much more than one with many small ones.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
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
# Time constant with which work is forgotten. A team that was idle is ahead of
# nobody until it has got its share of this time, so it should be short. With
# 2 s, a team of large requests got 5% less than one of small requests in the
# replay: part of its account was forgotten before its next request came.
_MEMORY_SECONDS = 4.0
# A team that was rejected within this time waits for capacity. Callers retry
# after 0.2 s at the earliest.
_WAITING_SECONDS = 1.0
# A team without requests for this long does not want capacity.
_WANTING_SECONDS = 2.0
# Accounts not used for this long hold less than 1% of their work.
_IDLE_SECONDS = 5 * _MEMORY_SECONDS
# Accounts, wanting teams of a rank and promised retries kept for one replica;
# the least recently used is dropped, so 13,000 teams need no more memory. Each
# request is compared with all wanting teams: 512 took 0.66 ms.
_MAX_TEAMS = 4096
_MAX_WANTING = 128
_MAX_RETRIES = 2000
# Jitter as a fraction of the delay, as for reservations.
_JITTER = 0.25
# Rejected requests queue for their team's share up to this multiple of what a
# caller waits, so that the delays are short again soon after the shortage.
# With a queue that ends where callers give up, the work of all teams fell by
# 10% in the replay, and small requests got 1.5 times as much as large ones.
_MAX_PROMISED_DELAYS = 2.0
# A reservation may be due this much earlier than the retry was promised. The
# report of the rejection arrives some milliseconds after the promise.
_REPORT_SECONDS = 0.05
# Work assumed for requests of unknown size until sizes are known.
_INITIAL_WORK = 1000.0
_WORK_SMOOTHING = 0.1

# A request leaves one slot to each waiting team that has got less than its
# own, but at most this fraction of the limit: more would stand empty. A team
# that has got a multiple of its share leaves as many more, up to this factor.
# With one slot each, a team at eight times its load filled the replica with
# long requests, and others got .83 to .92 of their share in the replay.
_MAX_KEPT_FRACTION = 1 / 8
_MAX_EXCESS = 2.0


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
    weight : float
        The team's weight, above 0.
    """

    team: _ids.TeamName
    rank: int
    work: float
    prompt: int = 0
    weight: float = 1.0


class Standing(NamedTuple):
    """How a team compares with those that wait for capacity of its rank.

    Attributes
    ----------
    share : float
        Fraction of the capacity that is the team's by weight, among the
        teams that want capacity now.
    recent : float
        Its recent work with half of the requested work, over its weight.
    least : float
        The same for the waiting team that has got least; infinity if none
        waits.
    kept_slots : int
        Slots that the request leaves to other teams.
    """

    share: float
    recent: float
    least: float
    kept_slots: int


class _Account(msgspec.Struct):
    """Recent work of a team by rank, as of a moment."""

    updated_at: float
    work_by_rank: dict[int, float] = msgspec.field(default_factory=dict)
    # Last rejection for fairness of each rank, until one is admitted.
    rejected_at_by_rank: dict[int, float] = msgspec.field(default_factory=dict)
    # Time until which the team's share is promised to its retries.
    promised_until_by_rank: dict[int, float] = msgspec.field(
        default_factory=dict
    )

    def add(self, rank: int, work: float, *, now: float) -> None:
        """Add the work of an admitted request."""
        self._decay(now)
        self.work_by_rank[rank] = self.work_by_rank.get(rank, 0.0) + work

    def recent(self, rank: int, *, now: float) -> float:
        """Return the recent work of a rank and of more urgent ones."""
        self._decay(now)
        return sum(
            work for other, work in self.work_by_rank.items() if other <= rank
        )

    def recent_of_rank(self, rank: int, *, now: float) -> float:
        """Return the recent work of a rank alone."""
        self._decay(now)
        return self.work_by_rank.get(rank, 0.0)

    def _decay(self, now: float) -> None:
        elapsed = max(0.0, now - self.updated_at)
        factor = math.exp(-elapsed / _MEMORY_SECONDS)
        for rank in self.work_by_rank:
            self.work_by_rank[rank] *= factor
        self.updated_at = max(self.updated_at, now)


class _Want(msgspec.Struct):
    """Last request of a team in a rank, and its last rejection."""

    asked_at: float
    weight: float
    rejected_at: float = -math.inf
    rejected_work: float = 0.0


@final
class TeamShares:
    """Recent work of the teams on one replica, and which of them wait.

    Parameters
    ----------
    random_fraction : callable
        Returns random numbers from 0 to 1, for jitter.
    """

    def __init__(
        self, *, random_fraction: Callable[[], float] = random.random
    ) -> None:
        self._random_fraction = random_fraction
        self._account_by_team: collections.OrderedDict[
            _ids.TeamName, _Account
        ] = collections.OrderedDict()
        self._total = _Account(updated_at=0.0)
        # In order of the last request.
        self._want_by_team_by_rank: dict[
            int, collections.OrderedDict[_ids.TeamName, _Want]
        ] = {}
        self._due_by_prompt: collections.OrderedDict[int, float]
        self._due_by_prompt = collections.OrderedDict()
        self._average_work = _INITIAL_WORK

    def __len__(self) -> int:
        """Return the number of accounts."""
        return len(self._account_by_team)

    def recent(self, team: _ids.TeamName, rank: int, *, now: float) -> float:
        """Return a team's recent work in a rank and more urgent ones."""
        account = self._account_by_team.get(team)
        return 0.0 if account is None else account.recent(rank, now=now)

    def record_request(self, demand: Demand, *, now: float) -> None:
        """Record that a team wants capacity."""
        wants = self._want_by_team_by_rank.setdefault(
            demand.rank, collections.OrderedDict()
        )
        want = wants.get(demand.team)
        if want is None:
            wants[demand.team] = _Want(now, demand.weight)
        else:
            want.asked_at = now
            want.weight = demand.weight
            wants.move_to_end(demand.team)
        if len(wants) > _MAX_WANTING:
            wants.popitem(last=False)

    def record_admitted(self, demand: Demand, *, now: float) -> None:
        """Count the work of a request that holds a slot from now on."""
        self._due_by_prompt.pop(demand.prompt, None)
        if demand.work > 0:
            change = demand.work - self._average_work
            self._average_work += _WORK_SMOOTHING * change
        account = self._use_account(demand.team, now=now)
        account.rejected_at_by_rank.pop(demand.rank, None)
        work = self._estimated(demand.work)
        account.add(demand.rank, work, now=now)
        self._total.add(demand.rank, work, now=now)

    def compare(self, demand: Demand, *, limit: int, now: float) -> Standing:
        """Compare a request's team with those that wait for its rank.

        If the team has got more than its share, the request leaves a slot to
        each waiting team that has got less, and more of them the further it
        is above its share. It also leaves one to a more urgent request of its
        own team that was rejected for fairness just now, and must not be
        overtaken.

        Half of the requested work is added to the recent work. Without it, a
        team with large requests would be ahead by half a request on average.

        Parameters
        ----------
        demand : Demand
            The request.
        limit : int
            Maximum number of requests on the replica.
        now : float
            Monotonic seconds.
        """
        weight = demand.weight
        total_weight = weight
        recent = self.recent(demand.team, demand.rank, now=now)
        recent = (recent + self._estimated(demand.work) / 2) / weight
        least = math.inf
        kept = 0
        for team, want in self._wanting(demand.rank, now=now):
            if team == demand.team:
                continue
            total_weight += want.weight
            if now - want.rejected_at > _WAITING_SECONDS:
                continue
            other = self.recent(team, demand.rank, now=now)
            other = (other + want.rejected_work / 2) / want.weight
            least = min(least, other)
            kept += other < recent
        share = weight / total_weight
        total = self._total.recent(demand.rank, now=now)
        # How many times its share the team has got.
        excess = recent * weight / max(1.0, share * total)
        if excess <= 1.0:
            kept = 0
        max_kept = max(1.0, limit * _MAX_KEPT_FRACTION)
        kept = int(min(kept, max_kept) * min(excess, _MAX_EXCESS))
        if self._would_overtake(demand, now=now):
            kept = max(1, kept)
        return Standing(
            share=share,
            recent=recent,
            least=least,
            kept_slots=kept,
        )

    def reject(
        self,
        demand: Demand,
        standing: Standing,
        *,
        min_delay: float,
        max_delay: float,
        is_for_fairness: bool,
        now: float,
    ) -> float:
        """Record a rejected request; return when to retry it.

        The delay is the time that the team's share of the current throughput
        takes to serve the requests rejected before and this one, longer by
        what the team is ahead of the others, shorter by what it is behind.

        Parameters
        ----------
        demand : Demand
            The request.
        standing : Standing
            Its team's standing.
        min_delay : float
            Seconds until a slot is due for a retry of its rank.
        max_delay : float
            Maximum seconds that the caller would wait.
        is_for_fairness : bool
            Whether a slot was free and is left to another team.
        now : float
            Monotonic seconds.

        Returns
        -------
        float
            Seconds.
        """
        work = self._estimated(demand.work)
        want = self._want_by_team_by_rank[demand.rank][demand.team]
        want.rejected_at = now
        want.rejected_work = work
        account = self._use_account(demand.team, now=now)
        if is_for_fairness:
            account.rejected_at_by_rank[demand.rank] = now
        rate = self._total.recent_of_rank(demand.rank, now=now)
        rate /= _MEMORY_SECONDS
        if rate <= 0:
            return min(min_delay, max_delay)
        share_rate = rate * standing.share
        promised_until = account.promised_until_by_rank.get(demand.rank, now)
        promised_until = max(promised_until, now) + work / share_rate
        seconds = promised_until - now
        if standing.least < math.inf:
            lead = (standing.recent - standing.least) * demand.weight
            seconds += lead / share_rate
        seconds *= 1.0 + _JITTER * self._random_fraction()
        seconds = max(min_delay, seconds)
        account.promised_until_by_rank[demand.rank] = min(
            promised_until, now + max_delay * _MAX_PROMISED_DELAYS
        )
        if demand.prompt:
            self._due_by_prompt[demand.prompt] = now + seconds
            self._due_by_prompt.move_to_end(demand.prompt)
            if len(self._due_by_prompt) > _MAX_RETRIES:
                self._due_by_prompt.popitem(last=False)
        return min(seconds, max_delay)

    def may_reserve(self, prompt: int, *, seconds: float, now: float) -> bool:
        """Return whether a slot may be reserved for a rejected request.

        Callers wait only for a limited time. A retry that comes before its
        team's share has room for it has no claim to a slot; otherwise a team
        could get any amount by being rejected often.
        """
        due = self._due_by_prompt.get(prompt)
        return due is None or due <= now + seconds + _REPORT_SECONDS

    def _estimated(self, work: float) -> float:
        return work if work > 0 else self._average_work

    def _would_overtake(self, demand: Demand, *, now: float) -> bool:
        account = self._account_by_team.get(demand.team)
        if account is None:
            return False
        return any(
            rank < demand.rank and now - rejected_at <= _WAITING_SECONDS
            for rank, rejected_at in account.rejected_at_by_rank.items()
        )

    def _wanting(
        self, rank: int, *, now: float
    ) -> Iterable[tuple[_ids.TeamName, _Want]]:
        """Return the teams that want capacity of a rank now."""
        wants = self._want_by_team_by_rank.get(rank)
        if wants is None:
            return ()
        while wants:
            team, want = next(iter(wants.items()))
            if now - want.asked_at <= _WANTING_SECONDS:
                break
            del wants[team]
        return wants.items()

    def _use_account(self, team: _ids.TeamName, *, now: float) -> _Account:
        """Return a team's account, and drop those of idle teams."""
        account = self._account_by_team.get(team)
        if account is None:
            account = _Account(updated_at=now)
            self._account_by_team[team] = account
        self._account_by_team.move_to_end(team)
        while len(self._account_by_team) > 1:
            oldest = next(iter(self._account_by_team.values()))
            is_idle = now - oldest.updated_at > _IDLE_SECONDS
            if not is_idle and len(self._account_by_team) <= _MAX_TEAMS:
                break
            self._account_by_team.popitem(last=False)
        return account
