"""Prefix cache of a model engine: an LRU over chains of messages."""

import collections
import hashlib
import json
from typing import Any
from typing import Sequence
from typing import final

import msgspec

CHARACTERS_PER_TOKEN = 4


@final
class Link(msgspec.Struct, frozen=True, kw_only=True):
    """A message, keyed by the hash of all up to it."""

    key: bytes
    tokens: int


def text_of(message: Any) -> str:
    """Return a message's content as text."""
    content = message.get("content") if isinstance(message, dict) else message
    return content if isinstance(content, str) else json.dumps(content)


def token_count(text: str) -> int:
    """Return the estimated tokens of `text`."""
    return len(text) // CHARACTERS_PER_TOKEN + 1


def extended(chain: Sequence[Link], role: str, text: str) -> list[Link]:
    """Return `chain` with one more message."""
    before = chain[-1].key if chain else b""
    digest = hashlib.blake2b(before, digest_size=16)
    digest.update(f"{role}\0{text}".encode("utf-8", "surrogatepass"))
    link = Link(key=digest.digest(), tokens=token_count(text))
    return [*chain, link]


def chain_of(messages: Sequence[Any]) -> list[Link]:
    """Return the chain of a request's messages."""
    chain: list[Link] = []
    for message in messages:
        role = message.get("role", "") if isinstance(message, dict) else ""
        chain = extended(chain, str(role), text_of(message))
    return chain


@final
class PrefixCache:
    """Least recently used prefixes, bounded by their tokens.

    Parameters
    ----------
    capacity
        Tokens held at most.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._tokens = 0
        self._tokens_by_key: collections.OrderedDict[bytes, int]
        self._tokens_by_key = collections.OrderedDict()

    def cached_tokens(self, chain: Sequence[Link]) -> int:
        """Return the tokens of the longest prefix that is held."""
        tokens = 0
        for link in chain:
            if link.key not in self._tokens_by_key:
                break
            tokens += link.tokens
        return tokens

    def add(self, chain: Sequence[Link]) -> None:
        """Hold all of `chain`, and drop what was used longest ago."""
        # From the end: the head of a chain is then the younger, and a
        # tail without its head, which no look-up reaches, never stays.
        for link in reversed(chain):
            if link.key not in self._tokens_by_key:
                self._tokens += link.tokens
                self._tokens_by_key[link.key] = link.tokens
            self._tokens_by_key.move_to_end(link.key)
        while self._tokens > self._capacity:
            _, tokens = self._tokens_by_key.popitem(last=False)
            self._tokens -= tokens
