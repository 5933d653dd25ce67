"""The owner role of a forwarding daemon, and its client of other owners."""

from collections.abc import Mapping
from typing import Any
from typing import final

import msgspec

from topazlug import _clock
from topazlug import _ids
from topazlug import _tasks
from topazlug._generated import messages
from topazlug._generated import settings as _settings_types
from topazlug.peers import _peers
from topazlug.routing import _context_lister
from topazlug.routing import _context_recoveries
from topazlug.routing import _context_requests
from topazlug.routing import _ledger
from topazlug.routing import _outcome_ejection
from topazlug.routing import _outcome_reports
from topazlug.routing import _owner
from topazlug.routing import _owner_client
from topazlug.routing import _owner_endpoint
from topazlug.routing import _owner_features
from topazlug.routing import _ownership
from topazlug.targets import _targets

# A replica may hold this multiple of its group's mean load plus the allowance.
# The limit that must not be exceeded is 2 times the mean plus 3. The
# difference covers the time until a change of the mean is reported.
_BOUND_FACTOR = 2.0
_ALLOWANCE = 2
# An owner in another zone replies within some 3 ms; one that takes ten times
# as long is frozen, disconnected or gone.
_OWNER_TIMEOUT_SECONDS = 0.03
# The mean of a small group changes with each request. Ten reports a second
# cost an owner a hundredth of what its requests do.
_REPORT_INTERVAL_SECONDS = 0.1
_UNLIMITED_SLOTS = 1 << 20
# Fraction of a replica's slots that an owner admits just after its start.
_STARTUP_FRACTION = 0.5
# Interval of checks for daemons that stopped renewing.
_DROP_INTERVAL_SECONDS = 0.5


class _UniformRules:
    """Rules that are the same for all groups and teams."""

    def bound_of(self, group: _ids.GroupName) -> float:
        """Return the multiple of the mean load that bounds a replica."""
        return _BOUND_FACTOR

    def allowance_of(self, group: _ids.GroupName) -> int:
        """Return the load units allowed on top of that multiple."""
        return _ALLOWANCE

    def slots_of(self, group: _ids.GroupName) -> int:
        """Return an unlimited number: each replica lists its own slots."""
        return _UNLIMITED_SLOTS

    def batch_reserve_of(self, group: _ids.GroupName) -> float:
        """Return 0, as requests carry ranks instead."""
        return 0.0

    def weight_of(self, team: _ids.TeamName) -> float:
        """Return the same weight for all, as no request waits at owners."""
        return 1.0


