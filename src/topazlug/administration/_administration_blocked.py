"""API resource of requests blocked by the crash guard."""

from typing import final

import msgspec

from topazlug import _errors
from topazlug import _ids
from topazlug._generated import table
from topazlug.administration import _administration_http
from topazlug.crashes import _crash_guard
from topazlug.crashes import _crash_records

_PATH = "/v1/blocked"


@final
class BlockedRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A request that is blocked because it crashes replicas.

    Attributes
    ----------
    fingerprint : str
        Hash of the request as in the logs, the same for all its repeats.
    group : str
        Pool or service whose replicas crashed.
    since, until : str
        Times in RFC 3339 format.
    crashes : list of str
        Replica processes that crashed while they ran the request.
    """

    fingerprint: str
    group: str
    since: str
    until: str
    crashes: list[str]


@final
class BlockedResource:
    """Lists and releases blocked requests.

    Parameters
    ----------
    guard : CrashGuard
        Holds the blocked requests.
    """

    def __init__(self, *, guard: _crash_guard.CrashGuard) -> None:
        self._guard = guard

    def routes(self) -> list[_administration_http.Route]:
        """Return the routes; they must precede those of the table's rows."""
        route = _administration_http.Route
        return [
            route(method="GET", path=_PATH, handler=self._list),
            route(
                method="DELETE",
                path=f"{_PATH}/{{fingerprint}}",
                handler=self._release,
                role=table.OperatorRole.edit,
            ),
        ]

    def _list(
        self, request: _administration_http.Request
    ) -> _administration_http.Answer:
        blocked = [_blocked_request(block) for block in self._guard.blocks()]
        return _administration_http.Answer(body={"blocked": blocked})

    def _release(
        self, request: _administration_http.Request
    ) -> _administration_http.Answer:
        fingerprint = _ids.Fingerprint(request.segments[-1])
        block = self._guard.release(fingerprint)
        if block is None:
            raise _errors.NotBlocked(
                f"no request with the fingerprint {fingerprint!r} is blocked;"
                " see GET /v1/blocked"
            )
        return _administration_http.Answer(body=_blocked_request(block))


def _blocked_request(block: _crash_records.Block) -> BlockedRequest:
    return BlockedRequest(
        fingerprint=block.fingerprint,
        group=block.group,
        since=block.at.isoformat(),
        until=(block.at + _crash_records.RETENTION).isoformat(),
        crashes=list(block.starts),
    )
