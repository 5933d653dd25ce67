"""Message streams between daemons."""

import pathlib

import gevent
from gevent import server
from gevent import socket
import pytest

from tests.topazlug import peer_fixtures
from topazlug import _errors
from topazlug._generated import messages
from topazlug._generated import settings
from topazlug.peers import _peer_auth
from topazlug.peers import _peer_link
from topazlug.peers import _peers

CALL_TIMEOUT = 10.0
CERTIFICATES = pathlib.Path(__file__).parent / "peer_certificates"


@pytest.fixture
def daemons():
    daemons = peer_fixtures.LinkedDaemons()
    yield daemons
    daemons.stop()


@pytest.fixture
def dialler(daemons):
    return daemons.make("a")


@pytest.fixture
def acceptor(daemons):
    return daemons.make("b")


def pull(number):
    return messages.ConfigPull(after=number)


def answer_with_number(_peer, message, reply):
    reply(messages.Slice(team="t", lent=message.after, lapse=1.0))


class ListeningPeer:
    """A TCP listener that handles connections with a given function."""

    def __init__(self, daemons, name, on_connection):
        self.sockets = []
        self._on_connection = on_connection
        self.server = server.StreamServer(("127.0.0.1", 0), self._accept)
        self.server.start()
        address = _peers.Address("127.0.0.1", self.server.server_port)
        daemons.address_by_id[name] = address

    def _accept(self, sock, _address):
        self.sockets.append(sock)
        self._on_connection(sock)


def never_respond(_sock):
    gevent.sleep(3600)


def authenticate_then_never_respond(sock):
    _peer_auth.perform_handshake(
        sock,
        role=_peer_auth.Role.ACCEPTING,
        identity=_peer_auth.Identity("b", 1),
        secret=peer_fixtures.SECRET,
        max_batch_bytes=100,
    )
    gevent.sleep(3600)


class TestCalls:
    """Each call receives its own answer."""

    def test_answer(self, dialler, acceptor):
        acceptor.handle(messages.ConfigPull, answer_with_number)
        assert dialler.call("b", pull(5), timeout=CALL_TIMEOUT).lent == 5

    def test_handler_receives_the_sender(self, dialler, acceptor):
        senders = []
        acceptor.handle(
            messages.ConfigPull,
            lambda peer, _message, reply: (
                senders.append(peer),
                reply(messages.Ack()),
            ),
        )
        dialler.call("b", pull(5), timeout=CALL_TIMEOUT)
        assert senders == ["a"]

    def test_answers_out_of_order(self, dialler, acceptor):
        received = []
        acceptor.handle(
            messages.ConfigPull,
            lambda _peer, message, reply: received.append((message, reply)),
        )
        calls = [
            gevent.spawn(dialler.call, "b", pull(n), timeout=CALL_TIMEOUT)
            for n in range(3)
        ]
        peer_fixtures.wait_until(lambda: len(received) == 3)
        for message, reply in reversed(received):
            answer_with_number("a", message, reply)
        assert [call.get().lent for call in calls] == [0, 1, 2]

    def test_late_answer_is_discarded(self, dialler, acceptor):
        """Guards against a call that receives another call's answer.

        A call times out, another is made, and then both answers arrive.
        This would happen if answers were matched to calls by their order.
        """
        received = []
        acceptor.handle(
            messages.ConfigPull,
            lambda _peer, message, reply: received.append((message, reply)),
        )
        with pytest.raises(_errors.PeerUnreachable, match="unanswered"):
            dialler.call("b", pull(1), timeout=0.2)
        second = gevent.spawn(dialler.call, "b", pull(2), timeout=CALL_TIMEOUT)
        peer_fixtures.wait_until(lambda: len(received) == 2)
        for message, reply in received:
            answer_with_number("a", message, reply)
        assert second.get().lent == 2

    def test_outer_timeout_is_not_swallowed(self, dialler, acceptor):
        acceptor.handle(messages.ConfigPull, lambda *_: None)
        with pytest.raises(gevent.Timeout):
            with gevent.Timeout(0.1):
                dialler.call("b", pull(1), timeout=CALL_TIMEOUT)

    def test_unknown_kind_fails_at_once(self, dialler, acceptor):
        with pytest.raises(_errors.PeerUnreachable, match="refused"):
            dialler.call("b", pull(1), timeout=CALL_TIMEOUT)

    def test_failing_handler_keeps_the_stream_open(self, dialler, acceptor):
        acceptor.handle(messages.ConfigPull, lambda *_: 1 / 0)
        acceptor.handle(messages.Release, lambda _p, _m, reply: reply(pull(1)))
        with pytest.raises(_errors.PeerUnreachable, match="refused"):
            dialler.call("b", pull(1), timeout=CALL_TIMEOUT)
        answer = dialler.call(
            "b", messages.Release(asks=[]), timeout=CALL_TIMEOUT
        )
        assert answer == pull(1)
        assert acceptor.link_count == 1

    def test_sends_arrive_in_order(self, dialler, acceptor):
        received = []
        acceptor.handle(
            messages.ConfigPull,
            lambda _p, message, _r: received.append(message),
        )
        sent = [pull(number) for number in range(2000)]
        for message in sent:
            dialler.send("b", message)
        peer_fixtures.wait_until(lambda: len(received) == len(sent))
        assert received == sent

    def test_large_message(self, dialler, acceptor):
        acceptor.handle(
            messages.Release, lambda _p, message, reply: reply(message)
        )
        large = messages.Release(asks=list(range(500_000)))
        assert dialler.call("b", large, timeout=CALL_TIMEOUT) == large

    def test_both_sides_count_the_same_bytes(self, dialler, acceptor):
        acceptor.handle(messages.ConfigPull, answer_with_number)
        dialler.call("b", pull(1), timeout=CALL_TIMEOUT)
        assert dialler.bytes_sent == acceptor.bytes_received > 0
        assert dialler.bytes_received == acceptor.bytes_sent > 0


