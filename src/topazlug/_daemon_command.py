"""The command ``topazlugd``."""

import gevent
from gevent import monkey

# The requirements of this project forbid io_uring, and gevent's event loop
# would use it if an environment variable requested it.
gevent.config.loop = "libev-cext"
gevent.config.libev_backend = "epoll"
monkey.patch_all()

# flake8: noqa: E402
import pathlib
import signal
import sys

import click

from topazlug import _clock
from topazlug import _daemon
from topazlug import _errors
from topazlug import _ids
from topazlug import _logs
from topazlug import _settings

_INVALID = 2


@click.command()
@click.option(
    "--settings",
    "path",
    required=True,
    type=click.Path(path_type=pathlib.Path),
    help="Settings file in YAML.",
)
@click.option("--check", is_flag=True, help="Check the settings and exit.")
@click.version_option(package_name="topazlug")
def main(path: pathlib.Path, check: bool) -> None:
    """Run one daemon of the fleet."""
    try:
        settings = _settings.load(path)
    except _errors.SettingsInvalid as error:
        click.echo(error.message, err=True)
        sys.exit(_INVALID)
    if check:
        click.echo(f"{path}: settings are valid")
        return
    _logs.set_up(settings.logs, _ids.DaemonId(settings.daemon.id))
    daemon = _daemon.Daemon(settings=settings, clock=_clock.SystemClock())
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, gevent.spawn, daemon.stop)
    daemon.start()
    daemon.stopped.wait()


if __name__ == "__main__":
    main()
