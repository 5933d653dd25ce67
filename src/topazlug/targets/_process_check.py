"""Confirms that a replica is still the process that the list shows.

A replica may be replaced under its id and its address by one of another
software version, and the list shows that only later. Where entries give the
start of a replica's process, the replica itself is asked for it before a
stream goes on there.
"""

from collections.abc import Callable
from collections.abc import Mapping
from typing import Protocol
from typing import final

from topazlug import _clock
from topazlug import _errors
from topazlug import _ids
from topazlug.targets import _target
from topazlug.targets import _target_client

_TIMEOUT_SECONDS = 0.25
_MAX_BODY_BYTES = 65536
_OK = 200


class ProcessReportCodec(Protocol):
    """The platform's form of a replica's report on its process."""

    path: str

    def states_start(self, target: _target.Target) -> bool:
        """Return whether a replica's entry gives the start of its process."""

    def incarnation(self, body: bytes) -> int | None:
        """Return the incarnation in a report, None if there is none."""


@final
class ProcessCheck:
    """Asks replicas which process they are.

    Parameters
    ----------
    connections : TargetConnections
        Connections to replicas.
    listed : callable
        Returns the list of replicas.
    codec : ProcessReportCodec or None
        The platform's form of the report; None if there is none.
    is_mixed : callable
        Returns whether a group has several versions. If not, replicas are
        not asked.
    clock : Clock
        Time.
    """

    def __init__(
        self,
        *,
        connections: _target_client.TargetConnections,
        listed: Callable[[], Mapping[_ids.ReplicaId, _target.Target]],
        codec: ProcessReportCodec | None,
        is_mixed: Callable[[_ids.GroupName], bool],
        clock: _clock.Clock,
    ) -> None:
        self._connections = connections
        self._listed = listed
        self._codec = codec
        self._is_mixed = is_mixed
        self._clock = clock

    def was_replaced(self, target: _target.Target) -> bool:
        """Return whether the list shows another process under its id."""
        listed = self._listed().get(target.replica)
        if listed is None:
            return False
        return _target.process_of(listed) != _target.process_of(target)

    def confirm(self, target: _target.Target) -> None:
        """Confirm that a replica is the process that it is taken for.

        Raises
        ------
        TargetRefused
            It is not, or that could not be confirmed.
        ConnectFailed
            It accepts no connection.
        """
        if self.was_replaced(target):
            raise _errors.TargetRefused(f"{target.replica} was replaced")
        if self._codec is None or not self._codec.states_start(target):
            return
        if not self._is_mixed(target.group):
            return
        try:
            incarnation = self._codec.incarnation(self._report(target))
        except _errors.RequestError as error:
            raise _errors.TargetRefused(
                f"{target.replica} does not report its start: {error.message}"
            ) from error
        if incarnation not in (None, target.incarnation):
            raise _errors.TargetRefused(
                f"{target.replica} was replaced: it reports another start "
                "than its entry"
            )

    def _report(self, target: _target.Target) -> bytes:
        assert self._codec is not None
        deadline = self._clock.monotonic() + _TIMEOUT_SECONDS
        request = _target_client.TargetRequest(
            method="GET",
            path=self._codec.path,
            headers=[("Host", f"{target.host}:{target.port}")],
            body=b"",
            request_id=_ids.RequestId("process"),
            is_probe=True,
        )
        answer = self._connections.exchange(
            target, request, head_timeout=_TIMEOUT_SECONDS, deadline=deadline
        )
        try:
            if answer.status != _OK:
                raise _errors.TargetFailed(f"status {answer.status}")
            body = bytearray()
            for chunk in answer.chunks(
                receive_timeout=_TIMEOUT_SECONDS, deadline=deadline
            ):
                body += chunk
                if len(body) > _MAX_BODY_BYTES:
                    raise _errors.TargetFailed("the report is too long")
        finally:
            answer.close()
        return bytes(body)
