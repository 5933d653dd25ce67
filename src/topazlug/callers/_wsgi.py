"""What WSGI applications of this project share."""

from collections.abc import Callable
from collections.abc import Iterator
from typing import Any
from typing import final

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
