"""Tables and plots of the results of the routing bench."""

import math
import pathlib
import time
from typing import Callable
from typing import Iterable
from typing import Mapping
from typing import NamedTuple
from typing import Sequence

import click
import matplotlib
from matplotlib import pyplot
import msgspec

from bench.reports import records

_PANELS_IN_ROW = 3
NOT_MEASURED = "not measured"


class Column(NamedTuple):
    """One column: its heading, its figure and its number format."""

    heading: str
    figure: Callable[[records.PhaseResult], float]
    format_spec: str


def _daemon_mean(
    phase: records.PhaseResult,
    figure: Callable[[records.ProcessFigures], float],
) -> float:
    values = [figure(daemon) for daemon in phase.daemons.values()]
    return sum(values) / len(values) if values else math.nan


def _daemon_max(
    phase: records.PhaseResult,
    figure: Callable[[records.ProcessFigures], float],
) -> float:
    return max((figure(d) for d in phase.daemons.values()), default=math.nan)


def _control_kilobytes(daemon: records.ProcessFigures) -> float:
    return (daemon.sent + daemon.received) / 1000


def _skew(phase: records.PhaseResult) -> records.SkewFigures:
    return phase.skew_with_waiting or phase.skew


def _failed(phase: records.PhaseResult) -> float:
    counts = phase.count_by_code
    return sum(counts.values()) - counts.get(records.OK, 0)


PLACEMENT = (
    Column("reuse", lambda p: p.reuse, "{:.3f}"),
    Column("hits", lambda p: p.hits, "{:.3f}"),
    Column("skew mean", lambda p: _skew(p).mean, "{:.2f}"),
    Column("skew worst", lambda p: _skew(p).worst, "{:.2f}"),
    Column("mean load", lambda p: _skew(p).mean_load, "{:.1f}"),
    Column("over bound %", lambda p: 100 * p.bound_held.share_over, "{:.2f}"),
    Column(
        "by ≥ 2 %",
        lambda p: 100 * p.bound_held.share_over_by_two,
        "{:.2f}",
    ),
    Column("most over", lambda p: p.bound_held.largest, "{:.0f}"),
    Column("longest s", lambda p: p.bound_held.longest, "{:.2f}"),
    Column("waiting", lambda p: p.most_waiting, "{:.0f}"),
)
COST = (
    Column("requests/s", lambda p: p.requests_per_second, "{:.0f}"),
    Column("first p50 ms", lambda p: 1000 * p.first_token.p50, "{:.0f}"),
    Column("p95", lambda p: 1000 * p.first_token.p95, "{:.0f}"),
    Column("p99", lambda p: 1000 * p.first_token.p99, "{:.0f}"),
    Column("tokens p95 ms", lambda p: 1000 * p.between_tokens_p95, "{:.0f}"),
    Column(
        "control kB/s", lambda p: _daemon_mean(p, _control_kilobytes), "{:.1f}"
    ),
    Column("most", lambda p: _daemon_max(p, _control_kilobytes), "{:.1f}"),
    Column(
        "core %",
        lambda p: 100 * _daemon_mean(p, lambda d: d.processor),
        "{:.1f}",
    ),
    Column("MB", lambda p: _daemon_mean(p, lambda d: d.resident), "{:.0f}"),
    Column("errors", _failed, "{:.0f}"),
    Column("lost", lambda p: p.lost_elsewhere, "{:.0f}"),
    Column("slowest s", lambda p: p.slowest_elsewhere, "{:.2f}"),
    Column("load avg", lambda p: p.load_average, "{:.1f}"),
)


class Key(NamedTuple):
    """Key of a group of runs that differ only in their seed."""

    deployment: str
    scenario: str
    policy: str
    bound: float

    @property
    def name(self) -> str:
        """Return the policy, with its bound if it enforces one."""
        if self.policy in ("owners", "sliver"):
            return f"{self.policy} {self.bound:g}"
        return self.policy


def group(
    phases: Iterable[records.PhaseResult],
) -> dict[Key, list[records.PhaseResult]]:
    """Group the runs by deployment, scenario, policy and bound."""
    by_key: dict[Key, list[records.PhaseResult]] = {}
    for phase in phases:
        key = Key(phase.deployment, phase.scenario, phase.policy, phase.bound)
        by_key.setdefault(key, []).append(phase)
    return by_key


def cell(column: Column, phases: Sequence[records.PhaseResult]) -> str:
    """Format the mean of the runs, with their minimum and maximum."""
    figures = [column.figure(phase) for phase in phases]
    values = [value for value in figures if not math.isnan(value)]
    if not values:
        return NOT_MEASURED
    mean = column.format_spec.format(sum(values) / len(values))
    minimum = column.format_spec.format(min(values))
    maximum = column.format_spec.format(max(values))
    if minimum == maximum:
        return mean
    return f"{mean} ({minimum}–{maximum})"


