"""Ceilings of teams over the whole fleet, by slices that owners lend.

A team's owner daemon (ranked like a replica's) lends parts of the ceiling to
the daemons that see the team's demand. A slice lapses, so what a dead daemon
held comes back by itself.
"""

from typing import Protocol
from typing import final

from topazlug._generated import messages
from topazlug._generated import table


class Ticket(Protocol):
    """Leave for one request to run."""

    def give_back(self) -> None:
        """Say that the request has ended; a second time does nothing."""


class Quotas(Protocol):
    """What grants tickets."""

    def take(self, team: table.TeamRow, *, deadline: float) -> Ticket:
        """Take a ticket.

        Raises
        ------
        TeamCeiling
            The team uses all that its row allows.
        """

    def use(self) -> list[messages.TeamUse]:
        """Give what teams use of this daemon."""


@final
class _Free:
    def give_back(self) -> None:
        return


@final
class NoQuotas:
    """Grants every ticket."""

    def take(self, team: table.TeamRow, *, deadline: float) -> Ticket:
        """Take a ticket; there is always one."""
        return _Free()

    def use(self) -> list[messages.TeamUse]:
        """Give what teams use; nothing is counted."""
        return []
