"""Group commit of claims, and the sweep of expired ones."""

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
    def test_writes_during_a_transaction_are_batched(self, committer, store):
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

    def test_conflict_does_not_affect_others(self, committer, store):
        """Guards against one repeated key failing the requests of 63 callers.

        A transaction is all or nothing, so one failed condition fails every
        claim in its batch.
        """
        committer.submit(make_write("3", attempt="b")).result()
        pending_writes = [
            committer.submit(make_write(str(n))) for n in range(5)
        ]
        results = [pending_write.result() for pending_write in pending_writes]
        rejected = [isinstance(r, _claim_commit.Rejected) for r in results]
        assert rejected == [False, False, False, True, False]

    def test_second_write_of_a_key_is_deferred(self, committer):
        """Guards against two requests with one key both getting the claim.

        In one transaction both conditions hold, as neither has written.
        """
        first = committer.submit(make_write("k", attempt="a"))
        second = committer.submit(make_write("k", attempt="b"))
        assert isinstance(first.result(), _claim_commit.Written)
        assert isinstance(second.result(), _claim_commit.Rejected)

    def test_lost_answer_is_resolved_row_by_row(self, committer, store):
        """Guards against regarding a committed batch as failed."""
        store.transact_faults.append(fakes.Fault.ANSWER_LOST)
        pending_writes = [
            committer.submit(make_write(str(n))) for n in range(3)
        ]
        results = [pending_write.result() for pending_write in pending_writes]
        assert results == [_claim_commit.Written(version=1)] * 3

    def test_absent_row_after_a_lost_answer_is_ambiguous(
        self, committer, store
    ):
        """Guards against a write reported as failed that takes effect later.

        If the row is read too early it is absent, as if the write had no
        effect.
        """
        store.transact_faults.append(fakes.Fault.LATE)
        pending_write = committer.submit(make_write("k"))
        with pytest.raises(_errors.StoreAmbiguous):
            pending_write.result()

    def test_conflict_without_rows_fails_the_batch(self, committer, store):
        """Guards against sending the same transaction forever."""

        def refuse(**_):
            raise _table_client.TransactionConflict([])

        store.transact = refuse
        with pytest.raises(_errors.StoreUnavailable):
            committer.submit(make_write("k")).result()

    def test_unexpected_error_completes_the_batch(self, committer, store):
        """Guards against claims that block until their deadlines.

        They would if an error ended the greenlet that writes them.
        """
        working = store.transact

        def fail(**_):
            store.transact = working
            raise ValueError("bad")

        store.transact = fail
        with pytest.raises(_errors.StoreAmbiguous):
            committer.submit(make_write("k")).result()
        again = committer.submit(make_write("k")).result()
        assert isinstance(again, _claim_commit.Written)


class TestQueue:
    def test_queue_is_bounded(self, store, clock):
        committer = make_committer(store, clock, max_queued=2)
        for number in range(2):
            committer.submit(make_write(str(number)))
        with pytest.raises(_errors.StoreUnavailable):
            committer.submit(make_write("2"))

    def test_ends_of_claims_are_exempt_from_the_bound(self, store, clock):
        """Guards against losing answers when many claims are queued."""
        committer = make_committer(store, clock, max_queued=0)
        pending_write = committer.submit(make_write("k"), ends_claim=True)
        assert isinstance(pending_write.result(), _claim_commit.Written)

    def test_cancelled_write_is_not_sent(self, committer, store):
        pending_write = committer.submit(make_write("k"))
        assert pending_write.cancel()
        other = committer.submit(make_write("other"))
        other.result()
        assert list(store.row_by_key) == ["other"]

    def test_sent_write_cannot_be_cancelled(self, committer, store):
        pending_write = committer.submit(make_write("k"))
        while not store.batch_sizes:
            gevent.sleep(0)
        assert not pending_write.cancel()


class TestPacing:
    def test_rejections_slow_down_and_commits_speed_up(self, store, clock):
        """Guards against retries so fast that the store stays at 429."""
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

    def test_expired_claims_are_deleted(
        self, store, clock, sweeper, committer
    ):
        committer.submit(make_write("old")).result()
        clock.advance(25 * 3600 + 1)
        sweeper.sweep_page()
        assert sweeper.deleted == 1
        assert not store.row_by_key

    def test_claims_within_the_margin_are_kept(
        self, store, clock, sweeper, committer
    ):
        """Guards against freeing a key that its holder regards as valid."""
        committer.submit(make_write("k")).result()
        clock.advance(24 * 3600 + 1)
        sweeper.sweep_page()
        assert list(store.row_by_key) == ["k"]

    def test_table_is_scanned_page_by_page(
        self, store, clock, sweeper, committer
    ):
        for number in range(600):
            committer.submit(make_write(str(number))).result()
        clock.advance(25 * 3600 + 1)
        sweeper.sweep_page()
        sweeper.sweep_page()
        assert not store.row_by_key

    def test_row_written_meanwhile_is_kept(
        self, store, clock, sweeper, committer
    ):
        """Guards against deleting a new claim of the key with the old row."""
        committer.submit(make_write("k")).result()
        clock.advance(25 * 3600 + 1)
        page = store.scan("claims")
        store.scan = lambda *_, **__: page
        committer.submit(make_write("k", attempt="b", version=1)).result()
        sweeper.sweep_page()
        assert list(store.row_by_key) == ["k"]

    def test_one_daemon_is_chosen_as_sweeper(self):
        ids = [_ids.DaemonId(f"d{number}") for number in range(9)]
        chosen = _claim_sweep.choose_sweeper(ids)
        assert chosen == _claim_sweep.choose_sweeper(list(reversed(ids)))
        assert chosen in ids
