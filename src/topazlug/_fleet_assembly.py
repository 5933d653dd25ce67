"""Assembles a daemon's connections to the platform and to its peers."""

import random
from typing import final

from topazlug import _clock
from topazlug import _errors
from topazlug import _ids
from topazlug import _logs
from topazlug._generated import messages
from topazlug._generated import settings as _settings_types
from topazlug.configuration import _configuration
from topazlug.configuration import _configuration_follower
from topazlug.membership import _membership
from topazlug.peers import _peers
from topazlug.store import _instances
from topazlug.store import _object_client
from topazlug.store import _table_client

_log = _logs.logger("daemon")
FLEET = "topazlug"


@final
class FleetAssembly:
    """Clients of the platform, links to peers, membership and the table.

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
        self._settings = settings
        self._clock = clock
        self.daemon_id = _ids.DaemonId(settings.daemon.id)
        self.incarnation = int(clock.now().timestamp() * 1000)
        self.configuration = _configuration.ConfigurationHolder()
        self._build_platform()
        self._build_peers()

    def _build_platform(self) -> None:
        platform = self._settings.platform
        self.store = self.new_store()
        self.objects = _object_client.ObjectClient(
            host=platform.objects.host,
            port=platform.objects.port,
            timeout=platform.timeout,
            clock=self._clock,
        )
        self.instances = _instances.InstanceList(
            host=platform.instances.host,
            port=platform.instances.port,
            timeout=platform.timeout,
            interval=self._list_interval,
            clock=self._clock,
        )

    def new_store(self) -> _table_client.TableClient:
        """Return a table client that has connections of its own."""
        platform = self._settings.platform
        return _table_client.TableClient(
            host=platform.tables.host,
            port=platform.tables.port,
            timeout=platform.timeout,
            clock=self._clock,
        )

    def _build_peers(self) -> None:
        settings = self._settings
        self.links = _peers.PeerLinks(
            daemon_id=self.daemon_id,
            incarnation=self.incarnation,
            settings=settings.peers,
            clock=self._clock,
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
            clock=self._clock,
            current_revision=lambda: self.configuration.revision,
        )
        self.follower = _configuration_follower.ConfigurationFollower(
            daemon_id=self.daemon_id,
            holder=self.configuration,
            store=self.store,
            links=self.links,
            members=self.membership,
            settings=settings.configuration,
            clock=self._clock,
            randomness=random.Random(),
        )
        self.membership.on_peer_revision(
            lambda peer, revision: self.follower.handle_peer_revision(
                peer=peer, revision=revision
            )
        )

    def _list_interval(self) -> float:
        platform = self._settings.platform
        # All daemons together read the list at no more than a fixed rate.
        daemons = len(self.membership.usable())
        shared_interval = daemons / platform.instances_reads_per_second
        return max(platform.instances_interval, shared_interval)

    def _own_instance(self) -> _instances.Instance:
        identity = self._settings.daemon
        peers = self._settings.listen.peers
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

    def reachable_fraction(self) -> float:
        """Return the fraction of the fleet that this daemon can reach.

        An unreachable daemon that is still on the platform's list may be
        running on the other side of a network partition. One that failed
        permanently disappears from the list.
        """
        usable = self.membership.usable()
        listed = self.instances.instances_by_id
        members = self.membership.members_by_id
        unreachable = [
            daemon
            for daemon, member in members.items()
            if member.state is messages.FactState.dead
            and daemon in listed
            and listed[daemon].incarnation <= member.incarnation
        ]
        return len(usable) / max(1, len(usable) + len(unreachable))

    def start(self) -> None:
        """Register, and start to follow the list, peers and the table."""
        self.instances.register(self._own_instance())
        self.instances.start()
        self.membership.start()
        self.follower.start()

    def leave(self) -> None:
        """Announce to peers and the platform that this daemon is leaving."""
        self.membership.announce_leaving()
        try:
            self.instances.unregister(self.daemon_id)
        except _errors.TopazlugError as error:
            _log.warning(
                "not removed from the instance list: {why}", why=error.message
            )

    def stop(self) -> None:
        """Stop all greenlets and close all connections."""
        self.follower.stop()
        self.membership.stop()
        self.instances.stop()
        self.links.stop()
