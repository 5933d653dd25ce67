"""Records of the software versions that groups have had lately.

They are rows of a table that all daemons follow. A daemon that starts after
all others have ended learns from them which versions streams may have begun
at, although its list of replicas shows only those that are left.
"""

from collections.abc import Mapping
from typing import final

import msgspec

from topazlug import _ids
from topazlug.routing import _ranking

_PREFIX = "version/"


@final
class VersionRecord(msgspec.Struct, frozen=True, kw_only=True):
    """A version that a group has, or has had lately.

    Attributes
    ----------
    group : GroupName
        The group.
    version : SoftwareVersion
        Version of the software of some of its replicas.
    number : int
        Higher than those of the versions that were recorded before.
    """

    group: _ids.GroupName
    version: _ids.SoftwareVersion
    number: int


_DECODER = msgspec.json.Decoder(VersionRecord)


def record_key(record: VersionRecord) -> str:
    """Return the key of a record's row."""
    name = _ranking.chat_hash("version", record.group, record.version)
    return f"{_PREFIX}{name:016x}"


def encode(record: VersionRecord) -> bytes:
    """Return the data of a record's row."""
    return msgspec.json.encode(record)


def decode(key: str, data: bytes) -> VersionRecord:
    """Return the record in a row.

    Raises
    ------
    ValueError
        The data is not a record, or the key is not that of the record.
    """
    record = _DECODER.decode(data)
    if record_key(record) != key:
        raise ValueError(
            f"the record of {record_key(record)!r} is stored at {key!r}"
        )
    return record


def split_rows(
    data_by_key: Mapping[str, bytes],
) -> tuple[dict[str, bytes], dict[str, bytes]]:
    """Return the rows with records of versions, and the other rows."""
    records: dict[str, bytes] = {}
    others: dict[str, bytes] = {}
    for key, data in data_by_key.items():
        found = records if key.startswith(_PREFIX) else others
        found[key] = data
    return records, others
