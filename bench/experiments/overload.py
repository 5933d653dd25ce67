"""Replays load at its worst on one replica, under different policies.

Without sockets and daemons: seeded arrivals of three ranks, an engine that
reads prompts one after the other and runs as many requests as it has slots
and memory for, and callers that come back once. What decides is the
product's own: limits by rank and kept places.

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
_SLOW_PART = 0.5
_SOONEST_RETURN_SECONDS = 0.2


class Kind(NamedTuple):
    """One kind of request.

    Attributes
    ----------
    rank : int
        0 comes first.
    rate : float
        Usual requests a second.
    prompt, output : int
        Tokens to read and to make.
    in_time, deadline : float
        Seconds to the first token, and until the caller gives up.
    """

    name: str
    rank: int
    rate: float
    prompt: int
    output: int
    in_time: float
    deadline: float


KINDS = (
    Kind("urgent", 0, 2.0, 700, 50, 0.8, 6.0),
    Kind("usual", 1, 2.5, 400, 25, 1.5, 4.0),
    Kind("long", 2, 2.0, 150, 280, 1.5, 15.0),
)


class Engine(NamedTuple):
    """What a replica can do.

    Attributes
    ----------
    slots : int
        Requests run at once.
    memory : int
        Tokens that all running requests may hold together.
    read_rate : float
        Prompt tokens read a second.
    token_seconds, token_seconds_per_slot : float
        Time of one token, and what each other request adds.
    """

    slots: int = 64
    memory: int = 232_000
    read_rate: float = 38_700.0
    token_seconds: float = 0.0055
    token_seconds_per_slot: float = 0.0002


class Surge(NamedTuple):
    """More of the usual load for a time.

    Attributes
    ----------
    team : str or None
        Whose requests; None for all.
    """

    start: float
    end: float
    factor: float
    team: str | None = None


class Fate(enum.Enum):
    """How a request ended."""

    ON_TIME = "on time"
    LATE = "late"
    REFUSED = "refused"
    LOST = "lost"


class Request(msgspec.Struct):
    """One request of a caller, with its repeat."""

    number: int
    kind: Kind
    team: _ids.TeamName
    arrived: float
    tries: int = 1
    fate: Fate = Fate.LOST
    to_read: float = 0.0
    to_make: float = 0.0
    has_begun: bool = False

    @property
    def gives_up(self) -> float:
        """Give when its caller leaves."""
        return self.arrived + self.kind.deadline


class Policy(Protocol):
    """Decides whether a request is let in."""

    def decide(self, request: Request, load: int, now: float) -> float | None:
        """Give None to let it in, else the seconds until it may return."""

    def note_held(self, request: Request, now: float) -> None:
        """Note that it is on the replica."""

    def note_released(self, request: Request, now: float) -> None:
        """Note that it has left the replica."""

    def note_head(
        self, running: int, waiting: int, *, slow: bool, now: float
    ) -> None:
        """Note what the head of an answer tells."""


class LetAllIn:
    """Leaves the queueing to the replica."""

    def decide(self, request: Request, load: int, now: float) -> float | None:
        """Let it in."""
        return None

    def note_held(self, request: Request, now: float) -> None:
        """Do nothing."""

    def note_released(self, request: Request, now: float) -> None:
        """Do nothing."""

    def note_head(
        self, running: int, waiting: int, *, slow: bool, now: float
    ) -> None:
        """Do nothing."""


class FixedByRank(LetAllIn):
    """Lets each rank fill the replica up to a number of its own."""

    def __init__(self, limits: Iterable[int] = (64, 40, 24)) -> None:
        self._limits = tuple(limits)

    def decide(self, request: Request, load: int, now: float) -> float | None:
        """Compare with the rank's number."""
        return None if load < self._limits[request.kind.rank] else 0.6


class Learnt:
    """The product's decisions.

    Parameters
    ----------
    slots : int
        What the replica says of itself.
    with_returns : bool
        Whether places are kept for who comes back.
    """

    def __init__(self, slots: int = 64, *, with_returns: bool = True) -> None:
        self.room = _rank_limits.RankLimits(slots=slots)
        self._reservations = _reservations.Reservations(
            random_fraction=random.Random(slots).random
        )
        self._with_returns = with_returns
        self._interval = 0.02
        self._released_at = 0.0

    def decide(self, request: Request, load: int, now: float) -> float | None:
        """Ask the room; keep a place for who can still be on time."""
        rank = request.kind.rank
        self.room.record_request(rank, now=now)
        is_due = self._reservations.is_due(request.number, now=now)
        if self.room.has_capacity(
            rank,
            load=load,
            reserved=self._reservations.reserved(rank, now=now, is_due=is_due),
            is_due=is_due,
            now=now,
        ):
            return None
        left = request.gives_up - now
        retry_after = self._reservations.retry_after(
            rank, interval=self._interval, max_delay=left * 0.3, now=now
        )
        in_time = request.arrived + request.kind.in_time
        if self._with_returns and now + retry_after <= in_time:
            self._reservations.add(
                request.number, rank, seconds=retry_after, now=now
            )
        return retry_after

    def note_held(self, request: Request, now: float) -> None:
        """Count it."""
        self.room.add_held(request.kind.rank)
        self._reservations.remove(request.number)

    def note_released(self, request: Request, now: float) -> None:
        """Count it no more; learn how fast places are given back."""
        self.room.remove_held(request.kind.rank)
        self._interval += 0.1 * (now - self._released_at - self._interval)
        self._released_at = now

    def note_head(
        self, running: int, waiting: int, *, slow: bool, now: float
    ) -> None:
        """Learn what the replica can do."""
        self.room.handle_report(running, waiting, slow=slow, now=now)


