"""Routing parameters of groups and teams from the table in force."""

from typing import final

from topazlug import _ids
from topazlug._generated import settings as _settings_types
from topazlug._generated import table
from topazlug.configuration import _configuration
from topazlug.targets import _targets

_DEFAULT_SLOTS = 16


@final
class TableRules:
    """Bounds, slots, reserves, weights and drains from the table.

    Parameters
    ----------
    configuration : ConfigurationHolder
        The table in force.
    routing : RoutingSettings
        Defaults for what a row does not set.
    """

    def __init__(
        self,
        *,
        configuration: _configuration.ConfigurationHolder,
        routing: _settings_types.RoutingSettings,
    ) -> None:
        self._configuration = configuration
        self._routing = routing

    def bound_of(self, group: _ids.GroupName) -> float:
        """Return the maximum load of a replica as a multiple of the mean."""
        service = self._service(group)
        if service is not None:
            return service.bound
        pool = self._pool(group)
        if pool is not None and pool.bound > 0:
            return max(1.0, pool.bound)
        return self._routing.bound

    def allowance_of(self, group: _ids.GroupName) -> int:
        """Return the load units allowed beyond the bound; always 0."""
        return 0

    def slots_of(self, group: _ids.GroupName) -> int:
        """Return the load units that one replica runs concurrently."""
        row = self._service(group) or self._pool(group)
        return _DEFAULT_SLOTS if row is None else row.slots

    def batch_reserve_of(self, group: _ids.GroupName) -> float:
        """Return the fraction of the slots that batch work may not use."""
        pool = self._pool(group)
        if pool is not None and pool.batch_reserve >= 0:
            return pool.batch_reserve
        return self._routing.batch_reserve

    def weight_of(self, team: _ids.TeamName) -> float:
        """Return a team's weight, 1 if the table has no such team."""
        row = self.team_of(team)
        return 1.0 if row is None else row.weight

    def team_of(self, team: _ids.TeamName) -> table.TeamRow | None:
        """Return a team's row, None if the table has no such team."""
        snapshot = self._configuration.current
        return snapshot.teams_by_name.get(team) if snapshot else None

    def drains(self) -> _targets.Drains:
        """Return the replicas and zones that operators drain."""
        snapshot = self._configuration.current
        rows = list(snapshot.drains_by_name.values()) if snapshot else []
        zone = table.DrainKind.zone
        return _targets.Drains(
            replicas=frozenset(r.name for r in rows if r.kind is not zone),
            zones=frozenset(r.name for r in rows if r.kind is zone),
        )

    def _service(self, group: _ids.GroupName) -> table.ServiceRow | None:
        snapshot = self._configuration.current
        return snapshot.services_by_name.get(group) if snapshot else None

    def _pool(self, group: _ids.GroupName) -> table.PoolRow | None:
        snapshot = self._configuration.current
        return snapshot.pools_by_name.get(group) if snapshot else None
