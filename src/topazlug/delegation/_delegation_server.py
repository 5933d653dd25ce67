"""The listener for requests that other daemons delegate to this one.

Each connection begins with the handshake of daemons. After it, it carries
plain HTTP like a caller's connection.
"""

from collections.abc import Callable
from typing import Any
from typing import final

from topazlug import _errors
from topazlug import _ids
from topazlug import _logs
from topazlug._generated import settings as _settings_types
from topazlug.callers import _caller_connection
from topazlug.callers import _caller_server
from topazlug.callers import _memory_budget

_log = _logs.logger("delegation")
# Key of the WSGI environment with the daemon that sent a request.
SENDER = "topazlug.delegation_sender"
_IDLE_SECONDS = 15.0

Authenticate = Callable[[Any], tuple[Any, _ids.DaemonId]]


class DelegationHandler(_caller_connection.CallersHandler):
    """Handler of one connection of another daemon."""

    sender: _ids.DaemonId = _ids.DaemonId("")

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment with the sender."""
        environ = super().get_environ()
        environ[SENDER] = self.sender
        return environ


@final
class DelegationServer(_caller_server.CallersServer):
    """The listener for delegated requests.

    Parameters
    ----------
    address : AddressSettings
        Where to listen.
    app : callable
        The WSGI application.
    max_connections : int
        Maximum number of connections served at once.
    authenticate : callable
        Performs the handshake on a new connection; returns the connection to
        use and the daemon at its other end. Raises TopazlugError or OSError.
    budget : MemoryBudget or None
        What callers may make the daemon hold; None for one of its own.
    """

    measures_load = False

    def __init__(
        self,
        *,
        address: _settings_types.AddressSettings,
        app: Any,
        max_connections: int,
        authenticate: Authenticate,
        budget: _memory_budget.MemoryBudget | None = None,
    ) -> None:
        super().__init__(
            address=address,
            app=app,
            max_connections=max_connections,
            budget=budget,
        )
        self._authenticate = authenticate
        self.idle_seconds = _IDLE_SECONDS

    def leave(self) -> None:
        """Accept no more connections, and close those that have been used.

        A daemon that has just connected is about to send a request. If its
        connection were closed, it would not know whether the request ran.
        """
        self.stopping = True
        self.close_listener()
        self.closes_idle = True
        for handler in list(self.idle_handlers):
            if handler.request_count:
                handler.end_reading()

    def handle(self, client_socket: Any, address: Any) -> None:
        """Serve one connection after its handshake."""
        try:
            connection, sender = self._authenticate(client_socket)
        except (_errors.TopazlugError, OSError) as error:
            _log.warning(
                "connection from {address} failed: {why}",
                address=str(address),
                why=str(error),
            )
            client_socket.close()
            return
        handler = DelegationHandler(connection, address, self)
        handler.sender = sender
        handler.handle()
