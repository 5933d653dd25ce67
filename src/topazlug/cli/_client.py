"""Calls to the administration API."""

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
MAX_TRIES = 3
RETRY_WAIT = 0.3
_Exit = _exit_codes.ExitCode


@final
class ApiError(msgspec.Struct, frozen=True, kw_only=True):
    """The error of an answer."""

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
    """The daemon refused a call.

    Parameters
    ----------
    status : int
        HTTP status code.
    error : ApiError
        What the daemon said.
    """

    def __init__(self, status: int, error: ApiError) -> None:
        super().__init__(error.message)
        self.status = status
        self.error = error

    @property
    def exit_code(self) -> _exit_codes.ExitCode:
        """Return what the program ends with."""
        if self.status == HTTPStatus.PRECONDITION_REQUIRED:
            return _Exit.CONFLICT
        try:
            code = _errors.Code(self.error.code)
        except ValueError:
            return _Exit.FAILURE
        return _exit_codes.EXIT_CODE_BY_ERROR.get(code, _Exit.FAILURE)


@final
class Unreachable(Exception):
    """No daemon answered, or its answer was lost."""


@final
class Edit(msgspec.Struct, frozen=True, kw_only=True):
    """What the headers of an edit say."""

    reason: str = ""
    edit_id: str = ""
    etag: str = ""

    def headers(self) -> dict[str, str]:
        """Return the headers."""
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
        Where it listens, as in ``http://192.0.2.7:8081``.
    token : str
        Token of the operator.
    """

    def __init__(self, *, url: str, token: str) -> None:
        self._url = url
        self._token = token

    def get(self, path: str, **query: str) -> Any:
        """Read."""
        return self._call("GET", path, query=query)

    def put(self, path: str, value: Any, *, edit: Edit) -> Any:
        """Write a row; safe to repeat under one edit id."""
        return self._call("PUT", path, value=value, edit=edit)

    def post(self, path: str, value: Any, *, edit: Edit) -> Any:
        """Ask for an edit; safe to repeat under one edit id."""
        return self._call("POST", path, value=value, edit=edit)

    def delete(self, path: str, *, edit: Edit | None = None) -> Any:
        """Remove; safe to repeat under one edit id."""
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
        target = path
        if query:
            target += "?" + parse.urlencode(query)
        once = functools.partial(
            self._call_once, method, target, body=body, headers=headers
        )
        for _ in range(MAX_TRIES - 1):
            try:
                return once()
            except Unreachable:
                # A lost answer to an edit would leave the operator with an
                # edit of unknown fate. The daemon knows the edit by its id,
                # so that the repeat settles it and changes nothing twice.
                gevent.sleep(RETRY_WAIT)
            except ApiFailed as failure:
                if failure.error.type != _errors.StoreAmbiguous.__name__:
                    raise
                gevent.sleep(RETRY_WAIT)
        try:
            return once()
        except Unreachable as error:
            raise _no_answer(error, headers) from error

    def _call_once(
        self, method: str, target: str, *, body: bytes, headers: dict[str, str]
    ) -> Any:
        sent = {
            "Authorization": f"Bearer {self._token}",
            "Content-Type": "application/json",
            **headers,
        }
        client = self._connected()
        try:
            with gevent.Timeout(NETWORK_TIMEOUT, TimeoutError("no answer")):
                answer = client.request(method, target, body, sent)
                content = bytes(answer.read())
                status = int(answer.status_code)
        except (OSError, response.HTTPParseError) as error:
            raise Unreachable(f"{self._url}: {error}") from error
        finally:
            client.close()
        return _decoded(status, content)

    def _connected(self) -> geventhttpclient.HTTPClient:
        if not self._url.startswith(("http://", "https://")):
            raise _exit_codes.CommandFailed(
                f"{self._url!r} is no URL of a daemon; give --url or"
                " TOPAZLUG_URL, as in http://192.0.2.7:8081",
                _Exit.USAGE,
            )
        return geventhttpclient.HTTPClient.from_url(
            self._url,
            connection_timeout=CONNECT_TIMEOUT,
            network_timeout=NETWORK_TIMEOUT,
        )


def _decoded(status: int, content: bytes) -> Any:
    if status < HTTPStatus.BAD_REQUEST:
        try:
            return msgspec.json.decode(content)
        except msgspec.DecodeError as error:
            raise Unreachable(f"the answer is no JSON: {error}") from error
    try:
        failure = msgspec.json.decode(content, type=_ErrorBody).error
    except msgspec.DecodeError:
        failure = ApiError(message=f"the daemon answered {status}")
    raise ApiFailed(status, failure)


def _no_answer(
    error: Unreachable, headers: Mapping[str, str]
) -> _exit_codes.CommandFailed:
    message = f"no answer: {error}"
    if "X-Edit-Id" in headers:
        message += (
            "\nThe edit may have been accepted. Repeat it with"
            f" --edit-id {headers['X-Edit-Id']}: it is never made twice."
        )
    return _exit_codes.CommandFailed(message, _Exit.UNREACHABLE)


def path_of(*segments: str) -> str:
    """Return a path of the API with its segments quoted."""
    return "/v1/" + "/".join(parse.quote(s, safe="") for s in segments)


def shown_failure(failure: ApiFailed) -> _exit_codes.CommandFailed:
    """Return a refusal in the form that ends the program."""
    lines = [failure.error.message]
    if failure.exit_code is _Exit.CONFLICT:
        lines += _both_values(failure.error)
    return _exit_codes.CommandFailed("\n".join(lines), failure.exit_code)


def _both_values(error: ApiError) -> list[str]:
    """Show where the operator's row and the one that stands differ."""
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
        lines.append("  the row is gone")
    if error.mine is None:
        lines.append("  you remove the row")
    for column in columns:
        yours = click.style(repr(mine.get(column)), bold=True)
        lines.append(
            f"  {column}: yours {yours}, in force {current.get(column)!r}"
        )
    return lines
