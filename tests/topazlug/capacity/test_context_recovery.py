"""When a new owner asks its replica for contexts, and what waits for it."""

from topazlug.capacity import _context_recovery

STATE = _context_recovery.RecoveryState


def needed(**changes):
    return _context_recovery.ContextRecovery(
        **{"is_needed": True, "opened_at": 10.0, **changes}
    )


def failed(times):
    """Return a recovery after some failed attempts."""
    recovery = needed()
    recovery.request(now=10.0)
    for number in range(times):
        recovery.begin_attempt(now=10.0 + number)
        recovery.record_failure()
    return recovery


class TestRequest:
    def test_new_process_is_not_asked(self):
        """A replica that holds nothing must not spend time on an answer."""
        recovery = needed(is_needed=False)
        assert not recovery.request(now=10.0)
        assert recovery.state is STATE.NOT_NEEDED
        assert recovery.may_redirect(now=10.0)

    def test_list_is_requested_once(self):
        """Each head that reports slowness started another request."""
        recovery = needed()
        assert recovery.request(now=10.0)
        assert not recovery.request(now=10.0)
        recovery.begin_attempt(now=10.0)
        recovery.record_list()
        assert not recovery.request(now=11.0)
        assert recovery.state is STATE.DONE


class TestAttempts:
    def test_attempts_are_a_second_apart(self):
        recovery = needed()
        recovery.request(now=10.0)
        assert recovery.wait(now=10.0) == 0.0
        recovery.begin_attempt(now=10.0)
        recovery.record_failure()
        assert recovery.wait(now=10.5) == 0.5

    def test_third_failure_is_the_last(self):
        """A replica without such a list must not be asked forever."""
        assert failed(2).state is STATE.AWAITED
        assert failed(3).state is STATE.GIVEN_UP
        assert not failed(3).request(now=20.0)


class TestWaitingReads:
    def test_reads_wait_for_a_list_for_a_short_time(self):
        recovery = needed()
        assert not recovery.delays_reads(now=10.0)
        recovery.request(now=10.0)
        assert recovery.delays_reads(now=10.29)
        assert not recovery.delays_reads(now=10.31)

    def test_reads_do_not_wait_after_the_list_or_a_failure(self):
        """A replica that refuses connections must not delay each chat."""
        assert not failed(1).delays_reads(now=10.1)
        recovery = needed()
        recovery.request(now=10.0)
        recovery.record_list()
        assert not recovery.delays_reads(now=10.1)


class TestMovedReads:
    def test_reads_move_once_the_list_has_arrived(self):
        """A prompt that the replica holds must not be read elsewhere."""
        recovery = needed()
        assert not recovery.may_redirect(now=10.0)
        recovery.request(now=10.0)
        assert not recovery.may_redirect(now=13.0)
        recovery.record_list()
        assert recovery.may_redirect(now=13.0)

    def test_without_a_list_reads_move_after_30_seconds(self):
        """Reads must not stall streams forever as a list never came."""
        assert not failed(3).may_redirect(now=39.9)
        assert failed(3).may_redirect(now=40.0)
