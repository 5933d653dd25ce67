"""A fleet of daemons with replicas of several software versions.

Each event of a stream names the version that made it.
"""

import re
from typing import NamedTuple

import gevent
import msgspec

from tests.topazlug.forwarding import forwarding_fixtures as fixtures
from tests.topazlug_platform import crash_fleet
from tests.topazlug_platform import cut_fleet
from tests.topazlug_platform import platform_rig
from topazlug import _ids
from topazlug.forwarding import _table

EVENTS = 10
wait_until = crash_fleet.wait_until
_EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) ")
_LAST_EVENT = re.compile(rb"\r\nlast-event-id: (\d+)\r\n", re.IGNORECASE)
_EVENT_SECONDS = 0.003


class Stream(NamedTuple):
    """A stream as its caller received it, over all its tries.

    Attributes
    ----------
    events : list of (int, str)
        Number and version of each event.
    statuses : list of int
        Status of each try.
    """

    events: list
    statuses: list

    @property
    def versions(self):
        """Return the versions that events are from."""
        return {version for _, version in self.events}

    @property
    def is_mixed(self):
        """Return whether it holds events of two versions."""
        return len(self.versions) > 1

    @property
    def is_complete(self):
        """Return whether it has each event once, in order."""
        numbers = [number for number, _ in self.events]
        return numbers == list(range(1, EVENTS + 1))


class VersionReplica(crash_fleet.Replica):
    """A replica of one software version.

    Attributes
    ----------
    breaks_after : int or None
        Events after which it closes the connection of each new stream.
    hangs_after : int or None
        Events after which it falls silent.
    """

    def __init__(self, name, runs, *, version, start=1):
        super().__init__(name, runs, start=start)
        self.breaks_after = None
        self.hangs_after = None
        self.first_event_seconds = 0.0
        self.target = msgspec.structs.replace(
            self.target, version=_ids.SoftwareVersion(version)
        )

    @property
    def version(self):
        """Return the version of its software."""
        return self.target.version

    def _answer(self, sock, data):
        head, _, body = data.partition(b"\r\n\r\n")
        self.last_head = head
        self.runs.append((self.name, body))
        found = _LAST_EVENT.search(head + b"\r\n")
        first = int(found[1]) + 1 if found else 1
        sock.sendall(platform_rig.stream_head(crash_fleet.attempt_of(data)))
        gevent.sleep(self.first_event_seconds)
        for number in range(first, EVENTS + 1):
            if first == 1 and number - 1 == self.breaks_after:
                raise OSError("breaks off")
            if first == 1 and number - 1 == self.hangs_after:
                gevent.sleep(60)
            text = f"id: {number}\ndata: {self.version} {number}\n\n"
            sock.sendall(platform_rig.chunk(text.encode()))
            gevent.sleep(_EVENT_SECONDS)
        sock.sendall(platform_rig.END)


class VersionFleet(cut_fleet.CutFleet):
    """Daemons with replicas of the given versions.

    Parameters
    ----------
    versions : sequence of str
        Version of each replica.
    """

    def __init__(self, *, versions=("v1", "v2") * 2, daemons=3, **changes):
        self._versions = iter(versions)
        route = fixtures.route(
            **{
                "kind": _table.RequestKind.STREAM,
                "has_context": True,
                "resumable": True,
                "max_replicas": 3,
                "max_pause": 0.02,
                **changes,
            }
        )
        super().__init__(route, daemons=daemons, replicas=len(versions))

    def _new_replica(self):
        number = next(self._numbers)
        return VersionReplica(
            f"i-{number}", self.runs, version=next(self._versions)
        )

    def add_replica(self, version, *, name=None, start=1):
        """Start a replica, which `list_replicas` lists."""
        name = name or f"i-{next(self._numbers)}"
        replica = VersionReplica(name, self.runs, version=version, start=start)
        self.replicas.append(replica)
        return replica

    def of_version(self, version):
        """Return the replicas of a version."""
        return [one for one in self.replicas if one.version == version]

    def break_streams(self, after):
        """Have all replicas break each new stream after some events."""
        for replica in self.replicas:
            replica.breaks_after = after

    def stream(self, *daemons, leaves_after=None, attempts=None):
        """Receive a stream, and take it up until it is complete.

        Parameters
        ----------
        *daemons : int
            Daemon of each try.
        leaves_after : int or None
            Events after which the caller gives its first try up.
        attempts : list or None
            Receives the id of each try.
        """
        stream = Stream([], [])
        first = ""
        for daemon in daemons:
            name = f"stream-{next(self._sent)}"
            if attempts is not None:
                attempts.append(name)
            fields = [f"X-Prompt-Prefix: a{name}:400,b{name}:100"]
            if stream.events:
                fields.append(f"Resumes: {first}")
                fields.append(f"Last-Event-Id: {stream.events[-1][0]}")
            had_events = bool(stream.events)
            self._receive(stream, daemon, name, fields, leaves_after)
            if stream.events and not had_events:
                first = name
            if stream.is_complete:
                break
            leaves_after = None
        return stream

    def _receive(self, stream, daemon, name, fields, leaves_after):
        """Make one try, and add the events that it brings."""
        received = b""
        count = len(stream.events)
        with self._send(daemon, name.encode(), "/a/x", *fields) as sock:
            with gevent.Timeout(20):
                while True:
                    try:
                        data = sock.recv(65536)
                    except OSError:
                        break
                    received += data
                    del stream.events[count:]
                    stream.events.extend(
                        (int(number), version.decode())
                        for number, version in _EVENT.findall(received)
                    )
                    if not data or len(stream.events) == leaves_after:
                        break
        status = received.split(b" ", 2)[1:2]
        stream.statuses.append(int(status[0]) if status else 0)

    def streams(self, count, *daemons, **options):
        """Receive some streams at the same time."""
        tasks = [
            gevent.spawn(self.stream, *daemons, **options)
            for _ in range(count)
        ]
        return [task.get() for task in tasks]
