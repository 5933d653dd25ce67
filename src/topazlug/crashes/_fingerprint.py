"""Fingerprints, by which repeated requests and prompt parts are recognized."""

from collections.abc import Sequence
import functools
import hashlib

from topazlug import _ids

# 96 bits, 24 characters: accidental collisions within a fleet are negligible,
# and nobody can construct a request with the fingerprint of another.
_DIGEST_BYTES = 12
_PART_PREFIX = "part-"
# Bounds what a request with thousands of parts adds to each crash record.
MAX_PARTS = 32
_MAX_CACHED_PARTS = 4096


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


def part_fingerprints(
    group: _ids.GroupName, parts: Sequence[str]
) -> tuple[_ids.Fingerprint, ...]:
    """Return the fingerprints of the prompt parts that requests can share.

    The last part belongs to the request itself and is left out.

    Parameters
    ----------
    group : GroupName
        Group whose replicas run the request. Another group may run other
        software, which the same part does not crash.
    parts : sequence of str
        Ids of the parts of the prompt, in order.
    """
    shared = dict.fromkeys(parts[:-1][:MAX_PARTS])
    return tuple(_part_fingerprint(group, part) for part in shared)


@functools.lru_cache(maxsize=_MAX_CACHED_PARTS)
def _part_fingerprint(group: _ids.GroupName, part: str) -> _ids.Fingerprint:
    text = f"{len(group)}\n{group}\n{part}"
    digest = hashlib.blake2b(
        text.encode("utf-8", "surrogateescape"), digest_size=_DIGEST_BYTES
    )
    return _ids.Fingerprint(f"{_PART_PREFIX}{digest.hexdigest()}")


def is_part(fingerprint: _ids.Fingerprint) -> bool:
    """Return whether a fingerprint is that of a prompt part."""
    return fingerprint.startswith(_PART_PREFIX)
