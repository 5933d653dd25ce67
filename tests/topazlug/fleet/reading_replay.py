"""Fleets that read one table by `ReadingPlan`, in simulated time.

Each daemon's feed is a generator that yields for how long it sleeps, or whose
news it waits for; the store and the streams between daemons are modelled by
their delays. Nothing here waits in real time.
"""

import heapq
import itertools
import math
import random

from topazlug import _ids
from topazlug.fleet import _reading_plan
from topazlug.fleet import _reading_round
from topazlug.fleet import _staleness_bounds
from topazlug.fleet import _table_relay

ASK_SECONDS = 0.005
STORE_SECONDS = 0.004
# A call that the store takes and never answers ends so much later than it was
# asked to wait; one for the whole table, at once.
STORE_SLACK_SECONDS = 0.6
WHOLE_TABLE_SECONDS = 2.0
PEER_SLACK_SECONDS = 0.5
PEER_WAIT_SECONDS = 1.0
SILENT_PEER_SECONDS = PEER_WAIT_SECONDS + PEER_SLACK_SECONDS
TABLE = "servers"
NEWER_SECONDS = 0.5
NEWS = _staleness_bounds.StalenessBounds(in_force=4.0, unreachable=5.0)
GAP_SECONDS = 0.2

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
    """Changes at given moments; away for some daemons at given times.

    While it is away it says nothing; while it resets, each call ends at once.
    Of calls that wait for news when that begins, `resets_waiting` says
    whether they end too, or are taken and never answered.
    """

    def __init__(
        self,
        *,
        changes=(),
        away=(),
        resets=(),
        resets_waiting=True,
        forgets_at=(),
        slow=(),
    ):
        self.changes = sorted(changes)
        self.away = away
        self.resets = resets
        self.resets_waiting = resets_waiting
        self.forgets_at = forgets_at
        self.slow = slow
        self.calls = []

    def version_at(self, now):
        return sum(at <= now for at in self.changes)

    def is_unavailable(self, daemon, now):
        return _is_in(self.away, daemon, now)

    def is_resetting(self, daemon, now):
        return _is_in(self.resets, daemon, now)

    def lost_at(self, daemon, begin, end):
        """Give when a call that waits meanwhile is lost, and if by reset."""
        found = [
            (at, is_reset)
            for times, is_reset in ((self.away, False), (self.resets, True))
            for at, _, is_hit in times
            if begin < at <= end and is_hit(daemon)
        ]
        return min(found, default=(math.inf, False))

    def delay(self, now):
        for begin, end, seconds in self.slow:
            if begin <= now < end:
                return seconds
        return STORE_SECONDS

    def call(self, daemon, now):
        self.calls.append((now, daemon))

    def most_in_a_second(self):
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
        # When each version was known here.
        self.known_at = {0: 0.0}
        self.start()

    def start(self):
        """Begin with nothing, as a process that has just started."""
        self.plan = _reading_plan.ReadingPlan(
            daemon_id=self.name,
            directory=self.fleet.directory,
            clock=self.fleet.clock,
            chance=self.fleet.random.random,
        )
        self.version = 0
        self.has_read = False
        self.has_lost = False
        self.read_at = -math.inf
        self.is_catching_up = False

    @property
    def has_store(self):
        return not self.has_lost and self.fleet.clock.now < self.vouched_until

    @property
    def vouched_until(self):
        return self.read_at + self.fleet.news.validity

    @property
    def wait(self):
        """Give how long the feed's next call waits for news."""
        if self.has_lost:
            return 0.0
        if self.fleet.directory.is_small:
            return self.fleet.news.direct_wait
        return self.fleet.news.reader_wait

    def take(self, version, *, direct_at):
        self.has_read, self.has_lost = True, False
        is_new = direct_at > self.read_at
        self.read_at = max(direct_at, self.read_at)
        for one in range(self.version + 1, version + 1):
            self.known_at.setdefault(one, self.fleet.clock.now)
        if version > self.version or is_new:
            self.version = max(version, self.version)
            self.fleet.wake(self)

    def restart(self, at):
        """Be gone at once, and back with nothing after a while."""
        self.fleet.end_feed(self)
        self.start()
        self.has_lost = True
        self.fleet.wake(self)
        self.fleet.begin_feed(self, at)

    def feed(self):
        clock = self.fleet.clock
        self.has_lost = False
        yield self.fleet.random.uniform(0.0, 0.3)
        while True:
            began = clock.now
            if (yield from self._search()):
                yield max(0.0, GAP_SECONDS - (clock.now - began))
                continue
            self.has_lost = True
            self.fleet.wake(self)
            yield self.fleet.random.uniform(0.05, 0.25)

    def _search(self):
        clock = self.fleet.clock
        search = _reading_round.Round(self.plan, TABLE)
        wait = self.wait
        while (step := search.next()) is not None:
            began = clock.now
            if isinstance(step, _reading_plan.AskStore):
                outcome = yield from self._ask_store(step, wait)
            else:
                outcome = yield from self._ask(step.peer, wait)
            search.note(step, outcome, seconds=clock.now - began)
            if outcome is Outcome.ANSWERED:
                return True
        return False

    def _ask_store(self, step, wait):
        store, clock = self.fleet.store, self.fleet.clock
        yield step.pause
        store.call(self.name, clock.now)
        longest = min(step.longest, wait)
        silent_until = clock.now + longest + STORE_SLACK_SECONDS
        if not self.has_read:
            longest = 0.0
            silent_until = clock.now + WHOLE_TABLE_SECONDS
        if store.is_resetting(self.number, clock.now):
            yield ASK_SECONDS
            return Outcome.LOST
        if store.is_unavailable(self.number, clock.now):
            yield silent_until - clock.now
            return Outcome.LOST
        if any(self.read_at < at <= clock.now for at in store.forgets_at):
            yield store.delay(clock.now)
            store.call(self.name, clock.now)
        end = clock.now + longest
        answered_at = end
        if store.version_at(clock.now) > self.version:
            answered_at = clock.now
        else:
            later = [at for at in store.changes if clock.now < at <= end]
            answered_at = min([end, *later])
        answered_at += store.delay(answered_at)
        lost_at, is_reset = store.lost_at(self.number, clock.now, answered_at)
        if lost_at <= answered_at:
            if is_reset and store.resets_waiting:
                yield lost_at - clock.now
            else:
                yield silent_until - clock.now
            return Outcome.LOST
        yield answered_at - clock.now
        self.take(store.version_at(clock.now), direct_at=clock.now)
        return Outcome.ANSWERED

    def _ask(self, name, wait):
        clock = self.fleet.clock
        peer = self.fleet.daemon_by_name[name]
        if self.fleet.is_refusing(peer.number, clock.now):
            yield ASK_SECONDS
            return Outcome.SILENT
        wait = min(wait, PEER_WAIT_SECONDS)
        if self.fleet.is_dark(peer.number, clock.now):
            yield wait + PEER_SLACK_SECONDS
            return Outcome.SILENT
        yield ASK_SECONDS
        end = clock.now + wait
        if not peer.has_read and not peer.has_lost:
            yield peer, end
        known_at = max(self.read_at, 0.0) + NEWER_SECONDS
        while peer.has_store and peer.version <= self.version:
            if clock.now >= end or peer.read_at > known_at:
                break
            yield peer, min(end, peer.vouched_until)
        if not peer.has_store:
            yield from self._let_catch_up(peer)
        if not peer.has_store:
            return Outcome.LOST
        self.take(peer.version, direct_at=peer.read_at)
        return Outcome.ANSWERED

    def _let_catch_up(self, peer):
        peer.plan.note_asked(TABLE)
        now = self.fleet.clock.now
        if not peer.is_catching_up:
            if not peer.has_read or not peer.plan.store_is_due:
                return
            peer.is_catching_up = True
            self.fleet.schedule(now, peer.catch_up())
        yield peer, now + _table_relay.CATCH_UP_SECONDS

    def catch_up(self):
        store, clock = self.fleet.store, self.fleet.clock
        began, after = clock.now, self.version
        store.call(self.name, clock.now)
        outcome = Outcome.LOST
        if store.is_resetting(self.number, clock.now):
            yield ASK_SECONDS
        elif store.is_unavailable(self.number, clock.now):
            yield STORE_SLACK_SECONDS
        else:
            yield store.delay(clock.now)
            outcome = Outcome.ANSWERED
        step = _reading_plan.AskStore(longest=0.0)
        self.plan.note(step, outcome, seconds=clock.now - began)
        self.is_catching_up = False
        if outcome is Outcome.ANSWERED and self.version == after:
            self.take(store.version_at(clock.now), direct_at=clock.now)
        self.fleet.wake(self)
        yield math.inf


