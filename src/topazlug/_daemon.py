"""Assembles the objects of one daemon, and starts and stops them."""

from collections.abc import Callable
from typing import final

import gevent
from gevent import event

from topazlug import _clock
from topazlug import _fleet_assembly
from topazlug import _idle_wait
from topazlug import _ids
from topazlug import _logs
from topazlug import _tasks
from topazlug._generated import settings as _settings_types
from topazlug._generated import table
from topazlug.administration import _administration
from topazlug.administration import _administration_blocked
from topazlug.administration import _administration_http
from topazlug.administration import _fleet_status
from topazlug.administration import _page
from topazlug.callers import _caller_gauges
from topazlug.callers import _caller_server
from topazlug.callers import _callers
from topazlug.callers import _memory_budget
from topazlug.calls import _attempts
from topazlug.calls import _call_assembly
from topazlug.calls import _chat_calls
from topazlug.calls import _retry_budget
from topazlug.calls import _service_calls
from topazlug.claims import _claim_sweep
from topazlug.claims import _claims
from topazlug.configuration import _table_edits
from topazlug.crashes import _crash_guard
from topazlug.crashes import _record_distributor
from topazlug.crashes import _record_sync
from topazlug.routing import _owner_gauges
from topazlug.routing import _placement
from topazlug.routing import _routing_assembly
from topazlug.targets import _target_gauges
from topazlug.telemetry import _metrics

_log = _logs.logger("daemon")
_MAX_ADMINISTRATION_CONNECTIONS = 64
_LEAVE_GRACE_SECONDS = 0.3


