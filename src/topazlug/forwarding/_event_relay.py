"""Relays a stream of events, and continues it where it may be continued.

Only whole events of a resumable stream go on to the caller: when the replica
breaks off, the stream goes on at another one after the last of them, so that
no event is missing, doubled or torn.
"""

from collections.abc import Iterator
from typing import final

from topazlug import _clock
from topazlug import _errors
from topazlug import _logs
from topazlug.callers import _caller_watch
from topazlug.calls import _sse
from topazlug.crashes import _crash_guard
from topazlug.forwarding import _call
from topazlug.forwarding import _exchange
from topazlug.forwarding import _measures
from topazlug.limits import _retry_share
from topazlug.placement import _mechanisms
from topazlug.placement import _replica_view
from topazlug.routing import _placement
from topazlug.targets import _target_answer
from topazlug.targets import _target_client

_log = _logs.logger("forwarding")
# A resumable stream that says nothing for so many of its longest pauses goes
# on elsewhere. Callers give up after eight, or two seconds.
_SILENT_PAUSES = 5.0


@final
class StreamResumer:
    """Continues broken streams at other replicas.

    Parameters
    ----------
    admission : Admission
        Finds places.
    exchange : Exchange
        Makes one attempt.
    budget : RetryShare
        Retries of this daemon.
    views : ReplicaViews
        Gets outcomes.
    guard : CrashGuard
        Knows requests that crash replicas.
    clock : Clock
        Time.
    disabled : frozenset of Mechanism
        What is switched off.

    Attributes
    ----------
    is_off : bool
        Whether streams end where they break.
    """

    def __init__(
        self,
        *,
        admission: _placement.Admission,
        exchange: _exchange.Exchange,
        budget: _retry_share.RetryShare,
        views: _replica_view.ReplicaViews,
        guard: _crash_guard.CrashGuard,
        clock: _clock.Clock,
        disabled: _mechanisms.DisabledMechanisms = _mechanisms.NONE_DISABLED,
    ) -> None:
        self._guard = guard
        self.is_off = _mechanisms.Mechanism.RESUMPTION in disabled
        self._admission = admission
        self._exchange = exchange
        self._budget = budget
        self._views = views
        self._clock = clock

    def release(self, place: _placement.Placement, *, failed: bool) -> None:
        """Give a place back, with how its stream ended."""
        view = self._views.of_incarnation(place.target)
        view.record_outcome(failed=failed)
        self._admission.release(place)

    def resume(
        self,
        call: _call.ForwardedCall,
        broken: _placement.Placement,
        last_id: int | None,
    ) -> tuple[_placement.Placement, _target_answer.TargetAnswer] | None:
        """Send a request again, to go on after an event.

        Returns
        -------
        tuple or None
            The new place and answer; None if nothing can go on.
        """
        if not self._guard.may_repeat(call.fingerprint, broken.target):
            _log.info("a broken stream is not resumed: replicas crash of it")
            return None
        if not self._budget.spend(call.group):
            _log.info("a broken stream is not resumed: no retry is left")
            return None
        excluded = frozenset({broken.target.replica})
        place = None
        try:
            place = self._admission.admit(
                call.place_request(excluded=excluded, is_resumed=True)
            )
            answer = self._exchange.send(
                call,
                place,
                head_timeout=call.deadline - self._clock.monotonic(),
                resume_after=last_id,
            )
        except (_errors.RequestError, _target_client.ConnectFailed) as error:
            if place is not None:
                self._admission.release(place)
            _log.info("a broken stream is not resumed: {why}", why=str(error))
            return None
        if answer.status != 200:
            answer.close()
            self._admission.release(place)
            _log.info(
                "a broken stream is not resumed: answered {status}",
                status=answer.status,
            )
            return None
        _log.info(
            "a broken stream goes on at {replica} after event {last}",
            replica=place.target.replica,
            last=last_id,
        )
        return place, answer


