"""A pytest plugin that deselects the tests of KNOWN-RED.txt, or all others.

An entry may also name a folder or script of the repository that is run by
hand; there is nothing to deselect then, but it must exist.

pytest's own ``--deselect`` matches prefixes of node ids, so ``test_late``
would also deselect ``test_late_answer``. This plugin matches complete ids.
"""

import pathlib
from typing import NamedTuple

import pytest

FILE = "KNOWN-RED.txt"
MAX_TESTS = 3
# The users do not count the entries of this issue.
UNCOUNTED_ISSUE = "71"
PASS_OVER = "pass-over"
ONLY = "only"


class KnownRed(NamedTuple):
    """A test that is known to fail because of a real fault."""

    test: str
    cause: str
    issue: str

    @property
    def is_test(self) -> bool:
        """Return whether pytest runs it."""
        return "::" in self.test


def read(path: pathlib.Path) -> list[KnownRed]:
    """Return the listed tests, none if the file does not exist.

    Raises
    ------
    pytest.UsageError
        If a line is not ``test | cause | issue``, or there are too many lines.
    """
    if not path.exists():
        return []
    lines = [line for line in path.read_text().splitlines() if line.strip()]
    entries = [_parse_entry(line) for line in lines]
    count = sum(
        entry.is_test and entry.issue != UNCOUNTED_ISSUE for entry in entries
    )
    if count > MAX_TESTS:
        raise pytest.UsageError(
            f"{FILE}: {count} tests, at most {MAX_TESTS}; fix some"
        )
    return entries


def _parse_entry(line: str) -> KnownRed:
    parts = [part.strip() for part in line.split(" | ")]
    if len(parts) != len(KnownRed._fields) or not all(parts):
        raise pytest.UsageError(
            f"{FILE}: found {line!r}, expected 'test | cause | issue'"
        )
    return KnownRed(*parts)


def pytest_addoption(parser: pytest.Parser) -> None:
    """Add the option that selects the tests to run."""
    parser.addoption(
        "--known-red",
        choices=[PASS_OVER, ONLY],
        default=PASS_OVER,
        help=f"whether to deselect the tests of {FILE} or to run only them",
    )


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Deselect the listed tests, or all others."""
    entries = read(config.rootpath / FILE)
    listed = {entry.test for entry in entries if entry.is_test}
    missing = listed - {item.nodeid for item in items}
    missing |= {
        entry.test
        for entry in entries
        if not entry.is_test and not (config.rootpath / entry.test).exists()
    }
    if missing:
        raise pytest.UsageError(
            f"{FILE}: no such test: {', '.join(sorted(missing))}"
        )
    only = config.getoption("--known-red") == ONLY
    deselected = [item for item in items if (item.nodeid in listed) != only]
    items[:] = [item for item in items if (item.nodeid in listed) == only]
    config.hook.pytest_deselected(items=deselected)
