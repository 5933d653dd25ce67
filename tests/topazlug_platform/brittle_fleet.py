"""A fleet in front of replicas that crash if they reject too much."""

import collections

import gevent
from gevent import lock
import msgspec

from tests.topazlug_platform import crash_fleet
from tests.topazlug_platform import platform_rig

# What a replica runs at a time, how many may wait, and how long a run takes.
SLOTS = 6
WAITING = 1
RUN_SECONDS = 0.2
WINDOW_SECONDS = 1.0
RESTART_SECONDS = 2.0


class BrittleReplica(crash_fleet.Replica):
    """A replica with few slots.

    While brittle it says so in each answer. Once it is fragile, it crashes if
    it has to reject more than `tolerated` requests within a second.

    Attributes
    ----------
    tolerated : int or None
        None while it is not brittle.
    is_fragile : bool
        Whether rejections crash it, which begins some time after its answers
        report it.
    falls, served : int
        Its crashes, and the requests that it has run.
    """

    def __init__(self, name, runs, *, start=1):
        self.tolerated = None
        self.is_fragile = False
        self.falls = 0
        self.served = 0
        self.rejected = 0
        self._held = 0
        self._is_down = False
        self._free = lock.Semaphore(SLOTS)
        self._rejected_at = collections.deque()
        super().__init__(name, runs, start=start)
        self.target = msgspec.structs.replace(self.target, slots=SLOTS)

    def _answer(self, sock, data):
        attempt = crash_fleet.attempt_of(data)
        if self._is_down:
            sock.close()
            return
        if self._held >= SLOTS + WAITING:
            self._reject(sock, attempt)
            return
        self._held += 1
        try:
            with self._free:
                gevent.sleep(RUN_SECONDS)
        finally:
            self._held -= 1
        if self._is_down:
            return
        self.served += 1
        sock.sendall(
            platform_rig.answer(b"ok", *self._signs(), attempt=attempt)
        )

    def _signs(self):
        if self.tolerated is None:
            return ()
        return (f"Server-Brittle: {self.tolerated}",)

    def _reject(self, sock, attempt):
        self.rejected += 1
        now = gevent.get_hub().loop.now()
        self._rejected_at.append(now)
        while self._rejected_at[0] < now - WINDOW_SECONDS:
            self._rejected_at.popleft()
        sock.sendall(
            platform_rig.answer(
                b"",
                "X-Not-Executed: 1",
                *self._signs(),
                status="503 Full",
                attempt=attempt,
                signed=False,
            )
        )
        if not self.is_fragile or len(self._rejected_at) <= self.tolerated:
            return
        self.falls += 1
        self._is_down = True
        self.close_connections()
        gevent.spawn_later(RESTART_SECONDS, self._come_back)

    def _come_back(self):
        self._rejected_at.clear()
        self._is_down = False


class BrittleFleet(crash_fleet.CrashFleet):
    """A fleet whose replicas can turn brittle together."""

    def _new_replica(self):
        return BrittleReplica(f"i-{next(self._numbers)}", self.runs)

    def turn_brittle(self, tolerated):
        """Have all replicas report that they are brittle from now on."""
        for replica in self.replicas:
            replica.tolerated = tolerated

    def turn_fragile(self):
        """Have rejections crash the replicas from now on."""
        for replica in self.replicas:
            replica.is_fragile = True

    def total(self, name):
        """Return the sum of a count over all replicas."""
        return sum(getattr(replica, name) for replica in self.replicas)

    @property
    def capacity(self):
        """Return the requests per second that the replicas can run."""
        return len(self.replicas) * SLOTS / RUN_SECONDS

    def load(self, *, factor, seconds):
        """Send requests at a multiple of the capacity; return statuses."""
        interval = 1.0 / (factor * self.capacity)
        count = int(seconds / interval)
        sends = []
        started = gevent.get_hub().loop.now()
        for number in range(count):
            due = started + number * interval
            gevent.sleep(max(0.0, due - gevent.get_hub().loop.now()))
            sends.append(gevent.spawn(self.send, number, crash_fleet.ORDINARY))
        gevent.joinall(sends, raise_error=True)
        return [one.value[0] for one in sends]
