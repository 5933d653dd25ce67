"""Simulates overload of one replica under different admission policies.

Uses no sockets or daemons: arrivals of three ranks are seeded, an engine
reads prompts one after the other and runs as many requests as it has slots
and memory for, and callers retry once. The decisions are made by the
product's own code: rank limits and reservations.

    python -m bench.experiments.overload [--seeds N]
"""

import argparse
import collections
from collections.abc import Callable
from collections.abc import Iterable
import enum
import heapq
import itertools
import random
from typing import NamedTuple
from typing import Protocol

import msgspec

from topazlug import _ids
from topazlug.capacity import _rank_limits
from topazlug.capacity import _reservations

_STEP_SECONDS = 0.005
_SLOW_FRACTION = 0.5
_MIN_RETRY_SECONDS = 0.2


class Kind(NamedTuple):
    """Kind of request.

    Attributes
    ----------
    rank : int
        0 is the most urgent.
    rate : float
        Requests per second at usual load.
    prompt, output : int
        Tokens to read and to generate.
    latency_objective, deadline : float
        Seconds within which the first token is on time, and until the
        caller gives up.
    """

    name: str
    rank: int
    rate: float
    prompt: int
    output: int
    latency_objective: float
    deadline: float


KINDS = (
    Kind("urgent", 0, 2.0, 700, 50, 0.8, 6.0),
    Kind("usual", 1, 2.5, 400, 25, 1.5, 4.0),
    Kind("long", 2, 2.0, 150, 280, 1.5, 15.0),
)


class Engine(NamedTuple):
    """Capacity and speed of a replica.

    Attributes
    ----------
    slots : int
        Maximum of concurrently running requests.
    memory : int
        Maximum of tokens held by all running requests together.
    read_rate : float
        Prompt tokens read per second.
    token_seconds, token_seconds_per_slot : float
        Time per token, and the time added per running request.
    """

    slots: int = 64
    memory: int = 232_000
    read_rate: float = 38_700.0
    token_seconds: float = 0.0055
    token_seconds_per_slot: float = 0.0002


class Surge(NamedTuple):
    """Multiple of the usual load for an interval.

    Attributes
    ----------
    team : str or None
        Team whose requests increase; None for all teams.
    """

    start: float
    end: float
    factor: float
    team: str | None = None


class Outcome(enum.Enum):
    """Outcome of a request."""

    ON_TIME = "on time"
    LATE = "late"
    REFUSED = "refused"
    LOST = "lost"


class Request(msgspec.Struct):
    """One request of a caller, together with its retry."""

    number: int
    kind: Kind
    team: _ids.TeamName
    arrived: float
    tries: int = 1
    outcome: Outcome = Outcome.LOST
    prompt_remaining: float = 0.0
    output_remaining: float = 0.0
    has_started: bool = False
    admitted: float = 0.0
    ended: float = 0.0

    @property
    def deadline_at(self) -> float:
        """Return the time at which its caller gives up."""
        return self.arrived + self.kind.deadline


class Policy(Protocol):
    """Decides whether a request is admitted."""

    def decide(self, request: Request, load: int, now: float) -> float | None:
        """Return None to admit, else the seconds until it may retry."""

    def note_held(self, request: Request, now: float) -> None:
        """Record that it occupies the replica."""

    def note_released(self, request: Request, now: float) -> None:
        """Record that it has left the replica."""

    def note_head(
        self, running: int, waiting: int, *, slow: bool, now: float
    ) -> None:
        """Record the load reported in the head of an answer."""


class AdmitAll:
    """Admits everything; requests queue at the replica."""

    def decide(self, request: Request, load: int, now: float) -> float | None:
        """Admit it."""
        return None

    def note_held(self, request: Request, now: float) -> None:
        """Do nothing."""

    def note_released(self, request: Request, now: float) -> None:
        """Do nothing."""

    def note_head(
        self, running: int, waiting: int, *, slow: bool, now: float
    ) -> None:
        """Do nothing."""


class FixedRankLimits(AdmitAll):
    """Admits each rank up to a fixed load of the replica."""

    def __init__(self, limits: Iterable[int] = (64, 40, 24)) -> None:
        self._limits = tuple(limits)

    def decide(self, request: Request, load: int, now: float) -> float | None:
        """Compare the load with the rank's limit."""
        return None if load < self._limits[request.kind.rank] else 0.6


