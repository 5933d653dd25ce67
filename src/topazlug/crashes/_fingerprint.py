"""Tells that two requests are the same one, sent again."""

import hashlib

from topazlug import _ids

# 96 bits, 24 characters: no two requests of a fleet come to the same by
# chance, and nobody can make one that comes to another's.
_DIGEST_BYTES = 12


def fingerprint(
    *, method: str, host: str, path: str, team: _ids.TeamName, body: bytes
) -> _ids.Fingerprint:
    """Give what a request has in common with its repeats.

    A repeat comes under an id of its own and at any daemon; who sends it,
    where to and what it says stay the same.

    Parameters
    ----------
    method, host, path : str
        As the caller sent them, the path with its query.
    team : TeamName
        Who calls, empty where no key is asked for.
    body : bytes
        Whole body.
    """
    head = "\n".join((method, host.lower(), path, team))
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    digest.update(f"{len(head)}\n{head}".encode("utf-8", "surrogateescape"))
    digest.update(body)
    return _ids.Fingerprint(digest.hexdigest())
