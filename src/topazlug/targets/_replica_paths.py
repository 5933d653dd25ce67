"""Whether this daemon can connect to replicas at all.

A daemon may lose its network path to all replicas while callers and other
daemons still reach it. Each replica then looks as if it had failed, although
all of them are healthy. A check that connects to some other replicas tells
the two apart: if none of them can be reached either, this daemon is cut off.
"""

from collections.abc import Iterable
import math
from typing import final

from topazlug import _clock
from topazlug import _logs
from topazlug.targets import _target

_log = _logs.logger("replicas")
# Minimum time between two checks. While many requests fail at one replica,
# each of them would otherwise connect to several others.
_MIN_CHECK_INTERVAL_SECONDS = 0.1
# Replicas that a check connects to, in different zones if there are any.
_CHECKED_REPLICAS = 3


@final
class ReplicaPaths:
    """Tracks whether any replica accepts connections from this daemon.

    Parameters
    ----------
    clock : Clock
        Time.

    Attributes
    ----------
    is_cut_off : bool
        Whether no replica could be reached in the last check.
    cut_count : int
        Number of times that this daemon has been cut off.
    """

    def __init__(self, *, clock: _clock.Clock) -> None:
        self._clock = clock
        self._reached_at = -math.inf
        self._checked_at = -math.inf
        self._cut_off_at = 0.0
        self._turn = 0
        self.is_cut_off = False
        self.cut_count = 0

    def needs_check(self, *, since: float) -> bool:
        """Return whether a failed connection calls for a check.

        It does not if a replica has accepted a connection meanwhile.

        Parameters
        ----------
        since : float
            Monotonic seconds at which the connection was begun.
        """
        if self.is_cut_off or self._reached_at >= since:
            return False
        age = self._clock.monotonic() - self._checked_at
        return age >= _MIN_CHECK_INTERVAL_SECONDS

    def choose(
        self, targets: Iterable[_target.Target], *, failed: str = ""
    ) -> list[_target.Target]:
        """Return the replicas to connect to in the next check.

        Parameters
        ----------
        targets : iterable of Target
            All listed replicas.
        failed : str
            The replica that no connection could be established to, if any.
        """
        found = [one for one in targets if one.replica != failed]
        if not found:
            return []
        self._turn += 1
        start = self._turn * _CHECKED_REPLICAS % len(found)
        chosen: dict[str, _target.Target] = {}
        rest: list[_target.Target] = []
        for one in [*found[start:], *found[:start]]:
            if chosen.setdefault(one.zone, one) is not one:
                rest.append(one)
        return [*chosen.values(), *rest][:_CHECKED_REPLICAS]

    def record_check(self, *, reached: int, checked: int) -> None:
        """Record to how many replicas the connections of a check were made.

        A check of no replica shows nothing.
        """
        self._checked_at = self._clock.monotonic()
        if reached:
            self.record_reached()
        elif checked and not self.is_cut_off:
            self.is_cut_off = True
            self.cut_count += 1
            self._cut_off_at = self._checked_at
            _log.warning(
                "no replica accepts connections from this daemon: "
                "{checked} checked",
                checked=checked,
            )

    def record_reached(self) -> None:
        """Record that a replica has accepted a connection."""
        now = self._clock.monotonic()
        self._reached_at = now
        if self.is_cut_off:
            self.is_cut_off = False
            _log.warning(
                "replicas accept connections from this daemon again, after "
                "{seconds:.1f} s",
                seconds=now - self._cut_off_at,
            )
