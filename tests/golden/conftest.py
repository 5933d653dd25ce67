"""Fixtures: one fleet for all sessions of this folder, and recorders."""

from typing import Iterator

from golden_recorder import Recorder
import golden_sessions
import pytest

from bench.fleets import deployment as _deployment
from bench.fleets import fleet as _fleet

NO_FAULTS = {
    "truncate_after": 0,
    "truncate_count": 0,
    "resume_works": True,
    "late": 0.0,
    "late_count": 0,
    "refuse_count": 0,
}


@pytest.fixture(scope="session")
def fleet() -> Iterator[_fleet.Fleet]:
    deployment = _deployment.Deployment(
        name="golden",
        region="uy-sur",
        zones=["mvd-centro", "mvd-pocitos"],
        daemons=2,
        # The bound is wide, so that each chat goes to its home by hash.
        pools=[
            _deployment.Pool(
                name="asistente", model="asistente-1", replicas=2, bound=10
            )
        ],
        services=[
            _deployment.Service(
                name="inscripciones", replicas=1, key_required=True
            )
        ],
        teams=[
            _deployment.Team(name="udelar", key=golden_sessions.TEAM),
            _deployment.Team(name="ort", key=golden_sessions.OTHER_TEAM),
        ],
        # Retries must not depend on the number of earlier sessions.
        settings={"limits": {"retry_ratio": 1.0}},
    )
    with _fleet.Fleet(deployment) as started:
        yield started


@pytest.fixture
def recorder(fleet: _fleet.Fleet) -> Iterator[Recorder]:
    created = Recorder(fleet)
    yield created
    created.set_faults(**NO_FAULTS)
