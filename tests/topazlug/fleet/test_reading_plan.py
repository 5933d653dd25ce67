"""Number of calls of a fleet to the store, and the age of its tables."""

import pytest

from tests.topazlug.fleet import read_simulation
from topazlug.fleet import _reading_plan

# Bound of the largest deployments for a change to be in force.
PROPAGATION_SECONDS = 4.0
LARGE = (69, 195, 880)
SIZES = (9, *LARGE)


def readers(count):
    return _reading_plan.reader_count(count)


def calls_per_second(count):
    """Return the calls per second for one table without any failure."""
    reader_total = count if count <= 16 else readers(count)
    return reader_total / read_simulation.BOUNDS.reader_wait


def is_any(number):
    return True


class TestAvailableStore:
    @pytest.mark.parametrize("count", SIZES)
    def test_only_readers_call_the_store(self, count):
        store = read_simulation.Store(changes=[5.0, 9.0, 9.05, 14.0])
        fleet = read_simulation.Fleet(count, store).run(20.0)
        assert fleet.max_propagation_delay() < 1.0
        reader_total = count if count <= 16 else readers(count)
        # Four changes, and the first reads at the start.
        assert (
            len(store.calls)
            <= 20.0 * calls_per_second(count) + 6 * reader_total + 2
        )


class TestUnavailableStore:
    @pytest.mark.parametrize("count", LARGE)
    def test_calls_stay_few(self, count):
        """Guards against a thousand calls per second during an outage.

        The store stops answering. When the readers report that they lost it,
        the other daemons must not all call the store, once or repeatedly.
        """
        store = read_simulation.Store(
            changes=[5.0, 12.0, 16.0], unavailable=[(8.0, 14.0, is_any)]
        )
        fleet = read_simulation.Fleet(count, store).run(22.0)
        probes = 20.0 / 3
        substitutes = 2 * 5 / 0.6
        expected = readers(count) / 0.6 + substitutes + probes
        assert store.calls_between(8.0, 14.0) <= 6.0 * expected
        assert fleet.max_propagation_delay(since=16.0) < PROPAGATION_SECONDS
        # A change during the outage arrives soon after the store's return.
        known_at = [daemon.known_at[2] for daemon in fleet.daemons]
        assert max(known_at) < 14.0 + PROPAGATION_SECONDS

    @pytest.mark.parametrize("count", SIZES)
    @pytest.mark.parametrize("seed", range(3))
    def test_daemons_without_access_receive_changes(self, count, seed):
        """Guards against tables that stay outdated in part of the fleet.

        The store rejects a third of the daemons, including some readers.
        These must receive the changes from the others.
        """
        store = read_simulation.Store(
            changes=[5.0, 9.0, 12.0],
            unavailable=[(8.0, 16.0, lambda number: number % 3 == seed)],
        )
        fleet = read_simulation.Fleet(count, store, seed=seed).run(18.0)
        among = fleet.daemons if count > 16 else None
        if among is None:
            # Each daemon of a small fleet reads the store directly.
            among = [
                daemon for daemon in fleet.daemons if daemon.number % 3 != seed
            ]
        assert fleet.max_propagation_delay(among=among) < PROPAGATION_SECONDS
        if count > 16:
            calm = 10.0 * calls_per_second(count) + 5 * readers(count)
            again = 10.0 * readers(count) / 0.8
            assert store.calls_between(8.0, 18.0) <= calm + again

    @pytest.mark.parametrize("count", LARGE)
    def test_all_readers_lose_access(self, count):
        """Other daemons to which the store is available are found."""
        n_readers = readers(count)
        store = read_simulation.Store(
            changes=[5.0, 14.0],
            unavailable=[(8.0, 20.0, lambda number: number < n_readers)],
        )
        fleet = read_simulation.Fleet(count, store).run(19.0)
        assert fleet.max_propagation_delay() < PROPAGATION_SECONDS
        substitutes = 2 * (12.0 / 0.2)
        again = 12.0 * n_readers / 0.6
        assert store.calls_between(8.0, 19.0) <= substitutes + again


class TestLostHistory:
    @pytest.mark.parametrize("count", LARGE)
    def test_one_reader_reads_for_all(self, count):
        store = read_simulation.Store(
            changes=[5.0, 8.0, 12.0], history_lost_at=[7.0, 10.0, 13.0]
        )
        fleet = read_simulation.Fleet(count, store).run(18.0)
        assert fleet.max_propagation_delay() < 1.0
        extra = 3 * readers(count) + 6 * readers(count) + 2
        assert len(store.calls) <= 18.0 * calls_per_second(count) + extra


