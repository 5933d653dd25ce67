"""Checks of the guarantees that depend on what owners know of replicas."""

import bisect
import collections
from collections.abc import Iterator
from collections.abc import Sequence
from http import HTTPStatus
from typing import NamedTuple

from soak import _clients
from soak import _exemptions
from soak import _expected
from soak import _world

# Time after which the recovery of all daemons must be complete; the check
# after the faults waits as long.
RECOVERY_SECONDS = 4.0
_MAX_LIST_ATTEMPTS = 3
# Time within which a failing replica must have been noticed.
_NOTICE_SECONDS = 1.0
# Longest ejection, after which a replica that is healthy again is used.
_READMISSION_SECONDS = 4.0
# Time within which a replica that has exited is replaced, with some slack.
_REPLACEMENT_SECONDS = 1.5
# Owners may learn this much later that a slot is free.
_SLOT_SLACK_SECONDS = 0.5
# No replica receives a request while it holds more than this multiple of the
# mean load plus the allowance; at most so many requests in 5 s may break it.
_BOUND_FACTOR = 2.0
_BOUND_ALLOWANCE = 3.0
_MAX_BREAKING_PART = 0.03
_BOUND_SECONDS = 5.0
# With fewer requests a single one would be more than 3 in 100.
_MIN_BOUND_REQUESTS = 100


class Span(NamedTuple):
    """The time span in which a replica held a request."""

    began: float
    ended: float


def check_power_losses(
    world: _world.World, outcomes: Sequence[_clients.Outcome]
) -> Iterator[str]:
    """Check that each daemon serves requests soon after a loss of power.

    Daemons that are disrupted again meanwhile are exempt, and all are while
    the store fails.
    """
    for restored_at in world.power_restored_at:
        until = restored_at + RECOVERY_SECONDS
        if any(
            restored_at - RECOVERY_SECONDS < at < until
            for at, _ in world.store.changes
        ):
            continue
        for number, daemon in enumerate(world.daemons):
            if any(restored_at < at < until for at, _ in daemon.disruptions):
                continue
            asked = [
                one
                for one in outcomes
                if one.daemon == number and restored_at <= one.started < until
            ]
            if asked and not any(
                one.status == HTTPStatus.OK and one.ended < until
                for one in asked
            ):
                yield (
                    f"POWER: daemon {number} served none of {len(asked)} "
                    f"requests within {RECOVERY_SECONDS} s"
                )


