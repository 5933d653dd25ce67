"""Handshakes and MACs of batches."""

import gevent
from gevent import socket
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from tests.topazlug import peer_fixtures
from topazlug import _errors
from topazlug._generated import messages
from topazlug.peers import _peer_auth

LIMIT = 4096
KEY = b"k" * 32


def handshake_one_side(
    sock, role, *, name, secret=peer_fixtures.SECRET, expected=None
):
    """Perform one side of a handshake; close the socket on failure."""
    try:
        with gevent.Timeout(5, TimeoutError()):
            return _peer_auth.perform_handshake(
                sock,
                role=role,
                identity=_peer_auth.Identity(name, 3),
                secret=secret,
                max_batch_bytes=LIMIT,
                expected=expected,
            )
    except BaseException:
        sock.close()
        raise


def accept_in_greenlet(sock, **values):
    return gevent.spawn(
        handshake_one_side, sock, _peer_auth.Role.ACCEPTING, name="b", **values
    )


def dial(sock, **values):
    return handshake_one_side(
        sock, _peer_auth.Role.DIALLING, name="a", **values
    )


class RecordingSocket:
    """Records what is sent."""

    def __init__(self, sock):
        self._sock = sock
        self.sent = b""
        self.recv = sock.recv
        self.close = sock.close

    def sendall(self, data):
        self.sent += data
        self._sock.sendall(data)


@pytest.fixture
def pair():
    ends = socket.socketpair()
    yield ends
    for end in ends:
        end.close()


class TestHandshake:
    """Both sides prove that they have the secret."""

    def test_each_side_identifies_the_other(self, pair):
        accepting = accept_in_greenlet(pair[1])
        assert dial(pair[0]).peer == _peer_auth.Identity("b", 3)
        assert accepting.get().peer == _peer_auth.Identity("a", 3)

    def test_each_side_verifies_the_others_batches(self, pair):
        accepting = accept_in_greenlet(pair[1])
        dialled, accepted = dial(pair[0]), accepting.get()
        request = dialled.signer.sign(b"question")
        assert list(accepted.verifier.batches(request)) == [b"question"]
        answer = accepted.signer.sign(b"answer")
        assert list(dialled.verifier.batches(answer)) == [b"answer"]

    def test_wrong_secret(self, pair):
        accepting = accept_in_greenlet(pair[1])
        with pytest.raises(_errors.PeerRefused):
            dial(pair[0], secret="another secret of some length")
        with pytest.raises(_errors.PeerRefused, match="peers.secret"):
            accepting.get()

    def test_another_daemon_at_the_address(self, pair):
        """Guards against messages that reach the wrong daemon.

        A daemon is replaced, its address is assigned to another, and a peer
        dials the address from an outdated list. This would happen if peers
        were identified by their address alone.
        """
        accept_in_greenlet(pair[1])
        with pytest.raises(_errors.PeerRefused, match="dialled 'c'"):
            dial(pair[0], expected="c")

    def test_replayed_handshake_is_refused(self, pair):
        """Guards against authentication by a replayed handshake.

        It would succeed if the proof did not depend on the acceptor's nonce.
        """
        recording = RecordingSocket(pair[0])
        accepting = accept_in_greenlet(pair[1])
        dial(recording)
        accepting.get()
        client, daemon = socket.socketpair()
        accepting = accept_in_greenlet(daemon)
        client.sendall(recording.sent)
        with pytest.raises(_errors.PeerRefused, match="wrong proof"):
            accepting.get()

    def test_reflected_handshake_is_refused(self, pair):
        """Guards against authentication by reflected messages.

        The acceptor returns all that the dialling side sends. This would
        succeed if both sides sent the same proof.
        """

        def echo():
            while data := pair[1].recv(4096):
                pair[1].sendall(data)

        gevent.spawn(echo)
        with pytest.raises(_errors.PeerRefused, match="nonce"):
            dial(pair[0])

    def test_message_before_the_proof_is_refused(self, pair):
        hello = messages.Hello(
            version=1, daemon="a", incarnation=1, nonce="00"
        )
        handshake = _peer_auth._Handshake(pair[0])
        accepting = accept_in_greenlet(pair[1])
        handshake.send(hello)
        handshake.send(messages.Ack())
        with pytest.raises(_errors.PeerRefused, match="expected Proof"):
            accepting.get()

    @settings(max_examples=100, deadline=None)
    @given(data=strategies.binary(max_size=3000))
    def test_garbage_is_refused(self, data):
        client, daemon = socket.socketpair()
        accepting = accept_in_greenlet(daemon)
        client.sendall(data)
        client.shutdown(socket.SHUT_WR)
        with pytest.raises((_errors.PeerRefused, OSError)):
            accepting.get()
        client.close()


