"""Reads and writes the whole table as YAML and as CSV.

In CSV each line is a row of any table, told by the first column; a cell is
empty where the table has no such column or the default stands.
"""

import csv
import enum
import io
import pathlib
from typing import Any

import yaml

from topazlug.cli import _exit_codes
from topazlug.cli import _values
from topazlug.configuration import _table_snapshot

TABLE_COLUMN = "table"
_TABLES = _table_snapshot.TableName


class DocumentFormat(enum.Enum):
    """How the table is written."""

    YAML = "yaml"
    CSV = "csv"


def format_of(path: str, given: str | None) -> DocumentFormat:
    """Tell a file's format by what was given, else by its name."""
    if given is not None:
        return DocumentFormat(given)
    is_csv = pathlib.PurePath(path).suffix.lower() == ".csv"
    return DocumentFormat.CSV if is_csv else DocumentFormat.YAML


def written(document: dict[str, Any], form: DocumentFormat) -> str:
    """Return a document as text."""
    if form is DocumentFormat.CSV:
        return _written_csv(document)
    text: str = yaml.safe_dump(document, sort_keys=False, allow_unicode=True)
    return text


def read(text: str, form: DocumentFormat) -> dict[str, Any]:
    """Read a document.

    Raises
    ------
    CommandFailed
        The text is not of the format, or names what there is not.
    """
    if form is DocumentFormat.CSV:
        return _read_csv(text)
    try:
        document = yaml.safe_load(text)
    except yaml.YAMLError as error:
        raise _invalid(f"no YAML: {error}") from error
    if not isinstance(document, dict):
        raise _invalid("the file is no mapping of tables to lists of rows")
    return document


def _all_columns() -> list[str]:
    columns = [c for name in _TABLES for c in _values.columns_of(name)]
    return [TABLE_COLUMN, *dict.fromkeys(columns)]


def _written_csv(document: dict[str, Any]) -> str:
    text = io.StringIO()
    writer = csv.DictWriter(text, _all_columns(), restval="")
    writer.writeheader()
    for name in _TABLES:
        columns = _values.columns_of(name)
        for row in document.get(name.value, ()):
            cells = {c: _values.as_text(row[c]) for c in columns if c in row}
            writer.writerow({TABLE_COLUMN: name.value, **cells})
    return text.getvalue()


def _read_csv(text: str) -> dict[str, Any]:
    document: dict[str, Any] = {}
    reader = csv.DictReader(io.StringIO(text.removeprefix("\ufeff")))
    if TABLE_COLUMN not in (reader.fieldnames or ()):
        raise _invalid(f"no column {TABLE_COLUMN!r} in the first line")
    for cells in reader:
        try:
            name = _TABLES((cells.pop(TABLE_COLUMN) or "").strip())
        except ValueError as error:
            raise _invalid(f"line {reader.line_num}: {error}") from error
        if None in cells:
            raise _invalid(f"line {reader.line_num}: more cells than heads")
        row = {
            column: _values.parsed(name, column, cell)
            for column, cell in cells.items()
            if cell
        }
        document.setdefault(name.value, []).append(row)
    return document


def _invalid(message: str) -> _exit_codes.CommandFailed:
    return _exit_codes.CommandFailed(message, _exit_codes.ExitCode.INVALID)
