"""Baseline routing policies."""

import types

import pytest

from tests.topazlug import claim_fakes
from tests.topazlug import routing_fixtures as fixtures
from topazlug import _errors
from topazlug._generated import settings
from topazlug.configuration import _rules
from topazlug.routing import _policies
from topazlug.routing import _ranking

POLICY = settings.RoutingPolicy
ROWS = {"pools": [{"name": "pool", "model": "m", "bound": 1.25}]}


@pytest.fixture
def make():
    entry = fixtures.Entry(
        "d1",
        targets=[fixtures.target(f"r{n}") for n in range(4)],
        daemons=["d1"],
        clock=claim_fakes.FakeClock(),
        links=fixtures.NoLinks(),
    )
    dependencies = types.SimpleNamespace(
        owners_admission=entry.admission,
        targets=entry.targets,
        rules=_rules.TableRules(
            configuration=fixtures.table_holder(ROWS),
            routing=settings.RoutingSettings(),
        ),
    )
    return lambda name: _policies.make_admission(name, dependencies)


def replicas(admission, count, **changes):
    request = fixtures.placement_request(**changes)
    return [admission.admit(request).target.replica for _ in range(count)]


class TestMakeAdmission:
    def test_owners(self, make):
        assert replicas(make(POLICY.owners), 1)

    def test_hash_always_chooses_the_home(self, make):
        home = _ranking.first(
            ["r0", "r1", "r2", "r3"], _ranking.chat_hash("c")
        )
        assert replicas(make(POLICY.hash), 20) == [home] * 20

    def test_sliver_spreads_the_load_of_one_daemon(self, make):
        chosen = replicas(make(POLICY.sliver), 40)
        assert len(set(chosen)) == 4

    def test_two_choices_prefers_the_less_loaded(self, make):
        admission = make(POLICY.two_choices)
        for replica in ("r0", "r1", "r2"):
            admission.record_engine_report(replica, 10)
        chosen = replicas(admission, 100)
        assert chosen.count("r3") > 25

    def test_random_uses_all_replicas(self, make):
        assert len(set(replicas(make(POLICY.random), 200))) == 4

    @pytest.mark.parametrize("name", list(POLICY))
    def test_excluded_replicas_are_left_out(self, make, name):
        with pytest.raises(_errors.NoTarget):
            replicas(
                make(name), 1, excluded=frozenset({"r0", "r1", "r2", "r3"})
            )

    @pytest.mark.parametrize("name", list(POLICY))
    def test_second_release_does_nothing(self, make, name):
        admission = make(name)
        placement = admission.admit(fixtures.placement_request())
        for _ in range(2):
            admission.release(placement)
        if isinstance(admission, _policies.BaselineAdmission):
            assert set(admission._own_load_by_replica.values()) == {0}
