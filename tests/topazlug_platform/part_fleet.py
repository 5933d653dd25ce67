"""A fleet whose replicas crash on one part of a prompt."""

import contextlib
import itertools
import re

import gevent
from gevent import event
from gevent import socket
import msgspec

from tests.topazlug.crashes import crash_fixtures
from tests.topazlug.forwarding import forwarding_fixtures as fixtures
from tests.topazlug_platform import crash_fleet
from tests.topazlug_platform import platform_rig
from topazlug import _clock
from topazlug.crashes import _crash_records
from topazlug.fleet import _table_source
from topazlug.forwarding import _table

wait_until = crash_fleet.wait_until
BAD = "bad"
FIRST = "first"
_PROMPT = re.compile(rb"\r\nx-prompt-prefix: ([^\r]*)\r\n", re.IGNORECASE)
_EVENTS = 8
_EVENT_SECONDS = 0.02
_REPLACEMENT_SECONDS = 0.3
STREAM = {"kind": _table.RequestKind.STREAM, "has_context": True}
RESUMABLE = {**STREAM, "resumable": True}
READ = {"kind": _table.RequestKind.IDEMPOTENT}


class PartReplica(crash_fleet.Replica):
    """A replica that crashes as it begins to answer prompts with a bad part.

    Attributes
    ----------
    fleet : PartFleet
        Determines the bad parts and the streams. The last part of a prompt
        never counts.
    """

    def __init__(self, name, runs, fleet, *, start=1):
        super().__init__(name, runs, start=start)
        self.fleet = fleet
        self.limit_slots(64)

    def limit_slots(self, slots):
        """Set the number of requests that it runs concurrently."""
        self.target = msgspec.structs.replace(self.target, slots=slots)

    def _answer(self, sock, data):
        head, _, body = data.partition(b"\r\n\r\n")
        found = _PROMPT.search(head + b"\r\n")
        parts = [
            entry.partition(":")[0]
            for entry in (found[1].decode() if found else "").split(",")
        ]
        is_bad = bool(self.fleet.bad_parts.intersection(parts[:-1]))
        self.runs.append((self.name, "bad" if is_bad else "sound"))
        gevent.sleep(_EVENT_SECONDS)
        sock.sendall(self._head(crash_fleet.attempt_of(data)))
        if not is_bad:
            self._write_events(sock)
            return
        if self.fleet.crashes_within_event:
            sock.sendall(platform_rig.event(1)[:-1])
            gevent.sleep(0.01)
        self.crash()
        raise OSError("crashed")

    def _head(self, attempt):
        head = platform_rig.stream_head(attempt)
        if not self.fleet.is_framed:
            head = head.replace(
                b"Transfer-Encoding: chunked", b"Connection: close"
            )
        return head

    def _write_events(self, sock):
        for number in range(1, _EVENTS + 1):
            data = platform_rig.event(number)
            is_framed = self.fleet.is_framed
            sock.sendall(platform_rig.chunk(data) if is_framed else data)
            gevent.sleep(self.fleet.event_seconds)
        if not is_framed:
            raise OSError("the connection ends the answer")
        sock.sendall(platform_rig.END)


