"""This daemon's part in counting replicas' load for its fleet."""

from collections.abc import Mapping
from typing import Any
from typing import final

from topazlug import _clock
from topazlug import _ids
from topazlug import _tasks
from topazlug._generated import settings as _settings_types
from topazlug.peers import _peers
from topazlug.routing import _ledger
from topazlug.routing import _owner
from topazlug.routing import _owner_client
from topazlug.routing import _owner_endpoint
from topazlug.routing import _ownership
from topazlug.targets import _targets

# A replica may hold this multiple of its group's mean load, and so many
# requests beyond it. No replica may get requests above 2 times the mean and
# 3; what is left covers the time that a report of the mean takes.
_BOUND = 2.0
_ALLOWANCE = 2
# A word of an owner in another zone takes some 3 ms; one that takes ten times
# as long belongs to a daemon that is frozen, cut off or gone.
_OWNER_SECONDS = 0.03
# Means of small groups move with each request; ten reports in a second cost
# an owner a hundredth of what its requests do.
_REPORT_SECONDS = 0.1
_MANY_SLOTS = 1 << 20
# Part of a replica's slots that an owner lets in just after its start.
_START_PART = 0.5
# Between two looks for daemons that have not been heard of.
_LOOK_SECONDS = 0.5


class _Rules:
    """The same for all groups."""

    def bound_of(self, group: _ids.GroupName) -> float:
        """Give the multiple of the mean that no replica may pass."""
        return _BOUND

    def allowance_of(self, group: _ids.GroupName) -> int:
        """Give the load units that a replica may hold beyond it."""
        return _ALLOWANCE

    def slots_of(self, group: _ids.GroupName) -> int:
        """Give no bound: each replica lists its own slots."""
        return _MANY_SLOTS

    def batch_reserve_of(self, group: _ids.GroupName) -> float:
        """Give none: ranks go with each request."""
        return 0.0

    def weight_of(self, team: _ids.TeamName) -> float:
        """Give the same to all: nothing waits in an owner's queue."""
        return 1.0


@final
class FleetOwners:
    """Counts the replicas that this daemon owns, and asks other owners.

    Parameters
    ----------
    daemon : DaemonId
        This daemon.
    links : PeerLinks
        Streams to peers.
    targets : TargetDirectory
        Replicas.
    clock : Clock
        Time.

    Attributes
    ----------
    asks : OwnerClient
        Asks for places.
    """

    def __init__(
        self,
        *,
        daemon: _ids.DaemonId,
        links: _peers.PeerLinks,
        targets: _targets.TargetDirectory,
        clock: _clock.Clock,
    ) -> None:
        self._targets = targets
        self._clock = clock
        self._daemons: Mapping[_ids.DaemonId, Any] = {daemon: None}
        self._ownership = _ownership.Ownership()
        routing = _settings_types.RoutingSettings(
            owner_timeout=_OWNER_SECONDS, load_interval=_REPORT_SECONDS
        )
        owner = _owner.Owner(
            daemon=daemon,
            ownership=self._ownership,
            targets=targets,
            rules=_Rules(),
            routing=routing,
            clock=clock,
            startup_fraction=_START_PART,
        )
        self._owner = owner
        self.asks = _owner_client.OwnerClient(
            daemon=daemon,
            owner=owner,
            ownership=self._ownership,
            links=links,
            timeout=_OWNER_SECONDS,
            clock=clock,
        )
        self._duties = _owner_endpoint.OwnerEndpoint(
            daemon=daemon,
            owner=owner,
            held_placements=self.asks.held_placements,
            links=links,
            usable=lambda: self._daemons,
            routing=routing,
            clock=clock,
        )
        self._duties.register()
        self._ownership.on_transfer(self._duties.on_transfer)
        targets.on_change(self._update)

    def take_daemons(self, daemons: Mapping[_ids.DaemonId, Any]) -> None:
        """Take the daemons that may own."""
        self._daemons = daemons
        self._update()

    def _update(self) -> None:
        replicas = self._targets.target_by_replica
        self._owner.reset_restarted_replicas()
        self._ownership.update(daemons=self._daemons, replicas=replicas)

    def owner_of(self, replica: _ids.ReplicaId) -> _ids.DaemonId | None:
        """Give who counts a replica, as this daemon sees it."""
        return self._ownership.owner_of(replica)

    def ledger_of(
        self, replica: _ids.ReplicaId
    ) -> _ledger.ReplicaLedger | None:
        """Give what this daemon counts on a replica that it owns."""
        return self._owner.ledger_by_replica.get(replica)

    def report(self) -> None:
        """Tell collectors the load of the replicas owned here, if due."""
        self._duties.report()

    @property
    def reporting(self) -> bool:
        """Say whether a report is on its way."""
        return self._duties.reporting

    def drop_silent(self) -> None:
        """Free the places of daemons that have not been heard of."""
        replicas = self._targets.target_by_replica
        owners = {self._ownership.owner_of(replica) for replica in replicas}
        self._duties.drop_silent(len(owners))

    def _drop_silent_forever(self) -> None:
        while True:
            self._clock.sleep(_LOOK_SECONDS)
            self.drop_silent()

    def start(self) -> list[Any]:
        """Keep owners informed from now on; give the greenlets."""
        duties = (
            self._duties.renew_forever,
            self._duties.report_forever,
            self._drop_silent_forever,
        )
        return [_tasks.spawn(duty, clock=self._clock) for duty in duties]
