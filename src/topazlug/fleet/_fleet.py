"""Connects a forwarding daemon to its fleet: directory, peers, feeds."""

from collections.abc import Callable
import random
from typing import final

from gevent import event
import msgspec

from topazlug import _clock
from topazlug import _errors
from topazlug import _ids
from topazlug import _logs
from topazlug._generated import settings as _settings_types
from topazlug.fleet import _fleet_directory
from topazlug.fleet import _reading_plan
from topazlug.fleet import _staleness_bounds
from topazlug.fleet import _table_feed
from topazlug.fleet import _table_relay
from topazlug.fleet import _table_source
from topazlug.peers import _peers

_log = _logs.logger("fleet")
_JOIN_RETRY_SECONDS = 1.0
# All daemons of a new fleet have written their rows by then.
_FIRST_POLL_SECONDS = 2.0
# A new daemon reads its tables after this time even if the size of the fleet
# is still unknown.
_MAX_SIZE_WAIT_SECONDS = 4.0
# A small fleet does not wait for changes of the directory but polls it.
_POLL_SECONDS = 20.0
# No bound applies to the age of the directory: a daemon that is not in it yet
# is not called, and one that no longer exists is skipped. So a call may wait
# this long for changes.
_DIRECTORY_WAIT_SECONDS = 20.0


