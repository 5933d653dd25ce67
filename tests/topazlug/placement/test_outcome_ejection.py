"""Replicas that their owners eject, as entry daemons see it."""

import pytest

from tests.topazlug.forwarding import forwarding_fixtures as fixtures
from tests.topazlug.placement import owner_fixtures
from topazlug import _errors
from topazlug import _ids
from topazlug._generated import messages
from topazlug.capacity import _outcome_counts
from topazlug.placement import _mechanisms
from topazlug.placement import _outcome_reporting
from topazlug.routing import _outcome_ejection
from topazlug.routing import _owner_features
from topazlug.routing import _placement
from topazlug.routing import _ranking

REPLICAS = tuple(_ids.ReplicaId(f"i-{n}") for n in range(6))
BAD = REPLICAS[0]
SHORT = _owner_features.OwnerFeatures(
    shared_outcomes=True, is_capacity_short=True
)


class Rig:
    """Daemons that send requests of chats whose home is a given replica."""

    def __init__(self, *, features=SHORT, daemons=4, replicas=REPLICAS):
        self.replicas = replicas
        self.fleet = owner_fixtures.Fleet(
            *(f"d{n}" for n in range(daemons)),
            replicas=replicas,
            features=features,
        )
        self.daemons = list(self.fleet.daemons)
        self.sent = 0

    def chat(self, replica=BAD):
        number = self.sent * 1000
        while True:
            number += 1
            chat = _ids.ChatHash(_ranking.chat_hash("chat", str(number)))
            if _ranking.first(self.replicas, chat) == replica:
                return chat

    def admit(self, replica=BAD, *, daemon=None, **changes):
        """Place a request; return its daemon and its placement."""
        self.sent += 1
        if daemon is None:
            daemon = self.daemons[self.sent % len(self.daemons)]
        return daemon, daemon.admit(self.chat(replica), rank=1, **changes)

    def send(self, replica=BAD, *, failed=False, **changes):
        """Send a request to its end; return the replica that it ran on."""
        daemon, placement = self.admit(replica, **changes)
        placement.failed = failed
        daemon.admission.release(placement)
        self.fleet.clock.advance(0.05)
        return placement.target.replica

    def fail(self, count=3, replica=BAD, **changes):
        for _ in range(count):
            self.send(replica, failed=True, **changes)
        self.fleet.report()
        self.fleet.report()

    @property
    def owner(self):
        """Return the daemon that owns the failing replica."""
        return self.owner_of(BAD)

    def owner_of(self, replica):
        """Return the daemon that owns a replica."""
        return self.fleet.daemon_by_name[
            self.daemons[0].owners.owner_of(replica)
        ]

    @property
    def outcomes(self):
        return self.owner.owners.ledger_of(BAD).outcomes

    def is_ejected(self, replica=BAD):
        ledger = self.owner_of(replica).owners.ledger_of(replica)
        return ledger.outcomes.is_limited

    def warm_up(self):
        """Let owners learn that the other replicas serve their requests."""
        for _ in range(8):
            for replica in self.replicas:
                self.send(replica)
        self.fleet.report()
        self.fleet.report()


@pytest.fixture
def rig():
    made = Rig()
    made.warm_up()
    return made


