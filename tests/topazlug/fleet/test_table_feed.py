"""Keeping a complete copy of a table that never returns to older rows."""

import math

import gevent
from gevent import event
import pytest

from tests.topazlug import routing_fixtures
from tests.topazlug.fleet import store_fakes
from topazlug import _clock
from topazlug.fleet import _table_feed
from topazlug.fleet import _table_source

TABLE = "servers"


class Rig:
    def __init__(
        self,
        *,
        store=None,
        wait=0.02,
        min_interval=0.0,
        validity=60.0,
        max_gap=4.0,
    ):
        self.store = store or store_fakes.FakeTables()
        self.received = []
        self.recovered = 0
        self.feed = _table_feed.TableFeed(
            source=self.store,
            table=TABLE,
            wait=lambda: wait,
            listener=_table_feed.TableListener(
                changed=lambda data: self.received.append(dict(data)),
                recovered=self._count,
            ),
            clock=_clock.SystemClock(),
            pace=_table_feed.Pace(min_interval=min_interval, max_pause=0.05),
            validity=validity,
            max_gap=max_gap,
        )
        self.greenlet = gevent.spawn(self.feed.run)

    def _count(self, seconds_since_failure):
        self.recovered += 1

    def wait_for(self, data):
        routing_fixtures.wait_until(
            lambda: bool(self.received) and self.received[-1] == data
        )


@pytest.fixture
def rig():
    new_rig = Rig()
    yield new_rig
    new_rig.greenlet.kill()


class TestListenerError:
    def test_listener_error_does_not_end_the_feed(self):
        """Guards against a row that blocks all further changes.

        The listener raises on the rows. If the error ended the feed, it
        would restart a second later and fail on the same rows.
        """
        rig = Rig()
        try:
            rig.wait_for({})
            append_received = rig.received.append

            def fail(data):
                if data.get("a") == b"bad":
                    raise RecursionError("nested too deeply")
                append_received(dict(data))

            rig.feed._listener.changed = fail
            rig.store.put(TABLE, "a", b"bad")
            rig.store.put(TABLE, "a", b"good")
            rig.wait_for({"a": b"good"})
            assert rig.greenlet.dead is False
        finally:
            rig.greenlet.kill()


class TestFollowing:
    def test_changes_arrive(self, rig):
        rig.wait_for({})
        rig.store.put(TABLE, "a", b"1")
        rig.store.put(TABLE, "b", b"2")
        rig.wait_for({"a": b"1", "b": b"2"})
        rig.store.drop(TABLE, "a")
        rig.wait_for({"b": b"2"})

    def test_whole_table_is_read_after_lost_history(self, rig):
        rig.wait_for({})
        rig.store.is_unavailable = True
        routing_fixtures.wait_until(lambda: not rig.feed.is_connected)
        rig.store.is_unavailable = False
        rig.store.put(TABLE, "a", b"1")
        rig.store.oldest_version = rig.store.version + 1
        rig.wait_for({"a": b"1"})
        assert rig.recovered == 1

    def test_older_table_is_rejected(self, rig):
        """Guards against new requests to a replica that has left.

        The store drops its history, and the next read of the whole table
        returns rows from before the replica left.
        """
        rig.store.put(TABLE, "a", b"1")
        rig.wait_for({"a": b"1"})
        rig.store.drop(TABLE, "a")
        rig.wait_for({})
        rig.store.stale_answer = _table_source.TableChanges(
            1, [_table_source.Row("a", b"1")]
        )
        rig.store.oldest_version = rig.store.version + 1
        # At the second read the first answer has been rejected or applied.
        routing_fixtures.wait_until(lambda: rig.store.stale_read_count >= 2)
        rig.store.stale_answer = None
        rig.store.oldest_version = 0
        rig.store.put(TABLE, "b", b"2")
        rig.wait_for({"b": b"2"})
        assert {"a": b"1"} not in rig.received[1:]


class TestAfterLoss:
    def test_first_call_does_not_wait(self):
        """Guards against requests to a replica 2.1 s after it left.

        The store is back after an outage without changes, and the feed's
        call waits 3 s for some until a replica leaves. If the feed detected
        the return of the store only then, it would keep the replica for two
        seconds because its entry might have expired during the outage.
        """
        waits = []

        class Tables(store_fakes.FakeTables):
            def changes(self, table, *, after, wait, age):
                waits.append(wait)
                return super().changes(table, after=after, wait=wait)

        rig = Rig(store=Tables(), wait=0.5)
        rig.wait_for({})
        rig.store.is_unavailable = True
        routing_fixtures.wait_until(lambda: not rig.feed.is_connected)
        waits.clear()
        rig.store.is_unavailable = False
        routing_fixtures.wait_until(lambda: rig.recovered == 1)
        assert 0.0 in waits
        rig.greenlet.kill()


