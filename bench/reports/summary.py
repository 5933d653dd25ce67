"""From what was seen in a phase to its figures."""

import collections
import os

import msgspec

from bench.fleets import watching
from bench.load import workload
from bench.reports import journals
from bench.reports import records


class RunInfo(msgspec.Struct, frozen=True, kw_only=True):
    """What a run was."""

    deployment: str
    policy: str
    bound: float
    seed: int
    load_lag: float | None

    def scenario(self, name: str) -> str:
        """Name a scenario, with the lag of the engines' reports if set."""
        if self.load_lag is None:
            return name
        return f"{name}, reports {self.load_lag:g} s late"


class Seen(msgspec.Struct, frozen=True, kw_only=True):
    """All that was seen in a run; events in order of time."""

    turns: list[records.Turn]
    gaps: dict[int, int]
    events: list[journals.Event]
    samples: list[journals.Sample]
    generators_processor: float


def phase_result(
    info: RunInfo,
    phase: workload.Phase,
    seen: Seen,
    *,
    before: watching.UsageSnapshot,
    after: watching.UsageSnapshot,
    faulted: str,
) -> records.PhaseResult:
    """Work out the figures of one phase.

    Parameters
    ----------
    info : RunInfo
        What the run was.
    phase : Phase
        Which phase.
    seen : Seen
        The whole run.
    before, after : UsageSnapshot
        At the phase's beginning and end.
    faulted : str
        The daemon that was killed or frozen; empty for none. Requests that
        entered there are left out of what was lost elsewhere.
    """
    turns = [
        turn for turn in seen.turns if phase.start <= turn.sent < phase.end
    ]
    good = [turn for turn in turns if turn.code == records.OK]
    back = [turn for turn in good if turn.reusable]
    cached = sum(min(turn.cached, turn.reusable) for turn in back)
    elsewhere = [turn for turn in turns if turn.entry != faulted]
    span = {"start": phase.start, "end": phase.end}
    waiting = [
        sample.waiting
        for sample in seen.samples
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
        reuse=cached / max(1, sum(turn.reusable for turn in back)),
        hits=sum(turn.cached > 0 for turn in back) / max(1, len(back)),
        returning=len(back),
        bound_held=journals.bound_figures(
            seen.events, bound=info.bound, **span
        ),
        skew=journals.skew_figures(seen.events, **span),
        skew_with_waiting=journals.sampled_skew(seen.samples, **span),
        most_waiting=max(waiting, default=0),
        first_token=_first_token(good),
        first_token_by_team=_by_team(good),
        whole=records.latency_of([turn.end for turn in good]),
        between_tokens_p95=records.gap_percentile(seen.gaps, 0.95),
        count_by_code=dict(collections.Counter(turn.code for turn in turns)),
        lost_elsewhere=sum(turn.code in records.LOST for turn in elsewhere),
        slowest_elsewhere=max(
            (turn.first or turn.end for turn in elsewhere), default=0.0
        ),
        daemons=watching.daemon_figures(before, after),
        engines_processor=watching.engines_processor(before, after),
        generators_processor=seen.generators_processor,
        load_average=os.getloadavg()[0],
    )


def _first_token(turns: list[records.Turn]) -> records.Latency:
    return records.latency_of(
        [turn.first for turn in turns if turn.first is not None]
    )


def _by_team(turns: list[records.Turn]) -> dict[str, records.Latency]:
    by_team: dict[str, list[records.Turn]] = {}
    for turn in turns:
        by_team.setdefault(turn.team, []).append(turn)
    return {team: _first_token(part) for team, part in by_team.items()}
