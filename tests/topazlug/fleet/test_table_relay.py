"""News by way of a relay, and without it."""

import gevent
import pytest

from tests.topazlug import routing_fixtures
from tests.topazlug.fleet import store_fakes
from topazlug import _clock
from topazlug import _ids
from topazlug._generated import settings
from topazlug.fleet import _table_feed
from topazlug.fleet import _table_relay
from topazlug.peers import _peers

TABLE = "op"
RELAY = _ids.DaemonId("relay")
READER = _ids.DaemonId("reader")


class Rig:
    def __init__(self):
        self.store = store_fakes.FakeTables()
        self.clock = _clock.SystemClock()
        self.addresses = {}
        self.relay = self._links(RELAY)
        self.reader = self._links(READER)
        self.feed = _table_feed.TableFeed(
            source=self.store,
            table=TABLE,
            wait=lambda: 0.02,
            longest_pause=lambda: 0.05,
            follower=_table_feed.TableFollower(changed=lambda data: None),
            clock=self.clock,
        )
        _table_relay.RelayServer(links=self.relay).offer(self.feed)
        self.greenlet = gevent.spawn(self.feed.run)
        self.direct = store_fakes.FakeTables()
        self.source = _table_relay.RelayedTables(
            store=self.direct,
            links=self.reader,
            relays=lambda: [RELAY],
            daemons=lambda: 20,
            clock=self.clock,
        )
        routing_fixtures.wait_until(lambda: self.feed.in_contact)

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
        self.greenlet.kill()
        self.relay.stop()
        self.reader.stop()


@pytest.fixture
def rig():
    made = Rig()
    yield made
    made.stop()


class TestRelay:
    def test_news_come_without_the_store(self, rig):
        asked = gevent.spawn(
            rig.source.changes, TABLE, after=rig.feed.version, wait=5.0
        )
        gevent.sleep(0.05)
        rig.store.put(TABLE, "config", b"7")
        found = asked.get(timeout=10)
        assert [(row.key, row.data) for row in found.rows] == [
            ("config", b"7")
        ]
        assert rig.direct.calls == 0

    def test_relay_that_lost_the_store_is_passed_over(self, rig):
        rig.store.is_away = True
        routing_fixtures.wait_until(lambda: not rig.feed.in_contact)
        rig.direct.put(TABLE, "config", b"8")
        found = rig.source.changes(TABLE, after=0, wait=1.0)
        assert [row.data for row in found.rows] == [b"8"]

    def test_silent_relay_is_passed_over(self, rig):
        """Symptom: a daemon's table is old while its relay is frozen.

        Cause: the ask to the relay had no bound of its own.
        """
        rig.relay.handle(
            _table_relay.messages.ChangesAsk, lambda *message: None
        )
        rig.direct.put(TABLE, "config", b"8")
        found = rig.source.changes(TABLE, after=0, wait=1.0)
        assert [row.data for row in found.rows] == [b"8"]

    def test_calls_to_the_store_are_spread(self, rig):
        """Symptom: the store refuses calls when relays lose it.

        Sequence: all relays lose the store at once; hundreds of daemons
        turn to it in the same moment. Cause: nothing spread their calls.
        """

        class Clock:
            slept = []

            monotonic = _clock.SystemClock().monotonic

            def sleep(self, seconds):
                self.slept.append(seconds)

        sources = [
            _table_relay.RelayedTables(
                store=rig.direct,
                links=rig.reader,
                relays=lambda: [_ids.DaemonId("gone")],
                daemons=lambda: 880,
                clock=Clock(),
            )
            for _ in range(200)
        ]
        for source in sources:
            source.changes(TABLE, after=0, wait=0.0)
        assert max(Clock.slept) > 2.0
        assert sum(one < 0.5 for one in Clock.slept) < 80
