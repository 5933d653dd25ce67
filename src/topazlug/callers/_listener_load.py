"""Whether a daemon is too late to read the requests of new callers."""

import time
from typing import final

import gevent

from topazlug import _logs

_log = _logs.logger("callers")
_INTERVAL_SECONDS = 0.1
# Callers with a deadline of one second try another daemon if a request is not
# read within a third of it. A processor quota that is used up delays a daemon
# by up to 0.1 s in ordinary operation.
_MAX_DELAY_SECONDS = 0.15
# New connections since the last measurement.
_MIN_ARRIVED = 8
# A delay is confirmed by a shorter timer, which is as late in an overload.
_CONFIRM_SECONDS = 0.05


@final
class ListenerLoad:
    """Measures by how much the daemon's own timers are late.

    A daemon that gets most new connections accepts more of them than it has
    processor time for. Their requests, and all others, then wait longer than
    their callers do. What is not accepted reaches another daemon at once.
    """

    def __init__(self) -> None:
        self._is_suspected = False
        self._arrived = 0
        self.is_late = False

    def record_arrival(self) -> None:
        """Record that a new connection has arrived."""
        self._arrived += 1

    def measure_forever(self) -> None:
        """Measure the delay of a timer again and again."""
        while True:
            seconds = self._next_seconds()
            began = time.monotonic()
            gevent.sleep(seconds)
            elapsed = time.monotonic() - began
            self.record_delay(elapsed - seconds)

    def _next_seconds(self) -> float:
        return _CONFIRM_SECONDS if self._is_suspected else _INTERVAL_SECONDS

    def record_delay(self, seconds: float) -> None:
        """Record by how much a timer was late.

        A single delay is no overload: the process may have been paused, and
        can read what has arrived meanwhile. Where few connections arrive,
        others are not the reason, and closing them frees no time.
        """
        arrived, self._arrived = self._arrived, 0
        # Few may have arrived since the delay that is to be confirmed.
        has_many = self._is_suspected or arrived >= _MIN_ARRIVED
        is_delayed = seconds > _MAX_DELAY_SECONDS and has_many
        was_late = self.is_late
        self.is_late = is_delayed and (was_late or self._is_suspected)
        self._is_suspected = is_delayed and not self.is_late
        if self.is_late and not was_late:
            _log.warning(
                "closing new connections: timers are {delay:.3f} s late",
                delay=round(seconds, 3),
            )
