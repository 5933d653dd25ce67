"""Questions that logs answer: what became of a request, what failed why.

They read lines of any number of daemons from files or standard input, and
need no daemon that runs.
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

# Fields of every line, which the table shows in columns of their own.
_COMMON = frozenset({"time", "level", "logger", "daemon", "message"})
# A replica's report older than this was no news when it decided a placement.
_STALE_REPORT_SECONDS = 2.0
# Paths and hosts differ from request to request; the cause does not.
_QUOTED = re.compile(r"(?<!\w)'[^']*'")
_FAILED = "failed with"
_CUT = "a stream ends early"
_BELIEFS = frozenset({"store", "replicas", "fleet", "daemon"})
# What these write is learnt with one request, and decides on later ones.
_LEARNT_WITH_REQUESTS = frozenset({"replicas"})


def _records(files: tuple[TextIO, ...]) -> Iterator[dict[str, Any]]:
    """Return the lines that are records; others are passed over, counted."""
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
        click.echo(f"{skipped} lines are no records", err=True)


def _details(record: dict[str, Any]) -> str:
    shown = [
        f"{name}={value}"
        for name, value in record.items()
        if name not in _COMMON and name != "request_id"
    ]
    return " ".join(shown)


def _stale(record: dict[str, Any]) -> str:
    """Name the inputs of a decision that were out of date."""
    age = record.get("report_age")
    if isinstance(age, (int, float)) and age > _STALE_REPORT_SECONDS:
        return f"load report {age:.1f} s old"
    return ""


def _row(record: dict[str, Any]) -> dict[str, Any]:
    return {
        "time": str(record.get("time", ""))[11:23],
        "daemon": record.get("daemon", ""),
        "message": record.get("message", ""),
        "stale": _stale(record),
        "details": _details(record),
    }


@click.command("explain-request")
@click.argument("request_id")
@click.argument("files", type=click.File("r"), nargs=-1, default=["-"])
@click.option(
    "--around",
    type=float,
    default=5.0,
    show_default=True,
    help="Seconds before the request for which changes of belief are shown.",
)
@click.pass_obj
def explain_request(
    context: _context.CommandContext,
    request_id: str,
    files: tuple[TextIO, ...],
    around: float,
) -> None:
    """Show what logs say of one request, and what its daemon believed.

    FILES are logs of the daemons; without any, standard input is read.
    """
    records = list(_records(files))
    own = [one for one in records if one.get("request_id") == request_id]
    if not own:
        raise click.ClickException(f"no line names request {request_id}")
    found = _with_beliefs(records, own, around)
    if context.is_table:
        _write_lines([_row(record) for record in found])
    else:
        context.write([{**one, "stale": _stale(one)} for one in found])


def _with_beliefs(
    records: list[dict[str, Any]], own: list[dict[str, Any]], around: float
) -> list[dict[str, Any]]:
    """Add the last changes of belief of the daemons that had the request."""
    daemons = {one.get("daemon") for one in own}
    first = _seconds(own[0])
    last = _seconds(own[-1])
    beliefs = [
        one
        for one in records
        if one.get("daemon") in daemons
        and _is_belief(one)
        and one.get("request_id") != own[0]["request_id"]
        and first - around <= _seconds(one) <= last
    ]
    return sorted([*own, *beliefs], key=_seconds)


def _is_belief(record: dict[str, Any]) -> bool:
    """Return whether a line tells of more than one request."""
    logger = record.get("logger")
    if "request_id" in record:
        return logger in _LEARNT_WITH_REQUESTS
    return logger in _BELIEFS


def _seconds(record: dict[str, Any]) -> float:
    """Return the time of day of a line in seconds."""
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
    """Count failed requests by cause, each with the newest one's id.

    FILES are logs of the daemons; without any, standard input is read.
    """
    records = _records(files)
    counts: collections.Counter[tuple[str, str]] = collections.Counter()
    newest: dict[tuple[str, str], str] = {}
    for record in records:
        message = str(record.get("message", ""))
        if not message.startswith((_FAILED, _CUT)):
            continue
        if team and record.get("team") != team:
            continue
        code = str(record.get("code", "cut"))
        cause = (code, _QUOTED.sub("'…'", str(record.get("why", ""))))
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
