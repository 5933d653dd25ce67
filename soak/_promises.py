"""Compares what callers and replicas saw with what is promised."""

import collections
from collections.abc import Iterator

from soak import _clients
from soak import _expected
from soak import _store
from soak import _world

_PROMISES = frozenset({408, 421, 429, 503})
# A caller may notice a kill this much later than it was sent.
_KILL_SLACK_SECONDS = 0.5
# The store's entry, the feed and a request on its way.
_LEAVING_SECONDS = 2.0 + 0.5
_IN_FORCE_SECONDS = 2.0 + 0.5
# What is on its way when a replica asks for a backoff, and what may come
# within it all the same.
_BACKOFF_SLACK_SECONDS = 0.5
_MOST_IN_BACKOFF = 2
_DENIALS = frozenset({401, 403, 404})
# A store that was away so long ago counts as stable.
_STABLE_SECONDS = 3.0
# Replicas that end under one request before it is known, and afterwards.
_CRASHES = 3
_MOST_LATE = 3


def broken(
    world: _world.World, outcomes: list[_clients.Outcome]
) -> Iterator[str]:
    """Give each broken promise in words."""
    runs = world.runs()
    runs_by_attempt: dict[str, list[str]] = collections.defaultdict(list)
    for _, replica, attempt in runs:
        runs_by_attempt[attempt].append(replica)
    for outcome in outcomes:
        ran = runs_by_attempt[outcome.attempt]
        yield from _answer_broken(outcome)
        yield from _count_broken(outcome, ran)
        yield from _silence(world, outcome, ran)
        yield from _not_in_force(world, outcome)
    yield from _unasked(runs_by_attempt, outcomes)
    yield from _after_leaving(world, runs)
    yield from _against_own_word(world, runs, outcomes)
    yield from _in_evacuated_zones(world, runs)
    for line in world.swamped():
        yield f"FAILBACK {line}: too much for a cold replica"
    yield from _crashes(world, runs, outcomes)


def _answer_broken(outcome: _clients.Outcome) -> Iterator[str]:
    if outcome.seen is not _clients.Seen.ANSWERED:
        return
    if outcome.status != 200:
        return
    wanted = _expected.body_of(outcome.attempt)
    if outcome.path == _expected.STREAM:
        wanted = _expected.stream_of(outcome.attempt)
    if outcome.body != wanted or not outcome.signed:
        yield f"MIXED {outcome.attempt}: {outcome.body[:80]!r}"


def _count_broken(outcome: _clients.Outcome, ran: list[str]) -> Iterator[str]:
    if outcome.path == _expected.ONCE and len(ran) > 1:
        yield f"TWICE {outcome.attempt}: ran at {ran}"
    is_kept = outcome.path == _expected.ONCE
    if outcome.status in _PROMISES and ran and is_kept:
        yield f"REFUSED {outcome.attempt}: {outcome.status}, ran at {ran}"


def _silence(
    world: _world.World, outcome: _clients.Outcome, ran: list[str]
) -> Iterator[str]:
    """A request that was taken gets an answer, unless its daemon died."""
    if outcome.path == _expected.STREAM:
        return
    if outcome.seen not in (_clients.Seen.NOTHING, _clients.Seen.CUT):
        return
    killed = world.daemons[outcome.daemon].killed_at
    if any(
        outcome.started - _KILL_SLACK_SECONDS
        <= at
        <= outcome.ended + _KILL_SLACK_SECONDS
        for at in killed
    ):
        return
    # A request that crosses the close of an idle connection was not taken.
    if ran or not outcome.reused:
        yield f"LOST {outcome.attempt}: {outcome.seen.value}, ran at {ran}"


def _not_in_force(
    world: _world.World, outcome: _clients.Outcome
) -> Iterator[str]:
    """A key is known everywhere soon after it was added."""
    accepted_at = outcome.key_accepted_at
    if accepted_at is None or outcome.status not in _DENIALS:
        return
    seconds = outcome.started - accepted_at
    if seconds < _IN_FORCE_SECONDS:
        return
    if _in_touch(world, outcome.daemon, outcome.started):
        yield (
            f"CONFIG {outcome.attempt}: {outcome.status} of daemon "
            f"{outcome.daemon}, {seconds:.1f} s after its key was added"
        )


def _unasked(
    runs_by_attempt: dict[str, list[str]], outcomes: list[_clients.Outcome]
) -> Iterator[str]:
    asked = {outcome.attempt for outcome in outcomes}
    for attempt in runs_by_attempt.keys() - asked:
        yield f"UNASKED {attempt}: ran at {runs_by_attempt[attempt]}"


