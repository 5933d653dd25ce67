"""Measures the timings of the guarantees, on fleets of loopback processes.

The tests in ``tests/fleet`` check that the guarantees hold; this module
measures how long each takes.
"""

from gevent import monkey

monkey.patch_all()

# flake8: noqa: E402
from collections.abc import Callable
from concurrent import futures
import itertools
import json
import time
from typing import Any

import click
import msgspec

from bench.experiments import proof_load
from bench.fleets import deployment as _deployment
from bench.fleets import fleet as _fleet
from bench.fleets import fleet_calls
from bench.fleets import processes

KEY = proof_load.KEY
MODEL = proof_load.MODEL
POOL = "pool"
SERVICE = "letters"
_WAIT_SECONDS = 60.0
_POLL_SECONDS = 0.02
_order_numbers = itertools.count(1)


def _make_deployment(
    *,
    daemons: int = 9,
    engines: int = 6,
    list_lag: float = 1.0,
) -> _deployment.Deployment:
    return _deployment.Deployment(
        name="proofs",
        region="region-1",
        zones=["zone-a", "zone-b", "zone-c"],
        daemons=daemons,
        pools=[
            _deployment.Pool(
                name=POOL, model=MODEL, replicas=engines, slots=64
            )
        ],
        services=[
            _deployment.Service(name=SERVICE, replicas=2, key_required=True)
        ],
        teams=[_deployment.Team(name="frontdesk", key=KEY)],
        engine=_deployment.Engine(token_interval=0.01),
        list_lag=list_lag,
    )


def _wait_for(condition: Callable[[], bool]) -> float:
    """Wait for a condition and return the seconds it took."""
    started = time.monotonic()
    while not condition():
        if time.monotonic() - started > _WAIT_SECONDS:
            raise processes.NotReady("condition was not met in time")
        time.sleep(_POLL_SECONDS)
    return time.monotonic() - started


def _order(daemon: _fleet.DaemonProcess) -> fleet_calls.Answer:
    return fleet_calls.order(
        daemon.url,
        key=KEY,
        idempotency_key=f"proof-{next(_order_numbers)}",
        service=SERVICE,
    )


def _is_ready(daemon: _fleet.DaemonProcess) -> bool:
    url = daemon.administration_url
    return fleet_calls.send(url, "GET", "/health/ready").status == 200


def _in_flight(daemon: _fleet.DaemonProcess) -> int:
    text = _fleet.get(f"{daemon.administration_url}/metrics").decode()
    for line in text.splitlines():
        if line.startswith("topazlug_requests_in_flight"):
            return int(float(line.rpartition(" ")[2]))
    return 0


def measure_stop() -> dict[str, Any]:
    """Measure a planned stop with 200 open streams."""
    streams = 200
    with _fleet.Fleet(_make_deployment(daemons=3)) as fleet:
        daemon = fleet.daemons[0]
        _stall(fleet, True)
        open_streams: list[futures.Future[fleet_calls.Answer]] = []
        with futures.ThreadPoolExecutor(streams) as executor:
            while len(open_streams) < streams:
                missing = min(10, streams - len(open_streams))
                open_streams += [
                    executor.submit(proof_load.chat, daemon, 100)
                    for _ in range(missing)
                ]
                _wait_for(
                    lambda: _in_flight(daemon)
                    == sum(not one.done() for one in open_streams)
                )
                open_streams = [one for one in open_streams if not one.done()]
            daemon.process.terminate()
            unready = _wait_for(lambda: not _is_ready(daemon))
            refused = (
                proof_load.chat(daemon, 1).ending is fleet_calls.Ending.REFUSED
            )
            _stall(fleet, False)
            endings = [one.result().ending for one in open_streams]
        code = daemon.process.wait(30.0)
    whole = endings.count(fleet_calls.Ending.WHOLE)
    return {
        "seconds_until_unready": round(unready, 3),
        "new_connection_refused": refused,
        "streams_whole": f"{whole} of {streams}",
        "exit_code": code,
    }


def _stall(fleet: _fleet.Fleet, stalled: bool) -> None:
    for engine in fleet.engines:
        fleet_calls.set_faults(engine.url, stalled=stalled)


