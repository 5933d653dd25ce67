"""Keys and values of rows of the claims table."""

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
    """State of the attempt that holds a claim.

    Attributes
    ----------
    CLAIMED
        Unknown: it may be sending, may have sent, or may have failed.
    FINISHED
        It ran, and the row has its answer.
    RELEASED
        It sent nothing and never will, so the key is free.
    """

    CLAIMED = "claimed"
    FINISHED = "finished"
    RELEASED = "released"


class AnswerLocation(enum.Enum):
    """Where the body of a finished request's answer is stored."""

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
        Where the body is stored.
    body : bytes
        The body if it is stored in the row, base64 in JSON; otherwise empty.
    """

    status: int
    headers: list[tuple[str, str]]
    place: AnswerLocation
    body: bytes = b""


@final
class ClaimRow(msgspec.Struct, frozen=True, kw_only=True):
    """The value of a row.

    Attributes
    ----------
    attempt : AttemptId
        The attempt that wrote the row last.
    daemon : DaemonId
        The daemon that made the attempt.
    fingerprint : str
        Distinguishes requests with the same key.
    state : ClaimState
        State of the attempt.
    claimed_at, expires : datetime
        UTC; after `expires` the attempt must not send, and the row may be
        deleted.
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
    """Return the key of the row for a caller's ``Idempotency-Key``.

    Team and service are quoted. Otherwise team ``a/b`` with service ``c`` and
    team ``a`` with service ``b/c`` would share rows, and one team would
    receive the other's answers.
    """
    digest = hashlib.sha256(key.encode()).hexdigest()
    quoted_team = parse.quote(team, safe="")
    quoted_service = parse.quote(service, safe="")
    return f"{quoted_team}/{quoted_service}/{digest}"


def fingerprint(*, method: str, path: str, body: bytes) -> str:
    """Return a digest of a request's method, path and body.

    Each part is hashed separately first, so that moving bytes from one part
    to the next changes the digest.
    """
    parts = (method.encode(), path.encode(), body)
    digests = [hashlib.sha256(part).digest() for part in parts]
    return hashlib.sha256(b"".join(digests)).hexdigest()


def row_value(row: ClaimRow) -> dict[str, Any]:
    """Return the JSON object of a row."""
    return msgspec.to_builtins(row)


def parse_row(value: dict[str, Any] | None) -> ClaimRow | None:
    """Return the row of a JSON object; None if its format is unknown."""
    try:
        return msgspec.convert(value, ClaimRow)
    except msgspec.ValidationError:
        return None
