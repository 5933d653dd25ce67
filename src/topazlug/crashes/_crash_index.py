"""The crashes that count against each request and each prompt part.

This module does no I/O and does not block.
"""

import bisect
import collections
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Sequence
import datetime
import math
from typing import NamedTuple
from typing import final

import msgspec

from topazlug import _ids
from topazlug.crashes import _crash_records
from topazlug.crashes import _fingerprint

# The rate of crashes is measured from this long before the first one that
# counts.
_LEAD_TIME = datetime.timedelta(seconds=5)
# Crashes longer ago than this don't count against a prompt part. Parts stay in
# use for a long time, and over a day one may run at several crashes.
_PART_WINDOW = datetime.timedelta(minutes=10)
# Replicas that crash within this time of each other may have ended together,
# by a loss of power or network. Daemons notice a reset connection within some
# ten milliseconds.
_SIMULTANEOUS_SECONDS = 0.1
# So many crashes at the same time at which a suspect did not run show that
# they have another cause than the suspect.
_MIN_OTHERS = 2
# So many at which it ran may be one event, or a burst of requests that each
# crashed a replica. They count as two, so that one more crash decides.
_MIN_OWN = 6
_EVENTS_OF_OWN = 2


@final
class CrashedIncarnation(msgspec.Struct):
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


class _SuspectRun(NamedTuple):
    """A run on an incarnation of a replica when it crashed."""

    crash: _crash_records.Crash
    suspect: _crash_records.Suspect

    @property
    def members(self) -> frozenset[_ids.Fingerprint]:
        """Return the fingerprints of the request and its prompt parts."""
        return _members(self.crash, self.suspect)


@final
class SuspectCrashes(msgspec.Struct, frozen=True):
    """The crashes that count against one request or prompt part.

    Attributes
    ----------
    incarnations : frozenset of IncarnationName
        The incarnations that crashed under it.
    attempts : int
        Number of callers' attempts that were running then.
    requests : int
        Number of requests that were running then; one, if this is about a
        request.
    seconds : float
        How long it had run on these incarnations, added up.
    events : int
        Number of crashes, where those of replicas that ended together count
        as one, or as two if it ran on all of these.
    span : float
        Seconds from the first crash to the last.
    """

    incarnations: frozenset[_crash_records.IncarnationName]
    attempts: int
    requests: int
    seconds: float
    events: int
    span: float

    @property
    def count(self) -> int:
        """Return the number of events, each at an attempt of its own."""
        return min(self.events, self.attempts)

    @property
    def incarnation_count(self) -> int:
        """Return the number of crashes, each at an attempt of its own."""
        return min(len(self.incarnations), self.attempts)


