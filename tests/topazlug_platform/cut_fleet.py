"""A fleet of daemons, each with links of its own to all replicas."""

import collections
import itertools

import gevent
from gevent import socket
import msgspec

from standins import _cut_link
from tests.topazlug_platform import crash_fleet
from tests.topazlug_platform import platform_rig

CUT = _cut_link.Cut


class CutFleet(crash_fleet.CrashFleet):
    """A fleet whose daemons can be cut off from all replicas.

    Callers, other daemons and the store still reach such a daemon.
    """

    def __init__(self, *routes, daemons=3, replicas=4):
        self.links_by_daemon = collections.defaultdict(dict)
        self._sent = itertools.count(1)
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
        return self.daemons[number]._path_check.is_cut_off

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

    def try_(self, number, path="/a/x"):
        """Send a request once; return status, fields and body.

        Its body is unique, so that the runs of each try can be counted.
        """
        name = f"try-{next(self._sent)}".encode()
        sent = platform_rig.request(body=name, path=path).replace(
            b"X-Attempt-Id: a1", b"X-Attempt-Id: " + name
        )
        port = self.daemons[number].callers_port
        with socket.create_connection(("127.0.0.1", port)) as sock:
            sock.sendall(sent)
            with gevent.Timeout(20):
                return platform_rig.read_all(sock)

    def statuses(self, number, count, path="/a/x", *, pause=0.0):
        """Send requests one after the other; return their statuses."""
        found = []
        for _ in range(count):
            found.append(self.try_(number, path)[0])
            gevent.sleep(pause)
        return found

    def notice_cut(self, *numbers, path="/a/x"):
        """Send requests until these daemons have noticed their cut."""
        for number in numbers:
            crash_fleet.wait_until(
                lambda: self.is_cut_off(number)
                or not self.try_(number, path)
                or self.is_cut_off(number)
            )

    def runs_by_try(self):
        """Return how often each try began to run on a replica."""
        return collections.Counter(body for _, body in self.runs)

    def stop(self):
        super().stop()
        for links in self.links_by_daemon.values():
            for link in links.values():
                link.stop()
