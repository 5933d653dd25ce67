"""Greenlets that run for as long as the daemon does."""

from collections.abc import Callable

import gevent
import logbook

from topazlug import _clock

RESTART_SECONDS = 1.0
_log = logbook.Logger("topazlug.tasks")


def spawn(task: Callable[[], None], *, clock: _clock.Clock) -> gevent.Greenlet:
    """Start a task that must not end, and start it again if it does.

    An exception that nobody expected ends a greenlet, and the daemon goes on
    without it: renewals, heartbeats or reads of the table just stop. Peers
    notice wrong counts or old revisions minutes later, far from the cause.
    Here it is logged with its trace, and the task goes on after a second.

    Parameters
    ----------
    task : callable
        Runs until it is killed.
    clock : Clock
        Waits between two starts.

    Returns
    -------
    gevent.Greenlet
        To be killed when the daemon stops.
    """
    return gevent.spawn(_run_forever, task, clock)


def _run_forever(task: Callable[[], None], clock: _clock.Clock) -> None:
    while True:
        try:
            task()
        except Exception:
            _log.exception("a task failed and is started again: {}", task)
        clock.sleep(RESTART_SECONDS)
