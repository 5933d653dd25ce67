"""Message streams between daemons, each a `Link` over one connection.

A daemon dials a peer when it first sends it a message, keeps the stream
while it is in use, and receives answers on the stream on which it sent the
requests. Frames to one peer arrive in the order in which they were sent, as
long as the stream is open. When it fails, queued messages are lost and
pending calls fail.

Each connection is read by a greenlet of its own. Queued frames are written
in batches from the event loop; a greenlet takes over when a write would
block, and ends when the queue is empty.
"""

from collections.abc import Callable
from typing import NamedTuple
from typing import final

import gevent
from gevent import server
from gevent import socket
import logbook
import msgspec

from topazlug import _clock
from topazlug import _connection_loss
from topazlug import _errors
from topazlug import _ids
from topazlug._generated import settings as _settings
from topazlug.peers import _peer_auth
from topazlug.peers import _peer_backoff
from topazlug.peers import _peer_codec
from topazlug.peers import _peer_connections
from topazlug.peers import _peer_link

IDLE_SECONDS = 60.0
ACCEPTED_IDLE_MARGIN_SECONDS = 30.0
REAPS_PER_IDLE_PERIOD = 4
MAX_PENDING_HANDSHAKES = 128
BACKLOG = 1024
_MAX_STREAM_SILENCE_SECONDS = 3

_log = logbook.Logger("topazlug.peers")

Reply = Callable[[msgspec.Struct], None]
Handler = Callable[[_ids.DaemonId, msgspec.Struct, Reply], None]


def ignore_reply(message: msgspec.Struct) -> None:
    """Ignore the reply to a one-way message."""


class Address(NamedTuple):
    """An IP address and a TCP port."""

    host: str
    port: int


