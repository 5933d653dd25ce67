"""72 daemons in front of 45 replicas, of which some fail their requests.

The load is that of two customers: 11 requests a second for each replica, and
replicas that fail for 5.2 s while their health check passes.
"""

import pytest

from tests.topazlug.placement import outcome_replay

ONE = frozenset(outcome_replay.REPLICAS[7:8])
FOUR = frozenset(outcome_replay.REPLICAS[3:7])
# A replica goes down and comes up, each for this long.
PHASE_SECONDS = 1.4


def trouble(replicas, fraction, *, usual=0.0):
    """Return a function of the fraction of requests that fail."""

    def fraction_of(replica, at):
        is_failing = 0.0 <= at < outcome_replay.TROUBLE_SECONDS
        return fraction if is_failing and replica in replicas else usual

    return fraction_of


def alternating(replica, at):
    is_down = at >= 0.0 and at % (2 * PHASE_SECONDS) < PHASE_SECONDS
    return 1.0 if replica in ONE and is_down else 0.0


def run(fraction_of, **changes):
    return outcome_replay.OutcomeReplay(fraction_of, **changes).run()


class TestReplicasThatFail:
    @pytest.mark.parametrize("seed", [1, 2, 3])
    def test_one_that_fails_all(self, seed):
        """A replica failed 25 to 55 requests in 5 s, and no daemon saw it."""
        replay = run(trouble(ONE, 1.0), seed=seed)
        first = replay.ejected_at[0]
        assert len(replay.failed_at) >= 3
        (replica,) = ONE
        assert replay.failures_of(replica, until=first.at) <= 10
        for ejection in replay.ejected_at:
            probed = replay.failures_of(
                replica, since=ejection.at, until=ejection.at + 4.0
            )
            assert probed <= 3
        # One request fails at each probation.
        after = replay.failures_of(replica, since=first.at)
        assert after <= len(replay.ejected_at)
        assert {ejection.replica for ejection in replay.ejected_at} == ONE
        assert not replay.rejected

    @pytest.mark.parametrize(
        ("replicas", "fraction", "gain"),
        [(ONE, 1.0, 4), (ONE, 0.5, 2), (FOUR, 1.0, 3), (FOUR, 0.5, 1.5)],
    )
    def test_fewer_requests_fail(self, replicas, fraction, gain):
        fraction_of = trouble(replicas, fraction)
        enabled = run(fraction_of)
        disabled = run(fraction_of, is_enabled=False)
        assert not disabled.ejected_at
        assert len(enabled.failed_at) * gain <= len(disabled.failed_at)
        ejected = {ejection.replica for ejection in enabled.ejected_at}
        assert ejected <= replicas

    def test_one_that_alternates(self):
        """Each return of the replica cost as many requests as the first."""
        enabled = run(alternating)
        disabled = run(alternating, is_enabled=False)
        assert len(enabled.failed_at) * 2 <= len(disabled.failed_at)


class TestReplicasThatAreNotAtFault:
    @pytest.mark.parametrize("seed", [1, 2, 3, 4])
    def test_all_fail_alike(self, seed):
        """Where all fail, an ejection only adds load to the others."""
        replay = run(trouble(outcome_replay.REPLICAS, 0.45), seed=seed)
        assert not replay.ejected_at

    @pytest.mark.parametrize("keeps_context", [True, False])
    def test_healthy_ones_fail_some(self, keeps_context):
        """Plain services fail 14% of their reads when healthy."""
        replay = run(
            trouble(ONE, 0.14, usual=0.14), keeps_context=keeps_context
        )
        assert not replay.ejected_at

    def test_no_failures(self):
        assert not run(trouble(ONE, 0.0)).ejected_at


class TestManyReplicas:
    def test_excess_is_returned(self):
        """20 of 45 owners ejected at once, and the rest took their load."""
        failing = frozenset(outcome_replay.REPLICAS[:20])
        replay = run(trouble(failing, 1.0))
        assert 0 < replay.max_ejected <= 20
        assert not replay.rejected
