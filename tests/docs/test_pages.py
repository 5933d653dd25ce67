"""The pages say what the code does."""

import inspect
import pathlib
import re

import pytest

from topazlug import _errors

ROOT = pathlib.Path(__file__).parents[2]
ROW = re.compile(r"^\| `([a-z_]+)` \| (\d{3}) \|", re.MULTILINE)
LINK = re.compile(r"\]\(([^)#:]+)(?:#[^)]*)?\)")


def callers_errors() -> set[tuple[str, int]]:
    """Give code and status of each error that a caller can hear."""
    classes = [
        kind for _, kind in inspect.getmembers(_errors, inspect.isclass)
    ]
    return {
        (kind.code.value, int(kind.status))
        for kind in classes
        if issubclass(kind, _errors.RequestError)
    }


class TestCallersPage:
    def test_it_has_each_code_with_its_status(self) -> None:
        page = ROOT / "docs" / "reference" / "callers-api.md"
        rows = ROW.findall(page.read_text())

        assert {(code, int(status)) for code, status in rows} == (
            callers_errors()
        )

    def test_it_has_each_outcome(self) -> None:
        text = (ROOT / "docs" / "reference" / "callers-api.md").read_text()

        assert all(f"`{kind.value}`" in text for kind in _errors.Outcome)


PAGES = sorted([ROOT / "README.md", *(ROOT / "docs").rglob("*.md")])


class TestLinks:
    @pytest.mark.parametrize(
        "page", PAGES, ids=lambda page: str(page.relative_to(ROOT))
    )
    def test_each_leads_to_something(self, page: pathlib.Path) -> None:
        links = LINK.findall(page.read_text())

        assert [
            link for link in links if not (page.parent / link).exists()
        ] == []
