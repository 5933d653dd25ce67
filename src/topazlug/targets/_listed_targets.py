"""Conversion and comparison of targets from lists and peers' facts."""

from collections.abc import Iterable
from collections.abc import Mapping

from topazlug import _ids
from topazlug._generated import messages
from topazlug.store import _instances
from topazlug.targets import _target

_KIND_BY_INSTANCE = {
    _instances.InstanceKind.ENGINE: _target.TargetKind.ENGINE,
    _instances.InstanceKind.SERVICE: _target.TargetKind.SERVICE,
}


def targets_from_instances(
    instances_by_id: Mapping[str, _instances.Instance],
) -> list[_target.Target]:
    """Return the targets among the platform's instances."""
    return [
        _target.Target(
            replica=_ids.ReplicaId(instance.id),
            kind=_KIND_BY_INSTANCE[instance.kind],
            group=_ids.GroupName(instance.group),
            host=instance.host,
            port=instance.port,
            zone=instance.zone,
            incarnation=instance.incarnation,
            slots=instance.slots,
            leaving=instance.state is _instances.InstanceState.LEAVING,
        )
        for instance in instances_by_id.values()
        if instance.kind in _KIND_BY_INSTANCE
    ]


def fact_from_target(target: _target.Target) -> messages.Fact:
    """Return a listed target's state as a fact for peers."""
    state = messages.FactState.live
    if target.leaving:
        state = messages.FactState.leaving
    return messages.Fact(
        kind=messages.FactKind.target,
        subject=target.replica,
        incarnation=target.incarnation,
        sequence=0,
        state=state,
        host=target.host,
        port=target.port,
        zone=target.zone,
        group=target.group,
        slots=target.slots,
        engine=target.kind is _target.TargetKind.ENGINE,
    )


def target_from_fact(fact: messages.Fact) -> _target.Target:
    return _target.Target(
        replica=_ids.ReplicaId(fact.subject),
        kind=(
            _target.TargetKind.ENGINE
            if fact.engine
            else _target.TargetKind.SERVICE
        ),
        group=_ids.GroupName(fact.group),
        host=fact.host,
        port=fact.port,
        zone=fact.zone,
        incarnation=fact.incarnation,
        slots=fact.slots,
        leaving=False,
    )


def restarted(
    before: Mapping[_ids.ReplicaId, _target.Target],
    after: Iterable[_target.Target],
) -> list[_target.Target]:
    """Return the targets that have restarted under the same id.

    Any different incarnation counts, not only a greater one: the clocks that
    incarnations come from may go back.
    """
    return [
        target
        for target in after
        if target.replica in before
        and before[target.replica].incarnation != target.incarnation
    ]


def changed_targets(
    before: Mapping[_ids.ReplicaId, _target.Target],
    after: Iterable[_target.Target],
) -> list[_target.Target]:
    """Return the targets that are new, restarted, or have begun to leave."""
    return [target for target in after if _is_changed(target, before)]


def _is_changed(
    target: _target.Target, before: Mapping[_ids.ReplicaId, _target.Target]
) -> bool:
    known = before.get(target.replica)
    if known is None or known.incarnation < target.incarnation:
        return True
    return target.leaving and not known.leaving
