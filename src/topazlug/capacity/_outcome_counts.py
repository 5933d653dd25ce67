"""Outcomes of the requests on one replica, and its ejection.

Load pattern: a few replicas fail some or all of their requests while their
health check passes. Each of 72 daemons sends such a replica a request every
6 to 12 s, so none of them sees three failures while a replica fails 25 to 55
requests in 5 s. The owner of the replica counts the outcomes of all daemons.
"""

import collections
import enum
from typing import NamedTuple
from typing import final

import msgspec

from topazlug import _ids
from topazlug.capacity import _slot_key

# Outcomes of this period count. Requests that may not be repeated fail on the
# replica while it is not ejected, so older outcomes must not delay that.
WINDOW_SECONDS = 2.0
# Longest age for which totals of an earlier moment are available.
MAX_AGE_SECONDS = 1.0
_BIN_SECONDS = 0.1
# An ejection is short, as it is tried only afterwards whether the replica
# serves requests again. It is doubled for replicas that fail repeatedly.
_EJECTION_SECONDS = 1.0
_MAX_EJECTION_SECONDS = 4.0
# A replica that was not ejected for this long starts with the shortest
# ejection again. One that goes down and comes up every few seconds does not.
_CALM_SECONDS = 6.0
# One request can succeed by chance on a replica that fails half of them.
_PROBATION_SUCCESSES = 2
# Daemons that sent outcomes within this time are notified of an ejection. Each
# of 72 daemons sends a given replica a request every 6 to 12 s.
_SENDER_SECONDS = 30.0
_UNKNOWN_CHAT = _ids.ChatHash(0)


class EjectionState(enum.Enum):
    """Whether a replica gets requests.

    Attributes
    ----------
    ADMITTING
        It gets requests as usual.
    EJECTED
        It gets none.
    PROBATION
        It gets one at a time.
    """

    ADMITTING = "admitting"
    EJECTED = "ejected"
    PROBATION = "probation"


class OutcomeTotals(NamedTuple):
    """Numbers of requests that failed, and that ended in any way."""

    failed: int = 0
    ended: int = 0

    @property
    def fraction(self) -> float:
        """Fraction of the ended requests that failed, 0 if none ended."""
        return self.failed / self.ended if self.ended else 0.0


class _Bin(msgspec.Struct):
    start: float
    failed: int = 0
    ended: int = 0
    exact_failed: int = 0
    exact_ended: int = 0
    senders: set[_ids.DaemonId] = msgspec.field(default_factory=set)
    failed_senders: set[_ids.DaemonId] = msgspec.field(default_factory=set)
    failed_chats: set[_ids.ChatHash] = msgspec.field(default_factory=set)


