"""The description of a deployment in a file, and its table rows."""

import pathlib
from typing import Any

import msgspec
import yaml

from topazlug.administration import _tokens


class Pool(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """One pool of stand-in engines."""

    name: str
    model: str
    replicas: int
    slots: int = 16
    bound: float = 0
    batch_reserve: float = -1


class Service(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """One plain service."""

    name: str
    replicas: int
    slots: int = 32
    key_required: bool = False


class Team(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """One team; for trials only, as its key is stored in plain text."""

    name: str
    key: str
    weight: float = 1.0
    ceiling_rate: float = 0
    ceiling_running: int = 0
    request_class: str = "interactive"


class Engine(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """The behavior of a stand-in engine; the values are assumptions."""

    token_interval: float = 0.02
    token_interval_per_running: float = 0.0
    prefill_tokens_per_second: float = 20000.0
    prefix_cache_tokens: int = 200000
    load_lag: float = 0.5


class Deployment(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """One user's deployment."""

    name: str
    region: str
    zones: list[str]
    daemons: int
    pools: list[Pool]
    services: list[Service] = []
    teams: list[Team] = []
    engine: Engine = msgspec.field(default_factory=Engine)
    list_lag: float = 1.0
    operator_token: str = "demo-operator-token"
    settings: dict[str, dict[str, Any]] = {}


def load(path: pathlib.Path) -> Deployment:
    """Read a deployment from a file."""
    return msgspec.convert(yaml.safe_load(path.read_text()), Deployment)


def rows(deployment: Deployment) -> dict[str, list[dict[str, Any]]]:
    """Return the operators' rows of a deployment by table."""
    pools = [
        {
            "name": pool.name,
            "model": pool.model,
            "slots": pool.slots,
            "bound": pool.bound,
            "batch_reserve": pool.batch_reserve,
        }
        for pool in deployment.pools
    ]
    services = [
        {
            "name": service.name,
            "slots": service.slots,
            "key_required": service.key_required,
        }
        for service in deployment.services
    ]
    teams = [
        {
            "name": team.name,
            "weight": team.weight,
            "ceiling_rate": team.ceiling_rate,
            "ceiling_running": team.ceiling_running,
            "request_class": team.request_class,
            "keys": [{"hash": _tokens.hash_of(team.key), "label": "demo"}],
        }
        for team in deployment.teams
    ]
    operators = [
        {
            "name": "demo",
            "role": "admin",
            "token_hash": _tokens.hash_of(deployment.operator_token),
        }
    ]
    return {
        "pools": pools,
        "services": services,
        "teams": teams,
        "operators": operators,
    }
