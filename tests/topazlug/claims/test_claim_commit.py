"""Group commit of claims, and the sweep of old ones."""

import datetime

import gevent
import pytest

from tests.topazlug import claim_fakes as fakes
from topazlug import _errors
from topazlug import _ids
from topazlug.claims import _claim_commit
from topazlug.claims import _claim_rows
from topazlug.claims import _claim_sweep
from topazlug.store import _table_client


@pytest.fixture
def store():
    return fakes.FakeStore()


@pytest.fixture
def clock():
    return fakes.FakeClock()


@pytest.fixture
def committer(store, clock):
    return make_committer(store, clock)


def make_committer(store, clock, **options):
    return _claim_commit.GroupCommitter(
        store=store, clock=clock, min_interval=0.0, **options
    )


def make_write(key, *, attempt="a", version=0):
    row = _claim_rows.ClaimRow(
        attempt=_claim_rows.AttemptId(attempt),
        daemon=_ids.DaemonId("d1"),
        fingerprint=fakes.FINGERPRINT,
        state=_claim_rows.ClaimState.CLAIMED,
        claimed_at=fakes.EPOCH,
        expires=fakes.EPOCH + datetime.timedelta(hours=24),
    )
    return _claim_commit.RowWrite(key=key, version=version, row=row)


class TestBatches:
    def test_what_arrives_meanwhile_goes_together(self, committer, store):
        first = committer.submit(make_write("0"))
        while not store.batch_sizes:
            gevent.sleep(0)
        later = [committer.submit(make_write(str(n))) for n in range(1, 41)]
        for pending_write in (first, *later):
            assert isinstance(pending_write.result(), _claim_commit.Written)
        assert store.batch_sizes == [1, 40]

    def test_batches_are_bounded(self, committer, store):
        pending_writes = [
            committer.submit(make_write(str(n))) for n in range(100)
        ]
        gevent.joinall(
            [
                gevent.spawn(pending_write.result)
                for pending_write in pending_writes
            ]
        )
        assert store.batch_sizes == [64, 36]

    def test_conflict_spares_the_others(self, committer, store):
        """One repeated key makes 63 other callers' requests fail.

        A transaction is all or nothing, so one failed condition fails
        every claim that shares its batch.
        """
        committer.submit(make_write("3", attempt="b")).result()
        pending_writes = [
            committer.submit(make_write(str(n))) for n in range(5)
        ]
        results = [pending_write.result() for pending_write in pending_writes]
        rejected = [isinstance(r, _claim_commit.Rejected) for r in results]
        assert rejected == [False, False, False, True, False]

    def test_same_key_twice_waits_for_the_first(self, committer):
        """Both of two requests under one key are told that they hold it.

        In one transaction both conditions hold, as neither has written.
        """
        first = committer.submit(make_write("k", attempt="a"))
        second = committer.submit(make_write("k", attempt="b"))
        assert isinstance(first.result(), _claim_commit.Written)
        assert isinstance(second.result(), _claim_commit.Rejected)

    def test_lost_answer_is_settled_row_by_row(self, committer, store):
        """A whole batch is called failed although it was committed."""
        store.transact_faults.append(fakes.Fault.ANSWER_LOST)
        pending_writes = [
            committer.submit(make_write(str(n))) for n in range(3)
        ]
        results = [pending_write.result() for pending_write in pending_writes]
        assert results == [_claim_commit.Written(version=1)] * 3

    def test_absent_after_a_lost_answer_is_not_certain(self, committer, store):
        """A write is called off, and lands.

        Read back too early the row is absent, which looks like a write
        without effect.
        """
        store.transact_faults.append(fakes.Fault.LATE)
        pending_write = committer.submit(make_write("k"))
        with pytest.raises(_errors.StoreAmbiguous):
            pending_write.result()

    def test_conflict_that_names_no_row_ends(self, committer, store):
        """The daemon asks for the same transaction for ever."""

        def refuse(**_):
            raise _table_client.TransactionConflict([])

        store.transact = refuse
        with pytest.raises(_errors.StoreUnavailable):
            committer.submit(make_write("k")).result()

    def test_unforeseen_failure_answers_the_batch(self, committer, store):
        """Claims hang until their deadlines: the committing greenlet died."""
        working = store.transact

        def fail(**_):
            store.transact = working
            raise ValueError("bad")

        store.transact = fail
        with pytest.raises(_errors.StoreAmbiguous):
            committer.submit(make_write("k")).result()
        again = committer.submit(make_write("k")).result()
        assert isinstance(again, _claim_commit.Written)


