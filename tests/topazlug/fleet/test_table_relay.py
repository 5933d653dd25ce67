"""News by way of a reader, and without it."""

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
READERS = [_ids.DaemonId(f"reader-{one}") for one in range(3)]
FOLLOWER = _ids.DaemonId("follower")
OTHERS = [_ids.DaemonId(f"other-{one}") for one in range(20)]


class Directory:
    is_small = False

    def reading_order(self):
        return [*READERS, *OTHERS, FOLLOWER]


class Rig:
    """Three readers of one store, and a follower with a store of its own."""

    def __init__(self):
        self.store = store_fakes.FakeTables()
        self.clock = _clock.SystemClock()
        self.addresses = {}
        self.greenlets = []
        self.link_by_name = {}
        self.feeds = [self._reader(name) for name in READERS]
        self.direct = store_fakes.FakeTables()
        self.source = self._source(FOLLOWER, self.direct)
        routing_fixtures.wait_until(
            lambda: all(feed.in_contact for feed in self.feeds)
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
            follower=_table_feed.TableListener(changed=lambda data: None),
            clock=self.clock,
        )
        links = self.link_by_name[name]
        server = _table_relay.RelayServer(
            links=links, asked=lambda table: None
        )
        server.offer(feed)
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
    made = Rig()
    yield made
    made.stop()


class TestFollower:
    def test_news_come_without_the_store(self, rig):
        asked = gevent.spawn(
            rig.source.changes, TABLE, after=rig.feeds[0].version, wait=5.0
        )
        gevent.sleep(0.05)
        rig.store.put(TABLE, "config", b"7")
        found = asked.get(timeout=10)
        assert [(row.key, row.data) for row in found.rows] == [
            ("config", b"7")
        ]
        assert found.relayed
        assert rig.direct.calls == 0

    def test_whole_table_comes_without_the_store(self, rig):
        rig.store.put(TABLE, "config", b"7")
        version = rig.store.version
        routing_fixtures.wait_until(
            lambda: all(feed.version == version for feed in rig.feeds)
        )
        found = rig.source.rows(TABLE)
        assert [row.data for row in found.rows] == [b"7"]
        assert found.version == version
        assert rig.direct.calls == 0

    def test_readers_that_lost_the_store_send_nobody_to_it(self, rig):
        """Symptom: 1,000 calls in the second in which the store goes.

        Sequence: all readers lose the store; each daemon that asks them
        turns to it. Cause: nothing decided how many may.
        """
        rig.store.is_unavailable = True
        routing_fixtures.wait_until(
            lambda: not any(feed.in_contact for feed in rig.feeds)
        )
        with pytest.raises(_errors.StoreUnavailable):
            rig.source.changes(TABLE, after=0, wait=1.0)
        assert rig.direct.calls == 0

    def test_silent_readers_are_passed_over(self, rig):
        """Symptom: a daemon's table is old while its readers are frozen.

        Cause: the ask to a reader had no bound of its own, and a daemon
        that is cut off from all of them went from one to the next.
        """
        for name in READERS:
            rig.link_by_name[name].handle(
                _table_relay.messages.ChangesAsk, lambda *message: None
            )
        rig.direct.put(TABLE, "config", b"8")
        began = rig.clock.monotonic()
        found = rig.source.changes(TABLE, after=0, wait=1.0)
        assert [row.data for row in found.rows] == [b"8"]
        assert not found.relayed
        assert rig.clock.monotonic() - began < 10.0

    def test_same_rows_are_packed_once(self, rig, monkeypatch):
        packed = []
        compress = _table_relay.zlib.compress

        def counted(body):
            packed.append(body)
            return compress(body)

        monkeypatch.setattr(_table_relay.zlib, "compress", counted)
        links = rig.link_by_name[FOLLOWER]
        rig.store.put(TABLE, "config", b"7")
        routing_fixtures.wait_until(lambda: rig.feeds[0].version == 1)
        ask = _table_relay.messages.ChangesAsk(table=TABLE, after=0, wait=1.0)
        answers = [links.call(READERS[0], ask, timeout=5.0) for _ in range(3)]
        assert len({answer.packed for answer in answers}) == 1
        assert len(packed) == 1


class TestReader:
    def test_one_that_is_turned_away_hears_from_another(self, rig):
        """Symptom: a reader's own table is old while the store serves others.

        Sequence: the store turns one reader away and serves the rest.
        Cause: a reader knew no way but its own.
        """
        away = store_fakes.FakeTables()
        away.is_unavailable = True
        source = rig._source(READERS[0], away)
        rig.store.put(TABLE, "config", b"9")
        found = source.changes(TABLE, after=0, wait=1.0)
        assert [row.data for row in found.rows] == [b"9"]
        assert found.relayed

    def test_loss_that_another_covers_is_logged_once(self, rig):
        """Symptom: a daemon's table is old, and its log says nothing."""
        away = store_fakes.FakeTables()
        away.is_unavailable = True
        source = rig._source(READERS[0], away)
        rig.store.put(TABLE, "config", b"9")
        with logbook.TestHandler() as handler:
            for _ in range(2):
                source.changes(TABLE, after=0, wait=0.0)
                rig.clock.sleep(_reading_plan.STORE_AGAIN_SECONDS)
            away.is_unavailable = False
            for name in READERS[1:]:
                rig.link_by_name[name].stop()
            routing_fixtures.wait_until(
                lambda: not source.changes(TABLE, after=0, wait=0.0).relayed
            )
        told = [record.message for record in handler.records]
        assert len([one for one in told if "no answer of the" in one]) == 1
        assert len([one for one in told if "the store answers" in one]) == 1

    def test_one_that_hears_from_another_tells_nobody(self, rig):
        """Symptom: a change never arrives, though all are in contact.

        Sequence: two readers lose the store and each hears from the other
        that there is no news. Cause: what came from a peer was passed on
        as if the store had just said it.
        """
        feed = rig.feeds[0]
        assert feed.changes_since(feed.version, wait=0.0) is not None
        feed._source = Relayed(feed.version, clock=rig.clock)
        routing_fixtures.wait_until(
            lambda: feed.changes_since(feed.version, wait=0.0) is None
        )
        assert feed.in_contact

    def test_word_of_the_store_is_passed_on_with_its_age(self, rig):
        """A reader that another one tells of the store tells it on."""
        feed = rig.feeds[0]
        feed._vouched = 0.5
        source = Relayed(feed.version, clock=rig.clock, renewed=True)
        feed._source = source
        routing_fixtures.wait_until(
            lambda: source.answered_at - source.began_at > 1.0
        )
        routing_fixtures.wait_until(
            lambda: feed.changes_since(feed.version, wait=0.0) is not None
        )


class Relayed:
    """A daemon that has heard of the store, once or again and again."""

    def __init__(self, version, *, clock, renewed=False):
        self.version = version
        self._clock = clock
        self._renewed = renewed
        self._heard_at = clock.monotonic()
        self.began_at = self.answered_at = clock.monotonic()

    def changes(self, table, *, after, wait, age):
        gevent.sleep(0.01)
        self.answered_at = self._clock.monotonic()
        if self._renewed:
            self._heard_at = self._clock.monotonic() - 0.1
        return _table_relay._table_source.TableChanges(
            self.version,
            [],
            relayed=True,
            age=self._clock.monotonic() - self._heard_at,
        )