@final
class OwnerRole:
    """Counts the load of owned replicas, and sends requests to other owners.

    Parameters
    ----------
    daemon : DaemonId
        This daemon.
    links : PeerLinks
        Connections to peers.
    targets : TargetDirectory
        Replicas.
    features : OwnerFeatures
        Optional decisions of the owner that are switched on.
    clock : Clock
        Time.
    context_lister : ContextLister or None
        Asks replicas which contexts they hold; None if they can't be asked.

    Attributes
    ----------
    owner_client : OwnerClient
        Sends admission requests to owners.
    outcome_reports : OutcomeReports
        Outcomes of requests that no owner counts.
    """

    def __init__(
        self,
        *,
        daemon: _ids.DaemonId,
        links: _peers.PeerLinks,
        targets: _targets.TargetDirectory,
        features: _owner_features.OwnerFeatures,
        clock: _clock.Clock,
        context_lister: _context_lister.ContextLister | None = None,
    ) -> None:
        if context_lister is None:
            features = msgspec.structs.replace(
                features, context_recovery=False
            )
        self._daemon = daemon
        self._targets = targets
        self._clock = clock
        self._daemons: Mapping[_ids.DaemonId, Any] = {daemon: None}
        self._ownership = _ownership.Ownership()
        routing = _settings_types.RoutingSettings(
            owner_timeout=_OWNER_TIMEOUT_SECONDS,
            load_interval=_REPORT_INTERVAL_SECONDS,
        )
        owner = _owner.Owner(
            daemon=daemon,
            ownership=self._ownership,
            targets=targets,
            rules=_UniformRules(),
            routing=routing,
            clock=clock,
            startup_fraction=_STARTUP_FRACTION,
            features=features,
        )
        self._owner = owner
        self.owner_client = _owner_client.OwnerClient(
            daemon=daemon,
            owner=owner,
            ownership=self._ownership,
            links=links,
            timeout=_OWNER_TIMEOUT_SECONDS,
            clock=clock,
        )
        self._endpoint = _owner_endpoint.OwnerEndpoint(
            daemon=daemon,
            owner=owner,
            held_placements=self.owner_client.held_placements,
            links=links,
            usable=lambda: self._daemons,
            routing=routing,
            clock=clock,
        )
        if context_lister is not None:
            _context_requests.ContextRequests(
                daemon=daemon,
                recoveries=owner.recoveries,
                lister=context_lister,
                ownership=self._ownership,
                targets=targets,
                links=links,
                clock=clock,
            )
        self._endpoint.register()
        self.outcome_reports = _outcome_reports.OutcomeReports(
            send=self.owner_client.report_outcomes, clock=clock
        )
        owner.ejections.on_ejected(self._notify_ejected)
        links.handle(messages.Ejected, self._on_ejected)
        self._ownership.on_transfer(self._endpoint.on_transfer)
        targets.on_change(self._update)

    def _notify_ejected(
        self, daemon: _ids.DaemonId, message: messages.Ejected
    ) -> None:
        if daemon == self._daemon:
            self._record_ejected(message)
        else:
            self.owner_client.held_placements.send(daemon, message)

    def _on_ejected(
        self, sender: _ids.DaemonId, message: Any, reply: _peers.Reply
    ) -> None:
        self._record_ejected(message)

    def _record_ejected(self, message: messages.Ejected) -> None:
        target = self._targets.target_by_replica.get(
            _ids.ReplicaId(message.replica)
        )
        if target is not None and target.incarnation == message.incarnation:
            self._targets.ejected.record(target, message.seconds)

    def update_daemons(self, daemons: Mapping[_ids.DaemonId, Any]) -> None:
        """Update the daemons that can be owners."""
        self._daemons = daemons
        self._update()

    def _update(self) -> None:
        replicas = self._targets.target_by_replica
        self._owner.reset_restarted_replicas()
        self._ownership.update(daemons=self._daemons, replicas=replicas)
        self._owner.recoveries.record_targets(replicas)

    def owner_of(self, replica: _ids.ReplicaId) -> _ids.DaemonId | None:
        """Return the daemon that counts a replica's load, as seen here."""
        return self._ownership.owner_of(replica)

    def ledger_of(
        self, replica: _ids.ReplicaId
    ) -> _ledger.ReplicaLedger | None:
        """Return the ledger of a replica that this daemon owns."""
        return self._owner.ledger_by_replica.get(replica)

    def slowness_by_replica(self) -> Mapping[_ids.ReplicaId, float]:
        """Return what the limits of each replica owned here are divided by."""
        return self._owner.slowness_by_replica()

    @property
    def recoveries(self) -> _context_recoveries.ContextRecoveries:
        """Return the recoveries of contexts after a change of owners."""
        return self._owner.recoveries

    @property
    def ejections(self) -> _outcome_ejection.OutcomeEjections:
        """Return the ejections of replicas owned here."""
        return self._owner.ejections

    @property
    def fairness_rejections(self) -> int:
        """Return the number of rejections for fairness between teams."""
        return self._owner.fairness_rejections

    def report(self) -> None:
        """Report the load of the replicas owned here to collectors, if due."""
        self._endpoint.report()

    @property
    def is_reporting(self) -> bool:
        """Return whether a report is in progress."""
        return self._endpoint.is_reporting

    def drop_unresponsive(self) -> None:
        """Release the slots of daemons that stopped renewing them."""
        replicas = self._targets.target_by_replica
        owners = {self._ownership.owner_of(replica) for replica in replicas}
        self._endpoint.drop_unresponsive(len(owners))

    def _send_outcomes_forever(self) -> None:
        while True:
            self._clock.sleep(_outcome_reports.SEND_SECONDS)
            self.outcome_reports.send_due()

    def _drop_unresponsive_forever(self) -> None:
        while True:
            self._clock.sleep(_DROP_INTERVAL_SECONDS)
            self.drop_unresponsive()

    def start(self) -> list[Any]:
        """Start the periodic tasks and return their greenlets."""
        tasks = (
            self._endpoint.renew_forever,
            self._endpoint.report_forever,
            self._drop_unresponsive_forever,
            self._send_outcomes_forever,
        )
        return [_tasks.spawn(task, clock=self._clock) for task in tasks]
