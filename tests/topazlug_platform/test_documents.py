"""Parsing of rows of the platform's store."""

import json

import pytest
from topazlug_platform import documents

from topazlug.forwarding import _table
from topazlug.targets import _targets

ROUTE = {
    "name": "r1",
    "host": "Chat.example",
    "prefix": "/a/",
    "route_kind": "streaming",
    "timeout_ms": 8000,
    "target_latency_ms": 300,
    "itl_target_ms": 250,
    "priority": 2,
    "service": "s1",
    "attempts": 2,
    "sticky": True,
    "resumable": True,
}
CONFIG = {
    "version": 7,
    "routes": [ROUTE],
    "services": [{"name": "s1", "health_path": "/health"}],
    "limits": {"idle_timeout_ms": 9000},
    "tenants": [{"name": "t1", "api_keys": ["k1", "k2"], "priority": 1}],
}


def table(**changes):
    return documents.parse_table(json.dumps({**CONFIG, **changes}).encode())


class TestConfig:
    def test_route(self):
        made = table()
        route = made.find_route("chat.example", "/a/x")
        assert made.version == 7
        assert route.kind is _table.RequestKind.STREAM
        assert (route.timeout, route.latency_objective, route.max_pause) == (
            8.0,
            0.3,
            0.25,
        )
        assert route.has_context and route.resumable and route.repeatable
        assert made.bounds.idle_timeout == 9.0
        assert made.find_team(route, "k2") == _table.Team("t1", 1)

    def test_split(self):
        split = [
            {"service": "s1", "weight": 90},
            {"service": "s2", "weight": 10},
        ]
        route = {**ROUTE, "service": "", "traffic_split": split}
        made = table(routes=[route]).find_route("chat.example", "/a/")
        assert [share.group for share in made.shares] == ["s1", "s2"]

    def test_unknown_kind_runs_at_most_once(self):
        route = {**ROUTE, "route_kind": "of-tomorrow", "resumable": True}
        made = table(routes=[route]).find_route("chat.example", "/a/")
        assert not made.repeatable

    def test_no_tenants_means_no_keys(self):
        document = {k: v for k, v in CONFIG.items() if k != "tenants"}
        made = documents.parse_table(json.dumps(document).encode())
        route = made.find_route("chat.example", "/a/")
        assert made.find_team(route, None) is None

    def test_unreadable(self):
        with pytest.raises(documents.Unreadable):
            documents.parse_table(b'{"version": "x"}')


class TestReplica:
    def test_entry(self):
        made = documents.parse_target(
            "i-1",
            json.dumps(
                {
                    "service": "s1",
                    "address": "10.0.0.9:8080",
                    "zone": "a",
                    "slots": 64,
                    "state": "draining",
                    "phase": "prefill_decode",
                    "sequence": 4,
                }
            ).encode(),
        )
        assert (made.host, made.port, made.slots) == ("10.0.0.9", 8080, 64)
        assert made.leaving
        assert made.kind is _targets.TargetKind.ENGINE

    def test_version_is_that_of_the_software(self):
        """All replicas of a service counted as the same software."""
        entry = {"service": "s1", "address": "10.0.0.9:8080"}
        weights = [{"name": "m", "version": 3, "lora_adapters": []}]

        def version_of(**fields):
            data = json.dumps({**entry, "base_models": weights, **fields})
            return documents.parse_target("i-1", data.encode()).version

        assert version_of(version="v1.2") == "v1.2"
        assert version_of() == ""

    @pytest.mark.parametrize("version", [3, None, ["v1"], "v" * 201])
    def test_invalid_version(self, version):
        entry = {"service": "s1", "address": "10.0.0.9:8080"}
        data = json.dumps({**entry, "version": version}).encode()
        with pytest.raises(documents.Unreadable):
            documents.parse_target("i-1", data)
