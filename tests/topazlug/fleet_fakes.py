"""Daemons that admit requests, with plain calls in place of streams."""

from typing import Any
from typing import final

from tests.topazlug import claim_fakes
from tests.topazlug import routing_fixtures
from topazlug import _errors
from topazlug import _ids
from topazlug._generated import messages
from topazlug._generated import settings as _settings_types
from topazlug.targets import _targets


@final
class FakeFleet:
    """Entry and owner roles of several daemons; messages are plain calls.

    Attributes
    ----------
    unresponsive : set
        Daemons that accept messages and never answer.
    dropped_types : set
        Types of one-way messages that are dropped.
    """

    def __init__(
        self,
        *names: str,
        targets: list[_targets.Target],
        owners: Any = None,
        rows: Any = None,
        **routing: Any,
    ) -> None:
        self.clock = claim_fakes.FakeClock()
        self.unresponsive: set[str] = set()
        self.dropped_types: set[type] = set()
        self.entry_by_name = {
            name: routing_fixtures.Entry(
                name,
                targets=targets,
                daemons=list(owners or names),
                clock=self.clock,
                links=_FleetLinks(self, name),
                routing=_settings_types.RoutingSettings(**routing),
                rows=rows,
            )
            for name in names
        }

    def owned_load(self) -> int:
        """Return the total load that the owners count."""
        return sum(
            ledger.load
            for entry in self.entry_by_name.values()
            for ledger in entry.owner.ledger_by_replica.values()
        )


class _FleetLinks:
    def __init__(self, fleet: FakeFleet, sender: str) -> None:
        self._fleet = fleet
        self._sender = _ids.DaemonId(sender)

    def call(self, to, message, *, timeout):
        replies: list[Any] = []
        if to not in self._fleet.unresponsive:
            owner = self._fleet.entry_by_name[to].owner
            if isinstance(message, messages.Renew):
                owner.renew(self._sender, message)
                return messages.Ack()
            owner.handle_admission_request(
                self._sender, message, replies.append
            )
        if not replies:
            self._fleet.clock.advance(timeout)
            raise _errors.PeerUnreachable(to)
        return replies[0]

    def received_since(self, peer, moment):
        return False

    def send(self, to, message):
        if (
            to in self._fleet.unresponsive
            or type(message) in self._fleet.dropped_types
        ):
            return
        owner = self._fleet.entry_by_name[to].owner
        if isinstance(message, messages.Release):
            owner.release(self._sender, message)
        elif isinstance(message, messages.Renew):
            owner.renew(self._sender, message)
        elif isinstance(message, messages.Backoff):
            owner.record_backoff(self._sender, message)
        else:
            owner.displaced.record(message)
