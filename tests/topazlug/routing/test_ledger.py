"""The ledger of one replica: exact when messages are repeated or lost."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from topazlug import _ids
from topazlug._generated import messages
from topazlug.capacity import _slot_key
from topazlug.routing import _ledger

DAEMONS = ("d1", "d2")
NO_LIMIT = {"limit": 1000, "now": 100.0, "mean": 0.0}


def make_ledger(*, slots=10, batch_slots=8, capacity=4):
    return _ledger.ReplicaLedger(
        replica=_ids.ReplicaId("r0"),
        group=_ids.GroupName("pool"),
        slots=slots,
        batch_slots=batch_slots,
        queue_capacity=capacity,
    )


def key(daemon, ask):
    return _slot_key.SlotKey(daemon, ask)


def entry(weight=1, *, batch=False, team="acme"):
    return _ledger.LedgerEntry(weight=weight, team=team, batch=batch)


class Waiter:
    """One queued request and its outcome."""

    def __init__(self, ledger, ask, *, daemon="d1", deadline=1e9, **options):
        self.outcome = None
        ledger.enqueue(
            _ledger.QueuedRequest(
                key=key(daemon, ask),
                entry=entry(**options),
                deadline=deadline,
                grant=lambda: self.end("granted"),
                reject=lambda verdict: self.end(verdict.value),
            ),
            team_weight=1.0,
        )

    def end(self, outcome):
        assert self.outcome is None
        self.outcome = outcome


class TestQueue:
    def test_grants_while_slots_are_free(self):
        ledger = make_ledger(slots=2)
        waiters = [Waiter(ledger, ask) for ask in range(3)]
        ledger.grant_queued(**NO_LIMIT)
        assert [w.outcome for w in waiters] == ["granted", "granted", None]
        ledger.release(key("d1", 0), now=100.0)
        ledger.grant_queued(**NO_LIMIT)
        assert waiters[2].outcome == "granted"

    def test_request_past_its_deadline_is_rejected(self):
        ledger = make_ledger()
        expired = Waiter(ledger, 1, deadline=99.0)
        ledger.grant_queued(**NO_LIMIT)
        assert expired.outcome == "full"
        assert ledger.load == 0

    def test_requests_over_the_bound_stay_queued(self):
        ledger = make_ledger()
        waiters = [Waiter(ledger, ask) for ask in range(3)]
        ledger.grant_queued(limit=2, now=100.0, mean=0.0)
        assert [w.outcome for w in waiters] == ["granted", "granted", None]

    def test_full_queue_evicts_from_the_team_with_most_requests(self):
        ledger = make_ledger(capacity=2)
        burst = [Waiter(ledger, ask, team="burst") for ask in range(2)]
        calm = Waiter(ledger, 9, team="calm")
        assert [w.outcome for w in burst] == [None, "full"]
        assert calm.outcome is None

    def test_every_eighth_grant_is_batch_work(self):
        """Batch work must run even under interactive overload."""
        ledger = make_ledger(slots=1, batch_slots=1, capacity=50)
        batch = Waiter(ledger, 99, batch=True)
        interactive = [Waiter(ledger, ask) for ask in range(20)]
        rounds = 0
        while batch.outcome is None:
            ledger.grant_queued(**NO_LIMIT)
            rounds += 1
            for ask in list(ledger.entry_by_key):
                ledger.release(ask, now=100.0)
        assert rounds == 8
        assert [w.outcome for w in interactive].count("granted") == 7

    def test_requests_of_a_dead_daemon_leave_the_queue(self):
        ledger = make_ledger()
        Waiter(ledger, 1, daemon="d1")
        other = Waiter(ledger, 1, daemon="d2")
        ledger.drop_daemon(_ids.DaemonId("d1"), now=1.0)
        ledger.grant_queued(**NO_LIMIT)
        assert other.outcome == "granted"
        assert list(ledger.entry_by_key) == [key("d2", 1)]

    def test_all_queued_requests_are_rejected(self):
        ledger = make_ledger()
        waiters = [Waiter(ledger, n, batch=n % 2 == 0) for n in range(4)]
        ledger.reject_all(messages.Verdict.not_owner)
        assert {w.outcome for w in waiters} == {"not_owner"}


ASK_NUMBERS = strategies.integers(0, 5)
DAEMON_NAMES = strategies.sampled_from(DAEMONS)
STEP = strategies.one_of(
    strategies.tuples(
        strategies.just("hold"),
        DAEMON_NAMES,
        ASK_NUMBERS,
        strategies.integers(1, 3),
    ),
    strategies.tuples(strategies.just("release"), DAEMON_NAMES, ASK_NUMBERS),
    strategies.tuples(
        strategies.just("renew"),
        DAEMON_NAMES,
        strategies.sets(ASK_NUMBERS, max_size=4),
    ),
    strategies.tuples(strategies.just("drop"), DAEMON_NAMES),
    strategies.tuples(strategies.just("queue"), DAEMON_NAMES, ASK_NUMBERS),
    strategies.tuples(
        strategies.just("admit"),
        DAEMON_NAMES,
        ASK_NUMBERS,
        strategies.integers(1, 3),
    ),
    strategies.tuples(strategies.just("grant")),
)


class TestAnySteps:
    @settings(max_examples=300)
    @given(strategies.lists(STEP, max_size=40))
    def test_load_is_the_sum_of_the_entries(self, steps):
        """Each request must be counted exactly once.

        Holds, releases, renewals and deaths of daemons may come in any order
        and repeatedly, and a restarted daemon uses its request numbers again.
        A wrong count makes an idle replica reject all requests, or overloads
        it.
        """
        ledger, model = make_ledger(), {}
        for step in steps:
            getattr(self, step[0])(ledger, model, *step[1:])
            assert dict(ledger.entry_by_key) == model
            assert ledger.load == sum(h.weight for h in model.values())
            batch = sum(h.weight for h in model.values() if h.batch)
            assert ledger.batch_load == batch
        for daemon in DAEMONS:
            ledger.drop_daemon(_ids.DaemonId(daemon), now=1.0)
        assert (ledger.load, ledger.batch_load) == (0, 0)

    def hold(self, ledger, model, daemon, ask, weight):
        held = entry(weight, batch=ask % 2 == 0)
        ledger.hold(key(daemon, ask), held)
        model.setdefault(key(daemon, ask), held)

    def release(self, ledger, model, daemon, ask):
        released = ledger.release(key(daemon, ask), now=1.0)
        assert released is (model.pop(key(daemon, ask), None) is not None)

    def renew(self, ledger, model, daemon, asks):
        held_by_ask = {
            ask: messages.HeldPlace(
                ask=ask, replica="r0", weight=1, team="acme", batch=False
            )
            for ask in asks
        }
        ledger.reconcile(_ids.DaemonId(daemon), held_by_ask, set(), now=1.0)
        for old in [k for k in model if k.daemon == daemon]:
            if old.ask not in asks:
                del model[old]
        for ask in asks:
            model.setdefault(key(daemon, ask), entry())

    def drop(self, ledger, model, daemon):
        ledger.drop_daemon(_ids.DaemonId(daemon), now=1.0)
        for old in [k for k in model if k.daemon == daemon]:
            del model[old]

    def queue(self, ledger, model, daemon, ask):
        Waiter(ledger, ask, daemon=daemon)
        model.pop(key(daemon, ask), None)

    def admit(self, ledger, model, daemon, ask, weight):
        admitted = entry(weight, batch=ask % 2 == 0)
        ledger.admit(key(daemon, ask), admitted)
        assert key(daemon, ask) not in ledger.queued_by_key
        model[key(daemon, ask)] = admitted

    def grant(self, ledger, model):
        before = dict(ledger.queued_by_key)
        ledger.grant_queued(**NO_LIMIT)
        for granted in before.keys() - ledger.queued_by_key.keys():
            model[granted] = before[granted].entry


class TestExpectedWait:
    def test_idle_period_does_not_count(self):
        """The first request after an idle night must not be rejected.

        If nothing runs for an hour, the hour must not count as the time
        between two releases.
        """
        ledger = make_ledger(slots=2)
        for at, ask in ((0.0, 1), (3600.0, 2)):
            ledger.hold(key("d1", ask), entry())
            ledger.release(key("d1", ask), now=at)
        assert ledger.expected_wait(batch=False) == 0.0

    def test_demand_includes_queued_requests(self):
        """A burst on an idle group must not be admitted one by one.

        With a mean of running requests only, all others would be over the
        bound.
        """
        ledger = make_ledger(slots=2)
        for ask in range(3):
            Waiter(ledger, ask)
        assert ledger.demand() == 3


class TestEngineReports:
    def test_requests_released_before_their_report_do_not_count(self):
        """A chat must not be moved away from an idle replica.

        During a sequence of short turns, each engine report counts one
        request that has been released when the report is recorded. Compared
        with the count at that moment, three such reports in a row would look
        like a request that another owner admitted.
        """
        ledger = make_ledger()
        for ask in range(6):
            ledger.hold(key("d1", ask), entry())
            ledger.release(key("d1", ask), now=100.0)
            ledger.add_engine_report(1)
        assert ledger.observed_load() == 0

    def test_requests_admitted_by_another_owner_count(self):
        ledger = make_ledger()
        for ask in range(3):
            ledger.hold(key("d1", ask), entry())
            ledger.release(key("d1", ask), now=100.0)
            ledger.add_engine_report(3)
        assert ledger.observed_load() == 2
