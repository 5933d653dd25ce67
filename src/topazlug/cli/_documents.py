"""Formats and parses the whole table as YAML and as CSV.

In CSV, each line is a row of the table that the first column names. An empty
cell means that the table has no such column, or that the column has its
default value.
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
    """File formats of the table."""

    YAML = "yaml"
    CSV = "csv"


def choose_format(path: str, given: str | None) -> DocumentFormat:
    """Return the given format, or choose one by the file's name.

    Files named ``.csv`` are CSV, all others YAML.
    """
    if given is not None:
        return DocumentFormat(given)
    is_csv = pathlib.PurePath(path).suffix.lower() == ".csv"
    return DocumentFormat.CSV if is_csv else DocumentFormat.YAML


def format_document(
    document: dict[str, Any], document_format: DocumentFormat
) -> str:
    """Return a document as text of a format."""
    if document_format is DocumentFormat.CSV:
        return _format_csv(document)
    text: str = yaml.safe_dump(document, sort_keys=False, allow_unicode=True)
    return text


def parse_document(
    text: str, document_format: DocumentFormat
) -> dict[str, Any]:
    """Parse a document.

    Raises
    ------
    CommandFailed
        The text is not valid in the format, or, in CSV, has an unknown table
        or column.
    """
    if document_format is DocumentFormat.CSV:
        return _parse_csv(text)
    try:
        document = yaml.safe_load(text)
    except yaml.YAMLError as error:
        raise _invalid(f"invalid YAML: {error}") from error
    if not isinstance(document, dict):
        raise _invalid("the file is not a mapping of tables to lists of rows")
    return document


def _all_columns() -> list[str]:
    columns = [c for name in _TABLES for c in _values.columns_of(name)]
    return [TABLE_COLUMN, *dict.fromkeys(columns)]


def _format_csv(document: dict[str, Any]) -> str:
    text = io.StringIO()
    writer = csv.DictWriter(text, _all_columns(), restval="")
    writer.writeheader()
    for name in _TABLES:
        columns = _values.columns_of(name)
        for row in document.get(name.value, ()):
            cells = {
                c: _values.format_cell(row[c]) for c in columns if c in row
            }
            writer.writerow({TABLE_COLUMN: name.value, **cells})
    return text.getvalue()


def _parse_csv(text: str) -> dict[str, Any]:
    document: dict[str, Any] = {}
    reader = csv.DictReader(io.StringIO(text.removeprefix("\ufeff")))
    if TABLE_COLUMN not in (reader.fieldnames or ()):
        raise _invalid(f"the first line has no column {TABLE_COLUMN!r}")
    for cells in reader:
        try:
            name = _TABLES((cells.pop(TABLE_COLUMN) or "").strip())
        except ValueError as error:
            raise _invalid(f"line {reader.line_num}: {error}") from error
        if None in cells:
            raise _invalid(f"line {reader.line_num}: more cells than columns")
        row = {
            column: _values.parse_cell(name, column, cell)
            for column, cell in cells.items()
            if cell
        }
        document.setdefault(name.value, []).append(row)
    return document


def _invalid(message: str) -> _exit_codes.CommandFailed:
    return _exit_codes.CommandFailed(message, _exit_codes.ExitCode.INVALID)
