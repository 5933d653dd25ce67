"""Temporary holds on requests that are likely to crash replicas."""

from collections.abc import Mapping
import math
from typing import final

from topazlug import _clock
from topazlug import _ids

# Time between the third crash that counts against a request and the decision.
# Several daemons report what ran on the replica, and a part of their records
# may point to the wrong request. Daemons that have answered the request also
# report that in this time. In a soak test a read that was sent continuously
# was blocked 0.04 s after the record of the third crash; the record that
# pointed to another request arrived 0.15 s later.
_SETTLE_SECONDS = 1.0
# A likely cause is held back this long, as each further run may crash another
# replica: callers that retry at once send ten in this time.
HOLD_SECONDS = 1.5


@final
class LikelyCauses:
    """Requests that are held back until the cause of the crashes is decided.

    A request that turns out not to be the cause is held again only when one
    more crash counts against it.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, *, clock: _clock.Clock) -> None:
        self._clock = clock
        self._count_by_fingerprint: Mapping[_ids.Fingerprint, int] = {}
        # Monotonic seconds.
        self._likely_since: dict[_ids.Fingerprint, float] = {}
        self._held_until: dict[_ids.Fingerprint, float] = {}

    def update(
        self, count_by_fingerprint: Mapping[_ids.Fingerprint, int]
    ) -> None:
        """Set how many crashes count against each likely cause."""
        now = self._clock.monotonic()
        likely_since, held_until = self._likely_since, self._held_until
        before = self._count_by_fingerprint
        self._likely_since = {
            fingerprint: likely_since.get(fingerprint, now)
            for fingerprint in count_by_fingerprint
        }
        self._held_until = {
            fingerprint: (
                now + HOLD_SECONDS
                if count > before.get(fingerprint, 0)
                else held_until[fingerprint]
            )
            for fingerprint, count in count_by_fingerprint.items()
        }
        self._count_by_fingerprint = dict(count_by_fingerprint)

    def is_held(self, fingerprint: _ids.Fingerprint) -> bool:
        """Return whether a request is held back now."""
        until = self._held_until.get(fingerprint, -math.inf)
        return self._clock.monotonic() < until

    def is_settled(self, fingerprint: _ids.Fingerprint) -> bool:
        """Return whether a request has been a likely cause for long enough."""
        likely_since = self._likely_since.get(fingerprint, math.inf)
        return self._clock.monotonic() >= likely_since + _SETTLE_SECONDS

    def settle_times(self) -> list[float]:
        """Return the monotonic times at which requests will be settled."""
        now = self._clock.monotonic()
        times = [at + _SETTLE_SECONDS for at in self._likely_since.values()]
        return [at for at in times if at > now]
