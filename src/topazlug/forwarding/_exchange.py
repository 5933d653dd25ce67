"""Sends a request to one replica and checks the head of its answer."""

from collections.abc import Callable
from typing import Protocol
from typing import final

from topazlug import _clock
from topazlug import _errors
from topazlug.forwarding import _awaited_heads
from topazlug.forwarding import _call
from topazlug.forwarding import _failures
from topazlug.forwarding import _wire
from topazlug.placement import _context_locator
from topazlug.placement import _mechanisms
from topazlug.placement import _replica_view
from topazlug.routing import _placement
from topazlug.targets import _path_check
from topazlug.targets import _process_check
from topazlug.targets import _target_answer
from topazlug.targets import _target_client
from topazlug.targets import _targets


class ConnectionFailureCallback(Protocol):
    """Handles a failed connection to a replica."""

    def __call__(
        self, placement: _placement.Placement, *, timed_out: bool
    ) -> None:
        """Handle it; `timed_out` is false if it was refused."""


@final
class AnsweredWithFailure(_errors.RequestError):
    """A replica ran the request and answered with a failure of its own.

    If the request may be repeated, it is sent to another replica. Otherwise
    the caller gets this answer unchanged.
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
    """Sends requests to replicas and records the outcomes.

    Parameters
    ----------
    connections : TargetConnections
        Connections to replicas.
    targets : TargetDirectory
        Known replicas.
    views : ReplicaViews
        Receives load, latency and outcomes.
    contexts : ContextLocator
        Locates the replicas that hold the context of a prompt.
    codec : ReplicaHeaderCodec
        Encodes requests for replicas and decodes their answers.
    on_connection_failure : callable
        Called when the connection to a replica failed, with the placement
        and whether the connection timed out instead of being refused.
    on_answer_head : callable
        Called with the placement and the head of its answer.
    awaited_heads : AwaitedHeads
        Watches the requests that wait for an answer.
    path_check : PathCheck
        Finds out whether this daemon is cut off from a group.
    process_check : ProcessCheck
        Confirms that a replica still runs the version that it is listed with.
    clock : Clock
        Clock of the daemon.
    disabled : frozenset of Mechanism
        Mechanisms that are switched off.
    """

    def __init__(
        self,
        *,
        connections: _target_client.TargetConnections,
        targets: _targets.TargetDirectory,
        views: _replica_view.ReplicaViews,
        contexts: _context_locator.ContextLocator,
        codec: _wire.ReplicaHeaderCodec,
        on_connection_failure: ConnectionFailureCallback,
        on_answer_head: Callable[
            [_placement.Placement, _placement.AnswerHead], None
        ],
        awaited_heads: _awaited_heads.AwaitedHeads,
        path_check: _path_check.PathCheck,
        process_check: _process_check.ProcessCheck,
        clock: _clock.Clock,
        disabled: _mechanisms.DisabledMechanisms = _mechanisms.NONE_DISABLED,
    ) -> None:
        self._uses_slowness = (
            _mechanisms.Mechanism.REPLICA_SPEED not in disabled
        )
        self._copies_contexts = _mechanisms.Mechanism.COPIES not in disabled
        self._on_connection_failure = on_connection_failure
        self._on_answer_head = on_answer_head
        self._awaited_heads = awaited_heads
        self._path_check = path_check
        self._process_check = process_check
        self._connections = connections
        self._targets = targets
        self._views = views
        self._contexts = contexts
        self._codec = codec
        self._clock = clock

    def send(
        self,
        call: _call.ForwardedCall,
        placement: _placement.Placement,
        *,
        head_timeout: float,
        resume_after: int | None,
    ) -> _target_answer.TargetAnswer:
        """Send a request and return its answer, whose head has been read.

        Raises
        ------
        ConnectFailed
            Nothing was sent.
        NoReplicaPath
            Nothing was sent, as this daemon is cut off from the group.
        TargetRefused
            The replica rejected the request and did not run it.
        RequestError
            The request may have run.
        """
        if self._path_check.is_cut_off(call.group):
            placement.is_outcome_unknown = True
            raise _no_replica_path_error(call)
        if call.version is not None:
            self._confirm_process(placement)
        view = self._views.of_incarnation(placement.target)
        sent_at = self._clock.monotonic()
        try:
            with self._awaited_heads.waiting(placement):
                answer = self._connections.exchange(
                    placement.target,
                    self._target_request(call, placement, resume_after),
                    head_timeout=head_timeout,
                    deadline=call.deadline,
                )
        except _target_client.ConnectFailed as error:
            if self._path_check.find_cut(
                call.group, failed=placement.target.replica, since=sent_at
            ):
                # The replica is not at fault, so nothing is recorded of it.
                placement.is_outcome_unknown = True
                raise _no_replica_path_error(call) from error
            view.record_outcome(failed=True)
            # A cut of a zone makes healthy replicas time out for some daemons.
            placement.failed = not error.is_timeout
            placement.is_outcome_unknown = error.is_timeout
            self._on_connection_failure(placement, timed_out=error.is_timeout)
            raise
        except _errors.RequestError as error:
            if self._path_check.is_cut_off(call.group):
                placement.is_outcome_unknown = True
                raise
            view.record_outcome(failed=True)
            _failures.record(placement, error)
            raise
        except BaseException:
            # The caller has disconnected.
            placement.is_outcome_unknown = True
            raise
        self._record_answer(call, placement, answer, sent_at)
        if call.version is not None and self._process_check.was_replaced(
            placement.target
        ):
            answer.close()
            placement.is_outcome_unknown = True
            raise _errors.TargetFailed(
                "the replica was replaced while it received the request",
                outcome=_errors.Outcome.UNKNOWN,
            )
        if self._codec.verdict(answer) is _wire.AnswerVerdict.NOT_GENUINE:
            answer.close()
            view.record_outcome(failed=True)
            placement.failed = True
            raise _errors.TargetFailed(
                "the replica's answer is not genuine",
                outcome=_errors.Outcome.UNKNOWN,
            )
        return answer

    def _confirm_process(self, placement: _placement.Placement) -> None:
        """Confirm that a replica may continue a stream of its version."""
        try:
            self._process_check.confirm(placement.target)
        except BaseException:
            # Nothing of the request was sent.
            placement.is_outcome_unknown = True
            raise

    def _target_request(
        self,
        call: _call.ForwardedCall,
        placement: _placement.Placement,
        resume_after: int | None,
    ) -> _target_client.TargetRequest:
        context_source = None
        if call.route.has_context and self._copies_contexts:
            context_source = self._contexts.source(call.chat, placement.target)
        metadata = _wire.AttemptMetadata(
            remaining_seconds=call.deadline - self._clock.monotonic(),
            replica=placement.target.replica,
            team=call.team.name if call.team else None,
            is_generation=call.route.has_context,
            # What has begun goes before what is new.
            priority=call.rank if resume_after is None else 0,
            resume_after=resume_after,
            context_source=context_source,
        )
        return _target_client.TargetRequest(
            method=call.method,
            path=call.target,
            headers=self._codec.encode(call.head, metadata),
            body=call.body,
            request_id=call.head.attempt,
            fingerprint=call.fingerprint,
            attempt=call.attempt,
            parts=call.part_fingerprints,
            # The replica may close an idle connection at the moment a request
            # is sent on it. Whether the request ran is then unknown, and one
            # that may run only once is lost, so it gets a new connection.
            fresh=not call.route.repeatable,
        )

    def _record_answer(
        self,
        call: _call.ForwardedCall,
        placement: _placement.Placement,
        answer: _target_answer.TargetAnswer,
        sent_at: float,
    ) -> None:
        view = self._views.of_incarnation(placement.target)
        seconds = self._clock.monotonic() - sent_at
        view.record_latency(seconds)
        self._targets.reachability.record_answer(placement.target)
        load = self._codec.load(answer)
        head = _placement.AnswerHead(seconds=seconds)
        if load is not None:
            view.record_report(load.running + load.waiting)
            if load.slowness is not None and self._uses_slowness:
                view.record_slowness(load.slowness)
            head = _placement.AnswerHead(
                seconds=seconds,
                running=load.running,
                waiting=load.waiting,
                slowness=load.slowness,
            )
        self._on_answer_head(placement, head)
        if call.route.has_context:
            self._contexts.record_read(call.chat, placement.target)


def _no_replica_path_error(
    call: _call.ForwardedCall,
) -> _errors.NoReplicaPath:
    return _errors.NoReplicaPath(
        f"no replica of {call.group} accepts connections from this daemon"
    )
