"""Headers and bodies relayed between a plain service and its caller."""

from collections.abc import Iterator

from topazlug import _errors
from topazlug.callers import _memory_budget
from topazlug.targets import _target_answer

_MAX_KEPT_ANSWER_BYTES = 16 << 20
_BODYLESS_STATUSES = (204, 304)
# Fields that describe a single connection (RFC 9110, 7.6.1), the caller's
# credentials, and fields that only this daemon may set.
UNRELAYED_HEADERS = frozenset(
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


def relayed_headers(
    answer: _target_answer.TargetAnswer,
) -> list[tuple[str, str]]:
    """Return the header fields of an answer that are sent to the caller."""
    return [
        (name, value)
        for name, value in answer.headers
        if name.lower() not in UNRELAYED_HEADERS
        and not name.lower().startswith(("x-target-", "topazlug-"))
    ]


def content_length_headers(status: int, size: int) -> list[tuple[str, str]]:
    """Return the `Content-Length` field, if the status allows a body."""
    return (
        [] if status in _BODYLESS_STATUSES else [("Content-Length", str(size))]
    )


def read_bounded(
    chunks: Iterator[bytes], holding: _memory_budget.Holding | None
) -> bytes:
    """Read an answer that will be kept.

    Raises
    ------
    TargetFailed
        The answer is longer than `_MAX_KEPT_ANSWER_BYTES`, or than callers
        may make the daemon hold.
    """
    blocks: list[bytes] = []
    size = 0
    for block in chunks:
        size += len(block)
        has_room = _memory_budget.may_buffer(holding, len(block))
        if size > _MAX_KEPT_ANSWER_BYTES or not has_room:
            raise _errors.TargetFailed(
                f"there is no room for {size} bytes of the answer of a"
                " claimed request",
                outcome=_errors.Outcome.UNKNOWN,
            )
        blocks.append(block)
    return b"".join(blocks)
