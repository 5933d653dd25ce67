"""Reads the head of a caller's request within bounds and checks it strictly.

The library's parser is lenient: it treats a bare line break inside a value as
the start of a new field, ignores ``Content-Length : 5`` and uses the first of
two lengths. A proxy in front of the daemon may parse the same bytes
differently. On a connection that several callers share, part of one caller's
body could then be taken for the next request (request smuggling). This module
therefore rejects every head that can be parsed in two ways.
"""

from collections.abc import Callable
import io
import re
from typing import BinaryIO

from topazlug import _errors

_MAX_LINE_BYTES = 16384
MAX_HEAD_BYTES = 65536
_MAX_FIELDS = 100
# A head up to this size does not count towards what callers hold.
_UNCOUNTED_BYTES = 8192
_TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
_FIELD = re.compile(rb"(" + _TOKEN + rb"):([\t\x20-\x7e\x80-\xff]*)\r\n")
_LINE = re.compile(r"[A-Za-z]{1,32} [\x21-\x7e]+ HTTP/1\.[01]\r\n")
_LENGTH = re.compile(rb"[0-9]{1,18}")
_SINGLE_FIELDS = frozenset(
    {
        b"authorization",
        b"content-length",
        b"content-type",
        b"host",
        b"idempotency-key",
        b"transfer-encoding",
        b"x-chat-id",
        b"x-request-class",
        b"x-request-timeout",
    }
)


def check_line(line: str) -> None:
    """Check the request line, with its line break.

    Raises
    ------
    BadHeader
        It does not have the form of RFC 9112, or its version is neither
        HTTP/1.0 nor 1.1.
    """
    if not _LINE.fullmatch(line):
        raise _errors.BadHeader(f"not a request line: {line[:40]!r}")


def read(
    stream: BinaryIO,
    *,
    version: str,
    max_bytes: int = MAX_HEAD_BYTES,
    count_bytes: Callable[[int], None] | None = None,
) -> BinaryIO:
    """Read the fields up to the empty line.

    Parameters
    ----------
    stream : BinaryIO
        The connection, positioned after the request line.
    version : str
        HTTP version of the request line.
    max_bytes : int
        Maximum bytes of all fields.
    count_bytes : callable or None
        Called with further bytes that a long head makes the daemon hold.

    Returns
    -------
    BinaryIO
        The checked fields, including the empty line.

    Raises
    ------
    BadHeader
        A field is malformed, too long or repeated although it may occur only
        once, or the length of the body is ambiguous.
    """
    lines: list[bytes] = []
    values_by_name: dict[bytes, list[bytes]] = {}
    size = counted = 0
    while (line := stream.readline(_MAX_LINE_BYTES)) != b"\r\n":
        size += len(line)
        if size > max_bytes or len(lines) >= _MAX_FIELDS:
            raise _errors.BadHeader(
                f"more than {_MAX_FIELDS} fields or {max_bytes} bytes"
            )
        if size - counted > _UNCOUNTED_BYTES and count_bytes is not None:
            count_bytes(size - counted)
            counted = size
        match = _FIELD.fullmatch(line)
        if match is None:
            raise _errors.BadHeader(f"malformed field {line[:40]!r}")
        name = match[1].lower()
        values_by_name.setdefault(name, []).append(match[2].strip())
        lines.append(line)
    _check_repeats(values_by_name)
    _check_framing(values_by_name, version)
    return io.BytesIO(b"".join(lines) + b"\r\n")


def check_trailer(line: bytes, *, size: int, count: int) -> None:
    """Check a field after the last chunk of a body.

    Parameters
    ----------
    line : bytes
        The field with its line break.
    size, count : int
        Bytes and number of these fields, including this one.

    Raises
    ------
    BadBody
        It is malformed, or there are too many.
    """
    if size > MAX_HEAD_BYTES or count > _MAX_FIELDS:
        raise _errors.BadBody(
            f"more than {_MAX_FIELDS} fields or {MAX_HEAD_BYTES} bytes after"
            " the last chunk"
        )
    if _FIELD.fullmatch(line) is None:
        raise _errors.BadBody(f"malformed trailer {line[:40]!r}")


def _check_repeats(values_by_name: dict[bytes, list[bytes]]) -> None:
    for name in _SINGLE_FIELDS & values_by_name.keys():
        if len(values_by_name[name]) > 1:
            raise _errors.BadHeader(f"{name.decode()} occurs more than once")


def _check_framing(
    values_by_name: dict[bytes, list[bytes]], version: str
) -> None:
    lengths = values_by_name.get(b"content-length", [])
    codings = values_by_name.get(b"transfer-encoding", [])
    if lengths and not _LENGTH.fullmatch(lengths[0]):
        raise _errors.BadHeader(
            f"Content-Length is {lengths[0][:40]!r}, not a valid length"
        )
    if not codings:
        return
    if lengths or version != "HTTP/1.1":
        raise _errors.BadHeader(
            "Transfer-Encoding with Content-Length or before HTTP/1.1"
        )
    if codings[0].lower() != b"chunked":
        raise _errors.BadHeader(
            f"Transfer-Encoding is {codings[0][:40]!r}; use only chunked"
        )