def _after_leaving(
    world: _world.World, runs: list[tuple[float, str, str]]
) -> Iterator[str]:
    """No work reaches a replica long after it said that it leaves."""
    drained = {
        one.name: one.drained_at
        for one in [*world.replicas, *world.gone]
        if one.drained_at is not None
    }
    for at, replica, attempt in runs:
        since = drained.get(replica)
        if since is None or at < since + _LEAVING_SECONDS:
            continue
        # While the store does not tell, nobody can know.
        if not any(
            since - _STABLE_SECONDS < moment < at
            for moment, _ in world.store.changes
        ):
            yield f"DRAIN {attempt}: {at - since:.1f} s late at {replica}"


def _against_own_word(
    world: _world.World,
    runs: list[tuple[float, str, str]],
    outcomes: list[_clients.Outcome],
) -> Iterator[str]:
    """No daemon sends a replica what it has told that daemon not to send."""
    outcome_by_attempt = {one.attempt: one for one in outcomes}
    words = world.words()
    turned_away = {one[:3] for one in words if one.word == "backoff"}
    arrivals: dict[tuple[str, int], list[tuple[float, str]]]
    arrivals = collections.defaultdict(list)
    for at, replica, attempt in [*runs, *turned_away]:
        if attempt in outcome_by_attempt:
            daemon = outcome_by_attempt[attempt].daemon
            arrivals[replica, daemon].append((at, attempt))
    for word in words:
        told = outcome_by_attempt.get(word.attempt)
        if told is None:
            continue
        late = [
            (at, attempt)
            for at, attempt in arrivals[word.replica, told.daemon]
            if not _disturbed(world, told.daemon, word.at, at)
        ]
        if word.word == "leaving" and told.seen is _clients.Seen.ANSWERED:
            since = word.at + _LEAVING_SECONDS
            for at, attempt in late:
                if outcome_by_attempt[attempt].started > since:
                    seconds = at - word.at
                    yield f"DRAIN {attempt}: {seconds:.1f} s after its word"
        elif word.word == "backoff":
            until = word.at + _expected.BACKOFF_SECONDS
            since = word.at + _BACKOFF_SLACK_SECONDS
            got = [attempt for at, attempt in late if since < at < until]
            if len(got) > _MOST_IN_BACKOFF:
                yield f"BUDGET {word.replica}: {got} within its backoff"


def _disturbed(
    world: _world.World, daemon: int, since: float, until: float
) -> bool:
    """Say whether a daemon was restarted or frozen between two moments."""
    disturbances = world.daemons[daemon].disturbances
    return any(since <= began <= until for began, _ in disturbances)


def _in_evacuated_zones(
    world: _world.World, runs: list[tuple[float, str, str]]
) -> Iterator[str]:
    """Nothing new reaches a zone long after its evacuation began."""
    zone_by_replica = {
        one.name: one.zone for one in [*world.replicas, *world.gone]
    }
    for zone, began, ended in world.evacuations:
        for at, replica, attempt in runs:
            if zone_by_replica[replica] != zone:
                continue
            if not began + _LEAVING_SECONDS <= at < ended:
                continue
            # While the store does not tell, nobody can know.
            if not any(
                began - _STABLE_SECONDS < moment < at
                for moment, _ in world.store.changes
            ):
                yield f"EVAC {attempt}: {at - began:.1f} s late at {replica}"


def _crashes(
    world: _world.World,
    runs: list[tuple[float, str, str]],
    outcomes: list[_clients.Outcome],
) -> Iterator[str]:
    """A request that has ended three replicas reaches three more at most.

    News of it takes some time, and daemons that are disturbed, or have no
    way to the store, may not have them.
    """
    crashing = {one.attempt: one.daemon for one in outcomes if one.crashes}
    ended = sorted(run for run in runs if run[2] in crashing)
    if len(ended) <= _CRASHES:
        return
    known_at = ended[_CRASHES - 1][0] + _STABLE_SECONDS
    late = [
        attempt
        for at, _, attempt in ended
        if at > known_at and _in_touch(world, crashing[attempt], at)
    ]
    if len(late) > _MOST_LATE:
        yield f"BUDGET: {len(late)} late of {len(ended)} replicas: {late}"


def _in_touch(world: _world.World, daemon: int, at: float) -> bool:
    """Say whether a daemon and the store had been well for a while."""
    disturbances = world.daemons[daemon].disturbances
    if any(began <= at <= ended for began, ended in disturbances):
        return False
    before = [change for change in world.store.changes if change[0] <= at]
    if not before:
        return True
    changed_at, mode = before[-1]
    is_stable = at - changed_at > _STABLE_SECONDS
    return is_stable and mode is _store.Mode.NORMAL
