"""The crash records that a daemon has, its own and those of others."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import datetime
import functools
import math
from typing import NamedTuple
from typing import final

import msgspec

from topazlug import _clock
from topazlug import _ids
from topazlug.crashes import _cause_analysis
from topazlug.crashes import _crash_records
from topazlug.targets import _target
from topazlug.targets import _target_runs

# Only the newest records are retained, which bounds rows and memory. A replica
# that runs 64 requests adds as many suspects when it crashes.
MAX_CRASHES = 512
MAX_SUSPECTS = 2048
# Bounds the blocked requests, and separately the suspected requests that were
# answered.
MAX_BLOCKS = 256
_MAX_SUSPECTS_PER_RECORD = 64
# Requests answered by this daemon although a crash counts against them.
_MAX_ANSWERED = 1024
# A request that was answered this recently is no cause, whichever crashes are
# reported afterwards. 4,096 entries take 0.6 MB; a daemon that answers 34
# requests a second fills them in two minutes.
_RECENT_ANSWER_SECONDS = 60.0
_MAX_RECENT_ANSWERS = 4096

_MAX_BY_KIND = {
    _crash_records.Crash: MAX_CRASHES,
    _crash_records.Answered: MAX_BLOCKS,
    _crash_records.Block: MAX_BLOCKS,
}

RecordByKey = dict[str, _crash_records.CrashRecord]


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
        self._shared_by_key: RecordByKey = {}
        self._own_by_key: RecordByKey = {}
        self._received_by_key: RecordByKey = {}
        self._answered_at: collections.OrderedDict[_ids.Fingerprint, float] = (
            collections.OrderedDict()
        )
        # Clearances of suspects that this daemon has answered and not yet
        # published.
        self._answered: collections.OrderedDict[
            _ids.Fingerprint, _crash_records.Answered
        ] = collections.OrderedDict()
        self._analysis: _cause_analysis.CauseAnalysis | None = None

    @property
    def analysis(self) -> _cause_analysis.CauseAnalysis:
        """Return the analysis of all records that this daemon has."""
        return self._current_analysis()

    def _current_analysis(self) -> _cause_analysis.CauseAnalysis:
        """Return the analysis, rebuilt if records have changed."""
        if self._analysis is None:
            self._analysis = self._analyze()
        return self._analysis

    def _analyze(self) -> _cause_analysis.CauseAnalysis:
        retained = _retained(self._merged_records(), self._clock.now())
        self._own_by_key = {
            k: v for k, v in self._own_by_key.items() if k in retained
        }
        self._received_by_key = {
            k: v for k, v in self._received_by_key.items() if k in retained
        }
        self._clear_answered(retained.values())
        return _cause_analysis.CauseAnalysis(
            [*retained.values(), *self._answered.values()]
        )

    def set_shared_records(
        self, records: Iterable[_crash_records.CrashRecord]
    ) -> None:
        """Replace the records that are in the table."""
        self._shared_by_key = {
            _crash_records.record_key(record): record for record in records
        }
        for source in (self._own_by_key, self._received_by_key):
            for key in [
                key for key in source if self.is_in_table(source[key])
            ]:
                del source[key]
        self._analysis = None

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
            if key in known and _covers(known[key], record):
                continue
            self._received_by_key[key] = record
            added.append(record)
        self._analysis = None
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
        suspects = [
            _crash_records.Suspect(
                run.fingerprint,
                _crash_records.attempt_tag(run.attempt),
                round(run.seconds(now), 3),
            )
            for run in runs
        ]
        crash = _crash_records.Crash(
            start=_crash_records.incarnation_name(process),
            daemon=self._daemon,
            at=self._clock.now(),
            group=group,
            replicas=replicas,
            suspects=suspects[:_MAX_SUSPECTS_PER_RECORD],
        )
        self._add_own_records(crash)
        return crash

    def block(
        self, causes: Mapping[_ids.Fingerprint, _ids.GroupName]
    ) -> list[_crash_records.Block]:
        """Block requests that crash replicas; see `CauseAnalysis.causes`."""
        blocks = [
            _crash_records.Block(
                fingerprint=fingerprint,
                starts=sorted(self.analysis.incarnations_of(fingerprint)),
                at=self._clock.now(),
                group=group,
            )
            for fingerprint, group in causes.items()
        ]
        self._add_own_records(*blocks)
        return blocks

    def release(
        self, fingerprint: _ids.Fingerprint
    ) -> _crash_records.Block | None:
        """Release a blocked request; return None if it is not blocked."""
        if not self.analysis.is_blocked(fingerprint):
            return None
        released = _crash_records.released_block(
            self.analysis.blocks[fingerprint], now=self._clock.now()
        )
        self._add_own_records(released)
        return released

    def add_answered(self, fingerprint: _ids.Fingerprint) -> None:
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
        """Return whether this daemon has answered a request lately."""
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
            )

    def add_clearances(self) -> list[_crash_records.Answered]:
        """Add and return clearances of requests that others may block.

        These are the requests that one more crash would block at a daemon
        that has not answered them. Other clearances are not published, because
        most requests that ran during a crash are never repeated, and each
        row costs a call.
        """
        self._current_analysis()
        if not self._answered:
            return []
        known = _cause_analysis.CauseAnalysis(self._merged_records().values())
        found = [
            self._merge_shared(record)
            for fingerprint, record in self._answered.items()
            if known.crash_count_of(fingerprint) + 1
            >= _cause_analysis.MIN_CRASHES
        ]
        for record in found:
            del self._answered[record.fingerprint]
        self._add_own_records(*found)
        return found

    def _merge_shared(
        self, record: _crash_records.Answered
    ) -> _crash_records.Answered:
        """Add the crashes that others have cleared, which share the row."""
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
            record.daemon == self._daemon
            and any(
                suspect.fingerprint == fingerprint
                for suspect in record.suspects
            )
            for record in self._merged_records().values()
            if isinstance(record, _crash_records.Crash)
        )

    def is_in_table(self, record: _crash_records.CrashRecord) -> bool:
        """Return whether the table contains the information of a record."""
        shared = self._shared_by_key.get(_crash_records.record_key(record))
        return shared is not None and _covers(shared, record)

    def record_counts(self) -> RecordCounts:
        """Return how many records this daemon has, by their source."""
        return RecordCounts(
            own=len(self._own_by_key),
            received=len(self._received_by_key),
            shared=len(self._shared_by_key),
        )

    def has_unshared_crash(self, fingerprint: _ids.Fingerprint) -> bool:
        """Return whether a crash under a request is not in the table yet."""
        return any(
            suspect.fingerprint == fingerprint
            for source in (self._own_by_key, self._received_by_key)
            for record in source.values()
            if isinstance(record, _crash_records.Crash)
            for suspect in record.suspects
        )

    def obsolete_keys(self) -> list[str]:
        """Return the keys of rows that are expired or over the limits."""
        retained = _retained(self._shared_by_key, self._clock.now())
        return [key for key in self._shared_by_key if key not in retained]

    def _add_own_records(self, *records: _crash_records.CrashRecord) -> None:
        for record in records:
            self._own_by_key[_crash_records.record_key(record)] = record
        self._analysis = None

    def _merged_records(self) -> RecordByKey:
        found = dict(self._shared_by_key)
        for source in (self._received_by_key, self._own_by_key):
            for key, record in source.items():
                if key not in found or not _covers(found[key], record):
                    found[key] = record
        return found


@functools.singledispatch
def _covers(
    shared: _crash_records.CrashRecord, record: _crash_records.CrashRecord
) -> bool:
    """Return whether a row covers a record with the same key."""
    return True


@_covers.register
def _block_covers(
    shared: _crash_records.Block, record: _crash_records.Block
) -> bool:
    # Two daemons may block the same request; one row is enough. A record is
    # not covered if an operator has released the request since, or if the
    # request has crashed replicas again.
    is_same = shared.released == record.released
    return is_same or shared.at >= record.at


@_covers.register
def _answered_covers(
    shared: _crash_records.Answered, record: _crash_records.Answered
) -> bool:
    return set(record.starts) <= set(shared.starts)


def _retained(
    record_by_key: Mapping[str, _crash_records.CrashRecord],
    now: datetime.datetime,
) -> RecordByKey:
    """Return the newest records that are not expired, within the limits."""
    newest = sorted(
        record_by_key.items(), key=lambda item: item[1].at, reverse=True
    )
    retained: RecordByKey = {}
    count_by_kind: collections.Counter[type] = collections.Counter()
    suspects = 0
    for key, record in newest:
        if now - record.at >= _crash_records.RETENTION:
            continue
        kind = type(record)
        count_by_kind[kind] += 1
        if isinstance(record, _crash_records.Crash):
            suspects += len(record.suspects)
        if count_by_kind[kind] > _MAX_BY_KIND[kind]:
            continue
        if (
            isinstance(record, _crash_records.Crash)
            and suspects > MAX_SUSPECTS
        ):
            continue
        retained[key] = record
    return retained
