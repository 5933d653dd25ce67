"""Exceptions that modules raise to each other, each with a stable code.

The codes are part of the interface for callers and operators. The meaning of
a released code must not change.
"""

import enum
from http import HTTPStatus
from typing import Self
from typing import final


class Outcome(enum.Enum):
    """Whether a request ran at a target, as far as known."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    RAN = "ran"


class Code(enum.Enum):
    """Stable error codes."""

    BAD_KEY = "invalid_api_key"
    BAD_TOKEN = "invalid_operator_token"
    FORBIDDEN = "forbidden"
    BAD_BODY = "invalid_body"
    BODY_TOO_LARGE = "body_too_large"
    BODY_TOO_SLOW = "body_too_slow"
    BAD_HEADER = "invalid_header"
    UNKNOWN_MODEL = "model_not_found"
    UNKNOWN_SERVICE = "service_not_found"
    UNKNOWN_PATH = "path_not_found"
    BAD_METHOD = "method_not_allowed"
    KEY_REQUIRED = "idempotency_key_required"
    KEY_REUSED = "idempotency_key_reused"
    KEY_IN_USE = "idempotency_key_in_use"
    ANSWER_NOT_KEPT = "answer_not_kept"
    CLAIM_ENDED = "claim_ended"
    OVERLOADED = "overloaded"
    MEMORY_BUDGET_EXCEEDED = "memory_budget_exceeded"
    REQUEST_BLOCKED = "request_blocked"
    STREAM_NOT_RESUMABLE = "stream_not_resumable"
    NOT_BLOCKED = "request_not_blocked"
    TEAM_CEILING = "team_ceiling_reached"
    NO_TARGET = "no_target"
    TARGET_REFUSED = "target_refused"
    TARGET_FAILED = "target_failed"
    TARGET_TRUNCATED = "target_truncated"
    TARGET_SILENT = "target_silent"
    DEADLINE = "deadline_exceeded"
    STORE_UNAVAILABLE = "store_unavailable"
    STORE_CONFLICT = "store_conflict"
    ROW_CONFLICT = "row_conflict"
    ROW_NOT_FOUND = "row_not_found"
    ROW_INVALID = "row_invalid"
    SETTINGS_INVALID = "settings_invalid"
    PEER_UNREACHABLE = "peer_unreachable"
    PEER_REFUSED = "peer_refused"
    PEER_MESSAGE_INVALID = "peer_message_invalid"
    NOT_READY = "not_ready"
    STOPPING = "daemon_stopping"
    INTERNAL = "internal_error"


class Guard(enum.Enum):
    """A decision that turns requests away to protect something.

    Attributes
    ----------
    CRASH_HOLD
        They may crash replicas; held back until the cause is decided.
    CRASH_BLOCK
        They crash replicas.
    BRITTLE
        The replicas crash if they have to reject them.
    BACKOFF
        All replicas asked for a backoff.
    NO_REPLICA
        No replica is in service.
    COLD
        The replicas have just started.
    CAPACITY
        Limits of replicas, ranks and teams.
    CEILING
        The ceiling of a team.
    MEMORY
        What callers may make the daemon hold.
    """

    CRASH_HOLD = "crash-hold"
    CRASH_BLOCK = "crash-block"
    BRITTLE = "brittle"
    BACKOFF = "backoff"
    NO_REPLICA = "no-replica"
    COLD = "cold"
    CAPACITY = "capacity"
    CEILING = "ceiling"
    MEMORY = "memory"


class TopazlugError(Exception):
    """Base class of all exceptions of this program.

    Parameters
    ----------
    message : str
        What happened, with the offending value, and the remedy.
    """

    code = Code.INTERNAL
    status = HTTPStatus.INTERNAL_SERVER_ERROR

    def __init__(self, message: str) -> None:
        super().__init__(message)
        self.message = message


class RequestError(TopazlugError):
    """A caller's request got no answer from a target.

    Parameters
    ----------
    message : str
        What happened, as shown to the caller.
    outcome : Outcome
        Whether the request may have run.
    retry_after : float or None
        Seconds after which a retry may succeed.

    Attributes
    ----------
    rejected_for : float
        Seconds for which a retry would certainly be rejected too.
    guard : Guard or None
        The guard that refused the request, if one did.
    subject : str
        What the guard refuses, such as a group or a fingerprint.
    """

    guard: Guard | None = None

    def __init__(
        self,
        message: str,
        *,
        outcome: Outcome = Outcome.NOT_RUN,
        retry_after: float | None = None,
    ) -> None:
        super().__init__(message)
        self.outcome = outcome
        self.retry_after = retry_after
        self.rejected_for = 0.0
        self.subject = ""

    def refused_by(self, guard: Guard, subject: str) -> Self:
        """Return this error, with the guard that refused the request."""
        self.guard = guard
        self.subject = subject
        return self


@final
class BadKey(RequestError):
    """The API key belongs to no team."""

    code = Code.BAD_KEY
    status = HTTPStatus.UNAUTHORIZED


@final
class Forbidden(RequestError):
    """The team or operator may not do this."""

    code = Code.FORBIDDEN
    status = HTTPStatus.FORBIDDEN


@final
class BadBody(RequestError):
    """The body does not conform to the interface."""

    code = Code.BAD_BODY
    status = HTTPStatus.BAD_REQUEST


@final
class BodyTooLarge(RequestError):
    """The body exceeds the size limit."""

    code = Code.BODY_TOO_LARGE
    status = HTTPStatus.REQUEST_ENTITY_TOO_LARGE


@final
class BodyTooSlow(RequestError):
    """The body did not arrive in time."""

    code = Code.BODY_TOO_SLOW
    status = HTTPStatus.REQUEST_TIMEOUT


@final
class BadHeader(RequestError):
    """A header has an invalid value."""

    code = Code.BAD_HEADER
    status = HTTPStatus.BAD_REQUEST


@final
class UnknownModel(RequestError):
    """No pool serves the model."""

    code = Code.UNKNOWN_MODEL
    status = HTTPStatus.NOT_FOUND


@final
class UnknownService(RequestError):
    """No plain service has this name."""

    code = Code.UNKNOWN_SERVICE
    status = HTTPStatus.NOT_FOUND


@final
class UnknownPath(RequestError):
    """The path is not part of the interface."""

    code = Code.UNKNOWN_PATH
    status = HTTPStatus.NOT_FOUND


@final
class BadMethod(RequestError):
    """The path does not support the method."""

    code = Code.BAD_METHOD
    status = HTTPStatus.METHOD_NOT_ALLOWED


@final
class KeyRequired(RequestError):
    """The service's row requires an Idempotency-Key."""

    code = Code.KEY_REQUIRED
    status = HTTPStatus.BAD_REQUEST


