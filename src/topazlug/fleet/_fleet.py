"""A forwarding daemon's part in its fleet: directory, peers, feeds."""

from collections.abc import Callable
import random
from typing import final

import msgspec

from topazlug import _clock
from topazlug import _errors
from topazlug import _ids
from topazlug import _logs
from topazlug._generated import settings as _settings_types
from topazlug.fleet import _fleet_directory
from topazlug.fleet import _table_feed
from topazlug.fleet import _table_relay
from topazlug.fleet import _table_source
from topazlug.peers import _peers

_log = _logs.logger("fleet")
_JOIN_PAUSE_SECONDS = 1.0
# All daemons of a new fleet have written their row by then.
_FIRST_LOOK_SECONDS = 2.0
# In a small fleet nobody follows the directory; it is looked at so often.
_LOOK_SECONDS = 20.0
# The store's return must be seen within a second: entries that lapsed with it
# are kept for two more, and three after a cut has healed bounds count again.
# A try that is not answered takes 0.6 s. In a large fleet so many tries would
# cost more calls than all feeds.
_LONGEST_PAUSE_SECONDS = 0.25
_LARGE_FLEET_PAUSE_SECONDS = 0.8
# A relay's call to the store waits no longer than this: while its way to
# the store is cut, the daemons that ask it hear nothing new for so long.
_RELAY_FEED_SECONDS = 2.5


@final
class FleetOptions(msgspec.Struct, frozen=True, kw_only=True):
    """What a daemon brings into its fleet; see `ForwardingOptions`."""

    daemon: _ids.DaemonId
    address: _settings_types.AddressSettings
    relays: bool
    feed_seconds: float


@final
class Fleet:
    """Joins the directory and feeds tables from peers or the store.

    Parameters
    ----------
    options : FleetOptions
        This daemon.
    new_store : callable
        Makes a client of the store.
    joined : callable
        Gets the streams to peers once they are open.
    sized : callable
        Gets the number of daemons whenever the directory was read.
    clock : Clock
        Time.
    """

    def __init__(
        self,
        *,
        options: FleetOptions,
        new_store: Callable[[], _table_source.TableStore],
        joined: Callable[[_peers.PeerLinks], None],
        sized: Callable[[int], None],
        clock: _clock.Clock,
    ) -> None:
        self._options = options
        self._new_store = new_store
        self._joined = joined
        self._sized = sized
        self._clock = clock
        self._links: _peers.PeerLinks | None = None
        self._relay_server: _table_relay.RelayServer | None = None
        self._feeds: list[_table_feed.TableFeed] = []
        self.directory = _fleet_directory.FleetDirectory(
            me=options.daemon,
            own=_fleet_directory.DaemonRow(
                host=options.address.host,
                port=options.address.port,
                relays=options.relays,
            ),
        )

    def feed(
        self, table: str, follower: _table_feed.TableFollower
    ) -> _table_feed.TableFeed:
        """Make the feed of a table."""
        feed = _table_feed.TableFeed(
            source=_Source(self, self._new_store()),
            table=table,
            wait=self._feed_seconds,
            longest_pause=self._longest_pause,
            follower=follower,
            clock=self._clock,
        )
        self._feeds.append(feed)
        if self._relay_server is not None:
            self._relay_server.offer(feed)
        return feed

    def _feed_seconds(self) -> float:
        seconds = self._options.feed_seconds
        if self.directory.is_small:
            return seconds
        return min(seconds, _RELAY_FEED_SECONDS)

    def _longest_pause(self) -> float:
        if self.directory.is_small:
            return _LONGEST_PAUSE_SECONDS
        return _LARGE_FLEET_PAUSE_SECONDS

    def run(self) -> None:
        """Join the fleet, then keep the directory."""
        store = self._new_store()
        self._join(store)
        self._open_links()
        pause = _FIRST_LOOK_SECONDS
        while self.directory.is_small:
            self._clock.sleep(pause)
            self._look(store)
            pause = random.uniform(0.8, 1.2) * _LOOK_SECONDS
        follower = _table_feed.TableFollower(changed=self._take)
        self.feed(_fleet_directory.TABLE, follower).run()

    def _join(self, store: _table_source.TableStore) -> None:
        while True:
            try:
                self.directory.join(store)
                return
            except _errors.StoreUnavailable as error:
                _log.warning("not joined yet: {why}", why=error.message)
                pause = random.uniform(0.5, 1.0) * _JOIN_PAUSE_SECONDS
                self._clock.sleep(pause)

    def _look(self, store: _table_source.TableStore) -> None:
        try:
            found = store.rows(_fleet_directory.TABLE)
        except _errors.StoreUnavailable as error:
            _log.info("directory not read: {why}", why=error.message)
            return
        self._take({row.key: row.data for row in found.rows})

    def _take(self, data_by_key: dict[str, bytes]) -> None:
        self.directory.take(data_by_key)
        self._sized(len(self.directory.daemons_by_id))

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
        self._relay_server = _table_relay.RelayServer(links=links)
        for feed in self._feeds:
            self._relay_server.offer(feed)
        links.serve(host=address.host, port=address.port)
        self._links = links
        self._joined(links)
        _log.info("joined a fleet of {n}", n=len(self.directory.daemons_by_id))

    def source_for(
        self, store: _table_source.TableStore
    ) -> _table_source.TableSource:
        """Give where tables are read now."""
        if self._links is None:
            return store
        return _table_relay.RelayedTables(
            store=store,
            links=self._links,
            relays=self.directory.relays_for_me,
            daemons=lambda: self.size,
            clock=self._clock,
        )

    @property
    def size(self) -> int:
        """Give the number of daemons in the directory."""
        return len(self.directory.daemons_by_id)

    @property
    def bytes_sent(self) -> int:
        """Give the bytes sent to other daemons."""
        return self._links.bytes_sent if self._links else 0

    @property
    def bytes_received(self) -> int:
        """Give the bytes received from other daemons."""
        return self._links.bytes_received if self._links else 0

    def stop(self) -> None:
        """Close the streams to peers."""
        if self._links is not None:
            self._links.stop()


@final
class _Source:
    """The store until this daemon has joined, then relays first."""

    def __init__(self, fleet: Fleet, store: _table_source.TableStore) -> None:
        self._fleet = fleet
        self._store = store
        self._source: _table_source.TableSource = store

    def rows(self, table: str) -> _table_source.TableChanges:
        return self._store.rows(table)

    def changes(
        self, table: str, *, after: int, wait: float
    ) -> _table_source.TableChanges:
        if self._source is self._store:
            self._source = self._fleet.source_for(self._store)
        return self._source.changes(table, after=after, wait=wait)
