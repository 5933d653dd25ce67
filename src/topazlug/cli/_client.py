"""Client of the administration API."""

import functools
from http import HTTPStatus
from typing import Any
from typing import Mapping
from typing import final
from urllib import parse

import click
import gevent
import geventhttpclient
from geventhttpclient import response
import msgspec

from topazlug import _errors
from topazlug.administration import _tokens
from topazlug.cli import _exit_codes

CONNECT_TIMEOUT = 5.0
NETWORK_TIMEOUT = 30.0
MAX_ATTEMPTS = 3
RETRY_WAIT = 0.3
_Exit = _exit_codes.ExitCode


@final
class ApiError(msgspec.Struct, frozen=True, kw_only=True):
    """The error in the body of an answer."""

    code: str = ""
    message: str = ""
    type: str = ""
    mine: dict[str, Any] | None = None
    current: dict[str, Any] | None = None


@final
class _ErrorBody(msgspec.Struct, frozen=True, kw_only=True):
    error: ApiError


@final
class ApiFailed(Exception):
    """The daemon answered a call with an error.

    Parameters
    ----------
    status : int
        HTTP status code.
    error : ApiError
        The error in the answer.
    """

    def __init__(self, status: int, error: ApiError) -> None:
        super().__init__(error.message)
        self.status = status
        self.error = error

    @property
    def exit_code(self) -> _exit_codes.ExitCode:
        """Return the exit code for the error."""
        if self.status == HTTPStatus.PRECONDITION_REQUIRED:
            return _Exit.CONFLICT
        try:
            code = _errors.Code(self.error.code)
        except ValueError:
            return _Exit.FAILURE
        return _exit_codes.EXIT_CODE_BY_ERROR.get(code, _Exit.FAILURE)


@final
class Unreachable(Exception):
    """The daemon did not answer, or its answer was lost."""


@final
class Edit(msgspec.Struct, frozen=True, kw_only=True):
    """Values that are sent as headers of an edit."""

    reason: str = ""
    edit_id: str = ""
    etag: str = ""

    def headers(self) -> dict[str, str]:
        """Return the headers, with a new edit id if none was set."""
        headers = {"X-Edit-Id": self.edit_id or _tokens.new_edit_id()}
        if self.reason:
            headers["X-Reason"] = parse.quote(self.reason)
        if self.etag:
            headers["If-Match"] = f'"{self.etag}"'
        return headers


