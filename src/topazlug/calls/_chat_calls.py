"""Chat completions: calls of engines in OpenAI's format.

The caller's body is sent to the engine unchanged.
"""

from collections.abc import Callable
from collections.abc import Iterator
from typing import final
from urllib import parse

import msgspec

from topazlug import _errors
from topazlug import _ids
from topazlug import _logs
from topazlug._generated import table
from topazlug.callers import _caller_answer
from topazlug.callers import _caller_request
from topazlug.callers import _caller_watch
from topazlug.calls import _call_assembly
from topazlug.calls import _call_runner
from topazlug.calls import _chat_body
from topazlug.calls import _chat_stream
from topazlug.configuration import _configuration
from topazlug.crashes import _fingerprint
from topazlug.limits import _quotas
from topazlug.routing import _placement
from topazlug.routing import _ranking
from topazlug.targets import _target_answer
from topazlug.targets import _target_client

_log = _logs.logger("chat")
_PATH = "/v1/chat/completions"


class _Call(msgspec.Struct):
    """A chat call in progress."""

    request: _caller_request.CallerRequest
    caller: _caller_request.Caller
    body: bytes
    chat_id: str
    streamed: bool
    returning: bool
    fingerprint: _ids.Fingerprint

    @property
    def chat_name(self) -> str:
        """Return a hash of the chat's id, which the caller may choose."""
        return f"{_ranking.chat_hash(self.caller.name, self.chat_id):016x}"

    @property
    def request_class(self) -> table.RequestClass:
        return _call_runner.request_class_of(self.caller)


