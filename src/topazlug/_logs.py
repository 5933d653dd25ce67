"""Structured logs on standard error, one line per record.

Fields are passed by name, as in ``log.info("{peer} left", peer=name)``. They
appear in the line's fields and replace placeholders in the message. Fields of
the request in progress are attached to every line of its greenlet.
"""

import contextvars
import datetime
import enum
import json
import logging
import re
import sys
from typing import Any
from typing import TextIO
from typing import final

import logbook
from logbook import compat

from topazlug import _ids
from topazlug import _log_output
from topazlug._generated import settings

MAX_FIELD_CHARACTERS = 1000
MAX_MESSAGE_CHARACTERS = 4000
WITHHELD = "[withheld]"
# Names of fields that hold content of callers or credentials. They are
# omitted whatever their value, as others can read copies of the logs.
WITHHELD_FIELDS = frozenset(
    {
        "answer",
        "api_key",
        "authorization",
        "body",
        "completion",
        "content",
        "cookie",
        "credentials",
        "delta",
        "header",
        "headers",
        "input",
        "key",
        "messages",
        "password",
        "prompt",
        "secret",
        "text",
        "token",
    }
)

_BEARER = re.compile(r"(?i)\bbearer\s+\S+")
_FIELDS: contextvars.ContextVar[dict[str, Any]] = contextvars.ContextVar(
    "topazlug_log_fields", default={}
)
_GROUP = logbook.LoggerGroup(level=logbook.INFO)
_LOGGERS_BY_NAME: dict[str, logbook.Logger] = {}


def logger(name: str) -> logbook.Logger:
    """Return the logger of a module.

    Parameters
    ----------
    name : str
        Name shown on each line, such as ``routing``.

    Returns
    -------
    logbook.Logger
        Always the same logger for the same name.
    """
    found = _LOGGERS_BY_NAME.get(name)
    if found is None:
        found = logbook.Logger(name)
        _GROUP.add_logger(found)
        _LOGGERS_BY_NAME[name] = found
    return found


@final
class request_fields:
    """Attach fields to each line logged inside the ``with`` block.

    A greenlet started inside the block doesn't inherit them. If it works for
    the same request, open a block in it with ``**current_fields()``.

    Parameters
    ----------
    **fields
        Such as ``request_id``, ``team``, ``chat``, ``replica``. Blocks nest,
        and inner values override outer ones.
    """

    __slots__ = ("_fields", "_token")

    def __init__(self, **fields: Any) -> None:
        self._fields = fields

    def __enter__(self) -> None:
        merged = {**_FIELDS.get(), **self._fields}
        self._token = _FIELDS.set(merged)

    def __exit__(self, *exception: object) -> None:
        try:
            _FIELDS.reset(self._token)
        except ValueError:
            # The garbage collector may close an unfinished response
            # generator in any greenlet. The generator's own context is gone
            # then, and the fields of the current greenlet must not change.
            pass


def current_fields() -> dict[str, Any]:
    """Return this greenlet's fields, to attach them in another."""
    return dict(_FIELDS.get())


def set_up(
    log_settings: settings.LogSettings,
    daemon_id: _ids.DaemonId,
    *,
    stream: TextIO | None = None,
    output: _log_output.BoundedOutput | None = None,
) -> logbook.Handler:
    """Send all records to standard error, or to a bounded output.

    Parameters
    ----------
    log_settings : settings.LogSettings
        Format and minimum level.
    daemon_id : DaemonId
        Shown on each line.
    stream : TextIO or None
        Destination of the lines in place of standard error.
    output : BoundedOutput or None
        Destination in place of a stream. It prefers warnings and errors if
        it can't write all lines.

    Returns
    -------
    logbook.Handler
        The active handler; ``pop_application`` removes it.
    """
    level = logbook.lookup_level(log_settings.level.value.upper())
    # The level is set on the loggers too, not only on the handler, so that no
    # record is created for a line that would not be shown.
    _GROUP.level = level
    handler: logbook.Handler = (
        logbook.StreamHandler(stream or sys.stderr, level=level)
        if output is None
        else _OutputHandler(output, level=level)
    )
    as_json = log_settings.format is settings.LogFormat.json
    render = _render_json if as_json else _render_text
    handler.formatter = _Formatter(daemon_id=daemon_id, render=render)
    handler.push_application()
    _redirect_standard_logging()
    return handler


