"""The routing table: routes, services, teams and bounds on callers.

A table is immutable. A new version replaces the whole table, so that one
version applies to a request from its route to its last byte.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import enum
import types
from typing import NamedTuple
from typing import final

import msgspec

from topazlug import _errors
from topazlug import _ids
from topazlug.targets import _cold_replicas

# Replicas distinguish ten ranks.
LAST_RANK = 9


class RequestKind(enum.Enum):
    """Kind of a route's requests; decides whether they are repeatable."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at-most-once"
    STREAM = "stream"


@final
class ServiceShare(msgspec.Struct, frozen=True):
    """A service of a route and its weight among the route's services."""

    group: _ids.GroupName
    weight: float


@final
class Route(msgspec.Struct, frozen=True, kw_only=True):
    """A route.

    Attributes
    ----------
    name, host, prefix : str
        Its name, and the host and path prefix of its requests; the prefix
        begins and ends with a slash.
    kind : RequestKind
        Kind of its requests.
    timeout : float
        Maximum seconds that a caller waits.
    latency_objective : float
        Maximum seconds until the first byte of an answer that is on time.
    max_pause : float
        Maximum seconds between two events of a stream that is on time.
    priority : int
        Priority of its requests, 0 first.
    shares : tuple of ServiceShare
        Services that run its requests; at least one.
    max_replicas : int
        Maximum number of replicas that one request may be sent to.
    anonymous : bool
        Whether a request needs no API key.
    has_context : bool
        Whether requests share parts of prompts that replicas cache.
    resumable : bool
        Whether a stream may be resumed at another replica.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    timeout: float
    latency_objective: float
    max_pause: float
    priority: int
    shares: tuple[ServiceShare, ...]
    max_replicas: int
    anonymous: bool
    has_context: bool
    resumable: bool

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RequestKind.IDEMPOTENT or (
            self.kind is RequestKind.STREAM and self.resumable
        )

    def allows(self, group: _ids.GroupName) -> bool:
        """Return whether a service may run its requests."""
        return any(
            share.group == group and share.weight > 0 for share in self.shares
        )

    def group_for(self, seed: int) -> _ids.GroupName:
        """Return the service of one request, chosen by weight.

        Parameters
        ----------
        seed : int
            Hash of the chat, so that all its requests get one service.
        """
        total = sum(share.weight for share in self.shares)
        point = (seed % 1_000_003) / 1_000_003 * total
        for share in self.shares:
            point -= share.weight
            if point < 0:
                return share.group
        return self.shares[-1].group


@final
class Team(msgspec.Struct, frozen=True):
    """A team."""

    name: _ids.TeamName
    priority: int | None


@final
class CallerBounds(msgspec.Struct, frozen=True):
    """Bounds on the size and duration of callers' requests."""

    max_head_bytes: int = 16384
    max_body_bytes: int = 4194304
    head_timeout: float = 3.0
    idle_timeout: float = 15.0


@final
class RoutingTable:
    """One version of the table.

    Parameters
    ----------
    version : int
        Increases with each change.
    routes : list of Route
        All routes.
    teams_by_key : mapping or None
        Teams by API key; None if no keys are required.
    bounds : CallerBounds
        Bounds on callers.
    cold_start_by_group : mapping
        Limits of replicas after a start, for the groups that have any.
    """

    def __init__(
        self,
        *,
        version: int,
        routes: list[Route],
        teams_by_key: Mapping[str, Team] | None,
        bounds: CallerBounds,
        cold_start_by_group: Mapping[
            _ids.GroupName, _cold_replicas.ColdStart
        ] = types.MappingProxyType({}),
    ) -> None:
        self.version = version
        self.cold_start_by_group = cold_start_by_group
        self.bounds = bounds
        self.teams_by_key = teams_by_key
        self.routes_by_host: dict[str, list[Route]] = {}
        for route in routes:
            self.routes_by_host.setdefault(route.host, []).append(route)
        for routes_of_host in self.routes_by_host.values():
            routes_of_host.sort(
                key=lambda route: len(route.prefix), reverse=True
            )

        self._rank_by_precedence = _rank_precedences(routes, teams_by_key)

    def rank_of(self, route: Route, team: Team | None) -> int:
        """Return the rank of a team's requests on a route, 0 first.

        Requests are ordered by the team's priority, then by the route's.
        Engines and owners receive the rank only. If it were based on the
        team's priority alone, the most and the least urgent routes of a team
        would wait in the same queue.
        """
        return self._rank_by_precedence[_precedence(route, team)]

    def find_route(self, host: str, path: str) -> Route:
        """Return the route with the longest prefix of a path.

        Raises
        ------
        UnknownPath
            No route of this host has a prefix of the path.
        """
        name = host.rpartition(":")[0] if ":" in host else host
        for route in self.routes_by_host.get(name.lower(), ()):
            if path.startswith(route.prefix):
                return route
        raise _errors.UnknownPath(f"no route for {path[:80]!r} on {name!r}")

    def find_team(self, route: Route, key: str | None) -> Team | None:
        """Return the team of an API key.

        None if no key is required and this one is missing or unknown.

        Raises
        ------
        BadKey
            The route requires a key, and this one is missing or unknown.
        """
        if self.teams_by_key is None:
            return None
        team = self.teams_by_key.get(key) if key else None
        if team is None and not route.anonymous:
            raise _errors.BadKey("the API key is missing or unknown")
        return team


class _Precedence(NamedTuple):
    """Sort key of requests, lowest first."""

    priority: int
    route_priority: int


def _precedence(route: Route, team: Team | None) -> _Precedence:
    if team is None or team.priority is None:
        return _Precedence(route.priority, route.priority)
    return _Precedence(team.priority, route.priority)


def _rank_precedences(
    routes: Iterable[Route], teams_by_key: Mapping[str, Team] | None
) -> dict[_Precedence, int]:
    """Return the rank of each precedence that a request can have."""
    teams: set[Team | None] = {None, *(teams_by_key or {}).values()}
    route_by_priority = {route.priority: route for route in routes}
    precedences = sorted(
        {
            _precedence(route, team)
            for route in route_by_priority.values()
            for team in teams
        }
    )
    last = max(1, len(precedences) - 1)
    # If there are more precedences than ranks, adjacent ones share a rank.
    steps = min(LAST_RANK, last)
    return {
        precedence: index * steps // last
        for index, precedence in enumerate(precedences)
    }


@final
class TableHolder:
    """Holds the table in force, whose version never decreases.

    A store that was unreachable or serves an old copy may return an older
    version than the one in force. Applying it would restore routes and keys
    that operators have already removed.
    """

    def __init__(self) -> None:
        self.current: RoutingTable | None = None

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first table."""
        return self.current.version if self.current else 0

    def update(self, table: RoutingTable) -> bool:
        """Put a table in force if it is newer; return whether it is."""
        if table.version <= self.version:
            return False
        self.current = table
        return True