@final
class OutcomeCounts:
    """Recent outcomes of all daemons on one replica, and its ejection.

    Attributes
    ----------
    reported_failed : int
        Failures in the last report to the collector.
    probe : SlotKey or None
        Request that was last admitted on probation and has not ended.
    probe_allowed_at : float
        Monotonic time at which a request on probation was last allowed.
    """

    def __init__(self) -> None:
        self._bins: collections.deque[_Bin] = collections.deque()
        self._is_limited = False
        self._until = 0.0
        self._seconds = _EJECTION_SECONDS
        self._admitting_since = 0.0
        self._successes = 0
        self._probe_failures = 0
        self._counted_keys: set[_slot_key.SlotKey] = set()
        self._sent_at: dict[_ids.DaemonId, float] = {}
        self.reported_failed = 0
        self._probes: set[_slot_key.SlotKey] = set()
        self.probe: _slot_key.SlotKey | None = None
        self.probe_allowed_at = 0.0

    def record(
        self,
        sender: _ids.DaemonId,
        *,
        failed: int,
        ended: int,
        now: float,
        is_exact: bool = True,
        chat: _ids.ChatHash = _UNKNOWN_CHAT,
    ) -> None:
        """Count requests of one daemon that have ended or failed.

        Parameters
        ----------
        sender : DaemonId
            The daemon.
        failed, ended : int
            Numbers of requests.
        now : float
            Monotonic seconds.
        is_exact : bool
            Whether they have ended just now. Other outcomes arrive late,
            successes by up to a second, so they are missing in short windows.
        chat : ChatHash
            Chat of the request, 0 if unknown.
        """
        if not self._bins or now - self._bins[-1].start >= _BIN_SECONDS:
            self._bins.append(_Bin(start=now))
        newest = self._bins[-1]
        newest.failed += failed
        newest.ended += max(failed, ended)
        if is_exact:
            newest.exact_failed += failed
            newest.exact_ended += max(failed, ended)
        newest.senders.add(sender)
        if failed:
            newest.failed_senders.add(sender)
            if chat != _UNKNOWN_CHAT:
                newest.failed_chats.add(chat)
        oldest = now - WINDOW_SECONDS - MAX_AGE_SECONDS
        while self._bins[0].start < oldest:
            self._bins.popleft()

    def exact_totals(self, *, now: float, seconds: float) -> OutcomeTotals:
        """Return the totals of a short window, of exact outcomes only."""
        recent = self._recent(now, seconds)
        return OutcomeTotals(
            sum(part.exact_failed for part in recent),
            sum(part.exact_ended for part in recent),
        )

    def totals(self, *, now: float, age: float = 0.0) -> OutcomeTotals:
        """Return the totals of the window that ended some seconds ago."""
        recent = self._recent(now - age, WINDOW_SECONDS)
        return OutcomeTotals(
            sum(part.failed for part in recent),
            sum(part.ended for part in recent),
        )

    def _recent(self, end: float, seconds: float) -> list[_Bin]:
        return [
            part for part in self._bins if end - seconds <= part.start <= end
        ]

    def is_seen_by_several(self, *, now: float) -> bool:
        """Return whether the failures are not those of one daemon alone.

        The link of one daemon may be at fault. If no other daemon sends the
        replica requests, nothing shows which of the two it is.
        """
        recent = self._recent(now, WINDOW_SECONDS)
        senders = set().union(*(part.senders for part in recent))
        failed = set().union(*(part.failed_senders for part in recent))
        return len(failed) > 1 or len(senders) <= 1

    def is_of_one_chat(self, *, now: float) -> bool:
        """Return whether all failures of known chats are of a single one.

        One request that fails everywhere is repeated on other replicas, and
        through other daemons.
        """
        recent = self._recent(now, WINDOW_SECONDS)
        return len(set().union(*(part.failed_chats for part in recent))) == 1

    def count_once(self, key: _slot_key.SlotKey) -> bool:
        """Return whether the failure of a held request is the first."""
        if key in self._counted_keys:
            return False
        self._counted_keys.add(key)
        return True

    def end(self, key: _slot_key.SlotKey) -> bool:
        """Forget a request; return whether its failure was counted."""
        was_counted = key in self._counted_keys
        self._counted_keys.discard(key)
        return was_counted

    def forget(self, key: _slot_key.SlotKey) -> None:
        """Forget a request that is no longer held."""
        self._counted_keys.discard(key)
        self._probes.discard(key)
        if self.probe == key:
            self.probe = None

    def is_probe(self, key: _slot_key.SlotKey) -> bool:
        """Return whether a held request was admitted on probation."""
        return key in self._probes

    def record_sender(self, sender: _ids.DaemonId, *, now: float) -> None:
        """Record that a daemon sent outcomes of its own placements."""
        self._sent_at[sender] = now

    def recent_senders(self, *, now: float) -> list[_ids.DaemonId]:
        """Return the daemons that sent outcomes in the last seconds."""
        self._sent_at = {
            daemon: at
            for daemon, at in self._sent_at.items()
            if now - at <= _SENDER_SECONDS
        }
        return list(self._sent_at)

    def state(self, *, now: float) -> EjectionState:
        """Return whether the replica gets requests."""
        if not self._is_limited:
            return EjectionState.ADMITTING
        if now < self._until:
            return EjectionState.EJECTED
        return EjectionState.PROBATION

    @property
    def is_limited(self) -> bool:
        """Return whether it is ejected or on probation."""
        return self._is_limited

    def remaining(self, *, now: float) -> float:
        """Return the remaining seconds of the ejection."""
        return max(0.0, self._until - now) if self._is_limited else 0.0

    def eject(self, *, now: float) -> float:
        """Eject the replica and return for how many seconds.

        Outcomes are cleared, so that failures before the ejection do not
        count against the replica afterwards.
        """
        if not self._is_limited:
            calm = now - self._admitting_since >= _CALM_SECONDS
            self._seconds = _EJECTION_SECONDS if calm else self._seconds
        seconds = self._seconds
        self._seconds = min(_MAX_EJECTION_SECONDS, 2 * seconds)
        self._is_limited = True
        self._until = now + seconds
        self._successes = 0
        self._probe_failures = 0
        self._clear()
        return seconds

    def _clear(self) -> None:
        self._bins.clear()
        self._probes.clear()
        self.probe = None
        self.reported_failed = 0

    def record_admitted(self, key: _slot_key.SlotKey) -> None:
        """Record an admitted request; on probation it is the next probe."""
        self._counted_keys.discard(key)
        if self._is_limited:
            self._probes.add(key)
            self.probe = key

    def end_probe(self, key: _slot_key.SlotKey | None) -> None:
        """Stop judging a request, or the last one if no key is given."""
        ended = self.probe if key is None else key
        if ended is not None:
            self._probes.discard(ended)
        if ended == self.probe:
            self.probe = None

    def record_probe_failure(self) -> int:
        """Count a failure on probation and return how many there were."""
        self._probe_failures += 1
        return self._probe_failures

    def record_probe_success(self, *, now: float) -> bool:
        """Count a success on probation; return whether it was the last."""
        self._successes += 1
        if self._successes < _PROBATION_SUCCESSES:
            return False
        self.admit(now=now)
        return True

    def admit(self, *, now: float) -> None:
        """Send the replica requests as usual again."""
        self._is_limited = False
        self._admitting_since = now
        self._clear()
