"""Records that load generators and runs write."""

import math
from typing import Sequence

import msgspec

OK = "ok"
CUT = "cut"
CLIENT_TIMEOUT = "client_timeout"
NO_ENTRY = "no_entry"
WRONG_ANSWER = "wrong_answer"
# Codes that daemons do not return: the caller received neither a complete
# answer nor a proper error.
LOST = (CUT, CLIENT_TIMEOUT, WRONG_ANSWER)
LONGEST_GAP = 5000


class Turn(msgspec.Struct, frozen=True, kw_only=True):
    """One request of a chat; `first` and `end` in seconds after `sent`."""

    team: str
    chat: str
    turn: int
    entry: str
    sent: float
    first: float | None
    end: float
    code: str
    replica: str
    cached: int
    reusable: int


class LoadResult(msgspec.Struct, frozen=True, kw_only=True):
    """Results of one load generator; gaps are counted by milliseconds."""

    turns: list[Turn]
    gaps: dict[int, int]
    processor_seconds: float


class Latency(msgspec.Struct, frozen=True, kw_only=True):
    """Percentiles of durations in seconds."""

    count: int
    p50: float
    p95: float
    p99: float


class BoundFigures(msgspec.Struct, frozen=True, kw_only=True):
    """How closely admissions kept to the bound.

    Notes
    -----
    `over_by` counts admissions by how far the load was over the bound.
    `longest` is the longest time in seconds that an engine was over it.
    """

    admissions: int
    share_over: float
    share_over_by_two: float
    largest: int
    longest: float
    over_by: dict[int, int]


class SkewFigures(msgspec.Struct, frozen=True, kw_only=True):
    """Ratio of the largest load of the engines to their mean load."""

    mean: float
    worst: float
    mean_load: float


class ProcessFigures(msgspec.Struct, frozen=True, kw_only=True):
    """Usage of one daemon: bytes per second, share of a core, MB."""

    sent: float
    received: float
    processor: float
    resident: float


class PhaseResult(msgspec.Struct, frozen=True, kw_only=True):
    """One phase of one run."""

    deployment: str
    policy: str
    bound: float
    seed: int
    scenario: str
    note: str
    seconds: float
    requests_per_second: float
    reuse: float
    hits: float
    returning: int
    bound_held: BoundFigures
    skew: SkewFigures
    skew_with_waiting: SkewFigures | None
    most_waiting: int
    first_token: Latency
    first_token_by_team: dict[str, Latency]
    whole: Latency
    between_tokens_p95: float
    count_by_code: dict[str, int]
    lost_elsewhere: int
    slowest_elsewhere: float
    daemons: dict[str, ProcessFigures]
    engines_processor: float
    generators_processor: float
    load_average: float


class RunResult(msgspec.Struct, frozen=True, kw_only=True):
    """One run: its phases in order."""

    phases: list[PhaseResult]


def percentile(values: Sequence[float], share: float) -> float:
    """Return the value that a share of the values does not exceed."""
    if not values:
        return math.nan
    ordered = sorted(values)
    index = math.ceil(share * len(ordered)) - 1
    return ordered[max(0, index)]


def latency_percentiles(values: Sequence[float]) -> Latency:
    """Return the percentiles of latencies in seconds."""
    return Latency(
        count=len(values),
        p50=percentile(values, 0.5),
        p95=percentile(values, 0.95),
        p99=percentile(values, 0.99),
    )


def gap_percentile(gaps: dict[int, int], share: float) -> float:
    """Return a percentile, in seconds, of gaps counted by milliseconds."""
    target_count = share * sum(gaps.values())
    count_so_far = 0
    for milliseconds in sorted(gaps):
        count_so_far += gaps[milliseconds]
        if count_so_far >= target_count:
            return milliseconds / 1000
    return math.nan
