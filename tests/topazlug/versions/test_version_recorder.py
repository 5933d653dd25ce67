"""Records of versions in the table that all daemons follow."""

import pytest

from tests.topazlug.versions import version_fakes as fakes
from topazlug import _ids
from topazlug.versions import _version_records

ONE = fakes.targets("v1", "v1")
BOTH = fakes.targets("v1", "v2")
NEXT = fakes.targets("v2", "v2")
SECONDS_PER_RANK = 0.25


@pytest.fixture
def fleet():
    fleet = fakes.Fleet(9)
    fleet.list(ONE)
    fleet.record()
    return fleet


class TestCalls:
    """Each call to the store costs."""

    def test_one_daemon_records_the_first_version(self, fleet):
        assert fleet.recorded() == {"v1"}
        assert fleet.writes == 1

    def test_none_while_versions_stay(self, fleet):
        for _ in range(100):
            fleet.clock.advance(1.0)
            fleet.list(ONE)
            fleet.record()
        assert fleet.writes == 1

    def test_none_after_all_were_killed(self, fleet):
        fleet.restart()
        fleet.list(ONE)
        fleet.record()
        assert fleet.writes == 1

    def test_two_of_a_release(self, fleet):
        fleet.list(BOTH)
        fleet.record()
        fleet.list(NEXT)
        for _ in range(100):
            fleet.clock.advance(1.0)
            fleet.list(NEXT)
            fleet.record()
        assert fleet.recorded() == {"v2"}
        assert fleet.writes == 3

    def test_none_while_replicas_come_back(self, fleet):
        """All replicas of a group are away for a while."""
        fleet.list([])
        fleet.clock.advance(fakes.MEMORY + 10.0)
        fleet.list([])
        fleet.record()
        fleet.list(ONE)
        fleet.record()
        assert fleet.writes == 1


class TestDaemonsThatDoNotWrite:
    def test_others_write_in_their_place(self):
        """The daemon that should write had ended."""
        fleet = fakes.Fleet(9)
        fleet.list(ONE)
        writers = []
        for number in range(9):
            fleet.record(number)
            if fleet.writes:
                writers.append(number)
        (first,) = writers[:1]
        fleet = fakes.Fleet(9)
        fleet.list(ONE)
        others = [number for number in range(9) if number != first]
        fleet.record(*others)
        assert fleet.writes == 0
        fleet.clock.advance(SECONDS_PER_RANK)
        fleet.record(*others)
        assert fleet.recorded() == {"v1"}
        assert fleet.writes == 1


class TestObsoleteRecord:
    def test_version_that_came_back_stays_recorded(self, fleet):
        fleet.list(BOTH)
        fleet.record()
        fleet.list(NEXT)
        fleet.clock.advance(fakes.MEMORY - 5.0)
        fleet.list(BOTH)
        fleet.clock.advance(2.0)
        fleet.list(NEXT)
        fleet.clock.advance(30.0)
        fleet.record()
        assert fleet.recorded() == {"v1", "v2"}

    def test_is_not_removed_after_a_gap_in_the_list(self, fleet):
        """The version may have been listed again in the meantime."""
        fleet.list(BOTH)
        fleet.record()
        fleet.list(NEXT)
        fleet.clock.advance(fakes.MEMORY)
        fleet.lose_list(*range(9))
        fleet.clock.advance(30.0)
        fleet.record()
        assert fleet.recorded() == {"v1", "v2"}
        fleet.clock.advance(fakes.MEMORY)
        fleet.record()
        fleet.clock.advance(9 * SECONDS_PER_RANK)
        fleet.record()
        assert fleet.recorded() == {"v2"}

    def test_daemons_that_have_started_since_remove_it(self, fleet):
        """All streams were refused from then on, after each kill."""
        fleet.list(BOTH)
        fleet.record()
        fleet.restart()
        fleet.list(NEXT)
        fleet.record()
        for _ in range(70):
            fleet.clock.advance(1.0)
            fleet.record()
        assert fleet.recorded() == {"v2"}

    def test_records_of_a_group_that_is_gone(self, fleet):
        """Rows of groups that no longer exist would add up."""
        fleet.list([])
        for _ in range(26):
            fleet.clock.advance(3600.0)
            fleet.record()
        assert fleet.recorded() == set()


class TestRows:
    RECORD = _version_records.VersionRecord(
        group=fakes.GROUP, version=_ids.SoftwareVersion("v/1"), number=3
    )

    def test_round_trip(self):
        key = _version_records.record_key(self.RECORD)
        data = _version_records.encode(self.RECORD)
        assert _version_records.decode(key, data) == self.RECORD

    def test_record_at_another_key_is_invalid(self):
        data = _version_records.encode(self.RECORD)
        with pytest.raises(ValueError, match="stored at"):
            _version_records.decode("version/0", data)

    def test_other_rows_are_kept_apart(self):
        key = _version_records.record_key(self.RECORD)
        rows = {key: b"1", "block/1": b"2"}
        assert _version_records.split_rows(rows) == (
            {key: b"1"},
            {"block/1": b"2"},
        )
