"""Admission through owners, in the order of the chat's ranking."""

import gevent
import msgspec
import pytest

from tests.topazlug import fleet_fakes
from tests.topazlug import routing_fixtures as fixtures
from topazlug import _clock
from topazlug import _errors
from topazlug import _ids
from topazlug._generated import messages
from topazlug._generated import settings
from topazlug.routing import _ownership
from topazlug.routing import _ranking
from topazlug.targets import _target_report

NAMES = ("d1", "d2", "d3")
BACKOFF = _target_report.TargetReport(backoff=3.0)
LEAVING = _target_report.TargetReport(leaving=True)


def some_targets(count=6, **options):
    return [fixtures.target(f"r{n}", **options) for n in range(count)]


def chat(number):
    return _ranking.chat_hash("chat", str(number))


def admit(entry, number, **changes):
    request = fixtures.placement_request(chat=chat(number), **changes)
    return entry.admission.admit(request)


def chat_owned_by(entry, owner):
    """Return the number of a chat whose home has the given owner."""
    replicas = list(entry.targets.target_by_replica)
    for number in range(1000):
        home = _ids.ReplicaId(_ranking.first(replicas, chat(number)))
        if entry.ownership.owner_of(home) == owner:
            return number
    raise LookupError(owner)


def chat_with_owners(entry, *, home, second):
    """Return a chat's number and its home.

    The first two replicas of its ranking have the given owners.
    """
    replicas = list(entry.targets.target_by_replica)
    for number in range(1000):
        ranked = _ranking.rank(replicas, chat(number), count=2)
        owners = [entry.ownership.owner_of(one) for one in ranked]
        if owners == [home, second]:
            return number, ranked[0]
    raise LookupError((home, second))


@pytest.fixture
def fleet():
    return fleet_fakes.FakeFleet(*NAMES, targets=some_targets(), bound=10.0)


class TestAdmit:
    def test_all_daemons_choose_the_same_home(self, fleet):
        for number in range(20):
            placements = [
                admit(entry, number) for entry in fleet.entry_by_name.values()
            ]
            assert (
                len({placement.target.replica for placement in placements})
                == 1
            )
            assert all(placement.home for placement in placements)
            assert fleet.owned_load() == 3
            for entry, placement in zip(
                fleet.entry_by_name.values(), placements
            ):
                entry.admission.release(placement)

    def test_second_release_does_nothing(self, fleet):
        entry = fleet.entry_by_name["d1"]
        first, _ = admit(entry, 1), admit(entry, 2)
        for _ in range(2):
            entry.admission.release(first)
        assert fleet.owned_load() == 1

    def test_excluded_replica_is_not_chosen(self, fleet):
        entry = fleet.entry_by_name["d1"]
        home = admit(entry, 1).target.replica
        other = admit(entry, 1, excluded=frozenset({home}))
        assert other.target.replica != home

    def test_no_usable_replica(self, fleet):
        with pytest.raises(_errors.NoTarget) as caught:
            admit(fleet.entry_by_name["d1"], 1, group="none")
        assert caught.value.outcome is _errors.Outcome.NOT_RUN

    def test_bound_applies_while_all_requests_are_for_one_chat(self):
        """One replica must not be overloaded while others are idle.

        All requests are for one chat, which has a single home. Above the
        bound, the next replica of its ranking must be used.
        """
        fleet = fleet_fakes.FakeFleet("d1", targets=some_targets(4))
        entry = fleet.entry_by_name["d1"]
        rules = {"pools": [{"name": "pool", "model": "m", "bound": 1.25}]}
        holder = fixtures.table_holder(rules)
        entry.owner._rules._configuration = holder
        fleet.clock.advance(5)
        for _ in range(40):
            admit(entry, 1)
        loads = [
            ledger.load for ledger in entry.owner.ledger_by_replica.values()
        ]
        assert sum(loads) == 40
        assert max(loads) <= 13  # ceil(1.25 * 40 / 4)


