"""The facts that this daemon holds about daemons and targets.

Of two facts about one subject the one with the higher precedence wins.
Precedence is a total order, so all daemons converge on the same facts in
whatever order these arrive. It compares, in this order: the incarnation,
whether the state is leaving, the sequence, and the severity of the state.
Leaving takes precedence over any sequence because it is final for an
incarnation: a target that is leaving may still answer requests, and such an
answer must not make it live again.

The digest is an order-independent hash of the facts that two daemons need to
share. It leaves out dead subjects, which routing treats like unknown ones,
and daemons that are leaving. So daemons may remove such facts at different
times without a difference of their digests.
"""

from collections.abc import Callable
from collections.abc import Iterable
import math
from typing import Any
from typing import final

import msgspec
import xxhash

from topazlug import _clock
from topazlug._generated import messages

RETRANSMIT_FACTOR = 3
RETENTION_SECONDS = 1800.0
MAX_FACTS = 20000

_SEVERITY_BY_STATE = {
    messages.FactState.live: 0,
    messages.FactState.suspected: 1,
    messages.FactState.leaving: 2,
    messages.FactState.dead: 3,
}

Subject = tuple[messages.FactKind, str]


def precedence(fact: messages.Fact) -> tuple[Any, ...]:
    """Return a sort key that is greater for the fact that wins."""
    return (
        fact.incarnation,
        fact.state is messages.FactState.leaving,
        fact.sequence,
        _SEVERITY_BY_STATE[fact.state],
        fact.host,
        fact.port,
        fact.zone,
    )


def subject_of(fact: messages.Fact) -> Subject:
    """Return the key under which a fact is stored."""
    return (fact.kind, fact.subject)


def digest_term(fact: messages.Fact) -> int:
    """Return what a fact adds to the digest: 64 bits, 0 if left out."""
    if fact.state is messages.FactState.dead:
        return 0
    is_daemon = fact.kind is messages.FactKind.daemon
    if is_daemon and fact.state is messages.FactState.leaving:
        return 0
    return xxhash.xxh3_64_intdigest(msgspec.msgpack.encode(fact))


@final
class FactSet:
    """The fact with the highest precedence for each subject.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.

    Attributes
    ----------
    fact_by_subject : dict
        All facts held.
    digest : int
        Order-independent hash of them, 64 bits.
    """

    def __init__(self, *, clock: _clock.Clock) -> None:
        self.fact_by_subject: dict[Subject, messages.Fact] = {}
        self.digest = 0
        self._clock = clock
        self._held_since_by_subject: dict[Subject, float] = {}
        self._retransmits_by_subject: dict[Subject, int] = {}
        self._cursor = 0

    def get(
        self, kind: messages.FactKind, subject: str
    ) -> messages.Fact | None:
        """Return the fact held about a subject."""
        return self.fact_by_subject.get((kind, subject))

    def merge(self, fact: messages.Fact) -> bool:
        """Merge a fact; return whether it replaced or added one."""
        subject = subject_of(fact)
        held = self.fact_by_subject.get(subject)
        if held is not None:
            if precedence(held) >= precedence(fact):
                return False
            self.digest ^= digest_term(held)
            # Deleted and inserted again, so that the dict is ordered by age.
            del self.fact_by_subject[subject]
        self.fact_by_subject[subject] = fact
        self._held_since_by_subject[subject] = self._clock.monotonic()
        self.digest ^= digest_term(fact)
        return True

    def held_seconds(self, subject: Subject) -> float:
        """Return how long the current fact of a subject has been held."""
        since = self._held_since_by_subject[subject]
        return self._clock.monotonic() - since

    def reset_held_times(self) -> None:
        """Restart the held time of all facts."""
        now = self._clock.monotonic()
        for subject in self._held_since_by_subject:
            self._held_since_by_subject[subject] = now

    def schedule_retransmits(
        self, fact: messages.Fact, *, fleet_size: int
    ) -> None:
        """Schedule a fact for the next exchanges.

        With this many transmissions, each to a random peer, the probability
        that a daemon misses the fact is below 1 / `fleet_size` squared.
        """
        retransmits = RETRANSMIT_FACTOR * math.ceil(math.log2(fleet_size + 1))
        self._retransmits_by_subject[subject_of(fact)] = max(retransmits, 1)

    def take_pending(self, limit: int) -> list[messages.Fact]:
        """Return the least transmitted facts; count a transmission of each."""
        ranked = self._retransmits_by_subject
        if len(ranked) > limit:
            chosen = sorted(ranked, key=ranked.__getitem__, reverse=True)
        else:
            chosen = list(ranked)
        return [
            self._count_transmission(subject) for subject in chosen[:limit]
        ]

    @property
    def has_pending(self) -> bool:
        """Return whether some fact is still to be transmitted."""
        return bool(self._retransmits_by_subject)

    def next_chunk(self, limit: int) -> list[messages.Fact]:
        """Return the next chunk of all facts, starting over at the end."""
        facts = list(self.fact_by_subject.values())
        if len(facts) <= limit:
            return facts
        start = self._cursor % len(facts)
        self._cursor = start + limit
        return (facts[start:] + facts[:start])[:limit]

    def remove_expired(
        self, is_needed: Callable[[messages.Fact], bool]
    ) -> list[Subject]:
        """Remove facts that are no longer needed; return their subjects.

        Facts about live and suspected daemons stay. Others are removed after
        half an hour, and the oldest sooner while there are more than
        `MAX_FACTS`, except those that are still needed: a daemon that the
        platform still lists as live must stay dead here.
        """
        removed = [
            subject
            for subject in self._removable(is_needed)
            if self.held_seconds(subject) > RETENTION_SECONDS
        ]
        self._remove(removed)
        surplus = len(self._held_since_by_subject) - MAX_FACTS
        if surplus > 0:
            oldest = list(self._removable(is_needed))[:surplus]
            self._remove(oldest)
            removed += oldest
        return removed

    def _removable(
        self, is_needed: Callable[[messages.Fact], bool]
    ) -> Iterable[Subject]:
        permanent = (messages.FactState.live, messages.FactState.suspected)
        for subject, fact in self.fact_by_subject.items():
            is_daemon = fact.kind is messages.FactKind.daemon
            if is_daemon and fact.state in permanent:
                continue
            if not is_needed(fact):
                yield subject

    def _remove(self, subjects: Iterable[Subject]) -> None:
        for subject in subjects:
            self.digest ^= digest_term(self.fact_by_subject.pop(subject))
            del self._held_since_by_subject[subject]
            self._retransmits_by_subject.pop(subject, None)

    def _count_transmission(self, subject: Subject) -> messages.Fact:
        self._retransmits_by_subject[subject] -= 1
        if self._retransmits_by_subject[subject] <= 0:
            del self._retransmits_by_subject[subject]
        return self.fact_by_subject[subject]
