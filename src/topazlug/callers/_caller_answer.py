"""What a caller gets: an answer, or an error of one shape."""

from collections.abc import Iterator
from http import HTTPStatus
import math

import msgspec

from topazlug import _errors
from topazlug import _ids

OUTCOME = "Topazlug-Outcome"
_JSON_CONTENT_TYPE = ("Content-Type", "application/json")


class CallerAnswer(msgspec.Struct):
    """An answer on its way to a caller.

    Attributes
    ----------
    body : iterator of bytes
        Pieces; an exception in it cuts the connection without the
        terminating chunk, so a torn answer never looks whole.
    """

    status: int
    headers: list[tuple[str, str]]
    body: Iterator[bytes]


def prime(pieces: Iterator[bytes]) -> Iterator[bytes]:
    """Run a generator up to its first piece, which must be empty.

    Closing a generator that was never started skips its ``finally``. An
    answer that fails before its first byte would then keep its place on the
    replica, and the replica would look fuller with each.
    """
    next(pieces)
    return pieces


def status_line(status: int) -> str:
    """Give the status line; a target may use a status nobody knows."""
    try:
        phrase = HTTPStatus(status).phrase
    except ValueError:
        phrase = "Unknown"
    return f"{status} {phrase}"


class _ErrorBody(msgspec.Struct):
    message: str
    type: str
    code: str
    request_id: str


class _ErrorDocument(msgspec.Struct):
    error: _ErrorBody


def error_document(
    error: _errors.TopazlugError, request_id: _ids.RequestId
) -> bytes:
    """Give the error in the OpenAI shape, as JSON."""
    error_type = "server_error"
    if error.status < HTTPStatus.INTERNAL_SERVER_ERROR:
        error_type = "invalid_request_error"
    return msgspec.json.encode(
        _ErrorDocument(
            _ErrorBody(
                message=error.message,
                type=error_type,
                code=error.code.value,
                request_id=request_id,
            )
        )
    )


def error_answer(
    error: _errors.TopazlugError,
    request_id: _ids.RequestId,
    *,
    whole_seconds: bool = True,
) -> CallerAnswer:
    """Make the answer of a request that failed.

    Parameters
    ----------
    error : TopazlugError
        Why.
    request_id : RequestId
        The request.
    whole_seconds : bool
        Whether Retry-After is rounded up, as RFC 9110 has it. Some callers
        take fractions.
    """
    body = error_document(error, request_id) + b"\n"
    outcome = _errors.Outcome.UNKNOWN
    retry_after = None
    if isinstance(error, _errors.RequestError):
        outcome = error.outcome
        retry_after = error.retry_after
    headers = [
        _JSON_CONTENT_TYPE,
        ("Content-Length", str(len(body))),
        (OUTCOME, outcome.value),
        ("X-Request-Id", request_id),
    ]
    if retry_after is not None:
        header_value = f"{retry_after:.3f}"
        if whole_seconds:
            header_value = str(math.ceil(retry_after))
        headers.append(("Retry-After", header_value))
    return CallerAnswer(
        status=int(error.status), headers=headers, body=iter([body])
    )


def json_answer(document: object, request_id: _ids.RequestId) -> CallerAnswer:
    """Make a JSON answer of this daemon's own."""
    body = msgspec.json.encode(document)
    headers = [
        _JSON_CONTENT_TYPE,
        ("Content-Length", str(len(body))),
        ("X-Request-Id", request_id),
    ]
    return CallerAnswer(status=200, headers=headers, body=iter([body]))