class TestUnresponsiveOwner:
    """Requests must not wait long for an owner that does not reply.

    The owner is frozen: its connections stay open, and it accepts bytes but
    never replies.
    """

    def test_next_replica_is_used_after_one_timeout(self, fleet):
        entry = fleet.entry_by_name["d1"]
        number = chat_owned_by(entry, "d2")
        fleet.unresponsive.add("d2")
        placement = admit(entry, number)
        assert placement.owner != "d2"
        assert fleet.clock.seconds == pytest.approx(0.1)
        fleet.clock.advance(0.05)
        admit(entry, number)
        assert fleet.clock.seconds == pytest.approx(0.15)

    def test_owner_is_skipped_for_longer_each_time(self, fleet):
        """One slow reply must not move chats off their context for 1 s."""
        entry = fleet.entry_by_name["d1"]
        number = chat_owned_by(entry, "d2")
        fleet.unresponsive.add("d2")
        for skipped_for in (0.1, 0.2, 0.4, 0.8, 1.0, 1.0):
            before = fleet.clock.seconds
            admit(entry, number)
            assert fleet.clock.seconds == pytest.approx(before + 0.1)
            fleet.clock.advance(skipped_for - 0.01)
            admit(entry, number)
            assert fleet.clock.seconds == pytest.approx(
                before + 0.09 + skipped_for
            )
            fleet.clock.advance(0.02)

    def test_owner_gets_requests_again_after_a_second(self, fleet):
        entry = fleet.entry_by_name["d1"]
        number = chat_owned_by(entry, "d2")
        fleet.unresponsive.add("d2")
        admit(entry, number)
        fleet.unresponsive.clear()
        fleet.clock.advance(1.01)
        assert admit(entry, number).owner == "d2"

    def test_without_owners_the_entry_daemon_uses_only_its_share(self):
        fleet = fleet_fakes.FakeFleet(
            "d1",
            "d2",
            "d3",
            targets=some_targets(2, slots=6),
            owners=NAMES[1:],
        )
        fleet.unresponsive.update(NAMES[1:])
        entry = fleet.entry_by_name["d1"]
        placements = [admit(entry, 1) for _ in range(6)]
        assert {placement.owner for placement in placements} == {None}
        held = [placement.target.replica for placement in placements]
        assert sorted(held) == ["r0"] * 3 + ["r1"] * 3
        with pytest.raises(_errors.Overloaded) as caught:
            admit(entry, 1)
        assert caught.value.outcome is _errors.Outcome.NOT_RUN
        assert caught.value.retry_after

    def test_placements_without_an_owner_are_counted_at_renewal(self):
        fleet = fleet_fakes.FakeFleet(
            "d1", "d2", targets=some_targets(2), owners=["d2"]
        )
        fleet.unresponsive.add("d2")
        entry = fleet.entry_by_name["d1"]
        admit(entry, 1)
        fleet.unresponsive.clear()
        entry.admission.held_placements.renew()
        assert fleet.owned_load() == 1


class TestOwnerOfFullReplicaChanges:
    """A replica was full, and its owner can't be asked any more.

    For a quarter of a second no owner is asked about a full replica. All
    searches chose its queue, each ended at once, and the caller got a 503.
    """

    @pytest.fixture
    def fleet(self):
        """Return daemons of which d1 has recorded a replica as full."""
        fleet = fleet_fakes.FakeFleet(
            "d1", "d2", targets=some_targets(2, slots=1), owners=["d2"]
        )
        fleet.clock.advance(5)
        entry = fleet.entry_by_name["d1"]
        placements = [admit(entry, 1) for _ in range(2)]
        with pytest.raises(_errors.DeadlineExceeded):
            admit(entry, 1, deadline=fleet.clock.seconds + 0.05)
        for placement in placements:
            entry.admission.release(placement)
        return fleet

    def test_owner_has_changed(self, fleet):
        """Daemons disagree on owners just after a network partition."""
        owner = fleet.entry_by_name["d2"]
        owner.ownership.update(
            daemons=["d3"], replicas=owner.targets.target_by_replica
        )
        assert admit(fleet.entry_by_name["d1"], 1).owner is None

    def test_connection_to_the_owner_fails_at_once(self, fleet, monkeypatch):
        def call(links, to, message, *, timeout):
            raise _errors.PeerUnreachable(to)

        monkeypatch.setattr(fleet_fakes._FleetLinks, "call", call)
        assert admit(fleet.entry_by_name["d1"], 1).owner is None


