"""Construction and wiring of a daemon's routing objects."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any
from typing import final

from topazlug import _clock
from topazlug import _fleet_assembly
from topazlug import _ids
from topazlug import _logs
from topazlug._generated import messages
from topazlug._generated import settings as _settings_types
from topazlug.configuration import _rules
from topazlug.limits import _quota_owner
from topazlug.limits import _quotas
from topazlug.peers import _peers
from topazlug.routing import _admission
from topazlug.routing import _owner
from topazlug.routing import _owner_endpoint
from topazlug.routing import _ownership
from topazlug.routing import _placement
from topazlug.routing import _policies
from topazlug.targets import _listed_targets
from topazlug.targets import _target_client
from topazlug.targets import _target_poller
from topazlug.targets import _target_report
from topazlug.targets import _targets

_log = _logs.logger("routing")
_QUOTA_RENEW_SECONDS = 0.5
_SWEEP_SECONDS = 15.0

ListCallback = Callable[
    [Mapping[_ids.ReplicaId, _targets.Target], Iterable[_targets.Target]],
    None,
]


@final
class RoutingAssembly:
    """Builds and connects targets, ownership, admission and quotas.

    Parameters
    ----------
    settings : DaemonSettings
        Validated settings.
    fleet : FleetAssembly
        Platform, membership and connections to peers.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        *,
        settings: _settings_types.DaemonSettings,
        fleet: _fleet_assembly.FleetAssembly,
        clock: _clock.Clock,
    ) -> None:
        self._settings = settings
        self._fleet = fleet
        self._clock = clock
        self._last_inputs: tuple[Any, Any] = (None, None)
        self._dropped_daemons: set[tuple[_ids.DaemonId, int]] = set()
        self._list_callbacks: list[ListCallback] = []
        self.rules = _rules.TableRules(
            configuration=fleet.configuration, routing=settings.routing
        )
        self._build_ownership()
        self._build_watch()
        self._build_quotas()

    def _build_ownership(self) -> None:
        settings = self._settings
        self.targets = _targets.TargetDirectory(
            clock=self._clock, flap_window=settings.membership.flap_window
        )
        self.ownership = _ownership.Ownership()
        self.owner = _owner.Owner(
            daemon=self._fleet.daemon_id,
            ownership=self.ownership,
            targets=self.targets,
            rules=self.rules,
            routing=settings.routing,
            clock=self._clock,
        )
        self.owners_admission = _admission.OwnersAdmission(
            daemon=self._fleet.daemon_id,
            owner=self.owner,
            ownership=self.ownership,
            targets=self.targets,
            links=self._fleet.links,
            routing=settings.routing,
            clock=self._clock,
            fleet_size=lambda: len(self._fleet.membership.usable()),
        )
        self.owner_endpoint = _owner_endpoint.OwnerEndpoint(
            daemon=self._fleet.daemon_id,
            owner=self.owner,
            held_placements=self.owners_admission.held_placements,
            links=self._fleet.links,
            usable=self._fleet.membership.usable,
            routing=settings.routing,
            clock=self._clock,
        )
        self.owner_endpoint.register()
        self.ownership.on_transfer(self.owner_endpoint.on_transfer)

    def _build_watch(self) -> None:
        settings = self._settings
        self.connections = _target_client.TargetConnections(
            connect_timeout=settings.limits.connect_timeout,
            clock=self._clock,
            handle_report=self.targets.handle_report,
        )
        self.watch = _target_poller.TargetPoller(
            owned=self._replicas_to_poll,
            targets=self.targets,
            connections=self.connections,
            publisher=self._fleet.membership,
            report=self._record_engine_report,
            interval=settings.routing.poll_interval,
            clock=self._clock,
        )
        self.admission: _placement.Admission = _policies.make_admission(
            settings.routing.policy, self
        )

    def _build_quotas(self) -> None:
        self.quota_owner = _quota_owner.QuotaOwner(
            team_of=self.rules.team_of,
            reachable_fraction=self._fleet.reachable_fraction,
            clock=self._clock,
        )
        self.quotas = _quotas.TeamQuotas(
            daemon=self._fleet.daemon_id,
            owner=self.quota_owner,
            links=self._fleet.links,
            daemons=self._fleet.membership.usable,
            clock=self._clock,
        )
        self._fleet.links.handle(messages.SliceAsk, self._on_slice_ask)

    def _on_slice_ask(
        self, sender: _ids.DaemonId, ask: Any, reply: _peers.Reply
    ) -> None:
        reply(self.quota_owner.lend(sender, ask))

    def _replicas_to_poll(self) -> list[_ids.ReplicaId]:
        if self._settings.routing.policy is _policies.TWO_CHOICES:
            return list(self.targets.target_by_replica)
        return list(self.owner.ledger_by_replica)

    def _record_engine_report(
        self, replica: _ids.ReplicaId, running: int
    ) -> None:
        self.owner.record_engine_report(replica, running)
        report = getattr(self.admission, "record_engine_report", None)
        if report is not None:
            report(replica, running)

    def on_list(self, callback: ListCallback) -> None:
        """Register a callback for new lists of targets.

        It is called with the previous targets by id, and the new targets.
        """
        self._list_callbacks.append(callback)

    def connect(self) -> None:
        """Subscribe to changes of targets, membership and configuration."""
        self._fleet.instances.on_change(self._list_changed)
        self._fleet.membership.on_change(self._members_changed)
        self._fleet.membership.on_target_fact(self.targets.apply_fact)
        self._fleet.membership.on_pause(self._paused)
        self.targets.on_report(self._publish_leaving)
        self.targets.on_report(self.owners_admission.report_backoff)
        self._fleet.configuration.on_change(self._configuration_changed)
        self.targets.on_change(self._update_ownership)

    def _publish_leaving(
        self, target: _targets.Target, status: _target_report.TargetReport
    ) -> None:
        if not status.leaving:
            return
        self._fleet.membership.publish_target(
            target.replica,
            incarnation=target.incarnation,
            state=messages.FactState.leaving,
        )

    def tasks(self) -> list[Callable[[], None]]:
        """Return the functions to run in greenlets until the daemon stops."""
        return [
            self.owner_endpoint.renew_forever,
            self.owner_endpoint.report_forever,
            self.watch.run,
            self._renew_quotas,
            self._sweep_connections,
        ]

    def _sweep_connections(self) -> None:
        while True:
            self._clock.sleep(_SWEEP_SECONDS)
            self.connections.sweep()

    def _renew_quotas(self) -> None:
        while True:
            self._clock.sleep(_QUOTA_RENEW_SECONDS)
            self.quotas.renew()

    def _list_changed(self) -> None:
        listed = _listed_targets.targets_from_instances(
            self._fleet.instances.instances_by_id
        )
        # On the first list of a new daemon all targets are new to it, but not
        # to the fleet.
        if self._fleet.instances.refreshed_at is not None:
            known = self.targets.target_by_replica
            for target in _listed_targets.changed_targets(known, listed):
                self._fleet.membership.publish_listed_target(
                    _listed_targets.fact_from_target(target)
                )
        before = self.targets.target_by_replica
        self.targets.set_list(listed)
        for callback in self._list_callbacks:
            callback(before, self.targets.target_by_replica.values())
        self.owner.refresh_slots()

    def _members_changed(self) -> None:
        members = self._fleet.membership.members_by_id
        dead = {
            (daemon, member.incarnation)
            for daemon, member in members.items()
            if member.state is messages.FactState.dead
        }
        for daemon, _ in dead - self._dropped_daemons:
            self.owner.drop_daemon(daemon)
            self.quota_owner.drop_daemon(daemon)
            # The connection to a frozen owner stays open, so requests in its
            # queue would otherwise wait until their deadline.
            self._fleet.links.disconnect(daemon)
        self._dropped_daemons = dead
        self.quota_owner.drop_unowned(self._is_quota_owner)
        self._update_ownership()

    def _is_quota_owner(self, team: _ids.TeamName) -> bool:
        owner = _quotas.owner_of(team, self._fleet.membership.usable())
        return owner == self._fleet.daemon_id

    def _update_ownership(self) -> None:
        """Update ownership if the daemons or the replicas have changed.

        Both are mappings that are replaced, never modified in place. The
        loss of a zone causes hundreds of membership facts that change
        neither, and each update iterates over 6,100 replicas.
        """
        daemons = self._fleet.membership.usable()
        replicas = self.targets.target_by_replica
        inputs = (daemons, replicas)
        if all(new is old for new, old in zip(inputs, self._last_inputs)):
            return
        self._last_inputs = inputs
        self.ownership.update(daemons=daemons, replicas=replicas)

    def _paused(self, seconds: float) -> None:
        _log.warning("this process was paused for {s:.1f} s", s=seconds)
        self.owner.mark_counts_uncertain()

    def _configuration_changed(self) -> None:
        drains = self.rules.drains()
        if drains != self.targets.drains:
            self.targets.set_drains(drains)
        self.owner.refresh_slots()