class TestEjection:
    def test_failures_seen_by_different_daemons_count_together(self, rig):
        """No daemon saw three failures, so a replica failed for seconds."""
        rig.fail(5)
        assert rig.is_ejected()

    def test_next_replica_is_found_at_once(self, rig):
        """A request to an ejected replica has to run elsewhere."""
        rig.fail(5)
        before = rig.fleet.clock.monotonic()
        _, placement = rig.admit()
        assert placement.target.replica != BAD
        assert rig.fleet.clock.monotonic() == before

    def test_entry_daemon_does_not_ask_again(self, rig):
        """Each request would cost a message to the owner otherwise."""
        rig.fail(5)
        daemon = rig.daemons[0]
        rig.send(daemon=daemon)
        rig.fleet.sent.clear()
        rig.send(daemon=daemon)
        asked = [
            message.replica
            for message in rig.fleet.sent
            if isinstance(message, messages.AdmitAsk)
        ]
        assert BAD not in asked

    def test_rejections_are_not_failures(self, rig):
        for _ in range(6):
            rig.send()
        rig.fleet.report()
        assert not rig.is_ejected()

    def test_probation_admits_one_request_at_a_time(self, rig):
        """All waiting daemons returned to a replica that still failed."""
        rig.fail(5)
        rig.fleet.clock.advance(1.01)
        daemon, probe = rig.admit()
        _, other = rig.admit()
        assert probe.target.replica == BAD
        assert other.target.replica != BAD
        probe.failed = True
        daemon.admission.release(probe)
        assert rig.outcomes.remaining(now=rig.fleet.clock.monotonic()) > 1.9

    def test_two_successes_end_the_probation(self, rig):
        rig.fail(5)
        rig.fleet.clock.advance(1.01)
        assert [rig.send(), rig.send()] == [BAD, BAD]
        assert not rig.is_ejected()

    def test_lost_probe_does_not_block_the_next(self, rig):
        """The daemon that sent the probe may have lost power."""
        rig.fail(5)
        rig.fleet.clock.advance(1.01)
        sender, probe = rig.admit()
        rig.outcomes.probe = probe.ask, "nobody"
        _, other = rig.admit()
        assert other.target.replica == BAD

    def test_end_of_an_earlier_request_does_not_count(self, rig):
        """Requests admitted before the ejection ended on probation."""
        daemon, early = rig.admit()
        rig.fail(5)
        rig.fleet.clock.advance(1.01)
        early.failed = True
        daemon.admission.release(early)
        assert rig.outcomes.remaining(now=rig.fleet.clock.monotonic()) == 0.0

    def test_long_probe_blocks_for_a_second(self, rig):
        """A stream of a minute kept a replica without requests."""
        rig.fail(5)
        rig.fleet.clock.advance(1.01)
        sender, probe = rig.admit()
        rig.fleet.clock.advance(0.9)
        _, other = rig.admit()
        assert other.target.replica != BAD
        rig.fleet.clock.advance(0.2)
        _, following = rig.admit()
        assert following.target.replica == BAD
        probe.failed = True
        sender.admission.release(probe)
        assert rig.outcomes.remaining(now=rig.fleet.clock.monotonic()) > 1.9

    def test_both_of_two_probes_count(self, rig):
        rig.fail(5)
        rig.fleet.clock.advance(1.01)
        held = [rig.admit()]
        rig.fleet.clock.advance(1.01)
        held.append(rig.admit())
        for sender, probe in held:
            assert probe.target.replica == BAD
            sender.admission.release(probe)
        assert not rig.is_ejected()

    def test_unknown_outcomes_do_not_end_the_probation(self, rig):
        """Requests that did not run returned a replica that still failed."""
        rig.fail(5)
        rig.fleet.clock.advance(1.01)
        for _ in range(3):
            sender, probe = rig.admit()
            assert probe.target.replica == BAD
            probe.is_outcome_unknown = True
            sender.admission.release(probe)
            assert rig.outcomes.probe is None
        assert rig.is_ejected()
        assert rig.owner.owners.ledger_of(BAD).load == 0


