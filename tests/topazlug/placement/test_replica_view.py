"""Replicas as one daemon sees them."""

from tests.topazlug import claim_fakes
from tests.topazlug.forwarding import forwarding_fixtures as fixtures
from topazlug import _ids
from topazlug.placement import _replica_view

ONE = _ids.ReplicaId("one")
TWO = _ids.ReplicaId("two")
THREE = _ids.ReplicaId("three")


def outcomes(views, replica, *, failed, good):
    for _ in range(failed):
        views.of(replica).note_outcome(failed=True)
    for _ in range(good):
        views.of(replica).note_outcome(failed=False)


class TestSound:
    def test_replica_that_fails_more_than_others_is_left_out(self):
        """Symptom: half of one replica's requests fail for seconds.

        Cause: its health check is good, and nothing else was looked at.
        """
        clock = claim_fakes.FakeClock()
        views = _replica_view.ReplicaViews(clock=clock)
        outcomes(views, ONE, failed=5, good=5)
        outcomes(views, TWO, failed=0, good=20)
        outcomes(views, THREE, failed=1, good=20)
        assert views.healthy([ONE, TWO, THREE]) == [TWO, THREE]
        clock.advance(1.1)
        assert views.healthy([ONE, TWO, THREE]) == [ONE, TWO, THREE]

    def test_all_that_fail_alike_stay(self):
        """Symptom: all requests pile up on the last replica left.

        Cause: in a failure of the whole service each replica is held out.
        """
        views = _replica_view.ReplicaViews(clock=claim_fakes.FakeClock())
        for replica in (ONE, TWO, THREE):
            outcomes(views, replica, failed=5, good=5)
        assert views.healthy([ONE, TWO, THREE]) == [ONE, TWO, THREE]

    def test_each_hold_is_longer(self):
        clock = claim_fakes.FakeClock()
        views = _replica_view.ReplicaViews(clock=clock)
        for seconds in (1.0, 2.0, 4.0, 4.0):
            views.of(ONE).eject()
            clock.advance(seconds - 0.1)
            assert views.of(ONE).is_ejected
            clock.advance(0.2)
            assert not views.of(ONE).is_ejected


class TestLoad:
    def test_others_part_fades(self):
        clock = claim_fakes.FakeClock()
        view = _replica_view.ReplicaView(clock=clock)
        view.in_flight = 2
        view.note_report(10)
        assert view.load == 10
        clock.advance(1.0)
        assert view.load == 6
        clock.advance(5.0)
        assert view.load == 2

    def test_reports_count_for_longer_in_a_large_fleet(self):
        """Symptom: replicas above twice the mean load get more requests.

        Sequence: 81 daemons; each hears of a replica every 7 s; a replica
        was full 3 s ago. Cause: its report had faded to nothing.
        """
        clock = claim_fakes.FakeClock()
        views = _replica_view.ReplicaViews(clock=clock)
        views.of(ONE).note_report(12)
        clock.advance(3.0)
        assert views.of(ONE).load == 0
        views.set_report_lifetime(
            _replica_view.LARGE_FLEET_REPORT_LIFETIME_SECONDS
        )
        assert views.of(ONE).load == 6
        views.of(TWO).note_report(12)
        clock.advance(3.0)
        assert views.of(TWO).load == 6


class TestStartedAgain:
    """What is believed of a start ends with it.

    Symptom: a replica that is back and idle gets little work, or is held out.
    Sequence: it starts again under its id; requests that ran on the old start
    fail and are given back afterwards. Cause: all of it was counted by the
    id.
    """

    @staticmethod
    def started(views, incarnation):
        target = fixtures.target(ONE, incarnation=incarnation)
        views.take_list([target])
        return target

    def test_load_latency_and_outcomes_end(self):
        views = _replica_view.ReplicaViews(clock=claim_fakes.FakeClock())
        old = self.started(views, 1)
        view = views.of_incarnation(old)
        view.in_flight = 3
        view.note_latency(4.0)
        view.note_report(60)
        view.eject()
        new = self.started(views, 2)
        fresh = views.of_incarnation(new)
        assert (fresh.in_flight, fresh.latency, fresh.load) == (0, 0.0, 0)
        assert not fresh.is_ejected

    def test_word_of_the_old_start_counts_for_nothing(self):
        views = _replica_view.ReplicaViews(clock=claim_fakes.FakeClock())
        old = self.started(views, 1)
        views.of_incarnation(old).in_flight += 1
        new = self.started(views, 2)
        views.of_incarnation(old).in_flight -= 1
        views.of_incarnation(old).note_outcome(failed=True)
        assert views.of_incarnation(new).in_flight == 0
        assert views.of_incarnation(new).failures() == (0, 0)

    def test_one_that_left_the_list_meanwhile(self):
        views = _replica_view.ReplicaViews(clock=claim_fakes.FakeClock())
        old = self.started(views, 1)
        views.of_incarnation(old).in_flight += 1
        views.take_list([])
        new = self.started(views, 2)
        assert views.of_incarnation(new).in_flight == 0
        views.of_incarnation(old).in_flight -= 1
        assert views.of_incarnation(new).in_flight == 0
