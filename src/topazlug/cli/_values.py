"""Converts columns of rows from text and to text."""

from typing import Any
from typing import Iterable

import msgspec
from msgspec import inspect

from topazlug.cli import _exit_codes
from topazlug.configuration import _table_snapshot

EMPTY_LIST = "[]"
SEPARATOR = ","
EXCLUDED_COLUMNS = frozenset(("keys",))


def columns_of(name: _table_snapshot.TableName) -> dict[str, Any]:
    """Return a table's columns and their types, except a team's keys."""
    row_type = _table_snapshot.ROW_TYPE_BY_TABLE[name]
    info = inspect.type_info(row_type)
    assert isinstance(info, inspect.StructType)
    return {
        field.name: _strip_metadata(field.type)
        for field in info.fields
        if field.name not in EXCLUDED_COLUMNS
    }


def _strip_metadata(kind: inspect.Type) -> inspect.Type:
    """Return a type without the metadata that the schema adds to it."""
    while isinstance(kind, inspect.Metadata):
        kind = kind.type
    return kind


def parse_pairs(
    name: _table_snapshot.TableName, pairs: Iterable[str]
) -> dict[str, Any]:
    """Parse ``column=value`` pairs.

    Raises
    ------
    CommandFailed
        There is no such column, or the value is of another type.
    """
    values = {}
    for pair in pairs:
        column, equals, text = pair.partition("=")
        if not equals:
            raise _usage_error(f"{pair!r} is not of the form column=value")
        values[column] = parse_cell(name, column, text)
    return values


def parse_cell(name: _table_snapshot.TableName, column: str, text: str) -> Any:
    """Parse the value of a column.

    Raises
    ------
    CommandFailed
        There is no such column, or the value is of another type.
    """
    columns = columns_of(name)
    if column not in columns:
        raise _usage_error(
            f"{name.value} have no column {column!r}; the columns are:"
            f" {', '.join(columns)}"
        )
    kind = columns[column]
    if isinstance(kind, inspect.ListType):
        if text.strip() in ("", EMPTY_LIST):
            return []
        return [item.strip() for item in text.split(SEPARATOR)]
    try:
        return _parse_scalar(kind, text.strip())
    except (ValueError, msgspec.ValidationError) as error:
        raise _exit_codes.CommandFailed(
            f"{column}={text}: {error}", _exit_codes.ExitCode.INVALID
        ) from error


def _parse_scalar(kind: inspect.Type, text: str) -> Any:
    if isinstance(kind, inspect.BoolType):
        return msgspec.convert(text, bool, strict=False)
    if isinstance(kind, inspect.IntType):
        return int(text)
    if isinstance(kind, inspect.FloatType):
        return float(text)
    return text


def format_cell(value: Any) -> str:
    """Return a column's value as text that `parse_cell` can parse."""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return SEPARATOR.join(value) if value else EMPTY_LIST
    if isinstance(value, float):
        return f"{value:.15g}"
    return str(value)


def _usage_error(message: str) -> _exit_codes.CommandFailed:
    return _exit_codes.CommandFailed(message, _exit_codes.ExitCode.USAGE)
