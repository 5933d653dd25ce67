"""The slowness of a replica, from its reports."""

import bisect
import itertools
import math
import random
import statistics

import pytest

from topazlug.capacity import _replica_speed

FACTOR = 2.5
EPISODE_SECONDS = 0.4
EPISODE_FRACTION = 0.1
# An instance is slow from the first to the second of these moments.
SLOW_FROM, SLOW_UNTIL = 20.0, 26.0
END = 40.0
STEP = 0.02


class Replay:
    """Figures of one replica, reported at irregular intervals.

    Attributes
    ----------
    samples : list
        Time, actual figure, and `current` and `sustained` as multiples of the
        usual figure.
    """

    def __init__(self, *, seed, usual, rate, slow=False):
        self._random = random.Random(seed)
        self._usual = usual
        self._slow = slow
        self._bounds = list(self._episode_bounds())
        speed = _replica_speed.ReplicaSpeed()
        self.samples = []
        next_report = 0.0
        for step in range(int(END / STEP)):
            now = step * STEP
            if now >= next_report:
                speed.record(self.figure(now), now=now)
                next_report = now + self._random.expovariate(rate)
            self.samples.append(
                (
                    now,
                    self.figure(now) / usual,
                    speed.current(now=now) / usual,
                    speed.sustained(now=now) / usual,
                )
            )

    def _episode_bounds(self):
        now = 0.0
        between = EPISODE_SECONDS * (1 / EPISODE_FRACTION - 1)
        while now < END:
            now += self._random.expovariate(1 / between)
            yield now
            now += self._random.uniform(0.1, 2 * EPISODE_SECONDS - 0.1)
            yield now

    def figure(self, now):
        """Return what the replica would report at a moment."""
        in_episode = bisect.bisect(self._bounds, now) % 2
        is_slow = self._slow and SLOW_FROM <= now < SLOW_UNTIL
        return self._usual * FACTOR ** (in_episode + is_slow)

    def sustained(self, start, end):
        """Return the sustained figures of a period."""
        return [s for now, _, _, s in self.samples if start <= now < end]

    def first(self, start, condition):
        """Return the seconds until the sustained figure meets a condition."""
        return next(
            (
                now - start
                for now, _, _, sustained in self.samples
                if now >= start and condition(sustained)
            ),
            math.inf,
        )


def replays(*, usual=1.0, rate=10.0, slow=False):
    return [
        Replay(seed=seed, usual=usual, rate=rate, slow=slow)
        for seed in range(30)
    ]


def percentile(values, percent):
    return sorted(values)[math.ceil(len(values) * percent / 100) - 1]


@pytest.mark.parametrize("usual", [1.0, 1.3])
@pytest.mark.parametrize("rate", [2.0, 4.0, 10.0])
class TestReplay:
    def test_slow_moments_hardly_change_sustained(self, usual, rate):
        """A replica lost its chats because of a slow moment of 0.4 s."""
        figures = list(
            itertools.chain.from_iterable(
                replay.sustained(3.0, END)
                for replay in replays(usual=usual, rate=rate)
            )
        )
        assert statistics.mean(figures) < 1.08
        assert percentile(figures, 90) < 1.2
        assert min(figures) * usual > 0.99

    def test_slow_instance_is_detected(self, usual, rate):
        """A replica went on getting new work while its instance was slow."""
        seconds = [
            replay.first(SLOW_FROM, lambda figure: figure > 1.6)
            for replay in replays(usual=usual, rate=rate, slow=True)
        ]
        # Two figures of the slow instance are needed. If 2 arrive in a second,
        # they are often a second apart.
        limit = {2.0: 1.5, 4.0: 1.0, 10.0: 1.0}[rate]
        assert statistics.median(seconds) <= limit
        assert percentile(seconds, 90) <= 2 * limit

    def test_recovery_is_detected_without_oscillation(self, usual, rate):
        """New work moved to and from a replica while its instance was slow."""
        seconds = []
        for replay in replays(usual=usual, rate=rate, slow=True):
            recovery = replay.first(SLOW_UNTIL, lambda figure: figure < 1.3)
            seconds.append(recovery)
        assert statistics.median(seconds) <= 2.0
        low = [
            figure < 1.5
            for replay in replays(usual=usual, rate=rate, slow=True)
            for figure in replay.sustained(SLOW_FROM + 2.0, SLOW_UNTIL)
        ]
        assert statistics.mean(low) < 0.05

    def test_current_figure_is_closer_than_the_sustained_one(
        self, usual, rate
    ):
        """Prompts were read on replicas in a slow moment."""
        samples = [
            sample
            for replay in replays(usual=usual, rate=rate)
            for sample in replay.samples
        ]
        by_current = sum(abs(s[2] - s[1]) for s in samples)
        by_sustained = sum(abs(s[3] - s[1]) for s in samples)
        # With 2 reports in a second, half of the moments are not seen.
        factor = {2.0: 1.1, 4.0: 0.8, 10.0: 0.4}[rate]
        assert by_current < factor * by_sustained


