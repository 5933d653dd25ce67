"""Helpers shared by the WSGI applications of the project."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any
from typing import final

from topazlug.callers import _caller_answer

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


@final
class AnswerBody:
    """Body of an answer; calls back once when the answer has ended."""

    def __init__(self, *, on_end: Callable[[], None] | None = None) -> None:
        self.pieces: Iterator[bytes] = iter(())
        self._on_end = on_end

    def __iter__(self) -> Iterator[bytes]:
        return self.pieces

    def close(self) -> None:
        """End the answer, complete or not."""
        on_end, self._on_end = self._on_end, None
        try:
            close = getattr(self.pieces, "close", None)
            if close is not None:
                close()
        finally:
            if on_end is not None:
                on_end()


def respond(
    make_answer: Callable[[], _caller_answer.CallerAnswer],
    start_response: StartResponse,
    *,
    is_head: bool,
    on_end: Callable[[], None],
) -> Iterable[bytes]:
    """Pass an answer to the WSGI server and return its body.

    Parameters
    ----------
    make_answer : callable
        Returns the answer.
    start_response : callable
        The server's ``start_response``.
    is_head : bool
        Whether only the head is sent.
    on_end : callable
        Called once when the answer has ended, complete or not.
    """
    body = AnswerBody(on_end=on_end)
    try:
        caller_answer = make_answer()
        body.pieces = caller_answer.body
        start_response(
            _caller_answer.status_line(caller_answer.status),
            caller_answer.headers,
        )
    except BaseException:
        body.close()
        raise
    if is_head:
        # The caller would parse bytes after this head as the next answer.
        body.close()
        return AnswerBody()
    return body
