"""API resource of the state of the fleet."""

from typing import Any
from typing import Protocol
from typing import final

import msgspec

from topazlug import _errors
from topazlug.administration import _administration_http
from topazlug.configuration import _configuration


@final
class DaemonStatus(msgspec.Struct, frozen=True, kw_only=True):
    """One daemon as known to the answering one; revision -1 if unknown."""

    id: str
    zone: str = ""
    state: str = "live"
    incarnation: int = 0
    revision: int = int(_configuration.NO_REVISION)


@final
class ReplicaStatus(msgspec.Struct, frozen=True, kw_only=True):
    """One replica; load, bound and slots in load units, -1 if unknown."""

    id: str
    group: str
    zone: str = ""
    state: str = "live"
    owner: str = ""
    load: float = -1
    bound: float = -1
    slots: int = -1


@final
class TeamStatus(msgspec.Struct, frozen=True, kw_only=True):
    """One team's usage.

    `running` is in requests and `rate` in requests per second; a ceiling of 0
    means no ceiling.
    """

    name: str
    running: int = 0
    ceiling_running: int = 0
    rate: float = 0
    ceiling_rate: float = 0
    refused: int = 0


@final
class FleetStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The fleet as known to the daemon that answers."""

    daemon: str
    revision: int
    daemons: list[DaemonStatus] = []
    replicas: list[ReplicaStatus] = []
    teams: list[TeamStatus] = []


@final
class Candidate(msgspec.Struct, frozen=True, kw_only=True):
    """One replica of a chat's ranking and why it was or was not chosen."""

    rank: int
    replica: str
    owner: str = ""
    state: str = "live"
    load: float = -1
    bound: float = -1
    verdict: str = ""


@final
class Explanation(msgspec.Struct, frozen=True, kw_only=True):
    """Why a chat is placed on a replica."""

    group: str
    chat: str
    chosen: str = ""
    reason: str = ""
    candidates: list[Candidate] = []


class StatusSource(Protocol):
    """Source of the fleet's state for the administration API."""

    def status(self) -> FleetStatus:
        """Return the state of the fleet as known to this daemon."""

    def explain(self, *, chat: str, pool: str) -> Explanation:
        """Return why a chat is placed on a replica.

        Raises
        ------
        TopazlugError
            There is no such pool.
        """


@final
class StatusResource:
    """Returns the state of the fleet and explains placements."""

    def __init__(
        self,
        *,
        source: StatusSource,
        holder: _configuration.ConfigurationHolder,
    ) -> None:
        self._source = source
        self._holder = holder

    def routes(self) -> list[_administration_http.Route]:
        """Return the routes of the resource."""
        route = _administration_http.Route
        return [
            route(method="GET", path="/v1/status", handler=self._status),
            route(
                method="GET", path="/v1/config/status", handler=self._config
            ),
            route(method="GET", path="/v1/explain", handler=self._explain),
        ]

    def _status(
        self, request: _administration_http.Request
    ) -> _administration_http.Answer:
        return _administration_http.Answer(body=self._source.status())

    def _config(
        self, request: _administration_http.Request
    ) -> _administration_http.Answer:
        status = self._source.status()
        newest = max(
            [self._holder.revision, *(d.revision for d in status.daemons)]
        )
        wanted = request.number("revision", default=newest)
        counted = [d for d in status.daemons if d.state != "dead"]
        behind = [d.id for d in counted if d.revision < wanted]
        body: dict[str, Any] = {
            "revision": self._holder.revision,
            "wanted": wanted,
            "in_force": not behind and self._holder.revision >= wanted,
            "behind": behind,
            "refused_revision": self._holder.rejected_revision,
            "daemons": counted,
        }
        return _administration_http.Answer(body=body)

    def _explain(
        self, request: _administration_http.Request
    ) -> _administration_http.Answer:
        chat = request.query("chat")
        if not chat:
            raise _errors.BadHeader("chat is missing; add ?chat=<chat id>")
        explanation = self._source.explain(
            chat=chat, pool=request.query("pool")
        )
        return _administration_http.Answer(body=explanation)