@final
class EventRelay:
    """One stream on its way to its caller.

    Parameters
    ----------
    call : ForwardedCall
        The request.
    place : Place
        Where it runs.
    answer : TargetAnswer
        The answer whose head has arrived.
    tried : int
        Replicas that the request was sent to.
    resumer : StreamResumer
        Continues it.
    measures : Measures
        What is counted.
    clock : Clock
        Time.
    """

    def __init__(
        self,
        *,
        call: _call.ForwardedCall,
        place: _placement.Placement,
        answer: _target_answer.TargetAnswer,
        tried: int,
        resumer: StreamResumer,
        measures: _measures.Measures,
        clock: _clock.Clock,
    ) -> None:
        self._call = call
        self._placement = place
        self._answer = answer
        self._tried = tried
        self._resumer = resumer
        self._measures = measures
        self._clock = clock
        self._reader = _sse.EventReader(last_id=call.head.resume_after)
        self._left = False

    def read_first(self, *, patience: float) -> bytes:
        """Give the first whole events.

        Parameters
        ----------
        patience : float
            Seconds until another replica should be tried.

        Raises
        ------
        RequestError
            The stream broke before its first event.
        """
        chunks = self._answer.chunks(
            receive_timeout=patience, deadline=self._call.deadline
        )
        for data in chunks:
            events = self._whole_events(data)
            if events:
                return events
        return b""

    def pieces(self, first: bytes) -> Iterator[bytes]:
        """Give what goes to the caller; an exception cuts it off."""
        watch = _caller_watch.CallerWatch(
            self._call.socket, left=self._caller_left
        )
        failed = True
        try:
            yield b""
            yield first
            yield from self._rest()
            failed = False
            self._measures.answered(self._call, self._answer.status)
        finally:
            watch.stop()
            self._answer.close()
            self._resumer.release(
                self._placement, failed=failed and not self._left
            )

    def _caller_left(self) -> None:
        self._left = True
        self._answer.abort()

    def _rest(self) -> Iterator[bytes]:
        while True:
            try:
                yield from self._relay()
                return
            except _errors.RequestError as error:
                self._answer.close()
                if self._left or not self._go_on(error):
                    self._note_broken(error)
                    raise

    def _note_broken(self, error: _errors.RequestError) -> None:
        self._measures.broke(self._call, error)
        _log.warning(
            "a stream ends early after event {last}: {why}",
            request_id=self._call.head.attempt,
            replica=self._placement.target.replica,
            last=self._reader.last_id,
            tried=self._tried,
            caller_left=self._left,
            why=error.message,
        )

    def _relay(self) -> Iterator[bytes]:
        before = self._clock.monotonic()
        chunks = self._answer.chunks(
            receive_timeout=self._silence(), deadline=self._call.deadline
        )
        for data in chunks:
            events = self._whole_events(data)
            if events:
                now = self._clock.monotonic()
                self._measures.pause(self._call, now - before)
                before = now
                yield events
        if not self._reader.is_between_events:
            raise _torn("it ended inside of an event")

    def _whole_events(self, data: bytes) -> bytes:
        try:
            return self._reader.feed(data)
        except ValueError as error:
            raise _torn(str(error)) from error

    def _silence(self) -> float:
        left = max(0.0, self._call.deadline - self._clock.monotonic())
        if not self._may_go_on():
            return left
        return min(left, _SILENT_PAUSES * self._call.route.longest_pause)

    def _may_go_on(self) -> bool:
        route = self._call.route
        if self._resumer.is_off:
            return False
        return route.resumable and self._tried < route.max_replicas

    def _go_on(self, error: _errors.RequestError) -> bool:
        if not self._may_go_on():
            return False
        if isinstance(error, _errors.DeadlineExceeded):
            return False
        self._reader.discard_partial()
        resumed = self._resumer.resume(
            self._call, self._placement, self._reader.last_id
        )
        if resumed is None:
            return False
        self._resumer.release(self._placement, failed=True)
        self._tried += 1
        self._placement, self._answer = resumed
        return True


def _torn(why: str) -> _errors.TargetTruncated:
    return _errors.TargetTruncated(
        f"the replica's stream broke: {why}",
        outcome=_errors.Outcome.UNKNOWN,
    )
