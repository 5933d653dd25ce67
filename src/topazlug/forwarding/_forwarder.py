"""Forwards requests to replicas and returns their answers."""

from collections.abc import Iterator
import contextlib
import functools
from typing import final

from topazlug import _clock
from topazlug import _errors
from topazlug import _logs
from topazlug.callers import _caller_answer
from topazlug.callers import _caller_watch
from topazlug.calls import _attempts
from topazlug.crashes import _crash_guard
from topazlug.forwarding import _call
from topazlug.forwarding import _call_metrics
from topazlug.forwarding import _event_relay
from topazlug.forwarding import _exchange
from topazlug.forwarding import _failures
from topazlug.forwarding import _wire
from topazlug.limits import _retry_share
from topazlug.placement import _mechanisms
from topazlug.placement import _replica_view
from topazlug.routing import _placement
from topazlug.targets import _target_answer

_log = _logs.logger("forwarding")
_OK = 200
_SERVER_ERROR = 500
# An answer up to this size is read completely before the caller receives any
# of it. If it breaks off, the request is retried or fails with a clean error.
_MAX_BUFFERED_BYTES = 1 << 20
# A second replica is tried once the first byte takes longer than this many
# times the latency objective. Before that, the first replica may still answer
# on time.
_EARLY_RETRY_OBJECTIVES = 2.0
# A second replica is not tried before this many times the replica's recent
# latency: if the whole service is slow, retries only add load.
_EARLY_RETRY_LATENCIES = 4.0
# Fields that apply to one connection only (RFC 9110, 7.6.1).
_HOP_BY_HOP_FIELDS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


