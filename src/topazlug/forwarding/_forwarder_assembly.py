"""Builds a daemon's forwarder from the objects that the daemon shares."""

from typing import final

import msgspec

from topazlug import _clock
from topazlug import _ids
from topazlug import _logs
from topazlug.calls import _attempts
from topazlug.crashes import _crash_guard
from topazlug.delegation import _delegator
from topazlug.forwarding import _awaited_heads
from topazlug.forwarding import _call_metrics
from topazlug.forwarding import _exchange
from topazlug.forwarding import _forwarder
from topazlug.forwarding import _stop_admission
from topazlug.forwarding import _stream_resumer
from topazlug.forwarding import _wire
from topazlug.limits import _retry_share
from topazlug.placement import _context_locator
from topazlug.placement import _mechanisms
from topazlug.placement import _owner_admission
from topazlug.placement import _replica_view
from topazlug.routing import _placement
from topazlug.targets import _path_check
from topazlug.targets import _process_check
from topazlug.targets import _target_client
from topazlug.targets import _targets
from topazlug.versions import _stream_versions

_log = _logs.logger("daemon")


@final
class ForwarderAssembly(msgspec.Struct, frozen=True, kw_only=True):
    """The objects of a daemon that its forwarder uses.

    Attributes
    ----------
    admission : OwnerOrViewAdmission
        Admits requests and releases their slots.
    awaited_heads : AwaitedHeads
        Watches the requests that wait for an answer.
    budget : RetryShare
        Retry budget of this daemon.
    clock : Clock
        Clock of the daemon.
    connections : TargetConnections
        Connections to replicas.
    contexts : ContextLocator
        Locates the replicas that hold the context of a prompt.
    guard : CrashGuard
        Rejects requests that crash replicas.
    call_metrics : CallMetrics
        Counts requests and their durations.
    stop_admission : StopAdmission
        Refuses requests that can't end before the daemon does.
    path_check : PathCheck
        Finds out whether this daemon is cut off from a group.
    delegator : Delegator or None
        Has other daemons serve requests while this one is cut off.
    targets : TargetDirectory
        Known replicas.
    views : ReplicaViews
        Load, latency and outcomes of replicas.
    versions : StreamVersions
        Finds out at which software versions streams began.
    process_check : ProcessCheck
        Confirms that a replica still runs the version that it is listed with.
    codec : ReplicaHeaderCodec
        Encodes requests for replicas and decodes their answers.
    disabled : frozenset of Mechanism
        Mechanisms that are switched off.
    """

    admission: _owner_admission.OwnerOrViewAdmission
    awaited_heads: _awaited_heads.AwaitedHeads
    budget: _retry_share.RetryShare
    clock: _clock.Clock
    connections: _target_client.TargetConnections
    contexts: _context_locator.ContextLocator
    guard: _crash_guard.CrashGuard
    call_metrics: _call_metrics.CallMetrics
    stop_admission: _stop_admission.StopAdmission
    path_check: _path_check.PathCheck
    delegator: _delegator.Delegator | None
    targets: _targets.TargetDirectory
    views: _replica_view.ReplicaViews
    versions: _stream_versions.StreamVersions
    process_check: _process_check.ProcessCheck
    codec: _wire.ReplicaHeaderCodec
    disabled: _mechanisms.DisabledMechanisms

    def build(self) -> _forwarder.Forwarder:
        """Return a new forwarder."""
        exchange = self._new_exchange()
        return _forwarder.Forwarder(
            attempts=self._new_attempts(),
            admission=self.admission,
            exchange=exchange,
            resumer=self._new_resumer(exchange),
            guard=self.guard,
            path_check=self.path_check,
            delegator=self.delegator,
            views=self.views,
            versions=self.versions,
            budget=self.budget,
            call_metrics=self.call_metrics,
            stop_admission=self.stop_admission,
            is_brittle=lambda group: (
                self.targets.brittle.tolerated_by(group) is not None
            ),
            count_usable=self._count_usable,
            disabled=self.disabled,
            clock=self.clock,
        )

    def _count_usable(
        self, group: _ids.GroupName, version: _ids.SoftwareVersion
    ) -> int:
        listed = self.targets.target_by_replica
        return sum(
            listed[replica].version == version
            for replica in self.targets.usable(group)
        )

    def _new_exchange(self) -> _exchange.Exchange:
        return _exchange.Exchange(
            connections=self.connections,
            targets=self.targets,
            views=self.views,
            contexts=self.contexts,
            codec=self.codec,
            on_connection_failure=self.admission.handle_connection_failure,
            on_answer_head=self.admission.handle_response_head,
            awaited_heads=self.awaited_heads,
            path_check=self.path_check,
            process_check=self.process_check,
            disabled=self.disabled,
            clock=self.clock,
        )

    def _new_attempts(self) -> _attempts.Attempts:
        return _attempts.Attempts(
            admission=self.admission,
            targets=self.targets,
            budget=self.budget,
            clock=self.clock,
            count_retry=self._record_retry,
        )

    def _new_resumer(
        self, exchange: _exchange.Exchange
    ) -> _stream_resumer.StreamResumer:
        return _stream_resumer.StreamResumer(
            admission=self.admission,
            exchange=exchange,
            budget=self.budget,
            views=self.views,
            guard=self.guard,
            stop_admission=self.stop_admission,
            count_usable=self._count_usable,
            disabled=self.disabled,
            clock=self.clock,
        )

    def _record_retry(self, request: _placement.PlacementRequest) -> None:
        self.call_metrics.record_retry(request)
        _log.info(
            "retrying at another replica of {group}",
            group=request.group,
            budget_left=self.budget.remaining(request.group),
        )