class TestProbationWhereAllFailSome:
    """Healthy replicas of some services fail 14% of their reads."""

    @pytest.fixture
    def on_probation(self, rig, monkeypatch):
        rig.fail(5)
        rig.fleet.clock.advance(1.01)
        rest = _outcome_counts.OutcomeTotals(14, 100)
        monkeypatch.setattr(
            rig.owner.owners.ejections, "_rest", lambda ledger: rest
        )
        return rig

    def report(self, rig, *, failed, ended):
        """Send the outcomes of requests that no owner admitted."""
        ejections = rig.owner.owners.ejections
        ledger = rig.owner.owners.ledger_of(BAD)
        message = messages.Outcomes(
            replica=BAD,
            incarnation=ledger.incarnation,
            failed=failed,
            ended=ended,
        )
        ejections.record_outcomes(ledger, _ids.DaemonId("d1"), message)

    def test_one_failure_may_be_chance(self, on_probation):
        """A quarter of the returns of healthy replicas ended at once."""
        on_probation.send(failed=True)
        on_probation.fleet.clock.advance(0.5)
        on_probation.send()
        on_probation.send()
        assert not on_probation.is_ejected()

    def test_two_failures_eject_again(self, on_probation):
        on_probation.send(failed=True)
        on_probation.send(failed=True)
        assert on_probation.outcomes.remaining(
            now=on_probation.fleet.clock.monotonic()
        )

    def test_outcomes_of_several_requests(self, on_probation):
        """Messages are sent when a request fails, so most contain one.

        A healthy replica was ejected again by each of them.
        """
        for _ in range(2):
            self.report(on_probation, failed=1, ended=7)
        assert not on_probation.is_ejected()

    def test_outcomes_that_are_mostly_failures(self, on_probation):
        for _ in range(2):
            self.report(on_probation, failed=2, ended=3)
        assert on_probation.outcomes.remaining(
            now=on_probation.fleet.clock.monotonic()
        )


class TestUnknownOutcomes:
    def test_count_as_neither(self, rig):
        """Requests whose callers left diluted the failures."""
        now = rig.fleet.clock.monotonic()
        before = rig.outcomes.totals(now=now)
        for daemon in rig.daemons:
            _, placement = rig.admit(daemon=daemon)
            placement.is_outcome_unknown = True
            daemon.admission.release(placement)
        assert rig.outcomes.totals(now=now) == before
        assert rig.owner.owners.ledger_of(BAD).load == 0

    def test_grant_that_came_too_late(self, rig):
        """A slot released after the owner's timeout counted as a success."""
        daemon = next(d for d in rig.daemons if d is not rig.owner)
        _, placement = rig.admit(daemon=daemon)
        now = rig.fleet.clock.monotonic()
        before = rig.outcomes.totals(now=now)
        daemon.owners.owner_client._skip_owner(
            placement.owner, placement.ask, BAD, since=now, waited=True
        )
        assert rig.outcomes.totals(now=now) == before
        assert rig.owner.owners.ledger_of(BAD).load == 0

    def test_plain_services(self, rig):
        daemon = rig.daemons[0]
        _, placement = rig.admit(daemon=daemon, keeps_context=False)
        rig.fleet.sent.clear()
        placement.is_outcome_unknown = True
        daemon.admission.release(placement)
        rig.fleet.clock.advance(2.0)
        daemon.owners.outcome_reports.send_due()
        assert not any(
            isinstance(message, messages.Outcomes)
            for message in rig.fleet.sent
        )


class TestRepeatedRequest:
    def test_one_chat_ejects_nothing(self, rig):
        """A failing request ejected the replicas that it was sent to."""
        chat = rig.chat()
        for daemon in rig.daemons * 3:
            placement = daemon.admit(chat, rank=1)
            placement.failed = True
            daemon.admission.release(placement)
            rig.fleet.clock.advance(0.05)
        rig.fleet.report()
        rig.fleet.report()
        assert not rig.is_ejected()
        rig.fail(2)
        assert rig.is_ejected()