class TestSlowStore:
    @pytest.mark.parametrize("count", LARGE)
    def test_calls_stay_few(self, count):
        store = read_simulation.Store(
            changes=[5.0, 9.0, 12.0], slow=[(7.0, 14.0, 0.25)]
        )
        fleet = read_simulation.Fleet(count, store).run(18.0)
        assert fleet.max_propagation_delay() < 1.5
        assert (
            len(store.calls)
            <= 18.0 * calls_per_second(count) + 6 * readers(count) + 2
        )


class TestLargeChange:
    @pytest.mark.parametrize("seed", range(5))
    @pytest.mark.parametrize("transfer", [0.3, 0.65, 1.5])
    def test_partial_outage_on_slow_links(self, transfer, seed):
        """A change was in force on most of 19 daemons after 4.4 s and more.

        The first reader and five others were cut off by resets. The answer
        with the change took longer than the time-out of a call that does not
        wait, so all daemons that the store served requested it in vain.
        """
        cut = {0, 5, 8, 11, 14, 17}
        store = read_simulation.Store(
            changes=[5.0, 17.98 - transfer, 19.591],
            resets=[(18.5, 26.5, lambda number: number in cut)],
            transfer_seconds=transfer,
        )
        fleet = read_simulation.Fleet(19, store, seed=seed).run(26.4)
        served = [one for one in fleet.daemons if one.number not in cut]
        assert (
            fleet.max_propagation_delay(since=19.0, among=served)
            < PROPAGATION_SECONDS
        )


class TestRestart:
    @pytest.mark.parametrize("count", LARGE)
    def test_restarting_readers_cause_no_direct_calls(self, count):
        """Guards against thousands of calls after a power loss.

        All daemons restart, and readers refuse connections for a moment. A
        daemon must not conclude from this that it is cut off and read the
        store directly for seconds.
        """
        n_readers = readers(count)
        store = read_simulation.Store(changes=[5.0, 8.3, 14.0])
        fleet = read_simulation.Fleet(
            count,
            store,
            refusing_connections=[
                (8.0, 8.9, lambda number: number < n_readers),
                (8.0, 8.6, lambda number: number >= n_readers),
            ],
        ).run(16.0)
        assert fleet.max_propagation_delay() < PROPAGATION_SECONDS
        # Substitutes may be tried in place of readers for a while.
        substitutes = 2 * 1.0 / 0.2
        calm = 8.0 * calls_per_second(count) + 4 * n_readers
        assert (
            store.calls_between(8.0, 16.0)
            <= calm + substitutes + 2 * n_readers
        )


class TestUnresponsiveDaemons:
    @pytest.mark.parametrize("count", LARGE)
    def test_all_readers_become_unresponsive(self, count):
        """Guards against outdated tables after the loss of all readers."""
        n_readers = readers(count)
        store = read_simulation.Store(
            changes=[5.0, 14.0],
            unavailable=[(8.0, 99.0, lambda number: number < n_readers)],
        )
        fleet = read_simulation.Fleet(
            count,
            store,
            unresponsive=[(8.0, 99.0, lambda number: number < n_readers)],
        ).run(22.0)
        alive = fleet.daemons[n_readers:]
        assert fleet.max_propagation_delay(among=alive) < PROPAGATION_SECONDS

    @pytest.mark.parametrize("count", LARGE)
    def test_isolated_daemon_reads_the_store(self, count):
        """Guards against an outdated table although the store is available.

        A daemon is cut off from all others but not from the store. It must
        not conclude that the store is lost because no peer answers.
        """
        store = read_simulation.Store(changes=[5.0, 14.0])
        fleet = read_simulation.Fleet(count, store)
        isolated = fleet.daemons[-1]
        read_peer = isolated._read_peer

        def cut_off(name, wait):
            if fleet.clock.now < 8.0:
                return (yield from read_peer(name, wait))
            yield read_simulation.PEER_TIMEOUT_SECONDS
            return _reading_plan.Outcome.NO_ANSWER

        isolated._read_peer = cut_off
        fleet.run(22.0)
        assert (
            fleet.max_propagation_delay(among=[isolated]) < PROPAGATION_SECONDS
        )
