"""The platform's settings file: conversion, validation and reload."""

import json
import pathlib
import subprocess
import sys

import pytest
from topazlug_platform import boot_file
from topazlug_platform import program

from topazlug import _clock
from topazlug import _errors

ROOT = pathlib.Path(__file__).parents[2]
FILE = {
    "node_name": "edge-a-1",
    "zone": "a",
    "listeners_map": {
        "frontend": "10.1.0.40:8227",
        "ready": "10.1.0.40:8220",
        "control_plane": "10.1.0.40:8229",
    },
    "internal_port_range": [7340, 7355],
    "limits": {"file_descriptors": 4100, "link_capacity_mbps": 5.0},
    "bounds": {
        "connectivity_ms": 3000,
        "drain_timeout_ms": 2500,
        "config_propagation_ms": 2000,
        "retry_budget_extra": 58,
        "a_bound_to_come": 1,
    },
    "platform": {"address": "10.200.1.7:8223", "form": "table"},
    "a_field_to_come": {"x": 1},
}

RELOADED = {
    "listeners_map": {"frontend": "127.0.0.1:0", "ready": "127.0.0.1:0"},
    "bounds": {"retry_budget_extra": 5800},
}


def write(folder, **changes):
    path = folder / "boot.json"
    path.write_text(json.dumps({**FILE, **changes}))
    return path


class TestBootFile:
    def test_options(self, tmp_path):
        options = boot_file.options_from_boot(boot_file.load(write(tmp_path)))
        assert (options.callers.host, options.callers.port) == (
            "10.1.0.40",
            8227,
        )
        assert options.peers.port == 7340
        assert not options.relays
        assert options.retry_extra == 58
        assert options.max_connections == 1950
        assert options.staleness_bounds.direct_wait == pytest.approx(1.6)
        assert (
            options.staleness_bounds.validity
            < options.staleness_bounds.propagation
        )

    @pytest.mark.parametrize(
        "changes, named",
        [
            ({"listeners_map": {"ready": "x"}}, "frontend"),
            ({"zone": 7}, "zone"),
            ({"limits": {"file_descriptors": "many"}}, "file_descriptors"),
        ],
    )
    def test_error_names_the_field(self, tmp_path, changes, named):
        with pytest.raises(_errors.SettingsInvalid, match=named):
            boot_file.load(write(tmp_path, **changes))

    @pytest.mark.parametrize("text", ["", "host", "host:", "10.0.0.1:x"])
    def test_address(self, text):
        with pytest.raises(_errors.SettingsInvalid, match="IP:PORT"):
            boot_file.parse_address(text)


class TestProgram:
    def check(self, path):
        return subprocess.run(
            [sys.executable, "platform/topazlugd.py", "--check"],
            cwd=ROOT,
            env={"TOPAZLUG_CONFIG": str(path)},
            capture_output=True,
            text=True,
        )

    def test_check(self, tmp_path):
        done = self.check(write(tmp_path))
        assert (done.returncode, done.stderr) == (0, "")

    def test_check_of_an_invalid_file(self, tmp_path):
        done = self.check(write(tmp_path, zone=7))
        assert done.returncode == 2
        assert "zone" in done.stderr

    def test_standard_module_is_not_shadowed(self):
        """Libraries failed with "no attribute 'system'".

        A package named platform at the root of the repository shadowed the
        standard module.
        """
        done = subprocess.run(
            [sys.executable, "-c", "import platform; platform.system()"],
            cwd=ROOT,
        )
        assert done.returncode == 0


class TestReload:
    @pytest.fixture
    def made(self, tmp_path):
        loopback = {"frontend": "127.0.0.1:0", "ready": "127.0.0.1:0"}
        path = write(tmp_path, listeners_map=loopback)
        return program.Program(path=path, clock=_clock.SystemClock())

    def test_changed_bounds_are_in_force(self, made, tmp_path):
        assert not made.daemon.budget.can_retry("engines")
        write(tmp_path, **RELOADED)
        made.reload()
        assert made.daemon.budget.can_retry("engines")

    def test_invalid_file_leaves_the_last_in_force(self, made, tmp_path):
        """A daemon exited when its settings file was half written."""
        write(tmp_path, **RELOADED)
        made.reload()
        (tmp_path / "boot.json").write_text('{"node_name": ')
        made.reload()
        assert made.daemon.budget.can_retry("engines")
