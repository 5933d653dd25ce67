"""The count of one replica: exact, whatever comes twice or not at all."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from topazlug import _ids
from topazlug._generated import messages
from topazlug.capacity import _slot_key
from topazlug.routing import _ledger

DAEMONS = ("d1", "d2")
NO_LIMIT = {"limit": 1000, "now": 100.0, "mean": 0.0}


def make(*, slots=10, batch_slots=8, capacity=4):
    return _ledger.ReplicaLedger(
        replica=_ids.ReplicaId("r0"),
        group=_ids.GroupName("pool"),
        slots=slots,
        batch_slots=batch_slots,
        queue_capacity=capacity,
    )


def key(daemon, ask):
    return _slot_key.SlotKey(daemon, ask)


def held(weight=1, *, batch=False, team="acme"):
    return _ledger.Held(weight=weight, team=team, batch=batch)


class Waiter:
    """One ask that waits, and what became of it."""

    def __init__(self, ledger, ask, *, daemon="d1", deadline=1e9, **options):
        self.fate = None
        ledger.enqueue(
            _ledger.Waiting(
                key=key(daemon, ask),
                held=held(**options),
                deadline=deadline,
                grant=lambda: self.end("granted"),
                refuse=lambda verdict: self.end(verdict.value),
            ),
            team_weight=1.0,
        )

    def end(self, fate):
        assert self.fate is None
        self.fate = fate


class TestQueue:
    def test_grants_while_there_is_room(self):
        ledger = make(slots=2)
        waiters = [Waiter(ledger, ask) for ask in range(3)]
        ledger.pump(**NO_LIMIT)
        assert [w.fate for w in waiters] == ["granted", "granted", None]
        ledger.release(key("d1", 0), now=100.0)
        ledger.pump(**NO_LIMIT)
        assert waiters[2].fate == "granted"

    def test_expired_ask_is_refused(self):
        ledger = make()
        late = Waiter(ledger, 1, deadline=99.0)
        ledger.pump(**NO_LIMIT)
        assert late.fate == "full"
        assert ledger.load == 0

    def test_bound_holds_the_queue_back(self):
        ledger = make()
        waiters = [Waiter(ledger, ask) for ask in range(3)]
        ledger.pump(limit=2, now=100.0, mean=0.0)
        assert [w.fate for w in waiters] == ["granted", "granted", None]

    def test_full_queue_evicts_the_longest_team(self):
        ledger = make(capacity=2)
        surge = [Waiter(ledger, ask, team="surge") for ask in range(2)]
        calm = Waiter(ledger, 9, team="calm")
        assert [w.fate for w in surge] == [None, "full"]
        assert calm.fate is None

    def test_batch_work_gets_every_eighth_turn(self):
        """Symptom: an audit never runs.

        Cause: interactive work overloads the replica and goes first.
        """
        ledger = make(slots=1, batch_slots=1, capacity=50)
        batch = Waiter(ledger, 99, batch=True)
        order = [Waiter(ledger, ask) for ask in range(20)]
        turns = 0
        while batch.fate is None:
            ledger.pump(**NO_LIMIT)
            turns += 1
            for ask in list(ledger.held_by_key):
                ledger.release(ask, now=100.0)
        assert turns == 8
        assert [w.fate for w in order].count("granted") == 7

    def test_dead_daemon_leaves_the_queue(self):
        ledger = make()
        Waiter(ledger, 1, daemon="d1")
        other = Waiter(ledger, 1, daemon="d2")
        ledger.drop_daemon(_ids.DaemonId("d1"), now=1.0)
        ledger.pump(**NO_LIMIT)
        assert other.fate == "granted"
        assert list(ledger.held_by_key) == [key("d2", 1)]

    def test_all_are_sent_away_with_the_ownership(self):
        ledger = make()
        waiters = [Waiter(ledger, n, batch=n % 2 == 0) for n in range(4)]
        ledger.refuse_all(messages.Verdict.not_owner)
        assert {w.fate for w in waiters} == {"not_owner"}


ASKS = strategies.integers(0, 5)
WHO = strategies.sampled_from(DAEMONS)
STEP = strategies.one_of(
    strategies.tuples(
        strategies.just("hold"), WHO, ASKS, strategies.integers(1, 3)
    ),
    strategies.tuples(strategies.just("release"), WHO, ASKS),
    strategies.tuples(
        strategies.just("renew"), WHO, strategies.sets(ASKS, max_size=4)
    ),
    strategies.tuples(strategies.just("drop"), WHO),
    strategies.tuples(strategies.just("queue"), WHO, ASKS),
    strategies.tuples(strategies.just("pump")),
)


class TestAnySteps:
    @settings(max_examples=300)
    @given(strategies.lists(STEP, max_size=40))
    def test_count_is_the_sum_of_what_is_held(self, steps):
        """Symptom: a replica refuses all though idle, or is swamped.

        Sequence: any order of holds, releases, renewals and deaths, also
        repeated. Cause: one of them counted twice, or not at all.
        """
        ledger, model = make(), {}
        for step in steps:
            getattr(self, step[0])(ledger, model, *step[1:])
            assert dict(ledger.held_by_key) == model
            assert ledger.load == sum(h.weight for h in model.values())
            batch = sum(h.weight for h in model.values() if h.batch)
            assert ledger.batch_load == batch
        for daemon in DAEMONS:
            ledger.drop_daemon(_ids.DaemonId(daemon), now=1.0)
        assert (ledger.load, ledger.batch_load) == (0, 0)

    def hold(self, ledger, model, daemon, ask, weight):
        place = held(weight, batch=ask % 2 == 0)
        ledger.hold(key(daemon, ask), place)
        model.setdefault(key(daemon, ask), place)

    def release(self, ledger, model, daemon, ask):
        freed = ledger.release(key(daemon, ask), now=1.0)
        assert freed is (model.pop(key(daemon, ask), None) is not None)

    def renew(self, ledger, model, daemon, asks):
        places = {
            ask: messages.HeldPlace(
                ask=ask, replica="r0", weight=1, team="acme", batch=False
            )
            for ask in asks
        }
        ledger.keep_only(_ids.DaemonId(daemon), places, set(), now=1.0)
        for old in [k for k in model if k.daemon == daemon]:
            if old.ask not in asks:
                del model[old]
        for ask in asks:
            model.setdefault(key(daemon, ask), held())

    def drop(self, ledger, model, daemon):
        ledger.drop_daemon(_ids.DaemonId(daemon), now=1.0)
        for old in [k for k in model if k.daemon == daemon]:
            del model[old]

    def queue(self, ledger, model, daemon, ask):
        if key(daemon, ask) in ledger.waiting_by_key | model:
            return
        Waiter(ledger, ask, daemon=daemon)

    def pump(self, ledger, model):
        before = dict(ledger.waiting_by_key)
        ledger.pump(**NO_LIMIT)
        for waiting in before.keys() - ledger.waiting_by_key.keys():
            model[waiting] = before[waiting].held


class TestExpectedWait:
    def test_idle_spell_does_not_count(self):
        """Symptom: the first call after a quiet night is refused.

        Sequence: nothing runs for an hour, then two calls come. Cause: the
        hour counted as the time between two releases.
        """
        ledger = make(slots=2)
        for at, ask in ((0.0, 1), (3600.0, 2)):
            ledger.hold(key("d1", ask), held())
            ledger.release(key("d1", ask), now=at)
        assert ledger.expected_wait(batch=False) == 0.0

    def test_demand_counts_what_waits(self):
        """Symptom: a burst onto an idle group is let in one by one.

        Cause: the mean was taken over what runs, and nothing ran yet.
        """
        ledger = make(slots=2)
        for ask in range(3):
            Waiter(ledger, ask)
        assert ledger.demand() == 3


class TestEngineReports:
    def test_turns_that_ended_before_their_report_came(self):
        """Symptom: a chat is sent away from an idle replica.

        Sequence: a chat's short turns follow each other; the engine counts
        one each time it is asked, and each has ended when its answer is
        taken. Cause: the report is held against the count of that moment,
        and three in a row pass for places that another owner granted.
        """
        ledger = make()
        for ask in range(6):
            ledger.hold(key("d1", ask), held())
            ledger.release(key("d1", ask), now=100.0)
            ledger.take_report(1)
        assert ledger.seen_load() == 0

    def test_places_that_another_owner_granted_count(self):
        ledger = make()
        for ask in range(3):
            ledger.hold(key("d1", ask), held())
            ledger.release(key("d1", ask), now=100.0)
            ledger.take_report(3)
        assert ledger.seen_load() == 2
