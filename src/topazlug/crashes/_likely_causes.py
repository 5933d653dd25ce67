"""Temporary holds on requests that are likely to crash replicas."""

from collections.abc import Mapping
import math
from typing import NamedTuple
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
# Bounds the requests that other daemons hold back at one time.
_MAX_PEER_HOLDS = 256


class _PeerHold(NamedTuple):
    """A hold that another daemon has announced.

    Attributes
    ----------
    until : float
        Monotonic seconds.
    crashes : int
        Crashes that count against the request at that daemon.
    """

    until: float
    crashes: int


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
        # When the last crash was added to the count.
        self._counted_at: dict[_ids.Fingerprint, float] = {}
        self._held_until: dict[_ids.Fingerprint, float] = {}
        self._peer_hold_by_fingerprint: dict[_ids.Fingerprint, _PeerHold] = {}

    def update(
        self, count_by_fingerprint: Mapping[_ids.Fingerprint, int]
    ) -> list[_ids.Fingerprint]:
        """Set how many crashes count against each likely cause.

        Returns
        -------
        list of Fingerprint
            Requests whose hold begins now, or is extended.
        """
        now = self._clock.monotonic()
        likely_since, held_until = self._likely_since, self._held_until
        before = self._count_by_fingerprint
        self._likely_since = {
            fingerprint: likely_since.get(fingerprint, now)
            for fingerprint in count_by_fingerprint
        }
        self._counted_at = {
            fingerprint: (
                now
                if count > before.get(fingerprint, 0)
                else self._counted_at[fingerprint]
            )
            for fingerprint, count in count_by_fingerprint.items()
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
        return [
            fingerprint
            for fingerprint, count in count_by_fingerprint.items()
            if count > before.get(fingerprint, 0)
        ]

    def add_peer_hold(
        self, fingerprint: _ids.Fingerprint, *, crashes: int
    ) -> None:
        """Hold back a request that is a likely cause at another daemon."""
        now = self._clock.monotonic()
        held = {
            other: hold
            for other, hold in self._peer_hold_by_fingerprint.items()
            if now < hold.until
        }
        before = held.get(fingerprint)
        if before is not None and before.crashes >= crashes:
            return
        if before is None and len(held) >= _MAX_PEER_HOLDS:
            return
        held[fingerprint] = _PeerHold(now + HOLD_SECONDS, crashes)
        self._peer_hold_by_fingerprint = held

    def peer_crash_count(self, fingerprint: _ids.Fingerprint) -> int:
        """Return the crashes for which peers hold a request, 0 if none."""
        hold = self._peer_hold_by_fingerprint.get(fingerprint)
        if hold is None or self._clock.monotonic() >= hold.until:
            return 0
        return hold.crashes

    def is_held(self, fingerprint: _ids.Fingerprint) -> bool:
        """Return whether a request is held back now."""
        until = self._held_until.get(fingerprint, -math.inf)
        return self._clock.monotonic() < until

    @property
    def has_holds(self) -> bool:
        """Return whether peers may hold anything back."""
        return bool(self._peer_hold_by_fingerprint)

    def is_settled(self, fingerprint: _ids.Fingerprint) -> bool:
        """Return whether something has been a likely cause for long enough."""
        likely_since = self._likely_since.get(fingerprint, math.inf)
        return self._clock.monotonic() >= likely_since + _SETTLE_SECONDS

    def is_steady(
        self,
        fingerprint: _ids.Fingerprint,
        *,
        seconds: float = _SETTLE_SECONDS,
    ) -> bool:
        """Return whether no crash has been counted for long enough.

        While something is held back, the runs that remain end: either they
        crash replicas too, or they are answered.
        """
        counted_at = self._counted_at.get(fingerprint, math.inf)
        return self._clock.monotonic() >= counted_at + seconds

    def settle_times(self, *others: float) -> list[float]:
        """Return the monotonic times at which likely causes will be settled.

        Parameters
        ----------
        *others : float
            Seconds after which some of them are steady.
        """
        now = self._clock.monotonic()
        times = [at + _SETTLE_SECONDS for at in self._likely_since.values()]
        times += [
            at + seconds
            for at in self._counted_at.values()
            for seconds in (_SETTLE_SECONDS, *others)
        ]
        return [at for at in times if at > now]
