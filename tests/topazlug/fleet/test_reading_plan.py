"""How many calls to the store a fleet makes, and how old its tables get."""

import pytest

from tests.topazlug.fleet import reading_replay
from topazlug.fleet import _reading_plan

# Bound of the largest deployments for a change to be in force, in seconds.
IN_FORCE_SECONDS = 4.0
LARGE = (69, 195, 880)
SIZES = (9, *LARGE)


def readers(count):
    return _reading_plan.reader_count(count)


def rate(count):
    """Give the calls a second of a calm fleet, for one table."""
    reading = count if count <= 16 else readers(count)
    return reading / reading_replay.NEWS.reader_wait


def is_any(number):
    return True


class TestCalm:
    @pytest.mark.parametrize("count", SIZES)
    def test_a_few_read_for_all(self, count):
        store = reading_replay.Store(changes=[5.0, 9.0, 9.05, 14.0])
        fleet = reading_replay.Fleet(count, store).run(20.0)
        assert fleet.lateness() < 1.0
        reading = count if count <= 16 else readers(count)
        # Four changes, and at the start all that were not yet read.
        assert len(store.calls) <= 20.0 * rate(count) + 6 * reading + 2


class TestStoreIsAway:
    @pytest.mark.parametrize("count", LARGE)
    def test_calls_stay_few(self, count):
        """Symptom: a thousand calls in one second of an outage.

        Sequence: the store falls silent for all; readers say that they
        lost it; all daemons turn to it at once, and again and again. Cause:
        how many may was nobody's decision.
        """
        store = reading_replay.Store(
            changes=[5.0, 12.0, 16.0], away=[(8.0, 14.0, is_any)]
        )
        fleet = reading_replay.Fleet(count, store).run(22.0)
        probes = 20.0 / 3
        substitutes = 2 * 5 / 0.6
        expected = readers(count) / 0.6 + substitutes + probes
        assert store.calls_between(8.0, 14.0) <= 6.0 * expected
        assert fleet.lateness(since=16.0) < IN_FORCE_SECONDS
        # What changed meanwhile is known soon after the store's return.
        late = [daemon.known_at[2] for daemon in fleet.daemons]
        assert max(late) < 14.0 + IN_FORCE_SECONDS

    @pytest.mark.parametrize("count", SIZES)
    @pytest.mark.parametrize("seed", range(3))
    def test_daemons_turned_away_hear_from_those_that_are_served(
        self, count, seed
    ):
        """Symptom: a part of the fleet holds an old table for seconds.

        Sequence: the store turns away a third of the daemons, some readers
        among them. Cause: nobody told them what the others read.
        """
        store = reading_replay.Store(
            changes=[5.0, 9.0, 12.0],
            away=[(8.0, 16.0, lambda number: number % 3 == seed)],
        )
        fleet = reading_replay.Fleet(count, store, seed=seed).run(18.0)
        among = fleet.daemons if count > 16 else None
        if among is None:
            # Each daemon of a small fleet reads the store itself.
            among = [one for one in fleet.daemons if one.number % 3 != seed]
        assert fleet.lateness(among=among) < IN_FORCE_SECONDS
        if count > 16:
            calm = 10.0 * rate(count) + 5 * readers(count)
            again = 10.0 * readers(count) / 0.8
            assert store.calls_between(8.0, 18.0) <= calm + again

    @pytest.mark.parametrize("count", LARGE)
    def test_all_readers_are_turned_away(self, count):
        """The daemons that the store still serves are found by asking."""
        few = readers(count)
        store = reading_replay.Store(
            changes=[5.0, 14.0], away=[(8.0, 20.0, lambda one: one < few)]
        )
        fleet = reading_replay.Fleet(count, store).run(19.0)
        assert fleet.lateness() < IN_FORCE_SECONDS
        substitutes = 2 * (12.0 / 0.2)
        again = 12.0 * few / 0.6
        assert store.calls_between(8.0, 19.0) <= substitutes + again


class TestHistoryIsForgotten:
    @pytest.mark.parametrize("count", LARGE)
    def test_one_reads_for_all(self, count):
        store = reading_replay.Store(
            changes=[5.0, 8.0, 12.0], forgets_at=[7.0, 10.0, 13.0]
        )
        fleet = reading_replay.Fleet(count, store).run(18.0)
        assert fleet.lateness() < 1.0
        extra = 3 * readers(count) + 6 * readers(count) + 2
        assert len(store.calls) <= 18.0 * rate(count) + extra


class TestStoreIsSlow:
    @pytest.mark.parametrize("count", LARGE)
    def test_calls_stay_few(self, count):
        store = reading_replay.Store(
            changes=[5.0, 9.0, 12.0], slow=[(7.0, 14.0, 0.25)]
        )
        fleet = reading_replay.Fleet(count, store).run(18.0)
        assert fleet.lateness() < 1.5
        assert len(store.calls) <= 18.0 * rate(count) + 6 * readers(count) + 2


class TestStartingAgain:
    @pytest.mark.parametrize("count", LARGE)
    def test_readers_that_start_again_send_nobody_to_the_store(self, count):
        """Symptom: thousands of calls after a loss of power.

        Sequence: all daemons start again; readers, which have read nothing
        yet, refuse connections for a moment. Cause: a refusal was taken for
        being cut off, and each daemon turned to the store for seconds.
        """
        few = readers(count)
        store = reading_replay.Store(changes=[5.0, 8.3, 14.0])
        fleet = reading_replay.Fleet(
            count,
            store,
            refusing=[
                (8.0, 8.9, lambda one: one < few),
                (8.0, 8.6, lambda one: one >= few),
            ],
        ).run(16.0)
        assert fleet.lateness() < IN_FORCE_SECONDS
        # Daemons of the order may be asked in place of readers for a while.
        substitutes = 2 * 1.0 / 0.2
        calm = 8.0 * rate(count) + 4 * few
        assert store.calls_between(8.0, 16.0) <= calm + substitutes + 2 * few


class TestDarkDaemons:
    @pytest.mark.parametrize("count", LARGE)
    def test_all_readers_go_dark(self, count):
        """Symptom: tables stay old when the few that read them are gone."""
        few = readers(count)
        store = reading_replay.Store(
            changes=[5.0, 14.0], away=[(8.0, 99.0, lambda one: one < few)]
        )
        fleet = reading_replay.Fleet(
            count, store, dark=[(8.0, 99.0, lambda one: one < few)]
        ).run(22.0)
        alive = fleet.daemons[few:]
        assert fleet.lateness(among=alive) < IN_FORCE_SECONDS

    @pytest.mark.parametrize("count", LARGE)
    def test_daemon_that_is_cut_off_asks_the_store(self, count):
        """Symptom: a daemon that the store serves has an old table.

        Sequence: the way to all other daemons is cut, that to the store is
        not. Cause: silence of peers was taken for the store's.
        """
        store = reading_replay.Store(changes=[5.0, 14.0])
        fleet = reading_replay.Fleet(count, store)
        alone = fleet.daemons[-1]
        ask = alone._ask

        def cut_off(name, wait):
            if fleet.clock.now < 8.0:
                return (yield from ask(name, wait))
            yield reading_replay.SILENT_PEER_SECONDS
            return _reading_plan.Outcome.SILENT

        alone._ask = cut_off
        fleet.run(22.0)
        assert fleet.lateness(among=[alone]) < IN_FORCE_SECONDS
