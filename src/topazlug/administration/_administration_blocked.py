"""Requests that are kept from targets, and their release."""

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
    """One request that crashes the replicas that run it.

    Attributes
    ----------
    fingerprint : str
        As in the logs, the same for all repeats of the request.
    group : str
        Pool or service whose replicas crashed.
    since, until : str
        RFC 3339.
    crashes : list of str
        Starts of replicas that crashed under it.
    """

    fingerprint: str
    group: str
    since: str
    until: str
    crashes: list[str]


@final
class BlockedResource:
    """Answers questions about blocked requests.

    Parameters
    ----------
    guard : CrashGuard
        Blocks and releases.
    """

    def __init__(self, *, guard: _crash_guard.CrashGuard) -> None:
        self._guard = guard

    def routes(self) -> list[_administration_http.Route]:
        """Return the paths; they go before those of the table's rows."""
        made = _administration_http.Route
        return [
            made(method="GET", path=_PATH, handler=self._list),
            made(
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
                f"no request has the fingerprint {fingerprint!r} and is"
                " blocked; see GET /v1/blocked"
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