@final
class Daemon:
    """One daemon of the fleet.

    Parameters
    ----------
    settings : DaemonSettings
        Validated settings.
    clock : Clock
        Source of time.
    """

    def __init__(
        self, *, settings: _settings_types.DaemonSettings, clock: _clock.Clock
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.stopping = False
        self.stopped = event.Event()
        self._greenlets: list[gevent.Greenlet] = []
        self.metrics = _metrics.Metrics(
            settings.metrics,
            _ids.DaemonId(settings.daemon.id),
            settings.daemon.zone,
        )
        self.fleet = _fleet_assembly.FleetAssembly(
            settings=settings, clock=clock
        )
        self.routing = _routing_assembly.RoutingAssembly(
            settings=settings, fleet=self.fleet, clock=clock
        )
        self._build_crash_guard()
        self._build_callers()
        self._build_administration()

    def _build_crash_guard(self) -> None:
        self.guard = _crash_guard.CrashGuard(
            daemon=self.fleet.daemon_id,
            runs=self.routing.connections.runs,
            targets=self.routing.targets,
            clock=self.clock,
        )
        self.routing.on_list(self.guard.handle_list_change)
        distributor = _record_distributor.RecordDistributor(
            daemon=self.fleet.daemon_id,
            links=self.fleet.links,
            daemons=self.fleet.membership.usable,
            on_records=self.guard.add_peer_records,
            on_holds=self.guard.add_peer_holds,
            unshared=self.guard.unshared_records,
        )
        self.guard.announce_hold = distributor.send_hold
        self.guard.trials.rank_of = distributor.rank_of
        self._crash_record_sync = _record_sync.RecordSync(
            store=self.fleet.new_store(),
            distributor=distributor,
            on_records=self.guard.set_shared_records,
            clock=self.clock,
        )
        self.guard.publisher = self._crash_record_sync

    def _build_callers(self) -> None:
        settings = self.settings
        self.budget = _retry_budget.RetryBudget(
            ratio=settings.limits.retry_ratio
        )
        attempts = _attempts.Attempts(
            admission=self.routing.admission,
            targets=self.routing.targets,
            budget=self.budget,
            clock=self.clock,
            count_retry=self._count_retry,
        )
        # Claims have connections of their own, so that a burst of claims
        # doesn't delay reads of the table, nor the other way round.
        claim_store = self.fleet.new_store()
        self.claim_sweeper = _claim_sweep.ClaimSweeper(
            store=claim_store,
            clock=self.clock,
            daemon_id=self.fleet.daemon_id,
            usable=self.fleet.membership.usable,
        )
        self.claims = _claims.ClaimManager(
            store=claim_store,
            objects=self.fleet.objects,
            daemon_id=self.fleet.daemon_id,
            clock=self.clock,
            max_kept_bytes=settings.limits.max_kept_answer_bytes,
        )
        assembly = _call_assembly.CallAssembly(
            attempts=attempts,
            admission=self.routing.admission,
            connections=self.routing.connections,
            quotas=self.routing.quotas,
            limits=settings.limits,
            metrics=self.metrics,
            guard=self.guard,
            clock=self.clock,
        )
        self.app = _callers.CallersApp(
            chats=_chat_calls.ChatCalls(assembly=assembly, spawn=gevent.spawn),
            services=_service_calls.ServiceCalls(
                assembly=assembly, claims=self.claims
            ),
            configuration=self.fleet.configuration,
            limits=settings.limits,
            metrics=self.metrics,
            clock=self.clock,
        )
        self.memory_budget = _memory_budget.MemoryBudget(
            memory_bytes=settings.limits.memory_bytes, clock=self.clock
        )
        self.memory_budget.raise_limit(
            max(
                settings.limits.max_body_bytes,
                _administration_http.MAX_IMPORT_BYTES,
            )
        )
        self.callers = _caller_server.CallersServer(
            address=settings.listen.callers,
            app=self.app,
            max_connections=_memory_budget.max_connections(
                settings.limits.max_connections, settings.limits.memory_bytes
            ),
            tls=settings.listen.callers_tls,
            budget=self.memory_budget,
        )

    def _build_administration(self) -> None:
        editor = _table_edits.TableEditor(
            store=self.fleet.store,
            holder=self.fleet.configuration,
            publisher=self.fleet.follower,
            clock=self.clock,
        )
        status = _fleet_status.FleetStatusSource(
            daemon=self.fleet.daemon_id,
            configuration=self.fleet.configuration,
            membership=self.fleet.membership,
            links=self.fleet.links,
            owner=self.routing.owner,
            ownership=self.routing.ownership,
            targets=self.routing.targets,
            rules=self.routing.rules,
            quotas=self.routing.quotas,
        )
        self.administration_app = _administration.Administration(
            holder=self.fleet.configuration,
            editor=editor,
            publisher=self.fleet.follower,
            store=self.fleet.store,
            status=status,
            is_ready=self.is_ready,
            exposition=self.metrics.exposition,
            bootstrap_token_hash=(
                self.settings.administration.bootstrap_token_hash
            ),
        )
        self.administration_app.add(_page.routes())
        blocked = _administration_blocked.BlockedResource(guard=self.guard)
        self.administration_app.add(blocked.routes())
        self.administration = _caller_server.InternalServer(
            address=self.settings.listen.administration,
            app=self.administration_app,
            max_connections=_MAX_ADMINISTRATION_CONNECTIONS,
            budget=self.memory_budget,
        )

    def start(self) -> None:
        """Start all tasks and servers; callers are accepted at once."""
        self.routing.connect()
        self._register_metrics()
        self.fleet.start()
        for task in self.routing.tasks():
            self._spawn(task)
        for task in (self.guard.run, *self._crash_record_sync.tasks()):
            self._spawn(task)
        self._spawn(self.claim_sweeper.run)
        self.administration.start()
        self.callers.start()
        _log.info(
            "started: callers at {host}:{port}",
            host=self.callers.server_host,
            port=self.callers.server_port,
        )

    def _spawn(self, function: Callable[[], None]) -> None:
        self._greenlets.append(_tasks.spawn(function, clock=self.clock))

    def is_ready(self) -> bool:
        """Return whether the load balancer may send callers here."""
        if self.stopping or self.fleet.configuration.current is None:
            return False
        return self.fleet.instances.refreshed_at is not None

    def _count_retry(self, request: _placement.PlacementRequest) -> None:
        request_class = table.RequestClass.interactive
        if request.batch:
            request_class = table.RequestClass.batch
        self.metrics.count_retry(request.team, request_class)

    def _register_metrics(self) -> None:
        watch = self.metrics.watch
        owner = self.routing.owner
        watch(_metrics.Gauge.QUEUED, owner.queued_count)
        by_group = self.metrics.watch_by_group
        by_group(_metrics.Gauge.MEAN_LOAD, owner.group_limits.mean_by_group)
        by_group(_metrics.Gauge.SKEW, owner.group_limits.skew_by_group)
        watch(_metrics.Gauge.IN_FLIGHT, lambda: self.app.in_progress)
        _caller_gauges.watch(self.metrics, self.callers)
        watch(
            _metrics.Gauge.MEMBERS, lambda: len(self.fleet.membership.usable())
        )
        watch(
            _metrics.Gauge.REVISION, lambda: self.fleet.configuration.revision
        )
        _target_gauges.watch(self.metrics, self.routing.targets)
        watch(
            _metrics.Gauge.OWNED_REPLICAS,
            lambda: len(self.routing.owner.ledger_by_replica),
        )
        _owner_gauges.watch(
            self.metrics, owner.slowness_by_replica, owner.ejections
        )
        watch(_metrics.Gauge.BLOCKED, lambda: self.guard.blocked)
        watch(_metrics.Total.BLOCK_TRIALS, lambda: self.guard.trials.count)
        watch(_metrics.Total.CONTROL_SENT, lambda: self.fleet.links.bytes_sent)
        watch(
            _metrics.Total.CONTROL_RECEIVED,
            lambda: self.fleet.links.bytes_received,
        )
        watch(_metrics.Total.PAUSES, lambda: self.fleet.membership.pause_count)

    def stop(self) -> None:
        """Stop gracefully: requests in progress are completed.

        The daemon first reports that it is not ready and accepts no new
        connections. A request on an open connection is still served, and the
        connection is closed after its answer. Peers take over the replicas
        that this daemon owns. When all requests have ended, or after the
        ``stop_grace`` setting, the daemon stops.
        """
        if self.stopping:
            return
        self.stopping = True
        _log.info("stopping; {n} requests in progress", n=self.app.in_progress)
        self.callers.stopping = True
        self.callers.close_listener()
        self.fleet.leave()
        _idle_wait.wait_until_idle(
            lambda: (
                self.app.in_progress + self.callers.awaiting_first_request
            ),
            seconds=self.settings.limits.stop_grace,
            clock=self.clock,
        )
        # From here on a request is read only if it has arrived by now.
        self.callers.close_idle()
        self.claims.wait_finalized(_LEAVE_GRACE_SECONDS)
        _idle_wait.wait_until_idle(
            lambda: self.app.in_progress,
            seconds=self.settings.limits.stop_grace,
            idle_seconds=_LEAVE_GRACE_SECONDS,
            clock=self.clock,
        )
        self.halt()

    def halt(self) -> None:
        """Stop all greenlets and close all connections at once."""
        self.callers.stop(timeout=0)
        self.administration.stop(timeout=0)
        gevent.killall(self._greenlets, block=False)
        self.fleet.stop()
        self.routing.connections.close()
        self.metrics.stop()
        self.stopped.set()
