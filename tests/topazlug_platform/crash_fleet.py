"""A fleet of daemons with replicas that requests can crash."""

import itertools

import gevent
from gevent import server
from gevent import socket
import msgspec
from topazlug_platform import headers
from topazlug_platform import reports

from bench.fleets import processes
from tests.topazlug import routing_fixtures
from tests.topazlug import wire_fixtures
from tests.topazlug.fleet import store_fakes
from tests.topazlug.forwarding import forwarding_fixtures as fixtures
from tests.topazlug_platform import platform_rig
from topazlug import _clock
from topazlug import _errors
from topazlug import _ids
from topazlug._generated import settings
from topazlug.crashes import _crash_records
from topazlug.forwarding import _daemon

CRASHING = b"crashes whoever runs it"
ORDINARY = b"does no harm"
# Requests that begin with this get a stream.
STREAMED = b"stream"
# These get no answer.
SILENT = b"silent"
SLOW = b"does no harm, and takes long"
_RUN_SECONDS = 0.02


class StoreView:
    """One daemon's access to the store, which can be cut."""

    def __init__(self, store):
        self._store = store
        self.is_cut = False

    def _call(self, method, *args, **options):
        if self.is_cut:
            raise _errors.StoreUnavailable("cut off")
        found = getattr(self._store, method)(*args, **options)
        if self.is_cut:
            raise _errors.StoreUnavailable("cut off")
        return found

    def rows(self, table):
        return self._call("rows", table)

    def changes(self, table, *, after, wait):
        return self._call("changes", table, after=after, wait=wait)

    def write(self, table, rows, *, new=()):
        return self._call("write", table, rows, new=new)


class Replica:
    """A replica; the body of a request selects whether it crashes."""

    def __init__(self, name, runs, *, start=1):
        self.name = name
        self.runs = runs
        self.is_running = True
        self.is_silent = False
        self.last_head = b""
        self._sockets = set()
        self._server = server.StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.target = fixtures.target(
            name, port=self._server.server_port, incarnation=start
        )

    def _serve(self, sock, address):
        self._sockets.add(sock)
        try:
            while data := wire_fixtures.read_request(sock):
                self._answer(sock, data)
        except OSError:
            return
        finally:
            self._sockets.discard(sock)

    def _answer(self, sock, data):
        head, _, body = data.partition(b"\r\n\r\n")
        self.last_head = head
        self.runs.append((self.name, body))
        attempt = attempt_of(data)
        gevent.sleep(_RUN_SECONDS)
        if body == CRASHING:
            self.crash()
        if self.is_silent:
            gevent.sleep(60)
        if body.startswith(SILENT):
            gevent.sleep(60)
        if body.startswith(STREAMED):
            self._stream(sock, attempt)
            return
        if body == SLOW:
            sock.sendall(platform_rig.stream_head(attempt))
            sock.sendall(platform_rig.chunk(platform_rig.event(1)))
            gevent.sleep(60)
        sock.sendall(platform_rig.answer(attempt=attempt))

    def _stream(self, sock, attempt):
        sock.sendall(platform_rig.stream_head(attempt))
        for number in range(1, 4):
            sock.sendall(platform_rig.chunk(platform_rig.event(number)))
        sock.sendall(platform_rig.END)

    def crash(self):
        """Close the listener and all connections, as if the process ended."""
        if not self.is_running:
            return
        self.is_running = False
        self._server.stop(timeout=0)
        for sock in list(self._sockets):
            sock.close()

    def leave(self):
        """Set the state of its list entry to leaving."""
        self.target = msgspec.structs.replace(self.target, leaving=True)

    def close_connections(self):
        """Close all connections and continue to serve."""
        for sock in list(self._sockets):
            sock.close()


