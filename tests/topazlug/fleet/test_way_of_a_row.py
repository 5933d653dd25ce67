"""How long one row takes from the store to the last daemon in touch.

A leaving replica, a change of the configuration, a key that was taken away
and the evacuation of a zone all come this way.
"""

import random

import pytest

from tests.topazlug.fleet import reading_replay
from topazlug.fleet import _reading_plan

# The shortest bound of the largest deployments, in seconds, less half a
# second for what is not replayed: processing, links and the request itself.
LONGEST_SECONDS = 4.0 - 0.5
SIZES = (9, 69, 195)
LARGE = (69, 195, 880)
# The part of the daemons that the store turns away.
PART = 0.35
# Cuts begin so far apart: daemons of the cut before count again meanwhile.
APART_SECONDS = 20.0
CUT_SECONDS = 8.0
CUTS = 5
# A fleet of 880 takes ten times as long to replay as one of 69.
CUTS_OF_LARGEST = 2
# Which of those that read the store are turned away for certain.
CERTAIN = (
    "all readers but one",
    "all readers",
    "all readers and two more",
)


class Cuts:
    """Some cuts, each of other daemons, with two changes in each.

    Parameters
    ----------
    count : int
        Daemons.
    seed : int
        Draws who is cut off, and the moments of the changes.
    readers : str
        Which of those that read the store are among them for certain.
    """

    def __init__(self, count, seed, readers="any"):
        draw = random.Random(seed)
        few = _reading_plan.reader_count(count)
        certain = {
            "any": 0,
            "all readers but one": few - 1,
            "all readers": few,
            "all readers and two more": few + 2,
        }[readers]
        self.times = []
        self.changes = [2.0]
        self._cut_by_begin = {}
        cuts = CUTS if count < 500 else CUTS_OF_LARGEST
        for number in range(cuts):
            begin = 10.0 + APART_SECONDS * number + draw.random()
            cut = set(draw.sample(range(count), int(PART * count)))
            cut |= set(range(certain))
            self._cut_by_begin[begin] = cut
            self.times.append((begin, begin + CUT_SECONDS, cut.__contains__))
            self.changes += [
                begin + draw.uniform(0.0, 0.6),
                begin + draw.uniform(1.0, CUT_SECONDS),
            ]
        self.end = 10.0 + APART_SECONDS * cuts

    def lateness(self, fleet):
        """Give the longest time until a daemon that was not cut off knew."""
        late = 0.0
        for version, at in enumerate(fleet.store.changes, start=1):
            cut = set()
            for begin, found in self._cut_by_begin.items():
                if begin <= at < begin + CUT_SECONDS:
                    cut = found
            for daemon in fleet.daemons:
                if daemon.number not in cut:
                    known_at = daemon.known_at.get(version, float("inf"))
                    late = max(late, known_at - at)
        return late


