"""Asks replicas which contexts they hold."""

from typing import Protocol
from typing import final

from topazlug import _clock
from topazlug import _errors
from topazlug import _ids
from topazlug.capacity import _context_recovery
from topazlug.targets import _target_client
from topazlug.targets import _targets

# An engine holds some hundred contexts, with some 60 bytes each in its
# answer. At 5 Mbit/s, this many bytes don't arrive before the timeout.
_MAX_BODY_BYTES = 512 * 1024
_OK = 200


class ContextListCodec(Protocol):
    """The platform's form of a list of contexts."""

    path: str

    def fields(self, target: _targets.Target) -> list[tuple[str, str]]:
        """Return the fields of the request, without those of its framing."""

    def decode(self, body: bytes) -> list[_context_recovery.HeldContext]:
        """Return the contexts; raises MalformedContextList."""


class ContextLister(Protocol):
    """Asks a replica which contexts it holds."""

    def list_contexts(
        self, target: _targets.Target
    ) -> list[_context_recovery.HeldContext]:
        """Return the contexts that a replica holds.

        Raises
        ------
        TopazlugError
            The replica did not answer in time, or not validly.
        """


@final
class MalformedContextList(_errors.TopazlugError):
    """A replica's list of contexts can't be read."""

    code = _errors.Code.TARGET_FAILED


@final
class ConnectionContextLister:
    """Asks replicas over the daemon's connections to them.

    Parameters
    ----------
    connections : TargetConnections
        Connections to replicas.
    codec : ContextListCodec
        The platform's form of the list.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        *,
        connections: _target_client.TargetConnections,
        codec: ContextListCodec,
        clock: _clock.Clock,
    ) -> None:
        self._connections = connections
        self._codec = codec
        self._clock = clock

    def list_contexts(
        self, target: _targets.Target
    ) -> list[_context_recovery.HeldContext]:
        """Return the contexts that a replica holds.

        Raises
        ------
        TopazlugError
            The replica did not answer in time, or not validly.
        """
        timeout = _context_recovery.ATTEMPT_TIMEOUT_SECONDS
        deadline = self._clock.monotonic() + timeout
        request = _target_client.TargetRequest(
            method="GET",
            path=self._codec.path,
            headers=[
                ("Host", f"{target.host}:{target.port}"),
                *self._codec.fields(target),
            ],
            body=b"",
            request_id=_ids.RequestId("contexts"),
            fresh=True,
            is_probe=True,
        )
        answer = self._connections.exchange(
            target, request, head_timeout=timeout, deadline=deadline
        )
        try:
            if answer.status != _OK:
                raise MalformedContextList(f"status {answer.status}")
            body = bytearray()
            for chunk in answer.chunks(
                receive_timeout=timeout, deadline=deadline
            ):
                body += chunk
                if len(body) > _MAX_BODY_BYTES:
                    raise MalformedContextList("the list is too long")
        finally:
            answer.close()
        return self._codec.decode(bytes(body))
