"""Claims: at most one execution, and no false outcome not-run."""

import collections
import datetime

import gevent
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from tests.topazlug import claim_fakes as fakes
from topazlug import _errors
from topazlug.claims import _claim_rows
from topazlug.claims import _claims
from topazlug.store import _table_client

OTHER = _claim_rows.fingerprint(method="POST", path="/", body=b"b")
HEADERS = [("Content-Type", "text/plain")]
CLAIMED = _claim_rows.ClaimState.CLAIMED
RELEASED = _claim_rows.ClaimState.RELEASED
FINISHED = _claim_rows.ClaimState.FINISHED


@pytest.fixture
def store():
    return fakes.FakeStore()


@pytest.fixture
def objects():
    return fakes.FakeObjects()


@pytest.fixture
def clock():
    return fakes.FakeClock()


@pytest.fixture
def manager(store, objects, clock):
    return fakes.make_claim_manager(store, objects=objects, clock=clock)


class TestClaim:
    def test_first_attempt_holds_the_row(self, manager, store):
        claim = fakes.claim(manager)
        claim.may_send()
        assert store.claim_row().attempt == claim.attempt

    def test_other_teams_have_their_own_keys(self, manager):
        fakes.claim(manager, team="a/b")
        assert isinstance(fakes.claim(manager, team="a"), _claims.Claim)

    def test_names_with_slashes_do_not_collide(self):
        """Guards against a team that receives another team's answer.

        Without quoting, team ``a`` with service ``b/c`` has the same row key
        as team ``a/b`` with service ``c``.
        """
        one = _claim_rows.row_key(team="a", service="b/c", key="k")
        other = _claim_rows.row_key(team="a/b", service="c", key="k")
        assert one != other

    def test_key_of_a_running_attempt_is_unknown(self, manager, store):
        """Guards against a request that runs twice after a crash.

        The first daemon claims, sends and crashes; the caller repeats at a
        second one, which must not regard the claim as abandoned.
        """
        fakes.claim(manager).may_send()
        with pytest.raises(_errors.KeyInUse) as caught:
            fakes.claim(fakes.make_claim_manager(store, name="d2"))
        assert caught.value.outcome is _errors.Outcome.UNKNOWN
        assert caught.value.retry_after

    def test_row_of_another_version_is_unknown(self, manager, store):
        """Guards against a key that seems free during a rollout.

        Its claim was written by a newer version of the daemon.
        """
        store.row_by_key[fakes.ROW_KEY] = _table_client.Row(
            table="claims", key=fakes.ROW_KEY, version=3, value={"new": 1}
        )
        with pytest.raises(_errors.KeyInUse):
            fakes.claim(manager)

    @pytest.mark.parametrize("end", ["abandon", "release", "finish"])
    def test_other_request_is_rejected_in_each_state(self, manager, end):
        claim = fakes.claim(manager)
        arguments = (200, HEADERS, b"done") if end == "finish" else ()
        getattr(claim, end)(*arguments)
        manager.wait_finalized(10.0)
        with pytest.raises(_errors.KeyReused):
            fakes.claim(manager, fingerprint=OTHER)

    def test_simultaneous_claims_in_one_daemon(self, manager):
        """Guards against two simultaneous requests with one key both running.

        Both reach one daemon and are written in the same batch, where the
        row of each is reported as written.
        """
        jobs = [gevent.spawn(fakes.claim, manager) for _ in range(2)]
        gevent.joinall(jobs)
        results = [job.value or job.exception for job in jobs]
        kinds = sorted(type(result).__name__ for result in results)
        assert kinds == ["Claim", "KeyInUse"]