class TestStoreServesSome:
    """Symptom: a request reaches a replica that left four seconds ago.

    Sequence of events: the store turns a part of the daemons away, some of
    the few that read it for all among them; a replica leaves. A daemon that
    the store would serve has its table from one that it no longer serves.
    Cause: nothing bounded for how long a daemon's word counts that has not
    heard of the store, nor how long the search for another one takes.
    """

    @pytest.mark.parametrize("count", SIZES)
    @pytest.mark.parametrize("seed", range(3))
    def test_silently(self, count, seed):
        cuts = Cuts(count, seed)
        store = reading_replay.Store(changes=cuts.changes, away=cuts.times)
        fleet = reading_replay.Fleet(count, store, seed=seed).run(cuts.end)
        assert cuts.lateness(fleet) <= LONGEST_SECONDS

    @pytest.mark.parametrize("count", SIZES)
    @pytest.mark.parametrize("waiting", [True, False])
    @pytest.mark.parametrize("seed", range(2))
    def test_by_reset(self, count, waiting, seed):
        cuts = Cuts(count, seed)
        store = reading_replay.Store(
            changes=cuts.changes, resets=cuts.times, resets_waiting=waiting
        )
        fleet = reading_replay.Fleet(count, store, seed=seed).run(cuts.end)
        assert cuts.lateness(fleet) <= LONGEST_SECONDS

    @pytest.mark.parametrize("count", LARGE)
    @pytest.mark.parametrize("readers", CERTAIN)
    def test_readers_are_turned_away_silently(self, count, readers):
        cuts = Cuts(count, 5, readers)
        store = reading_replay.Store(changes=cuts.changes, away=cuts.times)
        fleet = reading_replay.Fleet(count, store, seed=5).run(cuts.end)
        assert cuts.lateness(fleet) <= LONGEST_SECONDS

    @pytest.mark.parametrize("count", LARGE)
    @pytest.mark.parametrize("readers", CERTAIN)
    @pytest.mark.parametrize("waiting", [True, False])
    def test_readers_are_turned_away_by_reset(self, count, readers, waiting):
        cuts = Cuts(count, 5, readers)
        store = reading_replay.Store(
            changes=cuts.changes, resets=cuts.times, resets_waiting=waiting
        )
        fleet = reading_replay.Fleet(count, store, seed=5).run(cuts.end)
        assert cuts.lateness(fleet) <= LONGEST_SECONDS


class TestReadersRestart:
    @pytest.mark.parametrize("count", LARGE)
    @pytest.mark.parametrize("seed", [3])
    def test_while_the_store_serves_some(self, count, seed):
        """Readers come back with nothing while a third is turned away."""
        cuts = Cuts(count, seed)
        few = _reading_plan.reader_count(count)
        restarts = [
            (begin + 1.0, begin + 1.9, lambda number: number < few)
            for begin, _, _ in cuts.times
        ]
        store = reading_replay.Store(changes=cuts.changes, away=cuts.times)
        fleet = reading_replay.Fleet(
            count, store, restarts=restarts, seed=seed
        ).run(cuts.end)
        late = [
            daemon.known_at.get(version, float("inf")) - at
            for version, at in enumerate(store.changes, start=1)
            for daemon in fleet.daemons[few:]
            if not any(
                begin <= at < end and is_hit(daemon.number)
                for begin, end, is_hit in cuts.times
            )
        ]
        assert max(late) <= LONGEST_SECONDS


class TestBusyReader:
    @pytest.mark.parametrize("count", [69, 195])
    def test_the_one_that_is_left_answers_some_late(self, count):
        """Symptom: a daemon holds an old table for 4.4 s, none lost the store.

        Sequence of events: the store turns all readers but one away. That
        one tells all daemons of a change; its link is full, and the streams
        that some open to it meanwhile are not answered. They leave it alone
        for three seconds, and whom else they ask has lost the store. Cause:
        daemons that the store serves were asked, but waited for an answer of
        their own before they turned to it.
        """
        cuts = Cuts(count, 4, "all readers but one")
        store = reading_replay.Store(changes=cuts.changes, resets=cuts.times)
        fleet = reading_replay.Fleet(count, store, seed=4)
        left = fleet.daemons[_reading_plan.reader_count(count) - 1].name
        for daemon in fleet.daemons[::3]:
            _leave_unanswered(fleet, daemon, left, cuts.times)
        fleet.run(cuts.end)
        assert cuts.lateness(fleet) <= LONGEST_SECONDS


def _leave_unanswered(fleet, daemon, reader, times):
    ask = daemon._ask

    def ask_or_wait(name, wait):
        now = fleet.clock.now
        is_busy = any(begin <= now < begin + 2.0 for begin, _, _ in times)
        if name != reader or not is_busy:
            return (yield from ask(name, wait))
        yield reading_replay.SILENT_PEER_SECONDS
        return reading_replay.Outcome.SILENT

    daemon._ask = ask_or_wait