class TestState:
    def test_before_any_answer(self):
        """A copy that was never read looked up to date."""
        store = store_fakes.FakeTables()
        store.is_unavailable = True
        rig = Rig(store=store)
        gevent.sleep(0.02)
        assert rig.feed.state.age == math.inf
        rig.greenlet.kill()

    def test_gap_ends_with_the_first_answer_after_it(self):
        """Rows may have come and gone while the store was lost."""
        rig = Rig(max_gap=0.2)
        rig.wait_for({})
        first = rig.feed.state.followed_since
        gevent.sleep(0.1)
        assert rig.feed.state.followed_since == first
        rig.store.is_unavailable = True
        gevent.sleep(0.3)
        assert rig.feed.state.age > 0.2
        rig.store.is_unavailable = False
        routing_fixtures.wait_until(lambda: rig.feed.state.age < 0.1)
        assert rig.feed.state.followed_since > first + 0.3
        rig.greenlet.kill()


class TestRetries:
    def test_pauses_between_retries_stay_short(self):
        """Guards against requests to a replica 3 s after it left.

        A daemon is cut off for 12 s, and a replica leaves when that ends. If
        the pauses between retries grow to 0.8 s, the daemon calls the store
        1 s later and keeps the replica for 2 s more, because its entry might
        have expired during the outage.
        """

        class Clock:
            slept = []

            def monotonic(self):
                return 0.0

            def sleep(self, seconds):
                self.slept.append(seconds)
                if len(self.slept) == 50:
                    raise gevent.GreenletExit

        store = store_fakes.FakeTables()
        store.is_unavailable = True
        feed = _table_feed.TableFeed(
            source=store,
            table=TABLE,
            wait=lambda: 1.0,
            listener=_table_feed.TableListener(changed=lambda data: None),
            clock=Clock(),
        )
        gevent.spawn(feed.run).join()
        assert len(Clock.slept) == 50
        assert max(Clock.slept) <= 0.25


class TestChangesSince:
    def test_waits_for_changes(self, rig):
        rig.store.put(TABLE, "a", b"1")
        rig.wait_for({"a": b"1"})
        version = rig.feed.version
        waiting = gevent.spawn(rig.feed.changes_since, version, wait=10.0)
        gevent.sleep(0)
        rig.store.put(TABLE, "b", b"2")
        table_changes = waiting.get(timeout=10)
        assert [row.key for row in table_changes.rows] == ["b"]
        assert table_changes.version > version

    def test_returns_none_while_the_store_is_lost(self, rig):
        """Guards against outdated tables while the store is available.

        A relay that is cut off from the store must not report that there
        are no changes.
        """
        rig.wait_for({})
        waiting = gevent.spawn(
            rig.feed.changes_since, rig.feed.version, wait=30.0
        )
        gevent.sleep(0)
        rig.store.is_unavailable = True
        assert waiting.get(timeout=10) is None

    def test_returns_all_rows_if_changes_are_not_kept(self, rig):
        """Guards against too many calls after the store dropped its history.

        Relays read the whole table and have no changes from before, while
        the copies of other daemons are older. These daemons must not all
        call the store.
        """
        rig.store.put(TABLE, "a", b"1")
        rig.wait_for({"a": b"1"})
        table_changes = rig.feed.changes_since(0, wait=0.0)
        assert table_changes == _table_source.TableChanges(
            rig.feed.version,
            [_table_source.Row("a", b"1")],
            whole=True,
            age=table_changes.age,
        )

    def test_whole_answer_replaces_the_copy(self, rig):
        rig.store.put(TABLE, "a", b"1")
        rig.wait_for({"a": b"1"})
        version = rig.store.version + 1
        rig.store.whole_answer = _table_source.TableChanges(
            version, [_table_source.Row("b", b"2")], whole=True
        )
        rig.wait_for({"b": b"2"})
        assert rig.feed.version == version

    def test_older_whole_answer_is_rejected(self, rig):
        rig.store.put(TABLE, "a", b"1")
        rig.store.put(TABLE, "a", b"2")
        rig.wait_for({"a": b"2"})
        rig.store.whole_answer = _table_source.TableChanges(
            1, [_table_source.Row("a", b"1")], whole=True
        )
        routing_fixtures.wait_until(lambda: not rig.feed.is_connected)
        rig.store.whole_answer = None
        rig.store.put(TABLE, "b", b"3")
        rig.wait_for({"a": b"2", "b": b"3"})