def table(
    phases: Iterable[records.PhaseResult],
    columns: Sequence[Column] = PLACEMENT + COST,
) -> str:
    """Return a Markdown table with a row for each group of runs."""
    headings = ["deployment", "scenario", "policy", "runs"]
    headings += [column.heading for column in columns]
    rows = [headings, ["---"] * len(headings)]
    for key, runs in group(phases).items():
        row = [key.deployment, key.scenario, key.name, str(len(runs))]
        row += [cell(column, runs) for column in columns]
        rows.append(row)
    return "\n".join("| " + " | ".join(row) + " |" for row in rows)


def format_phases(phases: Iterable[records.PhaseResult]) -> str:
    """Format the figures of one run as progress output."""
    lines = []
    for phase in phases:
        figures = [
            f"{column.heading} "
            f"{column.format_spec.format(column.figure(phase))}"
            for column in PLACEMENT + COST
        ]
        name = f"{phase.deployment} {phase.scenario} {phase.policy}"
        name += f" {phase.bound:g} seed {phase.seed} {phase.note}"
        codes = f"{phase.count_by_code} over by {phase.bound_held.over_by}"
        busy = f"engines {phase.engines_processor:.2f} cores, generators"
        busy += f" {phase.generators_processor:.2f}"
        lines.append(f"{name}: {', '.join(figures)}, {codes}, {busy}")
    return "\n".join(lines)


def save(folder: pathlib.Path, result: records.RunResult) -> None:
    """Write a run's figures to a JSON file."""
    folder.mkdir(parents=True, exist_ok=True)
    first = result.phases[0]
    parts = [first.deployment, first.policy, f"{first.bound:g}"]
    parts += [str(first.seed), str(int(time.time()))]
    path = folder / f"{'-'.join(parts)}.json"
    path.write_bytes(msgspec.json.format(msgspec.json.encode(result)))


def _sort_key(phase: records.PhaseResult) -> tuple[str, str, str]:
    return phase.deployment, phase.scenario, phase.policy


def load(folder: pathlib.Path) -> list[records.PhaseResult]:
    """Read all runs of a folder."""
    phases: list[records.PhaseResult] = []
    for path in sorted(folder.glob("*.json")):
        data = path.read_bytes()
        result = msgspec.json.decode(data, type=records.RunResult)
        phases += result.phases
    return phases


def compared_scenarios(
    by_key: Mapping[Key, Sequence[records.PhaseResult]],
) -> list[tuple[str, str]]:
    """Return deployments and scenarios that several policies ran in."""
    policy_counts: dict[tuple[str, str], int] = {}
    for key in by_key:
        name = (key.deployment, key.scenario)
        policy_counts[name] = policy_counts.get(name, 0) + 1
    return [name for name, policies in policy_counts.items() if policies > 1]


def plot(phases: Sequence[records.PhaseResult], path: pathlib.Path) -> None:
    """Plot reuse against skew, with a panel for each compared scenario."""
    matplotlib.use("Agg")
    by_key = group(phases)
    scenarios = compared_scenarios(by_key)
    rows = math.ceil(len(scenarios) / _PANELS_IN_ROW)
    figure, axes = pyplot.subplots(
        rows, _PANELS_IN_ROW, figsize=(12, 3.6 * rows), squeeze=False
    )
    for axis, (deployment, scenario) in zip(axes.flat, scenarios):
        for key, runs in sorted(by_key.items()):
            if (key.deployment, key.scenario) != (deployment, scenario):
                continue
            skews = [_skew(phase).mean for phase in runs]
            axis.scatter(skews, [p.reuse for p in runs], label=key.name)
        axis.set_title(f"{deployment}, {scenario}", fontsize=9)
        axis.set_xlabel("largest ÷ mean load, mean over time", fontsize=8)
        axis.set_ylabel("reuse of context", fontsize=8)
        axis.legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


@click.command()
@click.argument("folder", type=click.Path(path_type=pathlib.Path))
@click.option("--plot", "path", type=click.Path(path_type=pathlib.Path))
def main(folder: pathlib.Path, path: pathlib.Path | None) -> None:
    """Print tables of the runs in a folder, and plot them if requested."""
    phases = load(folder)
    phases.sort(key=_sort_key)
    click.echo(table(phases, PLACEMENT))
    click.echo()
    click.echo(table(phases, COST))
    if path is not None:
        plot(phases, path)


if __name__ == "__main__":
    main()
