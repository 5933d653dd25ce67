"""What daemons tell each other of replicas that crashed, as rows of a table.

Each row is written by one daemon and never changed, but for what is said of
one fingerprint as a whole: that its requests are blocked, or that one of them
was answered. So no two daemons have to agree on a row.
"""

import datetime
import functools
from typing import NewType
from typing import final

import msgspec
import xxhash

from topazlug import _ids
from topazlug.targets import _target

TABLE = "crashes"
# A block ends after a day, and so does what led to it. The request is then
# tried once more on each day on which it still comes.
RETENTION = datetime.timedelta(days=1)
_CRASH_PREFIX = "crash/"
_ANSWERED_PREFIX = "answered/"
_BLOCK_PREFIX = "block/"

IncarnationName = NewType("IncarnationName", str)
# Tells apart the attempts of callers.
AttemptTag = NewType("AttemptTag", str)


def incarnation_name(incarnation: _target.Start) -> IncarnationName:
    """Give a start of a replica its name in rows."""
    return IncarnationName(f"{incarnation.replica}@{incarnation.incarnation}")


def attempt_tag(attempt: str) -> AttemptTag:
    """Give a short name of a caller's attempt."""
    return AttemptTag(xxhash.xxh3_64_hexdigest(attempt.encode())[:8])


@final
class Suspect(msgspec.Struct, frozen=True, array_like=True):
    """A request that ran on a replica when that crashed.

    Attributes
    ----------
    fingerprint : Fingerprint
        The request.
    attempt : AttemptTag
        The attempt of its caller.
    seconds : float
        How long it had been there.
    """

    fingerprint: _ids.Fingerprint
    attempt: AttemptTag
    seconds: float


@final
class Crash(msgspec.Struct, frozen=True, kw_only=True, tag="crash"):
    """A replica has crashed; what one daemon had running there.

    Attributes
    ----------
    start : IncarnationName
        Which start of which replica.
    daemon : DaemonId
        Whose requests these are.
    at : datetime
        When it was written, by that daemon's clock.
    group : GroupName
        Pool or service of the replica.
    replicas : int
        How many replicas the group had.
    suspects : list of Suspect
        The daemon's requests there.
    """

    start: IncarnationName
    daemon: _ids.DaemonId
    at: datetime.datetime
    group: _ids.GroupName
    replicas: int
    suspects: list[Suspect]


@final
class Answered(msgspec.Struct, frozen=True, kw_only=True, tag="answered"):
    """A suspected request was answered whole: it ends no replica.

    Attributes
    ----------
    fingerprint : Fingerprint
        The request.
    starts : list of IncarnationName
        Crashes before its answer, which are no evidence against it.
    at : datetime
        When it was written.
    """

    fingerprint: _ids.Fingerprint
    starts: list[IncarnationName]
    at: datetime.datetime


@final
class Block(msgspec.Struct, frozen=True, kw_only=True, tag="block"):
    """A request that crashes the replicas that run it.

    Attributes
    ----------
    fingerprint : Fingerprint
        The request.
    starts : list of IncarnationName
        Crashes that it is the cause of.
    at : datetime
        When it was written.
    group : GroupName
        Pool or service of the replicas.
    released : bool
        Whether an operator lets it run again. Its crashes stay explained, so
        that it takes as many new ones to block it once more.
    """

    fingerprint: _ids.Fingerprint
    starts: list[IncarnationName]
    at: datetime.datetime
    group: _ids.GroupName
    released: bool = False


CrashRecord = Crash | Answered | Block
_DECODER = msgspec.json.Decoder(CrashRecord)


@functools.singledispatch
def record_key(record: CrashRecord) -> str:
    """Give the key of a note's row.

    Raises
    ------
    TypeError
        It is no note.
    """
    raise TypeError(f"{type(record).__name__} is no note of a crash")


@record_key.register
def _key_of_crash(record: Crash) -> str:
    return f"{_CRASH_PREFIX}{record.start}/{record.daemon}"


@record_key.register
def _key_of_answered(record: Answered) -> str:
    return f"{_ANSWERED_PREFIX}{record.fingerprint}"


@record_key.register
def _key_of_block(record: Block) -> str:
    return f"{_BLOCK_PREFIX}{record.fingerprint}"


def released_block(block: Block, *, now: datetime.datetime) -> Block:
    """Give a block that lets its request run again, later than the block.

    The clock of whoever releases it may be behind.
    """
    later = block.at + datetime.timedelta(milliseconds=1)
    return msgspec.structs.replace(block, at=max(now, later), released=True)


def encode(record: CrashRecord) -> bytes:
    """Give the data of a note's row."""
    return msgspec.json.encode(record)


def decode(key: str, data: bytes) -> CrashRecord:
    """Read a row; one whose key is not its note's is refused.

    Raises
    ------
    ValueError
        The row is no note.
    """
    record = _DECODER.decode(data)
    if record_key(record) != key:
        raise ValueError(
            f"the note of {record_key(record)!r} stands at {key!r}"
        )
    if record.at.tzinfo is None:
        raise ValueError(f"{record.at} has no time zone")
    return record
