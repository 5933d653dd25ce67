"""Headers of requests that one daemon sends to another to be served.

The request is otherwise the caller's own, and the answer is what the caller
receives, so the delegate handles it like any other request.
"""

from collections.abc import Iterable
from collections.abc import Sequence
from typing import final

import msgspec

from topazlug import _errors
from topazlug._generated import messages
from topazlug.forwarding import _wire
from topazlug.targets import _target_answer
from topazlug.targets import _target_report

CALL = "Topazlug-Delegation"
DECLINED = "Topazlug-Delegation-Declined"
# The replica that answered, for the daemon that delegated the request.
REPLICA = "Topazlug-Delegation-Replica"
_ID = "Topazlug-Delegation-Id"
_OWN_FIELDS = frozenset(
    name.lower() for name in (CALL, DECLINED, REPLICA, _ID)
)
# Fields that apply to one connection only, and those of the body's framing.
_NOT_SENT = _OWN_FIELDS | {
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
}
# Shorter than delegates keep idle connections.
_IDLE_SECONDS = 5.0


@final
class DelegationDeclined(_errors.RequestError):
    """This daemon does not serve a request of another daemon.

    Attributes
    ----------
    reason : DeclineReason
        Why it declines.
    """

    code = _errors.Code.NO_TARGET
    status = _errors.NoTarget.status

    def __init__(self, reason: messages.DeclineReason) -> None:
        super().__init__(f"delegated request declined: {reason.value}")
        self.reason = reason


def encode(call: messages.DelegatedCall) -> str:
    """Return the value of the header."""
    return msgspec.json.encode(call).decode("ascii")


def decode(fields: Iterable[_wire.Field]) -> messages.DelegatedCall:
    """Return the decoded header of a request from another daemon.

    Raises
    ------
    BadHeader
        If there is not exactly one valid header.
    """
    values = [value for name, value in fields if name.lower() == CALL.lower()]
    if len(values) != 1:
        raise _errors.BadHeader(f"{CALL} is given {len(values)} times")
    try:
        return msgspec.json.decode(values[0], type=messages.DelegatedCall)
    except msgspec.MsgspecError as error:
        raise _errors.BadHeader(f"{CALL} is invalid: {error}") from error


def without_own_fields(fields: Sequence[_wire.Field]) -> list[_wire.Field]:
    """Return the caller's own fields of a delegated request."""
    return [one for one in fields if one[0].lower() not in _OWN_FIELDS]


def request_fields(
    fields: Iterable[_wire.Field], call: messages.DelegatedCall
) -> list[_wire.Field]:
    """Return the fields of a request to a delegate.

    Parameters
    ----------
    fields : iterable of (str, str)
        Fields as the caller sent them.
    call : DelegatedCall
        What is left of the request's deadline and attempts.
    """
    kept = [one for one in fields if one[0].lower() not in _NOT_SENT]
    return [*kept, (CALL, encode(call))]


@final
class DelegateWire:
    """Header conventions of answers from a delegate."""

    id_header = _ID
    repeats_answers = False

    def rejection(
        self, answer: _target_answer.TargetAnswer
    ) -> _errors.TargetRefused | None:
        """Return the error if the delegate declined the request."""
        reason = answer.header(DECLINED)
        if not reason:
            return None
        return _errors.TargetRefused(f"the daemon declined: {reason[:40]}")

    def report(
        self, answer: _target_answer.TargetAnswer
    ) -> _target_report.TargetReport:
        """Return an empty report: the answer's state is its replica's."""
        return _target_report.EMPTY_REPORT

    def idle_seconds(
        self, answer: _target_answer.TargetAnswer
    ) -> float | None:
        """Return for how long an idle connection may be kept."""
        return _IDLE_SECONDS
