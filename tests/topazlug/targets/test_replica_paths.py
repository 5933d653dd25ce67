"""Tests of when a daemon counts as cut off from all replicas."""

import gevent
import pytest

from tests.topazlug import claim_fakes
from tests.topazlug.forwarding import forwarding_fixtures as fixtures
from topazlug.targets import _path_check
from topazlug.targets import _replica_paths

GROUP = fixtures.GROUP
OTHER = "others"
TARGETS = [
    fixtures.target(f"i-{number}", zone="abc"[number % 3])
    for number in range(9)
]


class FakeConnector:
    """Accepts connections to some replicas and records each attempt."""

    def __init__(self):
        self.reachable = set()
        self.tried = []

    def can_connect(self, target):
        self.tried.append(target.replica)
        gevent.sleep(0)
        return target.replica in self.reachable


@pytest.fixture
def clock():
    return claim_fakes.FakeClock()


@pytest.fixture
def paths(clock):
    return _replica_paths.ReplicaPaths(clock=clock)


@pytest.fixture
def connector():
    return FakeConnector()


@pytest.fixture
def lost():
    """Return a list that receives replicas that may have restarted."""
    return []


@pytest.fixture
def check(clock, paths, connector, lost):
    return _path_check.PathCheck(
        paths=paths,
        connector=connector,
        targets=lambda: TARGETS,
        on_lost_replicas=lost.extend,
        clock=clock,
    )


class TestReplicaPaths:
    def test_checked_replicas_are_in_different_zones(self, paths):
        chosen = paths.choose(GROUP, TARGETS, failed="i-0")
        assert len({one.zone for one in chosen}) == 3
        assert "i-0" not in {one.replica for one in chosen}

    def test_each_check_begins_at_other_replicas(self, paths):
        found = {one.replica for one in paths.choose(GROUP, TARGETS)}
        found |= {one.replica for one in paths.choose(GROUP, TARGETS)}
        assert len(found) > 3

    def test_check_of_no_replica_shows_nothing(self, paths):
        paths.record_unreached(GROUP, checked=0)
        assert not paths.is_cut_off(GROUP)

    def test_replica_that_was_reached_meanwhile_needs_no_check(
        self, paths, clock
    ):
        began = clock.monotonic()
        clock.advance(0.1)
        paths.record_reached(GROUP)
        assert not paths.needs_check(GROUP, since=began)
        clock.advance(0.1)
        assert paths.needs_check(GROUP, since=clock.monotonic())

    def test_checks_are_not_repeated_at_once(self, paths, clock):
        """Each request that a crashed replica refused began a check."""
        clock.advance(1.0)
        paths.record_check(GROUP)
        assert not paths.needs_check(GROUP, since=clock.monotonic())
        clock.advance(0.1)
        assert paths.needs_check(GROUP, since=clock.monotonic())


class TestPathCheck:
    def test_one_failed_replica_is_no_cut(self, check, connector):
        """A crashed replica must not make its daemon count as cut off."""
        connector.reachable = {one.replica for one in TARGETS[1:]}
        assert not check.find_cut(GROUP, failed="i-0", since=0.0)

    def test_no_reachable_replica_is_a_cut(self, check, connector):
        assert check.find_cut(GROUP, failed="i-0", since=0.0)
        assert len(connector.tried) == 3

    def test_concurrent_failures_share_a_check(self, check, connector):
        """Hundreds of requests that fail together must not all connect."""
        callers = [
            gevent.spawn(check.find_cut, GROUP, failed="i-0", since=0.0)
            for _ in range(20)
        ]
        gevent.joinall(callers, raise_error=True)
        assert [one.value for one in callers] == [True] * 20
        assert len(connector.tried) == 3

    def test_cancelled_caller_does_not_end_the_check(self, check, connector):
        """Others took the daemon for connected when one caller hung up."""
        first = gevent.spawn(check.find_cut, GROUP, failed="i-0", since=0.0)
        second = gevent.spawn(check.find_cut, GROUP, failed="i-0", since=0.0)
        gevent.sleep(0)
        first.kill()
        second.join()
        assert second.value

    def test_end_of_a_cut_is_noticed_without_requests(
        self, check, connector, paths
    ):
        paths.record_unreached(GROUP, checked=3)
        connector.reachable = {one.replica for one in TARGETS}
        rechecks = gevent.spawn(check.recheck_forever)
        while paths.is_cut_off(GROUP):
            gevent.sleep(0)
        rechecks.kill()

    def test_group_that_no_daemon_reached_may_have_restarted(
        self, check, connector, paths, lost
    ):
        """All replicas crashed, and returned cold to all of their chats."""
        paths.record_unreached(GROUP, checked=3)
        check.record_reached(TARGETS[0])
        assert lost == TARGETS

    def test_group_that_answered_other_daemons_has_not_restarted(
        self, check, paths, lost
    ):
        paths.record_unreached(GROUP, checked=3)
        paths.record_served_elsewhere(GROUP)
        check.record_reached(TARGETS[0])
        assert lost == []

    def test_other_groups_are_checked_at_once(self, clock, paths, connector):
        """Each group delayed a request before its cut was noticed."""
        other = fixtures.target("j-1", group=OTHER)
        check = _path_check.PathCheck(
            paths=paths,
            connector=connector,
            targets=lambda: [*TARGETS, other],
            on_lost_replicas=lambda targets: None,
            clock=clock,
        )
        check.find_cut(GROUP, failed="i-0", since=0.0)
        while not paths.is_cut_off(OTHER):
            gevent.sleep(0)
