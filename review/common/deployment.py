"""A small deployment: store, replicas, daemons, and what they recorded."""

import os
import pathlib
import sys
import tempfile
import threading
import time
import traceback
import zlib

from common import daemons as _daemons
from common import http1
from common import replicas as _replicas
from common import store as _store

ZONES = ["zone-a", "zone-b", "zone-c"]
HOST = "review.example"
KEY = "key-of-tenant-1"
SERVICE = "llm"
# Routes of the deployment.
RESUMABLE = "/draft/"
PLAIN_STREAM = "/chat/"
DOCUMENTS = "/documents/"
TIMEOUT_MS = 10000
# Three heartbeats of a replica.
_LAPSE_SECONDS = 3.6


class Record:
    """Lines of record.txt, with the seconds since the start."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self._lock = threading.Lock()
        self._file = (folder / "record.txt").open("w")

    def write(self, text):
        """Write one line."""
        with self._lock:
            at = time.monotonic() - self.began
            self._file.write(f"{at:8.3f} {text}\n")
            self._file.flush()


def configuration(version):
    """Return a configuration of the operator."""
    routes = [
        {
            "name": prefix.strip("/"),
            "host": HOST,
            "prefix": prefix,
            "route_kind": "streaming",
            "timeout_ms": TIMEOUT_MS,
            "target_latency_ms": 600,
            "itl_target_ms": 300,
            "priority": 1,
            "service": SERVICE,
            "attempts": 2 if is_resumable else 1,
            "anonymous": False,
            "sticky": True,
            "resumable": is_resumable,
        }
        for prefix, is_resumable in ((RESUMABLE, True), (PLAIN_STREAM, False))
    ]
    routes.append(
        {
            "name": "documents",
            "host": HOST,
            "prefix": DOCUMENTS,
            "route_kind": "idempotent",
            "timeout_ms": TIMEOUT_MS,
            "target_latency_ms": 1000,
            "priority": 1,
            "service": SERVICE,
            "attempts": 1,
            "anonymous": False,
            "sticky": False,
            "resumable": False,
        }
    )
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": SERVICE, "health_path": "/health"}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "tenant-1", "api_keys": [KEY], "priority": 1}],
    }


def generation_fields(attempt, events, *, session, shared_part="91bd3f06"):
    """Return the header fields of a client's generation.

    The last part of its prompt is that of its session alone.
    """
    own_part = zlib.crc32(session.encode())
    parts = f"5c1e07a2:800,{shared_part}:410,{own_part:x}:9"
    return [
        ("Host", HOST),
        ("X-Attempt-Id", attempt),
        ("X-Model", "m"),
        ("X-Token-Counts", f"1210,{events * 9}"),
        ("X-Prompt-Prefix", parts),
        ("X-Deadline-Ms", str(TIMEOUT_MS)),
        ("Authorization", f"Bearer {KEY}"),
    ]


def connect(daemon):
    """Return a client's connection to a daemon."""
    return http1.Client(daemon.frontend, timeout=TIMEOUT_MS / 1000 + 1)


class Deployment:
    """Store, replicas and daemons of one run."""

    def __init__(self, *, folder, plan, daemons, replicas):
        self.store = _store.Store(lapse_seconds=_LAPSE_SECONDS)
        self.store.put("op", "config", configuration(3))
        self.replicas = [
            _replicas.Replica(
                name=f"i-{number + 1}",
                service=SERVICE,
                zone=ZONES[number % len(ZONES)],
                store=self.store,
                plan=plan,
            )
            for number in range(replicas)
        ]
        self.daemons = _daemons.make_fleet(
            count=daemons,
            folder=folder,
            store=self.store.address,
            zones=ZONES,
        )

    def add_replica(self, *, plan, version):
        """Start one more replica."""
        number = len(self.replicas)
        replica = _replicas.Replica(
            name=f"i-{number + 1}",
            service=SERVICE,
            zone=ZONES[number % len(ZONES)],
            store=self.store,
            plan=plan,
            version=version,
        )
        self.replicas.append(replica)
        return replica

    def runs(self):
        """Return all runs in the order in which they began."""
        found = [run for replica in self.replicas for run in replica.runs]
        return sorted(found, key=lambda run: run.at)

    def write_runs(self, record):
        """Record what the replicas ran."""
        for run in self.runs():
            if run.attempt.startswith("short-"):
                continue
            record.write(
                f"run: {run.attempt} at {run.replica} from "
                f"{run.at - record.began:.3f}, {run.sent} events, {run.end}"
            )


def main(here, play, **options):
    """Play a case and end the process with its result.

    Parameters
    ----------
    here : pathlib.Path
        Folder of the case.
    play : callable
        Plays the case with the deployment, the record and whether there is
        a disruption; returns whether the rule held.
    options : dict
        Arguments of `Deployment`.
    """
    record = Record(here)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"TROUBLE={int(has_trouble)}")
    status = 2
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        deployment = None
        try:
            deployment = Deployment(folder=folder, **options)
            _daemons.start_all(deployment.daemons)
            record.write(f"{len(deployment.daemons)} daemons are ready")
            is_kept = play(deployment, record, has_trouble)
            deployment.write_runs(record)
            record.write("the rule held" if is_kept else "the rule is broken")
            status = 0 if is_kept else 1
        except Exception:
            record.write(traceback.format_exc())
        finally:
            for daemon in deployment.daemons if deployment else []:
                daemon.stop()
        if os.environ.get("KEEP_LOGS"):
            for log in folder.glob("*.log"):
                (here / log.name).write_bytes(log.read_bytes())
    sys.stdout.flush()
    os._exit(status)
