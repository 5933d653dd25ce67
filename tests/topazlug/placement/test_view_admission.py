"""Placement of requests without owners."""

import collections

import pytest

from tests.topazlug import claim_fakes
from tests.topazlug import routing_fixtures
from tests.topazlug.forwarding import forwarding_fixtures as fixtures
from topazlug.placement import _replica_view
from topazlug.placement import _view_admission
from topazlug.targets import _targets

REQUESTS = 24


def admission(replicas):
    clock = claim_fakes.FakeClock()
    targets = _targets.TargetDirectory(clock=clock, flap_window=10.0)
    targets.set_list([fixtures.target(f"i-{n}") for n in range(replicas)])
    return _view_admission.ViewAdmission(
        targets=targets, views=_replica_view.ReplicaViews(clock=clock)
    )


class TestEqualReplicas:
    @pytest.mark.parametrize("replicas", [2, 3, 4])
    def test_take_turns(self, replicas):
        """All replicas of a group must get requests, not only half of them."""
        view_admission = admission(replicas)
        request = routing_fixtures.placement_request(
            group=fixtures.GROUP, keeps_context=False, deadline=1e12
        )
        counts = collections.Counter()
        for _ in range(REQUESTS):
            placement = view_admission.admit(request)
            view_admission.release(placement)
            counts[placement.target.replica] += 1
        assert set(counts.values()) == {REQUESTS // replicas}
