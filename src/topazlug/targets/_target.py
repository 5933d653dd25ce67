"""One replica, as a list of replicas has it."""

import enum
from typing import NamedTuple

import msgspec

from topazlug import _ids


class TargetKind(enum.Enum):
    """What a target is."""

    ENGINE = "engine"
    SERVICE = "service"


class Target(msgspec.Struct, frozen=True):
    """One replica as the platform lists it.

    Attributes
    ----------
    replica : ReplicaId
        Its id.
    kind : TargetKind
        What it is.
    group : GroupName
        Replicas that can stand in for it.
    host, port
        Where it listens.
    zone : str
        Its availability zone.
    incarnation : int
        Which of its starts this is.
    slots : int
        Requests that it runs at once.
    leaving : bool
        Whether it is about to end and takes nothing new.
    cold_for : float
        Seconds that it stays cold, from when it said so.
    """

    replica: _ids.ReplicaId
    kind: TargetKind
    group: _ids.GroupName
    host: str
    port: int
    zone: str
    incarnation: int
    slots: int
    leaving: bool
    cold_for: float = 0.0


class ReplicaProcess(NamedTuple):
    """One start of a replica: its process from begin to end."""

    replica: _ids.ReplicaId
    incarnation: int


def process_of(target: Target) -> ReplicaProcess:
    """Give the start of a replica that a target is."""
    return ReplicaProcess(target.replica, target.incarnation)