@final
class KeyReused(RequestError):
    """The Idempotency-Key was used before for another request."""

    code = Code.KEY_REUSED
    status = HTTPStatus.UNPROCESSABLE_ENTITY


@final
class KeyInUse(RequestError):
    """The claimed request is in progress, or its outcome is unknown."""

    code = Code.KEY_IN_USE
    status = HTTPStatus.CONFLICT


@final
class Overloaded(RequestError):
    """No slot is free, and none will be before the deadline."""

    guard = Guard.CAPACITY
    code = Code.OVERLOADED
    status = HTTPStatus.SERVICE_UNAVAILABLE


@final
class MemoryBudgetExceeded(RequestError):
    """Callers make the daemon hold too much to read this request."""

    guard = Guard.MEMORY
    code = Code.MEMORY_BUDGET_EXCEEDED
    status = HTTPStatus.SERVICE_UNAVAILABLE


@final
class RequestBlocked(RequestError):
    """The request is blocked, as replicas that ran it crashed."""

    code = Code.REQUEST_BLOCKED
    status = HTTPStatus.SERVICE_UNAVAILABLE


@final
class NotBlocked(TopazlugError):
    """The request to release is not blocked."""

    code = Code.NOT_BLOCKED
    status = HTTPStatus.NOT_FOUND


