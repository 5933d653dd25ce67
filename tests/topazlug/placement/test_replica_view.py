"""Views that one daemon has of replicas."""

from tests.topazlug import claim_fakes
from tests.topazlug.forwarding import forwarding_fixtures as fixtures
from topazlug import _ids
from topazlug.placement import _replica_view

ONE = _ids.ReplicaId("one")
TWO = _ids.ReplicaId("two")
THREE = _ids.ReplicaId("three")


def record_outcomes(views, replica, *, failed, good):
    for _ in range(failed):
        views.of(replica).record_outcome(failed=True)
    for _ in range(good):
        views.of(replica).record_outcome(failed=False)


class TestHealthy:
    def test_replica_that_fails_more_than_others_is_ejected(self):
        """A replica that fails half of its requests must be ejected.

        Its health check succeeded, and nothing else was considered.
        """
        clock = claim_fakes.FakeClock()
        views = _replica_view.ReplicaViews(clock=clock)
        record_outcomes(views, ONE, failed=5, good=5)
        record_outcomes(views, TWO, failed=0, good=20)
        record_outcomes(views, THREE, failed=1, good=20)
        assert views.healthy([ONE, TWO, THREE]) == [TWO, THREE]
        clock.advance(1.1)
        assert views.healthy([ONE, TWO, THREE]) == [ONE, TWO, THREE]

    def test_replicas_that_fail_alike_stay(self):
        """All requests must not go to the last replica that is not ejected.

        In a failure of the whole service, replicas were ejected one by one.
        """
        views = _replica_view.ReplicaViews(clock=claim_fakes.FakeClock())
        for replica in (ONE, TWO, THREE):
            record_outcomes(views, replica, failed=5, good=5)
        assert views.healthy([ONE, TWO, THREE]) == [ONE, TWO, THREE]

    def test_each_ejection_is_longer(self):
        clock = claim_fakes.FakeClock()
        views = _replica_view.ReplicaViews(clock=clock)
        for seconds in (1.0, 2.0, 4.0, 4.0):
            views.of(ONE).eject()
            clock.advance(seconds - 0.1)
            assert views.of(ONE).is_ejected
            clock.advance(0.2)
            assert not views.of(ONE).is_ejected


class TestLoad:
    def test_reported_load_of_others_decays(self):
        clock = claim_fakes.FakeClock()
        view = _replica_view.ReplicaView(clock=clock)
        view.in_flight = 2
        view.record_report(10)
        assert view.load == 10
        clock.advance(1.0)
        assert view.load == 6
        clock.advance(5.0)
        assert view.load == 2

    def test_reports_count_for_longer_in_a_large_fleet(self):
        """Full replicas must not seem empty between two reports.

        With 81 daemons, each gets a report of a replica every 7 s. A report of
        3 s ago, when the replica was full, had decayed to nothing, and
        replicas above twice the mean load got more requests.
        """
        clock = claim_fakes.FakeClock()
        views = _replica_view.ReplicaViews(clock=clock)
        views.of(ONE).record_report(12)
        clock.advance(3.0)
        assert views.of(ONE).load == 0
        views.set_report_lifetime(
            _replica_view.LARGE_FLEET_REPORT_LIFETIME_SECONDS
        )
        assert views.of(ONE).load == 6
        views.of(TWO).record_report(12)
        clock.advance(3.0)
        assert views.of(TWO).load == 6


class TestRestart:
    """The view of a replica must end with its process.

    A replica restarts under its id, and requests of the old process fail and
    are released afterwards. Counted by the id alone, they caused the idle
    replica to get little work, or to be ejected.
    """

    @staticmethod
    def listed(views, incarnation):
        target = fixtures.target(ONE, incarnation=incarnation)
        views.update_targets([target])
        return target

    def test_load_latency_and_outcomes_are_reset(self):
        views = _replica_view.ReplicaViews(clock=claim_fakes.FakeClock())
        old = self.listed(views, 1)
        view = views.of_incarnation(old)
        view.in_flight = 3
        view.record_latency(4.0)
        view.record_report(60)
        view.eject()
        new = self.listed(views, 2)
        fresh = views.of_incarnation(new)
        assert (fresh.in_flight, fresh.latency, fresh.load) == (0, 0.0, 0)
        assert not fresh.is_ejected

    def test_old_process_does_not_count(self):
        views = _replica_view.ReplicaViews(clock=claim_fakes.FakeClock())
        old = self.listed(views, 1)
        views.of_incarnation(old).in_flight += 1
        new = self.listed(views, 2)
        views.of_incarnation(old).in_flight -= 1
        views.of_incarnation(old).record_outcome(failed=True)
        assert views.of_incarnation(new).in_flight == 0
        assert views.of_incarnation(new).failures() == (0, 0)

    def test_replica_that_was_not_listed_in_between(self):
        views = _replica_view.ReplicaViews(clock=claim_fakes.FakeClock())
        old = self.listed(views, 1)
        views.of_incarnation(old).in_flight += 1
        views.update_targets([])
        new = self.listed(views, 2)
        assert views.of_incarnation(new).in_flight == 0
        views.of_incarnation(old).in_flight -= 1
        assert views.of_incarnation(new).in_flight == 0
