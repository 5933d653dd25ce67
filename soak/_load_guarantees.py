"""Checks of the guarantees under high load."""

import collections
from collections.abc import Iterator
from collections.abc import Sequence
from http import HTTPStatus
import math
import statistics

from soak import _clients
from soak import _expected
from soak import _surging_team
from soak import _world

# A daemon counts the time from when it has read a request, its caller from
# before connecting; both may get the processor late.
_DEADLINE_SLACK_SECONDS = 0.5
# Shares apply while capacity is short, which owners notice within a second.
_SHARE_SECONDS = 1.0
# The least that a team may get of what its share allows.
_MIN_SHARE_RATIO = 0.9
# Chance alone exceeds three standard errors once in 700 comparisons.
_STANDARD_ERRORS = 3.0
_REJECTIONS = frozenset(
    {HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE}
)


def check_deadline(
    world: _world.World, outcome: _clients.Outcome
) -> Iterator[str]:
    """Check that no request waits for its answer past its deadline.

    The body of a stream may arrive later than that. Daemons that are frozen
    or that start at the time are exempt.
    """
    if outcome.completion is _clients.Completion.NO_CONNECTION:
        return
    until = outcome.head_at or outcome.ended
    seconds = until - outcome.started
    deadline = _clients.TIMEOUT_SECONDS[outcome.path]
    if seconds <= deadline + _DEADLINE_SLACK_SECONDS:
        return
    disruptions = world.daemons[outcome.daemon].disruptions
    if any(
        began <= until and outcome.started <= ended
        for began, ended in disruptions
    ):
        return
    yield (
        f"LATE {outcome.attempt}: waited {seconds:.1f} s of {deadline} s at "
        f"daemon {outcome.daemon}: {outcome.completion.value}"
    )


def check_shares(
    surges: Sequence[_surging_team.Surge],
    outcomes: list[_clients.Outcome],
) -> Iterator[str]:
    """Check that a team is served while another one surges.

    All teams have the same weight. Whatever the capacity, one that asks for
    less than another then gets at least as large a part of what it asks for,
    as faults affect all teams alike. Requests that failed otherwise than by a
    rejection don't count.
    """
    served = _served_during(surges, outcomes)
    for (team, path), own in sorted(served.items()):
        surging = served.get((_expected.SURGING_TEAM, path), [])
        if team == _expected.SURGING_TEAM or len(surging) < len(own):
            continue
        if statistics.mean(own) < _min_served_ratio(surging, len(own)):
            yield (
                f"SHARE {path}: {sum(own)} of {len(own)} of team {team} were "
                f"served, {sum(surging)} of {len(surging)} of the team that "
                f"surged"
            )


def describe_shares(
    surges: Sequence[_surging_team.Surge],
    outcomes: list[_clients.Outcome],
) -> str:
    """Return how many streams of each team were served during surges.

    Without fair shares the teams are served in proportion to what they ask
    for. The streams of one run are too few for a check of the equal shares of
    the guarantee: three standard errors exceed the difference.
    """
    return ", ".join(
        f"{sum(served)} of {len(served)} streams of {team} in surges"
        for (team, path), served in sorted(
            _served_during(surges, outcomes).items()
        )
        if path == _expected.STREAM
    )


def _served_during(
    surges: Sequence[_surging_team.Surge],
    outcomes: list[_clients.Outcome],
) -> dict[tuple[str, str], list[bool]]:
    """Return by team and path whether each request was served or rejected."""
    served: dict[tuple[str, str], list[bool]]
    served = collections.defaultdict(list)
    for one in outcomes:
        if one.crashes or not _is_during(surges, one.started):
            continue
        if one.status == HTTPStatus.OK or one.status in _REJECTIONS:
            is_served = one.status == HTTPStatus.OK
            served[one.team, one.path].append(is_served)
    return served


def _is_during(surges: Sequence[_surging_team.Surge], at: float) -> bool:
    return any(one.began + _SHARE_SECONDS <= at < one.ended for one in surges)


def _min_served_ratio(surging: list[bool], count: int) -> float:
    ratio = _MIN_SHARE_RATIO * statistics.mean(surging)
    variance = ratio * (1 - ratio) * (1 / count + 1 / len(surging))
    return ratio - _STANDARD_ERRORS * math.sqrt(variance)
