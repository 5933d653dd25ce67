"""Command line of the stand-ins."""

from gevent import monkey

monkey.patch_all()

import click  # noqa: E402

from standins import _engine_command  # noqa: E402
from standins import _platform_command  # noqa: E402
from standins import _relay  # noqa: E402
from standins import _service  # noqa: E402


@click.group()
def main() -> None:
    """Run one stand-in; it prints ``READY <port>`` once it listens."""


main.add_command(_engine_command.engine)
main.add_command(_platform_command.platform)
main.add_command(_relay.relay)
main.add_command(_service.service)

if __name__ == "__main__":
    main()
