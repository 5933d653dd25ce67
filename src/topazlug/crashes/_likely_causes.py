"""How long a request that may crash replicas is held back, and watched."""

from collections.abc import Mapping
import math
from typing import final

from topazlug import _clock
from topazlug import _ids

# Between the third crash that counts against a request and the decision: what
# ran there is told by several daemons, and a part of it shows the wrong one.
# Meanwhile daemons that have answered the request say so. In a soak a read
# that ran all the time was blocked 0.04 s after the note of a third crash; the
# note that showed another request came 0.15 s later.
_SETTLE_SECONDS = 1.0
# So long it is held back, as each further run of it may end one more replica:
# callers that repeat at once bring ten in this time.
HOLD_SECONDS = 1.5


@final
class LikelyCauses:
    """Requests that are held back until it is decided who is the cause.

    One that turns out not to be is held again only when one more crash
    counts against it.

    Parameters
    ----------
    clock : Clock
        Time.
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
        """Take how many crashes count against each likely cause."""
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
        """Say whether a request is held back just now."""
        until = self._held_until.get(fingerprint, -math.inf)
        return self._clock.monotonic() < until

    def is_settled(self, fingerprint: _ids.Fingerprint) -> bool:
        """Say whether a request has been a likely cause for long enough."""
        likely_since = self._likely_since.get(fingerprint, math.inf)
        return self._clock.monotonic() >= likely_since + _SETTLE_SECONDS

    def settle_times(self) -> list[float]:
        """Give the moments at which requests will be settled."""
        now = self._clock.monotonic()
        moments = [at + _SETTLE_SECONDS for at in self._likely_since.values()]
        return [at for at in moments if at > now]
