"""The clock as an interface, so that tests decide what time it is."""

import datetime
import time
from typing import Protocol
from typing import final

import gevent


class Clock(Protocol):
    """What the program asks of time."""

    def now(self) -> datetime.datetime:
        """Give the wall time in UTC."""

    def monotonic(self) -> float:
        """Give seconds that never run backwards, from any origin."""

    def sleep(self, seconds: float) -> None:
        """Let other greenlets run for this many seconds."""


@final
class SystemClock:
    """The machine's own clock."""

    def now(self) -> datetime.datetime:
        """Give the wall time in UTC."""
        return datetime.datetime.now(datetime.timezone.utc)

    def monotonic(self) -> float:
        """Give seconds since the machine's boot."""
        return time.monotonic()

    def sleep(self, seconds: float) -> None:
        """Let other greenlets run for this many seconds."""
        gevent.sleep(seconds)