class TestLine:
    def test_is_bounded(self, store, clock):
        committer = make_committer(store, clock, max_queued=2)
        for number in range(2):
            committer.submit(make_write(str(number)))
        with pytest.raises(_errors.StoreUnavailable):
            committer.submit(make_write("2"))

    def test_ends_of_claims_pass_the_bound(self, store, clock):
        """Answers are lost for repeats just when many claims wait."""
        committer = make_committer(store, clock, max_queued=0)
        pending_write = committer.submit(make_write("k"), ends_claim=True)
        assert isinstance(pending_write.result(), _claim_commit.Written)

    def test_cancelled_write_is_not_sent(self, committer, store):
        pending_write = committer.submit(make_write("k"))
        assert pending_write.cancel()
        other = committer.submit(make_write("other"))
        other.result()
        assert list(store.row_by_key) == ["other"]

    def test_sent_write_can_not_be_cancelled(self, committer, store):
        pending_write = committer.submit(make_write("k"))
        while not store.batch_sizes:
            gevent.sleep(0)
        assert not pending_write.cancel()


class TestPace:
    def test_refusals_slow_down_and_commits_speed_up(self, store, clock):
        """Daemons keep each other at 429 by asking ever again."""
        committer = make_committer(store, clock)
        store.transact_faults.extend([fakes.Fault.DOWN] * 3)
        for number in range(4):
            gevent.spawn(committer.submit(make_write(str(number))).result)
            gevent.sleep(0)
            while committer._queue or not committer._worker.ready():
                gevent.sleep(0)
        slowed = clock.monotonic()
        assert slowed > _claim_commit.MIN_INTERVAL_SECONDS * 4
        for number in range(4, 60):
            committer.submit(make_write(str(number))).result()
        before = clock.monotonic()
        committer.submit(make_write("last")).result()
        assert clock.monotonic() - before < slowed / 10


class TestSweeper:
    @pytest.fixture
    def sweeper(self, store, clock):
        return _claim_sweep.ClaimSweeper(
            store=store,
            clock=clock,
            daemon_id=_ids.DaemonId("d1"),
            usable=lambda: [_ids.DaemonId("d1")],
        )

    def test_deletes_what_has_expired(self, store, clock, sweeper, committer):
        committer.submit(make_write("old")).result()
        clock.advance(25 * 3600 + 1)
        sweeper.sweep_page()
        assert sweeper.deleted == 1
        assert not store.row_by_key

    def test_keeps_what_has_not(self, store, clock, sweeper, committer):
        """A key is free again while its holder's clock says it is not."""
        committer.submit(make_write("k")).result()
        clock.advance(24 * 3600 + 1)
        sweeper.sweep_page()
        assert list(store.row_by_key) == ["k"]

    def test_walks_page_by_page(self, store, clock, sweeper, committer):
        for number in range(600):
            committer.submit(make_write(str(number))).result()
        clock.advance(25 * 3600 + 1)
        sweeper.sweep_page()
        sweeper.sweep_page()
        assert not store.row_by_key

    def test_row_written_meanwhile_stays(
        self, store, clock, sweeper, committer
    ):
        """A key claimed anew is deleted with the old row that it replaced."""
        committer.submit(make_write("k")).result()
        clock.advance(25 * 3600 + 1)
        page = store.scan("claims")
        store.scan = lambda *_, **__: page
        committer.submit(make_write("k", attempt="b", version=1)).result()
        sweeper.sweep_page()
        assert list(store.row_by_key) == ["k"]

    def test_one_daemon_is_chosen(self):
        ids = [_ids.DaemonId(f"d{number}") for number in range(9)]
        chosen = _claim_sweep.choose_sweeper(ids)
        assert chosen == _claim_sweep.choose_sweeper(list(reversed(ids)))
        assert chosen in ids
