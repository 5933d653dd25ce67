"""Finds what crashes replicas, from what ran during crashes.

A request that crashes each replica that runs it is repeated by its caller and
may arrive at any daemon. A part of a prompt may crash each replica that begins
to answer it, in requests that are otherwise different. Each time a dozen other
requests run on the same replica, and replicas also crash for other reasons. So
a request or a part is regarded as the cause only if

- three attempts ran on replicas that crashed, and three incarnations crashed
  in all: one attempt may be hit by two crashes, as it is sent to a second
  replica. Replicas that ended together, with others that it did not run on,
  count as one;
- nothing with it was answered since, because the cause would crash each
  replica that runs it;
- so many crashes are improbable by chance, given the time that it ran and the
  rate of crashes;
- nothing else ran during all of the same crashes and during others too. What
  is innocent runs during only some of the crashes of the cause, which
  therefore explains them.

What is blocked explains the crashes during which it ran; they count against
nothing else, except the parts of a blocked request.

This module does no I/O and does not block.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import math
from typing import final

import msgspec

from topazlug import _ids
from topazlug.crashes import _crash_index
from topazlug.crashes import _crash_records
from topazlug.crashes import _fingerprint

# Fewer prove nothing: if its caller repeats it once, an innocent request that
# may be repeated can be hit by two crashes, one at each attempt.
MIN_CRASHES = 3
# Two requests that always run together can't be distinguished. Both are
# blocked after twice as many crashes, as each further crash also fails the
# other requests on the replica.
MIN_CRASHES_TOGETHER = 6
# A request is not regarded as the cause if chance explains its crashes with at
# least this probability. In a replay of five replicas, of which one crashes by
# itself each second, 21 of 3,600 innocent requests a minute were blocked
# without this rule, and 1 with it (means of five replays; the cause crashes 4
# replicas in both).
_MAX_CHANCE_PROBABILITY = 1e-6
# Many requests share a part, so each crash hits many parts, and there is no
# repeat by which an innocent one would stand out. After this many crashes
# without an answer, chance is a weaker objection than before.
_MANY_CRASHES_OF_PART = 5
_MAX_CHANCE_AFTER_MANY = 1e-4
# Something with a larger chance is not held back either.
_MAX_CHANCE_OF_HOLD = 1e-3
# A part that was in use may begin to crash replicas, after a change of their
# software. A common part also runs at each crash that comes for other reasons,
# and its answers take a second or more.
MANY_CRASHES_OF_SOUND_PART = 8
# These must be spread over this time. A part that all requests share runs on
# each of the replicas that end together, and none of the others shows another
# cause.
_MIN_SPAN_OF_SOUND_PART_SECONDS = 0.5
# The part of a request that is repeated runs at the same crashes as the
# request, and other requests with it may be harmless.
_MIN_REQUESTS_OF_PART = 3


@final
class Cause(msgspec.Struct, frozen=True):
    """What crashes replicas.

    Attributes
    ----------
    members : frozenset of Fingerprint
        A request, or prompt parts that only ran together so far.
    group : GroupName
        Group whose replicas crashed.
    """

    members: frozenset[_ids.Fingerprint]
    group: _ids.GroupName


@final
class CauseAnalysis:
    """The causes of crashes that follow from the records of all daemons.

    Parameters
    ----------
    records : iterable of CrashRecord
        Records of all daemons.
    """

    def __init__(
        self, records: Iterable[_crash_records.CrashRecord] = ()
    ) -> None:
        self._index = _crash_index.CrashIndex(records)
        self._suspects = dict(self._index.suspects(least=MIN_CRASHES))
        self._likely_causes = {
            fingerprint: crashes
            for fingerprint, crashes in self._suspects.items()
            if crashes.count >= self.min_crashes(fingerprint)
            and crashes.span >= self._min_span(fingerprint)
            and crashes.requests >= _min_requests(fingerprint)
            and self._chance_probability(fingerprint, crashes)
            < _max_hold_probability(fingerprint)
        }

    @property
    def blocks(self) -> Mapping[_ids.Fingerprint, _crash_records.Block]:
        """Return all blocks, including released ones."""
        return self._index.block_by_fingerprint

    def crashes_of(
        self, fingerprint: _ids.Fingerprint
    ) -> _crash_index.SuspectCrashes | None:
        """Return the crashes that count, None if it ran at none."""
        if not self._index.has_run(fingerprint):
            return None
        return self._index.crashes_of(fingerprint)

    def incarnations_of(
        self, fingerprint: _ids.Fingerprint
    ) -> frozenset[_crash_records.IncarnationName]:
        """Return the incarnations that a request or part may have crashed."""
        crashes = self.crashes_of(fingerprint)
        return frozenset() if crashes is None else crashes.incarnations

    def crash_count_of(self, fingerprint: _ids.Fingerprint) -> int:
        """Return how many crashes count against a request or part."""
        crashes = self.crashes_of(fingerprint)
        return 0 if crashes is None else crashes.count

    def event_count_of(self, fingerprint: _ids.Fingerprint) -> int:
        """Return how many events with crashes it has run at."""
        crashes = self.crashes_of(fingerprint)
        return 0 if crashes is None else crashes.events

    def block_of(
        self,
        fingerprint: _ids.Fingerprint,
        members: Iterable[_ids.Fingerprint] = (),
    ) -> _crash_records.Block | None:
        """Return the block in force for a request or part, or None.

        Parameters
        ----------
        fingerprint : Fingerprint
            The request or prompt part.
        members : iterable of Fingerprint
            What else is in the same request. What was blocked together is
            rejected only together, unless it was answered since.
        """
        present = {fingerprint, *members}
        for block in self._index.blocks_with(fingerprint):
            if not block.together:
                return block
            required = {
                member
                for member in block.members
                if not self._index.is_cleared(block, member)
            }
            if fingerprint in required and required <= present:
                return block
        return None

    def blocks_of(
        self, members: Iterable[_ids.Fingerprint]
    ) -> list[_crash_records.Block]:
        """Return the blocks in force for a request with these members."""
        present = list(members)
        found = (self.block_of(one, present) for one in present)
        return list(
            {block.fingerprint: block for block in found if block}.values()
        )

    def incarnations_explained_by(
        self, block: _crash_records.Block
    ) -> list[_crash_records.IncarnationName]:
        """Return the incarnations that crashed under what is blocked."""
        return self._index.incarnations_explained_by(block)

    def is_shared(
        self,
        incarnation: _crash_records.IncarnationName,
        fingerprint: _ids.Fingerprint,
    ) -> bool:
        """Return whether a replica ended together with unrelated ones."""
        return self._index.is_shared(incarnation, fingerprint)

    def block_with(
        self, member: _ids.Fingerprint
    ) -> _crash_records.Block | None:
        """Return a block in force that a request or part belongs to."""
        return next(iter(self._index.blocks_with(member)), None)

    def is_decided(self, fingerprint: _ids.Fingerprint) -> bool:
        """Return whether a block of several parts explains its crashes.

        Requests with only some of the parts may run, and show which of them
        is the cause.
        """
        return self._index.is_decided(
            fingerprint, self._index.crashes_of(fingerprint)
        )

    def is_blocked(self, fingerprint: _ids.Fingerprint) -> bool:
        """Return whether a request or part is blocked by itself."""
        return self.block_of(fingerprint) is not None

    def likely_causes(self) -> dict[_ids.Fingerprint, int]:
        """Return the likely causes and how many crashes count against each."""
        return {
            fingerprint: crashes.count
            for fingerprint, crashes in self._likely_causes.items()
        }

    def causes(self) -> list[Cause]:
        """Return the cause with the most crashes.

        Once it is blocked, its crashes count against nothing else, and a
        further call may return another cause. More than one is returned only
        if they ran during the same crashes, but not in the same requests.
        """
        found = {
            fingerprint: crashes
            for fingerprint, crashes in self._likely_causes.items()
            if self._is_improbable(fingerprint, crashes)
            and not self._index.is_decided(fingerprint, crashes)
            and not self._is_explained(fingerprint, crashes)
        }
        if not found:
            return []
        first = max(
            found.values(), key=lambda crashes: len(crashes.incarnations)
        )
        group = self._index.group_of(first)
        same = [
            fingerprint
            for fingerprint, crashes in found.items()
            if crashes.incarnations == first.incarnations
        ]
        requests = [one for one in same if not _fingerprint.is_part(one)]
        if requests:
            return [Cause(frozenset((one,)), group) for one in requests]
        parts = frozenset(same)
        if self._index.ran_together(parts, first.incarnations):
            return [Cause(parts, group)]
        return [Cause(frozenset((one,)), group) for one in same]

    def min_crashes(self, fingerprint: _ids.Fingerprint) -> int:
        """Return after how many crashes something is a likely cause."""
        if fingerprint in self._index.sound_parts:
            return MANY_CRASHES_OF_SOUND_PART
        return MIN_CRASHES

    def _min_span(self, fingerprint: _ids.Fingerprint) -> float:
        """Return over how many seconds its crashes must be spread."""
        if fingerprint in self._index.sound_parts:
            return _MIN_SPAN_OF_SOUND_PART_SECONDS
        return 0.0

    def _is_improbable(
        self,
        fingerprint: _ids.Fingerprint,
        crashes: _crash_index.SuspectCrashes,
    ) -> bool:
        """Return whether chance does not explain the crashes."""
        limit = _MAX_CHANCE_PROBABILITY
        if (
            _fingerprint.is_part(fingerprint)
            and crashes.count >= _MANY_CRASHES_OF_PART
        ):
            limit = _MAX_CHANCE_AFTER_MANY
        return self._chance_probability(fingerprint, crashes) < limit

    def _chance_probability(
        self,
        fingerprint: _ids.Fingerprint,
        crashes: _crash_index.SuspectCrashes,
    ) -> float:
        """Return the probability that so many crashes hit it by chance.

        Crashes without a request measure the rate of those that come anyway.
        A part in use all the time runs at each of these too, so for parts all
        crashes count for the rate.
        """
        expected = self._index.expected_crashes(
            crashes, with_own=_fingerprint.is_part(fingerprint)
        )
        return expected**crashes.count / math.factorial(crashes.count)

    def _is_explained(
        self,
        fingerprint: _ids.Fingerprint,
        own: _crash_index.SuspectCrashes,
    ) -> bool:
        """Return whether something else is at least as likely the cause."""
        return any(
            self._explains(other, crashes, fingerprint, own)
            for other, crashes in self._suspects.items()
            if other != fingerprint
        )

    def _explains(
        self,
        other: _ids.Fingerprint,
        crashes: _crash_index.SuspectCrashes,
        fingerprint: _ids.Fingerprint,
        own: _crash_index.SuspectCrashes,
    ) -> bool:
        if crashes.incarnation_count < own.incarnation_count:
            return False
        if not crashes.incarnations >= own.incarnations:
            return False
        if len(crashes.incarnations) > len(own.incarnations):
            return True
        if own.incarnation_count >= MIN_CRASHES_TOGETHER:
            return False
        # Parts of one request, and a request and its parts, are no rivals:
        # what contains them all is blocked.
        return not self._index.ran_together(
            frozenset((other, fingerprint)), own.incarnations
        )


def _min_requests(fingerprint: _ids.Fingerprint) -> int:
    return _MIN_REQUESTS_OF_PART if _fingerprint.is_part(fingerprint) else 1


def _max_hold_probability(fingerprint: _ids.Fingerprint) -> float:
    """Return below which chance a likely cause is held back."""
    if _fingerprint.is_part(fingerprint):
        return _MAX_CHANCE_OF_HOLD
    return _MAX_CHANCE_PROBABILITY
