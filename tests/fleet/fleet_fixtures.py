"""Deployments, requests and wait conditions for the tests of whole fleets."""

from collections.abc import Callable
from concurrent import futures
import contextlib
import hashlib
import itertools
import json
import pathlib
import time
from typing import Any
from typing import Iterator

from bench.fleets import deployment as _deployment
from bench.fleets import fleet as _fleet
from bench.fleets import fleet_calls

KEY = "demo-frontdesk"
TEAM = "frontdesk"
MODEL = "model-1"
POOL = "pool"
SERVICE = "letters"
WAIT_SECONDS = 20.0
_numbers = itertools.count(1)


def deployment(
    *,
    daemons: int,
    engines: int = 3,
    services: int = 2,
    slots: int = 64,
    service_slots: int = 32,
    list_lag: float = 0.2,
    token_interval: float = 0.01,
    settings: dict[str, dict[str, Any]] | None = None,
) -> _deployment.Deployment:
    """Describe a small deployment."""
    pool = _deployment.Pool(
        name=POOL, model=MODEL, replicas=engines, slots=slots
    )
    return _deployment.Deployment(
        name="test",
        region="region-1",
        zones=["zone-a", "zone-b", "zone-c"],
        daemons=daemons,
        pools=[pool] if engines else [],
        services=[
            _deployment.Service(
                name=SERVICE,
                replicas=services,
                slots=service_slots,
                key_required=True,
            )
        ],
        teams=[_deployment.Team(name=TEAM, key=KEY)],
        engine=_deployment.Engine(token_interval=token_interval),
        list_lag=list_lag,
        settings=settings or {},
    )


def eventually(
    condition: Callable[[], bool], *, seconds: float = WAIT_SECONDS
) -> None:
    """Wait until a condition holds."""
    end = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < end, "condition not met in time"
        time.sleep(0.02)


def new_key() -> str:
    """Return an Idempotency-Key that no other test uses."""
    return f"key-{next(_numbers)}"


def new_question() -> str:
    """Return a question that no other test sends."""
    return f"question {next(_numbers)}"


def chat(daemon: _fleet.DaemonProcess, **options: Any) -> fleet_calls.Answer:
    """Send a chat with a new question unless one is given."""
    request = {"key": KEY, "model": MODEL, "question": new_question()}
    return fleet_calls.chat(daemon.url, **(request | options))


def order(
    daemon: _fleet.DaemonProcess, idempotency_key: str, **options: Any
) -> fleet_calls.Answer:
    """Send a request that may run only once."""
    return fleet_calls.order(
        daemon.url,
        key=KEY,
        idempotency_key=idempotency_key,
        service=SERVICE,
        **options,
    )


def run_count(fleet: _fleet.Fleet, idempotency_key: str) -> int:
    """Return how often all services together ran a key's request."""
    return sum(
        run["idempotency_key"] == idempotency_key
        for service in fleet.services
        for run in fleet_calls.journal(service)
    )


def claim_states(fleet: _fleet.Fleet, idempotency_key: str) -> list[str]:
    """Return the states of a key's claims in the table service."""
    digest = hashlib.sha256(idempotency_key.encode()).hexdigest()
    found = _fleet.get(f"{fleet.platform_url}/table/rows/claims")
    return [
        row["value"]["state"]
        for row in json.loads(found)["rows"]
        if digest in row["key"]
    ]


def run_concurrently(
    calls: list[Callable[[], fleet_calls.Answer]],
) -> list[fleet_calls.Answer]:
    """Make calls concurrently."""
    with futures.ThreadPoolExecutor(len(calls)) as executor:
        return list(executor.map(lambda call: call(), calls))


def submit_order(
    executor: futures.Executor, *arguments: Any, **options: Any
) -> "futures.Future[fleet_calls.Answer]":
    """Send a request that may run only once, without waiting for it."""
    return executor.submit(order, *arguments, **options)


@contextlib.contextmanager
def faults(url: str, **switches: Any) -> Iterator[None]:
    """Enable faults of a stand-in, and disable them on exit."""
    defaults: dict[type, Any] = {bool: False, int: 0, float: 0.0}
    fleet_calls.set_faults(url, **switches)
    try:
        yield
    finally:
        off = {name: defaults[type(value)] for name, value in switches.items()}
        fleet_calls.set_faults(url, **off)


def is_idle(daemon: _fleet.DaemonProcess) -> bool:
    """Return whether a daemon counts no slot as held on any replica."""
    found = fleet_calls.replicas(daemon).values()
    return all(replica["load"] == 0 for replica in found)


def agree_on_owners(daemons: list[_fleet.DaemonProcess]) -> bool:
    """Return whether all daemons report the same owners."""
    views = [
        {
            name: entry["owner"]
            for name, entry in fleet_calls.replicas(d).items()
        }
        for d in daemons
    ]
    return all(view == views[0] for view in views)


def in_flight(daemon: _fleet.DaemonProcess) -> int:
    """Return the number of requests in progress on a daemon."""
    text = _fleet.get(f"{daemon.administration_url}/metrics").decode()
    for line in text.splitlines():
        name, _, value = line.rpartition(" ")
        if name.startswith("topazlug_requests_in_flight"):
            return int(float(value))
    return 0


def unaccepted_connections(daemon: _fleet.DaemonProcess) -> int:
    """Count the connections of callers that the daemon hasn't accepted yet.

    Only those count on which a request has arrived. The kernel lists them as
    established, with bytes to read, and without an inode, as no process has
    opened them yet.
    """
    local = f":{daemon.callers_port:04X}"
    lines = pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]
    found = 0
    for line in lines:
        fields = line.split()
        is_waiting = fields[3] == "01" and fields[9] == "0"
        has_request = not fields[4].endswith(":00000000")
        if fields[1].endswith(local) and is_waiting and has_request:
            found += 1
    return found
