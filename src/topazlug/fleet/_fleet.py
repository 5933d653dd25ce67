"""A forwarding daemon's part in its fleet: directory, peers, feeds."""

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
_JOIN_PAUSE_SECONDS = 1.0
# All daemons of a new fleet have written their row by then.
_FIRST_LOOK_SECONDS = 2.0
# A new daemon's tables are read at the latest after this, known or not.
_LONGEST_FIRST_LOOK_SECONDS = 4.0
# In a small fleet nobody follows the directory; it is looked at so often.
_LOOK_SECONDS = 20.0
# The directory has no bound of its own: who is not found in it yet is not
# asked, and who is gone is passed over. A call waits for news of it so long.
_DIRECTORY_SECONDS = 20.0


@final
class FleetOptions(msgspec.Struct, frozen=True, kw_only=True):
    """What a daemon brings into its fleet; see `ForwardingOptions`."""

    daemon: _ids.DaemonId
    address: _settings_types.AddressSettings
    relays: bool
    news: _staleness_bounds.StalenessBounds
    first_start: bool


@final
class Fleet:
    """Joins the directory and feeds tables from peers or the store.

    Parameters
    ----------
    options : FleetOptions
        This daemon.
    new_store : callable
        Makes a client of the store.
    on_joined : callable
        Gets the streams to peers once they are open.
    on_size : callable
        Gets the number of daemons whenever the directory was read.
    clock : Clock
        Time.
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
        self._joined = on_joined
        self._sized = on_size
        self._clock = clock
        self._links: _peers.PeerLinks | None = None
        # Set once this daemon knows how large its fleet is.
        self._sized_up = event.Event()
        self._relay_server: _table_relay.RelayServer | None = None
        self._feeds: list[_table_feed.TableFeed] = []
        self.directory = _fleet_directory.FleetDirectory(
            daemon_id=options.daemon,
            own_row=_fleet_directory.DaemonRow(
                host=options.address.host,
                port=options.address.port,
                relays=options.relays,
            ),
        )
        self._plan = _reading_plan.ReadingPlan(
            daemon_id=options.daemon, directory=self.directory, clock=clock
        )

    def feed(
        self,
        table: str,
        follower: _table_feed.TableListener,
        *,
        pace: _table_feed.Pace = _table_feed.DEFAULT_PACE,
    ) -> _table_feed.TableFeed:
        """Make the feed of a table; see `TableFeed`."""
        return self._feed(
            table,
            follower,
            self._feed_seconds,
            pace=pace,
            validity=self._options.news.validity,
        )

    def _feed(
        self,
        table: str,
        follower: _table_feed.TableListener,
        wait: Callable[[], float],
        *,
        pace: _table_feed.Pace = _table_feed.DEFAULT_PACE,
        validity: float = _DIRECTORY_SECONDS,
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
            follower=follower,
            clock=self._clock,
            pace=pace,
            validity=validity,
        )
        self._feeds.append(feed)
        if self._relay_server is not None:
            self._relay_server.offer(feed)
        return feed

    def _feed_seconds(self) -> float:
        if self.directory.is_small:
            return self._options.news.direct_wait
        return self._options.news.reader_wait

    def wait_for_size(self) -> None:
        """Wait until it is known who reads the store, if there is time.

        When a whole system starts for the first time nobody calls yet. Who
        waits until all daemons have joined reads its tables from a peer; of
        195 daemons that were all in a hurry each made two calls more.
        """
        if self._options.first_start:
            self._sized_up.wait(_LONGEST_FIRST_LOOK_SECONDS)

    def run(self) -> None:
        """Join the fleet, then keep the directory."""
        store = self._new_store()
        found = self._join(store)
        if not self._options.first_start or self.directory.was_known:
            self._sized_up.set()
        self._open_links()
        pause = _FIRST_LOOK_SECONDS
        while self.directory.is_small:
            self._clock.sleep(pause)
            found = self._look(store) or found
            self._sized_up.set()
            pause = random.uniform(0.8, 1.2) * _LOOK_SECONDS
        self._sized_up.set()
        follower = _table_feed.TableListener(changed=self._take)
        feed = self._feed(
            _fleet_directory.TABLE, follower, lambda: _DIRECTORY_SECONDS
        )
        feed.start_from(found)
        feed.run()

    def _join(
        self, store: _table_source.TableStore
    ) -> _table_source.TableChanges:
        while True:
            try:
                return self.directory.join(store)
            except _errors.StoreUnavailable as error:
                _log.warning("not joined yet: {why}", why=error.message)
                pause = random.uniform(0.5, 1.0) * _JOIN_PAUSE_SECONDS
                self._clock.sleep(pause)

    def _look(
        self, store: _table_source.TableStore
    ) -> _table_source.TableChanges | None:
        try:
            found = store.rows(_fleet_directory.TABLE)
        except _errors.StoreUnavailable as error:
            _log.info("directory not read: {why}", why=error.message)
            return None
        self._take({row.key: row.data for row in found.rows})
        return found

    def _take(self, data_by_key: dict[str, bytes]) -> None:
        self.directory.update(data_by_key)
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
        self._relay_server = _table_relay.RelayServer(
            links=links, asked=self._plan.note_asked
        )
        for feed in self._feeds:
            self._relay_server.offer(feed)
        links.serve(host=address.host, port=address.port)
        self._links = links
        self._joined(links)
        _log.info("joined a fleet of {n}", n=len(self.directory.daemons_by_id))

    @property
    def size(self) -> int:
        """Give the number of daemons in the directory."""
        return len(self.directory.daemons_by_id)

    @property
    def table_age(self) -> float:
        """Give the age of the oldest word of the store, in seconds.

        The directory is left out: nothing bounds the age of that.
        """
        ages = [
            feed.age
            for feed in self._feeds
            if feed.table != _fleet_directory.TABLE
        ]
        return max(ages, default=0.0)

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
