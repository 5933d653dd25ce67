"""Simulates teams that compete for one replica, with and without fair shares.

Uses the simulation of `bench.experiments.overload`. The decisions are made by
the product's own code: rank limits, reservations and team shares.

    python -m bench.experiments.team_shares [--seeds N]
"""

import argparse
import collections
from collections.abc import Iterable
from collections.abc import Mapping
import functools
import random
import statistics
from typing import NamedTuple

from bench.experiments import overload
from topazlug import _ids
from topazlug.capacity import _team_shares

# Callers of the replay wait this fraction of their remaining time at most.
_MAX_DELAY_FRACTION = 0.3
START = 5.0
END = 20.0
ENGINE = overload.Engine(slots=40)


class TeamLoad(NamedTuple):
    """A team and its requests at usual load."""

    name: _ids.TeamName
    kind: overload.Kind


def _team(
    name: str, *, rate: float, prompt: int, output: int, deadline: float
) -> TeamLoad:
    kind = overload.Kind(name, 0, rate, prompt, output, 1.5, deadline)
    return TeamLoad(_ids.TeamName(name), kind)


# Four teams that want equal work by many small, medium and few large requests,
# and one that wants a fifth of that. Together they use somewhat more than half
# of the replica.
TEAMS = (
    _team("small", rate=26.0, prompt=200, output=12, deadline=4.0),
    _team("medium-0", rate=6.5, prompt=800, output=48, deadline=6.0),
    _team("medium-1", rate=6.5, prompt=800, output=48, deadline=6.0),
    _team("large", rate=1.625, prompt=3200, output=192, deadline=15.0),
    _team("little", rate=1.3, prompt=800, output=48, deadline=6.0),
)
Served = dict[_ids.TeamName, float]


def work_of(request: overload.Request) -> float:
    """Return the work of a request as owners count it."""
    return _team_shares.work_of(
        unread_tokens=request.kind.prompt, output_tokens=request.kind.output
    )


class FairLimits(overload.LearnedLimits):
    """The product's decisions with shares of teams.

    Parameters
    ----------
    slots : int
        Slots that the replica reports.
    """

    def __init__(self, slots: int) -> None:
        super().__init__(slots)
        self.shares = _team_shares.TeamShares(
            random_fraction=random.Random(slots).random
        )
        self.fairness_rejections: collections.Counter[_ids.TeamName] = (
            collections.Counter()
        )

    def decide(
        self, request: overload.Request, load: int, now: float
    ) -> float | None:
        """Check the limits, then the shares."""
        demand = self._demand(request)
        rank = request.kind.rank
        self.limits.record_request(rank, now=now)
        is_due = self.reservations.is_due(request.number, now=now)
        reserved = self.reservations.reserved(rank, now=now, is_due=is_due)
        has_capacity = self._has_capacity(rank, load, reserved, is_due, now)
        self.shares.record_request(demand, now=now)
        standing = self.shares.compare(
            demand, limit=self.limits.limit, now=now
        )
        is_ahead = (
            has_capacity
            and not is_due
            and not self._has_capacity(
                rank, load, reserved + standing.kept_slots, is_due, now
            )
        )
        if has_capacity and not is_ahead:
            return None
        if is_ahead:
            self.fairness_rejections[request.team] += 1
        remaining = request.deadline_at - now
        retry_after = self.shares.reject(
            demand,
            standing,
            min_delay=self.retry_after(request, now),
            max_delay=remaining * _MAX_DELAY_FRACTION,
            is_for_fairness=is_ahead,
            now=now,
        )
        if self.shares.may_reserve(
            request.number, seconds=retry_after, now=now
        ):
            self.reserve(request, retry_after, now)
        return retry_after

    def _has_capacity(
        self, rank: int, load: int, reserved: int, is_due: bool, now: float
    ) -> bool:
        return self.limits.has_capacity(
            rank, load=load, reserved=reserved, is_due=is_due, now=now
        )

    def _demand(self, request: overload.Request) -> _team_shares.Demand:
        return _team_shares.Demand(
            request.team, request.kind.rank, work_of(request), request.number
        )

    def note_held(self, request: overload.Request, now: float) -> None:
        """Count its work for its team too."""
        super().note_held(request, now)
        self.shares.record_admitted(self._demand(request), now=now)


