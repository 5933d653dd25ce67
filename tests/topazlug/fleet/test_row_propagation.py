"""How long a row takes from the store to the last connected daemon.

Leaving replicas, configuration changes, revoked keys and the evacuation of a
zone are all propagated this way.
"""

import random

import pytest

from tests.topazlug.fleet import read_simulation
from topazlug.fleet import _reading_plan

# The shortest bound of the largest deployments, less half a second for what is
# not simulated: processing, links and the request itself.
MAX_DELAY_SECONDS = 4.0 - 0.5
SIZES = (9, 69, 195)
LARGE = (69, 195, 880)
# Fraction of the daemons that the store does not serve.
AFFECTED_FRACTION = 0.35
# Time between the starts of outages, after which the daemons affected by the
# previous outage are expected to be up to date again.
INTERVAL_SECONDS = 20.0
OUTAGE_SECONDS = 8.0
OUTAGES = 5
# Simulating a fleet of 880 takes ten times as long as one of 69.
OUTAGES_IN_LARGEST_FLEET = 2
# Readers that are always affected.
AFFECTED_READERS = (
    "all readers but one",
    "all readers",
    "all readers and two more",
)


class PartialOutages:
    """Outages that each affect other daemons, with two changes in each.

    Parameters
    ----------
    count : int
        Number of daemons.
    seed : int
        Seed for the affected daemons and the times of changes.
    readers : str
        Which readers are always affected.
    """

    def __init__(self, count, seed, readers="any"):
        draw = random.Random(seed)
        n_readers = _reading_plan.reader_count(count)
        affected_readers = {
            "any": 0,
            "all readers but one": n_readers - 1,
            "all readers": n_readers,
            "all readers and two more": n_readers + 2,
        }[readers]
        self.times = []
        self.changes = [2.0]
        self._affected_by_begin = {}
        outages = OUTAGES if count < 500 else OUTAGES_IN_LARGEST_FLEET
        for number in range(outages):
            begin = 10.0 + INTERVAL_SECONDS * number + draw.random()
            affected = set(
                draw.sample(range(count), int(AFFECTED_FRACTION * count))
            )
            affected |= set(range(affected_readers))
            self._affected_by_begin[begin] = affected
            self.times.append(
                (begin, begin + OUTAGE_SECONDS, affected.__contains__)
            )
            self.changes += [
                begin + draw.uniform(0.0, 0.6),
                begin + draw.uniform(1.0, OUTAGE_SECONDS),
            ]
        self.end = 10.0 + INTERVAL_SECONDS * outages

    def max_propagation_delay(self, fleet):
        """Return the maximum delay of a change among unaffected daemons."""
        max_delay = 0.0
        for version, at in enumerate(fleet.store.changes, start=1):
            affected = set()
            for begin, daemons in self._affected_by_begin.items():
                if begin <= at < begin + OUTAGE_SECONDS:
                    affected = daemons
            for daemon in fleet.daemons:
                if daemon.number not in affected:
                    known_at = daemon.known_at.get(version, float("inf"))
                    max_delay = max(max_delay, known_at - at)
        return max_delay


