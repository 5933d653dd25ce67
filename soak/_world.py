"""The daemons, replicas, links and store of one run."""

from collections.abc import Iterator
import contextlib
import json
import math
import pathlib
import signal
import time
from typing import Any
from typing import NamedTuple

import gevent
from gevent import server as gevent_server

from bench.fleets import processes
from soak import _bad_parts
from soak import _clients
from soak import _cut_daemons
from soak import _eager_callers
from soak import _expected
from soak import _misbehaving_clients
from soak import _run_plan
from soak import _store
from soak import _surging_team
from standins import _cut_link
from standins import _relay

ROOT = pathlib.Path(__file__).parents[1]
KEY = "soak-key"
HOST = _clients.HOST
SERVICE = "soak"
ZONES = ("y", "z")
TEAM = "soak"
_PEER_PORT = 7340
_SLOTS = 16
# The usual 15 callers hold about 9 slots for streams and 3 for other requests
# at a time, of the 24 of four replicas. A surge adds 21 callers, which makes
# that 29. With fewer slots too few requests are served to compare the teams.
_SLOTS_UNDER_PRESSURE = 6
# Between the replacements of two replicas in a release.
_RELEASE_PAUSE_SECONDS = 0.5


class Disruption(NamedTuple):
    """A time span in which a replica was not healthy."""

    began: float
    ended: float
    is_failing: bool


class Evacuation(NamedTuple):
    """A time span in which a zone was to receive no new requests."""

    zone: str
    began: float
    ended: float


class ReplicaReport(NamedTuple):
    """What a replica recorded of itself.

    The kind is `leaving` or `backoff` if it reported this in a response, or
    `kv-list` if it was asked for its contexts, which names no attempt.
    """

    at: float
    replica: str
    attempt: str
    kind: str


class Link:
    """A loopback proxy in front of one replica."""

    def __init__(self, port: int) -> None:
        self._relay = _relay.Relay(host="127.0.0.1", port=port)
        self._server = gevent_server.StreamServer(
            ("127.0.0.1", 0), self._relay.handle
        )
        self._server.start()
        self.port = int(self._server.server_port)

    def set_faults(self, **faults: Any) -> None:
        """Set the link's faults, in place of all earlier ones."""
        self._relay.set_faults(_relay.Faults(**faults))

    def stop(self) -> None:
        """Close the listener."""
        self._server.stop(timeout=0)


class Replica:
    """A replica's process and the link to it."""

    def __init__(
        self,
        *,
        name: str,
        folder: pathlib.Path,
        store: str,
        seed: int,
        direct: bool,
        zone: str,
        version: str,
        cold: bool,
        plan: _run_plan.RunPlan,
    ) -> None:
        port = processes.free_port()
        self.name = name
        self.zone = zone
        self.version = version
        self.link = Link(port)
        self.drained_at: float | None = None
        self.announces_leaving = False
        self.is_rejecting = False
        self.is_slow = False
        self.is_failing = False
        self.started_at = time.monotonic()
        self.replaced_at = math.inf
        self.slots = _SLOTS_UNDER_PRESSURE if plan.has_pressure else _SLOTS
        self.disruptions: list[Disruption] = []
        settings = {
            "id": name,
            "service": SERVICE,
            "port": port,
            "address": f"127.0.0.1:{port if direct else self.link.port}",
            "store": store,
            "ledger": str(folder / "runs.txt"),
            "ends": str(folder / "ends.txt"),
            "words": str(folder / "words.txt"),
            "seed": seed,
            "zone": zone,
            "version": version,
            "cold": cold,
            "slots": self.slots,
            "load_report": plan.load_report.value,
        }
        self.process = processes.Process(
            name=name,
            arguments=["-m", "soak._replica", json.dumps(settings)],
            folder=folder,
        )
        self.process.start()

    @contextlib.contextmanager
    def disrupted(self, *, is_failing: bool = False) -> Iterator[None]:
        """Record that it is not healthy until the context is left."""
        began = time.monotonic()
        # Replaced at the end; until then it counts as disrupted for good.
        self.disruptions.append(Disruption(began, math.inf, is_failing))
        position = len(self.disruptions) - 1
        yield
        self.disruptions[position] = Disruption(
            began, time.monotonic(), is_failing
        )


