"""What this daemon holds to be true of daemons and targets.

Of two facts about one subject the stronger wins, by a total order, so that
all books come to the same whatever the order in which facts arrive: the
higher incarnation; within it, leaving before anything else; then the higher
sequence; then the graver state. Leaving stands apart because it is final
for an incarnation: a target on its way out may still answer, and an answer
must not bring it back.

The digest is an order-free hash of all facts that two books need to share.
Dead subjects stay out of it, as a dead subject and an unknown one mean the
same for routing; so do daemons that leave. Their facts can then be forgotten
at different times without two books ever seeming to differ.
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

REPEAT_FACTOR = 3
FORGET_SECONDS = 1800.0
MAX_FORGETTABLE = 20000

_GRAVITY_BY_STATE = {
    messages.FactState.live: 0,
    messages.FactState.suspected: 1,
    messages.FactState.leaving: 2,
    messages.FactState.dead: 3,
}

Subject = tuple[messages.FactKind, str]


def order(fact: messages.Fact) -> tuple[Any, ...]:
    """Give the key by which the stronger of two facts is greater."""
    return (
        fact.incarnation,
        fact.state is messages.FactState.leaving,
        fact.sequence,
        _GRAVITY_BY_STATE[fact.state],
        fact.host,
        fact.port,
        fact.zone,
    )


def subject_of(fact: messages.Fact) -> Subject:
    """Give the key under which a fact is held."""
    return (fact.kind, fact.subject)


def digest_part(fact: messages.Fact) -> int:
    """Give a fact's part of the digest: 64 bits, or 0 if it has none."""
    if fact.state is messages.FactState.dead:
        return 0
    is_daemon = fact.kind is messages.FactKind.daemon
    if is_daemon and fact.state is messages.FactState.leaving:
        return 0
    return xxhash.xxh3_64_intdigest(msgspec.msgpack.encode(fact))


@final
class FactSet:
    """The strongest fact of each subject.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.

    Attributes
    ----------
    fact_by_subject : dict
        All facts held.
    digest : int
        Order-free hash of them, 64 bits.
    """

    def __init__(self, *, clock: _clock.Clock) -> None:
        self.fact_by_subject: dict[Subject, messages.Fact] = {}
        self.digest = 0
        self._clock = clock
        self._held_since_by_subject: dict[Subject, float] = {}
        self._repeats_by_subject: dict[Subject, int] = {}
        self._cursor = 0

    def get(
        self, kind: messages.FactKind, subject: str
    ) -> messages.Fact | None:
        """Give the fact held of a subject."""
        return self.fact_by_subject.get((kind, subject))

    def merge(self, fact: messages.Fact) -> bool:
        """Take a fact in; tell whether it was news."""
        subject = subject_of(fact)
        held = self.fact_by_subject.get(subject)
        if held is not None:
            if order(held) >= order(fact):
                return False
            self.digest ^= digest_part(held)
            # Put in again at the end: the dict stays in the order of age.
            del self.fact_by_subject[subject]
        self.fact_by_subject[subject] = fact
        self._held_since_by_subject[subject] = self._clock.monotonic()
        self.digest ^= digest_part(fact)
        return True

    def held_seconds(self, subject: Subject) -> float:
        """Give how long the present fact of a subject has been held."""
        since = self._held_since_by_subject[subject]
        return self._clock.monotonic() - since

    def restart_held_times(self) -> None:
        """Count all facts as held from now."""
        now = self._clock.monotonic()
        for subject in self._held_since_by_subject:
            self._held_since_by_subject[subject] = now

    def freshen(self, fact: messages.Fact, *, fleet_size: int) -> None:
        """Have a fact repeated in the next exchanges.

        With this many repeats, each to a random peer, a fact misses a
        daemon with a chance below 1 / `fleet_size` squared.
        """
        repeats = REPEAT_FACTOR * math.ceil(math.log2(fleet_size + 1))
        self._repeats_by_subject[subject_of(fact)] = max(repeats, 1)

    def take_fresh(self, limit: int) -> list[messages.Fact]:
        """Give the least repeated facts, each a repeat poorer."""
        ranked = self._repeats_by_subject
        if len(ranked) > limit:
            chosen = sorted(ranked, key=ranked.__getitem__, reverse=True)
        else:
            chosen = list(ranked)
        return [self._repeated(subject) for subject in chosen[:limit]]

    @property
    def has_fresh(self) -> bool:
        """Whether some fact has repeats left."""
        return bool(self._repeats_by_subject)

    def next_chunk(self, limit: int) -> list[messages.Fact]:
        """Give a part of the book; calls go round the whole of it."""
        facts = list(self.fact_by_subject.values())
        if len(facts) <= limit:
            return facts
        start = self._cursor % len(facts)
        self._cursor = start + limit
        return (facts[start:] + facts[:start])[:limit]

    def forget_old(
        self, is_needed: Callable[[messages.Fact], bool]
    ) -> list[Subject]:
        """Drop facts that nobody will ask for again; give their subjects.

        Live and suspected daemons stay. Others go after half an hour, the
        oldest sooner if there are very many, unless still needed: a daemon
        that the platform still lists as live must stay dead here.
        """
        old = [
            subject
            for subject in self._forgettable(is_needed)
            if self.held_seconds(subject) > FORGET_SECONDS
        ]
        self._drop(old)
        surplus = len(self._held_since_by_subject) - MAX_FORGETTABLE
        if surplus > 0:
            oldest = list(self._forgettable(is_needed))[:surplus]
            self._drop(oldest)
            old += oldest
        return old

    def _forgettable(
        self, is_needed: Callable[[messages.Fact], bool]
    ) -> Iterable[Subject]:
        lasting = (messages.FactState.live, messages.FactState.suspected)
        for subject, fact in self.fact_by_subject.items():
            is_daemon = fact.kind is messages.FactKind.daemon
            if is_daemon and fact.state in lasting:
                continue
            if not is_needed(fact):
                yield subject

    def _drop(self, subjects: Iterable[Subject]) -> None:
        for subject in subjects:
            self.digest ^= digest_part(self.fact_by_subject.pop(subject))
            del self._held_since_by_subject[subject]
            self._repeats_by_subject.pop(subject, None)

    def _repeated(self, subject: Subject) -> messages.Fact:
        self._repeats_by_subject[subject] -= 1
        if self._repeats_by_subject[subject] <= 0:
            del self._repeats_by_subject[subject]
        return self.fact_by_subject[subject]
