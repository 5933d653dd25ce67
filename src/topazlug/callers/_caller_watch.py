"""Detects that a caller has disconnected before its answer has ended.

Without this a disconnect is detected only at the next write. While an engine
processes a long prompt, nothing is written for seconds, and its slot would
stay in use for a request whose caller is gone.
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
    """The caller disconnected before its answer began.

    Nobody receives this error.
    """


@contextlib.contextmanager
def cancel_on_disconnect(connection: Any) -> Iterator[None]:
    """Cancel the current greenlet's work if the caller disconnects.

    Parameters
    ----------
    connection : socket or None
        The caller's connection.

    Raises
    ------
    CallerLeft
        The caller disconnected.
    """
    greenlet = gevent.getcurrent()
    error = CallerLeft("the caller disconnected before its answer began")
    watch = CallerWatch(
        connection, on_disconnect=lambda: greenlet.throw(error)
    )
    try:
        yield
    finally:
        watch.stop()


@final
class CallerWatch:
    """Calls back once when the caller disconnects.

    It uses a watcher of the event loop, which peeks at the socket when it
    becomes readable, instead of a greenlet. A TLS connection can't be peeked
    at without consuming data, so a disconnect is detected there only at the
    next write.

    Parameters
    ----------
    connection : socket or None
        The caller's connection.
    on_disconnect : callable
        Called in the gevent hub, so it must not block.
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
        # Data is the caller's next request, sent early. It stays in the
        # socket, which is therefore readable from now on, so the watch ends.
        self.stop()
        if not data:
            self._on_disconnect()

    def stop(self) -> None:
        """Stop watching; required before the socket is read or closed."""
        if self._watcher is None:
            return
        self._watcher.stop()
        self._watcher.close()
        self._watcher = None
