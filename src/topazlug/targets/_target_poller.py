"""An owner's look at its replicas: their load, and whether they live.

Only the owner asks a replica, so that 880 daemons don't each ask 6,100
replicas; what it learns spreads as a fact.
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
_TIMEOUT = 0.5
_REFUSALS_UNTIL_DEAD = 2
_SILENCES_UNTIL_DEAD = 4
_MAX_BYTES = 65536
_HEARD_SECONDS = 5.0


class LoadDocument(msgspec.Struct):
    """What a target says of itself; other fields are not read."""

    running: int
    state: str = "live"
    incarnation: int = 0


class _Record(msgspec.Struct):
    refusals: int = 0
    silences: int = 0


class TargetStatePublisher(Protocol):
    """Whom to tell what was learned of a target."""

    def publish_target(
        self,
        replica: _ids.ReplicaId,
        *,
        incarnation: int,
        state: messages.FactState,
    ) -> None:
        """Tell all daemons."""


@final
class TargetPoller:
    """Polls the replicas that this daemon owns.

    Parameters
    ----------
    owned : callable
        Gives the replicas owned now.
    targets : TargetDirectory
        Their addresses.
    connections : TargetConnections
        Connections to them.
    publisher : TargetStatePublisher
        Gets to know what they give away.
    report : callable
        Gets each replica's running work.
    interval : float
        Seconds between two looks at one replica.
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
        self._signs = publisher
        self._report = report
        self._interval = interval
        self._clock = clock
        self._record_by_replica: dict[_ids.ReplicaId, _Record] = {}
        self._polling: set[_ids.ReplicaId] = set()

    def run(self) -> None:
        """Look at all owned replicas, again and again."""
        while True:
            for replica in list(self._owned()):
                if replica not in self._polling:
                    gevent.spawn(self.poll, replica)
            self._clock.sleep(self._interval)

    def poll(self, replica: _ids.ReplicaId) -> None:
        """Look at one replica, and tell what was learned."""
        target = self._targets.target_by_replica.get(replica)
        if target is None:
            self._record_by_replica.pop(replica, None)
            return
        self._polling.add(replica)
        try:
            self._look_at(target)
        finally:
            self._polling.discard(replica)

    def _look_at(self, target: _targets.Target) -> None:
        record = self._record_by_replica.setdefault(target.replica, _Record())
        try:
            document = self._ask(target)
        except _target_client.ConnectFailed:
            record.refusals += 1
        except (_errors.TopazlugError, msgspec.MsgspecError):
            record.silences += 1
        else:
            record.refusals = record.silences = 0
            self._take(target, document)
            return
        gone = record.refusals >= _REFUSALS_UNTIL_DEAD
        silent = record.silences >= _SILENCES_UNTIL_DEAD
        # An engine may serve and yet say nothing of its load.
        heard = self._connections.has_answered_within(target, _HEARD_SECONDS)
        if gone or (silent and not heard):
            self._tell(target, messages.FactState.dead)

    def _ask(self, target: _targets.Target) -> LoadDocument:
        request = _target_client.TargetRequest(
            method="GET",
            path="/load",
            headers=[("Host", f"{target.host}:{target.port}")],
            body=b"",
            request_id=_ids.RequestId("load"),
            is_probe=True,
        )
        answer = self._connections.exchange(
            target, request, head_timeout=_TIMEOUT
        )
        body = b"".join(answer.chunks(silence=_TIMEOUT))
        return msgspec.json.decode(body[:_MAX_BYTES], type=LoadDocument)

    def _take(self, target: _targets.Target, document: LoadDocument) -> None:
        if document.state == messages.FactState.leaving.value:
            self._tell(target, messages.FactState.leaving)
            return
        self._report(target.replica, document.running)
        if self._targets.state_of(target.replica) is messages.FactState.dead:
            self._tell(target, messages.FactState.live)

    def _tell(
        self, target: _targets.Target, state: messages.FactState
    ) -> None:
        if self._targets.state_of(target.replica) is state:
            return
        _log.warning(
            "{replica} is {state}", replica=target.replica, state=state.value
        )
        self._signs.publish_target(
            target.replica, incarnation=target.incarnation, state=state
        )