class TestBatches:
    """Batches are accepted only complete, unaltered and in order."""

    @pytest.fixture
    def signer(self):
        return _peer_auth.BatchSigner(KEY)

    @pytest.fixture
    def verifier(self):
        return _peer_auth.BatchVerifier(KEY, max_bytes=LIMIT)

    @settings(max_examples=100, deadline=None)
    @given(
        batches=strategies.lists(strategies.binary(max_size=LIMIT)),
        cuts=strategies.integers(1, 5000),
    )
    def test_batches_split_at_any_byte(self, batches, cuts):
        signer = _peer_auth.BatchSigner(KEY)
        verifier = _peer_auth.BatchVerifier(KEY, max_bytes=LIMIT)
        data = b"".join(signer.sign(batch) for batch in batches)
        pieces = (data[at : at + cuts] for at in range(0, len(data), cuts))
        found = [one for piece in pieces for one in verifier.batches(piece)]
        assert found == batches

    def test_partial_batches_on_two_connections(self):
        """Guards against mixing up the bytes of two connections.

        Half a batch arrives on each of two connections. An unpacker must not
        be shared while it holds bytes of a connection.
        """
        signers = [_peer_auth.BatchSigner(KEY) for _ in range(2)]
        verifiers = [
            _peer_auth.BatchVerifier(KEY, max_bytes=LIMIT) for _ in range(2)
        ]
        data = [signer.sign(b"x" * 50) for signer in signers]
        for part in (slice(None, 30), slice(30, 31), slice(31, None)):
            found = [
                list(verifier.batches(one[part]))
                for verifier, one in zip(verifiers, data)
            ]
        assert found == [[b"x" * 50], [b"x" * 50]]

    def test_many_large_batches(self, signer):
        verifier = _peer_auth.BatchVerifier(KEY, max_bytes=10**6)
        for size in (10**6, 10, 10**5, 0):
            data = signer.sign(b"x" * size)
            assert list(verifier.batches(data)) == [b"x" * size]

    def test_changed_batch(self, signer, verifier):
        data = signer.sign(b"pay 100").replace(b"100", b"900")
        with pytest.raises(_errors.PeerMessageInvalid, match="wrong MAC"):
            list(verifier.batches(data))

    def test_repeated_batch(self, signer, verifier):
        data = signer.sign(b"once")
        with pytest.raises(_errors.PeerMessageInvalid, match="wrong MAC"):
            list(verifier.batches(data + data))

    def test_dropped_batch(self, signer, verifier):
        signer.sign(b"lost")
        with pytest.raises(_errors.PeerMessageInvalid, match="wrong MAC"):
            list(verifier.batches(signer.sign(b"next")))

    def test_oversized_batch(self, signer, verifier):
        with pytest.raises(_errors.PeerMessageInvalid):
            list(verifier.batches(signer.sign(b"x" * (LIMIT + 1))))

    @settings(max_examples=200, deadline=None)
    @given(data=strategies.binary(min_size=1, max_size=200))
    def test_garbage_is_never_accepted(self, data):
        verifier = _peer_auth.BatchVerifier(KEY, max_bytes=LIMIT)
        try:
            assert not list(verifier.batches(data))
        except _errors.PeerMessageInvalid:
            pass
