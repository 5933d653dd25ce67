"""The slowness of a replica that shares its instance."""

import pytest

from soak import _slowness

STEP = 0.05


def percents(slowness, *, seconds):
    steps = round(seconds / STEP)
    return [slowness.percent(now=10.0 + step * STEP) for step in range(steps)]


def varying(seed):
    return _slowness.Slowness(seed=seed, varies=True, now=10.0)


class TestUsual:
    def test_constant_if_it_does_not_vary(self):
        """Replicas without the report must work as fast as before."""
        slowness = _slowness.Slowness(seed=1, varies=False, now=10.0)
        assert set(percents(slowness, seconds=30)) == {100}

    def test_some_replicas_are_slower(self):
        usual = [min(percents(varying(seed), seconds=5)) for seed in range(60)]
        assert set(usual) == {100, 130}
        assert 10 <= usual.count(130) <= 30


class TestEpisodes:
    @pytest.mark.parametrize("seed", range(3))
    def test_factor_and_fraction_of_time(self, seed):
        seen = percents(varying(seed), seconds=400)
        assert set(seen) in ({100, 250}, {130, 325})
        episodes = sum(percent == max(seen) for percent in seen)
        assert 0.05 < episodes / len(seen) < 0.2

    def test_length(self):
        seen = percents(varying(1), seconds=60)
        begins = seen.index(max(seen))
        steps = round(_slowness._EPISODE_SECONDS / STEP)
        assert set(seen[begins : begins + steps - 1]) == {max(seen)}
        assert seen[begins + steps + 1] == min(seen)


class TestSlowInstance:
    def test_on_top_of_the_usual_figure_and_episodes(self):
        slowness = varying(1)
        usual = min(percents(varying(1), seconds=60))
        slowness.is_slow = True
        expected = {round(2.5 * usual), round(6.25 * usual)}
        assert set(percents(slowness, seconds=60)) == expected

    def test_without_reports(self):
        slowness = _slowness.Slowness(seed=1, varies=False, now=10.0)
        slowness.is_slow = True
        assert slowness.percent(now=11.0) == 250
        slowness.is_slow = False
        assert slowness.percent(now=12.0) == 100
