"""Stand-ins and processes that the scripts of the cases share.

Only the standard library is used. The store, the replicas and the clients run
as threads of the script's own process; each daemon is a process of its own,
started with the command of the deploy file.
"""

import base64
import contextlib
import http.client
import http.server
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
HEARTBEAT_SECONDS = 1.2
SIGNATURE = "3e1b.07.5a2.600.0.c9f2a4d1"
# Bounds of the sheet of kuehlfach-wien, as in the settings file of its
# machines.
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
INVARIANTS = [
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


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """The file that says what was sent, answered and run."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._lock = threading.Lock()
        self.began = time.monotonic()

    def line(self, text):
        """Write one line with the seconds since the start."""
        at = time.monotonic() - self.began
        with self._lock:
            self._file.write(f"{at:8.3f} {text}\n")
            self._file.flush()


def trouble_is_on():
    """Return whether the disruption is to be brought about."""
    return os.environ.get("TROUBLE", "1") != "0"


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 1024
    allow_reuse_address = True

    def handle_error(self, request, client_address):
        """Ignore connections that the other end has closed."""


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    # Without this, an answer's body waits for the acknowledgement of its head.
    disable_nagle_algorithm = True
    wbufsize = -1

    def log_message(self, *args):
        """Write nothing."""

    def body(self):
        """Return the complete body of the request."""
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def answer(self, status, body=b"", fields=()):
        """Send a complete answer of known length."""
        self.send_response(status)
        for name, value in fields:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)
        self.wfile.flush()

    def answer_json(self, status, value):
        """Send a JSON answer."""
        kind = ("Content-Type", "application/json")
        self.answer(status, json.dumps(value).encode(), (kind,))


def serve(handler, host=HOST, port=0, **attributes):
    kind = type("Handler", (handler,), attributes)
    server = Server((host, port), kind)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


class Store:
    """The platform's metadata store, as PROTOCOL.md describes it.

    Each daemon reaches it at a port of its own, so that the store can turn
    some daemons away and serve the others.
    """

    def __init__(self):
        self._changed = threading.Condition()
        self._version = 1
        self._rows = {}
        self._log = []
        self._began = time.monotonic()
        # Ports whose callers are answered 503: nothing was done.
        self.rejected_ports = set()

    def add_listener(self):
        """Return a new port at which the store is reached."""
        server = serve(_StoreHandler, store=self)
        return server.server_address[1]

    def put(self, table, key, value):
        """Write a row as the operator or a replica does."""
        data = base64.b64encode(json.dumps(value).encode()).decode()
        self.write([(table, "", key, data)])

    def remove(self, table, key):
        """Remove a row as the operator or the platform does."""
        self.write([(table, "", key, None)])

    def write(self, rows, expected=()):
        """Apply a transaction; return None if a condition does not hold."""
        with self._changed:
            for row in expected:
                name = (row["table"], row.get("part", ""), row["key"])
                held = self._rows.get(name)
                if (held[1] if held else 0) != row["row_version"]:
                    return None
            self._version += 1
            for table, part, key, data in rows:
                if data is None:
                    self._rows.pop((table, part, key), None)
                else:
                    self._rows[table, part, key] = (data, self._version)
                self._log.append((self._version, table, part, key, data))
            self._changed.notify_all()
            return self._version

    def rows(self, table, part, source, to):
        """Return the rows of a range of keys and the newest version."""
        with self._changed:
            found = [
                _row(table, part, key, data, version)
                for (name, other, key), (data, version) in sorted(
                    self._rows.items()
                )
                if name == table
                and other == part
                and key >= source
                and (not to or key < to)
            ]
            return found, self._version

    def changes(self, table, after, wait):
        """Return the rows changed since a version, waiting for the first."""
        end = time.monotonic() + wait
        with self._changed:
            while True:
                found = [
                    _row(name, part, key, data, version)
                    for version, name, part, key, data in self._log
                    if name == table and version > after
                ]
                remaining = end - time.monotonic()
                if found or remaining <= 0:
                    return found, self._version
                self._changed.wait(remaining)

    def envelope(self, rows, version):
        """Return the body of an answer about rows."""
        now = int(1000 * (time.monotonic() - self._began))
        return {
            "rows": rows,
            "truncated": False,
            "row_version": version,
            "current_time_ms": now,
        }


def _row(table, part, key, data, version):
    row = {"table": table, "part": part, "key": key, "row_version": version}
    if data is None:
        return {**row, "deleted": True}
    return {**row, "data": data}


class _StoreHandler(Handler):
    store = None

    def _is_rejected(self):
        return self.server.server_address[1] in self.store.rejected_ports

    def do_GET(self):  # noqa: N802
        """Answer a read."""
        if self._is_rejected():
            self.answer_json(503, {"error": "unavailable"})
            return
        path, _, query = self.path.partition("?")
        fields = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        table = fields.get("table", "")
        if path == "/v1/rows-get":
            rows, version = self.store.rows(
                table,
                fields.get("part", ""),
                fields.get("source", ""),
                fields.get("to", ""),
            )
        elif path == "/v1/rows-feed":
            wait = min(30000, int(fields.get("wait_time_ms", "0"))) / 1000
            rows, version = self.store.changes(
                table, int(fields["after"]), wait
            )
            # A call that waits when the store begins to turn its caller away
            # ends then, as the store serves it no further.
            if self._is_rejected():
                self.answer_json(503, {"error": "unavailable"})
                return
        else:
            self.answer_json(404, {})
            return
        self.answer_json(200, self.store.envelope(rows, version))

    def do_POST(self):  # noqa: N802
        """Answer a transaction."""
        call = json.loads(self.body() or b"{}")
        if self._is_rejected():
            self.answer_json(503, {"error": "unavailable"})
            return
        rows = [
            (one["table"], one.get("part", ""), one["key"], one["data"])
            for one in call.get("write", ())
        ]
        rows += [
            (one["table"], one.get("part", ""), one["key"], None)
            for one in call.get("remove", ())
        ]
        version = self.store.write(rows, call.get("expected", ()))
        if version is None:
            self.answer_json(412, {"rows": []})
            return
        self.answer_json(200, self.store.envelope([], version))


class Replica:
    """A replica of a plain service, which records what it runs."""

    def __init__(self, name, service, zone, store, record, slots=6):
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.state = "serving"
        self.work_seconds = 0.02
        self.runs = []
        self._record = record
        self._store = store
        self._sequence = 0
        self._running = 0
        self._lock = threading.Lock()
        self._server = serve(_ReplicaHandler, replica=self)
        self.port = self._server.server_address[1]
        self._register()
        threading.Thread(target=self._heartbeat, daemon=True).start()

    def _register(self):
        self._sequence += 1
        self._store.put(
            "servers",
            self.name,
            {
                "service": self.service,
                "address": f"{HOST}:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": self.state,
                "cold_remaining_ms": 0,
                "sequence": self._sequence,
            },
        )

    def _heartbeat(self):
        while True:
            time.sleep(HEARTBEAT_SECONDS)
            self._register()

    def run(self, attempt, tenant, path):
        """Run a request."""
        with self._lock:
            self.runs.append((time.monotonic(), attempt, tenant, path))
            self._running += 1
        self._record.line(
            f"run      {attempt} by {self.name} of {self.service}, tenant "
            f"{tenant}"
        )
        time.sleep(self.work_seconds)
        with self._lock:
            self._running -= 1

    @property
    def load(self):
        """Return the load field of an answer."""
        return f"{self._running},0,{self.slots}"


class _ReplicaHandler(Handler):
    replica = None

    def _handle(self):
        self.body()
        replica = self.replica
        names = (("X-Replica-Id", replica.name), ("X-Replica-Load", replica.load))
        if self.path == "/health":
            self.answer(200, b"", names)
            return
        if self.path == "/v1/report":
            self.answer_json(200, {"active": replica._running})
            return
        expected = self.headers.get("X-Expected-Replica")
        if expected and expected != replica.name:
            self.answer(421, b"", names[:1])
            return
        attempt = self.headers.get("X-Attempt-Id", "")
        replica.run(attempt, self.headers.get("X-Tenant", ""), self.path)
        fields = (
            ("X-Attempt-Id", attempt),
            ("X-Response-Signature", SIGNATURE),
            ("X-Replica-Load", replica.load),
            ("Keep-Alive", "timeout=5"),
        )
        body = f"{attempt} {replica.service} {replica.name}".encode()
        self.answer(200, body, fields)

    do_GET = _handle  # noqa: N815
    do_POST = _handle  # noqa: N815


class StreamReplica:
    """A model replica that is a process of its own."""

    def __init__(self, name, service, zone, store, folder, *, events, pause):
        self.name = name
        self._service = service
        self._zone = zone
        self._store = store
        self._ledger = folder / f"{name}.ledger"
        self._sequence = 0
        settings = {
            "name": name,
            "ledger": str(self._ledger),
            "events": events,
            "pause": pause,
        }
        self._process = subprocess.Popen(
            [
                sys.executable,
                str(pathlib.Path(__file__).with_name("stream_replica.py")),
                json.dumps(settings),
            ],
            stdout=subprocess.PIPE,
            stdin=subprocess.DEVNULL,
            text=True,
        )
        self.port = int(self._process.stdout.readline() or 0)
        if not self.port:
            raise CannotRun(f"{name} did not start")
        self._register()
        threading.Thread(target=self._heartbeat, daemon=True).start()

    def _register(self):
        self._sequence += 1
        self._store.put(
            "servers",
            self.name,
            {
                "service": self._service,
                "address": f"{HOST}:{self.port}",
                "zone": self._zone,
                "version": "v1",
                "slots": 64,
                "state": "serving",
                "cold_remaining_ms": 0,
                "phase": "prefill_decode",
                "base_models": [
                    {"name": "m", "version": 1, "lora_adapters": []}
                ],
                "sequence": self._sequence,
            },
        )

    def _heartbeat(self):
        while self._process.poll() is None:
            self._register()
            time.sleep(HEARTBEAT_SECONDS)
        # The platform removes the entry after three intervals of silence.
        time.sleep(3 * HEARTBEAT_SECONDS)
        self._store.remove("servers", self.name)

    def written(self):
        """Return the last event that was written, by attempt."""
        if not self._ledger.exists():
            return {}
        lines = self._ledger.read_text().splitlines()
        pairs = [line.split() for line in lines]
        return {attempt: int(number) for attempt, number in pairs}

    def end(self):
        """End the process."""
        self._process.kill()
        self._process.wait(10.0)


def route(name, prefix, service, kind="non_idempotent", **fields):
    """Return a route of the operator's configuration."""
    return {
        "name": name,
        "host": "ficu95.example",
        "prefix": prefix,
        "route_kind": kind,
        "timeout_ms": 1000,
        "target_latency_ms": 200,
        "priority": 2,
        "service": service,
        "attempts": 1,
        "anonymous": False,
        "sticky": False,
        "resumable": False,
        "itl_target_ms": 300,
        **fields,
    }


def configuration(version, routes, services, keys_by_tenant):
    """Return the operator's configuration in full."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health_path": "/health",
                "connection_limit": 110,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {"name": name, "api_keys": keys, "priority": 1}
            for name, keys in keys_by_tenant.items()
        ],
    }


class Daemon:
    """One process of the deploy file's role, on a loopback address."""

    def __init__(self, name, zone, host, ports, store_port, folder):
        self.name = name
        self.zone = zone
        self.host = host
        self.port, self.ready_port, control, peers = ports
        self.store_port = store_port
        self._settings_path = folder / f"{name}.json"
        self._log_path = folder / f"{name}.log"
        self._settings = {
            "node_name": name,
            "role": "topazlugd",
            "machine_class": "edge",
            "serves": ["edge"],
            "ip": host,
            "zone": zone,
            "region": "region-1",
            "listeners_map": {
                "frontend": f"{host}:{self.port}",
                "ready": f"{host}:{self.ready_port}",
                "control_plane": f"{host}:{control}",
            },
            "internal_port_range": [peers, peers + 15],
            "seed_nodes": [],
            "bootstrap": True,
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
            "invariants": INVARIANTS,
            "fault_tolerance": {
                "machine_failures": 2,
                "zones": 0,
                "region_failures": 0,
            },
            "bounds": BOUNDS,
            "platform": {
                "address": f"{HOST}:{store_port}",
                "form": "table",
                "writes_per_s": 400,
                "reads_per_s": 2000,
            },
        }
        self.process = None

    def start(self, *, is_first=True):
        """Start the process as the platform does."""
        self._settings["bootstrap"] = is_first
        self._settings_path.write_text(json.dumps(self._settings))
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["topazlugd"]["run"].split()
        kept = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        with open(self._log_path, "ab") as log:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                env={
                    **kept,
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "TOPAZLUG_CONFIG": str(self._settings_path),
                },
            )

    @property
    def log(self):
        """Return the output so far."""
        return self._log_path.read_text(errors="replace")

    def is_ready(self):
        """Ask for readiness as the platform does each second."""
        connection = http.client.HTTPConnection(
            self.host, self.ready_port, timeout=1.0
        )
        try:
            connection.request("GET", "/v1/readiness")
            return connection.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            connection.close()

    def send(self, number):
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self):
        """End the process, also if it is stopped."""
        if self.process is None or self.process.poll() is not None:
            return
        self.process.send_signal(signal.SIGCONT)
        self.process.kill()
        self.process.wait(10.0)


