"""Simulation of fleets that read one table by `ReadingPlan`.

Each daemon's feed is a generator that yields either the seconds to sleep, or
the peer to wait for and the latest time. The store and the streams between
daemons are modelled by their delays. Time is simulated.
"""

import heapq
import itertools
import math
import random

from topazlug import _ids
from topazlug.fleet import _reading_plan
from topazlug.fleet import _source_search
from topazlug.fleet import _staleness_bounds
from topazlug.fleet import _table_relay

PEER_CALL_SECONDS = 0.005
STORE_CALL_SECONDS = 0.004
# A call that the store never answers times out this long after its wait.
STORE_SLACK_SECONDS = 0.6
# Timeout of a call for the whole table, which does not wait for changes.
WHOLE_TABLE_SECONDS = 2.0
PEER_SLACK_SECONDS = 0.5
PEER_WAIT_SECONDS = 1.0
PEER_TIMEOUT_SECONDS = PEER_WAIT_SECONDS + PEER_SLACK_SECONDS
TABLE = "servers"
MIN_AGE_GAIN_SECONDS = 0.5
BOUNDS = _staleness_bounds.StalenessBounds(propagation=4.0, recovery=5.0)
MIN_INTERVAL_SECONDS = 0.2

Outcome = _reading_plan.Outcome


class Clock:
    def __init__(self):
        self.now = 0.0

    def monotonic(self):
        return self.now


class Directory:
    def __init__(self, count):
        self._order = [_ids.DaemonId(f"d{number}") for number in range(count)]
        self.is_small = count <= 16

    def reading_order(self):
        return self._order


class Store:
    """A store that changes, and is unavailable to some daemons, at set times.

    While it is unavailable it does not answer. While it resets connections,
    each call fails at once. `resets_waiting` determines whether calls that
    are already waiting for changes then fail too or are never answered.
    `transfer_seconds` is the time in which an answer with changes arrives.
    """

    def __init__(
        self,
        *,
        changes=(),
        unavailable=(),
        resets=(),
        resets_waiting=True,
        history_lost_at=(),
        slow=(),
        transfer_seconds=0.0,
    ):
        self.transfer_seconds = transfer_seconds
        self.changes = sorted(changes)
        self.unavailable = unavailable
        self.resets = resets
        self.resets_waiting = resets_waiting
        self.history_lost_at = history_lost_at
        self.slow = slow
        self.calls = []

    def version_at(self, now):
        return sum(at <= now for at in self.changes)

    def is_unavailable(self, daemon, now):
        return _is_in(self.unavailable, daemon, now)

    def is_resetting(self, daemon, now):
        return _is_in(self.resets, daemon, now)

    def lost_at(self, daemon, begin, end):
        """Return when a waiting call is lost, and whether by a reset."""
        losses = [
            (at, is_reset)
            for times, is_reset in (
                (self.unavailable, False),
                (self.resets, True),
            )
            for at, _, is_affected in times
            if begin < at <= end and is_affected(daemon)
        ]
        return min(losses, default=(math.inf, False))

    def delay(self, now):
        for begin, end, seconds in self.slow:
            if begin <= now < end:
                return seconds
        return STORE_CALL_SECONDS

    def call(self, daemon, now):
        self.calls.append((now, daemon))

    def max_calls_per_second(self):
        times = sorted(at for at, _ in self.calls)
        return max(
            sum(first <= at < first + 1.0 for at in times[index:])
            for index, first in enumerate(times)
        )

    def calls_between(self, begin, end):
        return sum(begin <= at < end for at, _ in self.calls)