class PartFleet(crash_fleet.CrashFleet):
    """Daemons whose replicas crash on some prompt parts.

    Attributes
    ----------
    bad_parts : set of str
        Parts that crash replicas.
    is_framed : bool
        Whether streams come in chunks; otherwise they end with their
        connection.
    crashes_within_event : bool
        Whether replicas crash in the middle of an event.
    event_seconds : float
        Time between two events of a stream.
    """

    def __init__(self, *routes, daemons=3, replicas=6):
        self.bad_parts = {BAD}
        self.is_framed = True
        self.crashes_within_event = False
        self.event_seconds = _EVENT_SECONDS
        self._own_parts = itertools.count()
        super().__init__(*routes, daemons=daemons, replicas=replicas)

    def _new_replica(self):
        return PartReplica(f"i-{next(self._numbers)}", self.runs, self)

    def ask(self, number, *parts, path="/a/x", body=b""):
        """Send a prompt with these parts and one of its own.

        Returns
        -------
        (int, bool)
            The status, and whether the answer is whole.
        """
        own = f"own{next(self._own_parts)}"
        prompt = ",".join(f"{part}:100" for part in (*parts, own))
        attempt = f"a{next(self._attempts)}"
        sent = platform_rig.request(
            f"X-Prompt-Prefix: {prompt}", body=body or own.encode(), path=path
        ).replace(b"X-Attempt-Id: a1", f"X-Attempt-Id: {attempt}".encode())
        daemon = self.daemons[number % len(self.daemons)]
        received = b""
        with gevent.Timeout(20):
            try:
                with socket.create_connection(
                    ("127.0.0.1", daemon.callers_port)
                ) as sock:
                    sock.sendall(sent)
                    while data := sock.recv(65536):
                        received += data
            except OSError:
                pass
        status = int(received.split()[1]) if received else 0
        is_whole = status == 200 and received.endswith(platform_rig.END)
        return status, is_whole

    def counts(self):
        """Return how many bad and sound requests reached replicas."""
        names = [kind for _, kind in self.runs]
        return names.count("bad"), names.count("sound")

    def crashed_count(self):
        """Return the number of replicas that bad parts have ended."""
        return len({name for name, kind in self.runs if kind == "bad"})

    def blocked(self, number):
        """Return the fingerprints that a daemon blocks."""
        guard = self.daemons[number]._crash_assembly.guard
        return {block.fingerprint for block in guard.blocks()}

    def delay_slots(self, number):
        """Have a daemon wait for the returned event after each admission."""
        gate = event.Event()
        admission = self.daemons[number]._admission
        admit = admission.admit

        def admit_late(request):
            placement = admit(request)
            gate.wait()
            return placement

        admission.admit = admit_late
        return gate

    def write_block(self, fingerprint):
        """Write a record that blocks a part to the store."""
        record = crash_fixtures.block(
            fingerprint, "i-9@1", at=_clock.SystemClock().now()
        )
        key = _crash_records.record_key(record)
        data = _crash_records.encode(record)
        row = _table_source.Row(key, data)
        self.store.write(_crash_records.TABLE, [row])

    @contextlib.contextmanager
    def replacing(self):
        """Replace crashed replicas shortly after their crash."""
        task = gevent.spawn(self._replace_forever)
        try:
            yield
        finally:
            task.kill()

    def _replace_forever(self):
        while True:
            gevent.sleep(_REPLACEMENT_SECONDS)
            self.replace_crashed()


class Traffic:
    """Callers of a fleet that send requests at steady rates.

    Attributes
    ----------
    sound : list of (bool, bool)
        Whether each sound request began to be answered, and was answered
        completely.
    """

    def __init__(self, fleet):
        self.sound = []
        self._fleet = fleet
        self._tasks = []
        self._numbers = itertools.count()

    def send(self, *parts, interval, varies=()):
        """Send requests with these parts for as long as the traffic lasts.

        Parameters
        ----------
        varies : sequence of str
            Parts of which each request has one, in turn, at the end.
        """
        is_bad = not self._fleet.bad_parts.isdisjoint(parts)
        more = itertools.cycle(varies) if varies else None

        def run():
            while True:
                number = next(self._numbers)
                own = (*parts, next(more)) if more else parts
                task = gevent.spawn(self._send_one, number, own, is_bad)
                self._tasks.append(task)
                gevent.sleep(interval)

        self._tasks.append(gevent.spawn(run))

    def _send_one(self, number, parts, is_bad):
        status, is_whole = self._fleet.ask(number, *parts)
        if not is_bad:
            self.sound.append((status == 200, is_whole))

    def begun_share(self, since):
        """Return the share of sound requests that began, from an index on."""
        found = self.sound[since:]
        return sum(began for began, _ in found) / len(found)

    def stop(self):
        gevent.killall(self._tasks)


@contextlib.contextmanager
def running_fleet(*, daemons=3, replicas=6, routes=(), **changes):
    """Return a fleet whose daemons know each other."""
    fleet = PartFleet(
        *(routes or (fixtures.route(**{**STREAM, **changes}),)),
        daemons=daemons,
        replicas=replicas,
    )
    try:
        fleet.wait_joined()
        with fleet.replacing():
            yield fleet
    finally:
        fleet.stop()


@contextlib.contextmanager
def traffic(fleet):
    """Return traffic that ends with the context."""
    sending = Traffic(fleet)
    try:
        yield sending
    finally:
        sending.stop()
