"""Records of replica crashes that daemons share as rows of a table.

Each daemon writes rows of its own on the crashes that it noticed and on what
it has answered since. Only the row that blocks a fingerprint may be written by
several. So no two daemons have to agree on a row.
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
# A block and the crashes that led to it expire after a day. A request that
# is still being sent is then tried again.
RETENTION = datetime.timedelta(days=1)
_CRASH_PREFIX = "crash/"
_ANSWERED_PREFIX = "answered/"
_BLOCK_PREFIX = "block/"

IncarnationName = NewType("IncarnationName", str)
# Distinguishes the attempts of callers.
AttemptTag = NewType("AttemptTag", str)


def incarnation_name(process: _target.ReplicaProcess) -> IncarnationName:
    """Return the name of a replica's incarnation in rows."""
    return IncarnationName(f"{process.replica}@{process.incarnation}")


def attempt_tag(attempt: str) -> AttemptTag:
    """Return a short name of a caller's attempt."""
    return AttemptTag(xxhash.xxh3_64_hexdigest(attempt.encode())[:8])


@final
class Suspect(msgspec.Struct, frozen=True, array_like=True):
    """A request that ran on a replica when the replica crashed.

    Attributes
    ----------
    fingerprint : Fingerprint
        The request.
    attempt : AttemptTag
        The caller's attempt.
    seconds : float
        How long it had been running on the replica.
    parts : list of int
        Positions in `Crash.parts` of the prompt parts that it may share with
        others. Empty if its output had begun long before the crash, so that
        none of them was the cause.
    """

    fingerprint: _ids.Fingerprint
    attempt: AttemptTag
    seconds: float
    parts: list[int] = []


@final
class Crash(msgspec.Struct, frozen=True, kw_only=True, tag="crash"):
    """A crash of a replica, with the requests that one daemon ran on it.

    Attributes
    ----------
    start : IncarnationName
        The incarnation of the replica that crashed.
    daemon : DaemonId
        The daemon that sent the requests.
    at : datetime
        When the record was written, by that daemon's clock.
    group : GroupName
        Pool or service of the replica.
    replicas : int
        Number of replicas in the group.
    suspects : list of Suspect
        The daemon's requests on the replica.
    parts : list of Fingerprint
        Prompt parts of these requests.
    sound : list of int
        Positions of those with which the daemon had lately answered other
        requests.
    """

    start: IncarnationName
    daemon: _ids.DaemonId
    at: datetime.datetime
    group: _ids.GroupName
    replicas: int
    suspects: list[Suspect]
    parts: list[_ids.Fingerprint] = []
    sound: list[int] = []


@final
class Answered(msgspec.Struct, frozen=True, kw_only=True, tag="answered"):
    """A suspected request got a complete answer, so it crashes no replica.

    Attributes
    ----------
    fingerprint : Fingerprint
        The request, or a prompt part with which a request was answered.
    starts : list of IncarnationName
        Incarnations that crashed before the answer. These crashes no longer
        count against the request.
    at : datetime
        When the record was written.
    daemon : DaemonId
        The daemon that answered; empty in records of former versions, which
        all daemons wrote to one row.
    """

    fingerprint: _ids.Fingerprint
    starts: list[IncarnationName]
    at: datetime.datetime
    daemon: _ids.DaemonId = _ids.DaemonId("")


@final
class Block(msgspec.Struct, frozen=True, kw_only=True, tag="block"):
    """A request or prompt part that crashes the replicas that run it.

    Attributes
    ----------
    fingerprint : Fingerprint
        The request or part.
    starts : list of IncarnationName
        Incarnations that the request crashed.
    at : datetime
        When the record was written.
    group : GroupName
        Pool or service of the replicas.
    released : bool
        Whether an operator has unblocked the request. Its earlier crashes
        remain explained, so blocking it again takes as many new ones.
    together : list of Fingerprint
        Parts that were in the same prompt at each of the crashes. Only
        prompts with all of them are rejected.
    trials : int
        Requests that were let through since and crashed their replicas.
    """

    fingerprint: _ids.Fingerprint
    starts: list[IncarnationName]
    at: datetime.datetime
    group: _ids.GroupName
    released: bool = False
    together: list[_ids.Fingerprint] = []
    trials: int = 0

    @property
    def members(self) -> frozenset[_ids.Fingerprint]:
        """Return everything that a rejected request contains."""
        return frozenset((self.fingerprint, *self.together))


CrashRecord = Crash | Answered | Block
_DECODER = msgspec.json.Decoder(CrashRecord)


@functools.singledispatch
def record_key(record: CrashRecord) -> str:
    """Return the key of a record's row.

    Raises
    ------
    TypeError
        The argument is not a crash record.
    """
    raise TypeError(f"{type(record).__name__} is not a crash record")


@record_key.register
def _key_of_crash(record: Crash) -> str:
    return f"{_CRASH_PREFIX}{record.start}/{record.daemon}"


@record_key.register
def _key_of_answered(record: Answered) -> str:
    name = f"{_ANSWERED_PREFIX}{record.fingerprint}"
    return f"{name}/{record.daemon}" if record.daemon else name


@record_key.register
def _key_of_block(record: Block) -> str:
    return f"{_BLOCK_PREFIX}{record.fingerprint}"


def released_block(block: Block, *, now: datetime.datetime) -> Block:
    """Return a copy of a block that is released.

    Its time is later than that of the block even if the clock of the daemon
    that releases it is behind.
    """
    later = block.at + datetime.timedelta(milliseconds=1)
    return msgspec.structs.replace(block, at=max(now, later), released=True)


def confirmed_block(block: Block, *, now: datetime.datetime) -> Block:
    """Return a copy of a block of which one more trial has failed."""
    later = block.at + datetime.timedelta(milliseconds=1)
    return msgspec.structs.replace(
        block, at=max(now, later), trials=block.trials + 1
    )


def encode(record: CrashRecord) -> bytes:
    """Return the data of a record's row."""
    return msgspec.json.encode(record)


def decode(key: str, data: bytes) -> CrashRecord:
    """Return the record in a row.

    Raises
    ------
    ValueError
        The data is not a crash record, or the key is not that of the record.
    """
    record = _DECODER.decode(data)
    if record_key(record) != key:
        raise ValueError(
            f"the record of {record_key(record)!r} is stored at {key!r}"
        )
    if record.at.tzinfo is None:
        raise ValueError(f"timestamp {record.at} has no time zone")
    if isinstance(record, Crash) and any(
        not 0 <= number < len(record.parts)
        for numbers in (
            record.sound,
            *(suspect.parts for suspect in record.suspects),
        )
        for number in numbers
    ):
        raise ValueError("a number stands for no part that is listed")
    return record
