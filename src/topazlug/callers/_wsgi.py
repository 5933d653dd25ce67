"""What WSGI applications of this project share."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any
from typing import final

from topazlug.callers import _caller_answer

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


@final
class AnswerBody:
    """An answer's pieces; tells when the answer has ended, however."""

    def __init__(self, *, ended: Callable[[], None] | None = None) -> None:
        self.pieces: Iterator[bytes] = iter(())
        self._ended = ended

    def __iter__(self) -> Iterator[bytes]:
        return self.pieces

    def close(self) -> None:
        """End the answer, whole or not."""
        ended, self._ended = self._ended, None
        try:
            close = getattr(self.pieces, "close", None)
            if close is not None:
                close()
        finally:
            if ended is not None:
                ended()


def respond(
    answer: Callable[[], _caller_answer.CallerAnswer],
    start: StartResponse,
    *,
    is_head: bool,
    ended: Callable[[], None],
) -> Iterable[bytes]:
    """Hand an answer to the WSGI server.

    Parameters
    ----------
    answer : callable
        Makes the answer.
    start : callable
        The server's ``start_response``.
    is_head : bool
        Whether the request asks for the head only.
    ended : callable
        Called once when the answer has ended, however.
    """
    body = AnswerBody(ended=ended)
    try:
        made = answer()
        body.pieces = made.body
        start(_caller_answer.status_line(made.status), made.headers)
    except BaseException:
        body.close()
        raise
    if is_head:
        # Bytes after this head would be read as the next answer.
        body.close()
        return AnswerBody()
    return body
