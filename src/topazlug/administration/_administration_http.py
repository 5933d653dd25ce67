"""Requests, answers and routes of the administration listener."""

from http import HTTPStatus
import re
from typing import Any
from typing import Callable
from typing import Iterable
from typing import Sequence
from typing import final
from urllib import parse

import gevent
import msgspec

from topazlug import _errors
from topazlug._generated import table
from topazlug.administration import _tokens
from topazlug.configuration import _table_errors

MAX_BODY_BYTES = 256 * 1024
MAX_IMPORT_BYTES = 16 * 1024 * 1024
BODY_TIMEOUT = 30.0
MAX_REASON_LENGTH = 500
_JSON = "application/json"
_EDIT_ID = re.compile(r"^[A-Za-z0-9._-]{8,128}$")
_TRUE = frozenset(("1", "true", "yes"))


@final
class Answer(msgspec.Struct, frozen=True, kw_only=True):
    """An answer; a body of bytes is sent unchanged, any other as JSON."""

    body: Any = None
    status: HTTPStatus = HTTPStatus.OK
    headers: Sequence[tuple[str, str]] = ()
    content_type: str = _JSON


@final
class Request:
    """One request to the administration API.

    Parameters
    ----------
    environ : dict
        WSGI environment.

    Attributes
    ----------
    who : str
        Name of the operator, empty until the request is authenticated.
    role : OperatorRole or None
        Role of the operator, None until the request is authenticated.
    """

    def __init__(self, environ: dict[str, Any]) -> None:
        self._environ = environ
        self.method: str = environ["REQUEST_METHOD"]
        path = environ.get("PATH_INFO", "").encode("latin-1")
        self.segments = path.decode("utf-8", "replace").strip("/").split("/")
        query = environ.get("QUERY_STRING", "")
        self._query = dict(parse.parse_qsl(query, keep_blank_values=True))
        self.who = ""
        self.role: table.OperatorRole | None = None

    @property
    def token(self) -> str:
        """Return the bearer token, empty if there is none."""
        return _tokens.parse_bearer(self.header("Authorization"))

    def header(self, name: str) -> str:
        """Return a header's value, empty if it is absent."""
        key = "HTTP_" + name.upper().replace("-", "_")
        value: str = self._environ.get(key, "")
        return value

    def query(self, name: str) -> str:
        """Return a query parameter, empty if it is absent."""
        return self._query.get(name, "")

    def flag(self, name: str) -> bool:
        """Return whether a query parameter is true."""
        return self.query(name).lower() in _TRUE

    def number(self, name: str, *, default: int) -> int:
        """Return a query parameter as a non-negative integer.

        Raises
        ------
        BadHeader
            It is not a non-negative integer of at most 15 digits.
        """
        text = self.query(name)
        if not text:
            return default
        if not text.isascii() or not text.isdigit() or len(text) > 15:
            raise _errors.BadHeader(
                f"{name}={text!r} is not a non-negative integer"
            )
        return int(text)

    def etag(self) -> str | None:
        """Return the ETag of If-Match, None if it is absent."""
        value = self.header("If-Match").strip()
        if not value:
            return None
        return value.removeprefix("W/").strip('"')

    def edit_id(self) -> str:
        """Return the edit id of the request, or a new one if it has none.

        Raises
        ------
        BadHeader
            It is not 8 to 128 letters, digits, dots, hyphens, underscores.
        """
        value = self.header("X-Edit-Id") or _tokens.new_edit_id()
        if not _EDIT_ID.match(value):
            raise _errors.BadHeader(
                f"X-Edit-Id {value!r} is not 8 to 128 letters, digits, dots,"
                " hyphens or underscores"
            )
        return value

    def reason(self) -> str:
        """Return the reason of the edit, cut to `MAX_REASON_LENGTH`."""
        value = parse.unquote(self.header("X-Reason"))
        return value[:MAX_REASON_LENGTH]

    def decode_body(self, kind: Any, *, limit: int = MAX_BODY_BYTES) -> Any:
        """Decode the JSON body to a type.

        Raises
        ------
        BodyTooLarge, BodyTooSlow, BadBody
            The body is too large, did not arrive in time, or does not match
            the type.
        """
        try:
            return msgspec.json.decode(
                self._read_body(limit) or b"{}", type=kind
            )
        except msgspec.DecodeError as error:
            raise _errors.BadBody(f"invalid body: {error}") from error

    def _read_body(self, limit: int) -> bytes:
        length = self._environ.get("CONTENT_LENGTH") or "0"
        if length.isdigit() and int(length) > limit:
            raise _too_large(limit)
        with gevent.Timeout(BODY_TIMEOUT, _too_slow()):
            try:
                body: bytes = self._environ["wsgi.input"].read(limit + 1)
            except OSError as error:
                raise _errors.BadBody(
                    f"the body could not be read: {error}"
                ) from error
        if len(body) > limit:
            raise _too_large(limit)
        return body


def _too_large(limit: int) -> _errors.BodyTooLarge:
    return _errors.BodyTooLarge(f"the body exceeds {limit} bytes; send less")


def _too_slow() -> _errors.BodyTooSlow:
    return _errors.BodyTooSlow(
        f"the body did not arrive within {BODY_TIMEOUT:g} s"
    )


Handler = Callable[[Request], Answer]


@final
class Route(msgspec.Struct, frozen=True, kw_only=True):
    """A method and path, and their handler.

    Attributes
    ----------
    path : str
        Path such as ``/v1/{table}/{name}``; a segment in braces matches any
        non-empty segment.
    role : OperatorRole or None
        Minimum role required; None for a path that needs no token.
    """

    method: str
    path: str
    handler: Handler
    role: table.OperatorRole | None = table.OperatorRole.read

    def matches(self, segments: Sequence[str]) -> bool:
        """Return whether the route matches the segments of a path."""
        pattern = self.path.strip("/").split("/")
        return len(pattern) == len(segments) and all(
            expected == actual or (expected.startswith("{") and actual != "")
            for expected, actual in zip(pattern, segments)
        )


def error_answer(error: _errors.TopazlugError) -> Answer:
    """Return an error as an answer in the format of the OpenAI API."""
    body: dict[str, Any] = {
        "code": error.code.value,
        "message": error.message,
        "type": type(error).__name__,
    }
    if isinstance(error, _table_errors.RowConflict):
        body |= {"mine": error.mine, "current": error.current}
    headers = []
    if isinstance(error, _errors.RequestError) and error.retry_after:
        headers.append(("Retry-After", f"{error.retry_after:.0f}"))
    if error.status is HTTPStatus.UNAUTHORIZED:
        headers.append(("WWW-Authenticate", "Bearer"))
    return Answer(body={"error": body}, status=error.status, headers=headers)


def start_answer(
    answer: Answer, start_response: Callable[..., Any]
) -> Iterable[bytes]:
    """Call ``start_response`` and return the body, as WSGI requires."""
    body = answer.body
    if not isinstance(body, bytes):
        body = msgspec.json.encode(body)
    start_response(
        f"{answer.status.value} {answer.status.phrase}",
        [
            ("Content-Type", answer.content_type),
            ("Content-Length", str(len(body))),
            ("Cache-Control", "no-store"),
            *answer.headers,
        ],
    )
    return [body]