class TestLastReplicas:
    def test_only_replica_is_never_ejected(self):
        rig = Rig(replicas=REPLICAS[:1])
        rig.fail(9)
        assert not rig.is_ejected()
        assert rig.send() == BAD

    def test_at_most_a_third_is_ejected(self, rig):
        """The others must take the load of those that are ejected."""
        for replica in REPLICAS[:4]:
            rig.fail(6, replica)
        assert sum(map(rig.is_ejected, REPLICAS)) <= 2

    def test_reports_while_no_more_may_be_ejected(self, rig, monkeypatch):
        """Each failure asked for a report and wrote a line to the log."""
        ejections = rig.owner.owners.ejections
        monkeypatch.setattr(
            ejections, "_ejected_and_limit", lambda group: (2, 2)
        )
        awaited, lines = [], []
        monkeypatch.setattr(ejections, "_awaits_summary", awaited.append)
        monkeypatch.setattr(
            _outcome_ejection._log,
            "info",
            lambda message, **fields: lines.append(message),
        )
        for _ in range(10):
            rig.send(failed=True)
        assert not awaited
        assert len(lines) == 1

    def test_awaited_report_is_not_sent_too_often(self, rig):
        ejections = rig.owner.owners.ejections
        limits = ejections._group_limits
        known = limits.outcomes_of(fixtures.GROUP)
        now = rig.fleet.clock.monotonic()
        known.received_at = known.reported_at = now
        known.interval = 1.2
        ledger = rig.owner.owners.ledger_of(BAD)
        estimate = limits._estimate_of(fixtures.GROUP)
        estimate.next_report = now + 1.2
        assert ejections._awaits_summary(ledger)
        assert estimate.next_report == pytest.approx(now + 0.4)

    def test_excess_of_simultaneous_ejections_is_revoked(self, rig):
        """Owners that eject at the same moment do not know of each other."""
        now = rig.fleet.clock.monotonic()
        for replica in REPLICAS:
            name = rig.fleet.owner_of(replica)
            ledger = rig.fleet.daemon_by_name[name].owners.ledger_of(replica)
            for _ in range(3):
                ledger.outcomes.eject(now=now)
        for _ in range(4):
            rig.fleet.report()
        assert 0 < sum(map(rig.is_ejected, REPLICAS)) < len(REPLICAS)

    def test_ejected_replica_gets_what_no_other_can_take(self, rig):
        """A retry failed although the ejected replica might have run it."""
        rig.fail(5)
        excluded = frozenset(REPLICAS[1:])
        _, placement = rig.admit(excluded=excluded)
        assert placement.target.replica == BAD
        daemon, placement = rig.admit(excluded=excluded)
        assert placement.target.replica == BAD

    def test_retry_elsewhere_goes_on_while_one_is_ejected(self, rig):
        rig.fail(5)
        _, placement = rig.admit(excluded=frozenset({REPLICAS[1]}))
        assert placement.target.replica not in REPLICAS[:2]


