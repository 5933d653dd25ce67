"""Relays a stream of events and resumes it at another replica.

The caller receives complete events only. If the replica's answer breaks off,
a resumable stream continues at another replica after the last event that was
relayed, so that no event is missing, duplicated or truncated.
"""

from collections.abc import Callable
from collections.abc import Iterator
from typing import final

from topazlug import _clock
from topazlug import _errors
from topazlug import _ids
from topazlug import _logs
from topazlug.callers import _caller_watch
from topazlug.calls import _sse
from topazlug.crashes import _crash_guard
from topazlug.forwarding import _call
from topazlug.forwarding import _call_metrics
from topazlug.forwarding import _exchange
from topazlug.forwarding import _failures
from topazlug.limits import _retry_share
from topazlug.placement import _mechanisms
from topazlug.placement import _replica_view
from topazlug.routing import _placement
from topazlug.targets import _target_answer
from topazlug.targets import _target_client
from topazlug.versions import _stream_versions

_log = _logs.logger("forwarding")
# Timeout for the next data of a resumable stream, in multiples of its route's
# maximum pause. After it the stream is resumed at another replica. Callers
# give up after eight pauses, or after two seconds.
_SILENCE_TIMEOUT_PAUSES = 5.0
# Minimum of that timeout: a healthy replica may be silent for a second, and
# would go on with the run while another replica repeats it.
_MIN_SILENCE_TIMEOUT_SECONDS = 1.5
# Replicas that a broken stream is sent to until one accepts it. Each that is
# unreachable without refusing the connection takes 0.25 s, and callers abandon
# a stream after a gap of two seconds.
_MAX_RESUME_REPLICAS = 4
_SERVER_ERROR = 500

CountUsable = Callable[[_ids.GroupName, _ids.SoftwareVersion], int]


