"""Relaying of an engine's streamed answer, event by event.

Events are relayed as they arrive. If the engine's stream breaks, it is resumed
after the last complete event, if the engine can. If not, the caller receives a
final error event, and never the closing event.
"""

from collections.abc import Iterator
from typing import final

import logbook

from topazlug import _errors
from topazlug import _ids
from topazlug.callers import _caller_answer
from topazlug.calls import _sse
from topazlug.targets import _target_answer
from topazlug.targets import _target_client
from topazlug.targets import _targets

_log = logbook.Logger("stream")
_MAX_RESUMES = 3
_RESUME_TIMEOUT_SECONDS = 2.0


@final
class ChatStream:
    """A streamed answer of an engine.

    Parameters
    ----------
    connections : TargetConnections
        Connections to engines.
    target : Target
        The engine.
    request_id : RequestId
        The request.
    answer : TargetAnswer
        The answer, whose head has been received.
    receive_timeout : float
        Timeout in seconds for receiving the next bytes.
    deadline : float
        Monotonic seconds at which the request ends.
    """

    def __init__(
        self,
        *,
        connections: _target_client.TargetConnections,
        target: _targets.Target,
        request_id: _ids.RequestId,
        answer: _target_answer.TargetAnswer,
        receive_timeout: float,
        deadline: float,
    ) -> None:
        self._connections = connections
        self._target = target
        self._request_id = request_id
        self._receive_timeout = receive_timeout
        self._deadline = deadline
        self._reader = _sse.EventReader()
        self._has_caller_left = False
        self.answer = answer
        self.resumes = 0

    @property
    def is_complete(self) -> bool:
        """Return whether the closing event was received."""
        return self._reader.done

    @property
    def events(self) -> int:
        """Return the number of events relayed."""
        return self._reader.count

    def handle_caller_left(self) -> None:
        """Abort the answer, as its caller has left; may run in the hub."""
        self._has_caller_left = True
        self.answer.abort()

    def pieces(self) -> Iterator[bytes]:
        """Yield complete events as they arrive.

        Raises
        ------
        RequestError
            The stream broke and could not be resumed.
        """
        while True:
            try:
                yield from self._relay()
                return
            except _errors.RequestError as error:
                # The caller has left, or has the complete answer and must not
                # receive an error event after the closing one.
                if self._has_caller_left or self._reader.done:
                    self.answer.close()
                    return
                if isinstance(error, _errors.DeadlineExceeded):
                    raise
                self._resume(error)
            if self._has_caller_left:
                self.answer.close()
                return

    def _relay(self) -> Iterator[bytes]:
        chunks = self.answer.chunks(
            receive_timeout=self._receive_timeout, deadline=self._deadline
        )
        for data in chunks:
            try:
                events = self._reader.feed(data)
            except ValueError as error:
                self.answer.close()
                raise _broken_stream_error(str(error)) from error
            if events:
                yield events
        if not self._reader.done:
            raise _broken_stream_error("it ended without the closing event")

    def _resume(self, error: _errors.RequestError) -> None:
        """Resume after the last complete event, or raise the given error."""
        self.answer.close()
        self._reader.discard_partial()
        last_id = self._reader.last_id
        if last_id is None or last_id < 0 or self.resumes >= _MAX_RESUMES:
            raise error
        self.resumes += 1
        request = _target_client.TargetRequest(
            method="GET",
            path=f"/v1/streams/{self._request_id}",
            headers=[
                ("Host", f"{self._target.host}:{self._target.port}"),
                ("Last-Event-ID", str(last_id)),
            ],
            body=b"",
            request_id=self._request_id,
            fresh=True,
        )
        try:
            answer = self._connections.exchange(
                self._target,
                request,
                head_timeout=_RESUME_TIMEOUT_SECONDS,
                deadline=self._deadline,
            )
        except _errors.TopazlugError:
            raise error from None
        if answer.status != 200:
            answer.close()
            raise error
        self.answer = answer


def _broken_stream_error(why: str) -> _errors.TargetTruncated:
    return _errors.TargetTruncated(
        f"the engine's stream broke: {why}",
        outcome=_errors.Outcome.UNKNOWN,
    )


def error_event(
    error: _errors.TopazlugError, request_id: _ids.RequestId
) -> bytes:
    """Return the final event of a broken stream."""
    document = _caller_answer.error_document(error, request_id)
    return b"data: " + document + b"\n\n"
