"""Gauges of the replicas that a daemon owns."""

from tests.topazlug.placement import owner_fixtures
from topazlug import _ids
from topazlug._generated import messages
from topazlug._generated import settings
from topazlug.routing import _owner_gauges
from topazlug.telemetry import _metrics

SLOW = _ids.ReplicaId("i-0")


class TestWatch:
    def test_slow_replicas_are_shown(self):
        """Operators did not see that limits were lowered, or of how many."""
        fleet = owner_fixtures.Fleet("d0", replicas=("i-0", "i-1"))
        owners = fleet.daemon_by_name["d0"].owners
        metrics = _metrics.Metrics(
            settings.MetricsSettings(), _ids.DaemonId("d0"), "z"
        )
        _owner_gauges.watch(
            metrics, owners.slowness_by_replica, owners.ejections
        )
        text = metrics.exposition().decode()
        assert "topazlug_replicas_slow 0.0" in text
        assert "topazlug_replicas_max_slowness 1.0" in text
        for _ in range(20):
            owners.owner_client.report_response_head(
                SLOW,
                messages.EngineWord(
                    replica=SLOW, running=1, waiting=0, slowness=2.5
                ),
            )
            fleet.clock.advance(0.1)
        text = metrics.exposition().decode()
        assert "topazlug_replicas_slow 1.0" in text
        assert "topazlug_replicas_max_slowness 2.5" in text