@final
class PeerLinks:
    """Manages the connections to and from other daemons.

    Parameters
    ----------
    daemon_id : DaemonId
        This daemon.
    incarnation : int
        Increases with each start of the daemon.
    settings : PeerSettings
        Secret, certificates, limits and timeouts.
    clock : Clock
        Source of monotonic time.
    address_of : callable
        Returns the address at which a daemon listens, None if unknown.
    idle_seconds : float
        Time without traffic after which a dialled stream is closed.

    Attributes
    ----------
    bytes_sent, bytes_received : int
        Total of all connections, handshakes included, without TCP and IP
        headers.
    """

    def __init__(
        self,
        *,
        daemon_id: _ids.DaemonId,
        incarnation: int,
        settings: _settings.PeerSettings,
        clock: _clock.Clock,
        address_of: Callable[[_ids.DaemonId], Address | None],
        idle_seconds: float = IDLE_SECONDS,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._address_of = address_of
        self._idle_seconds = idle_seconds
        self._backoff = _peer_backoff.Backoff(clock=clock)
        self._connector = _peer_connections.Connector(
            identity=_peer_auth.Identity(daemon_id, incarnation),
            settings=settings,
        )
        self._handler_by_kind: dict[str, Handler] = {}
        self._dialled_by_id: dict[_ids.DaemonId, _peer_link.Link] = {}
        self._accepted: set[_peer_link.Link] = set()
        self._greenlets: set[gevent.Greenlet] = set()
        self._before_each_message: Callable[[], object] = _do_nothing
        self._pending_handshakes = 0
        self._server: server.StreamServer | None = None
        self._stopped = False
        self._reaper = gevent.spawn(self._reap_forever)

    @property
    def bytes_sent(self) -> int:
        """Bytes written so far."""
        return self._connector.traffic.sent

    @property
    def bytes_received(self) -> int:
        """Bytes read so far."""
        return self._connector.traffic.received

    @property
    def max_frame_bytes(self) -> int:
        """Largest frame that can be sent."""
        return self._settings.max_frame_bytes

    @property
    def link_count(self) -> int:
        """Number of connections that are open or being opened."""
        return len(self._dialled_by_id) + len(self._accepted)

    def serve(self, *, host: str, port: int) -> int:
        """Listen for peers.

        Returns
        -------
        int
            The bound port.

        Raises
        ------
        OSError
            If the address can't be bound.
        """
        self._server = server.StreamServer(
            (host, port), self._accept, backlog=BACKLOG
        )
        self._server.start()
        return int(self._server.server_port)

    def handle(self, kind: type[msgspec.Struct], handler: Handler) -> None:
        """Register the handler of a kind of message.

        It runs in the connection's greenlet, must not block for long, and
        may reply at once, later from another greenlet, or never. For a
        one-way message it receives `ignore_reply` as the reply callback.
        """
        self._handler_by_kind[kind.__name__] = handler

    def before_each_message(self, callback: Callable[[], object]) -> None:
        """Set the callback that is called before each message is handled.

        When this process resumes after a freeze, its sockets hold old
        messages. The callback can detect the freeze before they are handled.
        """
        self._before_each_message = callback

    def send(self, to: _ids.DaemonId, message: msgspec.Struct) -> None:
        """Queue a one-way message without blocking.

        Raises
        ------
        PeerUnreachable
            If the peer is unreachable. Without an exception, the message
            may still be lost.
        """
        self._link_to(to).post(message, call=_peer_codec.ONE_WAY)

    def call(
        self, to: _ids.DaemonId, message: msgspec.Struct, *, timeout: float
    ) -> msgspec.Struct:
        """Send a request to a peer and wait for its answer.

        Parameters
        ----------
        timeout : float
            Maximum wait in seconds, including the time to connect.

        Raises
        ------
        PeerUnreachable
            If the call times out, the connection fails, the peer refuses to
            answer, or the peer is in backoff.
        """
        return self._link_to(to).call(message, timeout=timeout)

    def open_stream(
        self, to: _ids.DaemonId, address: Address
    ) -> socket.socket:
        """Open an authenticated connection that carries no messages.

        Raises
        ------
        PeerRefused
            If it is not the expected peer, or not a member of the fleet.
        OSError
            If the connection fails or the handshake times out.
        """
        counted, _session = self._connector.dial(*address, expected=to)
        return _limit_silence(counted.detach())

    def accept_stream(
        self, sock: socket.socket
    ) -> tuple[socket.socket, _ids.DaemonId]:
        """Authenticate a connection that `open_stream` has opened.

        Returns
        -------
        tuple
            The connection to use from now on, and the daemon at its other
            end.

        Raises
        ------
        PeerRefused
            If it is not a member of the fleet.
        OSError
            If the connection fails or the handshake times out.
        """
        counted, session = self._connector.accept(sock)
        sock = _limit_silence(counted.detach())
        return sock, session.peer.daemon_id

    def received_since(self, peer: _ids.DaemonId, moment: float) -> bool:
        """Return whether a peer has sent data on the stream dialled to it.

        Parameters
        ----------
        moment : float
            Start of the period, in monotonic seconds.
        """
        link = self._dialled_by_id.get(peer)
        return link is not None and link.last_received >= moment

    def disconnect(self, peer: _ids.DaemonId) -> None:
        """Close the stream dialled to a peer, if there is one."""
        link = self._dialled_by_id.get(peer)
        if link is not None:
            link.close()

    def stop(self) -> None:
        """Stop listening and close all connections."""
        self._stopped = True
        if self._server is not None:
            self._server.stop()
        for link in [*self._dialled_by_id.values(), *self._accepted]:
            link.close()
        gevent.killall([self._reaper, *self._greenlets], block=True)

    def _link_to(self, to: _ids.DaemonId) -> _peer_link.Link:
        link = self._dialled_by_id.get(to)
        if link is not None and not link.closed:
            return link
        if self._stopped:
            raise _errors.PeerUnreachable("this daemon is stopping")
        self._backoff.check(to)
        address = self._address_of(to)
        if address is None:
            raise _errors.PeerUnreachable(f"no address of {to!r} is known")
        link = self._new_link(to)
        self._dialled_by_id[to] = link
        self._spawn(self._dial, to, address, link)
        return link

    def _reap_forever(self) -> None:
        # The dialling side closes idle streams first. The accepting side
        # waits longer, and closes only streams whose dialler has gone
        # without closing them.
        while True:
            self._clock.sleep(self._idle_seconds / REAPS_PER_IDLE_PERIOD)
            now = self._clock.monotonic()
            dialled_limit = now - self._idle_seconds
            accepted_limit = dialled_limit - ACCEPTED_IDLE_MARGIN_SECONDS
            for link in list(self._dialled_by_id.values()):
                if (
                    link.last_used < dialled_limit
                    and not link.has_pending_calls
                ):
                    link.close()
            for link in list(self._accepted):
                if link.last_used < accepted_limit:
                    link.close()

    def _new_link(self, name: str) -> _peer_link.Link:
        return _peer_link.Link(
            name=name,
            clock=self._clock,
            max_frame_bytes=self._settings.max_frame_bytes,
        )

    def _spawn(self, function: Callable[..., None], *args: object) -> None:
        greenlet = gevent.spawn(function, *args)
        self._greenlets.add(greenlet)
        greenlet.rawlink(self._greenlets.discard)

    def _dial(
        self, to: _ids.DaemonId, address: Address, link: _peer_link.Link
    ) -> None:
        authenticated = False
        try:
            sock, session = self._connector.dial(*address, expected=to)
            authenticated = True
            self._backoff.record_success(to)
            if link.closed:
                sock.close()
                return
            link.open(sock, session)
            link.read(
                session.verifier, lambda frame: _handle_answer(link, frame)
            )
        except _errors.TopazlugError as error:
            _log.warning("stream to {} failed: {}", to, error)
            authenticated = False
        except OSError as error:
            _log.info("stream to {} ended: {}", to, error)
        finally:
            if not authenticated:
                self._backoff.record_failure(to)
            link.close()
            if self._dialled_by_id.get(to) is link:
                del self._dialled_by_id[to]

    def _accept(self, sock: socket.socket, address: object) -> None:
        # A client that opens connections and sends nothing holds a greenlet
        # for each until the handshake times out. Connections beyond this
        # number are closed at once, to bound memory.
        if self._pending_handshakes >= MAX_PENDING_HANDSHAKES or self._stopped:
            sock.close()
            return
        self._greenlets.add(gevent.getcurrent())
        try:
            self._serve_connection(sock)
        except _errors.TopazlugError as error:
            _log.warning("connection from {} failed: {}", address, error)
        except OSError as error:
            _log.info("connection from {} ended: {}", address, error)
        finally:
            self._greenlets.discard(gevent.getcurrent())
            sock.close()

    def _serve_connection(self, sock: socket.socket) -> None:
        self._pending_handshakes += 1
        try:
            counted, session = self._connector.accept(sock)
        finally:
            self._pending_handshakes -= 1
        self._serve_link(counted, session)

    def _serve_link(
        self,
        sock: _peer_connections.CountedSocket,
        session: _peer_auth.Session,
    ) -> None:
        link = self._new_link(session.peer.daemon_id)
        self._accepted.add(link)
        try:
            link.open(sock, session)
            peer = session.peer.daemon_id
            link.read(
                session.verifier,
                lambda frame: self._dispatch(peer, link, frame),
            )
        finally:
            self._accepted.discard(link)
            link.close()

    def _dispatch(
        self,
        peer: _ids.DaemonId,
        link: _peer_link.Link,
        frame: _peer_codec.Frame,
    ) -> None:
        handler = self._handler_by_kind.get(frame.kind)
        if handler is None or frame.message is None:
            _log.debug(
                "{} sent message of unknown kind {!r}", peer, frame.kind
            )
            _send_refusal(link, frame)
            return
        try:
            self._before_each_message()
            handler(peer, frame.message, _reply_callback(link, frame))
        except Exception:
            # A message whose handler fails must not close the stream, as
            # all other pending calls on it would fail too.
            _log.exception("handler of {} from {} failed", frame.kind, peer)
            _send_refusal(link, frame)


def _limit_silence(sock: socket.socket) -> socket.socket:
    """Return a stream that ends if the other daemon vanishes.

    A stream carries no heartbeats, and may wait for an answer for minutes.
    """
    _connection_loss.limit_silence(sock, seconds=_MAX_STREAM_SILENCE_SECONDS)
    return sock


def _do_nothing() -> None:
    pass


def _handle_answer(link: _peer_link.Link, frame: _peer_codec.Frame) -> None:
    if frame.call < 0:
        link.resolve_call(frame)


def _send_refusal(link: _peer_link.Link, frame: _peer_codec.Frame) -> None:
    if frame.call > 0 and not link.closed:
        link.post_frame(_peer_codec.encode_refusal(frame.call))


def _reply_callback(link: _peer_link.Link, frame: _peer_codec.Frame) -> Reply:
    if frame.call <= 0:
        return ignore_reply

    def reply(message: msgspec.Struct) -> None:
        if link.closed:
            return
        try:
            link.post(message, call=-frame.call)
        except _errors.PeerUnreachable as error:
            _log.info("answer could not be sent: {}", error)

    return reply