class TestDisplaced:
    def test_returning_chat_is_sent_to_where_it_was_displaced(self):
        """A chat must not lose its context when its home is free again.

        Its home was full once, and another replica admitted it. The next
        turn must go to that replica, not to the home by its hash.
        """
        fleet = fleet_fakes.FakeFleet(*NAMES, targets=some_targets(slots=1))
        fleet.clock.advance(5)
        entry = fleet.entry_by_name["d1"]
        blocking = admit(entry, 1)
        moved = admit(entry, 1)
        displaced_to = moved.target.replica
        assert not moved.home
        for placement in (blocking, moved):
            entry.admission.release(placement)
        next_turn = admit(fleet.entry_by_name["d2"], 1)
        assert next_turn.target.replica == displaced_to
        assert not next_turn.home

    def test_replica_that_it_was_displaced_to_is_leaving(self):
        fleet = fleet_fakes.FakeFleet(*NAMES, targets=some_targets(slots=1))
        fleet.clock.advance(5)
        entry = fleet.entry_by_name["d1"]
        blocking, moved = admit(entry, 1), admit(entry, 1)
        for placement in (blocking, moved):
            entry.admission.release(placement)
        for other in fleet.entry_by_name.values():
            other.targets.apply_fact(
                messages.Fact(
                    subject=moved.target.replica,
                    kind=messages.FactKind.target,
                    state=messages.FactState.leaving,
                    incarnation=1,
                    sequence=1,
                )
            )
        assert admit(entry, 1).home


class TestBackoff:
    def test_next_replica_of_the_ranking_is_used(self, fleet):
        entry = fleet.entry_by_name["d1"]
        home = admit(entry, 1).target
        entry.targets.handle_report(home, BACKOFF)
        assert admit(entry, 1).target.replica != home.replica

    def test_backoff_of_one_daemon_does_not_affect_others(self, fleet):
        """The owner's own backoff must not block the replica for all."""
        entry = fleet.entry_by_name["d1"]
        number = chat_owned_by(entry, "d2")
        home = admit(entry, number).target
        fleet.entry_by_name["d2"].targets.handle_report(home, BACKOFF)
        placement = admit(entry, number)
        assert (placement.target, placement.owner) == (home, "d2")

    def test_replicas_in_backoff_count_for_the_mean(self, fleet):
        owner = fleet.entry_by_name["d2"]
        before = owner.owner.group_limits.total(fixtures.POOL).replicas
        owner.targets.handle_report(fixtures.target("r1"), BACKOFF)
        assert owner.owner.group_limits.total(fixtures.POOL).replicas == before

    def test_backoff_of_several_daemons_applies_to_all(self, fleet):
        """Otherwise each daemon has a request rejected before it backs off."""
        d1, d2, d3 = fleet.entry_by_name.values()
        home = admit(d1, 1).target
        for entry in (d1, d2):
            entry.targets.on_report(entry.admission.report_backoff)
            entry.targets.handle_report(home, BACKOFF)
        assert admit(d3, 1).target.replica != home.replica
        assert not d3.targets.is_usable(home.replica)
        fleet.clock.advance(3.0)
        assert d3.targets.is_usable(home.replica)

    def test_backoff_of_an_earlier_incarnation_is_not_shared(self, fleet):
        d1, d2, d3 = fleet.entry_by_name.values()
        home = admit(d1, 1).target
        restarted = msgspec.structs.replace(home, incarnation=2)
        for entry in fleet.entry_by_name.values():
            listed = entry.targets.target_by_replica.values()
            entry.targets.set_list(
                [restarted if target == home else target for target in listed]
            )
            entry.owner.reset_restarted_replicas()
        for entry in (d1, d2):
            entry.targets.on_report(entry.admission.report_backoff)
            entry.targets.handle_report(home, BACKOFF)
        assert admit(d3, 1).target == restarted

    def test_all_in_backoff(self, fleet):
        entry = fleet.entry_by_name["d1"]
        for target in list(entry.targets.target_by_replica.values()):
            entry.targets.handle_report(target, BACKOFF)
        with pytest.raises(_errors.Overloaded) as caught:
            admit(entry, 1)
        assert caught.value.retry_after == pytest.approx(3.0)

    @pytest.mark.parametrize("status", [BACKOFF, LEAVING])
    def test_placement_granted_too_late_is_released(self, status):
        """A granted request must not be sent to a replica that is unusable.

        While the request is queued, the replica's response to another request
        of the same daemon asks for a backoff, or reports that the replica is
        leaving.
        """
        fleet = fleet_fakes.FakeFleet("d1", targets=some_targets(1, slots=1))
        fleet.clock.advance(5)
        entry = fleet.entry_by_name["d1"]
        blocking = admit(entry, 1)
        waiting = gevent.spawn(admit_or_error, entry, 1)
        fixtures.wait_until(entry.owner.queued_count)
        entry.targets.handle_report(blocking.target, status)
        entry.admission.release(blocking)
        assert isinstance(waiting.get(timeout=10), _errors.RequestError)
        assert fleet.owned_load() == 0


