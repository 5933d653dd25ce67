"""What of an answer goes on between a plain service and its caller."""

from collections.abc import Iterator

from topazlug import _errors
from topazlug.targets import _target_answer

_MAX_KEPT_WHOLE = 16 << 20
_BODYLESS = (204, 304)
# Fields that describe one connection (RFC 9110, 7.6.1), the caller's own
# credentials, and the names that only this daemon may set.
NOT_PASSED_ON = frozenset(
    {
        "connection",
        "keep-alive",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "proxy-authorization",
        "proxy-authenticate",
        "authorization",
        "content-length",
        "host",
        "expect",
        "x-request-id",
        "x-fencing-number",
        "x-priority",
    }
)


def passed_back(
    answer: _target_answer.TargetAnswer,
) -> list[tuple[str, str]]:
    """Give the fields of an answer that its caller gets."""
    return [
        (name, value)
        for name, value in answer.headers
        if name.lower() not in NOT_PASSED_ON
        and not name.lower().startswith(("x-target-", "topazlug-"))
    ]


def length(status: int, size: int) -> list[tuple[str, str]]:
    """Give the field of a body's length, where there is a body."""
    return [] if status in _BODYLESS else [("Content-Length", str(size))]


def read_whole(chunks: Iterator[bytes]) -> bytes:
    """Read an answer that is kept; raises TargetFailed on a huge one."""
    blocks: list[bytes] = []
    size = 0
    for block in chunks:
        size += len(block)
        if size > _MAX_KEPT_WHOLE:
            raise _errors.TargetFailed(
                "the answer of a claimed request is too long",
                outcome=_errors.Outcome.UNKNOWN,
            )
        blocks.append(block)
    return b"".join(blocks)
