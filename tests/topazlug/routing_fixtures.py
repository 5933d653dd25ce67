"""The request path of one daemon, run in the test process, and its targets.

The listener, calls, attempts, admission, owner and connections are the real
ones; only membership and the platform are fakes. Engines and services are the
stand-ins and run in the test process too, so that tests can set their faults
and read their journals directly.
"""

import collections
from collections.abc import Callable
import socket
from typing import Any
from typing import final

import gevent
import msgspec

from standins import _engine
from standins import _generation
from standins import _http
from standins import _registration
from standins import _service
from tests.topazlug import claim_fakes
from tests.topazlug import wire_fixtures
from topazlug import _clock
from topazlug import _errors
from topazlug import _ids
from topazlug._generated import messages
from topazlug._generated import settings as _settings_types
from topazlug.administration import _tokens
from topazlug.callers import _caller_server
from topazlug.callers import _callers
from topazlug.calls import _attempts
from topazlug.calls import _call_assembly
from topazlug.calls import _chat_calls
from topazlug.calls import _retry_budget
from topazlug.calls import _service_calls
from topazlug.configuration import _configuration
from topazlug.configuration import _rules
from topazlug.crashes import _crash_guard
from topazlug.routing import _admission
from topazlug.routing import _owner
from topazlug.routing import _ownership
from topazlug.routing import _placement
from topazlug.routing import _ranking
from topazlug.targets import _target_client
from topazlug.targets import _target_report
from topazlug.targets import _targets
from topazlug.telemetry import _metrics

HOST = wire_fixtures.HOST
KEY = wire_fixtures.KEY
DAEMON = _ids.DaemonId("d1")
POOL = _ids.GroupName("pool")
SERVICE = _ids.GroupName("letters")
CHAT_PATH = "/v1/chat/completions"
ROWS = {
    "teams": [
        {"name": "acme", "keys": [{"hash": _tokens.hash_of(KEY)}]},
        {
            "name": "narrow",
            "keys": [{"hash": _tokens.hash_of("tzk_narrow")}],
            "pools": ["other"],
            "services": ["other"],
        },
    ],
    "pools": [{"name": POOL, "model": "standin", "bound": 10.0}],
    "services": [{"name": SERVICE, "bound": 10.0}],
}


def wait_until(condition: Callable[[], bool], what: str = "condition") -> None:
    """Wait until a condition is true.

    The timeout is long enough for a heavily loaded machine.
    """
    with gevent.Timeout(20, AssertionError(f"timed out waiting for: {what}")):
        while not condition():
            gevent.sleep(0.002)


class QuickClock:
    """The system clock, with sleeps limited to 2 ms."""

    def __init__(self) -> None:
        self.now = _clock.SystemClock().now
        self.monotonic = _clock.SystemClock().monotonic

    def sleep(self, seconds: float) -> None:
        gevent.sleep(min(seconds, 0.002))


class LeavingRecorder:
    """Records the targets that reported that they are leaving."""

    def __init__(self) -> None:
        self.replicas: list[str] = []

    def handle_report(
        self, target: _targets.Target, status: _target_report.TargetReport
    ) -> None:
        if status.leaving:
            self.replicas.append(target.replica)


class FakeQuotas:
    """Grants every ticket and counts the outstanding ones."""

    def __init__(self) -> None:
        self.outstanding = 0

    def acquire(self, team, *, deadline):
        self.outstanding += 1
        return _Ticket(self)


class _Ticket:
    def __init__(self, quotas: FakeQuotas) -> None:
        self._quotas = [quotas]

    def release(self) -> None:
        while self._quotas:
            self._quotas.pop().outstanding -= 1


class NoLinks:
    """Connections of a fleet of one daemon: every peer is unreachable."""

    def send(self, to, message):
        raise _errors.PeerUnreachable(to)

    def call(self, to, message, *, timeout):
        raise _errors.PeerUnreachable(to)

    def received_since(self, peer, moment):
        return False


def table_holder(rows: Any = None) -> _configuration.ConfigurationHolder:
    """Return a configuration holder with a table applied."""
    holder = _configuration.ConfigurationHolder()
    changes = [
        messages.RowChange(
            revision=1, table=name, key=row["name"], row_version=1, value=row
        )
        for name, table in (rows or ROWS).items()
        for row in table
    ]
    result = holder.apply_full_table(revision=1, rows=changes)
    assert result is _configuration.ApplyResult.APPLIED
    return holder


