"""Polling of owned replicas for their load and liveness.

Only its owner polls a replica, so that 880 daemons don't each poll 6,100
replicas. The owner publishes changes of state as facts.
"""

from collections.abc import Callable
from collections.abc import Iterable
from typing import Protocol
from typing import final

import gevent
import msgspec

from topazlug import _clock
from topazlug import _errors
from topazlug import _ids
from topazlug import _logs
from topazlug._generated import messages
from topazlug.targets import _target_client
from topazlug.targets import _targets

_log = _logs.logger("watch")
_TIMEOUT_SECONDS = 0.5
# Maximum duration of a poll, also if bytes still arrive.
_MAX_SECONDS = 2.0
_CONNECT_FAILURES_UNTIL_DEAD = 2
_ERRORS_UNTIL_DEAD = 4
_MAX_DOCUMENT_BYTES = 65536
_RECENT_ANSWER_SECONDS = 5.0


class LoadDocument(msgspec.Struct):
    """Load and state reported by a target; other fields are ignored."""

    running: int
    state: str = "live"
    incarnation: int = 0


class _Failures(msgspec.Struct):
    connect_failures: int = 0
    errors: int = 0


class TargetStatePublisher(Protocol):
    """Publishes changes of a target's state."""

    def publish_target(
        self,
        replica: _ids.ReplicaId,
        *,
        incarnation: int,
        state: messages.FactState,
    ) -> None:
        """Send a target's new state to all daemons."""


@final
class TargetPoller:
    """Polls the replicas that this daemon owns.

    Parameters
    ----------
    owned : callable
        Returns the replicas owned now.
    targets : TargetDirectory
        Their addresses.
    connections : TargetConnections
        Connections to them.
    publisher : TargetStatePublisher
        Receives changes of their states.
    report : callable
        Called with each replica's number of running requests.
    interval : float
        Seconds between two polls of a replica.
    clock : Clock
        Time.
    """

    def __init__(
        self,
        *,
        owned: Callable[[], Iterable[_ids.ReplicaId]],
        targets: _targets.TargetDirectory,
        connections: _target_client.TargetConnections,
        publisher: TargetStatePublisher,
        report: Callable[[_ids.ReplicaId, int], None],
        interval: float,
        clock: _clock.Clock,
    ) -> None:
        self._owned = owned
        self._targets = targets
        self._connections = connections
        self._publisher = publisher
        self._report = report
        self._interval = interval
        self._clock = clock
        self._failures_by_replica: dict[_ids.ReplicaId, _Failures] = {}
        self._polling: set[_ids.ReplicaId] = set()

    def run(self) -> None:
        """Poll all owned replicas periodically."""
        while True:
            for replica in list(self._owned()):
                if replica not in self._polling:
                    gevent.spawn(self.poll, replica)
            self._clock.sleep(self._interval)

    def poll(self, replica: _ids.ReplicaId) -> None:
        """Poll one replica, and publish its state if it changed."""
        target = self._targets.target_by_replica.get(replica)
        if target is None:
            self._failures_by_replica.pop(replica, None)
            return
        self._polling.add(replica)
        try:
            self._poll_target(target)
        finally:
            self._polling.discard(replica)

    def _poll_target(self, target: _targets.Target) -> None:
        failures = self._failures_by_replica.setdefault(
            target.replica, _Failures()
        )
        try:
            document = self._fetch_load(target)
        except _target_client.ConnectFailed:
            failures.connect_failures += 1
        except (_errors.TopazlugError, msgspec.MsgspecError):
            failures.errors += 1
        else:
            failures.connect_failures = failures.errors = 0
            self._handle_document(target, document)
            return
        unreachable = failures.connect_failures >= _CONNECT_FAILURES_UNTIL_DEAD
        failing = failures.errors >= _ERRORS_UNTIL_DEAD
        # An engine may serve requests although its load can't be read.
        has_answered = self._connections.has_answered_within(
            target.replica, _RECENT_ANSWER_SECONDS
        )
        if unreachable or (failing and not has_answered):
            self._publish(target, messages.FactState.dead)

    def _fetch_load(self, target: _targets.Target) -> LoadDocument:
        request = _target_client.TargetRequest(
            method="GET",
            path="/load",
            headers=[("Host", f"{target.host}:{target.port}")],
            body=b"",
            request_id=_ids.RequestId("load"),
            is_probe=True,
        )
        deadline = self._clock.monotonic() + _MAX_SECONDS
        answer = self._connections.exchange(
            target, request, head_timeout=_TIMEOUT_SECONDS, deadline=deadline
        )
        try:
            body = bytearray()
            for data in answer.chunks(
                receive_timeout=_TIMEOUT_SECONDS, deadline=deadline
            ):
                body += data
                if len(body) > _MAX_DOCUMENT_BYTES:
                    raise _errors.TargetFailed("the load is too long")
        finally:
            answer.close()
        return msgspec.json.decode(body, type=LoadDocument)

    def _handle_document(
        self, target: _targets.Target, document: LoadDocument
    ) -> None:
        if document.state == messages.FactState.leaving.value:
            self._publish(target, messages.FactState.leaving)
            return
        self._report(target.replica, document.running)
        if self._targets.state_of(target.replica) is messages.FactState.dead:
            self._publish(target, messages.FactState.live)

    def _publish(
        self, target: _targets.Target, state: messages.FactState
    ) -> None:
        if self._targets.state_of(target.replica) is state:
            return
        _log.warning(
            "{replica} is {state}", replica=target.replica, state=state.value
        )
        self._publisher.publish_target(
            target.replica, incarnation=target.incarnation, state=state
        )