class TestFailures:
    """Every failure of a peer raises `PeerUnreachable`."""

    def test_unknown_peer(self, dialler):
        with pytest.raises(_errors.PeerUnreachable, match="no address"):
            dialler.call("b", pull(1), timeout=CALL_TIMEOUT)

    def test_closed_link_fails_pending_calls(self, dialler, acceptor):
        acceptor.handle(messages.ConfigPull, lambda *_: acceptor.stop())
        with pytest.raises(_errors.PeerUnreachable, match="was closed"):
            dialler.call("b", pull(1), timeout=CALL_TIMEOUT)

    def test_restarted_peer_is_dialled_again(self, daemons, dialler):
        daemons.make("b").handle(messages.ConfigPull, answer_with_number)
        dialler.call("b", pull(1), timeout=CALL_TIMEOUT)
        daemons.links_by_id["b"].stop()
        daemons.make("b").handle(messages.ConfigPull, answer_with_number)
        peer_fixtures.wait_until(lambda: dialler.link_count == 0)
        assert dialler.call("b", pull(2), timeout=CALL_TIMEOUT).lent == 2

    def test_backoff_fails_calls_until_it_expires(
        self, daemons, dialler, acceptor
    ):
        acceptor.handle(messages.ConfigPull, answer_with_number)
        valid_address = daemons.address_by_id["b"]
        daemons.address_by_id["b"] = _peers.Address("127.0.0.1", 1)
        with pytest.raises(_errors.PeerUnreachable, match="was closed"):
            dialler.call("b", pull(1), timeout=CALL_TIMEOUT)
        daemons.address_by_id["b"] = valid_address
        with pytest.raises(_errors.PeerUnreachable, match="retried"):
            dialler.call("b", pull(1), timeout=CALL_TIMEOUT)
        daemons.clock.seconds += 2.0
        assert dialler.call("b", pull(2), timeout=CALL_TIMEOUT).lent == 2

    def test_frozen_peer_fails_the_call(self, daemons, dialler):
        """Guards against calls that hang on a frozen peer.

        The peer's process is frozen, while its kernel still accepts
        connections. Calls would hang if the handshake had no timeout.
        """
        ListeningPeer(daemons, "b", never_respond)
        with pytest.raises(_errors.PeerUnreachable):
            dialler.call("b", pull(1), timeout=CALL_TIMEOUT)

    def test_peer_that_does_not_read_does_not_block_senders(
        self, daemons, dialler
    ):
        """Guards against blocked senders and unbounded memory.

        A peer freezes after the handshake, and its buffers fill up. Senders
        would block if they wrote to the socket themselves, and memory would
        grow if the queue were unbounded.
        """
        ListeningPeer(daemons, "b", authenticate_then_never_respond)
        large = messages.Release(asks=list(range(100_000)))
        with pytest.raises(_errors.PeerUnreachable, match="does not read"):
            for _ in range(1000):
                dialler.send("b", large)
                gevent.sleep(0.001)

    def test_unresponsive_stream_is_closed(self, daemons, dialler):
        """Guards against calls that each wait for their timeout.

        The path to the peer drops all packets, and the connection stays
        open. The stream must be closed for its missing answers, as its
        socket reports no error.
        """
        ListeningPeer(daemons, "b", authenticate_then_never_respond)
        with pytest.raises(_errors.PeerUnreachable, match="unanswered"):
            dialler.call("b", pull(1), timeout=0.2)
        assert dialler.link_count == 1
        daemons.clock.seconds += _peer_link.MAX_UNANSWERED_SECONDS + 1
        with pytest.raises(_errors.PeerUnreachable):
            dialler.call("b", pull(1), timeout=0.2)
        peer_fixtures.wait_until(lambda: dialler.link_count == 0)

    def test_idle_stream_closes(self, daemons, dialler, acceptor):
        acceptor.handle(messages.ConfigPull, answer_with_number)
        dialler.call("b", pull(1), timeout=CALL_TIMEOUT)
        daemons.clock.seconds += 1.0
        peer_fixtures.wait_until(lambda: dialler.link_count == 0)
        peer_fixtures.wait_until(lambda: acceptor.link_count == 0)
        assert dialler.call("b", pull(2), timeout=CALL_TIMEOUT).lent == 2


