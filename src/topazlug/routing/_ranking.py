"""Rendezvous hashing: ranking of candidates without coordination.

Every daemon computes the same ranking from the same set of candidates. When a
candidate leaves, only the keys that it was first for move; when one joins, it
takes only its share [1]_.

.. [1] Thaler, Ravishankar, "Using name-based mappings to increase hit
   rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

from collections.abc import Iterable
import heapq

import xxhash

from topazlug import _ids


def chat_hash(*parts: str) -> _ids.ChatHash:
    """Return the hash of the parts that identify a chat or another key.

    Parameters
    ----------
    *parts : str
        Values that stay the same for all turns of the chat. Keys of other
        kinds start with the name of their kind.

    Returns
    -------
    ChatHash
        64-bit hash.
    """
    joined = "\x00".join(parts)
    return _ids.ChatHash(xxhash.xxh3_64_intdigest(joined.encode()))


def score(candidate: bytes, seed: int) -> int:
    """Return a candidate's 64-bit score for the hash of a key."""
    return xxhash.xxh3_64_intdigest(candidate, seed)


def rank(candidates: Iterable[str], seed: int, *, count: int) -> list[str]:
    """Return the highest-ranked candidates for a key.

    Parameters
    ----------
    candidates : iterable of str
        Names of the candidates.
    seed : int
        64-bit hash of the key.
    count : int
        Maximum number of candidates to return.

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
    """Return the highest-ranked candidate, or None if there is none."""
    best = rank(candidates, seed, count=1)
    return best[0] if best else None
