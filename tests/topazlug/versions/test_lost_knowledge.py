"""Streams whose beginning no daemon that runs has seen."""

import pytest

from tests.topazlug.versions import version_fakes as fakes

ONE = fakes.targets("v1", "v1")
BOTH = fakes.targets("v1", "v2")
NEXT = fakes.targets("v2", "v2")
SETTLING = fakes.MAX_AGE + 1.1


@pytest.fixture
def fleet():
    """Return three daemons that know one version, which is recorded."""
    fleet = fakes.Fleet(3)
    fleet.list(ONE)
    fleet.record()
    fleet.clock.advance(10.0)
    return fleet


def release(fleet):
    """Have the second version take the place of the first."""
    fleet.list(BOTH)
    fleet.record()
    fleet.clock.advance(5.0)
    fleet.list(NEXT)


class TestAllKilled:
    def test_release_ended_a_moment_ago(self, fleet):
        """Each daemon took the others' short memory for knowledge."""
        release(fleet)
        fleet.restart()
        fleet.list(NEXT)
        assert fleet.find_at_all("a") == {None}

    def test_release_ends_while_none_runs(self, fleet):
        """The daemons that were killed had not seen the second version."""
        fleet.restart()
        fleet.list(NEXT)
        assert fleet.find_at_all("a") == {None}

    def test_second_version_was_withdrawn(self, fleet):
        """Streams that it had begun went on at the first one."""
        fleet.list(BOTH)
        fleet.record()
        fleet.list(ONE)
        fleet.restart()
        fleet.list(ONE)
        assert fleet.find_at_all("a") == {None}

    def test_one_version(self, fleet):
        """Nothing is refused or asked where there was one version only."""
        fleet.restart()
        fleet.list(ONE)
        assert fleet.find_at_all("a") == {"v1"}
        assert fleet.sent == []

    def test_daemon_that_reaches_no_other(self, fleet):
        """All streams were refused for a minute after a loss of power."""
        fleet.restart()
        fleet.list(ONE)
        fleet.unreachable = set(fleet.daemons)
        assert fleet.find_at_all("a") == {"v1"}

    def test_release_that_is_over_for_long(self, fleet):
        release(fleet)
        fleet.clock.advance(fakes.MEMORY + 1.0)
        fleet.list(NEXT)
        fleet.record()
        fleet.restart()
        fleet.list(NEXT)
        assert fleet.find_at_all("a") == {"v2"}

    def test_list_is_read_before_the_records(self, fleet):
        """The second version counted as the first one for a second."""
        release(fleet)
        fleet.is_readable = False
        fleet.restart()
        fleet.list(NEXT)
        fleet.is_readable = True
        fleet.read_records()
        assert fleet.find_at_all("a") == {None}

    def test_nothing_is_recorded(self):
        """The store has taken no record, or another release ran before."""
        fleet = fakes.Fleet(3)
        fleet.is_writable = False
        fleet.list(ONE)
        fleet.record()
        fleet.restart()
        fleet.list(ONE)
        assert fleet.find_at_all("a") == {None}
        fleet.is_writable = True
        fleet.record()
        assert fleet.recorded() == set()

    def test_streams_of_two_versions_that_begin_afterwards(self, fleet):
        fleet.list(BOTH)
        fleet.record()
        fleet.restart()
        fleet.list(BOTH)
        fleet.begin(0, "a", BOTH[0])
        fleet.begin(0, "b", BOTH[1])
        assert fleet.find_at_all("a") == {"v1"}
        assert fleet.find_at_all("b") == {"v2"}


class TestKilledInTurn:
    def test_after_a_release(self, fleet):
        """The last daemon that knew the first version had ended."""
        release(fleet)
        for number in range(3):
            fleet.restart(number)
            fleet.list(NEXT, number)
            fleet.clock.advance(5.0)
        assert fleet.find_at_all("a") == {None}

    def test_after_a_release_that_was_not_recorded(self):
        fleet = fakes.Fleet(3)
        fleet.is_writable = False
        fleet.list(ONE)
        release(fleet)
        for number in range(3):
            fleet.restart(number)
            fleet.list(NEXT, number)
            fleet.clock.advance(5.0)
        assert fleet.find_at_all("a") == {None}

    def test_one_version(self, fleet):
        for number in range(3):
            fleet.restart(number)
            fleet.list(ONE, number)
            assert fleet.find(number, "a") == "v1"
        assert fleet.sent == []

    def test_first_daemon_that_knows_the_past_records_it(self):
        """A fleet whose earlier release kept no records has none."""
        fleet = fakes.Fleet(3, first_start=False)
        fleet.list(ONE)
        fleet.record()
        assert fleet.recorded() == set()
        fleet.clock.advance(fakes.MEMORY + 1.0)
        fleet.record()
        assert fleet.recorded() == {"v1"}


