"""When those who are turned away come back, and what is kept for them."""

from topazlug.capacity import _reservations

LONG = 10.0


def retry_after(returns, rank, *, now=0.0, longest=LONG):
    return returns.retry_after(rank, interval=0.02, longest=longest, now=now)


def turn_away(returns, prompt, rank, *, now=0.0):
    seconds = retry_after(returns, rank, now=now)
    returns.note(prompt, rank, seconds=seconds, now=now)
    return seconds


class TestAfter:
    def test_those_told_together_come_one_after_the_other(self):
        """Symptom: all who were turned away are turned away again.

        Sequence: a burst is refused; all come back after the same time.
        Cause: one Retry-After for all.
        """
        returns = _reservations.Reservations()
        due = [turn_away(returns, number, 1) for number in range(1, 41)]
        assert max(due) > 20 * min(due)
        assert len(set(due)) == len(due)

    def test_the_urgent_come_first(self):
        returns = _reservations.Reservations()
        for number in range(1, 41):
            turn_away(returns, number, 2)
        assert retry_after(returns, 0) < 0.1
        assert retry_after(returns, 2) > 1.0

    def test_never_longer_than_the_caller_waits(self):
        returns = _reservations.Reservations()
        for number in range(1, 200):
            turn_away(returns, number, 0)
        assert retry_after(returns, 0, longest=0.7) == 0.7


class TestReturn:
    def test_comes_in_when_it_was_told(self):
        returns = _reservations.Reservations()
        seconds = turn_away(returns, 7, 1)
        assert returns.is_due(7, now=seconds)
        assert not returns.is_due(8, now=seconds)

    def test_who_repeats_without_waiting_has_no_claim(self):
        """Symptom: callers that repeat at once go before those who wait."""
        returns = _reservations.Reservations()
        for number in range(1, 41):
            seconds = turn_away(returns, number, 1)
        assert not returns.is_due(40, now=seconds / 2)

    def test_places_are_kept_from_newcomers_of_its_rank(self):
        returns = _reservations.Reservations()
        seconds = turn_away(returns, 7, 1)
        assert returns.reserved(1, now=seconds) == 1
        assert returns.reserved(2, now=seconds) == 1

    def test_but_not_from_the_more_urgent(self):
        """Symptom: the urgent are refused while the least urgent return."""
        returns = _reservations.Reservations()
        seconds = turn_away(returns, 7, 1)
        assert returns.reserved(0, now=seconds) == 0
        assert returns.reserved(1, now=seconds, is_due=True) == 0
        turn_away(returns, 8, 0, now=seconds)
        assert returns.reserved(1, now=seconds, is_due=True) == 1

    def test_a_place_is_not_kept_for_ever(self):
        returns = _reservations.Reservations()
        seconds = turn_away(returns, 7, 1)
        assert returns.reserved(1, now=seconds + 1.0) == 0
        assert not returns.is_due(7, now=seconds + 1.0)

    def test_who_was_let_in_keeps_none(self):
        returns = _reservations.Reservations()
        seconds = turn_away(returns, 7, 1)
        returns.remove(7)
        assert returns.reserved(1, now=seconds) == 0
