"""Requests placed over the bound where their context is held."""

import msgspec
import pytest

from tests.topazlug.placement import recovery_fixtures as fixtures
from topazlug._generated import messages
from topazlug.capacity import _slot_key
from topazlug.placement import _over_bound_reads
from topazlug.routing import _ledger
from topazlug.routing import _owner_client
from topazlug.routing import _owner_features
from topazlug.routing import _owner_replies
from topazlug.routing import _read_admission

VERDICT = messages.Verdict


@pytest.fixture
def scene():
    return fixtures.Scene()


class TestOverBound:
    """The home holds the context and is over its bound; others would stall."""

    # Read in 0.4 s: late for streams, but not for its own first event.
    PROMPT = 10_000

    def prepare(self, scene, *, streams=(3, 3), above=0):
        """Load the first three replicas of the chat's ranking."""
        ranked = fixtures.ranking_of(scene.chat)
        for replica in fixtures.REPLICAS:
            scene.report_slowness(replica)
        held = fixtures.LIMIT + above
        for replica, count in zip(ranked, (held, *streams)):
            for number in range(count):
                scene.ledger(replica).hold(
                    _slot_key.SlotKey("d9", number),
                    _ledger.LedgerEntry(
                        weight=1, team="udelar", batch=False, max_pause=0.1
                    ),
                )
        scene.fleet.report()
        scene.fleet.report()
        now = scene.fleet.clock.monotonic()
        scene.ledger(scene.home).context_reads.record_read(scene.chat, now=now)
        return scene.fleet.daemon_by_name[
            scene.entry
        ].admission.over_bound_reads

    def admit(self, scene):
        return scene.admit(
            prompt_tokens=self.PROMPT, shared_tokens=self.PROMPT - 100
        )

    def test_context_is_used_rather_than_read_with_a_stall(self, scene):
        """Streams were stalled by a read of what the home already held."""
        counts = self.prepare(scene)
        assert self.admit(scene).target.replica == scene.home
        assert counts.count == 1

    def test_owner_counts_what_it_grants_out_of_the_margin(self, scene):
        """Several daemons must not load one replica further unseen."""
        counts = self.prepare(scene)
        load = scene.ledger(scene.home).load
        first = self.admit(scene)
        assert first.target.replica == scene.home
        assert scene.ledger(scene.home).load == load + 1
        # The second takes the slot that the chat already has.
        others = [self.admit(scene) for _ in range(2)]
        assert others[1].target.replica != scene.home
        assert counts.count == 1

    def test_load_above_the_margin(self, scene):
        """More than 3 in 100 requests must not reach a loaded replica."""
        self.prepare(scene, above=1)
        assert self.admit(scene).target.replica != scene.home

    def test_replica_that_reads_without_a_stall(self, scene):
        """The bound must hold as long as the read harms nobody."""
        third = fixtures.ranking_of(scene.chat)[2]
        self.prepare(scene, streams=(3, 0))
        assert self.admit(scene).target.replica == third

    def test_older_owner_says_nothing_of_the_context(self, scene):
        self.prepare(scene)
        owner = scene.owners(scene.home_owner)._owner
        handle = owner.handle_admission_request

        def handle_as_older(sender, ask, reply):
            def send(answer):
                reply(msgspec.structs.replace(answer, holds=False))

            handle(sender, ask, send)

        owner.handle_admission_request = handle_as_older
        assert self.admit(scene).target.replica != scene.home

    def test_replica_that_does_not_hold_it(self, scene):
        """A request over the bound must at least save the read."""
        self.prepare(scene)
        scene.fleet.clock.advance(31)
        assert self.admit(scene).target.replica != scene.home

    def test_context_is_not_reported_where_capacity_suffices(self, scene):
        features = _owner_features.OwnerFeatures(context_recovery=True)
        other = fixtures.Scene(features)
        now = other.fleet.clock.monotonic()
        ledger = other.ledger(other.home)
        ledger.context_reads.record_read(other.chat, now=now)
        replies = _owner_replies.OwnerReplies()
        ask = messages.AdmitAsk(
            ask=1,
            group="engines",
            replica=other.home,
            chat=other.chat,
            team="udelar",
            batch=False,
            weight=1,
            home=True,
            shared=4000,
        )
        holds = [
            _read_admission.ReadAdmission(
                replies=replies, features=one, clock=other.fleet.clock
            ).holds(ledger, ask)
            for one in (features, fixtures.FEATURES)
        ]
        assert holds == [False, True]

    def test_switched_off(self):
        reads = _over_bound_reads.OverBoundReads(is_enabled=False)
        reply = messages.AdmitReply(
            verdict=VERDICT.over_bound, load=9, holds=True
        )
        answer = _owner_client.OwnerReply(1, "d0", reply)
        found = reads.holder({"i-0": answer}, home="i-0", displaced_to=None)
        assert found is None

    def test_replica_that_the_chat_was_displaced_to_is_preferred(self):
        reads = _over_bound_reads.OverBoundReads(is_enabled=True)
        reply = messages.AdmitReply(
            verdict=VERDICT.over_bound, load=9, holds=True
        )
        answer = _owner_client.OwnerReply(1, "d0", reply)
        rejections = {"i-0": answer, "i-1": answer, "i-2": answer}
        found = reads.holder(rejections, home="i-0", displaced_to="i-1")
        assert found == "i-1"
