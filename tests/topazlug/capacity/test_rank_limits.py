"""Limits of what each rank may hold on a replica."""

import pytest

from topazlug.capacity import _rank_limits

SLOTS = 64


@pytest.fixture
def limits():
    return _rank_limits.RankLimits(slots=SLOTS)


def has_capacity(
    limits, rank, *, load, now=0.0, reserved=0, is_due=False, slowness=1.0
):
    return limits.has_capacity(
        rank,
        load=load,
        reserved=reserved,
        now=now,
        is_due=is_due,
        slowness=slowness,
    )


def hold(limits, rank, count):
    for _ in range(count):
        limits.add_held(rank)


class TestRanks:
    """The most urgent rank must not wait as long as the least urgent.

    More requests arrive than the replicas can run. Slots were granted in order
    of arrival, and none were left for urgent ranks.
    """

    def test_lower_ranks_leave_capacity_for_the_urgent(self, limits):
        for rank in range(3):
            limits.record_request(rank, now=0.0)
        hold(limits, 1, 30)
        hold(limits, 2, 30)
        assert has_capacity(limits, 0, load=SLOTS - 1)
        assert not has_capacity(limits, 1, load=SLOTS - 1)
        assert has_capacity(limits, 1, load=SLOTS - 10)
        assert not has_capacity(limits, 2, load=SLOTS - 10)

    def test_nothing_is_left_for_inactive_ranks(self, limits):
        limits.record_request(0, now=0.0)
        hold(limits, 2, 30)
        assert not has_capacity(limits, 2, load=SLOTS - 1, now=1.0)
        assert has_capacity(limits, 2, load=SLOTS - 1, now=3.0)

    def test_least_urgent_rank_is_served_too(self, limits):
        for rank in range(6):
            limits.record_request(rank, now=0.0)
        hold(limits, 0, 50)
        assert has_capacity(limits, 5, load=50)
        hold(limits, 5, 6)
        assert not has_capacity(limits, 5, load=56)

    def test_no_rank_exceeds_the_limit(self, limits):
        assert not has_capacity(limits, 0, load=SLOTS)
        assert not has_capacity(limits, 0, load=SLOTS - 2, reserved=2)

    def test_due_reservation_leaves_half_of_the_margin(self, limits):
        for rank in range(3):
            limits.record_request(rank, now=0.0)
        hold(limits, 2, 30)
        # A quarter of the limit is 16 slots, and half of that 8.
        assert not has_capacity(limits, 2, load=SLOTS - 10)
        assert has_capacity(limits, 2, load=SLOTS - 10, is_due=True)
        assert not has_capacity(limits, 2, load=SLOTS - 8, is_due=True)
        assert not has_capacity(
            limits, 2, load=SLOTS - 10, reserved=2, is_due=True
        )


class TestAdaptation:
    """Requests must not wait for seconds on replicas with free slots.

    Prompts are long, so memory or the reading of prompts limits the engine: it
    runs 24 requests and queues 40. The limit was the number of slots alone.
    """

    def test_limit_falls_to_running_requests_and_a_short_queue(self, limits):
        for step in range(100):
            limits.handle_report(24, 40, slow=True, now=step * 0.1)
        assert limits.limit == 24 + limits.max_queue

    def test_simultaneous_reports_lower_the_limit_once(self, limits):
        for _ in range(50):
            limits.handle_report(5, 40, slow=True, now=1.0)
        assert limits.limit > SLOTS * 0.8

    def test_queue_without_delays_changes_nothing(self, limits):
        limits.handle_report(5, 40, slow=False, now=1.0)
        assert limits.limit == SLOTS

    def test_limit_rises_again(self, limits):
        for step in range(100):
            limits.handle_report(10, 40, slow=True, now=step * 0.1)
        for step in range(100, 140):
            limits.handle_report(14, 0, slow=False, now=step * 0.1)
        assert limits.limit == SLOTS

    def test_some_capacity_always_remains(self, limits):
        for step in range(200):
            limits.handle_report(0, 40, slow=True, now=step * 0.1)
        assert has_capacity(limits, 0, load=4)

    def test_few_slots(self):
        limits = _rank_limits.RankLimits(slots=1)
        for step in range(100):
            limits.handle_report(1, 9, slow=True, now=step * 0.1)
        assert has_capacity(limits, 3, load=0)


class TestSlowness:
    def test_slow_replica_holds_less(self, limits):
        """A replica that takes twice as long got as many requests."""
        assert has_capacity(limits, 0, load=31, slowness=2.0)
        assert not has_capacity(limits, 0, load=32, slowness=2.0)

    def test_margins_are_of_the_lower_limit(self, limits):
        """The least urgent rank got nothing while a replica was slow."""
        for rank in range(3):
            limits.record_request(rank, now=0.0)
        hold(limits, 2, 10)
        assert has_capacity(limits, 2, load=20, slowness=2.0)
        assert not has_capacity(limits, 2, load=28, slowness=2.0)

    def test_one_request_always_fits(self, limits):
        """A replica without any work could not show that it had recovered."""
        assert has_capacity(limits, 0, load=0, slowness=500.0)

    def test_recovered_replica_has_its_limit_at_once(self, limits):
        """The learnt limit fell with the slowness and had to be learnt."""
        has_capacity(limits, 0, load=0, slowness=4.0)
        assert limits.limit == SLOTS
        assert has_capacity(limits, 0, load=SLOTS - 1)

    def test_fast_replica_gets_no_more(self, limits):
        assert not has_capacity(limits, 0, load=SLOTS, slowness=0.5)
