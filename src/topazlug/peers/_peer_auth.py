"""Mutual authentication of peers, and authentication of their messages.

Each side of a new connection sends a ``Hello`` with a fresh nonce. Each side
then proves that it holds the fleet's secret with an HMAC-SHA256 over its
role, both nonces, both names and both incarnations. The dialling side sends
its proof first, so that an unauthenticated client receives no proof that it
could use to guess the secret. The roles prevent reflection of a proof to its
sender, and the nonces prevent replay of a recorded handshake. No other
message is accepted before the handshake is complete.

Both sides derive one key for each direction from the same transcript. Each
batch of frames carries a keyed BLAKE2b MAC over its number and bytes, so
that an attacker on the path can't insert, change, repeat, drop or reorder
batches undetected. **Without TLS** such an attacker can still read all
messages and break the connection, and one who learns the secret can read and
forge recorded connections as well as future ones. Where that matters,
configure certificates for the daemons (`topazlug.peers._peer_tls`).
"""

from collections.abc import Iterator
import enum
import functools
import hashlib
import hmac
import secrets
from typing import Any
from typing import Protocol
from typing import TypeVar
from typing import final

import msgpack
import msgspec

from topazlug import _errors
from topazlug import _ids
from topazlug._generated import messages
from topazlug.peers import _peer_codec

VERSION = 1
MIN_VERSION = 1
NONCE_BYTES = 16
BATCH_MAC_BYTES = 16
BATCH_OVERHEAD_BYTES = 32
MAX_NAME_LENGTH = 64
MAX_HANDSHAKE_BYTES = 1024
MAX_HANDSHAKE_ITEMS = 32
UNPACKER_READ_BYTES = 4096
READ_BYTES = 16384
MAX_IDLE_UNPACKERS = 4

_MessageT = TypeVar("_MessageT", bound=msgspec.Struct)


class Role(enum.Enum):
    """Side of a connection; its value is part of the MACs."""

    DIALLING = "dialling"
    ACCEPTING = "accepting"


class Socket(Protocol):
    """Socket operations that the handshake uses."""

    def recv(self, size: int, /) -> bytes:
        """Read at most `size` bytes; empty at the end of the stream."""

    def sendall(self, data: bytes, /) -> None:
        """Write all of `data`."""


@final
class Identity(msgspec.Struct, frozen=True):
    """Name and incarnation that a daemon sends in a handshake."""

    daemon_id: _ids.DaemonId
    incarnation: int


@final
class Session(msgspec.Struct, frozen=True):
    """Result of a handshake.

    Attributes
    ----------
    peer : Identity
        The authenticated other side.
    signer : BatchSigner
        Adds the MAC to outgoing batches.
    verifier : BatchVerifier
        Verifies incoming batches.
    """

    peer: Identity
    signer: "BatchSigner"
    verifier: "BatchVerifier"


def _batch_mac(key: bytes, number: int, batch: bytes) -> bytes:
    salt = number.to_bytes(hashlib.blake2b.SALT_SIZE, "big")
    hasher = hashlib.blake2b(
        batch, digest_size=BATCH_MAC_BYTES, key=key, salt=salt
    )
    return hasher.digest()


@final
class BatchSigner:
    """Adds MACs to the batches of one direction of a connection."""

    def __init__(self, key: bytes) -> None:
        self._key = key
        self._number = 0

    def sign(self, batch: bytes) -> bytes:
        """Return the bytes to send for a batch: its MAC and the batch."""
        mac = _batch_mac(self._key, self._number, batch)
        self._number += 1
        return msgpack.packb((mac, batch))


