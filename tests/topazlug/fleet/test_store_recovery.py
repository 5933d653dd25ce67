"""How soon changes arrive after the store, or the way to it, is back."""

import random

import pytest

from tests.topazlug.fleet import read_simulation
from topazlug import _errors
from topazlug import _ids
from topazlug._generated import messages
from topazlug.fleet import _reading_plan
from topazlug.fleet import _staleness_bounds
from topazlug.fleet import _table_feed
from topazlug.fleet import _table_relay
from topazlug.fleet import _table_source

# Reserved for what is not simulated: processing, links and the request itself.
MARGIN_SECONDS = 0.5
SMALL = _staleness_bounds.StalenessBounds(propagation=2.0, recovery=3.0)
MIDDLE = _staleness_bounds.StalenessBounds(propagation=3.0, recovery=4.0)
LARGE = _staleness_bounds.StalenessBounds(propagation=4.0, recovery=5.0)
BOUNDS_BY_COUNT = {
    2: SMALL,
    8: SMALL,
    16: SMALL,
    69: MIDDLE,
    195: LARGE,
    880: LARGE,
}
INTERVAL_SECONDS = 14.0
OUTAGES = 12
# Simulating a fleet of 880 takes ten times as long as one of 69.
OUTAGES_IN_LARGEST_FLEET = 2
CHANGES_PER_OUTAGE = 14


class Outages:
    """Outages of the store, with changes before and after each.

    Parameters
    ----------
    count : int
        Number of daemons.
    seed : int
        Seed for the times.
    max_seconds : float
        Maximum length of a stall, during which calls are never answered.
    fraction : float
        Fraction of the daemons that each outage affects.
    reset_before : float
        Seconds of resets before each stall, with a moment between them in
        which the store serves all daemons.
    """

    def __init__(
        self, count, seed, *, max_seconds, fraction=1.0, reset_before=0.0
    ):
        draw = random.Random(seed)
        self.bounds = BOUNDS_BY_COUNT[count]
        self.stalls = []
        self.resets = []
        self.changes = []
        outages = OUTAGES if count < 500 else OUTAGES_IN_LARGEST_FLEET
        for number in range(outages):
            begin = 10.0 + INTERVAL_SECONDS * number + draw.random()
            end = begin + draw.uniform(0.1, max_seconds)
            affected = set(
                draw.sample(range(count), max(1, int(fraction * count)))
            )
            self.stalls.append((begin, end, affected.__contains__))
            if reset_before:
                served_at = begin - draw.uniform(0.1, 0.4)
                first = served_at - reset_before
                self.resets.append((first, served_at, affected.__contains__))
            for _ in range(CHANGES_PER_OUTAGE):
                at = begin + draw.uniform(-1.0, 6.0)
                # No change can be written while the store serves no daemon.
                if fraction < 1.0 or not begin <= at < end:
                    self.changes.append(at)
        self.end = 10.0 + INTERVAL_SECONDS * outages

    def due(self, number, changed_at):
        """Return by when a daemon must have received a change."""
        due = changed_at + self.bounds.propagation
        for begin, end, is_affected in sorted([*self.stalls, *self.resets]):
            if (
                is_affected(number)
                and begin <= due < end + self.bounds.recovery
            ):
                due = end + self.bounds.recovery
        return due

    def simulate(self, count, seed, **options):
        store = read_simulation.Store(
            changes=self.changes,
            unavailable=self.stalls,
            resets=self.resets,
            **options,
        )
        fleet = read_simulation.Fleet(
            count, store, seed=seed, bounds=self.bounds
        )
        return fleet.run(self.end)

    def min_margin(self, fleet):
        """Return the minimum time between receiving a change and its due."""
        return min(
            self.due(daemon.number, at)
            - daemon.known_at.get(version, float("inf"))
            for version, at in enumerate(fleet.store.changes, start=1)
            for daemon in fleet.daemons
        )


# Options of `Outages` by kind of outage.
KINDS = {
    "short stall": {"max_seconds": 1.0},
    "long stall": {"max_seconds": 5.0},
    "stall just after resets": {"max_seconds": 1.0, "reset_before": 3.0},
    "stall for some daemons": {"max_seconds": 2.0, "fraction": 0.5},
}


def margins_below_limit(count, *, seeds, **options):
    """Return the minimum margin of each case in which it is too small."""
    margin_by_case = {}
    for kind, options_of_kind in KINDS.items():
        for seed in seeds:
            outages = Outages(count, seed, **options_of_kind)
            fleet = outages.simulate(count, seed, **options)
            margin_by_case[kind, count, seed] = outages.min_margin(fleet)
    return {
        case: margin
        for case, margin in margin_by_case.items()
        if margin < MARGIN_SECONDS
    }


