"""A team that sends many times its usual load for some seconds."""

import time
from typing import NamedTuple

import gevent

from soak import _clients
from soak import _expected

KEY = "surging-key"
_USUAL_CALLERS = 3
_SURGE_FACTOR = 8
_MIN_SURGE_SECONDS = 2.5


class Surge(NamedTuple):
    """A time span in which the team sent many times its usual load."""

    began: float
    ended: float


class SurgingTeam:
    """The callers of one team.

    Parameters
    ----------
    addresses : list of (str, int)
        The daemons' listeners.
    seed : int
        Determines the requests.
    until : float
        When it stops sending, at the same time as the other teams: a surge
        without them would show nothing of how capacity is shared.
    has_waves : bool
        Whether its callers send in clumps, as those of the other teams then
        do. Shares are compared at the same load.
    """

    def __init__(
        self,
        *,
        addresses: list[tuple[str, int]],
        seed: int,
        until: float,
        has_waves: bool = False,
    ) -> None:
        self._has_waves = has_waves
        self._until = until
        self._addresses = addresses
        self._seed = seed
        self._is_surging = False
        self._callers: list[_clients.Caller] = []
        self.surges: list[Surge] = []

    @property
    def outcomes(self) -> list[_clients.Outcome]:
        """Return the outcomes of all its callers."""
        return [one for caller in self._callers for one in caller.outcomes]

    def run(self) -> None:
        """Send the usual load."""
        self._send(_USUAL_CALLERS, self._until)

    def surge(self, number: int, duration: float) -> None:
        """Send many times the usual load for a while, as a kind of fault."""
        if self._is_surging:
            return
        self._is_surging = True
        began = time.monotonic()
        ended = min(began + _MIN_SURGE_SECONDS + duration, self._until)
        self._send(_USUAL_CALLERS * (_SURGE_FACTOR - 1), ended)
        self.surges.append(Surge(began, ended))
        self._is_surging = False

    def _send(self, callers: int, until: float) -> None:
        senders = []
        for _ in range(callers):
            caller = _clients.Caller(
                addresses=self._addresses,
                key=KEY,
                seed=f"{_expected.SURGING_TEAM} {self._seed} "
                f"{len(self._callers)}",
                team=_expected.SURGING_TEAM,
                sends_context=True,
                has_waves=self._has_waves,
            )
            self._callers.append(caller)
            senders.append(gevent.spawn(caller.run, until))
        gevent.joinall(senders, raise_error=True)
