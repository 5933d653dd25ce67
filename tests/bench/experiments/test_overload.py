"""Simulated overload of a replica under the product's admission decisions.

Except for the usual load, each load exceeds what the replica can serve. The
product's decisions are compared with the admission of all requests.
"""

import pytest

from bench.experiments import overload

SEEDS = (0, 1)
URGENT, USUAL, LONG = overload.KINDS


def simulate_load(load, policy):
    surges, engine = overload.LOADS[load]
    simulated = []
    for seed in SEEDS:
        simulation = overload.Simulation(
            overload.POLICIES[policy](engine.slots), engine=engine
        )
        simulated += simulation.simulate(
            overload.arrivals(seed, surges=surges)
        )
    return simulated


def share(requests, kind):
    of_kind = [one for one in requests if one.kind is kind]
    return overload.result(of_kind).share


class TestUsualLoad:
    def test_no_request_is_rejected(self):
        result = overload.result(simulate_load("usual", "learnt"))
        assert result.refused == 0
        assert result.share > 0.98


class TestOverload:
    """Guards against requests that hold slots until their deadline, all late.

    This occurs when a replica that is limited by its slots, its memory or by
    reading receives nine times the usual load for ten seconds and all of it
    is admitted.
    """

    @pytest.mark.parametrize(
        "load", ["slots are short", "reading is short", "memory is short"]
    )
    def test_few_requests_are_lost_at_the_deadline(self, load):
        requests = simulate_load(load, "learnt")
        assert overload.result(requests).lost <= len(requests) / 100

    @pytest.mark.parametrize("load", ["slots are short", "memory is short"])
    def test_urgent_requests_are_on_time(self, load):
        requests = simulate_load(load, "learnt")
        assert share(requests, URGENT) >= 0.9
        assert share(requests, URGENT) > share(requests, USUAL)
        assert share(requests, USUAL) > share(requests, LONG)

    @pytest.mark.parametrize(
        "load", ["slots are short", "reading is short", "memory is short"]
    )
    def test_more_are_on_time_than_when_all_are_admitted(self, load):
        learnt = overload.result(simulate_load(load, "learnt"))
        before = overload.result(simulate_load(load, "all let in"))
        assert learnt.on_time > 1.04 * before.on_time

    @pytest.mark.parametrize(
        "load", ["slots are short", "reading is short", "memory is short"]
    )
    def test_no_kind_starves(self, load):
        requests = simulate_load(load, "learnt")
        for kind in overload.KINDS:
            assert share(requests, kind) >= 0.3

    def test_load_does_not_exceed_the_slots(self):
        surges, engine = overload.LOADS["slots are short"]
        simulation = overload.Simulation(
            overload.LearnedLimits(engine.slots), engine=engine
        )
        simulation.simulate(overload.arrivals(0, surges=surges))
        assert simulation.max_load <= engine.slots


class TestSurgeOfOneTeam:
    def test_other_teams_are_served(self):
        """Guards against late answers for all teams in one team's surge.

        One team sends sixty times its usual load.
        """
        during = [
            one
            for one in simulate_load("one team surges", "learnt")
            if 5.0 <= one.arrived < 15.0
        ]
        others = [one for one in during if one.team != "team-0"]
        surging = [one for one in during if one.team == "team-0"]
        served = overload.result(others).share
        assert served >= overload.result(surging).share
        assert served >= 0.8
