"""Serves forwarded requests: route, key, attempts, answer."""

from collections.abc import Iterator
import contextlib
import functools
from typing import final

from topazlug import _clock
from topazlug import _logs
from topazlug.callers import _caller_answer
from topazlug.callers import _caller_watch
from topazlug.calls import _attempts
from topazlug.crashes import _crash_guard
from topazlug.forwarding import _call
from topazlug.forwarding import _event_relay
from topazlug.forwarding import _exchange
from topazlug.forwarding import _measures
from topazlug.forwarding import _wire
from topazlug.limits import _retry_share
from topazlug.placement import _mechanisms
from topazlug.placement import _replica_view
from topazlug.routing import _placement
from topazlug.targets import _target_answer

_log = _logs.logger("forwarding")
_OK = 200
_SERVER_ERROR = 500
# An answer up to this size is read whole before the caller gets any of it:
# one that breaks off is then a clean failure, or is asked for again.
_MAX_BUFFERED_BYTES = 1 << 20
# A second replica is tried once the first byte is this many times the
# objective late; before, it may well come on time by itself.
_SECOND_TRY_OBJECTIVES = 2.0
# Not before so many usual times of an answer: a service that is slow as a
# whole would only get more work.
_SECOND_TRY_LATENCIES = 4.0
# Fields of one connection, RFC 9110 7.6.1, and what concerns only us.
_HOP_FIELDS = frozenset(
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
    """Forwards requests and their answers.

    Parameters
    ----------
    attempts : Attempts
        Finds replicas and retries.
    admission : Admission
        Takes places back.
    exchange : Exchange
        Makes one attempt.
    resumer : StreamResumer
        Continues broken streams.
    guard : CrashGuard
        Refuses requests that crash replicas.
    views : ReplicaViews
        How replicas answer.
    budget : RetryShare
        Retries of this daemon.
    measures : Measures
        What is counted.
    clock : Clock
        Time.
    disabled : frozenset of Mechanism
        What is switched off.
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
        measures: _measures.Measures,
        clock: _clock.Clock,
        disabled: _mechanisms.DisabledMechanisms = _mechanisms.NONE_DISABLED,
    ) -> None:
        self._second_tries = (
            _mechanisms.Mechanism.EARLY_RETRIES not in disabled
        )
        self._attempts = attempts
        self._admission = admission
        self._exchange = exchange
        self._resumer = resumer
        self._guard = guard
        self._views = views
        self._budget = budget
        self._measures = measures
        self._clock = clock

    def serve(self, call: _call.ForwardedCall) -> _caller_answer.CallerAnswer:
        """Answer one request.

        Raises
        ------
        RequestError
            Nothing of an answer has gone to the caller.
        """
        # Its caller repeats it at any daemon, under a new id. One request that
        # ends each replica which runs it ended eleven of them in eleven
        # seconds, with two to twelve others at each.
        self._guard.check(call.fingerprint)
        tried: list[_placement.Placement] = []
        attempt = functools.partial(self._attempt, call, tried)
        with _caller_watch.watched(call.socket):
            try:
                return self._attempts.run(
                    call.place_request(),
                    attempt,
                    repeatable=call.route.repeatable,
                    may_repeat=functools.partial(
                        self._guard.may_repeat, call.fingerprint
                    ),
                    max_replicas=call.route.max_replicas,
                    free_connects=True,
                )
            except _exchange.AnsweredWithFailure as error:
                self._measures.answered(call, error.answer.status)
                return _whole_answer(error.answer, error.body)

    def _attempt(
        self,
        call: _call.ForwardedCall,
        tried: list[_placement.Placement],
        place: _placement.Placement,
    ) -> _caller_answer.CallerAnswer:
        if not tried:
            self._measures.sent(call)
        tried.append(place)
        with _logs.request_fields(replica=place.target.replica):
            answer = self._exchange.send(
                call,
                place,
                head_timeout=self._patience(call, place, len(tried)),
                resume_after=call.head.resume_after,
            )
            try:
                if answer.status == _OK and _is_stream(answer):
                    return self._stream(call, place, answer, len(tried))
                return self._whole(call, place, answer)
            except BaseException:
                answer.close()
                raise

    def _patience(
        self,
        call: _call.ForwardedCall,
        place: _placement.Placement,
        tried: int,
    ) -> float:
        """Give how long one replica's answer is awaited.

        All the time there is, unless another replica may be tried: then a
        replica that says nothing is left once it is clearly late.
        """
        left = call.deadline - self._clock.monotonic()
        route = call.route
        if not self._second_tries:
            return left
        if not route.repeatable or tried >= route.max_replicas:
            return left
        if not self._budget.can_retry(call.group):
            return left
        usual = self._views.of_incarnation(place.target).latency
        late = max(
            _SECOND_TRY_OBJECTIVES * route.objective,
            _SECOND_TRY_LATENCIES * usual,
        )
        return late if late < left / 2 else left

    def _whole(
        self,
        call: _call.ForwardedCall,
        place: _placement.Placement,
        answer: _target_answer.TargetAnswer,
    ) -> _caller_answer.CallerAnswer:
        """Read an answer whole, or its first part if it is very long."""
        left = call.deadline - self._clock.monotonic()
        chunks = answer.chunks(receive_timeout=left, deadline=call.deadline)
        head = bytearray()
        for data in chunks:
            head += data
            if len(head) > _MAX_BUFFERED_BYTES:
                return self._long(call, place, answer, bytes(head), chunks)
        failed = answer.status >= _SERVER_ERROR
        self._views.of_incarnation(place.target).record_outcome(failed=failed)
        if failed and call.route.repeatable:
            raise _exchange.AnsweredWithFailure(answer, bytes(head))
        self._admission.release(place)
        self._measures.first_byte(call)
        self._measures.answered(call, answer.status)
        return _whole_answer(answer, bytes(head))

    def _long(
        self,
        call: _call.ForwardedCall,
        place: _placement.Placement,
        answer: _target_answer.TargetAnswer,
        head: bytes,
        chunks: Iterator[bytes],
    ) -> _caller_answer.CallerAnswer:
        watch = _caller_watch.CallerWatch(call.socket, left=answer.abort)

        def pieces() -> Iterator[bytes]:
            with contextlib.ExitStack() as stack:
                stack.callback(self._admission.release, place)
                stack.callback(answer.close)
                stack.callback(watch.stop)
                yield b""
                yield head
                yield from chunks

        return _caller_answer.CallerAnswer(
            status=answer.status,
            headers=caller_fields(answer, keep_length=True),
            body=_caller_answer.started(pieces()),
        )

    def _stream(
        self,
        call: _call.ForwardedCall,
        place: _placement.Placement,
        answer: _target_answer.TargetAnswer,
        tried: int,
    ) -> _caller_answer.CallerAnswer:
        """Await the first events, then hand the rest over as they come.

        They are awaited here, where another replica can still be tried
        without the caller seeing anything of the first.
        """
        relay = _event_relay.EventRelay(
            call=call,
            place=place,
            answer=answer,
            tried=tried,
            resumer=self._resumer,
            measures=self._measures,
            clock=self._clock,
        )
        first = relay.read_first(patience=self._patience(call, place, tried))
        self._measures.first_byte(call)
        return _caller_answer.CallerAnswer(
            status=answer.status,
            headers=caller_fields(answer, keep_length=False),
            body=_caller_answer.started(relay.pieces(first)),
        )


def caller_fields(
    answer: _target_answer.TargetAnswer, *, keep_length: bool
) -> list[_wire.Field]:
    """Give the fields of a replica's answer that go on to the caller."""
    dropped = set(_HOP_FIELDS)
    for value in answer.header_values("Connection"):
        dropped.update(name.strip().lower() for name in value.split(","))
    if not keep_length:
        dropped.add("content-length")
    return [
        (name, value)
        for name, value in answer.headers
        if name.lower() not in dropped
    ]


def _is_stream(answer: _target_answer.TargetAnswer) -> bool:
    kind = answer.header("Content-Type")
    return kind.partition(";")[0].strip().lower() == "text/event-stream"


def _whole_answer(
    answer: _target_answer.TargetAnswer, body: bytes
) -> _caller_answer.CallerAnswer:
    headers = caller_fields(answer, keep_length=False)
    headers.append(("Content-Length", str(len(body))))
    return _caller_answer.CallerAnswer(
        status=answer.status, headers=headers, body=iter([body])
    )
