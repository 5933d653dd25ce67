"""Tests of which replicas count as cold, and for how long."""

import msgspec
import pytest

from tests.topazlug import claim_fakes
from tests.topazlug.forwarding import forwarding_fixtures as fixtures
from topazlug import _ids
from topazlug.targets import _cold_replicas
from topazlug.targets import _targets

COLD_SECONDS = 3.0
MAX_RATE = 14.0
COLD_START = _cold_replicas.ColdStart(COLD_SECONDS, MAX_RATE)


@pytest.fixture
def clock():
    return claim_fakes.FakeClock()


@pytest.fixture
def directory(clock):
    made = _targets.TargetDirectory(clock=clock, flap_window=10.0)
    made.cold.set_cold_starts({fixtures.GROUP: COLD_START})
    return made


def target(cold_for=0.0, **changes):
    made = fixtures.target("i-1", **changes)
    return msgspec.structs.replace(made, cold_for=cold_for)


def max_request_rate(directory):
    found = directory.target_by_replica[_ids.ReplicaId("i-1")]
    return directory.cold.max_request_rate(found)


class TestListed:
    def test_not_cold_by_default(self, directory):
        directory.set_list([target()])
        assert max_request_rate(directory) is None

    def test_cold_for_the_reported_time(self, directory, clock):
        directory.set_list([target(2.5)])
        assert max_request_rate(directory) == MAX_RATE
        clock.advance(2.4)
        directory.set_list([target(2.5)])
        assert max_request_rate(directory) == MAX_RATE
        clock.advance(0.2)
        assert max_request_rate(directory) is None

    def test_not_cold_once_reported_so(self, directory):
        directory.set_list([target(2.5)])
        directory.set_list([target(0.0)])
        assert max_request_rate(directory) is None

    def test_cold_again_without_a_restart(self, directory):
        directory.set_list([target()])
        directory.set_list([target(2.9)])
        assert max_request_rate(directory) == MAX_RATE

    def test_restart_with_the_same_report(self, directory, clock):
        directory.set_list([target(2.5)])
        clock.advance(10.0)
        assert max_request_rate(directory) is None
        directory.set_list([target(2.5, incarnation=2)])
        assert max_request_rate(directory) == MAX_RATE

    @pytest.mark.parametrize("per_second", [0.0, -1.0])
    def test_group_without_a_limit(self, directory, per_second):
        start = _cold_replicas.ColdStart(COLD_SECONDS, per_second)
        directory.cold.set_cold_starts({fixtures.GROUP: start})
        directory.set_list([target(2.5)])
        assert max_request_rate(directory) is None

    def test_unconfigured_group_is_never_cold(self, directory):
        directory.cold.set_cold_starts({})
        directory.set_list([target(2.5)])
        directory.cold.presume_cold([target()])
        assert max_request_rate(directory) is None


class TestPresumed:
    """A restarted replica must count as cold before its entry shows it.

    A replica that crashed and restarted before its entry expired received its
    usual load and crashed again: its next entry, which reported it as cold,
    arrived only a second later.
    """

    def test_replica_that_refused_a_connection(self, directory, clock):
        directory.set_list([target()])
        directory.cold.presume_cold([target()])
        assert max_request_rate(directory) == MAX_RATE
        clock.advance(COLD_SECONDS)
        assert max_request_rate(directory) == MAX_RATE
        clock.advance(2.0)
        assert max_request_rate(directory) is None

    def test_unchanged_entry_has_no_effect(self, directory):
        directory.set_list([target()])
        directory.cold.presume_cold([target()])
        directory.set_list([target()])
        assert max_request_rate(directory) == MAX_RATE

    def test_zone_that_is_no_longer_drained(self, directory):
        directory.set_list([target()])
        directory.set_drains(_targets.Drains(zones=frozenset({"z"})))
        assert max_request_rate(directory) is None
        directory.set_drains(_targets.Drains())
        assert max_request_rate(directory) == MAX_RATE

    def test_removed_replicas_are_discarded(self, directory):
        directory.set_list([target(2.5)])
        directory.cold.presume_cold([target()])
        directory.set_list([])
        directory.cold.presume_cold([target()])
        assert not directory.cold._reported_until
        assert not directory.cold._presumed_until