class LearnedLimits:
    """The product's decisions, with learned limits.

    Parameters
    ----------
    slots : int
        Slots that the replica reports.
    with_reservations : bool
        Whether slots are reserved for requests that are to retry.
    """

    def __init__(
        self, slots: int = 64, *, with_reservations: bool = True
    ) -> None:
        self.limits = _rank_limits.RankLimits(slots=slots)
        self.reservations = _reservations.Reservations(
            random_fraction=random.Random(slots).random
        )
        self._with_reservations = with_reservations
        self._interval = 0.02
        self._released_at = 0.0

    def decide(self, request: Request, load: int, now: float) -> float | None:
        """Check the limits; reserve a slot if a retry can be on time."""
        rank = request.kind.rank
        self.limits.record_request(rank, now=now)
        is_due = self.reservations.is_due(request.number, now=now)
        if self.limits.has_capacity(
            rank,
            load=load,
            reserved=self.reservations.reserved(rank, now=now, is_due=is_due),
            is_due=is_due,
            now=now,
        ):
            return None
        retry_after = self.retry_after(request, now)
        self.reserve(request, retry_after, now)
        return retry_after

    def retry_after(self, request: Request, now: float) -> float:
        """Return the seconds until a slot is due for a retry."""
        return self.reservations.retry_after(
            request.kind.rank,
            interval=self._interval,
            max_delay=(request.deadline_at - now) * 0.3,
            now=now,
        )

    def reserve(
        self, request: Request, retry_after: float, now: float
    ) -> None:
        """Reserve a slot if the retry can be on time."""
        on_time_until = request.arrived + request.kind.latency_objective
        if self._with_reservations and now + retry_after <= on_time_until:
            self.reservations.add(
                request.number,
                request.kind.rank,
                seconds=retry_after,
                now=now,
            )

    def note_held(self, request: Request, now: float) -> None:
        """Count it as held and remove its reservation."""
        self.limits.add_held(request.kind.rank)
        self.reservations.remove(request.number)

    def note_released(self, request: Request, now: float) -> None:
        """Stop counting it; update the mean interval of releases."""
        self.limits.remove_held(request.kind.rank)
        self._interval += 0.1 * (now - self._released_at - self._interval)
        self._released_at = now

    def note_head(
        self, running: int, waiting: int, *, slow: bool, now: float
    ) -> None:
        """Update the limits from the reported load."""
        self.limits.handle_report(running, waiting, slow=slow, now=now)


class Result(NamedTuple):
    """Outcome counts of a set of requests."""

    total: int
    on_time: int
    late: int
    refused: int
    lost: int

    @property
    def share(self) -> float:
        """Return the share that was on time."""
        return self.on_time / max(1, self.total)


class Simulation:
    """Simulation of one replica under one policy."""

    def __init__(
        self, policy: Policy, *, engine: Engine, end: float = 30.0
    ) -> None:
        self._policy = policy
        self._engine = engine
        self._end = end
        self._running: list[Request] = []
        self._waiting: list[Request] = []
        self._returning: list[tuple[float, int, Request]] = []
        self._numbers = itertools.count()
        self.max_load = 0

    def simulate(self, requests: list[Request]) -> list[Request]:
        """Run the simulation; return the requests with their outcomes."""
        arriving = collections.deque(requests)
        now = 0.0
        while now < self._end + 20.0:
            while arriving and arriving[0].arrived <= now:
                self._handle_arrival(arriving.popleft(), now)
            while self._returning and self._returning[0][0] <= now:
                self._handle_arrival(heapq.heappop(self._returning)[2], now)
            self._advance(now)
            now += _STEP_SECONDS
        return requests

    def _handle_arrival(self, request: Request, now: float) -> None:
        load = len(self._running) + len(self._waiting)
        retry_after = self._policy.decide(request, load, now)
        if retry_after is None:
            request.admitted = now
            request.prompt_remaining = float(request.kind.prompt)
            request.output_remaining = float(request.kind.output)
            self._waiting.append(request)
            self._policy.note_held(request, now)
            self.max_load = max(self.max_load, load + 1)
            return
        if request.tries > 1:
            request.outcome = Outcome.REFUSED
            return
        request.tries += 1
        remaining = request.deadline_at - now
        retry_after = min(max(_MIN_RETRY_SECONDS, retry_after), remaining / 3)
        heapq.heappush(
            self._returning, (now + retry_after, next(self._numbers), request)
        )

    def _advance(self, now: float) -> None:
        self._drop_expired(now)
        self._prefill(now)
        busy = len(self._running)
        token = self._engine.token_seconds
        token += self._engine.token_seconds_per_slot * busy
        for request in list(self._running):
            request.output_remaining -= _STEP_SECONDS / token
            if not request.has_started:
                self._record_first_token(request, now)
            if request.output_remaining <= 0:
                is_within_deadline = (
                    now - request.arrived <= request.kind.deadline
                )
                if (
                    request.outcome is not Outcome.ON_TIME
                    and is_within_deadline
                ):
                    request.outcome = Outcome.LATE
                request.ended = now
                self._running.remove(request)
                self._policy.note_released(request, now)

    def _record_first_token(self, request: Request, now: float) -> None:
        request.has_started = True
        seconds = now - request.arrived
        if seconds <= request.kind.latency_objective:
            request.outcome = Outcome.ON_TIME
        self._policy.note_head(
            len(self._running),
            len(self._waiting),
            slow=seconds > request.kind.latency_objective * _SLOW_FRACTION,
            now=now,
        )

    def _drop_expired(self, now: float) -> None:
        """Remove requests whose callers have given up."""
        for held in (self._running, self._waiting):
            for request in [one for one in held if now > one.deadline_at]:
                held.remove(request)
                request.outcome = Outcome.LOST
                self._policy.note_released(request, now)

    def _prefill(self, now: float) -> None:
        """Read prompts of requests that fit slots and memory, by rank."""
        budget = self._engine.read_rate * _STEP_SECONDS
        self._waiting.sort(key=lambda one: (one.kind.rank, one.arrived))
        used = sum(one.kind.prompt + one.kind.output for one in self._running)
        for request in list(self._waiting):
            needs = request.kind.prompt + request.kind.output
            fits = used + needs <= self._engine.memory
            if len(self._running) >= self._engine.slots or not fits:
                return
            read = min(budget, request.prompt_remaining)
            request.prompt_remaining -= read
            budget -= read
            if request.prompt_remaining > 0:
                return
            self._waiting.remove(request)
            self._running.append(request)
            used += needs