@final
class BatchVerifier:
    """Decodes and verifies signed batches from received bytes.

    Parameters
    ----------
    key : bytes
        Key of this direction.
    max_bytes : int
        Largest batch accepted.
    """

    def __init__(self, key: bytes, *, max_bytes: int) -> None:
        self._key = key
        self._max_bytes = max_bytes
        self._number = 0
        self._unpacker: msgpack.Unpacker | None = None
        self._start = 0
        self._end = 0

    def batches(self, data: bytes) -> Iterator[bytes]:
        """Yield each batch that is complete and has a valid MAC.

        Raises
        ------
        PeerMessageInvalid
            If the bytes are not a signed batch, a batch is too large, or
            its MAC is wrong. The connection must then be closed.
        """
        unpacker = self._unpacker or self._borrow_unpacker()
        read = -1
        try:
            unpacker.feed(data)
            self._end += len(data)
            for signed in unpacker:
                read = unpacker.tell()
                yield self._verified(signed)
        except (ValueError, msgpack.UnpackException, TypeError) as error:
            raise _errors.PeerMessageInvalid(
                f"no signed batch within {self._max_bytes} bytes: {error!r}"
            ) from error
        if read == self._end:
            self._return_unpacker(unpacker)

    def _verified(self, signed: Any) -> bytes:
        match signed:
            case [bytes(mac), bytes(batch)]:
                expected = _batch_mac(self._key, self._number, batch)
            case _:
                raise _errors.PeerMessageInvalid("no MAC before the batch")
        if not hmac.compare_digest(mac, expected):
            raise _errors.PeerMessageInvalid(
                f"wrong MAC of batch {self._number}: altered in transit"
            )
        self._number += 1
        return batch

    def _borrow_unpacker(self) -> msgpack.Unpacker:
        # An unpacker takes 45 KiB, most of it a stack for nested values.
        # For hundreds of links that would be tens of megabytes, so a link
        # borrows one only while part of a batch has been received.
        idle = _idle_unpackers(self._max_bytes)
        unpacker = idle.pop() if idle else _new_unpacker(self._max_bytes)
        self._unpacker = unpacker
        self._start = self._end = unpacker.tell()
        return unpacker

    def _return_unpacker(self, unpacker: msgpack.Unpacker) -> None:
        self._unpacker = None
        idle = _idle_unpackers(self._max_bytes)
        # The buffer grows to twice the largest batch and never shrinks, so
        # an unpacker that has grown is not reused.
        grown = self._end - self._start > READ_BYTES
        if not grown and len(idle) < MAX_IDLE_UNPACKERS:
            idle.append(unpacker)


@functools.cache
def _idle_unpackers(max_bytes: int) -> list[msgpack.Unpacker]:
    return []


def _new_unpacker(max_bytes: int) -> msgpack.Unpacker:
    # By default an unpacker allocates a buffer of 1 MiB and uses all of it
    # before it starts over at the beginning, so the whole buffer becomes
    # resident.
    return msgpack.Unpacker(
        read_size=UNPACKER_READ_BYTES,
        max_buffer_size=max_bytes + BATCH_OVERHEAD_BYTES + READ_BYTES,
        max_bin_len=max_bytes,
        max_array_len=2,
        max_map_len=0,
        max_str_len=0,
        max_ext_len=0,
    )


@final
class _Handshake:
    def __init__(self, sock: Socket) -> None:
        self._sock = sock
        self._received = 0
        self._unpacker = msgpack.Unpacker(
            read_size=MAX_HANDSHAKE_BYTES,
            max_buffer_size=MAX_HANDSHAKE_BYTES,
            max_array_len=MAX_HANDSHAKE_ITEMS,
            max_map_len=MAX_HANDSHAKE_ITEMS,
            max_ext_len=0,
        )

    def send(self, message: msgspec.Struct) -> None:
        frame = _peer_codec.encode(
            message, call=_peer_codec.ONE_WAY, max_bytes=MAX_HANDSHAKE_BYTES
        )
        self._sock.sendall(frame)

    def receive(self, kind: type[_MessageT]) -> _MessageT:
        try:
            found, _call, body = self._next()
            if found != kind.__name__:
                raise _errors.PeerRefused(
                    f"expected {kind.__name__}, received {found!r}"
                )
            return msgspec.convert(body, kind)
        except (
            ValueError,
            TypeError,
            msgpack.UnpackException,
            msgspec.MsgspecError,
        ) as error:
            raise _errors.PeerRefused(
                f"invalid handshake message: {error!r}"
            ) from error

    def _next(self) -> list[Any]:
        while True:
            try:
                return self._unpacker.unpack()
            except msgpack.OutOfData:
                self._feed()

    def _feed(self) -> None:
        data = self._sock.recv(MAX_HANDSHAKE_BYTES)
        if not data:
            raise _errors.PeerRefused(
                "the peer closed the connection during the handshake; compare "
                "peers.secret of both daemons"
            )
        self._received += len(data)
        self._unpacker.feed(data)

    def check_no_trailing_bytes(self) -> None:
        if self._unpacker.tell() != self._received:
            raise _errors.PeerRefused(
                "unexpected bytes after the last handshake message"
            )


