"""Daemons whose messages are delivered at once, or lost."""

import math

import msgspec

from tests.topazlug import claim_fakes
from tests.topazlug.forwarding import forwarding_fixtures as fixtures
from topazlug import _errors
from topazlug import _ids
from topazlug.fleet import _copy_state
from topazlug.versions import _group_versions
from topazlug.versions import _stream_versions
from topazlug.versions import _version_recorder
from topazlug.versions import _version_records

GROUP = fixtures.GROUP
MAX_AGE = 2.0
MEMORY = _group_versions.MEMORY_SECONDS


def target(name, version, **changes):
    """Return a replica of a software version."""
    return msgspec.structs.replace(
        fixtures.target(name, **changes),
        version=_ids.SoftwareVersion(version),
    )


def copy_state(age):
    """Return the state of a copy of this age."""
    return _copy_state.CopyState(age)


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
    """Some daemons that share a clock and a table of records.

    Parameters
    ----------
    count : int
        Number of daemons.
    first_start : bool
        Whether the whole system starts for the first time.

    Attributes
    ----------
    unreachable : set of DaemonId
        Daemons that reach no other one.
    sent : list of (DaemonId, DaemonId, msgspec.Struct)
        Sender, recipient and content of each message.
    writes : int
        Calls that wrote or removed records.
    is_writable, is_readable : bool
        Whether the table of records can be written and read.
    gap_ended_at_by_daemon : dict of DaemonId to float
        When each daemon's list was up to date again after a gap.
    last_refusal : StreamNotResumable or None
        The last refusal of a daemon.
    """

    def __init__(self, count, *, first_start=True):
        self.clock = claim_fakes.FakeClock()
        self.unreachable = set()
        self.sent = []
        self.writes = 0
        self.is_writable = True
        self.is_readable = True
        self.last_refusal = None
        self.age_by_daemon = {}
        self.gap_ended_at_by_daemon = {}
        self.daemons = [_ids.DaemonId(f"d{number}") for number in range(count)]
        self._record_by_key = {}
        self.links_by_daemon = {}
        self.versions = [None] * count
        self._recorders = [None] * count
        for number in range(count):
            self._start(number, first_start)

    def _start(self, number, first_start):
        daemon = self.daemons[number]
        rows = dict.fromkeys(self.daemons)
        versions = _stream_versions.StreamVersions(
            daemon=daemon,
            daemons=lambda: rows,
            groups=_group_versions.GroupVersions(
                clock=self.clock,
                list_state=lambda: self._list_state(daemon),
                record_state=lambda: _copy_state.CopyState(
                    self.age_by_daemon.get(daemon, 0.0)
                ),
                max_list_age=MAX_AGE,
                first_start=first_start,
            ),
            clock=self.clock,
        )
        self.links_by_daemon[daemon] = Links(self, daemon)
        versions.join(self.links_by_daemon[daemon])
        self.versions[number] = versions
        self.read_records(number)
        self._recorders[number] = _version_recorder.VersionRecorder(
            daemon=daemon,
            daemons=lambda: rows,
            groups=versions.groups,
            write=self._write,
            clock=self.clock,
        )

    def _list_state(self, daemon):
        return _copy_state.CopyState(
            self.age_by_daemon.get(daemon, 0.0),
            self.gap_ended_at_by_daemon.get(daemon, -math.inf),
        )

    def _write(self, records, removed_keys):
        if not self.is_writable:
            raise _errors.StoreUnavailable("rejected")
        self.writes += 1
        for record in records:
            key = _version_records.record_key(record)
            self._record_by_key[key] = record
        for key in removed_keys:
            self._record_by_key.pop(key, None)

    def recorded(self):
        """Return the versions in the table of records."""
        return {one.version for one in self._record_by_key.values()}

    def record(self, *numbers):
        """Have some daemons, or all, write what is due, and all read it."""
        for number in numbers or range(len(self.daemons)):
            try:
                self._recorders[number].write_due()
            except _errors.StoreUnavailable:
                continue
            self.read_records()

    def record_at(self, number):
        """Have one daemon write records, whichever rank it has."""
        for _ in range(len(self.daemons) + 1):
            self.record(number)
            self.clock.advance(0.25)

    def read_records(self, *numbers):
        """Have some daemons, or all, read the table of records."""
        if not self.is_readable:
            return
        for number in numbers or range(len(self.daemons)):
            self.versions[number].update_records(self._record_by_key.values())

    def restart(self, *numbers):
        """Kill some daemons, or all, and start others in their place."""
        for number in numbers or range(len(self.daemons)):
            self._start(number, first_start=False)

    def list(self, found, *numbers):
        """Pass a list of replicas to some daemons, or to all."""
        for number in numbers or range(len(self.daemons)):
            self.versions[number].update_targets({}, found)

    def lose_list(self, *numbers):
        """Have the lists of some daemons be followed again after a gap."""
        for number in numbers:
            self.gap_ended_at_by_daemon[self.daemons[number]] = (
                self.clock.monotonic()
            )

    def begin(self, number, attempt, replica):
        """Have a daemon relay the first event of a stream."""
        self.versions[number].begin(_ids.RequestId(attempt), replica)

    def find(self, number, attempt):
        """Return the version that a daemon finds, None if it refuses."""
        try:
            origin = self.versions[number].find(_ids.RequestId(attempt), GROUP)
        except _errors.StreamNotResumable as error:
            self.last_refusal = error
            return None
        return origin.version

    def settled(self, number, found):
        """Return the versions that may begin streams at a daemon."""
        groups = self.versions[number].groups
        return {one.version for one in groups.settled(GROUP, found)}

    def find_at_all(self, attempt):
        """Return the versions that the daemons find."""
        return {
            self.find(number, attempt) for number in range(len(self.daemons))
        }