class Daemon:
    """A daemon's process, on its own loopback address."""

    def __init__(
        self,
        *,
        number: int,
        folder: pathlib.Path,
        store_port: int,
        seed: int,
        has_pressure: bool = False,
    ) -> None:
        # All daemons of a deployment use the same ports, so each needs its
        # own address, also across seeds that run at the same time.
        network = f"127.{1 + seed // 250 % 250}.{seed % 250}"
        self.host = f"{network}.{number + 2}"
        self.port = processes.free_port()
        self.ready_port = processes.free_port()
        self.killed_at: list[float] = []
        self._is_starting = False
        self.disruptions: list[tuple[float, float]] = []
        self._path = folder / f"boot-{number}.json"
        self._settings = self._new_settings(number, store_port)
        if has_pressure:
            self._settings["invariants"] = ["pressure"]
        self._write_settings()
        self.process = processes.Process(
            name=f"daemon-{number}",
            arguments=[str(ROOT / "platform" / "topazlugd.py")],
            folder=folder,
            environment={"TOPAZLUG_CONFIG": str(self._path)},
        )

    def _new_settings(self, number: int, store_port: int) -> dict[str, Any]:
        return {
            "node_name": f"daemon-{number}",
            "bootstrap": True,
            "zone": "z",
            "listeners_map": {
                "frontend": f"{self.host}:{self.port}",
                "ready": f"{self.host}:{self.ready_port}",
            },
            "internal_port_range": [_PEER_PORT, _PEER_PORT + 15],
            "limits": {
                "file_descriptors": 1024,
                "memory_mb": _misbehaving_clients.MEMORY_MB,
            },
            "bounds": {
                "retry_budget_ratio": 0.2,
                "retry_budget_extra": 60,
                "grace_period_s": 8,
            },
            "platform": {"address": f"127.0.0.1:{store_port}"},
        }

    def start(self) -> None:
        """Start the process unless an overlapping fault already does.

        Other greenlets run while a process starts. Of two processes only the
        second would be tracked; the first would keep running after the run
        and hold its addresses.
        """
        if not self._is_starting and not self.process.is_running():
            self._is_starting = True
            try:
                self._write_settings()
                self.process.start()
            finally:
                self._is_starting = False
            self._settings["bootstrap"] = False
        self.record_disruption()

    def _write_settings(self) -> None:
        self._path.write_text(json.dumps(self._settings))

    def record_disruption(self, seconds: float = 0.0) -> None:
        """Record that time bounds don't apply to this daemon for a while."""
        now = time.monotonic()
        self.disruptions.append((now, now + seconds + 3.0))

    def record_kill(self) -> None:
        """Record that this daemon is about to be killed."""
        self.killed_at.append(time.monotonic())
        self.record_disruption()


