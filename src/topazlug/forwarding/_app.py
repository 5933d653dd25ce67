"""The WSGI application of the forwarding listener."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from http import HTTPStatus
from typing import Any
from typing import final

from topazlug import _clock
from topazlug import _errors
from topazlug import _ids
from topazlug import _logs
from topazlug.callers import _caller_answer
from topazlug.callers import _caller_request
from topazlug.callers import _caller_watch
from topazlug.callers import _wsgi
from topazlug.crashes import _fingerprint
from topazlug.forwarding import _call
from topazlug.forwarding import _forwarder
from topazlug.forwarding import _measures
from topazlug.forwarding import _start_gate
from topazlug.forwarding import _table
from topazlug.forwarding import _wire
from topazlug.routing import _owner_client
from topazlug.telemetry import _metrics

_log = _logs.logger("forwarding")
# Patience of a caller that names none, in seconds: the route's timeout is
# shorter wherever one is set.
_DEFAULT_PATIENCE = 60.0
_BODY_SECONDS = 10.0
_NOT_READY_SECONDS = 0.5
# Statuses that promise that a request has not run.
_PROMISES = frozenset(
    {
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    }
)


@final
class ForwardingApp:
    """Answers the requests of the forwarding listener.

    Parameters
    ----------
    forwarder : Forwarder
        Serves requests whose route and key are known.
    tables : TableHolder
        The table in force.
    table_age : callable
        Gives the seconds since the store last confirmed the tables.
    wire : CallerWire
        Names on the wire.
    gate : StartGate
        Holds requests up while the daemon starts.
    measures : Measures
        What is counted.
    clock : Clock
        Time.

    Attributes
    ----------
    in_progress : int
        Requests that were read and not answered whole.
    """

    def __init__(
        self,
        *,
        forwarder: _forwarder.Forwarder,
        tables: _table.TableHolder,
        table_age: Callable[[], float],
        wire: _wire.CallerWire,
        gate: _start_gate.StartGate,
        measures: _measures.Measures,
        clock: _clock.Clock,
    ) -> None:
        self._gate = gate
        self._forwarder = forwarder
        self._tables = tables
        self._table_age = table_age
        self._wire = wire
        self._measures = measures
        self._clock = clock
        self.in_progress = 0

    def __call__(
        self, environ: Mapping[str, Any], start: _wsgi.StartResponse
    ) -> Iterable[bytes]:
        """Answer one request, as WSGI asks."""
        self.in_progress += 1
        return _wsgi.respond(
            lambda: self._answer(environ),
            start,
            is_head=environ["REQUEST_METHOD"] == "HEAD",
            ended=self._ended,
        )

    def _ended(self) -> None:
        self.in_progress -= 1

    def _answer(
        self, environ: Mapping[str, Any]
    ) -> _caller_answer.CallerAnswer:
        started = self._clock.monotonic()
        attempt = _ids.RequestId("")
        # Not known before the key is; a failure before counts for nobody.
        team = _metrics.NO_TEAM
        try:
            head = self._wire.decode(environ[_caller_request.FIELDS])
            attempt = head.attempt
            with _logs.request_fields(request_id=attempt):
                call = self._read(environ, head, started)
                team = call.team_name
                return self._forward(call)
        except _errors.TopazlugError as error:
            if not isinstance(error, _caller_watch.CallerLeft):
                self._measures.refused(team, error)
            return self._refuse(error, attempt, started)
        except Exception:
            _log.exception("a request met a fault of this daemon")
            fault = _errors.TopazlugError("internal error")
            return _caller_answer.of_error(fault, attempt)

    def _read(
        self,
        environ: Mapping[str, Any],
        head: _wire.CallHead,
        started: float,
    ) -> _call.ForwardedCall:
        """Find a request's route and team, and read its body."""
        self._gate.wait()
        table = self._tables.current
        if table is None:
            raise _errors.NotReady(
                "this daemon has no routing table yet",
                retry_after=_NOT_READY_SECONDS,
            )
        path = environ[_caller_request.RAW_PATH]
        host = environ.get("HTTP_HOST", "")
        route = table.route_of(host, path)
        team = table.team_of(route, head.key)
        patience = (
            _DEFAULT_PATIENCE if head.patience is None else head.patience
        )
        patience = min(patience, route.timeout)
        body = _caller_request.read_body(
            environ,
            limit=table.bounds.max_body_bytes,
            timeout=min(_BODY_SECONDS, patience),
        )
        chat = _call.chat_of(head)
        return _call.ForwardedCall(
            method=environ["REQUEST_METHOD"],
            target=environ[_caller_request.TARGET],
            head=head,
            body=body,
            route=route,
            team=team,
            group=route.group_for(chat),
            rank=table.rank_of(route, team),
            chat=chat,
            started=started,
            deadline=started + patience,
            socket=environ.get(_caller_request.SOCKET),
            fingerprint=_fingerprint.fingerprint(
                method=environ["REQUEST_METHOD"],
                host=host,
                path=environ[_caller_request.TARGET],
                team=team.name if team else _ids.TeamName(""),
                body=body,
            ),
        )

    def _forward(
        self, call: _call.ForwardedCall
    ) -> _caller_answer.CallerAnswer:
        fields = {
            "route": call.route.name,
            "team": call.team_name,
            "table": self._tables.version,
            "fingerprint": call.fingerprint,
        }
        with _logs.request_fields(**fields):
            return self._forward_named(call)

    def _forward_named(
        self, call: _call.ForwardedCall
    ) -> _caller_answer.CallerAnswer:
        try:
            answer = self._forwarder.serve(call)
        except _errors.RequestError as error:
            if error.retry_after is not None:
                left = call.deadline - self._clock.monotonic()
                longest = max(
                    0.0, _owner_client.MAX_RETRY_DELAY_FRACTION * left
                )
                error.retry_after = max(
                    min(error.retry_after, longest), error.refused_for
                )
            raise
        _log.info(
            "answered with {status} after {seconds:.3f} s",
            status=answer.status,
            seconds=round(self._clock.monotonic() - call.started, 3),
        )
        return answer

    def _refuse(
        self,
        error: _errors.TopazlugError,
        attempt: _ids.RequestId,
        started: float,
    ) -> _caller_answer.CallerAnswer:
        answer = _caller_answer.of_error(error, attempt, whole_seconds=False)
        if answer.status in _PROMISES and not _is_certain(error):
            answer.status = int(HTTPStatus.BAD_GATEWAY)
        with _logs.request_fields(request_id=attempt, status=answer.status):
            if isinstance(error, _caller_watch.CallerLeft):
                _log.info("the caller left before its answer began")
            else:
                _log.warning(
                    "failed with {code} after {seconds:.3f} s: {why}",
                    code=error.code.value,
                    seconds=round(self._clock.monotonic() - started, 3),
                    outcome=getattr(error, "outcome", None),
                    retry_after=getattr(error, "retry_after", None),
                    why=error.message,
                    table=self._tables.version,
                    table_age=round(self._table_age(), 3),
                )
        return answer


def _is_certain(error: _errors.TopazlugError) -> bool:
    """Say whether an error's request certainly has not run."""
    if not isinstance(error, _errors.RequestError):
        return False
    return error.outcome is _errors.Outcome.NOT_RUN
