"""What a seed determines for a whole run, apart from its faults."""

import enum
import random
from typing import NamedTuple

_PRESSURE_PROBABILITY = 0.5
_WAVES_PROBABILITY = 0.5
_CUTS_PROBABILITY = 0.5
_VERSIONS_PROBABILITY = 0.5
_BAD_PARTS_PROBABILITY = 0.5
_RELEASE_PROBABILITY = 0.5
_EAGER_CALLERS_PROBABILITY = 0.5
_MISBEHAVING_CLIENTS_PROBABILITY = 0.5
_ZONE_LOSSES_PROBABILITY = 0.5
# Earlier seeds are kept as regression cases, with the faults that they had.
_FIRST_SEED_WITH_ZONE_LOSSES = 9000


class LoadReport(enum.Enum):
    """What replicas report of their load in responses."""

    NONE = "no load report"
    LOAD = "load"
    SLOWNESS = "load and slowness"


class RunPlan(NamedTuple):
    """Properties of one run.

    Attributes
    ----------
    load_report : LoadReport
        What all replicas of the run report.
    has_pressure : bool
        Whether the daemons' settings list the rule set for teams that compete
        for scarce capacity. Replicas have fewer slots then, and there is a
        second team, which surges.
    has_waves : bool
        Whether the callers send in clumps, with pauses between them.
    cuts_daemons : bool
        Whether daemons are cut off from all replicas, and replicas turn
        brittle.
    has_versions : bool
        Whether replicas of two software versions serve side by side.
    has_bad_parts : bool
        Whether prompts with a part that crashes replicas are sent, and herds
        of connections come to one daemon.
    has_release : bool
        Whether all replicas are replaced by others of a second version. Not
        in runs with two versions from the start.
    has_eager_callers : bool
        Whether callers send long streams on kept connections without a pause,
        while daemons are stopped one after the other. Not in runs with few
        slots, which the streams would take.
    has_misbehaving_clients : bool
        Whether crowds of clients that send on or stop come to daemons.
    has_zone_losses : bool
        Whether half of the replicas end at the same moment, again and again.
    """

    load_report: LoadReport = LoadReport.NONE
    has_pressure: bool = False
    has_waves: bool = False
    cuts_daemons: bool = False
    has_versions: bool = False
    has_bad_parts: bool = False
    has_release: bool = False
    has_eager_callers: bool = False
    has_misbehaving_clients: bool = False
    has_zone_losses: bool = False

    @property
    def sends_context(self) -> bool:
        """Return whether streams name the parts of their prompts."""
        return self.has_pressure or self.load_report is not LoadReport.NONE


def draw(seed: int) -> RunPlan:
    """Return the plan of a seed.

    It has a random generator of its own, so that a seed still determines the
    same faults and requests as before there were plans.
    """
    generator = random.Random(f"plan {seed}")
    # Half of the runs have the report that the newest decisions depend on.
    reports = [*LoadReport, LoadReport.SLOWNESS]
    plan = RunPlan(
        load_report=generator.choice(reports),
        has_pressure=generator.random() < _PRESSURE_PROBABILITY,
        has_waves=generator.random() < _WAVES_PROBABILITY,
        cuts_daemons=generator.random() < _CUTS_PROBABILITY,
        has_versions=generator.random() < _VERSIONS_PROBABILITY,
        has_bad_parts=generator.random() < _BAD_PARTS_PROBABILITY,
    )
    has_release = generator.random() < _RELEASE_PROBABILITY
    has_eager_callers = generator.random() < _EAGER_CALLERS_PROBABILITY
    misbehaving = random.Random(f"misbehaving {seed}").random()
    zone_losses = random.Random(f"zones {seed}").random()
    return plan._replace(
        has_zone_losses=(
            seed >= _FIRST_SEED_WITH_ZONE_LOSSES
            and zone_losses < _ZONE_LOSSES_PROBABILITY
        ),
        has_release=has_release and not plan.has_versions,
        has_eager_callers=has_eager_callers and not plan.has_pressure,
        has_misbehaving_clients=(
            misbehaving < _MISBEHAVING_CLIENTS_PROBABILITY
        ),
    )
