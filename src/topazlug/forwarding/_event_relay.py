"""Relays a stream of events and resumes it at another replica.

The caller receives complete events only. If the replica's answer breaks off,
a resumable stream continues at another replica after the last event that was
relayed, so that no event is missing, duplicated or truncated.
"""

from collections.abc import Iterator
from typing import final

from topazlug import _clock
from topazlug import _errors
from topazlug import _logs
from topazlug.callers import _caller_watch
from topazlug.calls import _sse
from topazlug.forwarding import _call
from topazlug.forwarding import _call_metrics
from topazlug.forwarding import _failures
from topazlug.forwarding import _stream_resumer
from topazlug.routing import _placement
from topazlug.targets import _target_answer
from topazlug.versions import _stream_versions

_log = _logs.logger("forwarding")
# Timeout for the next data of a resumable stream, in multiples of its route's
# maximum pause. After it the stream is resumed at another replica. Callers
# give up after eight pauses, or after two seconds.
_SILENCE_TIMEOUT_PAUSES = 5.0
# Minimum of that timeout: a healthy replica may be silent for a second, and
# would go on with the run while another replica repeats it.
_MIN_SILENCE_TIMEOUT_SECONDS = 1.5


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
        resumer: _stream_resumer.StreamResumer,
        call_metrics: _call_metrics.CallMetrics,
        versions: _stream_versions.StreamVersions,
        clock: _clock.Clock,
    ) -> None:
        self._versions = versions
        self._call = call
        self._placement = placement
        self._tried = tried
        self._resumer = resumer
        self._call_metrics = call_metrics
        self._clock = clock
        self._reader = _sse.EventReader(last_id=call.head.resume_after)
        self._has_caller_left = False
        self._set_answer(answer)

    def _set_answer(self, answer: _target_answer.TargetAnswer) -> None:
        self._answer = answer
        answer.is_between_events = self._may_be_complete

    def _may_be_complete(self) -> bool:
        """Return whether the stream may end here without being truncated.

        If only its connection ends it, it has one event at least.
        """
        reader = self._reader
        has_begun = (
            self._answer.is_delimited
            or self._call.head.resume_after is not None
            or bool(reader.count)
            or reader.done
        )
        return has_begun and reader.is_between_events

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
        began_at = self._clock.monotonic()
        chunks = self._answer.chunks(
            receive_timeout=receive_timeout, deadline=self._call.deadline
        )
        for data in chunks:
            events = self._complete_events(data)
            if events:
                self._begin()
                return events
            self._check_silence(began_at, receive_timeout)
        if not self._may_be_complete():
            raise _truncated("it ended before its first event was complete")
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
        last_event_at = waits_since = self._clock.monotonic()
        receive_timeout = self._receive_timeout()
        chunks = self._answer.chunks(
            receive_timeout=receive_timeout, deadline=self._call.deadline
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
                # The caller may have taken long to receive them.
                waits_since = self._clock.monotonic()
            else:
                self._check_silence(waits_since, receive_timeout)
        if not self._may_be_complete():
            raise _truncated("it ended within an event")

    def _check_silence(self, since: float, timeout: float) -> None:
        """Treat a replica as silent that sends bytes, but no new event."""
        if self._clock.monotonic() - since > timeout:
            raise _errors.TargetSilent(
                f"no event was complete for {timeout:.1f} s",
                outcome=_errors.Outcome.UNKNOWN,
            )

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
        self._placement, answer = resumed
        self._set_answer(answer)
        return True


def _truncated(why: str) -> _errors.TargetTruncated:
    return _errors.TargetTruncated(
        f"the replica's stream broke: {why}",
        outcome=_errors.Outcome.UNKNOWN,
    )
