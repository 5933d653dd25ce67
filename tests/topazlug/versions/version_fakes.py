"""Daemons whose messages are delivered at once, or lost."""

import msgspec

from tests.topazlug import claim_fakes
from tests.topazlug.forwarding import forwarding_fixtures as fixtures
from topazlug import _errors
from topazlug import _ids
from topazlug.versions import _group_versions
from topazlug.versions import _stream_versions

GROUP = fixtures.GROUP
MAX_AGE = 2.0
MEMORY = _group_versions.MEMORY_SECONDS


def target(name, version, **changes):
    """Return a replica of a software version."""
    return msgspec.structs.replace(
        fixtures.target(name, **changes),
        version=_ids.SoftwareVersion(version),
    )


def targets(*versions):
    """Return one replica of each version."""
    return [
        target(f"i-{number}", version)
        for number, version in enumerate(versions)
    ]


class Links:
    """The streams of one daemon to the others of a fleet."""

    def __init__(self, fleet, daemon):
        self._fleet = fleet
        self._daemon = daemon
        self._handler_by_kind = {}

    def handle(self, kind, handler):
        self._handler_by_kind[kind] = handler

    def send(self, to, message):
        self._deliver(to, message, lambda reply: None)

    def call(self, to, message, *, timeout):
        replies = []
        self._deliver(to, message, replies.append)
        return replies[0]

    def _deliver(self, to, message, reply):
        if {to, self._daemon} & self._fleet.unreachable:
            raise _errors.PeerUnreachable("cut off")
        self._fleet.sent.append((self._daemon, to, message))
        handlers = self._fleet.links_by_daemon[to]._handler_by_kind
        handlers[type(message)](self._daemon, message, reply)


class Fleet:
    """Some daemons that share a clock.

    Attributes
    ----------
    unreachable : set of DaemonId
        Daemons that reach no other one.
    sent : list of (DaemonId, DaemonId, msgspec.Struct)
        Sender, recipient and content of each message.
    """

    def __init__(self, count, *, knows_past=True):
        self.clock = claim_fakes.FakeClock()
        self.unreachable = set()
        self.sent = []
        self.age_by_daemon = {}
        self.daemons = [_ids.DaemonId(f"d{number}") for number in range(count)]
        rows = dict.fromkeys(self.daemons)
        self.links_by_daemon = {one: Links(self, one) for one in self.daemons}
        self.versions = [
            self._new(daemon, rows, knows_past) for daemon in self.daemons
        ]
        for versions, links in zip(
            self.versions, self.links_by_daemon.values(), strict=True
        ):
            versions.join(links)

    def _new(self, daemon, rows, knows_past):
        return _stream_versions.StreamVersions(
            daemon=daemon,
            daemons=lambda: rows,
            groups=_group_versions.GroupVersions(
                clock=self.clock,
                list_age=lambda: self.age_by_daemon.get(daemon, 0.0),
                max_list_age=MAX_AGE,
                knows_past=knows_past,
            ),
            clock=self.clock,
        )

    def list(self, found, *numbers):
        """Pass a list of replicas to some daemons, or to all."""
        for number in numbers or range(len(self.daemons)):
            self.versions[number].update_targets({}, found)

    def begin(self, number, attempt, replica):
        """Have a daemon relay the first event of a stream."""
        self.versions[number].begin(_ids.RequestId(attempt), replica)

    def find(self, number, attempt):
        """Return the version that a daemon finds, None if it refuses."""
        try:
            origin = self.versions[number].find(_ids.RequestId(attempt), GROUP)
        except _errors.StreamNotResumable:
            return None
        return origin.version