class TestSecondVersionSeenFirst:
    """A daemon that has just started sees a second version before others."""

    def test_begins_no_stream_there(self, fleet):
        """Others still took the first version for the only one."""
        fleet.restart(0)
        fleet.list(BOTH, 0)
        assert fleet.settled(0, BOTH) == {"v1"}
        fleet.clock.advance(SETTLING)
        assert fleet.settled(0, BOTH) == {"v1"}
        fleet.record_at(0)
        assert fleet.settled(0, BOTH) == {"v1", "v2"}

    def test_newest_record_may_be_a_moment_old(self, fleet):
        fleet.list(BOTH, 1)
        fleet.record_at(1)
        fleet.restart(0)
        fleet.list(BOTH, 0)
        assert fleet.settled(0, BOTH) == {"v1"}
        fleet.clock.advance(SETTLING)
        assert fleet.settled(0, BOTH) == {"v1", "v2"}

    def test_list_without_it_is_recognized_by_the_records(self, fleet):
        """The list of the other daemon was older than the records."""
        fleet.list(BOTH, 1)
        fleet.record_at(1)
        fleet.clock.advance(SETTLING)
        assert fleet.find(2, "a") is None

    def test_begins_streams_where_the_first_one_is_leaving(self, fleet):
        """Nobody served new streams after a loss of power."""
        found = fakes.targets("v1", "v2", "v2")
        fleet.list(found)
        fleet.record()
        fleet.restart()
        fleet.list(found)
        assert fleet.settled(0, found) == {"v1", "v2"}


class TestGapInTheList:
    def test_second_version_may_have_been_used_in_the_gap(self, fleet):
        """Streams that nobody knew counted as begun at the first one."""
        fleet.clock.advance(30.0)
        fleet.lose_list(0)
        fleet.list(BOTH, 0)
        assert fleet.find(0, "a") is None

    def test_without_a_gap_they_began_at_the_first_one(self, fleet):
        fleet.clock.advance(30.0)
        fleet.list(BOTH, 0)
        assert fleet.find(0, "a") == "v1"

    def test_second_version_may_be_used_if_it_has_most_replicas(self, fleet):
        """Other daemons began streams there as soon as they saw it."""
        fleet.list(fakes.targets("v1", "v2", "v2"), 0)
        assert fleet.find(0, "a") is None

    def test_versions_may_have_come_and_gone_in_the_gap(self):
        """A list that was up to date again counted as always followed."""
        fleet = fakes.Fleet(1)
        fleet.list(ONE)
        fleet.clock.advance(30.0)
        fleet.lose_list(0)
        fleet.list(ONE)
        assert fleet.find(0, "a") is None
        fleet.clock.advance(fakes.MEMORY + 1.0)
        assert fleet.find(0, "a") == "v1"

    def test_records_bridge_the_gap(self, fleet):
        fleet.clock.advance(30.0)
        fleet.lose_list(0, 1, 2)
        fleet.list(ONE)
        assert fleet.find_at_all("a") == {"v1"}


class TestStoreIsSilent:
    def age_all(self, fleet, seconds):
        fleet.age_by_daemon = dict.fromkeys(fleet.daemons, seconds)

    def test_one_version(self, fleet):
        self.age_all(fleet, 60.0)
        assert fleet.find_at_all("a") == {"v1"}

    def test_daemons_killed_in_turn_with_lists_of_others(self, fleet):
        """Their answers counted as if they knew what there had been."""
        fleet.is_readable = False
        self.age_all(fleet, 60.0)
        for number in range(3):
            fleet.restart(number)
            fleet.list(ONE, number)
        assert fleet.find_at_all("a") == {None}

    def test_one_daemon_was_killed(self, fleet):
        """It may have had a newer list than the others."""
        fleet.is_readable = False
        self.age_all(fleet, 60.0)
        fleet.restart(2)
        assert fleet.find(0, "a") is None

    def test_one_daemon_does_not_answer(self, fleet):
        self.age_all(fleet, 60.0)
        fleet.unreachable = {"d2"}
        assert fleet.find(0, "a") is None

    def test_records_are_much_older_than_the_list(self, fleet):
        """A version that has left may have been recorded since."""
        fleet.restart(0)
        fleet.list(ONE, 0)
        groups = fleet.versions[0].groups
        groups._record_state = lambda: fakes.copy_state(30.0)
        fleet.unreachable = {"d0"}
        assert fleet.find(0, "a") is None


class TestStoreRejectsRecords:
    def test_second_version_begins_no_stream(self, fleet):
        """A daemon that starts later could not know of it."""
        fleet.is_writable = False
        fleet.list(BOTH)
        fleet.record()
        fleet.clock.advance(SETTLING)
        assert fleet.settled(0, BOTH) == {"v1"}
        fleet.is_writable = True
        fleet.record()
        assert fleet.settled(0, BOTH) == {"v1", "v2"}

    def test_second_version_serves_if_too_few_of_the_first_are_left(
        self, fleet
    ):
        fleet.is_writable = False
        found = fakes.targets("v1", "v2", "v2")
        fleet.list(found)
        assert fleet.settled(0, found) == {"v1", "v2"}


class TestLostMessages:
    def test_nobody_was_told_of_a_stream(self, fleet):
        """The daemon that relayed it ended, and its messages were lost."""
        fleet.list(BOTH)
        fleet.record()
        fleet.unreachable = {"d0"}
        fleet.begin(0, "a", BOTH[1])
        fleet.unreachable = set()
        fleet.clock.advance(SETTLING)
        fleet.restart(0)
        fleet.list(BOTH, 0)
        assert fleet.find_at_all("a") == {None}


class TestRefusal:
    def test_that_is_final_names_no_time(self, fleet):
        """Callers came back for an answer that could not change."""
        release(fleet)
        fleet.restart()
        fleet.list(NEXT)
        assert fleet.find(0, "a") is None
        assert fleet.last_refusal.retry_after is None

    def test_while_a_daemon_does_not_answer(self, fleet):
        release(fleet)
        fleet.unreachable = {"d2"}
        assert fleet.find(0, "a") is None
        assert fleet.last_refusal.retry_after == 0.2
