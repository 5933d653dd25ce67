"""Frames between daemons.

A frame is the msgpack array ``[kind, call, body]``. The kind is the name of
a generated message. The call is a positive number in a request, its negative
in the answer, and 0 in a one-way message. Frames are sent in batches: a batch
is a msgpack array of frames, which `topazlug.peers._peer_auth` signs. An
unknown kind, unknown fields of a body and additional elements of a frame are
ignored, so that daemons of two versions can communicate. A message with an
unknown value of an enumeration is invalid.

Bodies are decoded directly into their types, and data that the types don't
define is skipped. A frame therefore can't make the receiver allocate a
multiple of the frame's size, except through a map with arbitrary keys.
"""

from collections.abc import Iterable
import inspect
from typing import final

import msgpack
import msgspec

from topazlug import _errors
from topazlug._generated import messages

ONE_WAY = 0
REFUSAL_KIND = "refused"


@final
class Frame(msgspec.Struct):
    """One decoded frame.

    Attributes
    ----------
    kind : str
        Name of the message.
    call : int
        Number of the request, negative in its answer; 0 for one-way.
    message : msgspec.Struct or None
        The message; None for a kind that this version doesn't define.
    """

    kind: str
    call: int
    message: msgspec.Struct | None


class _RawFrame(msgspec.Struct, array_like=True):
    kind: str
    call: int
    body: msgspec.Raw


def _message_types() -> dict[str, type[msgspec.Struct]]:
    return {
        name: value
        for name, value in vars(messages).items()
        if inspect.isclass(value) and issubclass(value, msgspec.Struct)
    }


_ENCODER = msgspec.msgpack.Encoder()
_BATCH_DECODER = msgspec.msgpack.Decoder(list[_RawFrame])
_DECODER_BY_KIND = {
    name: msgspec.msgpack.Decoder(value)
    for name, value in _message_types().items()
}


def encode(message: msgspec.Struct, *, call: int, max_bytes: int) -> bytes:
    """Encode one frame.

    Parameters
    ----------
    message : msgspec.Struct
        A generated message.
    call : int
        Number of the request, negative in its answer; 0 for one-way.
    max_bytes : int
        Largest frame that peers accept.

    Raises
    ------
    PeerMessageInvalid
        If the frame is larger.
    """
    kind = type(message).__name__
    frame = _ENCODER.encode((kind, call, message))
    if len(frame) > max_bytes:
        raise _errors.PeerMessageInvalid(
            f"{kind} of {len(frame)} bytes exceeds peers.max_frame_bytes "
            f"({max_bytes}); split it or raise the setting on all daemons"
        )
    return frame


def encode_refusal(call: int) -> bytes:
    """Encode the answer to a request that no handler can answer."""
    return _ENCODER.encode((REFUSAL_KIND, -call, {}))


def join(frames: Iterable[bytes]) -> bytes:
    """Join encoded frames into a batch."""
    frame_list = list(frames)
    header = msgpack.Packer().pack_array_header(len(frame_list))
    return header + b"".join(frame_list)


def decode(batch: bytes) -> list[Frame]:
    """Decode a batch.

    Raises
    ------
    PeerMessageInvalid
        If the bytes are not a batch, or a body does not match its kind.
    """
    try:
        return [_decoded(raw) for raw in _BATCH_DECODER.decode(batch)]
    except (msgspec.MsgspecError, UnicodeError, RecursionError) as error:
        raise _errors.PeerMessageInvalid(
            f"batch of {len(batch)} bytes can't be decoded: {error}"
        ) from error


def _decoded(raw: _RawFrame) -> Frame:
    decoder = _DECODER_BY_KIND.get(raw.kind)
    message = decoder.decode(raw.body) if decoder else None
    return Frame(kind=raw.kind, call=raw.call, message=message)