@final
class ChatCalls:
    """Serves chat completions.

    Parameters
    ----------
    assembly : CallAssembly
        Components shared by all calls.
    spawn : callable
        Starts a greenlet for work that the caller does not wait for.
    """

    def __init__(
        self,
        *,
        assembly: _call_assembly.CallAssembly,
        spawn: Callable[..., object],
    ) -> None:
        self._assembly = assembly
        self._runner = _call_runner.CallRunner(assembly=assembly, log=_log)
        self._spawn = spawn

    def serve(
        self,
        request: _caller_request.CallerRequest,
        caller: _caller_request.Caller,
        snapshot: _configuration.TableSnapshot,
    ) -> _caller_answer.CallerAnswer:
        """Answer one chat request.

        Raises
        ------
        RequestError
            The call failed before anything was sent to the caller.
        """
        request.read_deadline()
        body = request.read_body()
        chat = _chat_body.decode(body)
        pool = _pool_of(chat, caller, snapshot)
        call = _Call(
            request=request,
            caller=caller,
            body=body,
            chat_id=_chat_body.chat_id(request, caller, chat),
            streamed=bool(chat.stream),
            returning=any(m.role == "assistant" for m in chat.messages),
            fingerprint=_fingerprint.fingerprint(
                method=request.method,
                host="",
                path=_PATH,
                team=caller.name,
                body=body,
            ),
        )
        placement_request = _placement.PlacementRequest(
            group=_ids.GroupName(pool.name),
            chat=_ranking.chat_hash(caller.name, call.chat_id),
            team=caller.name,
            batch=caller.batch,
            weight=1,
            deadline=request.deadline,
            returning=call.returning,
        )
        with _caller_watch.cancel_on_disconnect(request.socket):
            with _logs.request_fields(chat=call.chat_name):
                return self._run(call, placement_request)

    def _run(
        self, call: _Call, placement_request: _placement.PlacementRequest
    ) -> _caller_answer.CallerAnswer:
        return self._runner.run(
            placement_request,
            call.caller,
            lambda placement, ticket: self._attempt(call, placement, ticket),
            repeatable=True,
            fingerprint=call.fingerprint,
            request_id=call.request.request_id,
        )

    def _attempt(
        self,
        call: _Call,
        placement: _placement.Placement,
        ticket: _quotas.Ticket,
    ) -> _caller_answer.CallerAnswer:
        """Make one attempt; cancel it if it may still run after a failure."""
        try:
            with _logs.request_fields(replica=placement.target.replica):
                return self._exchange(call, placement, ticket)
        except _errors.RequestError as error:
            if error.outcome is _errors.Outcome.UNKNOWN:
                self._cancel(call, placement)
            raise
        except _caller_watch.CallerLeft:
            self._cancel(call, placement)
            raise

    def _exchange(
        self,
        call: _Call,
        placement: _placement.Placement,
        ticket: _quotas.Ticket,
    ) -> _caller_answer.CallerAnswer:
        queueing_seconds = (
            self._assembly.clock.monotonic() - call.request.started
        )
        self._assembly.metrics.observe_queueing(
            call.caller.name, call.request_class, queueing_seconds
        )
        call.request.remaining()
        answer = self._runner.exchange(
            placement, _engine_request(call), call.request
        )
        if answer.status == 200 and call.streamed:
            return self._streamed_answer(call, placement, answer, ticket)
        return self._complete_answer(call, placement, answer, ticket)

    def _complete_answer(
        self,
        call: _Call,
        placement: _placement.Placement,
        answer: _target_answer.TargetAnswer,
        ticket: _quotas.Ticket,
    ) -> _caller_answer.CallerAnswer:
        """Read an answer that is not streamed, and return it complete."""
        try:
            body = _chat_body.read_answer(
                answer,
                receive_timeout=self._assembly.limits.target_silence,
                deadline=call.request.deadline,
                holding=call.request.holding,
            )
        finally:
            answer.close()
        self._assembly.admission.release(placement)
        ticket.release()
        self._observe_first_token(call, answer)
        self._record_end(call, placement, answer.status)
        headers = _caller_headers(call, placement, answer)
        headers.append(("Content-Length", str(len(body))))
        return _caller_answer.CallerAnswer(
            status=answer.status, headers=headers, body=iter([body])
        )

    def _streamed_answer(
        self,
        call: _Call,
        placement: _placement.Placement,
        answer: _target_answer.TargetAnswer,
        ticket: _quotas.Ticket,
    ) -> _caller_answer.CallerAnswer:
        """Wait for the first event, then relay the rest as it arrives.

        Until the first event, nothing has been sent to the caller, so that
        the call can still be repeated at another engine after a failure.
        """
        stream = _chat_stream.ChatStream(
            connections=self._assembly.connections,
            target=placement.target,
            request_id=call.request.request_id,
            answer=answer,
            receive_timeout=self._assembly.limits.target_silence,
            deadline=call.request.deadline,
        )
        pieces = stream.pieces()
        try:
            first = next(pieces, b"")
        except BaseException:
            stream.answer.close()
            raise
        self._observe_first_token(call, answer)
        watch = _caller_watch.CallerWatch(
            call.request.socket, on_disconnect=stream.handle_caller_left
        )
        body = self._relay(
            call, placement, ticket, stream, watch, first, pieces
        )
        return _caller_answer.CallerAnswer(
            status=200,
            headers=_caller_headers(call, placement, answer),
            body=_caller_answer.prime(body),
        )

    def _relay(
        self,
        call: _Call,
        placement: _placement.Placement,
        ticket: _quotas.Ticket,
        stream: _chat_stream.ChatStream,
        watch: _caller_watch.CallerWatch,
        first: bytes,
        pieces: Iterator[bytes],
    ) -> Iterator[bytes]:
        try:
            yield b""
            yield first
            yield from self._observed_pieces(call, pieces)
            self._record_end(
                call, placement, 200 if stream.is_complete else 499
            )
        except _errors.RequestError as error:
            self._count(call, error.code, error.outcome)
            with _log_fields(call, placement):
                _log.warning("stream broke: {code}", code=error.code.value)
            yield _chat_stream.error_event(error, call.request.request_id)
        finally:
            watch.stop()
            self._assembly.admission.release(placement)
            ticket.release()
            if not stream.is_complete:
                stream.answer.close()
                self._cancel(call, placement)

    def _observed_pieces(
        self, call: _Call, pieces: Iterator[bytes]
    ) -> Iterator[bytes]:
        before = self._assembly.clock.monotonic()
        for piece in pieces:
            now = self._assembly.clock.monotonic()
            self._assembly.metrics.observe_between_tokens(
                call.caller.name, call.request_class, now - before
            )
            before = now
            yield piece

    def _cancel(self, call: _Call, placement: _placement.Placement) -> None:
        """Cancel a call on its engine in the background.

        An engine keeps a broken stream running for a while so that it can be
        resumed. Without a cancellation it would occupy a slot for that long.
        """
        self._spawn(self._send_cancel, call.request.request_id, placement)

    def _send_cancel(
        self, request_id: _ids.RequestId, placement: _placement.Placement
    ) -> None:
        request = _target_client.TargetRequest(
            method="POST",
            path=f"/v1/streams/{parse.quote(request_id)}/cancel",
            headers=[_host(placement)],
            body=b"",
            request_id=request_id,
            fresh=True,
        )
        try:
            answer = self._assembly.connections.exchange(
                placement.target, request, head_timeout=1.0
            )
        except _errors.TopazlugError as error:
            _log.debug("cancel request failed: {why}", why=error.message)
            return
        answer.close()

    def _observe_first_token(
        self, call: _Call, answer: _target_answer.TargetAnswer
    ) -> None:
        now = self._assembly.clock.monotonic()
        self._assembly.metrics.observe_first_token(
            call.caller.name, call.request_class, now - call.request.started
        )
        cached = _parse_count(answer.header("X-Cached-Tokens"))
        prompt = _parse_count(answer.header("X-Prompt-Tokens"))
        if call.returning and prompt is not None:
            hit = bool(cached)
            self._assembly.metrics.count_returning_chat(
                hit, cached or 0, prompt
            )

    def _record_end(
        self, call: _Call, placement: _placement.Placement, status: int
    ) -> None:
        self._runner.record_end(
            call.caller,
            call.request,
            status=status,
            code=None if status == 200 else _errors.Code.TARGET_FAILED,
            fields=_log_fields(call, placement),
        )

    def _count(
        self,
        call: _Call,
        code: _errors.Code | None,
        outcome: _errors.Outcome,
    ) -> None:
        self._assembly.metrics.count_request(
            call.caller.name, call.request_class, code, outcome
        )