def target(
    replica: str,
    *,
    port: int = 1,
    group: _ids.GroupName = POOL,
    slots: int = 16,
    zone: str = "z1",
    incarnation: int = 1,
    leaving: bool = False,
) -> _targets.Target:
    """Return a target as the platform lists it."""
    return _targets.Target(
        replica=_ids.ReplicaId(replica),
        kind=_targets.TargetKind.ENGINE,
        group=group,
        host=HOST,
        port=port,
        zone=zone,
        incarnation=incarnation,
        slots=slots,
        leaving=leaving,
    )


def dead_fact(replica: str) -> messages.Fact:
    """Return the fact that a replica is dead."""
    return messages.Fact(
        kind=messages.FactKind.target,
        subject=replica,
        incarnation=1,
        sequence=1,
        state=messages.FactState.dead,
    )


def placement_request(**changes: Any) -> _placement.PlacementRequest:
    """Return a placement request with common values."""
    request = _placement.PlacementRequest(
        group=POOL,
        chat=_ranking.chat_hash("c"),
        team=_ids.TeamName("acme"),
        batch=False,
        weight=1,
        deadline=100.0,
    )
    return msgspec.structs.replace(request, **changes)


@final
class Entry:
    """One daemon's entry and owner roles over given connections."""

    def __init__(
        self,
        name: str,
        *,
        targets: list[_targets.Target],
        daemons: list[str],
        clock: Any,
        links: Any,
        routing: Any = None,
        rules: Any = None,
        rows: Any = None,
    ) -> None:
        self.daemon = _ids.DaemonId(name)
        routing = routing or _settings_types.RoutingSettings()
        self.targets = _targets.TargetDirectory(clock=clock, flap_window=60)
        self.targets.set_list(targets)
        self.ownership = _ownership.Ownership()
        self.owner = _owner.Owner(
            daemon=self.daemon,
            ownership=self.ownership,
            targets=self.targets,
            rules=rules
            or _rules.TableRules(
                configuration=table_holder(rows), routing=routing
            ),
            routing=routing,
            clock=clock,
        )
        self.ownership.on_transfer(self.owner.apply_transfers)
        self.ownership.update(
            daemons=daemons, replicas=self.targets.target_by_replica
        )
        self.admission = _admission.OwnersAdmission(
            daemon=self.daemon,
            owner=self.owner,
            ownership=self.ownership,
            targets=self.targets,
            links=links,
            routing=routing,
            clock=clock,
            fleet_size=lambda: len(daemons),
        )