@final
class Forwarder:
    """Forwards requests to replicas.

    Parameters
    ----------
    attempts : Attempts
        Runs attempts of a request at admitted replicas, with retries.
    admission : Admission
        Releases slots.
    exchange : Exchange
        Sends a request to one replica.
    resumer : StreamResumer
        Resumes broken streams.
    guard : CrashGuard
        Rejects requests that crash replicas.
    views : ReplicaViews
        Load, latency and outcomes of replicas.
    budget : RetryShare
        Retry budget of this daemon.
    call_metrics : CallMetrics
        Counts requests and their durations.
    clock : Clock
        Clock of the daemon.
    disabled : frozenset of Mechanism
        Mechanisms that are switched off.
    """

    def __init__(
        self,
        *,
        attempts: _attempts.Attempts,
        admission: _placement.Admission,
        exchange: _exchange.Exchange,
        resumer: _event_relay.StreamResumer,
        guard: _crash_guard.CrashGuard,
        views: _replica_view.ReplicaViews,
        budget: _retry_share.RetryShare,
        call_metrics: _call_metrics.CallMetrics,
        clock: _clock.Clock,
        disabled: _mechanisms.DisabledMechanisms = _mechanisms.NONE_DISABLED,
    ) -> None:
        self._early_retries = (
            _mechanisms.Mechanism.EARLY_RETRIES not in disabled
        )
        self._attempts = attempts
        self._admission = admission
        self._exchange = exchange
        self._resumer = resumer
        self._guard = guard
        self._views = views
        self._budget = budget
        self._call_metrics = call_metrics
        self._clock = clock

    def serve(self, call: _call.ForwardedCall) -> _caller_answer.CallerAnswer:
        """Answer one request.

        Raises
        ------
        RequestError
            The request failed before any of an answer was sent to the
            caller.
        """
        # Callers repeat a failed request at any daemon, under a new id. One
        # request that crashes every replica it runs on crashed eleven of them
        # in eleven seconds, each with two to twelve other requests.
        self._guard.check(call.fingerprint)
        tried: list[_placement.Placement] = []
        attempt = functools.partial(self._attempt, call, tried)
        with _caller_watch.cancel_on_disconnect(call.socket):
            try:
                return self._attempts.run(
                    call.placement_request(),
                    attempt,
                    repeatable=call.route.repeatable,
                    may_repeat=functools.partial(
                        self._guard.may_repeat, call.fingerprint
                    ),
                    max_replicas=call.route.max_replicas,
                    free_connects=True,
                )
            except _exchange.AnsweredWithFailure as error:
                self._call_metrics.record_answer(call, error.answer.status)
                return _buffered_answer(error.answer, error.body)

    def _attempt(
        self,
        call: _call.ForwardedCall,
        tried: list[_placement.Placement],
        placement: _placement.Placement,
    ) -> _caller_answer.CallerAnswer:
        if not tried:
            self._call_metrics.record_sent(call)
        tried.append(placement)
        with _logs.request_fields(replica=placement.target.replica):
            answer = self._exchange.send(
                call,
                placement,
                head_timeout=self._answer_timeout(call, placement, len(tried)),
                resume_after=call.head.resume_after,
            )
            try:
                if answer.status == _OK and _is_stream(answer):
                    return self._relay_stream(
                        call, placement, answer, len(tried)
                    )
                return self._relay_whole(call, placement, answer)
            except BaseException as error:
                if isinstance(error, _errors.RequestError):
                    _failures.record(placement, error)
                else:
                    placement.is_outcome_unknown = True
                answer.close()
                raise

    def _answer_timeout(
        self,
        call: _call.ForwardedCall,
        placement: _placement.Placement,
        tried: int,
    ) -> float:
        """Return the seconds to wait for one replica's answer.

        This is the time until the deadline, unless another replica may be
        tried. Then a replica that does not respond is given up once it is
        clearly late.
        """
        remaining_seconds = call.deadline - self._clock.monotonic()
        route = call.route
        if not self._early_retries:
            return remaining_seconds
        if not route.repeatable or tried >= route.max_replicas:
            return remaining_seconds
        if not self._budget.can_retry(call.group):
            return remaining_seconds
        recent_latency = self._views.of_incarnation(placement.target).latency
        early_retry_after = max(
            _EARLY_RETRY_OBJECTIVES * route.latency_objective,
            _EARLY_RETRY_LATENCIES * recent_latency,
        )
        return (
            early_retry_after
            if early_retry_after < remaining_seconds / 2
            else remaining_seconds
        )

    def _relay_whole(
        self,
        call: _call.ForwardedCall,
        placement: _placement.Placement,
        answer: _target_answer.TargetAnswer,
    ) -> _caller_answer.CallerAnswer:
        """Read a complete answer, or the first part of a very long one."""
        remaining_seconds = call.deadline - self._clock.monotonic()
        chunks = answer.chunks(
            receive_timeout=remaining_seconds, deadline=call.deadline
        )
        head = bytearray()
        for data in chunks:
            head += data
            if len(head) > _MAX_BUFFERED_BYTES:
                return self._relay_long(
                    call, placement, answer, bytes(head), chunks
                )
        failed = answer.status >= _SERVER_ERROR
        self._views.of_incarnation(placement.target).record_outcome(
            failed=failed
        )
        placement.failed = failed
        if failed and call.route.repeatable:
            raise _exchange.AnsweredWithFailure(answer, bytes(head))
        self._admission.release(placement)
        self._call_metrics.record_first_byte(call)
        self._call_metrics.record_answer(call, answer.status)
        return _buffered_answer(answer, bytes(head))

    def _relay_long(
        self,
        call: _call.ForwardedCall,
        placement: _placement.Placement,
        answer: _target_answer.TargetAnswer,
        head: bytes,
        chunks: Iterator[bytes],
    ) -> _caller_answer.CallerAnswer:
        has_caller_left = False

        def on_disconnect() -> None:
            nonlocal has_caller_left
            has_caller_left = True
            answer.abort()

        watch = _caller_watch.CallerWatch(
            call.socket, on_disconnect=on_disconnect
        )

        def pieces() -> Iterator[bytes]:
            with contextlib.ExitStack() as stack:
                stack.callback(self._admission.release, placement)
                stack.callback(answer.close)
                stack.callback(watch.stop)
                yield b""
                yield head
                try:
                    yield from chunks
                except BaseException as error:
                    if not has_caller_left and isinstance(
                        error, _errors.RequestError
                    ):
                        _failures.record(placement, error)
                    else:
                        placement.is_outcome_unknown = True
                    raise

        return _caller_answer.CallerAnswer(
            status=answer.status,
            headers=forwarded_fields(answer, keep_length=True),
            body=_caller_answer.prime(pieces()),
        )

    def _relay_stream(
        self,
        call: _call.ForwardedCall,
        placement: _placement.Placement,
        answer: _target_answer.TargetAnswer,
        tried: int,
    ) -> _caller_answer.CallerAnswer:
        """Wait for the first events, then relay the rest as they arrive.

        Until the first events arrive, the caller has received nothing, so a
        failure can still be retried at another replica.
        """
        relay = _event_relay.EventRelay(
            call=call,
            placement=placement,
            answer=answer,
            tried=tried,
            resumer=self._resumer,
            call_metrics=self._call_metrics,
            clock=self._clock,
        )
        first_events = relay.read_first_events(
            receive_timeout=self._answer_timeout(call, placement, tried)
        )
        self._call_metrics.record_first_byte(call)
        return _caller_answer.CallerAnswer(
            status=answer.status,
            headers=forwarded_fields(answer, keep_length=False),
            body=_caller_answer.prime(relay.body_pieces(first_events)),
        )


def forwarded_fields(
    answer: _target_answer.TargetAnswer, *, keep_length: bool
) -> list[_wire.Field]:
    """Return the fields of a replica's answer that the caller receives."""
    removed = set(_HOP_BY_HOP_FIELDS)
    for value in answer.header_values("Connection"):
        removed.update(name.strip().lower() for name in value.split(","))
    if not keep_length:
        removed.add("content-length")
    return [
        (name, value)
        for name, value in answer.headers
        if name.lower() not in removed
    ]


def _is_stream(answer: _target_answer.TargetAnswer) -> bool:
    media_type = answer.header("Content-Type")
    return media_type.partition(";")[0].strip().lower() == "text/event-stream"


def _buffered_answer(
    answer: _target_answer.TargetAnswer, body: bytes
) -> _caller_answer.CallerAnswer:
    headers = forwarded_fields(answer, keep_length=False)
    headers.append(("Content-Length", str(len(body))))
    return _caller_answer.CallerAnswer(
        status=answer.status, headers=headers, body=iter([body])
    )
