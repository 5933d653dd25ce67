"""Establishes connections between daemons, handshake included."""

import os
from typing import final

import gevent
from gevent import socket
from gevent import ssl

from topazlug import _ids
from topazlug._generated import settings as _settings
from topazlug.peers import _peer_auth
from topazlug.peers import _peer_tls

# Frames are joined into batches up to this size. A larger frame is sent in a
# batch of its own.
BATCH_BYTES = 65536
UNACKNOWLEDGED_TIMEOUT_MILLISECONDS = 5000


@final
class Traffic:
    """Bytes of all connections of one daemon, without TCP headers."""

    def __init__(self) -> None:
        self.sent = 0
        self.received = 0


@final
class CountedSocket:
    """A socket that counts its bytes in `Traffic`."""

    def __init__(self, sock: socket.socket, traffic: Traffic) -> None:
        self._sock = sock
        self._traffic = traffic
        self._is_tls = isinstance(sock, ssl.SSLSocket)

    def recv(self, size: int, /) -> bytes:
        """Read at most `size` bytes; empty at the end of the stream."""
        data: bytes = self._sock.recv(size)
        self._traffic.received += len(data)
        return data

    def sendall(self, data: bytes, /) -> None:
        """Write all of `data`."""
        self._sock.sendall(data)
        self._traffic.sent += len(data)

    def try_send(self, data: bytes, /) -> bytes:
        """Write without blocking; return the bytes that were not written."""
        if self._is_tls:
            return data
        try:
            sent = os.write(self._sock.fileno(), data)
        except BlockingIOError:
            return data
        self._traffic.sent += sent
        return data[sent:]

    def detach(self) -> socket.socket:
        """Return the connection itself, whose bytes are no longer counted."""
        return self._sock

    def close(self) -> None:
        """Close the connection and wake a greenlet that reads from it."""
        self._sock.close()


@final
class Connector:
    """Opens and accepts authenticated connections.

    Parameters
    ----------
    identity : Identity
        This daemon.
    settings : PeerSettings
        Secret, certificates, bounds and timeout.
    """

    def __init__(
        self,
        *,
        identity: _peer_auth.Identity,
        settings: _settings.PeerSettings,
    ) -> None:
        self.traffic = Traffic()
        self._identity = identity
        self._settings = settings
        tls = settings.tls
        self._client_tls = _peer_tls.client_context(tls) if tls else None
        self._server_tls = _peer_tls.server_context(tls) if tls else None

    def dial(
        self, host: str, port: int, *, expected: _ids.DaemonId
    ) -> tuple[CountedSocket, _peer_auth.Session]:
        """Connect to a peer.

        Raises
        ------
        PeerRefused
            If it is not the expected peer, or not a member of the fleet.
        OSError
            If the connection fails or the handshake times out.
        """
        with self._timeout():
            # create_connection() would resolve even an IP number in a thread
            # pool, which would be half the cost of a new connection.
            family = socket.AF_INET6 if ":" in host else socket.AF_INET
            sock = socket.socket(family, socket.SOCK_STREAM)
            try:
                sock.connect((host, port))
                _set_options(sock)
                if self._client_tls is not None:
                    sock = self._client_tls.wrap_socket(sock)
                role = _peer_auth.Role.DIALLING
                return self._authenticated(sock, role, expected)
            except BaseException:
                sock.close()
                raise

    def accept(
        self, sock: socket.socket
    ) -> tuple[CountedSocket, _peer_auth.Session]:
        """Authenticate a connected peer; close the socket on failure.

        Raises
        ------
        PeerRefused
            If it is not a member of the fleet.
        OSError
            If the connection fails or the handshake times out.
        """
        with self._timeout():
            try:
                _set_options(sock)
                if self._server_tls is not None:
                    sock = self._server_tls.wrap_socket(sock, server_side=True)
                return self._authenticated(
                    sock, _peer_auth.Role.ACCEPTING, None
                )
            except BaseException:
                sock.close()
                raise

    def _timeout(self) -> gevent.Timeout:
        return gevent.Timeout(
            self._settings.connect_timeout, TimeoutError("handshake timed out")
        )

    def _authenticated(
        self,
        sock: socket.socket,
        role: _peer_auth.Role,
        expected: _ids.DaemonId | None,
    ) -> tuple[CountedSocket, _peer_auth.Session]:
        counted = CountedSocket(sock, self.traffic)
        session = _peer_auth.perform_handshake(
            counted,
            role=role,
            identity=self._identity,
            secret=self._settings.secret,
            max_batch_bytes=self._settings.max_frame_bytes + BATCH_BYTES,
            expected=expected,
        )
        return counted, session


def _set_options(sock: socket.socket) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    # When packets are lost, TCP retransmits for a quarter of an hour at
    # growing intervals, so the link would stay unusable for minutes after
    # the network recovers. A new connection works at once.
    sock.setsockopt(
        socket.IPPROTO_TCP,
        socket.TCP_USER_TIMEOUT,
        UNACKNOWLEDGED_TIMEOUT_MILLISECONDS,
    )
