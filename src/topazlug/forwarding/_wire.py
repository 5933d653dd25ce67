"""What a request says on the wire, in the project's own words.

A platform names its headers as it likes. Its adapter decodes them once into
these types and encodes them for replicas; nothing else knows the names.
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
    """One part of a prompt; parts with one id are the same text."""

    id: str
    tokens: int


@final
class CallHead(msgspec.Struct, frozen=True, kw_only=True):
    """What the head of a caller's request says.

    Attributes
    ----------
    attempt : RequestId
        Names this attempt of the caller; replicas echo it.
    key : str or None
        API key.
    caller_timeout : float or None
        Seconds that the caller waits.
    model : str
        Model, empty when none is named.
    parts : tuple of PromptPart
        Parts of the prompt in order.
    resume_after : int or None
        Number of the last event that the caller has.
    fields : tuple of (str, str)
        Fields that go on to the replica as they are.
    """

    attempt: _ids.RequestId
    key: str | None
    caller_timeout: float | None
    model: str
    parts: tuple[PromptPart, ...]
    resume_after: int | None
    fields: tuple[Field, ...]


class CallerWire(Protocol):
    """Decodes the head of a caller's request."""

    def decode(self, fields: Sequence[Field]) -> CallHead:
        """Give what the fields say; raises BadHeader."""


@final
class AttemptMetadata(msgspec.Struct, frozen=True, kw_only=True):
    """What one attempt tells a replica beside the caller's own fields.

    Attributes
    ----------
    remaining_seconds : float
        Seconds until the request ends.
    replica : ReplicaId
        Which replica must run it, whoever has its address now.
    team : TeamName or None
        Who calls.
    is_generation : bool
        Whether the replica generates from a prompt.
    priority : int
        Rank among requests of a generating replica, 0 first, 9 last.
    resume_after : int or None
        Event after which the stream goes on.
    context_source : Target or None
        Replica that may hold the prompt's context.
    """

    remaining_seconds: float
    replica: _ids.ReplicaId
    team: _ids.TeamName | None
    is_generation: bool
    priority: int
    resume_after: int | None
    context_source: _targets.Target | None


class AnswerVerdict(enum.Enum):
    """What a replica's answer is."""

    GENUINE = "genuine"
    NOT_GENUINE = "not-genuine"


@final
class LoadReport(msgspec.Struct, frozen=True):
    """A replica's own word on its load."""

    running: int
    waiting: int
    slots: int


class ReplicaWire(_target_wire.TargetWire, Protocol):
    """Encodes requests for replicas and decodes their answers."""

    def encode(self, head: CallHead, metadata: AttemptMetadata) -> list[Field]:
        """Give the fields of a request, without those of its framing."""

    def verdict(self, answer: _target_answer.TargetAnswer) -> AnswerVerdict:
        """Say what an answer is."""

    def load(self, answer: _target_answer.TargetAnswer) -> LoadReport | None:
        """Give the load that an answer reports, if it does."""
