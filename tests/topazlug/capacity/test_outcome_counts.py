"""Counts of outcomes on one replica, and the states of its ejection."""

import pytest

from topazlug import _ids
from topazlug.capacity import _outcome_counts
from topazlug.capacity import _slot_key
from topazlug.routing import _ledger

D1 = _ids.DaemonId("d1")
D2 = _ids.DaemonId("d2")
STATE = _outcome_counts.EjectionState


def key(number):
    return _slot_key.SlotKey(D1, _ids.AdmissionRequestId(number))


@pytest.fixture
def counts():
    return _outcome_counts.OutcomeCounts()


class TestTotals:
    def test_outcomes_of_all_daemons_count_together(self, counts):
        """No daemon alone saw three failures of a replica."""
        for daemon in (D1, D2, D1):
            counts.record(daemon, failed=1, ended=1, now=1.0)
        counts.record(D2, failed=0, ended=2, now=1.5)
        assert counts.totals(now=1.5) == (3, 5)

    def test_outcomes_older_than_the_window_do_not_count(self, counts):
        counts.record(D1, failed=1, ended=1, now=1.0)
        counts.record(D1, failed=0, ended=1, now=3.5)
        assert counts.totals(now=3.5) == (0, 1)

    def test_totals_of_an_earlier_moment(self, counts):
        """Failures were compared with reports that did not cover them yet."""
        counts.record(D1, failed=0, ended=1, now=0.5)
        counts.record(D1, failed=1, ended=1, now=2.4)
        assert counts.totals(now=2.6, age=0.5) == (0, 1)

    def test_late_outcomes_do_not_count_in_short_windows(self, counts):
        """Failures arrive first, so a healthy replica seemed to fail all."""
        counts.record(D1, failed=3, ended=3, now=1.0, is_exact=False)
        counts.record(D2, failed=1, ended=2, now=1.0)
        assert counts.exact_totals(now=1.0, seconds=0.5) == (1, 2)
        assert counts.totals(now=1.0) == (4, 5)

    def test_failure_without_an_end_counts_as_ended(self, counts):
        counts.record(D1, failed=1, ended=0, now=1.0)
        assert counts.totals(now=1.0).fraction == 1.0


class TestDaemons:
    def test_failures_of_one_daemon_among_several(self, counts):
        """A daemon with a broken link made all others avoid a replica."""
        counts.record(D1, failed=3, ended=3, now=1.0)
        counts.record(D2, failed=0, ended=3, now=1.0)
        assert not counts.is_seen_by_several(now=1.0)
        counts.record(D2, failed=1, ended=1, now=1.1)
        assert counts.is_seen_by_several(now=1.1)

    def test_failures_of_the_only_daemon(self, counts):
        counts.record(D1, failed=3, ended=3, now=1.0)
        assert counts.is_seen_by_several(now=1.0)

    def test_senders_are_forgotten(self, counts):
        counts.record_sender(D1, now=1.0)
        counts.record_sender(D2, now=5.0)
        assert counts.recent_senders(now=31.5) == [D2]


class TestEjection:
    def test_each_ejection_lasts_longer(self, counts):
        lengths = [counts.eject(now=10.0 + n) for n in range(4)]
        assert lengths == [1.0, 2.0, 4.0, 4.0]

    def test_next_ejection_is_short_after_a_calm_time(self, counts):
        counts.eject(now=10.0)
        counts.admit(now=11.0)
        assert counts.eject(now=12.0) == 2.0
        counts.admit(now=14.0)
        assert counts.eject(now=21.0) == 1.0

    def test_probation_follows(self, counts):
        counts.eject(now=10.0)
        assert counts.state(now=10.9) is STATE.EJECTED
        assert counts.state(now=11.1) is STATE.PROBATION
        assert counts.is_limited

    def test_two_successes_end_the_probation(self, counts):
        """One success is likely on a replica that fails half."""
        counts.eject(now=10.0)
        assert not counts.record_probe_success(now=11.1)
        assert counts.record_probe_success(now=11.2)
        assert counts.state(now=11.2) is STATE.ADMITTING

    def test_failures_before_the_ejection_are_cleared(self, counts):
        counts.record(D1, failed=5, ended=5, now=10.0)
        counts.eject(now=10.0)
        assert counts.totals(now=10.0) == (0, 0)

    def test_probe_is_the_request_admitted_last(self, counts):
        counts.record_admitted(key(1))
        assert counts.probe is None
        counts.eject(now=10.0)
        counts.record_admitted(key(2))
        assert counts.probe == key(2)


class TestHeldRequests:
    def test_removed_request_is_forgotten(self):
        """Keys of requests of lost daemons were kept forever."""
        ledger = _ledger.ReplicaLedger(
            replica=_ids.ReplicaId("i-0"),
            group=_ids.GroupName("pool"),
            slots=8,
            batch_slots=8,
            queue_capacity=8,
        )
        entry = _ledger.LedgerEntry(
            weight=1, team=_ids.TeamName("udelar"), batch=False
        )
        ledger.outcomes.eject(now=1.0)
        ledger.admit(key(1), entry)
        assert ledger.outcomes.count_once(key(1))
        ledger.drop_daemon(key(1).daemon, now=2.0)
        assert ledger.outcomes.probe is None
        assert not ledger.outcomes.is_probe(key(1))
        assert ledger.outcomes.count_once(key(1))

    def test_failure_counts_once(self, counts):
        """A late request was counted again when its deadline had passed."""
        assert counts.count_once(key(1))
        assert not counts.count_once(key(1))
        assert counts.end(key(1))
        assert not counts.end(key(1))
