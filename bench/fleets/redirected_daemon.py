"""A daemon whose connections to some peers go through relays.

The first argument is a JSON file that maps the addresses of these peers to the
relays' ports. The remaining arguments are those of the daemon.
"""

from gevent import monkey

monkey.patch_all()

# flake8: noqa: E402
import json
import pathlib
import sys
from typing import Any

from topazlug import _daemon_command
from topazlug.peers import _peer_connections


def main() -> None:
    """Run the daemon."""
    path = pathlib.Path(sys.argv.pop(1))
    port_by_address: dict[str, int] = json.loads(path.read_text())
    dial = _peer_connections.Connector.dial

    def redirected(
        connector: _peer_connections.Connector,
        host: str,
        port: int,
        **options: Any,
    ) -> Any:
        relay_port = port_by_address.get(f"{host}:{port}", port)
        return dial(connector, host, relay_port, **options)

    setattr(_peer_connections.Connector, "dial", redirected)
    _daemon_command.main()


if __name__ == "__main__":
    main()