@final
class FleetOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Options of a daemon in its fleet; see `ForwardingOptions`."""

    daemon: _ids.DaemonId
    address: _settings_types.AddressSettings
    delegation_port: int
    relays: bool
    staleness_bounds: _staleness_bounds.StalenessBounds
    first_start: bool


@final
class Fleet:
    """Joins the directory and reads tables from peers or the store.

    Parameters
    ----------
    options : FleetOptions
        Options of this daemon.
    new_store : callable
        Returns a new client of the store.
    on_joined : callable
        Called with the streams to peers once they are open.
    on_size : callable
        Called with the number of daemons each time the directory was read.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        *,
        options: FleetOptions,
        new_store: Callable[[], _table_source.TableStore],
        on_joined: Callable[[_peers.PeerLinks], None],
        on_size: Callable[[int], None],
        clock: _clock.Clock,
    ) -> None:
        self._options = options
        self._new_store = new_store
        self._on_joined = on_joined
        self._on_size = on_size
        self._clock = clock
        self._links: _peers.PeerLinks | None = None
        # Set once the size of the fleet is known.
        self._size_known = event.Event()
        self._relay_server: _table_relay.RelayServer | None = None
        self._feeds: list[_table_feed.TableFeed] = []
        self.directory = _fleet_directory.FleetDirectory(
            daemon_id=options.daemon,
            own_row=_fleet_directory.DaemonRow(
                host=options.address.host,
                port=options.address.port,
                relays=options.relays,
                delegation_port=options.delegation_port,
            ),
        )
        self._plan = _reading_plan.ReadingPlan(
            daemon_id=options.daemon, directory=self.directory, clock=clock
        )

    def feed(
        self,
        table: str,
        listener: _table_feed.TableListener,
        *,
        pace: _table_feed.Pace = _table_feed.DEFAULT_PACE,
    ) -> _table_feed.TableFeed:
        """Create the feed of a table; see `TableFeed`."""
        return self._feed(
            table,
            listener,
            self._feed_wait,
            pace=pace,
            validity=self._options.staleness_bounds.validity,
        )

    def _feed(
        self,
        table: str,
        listener: _table_feed.TableListener,
        wait: Callable[[], float],
        *,
        pace: _table_feed.Pace = _table_feed.DEFAULT_PACE,
        validity: float = _DIRECTORY_WAIT_SECONDS,
    ) -> _table_feed.TableFeed:
        feed = _table_feed.TableFeed(
            source=_table_relay.RelayedTables(
                store=self._new_store(),
                links=lambda: self._links,
                plan=self._plan,
                clock=self._clock,
            ),
            table=table,
            wait=wait,
            listener=listener,
            clock=self._clock,
            pace=pace,
            validity=validity,
            max_gap=self._options.staleness_bounds.propagation,
        )
        self._feeds.append(feed)
        if self._relay_server is not None:
            self._relay_server.add_feed(feed)
        return feed

    def _feed_wait(self) -> float:
        if self.directory.is_small:
            return self._options.staleness_bounds.direct_wait
        return self._options.staleness_bounds.reader_wait

    def wait_for_size(self) -> None:
        """Wait until the size of the fleet is known, on the first start.

        When a whole system starts for the first time, no requests arrive
        yet. A daemon that waits until all have joined can read its tables
        from a peer. Without this, each of 195 daemons made two more calls to
        the store.
        """
        if self._options.first_start:
            self._size_known.wait(_MAX_SIZE_WAIT_SECONDS)

    def run(self) -> None:
        """Join the fleet, then keep the directory up to date."""
        store = self._new_store()
        table_changes = self._join(store)
        if not self._options.first_start or self.directory.was_registered:
            self._size_known.set()
        self._open_links()
        pause = _FIRST_POLL_SECONDS
        while self.directory.is_small:
            self._clock.sleep(pause)
            table_changes = self._poll_directory(store) or table_changes
            self._size_known.set()
            pause = random.uniform(0.8, 1.2) * _POLL_SECONDS
        self._size_known.set()
        listener = _table_feed.TableListener(changed=self._update_directory)
        feed = self._feed(
            _fleet_directory.TABLE, listener, lambda: _DIRECTORY_WAIT_SECONDS
        )
        feed.start_from(table_changes)
        feed.run()

    def _join(
        self, store: _table_source.TableStore
    ) -> _table_source.TableChanges:
        while True:
            try:
                return self.directory.join(store)
            except _errors.StoreUnavailable as error:
                _log.warning("could not join fleet: {why}", why=error.message)
                pause = random.uniform(0.5, 1.0) * _JOIN_RETRY_SECONDS
                self._clock.sleep(pause)

    def _poll_directory(
        self, store: _table_source.TableStore
    ) -> _table_source.TableChanges | None:
        try:
            table_changes = store.rows(_fleet_directory.TABLE)
        except _errors.StoreUnavailable as error:
            _log.info("could not read directory: {why}", why=error.message)
            return None
        self._update_directory(
            {row.key: row.data for row in table_changes.rows}
        )
        return table_changes

    def _update_directory(self, data_by_key: dict[str, bytes]) -> None:
        self.directory.update(data_by_key)
        self._on_size(len(self.directory.daemons_by_id))

    def _open_links(self) -> None:
        address = self._options.address
        links = _peers.PeerLinks(
            daemon_id=self._options.daemon,
            incarnation=int(self._clock.now().timestamp() * 1000),
            settings=_settings_types.PeerSettings(
                secret=self.directory.secret
            ),
            clock=self._clock,
            address_of=self.directory.address_of,
        )
        self._relay_server = _table_relay.RelayServer(
            links=links, on_miss=self._plan.record_miss
        )
        for feed in self._feeds:
            self._relay_server.add_feed(feed)
        links.serve(host=address.host, port=address.port)
        self._links = links
        self._on_joined(links)
        _log.info(
            "joined a fleet of {n} daemons",
            n=len(self.directory.daemons_by_id),
        )

    @property
    def size(self) -> int:
        """Return the number of daemons in the directory."""
        return len(self.directory.daemons_by_id)

    @property
    def table_age(self) -> float:
        """Return the age of the most outdated table, in seconds.

        The directory is left out because no bound applies to its age.
        """
        ages = [
            feed.age
            for feed in self._feeds
            if feed.table != _fleet_directory.TABLE
        ]
        return max(ages, default=0.0)

    @property
    def bytes_sent(self) -> int:
        """Return the number of bytes sent to other daemons."""
        return self._links.bytes_sent if self._links else 0

    @property
    def bytes_received(self) -> int:
        """Return the number of bytes received from other daemons."""
        return self._links.bytes_received if self._links else 0

    def stop(self) -> None:
        """Close the streams to peers."""
        if self._links is not None:
            self._links.stop()
