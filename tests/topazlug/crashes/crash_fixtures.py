"""Crash records for tests."""

import datetime

from topazlug import _ids
from topazlug.crashes import _crash_records

GROUP = _ids.GroupName("engines")
NOW = datetime.datetime(2026, 1, 1, tzinfo=datetime.timezone.utc)


def fingerprint_of(number):
    """Return a fingerprint."""
    return _ids.Fingerprint(f"{number:024x}")


def later(seconds):
    """Return a time after `NOW`."""
    return NOW + datetime.timedelta(seconds=seconds)


def crash(start, *suspects, daemon="d1", at=NOW, seconds=0.1, replicas=5):
    """Return the record of a crash; a suspect is (fingerprint, attempt)."""
    return _crash_records.Crash(
        start=_crash_records.IncarnationName(start),
        daemon=_ids.DaemonId(daemon),
        at=at,
        group=GROUP,
        replicas=replicas,
        suspects=[
            _crash_records.Suspect(
                _ids.Fingerprint(fingerprint),
                _crash_records.AttemptTag(attempt),
                seconds,
            )
            for fingerprint, attempt in suspects
        ],
    )


def part_crash(start, *suspects, at=NOW, seconds=0.1, replicas=8, sound=()):
    """Return the record of a crash; a suspect is a request and its parts."""
    parts = sorted({part for _, *parts in suspects for part in parts})
    return _crash_records.Crash(
        start=_crash_records.IncarnationName(start),
        daemon=_ids.DaemonId("d1"),
        at=at,
        group=GROUP,
        replicas=replicas,
        suspects=[
            _crash_records.Suspect(
                _ids.Fingerprint(name),
                _crash_records.AttemptTag(f"{start}-{name}"),
                seconds,
                [parts.index(part) for part in own],
            )
            for name, *own in suspects
        ],
        parts=[_ids.Fingerprint(part) for part in parts],
        sound=[parts.index(part) for part in sound],
    )


def answered(fingerprint, *starts, at=NOW):
    """Return a record that clears a request of crashes."""
    return _crash_records.Answered(
        fingerprint=_ids.Fingerprint(fingerprint),
        starts=[_crash_records.IncarnationName(start) for start in starts],
        at=at,
    )


def block(fingerprint, *starts, at=NOW, released=False, together=()):
    """Return a record that blocks a request or parts."""
    return _crash_records.Block(
        fingerprint=_ids.Fingerprint(fingerprint),
        starts=[_crash_records.IncarnationName(start) for start in starts],
        at=at,
        group=GROUP,
        released=released,
        together=list(together),
    )