class Daemon:
    def __init__(self, fleet, number):
        self.fleet = fleet
        self.number = number
        self.name = _ids.DaemonId(f"d{number}")
        # When this daemon received each version.
        self.known_at = {0: 0.0}
        self.start()

    def start(self):
        """Start without any rows, like a new process."""
        self.plan = _reading_plan.ReadingPlan(
            daemon_id=self.name,
            directory=self.fleet.directory,
            clock=self.fleet.clock,
            random_fraction=self.fleet.random.random,
        )
        self.version = 0
        self.has_read = False
        self.has_lost_store = False
        self.read_at = -math.inf
        self.is_catching_up = False

    @property
    def is_valid(self):
        return (
            not self.has_lost_store and self.fleet.clock.now < self.valid_until
        )

    @property
    def valid_until(self):
        return self.read_at + self.fleet.bounds.validity

    @property
    def wait(self):
        """Return how long the feed's next call waits for changes."""
        if self.has_lost_store:
            return 0.0
        if self.fleet.directory.is_small:
            return self.fleet.bounds.direct_wait
        return self.fleet.bounds.reader_wait

    def update(self, version, *, store_answered_at):
        self.has_read, self.has_lost_store = True, False
        is_new = store_answered_at > self.read_at
        self.read_at = max(store_answered_at, self.read_at)
        for new_version in range(self.version + 1, version + 1):
            self.known_at.setdefault(new_version, self.fleet.clock.now)
        if version > self.version or is_new:
            self.version = max(version, self.version)
            self.fleet.resume_waiting(self)

    def restart(self, at):
        """Stop at once, and start again without any rows at a later time."""
        self.fleet.end_feed(self)
        self.start()
        self.has_lost_store = True
        self.fleet.resume_waiting(self)
        self.fleet.begin_feed(self, at)

    def feed(self):
        clock = self.fleet.clock
        self.has_lost_store = False
        yield self.fleet.random.uniform(0.0, 0.3)
        while True:
            started_at = clock.now
            if (yield from self._search()):
                yield max(0.0, MIN_INTERVAL_SECONDS - (clock.now - started_at))
                continue
            self.has_lost_store = True
            self.fleet.resume_waiting(self)
            yield self.fleet.random.uniform(0.05, 0.25)

    def _search(self):
        clock = self.fleet.clock
        search = _source_search.SourceSearch(self.plan, TABLE)
        wait = self.wait
        while (step := search.next()) is not None:
            started_at = clock.now
            if isinstance(step, _reading_plan.ReadStore):
                outcome = yield from self._read_store(step, wait)
            else:
                outcome = yield from self._read_peer(step.peer, wait)
            search.record(step, outcome, seconds=clock.now - started_at)
            if outcome is Outcome.ANSWERED:
                return True
        return False

    def _read_store(self, step, wait):
        store, clock = self.fleet.store, self.fleet.clock
        yield step.pause
        store.call(self.name, clock.now)
        max_wait = min(step.max_wait, wait)
        gives_up_at = clock.now + max_wait + STORE_SLACK_SECONDS
        if not self.has_read:
            max_wait = 0.0
            gives_up_at = clock.now + WHOLE_TABLE_SECONDS
        if store.is_resetting(self.number, clock.now):
            yield PEER_CALL_SECONDS
            return Outcome.STORE_LOST
        if store.is_unavailable(self.number, clock.now):
            yield gives_up_at - clock.now
            return Outcome.STORE_LOST
        if any(self.read_at < at <= clock.now for at in store.history_lost_at):
            yield store.delay(clock.now)
            store.call(self.name, clock.now)
        end = clock.now + max_wait
        answered_at = end
        if store.version_at(clock.now) > self.version:
            answered_at = clock.now
        else:
            later = [at for at in store.changes if clock.now < at <= end]
            answered_at = min([end, *later])
        version = store.version_at(answered_at)
        answered_at += store.delay(answered_at)
        if version > self.version and self.has_read:
            # A call is not given up while its answer arrives.
            answered_at += store.transfer_seconds
        lost_at, is_reset = store.lost_at(self.number, clock.now, answered_at)
        if lost_at <= answered_at:
            if is_reset and store.resets_waiting:
                yield lost_at - clock.now
            else:
                yield gives_up_at - clock.now
            return Outcome.STORE_LOST
        yield answered_at - clock.now
        self.update(version, store_answered_at=clock.now)
        return Outcome.ANSWERED

    def _read_peer(self, name, wait):
        clock = self.fleet.clock
        peer = self.fleet.daemon_by_name[name]
        if self.fleet.is_refusing_connections(peer.number, clock.now):
            yield PEER_CALL_SECONDS
            return Outcome.NO_ANSWER
        wait = min(wait, PEER_WAIT_SECONDS)
        if self.fleet.is_unresponsive(peer.number, clock.now):
            yield wait + PEER_SLACK_SECONDS
            return Outcome.NO_ANSWER
        yield PEER_CALL_SECONDS
        end = clock.now + wait
        if not peer.has_read and not peer.has_lost_store:
            yield peer, end
        known_at = max(self.read_at, 0.0) + MIN_AGE_GAIN_SECONDS
        while peer.is_valid and peer.version <= self.version:
            if clock.now >= end or peer.read_at > known_at:
                break
            yield peer, min(end, peer.valid_until)
        if not peer.is_valid:
            yield from self._let_catch_up(peer)
        if not peer.is_valid:
            return Outcome.STORE_LOST
        self.update(peer.version, store_answered_at=peer.read_at)
        return Outcome.ANSWERED

    def _let_catch_up(self, peer):
        peer.plan.record_miss(TABLE)
        now = self.fleet.clock.now
        if not peer.is_catching_up:
            if not peer.has_read or not peer.plan.store_is_due:
                return
            peer.is_catching_up = True
            self.fleet.schedule(now, peer.catch_up())
        yield peer, now + _table_relay.CATCH_UP_TIMEOUT_SECONDS

    def catch_up(self):
        store, clock = self.fleet.store, self.fleet.clock
        started_at, after = clock.now, self.version
        store.call(self.name, clock.now)
        outcome = Outcome.STORE_LOST
        if store.is_resetting(self.number, clock.now):
            yield PEER_CALL_SECONDS
        elif store.is_unavailable(self.number, clock.now):
            yield STORE_SLACK_SECONDS
        else:
            version = store.version_at(clock.now)
            yield store.delay(clock.now)
            if version > after:
                yield store.transfer_seconds
            outcome = Outcome.ANSWERED
        step = _reading_plan.ReadStore(max_wait=0.0)
        self.plan.record(step, outcome, seconds=clock.now - started_at)
        self.is_catching_up = False
        if outcome is Outcome.ANSWERED and self.version == after:
            self.update(version, store_answered_at=clock.now)
        self.fleet.resume_waiting(self)
        yield math.inf