class Fleet:
    """The daemons of one deployment."""

    def __init__(self, names, store, folder):
        network = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}"
        hosts = [f"{network}.{number + 2}" for number in range(len(names))]
        ports = _free_ports(hosts)
        self.daemons = [
            Daemon(
                name,
                name.rpartition("-")[0].removeprefix("edge-"),
                host,
                ports,
                store.add_listener(),
                folder,
            )
            for name, host in zip(names, hosts, strict=True)
        ]

    def start(self, seconds=20.0, *, daemons=None, is_first=True):
        """Start all or some daemons and wait until they are ready.

        Parameters
        ----------
        seconds : float
            How long they may take.
        daemons : list of Daemon or None
            Those to start; None for all.
        is_first : bool
            Whether the whole system starts for the first time.
        """
        chosen = self.daemons if daemons is None else daemons
        for daemon in chosen:
            daemon.start(is_first=is_first)
        wait_until(
            lambda: all(one.is_ready() for one in chosen),
            seconds,
            "the daemons are not ready",
        )

    def by_name(self, name):
        """Return a daemon."""
        return next(one for one in self.daemons if one.name == name)

    def end(self):
        """End all processes."""
        for daemon in self.daemons:
            daemon.end()


def _free_ports(hosts):
    """Return ports for clients, readiness, control and peers.

    All machines of a day use the same ports, each at its own address.
    """
    for _ in range(100):
        base = random.randrange(10000, 30000, 32)
        ports = [base, base + 1, base + 2, base + 8]
        wanted = [*ports[:3], base + 8, base + 9, 9464]
        if all(_is_free(host, port) for host in hosts for port in wanted):
            return tuple(ports)
    raise CannotRun("no free ports")


