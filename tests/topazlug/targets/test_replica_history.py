"""Which replica processes ran before the current list was read."""

import pytest

from tests.topazlug import claim_fakes
from tests.topazlug.forwarding import forwarding_fixtures as fixtures
from topazlug.targets import _replica_history


@pytest.fixture
def clock():
    return claim_fakes.FakeClock()


@pytest.fixture
def history(clock):
    return _replica_history.ReplicaHistory(clock=clock)


def listed(*targets):
    return {target.replica: target for target in targets}


OLD = fixtures.target("i-1")
NEW = fixtures.target("i-2")
RESTARTED = fixtures.target("i-1", incarnation=2)


class TestRanBefore:
    def test_all_on_the_first_list_ran_before(self, history):
        """A daemon that has just started does not know what replicas hold."""
        history.record_list({})
        assert history.ran_before(OLD)

    def test_new_and_restarted_replicas_did_not(self, history):
        """A replica that holds nothing must not be asked what it holds."""
        history.record_list(listed(OLD))
        assert history.ran_before(OLD)
        assert not history.ran_before(NEW)
        assert not history.ran_before(RESTARTED)
        history.record_list(listed(RESTARTED, NEW))
        assert history.ran_before(RESTARTED)
        assert history.ran_before(NEW)

    def test_replica_that_comes_back_ran_before(self, history, clock):
        """A replica cut off from the store keeps its contexts."""
        history.record_list(listed(OLD, NEW))
        clock.advance(100)
        history.record_list(listed(OLD))
        clock.advance(10)
        history.record_list(listed(OLD))
        assert history.ran_before(NEW)
        clock.advance(51)
        history.record_list(listed(OLD))
        assert not history.ran_before(NEW)