def arrivals(
    seed: int,
    *,
    teams: Iterable[TeamLoad],
    factor_by_team: Mapping[_ids.TeamName, float],
) -> list[overload.Request]:
    """Return the teams' requests in the order of their arrival.

    A team's requests depend on the seed and its name only, so that it sends
    the same ones alone and beside others.
    """
    found = []
    for team in teams:
        factor = factor_by_team.get(team.name, 1.0)
        requests = overload.arrivals(
            # A string's seed does not depend on the hash seed of the process.
            random.Random(f"{seed} {team.name}").randrange(1 << 30),
            surges=[overload.Surge(START, END, factor)],
            teams=1,
            end=END,
            kinds=[team.kind],
        )
        for request in requests:
            request.team = team.name
        found += requests
    found.sort(key=lambda one: one.arrived)
    for number, request in enumerate(found, start=1):
        request.number = number
    return found


def simulate(
    policy: overload.Policy,
    requests: list[overload.Request],
    *,
    engine: overload.Engine = ENGINE,
) -> list[overload.Request]:
    """Return the requests with their outcomes."""
    simulation = overload.Simulation(policy, engine=engine, end=END)
    return simulation.simulate(requests)


def served_work(
    requests: Iterable[overload.Request],
) -> Served:
    """Return the work done while there was load, by team.

    Of a request that was answered, the part of its time on the replica that
    lies between the start and the end of the load is counted.
    """
    served: Served = collections.defaultdict(float)
    answered = (overload.Outcome.ON_TIME, overload.Outcome.LATE)
    for request in requests:
        if request.outcome in answered:
            seconds = min(END, request.ended) - max(START, request.admitted)
            fraction = seconds / (request.ended - request.admitted)
            served[request.team] += work_of(request) * max(0.0, fraction)
    return served


def share_of(engine: overload.Engine, fraction: float) -> overload.Engine:
    """Return a replica that has a fraction of the capacity of another.

    Its streams are as fast as on the whole replica when that is full.
    """
    token_seconds = (
        engine.token_seconds + engine.token_seconds_per_slot * engine.slots
    )
    return engine._replace(
        slots=round(engine.slots * fraction),
        memory=round(engine.memory * fraction),
        read_rate=engine.read_rate * fraction,
        token_seconds=token_seconds,
        token_seconds_per_slot=0.0,
    )


def factors(
    load: float, *, surging: _ids.TeamName | None = None
) -> dict[_ids.TeamName, float]:
    """Return the load of all teams, or of a single one."""
    names = [team.name for team in TEAMS] if surging is None else [surging]
    return dict.fromkeys(names, load)


def served_together(
    seed: int,
    *,
    factor_by_team: Mapping[_ids.TeamName, float],
    fair_shares: bool,
) -> Served:
    """Return the work of all teams on one replica."""
    policy = (
        FairLimits(ENGINE.slots)
        if fair_shares
        else overload.LearnedLimits(ENGINE.slots)
    )
    requests = arrivals(seed, teams=TEAMS, factor_by_team=factor_by_team)
    return served_work(simulate(policy, requests))


def served_alone(
    seed: int, *, factor_by_team: Mapping[_ids.TeamName, float]
) -> Served:
    """Return the work of each team alone on its share of the replica."""
    part = share_of(ENGINE, 1 / len(TEAMS))
    served: Served = {}
    for team in TEAMS:
        requests = arrivals(seed, teams=[team], factor_by_team=factor_by_team)
        policy = overload.LearnedLimits(part.slots)
        served.update(served_work(simulate(policy, requests, engine=part)))
    return served


def main() -> None:
    """Print the work of each team with and without shares, and alone."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    seeds = range(parser.parse_args().seeds)
    names = [team.name for team in TEAMS]
    print("| load | shares | " + " | ".join(names) + " | total |")
    print("|---|---|" + "---|" * (len(names) + 1))
    for surging in (None, names[1], names[3]):
        for load in (1, 2, 4, 8):
            by_team = factors(load, surging=surging)
            rows = {
                "off": functools.partial(
                    served_together, factor_by_team=by_team, fair_shares=False
                ),
                "on": functools.partial(
                    served_together, factor_by_team=by_team, fair_shares=True
                ),
                "alone": functools.partial(
                    served_alone, factor_by_team=by_team
                ),
            }
            for row, serve in rows.items():
                found = [serve(seed) for seed in seeds]
                means = [
                    statistics.mean(served[name] for served in found)
                    / (END - START)
                    for name in names
                ]
                cells = " | ".join(
                    f"{mean:.0f}" for mean in (*means, sum(means))
                )
                print(f"| {surging or 'all'} x{load} | {row} | {cells} |")


if __name__ == "__main__":
    main()
