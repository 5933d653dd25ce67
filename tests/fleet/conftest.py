"""Fleets shared by the tests of a module, which must leave them intact."""

from typing import Iterator

import pytest

from bench.fleets import fleet as _fleet
from tests.fleet import fleet_fixtures


@pytest.fixture(scope="module")
def fleet() -> Iterator[_fleet.Fleet]:
    """Return a fleet of three daemons."""
    with _fleet.Fleet(fleet_fixtures.deployment(daemons=3)) as started:
        yield started


@pytest.fixture(scope="module")
def large_fleet() -> Iterator[_fleet.Fleet]:
    """Return a fleet of nine daemons."""
    deployment = fleet_fixtures.deployment(daemons=9, engines=6)
    with _fleet.Fleet(deployment) as started:
        yield started
