"""The crash records that a daemon has, its own and those of others."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import datetime
import itertools
import math
from typing import NamedTuple
from typing import final

import msgspec

from topazlug import _clock
from topazlug import _ids
from topazlug.crashes import _cause_analysis
from topazlug.crashes import _crash_index
from topazlug.crashes import _crash_records
from topazlug.crashes import _fingerprint
from topazlug.crashes import _record_retention
from topazlug.crashes import _sound_parts
from topazlug.targets import _target
from topazlug.targets import _target_runs

_MAX_SUSPECTS_PER_RECORD = 64
_MAX_PARTS_PER_RECORD = 128
# Requests answered by this daemon although a crash counts against them.
_MAX_ANSWERED = 1024
# A request that was answered this recently is no cause, whichever crashes are
# reported afterwards. 4,096 entries take 0.6 MB; a daemon that answers 34
# requests a second fills them in two minutes.
_RECENT_ANSWER_SECONDS = 60.0
_MAX_RECENT_ANSWERS = 4096
# Part of the processor's time that analyses of changed records may take, and
# the maximum time that an analysis may be outdated.
_ANALYSIS_SHARE = 0.02
_MAX_ANALYSIS_PAUSE = 0.5
# Fewer crashes of a part need no clearance, as they do not count yet.
_MIN_CRASHES_TO_CLEAR = _cause_analysis.MIN_CRASHES - 1


class RecordCounts(NamedTuple):
    """Numbers of records by where this daemon has them from."""

    own: int
    received: int
    shared: int


@final
class CrashHistory:
    """Crash records of all daemons, as far as this daemon has them.

    Parameters
    ----------
    daemon : DaemonId
        This daemon.
    clock : Clock
        Source of time.
    """

    def __init__(self, *, daemon: _ids.DaemonId, clock: _clock.Clock) -> None:
        self._daemon = daemon
        self._clock = clock
        # Rows of the table; records of this daemon that are not in the table
        # yet; records that other daemons sent because they could not write
        # them.
        self._shared_by_key: _record_retention.RecordByKey = {}
        self._own_by_key: _record_retention.RecordByKey = {}
        self._received_by_key: _record_retention.RecordByKey = {}
        self._answered_at: collections.OrderedDict[_ids.Fingerprint, float] = (
            collections.OrderedDict()
        )
        # Clearances of suspects that this daemon has answered and not yet
        # published.
        self._answered: collections.OrderedDict[
            _ids.Fingerprint, _crash_records.Answered
        ] = collections.OrderedDict()
        self._analysis: _cause_analysis.CauseAnalysis | None = None
        self._sound_parts = _sound_parts.SoundParts(clock=clock)
        # Whether records have changed since the analysis was built, and the
        # monotonic seconds at which it may be built again.
        self._has_changed = False
        self._analyze_at = -math.inf
        # Monotonic seconds at which this daemon got the first record of the
        # crash of an incarnation.
        self._learned_at: dict[_crash_records.IncarnationName, float] = {}

    @property
    def analysis(self) -> _cause_analysis.CauseAnalysis:
        """Return the analysis of all records that this daemon has."""
        return self._current_analysis()

    def _current_analysis(self) -> _cause_analysis.CauseAnalysis:
        """Return the analysis, rebuilt if records have changed.

        Where records change all the time, it may be older than the records,
        so that analysing them takes a limited part of the processor's time.
        """
        began_at = self._clock.monotonic()
        is_due = self._has_changed and began_at >= self._analyze_at
        if self._analysis is None or is_due:
            self._has_changed = False
            self._analysis = self._analyze()
            ended_at = self._clock.monotonic()
            pause = (ended_at - began_at) / _ANALYSIS_SHARE
            self._analyze_at = ended_at + min(pause, _MAX_ANALYSIS_PAUSE)
        return self._analysis

    @property
    def outdated_until(self) -> float | None:
        """Return when the analysis will be rebuilt, None if it is current."""
        return self._analyze_at if self._has_changed else None

    def _analyze(self) -> _cause_analysis.CauseAnalysis:
        retained = _record_retention.retained(
            self._merged_records(), self._clock.now()
        )
        self._own_by_key = {
            k: v for k, v in self._own_by_key.items() if k in retained
        }
        self._received_by_key = {
            k: v for k, v in self._received_by_key.items() if k in retained
        }
        self._learned_at = {
            record.start: self._learned_at[record.start]
            for record in retained.values()
            if isinstance(record, _crash_records.Crash)
        }
        self._clear_answered(retained.values())
        self._clear_parts(retained.values())
        return _cause_analysis.CauseAnalysis(
            [*retained.values(), *self._answered.values()]
        )

    def _note_crashes(
        self, records: Iterable[_crash_records.CrashRecord]
    ) -> None:
        now = self._clock.monotonic()
        for record in records:
            if isinstance(record, _crash_records.Crash):
                self._learned_at.setdefault(record.start, now)

    def set_shared_records(
        self, records: Iterable[_crash_records.CrashRecord]
    ) -> None:
        """Replace the records that are in the table."""
        self._shared_by_key = {
            _crash_records.record_key(record): record for record in records
        }
        self._note_crashes(self._shared_by_key.values())
        for source in (self._own_by_key, self._received_by_key):
            for key in [
                key for key in source if self.is_in_table(source[key])
            ]:
                del source[key]
        self._has_changed = True

    def add_peer_records(
        self, records: Iterable[_crash_records.CrashRecord]
    ) -> list[_crash_records.CrashRecord]:
        """Add records from a daemon that can't write rows now.

        Returns
        -------
        list of CrashRecord
            The records that are new to this daemon.
        """
        known = self._merged_records()
        added = []
        for record in records:
            key = _crash_records.record_key(record)
            if key in known and _record_retention.covers(known[key], record):
                continue
            self._received_by_key[key] = record
            added.append(record)
        self._note_crashes(added)
        self._has_changed = True
        return added

    def get(self, key: str) -> _crash_records.CrashRecord | None:
        """Return the current record for a key, or None."""
        return self._merged_records().get(key)

    def add_crash(
        self,
        process: _target.ReplicaProcess,
        group: _ids.GroupName,
        runs: Iterable[_target_runs.Run],
        *,
        replicas: int,
    ) -> _crash_records.Crash:
        """Record which requests this daemon ran on a replica that crashed.

        Parameters
        ----------
        replicas : int
            Number of replicas in the group.
        """
        now = self._clock.monotonic()
        runs = list(runs)
        number_by_part: dict[_ids.Fingerprint, int] = {}
        suspects = [
            _crash_records.Suspect(
                run.fingerprint,
                _crash_records.attempt_tag(run.attempt),
                round(run.seconds(now), 3),
                _number_parts(run, number_by_part, now),
            )
            for run in itertools.islice(runs, _MAX_SUSPECTS_PER_RECORD)
        ]
        crash = _crash_records.Crash(
            start=_crash_records.incarnation_name(process),
            daemon=self._daemon,
            at=self._clock.now() - _time_since_loss(runs, now),
            group=group,
            replicas=replicas,
            suspects=suspects,
            parts=list(number_by_part),
            sound=[
                number
                for part, number in number_by_part.items()
                if self.is_answered(part)
            ],
        )
        self._add_own_records(crash)
        return crash

    def block(
        self, causes: Iterable[_cause_analysis.Cause]
    ) -> list[_crash_records.Block]:
        """Block what crashes replicas; see `CauseAnalysis.causes`."""
        blocks = []
        for cause in causes:
            first, *together = sorted(cause.members)
            blocks.append(
                _crash_records.Block(
                    fingerprint=first,
                    starts=sorted(self.analysis.incarnations_of(first)),
                    at=self._clock.now(),
                    group=cause.group,
                    together=together,
                )
            )
        self._add_own_records(*blocks)
        return blocks

    def blocks_in_force(self) -> list[_crash_records.Block]:
        """Return the blocks that are not released, newest first."""
        blocks = self.analysis.blocks.values()
        found = [block for block in blocks if not block.released]
        return sorted(found, key=lambda block: block.at, reverse=True)

    def release(
        self, fingerprint: _ids.Fingerprint
    ) -> _crash_records.Block | None:
        """Release what is blocked; return None if it is not."""
        block = self.analysis.block_with(fingerprint)
        if block is None:
            return None
        released = _crash_records.released_block(block, now=self._clock.now())
        self._add_own_records(released)
        return released

    def confirm(self, block: _crash_records.Block) -> _crash_records.Block:
        """Record that a trial of what is blocked has crashed a replica."""
        confirmed = _crash_records.confirmed_block(
            block, now=self._clock.now()
        )
        self._add_own_records(confirmed)
        return confirmed

    def last_crash_under(self, block: _crash_records.Block) -> float:
        """Return the monotonic seconds at which the last crash was learned.

        Only crashes count at which what is blocked was running.
        """
        starts = self.analysis.incarnations_explained_by(block)
        times = (self._learned_at.get(one, -math.inf) for one in starts)
        return max(times, default=-math.inf)

    def has_crashed_alone(
        self, run: _target_runs.Run, fingerprint: _ids.Fingerprint
    ) -> bool:
        """Return whether a run's replica crashed, and none beside it."""
        start = _crash_records.incarnation_name(_target.process_of(run.target))
        return start in self._learned_at and not self.analysis.is_shared(
            start, fingerprint
        )

    def handle_end(self, run: _target_runs.Run) -> bool:
        """Record how a run has ended.

        Returns
        -------
        bool
            Whether its answer clears it, or a part, of crashes that matter.
        """
        self._sound_parts.handle_end(run)
        if not run.is_success:
            return False
        before = self.analysis.crash_count_of(run.fingerprint)
        self._add_answered(run.fingerprint)
        if before:
            # Clears the crashes now, as answers are remembered for a minute.
            self._current_analysis()
        began_at = _sound_parts.output_began_at(run)
        if any(self._clears_part(part, began_at) for part in run.parts):
            self._has_changed = True
            return True
        return before >= _MIN_CRASHES_TO_CLEAR

    def _clears_part(self, part: _ids.Fingerprint, began_at: float) -> bool:
        """Return whether an answer clears a part of crashes that matter."""
        starts = self.analysis.incarnations_of(part)
        return len(starts) >= _MIN_CRASHES_TO_CLEAR and any(
            self._learned_at.get(start, math.inf) < began_at
            for start in starts
        )

    def confirm_survivors(self, running: Iterable[_target_runs.Run]) -> None:
        """Clear the parts of runs that their replicas have survived."""
        self._sound_parts.confirm(
            running,
            has_crashed=lambda process: (
                _crash_records.incarnation_name(process) in self._learned_at
            ),
        )
        self._has_changed = True

    def _add_answered(self, fingerprint: _ids.Fingerprint) -> None:
        """Record that a request got a complete answer.

        It takes effect at this daemon at once. Otherwise a request that a
        team sends all the time would be held back as a likely cause, as it is
        running at each crash.
        """
        self._answered_at[fingerprint] = self._clock.monotonic()
        self._answered_at.move_to_end(fingerprint)
        if len(self._answered_at) > _MAX_RECENT_ANSWERS:
            self._answered_at.popitem(last=False)
        if self.analysis.incarnations_of(fingerprint):
            self._analysis = None

    def is_answered(self, fingerprint: _ids.Fingerprint) -> bool:
        """Return whether this daemon has answered it lately."""
        if _fingerprint.is_part(fingerprint):
            return self._sound_parts.is_recent(fingerprint)
        at = self._answered_at.get(fingerprint, -math.inf)
        return at > self._clock.monotonic() - _RECENT_ANSWER_SECONDS

    def _clear_answered(
        self, records: Iterable[_crash_records.CrashRecord]
    ) -> None:
        """Discount crashes of requests that were answered here recently."""
        for record in records:
            if not isinstance(record, _crash_records.Crash):
                continue
            for suspect in record.suspects:
                if self.is_answered(suspect.fingerprint):
                    self._clear(suspect.fingerprint, record.start)
        self._limit_answered()

    def _clear_parts(
        self, records: Iterable[_crash_records.CrashRecord]
    ) -> None:
        """Discount crashes after which the output of an answer began."""
        crashes = [
            record
            for record in records
            if isinstance(record, _crash_records.Crash)
        ]
        starts_by_part: dict[
            _ids.Fingerprint, set[_crash_records.IncarnationName]
        ] = {}
        for crash in _crash_index.recent(crashes):
            for part in crash.parts:
                starts_by_part.setdefault(part, set()).add(crash.start)
        for part, starts in starts_by_part.items():
            if len(starts) < _MIN_CRASHES_TO_CLEAR:
                continue
            began_at = self._sound_parts.began_at(part)
            for start in starts:
                if self._learned_at[start] < began_at:
                    self._clear(part, start)
        self._limit_answered()

    def _limit_answered(self) -> None:
        while len(self._answered) > _MAX_ANSWERED:
            self._answered.popitem(last=False)

    def _clear(
        self,
        fingerprint: _ids.Fingerprint,
        incarnation: _crash_records.IncarnationName,
    ) -> None:
        previous = self._answered.get(fingerprint)
        cleared = set(previous.starts) if previous else set()
        if incarnation not in cleared:
            self._answered[fingerprint] = _crash_records.Answered(
                fingerprint=fingerprint,
                starts=sorted({*cleared, incarnation}),
                at=self._clock.now(),
                daemon=self._daemon,
            )
            self._answered.move_to_end(fingerprint)

    def add_clearances(
        self, *, publishes: Callable[[_ids.Fingerprint], bool]
    ) -> list[_crash_records.Answered]:
        """Add and return clearances of what others may block.

        These are the requests that one more crash would block at a daemon
        that has not answered them. Other clearances are not published, because
        most requests that ran during a crash are never repeated, and each
        row costs a call.

        Parameters
        ----------
        publishes : callable
            Returns whether this daemon publishes a clearance.
        """
        analysis = self._current_analysis()
        if not self._answered:
            return []
        count_by_fingerprint = self._published_crash_counts()
        found = [
            # The crashes that matter for a part are all recent.
            (
                record
                if _fingerprint.is_part(fingerprint)
                else self._merge_shared(record)
            )
            for fingerprint, record in self._answered.items()
            if count_by_fingerprint.get(fingerprint, 0) + 1
            >= analysis.min_crashes(fingerprint)
            and publishes(fingerprint)
        ]
        for record in found:
            del self._answered[record.fingerprint]
        self._add_own_records(*found)
        return found

    def _published_crash_counts(self) -> dict[_ids.Fingerprint, int]:
        """Count the crashes of what was answered here, as others know them."""
        starts_by_fingerprint: dict[
            _ids.Fingerprint, set[_crash_records.IncarnationName]
        ] = {}
        merged = self._merged_records()
        for record in merged.values():
            if not isinstance(record, _crash_records.Crash):
                continue
            present = {suspect.fingerprint for suspect in record.suspects}
            present.update(record.parts)
            for fingerprint in present & self._answered.keys():
                starts_by_fingerprint.setdefault(fingerprint, set()).add(
                    record.start
                )
        for record in merged.values():
            if isinstance(record, _crash_records.Answered):
                starts_by_fingerprint.get(
                    record.fingerprint, set()
                ).difference_update(record.starts)
        return {
            fingerprint: len(starts)
            for fingerprint, starts in starts_by_fingerprint.items()
        }

    def _merge_shared(
        self, record: _crash_records.Answered
    ) -> _crash_records.Answered:
        """Add the crashes that the daemon's row has cleared before."""
        previous = self._merged_records().get(
            _crash_records.record_key(record)
        )
        if not isinstance(previous, _crash_records.Answered):
            return record
        cleared = {*record.starts, *previous.starts}
        return msgspec.structs.replace(record, starts=sorted(cleared))

    def has_own_crash(self, fingerprint: _ids.Fingerprint) -> bool:
        """Return whether this daemon recorded a crash under a request."""
        return any(
            record.daemon == self._daemon and _has_suspect(record, fingerprint)
            for record in self._merged_records().values()
            if isinstance(record, _crash_records.Crash)
        )

    @property
    def has_records(self) -> bool:
        """Return whether there is any record."""
        return bool(
            self._shared_by_key or self._own_by_key or self._received_by_key
        )

    def evidence_of(
        self, fingerprint: _ids.Fingerprint
    ) -> dict[_crash_records.IncarnationName, set[_ids.DaemonId]]:
        """Return which daemons reported it at which crashes."""
        found: dict[_crash_records.IncarnationName, set[_ids.DaemonId]] = {}
        for record in self._merged_records().values():
            if isinstance(record, _crash_records.Crash) and _has_suspect(
                record, fingerprint
            ):
                found.setdefault(record.start, set()).add(record.daemon)
        return found

    def is_in_table(self, record: _crash_records.CrashRecord) -> bool:
        """Return whether the table contains the information of a record."""
        shared = self._shared_by_key.get(_crash_records.record_key(record))
        return shared is not None and _record_retention.covers(shared, record)

    def record_counts(self) -> RecordCounts:
        """Return how many records this daemon has, by their source."""
        return RecordCounts(
            own=len(self._own_by_key),
            received=len(self._received_by_key),
            shared=len(self._shared_by_key),
        )

    def unshared_records(self) -> list[_crash_records.CrashRecord]:
        """Return the records that are not in the table, blocks last."""
        found = {**self._received_by_key, **self._own_by_key}
        return sorted(
            found.values(),
            key=lambda record: isinstance(record, _crash_records.Block),
        )

    def has_unshared_crash(self, fingerprint: _ids.Fingerprint) -> bool:
        """Return whether a crash under a request is not in the table yet."""
        return any(
            isinstance(record, _crash_records.Crash)
            and _has_suspect(record, fingerprint)
            for source in (self._own_by_key, self._received_by_key)
            for record in source.values()
        )

    def obsolete_keys(self) -> list[str]:
        """Return the keys of rows that are expired or over the limits."""
        retained = _record_retention.retained(
            self._shared_by_key, self._clock.now()
        )
        return [key for key in self._shared_by_key if key not in retained]

    def _add_own_records(self, *records: _crash_records.CrashRecord) -> None:
        for record in records:
            self._own_by_key[_crash_records.record_key(record)] = record
        self._note_crashes(records)
        self._analysis = None

    def _merged_records(self) -> _record_retention.RecordByKey:
        found = dict(self._shared_by_key)
        for source in (self._received_by_key, self._own_by_key):
            for key, record in source.items():
                if key not in found or not _record_retention.covers(
                    found[key], record
                ):
                    found[key] = record
        return found


