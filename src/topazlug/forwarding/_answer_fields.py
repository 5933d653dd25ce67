"""Fields of an answer that are passed on to the caller."""

from topazlug.forwarding import _wire
from topazlug.targets import _target_answer

# Fields that apply to one connection only (RFC 9110, 7.6.1).
_HOP_BY_HOP_FIELDS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def forwarded_fields(
    answer: _target_answer.TargetAnswer, *, keep_length: bool
) -> list[_wire.Field]:
    """Return the fields of a replica's answer that the caller receives."""
    removed = set(_HOP_BY_HOP_FIELDS)
    for value in answer.header_values("Connection"):
        removed.update(name.strip().lower() for name in value.split(","))
    if not keep_length:
        removed.add("content-length")
    return [
        (name, value)
        for name, value in answer.headers
        if name.lower() not in removed
    ]
