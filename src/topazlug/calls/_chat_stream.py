"""Relays one streamed answer of an engine, event by event.

The bytes go on as they come. When the engine's stream breaks, it is
continued after the last whole event where the engine can; where it can't,
the caller gets a final error event and never the closing one.
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
_RESUME_TIMEOUT = 2.0


@final
class ChatStream:
    """One streamed answer.

    Parameters
    ----------
    connections : TargetConnections
        Connections to engines.
    target : Target
        The engine.
    request_id : RequestId
        The request.
    answer : TargetAnswer
        The answer whose head has arrived.
    receive_timeout : float
        Seconds without a byte that count as silence.
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
        self._silence = receive_timeout
        self._deadline = deadline
        self._reader = _sse.EventReader()
        self._left = False
        self.answer = answer
        self.resumes = 0

    @property
    def is_whole(self) -> bool:
        """Say whether the closing event came."""
        return self._reader.done

    @property
    def events(self) -> int:
        """Give the events passed on."""
        return self._reader.count

    def caller_left(self) -> None:
        """Break the engine's connection; may be called from the hub."""
        self._left = True
        self.answer.abort()

    def pieces(self) -> Iterator[bytes]:
        """Give whole events as they come.

        Raises
        ------
        RequestError
            The stream broke and could not be continued.
        """
        while True:
            try:
                yield from self._relay()
                return
            except _errors.RequestError as error:
                # Nobody is left to hear of it, or the caller has it whole:
                # an error event after the closing one would deny that.
                if self._left or self._reader.done:
                    self.answer.close()
                    return
                if isinstance(error, _errors.DeadlineExceeded):
                    raise
                self._resume(error)
            if self._left:
                self.answer.close()
                return

    def _relay(self) -> Iterator[bytes]:
        chunks = self.answer.chunks(
            receive_timeout=self._silence, deadline=self._deadline
        )
        for data in chunks:
            try:
                events = self._reader.feed(data)
            except ValueError as error:
                self.answer.close()
                raise _torn(str(error)) from error
            if events:
                yield events
        if not self._reader.done:
            raise _torn("it ended without the closing event")

    def _resume(self, error: _errors.RequestError) -> None:
        """Continue after the last whole event, or raise what broke it."""
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
                head_timeout=_RESUME_TIMEOUT,
                deadline=self._deadline,
            )
        except _errors.TopazlugError:
            raise error from None
        if answer.status != 200:
            answer.close()
            raise error
        self.answer = answer


def _torn(why: str) -> _errors.TargetTruncated:
    return _errors.TargetTruncated(
        f"the engine's stream broke: {why}",
        outcome=_errors.Outcome.UNKNOWN,
    )


def error_event(
    error: _errors.TopazlugError, request_id: _ids.RequestId
) -> bytes:
    """Give the final event of a stream that broke."""
    document = _caller_answer.error_document(error, request_id)
    return b"data: " + document + b"\n\n"
