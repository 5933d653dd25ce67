"""Requests that a daemon has read and not answered completely."""

from collections.abc import Iterator
from typing import final

import msgspec

from topazlug import _clock
from topazlug import _ids


@final
class OpenRequest(msgspec.Struct, eq=False, kw_only=True):
    """One request whose answer has not ended.

    Attributes
    ----------
    received_at : float
        Monotonic seconds at which its head had been read.
    is_delegated : bool
        Whether another daemon sent it.
    attempt : RequestId
        Id of the attempt, empty until the head is decoded.
    """

    received_at: float
    is_delegated: bool = False
    attempt: _ids.RequestId = _ids.RequestId("")


@final
class OpenRequests:
    """All requests whose answer has not ended.

    Parameters
    ----------
    clock : Clock
        Clock of the daemon.

    Attributes
    ----------
    delegated_count : int
        Number of those that other daemons have sent.
    """

    def __init__(self, *, clock: _clock.Clock) -> None:
        self._clock = clock
        # Keys only, in the order in which the requests were received.
        self._requests: dict[OpenRequest, None] = {}
        self.delegated_count = 0

    def __len__(self) -> int:
        return len(self._requests)

    def __iter__(self) -> Iterator[OpenRequest]:
        return iter(list(self._requests))

    def begin(self, *, is_delegated: bool) -> OpenRequest:
        """Add a request."""
        request = OpenRequest(
            received_at=self._clock.monotonic(), is_delegated=is_delegated
        )
        self._requests[request] = None
        self.delegated_count += is_delegated
        return request

    def end(self, request: OpenRequest) -> None:
        """Remove a request whose answer has ended, complete or not."""
        del self._requests[request]
        self.delegated_count -= request.is_delegated
