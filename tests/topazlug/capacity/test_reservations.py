"""When rejected requests are retried, and the slots reserved for them."""

from topazlug.capacity import _reservations

LONG_WAIT = 10.0


def retry_after(reservations, rank, *, now=0.0, max_delay=LONG_WAIT):
    return reservations.retry_after(
        rank, interval=0.02, max_delay=max_delay, now=now
    )


def reject(reservations, prompt, rank, *, now=0.0):
    seconds = retry_after(reservations, rank, now=now)
    reservations.add(prompt, rank, seconds=seconds, now=now)
    return seconds


class TestRetryAfter:
    def test_simultaneous_rejections_get_different_delays(self):
        """Requests that were rejected together must not be retried together.

        A burst is rejected; with the same Retry-After for all of it, all
        requests returned at the same time and were rejected again.
        """
        reservations = _reservations.Reservations()
        due = [reject(reservations, number, 1) for number in range(1, 41)]
        assert max(due) > 20 * min(due)
        assert len(set(due)) == len(due)

    def test_urgent_requests_get_shorter_delays(self):
        reservations = _reservations.Reservations()
        for number in range(1, 41):
            reject(reservations, number, 2)
        assert retry_after(reservations, 0) < 0.1
        assert retry_after(reservations, 2) > 1.0

    def test_delay_is_bounded_by_the_callers_wait(self):
        reservations = _reservations.Reservations()
        for number in range(1, 200):
            reject(reservations, number, 0)
        assert retry_after(reservations, 0, max_delay=0.7) == 0.7


class TestReservation:
    def test_is_due_after_the_delay(self):
        reservations = _reservations.Reservations()
        seconds = reject(reservations, 7, 1)
        assert reservations.is_due(7, now=seconds)
        assert not reservations.is_due(8, now=seconds)

    def test_early_retry_is_not_due(self):
        """Callers that retry at once must not go before those that wait."""
        reservations = _reservations.Reservations()
        for number in range(1, 41):
            seconds = reject(reservations, number, 1)
        assert not reservations.is_due(40, now=seconds / 2)

    def test_slots_are_reserved_against_newcomers_of_its_rank(self):
        reservations = _reservations.Reservations()
        seconds = reject(reservations, 7, 1)
        assert reservations.reserved(1, now=seconds) == 1
        assert reservations.reserved(2, now=seconds) == 1

    def test_slots_are_not_reserved_against_more_urgent_ranks(self):
        """Less urgent retries must not take slots from urgent requests."""
        reservations = _reservations.Reservations()
        seconds = reject(reservations, 7, 1)
        assert reservations.reserved(0, now=seconds) == 0
        assert reservations.reserved(1, now=seconds, is_due=True) == 0
        reject(reservations, 8, 0, now=seconds)
        assert reservations.reserved(1, now=seconds, is_due=True) == 1

    def test_reservation_expires(self):
        reservations = _reservations.Reservations()
        seconds = reject(reservations, 7, 1)
        assert reservations.reserved(1, now=seconds + 1.0) == 0
        assert not reservations.is_due(7, now=seconds + 1.0)

    def test_admitted_request_has_no_reservation(self):
        reservations = _reservations.Reservations()
        seconds = reject(reservations, 7, 1)
        reservations.remove(7)
        assert reservations.reserved(1, now=seconds) == 0
