"""This daemon's share of the retries that a fleet may make.

The limit applies to the whole fleet: in any window, retries of a service stay
below a fraction of its requests plus a fixed number. Each daemon counts its
own requests; the fixed number is split evenly. The shares add up to the limit
without messages, as long as no daemon assumes fewer daemons than there are.
"""

import collections
from typing import final

from topazlug import _clock
from topazlug import _ids

# An event near the edge of a window here may fall into another window where
# the limit is checked. A tenth is left as a margin for that.
_SAFETY_FACTOR = 0.9


class _Window:
    """Times of the events within a sliding window."""

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._times: collections.deque[float] = collections.deque()

    def add(self, now: float) -> None:
        self._times.append(now)

    def count(self, now: float) -> int:
        while self._times and self._times[0] <= now - self._seconds:
            self._times.popleft()
        return len(self._times)


@final
class RetryShare:
    """Retries that this daemon may still make, by service.

    Parameters
    ----------
    ratio : float
        Retries allowed for each request.
    extra : float
        Additional retries allowed in a window, over the whole fleet.
    window : float
        Length of the window in seconds.
    daemons : int
        Daemons that the additional retries are split among.
    clock : Clock
        Time.

    Attributes
    ----------
    daemons : int
        Daemons that the additional retries are split among.
    refused : int
        Retries that were rejected.
    """

    def __init__(
        self,
        *,
        ratio: float,
        extra: float,
        window: float,
        daemons: int,
        clock: _clock.Clock,
    ) -> None:
        self._ratio = ratio
        self._extra = extra
        self._window_seconds = window
        self._clock = clock
        self.daemons = daemons
        self.refused = 0
        self._requests_by_group: dict[_ids.GroupName, _Window] = {}
        self._retries_by_group: dict[_ids.GroupName, _Window] = {}

    def set_bounds(self, *, ratio: float, extra: float, window: float) -> None:
        """Change the bounds; a window of another length starts empty."""
        if window != self._window_seconds:
            self._requests_by_group.clear()
            self._retries_by_group.clear()
        self._ratio = ratio
        self._extra = extra
        self._window_seconds = window

    def earn(self, group: _ids.GroupName) -> None:
        """Count a request of a caller."""
        window = self._window(self._requests_by_group, group)
        now = self._clock.monotonic()
        window.add(now)
        window.count(now)

    def can_retry(self, group: _ids.GroupName) -> bool:
        """Return whether a retry may be made now."""
        retries = self._window(self._retries_by_group, group)
        count = retries.count(self._clock.monotonic())
        return count + 1 <= self.allowed(group)

    def remaining(self, group: _ids.GroupName) -> int:
        """Return the number of retries that may be made now."""
        retries = self._window(self._retries_by_group, group)
        count = retries.count(self._clock.monotonic())
        return max(0, int(self.allowed(group) - count))

    def spend(self, group: _ids.GroupName) -> bool:
        """Count a retry; return whether it is allowed."""
        if not self.can_retry(group):
            self.refused += 1
            return False
        retries = self._window(self._retries_by_group, group)
        retries.add(self._clock.monotonic())
        return True

    def allowed(self, group: _ids.GroupName) -> float:
        """Return the retries allowed in the window that ends now."""
        requests = self._window(self._requests_by_group, group)
        earned = self._ratio * requests.count(self._clock.monotonic())
        return _SAFETY_FACTOR * (earned + self._extra / max(1, self.daemons))

    def _window(
        self,
        windows_by_group: dict[_ids.GroupName, _Window],
        group: _ids.GroupName,
    ) -> _Window:
        window = windows_by_group.get(group)
        if window is None:
            window = _Window(self._window_seconds)
            windows_by_group[group] = window
        return window
