"""TCP relay that can cut, delay or hold back the data it forwards."""

import socket
import time
from typing import Any
from typing import final

import click
import gevent
from gevent import event
from gevent import queue
from gevent import server as gevent_server
from gevent import socket as gevent_socket
import msgspec

from standins import _http

CHUNK_BYTES = 65536
QUEUE_CHUNKS = 1024


@final
class Faults(msgspec.Struct, kw_only=True):
    """Faults of the link; `delay` is in seconds, for each direction."""

    cut: bool = False
    blackhole: bool = False
    delay: float = 0.0


@final
class RelayCounters(msgspec.Struct, kw_only=True):
    """Totals since the start.

    Attributes
    ----------
    connections : int
        Connections that were opened to the target address.
    chunks : int
        Chunks that were forwarded, in both directions.
    """

    connections: int = 0
    chunks: int = 0


@final
class Relay:
    """Forwards connections to one address.

    Parameters
    ----------
    host, port
        The target address.
    """

    def __init__(self, *, host: str, port: int) -> None:
        self.faults = Faults()
        self.counters = RelayCounters()
        self._target = (host, port)
        self._open_sockets: set[Any] = set()
        self._unblocked = event.Event()
        self._unblocked.set()

    def control_answer(self, request: _http.Request) -> _http.Answer:
        """Answer one request on the control port."""
        if request.path == "/passed":
            return _http.json_answer(200, self.counters)
        if request.path != "/faults":
            return _http.error_answer(404, "no_path", request.path)
        answer = _http.faults_answer(self.faults, request)
        self._apply()
        return answer

    def set_faults(self, faults: Faults) -> None:
        """Replace the faults in force."""
        self.faults = faults
        self._apply()

    def _apply(self) -> None:
        if self.faults.blackhole:
            self._unblocked.clear()
        else:
            self._unblocked.set()
        if self.faults.cut:
            self._close_all()

    def handle(self, client: Any, _: Any) -> None:
        """Relay one accepted connection until either end closes."""
        if self.faults.cut:
            _reset(client)
            return
        self._open_sockets.add(client)
        try:
            self._relay(client)
        finally:
            self._open_sockets.discard(client)
            client.close()

    def _relay(self, client: Any) -> None:
        self._unblocked.wait()
        try:
            target = gevent_socket.create_connection(self._target)
        except OSError:
            return
        self._open_sockets.add(target)
        self.counters.connections += 1
        for sock in (client, target):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        forwarders = [
            gevent.spawn(self._forward, client, target),
            gevent.spawn(self._forward, target, client),
        ]
        try:
            gevent.joinall(forwarders)
        finally:
            gevent.killall(forwarders)
            self._open_sockets.discard(target)
            target.close()

    def _forward(self, source: Any, sink: Any) -> None:
        chunks: queue.Queue[tuple[float, bytes]] = queue.Queue(QUEUE_CHUNKS)
        writer = gevent.spawn(self._write, chunks, source, sink)
        try:
            while True:
                data = source.recv(CHUNK_BYTES)
                due = time.monotonic() + self.faults.delay
                chunks.put((due, data))
                if not data:
                    break
            writer.join()
        except OSError:
            _shut_down(sink)
        finally:
            writer.kill()

    def _write(self, chunks: Any, source: Any, sink: Any) -> None:
        while True:
            due, data = chunks.get()
            wait = due - time.monotonic()
            if wait > 0:
                gevent.sleep(wait)
            self._unblocked.wait()
            try:
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(data)
                self.counters.chunks += 1
            except OSError:
                # Ends the reader, which would block on the full queue.
                _shut_down(source)
                return

    def _close_all(self) -> None:
        for sock in list(self._open_sockets):
            _shut_down(sock)


def _shut_down(sock: Any) -> None:
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass


def _reset(sock: Any) -> None:
    linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    sock.close()


@click.command()
@click.option("--listen", default=0)
@click.option("--to", "target", required=True, help="host:port.")
@click.option("--control", default=0)
@click.option("--max-seconds", default=3600.0)
def relay(listen: int, target: str, control: int, max_seconds: float) -> None:
    """Relay TCP; READY shows the relay's port, then the control port."""
    host, _, port = target.rpartition(":")
    made = Relay(host=host, port=int(port))
    listener = gevent_server.StreamServer(
        (_http.HOST, listen), made.handle, backlog=_http.BACKLOG
    )
    listener.start()
    controls = _http.server(made.control_answer, control)
    ports = {"relay": listener.server_port, "control": controls.server_port}
    _http.run_until_stopped(ports, max_seconds)
