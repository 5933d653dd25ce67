"""Which software version continues a stream."""

import logbook
import pytest

from tests.topazlug.versions import version_fakes as fakes
from topazlug import _ids

TWO = fakes.targets("v1", "v2")
SETTLING = fakes.MAX_AGE + 1.0


@pytest.fixture
def mixed():
    """Return a fleet of nine daemons with replicas of two versions."""
    fleet = fakes.Fleet(9)
    fleet.list(TWO)
    return fleet


class TestSeveralVersions:
    def test_each_daemon_finds_the_version(self, mixed):
        for number, replica in enumerate(TWO):
            mixed.begin(0, f"a{number}", replica)
            for daemon in range(9):
                assert mixed.find(daemon, f"a{number}") == replica.version

    def test_stream_of_a_daemon_that_has_ended(self, mixed):
        """Only the daemon that relayed a stream knew where it began."""
        for number in range(50):
            mixed.begin(0, f"a{number}", TWO[1])
        mixed.unreachable = {"d0"}
        for number in range(50):
            assert mixed.find(1 + number % 8, f"a{number}") == "v2"

    def test_two_daemons_are_told(self, mixed):
        """The cost of a stream must not grow with the fleet."""
        mixed.begin(0, "a", TWO[0])
        assert len(mixed.sent) == 2

    def test_next_daemon_is_told_in_place_of_one_that_is_unreachable(
        self, mixed
    ):
        mixed.begin(0, "a", TWO[0])
        mixed.unreachable = {to for _, to, _ in mixed.sent}
        mixed.begin(0, "b", TWO[0])
        mixed.begin(0, "a", TWO[0])
        assert len(mixed.sent) == 6

    def test_unknown_stream_is_refused(self, mixed):
        assert mixed.find(0, "unknown") is None

    def test_stream_without_a_name_is_refused(self, mixed):
        assert mixed.find(0, "") is None

    def test_daemon_cut_off_from_all_refuses(self, mixed):
        mixed.unreachable = {"d5"}
        mixed.begin(0, "a", TWO[0])
        assert mixed.find(5, "a") is None

    def test_stream_is_forgotten_after_its_time(self, mixed):
        """Memory must stay bounded."""
        mixed.begin(0, "a", TWO[0])
        mixed.clock.advance(fakes.MEMORY + 1.0)
        mixed.begin(0, "b", TWO[0])
        assert mixed.versions[0].remembered_count == 1

    def test_number_of_streams_is_bounded(self, mixed):
        for number in range(9000):
            mixed.versions[1].begin(f"a{number}", TWO[0])
        assert mixed.versions[1].remembered_count == 8192


class TestOneVersion:
    def test_no_message(self):
        """A stream that can go on anywhere must cost nothing."""
        fleet = fakes.Fleet(3)
        fleet.list(fakes.targets("v1", "v1"))
        fleet.begin(0, "a", TWO[0])
        assert fleet.find(1, "a") == fleet.find(1, "") == "v1"
        assert fleet.sent == []

    def test_daemon_that_has_just_started_asks(self):
        """A version that it has not seen may have left a moment ago."""
        fleet = fakes.Fleet(3)
        fleet.list(fakes.targets("v1"))
        fleet.restart(0)
        fleet.list(fakes.targets("v1"), 0)
        assert fleet.find(0, "a") == "v1"
        assert len(fleet.sent) == 2

    def test_daemon_that_knows_of_another_version_is_asked(self):
        fleet = fakes.Fleet(3, first_start=False)
        fleet.list(TWO, 1)
        fleet.list(fakes.targets("v1"), 0, 2)
        assert fleet.find(0, "a") is None

    def test_outage_of_the_store(self):
        """All lists are old, and so nobody can use another version."""
        fleet = fakes.Fleet(3)
        fleet.list(fakes.targets("v1"))
        fleet.age_by_daemon = dict.fromkeys(fleet.daemons, 60.0)
        assert fleet.find(0, "a") == "v1"
        fleet.unreachable = {"d2"}
        assert fleet.find(0, "a") is None

    def test_one_daemon_with_a_current_list_is_enough(self):
        fleet = fakes.Fleet(3)
        fleet.list(fakes.targets("v1"))
        fleet.age_by_daemon = {"d0": 60.0}
        fleet.unreachable = {"d2"}
        assert fleet.find(0, "a") == "v1"

    def test_version_that_left_counts_for_a_while(self):
        """Streams that it began went on at the version that was left."""
        fleet = fakes.Fleet(1)
        fleet.list(TWO)
        fleet.list(TWO[:1])
        assert fleet.find(0, "a") is None
        fleet.clock.advance(fakes.MEMORY + 1.0)
        assert fleet.find(0, "a") == "v1"


