"""A fleet of daemons, each with links of its own to all replicas."""

import collections
import itertools

import gevent
from gevent import socket
import msgspec

from standins import _cut_link
from tests.topazlug.forwarding import forwarding_fixtures as fixtures
from tests.topazlug_platform import crash_fleet
from tests.topazlug_platform import platform_rig
from topazlug.forwarding import _table
from topazlug.targets import _cold_replicas

CUT = _cut_link.Cut
wait_until = crash_fleet.wait_until


class CutFleet(crash_fleet.CrashFleet):
    """A fleet whose daemons can be cut off from all replicas.

    Callers, other daemons and the store still reach such a daemon.
    """

    def __init__(self, *routes, daemons=3, replicas=4):
        self.links_by_daemon = collections.defaultdict(dict)
        self._sent = itertools.count(1)
        self._is_streaming = routes[0].kind is _table.RequestKind.STREAM
        super().__init__(*routes, daemons=daemons, replicas=replicas)
        self.wait_joined()

    def list_replicas(self):
        for number, daemon in enumerate(self.daemons):
            links = self.links_by_daemon[number]
            targets = []
            for replica in self.replicas:
                if replica.name not in links:
                    port = replica.target.port
                    links[replica.name] = _cut_link.CutLink(port)
                targets.append(
                    msgspec.structs.replace(
                        replica.target, port=links[replica.name].port
                    )
                )
            daemon.replicas.update(targets)

    def cut_off(self, how, *numbers):
        """Cut these daemons off from all replicas."""
        for number in numbers:
            for link in self.links_by_daemon[number].values():
                link.cut(how)

    def heal(self, *numbers):
        """Restore the links of these daemons."""
        for number in numbers:
            for link in self.links_by_daemon[number].values():
                link.heal()

    def is_cut_off(self, number):
        """Return whether a daemon has noticed that it is cut off."""
        return self.daemons[number]._path_check.is_cut_off(fixtures.GROUP)

    def connections(self, number):
        """Return the connections of a daemon to replicas so far."""
        links = self.links_by_daemon[number].values()
        return sum(link.connections for link in links)

    def warm_up(self, path="/a/x"):
        """Send requests until each daemon has served some."""
        for number in range(len(self.daemons)):
            crash_fleet.wait_until(lambda: self.try_(number, path)[0] == 200)
            for _ in range(4):
                self.try_(number, path)

    def try_(self, number, path="/a/x", *, fields=()):
        """Send a request once; return status, fields and body.

        Its body is unique, so that the runs of each try can be counted.
        """
        kind = "stream" if self._is_streaming else "try"
        name = f"{kind}-{next(self._sent)}".encode()
        with self._send(number, name, path, *fields) as sock:
            with gevent.Timeout(20):
                return platform_rig.read_all(sock)

    def _send(self, number, body, path="/a/x", *fields):
        """Send a request; return the connection."""
        sent = platform_rig.request(*fields, body=body, path=path).replace(
            b"X-Attempt-Id: a1", b"X-Attempt-Id: " + body[:20].split()[0]
        )
        port = self.daemons[number].callers_port
        sock = socket.create_connection(("127.0.0.1", port))
        sock.sendall(sent)
        return sock

    def send_silent(self, number):
        """Send a request that gets no answer from its replica."""
        self.send(number, crash_fleet.SILENT)

    def begin_slow_stream(self, number):
        """Send a request whose stream does not end; return the connection."""
        return self._send(number, crash_fleet.SLOW)

    def open_connections(self):
        """Return the number of connections that replicas hold."""
        return sum(len(one._sockets) for one in self.replicas)

    def delegated(self, number):
        """Return how many requests a daemon had others serve."""
        return self.daemons[number]._delegation.delegator.sent_count

    def delegation_port(self, number):
        """Return the port of a daemon for requests of others."""
        return self._delegation[number]

    def cut_links(self, number, replica):
        """Cut the link of one daemon to one replica."""
        self.links_by_daemon[number][replica].cut(CUT.RESET)

    def silence_replicas(self):
        """Have all replicas answer no request from now on."""
        for replica in self.replicas:
            replica.is_silent = True

    def limit_cold_starts(self):
        """Configure a limit for replicas that have just started."""
        limits = {fixtures.GROUP: _cold_replicas.ColdStart(3.0, 2.0)}
        for daemon in self.daemons:
            daemon.targets.cold.set_cold_starts(limits)

    def add_route(self, *numbers, prefix):
        """Put a newer table with one more route in force at some daemons."""
        added = fixtures.route(name="added", prefix=prefix)
        for number in numbers:
            self.daemons[number].update_table(
                fixtures.table(*self._routes, added, version=2)
            )

    def last_fields(self):
        """Return the fields of the last request that a replica received."""
        name = self.runs[-1][0]
        replica = next(one for one in self.replicas if one.name == name)
        lines = replica.last_head.decode().split("\r\n")[1:]
        return dict(line.lower().split(": ", 1) for line in lines)

    def statuses(self, number, count, path="/a/x", *, pause=0.0):
        """Send requests one after the other; return their statuses."""
        found = []
        for _ in range(count):
            found.append(self.try_(number, path)[0])
            gevent.sleep(pause)
        return found

    def notice_cut(self, *numbers):
        """Wait until these daemons have noticed the cut or serve despite it.

        With connections that live on, a daemon may need no new one.
        """
        for number in numbers:
            crash_fleet.wait_until(
                lambda: self.try_(number)[0] == 200 or self.is_cut_off(number)
            )

    def runs_by_try(self):
        """Return how often each try began to run on a replica."""
        return collections.Counter(body for _, body in self.runs)

    def stop(self):
        super().stop()
        for links in self.links_by_daemon.values():
            for link in links.values():
                link.stop()


def refuses_connections(port):
    """Return whether nothing listens at a port."""
    try:
        socket.create_connection(("127.0.0.1", port), timeout=0.5).close()
    except OSError:
        return True
    return False
