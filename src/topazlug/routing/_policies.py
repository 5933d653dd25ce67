"""Routing policies: admission by owners, and baselines for comparison.

The baselines exist for benchmarks. They do not enforce a bound across daemons.
"""

import functools
import itertools
import math
import random
from typing import Any
from typing import Protocol
from typing import final

import msgspec

from topazlug import _ids
from topazlug._generated import settings as _settings_types
from topazlug.configuration import _rules
from topazlug.routing import _no_usable_replica
from topazlug.routing import _placement
from topazlug.routing import _ranking
from topazlug.targets import _targets

_NO_TARGET_RETRY_SECONDS = 1.0
TWO_CHOICES = _settings_types.RoutingPolicy.two_choices


class PolicyDependencies(Protocol):
    """The objects of a daemon that policies use."""

    owners_admission: Any
    targets: _targets.TargetDirectory
    rules: _rules.TableRules


class _Owners(msgspec.Struct, frozen=True):
    pass


class _Random(msgspec.Struct, frozen=True):
    pass


class _TwoChoices(msgspec.Struct, frozen=True):
    pass


class _Hash(msgspec.Struct, frozen=True):
    pass


# Bounded consistent hashing by this daemon's own load, a sliver of the total.
class _Sliver(msgspec.Struct, frozen=True):
    pass


_POLICY_BY_NAME = {
    _settings_types.RoutingPolicy.owners: _Owners(),
    _settings_types.RoutingPolicy.random: _Random(),
    _settings_types.RoutingPolicy.two_choices: _TwoChoices(),
    _settings_types.RoutingPolicy.hash: _Hash(),
    _settings_types.RoutingPolicy.sliver: _Sliver(),
}


def make_admission(
    name: _settings_types.RoutingPolicy, dependencies: PolicyDependencies
) -> _placement.Admission:
    """Return the admission that implements a policy."""
    policy = _POLICY_BY_NAME[name]
    if isinstance(policy, _Owners):
        admission: _placement.Admission = dependencies.owners_admission
        return admission
    return BaselineAdmission(policy=policy, dependencies=dependencies)


class _LocalView(msgspec.Struct):
    """Input of the baselines: state local to this daemon."""

    request: _placement.PlacementRequest
    usable: list[_ids.ReplicaId]
    own_load: dict[_ids.ReplicaId, int]
    reported: dict[_ids.ReplicaId, int]
    bound: float


@functools.singledispatch
def choose(policy: object, view: _LocalView) -> _ids.ReplicaId:
    """Return the replica that a baseline policy chooses.

    Parameters
    ----------
    policy : object
        Policy; selects the implementation.
    view : _LocalView
        Local state, with at least one usable replica.
    """
    raise NotImplementedError(f"no policy {policy!r}")


@choose.register
def _choose_random(policy: _Random, view: _LocalView) -> _ids.ReplicaId:
    return random.choice(view.usable)


@choose.register
def _choose_two_choices(
    policy: _TwoChoices, view: _LocalView
) -> _ids.ReplicaId:
    pair = random.sample(view.usable, min(2, len(view.usable)))
    return min(pair, key=lambda replica: view.reported.get(replica, 0))


@choose.register
def _choose_hash(policy: _Hash, view: _LocalView) -> _ids.ReplicaId:
    name = _ranking.first(view.usable, view.request.chat)
    return _ids.ReplicaId(name or view.usable[0])


@choose.register
def _choose_sliver(policy: _Sliver, view: _LocalView) -> _ids.ReplicaId:
    count = len(view.usable)
    total = sum(view.own_load.get(replica, 0) for replica in view.usable)
    limit = math.ceil(view.bound * (total + 1) / count)
    ranked = _ranking.rank(view.usable, view.request.chat, count=count)
    for name in ranked:
        replica = _ids.ReplicaId(name)
        if view.own_load.get(replica, 0) < limit:
            return replica
    return _ids.ReplicaId(ranked[0])


@final
class BaselineAdmission:
    """Places requests without messages to other daemons.

    Parameters
    ----------
    policy : object
        Baseline policy.
    dependencies : PolicyDependencies
        Objects of this daemon that policies use.
    """

    def __init__(
        self, *, policy: object, dependencies: PolicyDependencies
    ) -> None:
        self._policy = policy
        self._dependencies = dependencies
        self._numbers = itertools.count(1)
        self._own_load_by_replica: dict[_ids.ReplicaId, int] = {}
        self._reported_load_by_replica: dict[_ids.ReplicaId, int] = {}

    def record_engine_report(
        self, replica: _ids.ReplicaId, running: int
    ) -> None:
        """Record an engine's report of its running requests."""
        self._reported_load_by_replica[replica] = running

    def admit(
        self, request: _placement.PlacementRequest
    ) -> _placement.Placement:
        """Choose a replica; raises NoTarget or Overloaded if there is none."""
        usable = [
            replica
            for replica in self._dependencies.targets.usable(request.group)
            if replica not in request.excluded
        ]
        if not usable:
            raise _no_usable_replica.no_usable_replica_error(
                self._dependencies.targets,
                request,
                retry_after=_NO_TARGET_RETRY_SECONDS,
            )
        view = _LocalView(
            request=request,
            usable=usable,
            own_load=self._own_load_by_replica,
            reported=self._reported_load_by_replica,
            bound=self._dependencies.rules.bound_of(request.group),
        )
        replica = choose(self._policy, view)
        self._own_load_by_replica[replica] = (
            self._own_load_by_replica.get(replica, 0) + 1
        )
        return _placement.Placement(
            target=self._dependencies.targets.target_by_replica[replica],
            ask=_ids.AdmissionRequestId(next(self._numbers)),
            owner=None,
            request=request,
            home=False,
        )

    def release(self, placement: _placement.Placement) -> None:
        """Release a placement; does nothing if it was released before."""
        if placement.released:
            return
        placement.released = True
        self._own_load_by_replica[placement.target.replica] -= 1