class TestMinInterval:
    def test_rapid_changes_arrive_in_few_calls(self):
        """Guards against too many calls while a fleet starts.

        Replicas register one after the other. Without a minimum interval
        each daemon makes one call per replica.
        """
        rig = Rig(wait=0.02, min_interval=0.2)
        rig.wait_for({})
        before = rig.store.calls
        for number in range(20):
            rig.store.put(TABLE, f"i-{number}", b"1")
            gevent.sleep(0.001)
        rig.wait_for({f"i-{number}": b"1" for number in range(20)})
        puts = 20
        assert rig.store.calls - before - puts <= 3
        rig.greenlet.kill()


class Source(store_fakes.FakeTables):
    """A store that stops answering waiting calls once `is_stalled` is set."""

    def __init__(self):
        super().__init__()
        self.is_stalled = False
        self.is_due = True
        self.has_call_waiting = event.Event()
        self.may_answer = event.Event()

    def is_store_due(self):
        return self.is_due

    def changes(self, table, *, after, wait, age=0.0):
        if self.is_stalled:
            self.has_call_waiting.set()
            self.may_answer.wait()
        return super().changes(table, after=after, wait=wait)

    def changes_now(self, table, *, after):
        return super().changes(table, after=after, wait=0.0)


class TestStalledStore:
    """Guards against using a replica for seconds after it has left.

    The store never answers a call that waits for changes. Unless the age of
    its copy is bounded, the daemon that made the call goes on to report to
    others that there are no changes.
    """

    @pytest.fixture
    def stalled(self):
        rig = Rig(store=Source(), validity=0.2)
        rig.wait_for({})
        rig.store.is_stalled = True
        assert rig.store.has_call_waiting.wait(timeout=10)
        rig.store.put(TABLE, "a", b"1")
        yield rig
        rig.greenlet.kill()

    def test_expired_copy_is_not_served(self, stalled):
        stalled.store.is_due = False
        waiting = gevent.spawn(
            stalled.feed.changes_since, stalled.feed.version, wait=30.0
        )
        assert waiting.get(timeout=10) is None
        assert stalled.feed.is_connected

    def test_catch_up_reads_the_store(self, stalled):
        stalled.feed.catch_up(timeout=5.0)
        table_changes = stalled.feed.changes_since(0, wait=0.0)
        assert [row.key for row in table_changes.rows] == ["a"]
        stalled.wait_for({"a": b"1"})

    def test_catch_up_waits_after_a_failed_call(self, stalled):
        stalled.store.is_due = False
        calls = stalled.store.calls
        stalled.feed.catch_up(timeout=5.0)
        assert stalled.store.calls == calls

    def test_concurrent_catch_ups_share_one_call(self, stalled):
        calls = stalled.store.calls
        callers = [
            gevent.spawn(stalled.feed.catch_up, timeout=5.0) for _ in range(9)
        ]
        gevent.joinall(callers, timeout=10)
        assert stalled.store.calls == calls + 1

    def test_late_answer_does_not_revert_the_copy(self, stalled):
        """Guards against using a replica again that has left.

        While a call of `catch_up` is in progress, the feed's own call returns
        the same change and a later one of the same row. The answer that
        arrives last is the older one.
        """
        changes_now = stalled.store.changes_now

        def answer_late(table, *, after):
            answer = changes_now(table, after=after)
            stalled.store.put(TABLE, "a", b"2")
            stalled.store.is_stalled = False
            stalled.store.may_answer.set()
            stalled.wait_for({"a": b"2"})
            return answer

        stalled.store.changes_now = answer_late
        stalled.feed.catch_up(timeout=5.0)
        assert stalled.received[-1] == {"a": b"2"}

    def test_ignored_answer_does_not_update_the_age(self, stalled):
        """Guards against reporting to others that there are no changes.

        An answer is ignored because the copy has changed since the call. The
        copy must not count as being as new as that answer.
        """
        before = stalled.feed._store_answered_at
        later = _table_source.TableChanges(
            9, [_table_source.Row("b", b"9")], age=0.0
        )
        stalled.feed._apply_changes(later, after=stalled.feed.version - 1)
        assert stalled.feed._store_answered_at == before
        assert stalled.feed.version < 9
