"""Both sides of delegation in one daemon: its delegator and its listener."""

from collections.abc import Callable
from collections.abc import Mapping
from typing import Any
from typing import final

import gevent

from topazlug import _clock
from topazlug import _errors
from topazlug import _ids
from topazlug import _logs
from topazlug._generated import settings as _settings_types
from topazlug.callers import _memory_budget
from topazlug.delegation import _delegation_server
from topazlug.delegation import _delegation_wire
from topazlug.delegation import _delegator
from topazlug.fleet import _fleet_directory
from topazlug.limits import _retry_share
from topazlug.peers import _peers
from topazlug.targets import _replica_paths
from topazlug.targets import _target_answer
from topazlug.targets import _target_client
from topazlug.targets import _target_report
from topazlug.targets import _target_wire
from topazlug.targets import _targets

_log = _logs.logger("delegation")
# A daemon of the same region completes the handshake in a few milliseconds.
_CONNECT_TIMEOUT_SECONDS = 0.25
_MAX_CONNECTIONS = 512
_MAX_IDLE_CONNECTIONS_PER_DAEMON = 8


@final
class DelegationRole:
    """Sends requests to other daemons, and serves requests of others.

    Parameters
    ----------
    daemon : DaemonId
        This daemon.
    daemons : callable
        Returns the rows of all known daemons.
    table_version : callable
        Returns the version of the routing table in force.
    budget : RetryShare
        Retry budget of this daemon.
    paths : ReplicaPaths
        Groups that this daemon is cut off from.
    targets : TargetDirectory
        Replicas; is notified of those that are leaving.
    replica_wire : TargetWire
        Decodes what replicas report of their own state.
    clock : Clock
        Clock of the daemon.

    Attributes
    ----------
    delegator : Delegator
        Has other daemons serve requests.
    """

    def __init__(
        self,
        *,
        daemon: _ids.DaemonId,
        daemons: Callable[
            [], Mapping[_ids.DaemonId, _fleet_directory.DaemonRow]
        ],
        table_version: Callable[[], int],
        budget: _retry_share.RetryShare,
        paths: _replica_paths.ReplicaPaths,
        targets: _targets.TargetDirectory,
        replica_wire: _target_wire.TargetWire,
        clock: _clock.Clock,
    ) -> None:
        self._targets = targets
        self._replica_wire = replica_wire
        self._links: _peers.PeerLinks | None = None
        self._server: _delegation_server.DelegationServer | None = None
        self._connections = _target_client.TargetConnections(
            connect_timeout=_CONNECT_TIMEOUT_SECONDS,
            clock=clock,
            wire=_delegation_wire.DelegateWire(),
            idle_per_target=_MAX_IDLE_CONNECTIONS_PER_DAEMON,
            opener=self._open,
        )
        self.delegator = _delegator.Delegator(
            daemon=daemon,
            daemons=daemons,
            connections=self._connections,
            table_version=table_version,
            budget=budget,
            paths=paths,
            on_answer=self._handle_answer,
            clock=clock,
        )

    def join(
        self,
        links: _peers.PeerLinks,
        *,
        address: _settings_types.AddressSettings,
        app: Any,
        budget: _memory_budget.MemoryBudget | None = None,
    ) -> None:
        """Start to serve requests of other daemons.

        Parameters
        ----------
        links : PeerLinks
            Connections to other daemons.
        address : AddressSettings
            Where to listen; no request is served if its port is 0.
        app : callable
            The WSGI application.
        budget : MemoryBudget or None
            What callers may make the daemon hold; None for one of its own.
        """
        self._links = links
        if not address.port:
            return
        self._server = _delegation_server.DelegationServer(
            address=address,
            app=app,
            max_connections=_MAX_CONNECTIONS,
            authenticate=links.accept_stream,
            budget=budget,
        )
        self._server.start()

    def _open(self, target: _targets.Target) -> Any:
        if self._links is None:
            raise _errors.PeerRefused("this daemon has not joined its fleet")
        timeout = TimeoutError("handshake timed out")
        with gevent.Timeout(_CONNECT_TIMEOUT_SECONDS, timeout):
            return self._links.open_stream(
                _ids.DaemonId(target.replica),
                _peers.Address(target.host, target.port),
            )

    def _handle_answer(
        self,
        replica: _ids.ReplicaId,
        answer: _target_answer.TargetAnswer,
    ) -> None:
        """Record that the replica behind an answer is leaving, if it is.

        The list may show it only seconds later, and this daemon may be
        connected to its replicas again by then. A backoff is not recorded:
        the replica has requested it of the other daemon.
        """
        target = self._targets.target_by_replica.get(replica)
        if target is None or not self._replica_wire.report(answer).leaving:
            return
        self._targets.handle_report(
            target, _target_report.TargetReport(leaving=True)
        )

    def leave(self) -> None:
        """Have other daemons send their requests elsewhere."""
        if self._server is not None:
            self._server.leave()

    def sweep(self) -> None:
        """Close expired idle connections."""
        self._connections.sweep()

    def stop(self) -> None:
        """Close the listener and all idle connections."""
        if self._server is not None:
            self._server.stop(timeout=0)
        self._connections.close()
