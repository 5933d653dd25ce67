"""The path that calls of every kind take, once they are understood.

A call takes a ticket under its team's ceiling, is tried at one target after
the other, and is counted when its answer has ended. Chats and calls to plain
services differ in what they send and in how they read the answer.
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
from topazlug.routing import _place
from topazlug.targets import _target_answer
from topazlug.targets import _target_client

Attempt = Callable[[_place.Place, _quotas.Ticket], _caller_answer.CallerAnswer]


@final
class CallPath:
    """Takes calls from their ticket to their end.

    Parameters
    ----------
    assembly : CallAssembly
        What all calls share.
    log : Logger
        The kind's own.
    """

    def __init__(
        self, *, assembly: _call_assembly.CallAssembly, log: logbook.Logger
    ) -> None:
        self._parts = assembly
        self._log = log

    def run(
        self,
        wanted: _place.PlaceRequest,
        caller: _caller_request.Caller,
        attempt: Attempt,
        *,
        repeatable: bool,
        fingerprint: _ids.Fingerprint,
    ) -> _caller_answer.CallerAnswer:
        """Try a call under its team's ceiling.

        Parameters
        ----------
        wanted : PlaceRequest
            What needs a place.
        caller : Caller
            Whose ceiling counts.
        attempt : callable
            Makes one attempt. It gives the ticket back once it returns;
            this method does when it raises.
        repeatable : bool
            Whether an attempt whose fate is unknown may be repeated.
        fingerprint : Fingerprint
            The same for all repeats of the call.

        Raises
        ------
        RequestError
            Nothing of an answer has gone to the caller.
        """
        # Repeats come to any daemon. A chat that ends each engine which runs
        # it would end one with each of them, and up to four at once here.
        self._parts.guard.check(fingerprint)
        ticket = self._parts.quotas.take(caller.team, deadline=wanted.deadline)
        try:
            return self._parts.attempts.run(
                wanted,
                lambda place: attempt(place, ticket),
                repeatable=repeatable,
                may_repeat=functools.partial(
                    self._parts.guard.may_repeat, fingerprint
                ),
            )
        except BaseException:
            ticket.give_back()
            raise

    def exchange(
        self,
        place: _place.Place,
        message: _target_client.TargetRequest,
        request: _caller_request.CallerRequest,
    ) -> _target_answer.TargetAnswer:
        """Send a call to its target; give the head of the answer."""
        return self._parts.connections.exchange(
            place.target,
            message,
            head_timeout=self._parts.limits.first_byte_timeout,
            deadline=request.deadline,
        )

    def ended(
        self,
        caller: _caller_request.Caller,
        request: _caller_request.CallerRequest,
        *,
        status: int,
        code: _errors.Code | None,
        fields: _logs.request_fields,
    ) -> None:
        """Count a call whose answer has ended, and say so.

        Parameters
        ----------
        status : int
            The target's.
        code : Code or None
            What it counts as, where the target failed it.
        fields : request_fields
            Fields of the line, as the request's own context is gone.
        """
        seconds = self._parts.clock.monotonic() - request.started
        request_class = class_of(caller)
        self._parts.metrics.observe_total(caller.name, request_class, seconds)
        self._parts.metrics.count_request(
            caller.name, request_class, code, _errors.Outcome.RAN
        )
        with fields:
            self._log.info(
                "answered with {status} in {seconds:.3f} s",
                status=status,
                seconds=seconds,
            )


def class_of(caller: _caller_request.Caller) -> table.RequestClass:
    """Give the request class that a caller's calls are of."""
    return table.RequestClass(caller.class_name)
