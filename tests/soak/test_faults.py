"""The faults that a seed determines."""

import contextlib
import itertools
import random
import signal
import time
import types

import pytest

from soak import _faults


class World:
    """Only the attributes that are used before a fault is injected."""

    store = None


def faults(**options):
    return _faults.Faults(world=World(), seed=1, **options)


class TestDraws:
    @pytest.mark.parametrize(
        "seed, expected",
        [
            (1, [("daemon-frozen", 32), ("store-briefly-silent", 83)]),
            (2, [("daemon-killed", 11), ("link-cut", 32)]),
            (3, [("configuration", 16), ("daemon-frozen", 77)]),
            (5, [("link-slow", 88), ("store-forgets", 3)]),
        ],
    )
    def test_earlier_seeds_determine_the_same_faults(self, seed, expected):
        """Kinds that are added must not change the faults of known seeds.

        Seeds that once showed a violation would no longer guard against it.
        """
        drawn = _faults.draws(
            random.Random(seed), faults()._kinds, _faults._PAUSE_SECONDS
        )
        assert [
            (one.kind, one.number) for one in itertools.islice(drawn, 2)
        ] == expected


class TestKinds:
    def test_surges_only_if_a_team_surges(self):
        assert list(faults()._load_kinds) == ["replica-slow"]
        surging = faults(surge=lambda number, duration: None)
        assert list(surging._load_kinds) == ["replica-slow", "team-surges"]

    def test_releases_only_in_runs_with_one(self):
        assert list(faults()._release_kinds) == []
        releasing = faults(has_release=True)
        assert list(releasing._release_kinds) == ["version-released"]

    def test_only(self):
        slow = faults(only="slow")
        assert list(slow._kinds) == ["link-slow"]
        assert list(slow._load_kinds) == ["replica-slow"]

    def test_unknown_name(self):
        """A misspelt name must not pass as a run without faults."""
        with pytest.raises(ValueError, match="misspelt"):
            faults(only="misspelt")

    def test_surges_of_a_run_without_them(self):
        """Such a run has no faults, and must not end before its callers."""
        until = time.monotonic() + 0.2
        faults(only="team-surges").run(until)
        assert time.monotonic() >= until


class TestRun:
    @pytest.mark.parametrize(
        "kind, attribute",
        [("replica-slow", "is_slow"), ("replica-fails", "is_failing")],
    )
    def test_each_fault_is_reverted(self, kind, attribute, monkeypatch):
        """A replica that stayed slow would distort the rest of a run.

        So would one that went on failing requests.
        """
        monkeypatch.setattr(_faults, "_SLOW_SECONDS", 0.0)
        monkeypatch.setattr(_faults, "_FAILING_SECONDS", 0.0)
        monkeypatch.setattr(_faults, "_OWNER_PAUSE_SECONDS", (0.01, 0.02))
        monkeypatch.setattr(_faults, "_DURATION_SECONDS", (0.01, 0.02))
        monkeypatch.setattr(_faults, "_LOAD_PAUSE_SECONDS", (0.01, 0.02))
        signals = []
        replica = types.SimpleNamespace(
            is_slow=False,
            is_failing=False,
            disrupted=lambda **options: contextlib.nullcontext(),
            process=types.SimpleNamespace(send=signals.append),
        )
        one = faults(only=kind)
        one._world.replica = lambda number: replica
        one.run(time.monotonic() + 0.1)
        assert signals and len(signals) % 2 == 0
        assert not getattr(replica, attribute)

    def test_power_is_lost_at_most_once(self):
        """Daemons that restart all the time are exempt from most checks."""
        lost = []
        one = faults(only="power")
        one._world.lose_power = lost.append
        one._lose_power(1, 0.5)
        one._lose_power(2, 0.5)
        assert lost == [0.25]

    @pytest.mark.parametrize("number, expected", [(1, [0.25]), (2, [])])
    def test_power_is_lost_after_half_of_the_releases(self, number, expected):
        """Daemons that have just started know no version before."""
        lost = []
        releases = []
        one = faults(has_release=True)
        one._world.lose_power = lost.append
        one._world.release = lambda: releases.append(1)
        one._release(number, 0.5)
        one._release(number, 0.5)
        assert (len(releases), lost) == (1, expected)


class TestSignalAgain:
    @pytest.mark.parametrize(
        "pid, is_running, signals",
        [(7, True, [signal.SIGTERM]), (7, False, []), (8, True, [])],
    )
    def test_only_the_process_that_stops(self, pid, is_running, signals):
        """The signal ended the next process, which nobody started again."""
        sent = []
        process = types.SimpleNamespace(
            pid=pid, is_running=lambda: is_running, send=sent.append
        )
        _faults.signal_again(process, 7)
        assert sent == signals