def admit_or_error(entry, number):
    """Return the error of a request, or its placement."""
    try:
        return admit(entry, number)
    except _errors.RequestError as error:
        return error


class TestRenew:
    def test_corrects_a_lost_release(self, fleet):
        """An idle replica must not reject all requests.

        The connection to the owner breaks and a release is lost, so the
        placement stays counted until the next renewal.
        """
        entry = fleet.entry_by_name["d1"]
        placement = admit(entry, chat_owned_by(entry, "d2"))
        entry.admission.held_placements.renew()
        fleet.dropped_types.add(messages.Release)
        entry.admission.release(placement)
        assert fleet.owned_load() == 1
        entry.admission.held_placements.renew()
        fixtures.wait_until(lambda: fleet.owned_load() == 0)

    def test_corrects_a_lost_reply(self, fleet):
        """A replica must not count as loaded forever after a disconnection.

        A request is granted, but the reply and the release that follows are
        lost with the connection, which recovers before a daemon is declared
        dead. The entry daemon holds nothing with that owner, and must renew
        with it nevertheless.
        """
        entry = fleet.entry_by_name["d1"]
        number = chat_owned_by(entry, "d2")
        placement = admit(entry, number)
        fleet.dropped_types.add(messages.Release)
        entry.admission.release(placement)
        fleet.unresponsive.add("d2")
        entry.admission.held_placements.renew()
        assert fleet.owned_load() == 1
        fleet.unresponsive.clear()
        entry.admission.held_placements.renew()
        fixtures.wait_until(lambda: fleet.owned_load() == 0)
        assert entry.admission.held_placements.renew() == 0

    def test_renews_with_a_new_owner(self, fleet):
        entry = fleet.entry_by_name["d1"]
        number = chat_owned_by(entry, "d2")
        admit(entry, number)
        for other in fleet.entry_by_name.values():
            other.ownership.update(
                daemons=["d1", "d3"],
                replicas=other.targets.target_by_replica,
            )
        entry.admission.held_placements.renew()
        assert fleet.owned_load() == 1
        assert not fleet.entry_by_name["d2"].owner.ledger_by_replica

    def test_placements_of_a_dead_daemon_are_released(self, fleet):
        admit(fleet.entry_by_name["d1"], 1)
        admit(fleet.entry_by_name["d2"], 2)
        for entry in fleet.entry_by_name.values():
            entry.owner.drop_daemon(_ids.DaemonId("d1"))
        assert fleet.owned_load() == 1


class TestReturnWhileHomeIsDown:
    """A chat must not move repeatedly while its home is intermittently down.

    The home is dead. Its owner has been notified, the entry daemon has not.
    The chat's last turn ran on the second replica of its ranking, whose owner
    has not received the release. At low load that turn alone reaches the
    bound, so the next turn must be exempt there, as it is at a home.
    """

    def test_chat_stays_at_the_second_replica(self, fleet_of_low_bound):
        fleet = fleet_of_low_bound
        entry, owner = (fleet.entry_by_name[name] for name in ("d1", "d2"))
        number, home = chat_with_owners(entry, home="d2", second="d3")
        owner.targets.apply_fact(fixtures.dead_fact(home))
        idle = messages.LoadSummary(
            group=fixtures.POOL, total=0, replicas=6, interval=0.05
        )
        fleet.entry_by_name["d3"].owner.apply_summary(
            idle, messages.LoadReport(group=fixtures.POOL, loads=[])
        )
        fleet.dropped_types.add(messages.Release)
        first = admit(entry, number)
        entry.admission.release(first)
        assert first.target.replica != home
        assert admit(entry, number).target.replica == first.target.replica

    @pytest.fixture
    def fleet_of_low_bound(self):
        pool = {"name": fixtures.POOL, "model": "m", "bound": 1.5}
        return fleet_fakes.FakeFleet(
            *NAMES, targets=some_targets(), rows={"pools": [pool]}
        )


