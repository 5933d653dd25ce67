"""Routes, tables and targets for tests of forwarding."""

from topazlug import _ids
from topazlug.forwarding import _table
from topazlug.targets import _targets

KEY = "key-1"
GROUP = _ids.GroupName("engines")


def route(**changes):
    values = {
        "name": "r",
        "host": "chat.example",
        "prefix": "/a/",
        "kind": _table.RequestKind.IDEMPOTENT,
        "timeout": 5.0,
        "latency_objective": 0.3,
        "max_pause": 0.3,
        "priority": 1,
        "shares": (_table.ServiceShare(GROUP, 1.0),),
        "max_replicas": 2,
        "anonymous": False,
        "has_context": False,
        "resumable": False,
    }
    return _table.Route(**{**values, **changes})


def table(*routes, version=1):
    team = _table.Team(_ids.TeamName("udelar"), None)
    return _table.RoutingTable(
        version=version,
        routes=list(routes),
        teams_by_key={KEY: team},
        bounds=_table.CallerBounds(),
    )


def target(
    name,
    *,
    group=GROUP,
    port=1,
    leaving=False,
    slots=8,
    incarnation=1,
    zone="z",
):
    return _targets.Target(
        replica=_ids.ReplicaId(name),
        kind=_targets.TargetKind.ENGINE,
        group=group,
        host="127.0.0.1",
        port=port,
        zone=zone,
        incarnation=incarnation,
        slots=slots,
        leaving=leaving,
    )
