"""When those who are turned away come back, and what is kept for them."""

from topazlug.capacity import _returns

LONG = 10.0


def after(returns, rank, *, now=0.0, longest=LONG):
    return returns.after(rank, interval=0.02, longest=longest, now=now)


def turn_away(returns, prompt, rank, *, now=0.0):
    seconds = after(returns, rank, now=now)
    returns.note(prompt, rank, seconds=seconds, now=now)
    return seconds


class TestAfter:
    def test_those_told_together_come_one_after_the_other(self):
        """Symptom: all who were turned away are turned away again.

        Sequence: a burst is refused; all come back after the same time.
        Cause: one Retry-After for all.
        """
        returns = _returns.Returns()
        due = [turn_away(returns, number, 1) for number in range(1, 41)]
        assert max(due) > 20 * min(due)
        assert len(set(due)) == len(due)

    def test_the_urgent_come_first(self):
        returns = _returns.Returns()
        for number in range(1, 41):
            turn_away(returns, number, 2)
        assert after(returns, 0) < 0.1
        assert after(returns, 2) > 1.0

    def test_never_longer_than_the_caller_waits(self):
        returns = _returns.Returns()
        for number in range(1, 200):
            turn_away(returns, number, 0)
        assert after(returns, 0, longest=0.7) == 0.7


class TestReturn:
    def test_comes_in_when_it_was_told(self):
        returns = _returns.Returns()
        seconds = turn_away(returns, 7, 1)
        assert returns.is_due(7, now=seconds)
        assert not returns.is_due(8, now=seconds)

    def test_who_repeats_without_waiting_has_no_claim(self):
        """Symptom: callers that repeat at once go before those who wait."""
        returns = _returns.Returns()
        for number in range(1, 41):
            seconds = turn_away(returns, number, 1)
        assert not returns.is_due(40, now=seconds / 2)

    def test_places_are_kept_from_newcomers_of_its_rank(self):
        returns = _returns.Returns()
        seconds = turn_away(returns, 7, 1)
        assert returns.kept(1, now=seconds) == 1
        assert returns.kept(2, now=seconds) == 1

    def test_but_not_from_the_more_urgent(self):
        """Symptom: the urgent are refused while the least urgent return."""
        returns = _returns.Returns()
        seconds = turn_away(returns, 7, 1)
        assert returns.kept(0, now=seconds) == 0
        assert returns.kept(1, now=seconds, is_due=True) == 0
        turn_away(returns, 8, 0, now=seconds)
        assert returns.kept(1, now=seconds, is_due=True) == 1

    def test_a_place_is_not_kept_for_ever(self):
        returns = _returns.Returns()
        seconds = turn_away(returns, 7, 1)
        assert returns.kept(1, now=seconds + 1.0) == 0
        assert not returns.is_due(7, now=seconds + 1.0)

    def test_who_was_let_in_keeps_none(self):
        returns = _returns.Returns()
        seconds = turn_away(returns, 7, 1)
        returns.forget(7)
        assert returns.kept(1, now=seconds) == 0