class TestStalledStore:
    """Guards against changes that arrive late after a stall of the store.

    A call made during the stall is never answered, so the daemon goes on to
    wait although the store is back.
    """

    def test_fleet_without_readers(self):
        missed = {}
        for count in (2, 8, 16):
            missed |= margins_below_limit(count, seeds=range(4))
        assert not missed

    @pytest.mark.parametrize("count", [69, 195, 880])
    def test_fleet_with_readers(self, count):
        assert not margins_below_limit(count, seeds=range(2))


class SimulationEnded(Exception):
    """The simulated time is up."""


class Clock:
    """A clock that advances only by sleeping."""

    def __init__(self, *, end):
        self.at = 0.0
        self._end = end

    def monotonic(self):
        return self.at

    def sleep(self, seconds):
        self.at += seconds
        if self.at > self._end:
            raise SimulationEnded


class StallingStore:
    """A store that changes once and stalls once, leaving calls unanswered."""

    def __init__(self, *, stall, changed_at, clock):
        self._begin, self._end = stall
        self._changed_at = changed_at
        self._clock = clock

    def _version(self):
        return 2 if self._clock.at >= self._changed_at else 1

    def _leave_unanswered(self, seconds):
        if self._begin <= self._clock.at < self._end:
            self._clock.sleep(seconds)
            raise _errors.StoreUnavailable("no answer in time")

    def rows(self, table):
        self._leave_unanswered(read_simulation.WHOLE_TABLE_SECONDS)
        rows = [_table_source.Row("config", b"%d" % self._version())]
        return _table_source.TableChanges(self._version(), rows)

    def changes(self, table, *, after, wait):
        self._leave_unanswered(wait + read_simulation.STORE_SLACK_SECONDS)
        if after < self._version():
            return self.rows(table)
        remaining = self._changed_at - self._clock.at
        if not 0.0 <= remaining <= wait:
            self._clock.sleep(wait)
            return _table_source.TableChanges(after, [])
        self._clock.sleep(remaining)
        return self.rows(table)


class PeerWithoutChanges:
    """A daemon whose copy is recent and that never has any changes."""

    def __init__(self, clock):
        self._clock = clock

    def call(self, peer, request, *, timeout):
        self._clock.sleep(request.wait)
        return messages.ChangesReply(
            known=True, version=request.after, age=0.5
        )


class SmallDirectory:
    is_small = True

    def reading_order(self):
        return [_ids.DaemonId(f"d{number}") for number in range(8)]


class ListenerLog:
    """Records the callbacks of a feed."""

    def __init__(self, clock):
        self._clock = clock
        self.known_at = float("inf")
        self.seconds_since_failure = []

    def record(self, data_by_key):
        if data_by_key["config"] == b"2":
            self.known_at = min(self.known_at, self._clock.at)


def run_feed(*, stall, changed_at, end):
    """Run a feed on a store that stalls once and changes once."""
    clock = Clock(end=end)
    log = ListenerLog(clock)
    plan = _reading_plan.ReadingPlan(
        daemon_id=_ids.DaemonId("d7"), directory=SmallDirectory(), clock=clock
    )
    feed = _table_feed.TableFeed(
        source=_table_relay.RelayedTables(
            store=StallingStore(
                stall=stall, changed_at=changed_at, clock=clock
            ),
            links=lambda: PeerWithoutChanges(clock),
            plan=plan,
            clock=clock,
        ),
        table="op",
        wait=lambda: SMALL.direct_wait,
        listener=_table_feed.TableListener(
            changed=log.record, recovered=log.seconds_since_failure.append
        ),
        clock=clock,
    )
    with pytest.raises(SimulationEnded):
        feed.run()
    return log


class TestFeed:
    def test_change_just_after_a_stall_arrives_in_time(self):
        """Guards against an unanswered call that delays a change."""
        delay_by_begin = {}
        for tenth in range(20, 80):
            begin = tenth / 10
            end = begin + 0.3
            due = end + SMALL.recovery - MARGIN_SECONDS
            log = run_feed(stall=(begin, end), changed_at=end + 0.1, end=20.0)
            if log.known_at > due:
                delay_by_begin[begin] = log.known_at - due
        assert not delay_by_begin

    def test_recovery_is_reported_with_the_next_answer(self):
        """Guards against replicas dropped because their entries expired.

        The listener must learn for how long the store may have been back.
        """
        max_seconds = SMALL.direct_wait + read_simulation.STORE_SLACK_SECONDS
        seconds_since_failures = []
        for tenth in range(20, 80):
            stall = (tenth / 10, tenth / 10 + 0.3)
            seconds_since_failures += run_feed(
                stall=stall, changed_at=15.0, end=12.0
            ).seconds_since_failure
        assert seconds_since_failures
        assert all(
            since == pytest.approx(max_seconds)
            for since in seconds_since_failures
        )
