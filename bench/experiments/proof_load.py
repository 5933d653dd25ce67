"""Light background load for `proofs`, and statistics of its timings."""

from concurrent import futures
import itertools
import threading
from typing import final

import msgspec

from bench.fleets import fleet as _fleet
from bench.fleets import fleet_calls

KEY = "demo-frontdesk"
MODEL = "model-1"
_question_numbers = itertools.count(1)


def chat(daemon: _fleet.DaemonProcess, tokens: int) -> fleet_calls.Answer:
    """Send a unique question in a new chat."""
    return fleet_calls.chat(
        daemon.url,
        key=KEY,
        question=f"question {next(_question_numbers)}",
        model=MODEL,
        tokens=tokens,
    )


@final
class Load:
    """Callers that start new chats, each at a steady rate.

    Parameters
    ----------
    daemons : list of DaemonProcess
        Called in turn.
    callers : int
        Number of concurrent callers.
    pause : float
        Seconds between an answer and the next question.
    tokens : int
        Length of an answer in tokens.
    """

    def __init__(
        self,
        daemons: list[_fleet.DaemonProcess],
        *,
        callers: int,
        pause: float,
        tokens: int = 4,
    ) -> None:
        self.answers: list[fleet_calls.Answer] = []
        self._daemons = daemons
        self._callers = callers
        self._pause = pause
        self._tokens = tokens
        self._stopped = threading.Event()
        self._executor = futures.ThreadPoolExecutor(callers)

    def __enter__(self) -> "Load":
        for number in range(self._callers):
            self._executor.submit(self._run_caller, number)
        return self

    def __exit__(self, *error: object) -> None:
        self._stopped.set()
        self._executor.shutdown()

    def _run_caller(self, number: int) -> None:
        while not self._stopped.wait(self._pause):
            daemon = self._daemons[number % len(self._daemons)]
            number += 1
            self.answers.append(chat(daemon, self._tokens))

    def failures(self) -> dict[str, int]:
        """Count the calls without a complete answer, by ending and code."""
        counts: dict[str, int] = {}
        for answer in self.answers:
            if answer.ending is not fleet_calls.Ending.WHOLE:
                name = f"{answer.ending.value} {answer.code}".strip()
                counts[name] = counts.get(name, 0) + 1
        return counts


class Spread(msgspec.Struct, frozen=True):
    """Distribution of a set of durations in seconds."""

    count: int
    p50: float
    p99: float
    longest: float


def spread(values: list[float]) -> Spread:
    """Return the distribution of durations in seconds."""
    ordered = sorted(values)
    last = len(ordered) - 1
    return Spread(
        count=len(ordered),
        p50=round(ordered[last // 2], 4),
        p99=round(ordered[round(last * 0.99)], 4),
        longest=round(ordered[last], 4),
    )


def first_token_spread(
    answers: list[fleet_calls.Answer], begin: float, end: float
) -> Spread:
    """Return the distribution of times to the first token.

    Only calls that started between `begin` and `end` count.
    """
    return spread(
        [
            answer.first - answer.started
            for answer in answers
            if begin <= answer.started < end and answer.first
        ]
    )
