"""Answers to callers, and errors in the OpenAI format."""

from collections.abc import Iterator
from http import HTTPStatus
import math

import msgspec

from topazlug import _errors
from topazlug import _ids

OUTCOME = "Topazlug-Outcome"
_JSON_CONTENT_TYPE = ("Content-Type", "application/json")


class CallerAnswer(msgspec.Struct):
    """An answer to a caller.

    Attributes
    ----------
    body : iterator of bytes
        Pieces of the body. An exception raised by it cuts the connection
        without the terminating chunk, so that the caller never takes a
        truncated answer for a complete one.
    """

    status: int
    headers: list[tuple[str, str]]
    body: Iterator[bytes]


def prime(pieces: Iterator[bytes]) -> Iterator[bytes]:
    """Start a generator, whose first piece must be empty, and return it.

    Closing a generator that was never started skips its ``finally``. Each
    answer that failed before its first byte would then keep its slot on the
    replica.
    """
    next(pieces)
    return pieces


def status_line(status: int) -> str:
    """Return the status line, also of a status that is not registered."""
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
    """Return the error in the OpenAI format, as JSON."""
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
    """Return the answer to a request that failed.

    Parameters
    ----------
    error : TopazlugError
        Reason of the failure.
    request_id : RequestId
        Id of the request.
    whole_seconds : bool
        Whether Retry-After is rounded up to whole seconds, as RFC 9110
        requires. Some callers accept fractions.
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
    """Return a JSON answer of the daemon itself."""
    body = msgspec.json.encode(document)
    headers = [
        _JSON_CONTENT_TYPE,
        ("Content-Length", str(len(body))),
        ("X-Request-Id", request_id),
    ]
    return CallerAnswer(status=200, headers=headers, body=iter([body]))
