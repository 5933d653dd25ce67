"""Checks what callers and replicas observed against the guarantees."""

import collections
from collections.abc import Iterator
import functools

from soak import _bad_parts
from soak import _clients
from soak import _cut_daemons
from soak import _exemptions
from soak import _expected
from soak import _load_guarantees
from soak import _owner_guarantees
from soak import _stream_guarantees
from soak import _world

_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# A caller may notice that a daemon was killed up to this much later.
_KILL_SLACK_SECONDS = 0.5
# Time for the store's entry and its feed, and for a request in transit.
_DRAIN_PROPAGATION_SECONDS = 2.0 + 0.5
_PROPAGATION_SECONDS = 2.0 + 0.5
# Time for requests in transit when a replica requests a backoff, and the
# number of requests that may arrive during the backoff nevertheless.
_BACKOFF_SLACK_SECONDS = 0.5
_MAX_IN_BACKOFF = 2
_DENIALS = frozenset({401, 403, 404})
# Number of replicas that a request may crash before it is identified, and
# number that it may crash afterwards.
_CRASH_LIMIT = 3
_MAX_LATE = 3


def find_violations(
    world: _world.World, outcomes: list[_clients.Outcome]
) -> Iterator[str]:
    """Yield a description of each violated guarantee."""
    runs = world.runs()
    runs_by_attempt: dict[str, list[str]] = collections.defaultdict(list)
    for _, replica, attempt in runs:
        runs_by_attempt[attempt].append(replica)
    for outcome in outcomes:
        ran = runs_by_attempt[outcome.attempt]
        yield from _check_response(outcome)
        yield from _check_run_count(outcome, ran)
        yield from _check_answered(world, outcome, ran)
        yield from _check_key_propagation(world, outcome)
        yield from _load_guarantees.check_deadline(world, outcome)
    yield from _check_run_origins(runs_by_attempt, outcomes)
    yield from _check_draining(world, runs)
    yield from _check_replica_reports(world, runs, outcomes)
    yield from _check_evacuations(world, runs)
    for line in world.cold_overloads():
        yield f"FAILBACK {line}: cold replica overloaded"
    yield from _check_crashing_requests(world, runs, outcomes)
    has_current_data = functools.partial(_exemptions.has_current_data, world)
    yield from _bad_parts.check_bad_part(runs, outcomes, has_current_data)
    yield from _bad_parts.check_herds(world.herds, outcomes, has_current_data)
    yield from _owner_guarantees.check_power_losses(world, outcomes)
    yield from _owner_guarantees.check_brittle_replicas(world)
    yield from _cut_daemons.check_cut_daemons(
        world.cut_periods,
        outcomes,
        functools.partial(_exemptions.has_current_data, world),
    )
    yield from _stream_guarantees.check_versions(outcomes)
    yield from _stream_guarantees.check_taken_up(
        world.replicas + world.former_replicas,
        outcomes,
        functools.partial(_exemptions.has_current_data, world),
    )
    yield from _owner_guarantees.check_context_lists(world)
    yield from _owner_guarantees.check_rejections(world, outcomes)
    yield from _owner_guarantees.check_bound(world)


def _check_response(outcome: _clients.Outcome) -> Iterator[str]:
    if outcome.completion is not _clients.Completion.ANSWERED:
        return
    if outcome.status != 200:
        return
    expected = _expected.response_body(outcome.attempt)
    if outcome.path == _expected.STREAM:
        expected = _stream_guarantees.expected_body(outcome)
    if outcome.body != expected or not outcome.signed:
        yield f"MIXED {outcome.attempt}: {outcome.body[:80]!r}"


def _check_run_count(
    outcome: _clients.Outcome, ran: list[str]
) -> Iterator[str]:
    if outcome.path == _expected.ONCE and len(ran) > 1:
        yield f"TWICE {outcome.attempt}: ran at {ran}"
    if outcome.status in _NOT_RUN_STATUSES and ran:
        yield f"REFUSED {outcome.attempt}: {outcome.status}, ran at {ran}"


def _check_answered(
    world: _world.World, outcome: _clients.Outcome, ran: list[str]
) -> Iterator[str]:
    """Check that each accepted request was answered.

    A request is exempt if its daemon was killed in the meantime, or closed
    its connection unread beside a herd of others.
    """
    if outcome.path == _expected.STREAM:
        return
    if outcome.completion not in (
        _clients.Completion.NO_RESPONSE,
        _clients.Completion.TRUNCATED,
    ):
        return
    killed = world.daemons[outcome.daemon].killed_at
    if any(
        outcome.started - _KILL_SLACK_SECONDS
        <= at
        <= outcome.ended + _KILL_SLACK_SECONDS
        for at in killed
    ):
        return
    # On a reused connection that the daemon closes as idle just when the
    # request is sent, the request was not accepted.
    is_crowded = any(
        herd.daemon == outcome.daemon
        and herd.began <= outcome.ended
        and outcome.started <= herd.ended
        for herd in world.herds
    )
    if ran or not (outcome.reused or is_crowded):
        yield (
            f"LOST {outcome.attempt}: {outcome.completion.value}, "
            f"ran at {ran}"
        )


