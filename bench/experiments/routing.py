"""Compares routing policies on fleets of real daemon processes."""

from gevent import monkey

monkey.patch_all()

import pathlib  # noqa: E402
import time  # noqa: E402

import click  # noqa: E402
import gevent  # noqa: E402
import msgspec  # noqa: E402

from bench.experiments import scenarios  # noqa: E402
from bench.fleets import deployment as _deployment  # noqa: E402
from bench.fleets import fleet as _fleet  # noqa: E402
from bench.fleets import processes  # noqa: E402
from bench.fleets import watching  # noqa: E402
from bench.load import workload  # noqa: E402
from bench.reports import journals  # noqa: E402
from bench.reports import records  # noqa: E402
from bench.reports import report  # noqa: E402
from bench.reports import summary  # noqa: E402

_START_DELAY_SECONDS = 2.5
_WARM_SECONDS = 10.0
_SETTLE_SECONDS = 4.0
_DRAIN_SECONDS = 20.0
_MAX_SECONDS = 300.0
_POLICIES = ("owners", "random", "two_choices", "hash", "sliver")
_CHATS_PER_ENGINE = 100


class Options(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of a run."""

    path: pathlib.Path
    policy: str
    bound: float
    seconds: float
    seed: int
    scenarios: list[scenarios.Scenario]
    workers: int
    chats: int
    load_lag: float | None


def _load_deployment(options: Options) -> _deployment.Deployment:
    deployment = _deployment.load(options.path)
    routing = deployment.settings.setdefault("routing", {})
    routing.update(policy=options.policy, bound=options.bound)
    if options.load_lag is not None:
        deployment.engine.load_lag = options.load_lag
    return deployment


def _phases(
    options: Options, teams: list[workload.TeamShare]
) -> list[workload.Phase]:
    at = time.time() + _START_DELAY_SECONDS
    phases = []
    pause = _WARM_SECONDS
    for scenario in options.scenarios:
        rate, by_team = scenarios.request_rates(scenario, teams)
        for name, seconds, measured in (
            ("settle", pause, False),
            (scenario.value, options.seconds, True),
        ):
            phases.append(
                workload.Phase(
                    name=name,
                    start=at,
                    end=at + seconds,
                    measured=measured,
                    rate=rate,
                    rate_by_team=by_team,
                )
            )
            at += seconds
        pause = _SETTLE_SECONDS
    return phases


class Run:
    """One run of one policy.

    Parameters
    ----------
    options : Options
        Parameters of the run.
    fleet : Fleet
        A fleet that is ready.
    """

    def __init__(self, options: Options, fleet: _fleet.Fleet) -> None:
        self._options = options
        self._fleet = fleet
        self._watcher = watching.Watcher(fleet)
        self._director = scenarios.Director(fleet, self._watcher)
        self._loads: list[processes.Process] = []

    def measure(self) -> records.RunResult:
        """Run the load through all phases and return the results."""
        pool = self._fleet.deployment.pools[0]
        teams = workload.team_shares(
            [(team.name, team.key) for team in self._fleet.deployment.teams]
        )
        phases = _phases(self._options, teams)
        sampling = gevent.spawn(self._watcher.sample_forever)
        try:
            self._start_loads(pool, teams, phases)
            readings = self._run_phases(phases)
            results = self._load_results()
        finally:
            sampling.kill()
            for load in self._loads:
                load.kill()
        for engine in self._fleet.engines:
            self._watcher.collect_journal(engine)
        self._report_unexpected_exits()
        return self._summarize(phases, readings, results)

    def _report_unexpected_exits(self) -> None:
        """Print the log of each daemon that exited without being killed."""
        killed = self._director.faulted.get(scenarios.Scenario.OWNER_KILLED)
        for daemon in self._fleet.daemons:
            if daemon.name != killed and not daemon.process.is_running():
                log = daemon.process.log[-2000:]
                click.echo(
                    f"{daemon.name} exited unexpectedly: {log}", err=True
                )

    def _start_loads(
        self,
        pool: _deployment.Pool,
        teams: list[workload.TeamShare],
        phases: list[workload.Phase],
    ) -> None:
        entries = [
            workload.Entry(
                name=daemon.name,
                callers_port=daemon.callers_port,
                administration_port=daemon.administration_port,
            )
            for daemon in self._fleet.daemons
        ]
        chats = self._options.chats or _CHATS_PER_ENGINE * pool.replicas
        for worker in range(self._options.workers):
            plan = workload.Plan(
                seed=self._options.seed,
                worker=worker,
                workers=self._options.workers,
                model=pool.model,
                entries=entries,
                teams=teams,
                phases=phases,
                sizes=workload.Sizes(chats=chats),
            )
            plan_path = self._fleet.folder / f"plan-{worker}.json"
            plan_path.write_bytes(msgspec.json.encode(plan))
            load = processes.Process(
                name=f"load-{worker}",
                arguments=[
                    "-m",
                    "bench.load.load",
                    str(plan_path),
                    str(self._result_path(worker)),
                ],
                folder=self._fleet.folder,
            )
            load.start()
            self._loads.append(load)

    def _result_path(self, worker: int) -> pathlib.Path:
        return self._fleet.folder / f"load-{worker}.json"

    def _run_phases(
        self, phases: list[workload.Phase]
    ) -> list[watching.UsageSnapshot]:
        readings = []
        for phase in phases:
            gevent.sleep(max(0.0, phase.start - time.time()))
            readings.append(self._watcher.read())
            if phase.measured:
                self._director.play(
                    scenarios.Scenario(phase.name), end=phase.end
                )
        gevent.sleep(max(0.0, phases[-1].end - time.time()))
        readings.append(self._watcher.read())
        return readings

    def _load_results(self) -> list[records.LoadResult]:
        results = []
        for worker, load in enumerate(self._loads):
            if load.wait(_DRAIN_SECONDS) != 0:
                raise processes.NotReady(
                    f"{load.name} did not exit cleanly: {load.log[-2000:]}"
                )
            data = self._result_path(worker).read_bytes()
            results.append(msgspec.json.decode(data, type=records.LoadResult))
        return results

    def _summarize(
        self,
        phases: list[workload.Phase],
        readings: list[watching.UsageSnapshot],
        results: list[records.LoadResult],
    ) -> records.RunResult:
        span = phases[-1].end - phases[0].start
        processor_seconds = sum(result.processor_seconds for result in results)
        gaps: dict[int, int] = {}
        for result in results:
            for gap, count in result.gaps.items():
                gaps[gap] = gaps.get(gap, 0) + count
        observations = summary.RunObservations(
            turns=[turn for result in results for turn in result.turns],
            gaps=gaps,
            events=journals.merge(self._watcher.events),
            samples=self._watcher.samples,
            generators_processor=processor_seconds / span,
        )
        info = summary.RunInfo(
            deployment=self._fleet.deployment.name,
            policy=self._options.policy,
            bound=self._options.bound,
            seed=self._options.seed,
            load_lag=self._options.load_lag,
        )
        return records.RunResult(
            phases=[
                summary.phase_result(
                    info,
                    phase,
                    observations,
                    before=readings[index],
                    after=readings[index + 1],
                    faulted=self._director.faulted_in(phase.name),
                )
                for index, phase in enumerate(phases)
                if phase.measured
            ]
        )


def run(options: Options) -> records.RunResult:
    """Start a deployment, measure one policy on it and stop it."""
    deployment = _load_deployment(options)
    groups = scenarios.zone_groups(deployment, options.scenarios)
    with _fleet.Fleet(deployment, groups=groups) as fleet:
        return Run(options, fleet).measure()


def _bounds_for_policy(policy: str, bounds: tuple[float, ...]) -> list[float]:
    """Return the bounds to run; policies without a bound run once."""
    if policy in ("owners", "sliver"):
        return list(bounds)
    return [bounds[0]]


@click.command()
@click.option(
    "--deployment",
    "path",
    type=click.Path(exists=True, path_type=pathlib.Path),
    default="examples/cooperativa.yaml",
    show_default=True,
)
@click.option(
    "--policy",
    "policies",
    multiple=True,
    type=click.Choice(_POLICIES),
    default=_POLICIES,
)
@click.option("--bound", "bounds", multiple=True, default=[1.5], type=float)
@click.option(
    "--scenario",
    "names",
    multiple=True,
    type=click.Choice([scenario.value for scenario in scenarios.Scenario]),
    default=["quiet"],
    help="May be repeated; scenarios run one after the other.",
)
@click.option(
    "--seconds",
    type=click.FloatRange(5.0, _MAX_SECONDS),
    default=20.0,
    show_default=True,
    help="Duration of each scenario.",
)
@click.option("--seed", default=1, show_default=True)
@click.option(
    "--repeat",
    type=click.IntRange(1, 10),
    default=1,
    show_default=True,
    help="Runs of each policy, with consecutive seeds.",
)
@click.option(
    "--workers",
    type=click.IntRange(1, 3),
    default=2,
    show_default=True,
    help="Number of load generators.",
)
@click.option(
    "--chats",
    type=click.IntRange(0, 3000),
    default=0,
    help="Concurrent chats; 0 for 100 per engine.",
)
@click.option(
    "--load-lag", type=float, help="Delay of engines' load reports in seconds."
)
@click.option(
    "--results",
    type=click.Path(path_type=pathlib.Path),
    help="Folder to write a JSON file to for each run.",
)
def main(
    path: pathlib.Path,
    policies: tuple[str, ...],
    bounds: tuple[float, ...],
    names: tuple[str, ...],
    seconds: float,
    seed: int,
    repeat: int,
    workers: int,
    chats: int,
    load_lag: float | None,
    results: pathlib.Path | None,
) -> None:
    """Measure routing policies on one deployment."""
    phases: list[records.PhaseResult] = []
    for policy in policies:
        for bound in _bounds_for_policy(policy, bounds):
            for number in range(seed, seed + repeat):
                options = Options(
                    path=path,
                    policy=policy,
                    bound=bound,
                    seconds=seconds,
                    seed=number,
                    scenarios=[scenarios.Scenario(name) for name in names],
                    workers=workers,
                    chats=chats,
                    load_lag=load_lag,
                )
                result = run(options)
                phases += result.phases
                click.echo(report.format_phases(result.phases), err=True)
                if results is not None:
                    report.save(results, result)
    click.echo(report.table(phases))


if __name__ == "__main__":
    main()
