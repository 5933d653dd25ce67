"""Admission by an owner: exact counts, and uncertain ones."""

import io
import json

import pytest

from tests.topazlug import claim_fakes
from tests.topazlug import routing_fixtures as fixtures
from topazlug import _ids
from topazlug import _logs
from topazlug._generated import messages
from topazlug._generated import settings
from topazlug.routing import _ownership

R0 = _ids.ReplicaId("r0")
PEER = _ids.DaemonId("d2")
VERDICT = messages.Verdict


@pytest.fixture
def clock():
    return claim_fakes.FakeClock()


@pytest.fixture
def entry(clock):
    return fixtures.Entry(
        "d1",
        targets=[fixtures.target(f"r{n}", slots=10) for n in range(2)],
        daemons=["d1"],
        clock=clock,
        links=fixtures.NoLinks(),
    )


class Requester:
    """Sends admission requests to one owner."""

    def __init__(self, entry):
        self.owner = entry.owner
        self.count = 0

    def ask(self, replica=R0, **changes):
        """Return the verdict; None while the request is queued."""
        self.count += 1
        replies = []
        fields = {
            "ask": self.count,
            "group": fixtures.POOL,
            "replica": replica,
            "chat": 1,
            "team": "acme",
            "batch": False,
            "weight": 1,
            "home": False,
            **changes,
        }
        self.owner.handle_admission_request(
            PEER, messages.AdmitAsk(**fields), replies.append
        )
        return replies[0].verdict if replies else None

    def fill(self, count, **changes):
        verdicts = [self.ask(**changes) for _ in range(count)]
        assert set(verdicts) == {VERDICT.granted}


@pytest.fixture
def requester(entry):
    return Requester(entry)


class TestAdmissionRequest:
    def test_slots_are_counted_exactly(self, requester, clock):
        clock.advance(5)
        requester.fill(10)
        assert requester.ask() is VERDICT.full

    def test_replica_of_another_owner(self, requester, entry):
        entry.ownership.update(daemons=["d9"], replicas=["r0", "r1"])
        assert requester.ask() is VERDICT.not_owner

    def test_unusable_replica(self, requester, entry):
        entry.targets.avoid(R0)
        assert requester.ask() is VERDICT.expired

    def test_batch_work_leaves_the_reserve_free(self, requester, clock):
        """Interactive requests must not wait for slots of batch work."""
        clock.advance(5)
        requester.fill(8, batch=True)  # floor(10 * (1 - 0.15))
        assert requester.ask(batch=True) is VERDICT.full
        requester.fill(2)

    def test_interactive_work_does_not_wait_behind_queued_batch_work(
        self, requester, clock
    ):
        clock.advance(5)
        requester.fill(8, batch=True)
        assert requester.ask(batch=True, wait=9.0) is None
        assert requester.ask() is VERDICT.granted

    def test_release_of_an_unknown_request(self, requester, entry):
        requester.fill(1)
        entry.owner.release(PEER, messages.Release(asks=[99, 99]))
        assert entry.owner.ledger_by_replica[R0].load == 1


class TestRestartedDaemon:
    """A restarted daemon keeps its id and numbers its requests from 1 again.

    Until it renews, its owner has requests of the previous process under the
    same keys.
    """

    def test_entry_of_the_previous_process_is_replaced(
        self, requester, entry, clock
    ):
        """The load was counted with the weight and class of an old request."""
        clock.advance(5)
        requester.fill(1, weight=3, batch=True)
        requester.count = 0
        requester.fill(1)
        ledger = entry.owner.ledger_by_replica[R0]
        assert (ledger.load, ledger.batch_load) == (1, 0)

    def test_queued_requests_do_not_wait_for_their_own_keys(
        self, requester, entry, clock
    ):
        """Old entries were kept while renewals listed their keys."""
        clock.advance(5)
        requester.fill(10)
        requester.count = 0
        for _ in range(10):
            requester.ask(wait=9.0)
        pending = list(range(1, 11))
        entry.owner.renew(PEER, messages.Renew(held=[], pending=pending))
        assert entry.owner.count_by_verdict[VERDICT.granted] == 20
        assert entry.owner.ledger_by_replica[R0].load == 10

    def test_key_that_is_queued_twice(self, requester, entry, clock):
        """Granting the second one failed with a KeyError."""
        clock.advance(5)
        requester.fill(10)
        for number in (21, 21, 22):
            requester.count = number - 1
            assert requester.ask(wait=9.0) is None
        entry.owner.release(PEER, messages.Release(asks=list(range(1, 11))))
        ledger = entry.owner.ledger_by_replica[R0]
        assert (ledger.load, len(ledger.queued_by_key)) == (2, 0)


class TestDroppedDaemon:
    def test_its_queued_requests_are_rejected(self, requester, entry, clock):
        """A daemon that is wrongly assumed dead must get replies.

        Just after a network partition, an owner may still assume that a
        daemon is dead whose requests it has queued. Without a reply they
        would wait until their deadlines, and their callers with them.
        """
        clock.advance(5)
        requester.fill(10)
        assert requester.ask(wait=60.0) is None
        entry.owner.drop_daemon(PEER)
        ledger = entry.owner.ledger_by_replica[R0]
        assert (ledger.load, len(ledger.queued_by_key)) == (0, 0)
        assert entry.owner.count_by_verdict[VERDICT.expired] == 1

    def test_requests_of_others_stay_queued(self, requester, entry, clock):
        clock.advance(5)
        requester.fill(10)
        assert requester.ask(wait=60.0) is None
        entry.owner.drop_daemon(_ids.DaemonId("d3"))
        ledger = entry.owner.ledger_by_replica[R0]
        assert (ledger.load, len(ledger.queued_by_key)) == (10, 1)


