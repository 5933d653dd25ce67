"""Notices that a caller has left while its answer is still on its way.

A caller that hangs up is otherwise noticed only at the next write. An engine
that is still reading a long prompt writes nothing for seconds, and keeps a
slot for nobody.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import socket as _plain_socket
import ssl
from typing import Any
from typing import final

import gevent

from topazlug import _errors


class CallerLeft(_errors.TopazlugError):
    """The caller hung up before its answer began; nobody hears of it."""


@contextlib.contextmanager
def cancel_on_disconnect(connection: Any) -> Iterator[None]:
    """Stop what this greenlet does when the caller hangs up.

    Parameters
    ----------
    connection : socket or None
        The caller's connection.

    Raises
    ------
    CallerLeft
        The caller hung up.
    """
    greenlet = gevent.getcurrent()
    error = CallerLeft("the caller hung up before its answer began")
    watch = CallerWatch(
        connection, on_disconnect=lambda: greenlet.throw(error)
    )
    try:
        yield
    finally:
        watch.stop()


@final
class CallerWatch:
    """Calls back once when the caller's connection ends.

    It needs no greenlet of its own: a watcher of the event loop looks at
    the socket when it becomes readable. Over TLS nothing can be looked at
    without taking it, so there a hang-up is noticed at the next write.

    Parameters
    ----------
    connection : socket or None
        The caller's connection.
    on_disconnect : callable
        Called in the hub, which it must not block.
    """

    def __init__(
        self, connection: Any, *, on_disconnect: Callable[[], None]
    ) -> None:
        self._connection = connection
        self._on_disconnect = on_disconnect
        self._watcher = None
        if connection is None or isinstance(connection, ssl.SSLSocket):
            return
        loop = gevent.get_hub().loop
        self._watcher = loop.io(connection.fileno(), 1)
        self._watcher.start(self._check)

    def _check(self) -> None:
        flags = _plain_socket.MSG_PEEK | _plain_socket.MSG_DONTWAIT
        try:
            data = self._connection._sock.recv(1, flags)
        except BlockingIOError:
            return
        except (OSError, AttributeError):
            data = b""
        # Bytes are the caller's next request, sent early; they stay where
        # they are, and from now on the socket is always readable.
        self.stop()
        if not data:
            self._on_disconnect()

    def stop(self) -> None:
        """Stop watching; must come before the socket is used or closed."""
        if self._watcher is None:
            return
        self._watcher.stop()
        self._watcher.close()
        self._watcher = None