def arrivals(
    seed: int,
    *,
    surges: Iterable[Surge] = (),
    teams: int = 10,
    end: float = 30.0,
    kinds: Iterable[Kind] = KINDS,
) -> list[Request]:
    """Return requests in the order of their arrival."""
    chance = random.Random(seed)
    names = [_ids.TeamName(f"team-{number}") for number in range(teams)]
    found = []
    numbers = itertools.count(1)
    for kind in kinds:
        for name in names:
            now = 0.0
            while now < end:
                factor = _factor(surges, name, now)
                now += chance.expovariate(kind.rate * factor / teams)
                found.append(Request(next(numbers), kind, name, now))
    return sorted(found, key=lambda one: one.arrived)


def _factor(surges: Iterable[Surge], team: _ids.TeamName, now: float) -> float:
    factor = 1.0
    for surge in surges:
        if surge.start <= now < surge.end and surge.team in (None, team):
            factor *= surge.factor
    return factor


def result(requests: Iterable[Request]) -> Result:
    """Count outcomes."""
    outcomes = collections.Counter(one.outcome for one in requests)
    return Result(
        sum(outcomes.values()),
        outcomes[Outcome.ON_TIME],
        outcomes[Outcome.LATE],
        outcomes[Outcome.REFUSED],
        outcomes[Outcome.LOST],
    )


LOADS: dict[str, tuple[list[Surge], Engine]] = {
    "usual": ([], Engine()),
    "slots are short": ([Surge(5.0, 15.0, 9.0)], Engine(slots=32)),
    "reading is short": (
        [Surge(5.0, 15.0, 9.0)],
        Engine(read_rate=10_000.0),
    ),
    "memory is short": ([Surge(5.0, 15.0, 9.0)], Engine(memory=12_000)),
    "one team surges": (
        [Surge(5.0, 15.0, 60.0, "team-0")],
        Engine(slots=32),
    ),
}
POLICIES: dict[str, Callable[[int], Policy]] = {
    "all let in": lambda slots: AdmitAll(),
    "fixed by rank": lambda slots: FixedRankLimits(),
    "learnt": LearnedLimits,
    "learnt, no places kept": lambda slots: LearnedLimits(
        slots, with_reservations=False
    ),
}


def main() -> None:
    """Print the results of all loads and policies."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    seeds = range(parser.parse_args().seeds)
    print("| load | policy | urgent | usual | long | lost |")
    print("|---|---|---|---|---|---|")
    for load, (surges, engine) in LOADS.items():
        for name, make in POLICIES.items():
            simulated: list[Request] = []
            for seed in seeds:
                simulation = Simulation(make(engine.slots), engine=engine)
                simulated += simulation.simulate(arrivals(seed, surges=surges))
            by_kind = [
                result(one for one in simulated if one.kind is kind).share
                for kind in KINDS
            ]
            shares = " | ".join(f"{share:.2f}" for share in by_kind)
            print(f"| {load} | {name} | {shares} | {result(simulated).lost} |")


if __name__ == "__main__":
    main()