class TestUncertainCounts:
    """A replica must not be overloaded just after a change of owner.

    The count of the new owner is too low until entry daemons have renewed
    their placements.
    """

    def test_new_owner_uses_the_engines_report(self, requester, entry):
        requester.fill(1)
        entry.owner.record_engine_report(R0, 10)
        assert requester.ask() is VERDICT.full

    def test_only_until_entry_daemons_had_time_to_renew(
        self, requester, entry, clock
    ):
        requester.fill(1)
        entry.owner.record_engine_report(R0, 10)
        clock.advance(2.6)
        assert requester.ask() is VERDICT.granted

    def test_after_a_pause_of_the_owner(self, requester, entry, clock):
        requester.fill(1)
        clock.advance(5)
        entry.owner.record_engine_report(R0, 0)
        entry.owner.mark_counts_uncertain()
        entry.owner.record_engine_report(R0, 10)
        assert requester.ask() is VERDICT.full

    def test_load_admitted_by_another_owner_counts(
        self, requester, entry, clock
    ):
        requester.fill(1)
        clock.advance(5)
        for _ in range(3):
            entry.owner.record_engine_report(R0, 10)
        assert requester.ask() is VERDICT.full


class TestTransfer:
    def test_displaced_chats_are_returned_for_the_new_owner(self, entry):
        displaced = messages.Displaced(
            group=fixtures.POOL, home="r0", chat=7, replica="r1"
        )
        entry.owner.displaced.record(displaced)
        moved = _ownership.Transfer(R0, entry.daemon, PEER)
        assert entry.owner.apply_transfers([moved]) == {PEER: [displaced]}
        assert len(entry.owner.displaced) == 0

    def test_replica_listed_without_slots_uses_those_of_its_pool(self, clock):
        entry = fixtures.Entry(
            "d1",
            targets=[fixtures.target("r0", slots=0)],
            daemons=["d1"],
            clock=clock,
            links=fixtures.NoLinks(),
        )
        requester = Requester(entry)
        clock.advance(5)
        requester.fill(16)
        assert requester.ask() is VERDICT.full


class TestReplicaSpeed:
    """A slow replica must not get as much work as the others."""

    def report(self, entry, clock, slowness, *, count=20):
        for _ in range(count):
            entry.owner.record_response_head(
                PEER,
                messages.EngineWord(
                    replica=R0, running=0, waiting=0, slowness=slowness
                ),
            )
            clock.advance(0.1)

    def granted(self, requester, **changes):
        """Return how many requests are granted until one is not."""
        count = 0
        while requester.ask(**changes) is VERDICT.granted:
            count += 1
        return count

    def test_limits_by_rank_are_divided(self, requester, entry, clock):
        requester.fill(1)
        clock.advance(5)
        self.report(entry, clock, 2.5)
        assert 1 + self.granted(requester, rank=0, total=1000) == 4

    def test_multiple_of_the_mean_is_divided(self, requester, entry, clock):
        requester.fill(1)
        clock.advance(5)
        self.report(entry, clock, 15.0)
        # Ten times a mean of 1, less the margin for lag, is 9.
        assert requester.ask(chat=2) is VERDICT.over_bound
        self.report(entry, clock, 1.0, count=100)
        assert requester.ask(chat=2) is VERDICT.granted

    def test_one_request_is_always_granted(self, requester, entry, clock):
        """A replica without any work could not show that it had recovered."""
        requester.fill(1)
        entry.owner.release(PEER, messages.Release(asks=[1]))
        clock.advance(5)
        self.report(entry, clock, 15.0)
        assert self.granted(requester, rank=0) == 1

    def test_queued_request_waits_for_the_lower_limit(
        self, requester, entry, clock
    ):
        """The queue granted what the slow replica had just rejected."""
        clock.advance(5)
        requester.fill(4, total=1000)
        self.report(entry, clock, 10.0)
        assert requester.ask(wait=9.0) is None
        entry.owner.refresh_slots()
        assert entry.owner.queued_count() == 1
        entry.owner.release(PEER, messages.Release(asks=[1, 2, 3, 4]))
        assert entry.owner.queued_count() == 0

    def test_changes_are_logged_once(self, requester, entry, clock):
        """Each head of a slow replica wrote a line, or none did."""
        stream = io.StringIO()
        handler = _logs.set_up(
            settings.LogSettings(), _ids.DaemonId("d1"), stream=stream
        )
        requester.fill(1)
        self.report(entry, clock, 1.3, count=50)
        self.report(entry, clock, 3.25, count=50)
        self.report(entry, clock, 1.3, count=50)
        handler.pop_application()
        logged = [json.loads(line) for line in stream.getvalue().splitlines()]
        about = [line for line in logged if "slow" in line["message"]]
        divisor = f"{about[0]['slowness']:.1f}"
        assert [line["message"] for line in about] == [
            f"r0 is slow: its limits are divided by {divisor}",
            "r0 is no longer slow: its limits are restored",
        ]