class TestStoreFaults:
    def test_unavailable_store_is_not_run(self, manager, store):
        store.transact_faults.append(fakes.Fault.DOWN)
        with pytest.raises(_errors.StoreUnavailable) as caught:
            fakes.claim(manager)
        assert caught.value.outcome is _errors.Outcome.NOT_RUN
        assert caught.value.retry_after == 3

    def test_lost_answer_is_resolved_by_reading_the_row(self, manager, store):
        """Guards against rejecting a request because of its own claim.

        The store commits the claim, and its response is lost. If the row is
        not read, the daemon rejects the request, and each repeat finds the
        claim.
        """
        store.transact_faults.append(fakes.Fault.ANSWER_LOST)
        claim = fakes.claim(manager)
        claim.may_send()
        assert store.claim_row().attempt == claim.attempt

    def test_lost_answer_of_a_conflict(self, manager, store):
        """Guards against two daemons sending after a lost conflict.

        A conflict whose response is lost must not count as a commit.
        """
        holder = fakes.claim(fakes.make_claim_manager(store, name="d2"))
        store.transact_faults.append(fakes.Fault.REQUEST_LOST)
        with pytest.raises(_errors.KeyInUse):
            fakes.claim(manager)
        assert store.claim_row().attempt == holder.attempt

    def test_late_insert_never_sends(self, manager, store):
        """Guards against a claim that takes effect after not-run.

        The result of the insert is ambiguous, and the row is absent when
        read; the daemon rejects the request. If the insert then took effect,
        the key's outcome would be unknown for a day. The released row that
        is written in its place prevents that.
        """
        store.transact_faults.append(fakes.Fault.LATE)
        with pytest.raises(_errors.StoreUnavailable) as caught:
            fakes.claim(manager)
        assert caught.value.outcome is _errors.Outcome.NOT_RUN
        manager.wait_finalized(10.0)
        store.apply_late_writes()
        assert store.claim_row().state is RELEASED
        assert isinstance(fakes.claim(manager), _claims.Claim)

    def test_insert_applied_before_its_release_is_released(
        self, manager, store
    ):
        """As above, but the insert takes effect before the released row."""
        store.transact_faults.append(fakes.Fault.LATE)
        with pytest.raises(_errors.StoreUnavailable):
            fakes.claim(manager)
        store.apply_late_writes()
        assert store.claim_row().state is CLAIMED
        manager.wait_finalized(10.0)
        assert store.claim_row().state is RELEASED

    def test_unreadable_row_after_a_lost_answer(self, manager, store):
        """A claim that can't be resolved is not sent, and is released."""
        store.transact_faults.append(fakes.Fault.ANSWER_LOST)
        store.read_faults.append(fakes.Fault.DOWN)
        with pytest.raises(_errors.StoreUnavailable):
            fakes.claim(manager)
        manager.wait_finalized(10.0)
        assert store.claim_row().state is RELEASED


class TestDeadline:
    def test_suspended_attempt_does_not_send(self, manager, clock, store):
        """Guards against sending a request long after its caller gave up.

        The daemon claims, is suspended past the deadline, and resumes
        before the first byte.
        """
        claim = fakes.claim(manager, deadline=5.0)
        clock.advance(6.0)
        with pytest.raises(_errors.DeadlineExceeded) as caught:
            claim.may_send()
        assert caught.value.outcome is _errors.Outcome.NOT_RUN
        claim.release()
        manager.wait_finalized(10.0)
        assert store.claim_row().state is RELEASED

    def test_expired_claim_does_not_send(self, store, clock):
        """A claim is swept while its holder and its clock are suspended."""
        lifetime = datetime.timedelta(seconds=10)
        manager = fakes.make_claim_manager(
            store, clock=clock, lifetime=lifetime
        )
        claim = fakes.claim(manager)
        clock.advance(11.0)
        with pytest.raises(_errors.DeadlineExceeded):
            claim.may_send()

    def test_deadline_passes_while_queued(self, manager, store):
        """Guards against writing the claim of a rejected request."""
        store.transact_faults.append(fakes.Fault.BLOCKED)
        first = gevent.spawn(fakes.claim, manager, key="first")
        while not store.batch_sizes:
            gevent.sleep(0)
        with pytest.raises(_errors.DeadlineExceeded) as caught:
            fakes.claim(manager, deadline=0.01)
        assert caught.value.outcome is _errors.Outcome.NOT_RUN
        store.unblocked.set()
        first.get()
        manager.wait_finalized(10.0)
        assert store.claim_row() is None

    def test_deadline_passes_while_written(self, manager, store):
        """Guards against a rejected request whose claim holds the key.

        The store is slow; the caller receives not-run at its deadline while
        the claim is being written.
        """
        store.transact_faults.append(fakes.Fault.BLOCKED)
        with pytest.raises(_errors.DeadlineExceeded) as caught:
            fakes.claim(manager, deadline=0.05)
        assert caught.value.outcome is _errors.Outcome.NOT_RUN
        assert store.batch_sizes == [1]
        store.unblocked.set()
        manager.wait_finalized(10.0)
        assert store.claim_row().state is RELEASED

    def test_answer_after_the_deadline(self, manager, store, clock):
        """A daemon suspended while it claims resumes past the deadline."""
        store.transact_faults.append(fakes.Fault.BLOCKED)
        waiting = gevent.spawn(fakes.claim, manager, deadline=5.0)
        while not store.batch_sizes:
            gevent.sleep(0)
        clock.advance(6.0)
        store.unblocked.set()
        with pytest.raises(_errors.DeadlineExceeded):
            waiting.get()
        manager.wait_finalized(10.0)
        assert store.claim_row().state is RELEASED

    def test_killed_while_waiting(self, manager, store):
        """A caller leaves while its claim is written; it must be released."""
        store.transact_faults.append(fakes.Fault.DELAYED)
        waiting = gevent.spawn(fakes.claim, manager)
        while not store.batch_sizes:
            gevent.sleep(0)
        waiting.kill()
        manager.wait_finalized(10.0)
        assert store.claim_row().state is RELEASED


