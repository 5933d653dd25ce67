"""Tests of when a connection to a vanished peer ends."""

import errno
import socket

import gevent
from gevent import server
from gevent import socket as gevent_socket
import pytest

from topazlug import _connection_loss
from topazlug.targets import _target_client

# Linux's value; Python's socket module does not define it.
_SO_ATTACH_FILTER = 26


def vanish(sock):
    """Drop all that arrives at a socket, so that nothing is acknowledged."""
    import ctypes
    import struct

    code = struct.pack("HBBI", 0x06, 0, 0, 0)
    buffer = ctypes.create_string_buffer(code, len(code))
    program = struct.pack("HP", 1, ctypes.addressof(buffer))
    sock.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, program)


@pytest.fixture
def accepted():
    """Return a listener's port and its accepted sockets."""
    sockets = []

    def keep(sock, address):
        sockets.append(sock)
        gevent.sleep(60)

    listener = server.StreamServer(("127.0.0.1", 0), keep)
    listener.start()
    yield listener.server_port, sockets
    listener.stop(timeout=0)


def connect(accepted, *, seconds):
    port, sockets = accepted
    sock = gevent_socket.create_connection(("127.0.0.1", port))
    _connection_loss.limit_silence(sock, seconds=seconds)
    while not sockets:
        gevent.sleep(0.01)
    return sock


class TestLimitSilence:
    @pytest.mark.parametrize("seconds", [2, 3])
    def test_probes_and_user_timeout_agree(self, accepted, seconds):
        """With a user timeout the number of probes does not count."""
        sock = connect(accepted, seconds=seconds)
        tcp = socket.IPPROTO_TCP
        idle = sock.getsockopt(tcp, socket.TCP_KEEPIDLE)
        interval = sock.getsockopt(tcp, socket.TCP_KEEPINTVL)
        probes = sock.getsockopt(tcp, socket.TCP_KEEPCNT)
        timeout = sock.getsockopt(tcp, socket.TCP_USER_TIMEOUT)
        assert timeout == 1000 * (idle + interval * probes) == 1000 * seconds

    @pytest.mark.parametrize("sends", [False, True])
    def test_connection_to_a_vanished_peer_ends(self, accepted, sends):
        """It stayed open, and a request on it waited for its deadline."""
        sock = connect(accepted, seconds=2)
        vanish(accepted[1][0])
        if sends:
            sock.sendall(b"x")
        with gevent.Timeout(20), pytest.raises(OSError) as failure:
            sock.recv(1)
        assert failure.value.errno == errno.ETIMEDOUT

    def test_silence_of_a_second_is_borne(self):
        assert _target_client._MAX_SILENCE_SECONDS > 1.5