@final
class _OutputHandler(logbook.Handler):  # type: ignore[misc]
    """Writes formatted lines to a bounded output."""

    def __init__(
        self, output: _log_output.BoundedOutput, *, level: int
    ) -> None:
        super().__init__(level=level)
        self._output = output

    def emit(self, record: logbook.LogRecord) -> None:
        """Write one record."""
        priority = _log_output.LinePriority.COMMON
        if record.level >= logbook.WARNING:
            priority = _log_output.LinePriority.IMPORTANT
        self._output.write(self.format(record), priority)


@final
class _StandardLoggingRedirect(compat.RedirectLoggingHandler):
    """Handles records of libraries, without the record's internals."""

    def find_extra(self, old_record: logging.LogRecord) -> dict[str, Any]:
        return {}


def _redirect_standard_logging() -> None:
    root = logging.getLogger()
    root.handlers = [
        handler
        for handler in root.handlers
        if not isinstance(handler, _StandardLoggingRedirect)
    ]
    root.addHandler(_StandardLoggingRedirect())
    root.setLevel(logging.WARNING)


@final
class _Formatter:
    def __init__(self, *, daemon_id: _ids.DaemonId, render: Any) -> None:
        self._daemon_id = daemon_id
        self._render = render

    def __call__(
        self, record: logbook.LogRecord, handler: logbook.Handler
    ) -> str:
        fields = dict(_FIELDS.get())
        fields.update(record.extra)
        fields.update(record.kwargs)
        # The message is built from these fields, so they are redacted first.
        record.kwargs = _sanitize_fields(record.kwargs)
        line: dict[str, Any] = {
            "time": _rfc3339(record.time),
            "level": record.level_name.lower(),
            "logger": record.channel,
            "daemon": self._daemon_id,
            "message": _format_message(record),
        }
        for name, value in _sanitize_fields(fields).items():
            if value != WITHHELD:
                line.setdefault(name, value)
        if record.exc_info:
            line["exception"] = _redact_and_truncate(
                record.formatted_exception or "", MAX_MESSAGE_CHARACTERS
            )
        rendered: str = self._render(line)
        return rendered


def _format_message(record: logbook.LogRecord) -> str:
    try:
        message = record.message
    except Exception as error:
        # A message whose placeholders don't match its fields must not fail
        # the request that logs it. The template still shows its origin.
        message = f"{record.msg} [not formatted: {type(error).__name__}]"
    return _redact_and_truncate(str(message), MAX_MESSAGE_CHARACTERS)


def _rfc3339(when: datetime.datetime) -> str:
    if when.tzinfo is None:
        when = when.replace(tzinfo=datetime.timezone.utc)
    return when.isoformat(timespec="milliseconds").replace("+00:00", "Z")


def _redact_and_truncate(text: str, max_characters: int) -> str:
    text = _BEARER.sub(f"Bearer {WITHHELD}", text)
    return text if len(text) <= max_characters else text[:max_characters] + "…"


def _sanitize_fields(fields: dict[str, Any]) -> dict[str, Any]:
    return {
        name: WITHHELD if _is_withheld(name) else _sanitize_value(value)
        for name, value in fields.items()
    }


def _is_withheld(name: str) -> bool:
    return str(name).lower().replace("-", "_") in WITHHELD_FIELDS


def _sanitize_value(value: Any) -> Any:
    """Return what a line may show of a value."""
    if isinstance(value, enum.Enum):
        return _sanitize_value(value.value)
    if value is None or isinstance(value, (bool, int, float)):
        return value
    if isinstance(value, (str, BaseException)):
        return _redact_and_truncate(str(value), MAX_FIELD_CHARACTERS)
    if isinstance(value, datetime.datetime):
        return _rfc3339(value)
    if isinstance(value, datetime.timedelta):
        return value.total_seconds()
    if isinstance(value, dict):
        return {str(k): v for k, v in _sanitize_fields(value).items()}
    if isinstance(value, (list, tuple, set, frozenset)):
        return [_sanitize_value(inner) for inner in value]
    # The string form of an unknown object may contain a prompt or a key.
    return f"<{type(value).__name__}>"


def _render_json(line: dict[str, Any]) -> str:
    return json.dumps(line, ensure_ascii=False)


def _render_text(line: dict[str, Any]) -> str:
    leading_fields = ("time", "level", "logger", "message")
    parts = [str(line[name]) for name in leading_fields[:-1]]
    # An unescaped line break from a caller could forge a record.
    parts.append(line["message"].replace("\r", "\\r").replace("\n", "\\n"))
    parts += [
        f"{name}={json.dumps(value, ensure_ascii=False)}"
        for name, value in line.items()
        if name not in leading_fields
    ]
    return " ".join(parts)
