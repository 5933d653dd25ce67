"""A pytest plugin that keeps the tests of KNOWN-RED.txt apart.

pytest's own ``--deselect`` goes by the beginning of a test's name, and would
pass over ``test_late_answer`` with ``test_late``. This goes by whole names.
"""

import pathlib
from typing import NamedTuple

import pytest

FILE = "KNOWN-RED.txt"
MAX_TESTS = 3
PASS_OVER = "pass-over"
ONLY = "only"


class KnownRed(NamedTuple):
    """A test that fails for a real fault."""

    test: str
    cause: str
    issue: str


def read(path: pathlib.Path) -> list[KnownRed]:
    """Read the list; no file is an empty list.

    Raises
    ------
    pytest.UsageError
        If a line is not ``test | cause | issue``, or there are too many.
    """
    if not path.exists():
        return []
    lines = [line for line in path.read_text().splitlines() if line.strip()]
    if len(lines) > MAX_TESTS:
        raise pytest.UsageError(
            f"{FILE}: {len(lines)} tests, at most {MAX_TESTS}; mend some"
        )
    return [_entry(line) for line in lines]


def _entry(line: str) -> KnownRed:
    parts = [part.strip() for part in line.split(" | ")]
    if len(parts) != len(KnownRed._fields) or not all(parts):
        raise pytest.UsageError(
            f"{FILE}: found {line!r}, expected 'test | cause | issue'"
        )
    return KnownRed(*parts)


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the option that says which tests run."""
    parser.addoption(
        "--known-red",
        choices=[PASS_OVER, ONLY],
        default=PASS_OVER,
        help=f"what to do with the tests of {FILE}",
    )


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Take out the listed tests, or all others."""
    listed = {entry.test for entry in read(config.rootpath / FILE)}
    missing = listed - {item.nodeid for item in items}
    if missing:
        raise pytest.UsageError(
            f"{FILE}: no such test: {', '.join(sorted(missing))}"
        )
    only = config.getoption("--known-red") == ONLY
    out = [item for item in items if (item.nodeid in listed) != only]
    items[:] = [item for item in items if (item.nodeid in listed) == only]
    config.hook.pytest_deselected(items=out)
