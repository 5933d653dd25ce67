"""One daemon: its parts, put together, started and stopped."""

from collections.abc import Callable
import random
from typing import Any
from typing import final

import gevent
from gevent import event
from gevent import pywsgi

from topazlug import _administration
from topazlug import _admission
from topazlug import _attempts
from topazlug import _callers
from topazlug import _chat_calls
from topazlug import _claim_sweep
from topazlug import _claims
from topazlug import _clock
from topazlug import _configuration
from topazlug import _configuration_follower
from topazlug import _errors
from topazlug import _fleet_status
from topazlug import _ids
from topazlug import _instances
from topazlug import _logs
from topazlug import _membership
from topazlug import _metrics
from topazlug import _object_client
from topazlug import _owner
from topazlug import _owner_duties
from topazlug import _ownership
from topazlug import _page
from topazlug import _peers
from topazlug import _place
from topazlug import _policies
from topazlug import _quota_owner
from topazlug import _quotas
from topazlug import _retry_budget
from topazlug import _rules
from topazlug import _service_calls
from topazlug import _table_client
from topazlug import _table_edits
from topazlug import _target_client
from topazlug import _target_watch
from topazlug import _targets
from topazlug._generated import messages
from topazlug._generated import settings as _settings_types

_log = _logs.logger("daemon")
FLEET = "topazlug"
_QUIET_SECONDS = 1.0
_POLL_SECONDS = 0.05
_ADMINISTRATION_CONNECTIONS = 64
_QUOTA_RENEW_SECONDS = 0.5
_LEAVE_SECONDS = 0.3


