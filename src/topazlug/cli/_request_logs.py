"""Commands that analyse log files: explain-request, why-failed.

They read logs of any number of daemons from files or standard input, and do
not need a running daemon.
"""

import collections
from collections.abc import Iterator
import re
from typing import Any
from typing import TextIO

import click
import msgspec

from topazlug.cli import _context
from topazlug.cli import _output

# Fields that every log line has; the output shows them apart from the others.
_COMMON_FIELDS = frozenset({"time", "level", "logger", "daemon", "message"})
# A replica's report older than this is shown as stale in a placement.
_STALE_REPORT_SECONDS = 2.0
# Quoted texts, such as paths and hosts, differ between requests that fail for
# the same cause. They are masked to count these requests together.
_QUOTED_TEXT = re.compile(r"(?<!\w)'[^']*'")
_FAILED = "failed with"
_TRUNCATED = "a stream ends early"
_STATE_LOGGERS = frozenset({"store", "replicas", "fleet", "daemon"})
# These log state changes that a request caused, under the id of that request.
# The changes affect later requests too.
_STATE_LOGGERS_WITH_REQUEST_ID = frozenset({"replicas"})


def _read_records(files: tuple[TextIO, ...]) -> Iterator[dict[str, Any]]:
    """Yield the log records; count and report other lines."""
    skipped = 0
    for file in files:
        for line in file:
            start = line.find("{")
            try:
                record = msgspec.json.decode(line[start:].encode())
            except msgspec.DecodeError:
                skipped += 1
                continue
            if start >= 0 and isinstance(record, dict):
                yield record
            else:
                skipped += 1
    if skipped:
        click.echo(f"skipped {skipped} lines that are not records", err=True)


def _format_details(record: dict[str, Any]) -> str:
    shown = [
        f"{name}={value}"
        for name, value in record.items()
        if name not in _COMMON_FIELDS and name != "request_id"
    ]
    return " ".join(shown)


def _stale_inputs(record: dict[str, Any]) -> str:
    """Describe the outdated input of a decision; empty if there is none."""
    age = record.get("report_age")
    if isinstance(age, (int, float)) and age > _STALE_REPORT_SECONDS:
        return f"load report {age:.1f} s old"
    return ""


def _record_to_row(record: dict[str, Any]) -> dict[str, Any]:
    return {
        "time": str(record.get("time", ""))[11:23],
        "daemon": record.get("daemon", ""),
        "message": record.get("message", ""),
        "stale": _stale_inputs(record),
        "details": _format_details(record),
    }


@click.command("explain-request")
@click.argument("request_id")
@click.argument("files", type=click.File("r"), nargs=-1, default=["-"])
@click.option(
    "--around",
    type=float,
    default=5.0,
    show_default=True,
    help="Seconds before the request for which state changes are shown.",
)
@click.pass_obj
def explain_request(
    context: _context.CommandContext,
    request_id: str,
    files: tuple[TextIO, ...],
    around: float,
) -> None:
    """Show the log lines of a request and related state changes.

    Lines of requests that take its stream up are shown as well.

    FILES are logs of daemons; without any, standard input is read.
    """
    records = list(_read_records(files))
    request_records = [
        record
        for record in records
        if request_id in (record.get("request_id"), record.get("resumes"))
    ]
    if not request_records:
        raise click.ClickException(f"no log line has request {request_id}")
    related = _with_state_changes(records, request_records, around)
    if context.is_table:
        _write_lines([_record_to_row(record) for record in related])
    else:
        context.write(
            [{**record, "stale": _stale_inputs(record)} for record in related]
        )


def _with_state_changes(
    records: list[dict[str, Any]],
    request_records: list[dict[str, Any]],
    around: float,
) -> list[dict[str, Any]]:
    """Add state changes of the daemons that handled the request."""
    daemons = {record.get("daemon") for record in request_records}
    first = _time_of_day(request_records[0])
    last = _time_of_day(request_records[-1])
    state_changes = [
        record
        for record in records
        if record.get("daemon") in daemons
        and _is_state_change(record)
        and record not in request_records
        and first - around <= _time_of_day(record) <= last
    ]
    return sorted([*request_records, *state_changes], key=_time_of_day)


def _is_state_change(record: dict[str, Any]) -> bool:
    """Return whether a record is about a change of the daemon's state."""
    logger = record.get("logger")
    if "request_id" in record:
        return logger in _STATE_LOGGERS_WITH_REQUEST_ID
    return logger in _STATE_LOGGERS


def _time_of_day(record: dict[str, Any]) -> float:
    """Return the time of day of a record in seconds, 0 if it has none."""
    text = str(record.get("time", ""))[11:23]
    try:
        hours, minutes, seconds = text.split(":")
        return int(hours) * 3600 + int(minutes) * 60 + float(seconds)
    except ValueError:
        return 0.0


def _write_lines(rows: list[dict[str, Any]]) -> None:
    for row in rows:
        stale = f"  [stale: {row['stale']}]" if row["stale"] else ""
        click.echo(f"{row['time']} {row['daemon']}  {row['message']}{stale}")
        if row["details"]:
            click.echo(f"    {row['details']}")


@click.command("why-failed")
@click.argument("files", type=click.File("r"), nargs=-1, default=["-"])
@click.option("--team", default="", help="Only requests of this team.")
@click.pass_obj
def why_failed(
    context: _context.CommandContext, files: tuple[TextIO, ...], team: str
) -> None:
    """Count failed requests by cause, with the id of the newest one.

    FILES are logs of daemons; without any, standard input is read.
    """
    records = _read_records(files)
    counts: collections.Counter[tuple[str, str]] = collections.Counter()
    newest: dict[tuple[str, str], str] = {}
    for record in records:
        message = str(record.get("message", ""))
        if not message.startswith((_FAILED, _TRUNCATED)):
            continue
        if team and record.get("team") != team:
            continue
        code = str(record.get("code", "cut"))
        cause = (code, _QUOTED_TEXT.sub("'…'", str(record.get("why", ""))))
        counts[cause] += 1
        newest[cause] = str(record.get("request_id", ""))
    rows = [
        {
            "count": count,
            "code": code,
            "why": why,
            "newest": newest[code, why],
        }
        for (code, why), count in counts.most_common()
    ]
    if context.is_table:
        _output.write_rows(rows)
    else:
        context.write(rows)