def _is_free(host, port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


def wait_until(condition, seconds, why):
    """Wait until a condition holds.

    Raises
    ------
    CannotRun
        It does not hold in time.
    """
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.05)
    raise CannotRun(why)


class Reply:
    """What a client attempt got; `status` is 0 if there was no answer."""

    def __init__(self, attempt, sent_at, status=0, body=b"", why=""):
        self.attempt = attempt
        self.sent_at = sent_at
        self.status = status
        self.body = body
        self.why = why


def request(
    daemon, path, key, record, *, method="POST", body=b"{}", deadline_ms=1000
):
    """Make one client attempt on a new connection."""
    attempt = f"{random.getrandbits(64):016x}"
    connection = http.client.HTTPConnection(
        daemon.host, daemon.port, timeout=deadline_ms / 1000
    )
    fields = {
        "Host": "ficu95.example",
        "X-Attempt-Id": attempt,
        "X-Deadline-Ms": str(deadline_ms),
        "Authorization": f"Bearer {key}",
    }
    sent_at = time.monotonic()
    record.line(f"sent     {attempt} to {daemon.name}: {method} {path} {key}")
    reply = Reply(attempt, sent_at)
    try:
        connection.request(method, path, body, fields)
        answer = connection.getresponse()
        reply.status = answer.status
        reply.body = answer.read()
    except (OSError, http.client.HTTPException) as error:
        reply.why = repr(error)
    finally:
        connection.close()
    record.line(f"answered {attempt}: {reply.status} {reply.why}")
    return reply


def main(case_folder, play):
    """Run a case and exit with its result.

    Parameters
    ----------
    case_folder : pathlib.Path
        Where `record.txt` is written.
    play : callable
        Called with the record, a temporary folder and an exit stack that ends
        all processes; returns the violations.
    """
    record = Record(case_folder / "record.txt")
    record.line(f"disruption: {'on' if trouble_is_on() else 'off'}")
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    status = 2
    try:
        with contextlib.ExitStack() as stack:
            folder = pathlib.Path(
                stack.enter_context(tempfile.TemporaryDirectory())
            )
            violations = play(record, folder, stack)
        for violation in violations:
            record.line(f"violation: {violation}")
        status = 1 if violations else 0
    except CannotRun as error:
        record.line(f"could not run: {error}")
        print(f"could not run: {error}", file=sys.stderr)
    record.line(f"result: {status}")
    print(f"result: {status}")
    sys.stdout.flush()
    os._exit(status)