@final
class ApiClient:
    """Client of one daemon's administration API.

    Parameters
    ----------
    url : str
        URL of the daemon's administration, such as
        ``http://192.0.2.7:8081``.
    token : str
        Token of the operator.
    """

    def __init__(self, *, url: str, token: str) -> None:
        self._url = url
        self._token = token

    def get(self, path: str, **query: str) -> Any:
        """Send a GET request."""
        return self._call("GET", path, query=query)

    def put(self, path: str, value: Any, *, edit: Edit) -> Any:
        """Send a PUT request; safe to repeat with the same edit id."""
        return self._call("PUT", path, value=value, edit=edit)

    def post(self, path: str, value: Any, *, edit: Edit) -> Any:
        """Send a POST request; safe to repeat with the same edit id."""
        return self._call("POST", path, value=value, edit=edit)

    def delete(self, path: str, *, edit: Edit | None = None) -> Any:
        """Send a DELETE request; safe to repeat with the same edit id."""
        return self._call("DELETE", path, edit=edit)

    def _call(
        self,
        method: str,
        path: str,
        *,
        query: Mapping[str, str] | None = None,
        value: Any = None,
        edit: Edit | None = None,
    ) -> Any:
        headers = {} if edit is None else edit.headers()
        body = b"" if value is None else msgspec.json.encode(value)
        path_and_query = path
        if query:
            path_and_query += "?" + parse.urlencode(query)
        call_once = functools.partial(
            self._call_once, method, path_and_query, body=body, headers=headers
        )
        for _ in range(MAX_ATTEMPTS - 1):
            try:
                return call_once()
            except Unreachable:
                # After a lost answer it is unknown whether the edit was made.
                # The daemon identifies the edit by its id, so that a repeat
                # returns the result and does not make the edit twice.
                gevent.sleep(RETRY_WAIT)
            except ApiFailed as failure:
                if failure.error.type != _errors.StoreAmbiguous.__name__:
                    raise
                gevent.sleep(RETRY_WAIT)
        try:
            return call_once()
        except Unreachable as error:
            raise _no_answer_error(error, headers) from error

    def _call_once(
        self,
        method: str,
        path_and_query: str,
        *,
        body: bytes,
        headers: dict[str, str],
    ) -> Any:
        request_headers = {
            "Authorization": f"Bearer {self._token}",
            "Content-Type": "application/json",
            **headers,
        }
        client = self._connect()
        try:
            with gevent.Timeout(NETWORK_TIMEOUT, TimeoutError("no answer")):
                answer = client.request(
                    method, path_and_query, body, request_headers
                )
                content = bytes(answer.read())
                status = int(answer.status_code)
        except (OSError, response.HTTPParseError) as error:
            raise Unreachable(f"{self._url}: {error}") from error
        finally:
            client.close()
        return _decode_answer(status, content)

    def _connect(self) -> geventhttpclient.HTTPClient:
        if not self._url.startswith(("http://", "https://")):
            raise _exit_codes.CommandFailed(
                f"{self._url!r} is not an HTTP URL; set --url or TOPAZLUG_URL"
                " to a daemon's URL, such as http://192.0.2.7:8081",
                _Exit.USAGE,
            )
        return geventhttpclient.HTTPClient.from_url(
            self._url,
            connection_timeout=CONNECT_TIMEOUT,
            network_timeout=NETWORK_TIMEOUT,
        )


def _decode_answer(status: int, content: bytes) -> Any:
    if status < HTTPStatus.BAD_REQUEST:
        try:
            return msgspec.json.decode(content)
        except msgspec.DecodeError as error:
            raise Unreachable(f"the answer is not JSON: {error}") from error
    try:
        failure = msgspec.json.decode(content, type=_ErrorBody).error
    except msgspec.DecodeError:
        failure = ApiError(message=f"the daemon answered {status}")
    raise ApiFailed(status, failure)


def _no_answer_error(
    error: Unreachable, headers: Mapping[str, str]
) -> _exit_codes.CommandFailed:
    message = f"no answer: {error}"
    if "X-Edit-Id" in headers:
        message += (
            "\nThe edit may have been accepted. To repeat it safely, use"
            f" --edit-id {headers['X-Edit-Id']}."
        )
    return _exit_codes.CommandFailed(message, _Exit.UNREACHABLE)


def api_path(*segments: str) -> str:
    """Return a path of the API from unquoted segments."""
    return "/v1/" + "/".join(parse.quote(s, safe="") for s in segments)


def to_command_error(failure: ApiFailed) -> _exit_codes.CommandFailed:
    """Return an error of the API as the error that ends the program."""
    lines = [failure.error.message]
    if failure.exit_code is _Exit.CONFLICT:
        lines += _conflict_lines(failure.error)
    return _exit_codes.CommandFailed("\n".join(lines), failure.exit_code)


def _conflict_lines(error: ApiError) -> list[str]:
    """Return lines on how the operator's row and the one in force differ."""
    if error.mine is None and error.current is None:
        return []
    mine, current = error.mine or {}, error.current or {}
    columns = [
        column
        for column in {**current, **mine}
        if mine.get(column) != current.get(column)
    ]
    lines = []
    if error.current is None:
        lines.append("  the row was removed")
    if error.mine is None:
        lines.append("  your edit removes the row")
    for column in columns:
        styled = click.style(repr(mine.get(column)), bold=True)
        lines.append(
            f"  {column}: yours {styled}, in force {current.get(column)!r}"
        )
    return lines
