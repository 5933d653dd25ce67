"""Tests of the choice of daemons that serve requests of others."""

import collections

import pytest

from tests.topazlug import claim_fakes
from topazlug.delegation import _delegates

DAEMONS = [f"d{number}" for number in range(12)]


@pytest.fixture
def clock():
    return claim_fakes.FakeClock()


@pytest.fixture
def delegates(clock):
    return _delegates.Delegates(clock=clock)


class Replay:
    """Load: many requests of one daemon, of which few others reach replicas.

    Each request takes a second; one arrives each 10 ms.
    """

    def __init__(self, delegates, clock, *, connected):
        self.delegates = delegates
        self.clock = clock
        self.connected = set(connected)
        self.served = collections.Counter()
        self.asked = 0
        self.refused = 0
        self._ends = collections.deque()

    def send(self, max_tries=8):
        tried = []
        while len(tried) < max_tries:
            daemon = self.delegates.choose(DAEMONS, excluded=tried)
            if daemon is None:
                break
            tried.append(daemon)
            self.asked += 1
            if daemon in self.connected:
                self.delegates.record_served(daemon)
                self.delegates.begin(daemon)
                self._ends.append((self.clock.monotonic() + 1.0, daemon))
                self.served[daemon] += 1
                return
            self.delegates.record_failure(daemon)
        self.refused += 1

    def run(self, seconds):
        for _ in range(int(seconds * 100)):
            self.send()
            self.clock.advance(0.01)
            while self._ends and self._ends[0][0] <= self.clock.monotonic():
                self.delegates.end(self._ends.popleft()[1])


class TestDelegates:
    def test_load_is_spread_evenly(self, delegates, clock):
        """One of the daemons got all the requests of those cut off."""
        replay = Replay(delegates, clock, connected=DAEMONS)
        replay.run(12.0)
        mean = 1200 / len(DAEMONS)
        assert max(replay.served.values()) <= 1.5 * mean
        assert min(replay.served.values()) >= 0.5 * mean

    @pytest.mark.parametrize("connected", [1, 2, 6])
    def test_few_connected_daemons_are_found(
        self, delegates, clock, connected
    ):
        replay = Replay(delegates, clock, connected=DAEMONS[:connected])
        replay.run(3.0)
        refused = replay.refused
        replay.run(9.0)
        assert replay.refused == refused
        assert refused <= 0.05 * 300

    def test_daemons_that_decline_are_seldom_asked(self, delegates, clock):
        replay = Replay(delegates, clock, connected=DAEMONS[:2])
        replay.run(3.0)
        before = replay.asked
        replay.run(10.0)
        # Each of the other ten is tried again every two seconds.
        assert replay.asked - before <= 1000 + 10 * 6

    def test_requests_are_refused_at_once_if_none_is_connected(
        self, delegates, clock
    ):
        """Each refused request went round all daemons before."""
        replay = Replay(delegates, clock, connected=[])
        replay.run(3.0)
        before = replay.asked
        replay.run(10.0)
        assert replay.refused == 1300
        assert replay.asked - before <= len(DAEMONS) * 10 / 2 + len(DAEMONS)

    def test_retry_after_is_when_a_daemon_is_tried_again(
        self, delegates, clock
    ):
        Replay(delegates, clock, connected=[]).run(1.0)
        wait = delegates.seconds_until_usable(DAEMONS)
        assert 0 < wait <= 2.0
        clock.advance(wait)
        assert delegates.choose(DAEMONS) is not None

    def test_daemon_that_is_connected_again_is_used(self, delegates, clock):
        replay = Replay(delegates, clock, connected=DAEMONS[:1])
        replay.run(3.0)
        replay.connected = set(DAEMONS[1:])
        replay.run(4.0)
        replay.served.clear()
        refused = replay.refused
        replay.run(3.0)
        assert replay.refused == refused
        assert set(replay.served) == set(DAEMONS[1:])

    def test_daemon_already_tried_is_not_chosen_again(self, delegates):
        assert delegates.choose(["d0"], excluded=["d0"]) is None

    def test_state_of_former_daemons_is_dropped(self, delegates):
        for daemon in DAEMONS:
            delegates.record_failure(daemon)
        delegates.choose(["new"])
        assert set(delegates._state_by_daemon) <= {"new"}
