"""The callers' listener."""

import math
import time
from typing import Any

import gevent
from gevent import pool as _pool
from gevent import pywsgi

from topazlug import _logs
from topazlug._generated import settings as _settings_types
from topazlug.callers import _caller_connection
from topazlug.callers import _listener_filter
from topazlug.callers import _listener_load

_log = _logs.logger("callers")
# Longer than a handshake takes, also with a caller in another zone.
_HANDSHAKE_SECONDS = 0.1
# Callers send a request as soon as they have connected, unless they are
# paused. Connections without one after this time are held in reserve.
_FIRST_REQUEST_SECONDS = 5.0
# Idle connections are closed for new ones while this part of all connections
# is still free: closing them takes a moment.
_SPARE_PART = 0.1


class CallersServer(pywsgi.WSGIServer):
    """The callers' listener.

    Attributes
    ----------
    stopping : bool
        Whether each answer that begins closes its connection.
    closes_idle : bool
        Whether a connection is closed once it waits for its next request.
    head_seconds, idle_seconds : float
        Maximum time for the head of a request, and between two requests.
    idle_handlers : dict of CallersHandler
        Handlers of the connections that wait for a request, in the order in
        which they began to wait.
    load : ListenerLoad
        Whether the daemon is too late to serve more callers.
    refused : int
        Number of connections that were closed unread.
    evicted : int
        Number of idle connections that were closed for new ones.
    """

    handler_class = _caller_connection.CallersHandler
    # Whether it measures its load itself, and closes new connections if late.
    measures_load = True

    def __init__(
        self,
        *,
        address: _settings_types.AddressSettings,
        app: Any,
        max_connections: int,
        tls: _settings_types.TlsSettings | None = None,
    ) -> None:
        options: dict[str, Any] = {}
        if tls is not None:
            options = {"certfile": tls.certificate, "keyfile": tls.key}
        super().__init__(
            (address.host, address.port),
            app,
            log=None,
            error_log=None,
            spawn=_pool.Pool(max_connections),
            backlog=1024,
            # Without this the library does a DNS look-up for the name.
            environ={"SERVER_NAME": address.host},
            **options,
        )
        self.stopping = False
        self.closes_idle = False
        self.head_seconds = _caller_connection.HEAD_SECONDS
        self.idle_seconds = _caller_connection.IDLE_SECONDS
        self.idle_handlers: dict[_caller_connection.CallersHandler, None] = {}
        self.load = _listener_load.ListenerLoad()
        self.refused = 0
        self._is_full = False
        self.evicted = 0
        self._max_connections = max_connections
        self._spare = math.ceil(_SPARE_PART * max_connections)
        self._measuring: gevent.Greenlet | None = None
        # The library stops accepting when the pool is full, so that callers
        # would wait unread instead of trying another daemon.
        self.full = self._never_full
        self._accepted_at: dict[_caller_connection.CallersHandler, float] = {}

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return len(self.pool) if self.pool is not None else 0

    @staticmethod
    def _never_full() -> bool:
        return False

    def start(self) -> None:
        """Start accepting connections."""
        super().start()
        if self.measures_load:
            self._measuring = gevent.spawn(self.load.measure_forever)

    def close(self) -> None:
        """Stop accepting connections and close the listener."""
        if self._measuring is not None:
            self._measuring.kill(block=False)
        super().close()

    def do_handle(self, *args: Any) -> None:
        """Serve a new connection, or close it if it can't be served soon.

        Callers whose connection is closed unread try another daemon at once,
        also with requests that may run only once.
        """
        self.load.record_arrival()
        free = self._max_connections - self.connections
        if free <= self._spare:
            self._evict_longest_idle()
        # The last callers of a daemon that stops are served.
        is_late = self.load.is_late and not self.stopping
        if free <= 0 or is_late:
            self._refuse(args[0], has_room=free > 0)
            return
        self._is_full = False
        super().do_handle(*args)

    def _refuse(self, connection: Any, *, has_room: bool) -> None:
        self.refused += 1
        if not has_room and not self._is_full:
            self._is_full = True
            _log.warning(
                "closing new connections: all {n} are in use",
                n=self._max_connections,
            )
        connection.close()

    def _evict_longest_idle(self) -> None:
        for handler in self.idle_handlers:
            if not handler.has_ended_reading and handler.end_reading():
                self.evicted += 1
                return

    def handler_accepted(
        self, handler: _caller_connection.CallersHandler
    ) -> None:
        """Record that a handler awaits the first request of a connection."""
        self._accepted_at[handler] = time.monotonic()

    def request_received(
        self, handler: _caller_connection.CallersHandler
    ) -> None:
        """Record that a handler does not await its first request any more."""
        self._accepted_at.pop(handler, None)

    @property
    def awaiting_first_request(self) -> int:
        """Return the number of new connections without a request so far."""
        oldest = time.monotonic() - _FIRST_REQUEST_SECONDS
        return sum(at > oldest for at in self._accepted_at.values())

    def close_listener(self) -> None:
        """Close the listener without resetting pending connections.

        When the listener closes, the kernel resets the connections in its
        queue. Callers may have sent requests on them, and would get no
        answer. New connections are therefore dropped first. Otherwise one
        could complete between the last accept and the close.
        """
        self.stop_accepting()
        if _listener_filter.drop_new_connections(self.socket):
            self._accept_pending()
            gevent.sleep(_HANDSHAKE_SECONDS)
        self._accept_pending()
        self.close()

    def _accept_pending(self) -> None:
        while accepted := self.do_read():
            self.do_handle(*accepted)

    def close_idle(self) -> None:
        """Close the connections that wait for a request, now and later.

        Only their receiving side is shut down, so a request that has just
        arrived is still read and answered.
        """
        self.closes_idle = True
        for handler in list(self.idle_handlers):
            handler.end_reading()
