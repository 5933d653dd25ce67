"""The head of a caller's request, read within bounds and checked strictly.

The library's parser is lenient: it takes a bare line break inside a value
for a new field, overlooks ``Content-Length : 5`` and takes the first of two
lengths. Whoever stands before the daemon may read the same bytes in another
way; then the rest of one caller's body becomes the next request on a
connection that several callers share. What two readers could read in two
ways is refused here, so that there is only one way left.
"""

import io
import re
from typing import BinaryIO

from topazlug import _errors

_MAX_LINE_BYTES = 16384
_MAX_HEAD_BYTES = 65536
_MAX_FIELDS = 100
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
        It is not of the form that RFC 9112 gives, or of another version
        than HTTP/1.0 and 1.1.
    """
    if not _LINE.fullmatch(line):
        raise _errors.BadHeader(f"not a request line: {line[:40]!r}")


def read(stream: BinaryIO, *, version: str) -> BinaryIO:
    """Read the fields up to the empty line.

    Parameters
    ----------
    stream : BinaryIO
        The connection, after the request line.
    version : str
        As the request line names it.

    Returns
    -------
    BinaryIO
        The same bytes, checked.

    Raises
    ------
    BadHeader
        A field is malformed, too long, or repeated where it may not be, or
        the length of the body can be read in two ways.
    """
    lines: list[bytes] = []
    values_by_name: dict[bytes, list[bytes]] = {}
    size = 0
    while (line := stream.readline(_MAX_LINE_BYTES)) != b"\r\n":
        size += len(line)
        if size > _MAX_HEAD_BYTES or len(lines) >= _MAX_FIELDS:
            raise _errors.BadHeader(
                f"more than {_MAX_FIELDS} fields or {_MAX_HEAD_BYTES} bytes"
            )
        match = _FIELD.fullmatch(line)
        if match is None:
            raise _errors.BadHeader(f"malformed field {line[:40]!r}")
        name = match[1].lower()
        values_by_name.setdefault(name, []).append(match[2].strip())
        lines.append(line)
    _check_repeats(values_by_name)
    _check_framing(values_by_name, version)
    return io.BytesIO(b"".join(lines) + b"\r\n")


def _check_repeats(values_by_name: dict[bytes, list[bytes]]) -> None:
    for name in _SINGLE_FIELDS & values_by_name.keys():
        if len(values_by_name[name]) > 1:
            raise _errors.BadHeader(f"{name.decode()} is given twice")


def _check_framing(
    values_by_name: dict[bytes, list[bytes]], version: str
) -> None:
    lengths = values_by_name.get(b"content-length", [])
    codings = values_by_name.get(b"transfer-encoding", [])
    if lengths and not _LENGTH.fullmatch(lengths[0]):
        raise _errors.BadHeader(f"Content-Length is {lengths[0][:40]!r}")
    if not codings:
        return
    if lengths or version != "HTTP/1.1":
        raise _errors.BadHeader(
            "Transfer-Encoding with Content-Length, or before HTTP/1.1"
        )
    if codings[0].lower() != b"chunked":
        raise _errors.BadHeader(
            f"Transfer-Encoding is {codings[0][:40]!r}; only chunked is read"
        )