@final
class Daemon:
    """One instance of the fleet.

    Parameters
    ----------
    settings : DaemonSettings
        Checked settings.
    clock : Clock
        Time.
    """

    def __init__(
        self, *, settings: _settings_types.DaemonSettings, clock: _clock.Clock
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.daemon_id = _ids.DaemonId(settings.daemon.id)
        self.incarnation = int(clock.now().timestamp() * 1000)
        self.stopping = False
        self.stopped = event.Event()
        self._greenlets: list[gevent.Greenlet] = []
        self.metrics = _metrics.Metrics(
            settings.metrics, self.daemon_id, settings.daemon.zone
        )
        self.configuration = _configuration.ConfigurationHolder()
        self.rules = _rules.TableRules(
            configuration=self.configuration, routing=settings.routing
        )
        self._build_platform()
        self._build_peers()
        self._build_routing()
        self._build_quotas()
        self._build_callers()
        self._build_administration()

    def _build_platform(self) -> None:
        platform = self.settings.platform
        self.store = _table_client.TableClient(
            host=platform.tables.host,
            port=platform.tables.port,
            timeout=platform.timeout,
            clock=self.clock,
        )
        self.objects = _object_client.ObjectClient(
            host=platform.objects.host,
            port=platform.objects.port,
            timeout=platform.timeout,
            clock=self.clock,
        )
        self.instances = _instances.InstanceList(
            host=platform.instances.host,
            port=platform.instances.port,
            timeout=platform.timeout,
            interval=self._list_interval,
            clock=self.clock,
        )

    def _build_peers(self) -> None:
        settings = self.settings
        self.links = _peers.PeerLinks(
            daemon_id=self.daemon_id,
            incarnation=self.incarnation,
            settings=settings.peers,
            clock=self.clock,
            address_of=lambda peer: self.membership.address_of(peer),
        )
        peers = settings.listen.peers
        peers.port = self.links.serve(host=peers.host, port=peers.port)
        self.membership = _membership.Membership(
            daemon_id=self.daemon_id,
            incarnation=self.incarnation,
            address=_peers.Address(peers.host, peers.port),
            zone=settings.daemon.zone,
            settings=settings.membership,
            links=self.links,
            instances=self.instances,
            clock=self.clock,
            revision_of=lambda: self.configuration.revision,
        )
        self.follower = _configuration_follower.ConfigurationFollower(
            daemon_id=self.daemon_id,
            holder=self.configuration,
            store=self.store,
            links=self.links,
            members=self.membership,
            settings=settings.configuration,
            clock=self.clock,
            randomness=random.Random(),
        )
        self.membership.on_peer_revision(
            lambda peer, revision: self.follower.hint(
                peer=peer, revision=revision
            )
        )

    def _build_routing(self) -> None:
        settings = self.settings
        self.targets = _targets.TargetDirectory(
            clock=self.clock, flap_window=settings.membership.flap_window
        )
        self.ownership = _ownership.Ownership()
        self.owner = _owner.Owner(
            daemon=self.daemon_id,
            ownership=self.ownership,
            targets=self.targets,
            rules=self.rules,
            routing=settings.routing,
            clock=self.clock,
        )
        self.owners_admission = _admission.OwnersAdmission(
            daemon=self.daemon_id,
            owner=self.owner,
            ownership=self.ownership,
            targets=self.targets,
            links=self.links,
            routing=settings.routing,
            clock=self.clock,
            fleet_size=lambda: len(self.membership.usable()),
        )
        self.duties = _owner_duties.OwnerDuties(
            daemon=self.daemon_id,
            owner=self.owner,
            admission=self.owners_admission,
            links=self.links,
            usable=self.membership.usable,
            routing=settings.routing,
            clock=self.clock,
        )
        self.duties.register()
        self.ownership.on_transfer(self.duties.on_transfer)
        self.connections = _target_client.TargetConnections(
            connect_timeout=settings.limits.connect_timeout, clock=self.clock
        )
        self.watch = _target_watch.TargetWatch(
            owned=self._watched,
            targets=self.targets,
            connections=self.connections,
            signs=self.membership,
            report=self._take_engine_report,
            interval=settings.routing.poll_interval,
            clock=self.clock,
        )
        self.admission: _place.Admission = _policies.admission_of(
            settings.routing.policy, self
        )

    def _build_quotas(self) -> None:
        self.quota_owner = _quota_owner.QuotaOwner(
            team_of=self.rules.team_of,
            reachable_part=self._reachable_part,
            clock=self.clock,
        )
        self.quotas = _quotas.TeamQuotas(
            daemon=self.daemon_id,
            owner=self.quota_owner,
            links=self.links,
            daemons=self.membership.usable,
            clock=self.clock,
        )
        self.links.handle(messages.SliceAsk, self._on_slice_ask)

    def _on_slice_ask(
        self, sender: _ids.DaemonId, ask: Any, reply: _peers.Reply
    ) -> None:
        reply(self.quota_owner.lend(sender, ask))

    def _reachable_part(self) -> float:
        """Give which part of the fleet is on this side of a cut.

        A daemon that is silent but still on the platform's list may run on
        the other side; one that failed for good leaves the list.
        """
        usable = self.membership.usable()
        listed = self.instances.instances_by_id
        members = self.membership.members_by_id
        silent = [
            daemon
            for daemon, member in members.items()
            if member.state is messages.FactState.dead
            and daemon in listed
            and listed[daemon].incarnation <= member.incarnation
        ]
        return len(usable) / max(1, len(usable) + len(silent))

    def _renew_quotas(self) -> None:
        while True:
            self.clock.sleep(_QUOTA_RENEW_SECONDS)
            self.quotas.renew()

    def _build_callers(self) -> None:
        settings = self.settings
        self.budget = _retry_budget.RetryBudget(
            ratio=settings.limits.retry_ratio
        )
        attempts = _attempts.Attempts(
            admission=self.admission,
            targets=self.targets,
            budget=self.budget,
            signs=self.membership,
            clock=self.clock,
        )
        # Claims have connections of their own: a burst of them must not
        # keep the table's own reads waiting, nor the other way round.
        platform = settings.platform
        claim_store = _table_client.TableClient(
            host=platform.tables.host,
            port=platform.tables.port,
            timeout=platform.timeout,
            clock=self.clock,
        )
        self.claim_sweeper = _claim_sweep.ClaimSweeper(
            store=claim_store,
            clock=self.clock,
            daemon_id=self.daemon_id,
            usable=self.membership.usable,
        )
        self.claims = _claims.ClaimKeeper(
            store=claim_store,
            objects=self.objects,
            daemon_id=self.daemon_id,
            clock=self.clock,
            max_kept_bytes=settings.limits.max_kept_answer_bytes,
        )
        shared: dict[str, Any] = {
            "attempts": attempts,
            "admission": self.admission,
            "connections": self.connections,
            "quotas": self.quotas,
            "limits": settings.limits,
            "metrics": self.metrics,
            "clock": self.clock,
        }
        self.app = _callers.CallersApp(
            chats=_chat_calls.ChatCalls(**shared, spawn=gevent.spawn),
            services=_service_calls.ServiceCalls(**shared, claims=self.claims),
            configuration=self.configuration,
            limits=settings.limits,
            metrics=self.metrics,
            clock=self.clock,
        )
        self.callers = _callers.CallersServer(
            address=settings.listen.callers,
            app=self.app,
            max_connections=settings.limits.max_connections,
            tls=settings.listen.callers_tls,
        )

    def _build_administration(self) -> None:
        editor = _table_edits.TableEditor(
            store=self.store,
            holder=self.configuration,
            publisher=self.follower,
            clock=self.clock,
        )
        status = _fleet_status.FleetStatusSource(
            daemon=self.daemon_id,
            configuration=self.configuration,
            membership=self.membership,
            links=self.links,
            owner=self.owner,
            ownership=self.ownership,
            targets=self.targets,
            rules=self.rules,
            quotas=self.quotas,
        )
        self.administration_app = _administration.Administration(
            holder=self.configuration,
            editor=editor,
            publisher=self.follower,
            store=self.store,
            status=status,
            is_ready=self.is_ready,
            exposition=self.metrics.exposition,
            bootstrap_token_hash=(
                self.settings.administration.bootstrap_token_hash
            ),
        )
        self.administration_app.add(_page.routes())
        address = self.settings.listen.administration
        self.administration = pywsgi.WSGIServer(
            (address.host, address.port),
            self.administration_app,
            log=None,
            error_log=None,
            spawn=_ADMINISTRATION_CONNECTIONS,
        )

    def _watched(self) -> list[_ids.ReplicaId]:
        if self.settings.routing.policy is _policies.TWO_CHOICES:
            return list(self.targets.target_by_replica)
        return list(self.owner.ledger_by_replica)

    def _take_engine_report(
        self, replica: _ids.ReplicaId, running: int
    ) -> None:
        self.owner.take_engine_report(replica, running)
        report = getattr(self.admission, "take_engine_report", None)
        if report is not None:
            report(replica, running)

    def start(self) -> None:
        """Start everything; callers are taken at once."""
        self.instances.on_change(self._list_changed)
        self.membership.on_change(self._members_changed)
        self.membership.on_target_fact(self._target_fact)
        self.membership.on_pause(self._paused)
        self.targets.on_change(self._update_ownership)
        self.configuration.on_change(self._configuration_changed)
        self._watch_metrics()
        self.instances.register(self._own_instance())
        self.instances.start()
        self.membership.start()
        self.follower.start()
        self._spawn(self.duties.renew_forever)
        self._spawn(self.duties.report_forever)
        self._spawn(self.watch.run)
        self._spawn(self._renew_quotas)
        self._spawn(self.claim_sweeper.run)
        self.administration.start()
        self.callers.start()
        _log.info(
            "started: callers at {host}:{port}",
            host=self.callers.server_host,
            port=self.callers.server_port,
        )

    def _spawn(self, function: Callable[[], None]) -> None:
        self._greenlets.append(gevent.spawn(function))

    def _own_instance(self) -> _instances.Instance:
        identity = self.settings.daemon
        peers = self.settings.listen.peers
        return _instances.Instance(
            id=identity.id,
            kind=_instances.InstanceKind.DAEMON,
            group=FLEET,
            host=peers.host,
            port=peers.port,
            zone=identity.zone,
            region=identity.region,
            incarnation=self.incarnation,
        )

    def is_ready(self) -> bool:
        """Say whether the balancer may send callers here."""
        if self.stopping or self.configuration.current is None:
            return False
        return self.instances.refreshed_at is not None

    def _list_interval(self) -> float:
        platform = self.settings.platform
        shared = len(self.membership.usable())
        shared_interval = shared / platform.instances_reads_per_second
        return max(platform.instances_interval, shared_interval)

    def _list_changed(self) -> None:
        listed = _targets.targets_of(self.instances.instances_by_id)
        # A daemon that starts finds all of the list new; the fleet does not.
        if self.instances.refreshed_at is not None:
            known = self.targets.target_by_replica
            for target in _targets.news(known, listed):
                self.membership.publish_listed(_targets.listed_fact(target))
        self.targets.take_list(listed)
        self.owner.refresh_slots()

    def _members_changed(self) -> None:
        for daemon, member in self.membership.members_by_id.items():
            if member.state is messages.FactState.dead:
                self.owner.drop_daemon(daemon)
                self.quota_owner.drop_daemon(daemon)
        self.quota_owner.forget(self._lends)
        self._update_ownership()

    def _lends(self, team: _ids.TeamName) -> bool:
        owner = _quotas.owner_of(team, self.membership.usable())
        return owner == self.daemon_id

    def _target_fact(self, fact: messages.Fact) -> None:
        self.targets.take_fact(fact)

    def _update_ownership(self) -> None:
        self.ownership.update(
            daemons=self.membership.usable(),
            replicas=self.targets.target_by_replica,
        )

    def _paused(self, seconds: float) -> None:
        _log.warning("this daemon was paused for {s:.1f} s", s=seconds)
        self.owner.turn_careful()

    def _configuration_changed(self) -> None:
        drains = self.rules.drains()
        if drains != self.targets.drains:
            self.targets.take_drains(drains)
        self.owner.refresh_slots()

    def _watch_metrics(self) -> None:
        watch = self.metrics.watch
        watch(_metrics.Gauge.IN_FLIGHT, lambda: self.app.in_progress)
        watch(_metrics.Gauge.CONNECTIONS, lambda: self.callers.connections)
        watch(_metrics.Gauge.MEMBERS, lambda: len(self.membership.usable()))
        watch(_metrics.Gauge.REVISION, lambda: self.configuration.revision)
        watch(
            _metrics.Gauge.KNOWN_REPLICAS,
            lambda: len(self.targets.target_by_replica),
        )
        watch(
            _metrics.Gauge.OWNED_REPLICAS,
            lambda: len(self.owner.ledger_by_replica),
        )
        watch(_metrics.Total.CONTROL_SENT, lambda: self.links.bytes_sent)
        watch(
            _metrics.Total.CONTROL_RECEIVED,
            lambda: self.links.bytes_received,
        )
        watch(_metrics.Total.PAUSES, lambda: self.membership.pause_count)

    def stop(self) -> None:
        """Stop as planned: cut off nothing that is in progress.

        First this daemon says that it is not ready and takes no new
        connections; a request on a connection that is already open is still
        served, and its answer closes the connection. Peers take over what
        it owns. When all requests have ended it goes.
        """
        if self.stopping:
            return
        self.stopping = True
        _log.info("stopping; {n} in progress", n=self.app.in_progress)
        self.callers.stopping = True
        self.callers.close()
        self.membership.announce_leaving()
        self._leave_list()
        self._wait_for_requests()
        self.claims.wait_settled(_LEAVE_SECONDS)
        gevent.sleep(_LEAVE_SECONDS)
        self.halt()

    def _leave_list(self) -> None:
        try:
            self.instances.unregister(self.daemon_id)
        except _errors.TopazlugError as error:
            _log.warning("still on the list: {why}", why=error.message)

    def _wait_for_requests(self) -> None:
        """Wait until nothing runs and nothing new came for a moment."""
        end = self.clock.monotonic() + self.settings.limits.stop_grace
        quiet_since: float | None = None
        while self.clock.monotonic() < end:
            now = self.clock.monotonic()
            if self.app.in_progress:
                quiet_since = None
            elif quiet_since is None:
                quiet_since = now
            elif now - quiet_since >= _QUIET_SECONDS:
                return
            gevent.sleep(_POLL_SECONDS)

    def halt(self) -> None:
        """End all greenlets and connections at once."""
        self.callers.stop(timeout=0)
        self.administration.stop(timeout=0)
        gevent.killall(self._greenlets, block=False)
        self.follower.stop()
        self.membership.stop()
        self.instances.stop()
        self.links.stop()
        self.connections.close()
        self.metrics.stop()
        self.stopped.set()
