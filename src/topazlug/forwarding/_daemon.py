"""A daemon that forwards: its parts, put together, started and stopped."""

from collections.abc import Callable
from typing import final

import gevent
from gevent import event

from topazlug import _clock
from topazlug import _logs
from topazlug import _tasks
from topazlug._generated import settings as _settings_types
from topazlug.callers import _caller_server
from topazlug.fleet import _fleet
from topazlug.fleet import _fleet_directory
from topazlug.fleet import _table_feed
from topazlug.fleet import _table_source
from topazlug.forwarding import _app
from topazlug.forwarding import _crash_parts
from topazlug.forwarding import _forwarder_parts
from topazlug.forwarding import _gauges
from topazlug.forwarding import _measures
from topazlug.forwarding import _options
from topazlug.forwarding import _planned_stop
from topazlug.forwarding import _probes
from topazlug.forwarding import _start_gate
from topazlug.forwarding import _table
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
from topazlug.targets import _listed_targets
from topazlug.targets import _target_client
from topazlug.targets import _targets
from topazlug.telemetry import _metrics

_log = _logs.logger("daemon")
_SWEEP_SECONDS = 1.0
# A replica in the same region takes a connection in a few milliseconds. One
# that takes none so long is dark, or its first packet was lost.
_CONNECT_SECONDS = 0.25
_FLAP_SECONDS = 10.0
# Until the directory says how many daemons there are, the fixed part of the
# retry budget is split among this many; afterwards never among fewer than a
# few, as others may be about to join.
_FLEET_UNKNOWN = 100
_FLEET_LEAST = 6
# A replica takes a few hundred connections from all daemons together and
# resets the rest; idle ones of 80 daemons must leave room for new ones.
_IDLE_PER_REPLICA = 2


