"""Which crash records are kept, and which of two with one key holds."""

import collections
from collections.abc import Mapping
import datetime
import functools

from topazlug.crashes import _crash_records

# Only the newest records are retained, which bounds rows and memory. A replica
# that runs 64 requests adds as many suspects when it crashes.
MAX_CRASHES = 512
MAX_SUSPECTS = 2048
MAX_BLOCKS = 256
# Several daemons may clear one suspect.
MAX_ANSWERED = 512

_MAX_BY_KIND = {
    _crash_records.Crash: MAX_CRASHES,
    _crash_records.Answered: MAX_ANSWERED,
    _crash_records.Block: MAX_BLOCKS,
}

RecordByKey = dict[str, _crash_records.CrashRecord]


@functools.singledispatch
def covers(
    shared: _crash_records.CrashRecord, record: _crash_records.CrashRecord
) -> bool:
    """Return whether a row covers a record with the same key."""
    return True


@covers.register
def _block_covers(
    shared: _crash_records.Block, record: _crash_records.Block
) -> bool:
    # Two daemons may block the same request; one row is enough. A record is
    # not covered if an operator has released the request since, or if the
    # request has crashed replicas again. Of two blocks of a part, the one that
    # takes fewer other parts holds, and of these the one with more trials.
    if shared.released != record.released:
        return shared.at >= record.at
    if set(shared.together) == set(record.together):
        return shared.trials >= record.trials
    return set(shared.together) <= set(record.together)


@covers.register
def _answered_covers(
    shared: _crash_records.Answered, record: _crash_records.Answered
) -> bool:
    return set(record.starts) <= set(shared.starts)


def retained(
    record_by_key: Mapping[str, _crash_records.CrashRecord],
    now: datetime.datetime,
) -> RecordByKey:
    """Return the newest records that are not expired, within the limits."""
    newest = sorted(
        record_by_key.items(), key=lambda item: item[1].at, reverse=True
    )
    kept: RecordByKey = {}
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
        kept[key] = record
    return kept