class TestPartialOutage:
    """Guards against requests to a replica that left four seconds ago.

    The store stops serving some daemons, including some readers, and a
    replica leaves. A daemon that the store would serve reads its table from
    one that the store does not serve. Both the time for which an old copy is
    valid and the search for another source must be bounded.
    """

    @pytest.mark.parametrize("count", SIZES)
    @pytest.mark.parametrize("seed", range(3))
    def test_without_answers(self, count, seed):
        outages = PartialOutages(count, seed)
        store = read_simulation.Store(
            changes=outages.changes, unavailable=outages.times
        )
        fleet = read_simulation.Fleet(count, store, seed=seed).run(outages.end)
        assert outages.max_propagation_delay(fleet) <= MAX_DELAY_SECONDS

    @pytest.mark.parametrize("count", SIZES)
    @pytest.mark.parametrize("waiting", [True, False])
    @pytest.mark.parametrize("seed", range(2))
    def test_with_resets(self, count, waiting, seed):
        outages = PartialOutages(count, seed)
        store = read_simulation.Store(
            changes=outages.changes,
            resets=outages.times,
            resets_waiting=waiting,
        )
        fleet = read_simulation.Fleet(count, store, seed=seed).run(outages.end)
        assert outages.max_propagation_delay(fleet) <= MAX_DELAY_SECONDS

    @pytest.mark.parametrize("count", LARGE)
    @pytest.mark.parametrize("readers", AFFECTED_READERS)
    def test_readers_without_answers(self, count, readers):
        outages = PartialOutages(count, 5, readers)
        store = read_simulation.Store(
            changes=outages.changes, unavailable=outages.times
        )
        fleet = read_simulation.Fleet(count, store, seed=5).run(outages.end)
        assert outages.max_propagation_delay(fleet) <= MAX_DELAY_SECONDS

    @pytest.mark.parametrize("count", LARGE)
    @pytest.mark.parametrize("readers", AFFECTED_READERS)
    @pytest.mark.parametrize("waiting", [True, False])
    def test_readers_with_resets(self, count, readers, waiting):
        outages = PartialOutages(count, 5, readers)
        store = read_simulation.Store(
            changes=outages.changes,
            resets=outages.times,
            resets_waiting=waiting,
        )
        fleet = read_simulation.Fleet(count, store, seed=5).run(outages.end)
        assert outages.max_propagation_delay(fleet) <= MAX_DELAY_SECONDS


class TestReadersRestart:
    @pytest.mark.parametrize("count", LARGE)
    @pytest.mark.parametrize("seed", [3])
    def test_restart_during_partial_outage(self, count, seed):
        """Readers restart without rows while a third is not served."""
        outages = PartialOutages(count, seed)
        n_readers = _reading_plan.reader_count(count)
        restarts = [
            (begin + 1.0, begin + 1.9, lambda number: number < n_readers)
            for begin, _, _ in outages.times
        ]
        store = read_simulation.Store(
            changes=outages.changes, unavailable=outages.times
        )
        fleet = read_simulation.Fleet(
            count, store, restarts=restarts, seed=seed
        ).run(outages.end)
        delays = [
            daemon.known_at.get(version, float("inf")) - at
            for version, at in enumerate(store.changes, start=1)
            for daemon in fleet.daemons[n_readers:]
            if not any(
                begin <= at < end and is_affected(daemon.number)
                for begin, end, is_affected in outages.times
            )
        ]
        assert max(delays) <= MAX_DELAY_SECONDS


class TestBusyReader:
    @pytest.mark.parametrize("count", [69, 195])
    def test_last_reader_does_not_answer_some(self, count):
        """Guards against an outdated table while one reader has the store.

        The store serves only one reader. That reader sends a change to all
        daemons, which saturates its link, so some new streams to it are not
        answered. These daemons avoid it for three seconds, and all others
        that they try have lost the store. Daemons that the store serves were
        tried too, but waited for an answer themselves before they read the
        store, and a table was outdated for 4.4 s.
        """
        outages = PartialOutages(count, 4, "all readers but one")
        store = read_simulation.Store(
            changes=outages.changes, resets=outages.times
        )
        fleet = read_simulation.Fleet(count, store, seed=4)
        remaining_reader = fleet.daemons[
            _reading_plan.reader_count(count) - 1
        ].name
        for daemon in fleet.daemons[::3]:
            _leave_unanswered(fleet, daemon, remaining_reader, outages.times)
        fleet.run(outages.end)
        assert outages.max_propagation_delay(fleet) <= MAX_DELAY_SECONDS


def _leave_unanswered(fleet, daemon, reader, times):
    read_peer = daemon._read_peer

    def read_or_time_out(name, wait):
        now = fleet.clock.now
        is_busy = any(begin <= now < begin + 2.0 for begin, _, _ in times)
        if name != reader or not is_busy:
            return (yield from read_peer(name, wait))
        yield read_simulation.PEER_TIMEOUT_SECONDS
        return read_simulation.Outcome.NO_ANSWER

    daemon._read_peer = read_or_time_out