@final
class ForwardingDaemon:
    """One instance that forwards requests.

    Parameters
    ----------
    options : _options.ForwardingOptions
        What it is told.
    caller_wire, replica_wire
        Names on the wire.
    new_store : callable
        Makes a client of the platform's store with connections of its own.
    clock : Clock
        Time.

    Attributes
    ----------
    tables : TableHolder
        The routing table; whoever reads it from the platform puts it here.
    targets : TargetDirectory
        Replicas.
    """

    def __init__(
        self,
        *,
        options: _options.ForwardingOptions,
        caller_wire: _wire.CallerWire,
        replica_wire: _wire.ReplicaWire,
        new_store: Callable[[], _table_source.TableStore],
        clock: _clock.Clock,
    ) -> None:
        self._options = options
        self.name = options.daemon
        self._clock = clock
        self._stopping = False
        self._knows_replicas = False
        self._greenlets: list[gevent.Greenlet] = []
        self.stopped = event.Event()
        self._gate = _start_gate.StartGate(clock=clock)
        self.tables = _table.TableHolder()
        self.targets = _targets.TargetDirectory(
            clock=clock, flap_window=_FLAP_SECONDS
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
            daemons=_FLEET_UNKNOWN,
            clock=clock,
        )
        self.replicas = _replica_list.ReplicaList(
            on_change=self._take_replicas,
            unreachable=options.news.recovery,
            clock=clock,
        )
        self._admission = _owner_admission.OwnerAdmission(
            view_admission=_view_admission.ViewAdmission(
                targets=self.targets, views=self.views
            ),
            targets=self.targets,
            views=self.views,
            clock=clock,
            disabled=options.disabled,
        )
        self._owners: _owners.FleetOwners | None = None
        self._fleet = _fleet.Fleet(
            options=_fleet.FleetOptions(
                daemon=options.daemon,
                address=options.peers,
                relays=options.relays,
                staleness_bounds=options.news,
                first_start=options.first_start,
            ),
            new_store=new_store,
            on_joined=self._join_owners,
            on_size=self._take_size,
            clock=clock,
        )
        self._connections = _target_client.TargetConnections(
            connect_timeout=_CONNECT_SECONDS,
            clock=clock,
            wire=replica_wire,
            idle_per_target=_IDLE_PER_REPLICA,
            handle_report=self.targets.handle_report,
        )
        self._crashes = _crash_parts.CrashParts(
            daemon=options.daemon,
            runs=self._connections.runs,
            targets=self.targets,
            new_store=new_store,
            daemons=lambda: self._fleet.directory.daemons_by_id,
            refuses=_mechanisms.Mechanism.CRASH_GUARD not in options.disabled,
            clock=clock,
        )
        self.metrics = _metrics.Metrics(
            _settings_types.MetricsSettings(), options.daemon, options.zone
        )
        self._measures = _measures.Measures(metrics=self.metrics, clock=clock)
        parts = _forwarder_parts.ForwarderParts(
            admission=self._admission,
            budget=self.budget,
            clock=clock,
            connections=self._connections,
            contexts=self.contexts,
            guard=self._crashes.guard,
            measures=self._measures,
            targets=self.targets,
            views=self.views,
            wire=replica_wire,
            disabled=options.disabled,
        )
        self._app = _app.ForwardingApp(
            forwarder=parts.build(),
            tables=self.tables,
            table_age=lambda: self._fleet.table_age,
            wire=caller_wire,
            gate=self._gate,
            measures=self._measures,
            clock=clock,
        )
        self._callers = _caller_server.CallersServer(
            address=options.callers,
            app=self._app,
            max_connections=options.max_connections,
        )
        _gauges.watch(
            self.metrics,
            app=self._app,
            callers=self._callers,
            tables=self.tables,
            targets=self.targets,
            fleet=self._fleet,
            guard=self._crashes.guard,
        )
        self._probes = _probes.Probes(
            options=options, is_ready=self.is_ready, metrics=self.metrics
        )

    def take_table(self, table: _table.RoutingTable) -> None:
        """Put a newer routing table in force."""
        if not self.tables.take(table):
            _log.warning(
                "table {given} is not newer than {held}; it is left",
                given=table.version,
                held=self.tables.version,
            )
            return
        self.targets.cold.set_cold_starts(table.cold_start_by_group)
        self._open_gate()
        self._callers.head_seconds = table.bounds.head_timeout
        self._callers.idle_seconds = table.bounds.idle_timeout
        _log.info("table {version} is in force", version=table.version)

    def take_drained_zones(self, zones: frozenset[str]) -> None:
        """Send nothing new to the replicas of these zones, and no others."""
        before = self.targets.drains.zones
        if zones == before:
            return
        _log.info(
            "{n} zones are out of service",
            n=len(zones),
            zones=sorted(zones),
            drained=sorted(zones - before),
            returned=sorted(before - zones),
        )
        self.targets.set_drains(_targets.Drains(zones=zones))

    def _take_replicas(self, targets: list[_targets.Target]) -> None:
        before = self.targets.target_by_replica
        _replica_list.log_changes(before, targets)
        self._end_starts(targets)
        self._crashes.guard.handle_list_change(before, targets)
        self.views.take_list(targets)
        self.contexts.take_list(targets)
        self.targets.set_list(targets)
        self._knows_replicas = True
        self._open_gate()

    def _end_starts(self, targets: list[_targets.Target]) -> None:
        """Give up what runs on starts of replicas that have ended.

        Their connections are dead, though some only fall silent: a call
        there would wait until its deadline.
        """
        before = self.targets.target_by_replica
        for target in _listed_targets.restarted(before, targets):
            _log.warning(
                "{replica} has started again; its old start is given up",
                replica=target.replica,
                start=target.incarnation,
            )
            self._connections.drop_connections(before[target.replica])

    def _open_gate(self) -> None:
        if self.is_ready():
            self._gate.open()

    @property
    def fleet_hosts(self) -> frozenset[str]:
        """Give the hosts of all known daemons, this one's own too."""
        daemons = self._fleet.directory.daemons_by_id.values()
        return frozenset(row.host for row in daemons)

    def apply(self, options: _options.ForwardingOptions) -> None:
        """Take over what may change while the daemon runs.

        Addresses and the daemon's name don't: those come with a start.
        """
        self._options = options
        self.budget.set_bounds(
            ratio=options.retry_ratio,
            extra=options.retry_extra,
            window=options.retry_window,
        )

    def _join_owners(self, links: _peers.PeerLinks) -> None:
        self._owners = _owners.FleetOwners(
            daemon=self.name,
            links=links,
            targets=self.targets,
            clock=self._clock,
        )
        self._owners.update_daemons(self._fleet.directory.daemons_by_id)
        self._greenlets += self._owners.start()
        self._crashes.join(links)
        if _mechanisms.Mechanism.OWNERS not in self._options.disabled:
            self._admission.asks = self._owners.asks
            self.targets.on_report(self._owners.asks.report_backoff)

    def _take_size(self, daemons: int) -> None:
        if self._owners is not None:
            self._owners.update_daemons(self._fleet.directory.daemons_by_id)
        # Rows of daemons that are gone stay, so this is never too low once
        # all have joined; before, the fleet may still be growing.
        self.budget.daemons = max(_FLEET_LEAST, daemons)
        seconds = _replica_view.REPORT_LIFETIME_SECONDS
        if daemons > _fleet_directory.MAX_SMALL_FLEET:
            seconds = _replica_view.LARGE_FLEET_REPORT_LIFETIME_SECONDS
        self.views.set_report_lifetime(seconds)

    def follow(
        self,
        table: str,
        follower: _table_feed.TableListener,
        *,
        pace: _table_feed.Pace = _table_feed.DEFAULT_PACE,
    ) -> None:
        """Follow a table of the platform's store from now on."""
        feed = self._fleet.feed(table, follower, pace=pace)

        def run() -> None:
            self._fleet.wait_for_size()
            feed.run()

        self.spawn(run)

    def start(self) -> None:
        """Start both listeners."""
        self._probes.start()
        self._callers.start()
        self.spawn(self._sweep)
        self.spawn(self._fleet.run)
        for task in self._crashes.tasks():
            self.spawn(task)
        self.follow(
            _crash_parts.TABLE,
            self._crashes.follower,
            pace=_crash_parts.PACE,
        )
        _log.info(
            "started: callers at {host}:{port}",
            host=self._options.callers.host,
            port=self._options.callers.port,
        )

    @property
    def callers_port(self) -> int:
        """Give the port that callers connect to."""
        return int(self._callers.server_port)

    @property
    def metrics_port(self) -> int:
        """Give the port of the metrics."""
        return self._probes.metrics_port

    def spawn(self, task: Callable[[], None]) -> None:
        """Run a task for as long as the daemon does."""
        self._greenlets.append(_tasks.spawn(task, clock=self._clock))

    def _sweep(self) -> None:
        while True:
            self._clock.sleep(_SWEEP_SECONDS)
            self._connections.sweep()

    def is_ready(self) -> bool:
        """Say whether the balancer may send callers here."""
        if self._stopping or self.tables.current is None:
            return False
        return self._knows_replicas

    def stop(self) -> None:
        """Stop as planned: cut off nothing that is in progress."""
        if self._stopping:
            return
        self._stopping = True
        _log.info("stopping; {n} in progress", n=self._app.in_progress)
        stop = _planned_stop.PlannedStop(
            callers=self._callers,
            in_progress=lambda: self._app.in_progress,
            clock=self._clock,
        )
        stop.run(seconds=self._options.stop_seconds)
        _log.info("stopped; {n} cut off", n=self._app.in_progress)
        self.halt()

    def halt(self) -> None:
        """End all greenlets and connections at once."""
        self._callers.stop(timeout=0)
        self._probes.stop()
        gevent.killall(self._greenlets, block=False)
        self._connections.close()
        self._fleet.stop()
        self.stopped.set()
