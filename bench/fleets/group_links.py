"""Relays on the links between groups of daemons, to simulate partitions.

The daemons of a group reach each daemon of another group through a relay. All
relays are cut together, so that the groups can't reach each other while both
go on serving.
"""

import json
import pathlib
from typing import Any
from typing import Callable
from typing import Mapping
from typing import Sequence
from typing import final

import msgspec

from bench.fleets import processes

HOST = "127.0.0.1"
StartProcess = Callable[[str, list[str]], processes.Process]


class _Relay(msgspec.Struct, kw_only=True):
    process: processes.Process
    port: int
    control_port: int


@final
class GroupLinks:
    """The links between groups of daemons.

    Parameters
    ----------
    groups : sequence of sequence of int
        Numbers of the daemons of each group.
    """

    def __init__(self, groups: Sequence[Sequence[int]]) -> None:
        self._groups = groups
        self._relays: list[_Relay] = []
        self._path_by_number: dict[int, pathlib.Path] = {}

    @property
    def relay_processes(self) -> list[processes.Process]:
        """Return the relays' processes."""
        return [relay.process for relay in self._relays]

    @property
    def control_urls(self) -> list[str]:
        """Return the URLs at which the relays' faults are set."""
        return [f"http://{HOST}:{r.control_port}" for r in self._relays]

    def start(
        self,
        *,
        settings_by_number: Mapping[int, dict[str, Any]],
        folder: pathlib.Path,
        start: StartProcess,
    ) -> None:
        """Start the relays, and write a file of redirects for each group."""
        for index, group in enumerate(self._groups):
            redirects = {}
            for number, settings in settings_by_number.items():
                if number in group:
                    continue
                peers = settings["listen"]["peers"]
                address = f"{peers['host']}:{peers['port']}"
                relay = _start_relay(f"relay-{index}-{number}", address, start)
                self._relays.append(relay)
                redirects[address] = relay.port
            path = folder / f"redirects-{index}.json"
            path.write_text(json.dumps(redirects))
            for number in group:
                self._path_by_number[number] = path

    def command(self, number: int) -> list[str]:
        """Return the arguments that start a daemon, without its settings."""
        path = self._path_by_number[number]
        return ["-m", "bench.fleets.redirected_daemon", str(path)]


def _start_relay(name: str, address: str, start: StartProcess) -> _Relay:
    process = start(name, ["-m", "standins", "relay", "--to", address])
    fields = process.wait_for_line("READY").split()
    return _Relay(
        process=process, port=int(fields[1]), control_port=int(fields[2])
    )