def perform_handshake(
    sock: Socket,
    *,
    role: Role,
    identity: Identity,
    secret: str,
    max_batch_bytes: int,
    expected: _ids.DaemonId | None = None,
) -> Session:
    """Authenticate both sides of a connection to each other.

    The caller sets a timeout.

    Parameters
    ----------
    sock : Socket
        The new connection.
    role : Role
        This daemon's side of it.
    identity : Identity
        This daemon's name and incarnation.
    secret : str
        The fleet's secret.
    max_batch_bytes : int
        Largest batch accepted after the handshake.
    expected : DaemonId or None
        The daemon that was dialled. The address of a replaced instance may
        be assigned to another, which would then process messages meant for
        the first.

    Raises
    ------
    PeerRefused
        If the other side is not authenticated, or not the one expected.
    """
    handshake = _Handshake(sock)
    nonce = secrets.token_hex(NONCE_BYTES)
    mine = messages.Hello(
        version=VERSION,
        daemon=identity.daemon_id,
        incarnation=identity.incarnation,
        nonce=nonce,
    )
    if role is Role.DIALLING:
        handshake.send(mine)
    theirs = handshake.receive(messages.Hello)
    _check_hello(theirs, mine=mine, expected=expected)
    if role is Role.ACCEPTING:
        handshake.send(mine)
        transcript = _transcript(dialling=theirs, accepting=mine)
        _check_proof(handshake, secret, Role.DIALLING, transcript)
        handshake.send(_proof(secret, Role.ACCEPTING, transcript))
    else:
        transcript = _transcript(dialling=mine, accepting=theirs)
        handshake.send(_proof(secret, Role.DIALLING, transcript))
        _check_proof(handshake, secret, Role.ACCEPTING, transcript)
    handshake.check_no_trailing_bytes()
    other = Role.ACCEPTING if role is Role.DIALLING else Role.DIALLING
    return Session(
        peer=Identity(_ids.DaemonId(theirs.daemon), theirs.incarnation),
        signer=BatchSigner(_key(secret, role, transcript)),
        verifier=BatchVerifier(
            _key(secret, other, transcript), max_bytes=max_batch_bytes
        ),
    )


def _check_hello(
    theirs: messages.Hello,
    *,
    mine: messages.Hello,
    expected: _ids.DaemonId | None,
) -> None:
    if theirs.version < MIN_VERSION:
        raise _errors.PeerRefused(
            f"version {theirs.version} is older than {MIN_VERSION}"
        )
    if not 0 < len(theirs.daemon) <= MAX_NAME_LENGTH:
        raise _errors.PeerRefused(
            f"name of {len(theirs.daemon)} characters, at most "
            f"{MAX_NAME_LENGTH} are allowed"
        )
    if theirs.nonce == mine.nonce:
        raise _errors.PeerRefused("the peer sent our own nonce back")
    if expected is not None and theirs.daemon != expected:
        raise _errors.PeerRefused(
            f"dialled {expected!r}, reached {theirs.daemon!r}"
        )


def _transcript(
    *, dialling: messages.Hello, accepting: messages.Hello
) -> bytes:
    return msgspec.msgpack.encode(
        [
            [hello.nonce, hello.daemon, hello.incarnation]
            for hello in (dialling, accepting)
        ]
    )


def _mac(secret: str, purpose: str, role: Role, transcript: bytes) -> bytes:
    text = f"topazlug {purpose} {role.value} ".encode() + transcript
    return hmac.digest(secret.encode(), text, "sha256")


def _key(secret: str, role: Role, transcript: bytes) -> bytes:
    return _mac(secret, "key", role, transcript)


def _proof(secret: str, role: Role, transcript: bytes) -> messages.Proof:
    mac = _mac(secret, "proof", role, transcript).hex()
    return messages.Proof(mac=mac)


def _check_proof(
    handshake: _Handshake, secret: str, role: Role, transcript: bytes
) -> None:
    theirs = handshake.receive(messages.Proof)
    expected = _proof(secret, role, transcript)
    if not hmac.compare_digest(theirs.mac.encode(), expected.mac.encode()):
        raise _errors.PeerRefused(
            "wrong proof; compare peers.secret of both daemons"
        )
