"""Detection of connections whose other end has vanished without a reset.

Two mechanisms of TCP are needed: retransmissions show it while data is
unacknowledged, keepalive probes while nothing is sent. On Linux a user
timeout decides for both when they give up, and the number of probes counts
only without one. So all options follow from one figure here.
"""

import socket

_PROBE_INTERVAL_SECONDS = 1


def limit_silence(sock: socket.socket, *, seconds: int) -> None:
    """Have a connection fail after some time without acknowledgements.

    Parameters
    ----------
    sock : socket
        The connection.
    seconds : int
        Time after which it fails, more than a second: a healthy peer may be
        silent for that long.
    """
    tcp = socket.IPPROTO_TCP
    probes = seconds // _PROBE_INTERVAL_SECONDS - 1
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, _PROBE_INTERVAL_SECONDS)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, _PROBE_INTERVAL_SECONDS)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, max(1, probes))
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, 1000 * seconds)
