"""How much of a replica each rank may hold."""

import pytest

from topazlug.capacity import _rank_limits

SLOTS = 64


@pytest.fixture
def room():
    return _rank_limits.RankLimits(slots=SLOTS)


def has_capacity(room, rank, *, load, now=0.0, reserved=0, is_due=False):
    return room.has_capacity(
        rank, load=load, reserved=reserved, now=now, is_due=is_due
    )


def hold(room, rank, count):
    for _ in range(count):
        room.note_held(rank)


class TestRanks:
    """Symptom: the most urgent wait as long as the least urgent.

    Sequence: more comes than the replicas can do; all places go to whoever
    comes first. Cause: nothing was left for the urgent.
    """

    def test_lower_ranks_leave_room_for_the_urgent(self, room):
        for rank in range(3):
            room.note_demand(rank, now=0.0)
        hold(room, 1, 30)
        hold(room, 2, 30)
        assert has_capacity(room, 0, load=SLOTS - 1)
        assert not has_capacity(room, 1, load=SLOTS - 1)
        assert has_capacity(room, 1, load=SLOTS - 10)
        assert not has_capacity(room, 2, load=SLOTS - 10)

    def test_nothing_is_left_for_ranks_that_are_not_about(self, room):
        room.note_demand(0, now=0.0)
        hold(room, 2, 30)
        assert not has_capacity(room, 2, load=SLOTS - 1, now=1.0)
        assert has_capacity(room, 2, load=SLOTS - 1, now=3.0)

    def test_the_least_urgent_is_served_too(self, room):
        for rank in range(6):
            room.note_demand(rank, now=0.0)
        hold(room, 0, 50)
        assert has_capacity(room, 5, load=50)
        hold(room, 5, 6)
        assert not has_capacity(room, 5, load=56)

    def test_nobody_gets_more_than_the_limit(self, room):
        assert not has_capacity(room, 0, load=SLOTS)
        assert not has_capacity(room, 0, load=SLOTS - 2, reserved=2)

    def test_return_that_is_due_leaves_half_of_the_margin(self, room):
        for rank in range(3):
            room.note_demand(rank, now=0.0)
        hold(room, 2, 30)
        # A quarter of the limit is 16 places, and half of that 8.
        assert not has_capacity(room, 2, load=SLOTS - 10)
        assert has_capacity(room, 2, load=SLOTS - 10, is_due=True)
        assert not has_capacity(room, 2, load=SLOTS - 8, is_due=True)
        assert not has_capacity(
            room, 2, load=SLOTS - 10, reserved=2, is_due=True
        )


class TestLearning:
    """Symptom: requests wait for seconds on replicas that have free slots.

    Sequence: prompts are long, so that memory or their reading binds the
    engine; it runs 24 and lets 40 wait. Cause: its slots were the limit.
    """

    def test_limit_falls_to_what_is_run_and_a_short_queue(self, room):
        for step in range(100):
            room.take_report(24, 40, slow=True, now=step * 0.1)
        assert room.limit == 24 + room.queue

    def test_one_moment_moves_it_little(self, room):
        for _ in range(50):
            room.take_report(5, 40, slow=True, now=1.0)
        assert room.limit > SLOTS * 0.8

    def test_queue_that_delays_nobody_is_no_sign(self, room):
        room.take_report(5, 40, slow=False, now=1.0)
        assert room.limit == SLOTS

    def test_limit_rises_again(self, room):
        for step in range(100):
            room.take_report(10, 40, slow=True, now=step * 0.1)
        for step in range(100, 140):
            room.take_report(14, 0, slow=False, now=step * 0.1)
        assert room.limit == SLOTS

    def test_it_never_closes(self, room):
        for step in range(200):
            room.take_report(0, 40, slow=True, now=step * 0.1)
        assert has_capacity(room, 0, load=4)

    def test_few_slots(self):
        room = _rank_limits.RankLimits(slots=1)
        for step in range(100):
            room.take_report(1, 9, slow=True, now=step * 0.1)
        assert has_capacity(room, 3, load=0)
