"""A plain service that runs any request and records it in a journal."""

import hashlib
import time
from typing import Any
from typing import final

import click
import gevent
import msgspec

from standins import _http
from standins import _registration

FREEZE_POLL_SECONDS = 0.02
LEAVING = ("X-Target-State", "leaving")
NOT_RUN = ("X-Not-Run", "true")


@final
class Faults(msgspec.Struct, kw_only=True):
    """Faults of the service; `late` delays the head, in seconds."""

    late: float = 0.0
    late_count: int = 0
    truncate_count: int = 0
    refuse_count: int = 0
    die_before_answer_count: int = 0
    wrong_request_id_count: int = 0
    freeze: bool = False


@final
class Run(msgspec.Struct, frozen=True, kw_only=True):
    """A journal entry; `at` is in seconds since the epoch."""

    at: float
    request_id: str
    idempotency_key: str
    method: str
    path: str
    body_sha256: str


@final
class Service:
    """One replica of a plain service.

    Parameters
    ----------
    name, replica
        Names of the service and the replica, as shown in answers.
    work_time
        Seconds that a request runs.
    registration
        Its entry on the instance list.
    """

    def __init__(
        self,
        *,
        name: str,
        replica: str,
        work_time: float,
        registration: _registration.Registration,
    ) -> None:
        self.faults = Faults()
        self.journal: list[Run] = []
        self._name = name
        self._replica = replica
        self._work_time = work_time
        self._registration = registration
        self._running = 0
        self._leaving = False

    def answer(self, request: _http.Request) -> _http.Answer:
        """Answer one request."""
        if request.path == "/faults":
            return _http.faults_answer(self.faults, request)
        if request.path == "/journal":
            return _http.json_answer(200, self.journal)
        while self.faults.freeze:
            gevent.sleep(FREEZE_POLL_SECONDS)
        if request.path == "/admin/leave":
            self._leaving = True
            self._registration.leave()
            return _http.bytes_answer(204, b"")
        if request.path == "/load":
            return _http.json_answer(200, self._load())
        if self._leaving or _http.consume_fault(self.faults, "refuse_count"):
            headers = (NOT_RUN, *self._state_headers())
            return _http.error_answer(503, "refused", "not run", headers)
        self._running += 1
        try:
            return self._run(request)
        finally:
            self._running -= 1

    def _load(self) -> dict[str, Any]:
        instance = self._registration.instance
        return {
            "running": self._running,
            "waiting": 0,
            "slots": instance["slots"],
            "state": instance["state"],
            "incarnation": instance["incarnation"],
        }

    def _state_headers(self) -> tuple[tuple[str, str], ...]:
        return (LEAVING,) if self._leaving else ()

    def _run(self, request: _http.Request) -> _http.Answer:
        request_id = request.header("X-Request-Id")
        run = Run(
            at=time.time(),
            request_id=request_id,
            idempotency_key=request.header("Idempotency-Key"),
            method=request.method,
            path=request.path,
            body_sha256=hashlib.sha256(request.body).hexdigest(),
        )
        self.journal.append(run)
        number = len(self.journal)
        gevent.sleep(self._work_time)
        while self.faults.freeze:
            gevent.sleep(FREEZE_POLL_SECONDS)
        if _http.consume_fault(self.faults, "die_before_answer_count"):
            raise _http.ConnectionCut()
        if _http.consume_fault(self.faults, "late_count"):
            gevent.sleep(self.faults.late)
        shown_id = request_id
        if _http.consume_fault(self.faults, "wrong_request_id_count"):
            shown_id = "wrong-" + request_id
        value = {
            "service": self._name,
            "replica": self._replica,
            "request_id": shown_id,
            "method": run.method,
            "path": run.path,
            "body_sha256": run.body_sha256,
            "run": number,
        }
        headers = (("X-Request-Id", shown_id), *self._state_headers())
        answer = _http.json_answer(200, value, headers)
        if _http.consume_fault(self.faults, "truncate_count"):
            return _http.truncate(answer)
        return answer


@click.command()
@click.option("--port", default=0)
@click.option("--id", "replica", required=True)
@click.option("--service", "name", required=True)
@click.option("--zone", default="zone-1")
@click.option("--region", default="region-1")
@click.option("--platform", default="", help="host:port.")
@click.option("--slots", default=16)
@click.option("--work-time", default=0.0, help="Seconds.")
@click.option("--incarnation", type=int, help="Default: now in ms.")
@click.option("--max-seconds", default=3600.0)
def service(
    port: int,
    replica: str,
    name: str,
    zone: str,
    region: str,
    platform: str,
    slots: int,
    work_time: float,
    incarnation: int | None,
    max_seconds: float,
) -> None:
    """Run one replica of a plain service."""
    registration = _registration.Registration(
        platform=platform,
        instance={
            "id": replica,
            "kind": "service",
            "group": name,
            "host": _http.HOST,
            "port": port,
            "zone": zone,
            "region": region,
            "state": "live",
            "incarnation": incarnation or int(time.time() * 1000),
            "slots": slots,
        },
    )
    made = Service(
        name=name,
        replica=replica,
        work_time=work_time,
        registration=registration,
    )
    server = _http.server(made.answer, port)
    registration.instance["port"] = server.server_port
    registration.start()
    _http.run_until_stopped(server.server_port, max_seconds, registration.stop)