def measure_leaving(*, list_lag: float) -> dict[str, Any]:
    """Measure how long a target gets new chats after each leaving signal."""
    measured: dict[str, Any] = {"list_lag": list_lag}
    with _fleet.Fleet(_make_deployment(list_lag=list_lag)) as fleet:
        with proof_load.Load(
            fleet.daemons, callers=18, pause=0.02, tokens=1
        ) as load:
            time.sleep(2.0)
            for signal_name, signal in (
                ("its own answer", _start_leaving),
                ("operators' drain", _drain),
            ):
                engine = fleet.engines.pop()
                measured[signal_name] = _seconds_until_last_chat(
                    signal, fleet, engine
                )
            killed = fleet.engines.pop()
            measured["killed"] = _seconds_until_dead(fleet, killed)
        measured["failures"] = load.failures()
        measured["chats"] = len(load.answers)
    return measured


def measure_leaving_by_list(*, list_lag: float) -> float:
    """Measure how long a target gets new chats once listed as leaving."""
    with _fleet.Fleet(_make_deployment(list_lag=list_lag)) as fleet:
        engine = fleet.engines.pop()
        with proof_load.Load(fleet.daemons, callers=18, pause=0.02, tokens=1):
            time.sleep(2.0)
            return _seconds_until_last_chat(_list_as_leaving, fleet, engine)


def _start_leaving(fleet: _fleet.Fleet, engine: _fleet.TargetProcess) -> None:
    _fleet.post(f"{engine.url}/admin/leave", {})


def _drain(fleet: _fleet.Fleet, engine: _fleet.TargetProcess) -> None:
    path = f"/v1/drains/{engine.name}"
    daemon = fleet.daemons[0]
    fleet_calls.operate(daemon, "PUT", path, {"kind": "replica"})


def _list_as_leaving(
    fleet: _fleet.Fleet, engine: _fleet.TargetProcess
) -> None:
    # The engine continues to report that it is live, also to the list
    # every two seconds. Only the list's entry signals its leaving here.
    shown = json.loads(_fleet.get(f"{fleet.platform_url}/instances"))
    entry = next(e for e in shown["instances"] if e["id"] == engine.name)
    entry["state"] = "leaving"
    for _ in range(40):
        fleet_calls.send(
            fleet.platform_url,
            "PUT",
            f"/instances/{engine.name}",
            body=json.dumps(entry).encode(),
        )


def _seconds_until_last_chat(
    signal: Callable[[_fleet.Fleet, _fleet.TargetProcess], None],
    fleet: _fleet.Fleet,
    engine: _fleet.TargetProcess,
) -> float:
    """Return the seconds from a leaving signal to the last chat sent."""
    begin = time.time()
    signal(fleet, engine)
    time.sleep(6.0)
    events = ("start", "refused")
    last = max(
        (
            entry["at"]
            for entry in fleet_calls.journal(engine)
            if entry["event"] in events
        ),
        default=begin,
    )
    return round(max(0.0, last - begin), 3)


def _seconds_until_dead(
    fleet: _fleet.Fleet, engine: _fleet.TargetProcess
) -> float:
    engine.process.kill()
    return round(
        _wait_for(
            lambda: all(
                fleet_calls.replicas(d)[engine.name]["state"] == "dead"
                for d in fleet.daemons
            )
        ),
        3,
    )


def measure_configuration(*, edits: int = 20) -> dict[str, Any]:
    """Measure the time until an accepted edit is in force on all daemons."""
    seconds = []
    with _fleet.Fleet(_make_deployment()) as fleet:
        for number in range(edits):
            daemon = fleet.daemons[number % len(fleet.daemons)]
            path = f"/v1/teams/team-{number}"
            answer = fleet_calls.operate(daemon, "PUT", path, {"weight": 2})
            accepted = time.monotonic()
            revision = answer.document["revision"]
            _wait_for(lambda: _all_have_revision(fleet, revision))
            seconds.append(time.monotonic() - accepted)
        revoked = _revoke(fleet)
    return {
        "edit_in_force": proof_load.spread(seconds),
        "key_refused": revoked,
    }


def _all_have_revision(fleet: _fleet.Fleet, revision: int) -> bool:
    return all(
        fleet_calls.operate(d, "GET", "/v1/config/status").document["revision"]
        >= revision
        for d in fleet.daemons
    )


