"""The clock as an interface, so that tests can control time."""

import datetime
import time
from typing import Protocol
from typing import final

import gevent


class Clock(Protocol):
    """Source of time."""

    def now(self) -> datetime.datetime:
        """Return the wall time in UTC."""

    def monotonic(self) -> float:
        """Return seconds since any origin; they never decrease."""

    def sleep(self, seconds: float) -> None:
        """Let other greenlets run for this many seconds."""


@final
class SystemClock:
    """The system clock."""

    def now(self) -> datetime.datetime:
        """Return the wall time in UTC."""
        return datetime.datetime.now(datetime.timezone.utc)

    def monotonic(self) -> float:
        """Return seconds since the machine's boot."""
        return time.monotonic()

    def sleep(self, seconds: float) -> None:
        """Let other greenlets run for this many seconds."""
        gevent.sleep(seconds)
