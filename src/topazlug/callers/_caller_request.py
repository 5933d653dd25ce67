"""Requests of callers: fields, team, deadline and body."""

from collections.abc import Iterator
from collections.abc import Mapping
import hashlib
from typing import Any
from typing import final
import uuid

import gevent
import msgspec

from topazlug import _clock
from topazlug import _errors
from topazlug import _ids
from topazlug._generated import settings as _settings_types
from topazlug._generated import table
from topazlug.callers import _body_reader
from topazlug.callers import _memory_budget
from topazlug.configuration import _configuration

_BEARER = "bearer "
_MAX_KEY_CHARACTERS = 512
# A new connection is served at once, here or by another daemon.
_CLOSED_RETRY_SECONDS = 0.05
SOCKET = "topazlug.socket"
RAW_PATH = "topazlug.raw_path"
FIELDS = "topazlug.fields"
TARGET = "topazlug.target"
# What the connection makes the daemon hold.
HOLDING = "topazlug.holding"
# Number of the request on its connection, from 1.
NUMBER = "topazlug.number"
# Whether the daemon reads no more than had arrived by now.
HAS_ENDED_READING = "topazlug.has_ended_reading"


@final
class Caller(msgspec.Struct, frozen=True):
    """Team of a caller, and whether its request is a batch request."""

    team: table.TeamRow
    batch: bool

    @property
    def name(self) -> _ids.TeamName:
        """Return the team's name."""
        return _ids.TeamName(self.team.name)

    @property
    def class_name(self) -> str:
        """Return the request class's name."""
        request_class = table.RequestClass.interactive
        if self.batch:
            request_class = table.RequestClass.batch
        return request_class.value


@final
class CallerRequest:
    """One request of a caller.

    Parameters
    ----------
    environ : mapping
        WSGI environment.
    limits : LimitSettings
        Bounds on requests.
    clock : Clock
        Clock of the daemon.
    """

    def __init__(
        self,
        *,
        environ: Mapping[str, Any],
        limits: _settings_types.LimitSettings,
        clock: _clock.Clock,
    ) -> None:
        self._environ = environ
        self._limits = limits
        self._clock = clock
        self.request_id = _ids.RequestId(uuid.uuid4().hex)
        self.method: str = environ["REQUEST_METHOD"]
        self.path: str = environ["PATH_INFO"]
        self.raw_path: str = environ.get(RAW_PATH, self.path)
        self.query: str = environ.get("QUERY_STRING", "")
        self.started = clock.monotonic()
        self.deadline = self.started + limits.default_deadline
        self.socket = environ.get(SOCKET)
        self.holding: _memory_budget.Holding | None = environ.get(HOLDING)

    def header(self, name: str) -> str:
        """Return a header's value, empty if it is absent."""
        key = "HTTP_" + name.upper().replace("-", "_")
        return self._environ.get(key, "")

    def headers(self) -> Iterator[tuple[str, str]]:
        """Yield all headers except those of the body's framing."""
        for key, value in self._environ.items():
            if key.startswith("HTTP_"):
                yield key[5:].replace("_", "-").title(), value
        content_type = self._environ.get("CONTENT_TYPE", "")
        if content_type:
            yield "Content-Type", content_type

    def identify(self, snapshot: _configuration.TableSnapshot) -> Caller:
        """Return the caller, identified by the API key.

        Raises
        ------
        BadKey
            The API key is missing, unknown, revoked or expired.
        BadHeader
            The request class is unknown.
        """
        authorization = self.header("Authorization")
        if not authorization.lower().startswith(_BEARER):
            raise _errors.BadKey("send Authorization: Bearer <API key>")
        key = authorization[len(_BEARER) :].strip()
        if not key or len(key) > _MAX_KEY_CHARACTERS:
            raise _errors.BadKey("the API key is empty or too long")
        digest = hashlib.sha256(key.encode("latin-1")).hexdigest()
        team = snapshot.team_of_key(digest, now=self._clock.now())
        if team is None:
            raise _errors.BadKey("the API key is unknown")
        return Caller(team=team, batch=self._is_batch(team))

    def _is_batch(self, team: table.TeamRow) -> bool:
        value = self.header("X-Request-Class")
        if not value:
            return team.request_class is table.RequestClass.batch
        try:
            request_class = table.RequestClass(value)
        except ValueError:
            known = ", ".join(
                known_class.value for known_class in table.RequestClass
            )
            raise _errors.BadHeader(
                f"X-Request-Class is {value!r}; use one of {known}"
            ) from None
        return request_class is table.RequestClass.batch

    def read_deadline(self, *, max_seconds: float | None = None) -> None:
        """Set the deadline that the caller requests, within the limits.

        Parameters
        ----------
        max_seconds : float or None
            Maximum seconds of the called service, if it sets any.

        Raises
        ------
        BadHeader
            X-Request-Timeout is not a positive number of seconds.
        """
        allowed = self._limits.max_deadline
        seconds = min(self._limits.default_deadline, allowed)
        value = self.header("X-Request-Timeout")
        if value:
            seconds = min(_parse_seconds(value), allowed)
        if max_seconds is not None:
            seconds = min(seconds, max_seconds)
        self.deadline = self.started + seconds

    def remaining(self) -> float:
        """Return the seconds until the deadline.

        Raises
        ------
        DeadlineExceeded
            The deadline has passed.
        """
        remaining_seconds = self.deadline - self._clock.monotonic()
        if remaining_seconds <= 0:
            raise _errors.DeadlineExceeded("the request's deadline passed")
        return remaining_seconds

    def read_body(self) -> bytes:
        """Return the complete body, read within the limits.

        Raises
        ------
        BodyTooLarge, BodyTooSlow, BadBody
            The body is too long, took too long or is malformed.
        """
        return read_body(
            self._environ,
            limit=self._limits.max_body_bytes,
            timeout=self._limits.body_timeout,
        )


