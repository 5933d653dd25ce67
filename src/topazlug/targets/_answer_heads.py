"""Reading of the head of a target's answer."""

from typing import final

from gevent import socket

from topazlug import _clock
from topazlug import _errors
from topazlug import _ids
from topazlug.targets import _framing_bound
from topazlug.targets import _target_answer

_MAX_HEAD = 65536
# Bytes of repeated answers that are discarded before an answer.
_MAX_SKIPPED = 65536
_HEAD_END = b"\r\n\r\n"
# The lowest status of an interim answer; what is lower is no status.
_MIN_STATUS = 100


@final
class HeadReader:
    """Reads the head of the answer that belongs to a request.

    Parameters
    ----------
    id_header : str
        Header in which targets echo a request's id.
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
        """Read the head of the answer to a request.

        A faulty target may answer a request twice. The second answer arrives
        when the next request's answer is expected, and carries the id of the
        connection's previous request. It is read to its end and discarded, so
        that the next request gets its own answer instead of a failure. With
        any other id the request fails at once, as its answer will not come.

        Parameters
        ----------
        connection : socket
            Connection that the request was sent on.
        method : str
            The request's method.
        request_id : RequestId
            Id that the answer must have, if it has one.
        end : float
            Monotonic seconds at which the read times out.
        previous : RequestId or None
            Previous request, if its answer may be repeated.

        Raises
        ------
        TargetFailed
            No valid answer to this request arrived.
        OSError, HTTPParseError
            The connection broke, timed out or delivered invalid HTTP.
        """
        parser = _target_answer.AnswerParser(method=method)
        framing = _framing_bound.FramingBound(clock=self._clock)
        pending = b""
        size = 0
        skipped = 0
        while True:
            head, separator, rest = pending.partition(_HEAD_END)
            if not separator:
                if framing.is_exceeded:
                    raise target_failed_error(
                        f"the head of the answer had no end after "
                        f"{framing.size} bytes"
                    )
                connection.settimeout(self._remaining(end))
                data = connection.recv(_target_answer.RECEIVE_BYTES)
                if not data:
                    raise target_failed_error(
                        "the connection ended before the answer"
                    )
                pending += data
                framing.add(len(data))
                continue
            size += len(head)
            if size > _MAX_HEAD:
                raise target_failed_error(
                    "the heads of the answer are too long"
                )
            parser.feed(head + separator)
            pending = rest
            if parser.final_status < _MIN_STATUS:
                raise target_failed_error(
                    f"the answer has the status {parser.final_status:03}"
                )
            if parser.final_status < _target_answer.MIN_FINAL_STATUS:
                continue
            echoed = self._echoed(parser)
            if not echoed - {request_id}:
                # Feeding no bytes would signal the end of the connection.
                if rest:
                    parser.feed(rest)
                return parser
            if echoed != {previous}:
                raise target_failed_error(
                    "the answer belongs to another request"
                )
            pending, count = self._skip(
                connection, parser, rest, end, limit=_MAX_SKIPPED - skipped
            )
            skipped += count
            framing.reset()
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
        *,
        limit: int,
    ) -> tuple[bytes, int]:
        """Discard the body of a repeated answer.

        Returns the bytes after it, and the number of those discarded.

        The parser does not report at which byte of a block a message ended,
        so it is fed one byte at a time.
        """
        skipped = 0
        while not parser.message_complete:
            if skipped > limit:
                raise target_failed_error(
                    "the answer belongs to another request"
                )
            if not rest:
                connection.settimeout(self._remaining(end))
                rest = connection.recv(_target_answer.RECEIVE_BYTES)
                if not rest:
                    raise target_failed_error(
                        "the answer belongs to another request"
                    )
            parser.feed(rest[:1])
            rest = rest[1:]
            skipped += 1
        if parser.should_close():
            raise target_failed_error("the answer belongs to another request")
        return rest, skipped

    def _remaining(self, end: float) -> float:
        return max(0.0, end - self._clock.monotonic())


def target_failed_error(why: str) -> _errors.TargetFailed:
    """Return the error for a request without a valid answer."""
    return _errors.TargetFailed(
        f"the target failed: {why}", outcome=_errors.Outcome.UNKNOWN
    )