def _check_key_propagation(
    world: _world.World, outcome: _clients.Outcome
) -> Iterator[str]:
    """Check that all daemons accept a key within the bound."""
    accepted_at = outcome.key_accepted_at
    if accepted_at is None or outcome.status not in _DENIALS:
        return
    seconds = outcome.started - accepted_at
    if seconds < _PROPAGATION_SECONDS:
        return
    if _exemptions.has_current_data(world, outcome.daemon, outcome.started):
        yield (
            f"CONFIG {outcome.attempt}: {outcome.status} from daemon "
            f"{outcome.daemon}, {seconds:.1f} s after its key was added"
        )


def _check_run_origins(
    runs_by_attempt: dict[str, list[str]], outcomes: list[_clients.Outcome]
) -> Iterator[str]:
    sent = {outcome.attempt for outcome in outcomes}
    for attempt in runs_by_attempt.keys() - sent:
        yield f"UNASKED {attempt}: ran at {runs_by_attempt[attempt]}"


def _check_draining(
    world: _world.World, runs: list[tuple[float, str, str]]
) -> Iterator[str]:
    """Check that a draining replica runs no request after the bound."""
    drained = {
        one.name: one.drained_at
        for one in [*world.replicas, *world.former_replicas]
        if one.drained_at is not None
    }
    for at, replica, attempt in runs:
        since = drained.get(replica)
        if since is None or at < since + _DRAIN_PROPAGATION_SECONDS:
            continue
        # Daemons can't learn of it while the store doesn't respond.
        if not any(
            since - _exemptions.STABLE_SECONDS < moment < at
            for moment, _ in world.store.changes
        ):
            yield (
                f"DRAIN {attempt}: ran {at - since:.1f} s after draining "
                f"began at {replica}"
            )


def _check_replica_reports(
    world: _world.World,
    runs: list[tuple[float, str, str]],
    outcomes: list[_clients.Outcome],
) -> Iterator[str]:
    """Check that daemons respect what replicas reported to them.

    A report is the announcement of leaving or of a backoff in a response. It
    binds only the daemon that received it, until that is disrupted.
    """
    outcome_by_attempt = {one.attempt: one for one in outcomes}
    reports = world.reports()
    rejected = {one[:3] for one in reports if one.kind == "backoff"}
    arrivals: dict[tuple[str, int], list[tuple[float, str]]]
    arrivals = collections.defaultdict(list)
    for at, replica, attempt in [*runs, *rejected]:
        if attempt in outcome_by_attempt:
            daemon = outcome_by_attempt[attempt].daemon
            arrivals[replica, daemon].append((at, attempt))
    for report in reports:
        notified = outcome_by_attempt.get(report.attempt)
        if notified is None:
            continue
        late = [
            (at, attempt)
            for at, attempt in arrivals[report.replica, notified.daemon]
            if not _was_disrupted(world, notified.daemon, report.at, at)
        ]
        if (
            report.kind == "leaving"
            and notified.completion is _clients.Completion.ANSWERED
        ):
            since = report.at + _DRAIN_PROPAGATION_SECONDS
            for at, attempt in late:
                if outcome_by_attempt[attempt].started > since:
                    seconds = at - report.at
                    yield (
                        f"DRAIN {attempt}: {seconds:.1f} s after the replica "
                        f"announced leaving"
                    )
        elif report.kind == "backoff":
            until = report.at + _expected.BACKOFF_SECONDS
            since = report.at + _BACKOFF_SLACK_SECONDS
            got = [attempt for at, attempt in late if since < at < until]
            if len(got) > _MAX_IN_BACKOFF:
                yield f"BUDGET {report.replica}: {got} during its backoff"


def _was_disrupted(
    world: _world.World, daemon: int, since: float, until: float
) -> bool:
    """Return whether a daemon was restarted or frozen in a time span."""
    disruptions = world.daemons[daemon].disruptions
    return any(since <= began <= until for began, _ in disruptions)


def _check_evacuations(
    world: _world.World, runs: list[tuple[float, str, str]]
) -> Iterator[str]:
    """Check that an evacuated zone runs no request after the bound."""
    zone_by_replica = {
        one.name: one.zone for one in [*world.replicas, *world.former_replicas]
    }
    for zone, began, ended in world.evacuations:
        for at, replica, attempt in runs:
            if zone_by_replica[replica] != zone:
                continue
            if not began + _DRAIN_PROPAGATION_SECONDS <= at < ended:
                continue
            # Daemons can't learn of it while the store doesn't respond.
            if not any(
                began - _exemptions.STABLE_SECONDS < moment < at
                for moment, _ in world.store.changes
            ):
                yield (
                    f"EVAC {attempt}: ran {at - began:.1f} s after the "
                    f"evacuation began, at {replica}"
                )


def _check_crashing_requests(
    world: _world.World,
    runs: list[tuple[float, str, str]],
    outcomes: list[_clients.Outcome],
) -> Iterator[str]:
    """Check that a request which crashed three replicas crashes few more.

    The bound is three more. Crashes before the other daemons can have learned
    of the request don't count, nor do those by way of daemons that were
    disrupted or could not reach the store.
    """
    crashing = {one.attempt: one.daemon for one in outcomes if one.crashes}
    ended = sorted(run for run in runs if run[2] in crashing)
    if len(ended) <= _CRASH_LIMIT:
        return
    known_at = ended[_CRASH_LIMIT - 1][0] + _exemptions.STABLE_SECONDS
    late = [
        attempt
        for at, _, attempt in ended
        if at > known_at
        and _exemptions.has_current_data(world, crashing[attempt], at)
    ]
    if len(late) > _MAX_LATE:
        yield (
            f"BUDGET: {len(late)} of {len(ended)} replicas crashed after the "
            f"request was identified: {late}"
        )