def _time_since_loss(
    runs: Iterable[_target_runs.Run], now: float
) -> datetime.timedelta:
    """Return how long ago the connections of runs were lost.

    A daemon may notice a crash only when the replica's entry expires, seconds
    after others. What ended together must have the same time everywhere.
    """
    ends = _target_runs.RunEnd
    lost = [
        run.ended_at
        for run in runs
        if run.end in (ends.LOST, ends.UNDELIMITED)
    ]
    return datetime.timedelta(seconds=now - max(lost, default=now))


def _number_parts(
    run: _target_runs.Run,
    number_by_part: dict[_ids.Fingerprint, int],
    now: float,
) -> list[int]:
    """Return the numbers of a run's parts, and number those that are new.

    A run whose output began long before the crash has not caused it.
    """
    ended_at = now if run.end is None else run.ended_at
    if ended_at - run.wrote_at > _sound_parts.SURVIVAL_SECONDS:
        return []
    numbers = []
    for part in run.parts:
        if len(number_by_part) < _MAX_PARTS_PER_RECORD:
            number_by_part.setdefault(part, len(number_by_part))
        if part in number_by_part:
            numbers.append(number_by_part[part])
    return numbers


def _has_suspect(
    record: _crash_records.Crash, fingerprint: _ids.Fingerprint
) -> bool:
    if _fingerprint.is_part(fingerprint):
        return fingerprint in record.parts
    return any(
        suspect.fingerprint == fingerprint for suspect in record.suspects
    )
