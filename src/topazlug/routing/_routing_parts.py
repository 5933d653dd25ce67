"""A daemon's routing, put together: targets, owners, ceilings."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import Any
from typing import final

from topazlug import _clock
from topazlug import _fleet_parts
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
from topazlug.routing import _owner_duties
from topazlug.routing import _ownership
from topazlug.routing import _place
from topazlug.routing import _policies
from topazlug.targets import _listed_targets
from topazlug.targets import _target_client
from topazlug.targets import _target_watch
from topazlug.targets import _target_word
from topazlug.targets import _targets

_log = _logs.logger("routing")
_QUOTA_RENEW_SECONDS = 0.5
_SWEEP_SECONDS = 15.0

ListCallback = Callable[
    [Mapping[_ids.ReplicaId, _targets.Target], Iterable[_targets.Target]],
    None,
]


@final
class RoutingParts:
    """Everything that decides where a request goes.

    Parameters
    ----------
    settings : DaemonSettings
        Checked settings.
    fleet : FleetParts
        The platform and the peers.
    clock : Clock
        Time.
    """

    def __init__(
        self,
        *,
        settings: _settings_types.DaemonSettings,
        fleet: _fleet_parts.FleetParts,
        clock: _clock.Clock,
    ) -> None:
        self._settings = settings
        self._fleet = fleet
        self._clock = clock
        self._ranked: tuple[Any, Any] = (None, None)
        self._dropped: set[tuple[_ids.DaemonId, int]] = set()
        self._list_callbacks: list[ListCallback] = []
        self.rules = _rules.TableRules(
            configuration=fleet.configuration, routing=settings.routing
        )
        self._build_owning()
        self._build_watch()
        self._build_quotas()

    def _build_owning(self) -> None:
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
        self.duties = _owner_duties.OwnerDuties(
            daemon=self._fleet.daemon_id,
            owner=self.owner,
            holdings=self.owners_admission.holdings,
            links=self._fleet.links,
            usable=self._fleet.membership.usable,
            routing=settings.routing,
            clock=self._clock,
        )
        self.duties.register()
        self.ownership.on_transfer(self.duties.on_transfer)

    def _build_watch(self) -> None:
        settings = self._settings
        self.connections = _target_client.TargetConnections(
            connect_timeout=settings.limits.connect_timeout,
            clock=self._clock,
            take_word=self.targets.take_word,
        )
        self.watch = _target_watch.TargetWatch(
            owned=self._watched,
            targets=self.targets,
            connections=self.connections,
            signs=self._fleet.membership,
            report=self._take_engine_report,
            interval=settings.routing.poll_interval,
            clock=self._clock,
        )
        self.admission: _place.Admission = _policies.admission_of(
            settings.routing.policy, self
        )

    def _build_quotas(self) -> None:
        self.quota_owner = _quota_owner.QuotaOwner(
            team_of=self.rules.team_of,
            reachable_part=self._fleet.reachable_part,
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

    def _watched(self) -> list[_ids.ReplicaId]:
        if self._settings.routing.policy is _policies.TWO_CHOICES:
            return list(self.targets.target_by_replica)
        return list(self.owner.ledger_by_replica)

    def _take_engine_report(
        self, replica: _ids.ReplicaId, running: int
    ) -> None:
        self.owner.take_engine_report(replica, running)
        report = getattr(self.admission, "take_engine_report", None)
        if report is not None:
            report(replica, running)

    def on_list(self, callback: ListCallback) -> None:
        """Have a callable called with the targets before and after a list."""
        self._list_callbacks.append(callback)

    def connect(self) -> None:
        """Follow what the list, the members and the table say."""
        self._fleet.instances.on_change(self._list_changed)
        self._fleet.membership.on_change(self._members_changed)
        self._fleet.membership.on_target_fact(self.targets.take_fact)
        self._fleet.membership.on_pause(self._paused)
        self.targets.on_word(self._tell_leaving)
        self.targets.on_word(self.owners_admission.tell_backoff)
        self._fleet.configuration.on_change(self._configuration_changed)
        self.targets.on_change(self._update_ownership)

    def _tell_leaving(
        self, target: _targets.Target, word: _target_word.TargetWord
    ) -> None:
        if not word.leaving:
            return
        self._fleet.membership.publish_target(
            target.replica,
            incarnation=target.incarnation,
            state=messages.FactState.leaving,
        )

    def tasks(self) -> list[Callable[[], None]]:
        """Give what runs for as long as the daemon does."""
        return [
            self.duties.renew_forever,
            self.duties.report_forever,
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
        listed = _listed_targets.targets_of(
            self._fleet.instances.instances_by_id
        )
        # A daemon that starts finds all of the list new; the fleet does not.
        if self._fleet.instances.refreshed_at is not None:
            known = self.targets.target_by_replica
            for target in _listed_targets.news(known, listed):
                self._fleet.membership.publish_listed_target(
                    _listed_targets.listed_fact(target)
                )
        before = self.targets.target_by_replica
        self.targets.take_list(listed)
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
        for daemon, _ in dead - self._dropped:
            self.owner.drop_daemon(daemon)
            self.quota_owner.drop_daemon(daemon)
            # Asks that wait in a frozen owner's queue would wait until
            # their deadline: its connection stays open.
            self._fleet.links.disconnect(daemon)
        self._dropped = dead
        self.quota_owner.forget(self._lends)
        self._update_ownership()

    def _lends(self, team: _ids.TeamName) -> bool:
        owner = _quotas.owner_of(team, self._fleet.membership.usable())
        return owner == self._fleet.daemon_id

    def _update_ownership(self) -> None:
        """Rank anew, if the daemons or the replicas have changed.

        Both come as mappings that are replaced, never changed in place. A
        lost zone brings hundreds of facts that change neither, and each
        update looks through 6,100 replicas.
        """
        daemons = self._fleet.membership.usable()
        replicas = self.targets.target_by_replica
        ranked = (daemons, replicas)
        if all(new is old for new, old in zip(ranked, self._ranked)):
            return
        self._ranked = ranked
        self.ownership.update(daemons=daemons, replicas=replicas)

    def _paused(self, seconds: float) -> None:
        _log.warning("this daemon was paused for {s:.1f} s", s=seconds)
        self.owner.turn_careful()

    def _configuration_changed(self) -> None:
        drains = self.rules.drains()
        if drains != self.targets.drains:
            self.targets.take_drains(drains)
        self.owner.refresh_slots()
