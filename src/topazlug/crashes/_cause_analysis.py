"""Decides which request crashes replicas, from what ran when they crashed.

Load pattern: a request ends each replica that begins to run it, is repeated
by its caller, and comes to any daemon. A dozen others run beside it each
time, and replicas also crash for reasons of their own. So a request counts
as the cause only if

- three attempts of it had replicas crash under them, three of these in all:
  one attempt may meet two crashes, as it is sent to a second replica;
- none of its attempts was answered since, as it would end each replica;
- it met so many in so short a time on replicas that chance does not do it,
  where others crash without it;
- no other request was there each time, and more often. What runs beside is
  there some of the times, and then the other one explains it.

A blocked request explains the crashes that it was at: they count for no
other.

Nothing here reads, waits or knows a connection.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import datetime
import math
from typing import final

import msgspec

from topazlug import _ids
from topazlug.crashes import _crash_records

# Fewer are no proof: an innocent request that may be repeated meets two
# crashes, one at each attempt, if its caller repeats it once.
MIN_CRASHES = 3
# Two requests that always come together can't be told apart. After twice as
# many crashes both are blocked: all others lose by each one more.
MIN_CRASHES_TOGETHER = 6
# A request that met its crashes by chance with this probability or more is
# not their cause. In a replay of five replicas of which one crashes by itself
# each second, 21 of 3,600 innocent requests a minute were blocked without
# this, and 1 with it (means of five plays; the cause ends 4 replicas in both).
_MAX_CHANCE_PROBABILITY = 1e-6
# Others' crashes so long before the first one under a request count as well.
_LEAD_TIME = datetime.timedelta(seconds=5)

# A request that ran on a start of a replica when that crashed.
_SuspectRun = tuple[_crash_records.IncarnationName, _crash_records.Suspect]


@final
class _CrashedIncarnation(msgspec.Struct):
    """One start of a replica that crashed.

    Attributes
    ----------
    at : datetime
        When the first daemon noted it.
    group : GroupName
        Pool or service of the replica.
    replicas : int
        How many replicas the group had.
    """

    at: datetime.datetime
    group: _ids.GroupName
    replicas: int


@final
class _RequestCrashes(msgspec.Struct):
    """What counts against one request.

    Attributes
    ----------
    seconds_by_incarnation : dict
        How long it had run on each replica that crashed under it.
    attempts : set of AttemptTag
        Attempts of its callers that were there.
    """

    seconds_by_incarnation: dict[_crash_records.IncarnationName, float] = (
        msgspec.field(default_factory=dict)
    )
    attempts: set[_crash_records.AttemptTag] = msgspec.field(
        default_factory=set
    )

    @property
    def incarnations(self) -> frozenset[_crash_records.IncarnationName]:
        """Give the starts of replicas that crashed under it."""
        return frozenset(self.seconds_by_incarnation)

    @property
    def count(self) -> int:
        """Give the crashes that no two share an attempt or a replica."""
        return min(len(self.seconds_by_incarnation), len(self.attempts))


@final
class CauseAnalysis:
    """What all notes together say.

    It is made anew with each news, from some thousand suspects most of which
    were seen once: cases are made of those only that are asked for.

    Parameters
    ----------
    records : iterable of Note
        Of all daemons.
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
                starts = self._answered.setdefault(record.fingerprint, set())
                starts.update(record.starts)
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
        """Give the crashes whose cause is known."""
        blocks = self._block_by_fingerprint.values()
        explained = {
            incarnation for block in blocks for incarnation in block.starts
        }
        blocked = {one.fingerprint for one in blocks if not one.released}
        for crash in crashes if blocked else ():
            if any(one.fingerprint in blocked for one in crash.suspects):
                explained.add(crash.start)
        return explained

    def _add(self, crash: _crash_records.Crash) -> None:
        known = self._crash_by_incarnation.get(crash.start)
        if known is None:
            known = _CrashedIncarnation(crash.at, crash.group, crash.replicas)
            self._crash_by_incarnation[crash.start] = known
        known.at = min(known.at, crash.at)
        for suspect in crash.suspects:
            seen = self._runs_by_fingerprint.setdefault(
                suspect.fingerprint, []
            )
            seen.append((crash.start, suspect))

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
        """Give all blocks, also those that were released."""
        return self._block_by_fingerprint

    def incarnations_of(
        self, fingerprint: _ids.Fingerprint
    ) -> frozenset[_crash_records.IncarnationName]:
        """Give the crashes that a request may be the cause of."""
        if fingerprint not in self._runs_by_fingerprint:
            return frozenset()
        return self._crashes_of(fingerprint).incarnations

    def crash_count_of(self, fingerprint: _ids.Fingerprint) -> int:
        """Give how many crashes count against a request."""
        if fingerprint not in self._runs_by_fingerprint:
            return 0
        return self._crashes_of(fingerprint).count

    def is_blocked(self, fingerprint: _ids.Fingerprint) -> bool:
        """Say whether a note blocks a request."""
        block = self._block_by_fingerprint.get(fingerprint)
        return block is not None and not block.released

    def likely_causes(self) -> dict[_ids.Fingerprint, int]:
        """Give how many crashes count against each request that may be one."""
        return {
            fingerprint: crashes.count
            for fingerprint, crashes in self._likely_causes.items()
        }

    def causes(self) -> dict[_ids.Fingerprint, _ids.GroupName]:
        """Give the request that most crashes speak against, if it is a cause.

        Once it is blocked these crashes count for no other, and another may
        follow. More than one are given only if they were at the same ones.

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
        """Give how likely a request meets so many crashes by chance.

        While it ran it met those that come anyway: as many a second as there
        were without it, spread over the replicas of the group.
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
        """Say whether another request is as likely the cause, or likelier."""
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
