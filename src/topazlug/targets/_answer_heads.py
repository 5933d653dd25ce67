"""Reads up to the head of a target's answer to one's own request."""

from typing import final

from gevent import socket

from topazlug import _clock
from topazlug import _errors
from topazlug import _ids
from topazlug.targets import _target_answer

_MAX_HEAD = 65536
_MAX_SKIPPED = 65536
_HEAD_END = b"\r\n\r\n"


@final
class HeadReader:
    """Finds the answer to a request among what a connection brings.

    Parameters
    ----------
    id_header : str
        In which targets echo a request's id.
    clock : Clock
        Time.
    """

    def __init__(self, *, id_header: str, clock: _clock.Clock) -> None:
        self._id_header = id_header.lower()
        self._clock = clock

    def read(
        self,
        connection: socket.socket,
        *,
        method: str,
        request_id: _ids.RequestId,
        end: float,
        previous: _ids.RequestId | None,
    ) -> _target_answer.AnswerParser:
        """Read up to the head of the answer to this request.

        A faulty target may answer a request twice, and the second answer
        arrives where the next request's answer is due. It bears the id of
        the connection's previous request; it is read to its end and dropped,
        so that the next request gets its own answer instead of a failure.
        Any other id fails the request at once: its answer will not come.

        Parameters
        ----------
        connection : socket
            Where the request was sent.
        method : str
            The request's.
        request_id : RequestId
            What the answer's head must bear, if any.
        end : float
            Monotonic seconds at which the wait is over.
        previous : RequestId or None
            Whose answer may come again.

        Raises
        ------
        TargetFailed
            What comes is no answer to this request.
        OSError, HTTPParseError
            The connection broke, or the time is over.
        """
        parser = _target_answer.AnswerParser(method=method)
        pending = b""
        size = 0
        while True:
            head, separator, rest = pending.partition(_HEAD_END)
            if not separator:
                if len(pending) > _MAX_HEAD:
                    raise target_failed("the head of the answer is too long")
                connection.settimeout(self._left(end))
                data = connection.recv(_target_answer.BLOCK)
                if not data:
                    raise target_failed(
                        "the connection ended before the answer"
                    )
                pending += data
                continue
            size += len(head)
            if size > _MAX_HEAD:
                raise target_failed("the heads of the answer are too long")
            parser.feed(head + separator)
            pending = rest
            if parser.final_status < _target_answer.FINAL:
                continue
            echoed = self._echoed(parser)
            if not echoed - {request_id}:
                # No bytes would tell the parser that the connection ended.
                if rest:
                    parser.feed(rest)
                return parser
            if echoed != {previous}:
                raise target_failed("the answer belongs to another request")
            pending = self._skip(connection, parser, rest, end)
            parser = _target_answer.AnswerParser(method=method)

    def _echoed(self, parser: _target_answer.AnswerParser) -> set[str]:
        wanted = self._id_header
        return {
            value for name, value in parser.items() if name.lower() == wanted
        }

    def _skip(
        self,
        connection: socket.socket,
        parser: _target_answer.AnswerParser,
        rest: bytes,
        end: float,
    ) -> bytes:
        """Drop a foreign answer's body and give the bytes after it.

        The parser does not tell where a message ended inside of a block, so
        it gets the bytes one by one.
        """
        skipped = 0
        while not parser.message_complete:
            if skipped > _MAX_SKIPPED:
                raise target_failed("the answer belongs to another request")
            if not rest:
                connection.settimeout(self._left(end))
                rest = connection.recv(_target_answer.BLOCK)
                if not rest:
                    raise target_failed(
                        "the answer belongs to another request"
                    )
            parser.feed(rest[:1])
            rest = rest[1:]
            skipped += 1
        if parser.should_close():
            raise target_failed("the answer belongs to another request")
        return rest

    def _left(self, end: float) -> float:
        return max(0.0, end - self._clock.monotonic())


def target_failed(why: str) -> _errors.TargetFailed:
    """Give the error for a request that got no proper answer."""
    return _errors.TargetFailed(
        f"the target failed: {why}", outcome=_errors.Outcome.UNKNOWN
    )
