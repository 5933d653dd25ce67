"""Requests to brittle replicas while owners don't reply."""

import pytest

from tests.topazlug.placement import owner_fixtures
from topazlug import _errors
from topazlug import _ids
from topazlug.placement import _brittle_placement
from topazlug.placement import _view_admission
from topazlug.routing import _placement

REPLICA = _ids.ReplicaId("i-0")


@pytest.fixture
def fleet():
    return owner_fixtures.Fleet("d0", "d1", replicas=(REPLICA,))


@pytest.fixture
def daemon(fleet):
    return fleet.daemon_by_name["d0"]


@pytest.fixture
def placement(fleet, daemon):
    made = _brittle_placement.BrittlePlacement(
        view_admission=_view_admission.ViewAdmission(
            targets=daemon.targets, views=daemon.views
        ),
        targets=daemon.targets,
        views=daemon.views,
        clock=fleet.clock,
    )
    made.daemons = 4
    return made


@pytest.fixture
def request_(fleet, daemon):
    group = daemon.targets.target_by_replica[REPLICA].group
    return _placement.PlacementRequest(
        group=group,
        chat=_ids.ChatHash(1),
        team=_ids.TeamName("t"),
        batch=False,
        weight=1,
        deadline=fleet.clock.monotonic() + 1.0,
        keeps_context=False,
        latency_objective=0.2,
        brittle=0,
    )


class TestHoldShare:
    def test_daemon_holds_no_more_than_its_share(
        self, daemon, placement, request_
    ):
        """Each daemon took what it liked while an owner was frozen."""
        client = daemon.admission.owner_client
        slots = daemon.targets.target_by_replica[REPLICA].slots
        for _ in range(slots // 4):
            placement.hold_share(client, request_)
        with pytest.raises(_errors.Overloaded) as refusal:
            placement.hold_share(client, request_)
        assert refusal.value.retry_after > 0

    def test_nothing_is_held_while_the_owner_may_only_be_late(
        self, fleet, daemon, placement, request_
    ):
        """One late reply of an owner sent a request too many.

        The owner went on granting all slots to others.
        """
        client = daemon.admission.owner_client
        daemon.views.of(REPLICA).record_report(1)
        with pytest.raises(_errors.Overloaded):
            placement.hold_share(client, request_)
        fleet.clock.advance(2.0)
        assert placement.hold_share(client, request_) is not None