class TestQueue:
    """The queue of one replica with one slot; runs in real time."""

    @pytest.fixture
    def entry(self):
        made = fixtures.Entry(
            "d1",
            targets=some_targets(1, slots=1),
            daemons=["d1"],
            clock=_clock.SystemClock(),
            links=fixtures.NoLinks(),
            routing=settings.RoutingSettings(
                queue_per_replica=2, owner_timeout=0.05
            ),
        )
        admit(made, 0, deadline=made.admission._clock.monotonic() + 100)
        return made

    @staticmethod
    def admit_in_background(entry, number, seconds=100.0, **changes):
        deadline = entry.admission._clock.monotonic() + seconds
        return gevent.spawn(admit, entry, number, deadline=deadline, **changes)

    @staticmethod
    def queue_length(entry):
        (ledger,) = entry.owner.ledger_by_replica.values()
        return len(ledger.queued_by_key)

    @staticmethod
    def release_held(entry):
        (placement,) = (
            entry.admission.held_placements.placement_by_ask.values()
        )
        entry.admission.release(placement)

    def test_released_slot_is_granted_in_order(self, entry):
        tasks = [self.admit_in_background(entry, number) for number in (1, 2)]
        fixtures.wait_until(lambda: self.queue_length(entry) == 2)
        for task in tasks:
            self.release_held(entry)
            assert task.get(timeout=20).target.replica == "r0"

    def test_queue_is_bounded(self, entry):
        tasks = [self.admit_in_background(entry, number) for number in (1, 2)]
        fixtures.wait_until(lambda: self.queue_length(entry) == 2)
        excess = self.admit_in_background(entry, 3)
        with pytest.raises(_errors.Overloaded) as caught:
            excess.get(timeout=20)
        assert caught.value.outcome is _errors.Outcome.NOT_RUN
        assert caught.value.retry_after
        assert not any(task.ready() for task in tasks)

    def test_deadline_in_the_queue(self, entry):
        """The deadline must not cause a status 500 from the HTTP library.

        The request waits until its deadline in the queue of a replica that
        the same daemon owns. The timeout of that wait must be converted to
        an error of topazlug.
        """
        with pytest.raises(_errors.RequestError) as caught:
            self.admit_in_background(entry, 1, seconds=0.02).get(timeout=20)
        assert caught.value.outcome is _errors.Outcome.NOT_RUN
        assert not self.queue_length(entry)

    def test_caller_disconnects_while_queued(self, entry):
        """Slots must not leak when a caller disconnects while queued.

        If its request stayed in the queue, it would be granted a slot that
        is never released.
        """
        task = self.admit_in_background(entry, 1)
        fixtures.wait_until(lambda: self.queue_length(entry) == 1)
        task.kill()
        assert not self.queue_length(entry)

    def test_queued_requests_of_a_lost_replica_are_placed_again(self, entry):
        """Requests must not be rejected as overloaded while slots are free.

        Requests are queued at a replica's owner when the replica gets a new
        owner. The old owner must not reject them as if the replica were
        full.
        """
        task = self.admit_in_background(entry, 1)
        fixtures.wait_until(lambda: self.queue_length(entry) == 1)
        entry.owner.apply_transfers(
            [_ownership.Transfer(_ids.ReplicaId("r0"), entry.daemon, None)]
        )
        placement = task.get(timeout=20)
        assert (
            placement.ask in entry.admission.held_placements.placement_by_ask
        )

    def test_requests_of_a_dropped_daemon_are_placed_again(self, entry):
        """Requests must not wait without end after a network partition.

        The owner drops the daemon whose request it has queued, as it still
        assumes that this daemon is dead.
        """
        task = self.admit_in_background(entry, 1)
        fixtures.wait_until(lambda: self.queue_length(entry) == 1)
        entry.owner.drop_daemon(entry.daemon)
        assert task.get(timeout=20).target.replica == "r0"


class TestOverload:
    def test_owners_of_full_replicas_get_no_further_requests_at_once(self):
        """Control traffic must not grow with overload.

        All slots are taken and requests keep arriving. When each of them was
        sent to each owner and rejected, control traffic grew to 92 KB/s.
        """
        fleet = fleet_fakes.FakeFleet(
            "d1", "d2", targets=some_targets(4, slots=1), owners=["d2"]
        )
        entry = fleet.entry_by_name["d1"]
        fleet.clock.advance(5)
        for _ in range(4):
            admit(entry, 1)
        counts = fleet.entry_by_name["d2"].owner.count_by_verdict
        before = counts[messages.Verdict.full]
        fleet.clock.advance(1)
        for rejections in (4, 5):
            with pytest.raises(_errors.DeadlineExceeded):
                admit(entry, 1, deadline=fleet.clock.seconds + 0.05)
            assert counts[messages.Verdict.full] - before == rejections
