"""The wait for requests in progress before a daemon stops."""

import pytest

from tests.topazlug import claim_fakes
from topazlug import _idle_wait


class PausingClock(claim_fakes.FakeClock):
    """A clock with one long sleep, as if the process had been paused."""

    def __init__(self, *, pause):
        super().__init__()
        self._pause = pause

    def sleep(self, seconds):
        super().sleep(seconds)
        if self.seconds > 0.1:
            self.seconds += self._pause
            self._pause = 0.0


class TestWaitUntilIdle:
    def test_request_that_arrived_during_a_pause(self):
        """The daemon must not stop as soon as it resumes after a pause.

        A connection was accepted before the pause and its request arrived
        during it. If the pause counts as idle time, the daemon exits before
        it has read the request, and the caller gets no answer.
        """
        clock = PausingClock(pause=5.0)
        ended = []

        def in_progress():
            is_running = 5.2 < clock.seconds < 5.5
            if clock.seconds >= 5.5:
                ended.append(clock.seconds)
            return int(is_running)

        _idle_wait.wait_until_idle(in_progress, seconds=60.0, clock=clock)
        assert ended
        assert clock.seconds == pytest.approx(6.5, abs=0.1)

    def test_request_that_does_not_end(self):
        clock = claim_fakes.FakeClock()
        _idle_wait.wait_until_idle(lambda: 1, seconds=3.0, clock=clock)
        assert clock.seconds == pytest.approx(3.0, abs=0.1)
