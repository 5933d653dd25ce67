"""Tasks that are restarted when they end."""

import gevent.event
import pytest

from tests.topazlug import claim_fakes
from topazlug import _tasks


class TestSpawn:
    @pytest.mark.parametrize("fails", [True, False])
    def test_task_that_ends_is_restarted(self, fails):
        """Guards against a task that ends unnoticed.

        If a renewal raised an unexpected error and its greenlet ended, the
        daemon's counts would become wrong without any line in the log.
        """
        again = gevent.event.Event()
        runs = []

        def task():
            runs.append(1)
            if len(runs) > 1:
                again.set()
                gevent.sleep(60)
            if fails:
                raise ZeroDivisionError

        greenlet = _tasks.spawn(task, clock=claim_fakes.FakeClock())
        try:
            assert again.wait(timeout=20)
        finally:
            greenlet.kill()
