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
# Overload begins with shorter delays than this.
_MIN_PAUSE_SECONDS = 0.4


@final
class ListenerLoad:
    """Measures by how much the daemon's own timers are late.

    A daemon that gets most new connections accepts more of them than it has
    processor time for. Their requests, and all others, then wait longer than
    their callers do. What is not accepted reaches another daemon at once.
    """

    def __init__(self) -> None:
        self._was_delayed = False
        self._arrived = 0
        self.is_late = False

    def record_arrival(self) -> None:
        """Record that a new connection has arrived."""
        self._arrived += 1

    def measure_forever(self) -> None:
        """Measure the delay of a timer again and again."""
        while True:
            began = time.monotonic()
            gevent.sleep(_INTERVAL_SECONDS)
            elapsed = time.monotonic() - began
            self.record_delay(elapsed - _INTERVAL_SECONDS)

    def record_delay(self, seconds: float) -> None:
        """Record by how much a timer was late.

        A single long delay is no overload: the process may have been paused,
        and can read what has arrived meanwhile. Where few connections arrive,
        others are not the reason, and closing them frees no time.
        """
        arrived, self._arrived = self._arrived, 0
        is_delayed = seconds > _MAX_DELAY_SECONDS and arrived >= _MIN_ARRIVED
        is_pause = seconds > _MIN_PAUSE_SECONDS and not self._was_delayed
        was_late, self.is_late = self.is_late, is_delayed and not is_pause
        self._was_delayed = is_delayed
        if self.is_late and not was_late:
            _log.warning(
                "closing new connections: timers are {delay:.3f} s late",
                delay=round(seconds, 3),
            )
