"""Rendezvous hashing: who comes first for a name, without any agreement.

Every daemon computes the same order from the same set of candidates. When a
candidate leaves, only the names that it held move; when one joins, it takes
only its share [1]_.

.. [1] Thaler, Ravishankar, "Using name-based mappings to increase hit
   rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

from collections.abc import Iterable
import heapq

import xxhash

from topazlug import _ids


def chat_hash(*parts: str) -> _ids.ChatHash:
    """Hash what names a chat.

    Parameters
    ----------
    *parts : str
        What stays the same through a conversation.

    Returns
    -------
    ChatHash
        64-bit number.
    """
    joined = "\x00".join(parts)
    return _ids.ChatHash(xxhash.xxh3_64_intdigest(joined.encode()))


def score(candidate: bytes, seed: int) -> int:
    """Give the candidate's 64-bit score for a name already hashed."""
    return xxhash.xxh3_64_intdigest(candidate, seed)


def rank(candidates: Iterable[str], seed: int, *, count: int) -> list[str]:
    """Give the first candidates in a name's order.

    Parameters
    ----------
    candidates : iterable of str
        Names of the candidates.
    seed : int
        64-bit hash of the name that is ranked.
    count : int
        How many are wanted.

    Returns
    -------
    list of str
        At most `count` candidates, best first.
    """
    digest = xxhash.xxh3_64_intdigest
    scored = [(digest(name.encode(), seed), name) for name in candidates]
    best = heapq.nlargest(count, scored)
    return [name for _, name in best]


def first(candidates: Iterable[str], seed: int) -> str | None:
    """Give the best candidate, or None when there is none."""
    best = rank(candidates, seed, count=1)
    return best[0] if best else None
