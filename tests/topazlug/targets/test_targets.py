"""Which targets may get new work, by whichever sign comes first."""

import pytest

from tests.topazlug import claim_fakes
from tests.topazlug import routing_fixtures as fixtures
from topazlug._generated import messages
from topazlug.targets import _target_report
from topazlug.targets import _targets

STATE = messages.FactState
LEAVES = _target_report.TargetReport(leaving=True)
BACKOFF = _target_report.TargetReport(backoff=3.0)


@pytest.fixture
def clock():
    return claim_fakes.FakeClock()


@pytest.fixture
def directory(clock):
    made = _targets.TargetDirectory(clock=clock, flap_window=60)
    made.take_list(
        [fixtures.target("r1", zone="z1"), fixtures.target("r2", zone="z2")]
    )
    return made


def fact(state, *, replica="r1", incarnation=1):
    return messages.Fact(
        kind=messages.FactKind.target,
        subject=replica,
        incarnation=incarnation,
        sequence=1,
        state=state,
    )


def usable(directory):
    return directory.usable(fixtures.POOL)


class TestBackoff:
    def test_no_work_of_this_daemon_until_it_is_over(self, directory, clock):
        """Requests reach a replica that has asked for a backoff."""
        assert usable(directory) == ["r1", "r2"]
        directory.handle_report(fixtures.target("r1"), BACKOFF)
        assert usable(directory) == ["r2"]
        assert not directory.is_usable("r1")
        clock.advance(2.99)
        assert usable(directory) == ["r2"]
        clock.advance(0.01)
        assert usable(directory) == ["r1", "r2"]
        assert directory.is_usable("r1")

    def test_others_may_send_work(self, directory):
        directory.handle_report(fixtures.target("r1"), BACKOFF)
        assert directory.in_service(fixtures.POOL) == ["r1", "r2"]
        assert directory.is_in_service("r1")

    def test_seconds_until_the_first_is_over(self, directory, clock):
        until = directory.seconds_until_usable
        directory.handle_report(fixtures.target("r1"), BACKOFF)
        assert until(fixtures.POOL) == 0.0
        clock.advance(1.0)
        directory.handle_report(fixtures.target("r2"), BACKOFF)
        assert until(fixtures.POOL) == pytest.approx(2.0)
        assert until(fixtures.POOL, frozenset({"r1"})) == pytest.approx(3.0)

    def test_no_seconds_where_none_is_in_service(self, directory):
        for name in ("r1", "r2"):
            directory.handle_report(fixtures.target(name), LEAVES)
        assert directory.seconds_until_usable(fixtures.POOL) is None

    def test_a_new_start_gets_work(self, directory):
        directory.handle_report(fixtures.target("r1"), BACKOFF)
        directory.take_list([fixtures.target("r1", incarnation=2)])
        assert usable(directory) == ["r1"]


class TestSigns:
    def test_listed_targets_are_usable(self, directory):
        assert usable(directory) == ["r1", "r2"]
        assert directory.usable("none") == []

    def test_list_says_leaving(self, directory):
        directory.take_list([fixtures.target("r1", leaving=True)])
        assert usable(directory) == []

    @pytest.mark.parametrize("state", [STATE.leaving, STATE.dead])
    def test_fact_goes_before_the_lagging_list(self, directory, state):
        """Symptom: a leaving target gets new work for half a minute.

        Sequence: it says that it leaves; the list still shows it live.
        Cause: the list lags.
        """
        assert usable(directory) == ["r1", "r2"]
        directory.apply_fact(fact(state))
        assert usable(directory) == ["r2"]
        directory.take_list(
            [fixtures.target("r1", slots=9), fixtures.target("r2")]
        )
        assert usable(directory) == ["r2"]

    def test_new_incarnation_ends_the_leaving(self, directory):
        directory.apply_fact(fact(STATE.leaving))
        directory.take_list([fixtures.target("r1", incarnation=2)])
        assert usable(directory) == ["r1"]

    def test_own_answer_goes_before_an_entry_that_is_old(self, directory):
        """Requests reach a leaving replica while the store is away."""
        assert usable(directory) == ["r1", "r2"]
        directory.handle_report(fixtures.target("r1"), LEAVES)
        assert usable(directory) == ["r2"]
        assert not directory.is_usable("r1")
        directory.take_list(
            [fixtures.target("r1", slots=9), fixtures.target("r2")]
        )
        assert usable(directory) == ["r2"]

    def test_own_answer_counts_after_an_entry_has_lapsed(
        self, directory, clock
    ):
        """An entry that comes back after a lapse makes a replica usable."""
        directory.handle_report(fixtures.target("r1"), LEAVES)
        directory.take_list([fixtures.target("r2")])
        clock.advance(120.0)
        directory.take_list([fixtures.target("r2", slots=9)])
        directory.take_list([fixtures.target("r1"), fixtures.target("r2")])
        assert usable(directory) == ["r2"]

    def test_own_answer_of_an_ended_start_counts_no_more(self, directory):
        directory.handle_report(fixtures.target("r1"), LEAVES)
        directory.take_list([fixtures.target("r1", incarnation=2)])
        assert usable(directory) == ["r1"]

    def test_one_that_says_that_it_leaves_still_holds_contexts(
        self, directory
    ):
        directory.handle_report(fixtures.target("r1"), LEAVES)
        assert directory.is_answering("r1")

    def test_leaving_is_told_once(self, directory):
        told = []
        directory.on_report(lambda target, word: told.append(target.replica))
        for _ in range(2):
            directory.handle_report(fixtures.target("r1"), LEAVES)
        directory.handle_report(
            fixtures.target("r2"), _target_report.EMPTY_REPORT
        )
        assert told == ["r1"]

    @pytest.mark.parametrize(
        "drains",
        [
            _targets.Drains(replicas=frozenset({"r1"})),
            _targets.Drains(zones=frozenset({"z1"})),
        ],
    )
    def test_operators_drain(self, directory, drains):
        directory.set_drains(drains)
        assert usable(directory) == ["r2"]
        directory.set_drains(_targets.Drains())
        assert usable(directory) == ["r1", "r2"]

    def test_unreachable_target_is_avoided_for_a_moment(
        self, directory, clock
    ):
        directory.avoid("r1")
        assert usable(directory) == ["r2"]
        clock.advance(1.01)
        assert usable(directory) == ["r1", "r2"]

    def test_change_is_told_once(self, directory):
        told = []
        directory.on_change(lambda: told.append(1))
        for _ in range(2):
            directory.take_list([fixtures.target("r1")])
        assert told == [1]


class TestFlapping:
    def test_is_held_out_for_longer_each_time(self, directory, clock):
        """Symptom: chats swing back and forth and lose their context.

        Sequence: a target dies and returns, again and again. Cause: each
        return takes its chats back at once.
        """
        held = []
        for _ in range(5):
            directory.apply_fact(fact(STATE.dead))
            directory.apply_fact(fact(STATE.live))
            start = clock.seconds
            while "r1" not in usable(directory):
                clock.advance(0.5)
            held.append(clock.seconds - start)
        assert held == [0, 2, 4, 8, 16]

    def test_is_forgiven_after_the_window(self, directory, clock):
        for _ in range(2):
            directory.apply_fact(fact(STATE.dead))
            directory.apply_fact(fact(STATE.live))
            clock.advance(61)
        assert usable(directory) == ["r1", "r2"]
