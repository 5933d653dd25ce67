"""What daemons know once the store, or the way to it, is back."""

import random

import pytest

from tests.topazlug.fleet import reading_replay
from topazlug import _errors
from topazlug import _ids
from topazlug._generated import messages
from topazlug.fleet import _reading_plan
from topazlug.fleet import _staleness_bounds
from topazlug.fleet import _table_feed
from topazlug.fleet import _table_relay
from topazlug.fleet import _table_source

# Left for what is not replayed: processing, links and the request itself.
MARGIN_SECONDS = 0.5
SMALL = _staleness_bounds.StalenessBounds(in_force=2.0, unreachable=3.0)
MIDDLE = _staleness_bounds.StalenessBounds(in_force=3.0, unreachable=4.0)
LARGE = _staleness_bounds.StalenessBounds(in_force=4.0, unreachable=5.0)
NEWS_BY_COUNT = {
    2: SMALL,
    8: SMALL,
    16: SMALL,
    69: MIDDLE,
    195: LARGE,
    880: LARGE,
}
APART_SECONDS = 14.0
LOSSES = 12
# A fleet of 880 takes ten times as long to replay as one of 69.
LOSSES_OF_LARGEST = 2
CHANGES_A_LOSS = 14


class Losses:
    """Some losses of the store, with changes before and after each.

    Parameters
    ----------
    count : int
        Daemons.
    seed : int
        Draws the moments.
    longest : float
        Longest silence in seconds.
    part : float
        Part of the daemons that each loss concerns.
    reset_before : float
        Seconds of resets before each silence, with a moment between them in
        which the store serves all.
    """

    def __init__(self, count, seed, *, longest, part=1.0, reset_before=0.0):
        draw = random.Random(seed)
        self.news = NEWS_BY_COUNT[count]
        self.silences = []
        self.resets = []
        self.changes = []
        losses = LOSSES if count < 500 else LOSSES_OF_LARGEST
        for number in range(losses):
            begin = 10.0 + APART_SECONDS * number + draw.random()
            end = begin + draw.uniform(0.1, longest)
            hit = set(draw.sample(range(count), max(1, int(part * count))))
            self.silences.append((begin, end, hit.__contains__))
            if reset_before:
                served_at = begin - draw.uniform(0.1, 0.4)
                first = served_at - reset_before
                self.resets.append((first, served_at, hit.__contains__))
            for _ in range(CHANGES_A_LOSS):
                at = begin + draw.uniform(-1.0, 6.0)
                # Nobody changes anything while the store serves nobody.
                if part < 1.0 or not begin <= at < end:
                    self.changes.append(at)
        self.end = 10.0 + APART_SECONDS * losses

    def due(self, number, changed_at):
        """Give when a daemon must know a change."""
        due = changed_at + self.news.in_force
        for begin, end, is_hit in sorted([*self.silences, *self.resets]):
            if is_hit(number) and begin <= due < end + self.news.unreachable:
                due = end + self.news.unreachable
        return due

    def replay(self, count, seed, **options):
        store = reading_replay.Store(
            changes=self.changes,
            away=self.silences,
            resets=self.resets,
            **options,
        )
        fleet = reading_replay.Fleet(count, store, seed=seed, news=self.news)
        return fleet.run(self.end)

    def least_margin(self, fleet):
        """Give how long before it must a daemon knows a change, at least."""
        return min(
            self.due(daemon.number, at)
            - daemon.known_at.get(version, float("inf"))
            for version, at in enumerate(fleet.store.changes, start=1)
            for daemon in fleet.daemons
        )


# Losses of one kind each, by what is said of them.
KINDS = {
    "short silence": {"longest": 1.0},
    "long silence": {"longest": 5.0},
    "silence just after resets": {"longest": 1.0, "reset_before": 3.0},
    "silence for some": {"longest": 2.0, "part": 0.5},
}


def late_by_case(count, *, seeds, **options):
    """Give the least margin of each kind and seed in which it is missed."""
    margin_by_case = {}
    for kind, losses_of_kind in KINDS.items():
        for seed in seeds:
            losses = Losses(count, seed, **losses_of_kind)
            fleet = losses.replay(count, seed, **options)
            margin_by_case[kind, count, seed] = losses.least_margin(fleet)
    return {
        case: margin
        for case, margin in margin_by_case.items()
        if margin < MARGIN_SECONDS
    }


