"""Starts daemons with the command of the deploy file."""

import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
_READY_SECONDS = 20.0
_LEAD_SECONDS = 5.0

# Bounds of the small deployments' sheets.
BOUNDS = {
    "seed_lag_s": 3,
    "address_reuse_s": 2,
    "connectivity_ms": 3000,
    "ack_timeout_ms": 4000,
    "catch_up_s": 4,
    "drain_timeout_ms": 2000,
    "grace_period_s": 8,
    "loss_slack_ms": 200,
    "config_propagation_ms": 2000,
    "rollback_slack_ms": 250,
    "partition_bound_ms": 5000,
    "revocation_strict": False,
    "revocation_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "retry_budget_extra": 58,
    "recovery_s": 12,
    "delivery_slack_ms": 120,
    "reuse_window_s": 10,
    "capacity_multiplier": 2,
}
_INVARIANTS = [
    "base",
    "drain",
    "config",
    "cost",
    "retry",
    "recover",
    "engine",
    "stream",
    "tenants",
    "platform",
]


def network():
    """Return the first three numbers of the addresses of this run's daemons.

    The port of the metrics is the same on all daemons, so each needs an
    address that no other run uses.
    """
    return f"127.{1 + os.getpid() // 250 % 250}.{os.getpid() % 250}"


def free_ports(host, count):
    """Return the first of so many consecutive free ports of a host."""
    for first in range(20000, 32000 - count, count):
        sockets = []
        try:
            for port in range(first, first + count):
                sock = socket.socket()
                sockets.append(sock)
                sock.bind((host, port))
            return first
        except OSError:
            continue
        finally:
            for sock in sockets:
                sock.close()
    raise RuntimeError("no free ports")


class Daemon:
    """One daemon process on a loopback address of its own."""

    def __init__(self, *, number, folder, store, ports, zones, bootstrap):
        self.name = f"edge-{zones[number % len(zones)]}-{number + 1}"
        self.host = f"{network()}.{number + 2}"
        self.frontend = (self.host, ports)
        self.ready = (self.host, ports + 1)
        self._folder = folder
        self._path = folder / f"{self.name}.json"
        self._log_path = folder / f"{self.name}.log"
        self._settings = {
            "node_name": self.name,
            "role": "topazlugd",
            "machine_class": "edge",
            "serves": ["edge"],
            "ip": self.host,
            "zone": zones[number % len(zones)],
            "region": "region-1",
            "zones": {zone: "region-1" for zone in zones},
            "listeners_map": {
                "frontend": f"{self.host}:{ports}",
                "ready": f"{self.host}:{ports + 1}",
            },
            "internal_port_range": [ports + 2, ports + 17],
            "seed_nodes": [],
            "bootstrap": bootstrap,
            "failure_domain_member": False,
            "limits": {
                "cpu_fraction": 0.537,
                "cpu_cores": 2,
                "memory_mb": 300,
                "file_descriptors": 4100,
                "link_capacity_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_directory": None,
            "discovery_source": "platform",
            "entry_kind": "virtual_ip",
            "heartbeat_interval_ms": 1200,
            "invariants": _INVARIANTS,
            "fault_tolerance": {
                "machine_failures": 2,
                "zones": 0,
                "region_failures": 0,
            },
            "bounds": BOUNDS,
            "platform": {
                "address": store,
                "form": "table",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "transaction_ms": 5.0,
                "partition_writes_s": 200,
                "max_row_bytes": 65536,
                "cross_partition": False,
                "history_retention_s": 20,
            },
        }
        self.process = None

    def start(self):
        """Start the process."""
        self._path.write_text(json.dumps(self._settings))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        (role,) = deploy["roles"].values()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["TOPAZLUG_CONFIG"] = str(self._path)
        with self._log_path.open("ab") as log:
            self.process = subprocess.Popen(
                role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def restart(self):
        """Start the process again, not as a part of a new system."""
        self._settings["bootstrap"] = False
        self.start()

    def is_ready(self):
        """Return whether the daemon reports that it is ready."""
        connection = http.client.HTTPConnection(*self.ready, timeout=1.0)
        try:
            connection.request("GET", "/v1/readiness")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def wait_until_ready(self):
        """Wait until the daemon is ready; raise if it never is."""
        end = time.monotonic() + _READY_SECONDS
        while time.monotonic() < end:
            if self.is_ready():
                return
            time.sleep(0.1)
        raise RuntimeError(f"{self.name} is not ready")

    def send(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    def stop(self):
        """End the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


def make_fleet(*, count, folder, store, zones):
    """Return daemons that have not been started."""
    ports = free_ports(f"{network()}.2", 18)
    return [
        Daemon(
            number=number,
            folder=folder,
            store=store,
            ports=ports,
            zones=zones,
            bootstrap=True,
        )
        for number in range(count)
    ]


def start_all(daemons):
    """Start daemons together and wait until all of them are ready."""
    for daemon in daemons:
        daemon.start()
    for daemon in daemons:
        daemon.wait_until_ready()
    # The platform sends clients some seconds after the machines start.
    time.sleep(_LEAD_SECONDS)
