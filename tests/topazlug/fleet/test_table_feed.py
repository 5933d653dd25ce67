"""A copy of a table that is whole and never goes back."""

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
        self, *, store=None, wait=0.02, min_interval=0.0, validity=60.0
    ):
        self.store = store or store_fakes.FakeTables()
        self.seen = []
        self.recovered = 0
        self.feed = _table_feed.TableFeed(
            source=self.store,
            table=TABLE,
            wait=lambda: wait,
            follower=_table_feed.TableListener(
                changed=lambda data: self.seen.append(dict(data)),
                recovered=self._count,
            ),
            clock=_clock.SystemClock(),
            pace=_table_feed.Pace(min_interval=min_interval, max_pause=0.05),
            validity=validity,
        )
        self.greenlet = gevent.spawn(self.feed.run)

    def _count(self, lost_since):
        self.recovered += 1

    def wait_for(self, data):
        routing_fixtures.wait_until(
            lambda: bool(self.seen) and self.seen[-1] == data
        )


@pytest.fixture
def rig():
    made = Rig()
    yield made
    made.greenlet.kill()


class TestFault:
    def test_fault_in_taking_rows_ends_no_feed(self):
        """Symptom: a daemon takes no news while one row stays.

        Sequence: taking the rows raises; the feed starts again a second
        later and meets the same rows. Cause: the error ended the feed.
        """
        rig = Rig()
        try:
            rig.wait_for({})
            taken = rig.seen.append

            def fail(data):
                if data.get("a") == b"bad":
                    raise RecursionError("nested too deeply")
                taken(dict(data))

            rig.feed._follower.changed = fail
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

    def test_lost_history_is_read_whole(self, rig):
        rig.wait_for({})
        rig.store.is_unavailable = True
        routing_fixtures.wait_until(lambda: not rig.feed.in_contact)
        rig.store.is_unavailable = False
        rig.store.put(TABLE, "a", b"1")
        rig.store.forgotten = rig.store.version + 1
        rig.wait_for({"a": b"1"})
        assert rig.recovered == 1

    def test_older_copy_is_refused(self, rig):
        """Symptom: a replica that left gets requests again.

        Sequence: the store drops its history; the copy that is read next
        is from before the replica left. Cause: it was taken as it is.
        """
        rig.store.put(TABLE, "a", b"1")
        rig.wait_for({"a": b"1"})
        rig.store.drop(TABLE, "a")
        rig.wait_for({})
        rig.store.stale = _table_source.TableChanges(
            1, [_table_source.Row("a", b"1")]
        )
        rig.store.forgotten = rig.store.version + 1
        # Two reads: the first was refused, or else taken and told.
        routing_fixtures.wait_until(lambda: rig.store.stale_reads >= 2)
        rig.store.stale = None
        rig.store.forgotten = 0
        rig.store.put(TABLE, "b", b"2")
        rig.wait_for({"b": b"2"})
        assert {"a": b"1"} not in rig.seen[1:]


class TestAfterALoss:
    def test_first_call_does_not_wait(self):
        """Symptom: a replica gets requests 2.1 s after it left.

        Sequence: the store is back after an outage and has no news; the
        feed's call waits 3 s for some, until a replica leaves. Only then
        the feed notes that the store is back, and keeps the replica for
        two seconds as one whose entry may have lapsed with the store.
        Cause: contact was noted with the answer to a call that waits.
        """
        waits = []

        class Tables(store_fakes.FakeTables):
            def changes(self, table, *, after, wait, age):
                waits.append(wait)
                return super().changes(table, after=after, wait=wait)

        rig = Rig(store=Tables(), wait=0.5)
        rig.wait_for({})
        rig.store.is_unavailable = True
        routing_fixtures.wait_until(lambda: not rig.feed.in_contact)
        waits.clear()
        rig.store.is_unavailable = False
        routing_fixtures.wait_until(lambda: rig.recovered == 1)
        assert 0.0 in waits
        rig.greenlet.kill()