class TestSilentStore:
    """A daemon refuses what was accepted seconds before the store was back.

    Its call was made while the store said nothing. The store never answers
    it, and the daemon waits for news of a store that is back.
    """

    def test_daemons_that_read_for_themselves(self):
        late = {}
        for count in (2, 8, 16):
            late |= late_by_case(count, seeds=range(4))
        assert not late

    @pytest.mark.parametrize("count", [69, 195, 880])
    def test_daemons_that_readers_read_for(self, count):
        assert not late_by_case(count, seeds=range(2))


class SimulationEnded(Exception):
    """The simulated time is up."""


class Clock:
    """Time that passes only where somebody waits."""

    def __init__(self, *, end):
        self.at = 0.0
        self._end = end

    def monotonic(self):
        return self.at

    def sleep(self, seconds):
        self.at += seconds
        if self.at > self._end:
            raise SimulationEnded


class SilentStore:
    """Changes once; takes calls in one silence and never answers them."""

    def __init__(self, *, silence, changed_at, clock):
        self._begin, self._end = silence
        self._changed_at = changed_at
        self._clock = clock

    def _version(self):
        return 2 if self._clock.at >= self._changed_at else 1

    def _leave_unanswered(self, seconds):
        if self._begin <= self._clock.at < self._end:
            self._clock.sleep(seconds)
            raise _errors.StoreUnavailable("no answer in time")

    def rows(self, table):
        self._leave_unanswered(reading_replay.WHOLE_TABLE_SECONDS)
        rows = [_table_source.Row("config", b"%d" % self._version())]
        return _table_source.TableChanges(self._version(), rows)

    def changes(self, table, *, after, wait):
        self._leave_unanswered(wait + reading_replay.STORE_SLACK_SECONDS)
        if after < self._version():
            return self.rows(table)
        left = self._changed_at - self._clock.at
        if not 0.0 <= left <= wait:
            self._clock.sleep(wait)
            return _table_source.TableChanges(after, [])
        self._clock.sleep(left)
        return self.rows(table)


class PeerWithoutNews:
    """Another daemon that has heard of the store just before, and waits."""

    def __init__(self, clock):
        self._clock = clock

    def call(self, peer, ask, *, timeout):
        self._clock.sleep(ask.wait)
        return messages.ChangesReply(known=True, version=ask.after, age=0.5)


class SmallDirectory:
    is_small = True

    def reading_order(self):
        return [_ids.DaemonId(f"d{number}") for number in range(8)]


class FollowerLog:
    """What a feed's follower gets, and when."""

    def __init__(self, clock):
        self._clock = clock
        self.known_at = float("inf")
        self.lost_since = []

    def take(self, data_by_key):
        if data_by_key["config"] == b"2":
            self.known_at = min(self.known_at, self._clock.at)


def run_feed(*, silence, changed_at, end):
    """Run a feed while the store is silent once and changes once."""
    clock = Clock(end=end)
    log = FollowerLog(clock)
    plan = _reading_plan.ReadingPlan(
        daemon_id=_ids.DaemonId("d7"), directory=SmallDirectory(), clock=clock
    )
    feed = _table_feed.TableFeed(
        source=_table_relay.RelayedTables(
            store=SilentStore(
                silence=silence, changed_at=changed_at, clock=clock
            ),
            links=lambda: PeerWithoutNews(clock),
            plan=plan,
            clock=clock,
        ),
        table="op",
        wait=lambda: SMALL.direct_wait,
        follower=_table_feed.TableListener(
            changed=log.take, recovered=log.lost_since.append
        ),
        clock=clock,
    )
    with pytest.raises(SimulationEnded):
        feed.run()
    return log


class TestFeed:
    def test_change_just_after_a_silence_is_known_in_time(self):
        """A call that the store left unanswered hides news for seconds."""
        late_by_begin = {}
        for tenth in range(20, 80):
            begin = tenth / 10
            end = begin + 0.3
            due = end + SMALL.unreachable - MARGIN_SECONDS
            log = run_feed(
                silence=(begin, end), changed_at=end + 0.1, end=20.0
            )
            if log.known_at > due:
                late_by_begin[begin] = log.known_at - due
        assert not late_by_begin

    def test_return_is_told_where_the_next_call_is_answered(self):
        """Replicas whose entries lapsed with the store are dropped at once."""
        longest = SMALL.direct_wait + reading_replay.STORE_SLACK_SECONDS
        told = []
        for tenth in range(20, 80):
            silence = (tenth / 10, tenth / 10 + 0.3)
            told += run_feed(
                silence=silence, changed_at=15.0, end=12.0
            ).lost_since
        assert told
        assert all(since == pytest.approx(longest) for since in told)
