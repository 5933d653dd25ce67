"""Checks that streams go on, and only at the version that began them."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
from typing import Any

from soak import _clients
from soak import _expected

# Of the streams that callers take up, at least this part of the share of new
# streams that begin goes on.
_MIN_RATIO = 0.5
_MIN_TAKEN_UP = 12
# Replicas that must serve for that, from some seconds before until after.
_MIN_REPLICAS = 2
_SETTLING_SECONDS = 3.0


def expected_body(outcome: _clients.Outcome) -> bytes:
    """Return what a complete answer to a stream request has to be."""
    events = _expected.parse_events(outcome.body)
    version = events[0][1] if events else _expected.VERSIONS[0]
    if outcome.taken_up is None:
        return _expected.stream_body(outcome.attempt, version)
    stream, after = outcome.taken_up
    return _expected.stream_body(stream, version, after=after)


def check_versions(outcomes: Iterable[_clients.Outcome]) -> Iterator[str]:
    """Check that no stream holds events of two versions."""
    found: dict[str, dict[str, str]] = collections.defaultdict(dict)
    for outcome in _streams(outcomes):
        stream = outcome.taken_up.stream if outcome.taken_up else ""
        for _, version in _expected.parse_events(outcome.body):
            versions = found[stream or outcome.attempt]
            versions.setdefault(version, outcome.attempt)
    for stream, versions in found.items():
        if len(versions) > 1:
            yield f"ORDER {stream}: attempts by version: {versions}"


def check_taken_up(
    replicas: Sequence[Any],
    outcomes: Iterable[_clients.Outcome],
    has_current_data: Callable[[int, float], bool],
) -> Iterator[str]:
    """Check that most streams go on while two replicas of a version serve."""
    version_by_stream = {}
    begun: list[bool] = []
    taken_up: list[bool] = []
    for outcome in _streams(outcomes):
        events = _expected.parse_events(outcome.body)
        if outcome.taken_up is None and events:
            version_by_stream[outcome.attempt] = events[0][1]
        if not has_current_data(outcome.daemon, outcome.started):
            continue
        if outcome.taken_up is None:
            begun.append(bool(events))
            continue
        version = version_by_stream[outcome.taken_up.stream]
        if _serving(replicas, version, outcome) >= _MIN_REPLICAS:
            taken_up.append(bool(events))
    if len(taken_up) < _MIN_TAKEN_UP:
        return
    share = sum(taken_up) / len(taken_up)
    new_share = sum(begun) / max(1, len(begun))
    if share < _MIN_RATIO * new_share:
        yield (
            f"LOST: {sum(taken_up)} of {len(taken_up)} streams that were "
            f"taken up go on, {sum(begun)} of {len(begun)} new ones begin"
        )


def describe(outcomes: Iterable[_clients.Outcome]) -> str:
    """Return how many streams were taken up, and how many of them went on."""
    found = [one for one in _streams(outcomes) if one.taken_up is not None]
    went_on = sum(bool(_expected.parse_events(one.body)) for one in found)
    return f"{went_on} of {len(found)} streams taken up went on"


def _streams(
    outcomes: Iterable[_clients.Outcome],
) -> Iterator[_clients.Outcome]:
    for outcome in outcomes:
        if outcome.path == _expected.STREAM:
            yield outcome


def _serving(
    replicas: Sequence[Any], version: str, outcome: _clients.Outcome
) -> int:
    """Return the replicas of a version that serve around an attempt."""
    return sum(
        one.version == version
        and one.started_at <= outcome.started - _SETTLING_SECONDS
        and one.replaced_at >= outcome.ended
        and one.drained_at is None
        and not any(
            disruption.began <= outcome.ended
            and disruption.ended >= outcome.started - _SETTLING_SECONDS
            for disruption in one.disruptions
        )
        for one in replicas
    )
