"""Tests of the page for operators."""

import base64
import hashlib
import re
from typing import Any

import pytest

from topazlug.administration import _administration_http
from topazlug.administration import _page

EXTERNAL_REFERENCE = re.compile(
    r"""(?:src|href)\s*=|https?://(?!www\.w3\.org/2000/svg)"""
)
MARKUP_INSERTION = re.compile(
    r"innerHTML|outerHTML|insertAdjacentHTML|document\.write"
)
BROWSER_STORAGE = re.compile(
    r"localStorage|sessionStorage|document\.cookie|indexedDB"
)


@pytest.fixture
def answer() -> _administration_http.Answer:
    (route,) = _page.routes()
    environ: dict[str, Any] = {"REQUEST_METHOD": "GET", "PATH_INFO": "/page"}
    return route.handler(_administration_http.Request(environ))


@pytest.fixture
def text(answer: _administration_http.Answer) -> str:
    return answer.body.decode()


class TestPage:
    def test_it_needs_no_token_and_holds_no_data(self) -> None:
        (route,) = _page.routes()

        assert (route.method, route.path, route.role) == ("GET", "/page", None)

    def test_it_is_html(self, answer: _administration_http.Answer) -> None:
        assert answer.content_type == "text/html; charset=utf-8"

    def test_it_loads_nothing_from_other_hosts(self, text: str) -> None:
        assert not EXTERNAL_REFERENCE.search(text)

    def test_text_of_rows_is_not_inserted_as_markup(self, text: str) -> None:
        """A row's text must not run as a script in the operator's browser.

        An operator with the role edit puts markup into a team's name, and an
        administrator opens the page. If the text were inserted as markup, its
        script could read the administrator's token.
        """
        assert not MARKUP_INSERTION.search(text)

    def test_the_token_is_stored_nowhere(self, text: str) -> None:
        assert not BROWSER_STORAGE.search(text)


class TestPolicy:
    def test_it_allows_the_pages_own_script_and_nothing_else(
        self, answer: _administration_http.Answer
    ) -> None:
        policy = dict(answer.headers)["Content-Security-Policy"]
        script = answer.body.split(b"<script>")[1].split(b"</script>")[0]
        digest = base64.b64encode(hashlib.sha256(script).digest()).decode()

        assert f"script-src 'sha256-{digest}';" in policy
        assert policy.startswith("default-src 'none';")
        assert "unsafe" not in policy

    def test_another_script_gets_another_policy(self) -> None:
        one = _page.content_security_policy(b"<script>one()</script>")
        other = _page.content_security_policy(b"<script>two()</script>")

        assert one != other
