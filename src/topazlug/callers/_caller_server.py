"""The callers' listener."""

import itertools
import math
import time
from typing import Any

import gevent
from gevent import pool as _pool
from gevent import pywsgi

from topazlug import _clock
from topazlug import _logs
from topazlug._generated import settings as _settings_types
from topazlug.callers import _caller_connection
from topazlug.callers import _caller_head
from topazlug.callers import _kernel_queues
from topazlug.callers import _listener_filter
from topazlug.callers import _listener_load
from topazlug.callers import _memory_budget
from topazlug.callers import _stalled_connections
from topazlug.callers import _turns

_log = _logs.logger("callers")
# Longer than a handshake takes, also with a caller in another zone.
_HANDSHAKE_SECONDS = 0.1
# Callers send a request as soon as they have connected, unless they are
# paused. Connections without one after this time are held in reserve.
_FIRST_REQUEST_SECONDS = 5.0
# Idle connections are closed for new ones while this part of all connections
# is still free: closing them takes a moment.
_SPARE_PART = 0.1
# Idle connections that are looked at to close one of them. Most of those that
# have just begun to wait may have a request already.
_MAX_TRIED = 32
# What the kernel holds for connections is measured while it may be more than
# this part of the budget.
_MEASURED_PART = 0.125
_MAINTENANCE_SECONDS = 0.5


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
    max_head_bytes : int
        Maximum bytes of the fields of a request.
    budget : MemoryBudget
        What callers may make the daemon hold.
    stalled : StalledConnections
        Connections that wait for their callers.
    turns : Turns
        Gives long work on callers' bytes its turns.
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
    wrap_socket: Any
    # Connections that are accepted before others are served.
    max_accept = 16

    def __init__(
        self,
        *,
        address: _settings_types.AddressSettings,
        app: Any,
        max_connections: int,
        tls: _settings_types.TlsSettings | None = None,
        budget: _memory_budget.MemoryBudget | None = None,
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
        if tls is not None:
            # The library sets this attribute, and calls it without a time
            # limit.
            self._wrap_in_tls = self.wrap_socket
            self.wrap_socket = self._perform_handshake
        self.stopping = False
        self.closes_idle = False
        self.head_seconds = _caller_connection.HEAD_SECONDS
        self.idle_seconds = _caller_connection.IDLE_SECONDS
        self.idle_handlers: dict[_caller_connection.CallersHandler, None] = {}
        self.max_head_bytes = _caller_head.MAX_HEAD_BYTES
        self.budget = budget or _memory_budget.MemoryBudget(
            memory_bytes=0.0, clock=_clock.SystemClock()
        )
        self.stalled = _stalled_connections.StalledConnections()
        self.turns = _turns.Turns()
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
        self._handlers: set[_caller_connection.CallersHandler] = set()
        self._maintenance: gevent.Greenlet | None = None

    def set_limits(
        self,
        *,
        max_head_bytes: int,
        max_body_bytes: int,
        head_seconds: float,
        idle_seconds: float,
    ) -> None:
        """Set the limits on requests that are read from now on."""
        self.max_head_bytes = max_head_bytes
        self.head_seconds = head_seconds
        self.idle_seconds = idle_seconds
        self.budget.raise_limit(max_body_bytes)

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
        self._maintenance = gevent.spawn(self._maintain_forever)
        if self.measures_load:
            self._measuring = gevent.spawn(self.load.measure_forever)

    def init_socket(self) -> None:
        """Open the listener, with bounded queues for its connections."""
        super().init_socket()
        try:
            _kernel_queues.limit(self.socket)
        except OSError as error:
            _log.info("queues can't be limited: {why}", why=str(error))

    def _perform_handshake(self, sock: Any, **options: Any) -> Any:
        """Perform the TLS handshake of a connection within the time limit."""
        error = TimeoutError("the TLS handshake took too long")
        with gevent.Timeout(self.head_seconds, error):
            return self._wrap_in_tls(sock, **options)

    def wrap_socket_and_handle(self, client_socket: Any, address: Any) -> Any:
        """Serve one TLS connection."""
        try:
            return super().wrap_socket_and_handle(client_socket, address)
        except OSError as error:
            _log.info("TLS connection ended: {why}", why=str(error))
        return None

    def close(self) -> None:
        """Stop accepting connections and close the listener."""
        for greenlet in (self._measuring, self._maintenance):
            if greenlet is not None:
                greenlet.kill(block=False)
        super().close()

    def _maintain_forever(self) -> None:
        while True:
            gevent.sleep(_MAINTENANCE_SECONDS)
            self.measure_queues()
            self._give_up_stalled()

    def _give_up_stalled(self) -> None:
        """Close stalled connections until the spare ones are free."""
        free = self._max_connections - self.connections
        for _ in range(self._spare - free):
            if not self.stalled.give_up_longest():
                return

    def measure_queues(self) -> None:
        """Count what the kernel holds, if that may be much.

        An idle connection holds nothing, as its request would be read.
        """
        active = self._handlers - self.idle_handlers.keys()
        most = len(active) * _kernel_queues.MAX_QUEUED_BYTES
        if most > _MEASURED_PART * self.budget.limit:
            for handler in active:
                handler.measure_queued()

    def do_handle(self, *args: Any) -> None:
        """Serve a new connection, or close it if it can't be served soon.

        Callers whose connection is closed unread try another daemon at once,
        also with requests that may run only once.
        """
        self.load.record_arrival()
        free = self._max_connections - self.connections
        if free <= self._spare and not self._evict_longest_idle():
            self.stalled.give_up_longest()
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

    def _evict_longest_idle(self) -> bool:
        """Close a connection without a request; return whether there was."""
        for handler in itertools.islice(self.idle_handlers, _MAX_TRIED):
            if not handler.has_ended_reading and handler.end_reading():
                self.evicted += 1
                return True
        return False

    def handler_accepted(
        self, handler: _caller_connection.CallersHandler
    ) -> None:
        """Record that a handler awaits the first request of a connection."""
        self._handlers.add(handler)
        self._accepted_at[handler] = time.monotonic()

    def handler_closed(
        self, handler: _caller_connection.CallersHandler
    ) -> None:
        """Record that a handler's connection is closed."""
        self._handlers.discard(handler)
        self.request_received(handler)

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


class InternalServer(CallersServer):
    """A listener for the platform and operators."""

    measures_load = False