@final
class CrashIndex:
    """Runs that crashes ended, by request and by prompt part.

    An index is built anew whenever records change, from some thousand
    suspects most of which occur once. So crashes are collected only for those
    that are looked up.

    Parameters
    ----------
    records : iterable of CrashRecord
        Records of all daemons.

    Attributes
    ----------
    block_by_fingerprint : dict
        All blocks, including released ones.
    sound_parts : set of Fingerprint
        Parts with which a daemon had lately answered requests when it
        recorded a crash.
    """

    def __init__(self, records: Iterable[_crash_records.CrashRecord]) -> None:
        crashes: list[_crash_records.Crash] = []
        self.sound_parts: set[_ids.Fingerprint] = set()
        self.block_by_fingerprint: dict[
            _ids.Fingerprint, _crash_records.Block
        ] = {}
        self._cleared_by_fingerprint: dict[
            _ids.Fingerprint, set[_crash_records.IncarnationName]
        ] = {}
        for record in records:
            if isinstance(record, _crash_records.Crash):
                crashes.append(record)
            elif isinstance(record, _crash_records.Answered):
                cleared = self._cleared_by_fingerprint.setdefault(
                    record.fingerprint, set()
                )
                cleared.update(record.starts)
            else:
                self.block_by_fingerprint[record.fingerprint] = record
        self._crash_by_incarnation: dict[
            _crash_records.IncarnationName, CrashedIncarnation
        ] = {}
        self._runs_by_fingerprint: collections.defaultdict[
            _ids.Fingerprint, list[_SuspectRun]
        ] = collections.defaultdict(list)
        self._crashes_by_fingerprint: dict[
            _ids.Fingerprint, SuspectCrashes
        ] = {}
        self._blocks_in_force = [
            block
            for block in self.block_by_fingerprint.values()
            if not block.released
        ]
        self._blocks_by_member: collections.defaultdict[
            _ids.Fingerprint, list[_crash_records.Block]
        ] = collections.defaultdict(list)
        for block in self._blocks_in_force:
            for member in block.members:
                self._blocks_by_member[member].append(block)
        self._explaining = self._explaining_blocks(crashes)
        for crash in crashes:
            self._add(crash)
        for crash in recent(crashes):
            self._add_parts(crash)
        # Seconds of each crash since the epoch, and how many are near it.
        self._time_by_incarnation = {
            start: crashed.at.timestamp()
            for start, crashed in self._crash_by_incarnation.items()
        }
        self._all_times = sorted(self._time_by_incarnation.values())
        self._near_by_incarnation = {
            start: _count_near(self._all_times, at)
            for start, at in self._time_by_incarnation.items()
        }
        # Times of the crashes that no block explains, in order.
        self._times_by_group: collections.defaultdict[
            _ids.GroupName, list[datetime.datetime]
        ] = collections.defaultdict(list)
        for start, crashed in self._crash_by_incarnation.items():
            if start not in self._explaining:
                self._times_by_group[crashed.group].append(crashed.at)
        for times in self._times_by_group.values():
            times.sort()

    def _explaining_blocks(
        self, crashes: Iterable[_crash_records.Crash]
    ) -> dict[_crash_records.IncarnationName, set[_ids.Fingerprint]]:
        """Return the blocks that explain the crash of an incarnation."""
        explaining: dict[
            _crash_records.IncarnationName, set[_ids.Fingerprint]
        ] = {}
        for block in self.block_by_fingerprint.values():
            for start in block.starts:
                explaining.setdefault(start, set()).add(block.fingerprint)
        for crash in crashes if self._blocks_in_force else ():
            for suspect in crash.suspects:
                members = _members(crash, suspect)
                for block in self._blocks_in_force:
                    if block.members <= members:
                        explaining.setdefault(crash.start, set()).add(
                            block.fingerprint
                        )
        return explaining

    def _add(self, crash: _crash_records.Crash) -> None:
        crashed = self._crash_by_incarnation.get(crash.start)
        if crashed is None:
            crashed = CrashedIncarnation(crash.at, crash.group, crash.replicas)
            self._crash_by_incarnation[crash.start] = crashed
        crashed.at = min(crashed.at, crash.at)
        for suspect in crash.suspects:
            run = _SuspectRun(crash, suspect)
            self._runs_by_fingerprint[suspect.fingerprint].append(run)

    def _add_parts(self, crash: _crash_records.Crash) -> None:
        self.sound_parts.update(crash.parts[number] for number in crash.sound)
        for suspect in crash.suspects:
            run = _SuspectRun(crash, suspect)
            for number in suspect.parts:
                self._runs_by_fingerprint[crash.parts[number]].append(run)

    def _is_explained(
        self, run: _SuspectRun, fingerprint: _ids.Fingerprint
    ) -> bool:
        """Return whether a block explains a crash, so that it doesn't count.

        What is blocked only together with something else remains suspect by
        itself, and so do the prompt parts of a request that is blocked.
        """
        for name in self._explaining.get(run.crash.start, ()):
            block = self.block_by_fingerprint[name]
            if block.released:
                return True
            if block.together and fingerprint in block.members:
                continue
            is_own_part = (
                _fingerprint.is_part(fingerprint)
                and not _fingerprint.is_part(name)
                and name in run.members
            )
            if not is_own_part:
                return True
        return False

    def crashes_of(self, fingerprint: _ids.Fingerprint) -> SuspectCrashes:
        """Return the crashes that count against a request or part."""
        found = self._crashes_by_fingerprint.get(fingerprint)
        if found is None:
            found = self._count_crashes(fingerprint)
            self._crashes_by_fingerprint[fingerprint] = found
        return found

    def _count_crashes(self, fingerprint: _ids.Fingerprint) -> SuspectCrashes:
        seconds_by_incarnation: dict[_crash_records.IncarnationName, float]
        seconds_by_incarnation = {}
        attempts = set()
        requests = set()
        cleared = self._cleared_by_fingerprint.get(fingerprint, ())
        for run in self._runs_by_fingerprint.get(fingerprint, ()):
            crash, suspect = run
            start = crash.start
            if start in cleared:
                continue
            if start in self._explaining and self._is_explained(
                run, fingerprint
            ):
                continue
            if suspect.seconds >= seconds_by_incarnation.get(start, 0.0):
                seconds_by_incarnation[start] = suspect.seconds
            attempts.add(suspect.attempt)
            requests.add(suspect.fingerprint)
        counted = frozenset(seconds_by_incarnation)
        times = [self._time_by_incarnation[start] for start in counted]
        return SuspectCrashes(
            incarnations=counted,
            attempts=len(attempts),
            requests=len(requests),
            seconds=sum(seconds_by_incarnation.values()),
            events=self._count_events(fingerprint, counted),
            span=max(times) - min(times) if times else 0.0,
        )

    def _count_events(
        self,
        fingerprint: _ids.Fingerprint,
        incarnations: frozenset[_crash_records.IncarnationName],
    ) -> int:
        """Count crashes; replicas that ended together count as one.

        A suspect in wide use runs on many replicas at any time. If a zone
        loses power, it has met one event, not as many as replicas end.
        """
        if len(incarnations) < 2:
            return len(incarnations)
        if all(
            self._near_by_incarnation[start] <= _MIN_OTHERS
            for start in incarnations
        ):
            return len(incarnations)
        own_times = self._times_with(fingerprint)
        count = 0
        event_ends = -math.inf
        for at, start in sorted(
            (self._time_by_incarnation[start], start) for start in incarnations
        ):
            if at <= event_ends:
                continue
            own = _count_near(own_times, at)
            if self._near_by_incarnation[start] - own >= _MIN_OTHERS:
                count += 1
            elif own >= _MIN_OWN:
                count += _EVENTS_OF_OWN
            else:
                count += 1
                continue
            event_ends = at + _SIMULTANEOUS_SECONDS
        return count

    def is_shared(
        self,
        incarnation: _crash_records.IncarnationName,
        fingerprint: _ids.Fingerprint,
    ) -> bool:
        """Return whether a replica crashed together with unrelated ones."""
        if incarnation not in self._crash_by_incarnation:
            return False
        at = self._time_by_incarnation[incarnation]
        own = _count_near(self._times_with(fingerprint), at)
        return self._near_by_incarnation[incarnation] - own >= _MIN_OTHERS

    def _times_with(self, fingerprint: _ids.Fingerprint) -> list[float]:
        """Return when the replicas crashed that it ran on, in order."""
        starts = {
            run.crash.start
            for run in self._runs_by_fingerprint.get(fingerprint, ())
        }
        return sorted(self._time_by_incarnation[one] for one in starts)

    def is_decided(
        self, fingerprint: _ids.Fingerprint, crashes: SuspectCrashes
    ) -> bool:
        """Return whether one block of several parts explains all crashes."""
        return any(
            block.together
            and all(
                block.fingerprint in self._explaining.get(incarnation, ())
                for incarnation in crashes.incarnations
            )
            for block in self.blocks_with(fingerprint)
        )

    def suspects(
        self, *, least: int
    ) -> Iterator[tuple[_ids.Fingerprint, SuspectCrashes]]:
        """Yield what so many crashes or more count against."""
        for fingerprint, runs in self._runs_by_fingerprint.items():
            if len(runs) < least:
                continue
            crashes = self.crashes_of(fingerprint)
            if crashes.count >= least:
                yield fingerprint, crashes

    def has_run(self, fingerprint: _ids.Fingerprint) -> bool:
        """Return whether a request or part ran at any crash."""
        return fingerprint in self._runs_by_fingerprint

    def blocks_with(
        self, member: _ids.Fingerprint
    ) -> list[_crash_records.Block]:
        """Return the blocks in force that a request or part belongs to."""
        return self._blocks_by_member.get(member, [])

    def incarnations_explained_by(
        self, block: _crash_records.Block
    ) -> list[_crash_records.IncarnationName]:
        """Return the incarnations that crashed under what is blocked."""
        return [
            start
            for start, names in self._explaining.items()
            if block.fingerprint in names
        ]

    def is_cleared(
        self, block: _crash_records.Block, member: _ids.Fingerprint
    ) -> bool:
        """Return whether a member of a block was answered after a crash."""
        cleared = self._cleared_by_fingerprint.get(member, set())
        return not cleared.isdisjoint(block.starts)

    def ran_together(
        self,
        fingerprints: frozenset[_ids.Fingerprint],
        incarnations: frozenset[_crash_records.IncarnationName],
    ) -> bool:
        """Return whether one run had all of these, at each of the crashes."""
        runs = self._runs_by_fingerprint.get(min(fingerprints), ())
        starts = {
            run.crash.start for run in runs if fingerprints <= run.members
        }
        return incarnations <= starts

    def group_of(self, crashes: SuspectCrashes) -> _ids.GroupName:
        """Return the group whose replicas crashed."""
        return self._crash_by_incarnation[min(crashes.incarnations)].group

    def expected_crashes(
        self, crashes: SuspectCrashes, *, with_own: bool
    ) -> float:
        """Return how many crashes something would have met by chance.

        That follows from the time that it ran, and the rate of crashes in its
        group, spread over the replicas.

        Parameters
        ----------
        crashes : SuspectCrashes
            The crashes that it met.
        with_own : bool
            Whether these count for the rate.
        """
        own = [
            self._crash_by_incarnation[incarnation]
            for incarnation in crashes.incarnations
        ]
        first = min(crashed.at for crashed in own) - _LEAD_TIME
        last = max(crashed.at for crashed in own)
        times = self._times_by_group[own[0].group]
        count = bisect.bisect_right(times, last) - bisect.bisect_left(
            times, first
        )
        if not with_own:
            count -= len(crashes.incarnations - self._explaining.keys())
        rate = count / (last - first).total_seconds()
        replicas = max(1, max(crashed.replicas for crashed in own))
        return rate * crashes.seconds / replicas


def _count_near(times: Sequence[float], at: float) -> int:
    """Return how many of some times, in order, are near one."""
    last = bisect.bisect_right(times, at + _SIMULTANEOUS_SECONDS)
    return last - bisect.bisect_left(times, at - _SIMULTANEOUS_SECONDS)


def recent(
    crashes: Sequence[_crash_records.Crash],
) -> Iterator[_crash_records.Crash]:
    """Yield the crashes that count against prompt parts."""
    newest = max((crash.at for crash in crashes), default=None)
    for crash in crashes:
        if newest is not None and newest - crash.at < _PART_WINDOW:
            yield crash


def _members(
    crash: _crash_records.Crash, suspect: _crash_records.Suspect
) -> frozenset[_ids.Fingerprint]:
    parts = (crash.parts[number] for number in suspect.parts)
    return frozenset((suspect.fingerprint, *parts))
