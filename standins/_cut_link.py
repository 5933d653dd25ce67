"""A loopback link to one address that can be cut as a network path can."""

import enum
import socket
from typing import Any
from typing import final

from gevent import server as gevent_server
from gevent import socket as gevent_socket

from standins import _http
from standins import _relay
from topazlug.callers import _listener_filter

# Linux's value; Python's socket module does not define it.
_SO_DETACH_FILTER = 27


class Cut(enum.Enum):
    """How a link is cut.

    Attributes
    ----------
    HANG
        Open connections go silent, and new ones are never established.
    RESET
        Open connections are closed, and new ones are refused.
    REFUSE
        Open connections live on, and new ones are refused.
    """

    HANG = "hang"
    RESET = "reset"
    REFUSE = "refuse"


@final
class CutLink:
    """A relay in front of one address, whose listener can be cut too.

    A relay alone accepts connections even if it forwards nothing, so that
    its clients would never see a connection that is not established.

    Parameters
    ----------
    port : int
        Port of the address on loopback.

    Attributes
    ----------
    port : int
        Port to connect to.
    """

    def __init__(self, port: int) -> None:
        self._relay = _relay.Relay(host=_http.HOST, port=port)
        self._reserved: Any = None
        self._listener = self._listen(_bind(0))
        self.port = int(self._listener.server_port)

    def _listen(self, sock: Any) -> Any:
        sock.listen(_http.BACKLOG)
        listener = gevent_server.StreamServer(sock, self._relay.handle)
        listener.start()
        return listener

    @property
    def connections(self) -> int:
        """Return the number of connections that were forwarded so far."""
        return self._relay.counters.connections

    def cut(self, how: Cut) -> None:
        """Cut the link until `heal`."""
        if how is Cut.HANG:
            _listener_filter.drop_new_connections(self._listener.socket)
            self._relay.set_faults(_relay.Faults(blackhole=True))
            return
        self._listener.stop(timeout=0)
        # A bound socket that does not listen refuses connections, and keeps
        # other programs from taking the port meanwhile.
        self._reserved = _bind(self.port)
        if how is Cut.RESET:
            self._relay.set_faults(_relay.Faults(cut=True))

    def heal(self) -> None:
        """Restore the link; what was held back is delivered."""
        if self._reserved is not None:
            self._listener = self._listen(self._reserved)
            self._reserved = None
        else:
            self._listener.socket.setsockopt(
                socket.SOL_SOCKET, _SO_DETACH_FILTER, 0
            )
        self._relay.set_faults(_relay.Faults())

    def stop(self) -> None:
        """Close the listener and all connections."""
        self._listener.stop(timeout=0)
        if self._reserved is not None:
            self._reserved.close()
        self._relay.set_faults(_relay.Faults(cut=True))


def _bind(port: int) -> Any:
    sock = gevent_socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((_http.HOST, port))
    return sock
