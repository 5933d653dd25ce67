"""Measures the in-process slopes that docs/CAPACITY.md is based on."""

import subprocess
import sys

import click

from bench.capacity import capacity_messages
from bench.capacity import capacity_relay
from bench.capacity import capacity_routing
from bench.capacity import capacity_sizes as sizes
from bench.capacity import capacity_state
from bench.capacity import capacity_streams

_PARTS = {
    "ranking": capacity_routing.ranking,
    "ownership": capacity_routing.ownership,
    "directory": capacity_routing.directory,
    "judging": capacity_routing.admission,
    "collecting": capacity_routing.collect_reports,
    "lending": capacity_routing.lend_slices,
    "table": capacity_state.whole_table,
    "list": capacity_state.instance_list,
    "facts": capacity_state.facts,
    "ledgers": capacity_state.ledgers,
    "displaced": capacity_state.displaced,
    "quotas": capacity_state.quotas,
    "resident": capacity_state.all_resident,
    "messages": capacity_messages.frame_sizes,
    "calls": capacity_messages.calls,
    "probes": capacity_messages.target_polls,
    "idle-connections": capacity_messages.idle_connections,
    "relay": capacity_relay.relay,
    "streams": capacity_streams.streams,
}


@click.command()
@click.argument("parts", nargs=-1, type=click.Choice(list(_PARTS)))
def main(parts: tuple[str, ...]) -> None:
    """Print the slopes of the named parts, or of all.

    Each part runs in a separate process, so that memory left over from one
    part does not affect the next.
    """
    if len(parts) == 1:
        sizes.print_table(_PARTS[parts[0]]())
        return
    sizes.print_load()
    for part in parts or _PARTS:
        click.echo(f"\n{part}\n")
        command = [
            sys.executable,
            "-m",
            "bench.capacity.capacity_slopes",
            part,
        ]
        subprocess.run(command, check=False, timeout=120)
    sizes.print_load()


if __name__ == "__main__":
    main()