class CrashFleet:
    """Daemons that share a store and a list of replicas.

    Attributes
    ----------
    runs : list of (str, bytes)
        Replica and body of each request that started to run.
    options : dict
        Further options of the daemons.
    """

    options: dict = {}

    def __init__(self, *routes, daemons=3, replicas=4):
        self.store = store_fakes.FakeTables()
        self._routes = routes
        self.runs = []
        self._numbers = itertools.count(1)
        self._attempts = itertools.count(1)
        self.replicas = [self._new_replica() for _ in range(replicas)]
        self.store_views = [StoreView(self.store) for _ in range(daemons)]
        self._peers = [processes.free_port() for _ in range(daemons)]
        self._delegation = [processes.free_port() for _ in range(daemons)]
        self.daemons = [self._new_daemon(n) for n in range(daemons)]
        self.list_replicas()

    def _new_replica(self):
        return Replica(f"i-{next(self._numbers)}", self.runs)

    def _new_daemon(self, number):
        daemon = _daemon.ForwardingDaemon(
            options=platform_rig.options(
                daemon=_ids.DaemonId(f"d{number}"),
                retry_extra=1000.0,
                peers=settings.AddressSettings(
                    host="127.0.0.1", port=self._peers[number]
                ),
                delegation_port=self._delegation[number],
                **self.options,
            ),
            caller_decoder=headers.ClientHeaders(),
            replica_codec=headers.ReplicaHeaders(),
            new_store=lambda: self.store_views[number],
            clock=_clock.SystemClock(),
            process_codec=reports.ProcessReports(),
        )
        daemon.start()
        daemon.update_table(fixtures.table(*self._routes))
        return daemon

    def list_replicas(self):
        """Pass the current replicas to all daemons as the platform's list."""
        targets = [one.target for one in self.replicas]
        for daemon in self.daemons:
            daemon.replicas.update(targets)

    def replace_crashed(self):
        """Replace each crashed replica by a new one on the list."""
        self.replicas = [
            one if one.is_running else self._new_replica()
            for one in self.replicas
        ]
        self.list_replicas()

    def restart(self, number):
        """Stop a daemon and start a new one in its place."""
        self.daemons[number].halt()
        self.daemons[number] = self._new_daemon(number)
        self.list_replicas()

    def wait_joined(self):
        """Wait until each daemon has all others in its fleet directory."""
        count = len(self.daemons)
        wait_until(lambda: {d._fleet.size for d in self.daemons} == {count})

    def cut_from_store(self, *numbers):
        """Cut these daemons off from the store, and reconnect the others."""
        for number, view in enumerate(self.store_views):
            view.is_cut = number in numbers

    def send(self, number, body, path="/a/x", attempt=""):
        """Send a request to a daemon; return status and fields."""
        attempt = attempt or f"a{next(self._attempts)}"
        sent = platform_rig.request(body=body, path=path).replace(
            b"X-Attempt-Id: a1", f"X-Attempt-Id: {attempt}".encode()
        )
        daemon = self.daemons[number % len(self.daemons)]
        with socket.create_connection(
            ("127.0.0.1", daemon.callers_port)
        ) as sock:
            sock.sendall(sent)
            with gevent.Timeout(20):
                try:
                    status, fields, _ = platform_rig.read_all(sock)
                except (OSError, IndexError):
                    return 0, {}
        return status, fields

    def send_in_turn(
        self, times, body=CRASHING, *, wait_known=True, **options
    ):
        """Send a request to one daemon after the other; return statuses.

        Parameters
        ----------
        wait_known : bool
            Whether to wait after each request until all daemons have read the
            records of the crashes.
        """
        found = []
        for number in range(times):
            found.append(self.send(number, body, **options)[0])
            if wait_known:
                wait_until(self._are_crashes_known)
            self.replace_crashed()
        return found

    def _are_crashes_known(self):
        """Return whether all daemons have the records of all crashes."""
        crashed = {one.name for one in self.replicas if not one.is_running}
        rows = self.store._current_rows(_crash_records.TABLE).keys()
        recorded = {key.partition("/")[2].partition("@")[0] for key in rows}
        return crashed <= recorded and self.are_records_known(len(rows))

    def are_records_known(self, count):
        """Return whether `count` records exist and all daemons have them."""
        rows = self.store._current_rows(_crash_records.TABLE).keys()
        return len(rows) >= count and all(
            rows <= daemon._crash_assembly.guard._history._shared_by_key.keys()
            for daemon in self.daemons
        )

    def reached_count(self, body=CRASHING):
        """Return the number of replicas that ran a request."""
        return len({name for name, ran in self.runs if ran == body})

    def is_blocked(self, number):
        """Return whether a daemon blocks a request."""
        return bool(self.daemons[number]._crash_assembly.guard.blocked)

    def is_block_written(self):
        """Return whether the store contains a row that blocks a request."""
        rows = self.store._current_rows(_crash_records.TABLE)
        return any(key.startswith("block/") for key in rows)

    def is_checked(self):
        """Return whether no daemon has a pending check of a replica."""
        return not any(
            daemon._crash_assembly.guard._detector._check_by_process
            for daemon in self.daemons
        )

    def wait_blocked(self, *numbers):
        """Wait until each of these daemons blocks a request."""
        wait_until(lambda: all(self.is_blocked(one) for one in numbers))

    def stop(self):
        for daemon in self.daemons:
            daemon.halt()
        for replica in self.replicas:
            replica.crash()


def attempt_of(data):
    """Return the attempt of a request as a replica received it."""
    return next(
        line.split()[1].decode()
        for line in data.split(b"\r\n")
        if line.lower().startswith(b"x-attempt-id")
    )


def wait_until(condition):
    """Wait until `condition` returns true."""
    routing_fixtures.wait_until(condition)