@final
class Rig:
    """One daemon's request path, its listener and its targets."""

    def __init__(self, **limits: Any) -> None:
        self.engines: dict[str, _engine.Engine] = {}
        self.services: dict[str, _service.Service] = {}
        self.listed: list[_targets.Target] = []
        self.servers: list[Any] = []
        self.store = claim_fakes.FakeStore()
        self.budget = _retry_budget.RetryBudget(ratio=1.0)
        self.leaving_targets = LeavingRecorder()
        self.retried: list[_placement.PlacementRequest] = []
        self.quotas = FakeQuotas()
        self.clock = _clock.SystemClock()
        self.entry = Entry(
            DAEMON,
            targets=[],
            daemons=[DAEMON],
            clock=self.clock,
            links=NoLinks(),
        )
        self.limits = _settings_types.LimitSettings(**limits)
        self.entry.targets.on_report(self.leaving_targets.handle_report)
        self.connections = _target_client.TargetConnections(
            connect_timeout=1.0,
            clock=self.clock,
            handle_report=self.entry.targets.handle_report,
        )
        self.guard = _crash_guard.CrashGuard(
            daemon=DAEMON,
            runs=self.connections.runs,
            targets=self.entry.targets,
            clock=self.clock,
        )
        self.app = self._app()
        self.server = _caller_server.CallersServer(
            address=_settings_types.AddressSettings(host=HOST, port=0),
            app=self.app,
            max_connections=64,
        )
        self.server.start()
        self.servers.append(self.server)

    def _app(self) -> _callers.CallersApp:
        admission = self.entry.admission
        attempts = _attempts.Attempts(
            admission=admission,
            targets=self.entry.targets,
            budget=self.budget,
            clock=self.clock,
            count_retry=self.retried.append,
        )
        metrics = _metrics.Metrics(
            _settings_types.MetricsSettings(), DAEMON, "z1"
        )
        assembly = _call_assembly.CallAssembly(
            attempts=attempts,
            admission=admission,
            connections=self.connections,
            quotas=self.quotas,
            limits=self.limits,
            metrics=metrics,
            guard=self.guard,
            clock=self.clock,
        )
        claims = claim_fakes.make_claim_manager(self.store, clock=QuickClock())
        return _callers.CallersApp(
            chats=_chat_calls.ChatCalls(assembly=assembly, spawn=gevent.spawn),
            services=_service_calls.ServiceCalls(
                assembly=assembly, claims=claims
            ),
            configuration=table_holder(),
            limits=self.limits,
            metrics=metrics,
            clock=self.clock,
        )

    @property
    def port(self) -> int:
        """Port of the callers' listener."""
        return self.server.server_port

    def list_target(self, replica: str, port: int, **changes: Any) -> None:
        """Add a target to the list of targets."""
        self.listed.append(target(replica, port=port, **changes))
        self.entry.targets.set_list(self.listed)
        self.entry.ownership.update(
            daemons=[DAEMON], replicas=self.entry.targets.target_by_replica
        )

    def engine(self, name: str, **changes: Any) -> _engine.Engine:
        """Start a stand-in engine."""
        options: dict[str, Any] = {
            "slots": 16,
            "prefix_cache_tokens": 100000,
            "prefill_tokens_per_second": 0,
            "token_interval": 0.002,
            "token_interval_per_running": 0.0,
            "load_lag": 0.0,
            "resume_grace": 30.0,
        }
        made = _engine.Engine(
            settings=_generation.Settings(**{**options, **changes}),
            registration=_registration.Registration(
                platform="", instance={"id": name}
            ),
        )
        self.engines[name] = made
        server = _http.server(made.answer, 0)
        self.servers.append(server)
        slots = changes.get("slots", 16)
        self.list_target(name, server.server_port, slots=slots)
        return made

    def service(self, name: str) -> _service.Service:
        """Start a stand-in service."""
        made = _service.Service(
            name=SERVICE,
            replica=name,
            work_time=0.0,
            registration=_registration.Registration(
                platform="", instance={"id": name}
            ),
        )
        self.services[name] = made
        server = _http.server(made.answer, 0)
        self.servers.append(server)
        self.list_target(name, server.server_port, group=SERVICE)
        return made

    def scripted(
        self, name: str, script: Callable[[Any], None], **changes: Any
    ) -> None:
        """Start a target whose connections are handled by a function."""
        server = wire_fixtures.scripted_server(script)
        self.servers.append(server)
        self.list_target(name, server.server_port, **changes)

    def held_load(self) -> int:
        """Return the load that the owner counts."""
        ledgers = self.entry.owner.ledger_by_replica.values()
        return sum(ledger.load for ledger in ledgers)

    def wait_idle(self) -> None:
        """Wait until no request runs and no placement is held."""
        wait_until(lambda: not self.app.in_progress, "end of all requests")
        wait_until(lambda: not self.held_load(), "release of all placements")
        assert not self.entry.admission.held_placements.placement_by_ask
        assert not self.quotas.outstanding

    def connect(self) -> socket.socket:
        """Open a connection to the callers' listener."""
        return socket.create_connection((HOST, self.port), 20)

    def send(
        self,
        method: str,
        path: str,
        *,
        headers: Any = (),
        body: bytes = b"",
        key: str = KEY,
    ) -> wire_fixtures.Answer:
        """Send a request on a new connection and return the response."""
        with self.connect() as sock:
            sock.sendall(
                wire_fixtures.raw_request(
                    method, path, headers=headers, body=body, key=key
                )
            )
            return wire_fixtures.read_answer(sock, method=method)

    def chat(
        self, question: str, *, stream: bool = False, **options: Any
    ) -> wire_fixtures.Answer:
        """Send one chat request and return the response."""
        headers = options.pop("headers", ())
        body = wire_fixtures.chat_body(question, stream=stream, **options)
        return self.send("POST", CHAT_PATH, headers=headers, body=body)

    def stop(self) -> None:
        """Stop the listener and all targets."""
        for server in self.servers:
            server.stop(timeout=0)
        self.connections.close()


def journal_events(engine: _engine.Engine) -> collections.Counter[str]:
    """Return the number of entries of an engine's journal, by event."""
    return collections.Counter(entry.event for entry in engine.journal)
