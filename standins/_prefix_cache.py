"""Prefix cache of a model engine: an LRU cache of message chains."""

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
    """A message, keyed by the hash of the chain up to and including it."""

    key: bytes
    tokens: int


def message_text(message: Any) -> str:
    """Return a message's content as text."""
    content = message.get("content") if isinstance(message, dict) else message
    return content if isinstance(content, str) else json.dumps(content)


def token_count(text: str) -> int:
    """Return the estimated number of tokens of `text`."""
    return len(text) // CHARACTERS_PER_TOKEN + 1


def extend_chain(chain: Sequence[Link], role: str, text: str) -> list[Link]:
    """Return `chain` with a message appended."""
    before = chain[-1].key if chain else b""
    digest = hashlib.blake2b(before, digest_size=16)
    digest.update(f"{role}\0{text}".encode("utf-8", "surrogatepass"))
    link = Link(key=digest.digest(), tokens=token_count(text))
    return [*chain, link]


def parse_chain(messages: Sequence[Any]) -> list[Link]:
    """Return the chain of a request's messages."""
    chain: list[Link] = []
    for message in messages:
        role = message.get("role", "") if isinstance(message, dict) else ""
        chain = extend_chain(chain, str(role), message_text(message))
    return chain


@final
class PrefixCache:
    """LRU cache of prefixes, bounded by their number of tokens.

    Parameters
    ----------
    capacity
        Maximum number of tokens in the cache.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._tokens = 0
        self._tokens_by_key: collections.OrderedDict[bytes, int]
        self._tokens_by_key = collections.OrderedDict()

    def cached_tokens(self, chain: Sequence[Link]) -> int:
        """Return the number of tokens of the longest cached prefix."""
        tokens = 0
        for link in chain:
            if link.key not in self._tokens_by_key:
                break
            tokens += link.tokens
        return tokens

    def add(self, chain: Sequence[Link]) -> None:
        """Add `chain`, and evict the least recently used links."""
        # In reverse, so that the head of a chain is evicted after its tail:
        # a lookup can't reach a tail without its head.
        for link in reversed(chain):
            if link.key not in self._tokens_by_key:
                self._tokens += link.tokens
                self._tokens_by_key[link.key] = link.tokens
            self._tokens_by_key.move_to_end(link.key)
        while self._tokens > self._capacity:
            _, tokens = self._tokens_by_key.popitem(last=False)
            self._tokens -= tokens