class TestPauses:
    def test_return_of_the_store_is_seen_soon(self):
        """Symptom: a replica gets requests 3 s after it left.

        Sequence: a daemon is cut off for 12 s; a replica leaves as the cut
        heals. The daemon tries the store again 1 s later, and keeps the
        replica for 2 s more, as one whose entry may have lapsed with the
        store. Cause: the pauses between its tries had grown to 0.8 s.
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
            follower=_table_feed.TableListener(changed=lambda data: None),
            clock=Clock(),
        )
        gevent.spawn(feed.run).join()
        assert len(Clock.slept) == 50
        assert max(Clock.slept) <= 0.25


class TestForOthers:
    def test_waits_for_news(self, rig):
        rig.store.put(TABLE, "a", b"1")
        rig.wait_for({"a": b"1"})
        version = rig.feed.version
        waiting = gevent.spawn(rig.feed.changes_since, version, wait=10.0)
        gevent.sleep(0)
        rig.store.put(TABLE, "b", b"2")
        found = waiting.get(timeout=10)
        assert [row.key for row in found.rows] == ["b"]
        assert found.version > version

    def test_nothing_while_the_store_is_lost(self, rig):
        """Symptom: daemons keep an old table while their own way is free.

        Sequence: the relay is cut off from the store and goes on to say
        that nothing is new. Cause: its contact was not asked for.
        """
        rig.wait_for({})
        waiting = gevent.spawn(
            rig.feed.changes_since, rig.feed.version, wait=30.0
        )
        gevent.sleep(0)
        rig.store.is_unavailable = True
        assert waiting.get(timeout=10) is None

    def test_all_rows_for_who_lags_too_much(self, rig):
        """Symptom: the store refuses calls after it dropped its history.

        Sequence: relays read the table whole and keep no changes from
        before; what other daemons hold is older. Cause: each of them was
        sent to the store.
        """
        rig.store.put(TABLE, "a", b"1")
        rig.wait_for({"a": b"1"})
        found = rig.feed.changes_since(0, wait=0.0)
        assert found == _table_source.TableChanges(
            rig.feed.version,
            [_table_source.Row("a", b"1")],
            whole=True,
            age=found.age,
        )

    def test_all_rows_replace_what_is_held(self, rig):
        rig.store.put(TABLE, "a", b"1")
        rig.wait_for({"a": b"1"})
        version = rig.store.version + 1
        rig.store.whole = _table_source.TableChanges(
            version, [_table_source.Row("b", b"2")], whole=True
        )
        rig.wait_for({"b": b"2"})
        assert rig.feed.version == version

    def test_older_rows_are_refused(self, rig):
        rig.store.put(TABLE, "a", b"1")
        rig.store.put(TABLE, "a", b"2")
        rig.wait_for({"a": b"2"})
        rig.store.whole = _table_source.TableChanges(
            1, [_table_source.Row("a", b"1")], whole=True
        )
        routing_fixtures.wait_until(lambda: not rig.feed.in_contact)
        rig.store.whole = None
        rig.store.put(TABLE, "b", b"3")
        rig.wait_for({"a": b"2", "b": b"3"})


class TestGap:
    def test_changes_in_quick_succession_come_in_few_calls(self):
        """Symptom: the store refuses calls while a fleet starts.

        Sequence: replicas register one after the other; each daemon hears
        of each by a call of its own. Cause: the next call was made at once.
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
    """A store whose feed is silent from some moment on."""

    def __init__(self):
        super().__init__()
        self.is_silent = False
        self.is_due = True
        self.is_waiting = event.Event()
        self.is_answering = event.Event()

    def is_worth_asking(self):
        return self.is_due

    def changes(self, table, *, after, wait, age=0.0):
        if self.is_silent:
            self.is_waiting.set()
            self.is_answering.wait()
        return super().changes(table, after=after, wait=wait)

    def changes_now(self, table, *, after):
        return super().changes(table, after=after, wait=0.0)


class TestSilentStore:
    """Symptom: daemons use a replica for seconds after it has left.

    Sequence of events: the store takes a call that waits for news, and never
    answers it. The daemon that made it goes on to tell others that there are
    none. Cause: nothing bounded the age of its word.
    """

    @pytest.fixture
    def silent(self):
        rig = Rig(store=Source(), validity=0.2)
        rig.wait_for({})
        rig.store.is_silent = True
        assert rig.store.is_waiting.wait(timeout=10)
        rig.store.put(TABLE, "a", b"1")
        yield rig
        rig.greenlet.kill()

    def test_old_word_is_not_given(self, silent):
        silent.store.is_due = False
        waiting = gevent.spawn(
            silent.feed.changes_since, silent.feed.version, wait=30.0
        )
        assert waiting.get(timeout=10) is None
        assert silent.feed.in_contact

    def test_store_is_asked_for_others(self, silent):
        silent.feed.catch_up(longest=5.0)
        found = silent.feed.changes_since(0, wait=0.0)
        assert [row.key for row in found.rows] == ["a"]
        silent.wait_for({"a": b"1"})

    def test_nothing_is_asked_just_after_the_store_was_lost(self, silent):
        silent.store.is_due = False
        calls = silent.store.calls
        silent.feed.catch_up(longest=5.0)
        assert silent.store.calls == calls

    def test_all_who_ask_share_one_call(self, silent):
        calls = silent.store.calls
        asking = [
            gevent.spawn(silent.feed.catch_up, longest=5.0) for _ in range(9)
        ]
        gevent.joinall(asking, timeout=10)
        assert silent.store.calls == calls + 1

    def test_later_rows_are_not_undone(self, silent):
        """Symptom: a replica that has left is used again.

        Sequence: a call for others is on its way; the feed's own brings
        what it will bring, and a later change of the same row. Cause: rows
        were taken in the order in which they came.
        """
        now = silent.store.changes_now

        def answer_late(table, *, after):
            answer = now(table, after=after)
            silent.store.put(TABLE, "a", b"2")
            silent.store.is_silent = False
            silent.store.is_answering.set()
            silent.wait_for({"a": b"2"})
            return answer

        silent.store.changes_now = answer_late
        silent.feed.catch_up(longest=5.0)
        assert silent.seen[-1] == {"a": b"2"}

    def test_rows_that_are_left_out_are_no_word_of_the_store(self, silent):
        """Symptom: others are told that there are no news, and there are.

        Sequence: an answer is left out, as the copy has moved on; the copy
        counts as being as new as that answer. Cause: what was left out was
        taken for contact.
        """
        before = silent.feed._direct_at
        later = _table_source.TableChanges(
            9, [_table_source.Row("b", b"9")], age=0.0
        )
        silent.feed._take_changes(later, after=silent.feed.version - 1)
        assert silent.feed._direct_at == before
        assert silent.feed.version < 9
