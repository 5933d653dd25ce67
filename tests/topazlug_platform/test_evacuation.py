"""Evacuation of a zone through a row of the operator's table."""

import json

import pytest
from topazlug_platform import program

from tests.topazlug_platform import test_boot_file
from topazlug import _clock
from topazlug import _ids

GROUP = _ids.GroupName("engines")
CONFIG = json.dumps({"version": 1, "routes": []}).encode()


def entry(zone, port):
    fields = {
        "service": GROUP,
        "address": f"10.9.0.1:{port}",
        "zone": zone,
        "slots": 8,
        "state": "serving",
    }
    return json.dumps(fields).encode()


@pytest.fixture
def made(tmp_path):
    path = test_boot_file.write(tmp_path)
    made = program.Program(path=path, clock=_clock.SystemClock())
    made._handle_replica_rows(
        {"i-1": entry("a", 1), "i-2": entry("b", 2), "i-3": entry("b", 3)}
    )
    return made


class TestEvacuation:
    """Replicas of an evacuated zone continued to get requests.

    Daemons read the operator's row for the zone together with the
    configuration, but ignored it.
    """

    def usable(self, made):
        return made.daemon.targets.usable(GROUP)

    def test_zone_is_unused_until_the_row_is_deleted(self, made):
        made._handle_operator_rows({"config": CONFIG, "evacuate/b": b"{}"})
        assert self.usable(made) == ["i-1"]
        made._handle_operator_rows({"config": CONFIG})
        assert self.usable(made) == ["i-1", "i-2", "i-3"]

    def test_without_a_configuration(self, made):
        made._handle_operator_rows({"evacuate/a": b"{}"})
        assert self.usable(made) == ["i-2", "i-3"]

    def test_two_zones(self, made):
        rows = {"evacuate/a": b"{}", "evacuate/b": b"{}"}
        made._handle_operator_rows({"config": CONFIG, **rows})
        assert self.usable(made) == []

    @pytest.mark.parametrize("data", [b"", b"null", b"\xff", b"[" * 9999])
    def test_content_of_the_row_is_ignored(self, made, data):
        made._handle_operator_rows({"evacuate/a": data})
        assert self.usable(made) == ["i-2", "i-3"]

    def test_new_replica_of_an_evacuated_zone_is_unused(self, made):
        made._handle_operator_rows({"evacuate/b": b"{}"})
        made._handle_replica_rows({"i-1": entry("a", 1), "i-9": entry("b", 9)})
        assert self.usable(made) == ["i-1"]
