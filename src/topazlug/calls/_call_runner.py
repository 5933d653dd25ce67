"""Steps that are common to all kinds of calls, after parsing.

A call takes a ticket under its team's ceiling, is sent to one target after
another until one answers, and is counted when its answer has ended. Chats and
service calls differ in what they send and how they read the answer.
"""

from collections.abc import Callable
import functools
from typing import final

import logbook

from topazlug import _errors
from topazlug import _ids
from topazlug import _logs
from topazlug._generated import table
from topazlug.callers import _caller_answer
from topazlug.callers import _caller_request
from topazlug.calls import _call_assembly
from topazlug.limits import _quotas
from topazlug.routing import _placement
from topazlug.targets import _target_answer
from topazlug.targets import _target_client

Attempt = Callable[
    [_placement.Placement, _quotas.Ticket], _caller_answer.CallerAnswer
]


@final
class CallRunner:
    """Runs calls, from taking the ticket to counting the call.

    Parameters
    ----------
    assembly : CallAssembly
        Components shared by all calls.
    log : Logger
        Logger of this kind of call.
    """

    def __init__(
        self, *, assembly: _call_assembly.CallAssembly, log: logbook.Logger
    ) -> None:
        self._assembly = assembly
        self._log = log

    def run(
        self,
        placement_request: _placement.PlacementRequest,
        caller: _caller_request.Caller,
        attempt: Attempt,
        *,
        repeatable: bool,
        fingerprint: _ids.Fingerprint,
        request_id: _ids.RequestId,
    ) -> _caller_answer.CallerAnswer:
        """Run a call under its team's ceiling.

        Parameters
        ----------
        placement_request : PlacementRequest
            The request to find a replica for.
        caller : Caller
            Caller whose team's ceiling applies.
        attempt : callable
            Makes one attempt with a placement and the ticket. If it returns,
            it has taken over the ticket; if all attempts raise, the ticket is
            returned here.
        repeatable : bool
            Whether the call may be repeated after an unknown outcome.
        fingerprint : Fingerprint
            Identifies the call across all its repeats.
        request_id : RequestId
            Identifies the caller's attempt.

        Raises
        ------
        RequestError
            The call failed before anything was sent to the caller.
        """
        # Repeats of a call may reach any daemon. Without this check, a chat
        # that crashes every engine it runs on would crash up to four engines
        # here with each repeat.
        self._assembly.guard.check(fingerprint, attempt=request_id)
        ticket = self._assembly.quotas.acquire(
            caller.team, deadline=placement_request.deadline
        )
        try:
            return self._assembly.attempts.run(
                placement_request,
                lambda placement: attempt(placement, ticket),
                repeatable=repeatable,
                may_repeat=functools.partial(
                    self._assembly.guard.may_repeat, fingerprint
                ),
            )
        except BaseException:
            ticket.release()
            raise

    def exchange(
        self,
        placement: _placement.Placement,
        message: _target_client.TargetRequest,
        request: _caller_request.CallerRequest,
    ) -> _target_answer.TargetAnswer:
        """Send a call to its target and wait for the head of the answer."""
        return self._assembly.connections.exchange(
            placement.target,
            message,
            head_timeout=self._assembly.limits.first_byte_timeout,
            deadline=request.deadline,
        )

    def record_end(
        self,
        caller: _caller_request.Caller,
        request: _caller_request.CallerRequest,
        *,
        status: int,
        code: _errors.Code | None,
        fields: _logs.request_fields,
    ) -> None:
        """Count and log a call whose answer has ended.

        Parameters
        ----------
        caller : Caller
            The caller.
        request : CallerRequest
            The caller's request.
        status : int
            Status of the target's answer.
        code : Code or None
            Error code to count if the target failed the call; else None.
        fields : request_fields
            Fields of the log line, as the request's own logging context has
            already ended.
        """
        seconds = self._assembly.clock.monotonic() - request.started
        request_class = request_class_of(caller)
        self._assembly.metrics.observe_request_duration(
            caller.name, request_class, seconds
        )
        self._assembly.metrics.count_request(
            caller.name, request_class, code, _errors.Outcome.RAN
        )
        with fields:
            self._log.info(
                "answered with {status} in {seconds:.3f} s",
                status=status,
                seconds=seconds,
            )


def request_class_of(caller: _caller_request.Caller) -> table.RequestClass:
    """Return the request class of a caller's calls."""
    return table.RequestClass(caller.class_name)
