"""Tests of the derivation of sites of other shapes."""

import copy

import pytest

from bench.experiments import other_sites

SITE = {
    "name": "s",
    "zones": [{"name": "a", "region": "r"}, {"name": "b", "region": "r"}],
    "machines": [
        {"zone": "a", "cpu_share": 0.5, "memory_mb": 300, "count": 3},
        {"zone": "b", "cpu_share": 0.5, "memory_mb": 300, "count": 2},
    ],
    "services": [
        {
            "name": "llm",
            "model": "llm",
            "servers": [{"zone": "a", "count": 2}, {"zone": "b", "count": 4}],
        },
        {"name": "app", "servers": [{"zone": "b", "count": 1}]},
    ],
    "classes": [
        {"name": "chat", "service": "llm", "aim_ms": 100, "deadline_ms": 900},
        {"name": "read", "service": "app", "aim_ms": 200, "deadline_ms": 500},
    ],
    "tenants": {"count": 10},
    "troubles": [{"kind": "srv_crash", "service": "app"}, {"kind": "burst"}],
    "day": [
        {
            "plan": [{"kind": "release", "service": "llm"}],
            "faults": [
                {"kind": "lossy", "zone": "b"},
                {"kind": "hot_key", "class": "read"},
            ],
            "traffic": [{"zone": "b", "mix": {"chat": 1.0, "read": 2.0}}],
        }
    ],
}


def reshape(shape):
    return other_sites.reshape(SITE, shape)


class TestShapes:
    @pytest.mark.parametrize("shape", other_sites.SHAPE_BY_NAME)
    def test_original_site_is_not_modified(self, shape):
        before = copy.deepcopy(SITE)
        assert reshape(shape)["name"] == f"s-{shape}"
        assert SITE == before

    def test_one_zone_holds_all(self):
        site = reshape("one-zone")
        assert [zone["name"] for zone in site["zones"]] == ["a"]
        assert [one["count"] for one in site["machines"]] == [5]
        assert site["services"][0]["servers"] == [{"zone": "a", "count": 6}]
        assert site["day"][0]["faults"][0]["zone"] == "a"
        assert site["day"][0]["traffic"][0]["zone"] == "a"

    def test_engines_only_has_nothing_of_services(self):
        site = reshape("engines-only")
        assert [one["name"] for one in site["services"]] == ["llm"]
        assert [one["name"] for one in site["classes"]] == ["chat"]
        assert site["troubles"] == [{"kind": "burst"}]
        assert site["day"][0]["faults"] == [{"kind": "lossy", "zone": "b"}]
        assert site["day"][0]["traffic"][0]["mix"] == {"chat": 1.0}

    def test_services_only_has_nothing_of_engines(self):
        site = reshape("services-only")
        assert [one["name"] for one in site["services"]] == ["app"]
        assert site["day"][0]["plan"] == []
        assert site["day"][0]["traffic"][0]["mix"] == {"read": 2.0}

    def test_deadlines_stay_above_the_objective(self):
        deadlines = [
            one["deadline_ms"] for one in reshape("short-deadlines")["classes"]
        ]
        assert deadlines == [300, 400]
