"""One attempt of a request at one replica, up to its genuine answer."""

from collections.abc import Callable
from typing import Protocol
from typing import final

from topazlug import _clock
from topazlug import _errors
from topazlug.forwarding import _call
from topazlug.forwarding import _wire
from topazlug.placement import _context_locator
from topazlug.placement import _mechanisms
from topazlug.placement import _replica_view
from topazlug.routing import _placement
from topazlug.targets import _target_answer
from topazlug.targets import _target_client
from topazlug.targets import _targets


class NoteUnreached(Protocol):
    """Takes word of a replica that took no connection."""

    def __call__(
        self, place: _placement.Placement, *, is_silent: bool
    ) -> None:
        """Note it, and whether it did not refuse it either."""


@final
class AnsweredWithFailure(_errors.RequestError):
    """A replica ran the request and answered with a failure of its own.

    Where the request may be repeated, another replica is tried; if that
    can't be, the caller gets this answer as it is.
    """

    code = _errors.Code.TARGET_FAILED

    def __init__(
        self, answer: _target_answer.TargetAnswer, body: bytes
    ) -> None:
        super().__init__(
            f"the replica answered {answer.status}",
            outcome=_errors.Outcome.RAN,
        )
        self.answer = answer
        self.body = body


@final
class Exchange:
    """Sends requests to replicas and notes how they answer.

    Parameters
    ----------
    connections : TargetConnections
        Connections to replicas.
    targets : TargetDirectory
        Known replicas.
    views : ReplicaViews
        Gets load, latency and outcomes.
    contexts : ContextLocator
        Knows where prompts' contexts lie.
    wire : ReplicaWire
        Names on the wire.
    note_unreached : callable
        Gets the place whose replica took no connection, and whether it
        did not refuse it either.
    note_head : callable
        Gets the place, what its replica says of its load with the head of
        an answer, and the seconds that this took.
    clock : Clock
        Time.
    disabled : frozenset of Mechanism
        What is switched off.
    """

    def __init__(
        self,
        *,
        connections: _target_client.TargetConnections,
        targets: _targets.TargetDirectory,
        views: _replica_view.ReplicaViews,
        contexts: _context_locator.ContextLocator,
        wire: _wire.ReplicaWire,
        note_unreached: NoteUnreached,
        note_head: Callable[[_placement.Placement, int, int, float], None],
        clock: _clock.Clock,
        disabled: _mechanisms.DisabledMechanisms = _mechanisms.NONE_DISABLED,
    ) -> None:
        self._copies = _mechanisms.Mechanism.COPIES not in disabled
        self._note_unreached = note_unreached
        self._note_head = note_head
        self._connections = connections
        self._targets = targets
        self._views = views
        self._contexts = contexts
        self._wire = wire
        self._clock = clock

    def send(
        self,
        call: _call.ForwardedCall,
        place: _placement.Placement,
        *,
        head_timeout: float,
        resume_after: int | None,
    ) -> _target_answer.TargetAnswer:
        """Send a request and give its genuine answer's head.

        Raises
        ------
        ConnectFailed
            Nothing was sent.
        TargetRefused
            The replica did not run it.
        RequestError
            It may have run.
        """
        view = self._views.of_incarnation(place.target)
        sent_at = self._clock.monotonic()
        try:
            answer = self._connections.exchange(
                place.target,
                self._request(call, place, resume_after),
                head_timeout=head_timeout,
                deadline=call.deadline,
            )
        except _target_client.ConnectFailed as error:
            view.note_outcome(failed=True)
            self._note_unreached(place, is_silent=error.is_timeout)
            raise
        except _errors.RequestError:
            view.note_outcome(failed=True)
            raise
        self._note(call, place, answer, sent_at)
        if self._wire.verdict(answer) is _wire.AnswerVerdict.NOT_GENUINE:
            answer.close()
            view.note_outcome(failed=True)
            raise _errors.TargetFailed(
                "the replica's answer is not genuine",
                outcome=_errors.Outcome.UNKNOWN,
            )
        return answer

    def _request(
        self,
        call: _call.ForwardedCall,
        place: _placement.Placement,
        resume_after: int | None,
    ) -> _target_client.TargetRequest:
        source = None
        if call.route.has_context and self._copies:
            source = self._contexts.source(call.chat, place.target)
        sending = _wire.Sending(
            left=call.deadline - self._clock.monotonic(),
            replica=place.target.replica,
            team=call.team.name if call.team else None,
            is_generation=call.route.has_context,
            priority=call.rank,
            resume_after=resume_after,
            context_source=source,
        )
        return _target_client.TargetRequest(
            method=call.method,
            path=call.target,
            headers=self._wire.encode(call.head, sending),
            body=call.body,
            request_id=call.head.attempt,
            fingerprint=call.fingerprint,
            attempt=f"{call.head.attempt} {call.started}",
            # A kept connection may be closed by the replica just when the
            # request is sent; whether it ran is then unknown, and what may
            # run once only is lost.
            fresh=not call.route.repeatable,
        )

    def _note(
        self,
        call: _call.ForwardedCall,
        place: _placement.Placement,
        answer: _target_answer.TargetAnswer,
        sent_at: float,
    ) -> None:
        view = self._views.of_incarnation(place.target)
        seconds = self._clock.monotonic() - sent_at
        view.note_latency(seconds)
        self._targets.reachability.record_answer(place.target)
        load = self._wire.load(answer)
        if load is not None:
            view.note_report(load.running + load.waiting)
            self._note_head(place, load.running, load.waiting, seconds)
        if call.route.has_context:
            self._contexts.note_read(call.chat, place.target)