class TestRelease:
    def test_release_frees_the_key(self, manager):
        fakes.claim(manager).release()
        manager.wait_finalized(10.0)
        assert isinstance(fakes.claim(manager), _claims.Claim)

    def test_late_release_does_not_affect_the_next_claim(self, manager, store):
        """Guards against a request that runs twice after a late release.

        The first release is late, its retry takes effect, a second attempt
        claims, and then the late release arrives. If rows were deleted,
        versions would restart, and the late release would match the second
        attempt's row.
        """
        first = fakes.claim(manager)
        store.transact_faults.append(fakes.Fault.LATE)
        first.release()
        manager.wait_finalized(10.0)
        second = fakes.claim(fakes.make_claim_manager(store, name="d2"))
        store.apply_late_writes()
        row = store.claim_row()
        assert (row.attempt, row.state) == (second.attempt, CLAIMED)

    def test_exit_before_sending_frees_the_key(self, manager):
        """A caller leaves between the claim and the first byte."""
        with fakes.claim(manager):
            pass
        manager.wait_finalized(10.0)
        assert isinstance(fakes.claim(manager), _claims.Claim)

    def test_exit_after_sending_is_unknown(self, manager):
        """Guards against a request that runs twice after a failed send."""
        with fakes.claim(manager) as claim:
            claim.may_send()
        manager.wait_finalized(10.0)
        with pytest.raises(_errors.KeyInUse):
            fakes.claim(manager)

    def test_ended_claim_cannot_be_used(self, manager):
        """Guards against clean-up that releases the key of a sent request."""
        claim = fakes.claim(manager)
        claim.abandon()
        with pytest.raises(_errors.ClaimEnded):
            claim.release()
        with pytest.raises(_errors.ClaimEnded):
            claim.may_send()


class TestFinish:
    def repeat(self, manager, body):
        fakes.claim(manager).finish(201, HEADERS, body)
        manager.wait_finalized(10.0)
        return fakes.claim(manager)

    @pytest.mark.parametrize("size", [0, 10, 5000])
    def test_repeat_gets_the_same_answer(self, manager, size):
        body = b"\xff" * size
        kept = self.repeat(manager, body)
        assert kept == _claims.KeptAnswer(
            status=201, headers=HEADERS, body=body
        )

    def test_small_answer_needs_no_object(self, manager, objects):
        self.repeat(manager, b"small")
        assert not objects.data_by_key

    def test_too_large_answer_has_outcome_ran(self, manager):
        with pytest.raises(_errors.AnswerNotKept) as caught:
            self.repeat(manager, b"x" * 20_000)
        assert caught.value.outcome is _errors.Outcome.RAN

    def test_object_store_down_at_the_finish(self, manager, objects, store):
        """Guards against a row that refers to an answer never stored."""
        objects.down = True
        with pytest.raises(_errors.AnswerNotKept):
            self.repeat(manager, b"x" * 5000)
        answer = store.claim_row().answer
        assert answer.place is _claim_rows.AnswerLocation.NOWHERE

    def test_object_store_down_at_the_repeat(self, manager, objects):
        """Guards against returning not-run for a request that ran.

        The stored answer can't be read, and the outcome of the read's error
        is not-run.
        """
        self.repeat(manager, b"x" * 5000)
        objects.down = True
        with pytest.raises(_errors.AnswerNotKept) as caught:
            fakes.claim(manager)
        assert caught.value.outcome is _errors.Outcome.RAN

    @pytest.mark.parametrize("fault", list(fakes.Fault))
    def test_finish_is_retried(self, manager, store, fault):
        """Guards against an unknown outcome because one write failed."""
        store.unblocked.set()
        claim = fakes.claim(manager)
        store.transact_faults.append(fault)
        claim.finish(200, HEADERS, b"done")
        manager.wait_finalized(10.0)
        assert fakes.claim(manager).body == b"done"

    def test_claim_stays_claimed_after_a_long_outage(self, manager, store):
        claim = fakes.claim(manager)
        store.transact_faults.extend([fakes.Fault.DOWN] * 1000)
        claim.finish(200, HEADERS, b"done")
        assert manager.wait_finalized(10.0) == 0
        assert store.claim_row().state is CLAIMED