class World:
    """All processes, links and the store of one run.

    Parameters
    ----------
    folder : pathlib.Path
        Directory of the logs, the settings and the ledger of runs.
    daemons, replicas : int
        Number of processes.
    seed : int
        Determines the faults that the replicas produce themselves.
    direct : bool
        Whether daemons connect to replicas without a link. A link accepts
        connections even after its replica has exited.
    plan : RunPlan
        Properties of the run.
    """

    def __init__(
        self,
        *,
        folder: pathlib.Path,
        daemons: int,
        replicas: int,
        seed: int,
        direct: bool = False,
        plan: _run_plan.RunPlan = _run_plan.RunPlan(),
    ) -> None:
        self._plan = plan
        self._direct = direct
        self.folder = folder
        self._seed = seed
        self._replica_count = 0
        self._version = 1
        self.store = _store.StoreStandIn()
        self.replicas: list[Replica] = []
        self.former_replicas: list[Replica] = []
        self._replacing: list[Replica] = []
        self.evacuations: list[Evacuation] = []
        self.cut_periods: list[_cut_daemons.CutPeriod] = []
        self.brittle_periods = 0
        self.herds: list[_bad_parts.Herd] = []
        self.power_restored_at: list[float] = []
        self.stops: list[_eager_callers.Stop] = []
        self._evacuated: set[str] = set()
        self._added_keys: list[_clients.AddedKey] = []
        self.change_configuration()
        self._is_released = False
        self._starts_cold = False
        for _ in range(replicas):
            self.replicas.append(self._new_replica())
        self._starts_cold = True
        self._links = [
            _cut_daemons.DaemonLinks(self.store)
            for _ in range(daemons if plan.cuts_daemons else 0)
        ]
        self.daemons = [
            Daemon(
                number=number,
                folder=folder,
                store_port=(
                    self._links[number].store_port
                    if plan.cuts_daemons
                    else self.store.port
                ),
                seed=seed,
                has_pressure=plan.has_pressure,
            )
            for number in range(daemons)
        ]
        for daemon in self.daemons:
            daemon.start()

    def _new_replica(self) -> Replica:
        self._replica_count += 1
        return Replica(
            name=f"i-{self._replica_count}",
            folder=self.folder,
            store=self.store.url,
            seed=self._seed + self._replica_count,
            direct=self._direct,
            zone=ZONES[self._replica_count % len(ZONES)],
            version=self._next_version(),
            cold=self._starts_cold,
            plan=self._plan,
        )

    def _next_version(self) -> str:
        """Return the version of a new replica; pairs of zones share one."""
        if not self._plan.has_versions:
            return _expected.VERSIONS[1 if self._is_released else 0]
        number = (self._replica_count - 1) // len(ZONES)
        return _expected.VERSIONS[number % len(_expected.VERSIONS)]

    def evacuate(self, number: int, seconds: float) -> None:
        """Evacuate a zone for a while, so that it gets no new requests."""
        zone = ZONES[number % len(ZONES)]
        if zone in self._evacuated:
            return
        self._evacuated.add(zone)
        began = time.monotonic()
        self.store.put("op", f"evacuate/{zone}", {})
        gevent.sleep(seconds)
        ended = time.monotonic()
        self.store.remove("op", f"evacuate/{zone}")
        self.evacuations.append(Evacuation(zone, began, ended))
        self._evacuated.discard(zone)

    def cut_off_daemons(
        self, numbers: frozenset[int], how: _cut_link.Cut, seconds: float
    ) -> None:
        """Cut daemons off from all replicas for a while."""
        if any(links.is_cut for links in self._links):
            return
        began = time.monotonic()
        for number in numbers:
            self._links[number].cut(how)
        gevent.sleep(seconds)
        self.cut_periods.append(
            _cut_daemons.CutPeriod(numbers, began, time.monotonic())
        )
        for number in numbers:
            self._links[number].heal()

    def crowd(self, number: int, seconds: float) -> None:
        """Have idle connections take all places of a daemon for a while."""
        daemon = self.daemon(number)
        began = time.monotonic()
        _bad_parts.hold_idle((daemon.host, daemon.port), seconds)
        self.herds.append(
            _bad_parts.Herd(
                self.daemons.index(daemon), began, time.monotonic()
            )
        )

    def send_crowd(self, number: int, seconds: float) -> None:
        """Have clients that don't behave come to a daemon for a while."""
        daemon = self.daemon(number)
        _misbehaving_clients.run_crowd(
            (daemon.host, daemon.port),
            number=number,
            seconds=seconds,
            request=(_expected.READ + "x", KEY, HOST),
            folder=self.folder,
        )

    def falls(self) -> int:
        """Return how many brittle replicas crashed of their rejections."""
        return len(self._read("runs.txt.brittle"))

    def cold_overloads(self) -> list[str]:
        """Return the records of cold replicas that crashed of overload."""
        path = self.folder / "runs.txt.cold"
        return path.read_text().splitlines() if path.exists() else []

    def lose_power(self, seconds: float) -> None:
        """Kill all daemons at once, and start them again some time later."""
        for daemon in self.daemons:
            daemon.record_kill()
            daemon.process.send(signal.SIGKILL)
        gevent.sleep(seconds)
        for daemon in self.daemons:
            daemon.start()
        self.power_restored_at.append(time.monotonic())

    def daemon(self, number: int) -> Daemon:
        """Return the daemon that a fault's number selects."""
        return self.daemons[number % len(self.daemons)]

    def replica(self, number: int) -> Replica:
        """Return the replica that a fault's number selects."""
        return self.replicas[number % len(self.replicas)]

    def replace(self, old: Replica) -> None:
        """Start a replacement for a replica that has exited, at most once."""
        if old not in self.replicas or old in self._replacing:
            return
        # Marked first, as other greenlets run while a process starts.
        self._replacing.append(old)
        new = self._new_replica()
        old.replaced_at = time.monotonic()
        self.replicas[self.replicas.index(old)] = new
        self.former_replicas.append(old)

    def release(self) -> None:
        """Replace one replica after the other by one of another version."""
        self._is_released = True
        for old in list(self.replicas):
            self.replace(old)
            if old.drained_at is None:
                old.drained_at = time.monotonic()
                old.process.terminate()
            gevent.sleep(_RELEASE_PAUSE_SECONDS)

    def replace_ended(self) -> None:
        """Start a replacement for each replica that has exited by itself."""
        for replica in list(self.replicas):
            if not replica.process.is_running():
                self.replace(replica)

    def change_configuration(self) -> None:
        """Write a newer configuration with one additional key."""
        self._version += 3
        key = f"key-{self._version}"
        keys = [KEY, key, *(one.key for one in self._added_keys)]
        kinds = {
            _expected.ONCE: ("non_idempotent", False),
            _expected.READ: ("idempotent", False),
            _expected.STREAM: ("streaming", True),
            _expected.LONG: ("streaming", False),
        }
        routes = [
            {
                "name": prefix.strip("/"),
                "host": HOST,
                "prefix": prefix,
                "route_kind": kind,
                "timeout_ms": 8000 if prefix == _expected.LONG else 4000,
                "target_latency_ms": 300,
                "itl_target_ms": 300,
                "service": SERVICE,
                "attempts": 3,
                "resumable": resumable,
                "sticky": resumable,
            }
            for prefix, (kind, resumable) in kinds.items()
        ]
        self.store.put(
            "op",
            "config",
            {
                "version": self._version,
                "routes": routes,
                "services": [
                    {
                        "name": SERVICE,
                        "cold_start_s": _expected.COLD_SECONDS,
                        "cold_per_s": _expected.COLD_PER_SECOND,
                    }
                ],
                "tenants": [
                    {"name": TEAM, "api_keys": keys},
                    {
                        "name": _expected.SURGING_TEAM,
                        "api_keys": [_surging_team.KEY],
                    },
                ],
            },
        )
        self._added_keys.append(_clients.AddedKey(key, time.monotonic()))

    def newest_key(self) -> _clients.AddedKey:
        """Return the key that was added last."""
        return self._added_keys[-1]

    def ends(self) -> list[tuple[float, str, str]]:
        """Return until when each replica held each attempt.

        The last record of a pair counts. There is none if the replica was
        killed in the meantime.
        """
        return [
            (float(one[0]), one[1], one[2]) for one in self._read("ends.txt")
        ]

    def runs(self) -> list[tuple[float, str, str]]:
        """Return the time, replica and attempt of each run.

        Those of long streams are left out.
        """
        return [
            (float(one[0]), one[1], one[2])
            for one in self._read("runs.txt")
            if not one[3].startswith(_expected.LONG)
        ]

    def long_runs(self) -> frozenset[str]:
        """Return the attempts of long streams that ran."""
        return frozenset(
            one[2]
            for one in self._read("runs.txt")
            if one[3].startswith(_expected.LONG)
        )

    def reports(self) -> list[ReplicaReport]:
        """Return the reports that replicas made in responses."""
        return [
            ReplicaReport(float(one[0]), *one[1:])
            for one in self._read("words.txt")
        ]

    def _read(self, name: str) -> list[list[str]]:
        path = self.folder / name
        lines = path.read_text().splitlines() if path.exists() else []
        return [line.split() for line in lines]

    def stop(self) -> None:
        """End every process that this run started."""
        for daemon in self.daemons:
            daemon.process.kill()
        for replica in [*self.replicas, *self.former_replicas]:
            replica.process.kill()
            replica.link.stop()
        for links in self._links:
            links.stop()
        self.store.stop()
