"""A daemon's forwarder, put together from the parts that it shares."""

from typing import final

import msgspec

from topazlug import _clock
from topazlug import _logs
from topazlug.calls import _attempts
from topazlug.crashes import _crash_guard
from topazlug.forwarding import _event_relay
from topazlug.forwarding import _exchange
from topazlug.forwarding import _forwarder
from topazlug.forwarding import _measures
from topazlug.forwarding import _wire
from topazlug.limits import _retry_share
from topazlug.placement import _context_locator
from topazlug.placement import _mechanisms
from topazlug.placement import _owner_admission
from topazlug.placement import _replica_view
from topazlug.routing import _placement
from topazlug.targets import _target_client
from topazlug.targets import _targets

_log = _logs.logger("daemon")


@final
class ForwarderParts(msgspec.Struct, frozen=True, kw_only=True):
    """What a forwarder needs of its daemon.

    Attributes
    ----------
    admission : OwnerOrViewAdmission
        Finds places.
    budget : RetryShare
        Retries of this daemon.
    clock : Clock
        Time.
    connections : TargetConnections
        Connections to replicas.
    contexts : ContextLocator
        Knows where prompts' contexts lie.
    guard : CrashGuard
        Refuses requests that crash replicas.
    measures : Measures
        What is counted.
    targets : TargetDirectory
        Replicas.
    views : ReplicaViews
        How replicas answer.
    wire : ReplicaWire
        Names on the wire.
    disabled : frozenset of Mechanism
        What is switched off.
    """

    admission: _owner_admission.OwnerOrViewAdmission
    budget: _retry_share.RetryShare
    clock: _clock.Clock
    connections: _target_client.TargetConnections
    contexts: _context_locator.ContextLocator
    guard: _crash_guard.CrashGuard
    measures: _measures.Measures
    targets: _targets.TargetDirectory
    views: _replica_view.ReplicaViews
    wire: _wire.ReplicaWire
    disabled: _mechanisms.DisabledMechanisms

    def build(self) -> _forwarder.Forwarder:
        """Give the forwarder."""
        exchange = self._new_exchange()
        return _forwarder.Forwarder(
            attempts=self._new_attempts(),
            admission=self.admission,
            exchange=exchange,
            resumer=self._new_resumer(exchange),
            guard=self.guard,
            views=self.views,
            budget=self.budget,
            measures=self.measures,
            disabled=self.disabled,
            clock=self.clock,
        )

    def _new_exchange(self) -> _exchange.Exchange:
        return _exchange.Exchange(
            connections=self.connections,
            targets=self.targets,
            views=self.views,
            contexts=self.contexts,
            wire=self.wire,
            note_unreached=self.admission.handle_connection_failure,
            note_head=self.admission.handle_response_head,
            disabled=self.disabled,
            clock=self.clock,
        )

    def _new_attempts(self) -> _attempts.Attempts:
        return _attempts.Attempts(
            admission=self.admission,
            targets=self.targets,
            budget=self.budget,
            clock=self.clock,
            count_retry=self._note_retry,
        )

    def _new_resumer(
        self, exchange: _exchange.Exchange
    ) -> _event_relay.StreamResumer:
        return _event_relay.StreamResumer(
            admission=self.admission,
            exchange=exchange,
            budget=self.budget,
            views=self.views,
            guard=self.guard,
            disabled=self.disabled,
            clock=self.clock,
        )

    def _note_retry(self, request: _placement.PlacementRequest) -> None:
        self.measures.retried(request)
        _log.info(
            "another replica of {group} is tried",
            group=request.group,
            budget_left=self.budget.remaining(request.group),
        )
