"""Proof of who a peer is, and seals on what it sends.

Each side of a new connection says hello with a fresh nonce. Then each
proves that it holds the fleet's secret by an HMAC-SHA256 over its role,
both nonces, both names and both incarnations: the dialling side first, so
that a stranger who dials gets no proof to guess the secret from. The roles
keep a proof from being sent back to its maker, the nonces keep a recorded
handshake from being played again. No other message counts before.

From the same transcript both sides derive one key for each direction. Each
batch of frames carries a keyed BLAKE2b over its number and bytes, so that
one who sits on the path can neither insert, change, repeat, drop nor
reorder batches unnoticed. **Without TLS** such a one still reads all that is
said, may cut the connection, and who once learns the secret can read and
forge all connections of a recorded past as of the future. Where that
matters, give the daemons certificates (`topazlug.peers._peer_tls`).
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
    """The side of a connection."""

    DIALLING = "dialling"
    ACCEPTING = "accepting"


class Socket(Protocol):
    """What the handshake asks of a socket."""

    def recv(self, size: int, /) -> bytes:
        """Read at most this many bytes; empty at the end."""

    def sendall(self, data: bytes, /) -> None:
        """Write all the bytes."""


@final
class Identity(msgspec.Struct, frozen=True):
    """A daemon as it names itself in a handshake."""

    daemon_id: _ids.DaemonId
    incarnation: int


@final
class Session(msgspec.Struct, frozen=True):
    """What a handshake settles.

    Attributes
    ----------
    peer : Identity
        The proven other side.
    signer : Sealer
        Seals what is sent.
    verifier : Opener
        Checks and opens what is received.
    """

    peer: Identity
    signer: "BatchSigner"
    verifier: "BatchVerifier"


def _batch_mac(key: bytes, number: int, batch: bytes) -> bytes:
    salt = number.to_bytes(hashlib.blake2b.SALT_SIZE, "big")
    made = hashlib.blake2b(
        batch, digest_size=BATCH_MAC_BYTES, key=key, salt=salt
    )
    return made.digest()


@final
class BatchSigner:
    """Seals batches in one direction of one connection."""

    def __init__(self, key: bytes) -> None:
        self._key = key
        self._number = 0

    def sign(self, batch: bytes) -> bytes:
        """Give the bytes to send for a batch."""
        seal = _batch_mac(self._key, self._number, batch)
        self._number += 1
        return msgpack.packb((seal, batch))


@final
class BatchVerifier:
    """Checks and opens sealed batches as their bytes come in.

    Parameters
    ----------
    key : bytes
        Key of this direction.
    max_bytes : int
        Largest batch taken.
    """

    def __init__(self, key: bytes, *, max_bytes: int) -> None:
        self._key = key
        self._max_bytes = max_bytes
        self._number = 0
        self._unpacker: msgpack.Unpacker | None = None
        self._start = 0
        self._end = 0

    def batches(self, data: bytes) -> Iterator[bytes]:
        """Give each batch that is whole and bears the right seal.

        Raises
        ------
        PeerMessageInvalid
            If the bytes are no sealed batch, or pass the bound, or the seal
            is wrong. The connection can't be used any further.
        """
        unpacker = self._unpacker or self._borrow_unpacker()
        read = -1
        try:
            unpacker.feed(data)
            self._end += len(data)
            for sealed in unpacker:
                read = unpacker.tell()
                yield self._verified(sealed)
        except (ValueError, msgpack.UnpackException, TypeError) as error:
            raise _errors.PeerMessageInvalid(
                f"no sealed batch within {self._max_bytes} bytes: {error!r}"
            ) from error
        if read == self._end:
            self._return_unpacker(unpacker)

    def _verified(self, sealed: Any) -> bytes:
        match sealed:
            case [bytes(seal), bytes(batch)]:
                expected = _batch_mac(self._key, self._number, batch)
            case _:
                raise _errors.PeerMessageInvalid("no seal before the batch")
        if not hmac.compare_digest(seal, expected):
            raise _errors.PeerMessageInvalid(
                f"wrong seal on batch {self._number}: changed on its way"
            )
        self._number += 1
        return batch

    def _borrow_unpacker(self) -> msgpack.Unpacker:
        # An unpacker holds 45 KiB, most of it a stack for nested values.
        # With hundreds of links that would be tens of megabytes: a link
        # has one only while a batch is underway.
        idle = _idle_unpackers(self._max_bytes)
        unpacker = idle.pop() if idle else _new_unpacker(self._max_bytes)
        self._unpacker = unpacker
        self._start = self._end = unpacker.tell()
        return unpacker

    def _return_unpacker(self, unpacker: msgpack.Unpacker) -> None:
        self._unpacker = None
        idle = _idle_unpackers(self._max_bytes)
        # The buffer grows to twice the largest batch, and never shrinks.
        grown = self._end - self._start > READ_BYTES
        if not grown and len(idle) < MAX_IDLE_UNPACKERS:
            idle.append(unpacker)


@functools.cache
def _idle_unpackers(max_bytes: int) -> list[msgpack.Unpacker]:
    return []


def _new_unpacker(max_bytes: int) -> msgpack.Unpacker:
    # By default an unpacker takes a buffer of 1 MiB and walks through it
    # before starting over, so that all of it comes to be resident.
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
                    f"expected {kind.__name__}, found {found!r}"
                )
            return msgspec.convert(body, kind)
        except (
            ValueError,
            TypeError,
            msgpack.UnpackException,
            msgspec.MsgspecError,
        ) as error:
            raise _errors.PeerRefused(
                f"handshake can't be read: {error!r}"
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
                "the peer closed the connection in the handshake; compare "
                "peers.secret of both daemons"
            )
        self._received += len(data)
        self._unpacker.feed(data)

    def check_no_trailing_bytes(self) -> None:
        if self._unpacker.tell() != self._received:
            raise _errors.PeerRefused("bytes ahead of the handshake's end")


def perform_handshake(
    sock: Socket,
    *,
    role: Role,
    identity: Identity,
    secret: str,
    max_batch_bytes: int,
    expected: _ids.DaemonId | None = None,
) -> Session:
    """Prove both sides of a connection to each other.

    The caller bounds the time.

    Parameters
    ----------
    sock : Socket
        The new connection.
    role : Role
        Our side of it.
    identity : Identity
        Our name and incarnation.
    secret : str
        The fleet's secret.
    max_batch_bytes : int
        Largest batch taken afterwards.
    expected : DaemonId or None
        The daemon that was dialled. Instances are replaced and their
        addresses given out again: a message for one daemon would reach
        another, which counts it as its own.

    Raises
    ------
    PeerRefused
        If the other side is not proven, or not the one expected.
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
            f"{MAX_NAME_LENGTH} are taken"
        )
    if theirs.nonce == mine.nonce:
        raise _errors.PeerRefused("our own nonce came back")
    if expected is not None and theirs.daemon != expected:
        raise _errors.PeerRefused(
            f"dialled {expected!r}, found {theirs.daemon!r}"
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