@final
class StreamResumer:
    """Resumes broken streams at other replicas.

    Parameters
    ----------
    admission : Admission
        Admits requests and releases their slots.
    exchange : Exchange
        Sends a request to one replica.
    budget : RetryShare
        Retry budget of this daemon.
    views : ReplicaViews
        Receives the outcomes of requests.
    guard : CrashGuard
        Rejects requests that crash replicas.
    count_usable : callable
        Returns the number of usable replicas of a group and a version.
    clock : Clock
        Clock of the daemon.
    disabled : frozenset of Mechanism
        Mechanisms that are switched off.

    Attributes
    ----------
    is_disabled : bool
        Whether broken streams are not resumed.
    """

    def __init__(
        self,
        *,
        admission: _placement.Admission,
        exchange: _exchange.Exchange,
        budget: _retry_share.RetryShare,
        views: _replica_view.ReplicaViews,
        guard: _crash_guard.CrashGuard,
        count_usable: CountUsable,
        clock: _clock.Clock,
        disabled: _mechanisms.DisabledMechanisms = _mechanisms.NONE_DISABLED,
    ) -> None:
        self._guard = guard
        self._count_usable = count_usable
        self.is_disabled = _mechanisms.Mechanism.RESUMPTION in disabled
        self._admission = admission
        self._exchange = exchange
        self._budget = budget
        self._views = views
        self._clock = clock

    def release(
        self, placement: _placement.Placement, *, failed: bool
    ) -> None:
        """Release the slot of a stream and record its outcome."""
        view = self._views.of_incarnation(placement.target)
        view.record_outcome(failed=failed)
        self._admission.release(placement)

    def resume(
        self,
        call: _call.ForwardedCall,
        broken: _placement.Placement,
        last_id: int | None,
        *,
        is_silent: bool = False,
    ) -> tuple[_placement.Placement, _target_answer.TargetAnswer] | None:
        """Send a request to another replica, to continue after an event.

        Parameters
        ----------
        call : ForwardedCall
            The request.
        broken : Placement
            Placement at which its stream broke.
        last_id : int or None
            Number of the last event that was relayed.
        is_silent : bool
            Whether the replica fell silent, and may still run the request.

        Returns
        -------
        tuple or None
            The new placement and answer; None if the stream could not be
            resumed.
        """
        if not self._guard.may_repeat(call.fingerprint, broken.target):
            _log.info("stream not resumed: the request crashes replicas")
            return None
        if not self._budget.spend(call.group):
            _log.info("stream not resumed: retry budget exhausted")
            return None
        excluded = frozenset({broken.target.replica})
        if not is_silent and self._is_last(call, broken):
            excluded = frozenset()
        sent = self._send(call, last_id, excluded=excluded)
        if sent is None:
            return None
        placement, answer = sent
        if answer.status != 200:
            placement.failed = answer.status >= _SERVER_ERROR
            answer.close()
            self._admission.release(placement)
            _log.info(
                "stream not resumed: replica answered {status}",
                status=answer.status,
            )
            return None
        _log.info(
            "stream resumed at {replica} after event {last}",
            replica=placement.target.replica,
            version=placement.target.version,
            version_before=broken.target.version,
            last=last_id,
        )
        return placement, answer

    def _is_last(
        self, call: _call.ForwardedCall, broken: _placement.Placement
    ) -> bool:
        """Return whether no other replica may continue a stream.

        The replica at which it broke may have broken only this stream.
        """
        version = broken.target.version
        return self._count_usable(call.group, version) <= 1

    def _send(
        self,
        call: _call.ForwardedCall,
        last_id: int | None,
        *,
        excluded: frozenset[_ids.ReplicaId],
    ) -> tuple[_placement.Placement, _target_answer.TargetAnswer] | None:
        """Send the request to the first replica that accepts it.

        Several replicas are often lost together, with their zone. If only
        one other replica were tried, the stream would end although the rest
        of the group could continue it.
        """
        for _ in range(_MAX_RESUME_REPLICAS):
            placement = None
            try:
                placement = self._admission.admit(
                    call.placement_request(excluded=excluded, is_resumed=True)
                )
                answer = self._exchange.send(
                    call,
                    placement,
                    head_timeout=call.deadline - self._clock.monotonic(),
                    resume_after=last_id,
                )
                return placement, answer
            except (
                _errors.RequestError,
                _target_client.ConnectFailed,
            ) as error:
                if placement is not None:
                    self._admission.release(placement)
                _log.info("stream not resumed: {why}", why=str(error))
                if placement is None or not self._may_try_next(call, error):
                    return None
                excluded |= {placement.target.replica}
        return None

    def _may_try_next(
        self, call: _call.ForwardedCall, error: _errors.TopazlugError
    ) -> bool:
        """Return whether another replica may be tried after a failure.

        Only if the request did not run. A request that was rejected reached
        the replica, so the next one counts as another retry.
        """
        if self._clock.monotonic() >= call.deadline:
            return False
        if isinstance(error, _target_client.ConnectFailed):
            return True
        return isinstance(error, _errors.TargetRefused) and self._budget.spend(
            call.group
        )


