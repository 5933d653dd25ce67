"""A fleet of daemons with replicas of several software versions.

Each event of a stream names the version that made it.
"""

import contextlib
import re
from typing import NamedTuple

import gevent
from gevent import event
from gevent import pool
import msgspec

from tests.topazlug.forwarding import forwarding_fixtures as fixtures
from tests.topazlug_platform import crash_fleet
from tests.topazlug_platform import cut_fleet
from tests.topazlug_platform import platform_rig
from topazlug import _errors
from topazlug import _ids
from topazlug.fleet import _copy_state
from topazlug.forwarding import _table
from topazlug.forwarding import _version_assembly
from topazlug.versions import _version_records

EVENTS = 10
wait_until = crash_fleet.wait_until
_EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) ")
_LAST_EVENT = re.compile(rb"\r\nlast-event-id: (\d+)\r\n", re.IGNORECASE)
_EVENT_SECONDS = 0.003
_AT_A_TIME = 6
_LOADING_CALLERS = 48
_REPLACEMENT_SECONDS = 0.3


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
        return frozenset(version for _, version in self.events)

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
    breaks_after, breaks_resumed_after : int or None
        Events after which it closes the connection of each new stream, and of
        each stream that goes on.
    hangs_after : int or None
        Events after which it falls silent.
    first_event_seconds : float
        Time from the head of an answer to its first event.
    running_version : str
        Version of the software that runs. The entry, which is `target`, may
        show it later.
    born : int
        Start of the process that runs, as it reports it.
    """

    def __init__(self, name, runs, *, version, start=1):
        super().__init__(name, runs, start=start)
        self.breaks_after = None
        self.breaks_resumed_after = None
        self.hangs_after = None
        self.first_event_seconds = 0.0
        self.target = msgspec.structs.replace(
            self.target, version=_ids.SoftwareVersion(version)
        )
        self.running_version = version
        self.born = start

    @property
    def version(self):
        """Return the version of its software."""
        return self.target.version

    def replace(self, version, *, start):
        """Have another process take the place of this one.

        It has the same id and address; the entry is still that of the old one.
        """
        self.close_connections()
        self.running_version = version
        self.born = start

    def register(self):
        """Update the entry to the process that runs."""
        self.target = msgspec.structs.replace(
            self.target,
            version=_ids.SoftwareVersion(self.running_version),
            incarnation=self.born,
        )

    def _answer(self, sock, data):
        head, _, body = data.partition(b"\r\n\r\n")
        if head.startswith(b"GET /v1/report "):
            report = b'{"phase":"decode","born":%d}' % self.born
            sock.sendall(platform_rig.answer(report, attempt="process"))
            return
        self.last_head = head
        self.runs.append((self.name, body))
        found = _LAST_EVENT.search(head + b"\r\n")
        first = int(found[1]) + 1 if found else 1
        sock.sendall(platform_rig.stream_head(crash_fleet.attempt_of(data)))
        gevent.sleep(self.first_event_seconds)
        is_new = first == 1
        breaks_after = (
            self.breaks_after if is_new else self.breaks_resumed_after
        )
        for number in range(first, EVENTS + 1):
            if number - first == breaks_after:
                raise OSError("breaks off")
            if is_new and number - first == self.hangs_after:
                gevent.sleep(60)
            text = f"id: {number}\ndata: {self.running_version} {number}\n\n"
            sock.sendall(platform_rig.chunk(text.encode()))
            gevent.sleep(_EVENT_SECONDS)
        sock.sendall(platform_rig.END)


class Caller:
    """A caller of one stream.

    Attributes
    ----------
    stream : Stream
        What it has received.
    attempts : list of str
        The ids of its tries.
    """

    def __init__(self, fleet, *, path="/a/x", patience=20.0):
        self.stream = Stream([], [])
        self.attempts = []
        self._fleet = fleet
        self._path = path
        self._patience = patience
        self._first = ""
        self._sock = None

    def try_at(self, daemon, *, events=None):
        """Make one try, until its end or until it has brought some events.

        The connection stays open until the next try.
        """
        self.hang_up()
        name = f"stream-{next(self._fleet._sent)}"
        self.attempts.append(name)
        fields = [f"X-Prompt-Prefix: a{name}:400,b{name}:100"]
        count = len(self.stream.events)
        if count:
            fields.append(f"Resumes: {self._first}")
            fields.append(f"Last-Event-Id: {self.stream.events[-1][0]}")
        self._sock = self._fleet._send(
            daemon, name.encode(), self._path, *fields
        )
        status = self._receive(None if events is None else count + events)
        self.stream.statuses.append(status)
        if not count:
            self._first = name

    def _receive(self, until):
        """Receive events; return the status of the answer."""
        received = b""
        count = len(self.stream.events)
        with gevent.Timeout(self._patience, False):
            while until is None or len(self.stream.events) < until:
                try:
                    data = self._sock.recv(65536)
                except OSError:
                    break
                if not data:
                    break
                received += data
                del self.stream.events[count:]
                self.stream.events.extend(
                    (int(number), version.decode())
                    for number, version in _EVENT.findall(received)
                )
        status = received.split(b" ", 2)[1:2]
        return int(status[0]) if status else 0

    def hang_up(self):
        """Close the connection of the last try."""
        if self._sock is not None:
            self._sock.close()


class VersionFleet(cut_fleet.CutFleet):
    """Daemons with replicas of the given versions.

    Parameters
    ----------
    versions : sequence of str
        Version of each replica.
    start : int
        Start of the processes of the replicas; 1 if they don't report it.
    first_start : bool
        Whether the whole system starts for the first time.
    """

    def __init__(
        self,
        *,
        versions=("v1", "v2") * 2,
        daemons=3,
        start=1,
        first_start=False,
        **changes,
    ):
        self._versions = iter(versions)
        self._start = start
        self.options = {"first_start": first_start}
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
            f"i-{number}",
            self.runs,
            version=next(self._versions),
            start=self._start,
        )

    def add_replica(self, version, *, start=1):
        """Start a replica, which `list_replicas` lists."""
        name = f"i-{next(self._numbers)}"
        replica = VersionReplica(name, self.runs, version=version, start=start)
        self.replicas.append(replica)

    @contextlib.contextmanager
    def loaded(self):
        """Have more new streams than the replicas have room for."""
        self.delay_first_events(0.3)
        ends = event.Event()
        tasks = [
            gevent.spawn(self._load, number % len(self.daemons), ends)
            for number in range(_LOADING_CALLERS)
        ]
        gevent.sleep(0.5)
        yield
        ends.set()
        gevent.joinall(tasks)

    def _load(self, daemon, ends):
        while not ends.is_set():
            status = self.stream(daemon).statuses[0]
            if status != 200:
                ends.wait(0.05)

    def cut_from_peers(self, *numbers):
        """Have these daemons reach no other daemon, nor be reached."""
        cut = {f"d{number}" for number in numbers}
        for number, daemon in enumerate(self.daemons):
            links = daemon._fleet._links
            for other in range(len(self.daemons)):
                if number in numbers or other in numbers:
                    links.disconnect(f"d{other}")
            links._address_of = (
                _nowhere
                if number in numbers
                else _without(cut, links._address_of)
            )

    def list_at(self, number, replicas):
        """Pass a list of some replicas to one daemon."""
        links = self.links_by_daemon[number]
        self.daemons[number].replicas.update(
            msgspec.structs.replace(one.target, port=links[one.name].port)
            for one in replicas
        )

    def recorded(self):
        """Return the versions that are recorded in the store."""
        rows = self.store._current_rows(_version_assembly.TABLE)
        records, _ = _version_records.split_rows(
            {key: row.data for key, row in rows.items()}
        )
        return {
            _version_records.decode(key, data).version
            for key, data in records.items()
        }

    def reject_writes(self):
        """Have the store reject all writes; return an event, set by one."""
        rejected = event.Event()

        def write(table, rows, *, new=()):
            rejected.set()
            raise _errors.StoreUnavailable("rejected")

        self.store.write = write
        return rejected

    def kill(self, *numbers):
        """Kill some daemons, or all."""
        for number in numbers or range(len(self.daemons)):
            self.daemons[number].halt()

    def start(self, *numbers):
        """Start daemons in the place of some that were killed, or of all."""
        self.options = {"first_start": False}
        numbers = numbers or range(len(self.daemons))
        for number in numbers:
            self.daemons[number] = self._new_daemon(number)
        self.list_replicas()
        self.wait_joined()

    def forget_versions(self, number, group=fixtures.GROUP):
        """Have a daemon know only the versions of its present list."""
        self.daemons[number].versions.groups._group_by_name.clear()
        self.daemons[number]._update_replicas(
            list(self.daemons[number].targets.target_by_replica.values())
        )

    def age_list(self, number, seconds):
        """Have a daemon's list of replicas be this old."""
        state = _copy_state.CopyState(age=seconds)
        self.daemons[number].replicas.source_state = lambda: state

    def remembered(self, number):
        """Return how many streams a daemon remembers."""
        return self.daemons[number].versions.remembered_count

    def messages(self):
        """Return how many messages about streams daemons have sent."""
        return sum(one.versions.message_count for one in self.daemons)

    def of_version(self, version):
        """Return the replicas of a version."""
        return [one for one in self.replicas if one.version == version]

    def break_streams(self, after, *, resumed_after=None):
        """Have all replicas break each answer after some events.

        Parameters
        ----------
        after, resumed_after : int or None
            Events of a stream from its beginning, and of one that goes on.
        """
        for replica in self.replicas:
            replica.breaks_after = after
            replica.breaks_resumed_after = resumed_after

    def delay_first_events(self, seconds):
        """Have all replicas be late with their first events."""
        for replica in self.replicas:
            replica.first_event_seconds = seconds

    def remove_version(self, version):
        """End the replicas of a version."""
        for replica in self.of_version(version):
            self.replicas.remove(replica)
            replica.crash()
        self.list_replicas()

    @contextlib.contextmanager
    def replacing(self, version):
        """Replace one replica after the other, while the context is left.

        Returns a function that tells whether all have been replaced.
        """
        task = gevent.spawn(self._replace_all, version)
        yield task.ready
        task.get()

    def _replace_all(self, version):
        for old in list(self.replicas):
            self.add_replica(version)
            self.list_replicas()
            gevent.sleep(_REPLACEMENT_SECONDS)
            old.leave()
            self.list_replicas()
            gevent.sleep(_REPLACEMENT_SECONDS)
            self.replicas.remove(old)
            self.list_replicas()
            old.crash()

    def split_route(self):
        """Have most requests of the route go to another service."""
        (route,) = self._routes
        shares = (
            _table.ServiceShare(_ids.GroupName("other"), 999.0),
            _table.ServiceShare(fixtures.GROUP, 1.0),
        )
        changed = msgspec.structs.replace(route, shares=shares)
        for daemon in self.daemons:
            daemon.update_table(fixtures.table(changed, version=2))

    def stream(
        self,
        *daemons,
        leaves_after=None,
        attempts=None,
        between=lambda: None,
        **options,
    ):
        """Receive a stream, and take it up until it is complete.

        Parameters
        ----------
        *daemons : int
            Daemon of each try.
        leaves_after : int or None
            Events after which the caller gives up each try but the last one.
        attempts : list or None
            Receives the id of each try.
        between : callable
            Called before each try but the first one.
        """
        caller = Caller(self, **options)
        for number, daemon in enumerate(daemons):
            if number:
                between()
            is_last = number == len(daemons) - 1
            caller.try_at(daemon, events=None if is_last else leaves_after)
            if caller.stream.is_complete:
                break
        caller.hang_up()
        if attempts is not None:
            attempts.extend(caller.attempts)
        return caller.stream

    def begin_streams(self, count, daemon, *, events):
        """Return callers that have the first events of their streams."""
        callers = [Caller(self) for _ in range(count)]
        for caller in callers:
            caller.try_at(daemon, events=events)
        return [caller for caller in callers if caller.stream.events]

    def take_up(self, callers, daemon):
        """Have callers take their streams up; return these."""
        tries = pool.Pool(_AT_A_TIME)
        tries.map(lambda caller: caller.try_at(daemon), callers)
        return [caller.stream for caller in callers]

    def streams(self, count, *daemons, **options):
        """Receive some streams, a few at a time.

        All together would be more than the replicas have room for.
        """
        streams = pool.Pool(_AT_A_TIME)
        tasks = [
            streams.spawn(self.stream, *daemons, **options)
            for _ in range(count)
        ]
        return [task.get() for task in tasks]


def _nowhere(daemon):
    """Return no address."""
    return None


def _without(cut, address_of):
    """Return a lookup that knows no address of some daemons."""
    return lambda daemon: None if daemon in cut else address_of(daemon)