class TestUnauthenticated:
    """Clients that fail the handshake are disconnected."""

    @pytest.mark.parametrize("data", [b"", b"GET / HTTP/1.1\r\n\r\n" * 90])
    def test_connection_is_closed(self, daemons, acceptor, data):
        with socket.create_connection(daemons.address_by_id["b"]) as client:
            client.sendall(data)
            client.settimeout(CALL_TIMEOUT)
            try:
                assert client.recv(1) == b""
            except ConnectionResetError:
                pass

    def test_wrong_secret_runs_no_handler(self, daemons, acceptor):
        received = []
        acceptor.handle(messages.ConfigPull, lambda *_: received.append(1))
        client = daemons.make("c", secret="another secret of some length")
        with pytest.raises(_errors.PeerUnreachable):
            client.call("b", pull(1), timeout=CALL_TIMEOUT)
        assert not received

    def test_invalid_message_closes_the_stream(self, daemons, acceptor):
        sock = socket.create_connection(daemons.address_by_id["b"])
        session = _peer_auth.perform_handshake(
            sock,
            role=_peer_auth.Role.DIALLING,
            identity=_peer_auth.Identity("c", 1),
            secret=peer_fixtures.SECRET,
            max_batch_bytes=100,
        )
        sock.sendall(session.signer.sign(b"no frames"))
        sock.settimeout(CALL_TIMEOUT)
        assert sock.recv(1) == b""
        sock.close()


class TestTls:
    """Connections with certificates of the fleet's authority."""

    @pytest.fixture
    def make_tls_settings(self):
        def make_tls_settings(name):
            return settings.TlsSettings(
                certificate=str(CERTIFICATES / f"{name}.pem"),
                key=str(CERTIFICATES / f"{name}-key.pem"),
                authority=str(CERTIFICATES / "authority.pem"),
            )

        return make_tls_settings

    def test_call(self, daemons, make_tls_settings):
        dialler = daemons.make("a", tls=make_tls_settings("daemon"))
        acceptor = daemons.make("b", tls=make_tls_settings("daemon"))
        acceptor.handle(
            messages.Release, lambda _p, message, reply: reply(message)
        )
        large = messages.Release(asks=list(range(100_000)))
        assert dialler.call("b", large, timeout=CALL_TIMEOUT) == large

    def test_another_authority_is_refused(self, daemons, make_tls_settings):
        dialler = daemons.make("a", tls=make_tls_settings("stranger"))
        acceptor = daemons.make("b", tls=make_tls_settings("daemon"))
        acceptor.handle(messages.ConfigPull, answer_with_number)
        with pytest.raises(_errors.PeerUnreachable):
            dialler.call("b", pull(1), timeout=CALL_TIMEOUT)
        assert acceptor.link_count == 0
