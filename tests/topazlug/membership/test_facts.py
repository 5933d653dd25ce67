"""Merging, transmitting and removing facts."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from tests.topazlug import peer_fixtures
from topazlug._generated import messages
from topazlug.membership import _facts

DAEMON = messages.FactKind.daemon
TARGET = messages.FactKind.target
State = messages.FactState

_some_facts = strategies.lists(
    strategies.builds(
        messages.Fact,
        kind=strategies.sampled_from(messages.FactKind),
        subject=strategies.sampled_from(["x", "y"]),
        incarnation=strategies.integers(0, 2),
        sequence=strategies.integers(0, 2),
        state=strategies.sampled_from(messages.FactState),
        port=strategies.integers(0, 1),
    ),
    max_size=12,
)


def make_fact(
    state, *, kind=DAEMON, subject="x", incarnation=1, sequence=0
) -> messages.Fact:
    return messages.Fact(
        kind=kind,
        subject=subject,
        incarnation=incarnation,
        sequence=sequence,
        state=state,
    )


def keep_none(_fact):
    return False


@pytest.fixture
def clock():
    return peer_fixtures.ManualClock()


@pytest.fixture
def fact_set(clock):
    return _facts.FactSet(clock=clock)


class TestOrder:
    """All daemons converge on the same facts."""

    @settings(max_examples=200, deadline=None)
    @given(data=strategies.data(), facts=_some_facts)
    def test_order_of_arrival_is_irrelevant(self, data, facts):
        shuffled = data.draw(strategies.permutations(facts))
        fact_sets = []
        for order in (facts, shuffled):
            fact_set = _facts.FactSet(clock=peer_fixtures.ManualClock())
            for fact in order:
                fact_set.merge(fact)
            fact_sets.append(fact_set)
        assert fact_sets[0].fact_by_subject == fact_sets[1].fact_by_subject
        assert fact_sets[0].digest == fact_sets[1].digest

    @pytest.mark.parametrize(
        ("winner", "loser"),
        [
            (make_fact(State.suspected), make_fact(State.live)),
            (make_fact(State.dead), make_fact(State.suspected)),
            (make_fact(State.live, sequence=1), make_fact(State.dead)),
            (make_fact(State.leaving), make_fact(State.live, sequence=9)),
            (make_fact(State.leaving), make_fact(State.dead, sequence=9)),
            (make_fact(State.live, incarnation=2), make_fact(State.leaving)),
        ],
    )
    def test_higher_precedence_wins(self, fact_set, winner, loser):
        assert fact_set.merge(loser)
        assert fact_set.merge(winner)
        assert not fact_set.merge(loser)
        assert fact_set.get(DAEMON, "x") == winner

    def test_same_fact_changes_nothing(self, fact_set):
        assert fact_set.merge(make_fact(State.live))
        assert not fact_set.merge(make_fact(State.live))


class TestDigest:
    """Digests are equal for sets that are equivalent for routing."""

    @pytest.mark.parametrize("state", [State.dead, State.leaving])
    def test_dead_or_leaving_daemon_counts_as_unknown(self, fact_set, state):
        fact_set.merge(make_fact(State.live))
        assert fact_set.digest
        fact_set.merge(make_fact(state))
        assert fact_set.digest == 0

    def test_leaving_target_counts(self, fact_set):
        fact_set.merge(make_fact(State.leaving, kind=TARGET))
        assert fact_set.digest


class TestTransmission:
    """Each fact is sent often enough to reach all, and no more often."""

    def test_number_of_transmissions(self, fact_set):
        fact = make_fact(State.live)
        fact_set.merge(fact)
        fact_set.schedule_retransmits(fact, fleet_size=880)
        transmissions = 0
        while fact_set.has_pending:
            assert fact_set.take_pending(5) == [fact]
            transmissions += 1
        assert transmissions == 30

    def test_least_transmitted_go_first(self, fact_set):
        for name in "xyz":
            fact = make_fact(State.live, subject=name)
            fact_set.merge(fact)
            fact_set.schedule_retransmits(fact, fleet_size=9)
        first = {fact.subject for fact in fact_set.take_pending(2)}
        second = {fact.subject for fact in fact_set.take_pending(2)}
        assert first | second == {"x", "y", "z"}

    def test_newer_fact_replaces_pending_one(self, fact_set):
        fact_set.merge(make_fact(State.live))
        fact_set.schedule_retransmits(make_fact(State.live), fleet_size=9)
        fact_set.merge(make_fact(State.dead))
        assert fact_set.take_pending(5) == [make_fact(State.dead)]


class TestChunks:
    """A set that is larger than a message is sent in chunks."""

    def test_chunks_cover_all_facts(self, fact_set):
        for number in range(10):
            fact_set.merge(make_fact(State.live, subject=str(number)))
        chunks = [fact_set.next_chunk(4) for _ in range(3)]
        assert all(len(chunk) == 4 for chunk in chunks)
        assert len({f.subject for chunk in chunks for f in chunk}) == 10


class TestRemoval:
    """Old facts are removed unless a dead daemon would become live again."""

    @pytest.mark.parametrize("state", [State.dead, State.leaving])
    def test_expired_fact_is_removed(self, fact_set, clock, state):
        fact_set.merge(make_fact(state))
        clock.seconds += _facts.RETENTION_SECONDS + 1
        assert fact_set.remove_expired(keep_none) == [(DAEMON, "x")]
        assert not fact_set.fact_by_subject

    def test_unexpired_fact_stays(self, fact_set, clock):
        fact_set.merge(make_fact(State.dead))
        clock.seconds += _facts.RETENTION_SECONDS - 1
        assert fact_set.remove_expired(keep_none) == []

    def test_live_daemon_stays(self, fact_set, clock):
        fact_set.merge(make_fact(State.live))
        clock.seconds += _facts.RETENTION_SECONDS * 9
        assert fact_set.remove_expired(keep_none) == []

    def test_needed_fact_stays(self, fact_set, clock):
        """Guards against routing to a dead daemon half an hour later.

        If its fact were removed by age alone while the platform still lists
        the daemon, the next read of the list would add it as live.
        """
        fact_set.merge(make_fact(State.dead))
        clock.seconds += _facts.RETENTION_SECONDS * 9
        assert fact_set.remove_expired(lambda fact: fact.subject == "x") == []

    def test_oldest_are_removed_above_the_limit(self, fact_set, monkeypatch):
        monkeypatch.setattr(_facts, "MAX_FACTS", 5)
        for number in range(8):
            fact_set.merge(make_fact(State.dead, subject=str(number)))
        fact_set.merge(make_fact(State.dead, subject="0", sequence=1))
        removed = [name for _kind, name in fact_set.remove_expired(keep_none)]
        assert removed == ["1", "2", "3"]
        assert fact_set.digest == 0
