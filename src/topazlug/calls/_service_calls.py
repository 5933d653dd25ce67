"""Calls to plain services, some of which may run only once."""

from collections.abc import Iterator
from typing import Protocol
from typing import final
from urllib import parse

import msgspec

from topazlug import _errors
from topazlug import _ids
from topazlug import _logs
from topazlug._generated import table
from topazlug.callers import _caller_answer
from topazlug.callers import _caller_request
from topazlug.callers import _memory_budget
from topazlug.calls import _call_assembly
from topazlug.calls import _call_runner
from topazlug.calls import _service_relay
from topazlug.claims import _claim_rows
from topazlug.claims import _claims
from topazlug.configuration import _configuration
from topazlug.crashes import _fingerprint
from topazlug.limits import _quotas
from topazlug.routing import _placement
from topazlug.routing import _ranking
from topazlug.targets import _target_answer
from topazlug.targets import _target_client

_log = _logs.logger("service")
PREFIX = "/v1/services/"
IDEMPOTENCY_KEY = "Idempotency-Key"
_MAX_KEY_LENGTH = 256
_MAX_BUFFERED_BYTES = 1 << 20


class Claims(Protocol):
    """Grants claims; see `ClaimManager`."""

    def claim(
        self,
        *,
        team: _ids.TeamName,
        service: _ids.GroupName,
        key: str,
        fingerprint: str,
        deadline: float,
    ) -> _claims.Claim | _claims.KeptAnswer:
        """Claim the right to run a request, or return its kept answer."""


class _Call(msgspec.Struct):
    """A service call in progress."""

    request: _caller_request.CallerRequest
    caller: _caller_request.Caller
    row: table.ServiceRow
    path: str
    body: bytes
    repeatable: bool
    fingerprint: _ids.Fingerprint
    claim: _claims.Claim | None = None


@final
class ServiceCalls:
    """Serves calls to plain services.

    Parameters
    ----------
    assembly : CallAssembly
        Components shared by all calls.
    claims : Claims
        Claims in the platform's table.
    """

    def __init__(
        self,
        *,
        assembly: _call_assembly.CallAssembly,
        claims: Claims,
    ) -> None:
        self._assembly = assembly
        self._runner = _call_runner.CallRunner(assembly=assembly, log=_log)
        self._claims = claims

    def serve(
        self,
        request: _caller_request.CallerRequest,
        caller: _caller_request.Caller,
        snapshot: _configuration.TableSnapshot,
    ) -> _caller_answer.CallerAnswer:
        """Answer one call.

        Raises
        ------
        RequestError
            The call failed before anything was sent to the caller.
        """
        row, path = _route(request, caller, snapshot)
        request.read_deadline(max_seconds=row.deadline)
        body = request.read_body()
        call = _Call(
            request=request,
            caller=caller,
            row=row,
            path=path,
            body=body,
            repeatable=request.method in row.idempotent_methods,
            fingerprint=_fingerprint.fingerprint(
                method=request.method,
                host=row.name,
                path=path,
                team=caller.name,
                body=body,
            ),
        )
        kept = self._claim(call)
        if kept is not None:
            return _replayed_answer(kept, call)
        if call.claim is None:
            return self._run(call)
        # The claim ends with the call, for whatever reason the call ends. If
        # the caller left before anything was sent, its key would otherwise
        # have an unknown outcome for a day.
        with call.claim:
            return self._run(call)

    def _claim(self, call: _Call) -> _claims.KeptAnswer | None:
        """Claim a call that must not run twice, before anything is sent.

        Returns
        -------
        KeptAnswer or None
            The answer of an earlier run with the same key, if there is one.
        """
        key = call.request.header(IDEMPOTENCY_KEY)
        if call.repeatable:
            return None
        if not key:
            if call.row.key_required:
                raise _errors.KeyRequired(
                    f"{call.request.method} on {call.row.name} needs an"
                    f" {IDEMPOTENCY_KEY} header"
                )
            return None
        if len(key) > _MAX_KEY_LENGTH:
            raise _errors.BadHeader(
                f"{IDEMPOTENCY_KEY} is longer than {_MAX_KEY_LENGTH}"
                " characters"
            )
        result = self._claims.claim(
            team=call.caller.name,
            service=_ids.GroupName(call.row.name),
            key=key,
            fingerprint=_claim_rows.fingerprint(
                method=call.request.method, path=call.path, body=call.body
            ),
            deadline=call.request.deadline,
        )
        if isinstance(result, _claims.KeptAnswer):
            return result
        call.claim = result
        return None

    def _run(self, call: _Call) -> _caller_answer.CallerAnswer:
        placement_request = _placement.PlacementRequest(
            group=_ids.GroupName(call.row.name),
            chat=_ranking.chat_hash(call.request.request_id),
            team=call.caller.name,
            batch=call.caller.batch,
            weight=1,
            deadline=call.request.deadline,
        )
        try:
            return self._runner.run(
                placement_request,
                call.caller,
                lambda placement, ticket: self._attempt(
                    call, placement, ticket
                ),
                repeatable=call.repeatable,
                fingerprint=call.fingerprint,
                request_id=call.request.request_id,
            )
        except _errors.RequestError as error:
            _end_claim(call, error)
            raise

    def _attempt(
        self,
        call: _Call,
        placement: _placement.Placement,
        ticket: _quotas.Ticket,
    ) -> _caller_answer.CallerAnswer:
        call.request.remaining()
        if call.claim is not None:
            call.claim.may_send()
        answer = self._runner.exchange(
            placement, _target_request(call), call.request
        )
        chunks = answer.chunks(
            receive_timeout=self._assembly.limits.target_silence,
            deadline=call.request.deadline,
        )
        if call.claim is not None:
            return self._finish_claimed(
                call, placement, answer, chunks, ticket
            )
        return self._relay(call, placement, answer, chunks, ticket)

    def _finish_claimed(
        self,
        call: _Call,
        placement: _placement.Placement,
        answer: _target_answer.TargetAnswer,
        chunks: Iterator[bytes],
        ticket: _quotas.Ticket,
    ) -> _caller_answer.CallerAnswer:
        """Read a claimed call's answer and keep it for repeats."""
        try:
            body = _service_relay.read_bounded(chunks, call.request.holding)
        finally:
            answer.close()
        headers = _service_relay.relayed_headers(answer)
        if call.claim is not None:
            call.claim.finish(answer.status, headers, body)
        self._end(call, placement, answer.status, ticket)
        return _caller_answer.CallerAnswer(
            status=answer.status,
            headers=headers
            + _own_headers(call, placement.target.replica)
            + _service_relay.content_length_headers(answer.status, len(body)),
            body=iter([body]),
        )

    def _relay(
        self,
        call: _Call,
        placement: _placement.Placement,
        answer: _target_answer.TargetAnswer,
        chunks: Iterator[bytes],
        ticket: _quotas.Ticket,
    ) -> _caller_answer.CallerAnswer:
        """Buffer a short answer; relay a long one as it arrives.

        If a short answer breaks, the call can still be repeated, as nothing
        has been sent to the caller.
        """
        head: list[bytes] = []
        size = 0
        is_complete = True
        for block in chunks:
            head.append(block)
            size += len(block)
            has_room = _memory_budget.may_buffer(
                call.request.holding, len(block)
            )
            if size > _MAX_BUFFERED_BYTES or not has_room:
                is_complete = False
                break
        headers = _service_relay.relayed_headers(answer) + _own_headers(
            call, placement.target.replica
        )
        if is_complete:
            self._end(call, placement, answer.status, ticket)
            if call.request.method == "HEAD":
                stated = answer.header("Content-Length")
                size = int(stated) if stated.isdigit() else 0
            headers += _service_relay.content_length_headers(
                answer.status, size
            )
            body: Iterator[bytes] = iter(head)
        else:
            body = _caller_answer.prime(
                self._relay_rest(call, placement, answer, head, chunks, ticket)
            )
        return _caller_answer.CallerAnswer(
            status=answer.status, headers=headers, body=body
        )

    def _relay_rest(
        self,
        call: _Call,
        placement: _placement.Placement,
        answer: _target_answer.TargetAnswer,
        head: list[bytes],
        chunks: Iterator[bytes],
        ticket: _quotas.Ticket,
    ) -> Iterator[bytes]:
        try:
            yield b""
            yield from head
            yield from chunks
        finally:
            answer.close()
            self._end(call, placement, answer.status, ticket)

    def _end(
        self,
        call: _Call,
        placement: _placement.Placement,
        status: int,
        ticket: _quotas.Ticket,
    ) -> None:
        self._assembly.admission.release(placement)
        ticket.release()
        self._runner.record_end(
            call.caller,
            call.request,
            status=status,
            code=None,
            fields=_logs.request_fields(
                request_id=call.request.request_id,
                team=call.caller.name,
                service=call.row.name,
                replica=placement.target.replica,
            ),
        )