def check_brittle_replicas(world: _world.World) -> Iterator[str]:
    """Check that few brittle replicas crash of what daemons send them."""
    allowed = world.brittle_periods * (2 + len(world.replicas) // 10)
    if world.falls() > allowed:
        yield f"LIMIT: {world.falls()} brittle replicas fell, {allowed} may"


def check_context_lists(world: _world.World) -> Iterator[str]:
    """Check that replicas are asked for their contexts a few times only.

    Each start of an owner allows three attempts. Owners start when a daemon
    starts, ends, freezes or continues, and when a replica is listed again.
    """
    replicas = [*world.replicas, *world.former_replicas]
    starts = [
        at
        for daemon in world.daemons
        for disruption in daemon.disruptions
        for at in disruption
    ]
    asked: dict[str, list[float]] = collections.defaultdict(list)
    for report in world.reports():
        if report.kind == _expected.LIST_REPORT:
            asked[report.replica].append(report.at)
    for replica in replicas:
        own = [at for one in replica.disruptions for at in one[:2]]
        allowed = sorted([*starts, *own])
        for count, at in enumerate(sorted(asked[replica.name]), start=1):
            before = bisect.bisect_right(allowed, at)
            if count > _MAX_LIST_ATTEMPTS * before:
                yield (
                    f"LISTED {replica.name}: asked {count} times for its "
                    f"contexts after {before} starts of owners"
                )
                break


def check_rejections(
    world: _world.World, outcomes: Sequence[_clients.Outcome]
) -> Iterator[str]:
    """Check that a failing replica does not cause rejections.

    A 503 is allowed if less than half of the replicas are healthy and have
    free slots. Daemons that are disrupted or can't reach the store are
    exempt.
    """
    held = spans_by_replica(world)
    replicas = [*world.replicas, *world.former_replicas]
    for one in outcomes:
        if one.status != HTTPStatus.SERVICE_UNAVAILABLE or one.crashes:
            continue
        if not _exemptions.has_current_data(world, one.daemon, one.ended):
            continue
        failing = [
            replica.name
            for replica in replicas
            if any(
                each.is_failing
                and each.began + _NOTICE_SECONDS < one.started
                and one.ended < each.ended
                for each in replica.disruptions
            )
        ]
        if not failing:
            continue
        listed = [
            replica
            for replica in replicas
            if replica.started_at <= one.ended < replica.replaced_at
        ]
        free = [
            replica.name
            for replica in listed
            if _is_healthy(world, replica, one)
            and _count_held(
                held[replica.name],
                one.started - _SLOT_SLACK_SECONDS,
                one.ended,
            )
            < replica.slots
        ]
        if 2 * len(free) >= len(listed):
            yield (
                f"REJECTED {one.attempt}: by daemon {one.daemon} while "
                f"{failing} failed and {free} had free slots: {one.body!r}"
            )


def check_bound(world: _world.World) -> Iterator[str]:
    """Check the bound of the replicas' loads by the mean load.

    Which replicas belong to the mean is known only while none of them, no
    daemon and not the store has been disrupted for a while, so that only
    requests at such times count.
    """
    held = spans_by_replica(world)
    times: list[float] = []
    breaking: list[float] = []
    found: list[str] = []
    arrivals = sorted(
        (span.began, name) for name, spans in held.items() for span in spans
    )
    for at, name in arrivals:
        listed = [
            one
            for one in [*world.replicas, *world.former_replicas]
            if one.started_at <= at < one.replaced_at
        ]
        if not listed or not _is_settled(world, listed, at):
            continue
        times.append(at)
        load = sum(_count_held(held[one.name], at, at) for one in listed)
        mean = (load - 1) / len(listed)
        own = _count_held(held[name], at, at) - 1
        if own > _BOUND_FACTOR * mean + _BOUND_ALLOWANCE:
            breaking.append(at)
            found.append(f"{name} held {own} at {at:.2f}, mean {mean:.1f}")
    for at in times:
        count = _count_between(times, at, at + _BOUND_SECONDS)
        over = _count_between(breaking, at, at + _BOUND_SECONDS)
        if count >= _MIN_BOUND_REQUESTS and over > _MAX_BREAKING_PART * count:
            yield (
                f"BOUND: {over} of {count} requests in {_BOUND_SECONDS} s "
                f"from {at:.2f} were sent to replicas above the bound: "
                f"{'; '.join(found[:30])}"
            )
            return


def _is_settled(
    world: _world.World, listed: Sequence[_world.Replica], at: float
) -> bool:
    since = at - _READMISSION_SECONDS
    return all(
        one.started_at < since
        # One that crashes is replaced up to a second after its end.
        and at + _REPLACEMENT_SECONDS < one.replaced_at
        and not _is_disrupted(world, one, at, since=since)
        for one in listed
    ) and all(
        _exemptions.has_current_data(world, number, at)
        for number in range(len(world.daemons))
    )


def _count_between(times: Sequence[float], since: float, until: float) -> int:
    return bisect.bisect(times, until) - bisect.bisect_left(times, since)


def spans_by_replica(world: _world.World) -> dict[str, list[Span]]:
    """Return for each replica when it held requests."""
    ended_by_run = {(name, attempt): at for at, name, attempt in world.ends()}
    replaced_at = {
        one.name: one.replaced_at
        for one in [*world.replicas, *world.former_replicas]
    }
    held: dict[str, list[Span]] = collections.defaultdict(list)
    for at, name, attempt in world.runs():
        ended = ended_by_run.get((name, attempt), replaced_at.get(name, at))
        held[name].append(Span(at, ended))
    return held


def _count_held(spans: list[Span], since: float, until: float) -> int:
    return sum(one.began <= until and since <= one.ended for one in spans)


def _is_healthy(
    world: _world.World, replica: _world.Replica, one: _clients.Outcome
) -> bool:
    since = one.started - _READMISSION_SECONDS
    is_disrupted = _is_disrupted(world, replica, one.ended, since=since)
    return (
        replica.started_at < since
        and one.ended + _REPLACEMENT_SECONDS < replica.replaced_at
        and not is_disrupted
    )


def _is_disrupted(
    world: _world.World, replica: _world.Replica, at: float, *, since: float
) -> bool:
    """Return whether it was disrupted at some time in a span."""
    spans = [
        *(each[:2] for each in replica.disruptions),
        *(
            (each.began, each.ended)
            for each in world.evacuations
            if each.zone == replica.zone
        ),
    ]
    return any(began <= at and since < ended for began, ended in spans)
