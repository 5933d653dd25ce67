"""Connections that wait for their callers, in the order in which they began.

When nearly all connections are in use, those that wait longest are closed for
new ones.
"""

from collections.abc import Iterator
import contextlib
import time
from typing import Protocol
from typing import final

# Callers send the head of a request at once, and read answers as they come.
# Those that are closed have let the daemon wait for longer.
_MIN_SECONDS = 1.0


class Connection(Protocol):
    """A connection that waits for its caller."""

    def is_moving(self) -> bool:
        """Return whether the caller has sent or read much just now."""

    def give_up(self) -> None:
        """End the connection; called in any greenlet."""


@final
class StalledConnections:
    """The connections that wait for their callers.

    Attributes
    ----------
    given_up : int
        Number of connections that were closed for new ones.
    """

    def __init__(self) -> None:
        self._began_at: dict[Connection, float] = {}
        self.given_up = 0

    def begin(self, connection: Connection) -> None:
        """Record that a connection begins to wait for its caller."""
        self._began_at.pop(connection, None)
        self._began_at[connection] = time.monotonic()

    def end(self, connection: Connection) -> None:
        """Record that a connection does not wait for its caller any more."""
        self._began_at.pop(connection, None)

    @contextlib.contextmanager
    def waiting(self, connection: Connection) -> Iterator[None]:
        """Record that a connection waits until the context is left."""
        self.begin(connection)
        try:
            yield
        finally:
            self.end(connection)

    def give_up_longest(self) -> bool:
        """Close the connection that has waited longest, if it is late.

        Returns
        -------
        bool
            Whether there was one.
        """
        late = time.monotonic() - _MIN_SECONDS
        for connection, began_at in self._began_at.items():
            if began_at > late:
                return False
            if not connection.is_moving():
                self.end(connection)
                self.given_up += 1
                connection.give_up()
                return True
        return False
