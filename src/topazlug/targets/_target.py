"""A target: one replica as it is listed."""

import enum
from typing import NamedTuple

import msgspec

from topazlug import _ids


class TargetKind(enum.Enum):
    """Kind of a target."""

    ENGINE = "engine"
    SERVICE = "service"


class Target(msgspec.Struct, frozen=True):
    """One replica, as listed by the platform or reported by a peer.

    Attributes
    ----------
    replica : ReplicaId
        Its id.
    kind : TargetKind
        Engine or service.
    group : GroupName
        Group of interchangeable replicas that it belongs to.
    host, port
        Address that it listens on.
    zone : str
        Its availability zone.
    incarnation : int
        Number that tells this process of the replica from earlier ones.
    slots : int
        Maximum number of concurrent requests.
    leaving : bool
        Whether it is about to exit and accepts no new requests.
    cold_for : float
        Seconds that it stays cold, counted from its report.
    version : SoftwareVersion
        Version of its software, empty if it names none.
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
    version: _ids.SoftwareVersion = _ids.SoftwareVersion("")


class ReplicaProcess(NamedTuple):
    """One process of a replica, identified by its incarnation."""

    replica: _ids.ReplicaId
    incarnation: int


def process_of(target: Target) -> ReplicaProcess:
    """Return the replica process that a target entry describes."""
    return ReplicaProcess(target.replica, target.incarnation)
