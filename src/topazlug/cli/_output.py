"""Writes results as a table, JSON or YAML."""

import enum
from typing import Any
from typing import Iterable
from typing import Mapping
from typing import Sequence

import click
import msgspec
import yaml

MAX_CELL = 48


class OutputFormat(enum.Enum):
    """Output formats of results."""

    TABLE = "table"
    JSON = "json"
    YAML = "yaml"


def write(
    value: Any,
    *,
    output: OutputFormat,
    rows: Sequence[Mapping[str, Any]] | None = None,
) -> None:
    """Write a result to standard output.

    Parameters
    ----------
    value : Any
        The full result, written as JSON or YAML.
    output : OutputFormat
        The format.
    rows : Sequence[Mapping] or None
        Rows to show in the format `TABLE`; by default the fields of `value`.
    """
    if output is OutputFormat.JSON:
        click.echo(msgspec.json.format(msgspec.json.encode(value)).decode())
    elif output is OutputFormat.YAML:
        click.echo(yaml.safe_dump(value, sort_keys=False), nl=False)
    elif rows is not None:
        write_rows(rows)
    else:
        write_pairs(value)


def write_rows(rows: Sequence[Mapping[str, Any]]) -> None:
    """Write rows as a table with a header."""
    if not rows:
        click.echo("(none)")
        return
    columns = list(dict.fromkeys(c for row in rows for c in row))
    cells = [[cell(row.get(column)) for column in columns] for row in rows]
    headers = [column.upper() for column in columns]
    widths = [
        max(len(line[index]) for line in [headers, *cells])
        for index in range(len(columns))
    ]
    for line in [headers, *cells]:
        click.echo(_format_line(line, widths))


def write_pairs(value: Mapping[str, Any]) -> None:
    """Write the fields of a mapping, one per line."""
    width = max((len(key) for key in value), default=0)
    for key, field in value.items():
        click.echo(f"{key:<{width}}  {cell(field, limit=None)}")


def cell(value: Any, *, limit: int | None = MAX_CELL) -> str:
    """Return a value as the text of a cell, cut to a limit."""
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:g}"
    if isinstance(value, (list, tuple)):
        text = ", ".join(cell(item, limit=None) for item in value) or "-"
    elif isinstance(value, Mapping):
        text = " ".join(
            f"{key}={cell(item, limit=None)}" for key, item in value.items()
        )
    else:
        text = str(value)
    if limit is not None and len(text) > limit:
        return text[: limit - 1] + "…"
    return text


def _format_line(cells: Iterable[str], widths: Iterable[int]) -> str:
    padded = [f"{text:<{width}}" for text, width in zip(cells, widths)]
    return "  ".join(padded).rstrip()