def _route(
    request: _caller_request.CallerRequest,
    caller: _caller_request.Caller,
    snapshot: _configuration.TableSnapshot,
) -> tuple[table.ServiceRow, str]:
    name, _, rest = request.raw_path[len(PREFIX) :].partition("/")
    row = snapshot.services_by_name.get(name)
    allowed = caller.team.services
    if row is None or (allowed and name not in allowed):
        raise _errors.UnknownService(f"no service {name!r}")
    # The path must stay encoded as received. If it were decoded, a line break
    # in it could inject a header, and an encoded slash would change which
    # resource is requested.
    path = parse.quote("/" + rest, safe="%/:@!$&'()*+,;=~", encoding="latin-1")
    if request.query:
        path += "?" + parse.quote(request.query, safe="=&%+/:@!$'()*,;~?")
    return row, path


def _end_claim(call: _Call, error: _errors.RequestError) -> None:
    """Release the key if nothing ran; else its outcome stays unknown."""
    if call.claim is None:
        return
    if error.outcome is _errors.Outcome.NOT_RUN:
        call.claim.release()
    else:
        call.claim.abandon()


def _target_request(call: _Call) -> _target_client.TargetRequest:
    headers = [
        (name, value)
        for name, value in call.request.headers()
        if name.lower() not in _service_relay.UNRELAYED_HEADERS
        and "\n" not in value
    ]
    headers.append(("Host", call.row.name))
    return _target_client.TargetRequest(
        method=call.request.method,
        path=call.path,
        headers=headers,
        body=call.body,
        request_id=call.request.request_id,
        fresh=not call.repeatable,
        fingerprint=call.fingerprint,
    )


def _own_headers(call: _Call, replica: str) -> list[tuple[str, str]]:
    return [
        (_caller_answer.OUTCOME, _errors.Outcome.RAN.value),
        ("X-Request-Id", call.request.request_id),
        ("Topazlug-Replica", replica),
    ]


def _replayed_answer(
    kept: _claims.KeptAnswer, call: _Call
) -> _caller_answer.CallerAnswer:
    headers = list(kept.headers)
    headers += [
        (_caller_answer.OUTCOME, _errors.Outcome.RAN.value),
        ("X-Request-Id", call.request.request_id),
        ("Idempotency-Replayed", "true"),
        *_service_relay.content_length_headers(kept.status, len(kept.body)),
    ]
    return _caller_answer.CallerAnswer(
        status=kept.status, headers=headers, body=iter([kept.body])
    )
