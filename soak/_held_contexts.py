"""The list of contexts that a replica holds, and how its answer may fail."""

import random
import time
from typing import Any

import gevent

from standins import _http

PATH = "/v1/kv-list"
# Longer than the half second after which an owner gives an attempt up.
_LATE_SECONDS = 0.7
_FAULT_PROBABILITY = 0.5


class HeldContexts:
    """The prompt parts that one replica holds.

    Parameters
    ----------
    seed : int
        Determines which answers fail, and how.
    """

    def __init__(self, *, seed: int) -> None:
        self._random = random.Random(f"held contexts {seed}")
        self._epoch = int(time.time())
        self._tokens_by_part: dict[tuple[str, str], int] = {}

    def add(self, request: _http.Request) -> None:
        """Record that the prompt of a request has been read."""
        model = request.header("X-Model")
        parts = request.header("X-Prompt-Prefix")
        for part in parts.split(",") if parts else ():
            name, _, tokens = part.partition(":")
            self._tokens_by_part[model, name] = int(tokens)

    def answer(self) -> _http.Answer:
        """Return the list, or an answer that fails in one of several ways."""
        if self._random.random() >= _FAULT_PROBABILITY:
            return self._complete()
        fault = self._random.choice(
            [self._late, self._malformed, self._empty, self._error]
        )
        return fault()

    def _complete(self) -> _http.Answer:
        held = [
            ["", name, tokens, model]
            for (model, name), tokens in self._tokens_by_part.items()
        ]
        return self._list(held)

    def _list(self, held: list[Any]) -> _http.Answer:
        document = {"epoch": self._epoch, "next": len(held), "held": held}
        return _http.json_answer(200, document)

    def _late(self) -> _http.Answer:
        gevent.sleep(_LATE_SECONDS)
        return self._complete()

    def _malformed(self) -> _http.Answer:
        return self._random.choice(
            [
                _http.bytes_answer(200, b'{"epoch": 1, "next": 2, "hel'),
                _http.json_answer(200, ["held"]),
                self._list([["", "not hexadecimal", -1, ""], ["", "a1"], 7]),
                _http.truncate(self._complete()),
            ]
        )

    def _empty(self) -> _http.Answer:
        return self._list([])

    def _error(self) -> _http.Answer:
        return _http.json_answer(500, {})
