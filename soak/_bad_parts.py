"""Prompt parts that crash replicas, and herds of connections."""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
from http import client as http_client
import math
import random
import time
from typing import NamedTuple

import gevent
from gevent import socket

from soak import _clients
from soak import _expected

_PAUSE_SECONDS = (0.2, 0.8)
# Crashes after which daemons have to know the part, and the requests with it
# that may still reach replicas some seconds later.
_CRASH_LIMIT = 5
_MAX_LATE = 3
_KNOWN_SECONDS = 3.0
# More than a daemon of the soak accepts.
_HERD_CONNECTIONS = 450
_NOTICE_SECONDS = 1.0
_MIN_TRIES = 20
_MIN_ANSWERED = 0.75
# Requests that crash nothing and may be refused as if they did: those that
# were held back for a moment.
_MAX_BLAMED_SHARE = 0.05
_MAX_BLAMED = 20
# A request that was answered this shortly before is not the cause, and a wrong
# refusal ends within this time.
_ANSWERED_SECONDS = 3.0
_LAPSE_SECONDS = 16.0
_OK = 200


class Herd(NamedTuple):
    """A time in which idle connections take all places of a daemon."""

    daemon: int
    began: float
    ended: float


def send_until(
    caller: _clients.Caller, daemons: int, until: float, seed: int
) -> None:
    """Send requests with the bad part, no two alike, until a time."""
    generator = random.Random(f"bad part {seed}")
    while time.monotonic() < until:
        number = generator.randrange(daemons)
        outcome = caller.send(number, _expected.STREAM, has_bad_part=True)
        caller.outcomes.append(outcome)
        gevent.sleep(generator.uniform(*_PAUSE_SECONDS))


def hold_idle(address: tuple[str, int], seconds: float) -> None:
    """Hold as many idle connections to a daemon as it accepts, or more."""
    held = []
    end = time.monotonic() + seconds
    try:
        for _ in range(_HERD_CONNECTIONS):
            held.append(socket.create_connection(address, timeout=1.0))
    except (OSError, http_client.HTTPException):
        # The daemon may be stopped meanwhile.
        pass
    gevent.sleep(max(0.0, end - time.monotonic()))
    for sock in held:
        sock.close()


def check_bad_part(
    runs: Sequence[tuple[float, str, str]],
    outcomes: Sequence[_clients.Outcome],
    has_current_data: Callable[[int, float], bool],
) -> Iterator[str]:
    """Check that few requests with the bad part arrive once it is known."""
    daemon_by_attempt = {
        one.attempt: one.daemon for one in outcomes if one.has_bad_part
    }
    arrived = sorted(run for run in runs if run[2] in daemon_by_attempt)
    crashed_at: dict[str, float] = {}
    for at, replica, _ in arrived:
        crashed_at.setdefault(replica, at)
    if len(crashed_at) < _CRASH_LIMIT:
        return
    known_at = sorted(crashed_at.values())[_CRASH_LIMIT - 1] + _KNOWN_SECONDS
    late = [
        attempt
        for at, _, attempt in arrived
        if at > known_at and has_current_data(daemon_by_attempt[attempt], at)
    ]
    if len(late) > _MAX_LATE:
        yield (
            f"BUDGET: {len(late)} of {len(arrived)} requests with a bad part "
            f"reached replicas after it was to be known: {late}"
        )


def check_sound_requests(
    outcomes: Sequence[_clients.Outcome],
) -> Iterator[str]:
    """Check that few requests are refused for crashes of other causes.

    Refusals count if the same request was answered shortly before the first
    of them, by any daemon, or if they go on for long. What nobody has answered
    since its first crash may be the cause for all that a daemon knows.
    """
    sound = [one for one in outcomes if not (one.crashes or one.has_bad_part)]
    by_request: dict[tuple[str, str], list[_clients.Outcome]] = {}
    for one in sorted(sound, key=lambda one: one.started):
        by_request.setdefault((one.path, one.team), []).append(one)
    blamed = [
        one for group in by_request.values() for one in _wrongly_blamed(group)
    ]
    if len(blamed) > max(_MAX_BLAMED, _MAX_BLAMED_SHARE * len(sound)):
        yield (
            f"SHORT: {len(blamed)} of {len(sound)} requests that crash no "
            f"replica were refused as blocked: {blamed[0].attempt} ..."
        )


def _wrongly_blamed(
    outcomes: Sequence[_clients.Outcome],
) -> Iterator[_clients.Outcome]:
    """Yield the refusals of one request, in order, that count."""
    answered_at = refused_at = -math.inf
    is_wrong = False
    for one in outcomes:
        if b'"request_blocked"' in one.body:
            if refused_at == -math.inf:
                refused_at = one.started
                is_wrong = one.started - answered_at < _ANSWERED_SECONDS
            if is_wrong or one.started - refused_at > _LAPSE_SECONDS:
                yield one
        elif one.status == _OK:
            answered_at = one.ended
            refused_at = -math.inf


def check_herds(
    herds: Sequence[Herd],
    outcomes: Sequence[_clients.Outcome],
    is_undisrupted: Callable[[int, float], bool],
) -> Iterator[str]:
    """Check that a daemon reads requests beside a herd of connections."""
    for herd in herds:
        tries = [
            one
            for one in outcomes
            if one.daemon == herd.daemon
            and herd.began + _NOTICE_SECONDS <= one.started < herd.ended
            and is_undisrupted(one.daemon, one.started)
        ]
        if len(tries) < _MIN_TRIES:
            continue
        unread = sum(
            one.completion is _clients.Completion.TIMED_OUT and not one.status
            for one in tries
        )
        if unread > (1 - _MIN_ANSWERED) * len(tries):
            yield (
                f"RECOVER: {unread} of {len(tries)} requests had no answer of "
                f"daemon {herd.daemon} beside {_HERD_CONNECTIONS} connections"
            )
