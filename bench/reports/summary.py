"""Computes the figures of a phase from the observations of a run."""

import collections
import os

import msgspec

from bench.fleets import watching
from bench.load import workload
from bench.reports import journals
from bench.reports import records


class RunInfo(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of a run."""

    deployment: str
    policy: str
    bound: float
    seed: int
    load_lag: float | None

    def scenario(self, name: str) -> str:
        """Return a scenario's name, with the lag of load reports if set."""
        if self.load_lag is None:
            return name
        return f"{name}, reports {self.load_lag:g} s late"


class RunObservations(msgspec.Struct, frozen=True, kw_only=True):
    """Observations of a whole run; events are in order of time."""

    turns: list[records.Turn]
    gaps: dict[int, int]
    events: list[journals.Event]
    samples: list[journals.Sample]
    generators_processor: float


def phase_result(
    info: RunInfo,
    phase: workload.Phase,
    observations: RunObservations,
    *,
    before: watching.UsageSnapshot,
    after: watching.UsageSnapshot,
    faulted: str,
) -> records.PhaseResult:
    """Return the figures of one phase.

    Parameters
    ----------
    info : RunInfo
        Parameters of the run.
    phase : Phase
        The phase to summarize.
    observations : RunObservations
        Observations of the whole run.
    before, after : UsageSnapshot
        Readings at the start and end of the phase.
    faulted : str
        Name of the daemon that was killed or frozen; empty for none. Its
        requests do not count in the figures named `elsewhere`.
    """
    turns = [
        turn
        for turn in observations.turns
        if phase.start <= turn.sent < phase.end
    ]
    succeeded = [turn for turn in turns if turn.code == records.OK]
    returning = [turn for turn in succeeded if turn.reusable]
    cached = sum(min(turn.cached, turn.reusable) for turn in returning)
    elsewhere = [turn for turn in turns if turn.entry != faulted]
    span = {"start": phase.start, "end": phase.end}
    waiting = [
        sample.waiting
        for sample in observations.samples
        if phase.start <= sample.at < phase.end
    ]
    seconds = phase.end - phase.start
    return records.PhaseResult(
        deployment=info.deployment,
        policy=info.policy,
        bound=info.bound,
        seed=info.seed,
        scenario=info.scenario(phase.name),
        note=faulted,
        seconds=seconds,
        requests_per_second=len(turns) / seconds,
        reuse=cached / max(1, sum(turn.reusable for turn in returning)),
        hits=sum(turn.cached > 0 for turn in returning)
        / max(1, len(returning)),
        returning=len(returning),
        bound_held=journals.bound_figures(
            observations.events, bound=info.bound, **span
        ),
        skew=journals.skew_figures(observations.events, **span),
        skew_with_waiting=journals.sampled_skew(observations.samples, **span),
        most_waiting=max(waiting, default=0),
        first_token=_first_token(succeeded),
        first_token_by_team=_by_team(succeeded),
        whole=records.latency_percentiles([turn.end for turn in succeeded]),
        between_tokens_p95=records.gap_percentile(observations.gaps, 0.95),
        count_by_code=dict(collections.Counter(turn.code for turn in turns)),
        lost_elsewhere=sum(turn.code in records.LOST for turn in elsewhere),
        slowest_elsewhere=max(
            (turn.first or turn.end for turn in elsewhere), default=0.0
        ),
        daemons=watching.daemon_figures(before, after),
        engines_processor=watching.engines_processor(before, after),
        generators_processor=observations.generators_processor,
        load_average=os.getloadavg()[0],
    )


def _first_token(turns: list[records.Turn]) -> records.Latency:
    return records.latency_percentiles(
        [turn.first for turn in turns if turn.first is not None]
    )


def _by_team(turns: list[records.Turn]) -> dict[str, records.Latency]:
    by_team: dict[str, list[records.Turn]] = {}
    for turn in turns:
        by_team.setdefault(turn.team, []).append(turn)
    return {
        team: _first_token(team_turns) for team, team_turns in by_team.items()
    }
