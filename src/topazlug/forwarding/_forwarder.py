"""Forwards requests to replicas and returns their answers."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import functools
from typing import final

from topazlug import _clock
from topazlug import _errors
from topazlug import _ids
from topazlug import _logs
from topazlug._generated import messages
from topazlug.callers import _caller_answer
from topazlug.callers import _caller_watch
from topazlug.callers import _memory_budget
from topazlug.calls import _attempts
from topazlug.crashes import _crash_guard
from topazlug.delegation import _delegation_wire
from topazlug.delegation import _delegator
from topazlug.forwarding import _answer_fields
from topazlug.forwarding import _call
from topazlug.forwarding import _call_metrics
from topazlug.forwarding import _event_relay
from topazlug.forwarding import _exchange
from topazlug.forwarding import _failures
from topazlug.forwarding import _stop_admission
from topazlug.forwarding import _stream_resumer
from topazlug.limits import _retry_share
from topazlug.placement import _mechanisms
from topazlug.placement import _replica_view
from topazlug.routing import _placement
from topazlug.targets import _path_check
from topazlug.targets import _target_answer
from topazlug.targets import _target_client
from topazlug.versions import _stream_versions

_log = _logs.logger("forwarding")
_OK = 200
_SERVER_ERROR = 500
# An answer up to this size is read completely before the caller receives any
# of it. If it breaks off, the request is retried or fails with a clean error.
_MAX_BUFFERED_BYTES = 1 << 20
# Maximum size and duration of the body of a failure after which the request
# is sent to another replica. A part of the time is left for that one.
_MAX_FAILURE_BYTES = 65536
_MAX_FAILURE_SECONDS = 1.0
_MAX_FAILURE_PART = 0.5
# A daemon that is cut off notices the end of its cut within about this time.
_CUT_RETRY_AFTER_SECONDS = 0.5
# A second replica is tried once the first byte takes longer than this many
# times the latency objective. Before that, the first replica may still answer
# on time.
_EARLY_RETRY_OBJECTIVES = 2.0
# A second replica is not tried before this many times the replica's recent
# latency: if the whole service is slow, retries only add load.
_EARLY_RETRY_LATENCIES = 4.0


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
    path_check : PathCheck
        Finds out whether this daemon is cut off from a group.
    delegator : Delegator or None
        Has other daemons serve requests meanwhile; None if none may.
    views : ReplicaViews
        Load, latency and outcomes of replicas.
    versions : StreamVersions
        Finds out at which software versions streams began.
    budget : RetryShare
        Retry budget of this daemon.
    call_metrics : CallMetrics
        Counts requests and their durations.
    stop_admission : StopAdmission
        Refuses requests that can't end before the daemon does.
    clock : Clock
        Clock of the daemon.
    is_brittle : callable
        Returns whether a group's replicas are brittle. Early retries would
        then leave runs behind that occupy slots which count as free.
    count_usable : callable
        Returns the number of usable replicas of a group and a version.
    disabled : frozenset of Mechanism
        Mechanisms that are switched off.
    """

    def __init__(
        self,
        *,
        attempts: _attempts.Attempts,
        admission: _placement.Admission,
        exchange: _exchange.Exchange,
        resumer: _stream_resumer.StreamResumer,
        guard: _crash_guard.CrashGuard,
        path_check: _path_check.PathCheck,
        delegator: _delegator.Delegator | None,
        views: _replica_view.ReplicaViews,
        versions: _stream_versions.StreamVersions,
        budget: _retry_share.RetryShare,
        call_metrics: _call_metrics.CallMetrics,
        stop_admission: _stop_admission.StopAdmission,
        is_brittle: Callable[[_ids.GroupName], bool],
        count_usable: _stream_resumer.CountUsable,
        clock: _clock.Clock,
        disabled: _mechanisms.DisabledMechanisms = _mechanisms.NONE_DISABLED,
    ) -> None:
        self._early_retries = (
            _mechanisms.Mechanism.EARLY_RETRIES not in disabled
        )
        self._attempts = attempts
        self._is_brittle = is_brittle
        self._count_usable = count_usable
        self._admission = admission
        self._exchange = exchange
        self._resumer = resumer
        self._guard = guard
        self._path_check = path_check
        self._delegator = delegator
        self._views = views
        self._versions = versions
        self._budget = budget
        self._call_metrics = call_metrics
        self._stop_admission = stop_admission
        self._clock = clock

    def serve(self, call: _call.ForwardedCall) -> _caller_answer.CallerAnswer:
        """Answer one request.

        Raises
        ------
        RequestError
            The request failed before any of an answer was sent to the
            caller.
        """
        self._stop_admission.check(call.open_request)
        # Callers repeat a failed request at any daemon, under a new id. One
        # request that crashes every replica it runs on crashed eleven of them
        # in eleven seconds, each with two to twelve other requests.
        self._check_crashes(call)
        progress = _call.Progress(
            is_counted=call.delegation is not None and call.delegation.counted
        )
        with _caller_watch.cancel_on_disconnect(call.socket):
            if call.takes_stream_up:
                self._find_version(call)
            if self._path_check.is_cut_off(call.group):
                error = _errors.NoReplicaPath(
                    f"this daemon reaches no replica of {call.group}"
                )
                return self._serve_elsewhere(call, progress, error)
            try:
                answer = self._serve_here(call, progress)
            except _errors.NoReplicaPath as error:
                progress.outcome = error.outcome
                return self._serve_elsewhere(call, progress, error)
            except _exchange.AnsweredWithFailure as error:
                self._call_metrics.record_answer(call, error.answer.status)
                answer = _buffered_answer(error.answer, error.body)
        if call.delegation is not None:
            answer.headers.append((_delegation_wire.REPLICA, progress.replica))
        return answer

    def _check_crashes(self, call: _call.ForwardedCall) -> None:
        """Raise if the request must not run, as it crashes replicas."""
        self._guard.check(
            call.fingerprint, call.part_fingerprints, attempt=call.attempt
        )

    def _find_version(self, call: _call.ForwardedCall) -> None:
        """Find out which version began the stream that the caller takes up.

        Raises
        ------
        StreamNotResumable
            It is not known.
        """
        delegation = call.delegation
        if delegation is not None and delegation.is_pinned:
            call.version = _ids.SoftwareVersion(delegation.version)
            return
        origin = self._versions.find(call.stream_attempt, call.group)
        call.version = origin.version
        if call.route.allows(origin.group):
            call.group = origin.group

    def _serve_here(
        self, call: _call.ForwardedCall, progress: _call.Progress
    ) -> _caller_answer.CallerAnswer:
        is_counted, progress.is_counted = progress.is_counted, True
        return self._attempts.run(
            call.placement_request(is_resumed=call.takes_stream_up),
            functools.partial(self._attempt, call, progress),
            repeatable=call.route.repeatable,
            may_repeat=functools.partial(
                self._guard.may_repeat,
                call.fingerprint,
                parts=call.part_fingerprints,
            ),
            max_replicas=call.max_replicas,
            free_connects=True,
            is_counted=is_counted,
        )

    def _serve_elsewhere(
        self,
        call: _call.ForwardedCall,
        progress: _call.Progress,
        error: _errors.NoReplicaPath,
    ) -> _caller_answer.CallerAnswer:
        """Have another daemon serve a request, as this one can't.

        A request that another daemon has sent here is declined instead, so
        that requests never go round in circles.
        """
        is_certain = progress.outcome is _errors.Outcome.NOT_RUN
        if call.delegation is not None and is_certain:
            raise _delegation_wire.DelegationDeclined(
                messages.DeclineReason.cut_off
            )
        self._stop_admission.check(call.open_request)
        may_send = progress.sent < call.max_replicas and (
            is_certain or call.route.repeatable
        )
        if self._delegator is None or call.delegation or not may_send:
            error.retry_after = _CUT_RETRY_AFTER_SECONDS
            raise error
        with call.open_request.being_sent():
            return self._delegator.serve(call, progress)

    def _attempt(
        self,
        call: _call.ForwardedCall,
        progress: _call.Progress,
        placement: _placement.Placement,
    ) -> _caller_answer.CallerAnswer:
        # It may have waited for a slot while the cause of crashes was found.
        self._check_crashes(call)
        self._check_stop(call, placement)
        if not progress.placed:
            self._call_metrics.record_sent(call)
        progress.replica = placement.target.replica
        progress.placed += 1
        progress.sent += 1
        with (
            _logs.request_fields(replica=placement.target.replica),
            call.open_request.being_sent(),
        ):
            try:
                answer = self._exchange.send(
                    call,
                    placement,
                    head_timeout=self._answer_timeout(
                        call, placement, progress.placed
                    ),
                    resume_after=call.head.resume_after,
                )
            except (_target_client.ConnectFailed, _errors.NoReplicaPath):
                progress.sent -= 1
                raise
            try:
                if answer.status == _OK and _is_stream(answer):
                    return self._relay_stream(
                        call, placement, answer, progress.placed
                    )
                return self._relay_whole(call, placement, answer)
            except BaseException as error:
                if isinstance(error, _errors.RequestError):
                    _failures.record(placement, error)
                else:
                    placement.is_outcome_unknown = True
                answer.close()
                raise

    def _check_stop(
        self, call: _call.ForwardedCall, placement: _placement.Placement
    ) -> None:
        """Check that the answer can end, as it may have waited for a slot."""
        try:
            self._stop_admission.check(call.open_request)
        except _errors.DaemonStopping:
            # Nothing was sent.
            placement.is_outcome_unknown = True
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
        if not self._early_retries or self._is_brittle(call.group):
            return remaining_seconds
        if not route.repeatable or tried >= call.max_replicas:
            return remaining_seconds
        if call.version is not None and tried >= self._count_usable(
            call.group, call.version
        ):
            # No other replica may continue the stream.
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
        failed = answer.status >= _SERVER_ERROR
        if failed and call.route.repeatable:
            body = self._read_failure(call, answer)
            self._record_outcome(placement, failed=True)
            raise _exchange.AnsweredWithFailure(answer, body)
        remaining_seconds = call.deadline - self._clock.monotonic()
        chunks = answer.chunks(
            receive_timeout=remaining_seconds, deadline=call.deadline
        )
        head = bytearray()
        for data in chunks:
            head += data
            has_room = _memory_budget.may_buffer(call.holding, len(data))
            if len(head) > _MAX_BUFFERED_BYTES or not has_room:
                return self._relay_long(
                    call, placement, answer, bytes(head), chunks
                )
        self._record_outcome(placement, failed=failed)
        self._admission.release(placement)
        self._call_metrics.record_first_byte(call)
        self._call_metrics.record_answer(call, answer.status)
        return _buffered_answer(answer, bytes(head))

    def _record_outcome(
        self, placement: _placement.Placement, *, failed: bool
    ) -> None:
        view = self._views.of_incarnation(placement.target)
        view.record_outcome(failed=failed)
        placement.failed = failed

    def _read_failure(
        self, call: _call.ForwardedCall, answer: _target_answer.TargetAnswer
    ) -> bytes:
        """Read the body of a failure, of which another replica is asked next.

        Raises
        ------
        RequestError
            It is too long, or does not end soon.
        """
        began_at = self._clock.monotonic()
        max_seconds = min(
            _MAX_FAILURE_SECONDS,
            _MAX_FAILURE_PART * max(0.0, call.deadline - began_at),
        )
        body = bytearray()
        for data in answer.chunks(
            receive_timeout=max_seconds, deadline=call.deadline
        ):
            body += data
            seconds = self._clock.monotonic() - began_at
            if len(body) > _MAX_FAILURE_BYTES or seconds > max_seconds:
                raise _errors.TargetFailed(
                    f"the replica answered {answer.status} with a body that "
                    f"had no end after {len(body)} bytes and {seconds:.1f} s",
                    outcome=_errors.Outcome.RAN,
                )
        return bytes(body)

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
            headers=_answer_fields.forwarded_fields(answer, keep_length=True),
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
            versions=self._versions,
            clock=self._clock,
        )
        first_events = relay.read_first_events(
            receive_timeout=self._answer_timeout(call, placement, tried)
        )
        self._call_metrics.record_first_byte(call)
        return _caller_answer.CallerAnswer(
            status=answer.status,
            headers=_answer_fields.forwarded_fields(answer, keep_length=False),
            body=_caller_answer.prime(relay.body_pieces(first_events)),
        )


def _is_stream(answer: _target_answer.TargetAnswer) -> bool:
    media_type = answer.header("Content-Type")
    return media_type.partition(";")[0].strip().lower() == "text/event-stream"


def _buffered_answer(
    answer: _target_answer.TargetAnswer, body: bytes
) -> _caller_answer.CallerAnswer:
    headers = _answer_fields.forwarded_fields(answer, keep_length=False)
    headers.append(("Content-Length", str(len(body))))
    return _caller_answer.CallerAnswer(
        status=answer.status, headers=headers, body=iter([body])
    )