class Result(NamedTuple):
    """What became of one kind's or team's requests."""

    asked: int
    on_time: int
    late: int
    refused: int
    lost: int

    @property
    def share(self) -> float:
        """Give the part that was on time."""
        return self.on_time / max(1, self.asked)


class Replay:
    """One replica under one policy."""

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
        self.most_load = 0

    def play(self, requests: list[Request]) -> list[Request]:
        """Give the requests with their fates."""
        arriving = collections.deque(requests)
        now = 0.0
        while now < self._end + 20.0:
            while arriving and arriving[0].arrived <= now:
                self._come(arriving.popleft(), now)
            while self._returning and self._returning[0][0] <= now:
                self._come(heapq.heappop(self._returning)[2], now)
            self._work(now)
            now += _STEP_SECONDS
        return requests

    def _come(self, request: Request, now: float) -> None:
        load = len(self._running) + len(self._waiting)
        retry_after = self._policy.decide(request, load, now)
        if retry_after is None:
            request.to_read = float(request.kind.prompt)
            request.to_make = float(request.kind.output)
            self._waiting.append(request)
            self._policy.note_held(request, now)
            self.most_load = max(self.most_load, load + 1)
            return
        if request.tries > 1:
            request.fate = Fate.REFUSED
            return
        request.tries += 1
        left = request.gives_up - now
        retry_after = min(max(_SOONEST_RETURN_SECONDS, retry_after), left / 3)
        heapq.heappush(
            self._returning, (now + retry_after, next(self._numbers), request)
        )

    def _work(self, now: float) -> None:
        self._leave(now)
        self._read(now)
        busy = len(self._running)
        token = self._engine.token_seconds
        token += self._engine.token_seconds_per_slot * busy
        for request in list(self._running):
            request.to_make -= _STEP_SECONDS / token
            if not request.has_begun:
                self._begin(request, now)
            if request.to_make <= 0:
                in_time = now - request.arrived <= request.kind.deadline
                if request.fate is not Fate.ON_TIME and in_time:
                    request.fate = Fate.LATE
                self._running.remove(request)
                self._policy.note_released(request, now)

    def _begin(self, request: Request, now: float) -> None:
        request.has_begun = True
        seconds = now - request.arrived
        if seconds <= request.kind.in_time:
            request.fate = Fate.ON_TIME
        self._policy.note_head(
            len(self._running),
            len(self._waiting),
            slow=seconds > request.kind.in_time * _SLOW_PART,
            now=now,
        )

    def _leave(self, now: float) -> None:
        """Take out those whose callers have given up."""
        for held in (self._running, self._waiting):
            for request in [one for one in held if now > one.gives_up]:
                held.remove(request)
                request.fate = Fate.LOST
                self._policy.note_released(request, now)

    def _read(self, now: float) -> None:
        """Read prompts of those that have a slot and memory, by rank."""
        budget = self._engine.read_rate * _STEP_SECONDS
        self._waiting.sort(key=lambda one: (one.kind.rank, one.arrived))
        used = sum(one.kind.prompt + one.kind.output for one in self._running)
        for request in list(self._waiting):
            needs = request.kind.prompt + request.kind.output
            fits = used + needs <= self._engine.memory
            if len(self._running) >= self._engine.slots or not fits:
                return
            read = min(budget, request.to_read)
            request.to_read -= read
            budget -= read
            if request.to_read > 0:
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
    """Give requests in the order of their arrival."""
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
    """Add up fates."""
    fates = collections.Counter(one.fate for one in requests)
    return Result(
        sum(fates.values()),
        fates[Fate.ON_TIME],
        fates[Fate.LATE],
        fates[Fate.REFUSED],
        fates[Fate.LOST],
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
    "all let in": lambda slots: LetAllIn(),
    "fixed by rank": lambda slots: FixedByRank(),
    "learnt": Learnt,
    "learnt, no places kept": lambda slots: Learnt(slots, with_returns=False),
}


def main() -> None:
    """Print the table of all loads and policies."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    seeds = range(parser.parse_args().seeds)
    print("| load | policy | urgent | usual | long | lost |")
    print("|---|---|---|---|---|---|")
    for load, (surges, engine) in LOADS.items():
        for name, make in POLICIES.items():
            played: list[Request] = []
            for seed in seeds:
                replay = Replay(make(engine.slots), engine=engine)
                played += replay.play(arrivals(seed, surges=surges))
            by_kind = [
                result(one for one in played if one.kind is kind).share
                for kind in KINDS
            ]
            shares = " | ".join(f"{share:.2f}" for share in by_kind)
            print(f"| {load} | {name} | {shares} | {result(played).lost} |")


if __name__ == "__main__":
    main()