@final
class TeamCeiling(RequestError):
    """The team has reached the limits of its row."""

    guard = Guard.CEILING
    code = Code.TEAM_CEILING
    status = HTTPStatus.TOO_MANY_REQUESTS


@final
class NoTarget(RequestError):
    """No replica of the group can be reached."""

    guard = Guard.NO_REPLICA
    code = Code.NO_TARGET
    status = HTTPStatus.SERVICE_UNAVAILABLE


@final
class NoReplicaPath(RequestError):
    """No replica of any group accepts connections from this daemon."""

    code = Code.NO_TARGET
    status = HTTPStatus.SERVICE_UNAVAILABLE


@final
class StreamNotResumable(RequestError):
    """No replica may continue the stream that the caller takes up."""

    code = Code.STREAM_NOT_RESUMABLE
    status = HTTPStatus.SERVICE_UNAVAILABLE


@final
class TargetRefused(RequestError):
    """The target reported that it did not run the request."""

    code = Code.TARGET_REFUSED
    status = HTTPStatus.SERVICE_UNAVAILABLE


@final
class TargetFailed(RequestError):
    """The connection to the target broke before its answer began."""

    code = Code.TARGET_FAILED
    status = HTTPStatus.BAD_GATEWAY


@final
class TargetTruncated(RequestError):
    """The target's answer ended before it was complete."""

    code = Code.TARGET_TRUNCATED
    status = HTTPStatus.BAD_GATEWAY


@final
class TargetSilent(RequestError):
    """The target sent nothing for too long."""

    code = Code.TARGET_SILENT
    status = HTTPStatus.GATEWAY_TIMEOUT


@final
class DeadlineExceeded(RequestError):
    """The request's deadline passed."""

    code = Code.DEADLINE
    status = HTTPStatus.GATEWAY_TIMEOUT


@final
class NotReady(RequestError):
    """The daemon has no configuration yet."""

    code = Code.NOT_READY
    status = HTTPStatus.SERVICE_UNAVAILABLE


@final
class DaemonStopping(RequestError):
    """The daemon stops before the answer could end."""

    code = Code.STOPPING
    status = HTTPStatus.SERVICE_UNAVAILABLE


@final
class StoreUnavailable(RequestError):
    """The platform's service did not answer, or rejected the request."""

    code = Code.STORE_UNAVAILABLE
    status = HTTPStatus.SERVICE_UNAVAILABLE


@final
class StoreAmbiguous(TopazlugError):
    """The answer to a write was lost, so it may have taken effect."""

    code = Code.STORE_UNAVAILABLE
    status = HTTPStatus.SERVICE_UNAVAILABLE


@final
class SettingsInvalid(TopazlugError):
    """The settings file is invalid."""

    code = Code.SETTINGS_INVALID


@final
class PeerUnreachable(TopazlugError):
    """The peer is unreachable or did not answer."""

    code = Code.PEER_UNREACHABLE


@final
class PeerRefused(TopazlugError):
    """The peer failed to authenticate itself."""

    code = Code.PEER_REFUSED


@final
class PeerMessageInvalid(TopazlugError):
    """A frame is not a valid message, or is too large."""

    code = Code.PEER_MESSAGE_INVALID


@final
class AnswerNotKept(RequestError):
    """The claimed request ran, but its answer is not available."""

    code = Code.ANSWER_NOT_KEPT
    status = HTTPStatus.CONFLICT


@final
class ClaimEnded(TopazlugError):
    """A claim was used after it was released, finished or abandoned."""

    code = Code.CLAIM_ENDED