def _is_in(times, number, now):
    return any(
        begin <= now < end and is_affected(number)
        for begin, end, is_affected in times
    )


def _restart_daemons(fleet, restart):
    _, end, is_affected = restart
    for daemon in fleet.daemons:
        if is_affected(daemon.number):
            daemon.restart(end)
    yield math.inf


class Fleet:
    """Simulates a number of daemons that share a store."""

    def __init__(
        self,
        count,
        store,
        *,
        unresponsive=(),
        refusing_connections=(),
        restarts=(),
        seed=1,
        bounds=BOUNDS,
    ):
        self.clock = Clock()
        self.bounds = bounds
        self.random = random.Random(seed)
        self.directory = Directory(count)
        self.store = store
        self._unresponsive = unresponsive
        # Restarting daemons refuse connections meanwhile.
        self._refusing_connections = [*refusing_connections, *restarts]
        self._restarts = restarts
        self.daemons = [Daemon(self, number) for number in range(count)]
        self.daemon_by_name = {daemon.name: daemon for daemon in self.daemons}
        self._due = []
        self._numbers = itertools.count()
        self._waiting_by_name = {}
        self._feed_by_name = {}

    def begin_feed(self, daemon, at):
        feed = daemon.feed()
        self._feed_by_name[daemon.name] = feed
        self.schedule(at, feed)

    def end_feed(self, daemon):
        feed = self._feed_by_name.pop(daemon.name)
        self._due = [entry for entry in self._due if entry[2] is not feed]
        heapq.heapify(self._due)
        for waiting in self._waiting_by_name.values():
            waiting.pop(id(feed), None)

    def is_unresponsive(self, number, now):
        return _is_in(self._unresponsive, number, now)

    def is_refusing_connections(self, number, now):
        return _is_in(self._refusing_connections, number, now)

    def resume_waiting(self, daemon):
        for feed in self._waiting_by_name.pop(daemon.name, {}).values():
            self.schedule(self.clock.now, feed)

    def schedule(self, at, feed):
        heapq.heappush(self._due, (at, next(self._numbers), feed))

    def run(self, seconds):
        for daemon in self.daemons:
            self.begin_feed(daemon, 0.0)
        for restart in self._restarts:
            self.schedule(restart[0], _restart_daemons(self, restart))
        last_by_feed = {}
        while self._due and self._due[0][0] <= seconds:
            at, number, feed = heapq.heappop(self._due)
            if last_by_feed.get(feed, -1) > number:
                # The feed was resumed before this wait ended.
                continue
            self.clock.now = max(self.clock.now, at)
            self._step(feed, last_by_feed)
        return self

    def _step(self, feed, last_by_feed):
        wait = next(feed)
        if isinstance(wait, tuple):
            peer, end = wait
            waiting = self._waiting_by_name.setdefault(peer.name, {})
            waiting[id(feed)] = feed
            self.schedule(end, feed)
            last_by_feed[feed] = self._due_number()
        else:
            self.schedule(self.clock.now + wait, feed)
            last_by_feed[feed] = self._due_number()

    def _due_number(self):
        # Number of the latest entry; earlier entries of a feed are obsolete.
        number = next(self._numbers)
        return number - 1

    def max_propagation_delay(self, *, since=0.0, among=None):
        """Return the maximum time until a daemon received a change."""
        max_delay = 0.0
        for version, at in enumerate(self.store.changes, start=1):
            if at < since:
                continue
            for daemon in among or self.daemons:
                max_delay = max(
                    max_delay, daemon.known_at.get(version, math.inf) - at
                )
        return max_delay
