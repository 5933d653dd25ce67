"""The owner's word: exact counts, careful when it can't know them."""

import pytest

from tests.topazlug import claim_fakes
from tests.topazlug import routing_fixtures as fixtures
from topazlug import _ids
from topazlug._generated import messages
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


class Asker:
    """Asks one owner, and keeps what it answers."""

    def __init__(self, entry):
        self.owner = entry.owner
        self.count = 0

    def ask(self, replica=R0, **changes):
        """Give the verdict; None while the ask waits."""
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
        self.owner.ask(PEER, messages.AdmitAsk(**fields), replies.append)
        return replies[0].verdict if replies else None

    def fill(self, count, **changes):
        verdicts = [self.ask(**changes) for _ in range(count)]
        assert set(verdicts) == {VERDICT.granted}


@pytest.fixture
def asker(entry):
    return Asker(entry)


class TestAsk:
    def test_slots_are_counted_exactly(self, asker, clock):
        clock.advance(5)
        asker.fill(10)
        assert asker.ask() is VERDICT.full

    def test_not_mine(self, asker, entry):
        entry.ownership.update(daemons=["d9"], replicas=["r0", "r1"])
        assert asker.ask() is VERDICT.not_owner

    def test_unusable_replica(self, asker, entry):
        entry.targets.avoid(R0)
        assert asker.ask() is VERDICT.expired

    def test_batch_leaves_the_reserve(self, asker, clock):
        """Symptom: a stock query waits behind audits.

        Cause: batch work took the last slots.
        """
        clock.advance(5)
        asker.fill(8, batch=True)  # floor(10 * (1 - 0.15))
        assert asker.ask(batch=True) is VERDICT.full
        asker.fill(2)

    def test_interactive_does_not_wait_behind_the_reserve(self, asker, clock):
        clock.advance(5)
        asker.fill(8, batch=True)
        assert asker.ask(batch=True, wait=9.0) is None
        assert asker.ask() is VERDICT.granted

    def test_release_of_an_unknown_ask(self, asker, entry):
        asker.fill(1)
        entry.owner.release(PEER, [99, 99])
        assert entry.owner.ledger_by_replica[R0].load == 1


class TestCareful:
    """Symptom: a replica is swamped right after its owner changed.

    Sequence: the new owner knows nothing yet of what others hold. Cause:
    its count is too low.
    """

    def test_new_owner_goes_by_the_engines_report(self, asker, entry):
        asker.fill(1)
        entry.owner.record_engine_report(R0, 10)
        assert asker.ask() is VERDICT.full

    def test_until_entries_have_renewed(self, asker, entry, clock):
        asker.fill(1)
        entry.owner.record_engine_report(R0, 10)
        clock.advance(2.6)
        assert asker.ask() is VERDICT.granted

    def test_after_a_pause(self, asker, entry, clock):
        asker.fill(1)
        clock.advance(5)
        entry.owner.record_engine_report(R0, 0)
        entry.owner.mark_counts_uncertain()
        entry.owner.record_engine_report(R0, 10)
        assert asker.ask() is VERDICT.full

    def test_load_that_another_owner_admits(self, asker, entry, clock):
        asker.fill(1)
        clock.advance(5)
        for _ in range(3):
            entry.owner.record_engine_report(R0, 10)
        assert asker.ask() is VERDICT.full


class TestTransfer:
    def test_displaced_chats_are_handed_over(self, entry):
        note = messages.Displaced(
            group=fixtures.POOL, home="r0", chat=7, replica="r1"
        )
        entry.owner.displaced.record(note)
        moved = _ownership.Transfer(R0, entry.daemon, PEER)
        assert entry.owner.apply_transfers([moved]) == {PEER: [note]}
        assert len(entry.owner.displaced) == 0

    def test_pool_without_slots_in_the_list_takes_the_rows(self, clock):
        entry = fixtures.Entry(
            "d1",
            targets=[fixtures.target("r0", slots=0)],
            daemons=["d1"],
            clock=clock,
            links=fixtures.NoLinks(),
        )
        asker = Asker(entry)
        clock.advance(5)
        asker.fill(16)
        assert asker.ask() is VERDICT.full
