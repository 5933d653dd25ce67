"""Processor time for long work on callers' bytes, one greenlet at a time."""

import collections
import time
from typing import final

import gevent
from gevent import hub as _hub

# Time in each iteration of the event loop, and then the rest of one turn.
_ITERATION_SECONDS = 0.002


@final
class Turns:
    """Gives waiting greenlets a part of each iteration of the event loop.

    A greenlet that reads what has already arrived never blocks, and would
    hold up all others. If many such greenlets only yielded, each iteration of
    the event loop would still run all of them before it returns to short
    requests.
    """

    def __init__(self) -> None:
        self._waiters: collections.deque[_hub.Waiter] = collections.deque()
        self._timer = gevent.get_hub().loop.timer(0.0)

    @property
    def waiting(self) -> int:
        """Return the number of greenlets that wait for a turn."""
        return len(self._waiters)

    def wait(self) -> None:
        """Let other greenlets run, and return when it is this one's turn."""
        waiter = _hub.Waiter()
        self._waiters.append(waiter)
        if not self._timer.active:
            self._timer.start(self._run_some)
        waiter.get()

    def _run_some(self) -> None:
        end = time.monotonic() + _ITERATION_SECONDS
        # Those that wait again get their next turn in a later iteration.
        for _ in range(len(self._waiters)):
            # A greenlet that was interrupted does not wait any more, and is
            # not resumed.
            self._waiters.popleft().switch(None)
            if time.monotonic() >= end:
                break
        if self._waiters:
            self._timer.start(self._run_some)