class TestSecondVersion:
    @pytest.fixture
    def fleet(self):
        fleet = fakes.Fleet(3)
        fleet.list(fakes.targets("v1", "v1"))
        fleet.clock.advance(10.0)
        return fleet

    def test_streams_from_before_are_told(self, fleet):
        fleet.begin(0, "a", TWO[0])
        fleet.list(TWO)
        fleet.unreachable = {"d0"}
        fleet.clock.advance(SETTLING)
        assert fleet.find(1, "a") == "v1"

    def test_completed_streams_are_told_for_a_short_time_only(self, fleet):
        """A release would cause a burst of messages."""
        for number in range(20):
            fleet.begin(0, f"a{number}", TWO[0])
            fleet.versions[0].complete(f"a{number}")
        fleet.clock.advance(6.0)
        fleet.list(TWO)
        assert fleet.sent == []

    def test_unknown_streams_count_as_begun_at_the_first_one(self, fleet):
        """Their daemon ended before it could tell of them."""
        fleet.list(TWO)
        assert fleet.find(0, "a") == "v1"
        fleet.clock.advance(SETTLING)
        assert fleet.find(0, "a") is None

    def test_begins_no_stream_until_all_can_know_of_it(self, fleet):
        """A list may be old by `MAX_AGE`, and its daemon not ask."""
        groups = fleet.versions[0].groups
        fleet.list(TWO)
        assert groups.settled(fakes.GROUP, TWO) == TWO[:1]
        fleet.clock.advance(SETTLING + 0.1)
        assert groups.settled(fakes.GROUP, TWO) == TWO

    def test_begins_streams_if_too_few_of_the_first_are_left(self, fleet):
        """New streams were sent to the last replica of a version."""
        groups = fleet.versions[0].groups
        found = fakes.targets("v1", "v2", "v2")
        fleet.list(found)
        assert groups.settled(fakes.GROUP, found) == found


class TestReplacedReplica:
    def test_streams_of_about_that_time_go_on_nowhere(self):
        """They may be from the old process or from the new one."""
        fleet = fakes.Fleet(3)
        old = fakes.target("i-0", "v1", incarnation=100)
        new = fakes.target("i-0", "v2", incarnation=200)
        others = [fakes.target("i-1", "v1"), fakes.target("i-2", "v2")]
        fleet.list([old, *others])
        fleet.begin(0, "before", old)
        fleet.clock.advance(10.0)
        fleet.begin(0, "lately", old)
        fleet.begin(0, "elsewhere", others[0])
        fleet.unreachable = {"d0"}
        for versions in fleet.versions:
            versions.update_targets({old.replica: old}, [new, *others])
        for daemon in (0, 1):
            assert fleet.find(daemon, "before") == "v1"
            assert fleet.find(daemon, "lately") is None
            assert fleet.find(daemon, "elsewhere") == "v1"
        assert not fleet.versions[0].is_certain(_ids.RequestId("lately"))

    def test_stream_that_begins_after_the_list_showed_it(self):
        """It was placed before, and its first event came after."""
        fleet = fakes.Fleet(2)
        old = fakes.target("i-0", "v1", incarnation=100)
        new = fakes.target("i-0", "v2", incarnation=200)
        fleet.list([new, fakes.target("i-1", "v1")])
        fleet.begin(0, "a", old)
        assert fleet.find(1, "a") is None


class TestLargeFleet:
    def test_daemons_that_hold_streams_are_spread(self):
        """Some daemons would exceed their control traffic."""
        fleet = fakes.Fleet(60)
        fleet.list(TWO)
        for number in range(3000):
            fleet.begin(number % 60, f"a{number}", TWO[0])
        held = [versions.remembered_count for versions in fleet.versions]
        assert sum(held) == 9000
        assert max(held) < 3 * 150

    def test_at_most_eight_daemons_are_asked(self):
        fleet = fakes.Fleet(60)
        fleet.list(TWO)
        assert fleet.find(0, "unknown") is None
        assert len(fleet.sent) == 8


class TestLogs:
    """A line tells what the version of a stream was concluded from."""

    def test_only_version_of_several_views(self):
        fleet = fakes.Fleet(3)
        fleet.list(fakes.targets("v1"))
        fleet.restart(0)
        fleet.list(fakes.targets("v1"), 0)
        fleet.unreachable = {"d2"}
        with logbook.TestHandler().applicationbound() as lines:
            fleet.find(0, "a")
        (fields,) = [
            one.kwargs for one in lines.records if "source" in one.kwargs
        ]
        assert fields["view"] == "v1 (past unknown)"
        assert fields["views"] == {"d1": "v1"}
        assert fields["unanswered"] == ["d2"]

    def test_refused_stream(self):
        fleet = fakes.Fleet(2)
        fleet.list(TWO)
        fleet.age_by_daemon = {"d1": 60.0}
        with logbook.TestHandler().applicationbound() as lines:
            fleet.find(0, "a")
        (fields,) = [
            one.kwargs for one in lines.records if "why" in one.kwargs
        ]
        assert fields["view"] == "v1 v2"
        assert fields["views"] == {"d1": "v1 v2 (old list)"}
