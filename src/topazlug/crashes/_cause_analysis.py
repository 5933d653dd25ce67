"""Finds the requests that crash replicas, from what ran during crashes.

A request that crashes each replica that runs it is repeated by its caller and
may arrive at any daemon. Each time a dozen other requests run on the same
replica, and replicas also crash for other reasons. So a request is regarded
as the cause only if

- three of its attempts ran on replicas that crashed, and three incarnations
  crashed in all: one attempt may be hit by two crashes, as it is sent to a
  second replica;
- none of its attempts was answered since, because the cause would crash each
  replica that runs it;
- so many crashes are improbable by chance, given the time that it ran and the
  rate of crashes without it;
- no other request ran during all of the same crashes and during others too.
  An innocent request runs during only some of the crashes of the cause, which
  therefore explains them.

A blocked request explains the crashes during which it ran; they count against
no other request.

This module does no I/O and does not block.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import datetime
import math
from typing import final

import msgspec

from topazlug import _ids
from topazlug.crashes import _crash_records

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
# The rate of other crashes is measured from this long before a request's first
# crash.
_LEAD_TIME = datetime.timedelta(seconds=5)

# A request that ran on an incarnation of a replica when it crashed.
_SuspectRun = tuple[_crash_records.IncarnationName, _crash_records.Suspect]


@final
class _CrashedIncarnation(msgspec.Struct):
    """An incarnation of a replica that crashed.

    Attributes
    ----------
    at : datetime
        When the first daemon recorded the crash.
    group : GroupName
        Pool or service of the replica.
    replicas : int
        Number of replicas in the group.
    """

    at: datetime.datetime
    group: _ids.GroupName
    replicas: int


@final
class _RequestCrashes(msgspec.Struct):
    """The crashes that count against one request.

    Attributes
    ----------
    seconds_by_incarnation : dict
        How long it had run on each incarnation that crashed under it.
    attempts : set of AttemptTag
        Its attempts that were running then.
    """

    seconds_by_incarnation: dict[_crash_records.IncarnationName, float] = (
        msgspec.field(default_factory=dict)
    )
    attempts: set[_crash_records.AttemptTag] = msgspec.field(
        default_factory=set
    )

    @property
    def incarnations(self) -> frozenset[_crash_records.IncarnationName]:
        """Return the incarnations that crashed under the request."""
        return frozenset(self.seconds_by_incarnation)

    @property
    def count(self) -> int:
        """Return the number of crashes, each at an attempt of its own."""
        return min(len(self.seconds_by_incarnation), len(self.attempts))


@final
class CauseAnalysis:
    """The causes of crashes that follow from the records of all daemons.

    An analysis is rebuilt whenever records change, from some thousand
    suspects most of which occur once. So crashes are collected only for the
    requests that are looked up.

    Parameters
    ----------
    records : iterable of CrashRecord
        Records of all daemons.
    """

    def __init__(
        self, records: Iterable[_crash_records.CrashRecord] = ()
    ) -> None:
        crashes: list[_crash_records.Crash] = []
        self._block_by_fingerprint: dict[
            _ids.Fingerprint, _crash_records.Block
        ] = {}
        self._answered: dict[
            _ids.Fingerprint, set[_crash_records.IncarnationName]
        ] = {}
        for record in records:
            if isinstance(record, _crash_records.Crash):
                crashes.append(record)
            elif isinstance(record, _crash_records.Answered):
                cleared = self._answered.setdefault(record.fingerprint, set())
                cleared.update(record.starts)
            else:
                self._block_by_fingerprint[record.fingerprint] = record
        self._crash_by_incarnation: dict[
            _crash_records.IncarnationName, _CrashedIncarnation
        ] = {}
        self._runs_by_fingerprint: dict[
            _ids.Fingerprint, list[_SuspectRun]
        ] = {}
        explained = self._explained_incarnations(crashes)
        for crash in crashes:
            if crash.start not in explained:
                self._add(crash)
        self._likely_causes = self._find_likely_causes()

    def _explained_incarnations(
        self, crashes: Iterable[_crash_records.Crash]
    ) -> set[_crash_records.IncarnationName]:
        """Return the incarnations whose crash is explained by a block."""
        blocks = self._block_by_fingerprint.values()
        explained = {
            incarnation for block in blocks for incarnation in block.starts
        }
        blocked = {block.fingerprint for block in blocks if not block.released}
        for crash in crashes if blocked else ():
            if any(
                suspect.fingerprint in blocked for suspect in crash.suspects
            ):
                explained.add(crash.start)
        return explained

    def _add(self, crash: _crash_records.Crash) -> None:
        crashed = self._crash_by_incarnation.get(crash.start)
        if crashed is None:
            crashed = _CrashedIncarnation(
                crash.at, crash.group, crash.replicas
            )
            self._crash_by_incarnation[crash.start] = crashed
        crashed.at = min(crashed.at, crash.at)
        for suspect in crash.suspects:
            suspect_runs = self._runs_by_fingerprint.setdefault(
                suspect.fingerprint, []
            )
            suspect_runs.append((crash.start, suspect))

    def _crashes_of(self, fingerprint: _ids.Fingerprint) -> _RequestCrashes:
        crashes = _RequestCrashes()
        cleared = self._answered.get(fingerprint, ())
        for incarnation, suspect in self._runs_by_fingerprint.get(
            fingerprint, ()
        ):
            if incarnation in cleared:
                continue
            previous = crashes.seconds_by_incarnation.get(incarnation, 0.0)
            crashes.seconds_by_incarnation[incarnation] = max(
                previous, suspect.seconds
            )
            crashes.attempts.add(suspect.attempt)
        return crashes

    def _find_likely_causes(self) -> dict[_ids.Fingerprint, _RequestCrashes]:
        found = {}
        for fingerprint, suspect_runs in self._runs_by_fingerprint.items():
            if len(suspect_runs) < MIN_CRASHES:
                continue
            crashes = self._crashes_of(fingerprint)
            if (
                crashes.count >= MIN_CRASHES
                and self._chance_probability(crashes) < _MAX_CHANCE_PROBABILITY
            ):
                found[fingerprint] = crashes
        return found

    @property
    def blocks(self) -> Mapping[_ids.Fingerprint, _crash_records.Block]:
        """Return all blocks, including released ones."""
        return self._block_by_fingerprint

    def incarnations_of(
        self, fingerprint: _ids.Fingerprint
    ) -> frozenset[_crash_records.IncarnationName]:
        """Return the incarnations that a request may have crashed."""
        if fingerprint not in self._runs_by_fingerprint:
            return frozenset()
        return self._crashes_of(fingerprint).incarnations

    def crash_count_of(self, fingerprint: _ids.Fingerprint) -> int:
        """Return how many crashes count against a request."""
        if fingerprint not in self._runs_by_fingerprint:
            return 0
        return self._crashes_of(fingerprint).count

    def is_blocked(self, fingerprint: _ids.Fingerprint) -> bool:
        """Return whether a request is blocked."""
        block = self._block_by_fingerprint.get(fingerprint)
        return block is not None and not block.released

    def likely_causes(self) -> dict[_ids.Fingerprint, int]:
        """Return the likely causes and how many crashes count against each."""
        return {
            fingerprint: crashes.count
            for fingerprint, crashes in self._likely_causes.items()
        }

    def causes(self) -> dict[_ids.Fingerprint, _ids.GroupName]:
        """Return the cause with the most crashes.

        Once it is blocked, its crashes count against no other request, and
        a further call may return another cause. More than one request is
        returned only if they ran during the same crashes.

        Returns
        -------
        dict
            The group of the crashed replicas, by fingerprint.
        """
        found = {
            fingerprint: crashes
            for fingerprint, crashes in self._likely_causes.items()
            if not self._is_explained(fingerprint, crashes)
        }
        if not found:
            return {}
        first = max(
            found.values(), key=lambda crashes: len(crashes.incarnations)
        )
        group = self._crash_by_incarnation[min(first.incarnations)].group
        return {
            fingerprint: group
            for fingerprint, crashes in found.items()
            if crashes.incarnations == first.incarnations
        }

    def _chance_probability(self, crashes: _RequestCrashes) -> float:
        """Return the probability that so many crashes hit it by chance.

        The expected number follows from the time that the request ran and
        the rate of crashes without it, spread over the replicas of the group.
        """
        own = [
            self._crash_by_incarnation[incarnation]
            for incarnation in crashes.incarnations
        ]
        first = min(crashed.at for crashed in own) - _LEAD_TIME
        last = max(crashed.at for crashed in own)
        others = sum(
            first <= crashed.at <= last and crashed.group == own[0].group
            for crashed in self._crash_by_incarnation.values()
        ) - len(own)
        rate = others / (last - first).total_seconds()
        replicas = max(1, max(crashed.replicas for crashed in own))
        expected = (
            rate * sum(crashes.seconds_by_incarnation.values()) / replicas
        )
        return expected**crashes.count / math.factorial(crashes.count)

    def _is_explained(
        self, fingerprint: _ids.Fingerprint, own: _RequestCrashes
    ) -> bool:
        """Return whether another request is at least as likely the cause."""
        return any(
            _explains(self._crashes_of(other), own)
            for other, suspect_runs in self._runs_by_fingerprint.items()
            if other != fingerprint and len(suspect_runs) >= own.count
        )


def _explains(other: _RequestCrashes, own: _RequestCrashes) -> bool:
    if other.count < own.count or not other.incarnations >= own.incarnations:
        return False
    has_more = len(other.incarnations) > len(own.incarnations)
    return has_more or own.count < MIN_CRASHES_TOGETHER
