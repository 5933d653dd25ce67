"""Callers that send on at once on kept connections of daemons that stop."""

from collections.abc import Collection
from collections.abc import Iterator
from collections.abc import Sequence
import random
import time
from typing import NamedTuple

import gevent

from soak import _clients
from soak import _expected

CALLERS = 6
GRACE_SECONDS = 8.0
# A request sent earlier than this may be cut off by the end of the stop.
_EXCUSED_SECONDS = 3.0
# From here until the daemon is gone, a stream that breaks was cut off by it.
_CUT_SECONDS = 7.2
_EXIT_SLACK_SECONDS = 0.5
_RECONNECT_SECONDS = 0.05


class Stop(NamedTuple):
    """A daemon that was told to stop, in monotonic seconds.

    Attributes
    ----------
    daemon : int
        Number of the daemon.
    began : float
        When it was told first.
    ended : float
        When it had exited.
    is_alone : bool
        Whether nothing else disrupted it meanwhile.
    """

    daemon: int
    began: float
    ended: float
    is_alone: bool


def send_until(
    caller: _clients.Caller, daemons: int, until: float, seed: str
) -> None:
    """Send one long stream after the other, without a pause between them.

    The next daemon is asked if a connection ends or a request is refused.
    """
    generator = random.Random(f"eager {seed}")
    daemon = generator.randrange(daemons)
    while time.monotonic() < until:
        outcome = caller.send(daemon, _expected.LONG)
        caller.outcomes.append(outcome)
        if outcome.status != 200 or _clients.outcome_breaks(outcome):
            daemon = (daemon + 1) % daemons
            gevent.sleep(_RECONNECT_SECONDS)


def check(
    outcomes: Sequence[_clients.Outcome],
    stops: Sequence[Stop],
    ran: Collection[str],
) -> Iterator[str]:
    """Check that stopping daemons cut off nothing that was sent late.

    Parameters
    ----------
    outcomes : sequence of Outcome
        The long streams.
    stops : sequence of Stop
        All planned stops.
    ran : collection of str
        Attempts that a replica began to run.
    """
    for stop in stops:
        seconds = stop.ended - stop.began
        if stop.is_alone and seconds > GRACE_SECONDS + _EXIT_SLACK_SECONDS:
            yield f"STOP daemon {stop.daemon}: took {seconds:.1f} s"
    for one in outcomes:
        if one.status == 503 and one.attempt in ran:
            yield f"REFUSED {one.attempt}: 503, and ran"
        if one.completion is _clients.Completion.ANSWERED:
            yield from _check_body(one)
        elif one.attempt in ran:
            yield from _check_cut(one, stops)


def _check_body(one: _clients.Outcome) -> Iterator[str]:
    if one.status != 200:
        return
    numbers = [number for number, _ in _expected.parse_events(one.body)]
    if numbers != list(range(1, _expected.LONG_EVENTS + 1)):
        yield f"MIXED {one.attempt}: events {numbers} of a complete stream"


def _check_cut(one: _clients.Outcome, stops: Sequence[Stop]) -> Iterator[str]:
    for stop in stops:
        sent = one.started - stop.began
        ended = one.ended - stop.began
        if not stop.is_alone or one.daemon != stop.daemon:
            continue
        if one.started >= stop.ended:
            # It was sent to the process that was started afterwards.
            continue
        if sent > _EXCUSED_SECONDS and (
            _CUT_SECONDS < ended < GRACE_SECONDS + 1.0
        ):
            yield (
                f"LOST {one.attempt}: sent {sent:.2f} s after the signal, "
                f"ran, cut off {ended:.2f} s after it"
            )