def _is_in(times, number, now):
    return any(
        begin <= now < end and is_hit(number) for begin, end, is_hit in times
    )


def _restarting(fleet, restart):
    _, end, is_hit = restart
    for daemon in fleet.daemons:
        if is_hit(daemon.number):
            daemon.restart(end)
    yield math.inf


class Fleet:
    """Runs so many daemons before a store."""

    def __init__(
        self,
        count,
        store,
        *,
        dark=(),
        refusing=(),
        restarts=(),
        seed=1,
        news=NEWS,
    ):
        self.clock = Clock()
        self.news = news
        self.random = random.Random(seed)
        self.directory = Directory(count)
        self.store = store
        self._dark = dark
        # Those that restart refuse connections meanwhile.
        self._refusing = [*refusing, *restarts]
        self._restarts = restarts
        self.daemons = [Daemon(self, number) for number in range(count)]
        self.daemon_by_name = {one.name: one for one in self.daemons}
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
        self._due = [one for one in self._due if one[2] is not feed]
        heapq.heapify(self._due)
        for waiting in self._waiting_by_name.values():
            waiting.pop(id(feed), None)

    def is_dark(self, number, now):
        return _is_in(self._dark, number, now)

    def is_refusing(self, number, now):
        return _is_in(self._refusing, number, now)

    def wake(self, daemon):
        for feed in self._waiting_by_name.pop(daemon.name, {}).values():
            self.schedule(self.clock.now, feed)

    def schedule(self, at, feed):
        heapq.heappush(self._due, (at, next(self._numbers), feed))

    def run(self, seconds):
        for daemon in self.daemons:
            self.begin_feed(daemon, 0.0)
        for restart in self._restarts:
            self.schedule(restart[0], _restarting(self, restart))
        last_by_feed = {}
        while self._due and self._due[0][0] <= seconds:
            at, number, feed = heapq.heappop(self._due)
            if last_by_feed.get(feed, -1) > number:
                # It was woken before its wait was over.
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
        # The number given last; what was scheduled before it is out of date.
        number = next(self._numbers)
        return number - 1

    def lateness(self, *, since=0.0, among=None):
        """Give the longest time that a daemon took to know a change."""
        late = 0.0
        for version, at in enumerate(self.store.changes, start=1):
            if at < since:
                continue
            for daemon in among or self.daemons:
                late = max(late, daemon.known_at.get(version, math.inf) - at)
        return late
