"""Replicas that crash if they have to reject more than a few requests."""

import contextlib

import pytest

from tests.topazlug.forwarding import forwarding_fixtures as fixtures
from tests.topazlug_platform import brittle_fleet
from topazlug.forwarding import _table

KIND = _table.RequestKind
KINDS = {
    "idempotent": {"kind": KIND.IDEMPOTENT},
    "at-most-once": {"kind": KIND.AT_MOST_ONCE},
    "placed-by-context": {"kind": KIND.STREAM, "has_context": True},
}
LOAD = 1.4
SECONDS = 4.0


@contextlib.contextmanager
def running_fleet(**changes):
    fleet = brittle_fleet.BrittleFleet(
        fixtures.route(**changes), daemons=3, replicas=3
    )
    try:
        fleet.wait_joined()
        yield fleet
    finally:
        fleet.stop()


class TestBrittleReplicas:
    @pytest.mark.parametrize("tolerated", [0, 2, 8])
    @pytest.mark.parametrize("kind", list(KINDS))
    def test_no_replica_crashes_under_more_load_than_it_can_run(
        self, kind, tolerated
    ):
        """All replicas crashed one after the other, and few were served."""
        with running_fleet(**KINDS[kind]) as fleet:
            fleet.turn_brittle(tolerated)
            fleet.load(factor=0.5, seconds=1.0)
            fleet.turn_fragile()
            statuses = fleet.load(factor=LOAD, seconds=SECONDS)
            assert fleet.total("falls") == 0
            assert set(statuses) <= {200, 503}