def _pool_of(
    chat: _chat_body.ChatBody,
    caller: _caller_request.Caller,
    snapshot: _configuration.TableSnapshot,
) -> table.PoolRow:
    pool = snapshot.pool_by_model.get(chat.model)
    allowed = caller.team.pools
    if pool is None or (allowed and pool.name not in allowed):
        raise _errors.UnknownModel(
            f"model {chat.model!r} is not served; see GET /v1/models"
        )
    return pool


def _log_fields(
    call: _Call, placement: _placement.Placement
) -> _logs.request_fields:
    """Return log fields for use after the request's logging context ended."""
    return _logs.request_fields(
        request_id=call.request.request_id,
        team=call.caller.name,
        chat=call.chat_name,
        replica=placement.target.replica,
    )


def _host(placement: _placement.Placement) -> tuple[str, str]:
    return "Host", f"{placement.target.host}:{placement.target.port}"


def _engine_request(call: _Call) -> _target_client.TargetRequest:
    return _target_client.TargetRequest(
        method="POST",
        path=_PATH,
        headers=[
            ("Content-Type", "application/json"),
            # A hash, because callers choose their chat ids, and two teams may
            # use the same one.
            ("X-Chat-Id", call.chat_name),
            ("X-Priority", "1" if call.caller.batch else "0"),
            ("Host", "engine"),
        ],
        body=call.body,
        request_id=call.request.request_id,
        fingerprint=call.fingerprint,
    )


def _caller_headers(
    call: _Call,
    placement: _placement.Placement,
    answer: _target_answer.TargetAnswer,
) -> list[tuple[str, str]]:
    content_type = answer.header("Content-Type") or "application/json"
    headers = [
        ("Content-Type", content_type),
        (_caller_answer.OUTCOME, _errors.Outcome.RAN.value),
        ("X-Request-Id", call.request.request_id),
        ("Topazlug-Replica", placement.target.replica),
    ]
    cached = answer.header("X-Cached-Tokens")
    if cached:
        headers.append(("Topazlug-Cached-Tokens", cached))
    if call.streamed:
        headers.append(("Cache-Control", "no-cache"))
    return headers


def _parse_count(text: str) -> int | None:
    return int(text) if text.isdigit() else None