class TestWhereItApplies:
    def test_capacity_is_not_short(self):
        features = _owner_features.OwnerFeatures(shared_outcomes=True)
        rig = Rig(features=features)
        rig.fail(9)
        assert not rig.is_ejected()

    def test_replica_that_reports_its_slowness(self):
        features = _owner_features.OwnerFeatures(shared_outcomes=True)
        rig = Rig(features=features)
        rig.owner.owners.owner_client.report_response_head(
            BAD, messages.EngineWord(replica=BAD, running=0, waiting=0)
        )
        for daemon in rig.daemons:
            _, placement = rig.admit(daemon=daemon)
            daemon.admission.handle_response_head(
                placement, _placement.AnswerHead(seconds=0.1, slowness=1.0)
            )
            daemon.admission.release(placement)
        rig.fail(9)
        assert rig.is_ejected()

    def test_messages_are_unchanged_where_it_does_not_apply(self):
        """Releases and late requests were marked in all deployments."""
        features = _owner_features.OwnerFeatures(shared_outcomes=True)
        rig = Rig(features=features)
        daemon = next(d for d in rig.daemons if d is not rig.owner)
        rig.fleet.sent.clear()
        _, late = rig.admit(daemon=daemon)
        assert not daemon.admission.outcome_reporting.report_late(late)
        late.failed = True
        daemon.admission.release(late)
        _, unknown = rig.admit(daemon=daemon)
        unknown.is_outcome_unknown = True
        daemon.admission.release(unknown)
        held = daemon.owners.owner_client.held_placements
        held.release_unused(unknown.owner, _ids.AdmissionRequestId(99), BAD)
        released = [
            message
            for message in rig.fleet.sent
            if isinstance(message, messages.Release)
        ]
        assert released == [
            messages.Release(asks=[late.ask]),
            messages.Release(asks=[unknown.ask]),
            messages.Release(asks=[99]),
        ]

    def test_mechanism_is_switched_off(self):
        features = _owner_features.OwnerFeatures(is_capacity_short=True)
        rig = Rig(features=features)
        rig.fail(9)
        assert not rig.is_ejected()

    def test_nothing_is_reported_where_it_is_switched_off(self):
        """`--without=shared-outcomes` left reports of failures on."""
        reporting = _outcome_reporting.OutcomeReporting(is_enabled=False)
        placement = _placement.Placement(
            target=fixtures.target("i-0"),
            ask=_ids.AdmissionRequestId(1),
            owner=None,
            request=None,
            home=True,
        )
        placement.failed = True
        reporting.report_late(placement)
        reporting.prepare_release(placement)
        assert not placement.failed
        assert not placement.is_failure_reported
        assert _mechanisms.Mechanism("shared-outcomes")


class TestReports:
    def test_late_request_counts_once(self, rig):
        """A request that hangs was counted again at its end."""
        daemon, placement = rig.admit()
        daemon.admission.outcome_reporting.report_late(placement)
        now = rig.fleet.clock.monotonic()
        before = rig.outcomes.totals(now=now)
        assert before.failed == 1
        assert rig.fleet.load_by_replica()[BAD] == 1
        placement.failed = True
        daemon.admission.release(placement)
        assert rig.outcomes.totals(now=now) == before

    def test_owner_that_is_the_entry_daemon_sends_no_message(self, rig):
        rig.fleet.sent.clear()
        daemon, placement = rig.admit(daemon=rig.owner)
        placement.failed = True
        daemon.admission.release(placement)
        assert rig.outcomes.totals(now=rig.fleet.clock.monotonic()).failed
        assert not rig.fleet.sent

    def test_requests_placed_without_an_owner(self, rig):
        """Plain services were ejected by no owner."""
        for daemon in rig.daemons * 6:
            _, placement = rig.admit(
                daemon=daemon,
                keeps_context=False,
                excluded=frozenset(REPLICAS[1:]),
            )
            placement.failed = True
            daemon.admission.release(placement)
            rig.fleet.clock.advance(0.05)
            daemon.owners.outcome_reports.send_due()
        rig.fleet.report()
        assert rig.is_ejected()
        target = rig.fleet.targets[0]
        notified = [
            daemon.targets.ejected.is_ejected(target) for daemon in rig.daemons
        ]
        assert all(notified)


