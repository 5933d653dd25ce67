"""Which replicas are taken to be cold, and until when."""

import msgspec
import pytest

from tests.topazlug import claim_fakes
from tests.topazlug.forwarding import forwarding_fixtures as fixtures
from topazlug import _ids
from topazlug.targets import _cold_replicas
from topazlug.targets import _targets

SECONDS = 3.0
PER_SECOND = 14.0
START = _cold_replicas.ColdStart(SECONDS, PER_SECOND)


@pytest.fixture
def clock():
    return claim_fakes.FakeClock()


@pytest.fixture
def directory(clock):
    made = _targets.TargetDirectory(clock=clock, flap_window=10.0)
    made.cold.set_cold_starts({fixtures.GROUP: START})
    return made


def target(cold_for=0.0, **changes):
    made = fixtures.target("i-1", **changes)
    return msgspec.structs.replace(made, cold_for=cold_for)


def max_request_rate(directory):
    found = directory.target_by_replica[_ids.ReplicaId("i-1")]
    return directory.cold.max_request_rate(found)


class TestListed:
    def test_warm_without_a_word(self, directory):
        directory.take_list([target()])
        assert max_request_rate(directory) is None

    def test_cold_for_as_long_as_it_says(self, directory, clock):
        directory.take_list([target(2.5)])
        assert max_request_rate(directory) == PER_SECOND
        clock.advance(2.4)
        directory.take_list([target(2.5)])
        assert max_request_rate(directory) == PER_SECOND
        clock.advance(0.2)
        assert max_request_rate(directory) is None

    def test_warm_once_it_says_so(self, directory):
        directory.take_list([target(2.5)])
        directory.take_list([target(0.0)])
        assert max_request_rate(directory) is None

    def test_cold_again_without_a_start(self, directory):
        directory.take_list([target()])
        directory.take_list([target(2.9)])
        assert max_request_rate(directory) == PER_SECOND

    def test_another_start_that_says_the_same(self, directory, clock):
        directory.take_list([target(2.5)])
        clock.advance(10.0)
        assert max_request_rate(directory) is None
        directory.take_list([target(2.5, incarnation=2)])
        assert max_request_rate(directory) == PER_SECOND

    @pytest.mark.parametrize("per_second", [0.0, -1.0])
    def test_group_without_a_bound(self, directory, per_second):
        start = _cold_replicas.ColdStart(SECONDS, per_second)
        directory.cold.set_cold_starts({fixtures.GROUP: start})
        directory.take_list([target(2.5)])
        assert max_request_rate(directory) is None

    def test_other_groups_are_never_cold(self, directory):
        directory.cold.set_cold_starts({})
        directory.take_list([target(2.5)])
        directory.cold.presume_cold([target()])
        assert max_request_rate(directory) is None


class TestSuspected:
    """Symptom: a replica crashes again in the second in which it is back.

    Sequence of events: it crashes and starts again before its entry lapses;
    its next entry, which says that it is cold, comes a second later. Cause:
    until then it was taken to be as warm as before.
    """

    def test_one_that_took_no_connection(self, directory, clock):
        directory.take_list([target()])
        directory.cold.presume_cold([target()])
        assert max_request_rate(directory) == PER_SECOND
        clock.advance(SECONDS)
        assert max_request_rate(directory) == PER_SECOND
        clock.advance(2.0)
        assert max_request_rate(directory) is None

    def test_its_entry_of_before_says_nothing(self, directory):
        directory.take_list([target()])
        directory.cold.presume_cold([target()])
        directory.take_list([target()])
        assert max_request_rate(directory) == PER_SECOND

    def test_zone_that_is_taken_back(self, directory):
        directory.take_list([target()])
        directory.set_drains(_targets.Drains(zones=frozenset({"z"})))
        assert max_request_rate(directory) is None
        directory.set_drains(_targets.Drains())
        assert max_request_rate(directory) == PER_SECOND

    def test_nothing_is_kept_of_those_that_are_gone(self, directory):
        directory.take_list([target(2.5)])
        directory.cold.presume_cold([target()])
        directory.take_list([])
        directory.cold.presume_cold([target()])
        assert not directory.cold._listed_until
        assert not directory.cold._suspected_until
