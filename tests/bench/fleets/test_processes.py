"""Tests of the choice of ports by several fleets at the same time."""

import itertools
import pathlib
import subprocess
import sys

import pytest

from bench.fleets import processes

ROOT = pathlib.Path(__file__).parents[3]
# Prints the first free port of its arguments, and claims it until it exits.
CLAIM_SCRIPT = """
import itertools, sys
from bench.fleets import processes
processes._PORTS = itertools.cycle(map(int, sys.argv[1:]))
print(processes.free_port(), flush=True)
sys.stdin.read()
"""


@pytest.fixture
def start_other():
    children = []

    def start(*ports):
        process = subprocess.Popen(
            [sys.executable, "-c", CLAIM_SCRIPT, *map(str, ports)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
            cwd=ROOT,
        )
        children.append(process)
        return process

    yield start
    for process in children:
        process.communicate()


class TestFreePort:
    def test_two_processes_get_different_ports(self, start_other, monkeypatch):
        """A port must not be handed out to two fleets.

        A port counted as free until a process listened on it. Another fleet
        got the same port before either daemon had bound it, one daemon failed
        to start, and a fleet of nine daemons never got ready.
        """
        ports = [processes.free_port() for _ in range(2)]
        for _ in range(2):
            processes.os.close(processes._LOCK_DESCRIPTORS.pop())
        first = start_other(*ports)
        assert int(first.stdout.readline()) == ports[0]
        monkeypatch.setattr(processes, "_PORTS", itertools.cycle(ports))
        assert processes.free_port() == ports[1]
