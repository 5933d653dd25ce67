"""Builds, starts and stops a forwarding daemon."""

from collections.abc import Callable
from typing import final

import gevent
from gevent import event
import msgspec

from topazlug import _clock
from topazlug import _logs
from topazlug import _tasks
from topazlug._generated import settings as _settings_types
from topazlug.callers import _caller_server
from topazlug.callers import _memory_budget
from topazlug.delegation import _delegation_role
from topazlug.fleet import _fleet
from topazlug.fleet import _fleet_directory
from topazlug.fleet import _table_feed
from topazlug.fleet import _table_source
from topazlug.forwarding import _answer_durations
from topazlug.forwarding import _app
from topazlug.forwarding import _awaited_heads
from topazlug.forwarding import _call_metrics
from topazlug.forwarding import _crash_assembly
from topazlug.forwarding import _forwarder_assembly
from topazlug.forwarding import _gauges
from topazlug.forwarding import _graceful_stop
from topazlug.forwarding import _monitoring
from topazlug.forwarding import _options
from topazlug.forwarding import _startup_gate
from topazlug.forwarding import _stop_admission
from topazlug.forwarding import _table
from topazlug.forwarding import _version_assembly
from topazlug.forwarding import _wire
from topazlug.limits import _retry_share
from topazlug.peers import _peers
from topazlug.placement import _context_locator
from topazlug.placement import _mechanisms
from topazlug.placement import _owner_admission
from topazlug.placement import _owners
from topazlug.placement import _replica_list
from topazlug.placement import _replica_view
from topazlug.placement import _view_admission
from topazlug.routing import _context_lister
from topazlug.routing import _owner_features
from topazlug.routing import _owner_gauges
from topazlug.targets import _listed_targets
from topazlug.targets import _path_check
from topazlug.targets import _process_check
from topazlug.targets import _replica_paths
from topazlug.targets import _target_client
from topazlug.targets import _targets
from topazlug.telemetry import _metrics
from topazlug.versions import _version_records

_log = _logs.logger("daemon")
_SWEEP_INTERVAL_SECONDS = 1.0
# A replica in the same region accepts a connection in a few milliseconds. One
# that has not after this time is unreachable, or the first packet was lost.
_CONNECT_TIMEOUT_SECONDS = 0.25
_FLAP_WINDOW_SECONDS = 10.0
# The fixed part of the retry budget is split among `_ASSUMED_DAEMONS` until
# the directory shows the number of daemons. After that it is split among at
# least `_MIN_DAEMONS`, as others may be about to join.
_ASSUMED_DAEMONS = 100
_MIN_DAEMONS = 6
# A replica accepts a few hundred connections from all daemons together and
# resets the rest, so the idle ones of 80 daemons must leave enough for new
# ones.
_MAX_IDLE_CONNECTIONS_PER_REPLICA = 2


