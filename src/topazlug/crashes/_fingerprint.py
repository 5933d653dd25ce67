"""Fingerprints, by which a repeated request is recognized."""

import hashlib

from topazlug import _ids

# 96 bits, 24 characters: accidental collisions within a fleet are negligible,
# and nobody can construct a request with the fingerprint of another.
_DIGEST_BYTES = 12


def fingerprint(
    *, method: str, host: str, path: str, team: _ids.TeamName, body: bytes
) -> _ids.Fingerprint:
    """Return the fingerprint that a request shares with its repeats.

    A repeat has its own request id and may arrive at any daemon. Its team,
    method, host, path and body are the same.

    Parameters
    ----------
    method, host, path : str
        As sent by the caller; the path includes the query.
    team : TeamName
        Team of the caller; empty where no API key is required.
    body : bytes
        Complete body.
    """
    head = "\n".join((method, host.lower(), path, team))
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    digest.update(f"{len(head)}\n{head}".encode("utf-8", "surrogateescape"))
    digest.update(body)
    return _ids.Fingerprint(digest.hexdigest())