STEPS = ["", "claimed", "checked", "sent"]
PLANS = strategies.fixed_dictionaries(
    {
        "daemon": strategies.integers(0, 2),
        "wait": strategies.integers(0, 20),
        "crash": strategies.sampled_from(["", "", "", *STEPS]),
        "pause": strategies.sampled_from([0.0, 0.0, 2000.0]),
        "end": strategies.sampled_from(["finish", "abandon", "release"]),
        "tries": strategies.integers(1, 3),
        "hangs_up": strategies.sampled_from([0, 0, 0, 3, 6]),
    }
)
RANDOM_FAULTS = [
    fault for fault in fakes.Fault if fault is not fakes.Fault.BLOCKED
]
FAULTS = strategies.lists(strategies.sampled_from(RANDOM_FAULTS), max_size=25)


class Run:
    """A random schedule of daemons that share a store."""

    def __init__(self, transact_faults, read_faults):
        self.store = fakes.FakeStore()
        self.store.transact_faults.extend(transact_faults)
        self.store.read_faults.extend(read_faults)
        self.objects = fakes.FakeObjects()
        self.clocks = [fakes.FakeClock() for _ in range(3)]
        self.managers = [
            fakes.make_claim_manager(
                self.store,
                objects=self.objects,
                clock=clock,
                name=f"d{number}",
            )
            for number, clock in enumerate(self.clocks)
        ]
        self.sent = []
        self.crashed = set()
        self.jobs_by_daemon = collections.defaultdict(list)

    def call(self, plan):
        for _ in range(plan["wait"]):
            gevent.sleep(0)
        if plan["daemon"] in self.crashed:
            return
        for _ in range(plan["tries"]):
            before = len(self.sent)
            error = self.attempt(plan)
            if error is None:
                return
            self.check(error, before)

    def check(self, error, before):
        if error.outcome is _errors.Outcome.RAN:
            assert self.sent
        if error.outcome is _errors.Outcome.NOT_RUN:
            # Senders are recorded by greenlet; this one sent nothing.
            assert gevent.getcurrent() not in self.sent[before:]

    def attempt(self, plan):
        manager = self.managers[plan["daemon"]]
        clock = self.clocks[plan["daemon"]]
        try:
            deadline = clock.monotonic() + 1000.0
            claim = fakes.claim(manager, deadline=deadline)
        except _errors.RequestError as error:
            return error
        if isinstance(claim, _claims.KeptAnswer):
            assert len(self.sent) == 1
            assert claim.body == b"done"
            return None
        with claim:
            return self.use(claim, plan)

    def use(self, claim, plan):
        self.crash_at("claimed", plan)
        gevent.sleep(0)
        self.clocks[plan["daemon"]].advance(plan["pause"])
        try:
            claim.may_send()
        except _errors.DeadlineExceeded as error:
            return error
        self.crash_at("checked", plan)
        if plan["end"] == "release":
            claim.release()
            return None
        self.sent.append(gevent.getcurrent())
        gevent.sleep(0)
        self.crash_at("sent", plan)
        if plan["end"] == "finish":
            claim.finish(200, HEADERS, b"done")
        return None

    def crash_at(self, step, plan):
        if plan["crash"] == step:
            self.crashed.add(plan["daemon"])
            fakes.crash(self.managers[plan["daemon"]])
            jobs = set(self.jobs_by_daemon[plan["daemon"]])
            gevent.killall(list(jobs - {gevent.getcurrent()}))
            raise gevent.GreenletExit

    def play(self, plans):
        jobs = [gevent.spawn(self.call, plan) for plan in plans]
        for plan, job in zip(plans, jobs):
            self.jobs_by_daemon[plan["daemon"]].append(job)
        for turn in range(40):
            gevent.sleep(0)
            if turn % 4 == 0:
                self.store.apply_late_writes()
            for plan, job in zip(plans, jobs):
                if plan["hangs_up"] == turn + 1:
                    job.kill(block=False)
        gevent.joinall(jobs, timeout=2.0)
        assert all(job.ready() for job in jobs)
        for job in jobs:
            if job.exception is not None:
                raise job.exception
        for number, manager in enumerate(self.managers):
            if number not in self.crashed:
                assert manager.wait_finalized(2.0) == 0
        self.store.apply_late_writes()


class TestSchedules:
    """Random faults, crashes, pauses and attempts with one key."""

    @settings(max_examples=400, deadline=None)
    @given(
        plans=strategies.lists(PLANS, min_size=2, max_size=6),
        transact_faults=FAULTS,
        read_faults=FAULTS,
    )
    def test_at_most_one_send(self, plans, transact_faults, read_faults):
        run = Run(transact_faults, read_faults)
        run.play(plans)
        assert len(run.sent) <= 1
        if not run.sent and not run.crashed:
            # Nothing ran and no daemon crashed, so the key must be free once
            # the store works again.
            run.store.transact_faults.clear()
            last = fakes.make_claim_manager(run.store, name="last")
            assert isinstance(fakes.claim(last), _claims.Claim)
