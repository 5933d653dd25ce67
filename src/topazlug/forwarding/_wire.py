"""Platform-independent form of the headers of requests and answers.

Each platform has its own header names. Its adapter decodes them into these
types and encodes them for replicas; no other module uses the names.
"""

from collections.abc import Sequence
import enum
from typing import Protocol
from typing import final

import msgspec

from topazlug import _ids
from topazlug.targets import _target_answer
from topazlug.targets import _target_wire
from topazlug.targets import _targets

Field = tuple[str, str]


@final
class PromptPart(msgspec.Struct, frozen=True):
    """One part of a prompt; parts with the same id have the same text."""

    id: str
    tokens: int


@final
class CallHead(msgspec.Struct, frozen=True, kw_only=True):
    """Decoded head of a caller's request.

    Attributes
    ----------
    attempt : RequestId
        Id of this attempt of the caller, which replicas echo.
    key : str or None
        API key.
    caller_timeout : float or None
        Seconds that the caller waits; None if it names no timeout.
    model : str
        Model, empty if none is named.
    parts : tuple of PromptPart
        Parts of the prompt in order.
    resume_after : int or None
        Number of the last event that the caller has received.
    fields : tuple of (str, str)
        Fields that are forwarded to the replica unchanged.
    output_tokens : int
        Maximum number of tokens to generate, 0 if unknown.
    resumes : RequestId
        Attempt that brought the first event of the stream that the caller
        takes up again; empty if it names none.
    """

    attempt: _ids.RequestId
    key: str | None
    caller_timeout: float | None
    model: str
    parts: tuple[PromptPart, ...]
    resume_after: int | None
    fields: tuple[Field, ...]
    output_tokens: int = 0
    resumes: _ids.RequestId = _ids.RequestId("")


class CallerHeaderDecoder(Protocol):
    """Decodes the head of a caller's request."""

    def decode(self, fields: Sequence[Field]) -> CallHead:
        """Return the decoded head of a request; raises BadHeader."""


@final
class AttemptMetadata(msgspec.Struct, frozen=True, kw_only=True):
    """What a replica receives besides the caller's own fields.

    Attributes
    ----------
    remaining_seconds : float
        Seconds until the request's deadline.
    replica : ReplicaId
        Replica that must run the request. Another replica may have taken
        over its address in the meantime.
    team : TeamName or None
        Team of the caller.
    is_generation : bool
        Whether the request generates text from a prompt.
    priority : int
        Rank among the replica's requests, 0 first, 9 last; for generation
        only.
    resume_after : int or None
        Number of the event after which the stream continues.
    context_source : Target or None
        Replica from which the prompt's context may be copied.
    """

    remaining_seconds: float
    replica: _ids.ReplicaId
    team: _ids.TeamName | None
    is_generation: bool
    priority: int
    resume_after: int | None
    context_source: _targets.Target | None


class AnswerVerdict(enum.Enum):
    """Whether a replica's answer is genuine."""

    GENUINE = "genuine"
    NOT_GENUINE = "not-genuine"


@final
class LoadReport(msgspec.Struct, frozen=True):
    """A replica's report on its own load.

    Attributes
    ----------
    running, waiting : int
        Requests that it runs, and that wait there.
    slots : int
        Requests that it can run concurrently.
    slowness : float or None
        How long work takes there at this moment, relative to its usual time;
        None if it does not report that.
    """

    running: int
    waiting: int
    slots: int
    slowness: float | None = None


class ReplicaHeaderCodec(_target_wire.TargetWire, Protocol):
    """Encodes requests for replicas and decodes their answers."""

    def encode(self, head: CallHead, metadata: AttemptMetadata) -> list[Field]:
        """Return the fields of a request, without those of its framing."""

    def verdict(self, answer: _target_answer.TargetAnswer) -> AnswerVerdict:
        """Return whether an answer is genuine."""

    def load(self, answer: _target_answer.TargetAnswer) -> LoadReport | None:
        """Return the load that an answer reports, None if it reports none."""
