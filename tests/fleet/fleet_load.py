"""A light load on a fleet that runs until it is stopped."""

from concurrent import futures
import threading
from typing import final

from bench.fleets import fleet as _fleet
from bench.fleets import fleet_calls
from tests.fleet import fleet_fixtures


@final
class Load:
    """Callers that each send one chat after the other.

    Parameters
    ----------
    fleet : Fleet
        The fleet; its daemons are called in turn, including replacements.
    callers : int
        Number of concurrent callers.
    tokens : int
        Length of an answer.
    """

    def __init__(
        self, fleet: _fleet.Fleet, *, callers: int = 8, tokens: int = 8
    ) -> None:
        self.answers: list[fleet_calls.Answer] = []
        self._fleet = fleet
        self._callers = callers
        self._tokens = tokens
        self._stop_requested = threading.Event()
        self._executor = futures.ThreadPoolExecutor(callers)

    def __enter__(self) -> "Load":
        for number in range(self._callers):
            self._executor.submit(self._send_chats, number)
        return self

    def __exit__(self, *error: object) -> None:
        self.stop()

    def stop(self) -> None:
        """Send no further chats, and wait for the pending answers."""
        self._stop_requested.set()
        self._executor.shutdown()

    def failures(self) -> list[str]:
        """Return a description of each call without a complete answer.

        A connection refused before any byte was sent doesn't count, as the
        caller's library then tries the next address.
        """
        accepted = (fleet_calls.Ending.WHOLE, fleet_calls.Ending.REFUSED)
        return [
            f"{answer.ending.value} {answer.status} {answer.body[-200:]!r}"
            for answer in self.answers
            if answer.ending not in accepted
        ]

    def wait_for_more(self, count: int) -> None:
        """Wait until this many further calls have ended."""
        expected = len(self.answers) + count
        fleet_fixtures.eventually(lambda: len(self.answers) >= expected)

    def _send_chats(self, number: int) -> None:
        while not self._stop_requested.is_set():
            daemons = self._fleet.daemons
            daemon = daemons[number % len(daemons)]
            number += 1
            answer = fleet_fixtures.chat(daemon, tokens=self._tokens)
            self.answers.append(answer)
            if answer.ending is fleet_calls.Ending.REFUSED:
                self._stop_requested.wait(0.01)
