"""Books of facts."""

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
def book(clock):
    return _facts.FactSet(clock=clock)


class TestOrder:
    """All books come to the same."""

    @settings(max_examples=200, deadline=None)
    @given(data=strategies.data(), facts=_some_facts)
    def test_any_order(self, data, facts):
        shuffled = data.draw(strategies.permutations(facts))
        books = []
        for order in (facts, shuffled):
            book = _facts.FactSet(clock=peer_fixtures.ManualClock())
            for fact in order:
                book.merge(fact)
            books.append(book)
        assert books[0].fact_by_subject == books[1].fact_by_subject
        assert books[0].digest == books[1].digest

    @pytest.mark.parametrize(
        ("stronger", "weaker"),
        [
            (make_fact(State.suspected), make_fact(State.live)),
            (make_fact(State.dead), make_fact(State.suspected)),
            (make_fact(State.live, sequence=1), make_fact(State.dead)),
            (make_fact(State.leaving), make_fact(State.live, sequence=9)),
            (make_fact(State.leaving), make_fact(State.dead, sequence=9)),
            (make_fact(State.live, incarnation=2), make_fact(State.leaving)),
        ],
    )
    def test_stronger(self, book, stronger, weaker):
        assert book.merge(weaker)
        assert book.merge(stronger)
        assert not book.merge(weaker)
        assert book.get(DAEMON, "x") == stronger

    def test_same_fact_is_no_news(self, book):
        assert book.merge(make_fact(State.live))
        assert not book.merge(make_fact(State.live))


class TestDigest:
    """Equal digests for books that mean the same."""

    @pytest.mark.parametrize("state", [State.dead, State.leaving])
    def test_gone_daemon_counts_as_unknown(self, book, state):
        book.merge(make_fact(State.live))
        assert book.digest
        book.merge(make_fact(state))
        assert book.digest == 0

    def test_leaving_target_counts(self, book):
        book.merge(make_fact(State.leaving, kind=TARGET))
        assert book.digest


class TestFresh:
    """News is repeated so often that it reaches all, and no more."""

    def test_repeats(self, book):
        fact = make_fact(State.live)
        book.merge(fact)
        book.freshen(fact, fleet_size=880)
        taken = 0
        while book.has_fresh:
            assert book.take_fresh(5) == [fact]
            taken += 1
        assert taken == 30

    def test_least_repeated_go_first(self, book):
        for name in "xyz":
            fact = make_fact(State.live, subject=name)
            book.merge(fact)
            book.freshen(fact, fleet_size=9)
        first = {fact.subject for fact in book.take_fresh(2)}
        second = {fact.subject for fact in book.take_fresh(2)}
        assert first | second == {"x", "y", "z"}

    def test_newer_fact_takes_the_place(self, book):
        book.merge(make_fact(State.live))
        book.freshen(make_fact(State.live), fleet_size=9)
        book.merge(make_fact(State.dead))
        assert book.take_fresh(5) == [make_fact(State.dead)]


class TestChunks:
    """A book larger than a message goes out in parts."""

    def test_all_come_round(self, book):
        for number in range(10):
            book.merge(make_fact(State.live, subject=str(number)))
        chunks = [book.next_chunk(4) for _ in range(3)]
        assert all(len(chunk) == 4 for chunk in chunks)
        assert len({f.subject for chunk in chunks for f in chunk}) == 10


class TestForgetting:
    """Memory stays bounded, and the dead don't come back by it."""

    @pytest.mark.parametrize("state", [State.dead, State.leaving])
    def test_old_and_gone(self, book, clock, state):
        book.merge(make_fact(state))
        clock.seconds += _facts.FORGET_SECONDS + 1
        assert book.forget_old(keep_none) == [(DAEMON, "x")]
        assert not book.fact_by_subject

    def test_not_yet(self, book, clock):
        book.merge(make_fact(State.dead))
        clock.seconds += _facts.FORGET_SECONDS - 1
        assert book.forget_old(keep_none) == []

    def test_live_daemon_stays(self, book, clock):
        book.merge(make_fact(State.live))
        clock.seconds += _facts.FORGET_SECONDS * 9
        assert book.forget_old(keep_none) == []

    def test_needed_stays(self, book, clock):
        """A dead daemon is routed to again half an hour later.

        Sequence: it dies, the list goes on showing it, its fact is
        forgotten, the list is read. Cause: forgetting by age alone.
        """
        book.merge(make_fact(State.dead))
        clock.seconds += _facts.FORGET_SECONDS * 9
        assert book.forget_old(lambda fact: fact.subject == "x") == []

    def test_oldest_go_when_very_many(self, book, monkeypatch):
        monkeypatch.setattr(_facts, "MAX_FORGETTABLE", 5)
        for number in range(8):
            book.merge(make_fact(State.dead, subject=str(number)))
        book.merge(make_fact(State.dead, subject="0", sequence=1))
        gone = [name for _kind, name in book.forget_old(keep_none)]
        assert gone == ["1", "2", "3"]
        assert book.digest == 0
