"""Demo on loopback: start a deployment, send calls through it, stop it."""

import pathlib
import signal
import sys
import time
from types import FrameType

import click

from bench.demo import demo_steps
from bench.fleets import deployment as _deployment
from bench.fleets import fleet as _fleet
from bench.fleets import processes

_EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
_MAX_SECONDS = 3000.0
_STOP_SECONDS = 20.0
_POLL_SECONDS = 0.5
_HEADINGS = (
    ("what", 22),
    ("team", 15),
    ("daemon", 9),
    ("replica", 17),
    ("cache", 15),
    ("first ms", 8),
    ("total ms", 8),
    ("outcome", 28),
)


@click.command()
@click.option(
    "--deployment",
    "name",
    default="cooperativa",
    help="Deployment file, or the name of one in examples/.",
)
@click.option("--keep", is_flag=True, help="Run until Ctrl-C.")
@click.option(
    "--daemons",
    type=click.IntRange(1),
    help="Default: from the deployment file.",
)
@click.option(
    "--seconds", default=_MAX_SECONDS, help="Maximum run time with --keep."
)
def main(name: str, keep: bool, daemons: int | None, seconds: float) -> None:
    """Run a deployment on loopback and show what it does.

    Exit codes: 0 all results as expected, 1 otherwise.
    """
    for number in (signal.SIGTERM, signal.SIGHUP):
        signal.signal(number, _interrupt)
    deployment = _load(name)
    _print_start(deployment, daemons or deployment.daemons)
    try:
        with _fleet.Fleet(deployment, daemons=daemons) as fleet:
            as_expected = _run_steps(fleet)
            if keep:
                _keep_running(fleet, seconds)
            as_expected &= _stop_daemons(fleet)
    except KeyboardInterrupt:
        click.echo("interrupted; all processes are stopped")
        sys.exit(1)
    except processes.NotReady as error:
        click.echo(f"not ready: {error}", err=True)
        sys.exit(1)
    click.echo("all went well" if as_expected else "NOT all went well")
    sys.exit(0 if as_expected else 1)


def _interrupt(number: int, frame: FrameType | None) -> None:
    """Handle a signal like Ctrl-C, so that no child process is left."""
    raise KeyboardInterrupt


def _load(name: str) -> _deployment.Deployment:
    path = pathlib.Path(name)
    if path.suffix != ".yaml":
        path = _EXAMPLES / f"{name}.yaml"
    if not path.exists():
        known = ", ".join(
            sorted(item.stem for item in _EXAMPLES.glob("*.yaml"))
        )
        raise click.BadParameter(
            f"{path} does not exist; examples are: {known}"
        )
    return _deployment.load(path)


def _print_start(deployment: _deployment.Deployment, count: int) -> None:
    engines = sum(pool.replicas for pool in deployment.pools)
    services = sum(service.replicas for service in deployment.services)
    click.echo(
        f"{deployment.name}: starting the stand-in platform, {engines}"
        f" engines, {services} plain services and {count} daemons"
    )


def _run_steps(fleet: _fleet.Fleet) -> bool:
    click.echo(_format_line([heading for heading, _ in _HEADINGS]))
    click.echo(_format_line(["-" * width for _, width in _HEADINGS]))
    started = time.monotonic()
    as_expected = True
    for row in demo_steps.Demo(fleet).rows():
        as_expected &= row.as_expected
        cells = [row.what, row.team, row.daemon, row.replica, row.cache]
        cells += [f"{row.first * 1000:8.1f}", f"{row.total * 1000:8.1f}"]
        mark = "" if row.as_expected else " UNEXPECTED"
        click.echo(_format_line([*cells, row.outcome + mark]))
    click.echo(f"in {time.monotonic() - started:.1f} s")
    return as_expected


def _format_line(cells: list[str]) -> str:
    padded = [cell.ljust(width) for cell, (_, width) in zip(cells, _HEADINGS)]
    return "  ".join(padded).rstrip()


def _keep_running(fleet: _fleet.Fleet, seconds: float) -> None:
    """Keep the fleet running until Ctrl-C or the end of the time."""
    _print_endpoints(fleet)
    click.echo(f"\nrunning for at most {seconds:.0f} s; Ctrl-C stops it")
    end = time.monotonic() + seconds
    try:
        while time.monotonic() < end:
            time.sleep(_POLL_SECONDS)
    except KeyboardInterrupt:
        click.echo()


def _print_endpoints(fleet: _fleet.Fleet) -> None:
    daemon = fleet.daemons[0]
    key = fleet.deployment.teams[0].key
    model = fleet.deployment.pools[0].model
    request_body = (
        f'{{"model": "{model}", "stream": true, "messages":'
        ' [{"role": "user", "content": "Hello"}]}'
    )
    client = (
        f"import openai; print(openai.OpenAI(base_url='{daemon.url}/v1',"
        f" api_key='{key}').chat.completions.create(model='{model}',"
        " messages=[{'role': 'user', 'content': 'Hello'}])"
        ".choices[0].message.content)"
    )
    click.echo("\na call with curl:")
    click.echo(
        f"curl -N {daemon.url}/v1/chat/completions"
        f" -H 'Authorization: Bearer {key}'"
        f" -H 'Content-Type: application/json' -d '{request_body}'"
    )
    click.echo("\na stock OpenAI client:")
    click.echo(f'{sys.executable} -c "{client}"')
    click.echo("\nthe operators' command line:")
    click.echo(
        f"TOPAZLUG_URL={daemon.administration_url}"
        f" TOPAZLUG_TOKEN={fleet.deployment.operator_token}"
        f" {pathlib.Path(sys.executable).parent / 'topazlug'} status"
    )
    click.echo(f"\nthe page for operators: {daemon.administration_url}/page")
    click.echo("daemons:")
    for item in fleet.daemons:
        click.echo(
            f"  {item.name}  callers {item.url}"
            f"  administration {item.administration_url}"
        )


def _stop_daemons(fleet: _fleet.Fleet) -> bool:
    """Stop the daemons gracefully; return whether all exited with 0."""
    for daemon in fleet.daemons:
        daemon.process.terminate()
    end = time.monotonic() + _STOP_SECONDS
    as_expected = True
    for daemon in fleet.daemons:
        code = daemon.process.wait(max(0.0, end - time.monotonic()))
        if code != 0:
            as_expected = False
            click.echo(f"{daemon.name} exited with code {code}", err=True)
    click.echo(f"stopped {len(fleet.daemons)} daemons")
    return as_expected


if __name__ == "__main__":
    main()