def read_body(
    environ: Mapping[str, Any], *, limit: int, timeout: float
) -> bytes:
    """Return the complete body of a WSGI request.

    Parameters
    ----------
    environ : mapping
        WSGI environment.
    limit : int
        Maximum bytes.
    timeout : float
        Maximum seconds.

    Raises
    ------
    BodyTooLarge, BodyTooSlow, BadBody
        The body is too long, took too long or is malformed.
    MemoryBudgetExceeded
        Callers make the daemon hold too much.
    NotReady
        The daemon closed the connection before all of it arrived.
    """
    declared = environ.get("CONTENT_LENGTH") or ""
    if declared.isdigit() and int(declared) > limit:
        raise _body_reader.too_large(limit)
    reader: _body_reader.BodyReader = environ["wsgi.input"]
    # A variable for the error would make a cycle with its traceback.
    with gevent.Timeout(
        timeout, _errors.BodyTooSlow(f"the body took longer than {timeout} s")
    ):
        try:
            return reader.read(limit)
        except OSError as error:
            raise _incomplete_error(
                environ, f"the body could not be read: {error}"
            ) from error


def _incomplete_error(
    environ: Mapping[str, Any], why: str
) -> _errors.RequestError:
    """Return the error for a body whose end is missing.

    A caller whose connection this daemon has closed meanwhile did nothing
    wrong, and must not be told so.
    """
    if not environ.get(HAS_ENDED_READING):
        return _errors.BadBody(why)
    return _errors.NotReady(
        "this daemon closed the connection before the body had arrived",
        retry_after=_CLOSED_RETRY_SECONDS,
    )


def _parse_seconds(value: str) -> float:
    try:
        seconds = float(value)
    except ValueError:
        seconds = 0.0
    if not 0 < seconds < 1e9:
        raise _errors.BadHeader(
            f"X-Request-Timeout is {value!r}; use a positive number of seconds"
        )
    return seconds
