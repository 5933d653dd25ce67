"""A web page that shows operators the table and the state of the fleet.

The page itself contains no data and needs no token. Its script calls the API
with the token that the operator enters, and shows what the token gives access
to.
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
    """The page, read from its file once."""

    def __init__(self) -> None:
        self._body = resources.files(__package__).joinpath(_FILE).read_bytes()
        self._headers = [
            ("Content-Security-Policy", content_security_policy(self._body)),
            ("X-Content-Type-Options", "nosniff"),
            ("X-Frame-Options", "DENY"),
            ("Referrer-Policy", "no-referrer"),
        ]

    def routes(self) -> list[_administration_http.Route]:
        """Return the route of the page."""
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


def content_security_policy(body: bytes) -> str:
    """Return a policy that allows only the page's own script and style.

    Without it, a script injected through the text of a row would run with
    access to the operator's token. The policy prevents such a script from
    running and from sending data to other hosts.
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
    """Return the route of the page, for `Administration.add`."""
    return Page().routes()