@final
class ForwardingDaemon:
    """A daemon that forwards requests.

    Parameters
    ----------
    options : _options.ForwardingOptions
        Options read at its start.
    caller_decoder : CallerHeaderDecoder
        Decodes the heads of callers' requests.
    replica_codec : ReplicaHeaderCodec
        Encodes requests for replicas and decodes their answers.
    new_store : callable
        Returns a new client of the platform's store with connections of its
        own.
    clock : Clock
        Clock of the daemon.
    context_codec : ContextListCodec or None
        The platform's form of a replica's list of contexts, if it has one.
    process_codec : ProcessReportCodec or None
        The platform's form of a replica's report on its process, if it has
        one.

    Attributes
    ----------
    tables : TableHolder
        Holds the routing table, set by `update_table`.
    targets : TargetDirectory
        Known replicas.
    """

    def __init__(
        self,
        *,
        options: _options.ForwardingOptions,
        caller_decoder: _wire.CallerHeaderDecoder,
        replica_codec: _wire.ReplicaHeaderCodec,
        new_store: Callable[[], _table_source.TableStore],
        clock: _clock.Clock,
        context_codec: _context_lister.ContextListCodec | None = None,
        process_codec: _process_check.ProcessReportCodec | None = None,
    ) -> None:
        self._options = options
        self._context_codec = context_codec
        self.name = options.daemon
        self._clock = clock
        self._stopping = False
        self._has_replica_list = False
        self._greenlets: list[gevent.Greenlet] = []
        self.stopped = event.Event()
        self._gate = _startup_gate.StartupGate(clock=clock)
        self.tables = _table.TableHolder()
        self.targets = _targets.TargetDirectory(
            clock=clock, flap_window=_FLAP_WINDOW_SECONDS
        )
        self.views = _replica_view.ReplicaViews(
            clock=clock, disabled=options.disabled
        )
        self.contexts = _context_locator.ContextLocator(
            targets=self.targets, clock=clock
        )
        self.budget = _retry_share.RetryShare(
            ratio=options.retry_ratio,
            extra=options.retry_extra,
            window=options.retry_window,
            daemons=_ASSUMED_DAEMONS,
            clock=clock,
        )
        self.replicas = _replica_list.ReplicaList(
            on_change=self._update_replicas,
            unreachable=options.staleness_bounds.recovery,
            clock=clock,
        )
        self._version_assembly = _version_assembly.VersionAssembly(
            daemon=options.daemon,
            daemons=lambda: self._fleet.directory.daemons_by_id,
            new_store=new_store,
            list_state=lambda: self.replicas.source_state(),
            max_list_age=options.staleness_bounds.propagation,
            first_start=options.first_start,
            clock=clock,
        )
        self.versions = self._version_assembly.streams
        self._admission = _owner_admission.OwnerOrViewAdmission(
            view_admission=_view_admission.ViewAdmission(
                targets=self.targets,
                views=self.views,
                versions=self.versions.groups,
            ),
            targets=self.targets,
            views=self.views,
            clock=clock,
            disabled=options.disabled,
            contexts=self.contexts,
        )
        self._owners: _owners.OwnerRole | None = None
        self._fleet = _fleet.Fleet(
            options=_fleet.FleetOptions(
                daemon=options.daemon,
                address=options.peers,
                relays=options.relays,
                delegation_port=options.delegation_port,
                staleness_bounds=options.staleness_bounds,
                first_start=options.first_start,
            ),
            new_store=new_store,
            on_joined=self._join_owners,
            on_size=self._update_fleet_size,
            clock=clock,
        )
        paths = _replica_paths.ReplicaPaths(clock=clock)
        self._connections = _target_client.TargetConnections(
            connect_timeout=_CONNECT_TIMEOUT_SECONDS,
            clock=clock,
            wire=replica_codec,
            idle_per_target=_MAX_IDLE_CONNECTIONS_PER_REPLICA,
            handle_report=self.targets.handle_report,
            on_connected=lambda target: self._path_check.record_reached(
                target
            ),
        )
        self._path_check = _path_check.PathCheck(
            paths=paths,
            connector=self._connections,
            targets=lambda: self.targets.target_by_replica.values(),
            on_lost_replicas=self._presume_restarted,
            clock=clock,
        )
        self._crash_assembly = _crash_assembly.CrashAssembly(
            daemon=options.daemon,
            runs=self._connections.runs,
            targets=self.targets,
            new_store=new_store,
            daemons=lambda: self._fleet.directory.daemons_by_id,
            rejects=_mechanisms.Mechanism.CRASH_GUARD not in options.disabled,
            clock=clock,
        )
        self.metrics = _metrics.Metrics(
            _settings_types.MetricsSettings(), options.daemon, options.zone
        )
        durations = _answer_durations.AnswerDurations()
        self._call_metrics = _call_metrics.CallMetrics(
            metrics=self.metrics, durations=durations, clock=clock
        )
        self._stop_admission = _stop_admission.StopAdmission(
            durations=durations, clock=clock
        )
        self._awaited_heads = _awaited_heads.AwaitedHeads(
            views=self.views,
            report_late=self._admission.outcome_reporting.report_late,
            is_cold=self.targets.cold.is_cold,
            is_cut_off=self._is_cut_off,
            clock=clock,
        )
        self._delegation = _delegation_role.DelegationRole(
            daemon=options.daemon,
            daemons=lambda: self._fleet.directory.daemons_by_id,
            table_version=lambda: self.tables.version,
            budget=self.budget,
            paths=paths,
            targets=self.targets,
            replica_wire=replica_codec,
            clock=clock,
        )
        is_delegating = (
            _mechanisms.Mechanism.DELEGATION not in options.disabled
        )
        forwarder_assembly = _forwarder_assembly.ForwarderAssembly(
            admission=self._admission,
            awaited_heads=self._awaited_heads,
            budget=self.budget,
            clock=clock,
            connections=self._connections,
            contexts=self.contexts,
            guard=self._crash_assembly.guard,
            call_metrics=self._call_metrics,
            stop_admission=self._stop_admission,
            path_check=self._path_check,
            delegator=self._delegation.delegator if is_delegating else None,
            targets=self.targets,
            views=self.views,
            versions=self.versions,
            process_check=_process_check.ProcessCheck(
                connections=self._connections,
                listed=lambda: self.targets.target_by_replica,
                codec=process_codec,
                is_mixed=self.versions.groups.is_mixed,
                clock=clock,
            ),
            codec=replica_codec,
            disabled=options.disabled,
        )
        self._app = _app.ForwardingApp(
            forwarder=forwarder_assembly.build(),
            tables=self.tables,
            table_age=lambda: self._fleet.table_age,
            decoder=caller_decoder,
            gate=self._gate,
            call_metrics=self._call_metrics,
            stop_admission=self._stop_admission,
            clock=clock,
        )
        self._budget_of_callers = _memory_budget.MemoryBudget(
            memory_bytes=options.memory_bytes, clock=clock
        )
        self._callers = _caller_server.CallersServer(
            address=options.callers,
            app=self._app,
            max_connections=_memory_budget.max_connections(
                options.max_connections, options.memory_bytes
            ),
            budget=self._budget_of_callers,
        )
        _gauges.watch(
            self.metrics,
            app=self._app,
            callers=self._callers,
            tables=self.tables,
            targets=self.targets,
            paths=paths,
            delegator=self._delegation.delegator,
            fleet=self._fleet,
            guard=self._crash_assembly.guard,
            versions=self.versions,
            read_placements=self._admission.read_placements,
            over_bound_reads=self._admission.over_bound_reads,
            fairness_rejections=self._fairness_rejections,
            late_requests=lambda: self._admission.outcome_reporting.late_count,
        )
        self._monitoring = _monitoring.MonitoringListeners(
            options=options,
            is_ready=self.is_ready,
            metrics=self.metrics,
            budget=self._budget_of_callers,
        )

    def update_table(self, table: _table.RoutingTable) -> None:
        """Put a routing table in force if its version is newer."""
        if not self.tables.update(table):
            _log.warning(
                "ignored table {given}, not newer than {held}",
                given=table.version,
                held=self.tables.version,
            )
            return
        self.targets.cold.set_cold_starts(table.cold_start_by_group)
        self._open_gate()
        self._callers.set_limits(
            max_head_bytes=table.bounds.max_head_bytes,
            max_body_bytes=table.bounds.max_body_bytes,
            head_seconds=table.bounds.head_timeout,
            idle_seconds=table.bounds.idle_timeout,
        )
        _log.info("table {version} is in force", version=table.version)

    def update_drained_zones(self, zones: frozenset[str]) -> None:
        """Set the zones whose replicas receive no new requests."""
        before = self.targets.drains.zones
        if zones == before:
            return
        _log.info(
            "{n} availability zones out of service",
            n=len(zones),
            zones=sorted(zones),
            drained=sorted(zones - before),
            returned=sorted(before - zones),
        )
        self.targets.set_drains(_targets.Drains(zones=zones))

    def _update_replicas(self, targets: list[_targets.Target]) -> None:
        before = self.targets.target_by_replica
        _replica_list.log_changes(before, targets)
        self._drop_stale_connections(targets)
        self._crash_assembly.guard.handle_list_change(before, targets)
        self._version_assembly.update_targets(before, targets)
        self.views.update_targets(targets)
        self.contexts.update_targets(targets)
        self.targets.set_list(targets)
        self._has_replica_list = True
        self._open_gate()

    def _update_shared_records(self, data_by_key: dict[str, bytes]) -> None:
        """Apply the rows of the table that daemons write together."""
        versions, crashes = _version_records.split_rows(data_by_key)
        self._version_assembly.update_rows(versions)
        self._crash_assembly.update_rows(crashes)

    def _drop_stale_connections(self, targets: list[_targets.Target]) -> None:
        """Drop the connections to replica processes that have ended.

        Some of these connections are not reset but stop responding, so a
        call on them would wait until its deadline.
        """
        before = self.targets.target_by_replica
        for target in _listed_targets.restarted(before, targets):
            _log.warning(
                "{replica} restarted; dropping connections to the old process",
                replica=target.replica,
                start=target.incarnation,
            )
            self._connections.drop_connections(before[target.replica])

    def _presume_restarted(self, targets: list[_targets.Target]) -> None:
        """Treat replicas as cold that no daemon has reached for a while."""
        self.targets.cold.presume_cold(targets)
        if self._admission.owner_client is not None:
            for target in targets:
                self._admission.owner_client.report_connection_failure(
                    target.replica
                )

    def _is_cut_off(self, target: _targets.Target, since: float) -> bool:
        """Return whether an answer is late because of this daemon's path."""
        if self._connections.last_received_at >= since:
            return False
        return self._path_check.find_cut(
            target.group, failed=target.replica, since=since
        )

    def _open_gate(self) -> None:
        if self.is_ready():
            self._gate.open()

    @property
    def fleet_hosts(self) -> frozenset[str]:
        """Return the hosts of all known daemons, including this one."""
        daemons = self._fleet.directory.daemons_by_id.values()
        return frozenset(row.host for row in daemons)

    def apply(self, options: _options.ForwardingOptions) -> None:
        """Apply the options that may change while the daemon runs.

        A change of addresses or of the daemon's name takes effect only at the
        next start.
        """
        self._options = options
        self.budget.set_bounds(
            ratio=options.retry_ratio,
            extra=options.retry_extra,
            window=options.retry_window,
        )

    def _join_owners(self, links: _peers.PeerLinks) -> None:
        self._owners = _owners.OwnerRole(
            daemon=self.name,
            links=links,
            targets=self.targets,
            features=self._owner_features(),
            clock=self._clock,
            context_lister=self._context_lister(),
        )
        self._owners.update_daemons(self._fleet.directory.daemons_by_id)
        self._greenlets += self._owners.start()
        _owner_gauges.watch(
            self.metrics,
            self._owners.slowness_by_replica,
            self._owners.ejections,
        )
        _owner_gauges.watch_recoveries(self.metrics, self._owners.recoveries)
        self._crash_assembly.join(links)
        self.versions.join(links)
        self._delegation.join(
            links,
            address=msgspec.structs.replace(
                self._options.peers, port=self._options.delegation_port
            ),
            app=self._app,
            budget=self._budget_of_callers,
        )
        if _mechanisms.Mechanism.OWNERS not in self._options.disabled:
            self._admission.owner_client = self._owners.owner_client
            reporting = self._admission.outcome_reporting
            reporting.owner_client = self._owners.owner_client
            held = self._owners.owner_client.held_placements
            held.reports_outcomes = reporting.applies_to
            reporting.reports = self._owners.outcome_reports
            reporting.is_capacity_short = self._options.is_capacity_short
            self.spawn(self._awaited_heads.check_forever)
            self.targets.on_report(self._owners.owner_client.report_backoff)

    def _context_lister(self) -> _context_lister.ContextLister | None:
        if self._context_codec is None:
            return None
        return _context_lister.ConnectionContextLister(
            connections=self._connections,
            codec=self._context_codec,
            clock=self._clock,
        )

    def _owner_features(self) -> _owner_features.OwnerFeatures:
        disabled = self._options.disabled
        is_short = self._options.is_capacity_short
        mechanism = _mechanisms.Mechanism
        return _owner_features.OwnerFeatures(
            replica_speed=mechanism.REPLICA_SPEED not in disabled,
            prompt_reads=mechanism.PROMPT_READS not in disabled,
            fair_shares=is_short and mechanism.FAIR_SHARES not in disabled,
            context_recovery=mechanism.CONTEXT_RECOVERY not in disabled,
            shared_outcomes=mechanism.SHARED_OUTCOMES not in disabled,
            is_capacity_short=is_short,
        )

    def _fairness_rejections(self) -> int:
        return 0 if self._owners is None else self._owners.fairness_rejections

    def _update_fleet_size(self, daemons: int) -> None:
        if self._owners is not None:
            self._owners.update_daemons(self._fleet.directory.daemons_by_id)
        # Rows of daemons that have left remain, so the number is never too low
        # once all daemons have joined. Before that the fleet may still be
        # growing, hence the minimum.
        self.budget.daemons = max(_MIN_DAEMONS, daemons)
        self._admission.brittle_placement.daemons = daemons
        seconds = _replica_view.REPORT_LIFETIME_SECONDS
        if daemons > _fleet_directory.MAX_SMALL_FLEET:
            seconds = _replica_view.LARGE_FLEET_REPORT_LIFETIME_SECONDS
        self.views.set_report_lifetime(seconds)

    def follow(
        self,
        table: str,
        listener: _table_feed.TableListener,
        *,
        pace: _table_feed.Pace = _table_feed.DEFAULT_PACE,
    ) -> _table_feed.TableFeed:
        """Start following a table of the platform's store."""
        feed = self._fleet.feed(table, listener, pace=pace)

        def run() -> None:
            self._fleet.wait_for_size()
            feed.run()

        self.spawn(run)
        return feed

    def start(self) -> None:
        """Start the listeners and the background tasks."""
        self._monitoring.start()
        self._callers.start()
        self.spawn(self._sweep)
        self.spawn(self._path_check.recheck_forever)
        self.spawn(self._fleet.run)
        for task in self._crash_assembly.tasks():
            self.spawn(task)
        for task in self._version_assembly.tasks():
            self.spawn(task)
        records = self.follow(
            _crash_assembly.TABLE,
            _table_feed.TableListener(changed=self._update_shared_records),
            pace=_crash_assembly.PACE,
        )
        self._version_assembly.record_state = lambda: records.state
        _log.info(
            "started: callers at {host}:{port}",
            host=self._options.callers.host,
            port=self._options.callers.port,
        )

    @property
    def callers_port(self) -> int:
        """Return the port that callers connect to."""
        return int(self._callers.server_port)

    @property
    def metrics_port(self) -> int:
        """Return the port that serves metrics."""
        return self._monitoring.metrics_port

    def spawn(self, task: Callable[[], None]) -> None:
        """Run a task until the daemon halts."""
        self._greenlets.append(_tasks.spawn(task, clock=self._clock))

    def _sweep(self) -> None:
        while True:
            self._clock.sleep(_SWEEP_INTERVAL_SECONDS)
            self._connections.sweep()
            self._delegation.sweep()

    def is_ready(self) -> bool:
        """Return whether the load balancer may send requests here."""
        if self._stopping or self.tables.current is None:
            return False
        return self._has_replica_list

    def stop(self) -> None:
        """Stop gracefully: finish the requests in progress, then halt."""
        if self._stopping:
            return
        self._stopping = True
        _log.info(
            "stopping with {n} requests in progress", n=len(self._app.requests)
        )
        self._greenlets.append(gevent.spawn(self._delegation.leave))
        stop = _graceful_stop.GracefulStop(
            callers=self._callers,
            requests=self._app.requests,
            admission=self._stop_admission,
            clock=self._clock,
        )
        stop.run(seconds=self._options.stop_seconds)
        self.halt()

    def halt(self) -> None:
        """End all greenlets and connections immediately."""
        self._callers.stop(timeout=0)
        self._monitoring.stop()
        gevent.killall(self._greenlets, block=False)
        self._connections.close()
        self._delegation.stop()
        self._fleet.stop()
        self.stopped.set()