def _revoke(fleet: _fleet.Fleet) -> float:
    daemon = fleet.daemons[0]
    path = "/v1/teams/frontdesk/keys"
    issued = fleet_calls.operate(daemon, "POST", path, {"label": "proof"})
    headers = {"Authorization": f"Bearer {issued.document['key']}"}

    def all_answer(status: int) -> bool:
        return all(
            fleet_calls.send(
                d.url, "GET", "/v1/models", headers=headers
            ).status
            == status
            for d in fleet.daemons
        )

    _wait_for(lambda: all_answer(200))
    digest = issued.document["hash"]
    fleet_calls.operate(daemon, "DELETE", f"{path}/{digest}")
    return round(_wait_for(lambda: all_answer(401)), 3)


def measure_owner_loss() -> dict[str, Any]:
    """Measure first tokens while an owner is frozen and after its kill."""
    with _fleet.Fleet(_make_deployment()) as fleet:
        frozen = _owner_of(fleet, fleet.engines[0].name)
        entries = [d for d in fleet.daemons if d is not frozen]
        with proof_load.Load(entries, callers=16, pause=0.05) as load:
            time.sleep(5.0)
            begin = time.monotonic()
            frozen.process.freeze()
            time.sleep(5.0)
            thawed = time.monotonic()
            frozen.process.thaw()
            time.sleep(5.0)
            end = time.monotonic()
            frozen.process.kill()
            time.sleep(5.0)
            after = time.monotonic()
        return {
            "calm": proof_load.first_token_spread(load.answers, 0.0, begin),
            "frozen": proof_load.first_token_spread(
                load.answers, begin, thawed
            ),
            "thawed": proof_load.first_token_spread(load.answers, thawed, end),
            "killed": proof_load.first_token_spread(load.answers, end, after),
            "failures": load.failures(),
            "places_left": _total_load(entries[0]),
        }


def _owner_of(fleet: _fleet.Fleet, replica: str) -> _fleet.DaemonProcess:
    name = fleet_calls.replicas(fleet.daemons[0])[replica]["owner"]
    return next(d for d in fleet.daemons if d.name == name)


def _total_load(daemon: _fleet.DaemonProcess) -> int:
    time.sleep(3.0)
    found = fleet_calls.replicas(daemon).values()
    return sum(int(replica["load"]) for replica in found)


def measure_outage(*, seconds: float) -> dict[str, Any]:
    """Measure what callers receive while the store and the list are down."""
    orders: list[fleet_calls.Answer] = []
    with _fleet.Fleet(_make_deployment()) as fleet:
        with proof_load.Load(fleet.daemons, callers=18, pause=0.05) as load:
            time.sleep(5.0)
            begin = time.monotonic()
            fleet_calls.set_faults(
                fleet.platform_url, down=True, down_list=True
            )
            while time.monotonic() < begin + seconds:
                daemon = fleet.daemons[len(orders) % len(fleet.daemons)]
                orders.append(_order(daemon))
                time.sleep(0.1)
            end = time.monotonic()
            fleet_calls.set_faults(
                fleet.platform_url, down=False, down_list=False
            )
            recovered = _wait_for(
                lambda: _order(fleet.daemons[0]).status == 200
            )
        ran = sum(len(fleet_calls.journal(s)) for s in fleet.services)
    refused = sum(
        order.status == 503
        and order.outcome == "not-run"
        and "retry-after" in order.headers
        for order in orders
    )
    return {
        "seconds": seconds,
        "chats_before": proof_load.first_token_spread(
            load.answers, 0.0, begin
        ),
        "chats_during": proof_load.first_token_spread(
            load.answers, begin, end
        ),
        "chat_failures": load.failures(),
        "claims": len(orders),
        "claims_refused_as_not_run": refused,
        "runs_at_services": ran,
        "seconds_until_claims_work": round(recovered, 3),
    }


_MEASUREMENTS: dict[str, Callable[[], Any]] = {
    "stop": measure_stop,
    "leaving": lambda: measure_leaving(list_lag=30.0),
    "leaving-by-list": lambda: measure_leaving_by_list(list_lag=0.0),
    "configuration": measure_configuration,
    "owner-loss": measure_owner_loss,
    "outage": lambda: measure_outage(seconds=60.0),
}


@click.command()
@click.argument("names", nargs=-1, type=click.Choice(sorted(_MEASUREMENTS)))
def main(names: tuple[str, ...]) -> None:
    """Measure the named guarantees, or all."""
    for name in names or tuple(_MEASUREMENTS):
        result = msgspec.to_builtins(_MEASUREMENTS[name]())
        click.echo(f"{name}: {json.dumps(result, indent=2)}")


if __name__ == "__main__":
    main()
