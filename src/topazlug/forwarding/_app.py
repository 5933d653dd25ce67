"""The WSGI application of the forwarding listener."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import contextlib
import functools
from http import HTTPStatus
from typing import Any
from typing import NamedTuple
from typing import final

import msgspec

from topazlug import _clock
from topazlug import _errors
from topazlug import _ids
from topazlug import _logs
from topazlug._generated import messages
from topazlug.callers import _caller_answer
from topazlug.callers import _caller_request
from topazlug.callers import _caller_watch
from topazlug.callers import _wsgi
from topazlug.crashes import _fingerprint
from topazlug.delegation import _delegation_server
from topazlug.delegation import _delegation_wire
from topazlug.forwarding import _answer_durations
from topazlug.forwarding import _call
from topazlug.forwarding import _call_metrics
from topazlug.forwarding import _forwarder
from topazlug.forwarding import _open_requests
from topazlug.forwarding import _startup_gate
from topazlug.forwarding import _stop_admission
from topazlug.forwarding import _table
from topazlug.forwarding import _wire
from topazlug.routing import _owner_client
from topazlug.telemetry import _metrics

_log = _logs.logger("forwarding")
# Timeout of a request whose caller names none. The route's timeout is shorter
# wherever one is set.
_DEFAULT_TIMEOUT_SECONDS = 60.0
_BODY_TIMEOUT_SECONDS = 10.0
_NOT_READY_RETRY_SECONDS = 0.5
# Requests of other daemons served at once. A daemon that is one of the few
# that still reach replicas must keep its capacity for its own callers.
_MAX_DELEGATED_IN_PROGRESS = 128
# Statuses that promise the caller that its request has not run.
_NOT_RUN_STATUSES = frozenset(
    {
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.MISDIRECTED_REQUEST,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    }
)


@final
class _ReceivedHead(NamedTuple):
    """Head of a request, from a caller or from another daemon."""

    fields: Sequence[_wire.Field]
    head: _wire.CallHead
    delegation: messages.DelegatedCall | None = None
    sender: _ids.DaemonId | None = None

    @property
    def log_fields(self) -> dict[str, str]:
        """Return the fields of all log lines of the request."""
        return {} if self.sender is None else {"sender": self.sender}


@final
class ForwardingApp:
    """Answers the requests of the forwarding listener.

    Parameters
    ----------
    forwarder : Forwarder
        Forwards requests to replicas.
    tables : TableHolder
        Holds the routing table in force.
    table_age : callable
        Returns the seconds since the store last confirmed the tables.
    decoder : CallerHeaderDecoder
        Decodes the heads of callers' requests.
    gate : StartupGate
        Delays requests while the daemon starts.
    call_metrics : CallMetrics
        Counts requests and their durations.
    stop_admission : StopAdmission
        Refuses requests that can't end before the daemon does.
    clock : Clock
        Clock of the daemon.

    Attributes
    ----------
    requests : OpenRequests
        Requests whose answer has not ended.
    delegated_count : int
        Number of requests that this daemon served for others.
    """

    def __init__(
        self,
        *,
        forwarder: _forwarder.Forwarder,
        tables: _table.TableHolder,
        table_age: Callable[[], float],
        decoder: _wire.CallerHeaderDecoder,
        gate: _startup_gate.StartupGate,
        call_metrics: _call_metrics.CallMetrics,
        stop_admission: _stop_admission.StopAdmission,
        clock: _clock.Clock,
    ) -> None:
        self._stop_admission = stop_admission
        self._gate = gate
        self._forwarder = forwarder
        self._tables = tables
        self._table_age = table_age
        self._decoder = decoder
        self._call_metrics = call_metrics
        self._clock = clock
        self.requests = _open_requests.OpenRequests(clock=clock)
        self.delegated_count = 0

    def __call__(
        self, environ: Mapping[str, Any], start_response: _wsgi.StartResponse
    ) -> Iterable[bytes]:
        """Answer one WSGI request."""
        request = self.requests.begin(
            is_delegated=_delegation_server.SENDER in environ
        )
        return _wsgi.respond(
            lambda: self._answer(environ, request),
            start_response,
            is_head=environ["REQUEST_METHOD"] == "HEAD",
            on_end=functools.partial(self.requests.end, request),
        )

    def _answer(
        self,
        environ: Mapping[str, Any],
        request: _open_requests.OpenRequest,
    ) -> _caller_answer.CallerAnswer:
        # A failure before the key is checked is counted for no team.
        team = _metrics.NO_TEAM
        try:
            received = self._decode(environ)
            request.attempt = received.head.attempt
            with (
                _logs.request_fields(
                    request_id=request.attempt, **received.log_fields
                ),
                self._stop_handled(request),
            ):
                call = self._read_call(environ, received, request)
                team = call.team_name
                return self._forward_with_log_fields(call)
        except _errors.TopazlugError as error:
            if not isinstance(error, _caller_watch.CallerLeft):
                self._call_metrics.record_failure(team, error)
            return self._error_answer(error, request)
        except Exception:
            _log.exception("internal error while handling a request")
            fault = _errors.TopazlugError("internal error")
            return _caller_answer.error_answer(fault, request.attempt)
        finally:
            request.phase = _open_requests.Phase.ANSWERING

    @contextlib.contextmanager
    def _stop_handled(
        self, request: _open_requests.OpenRequest
    ) -> Iterator[None]:
        """Handle the daemon's stop while a request is served.

        Raises
        ------
        DaemonStopping
            The request can't be waited for.
        DelegationDeclined
            The same, but another daemon sent it, and can send it elsewhere.
        """
        try:
            yield
        except (_open_requests.Interrupted, _errors.DaemonStopping) as error:
            refusal = self._stop_admission.refusal(request)
            is_certain = refusal.outcome is _errors.Outcome.NOT_RUN
            if request.is_delegated and is_certain:
                raise _delegation_wire.DelegationDeclined(
                    messages.DeclineReason.stopping
                ) from error
            raise refusal from error

    def _decode(self, environ: Mapping[str, Any]) -> _ReceivedHead:
        """Return the decoded head of a request."""
        fields = environ[_caller_request.FIELDS]
        sender = environ.get(_delegation_server.SENDER)
        if sender is None:
            return _ReceivedHead(fields, self._decoder.decode(fields))
        delegation = _delegation_wire.decode(fields)
        fields = _delegation_wire.without_own_fields(fields)
        return _ReceivedHead(
            fields, self._decoder.decode(fields), delegation, sender
        )

    def _accept_delegated(
        self, head: _wire.CallHead, delegation: messages.DelegatedCall
    ) -> _wire.CallHead:
        """Return the head of a request that another daemon has sent.

        Raises
        ------
        DelegationDeclined
            This daemon does not serve it.
        """
        reason = self._decline_reason(delegation)
        if reason is not None:
            raise _delegation_wire.DelegationDeclined(reason)
        self.delegated_count += 1
        _log.info(
            "serves a request of a daemon that reaches no replica",
            remaining=round(delegation.remaining, 3),
            replicas_left=delegation.replicas,
            sender_table=delegation.table,
        )
        caller_timeout = delegation.remaining
        if head.caller_timeout is not None:
            caller_timeout = min(caller_timeout, head.caller_timeout)
        resume_after = head.resume_after
        if delegation.resume_after >= 0:
            resume_after = delegation.resume_after
        return msgspec.structs.replace(
            head, caller_timeout=caller_timeout, resume_after=resume_after
        )

    def _decline_reason(
        self, delegation: messages.DelegatedCall
    ) -> messages.DeclineReason | None:
        """Return why a delegated request is declined, None if it is not.

        With an older table than the sender's, this daemon could reject a
        request for a route or key that the sender already knows.
        """
        reasons = messages.DeclineReason
        if self._stop_admission.is_stopping:
            return reasons.stopping
        if self.requests.delegated_count > _MAX_DELEGATED_IN_PROGRESS:
            return reasons.busy
        if self._tables.version < delegation.table:
            return reasons.table_behind
        return None

    def _read_call(
        self,
        environ: Mapping[str, Any],
        received: _ReceivedHead,
        request: _open_requests.OpenRequest,
    ) -> _call.ForwardedCall:
        """Return a request with its route, its team and its body."""
        if self._stop_admission.is_stopping:
            _log_late_request(environ)
        head = received.head
        if received.delegation is not None:
            head = self._accept_delegated(head, received.delegation)
        self._gate.wait()
        table = self._tables.current
        if table is None:
            raise _errors.NotReady(
                "this daemon has no routing table yet",
                retry_after=_NOT_READY_RETRY_SECONDS,
            )
        path = environ[_caller_request.RAW_PATH]
        host = environ.get("HTTP_HOST", "")
        route = table.find_route(host, path)
        team = table.find_team(route, head.key)
        timeout = (
            _DEFAULT_TIMEOUT_SECONDS
            if head.caller_timeout is None
            else head.caller_timeout
        )
        timeout = min(timeout, route.timeout)
        chat = _call.chat_of(head)
        group = route.group_for(chat)
        request.deadline = request.received_at + timeout
        request.kind = _answer_durations.AnswerKind(
            route.name, group, head.output_tokens
        )
        self._stop_admission.check(request)
        body = _caller_request.read_body(
            environ,
            limit=table.bounds.max_body_bytes,
            timeout=min(_BODY_TIMEOUT_SECONDS, timeout),
        )
        request.phase = _open_requests.Phase.WAITING
        return _call.ForwardedCall(
            method=environ["REQUEST_METHOD"],
            target=environ[_caller_request.TARGET],
            head=head,
            body=body,
            route=route,
            team=team,
            group=group,
            rank=table.rank_of(route, team),
            chat=chat,
            started_at=request.received_at,
            deadline=request.deadline,
            socket=environ.get(_caller_request.SOCKET),
            fingerprint=_fingerprint.fingerprint(
                method=environ["REQUEST_METHOD"],
                host=host,
                path=environ[_caller_request.TARGET],
                team=team.name if team else _ids.TeamName(""),
                body=body,
            ),
            fields=received.fields,
            delegation=received.delegation,
            open_request=request,
            holding=environ.get(_caller_request.HOLDING),
        )

    def _forward_with_log_fields(
        self, call: _call.ForwardedCall
    ) -> _caller_answer.CallerAnswer:
        fields = {
            "route": call.route.name,
            "team": call.team_name,
            "table": self._tables.version,
            "fingerprint": call.fingerprint,
        }
        if call.head.resumes:
            fields["resumes"] = call.head.resumes
        with _logs.request_fields(**fields):
            return self._serve(call)

    def _serve(self, call: _call.ForwardedCall) -> _caller_answer.CallerAnswer:
        answer = self._forwarder.serve(call)
        _log.info(
            "answered with {status} after {seconds:.3f} s",
            status=answer.status,
            seconds=round(self._clock.monotonic() - call.started_at, 3),
        )
        return answer

    def _limit_retry_after(
        self,
        error: _errors.RequestError,
        request: _open_requests.OpenRequest,
    ) -> None:
        """Have the caller retry early enough to get the answer in time.

        But not while a retry would certainly be rejected.
        """
        if error.retry_after is None or request.deadline is None:
            return
        remaining_seconds = request.deadline - self._clock.monotonic()
        max_retry_after = max(
            0.0,
            _owner_client.MAX_RETRY_DELAY_FRACTION * remaining_seconds,
        )
        error.retry_after = max(
            min(error.retry_after, max_retry_after), error.rejected_for
        )

    def _error_answer(
        self,
        error: _errors.TopazlugError,
        request: _open_requests.OpenRequest,
    ) -> _caller_answer.CallerAnswer:
        if isinstance(error, _errors.RequestError):
            self._limit_retry_after(error, request)
        answer = _caller_answer.error_answer(
            error, request.attempt, whole_seconds=False
        )
        if answer.status in _NOT_RUN_STATUSES and not _has_not_run(error):
            answer.status = int(HTTPStatus.BAD_GATEWAY)
        if isinstance(error, _delegation_wire.DelegationDeclined):
            answer.headers.append(
                (_delegation_wire.DECLINED, error.reason.value)
            )
        now = self._clock.monotonic()
        with _logs.request_fields(
            request_id=request.attempt, status=answer.status
        ):
            if isinstance(error, _caller_watch.CallerLeft):
                _log.info("caller disconnected before its answer began")
            else:
                _log.warning(
                    "failed with {code} after {seconds:.3f} s: {why}",
                    code=error.code.value,
                    seconds=round(now - request.received_at, 3),
                    outcome=getattr(error, "outcome", None),
                    retry_after=getattr(error, "retry_after", None),
                    why=error.message,
                    table=self._tables.version,
                    table_age=round(self._table_age(), 3),
                )
        return answer


def _log_late_request(environ: Mapping[str, Any]) -> None:
    """Log a request that arrives while the daemon stops."""
    _log.info(
        "received while the daemon stops",
        connection_requests=environ.get(_caller_request.NUMBER),
    )


def _has_not_run(error: _errors.TopazlugError) -> bool:
    """Return whether the failed request certainly has not run."""
    if not isinstance(error, _errors.RequestError):
        return False
    return error.outcome is _errors.Outcome.NOT_RUN