def reported(slowness, *, seconds=2.0, start=0.0):
    """Return a speed after ten equal figures in each second."""
    speed = _replica_speed.ReplicaSpeed()
    report(speed, slowness, seconds=seconds, start=start)
    return speed


def report(speed, slowness, *, seconds, start):
    for step in range(round(seconds * 10)):
        speed.record(slowness, now=start + step / 10)


class TestReplicaSpeed:
    def test_nothing_is_reported(self):
        speed = _replica_speed.ReplicaSpeed()
        assert not speed.is_reported
        assert speed.current(now=1.0) == speed.sustained(now=1.0) == 1.0

    def test_old_figure_does_not_describe_the_moment(self):
        """A replica got no prompts for seconds after one slow moment."""
        speed = _replica_speed.ReplicaSpeed()
        for step in range(20):
            speed.record(1.0, now=step / 10)
        speed.record(2.5, now=2.0)
        assert speed.current(now=2.1) == 2.5
        assert speed.current(now=3.0) < 1.3

    def test_first_figure_of_a_new_ledger(self):
        """A new owner took the first figure, of a slow moment, as usual."""
        speed = _replica_speed.ReplicaSpeed()
        speed.record(2.5, now=100.0)
        assert speed.current(now=100.0) == 2.5
        assert speed.sustained(now=100.0) < 1.25

    def test_new_ledger_learns_the_figure_within_a_second(self):
        """A new owner sent work to a slow replica for many seconds."""
        speed = reported(2.5, seconds=1.0, start=100.0)
        assert speed.sustained(now=101.0) == pytest.approx(2.5)

    def test_single_figure_after_a_gap(self):
        """A replica that reports seldom lost its work by one figure."""
        speed = reported(1.0)
        speed.record(2.5, now=4.5)
        assert speed.sustained(now=4.5) < 1.1

    @pytest.mark.parametrize(
        "figure", [0.0, -1.0, 0.01, 1e6, math.inf, math.nan]
    )
    def test_implausible_figure_is_ignored(self, figure):
        """One absurd figure closed a replica, or made it seem fast."""
        speed = reported(1.3)
        for step in range(10):
            speed.record(figure, now=2.0 + step / 10)
        assert speed.current(now=2.0) == pytest.approx(1.3)
        assert speed.sustained(now=3.0) == pytest.approx(1.3)

    def test_implausible_figure_alone_is_no_report(self):
        speed = _replica_speed.ReplicaSpeed()
        speed.record(1e6, now=1.0)
        assert not speed.is_reported

    def test_slow_replica_without_work_reports_nothing(self):
        """A slow replica that had lost its work got it back every second."""
        speed = reported(1.0, seconds=12.0)
        report(speed, 2.5, seconds=2.0, start=12.0)
        assert speed.sustained(now=15.5) == pytest.approx(2.5)

    def test_figures_stop(self):
        """A replica that stopped to report in a slow time stayed closed."""
        speed = reported(1.3, seconds=12.0)
        report(speed, 3.25, seconds=2.0, start=12.0)
        assert speed.sustained(now=18.0) == pytest.approx(1.3)
        assert speed.current(now=18.0) == pytest.approx(1.3)
        assert speed.sustained(now=24.0) == 1.0
        assert speed.current(now=24.0) == 1.0

    def test_usual_figure_is_not_that_of_a_slow_instance(self):
        speed = reported(1.3, seconds=12.0)
        report(speed, 3.25, seconds=6.0, start=12.0)
        assert speed.usual(now=18.0) == pytest.approx(1.3)

    def test_usual_figure_follows_a_permanent_change(self):
        """A replica that was moved to a slow instance stayed nearly closed."""
        speed = reported(1.0, seconds=12.0)
        report(speed, 2.5, seconds=24.0, start=12.0)
        assert speed.usual(now=36.0) == pytest.approx(2.5)

    def test_figures_at_the_same_moment(self):
        """Heads that arrive together count as one, not as a second of them."""
        speed = reported(1.0)
        for _ in range(50):
            speed.record(2.5, now=2.0)
        assert speed.sustained(now=2.0) < 1.1

    def test_bounded_memory(self):
        """Thousands of heads in a second must not make each one expensive."""
        speed = _replica_speed.ReplicaSpeed()
        for step in range(20000):
            speed.record(1.0, now=step / 10000)
        assert len(speed._figures) < 50
