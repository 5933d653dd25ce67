"""A page on which operators look at the table and the fleet at work.

The page itself holds no data and needs no token; its script asks the API
with the token that the operator types in, and shows what that may read.
"""

import base64
import hashlib
from importlib import resources
import re
from typing import final

from topazlug.administration import _administration_http

PATH = "/page"
_FILE = "_page.html"
_TYPE = "text/html; charset=utf-8"
_INLINE = re.compile(rb"<(script|style)>(.*?)</\1>", re.DOTALL)


@final
class Page:
    """The page, read once."""

    def __init__(self) -> None:
        self._body = resources.files(__package__).joinpath(_FILE).read_bytes()
        self._headers = [
            ("Content-Security-Policy", policy_of(self._body)),
            ("X-Content-Type-Options", "nosniff"),
            ("X-Frame-Options", "DENY"),
            ("Referrer-Policy", "no-referrer"),
        ]

    def routes(self) -> list[_administration_http.Route]:
        """Return the path."""
        return [
            _administration_http.Route(
                method="GET", path=PATH, handler=self._answer, role=None
            )
        ]

    def _answer(
        self, request: _administration_http.Request
    ) -> _administration_http.Answer:
        return _administration_http.Answer(
            body=self._body, content_type=_TYPE, headers=self._headers
        )


def policy_of(body: bytes) -> str:
    """Return the policy that allows the page's own script and style only.

    A row's text that got into the page as markup would otherwise run with
    the operator's token at hand; under this policy it can neither run nor
    send anything elsewhere.
    """
    hashes: dict[str, list[str]] = {"script": [], "style": []}
    for kind, text in _INLINE.findall(body):
        digest = base64.b64encode(hashlib.sha256(text).digest()).decode()
        hashes[kind.decode()].append(f"'sha256-{digest}'")
    return "; ".join(
        [
            "default-src 'none'",
            f"script-src {' '.join(hashes['script'])}",
            f"style-src {' '.join(hashes['style'])}",
            "connect-src 'self'",
            "base-uri 'none'",
            "form-action 'none'",
            "frame-ancestors 'none'",
        ]
    )


def routes() -> list[_administration_http.Route]:
    """Return the page's path, for `Administration.add`."""
    return Page().routes()