@final
class EventRelay:
    """Relays one stream to its caller.

    Parameters
    ----------
    call : ForwardedCall
        The request.
    placement : Placement
        Replica and slot of the request.
    answer : TargetAnswer
        The answer whose head has arrived.
    tried : int
        Number of replicas that the request was sent to.
    resumer : StreamResumer
        Resumes the stream if it breaks.
    call_metrics : CallMetrics
        Counts requests and their durations.
    versions : StreamVersions
        Remembers at which software versions streams began.
    clock : Clock
        Clock of the daemon.
    """

    def __init__(
        self,
        *,
        call: _call.ForwardedCall,
        placement: _placement.Placement,
        answer: _target_answer.TargetAnswer,
        tried: int,
        resumer: StreamResumer,
        call_metrics: _call_metrics.CallMetrics,
        versions: _stream_versions.StreamVersions,
        clock: _clock.Clock,
    ) -> None:
        self._versions = versions
        self._call = call
        self._placement = placement
        self._answer = answer
        self._tried = tried
        self._resumer = resumer
        self._call_metrics = call_metrics
        self._clock = clock
        self._reader = _sse.EventReader(last_id=call.head.resume_after)
        self._has_caller_left = False

    def read_first_events(self, *, receive_timeout: float) -> bytes:
        """Return the first complete events.

        Parameters
        ----------
        receive_timeout : float
            Seconds to wait for data before another replica is tried.

        Raises
        ------
        RequestError
            The stream broke before its first event.
        """
        chunks = self._answer.chunks(
            receive_timeout=receive_timeout, deadline=self._call.deadline
        )
        for data in chunks:
            events = self._complete_events(data)
            if events:
                self._begin()
                return events
        return b""

    def _begin(self) -> None:
        """Fix the version of the stream; only its replicas may continue it.

        Without an event, the caller has received nothing, and the request may
        still be sent to any replica.
        """
        target = self._placement.target
        if self._call.version is None:
            self._call.version = target.version
        if self._call.route.resumable:
            self._versions.begin(self._call.stream_attempt, target)

    def body_pieces(self, first_events: bytes) -> Iterator[bytes]:
        """Yield the body sent to the caller; an exception cuts it off.

        The first piece is empty, as `_caller_answer.prime` requires.
        """
        watch = _caller_watch.CallerWatch(
            self._call.socket, on_disconnect=self._on_disconnect
        )
        failed = True
        try:
            yield b""
            yield first_events
            yield from self._relay_until_end()
            failed = False
            self._versions.complete(self._call.stream_attempt)
            self._call_metrics.record_answer(self._call, self._answer.status)
        finally:
            watch.stop()
            self._answer.close()
            if failed and not self._placement.failed:
                self._placement.is_outcome_unknown = True
            self._resumer.release(
                self._placement, failed=failed and not self._has_caller_left
            )

    def _on_disconnect(self) -> None:
        self._has_caller_left = True
        self._answer.abort()

    def _relay_until_end(self) -> Iterator[bytes]:
        while True:
            try:
                yield from self._relay_from_replica()
                return
            except _errors.RequestError as error:
                self._answer.close()
                if not self._has_caller_left:
                    _failures.record(self._placement, error)
                if self._has_caller_left or not self._resume(error):
                    self._record_broken_stream(error)
                    raise

    def _record_broken_stream(self, error: _errors.RequestError) -> None:
        self._call_metrics.record_broken_stream(self._call, error)
        _log.warning(
            "a stream ends early after event {last}: {why}",
            request_id=self._call.head.attempt,
            replica=self._placement.target.replica,
            version=self._placement.target.version,
            last=self._reader.last_id,
            tried=self._tried,
            caller_left=self._has_caller_left,
            why=error.message,
        )

    def _relay_from_replica(self) -> Iterator[bytes]:
        last_event_at = self._clock.monotonic()
        chunks = self._answer.chunks(
            receive_timeout=self._receive_timeout(),
            deadline=self._call.deadline,
        )
        for data in chunks:
            events = self._complete_events(data)
            if events:
                now = self._clock.monotonic()
                self._call_metrics.record_pause(
                    self._call, now - last_event_at
                )
                last_event_at = now
                yield events
        if not self._reader.is_between_events:
            raise _truncated("it ended within an event")

    def _complete_events(self, data: bytes) -> bytes:
        try:
            return self._reader.feed(data)
        except ValueError as error:
            raise _truncated(str(error)) from error

    def _receive_timeout(self) -> float:
        remaining_seconds = max(
            0.0, self._call.deadline - self._clock.monotonic()
        )
        if not self._may_resume():
            return remaining_seconds
        return min(
            remaining_seconds,
            max(
                _MIN_SILENCE_TIMEOUT_SECONDS,
                _SILENCE_TIMEOUT_PAUSES * self._call.route.max_pause,
            ),
        )

    def _may_resume(self) -> bool:
        route = self._call.route
        if self._resumer.is_disabled:
            return False
        return route.resumable and self._tried < self._call.max_replicas

    def _resume(self, error: _errors.RequestError) -> bool:
        if not self._may_resume():
            return False
        if isinstance(error, _errors.DeadlineExceeded):
            return False
        if not self._versions.is_certain(self._call.stream_attempt):
            _log.info(
                "stream not resumed: its replica was replaced by another "
                "version at about the time when it began",
                request_id=self._call.head.attempt,
            )
            return False
        self._reader.discard_partial()
        # The body is read after the request's own log context has ended.
        with _logs.request_fields(request_id=self._call.head.attempt):
            resumed = self._resumer.resume(
                self._call,
                self._placement,
                self._reader.last_id,
                is_silent=isinstance(error, _errors.TargetSilent),
            )
        if resumed is None:
            return False
        self._resumer.release(self._placement, failed=True)
        self._tried += 1
        self._placement, self._answer = resumed
        return True


def _truncated(why: str) -> _errors.TargetTruncated:
    return _errors.TargetTruncated(
        f"the replica's stream broke: {why}",
        outcome=_errors.Outcome.UNKNOWN,
    )
