"""Reading a table through readers, and without them."""

import gevent
import logbook
import pytest

from tests.topazlug import routing_fixtures
from tests.topazlug.fleet import store_fakes
from topazlug import _clock
from topazlug import _errors
from topazlug import _ids
from topazlug._generated import settings
from topazlug.fleet import _reading_plan
from topazlug.fleet import _table_feed
from topazlug.fleet import _table_relay
from topazlug.peers import _peers

TABLE = "op"
READERS = [_ids.DaemonId(f"reader-{number}") for number in range(3)]
NON_READER = _ids.DaemonId("follower")
OTHERS = [_ids.DaemonId(f"other-{number}") for number in range(20)]


class Directory:
    is_small = False

    def reading_order(self):
        return [*READERS, *OTHERS, NON_READER]


class Rig:
    """Three readers of one store, and a non-reader with its own store."""

    def __init__(self):
        self.store = store_fakes.FakeTables()
        self.clock = _clock.SystemClock()
        self.addresses = {}
        self.greenlets = []
        self.link_by_name = {}
        self.feeds = [self._reader(name) for name in READERS]
        self.direct = store_fakes.FakeTables()
        self.source = self._source(NON_READER, self.direct)
        routing_fixtures.wait_until(
            lambda: all(feed.is_connected for feed in self.feeds)
        )

    def _source(self, name, store):
        plan = _reading_plan.ReadingPlan(
            daemon_id=name, directory=Directory(), clock=self.clock
        )
        links = self._links(name)
        self.link_by_name[name] = links
        return _table_relay.RelayedTables(
            store=store, links=lambda: links, plan=plan, clock=self.clock
        )

    def _reader(self, name):
        feed = _table_feed.TableFeed(
            source=self._source(name, self.store),
            table=TABLE,
            wait=lambda: 0.02,
            pace=_table_feed.Pace(max_pause=0.05),
            listener=_table_feed.TableListener(changed=lambda data: None),
            clock=self.clock,
        )
        links = self.link_by_name[name]
        server = _table_relay.RelayServer(
            links=links, on_miss=lambda table: None
        )
        server.add_feed(feed)
        self.greenlets.append(gevent.spawn(feed.run))
        return feed

    def _links(self, name):
        links = _peers.PeerLinks(
            daemon_id=name,
            incarnation=1,
            settings=settings.PeerSettings(secret="s" * 32),
            clock=self.clock,
            address_of=self.addresses.get,
        )
        port = links.serve(host="127.0.0.1", port=0)
        self.addresses[name] = _peers.Address("127.0.0.1", port)
        return links

    def stop(self):
        gevent.killall(self.greenlets)
        for links in self.link_by_name.values():
            links.stop()


@pytest.fixture
def rig():
    new_rig = Rig()
    yield new_rig
    new_rig.stop()


class TestNonReader:
    def test_changes_arrive_without_the_store(self, rig):
        reading = gevent.spawn(
            rig.source.changes, TABLE, after=rig.feeds[0].version, wait=5.0
        )
        gevent.sleep(0.05)
        rig.store.put(TABLE, "config", b"7")
        table_changes = reading.get(timeout=10)
        assert [(row.key, row.data) for row in table_changes.rows] == [
            ("config", b"7")
        ]
        assert table_changes.relayed
        assert rig.direct.calls == 0

    def test_whole_table_arrives_without_the_store(self, rig):
        rig.store.put(TABLE, "config", b"7")
        version = rig.store.version
        routing_fixtures.wait_until(
            lambda: all(feed.version == version for feed in rig.feeds)
        )
        table_changes = rig.source.rows(TABLE)
        assert [row.data for row in table_changes.rows] == [b"7"]
        assert table_changes.version == version
        assert rig.direct.calls == 0

    def test_no_direct_calls_if_readers_lost_the_store(self, rig):
        """Guards against 1,000 calls in the second of losing the store.

        All readers lose the store. The daemons that read from them must not
        all call the store.
        """
        rig.store.is_unavailable = True
        routing_fixtures.wait_until(
            lambda: not any(feed.is_connected for feed in rig.feeds)
        )
        with pytest.raises(_errors.StoreUnavailable):
            rig.source.changes(TABLE, after=0, wait=1.0)
        assert rig.direct.calls == 0

    def test_unresponsive_readers_are_skipped(self, rig):
        """Guards against an outdated table while the readers are frozen.

        Each request to a reader needs a timeout, and a daemon that is cut
        off from all readers must not wait for one after the other.
        """
        for name in READERS:
            rig.link_by_name[name].handle(
                _table_relay.messages.ChangesAsk, lambda *message: None
            )
        rig.direct.put(TABLE, "config", b"8")
        started_at = rig.clock.monotonic()
        table_changes = rig.source.changes(TABLE, after=0, wait=1.0)
        assert [row.data for row in table_changes.rows] == [b"8"]
        assert not table_changes.relayed
        assert rig.clock.monotonic() - started_at < 10.0

    def test_same_rows_are_packed_once(self, rig, monkeypatch):
        packed = []
        compress = _table_relay.zlib.compress

        def counting_compress(body):
            packed.append(body)
            return compress(body)

        monkeypatch.setattr(_table_relay.zlib, "compress", counting_compress)
        links = rig.link_by_name[NON_READER]
        rig.store.put(TABLE, "config", b"7")
        routing_fixtures.wait_until(lambda: rig.feeds[0].version == 1)
        request = _table_relay.messages.ChangesAsk(
            table=TABLE, after=0, wait=1.0
        )
        answers = [
            links.call(READERS[0], request, timeout=5.0) for _ in range(3)
        ]
        assert len({answer.packed for answer in answers}) == 1
        assert len(packed) == 1


