"""Tasks that run as long as the daemon does."""

from collections.abc import Callable

import gevent
import logbook

from topazlug import _clock

RESTART_SECONDS = 1.0
_log = logbook.Logger("topazlug.tasks")


def spawn(task: Callable[[], None], *, clock: _clock.Clock) -> gevent.Greenlet:
    """Start a task, and restart it whenever it ends.

    An unexpected exception would otherwise end the task's greenlet while the
    daemon goes on without its renewals, heartbeats or reads of the table.
    Wrong counts or old revisions would show at peers minutes later, far from
    the cause. The exception is logged with its traceback, and the task is
    restarted after a second.

    Parameters
    ----------
    task : callable
        The task, which should not return.
    clock : Clock
        Used to wait before a restart.

    Returns
    -------
    gevent.Greenlet
        The greenlet, which the caller kills when the daemon stops.
    """
    return gevent.spawn(_run_forever, task, clock)


def _run_forever(task: Callable[[], None], clock: _clock.Clock) -> None:
    while True:
        try:
            task()
        except Exception:
            _log.exception("task failed and will be restarted: {}", task)
        clock.sleep(RESTART_SECONDS)
