"""Links and membership of several daemons in one process."""

from collections.abc import Callable
from collections.abc import Mapping
import datetime
import time

import gevent

from topazlug import _clock
from topazlug import _ids
from topazlug._generated import settings as _settings
from topazlug.membership import _membership
from topazlug.peers import _peers
from topazlug.store import _instances

LOCALHOST = "127.0.0.1"
SECRET = "a secret of the fleet"
WAIT_SECONDS = 20.0


def wait_until(condition: Callable[[], bool]) -> None:
    """Wait for a condition; fail if it stays false."""
    limit = time.monotonic() + WAIT_SECONDS
    while not condition():
        assert time.monotonic() < limit, "the condition stayed false"
        gevent.sleep(0.005)


class ManualClock:
    """A clock that only the test advances."""

    def __init__(self) -> None:
        self.seconds = 1000.0

    def now(self) -> datetime.datetime:
        """Return the wall time."""
        return datetime.datetime.fromtimestamp(
            self.seconds, tz=datetime.timezone.utc
        )

    def monotonic(self) -> float:
        """Return the seconds set by the test."""
        return self.seconds

    def sleep(self, seconds: float) -> None:
        """Let other greenlets run; the time does not change."""
        gevent.sleep(seconds)


class SteppableClock:
    """The system clock plus an offset, which simulates freezes."""

    def __init__(self) -> None:
        self.offset = 0.0
        self._system = _clock.SystemClock()

    def now(self) -> datetime.datetime:
        """Return the wall time."""
        return self._system.now()

    def monotonic(self) -> float:
        """Return monotonic time plus the offset."""
        return self._system.monotonic() + self.offset

    def sleep(self, seconds: float) -> None:
        """Let other greenlets run."""
        self._system.sleep(seconds)


def peer_settings(**values: object) -> _settings.PeerSettings:
    """Return settings with the fleet's secret."""
    return _settings.PeerSettings(**{"secret": SECRET, **values})


class LinkedDaemons:
    """Links of several daemons that can reach each other."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.address_by_id: dict[str, _peers.Address] = {}
        self.links_by_id: dict[str, _peers.PeerLinks] = {}

    def make(self, name: str, **values: object) -> _peers.PeerLinks:
        """Start the links of one more daemon."""
        links = _peers.PeerLinks(
            daemon_id=_ids.DaemonId(name),
            incarnation=1,
            settings=peer_settings(**values),
            clock=self.clock,
            address_of=self.address_by_id.get,
            idle_seconds=0.4,
        )
        port = links.serve(host=LOCALHOST, port=0)
        self.address_by_id[name] = _peers.Address(LOCALHOST, port)
        self.links_by_id[name] = links
        return links

    def stop(self) -> None:
        """Stop all links."""
        for links in self.links_by_id.values():
            links.stop()


class FakeInstanceList:
    """The platform's instance list, set by the test."""

    def __init__(self) -> None:
        self.instances_by_id: Mapping[str, _instances.Instance] = {}
        self._callbacks: list[Callable[[], None]] = []

    def on_change(self, callback: Callable[[], None]) -> None:
        """Add a callback for each change of the list."""
        self._callbacks.append(callback)

    def set_instances(self, *instances: _instances.Instance) -> None:
        """Replace the instances on the list."""
        self.instances_by_id = {one.id: one for one in instances}
        for callback in self._callbacks:
            callback()


class Node:
    """Links and membership of one daemon."""

    def __init__(
        self, name: str, instances: FakeInstanceList, *, incarnation: int = 1
    ) -> None:
        self.name = _ids.DaemonId(name)
        self.incarnation = incarnation
        self.clock = SteppableClock()
        self.unreachable_ids: set[str] = set()
        self.revision = 0
        self.links = _peers.PeerLinks(
            daemon_id=self.name,
            incarnation=incarnation,
            settings=peer_settings(),
            clock=self.clock,
            address_of=self._address_of,
        )
        self.port = self.links.serve(host=LOCALHOST, port=0)
        self.membership = _membership.Membership(
            daemon_id=self.name,
            incarnation=incarnation,
            address=_peers.Address(LOCALHOST, self.port),
            zone="mvd-centro",
            settings=_settings.MembershipSettings(
                exchange_interval=0.05, answer_timeout=0.3, suspect_timeout=0.3
            ),
            links=self.links,
            instances=instances,
            clock=self.clock,
            current_revision=lambda: self.revision,
        )

    def instance(self) -> _instances.Instance:
        """Return this daemon's entry on the list."""
        return _instances.Instance(
            id=self.name,
            kind=_instances.InstanceKind.DAEMON,
            group="fleet",
            host=LOCALHOST,
            port=self.port,
            zone="mvd-centro",
            incarnation=self.incarnation,
        )

    def usable_peers_are(self, *others: "Node") -> bool:
        """Return whether only this daemon and the others are usable to it."""
        names = {self.name, *(other.name for other in others)}
        return set(self.membership.usable()) == names

    def member(self, other: "Node") -> _membership.Member:
        """Return what this daemon has recorded about another."""
        return self.membership.members_by_id[other.name]

    def disconnect_from(self, others: list["Node"]) -> None:
        """Make exactly these daemons unreachable."""
        self.unreachable_ids = {other.name for other in others}
        for other in others:
            self.links.disconnect(other.name)

    def stop(self) -> None:
        """Stop without notifying the others."""
        self.membership.stop()
        self.links.stop()

    def _address_of(self, peer: _ids.DaemonId) -> _peers.Address | None:
        if peer in self.unreachable_ids:
            return None
        return self.membership.address_of(peer)
