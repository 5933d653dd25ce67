"""Rows of the table of claims: their keys and values."""

import datetime
import enum
import hashlib
from typing import Any
from typing import Final
from typing import NewType
from typing import final
from urllib import parse

import msgspec

from topazlug import _ids

TABLE: Final = "claims"

AttemptId = NewType("AttemptId", str)


class ClaimState(enum.Enum):
    """How far the attempt that holds a claim has come.

    Attributes
    ----------
    CLAIMED
        It may be sending, may have sent, or may have died: unknown.
    FINISHED
        It ran, and the row says with what answer.
    RELEASED
        It sent nothing and never will: the key is free.
    """

    CLAIMED = "claimed"
    FINISHED = "finished"
    RELEASED = "released"


class AnswerLocation(enum.Enum):
    """Where the body of a finished request's answer is kept."""

    ROW = "row"
    OBJECT = "object"
    NOWHERE = "nowhere"


@final
class AnswerRow(msgspec.Struct, frozen=True, kw_only=True):
    """The answer of a finished request.

    Attributes
    ----------
    status : int
        HTTP status code.
    headers : list of (str, str)
        In the order of the answer.
    place : AnswerLocation
        Where the body is.
    body : bytes
        The body if it is in the row, base64 in JSON; else empty.
    """

    status: int
    headers: list[tuple[str, str]]
    place: AnswerLocation
    body: bytes = b""


@final
class ClaimRow(msgspec.Struct, frozen=True, kw_only=True):
    """Value of one row.

    Attributes
    ----------
    attempt : AttemptId
        The attempt that wrote the row last.
    daemon : DaemonId
        The daemon that made the attempt.
    fingerprint : str
        Tells requests under one key apart.
    state : ClaimState
        How far the attempt has come.
    claimed_at, expires : datetime
        UTC; after `expires` the attempt sends nothing any more, and the
        row may be deleted.
    answer : AnswerRow or None
        Set in the state `FINISHED`.
    """

    attempt: AttemptId
    daemon: _ids.DaemonId
    fingerprint: str
    state: ClaimState
    claimed_at: datetime.datetime
    expires: datetime.datetime
    answer: AnswerRow | None = None


def row_key(*, team: _ids.TeamName, service: str, key: str) -> str:
    """Name the row of a caller's ``Idempotency-Key``.

    Team and service are quoted. With plain names, team ``a/b`` with service
    ``c`` and team ``a`` with service ``b/c`` would share rows: one team
    would be given the other's answer.
    """
    digest = hashlib.sha256(key.encode()).hexdigest()
    quoted_team = parse.quote(team, safe="")
    quoted_service = parse.quote(service, safe="")
    return f"{quoted_team}/{quoted_service}/{digest}"


def fingerprint(*, method: str, path: str, body: bytes) -> str:
    """Digest what makes two requests the same: method, path and body.

    Each part is hashed by itself first, so that no bytes can move from
    one part to the next unseen.
    """
    parts = (method.encode(), path.encode(), body)
    digests = [hashlib.sha256(part).digest() for part in parts]
    return hashlib.sha256(b"".join(digests)).hexdigest()


def row_value(row: ClaimRow) -> dict[str, Any]:
    """Give the JSON object to write."""
    return msgspec.to_builtins(row)


def parse_row(value: dict[str, Any] | None) -> ClaimRow | None:
    """Read a JSON object; None if it is no claim that this version knows."""
    try:
        return msgspec.convert(value, ClaimRow)
    except msgspec.ValidationError:
        return None