class TestReader:
    def test_reader_without_store_reads_from_another(self, rig):
        """Guards against an outdated table of a reader.

        The store does not serve one reader but serves the others, so the
        reader must read from one of them.
        """
        lost_store = store_fakes.FakeTables()
        lost_store.is_unavailable = True
        source = rig._source(READERS[0], lost_store)
        rig.store.put(TABLE, "config", b"9")
        table_changes = source.changes(TABLE, after=0, wait=1.0)
        assert [row.data for row in table_changes.rows] == [b"9"]
        assert table_changes.relayed

    def test_loss_is_logged_once_despite_relayed_answers(self, rig):
        """Guards against an outdated table without any log line."""
        lost_store = store_fakes.FakeTables()
        lost_store.is_unavailable = True
        source = rig._source(READERS[0], lost_store)
        rig.store.put(TABLE, "config", b"9")
        with logbook.TestHandler() as handler:
            for _ in range(2):
                source.changes(TABLE, after=0, wait=0.0)
                rig.clock.sleep(_reading_plan.STORE_RETRY_SECONDS)
            lost_store.is_unavailable = False
            for name in READERS[1:]:
                rig.link_by_name[name].stop()
            routing_fixtures.wait_until(
                lambda: not source.changes(TABLE, after=0, wait=0.0).relayed
            )
        logged = [record.message for record in handler.records]
        assert (
            len([text for text in logged if "no answer from the" in text]) == 1
        )
        assert (
            len([text for text in logged if "the store answers" in text]) == 1
        )

    def test_relayed_answers_do_not_extend_validity(self, rig):
        """Guards against a change that never arrives.

        Two readers lose the store, and each receives from the other that
        there are no changes. An answer of a peer must not be relayed as if
        the store had just given it.
        """
        feed = rig.feeds[0]
        assert feed.changes_since(feed.version, wait=0.0) is not None
        feed._source = RelayingSource(feed.version, clock=rig.clock)
        routing_fixtures.wait_until(
            lambda: feed.changes_since(feed.version, wait=0.0) is None
        )
        assert feed.is_connected

    def test_newer_relayed_answers_extend_validity(self, rig):
        """A reader may relay answers while the store answers another one."""
        feed = rig.feeds[0]
        feed._validity = 0.5
        source = RelayingSource(feed.version, clock=rig.clock, is_renewed=True)
        feed._source = source
        routing_fixtures.wait_until(
            lambda: source.answered_at - source.began_at > 1.0
        )
        routing_fixtures.wait_until(
            lambda: feed.changes_since(feed.version, wait=0.0) is not None
        )


class RelayingSource:
    """A daemon that got an answer of the store once or repeatedly."""

    def __init__(self, version, *, clock, is_renewed=False):
        self.version = version
        self._clock = clock
        self._is_renewed = is_renewed
        self._store_answered_at = clock.monotonic()
        self.began_at = self.answered_at = clock.monotonic()

    def changes(self, table, *, after, wait, age):
        gevent.sleep(0.01)
        self.answered_at = self._clock.monotonic()
        if self._is_renewed:
            self._store_answered_at = self._clock.monotonic() - 0.1
        return _table_relay._table_source.TableChanges(
            self.version,
            [],
            relayed=True,
            age=self._clock.monotonic() - self._store_answered_at,
        )
