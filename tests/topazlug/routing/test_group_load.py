"""The load of a group, collected from the owners of its replicas."""

import pytest

from tests.topazlug import claim_fakes
from topazlug import _ids
from topazlug._generated import messages
from topazlug.routing import _group_load


def report(**load_by_replica):
    loads = [
        messages.ReplicaLoad(replica=replica, load=load)
        for replica, load in load_by_replica.items()
    ]
    return messages.LoadReport(group="pool", loads=loads)


@pytest.fixture
def clock():
    return claim_fakes.FakeClock()


@pytest.fixture
def collector(clock):
    return _group_load.LoadCollector(clock=clock, interval=0.1)


class TestCollector:
    def test_adds_up_the_latest_reports(self, collector):
        collector.add_report("d1", report(r1=5, r2=1))
        collector.add_report("d1", report(r1=2))
        summary = collector.add_report("d2", report(r3=4))
        assert (summary.total, summary.replicas) == (7, 3)

    def test_stale_reports_are_excluded(self, collector, clock):
        collector.add_report("d1", report(r1=9))
        clock.advance(3.1)
        summary = collector.add_report("d2", report(r2=4))
        assert (summary.total, summary.replicas) == (4, 1)

    def test_interval_grows_with_the_reporters(self, collector):
        for number in range(200):
            summary = collector.add_report(
                f"d{number}", report(**{f"r{number}": 1})
            )
        assert summary.interval > 1.0

    def test_collector_does_not_depend_on_the_order_of_daemons(self):
        daemons = [_ids.DaemonId(f"d{n}") for n in range(9)]
        chosen = _group_load.collector_of("pool", daemons)
        assert chosen == _group_load.collector_of("pool", daemons[::-1])
        assert _group_load.collector_of("pool", []) is None


class TestGroupEstimate:
    @staticmethod
    def estimate_from_summary(**changes):
        made = _group_load.GroupEstimate()
        fields = {"group": "pool", "total": 30, "replicas": 6, "interval": 0.1}
        summary = messages.LoadSummary(**{**fields, **changes})
        made.apply_summary(summary, own=10, now=100.0)
        return made

    def test_own_part_is_replaced_by_the_current_count(self):
        total = self.estimate_from_summary().estimate(
            own=14, own_replicas=2, replicas=6, now=100.5
        )
        assert total == 34

    def test_unreported_replicas_count_as_the_mean(self):
        total = self.estimate_from_summary(replicas=3).estimate(
            own=10, own_replicas=1, replicas=6, now=100.5
        )
        assert total == 60

    def test_without_a_recent_total_own_replicas_are_extrapolated(self):
        total = self.estimate_from_summary().estimate(
            own=10, own_replicas=2, replicas=6, now=110.0
        )
        assert total == 30


class TestBoundLimit:
    @pytest.mark.parametrize(
        "bound, total, replicas, limit",
        [(1.25, 39, 4, 12), (1.5, 0, 6, 1), (2.0, 5, 3, 3), (1.0, 0, 0, 1)],
    )
    def test_is_one_less_than_the_multiple_of_the_mean(
        self, bound, total, replicas, limit
    ):
        """Engines must not exceed the bound while the load falls.

        The total that owners use is a tenth of a second old, and higher than
        the true one while the load falls. A request admitted at the limit of
        the old mean would exceed the limit of the true mean.
        """
        assert limit == _group_load.bound_limit(
            bound=bound, total=total, replicas=replicas
        )

    @pytest.mark.parametrize("total", range(0, 60, 7))
    def test_never_below_the_mean(self, total):
        """A replica at or below the mean always admits one more."""
        limit = _group_load.bound_limit(bound=1.0, total=total, replicas=6)
        assert limit >= (total + 1) / 6