class TestFailureTable:
    def test_new_owner_counts_from_zero(self, rig):
        """The owner is lost: three failures eject again."""
        rig.fail(2)
        lost = rig.fleet.owner_of(BAD)
        rig.fleet.unreachable.add(lost)
        rig.fleet.unresponsive.add(lost)
        rig.daemons = [d for d in rig.daemons if d is not rig.owner]
        names = {
            name: None for name in rig.fleet.daemon_by_name if name != lost
        }
        for daemon in rig.daemons:
            daemon.owners.update_daemons(names)
        assert rig.daemons[0].owners.owner_of(BAD) != lost
        rig.fleet.clock.advance(3.0)
        rig.warm_up()
        assert not rig.is_ejected()
        rig.fail(5)
        assert rig.is_ejected()

    def test_lost_reports_leave_the_own_view(self, rig):
        """Reports are lost: each daemon's own view still ejects."""
        daemon = next(d for d in rig.daemons if d is not rig.owner)
        for _ in range(3):
            daemon.views.of(BAD).record_outcome(failed=True)
        _, placement = rig.admit(daemon=daemon)
        assert placement.target.replica != BAD
        assert not rig.is_ejected()

    def test_collector_is_lost(self, rig):
        """No total comes: the owner decides by the replicas owned here."""
        rig.fleet.clock.advance(5.0)
        for _ in range(6):
            rig.send(failed=True)
        assert rig.is_ejected()

    def test_last_known_number_limits_without_a_collector(self, rig):
        ejections = rig.owner.owners.ejections
        known = ejections._group_limits.outcomes_of(fixtures.GROUP)
        known.ejected = 2
        rig.fleet.clock.advance(5.0)
        for _ in range(6):
            rig.send(failed=True)
        assert not rig.is_ejected()

    def test_daemon_at_fault_ejects_nothing(self, rig):
        """One daemon's link is broken: its requests fail everywhere."""
        broken = rig.daemons[0]
        for _ in range(8):
            rig.send(failed=True, daemon=broken)
            rig.send(daemon=rig.daemons[1])
        rig.fleet.report()
        assert not rig.is_ejected()

    def test_failures_of_an_ended_process_do_not_count(self, rig):
        """A request crashes a replica, which is then listed anew."""
        held = [rig.admit() for _ in range(6)]
        rig.fleet.targets[0] = owner_fixtures.restarted(rig.fleet.targets[0])
        for daemon in rig.daemons:
            daemon.targets.set_list(rig.fleet.targets)
        for daemon, placement in held:
            placement.failed = True
            daemon.admission.release(placement)
        rig.owner.owners.owner_client.report_outcomes(
            messages.Outcomes(replica=BAD, incarnation=1, failed=9, ended=9)
        )
        now = rig.fleet.clock.monotonic()
        assert rig.outcomes.totals(now=now) == (0, 0)

    def test_older_daemon_sends_no_failures(self, rig):
        """Requests of an older daemon count as ended only."""
        daemon = next(d for d in rig.daemons if d is not rig.owner)
        _, placement = rig.admit(daemon=daemon)
        now = rig.fleet.clock.monotonic()
        before = rig.outcomes.totals(now=now)
        daemon.owners.owner_client.held_placements.send(
            placement.owner, messages.Release(asks=[placement.ask])
        )
        after = rig.outcomes.totals(now=now)
        assert after == (before.failed, before.ended + 1)


class TestChance:
    def test_healthy_failures_are_likely(self):
        """A plain service fails 14% of its reads when healthy."""
        totals = _outcome_counts.OutcomeTotals
        rest = totals(136, 968)
        assert _outcome_ejection.chance_of(totals(7, 22), rest) > 0.01
        assert _outcome_ejection.chance_of(totals(16, 22), rest) < 1e-6

    def test_many_outcomes(self):
        """Services with thousands of requests overflowed a float."""
        totals = _outcome_counts.OutcomeTotals
        chance = _outcome_ejection.chance_of(
            totals(1500, 4000), totals(14000, 100000)
        )
        assert 0.0 <= chance < 1e-6

    def test_nothing_is_known_of_the_rest(self):
        """Healthy replicas were ejected before others had reported."""
        totals = _outcome_counts.OutcomeTotals
        assert _outcome_ejection.chance_of(totals(3, 10), totals()) > 0.01
        assert _outcome_ejection.chance_of(totals(6, 6), totals()) < 1e-6


class TestErrors:
    def test_full_group_is_rejected_as_without_ejections(self, rig):
        """An ejected replica took all that full replicas rejected."""
        rig.fail(5)
        held = []
        with pytest.raises(_errors.Overloaded):
            for _ in range(64 * len(REPLICAS)):
                held.append(rig.admit())
        assert all(p.target.replica != BAD for _, p in held)
