"""Places: found by asking owners, in the chat's rank, within bounds."""

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
from topazlug.targets import _target_word

NAMES = ("d1", "d2", "d3")
BACKOFF = _target_word.TargetWord(backoff=3.0)
LEAVES = _target_word.TargetWord(leaving=True)


def some_targets(count=6, **options):
    return [fixtures.target(f"r{n}", **options) for n in range(count)]


def chat(number):
    return _ranking.chat_hash("chat", str(number))


def admit(entry, number, **changes):
    request = fixtures.place_request(chat=chat(number), **changes)
    return entry.admission.admit(request)


def chat_owned_by(entry, owner):
    """Give a chat whose home a certain daemon owns."""
    replicas = list(entry.targets.target_by_replica)
    for number in range(1000):
        home = _ids.ReplicaId(_ranking.first(replicas, chat(number)))
        if entry.ownership.owner_of(home) == owner:
            return number
    raise LookupError(owner)


def chat_with_owners(entry, *, home, second):
    """Give a chat and its home, by the owners of the first of its rank."""
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
    def test_all_daemons_find_the_same_home(self, fleet):
        for number in range(20):
            places = [
                admit(entry, number) for entry in fleet.entry_by_name.values()
            ]
            assert len({place.target.replica for place in places}) == 1
            assert all(place.home for place in places)
            assert fleet.owned_load() == 3
            for entry, place in zip(fleet.entry_by_name.values(), places):
                entry.admission.release(place)

    def test_release_frees_once(self, fleet):
        entry = fleet.entry_by_name["d1"]
        first, _ = admit(entry, 1), admit(entry, 2)
        for _ in range(2):
            entry.admission.release(first)
        assert fleet.owned_load() == 1

    def test_excluded_replica_is_passed_over(self, fleet):
        entry = fleet.entry_by_name["d1"]
        home = admit(entry, 1).target.replica
        other = admit(entry, 1, excluded=frozenset({home}))
        assert other.target.replica != home

    def test_no_usable_replica(self, fleet):
        with pytest.raises(_errors.NoTarget) as caught:
            admit(fleet.entry_by_name["d1"], 1, group="none")
        assert caught.value.outcome is _errors.Outcome.NOT_RUN

    def test_bound_holds_while_one_chat_surges(self):
        """Symptom: one replica is swamped while others idle.

        Sequence: all calls come for one chat. Cause: its home is one
        replica; past the bound the next in rank must take it.
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


class TestSilentOwner:
    """Symptom: every caller whose home one daemon owns waits in vain.

    Sequence: the owner is frozen; connections to it stay open. Cause: it
    takes bytes and never answers.
    """

    def test_next_in_rank_after_one_timeout(self, fleet):
        entry = fleet.entry_by_name["d1"]
        number = chat_owned_by(entry, "d2")
        fleet.unresponsive.add("d2")
        place = admit(entry, number)
        assert place.owner != "d2"
        assert fleet.clock.seconds == pytest.approx(0.1)
        fleet.clock.advance(0.05)
        admit(entry, number)
        assert fleet.clock.seconds == pytest.approx(0.15)

    def test_is_passed_over_for_longer_each_time(self, fleet):
        """One slow answer must not cost a second of its chats' context."""
        entry = fleet.entry_by_name["d1"]
        number = chat_owned_by(entry, "d2")
        fleet.unresponsive.add("d2")
        for pause in (0.1, 0.2, 0.4, 0.8, 1.0, 1.0):
            before = fleet.clock.seconds
            admit(entry, number)
            assert fleet.clock.seconds == pytest.approx(before + 0.1)
            fleet.clock.advance(pause - 0.01)
            admit(entry, number)
            assert fleet.clock.seconds == pytest.approx(before + 0.09 + pause)
            fleet.clock.advance(0.02)

    def test_is_asked_again_after_a_second(self, fleet):
        entry = fleet.entry_by_name["d1"]
        number = chat_owned_by(entry, "d2")
        fleet.unresponsive.add("d2")
        admit(entry, number)
        fleet.unresponsive.clear()
        fleet.clock.advance(1.01)
        assert admit(entry, number).owner == "d2"

    def test_with_none_left_the_entry_keeps_to_its_share(self):
        fleet = fleet_fakes.FakeFleet(
            "d1",
            "d2",
            "d3",
            targets=some_targets(2, slots=6),
            owners=NAMES[1:],
        )
        fleet.unresponsive.update(NAMES[1:])
        entry = fleet.entry_by_name["d1"]
        places = [admit(entry, 1) for _ in range(6)]
        assert {place.owner for place in places} == {None}
        held = [place.target.replica for place in places]
        assert sorted(held) == ["r0"] * 3 + ["r1"] * 3
        with pytest.raises(_errors.Overloaded) as caught:
            admit(entry, 1)
        assert caught.value.outcome is _errors.Outcome.NOT_RUN
        assert caught.value.retry_after

    def test_places_of_its_own_are_counted_later(self):
        fleet = fleet_fakes.FakeFleet(
            "d1", "d2", targets=some_targets(2), owners=["d2"]
        )
        fleet.unresponsive.add("d2")
        entry = fleet.entry_by_name["d1"]
        admit(entry, 1)
        fleet.unresponsive.clear()
        entry.admission.holdings.renew()
        assert fleet.owned_load() == 1


class TestDisplaced:
    def test_returning_chat_is_sent_to_its_seat(self):
        """Symptom: a family's chat loses its context with each message.

        Sequence: its home was full once, another replica took it; then the
        home is free again. Cause: the chat went back to its hash.
        """
        fleet = fleet_fakes.FakeFleet(*NAMES, targets=some_targets(slots=1))
        fleet.clock.advance(5)
        entry = fleet.entry_by_name["d1"]
        blocking = admit(entry, 1)
        moved = admit(entry, 1)
        seat = moved.target.replica
        assert not moved.home
        for place in (blocking, moved):
            entry.admission.release(place)
        again = admit(fleet.entry_by_name["d2"], 1)
        assert again.target.replica == seat
        assert not again.home

    def test_seat_that_is_gone(self):
        fleet = fleet_fakes.FakeFleet(*NAMES, targets=some_targets(slots=1))
        fleet.clock.advance(5)
        entry = fleet.entry_by_name["d1"]
        blocking, moved = admit(entry, 1), admit(entry, 1)
        for place in (blocking, moved):
            entry.admission.release(place)
        for other in fleet.entry_by_name.values():
            other.targets.take_fact(
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
    def test_next_of_the_rank_takes_it(self, fleet):
        entry = fleet.entry_by_name["d1"]
        home = admit(entry, 1).target
        entry.targets.take_word(home, BACKOFF)
        assert admit(entry, 1).target.replica != home.replica

    def test_its_owner_lets_others_in(self, fleet):
        """A replica gets nothing as one daemon, its owner, backs off."""
        entry = fleet.entry_by_name["d1"]
        number = chat_owned_by(entry, "d2")
        home = admit(entry, number).target
        fleet.entry_by_name["d2"].targets.take_word(home, BACKOFF)
        place = admit(entry, number)
        assert (place.target, place.owner) == (home, "d2")

    def test_mean_of_a_group_is_of_all_in_service(self, fleet):
        owner = fleet.entry_by_name["d2"]
        before = owner.owner.accounts.total(fixtures.POOL).replicas
        owner.targets.take_word(fixtures.target("r1"), BACKOFF)
        assert owner.owner.accounts.total(fixtures.POOL).replicas == before

    def test_what_several_daemons_were_asked_for_holds_for_all(self, fleet):
        """Each daemon has a request turned away before it knows."""
        d1, d2, d3 = fleet.entry_by_name.values()
        home = admit(d1, 1).target
        for entry in (d1, d2):
            entry.targets.on_word(entry.admission.tell_backoff)
            entry.targets.take_word(home, BACKOFF)
        assert admit(d3, 1).target.replica != home.replica
        assert not d3.targets.is_usable(home.replica)
        fleet.clock.advance(3.0)
        assert d3.targets.is_usable(home.replica)

    def test_backoff_of_an_ended_start_is_not_shared(self, fleet):
        d1, d2, d3 = fleet.entry_by_name.values()
        home = admit(d1, 1).target
        again = msgspec.structs.replace(home, incarnation=2)
        for entry in fleet.entry_by_name.values():
            others = entry.targets.target_by_replica.values()
            entry.targets.take_list(
                [again if one == home else one for one in others]
            )
            entry.owner.forget_ended_starts()
        for entry in (d1, d2):
            entry.targets.on_word(entry.admission.tell_backoff)
            entry.targets.take_word(home, BACKOFF)
        assert admit(d3, 1).target == again

    def test_all_in_backoff(self, fleet):
        entry = fleet.entry_by_name["d1"]
        for target in list(entry.targets.target_by_replica.values()):
            entry.targets.take_word(target, BACKOFF)
        with pytest.raises(_errors.Overloaded) as caught:
            admit(entry, 1)
        assert caught.value.retry_after == pytest.approx(3.0)

    @pytest.mark.parametrize("word", [BACKOFF, LEAVES])
    def test_place_that_is_granted_too_late_is_given_back(self, word):
        """Who waited for a place gets one on a replica that wants nothing.

        The replica says so to another request of the same daemon, while
        this one waits in its owner's queue.
        """
        fleet = fleet_fakes.FakeFleet("d1", targets=some_targets(1, slots=1))
        fleet.clock.advance(5)
        entry = fleet.entry_by_name["d1"]
        blocking = admit(entry, 1)
        waiting = gevent.spawn(refusal_of, entry, 1)
        fixtures.wait_until(entry.owner.waiting)
        entry.targets.take_word(blocking.target, word)
        entry.admission.release(blocking)
        assert isinstance(waiting.get(timeout=10), _errors.RequestError)
        assert fleet.owned_load() == 0


def refusal_of(entry, number):
    """Give the error of a request that finds no place."""
    try:
        return admit(entry, number)
    except _errors.RequestError as error:
        return error


class TestRenew:
    def test_heals_a_lost_release(self, fleet):
        """Symptom: a replica refuses all though it idles.

        Sequence: the stream to the owner breaks with a release on it.
        Cause: the place stays counted.
        """
        entry = fleet.entry_by_name["d1"]
        place = admit(entry, chat_owned_by(entry, "d2"))
        entry.admission.holdings.renew()
        fleet.dropped_types.add(messages.Release)
        entry.admission.release(place)
        assert fleet.owned_load() == 1
        entry.admission.holdings.renew()
        fixtures.wait_until(lambda: fleet.owned_load() == 0)

    def test_settles_an_answer_that_was_lost(self, fleet):
        """Symptom: after a short cut of links, a replica never idles again.

        Sequence: an ask is granted, its answer and the release that follows
        are lost with the stream; the cut ends before anybody is dead.
        Cause: the entry held nothing of that owner, so it told it nothing.
        """
        entry = fleet.entry_by_name["d1"]
        number = chat_owned_by(entry, "d2")
        place = admit(entry, number)
        fleet.dropped_types.add(messages.Release)
        entry.admission.release(place)
        fleet.unresponsive.add("d2")
        entry.admission.holdings.renew()
        assert fleet.owned_load() == 1
        fleet.unresponsive.clear()
        entry.admission.holdings.renew()
        fixtures.wait_until(lambda: fleet.owned_load() == 0)
        assert entry.admission.holdings.renew() == 0

    def test_tells_a_new_owner(self, fleet):
        entry = fleet.entry_by_name["d1"]
        number = chat_owned_by(entry, "d2")
        admit(entry, number)
        for other in fleet.entry_by_name.values():
            other.ownership.update(
                daemons=["d1", "d3"],
                replicas=other.targets.target_by_replica,
            )
        entry.admission.holdings.renew()
        assert fleet.owned_load() == 1
        assert not fleet.entry_by_name["d2"].owner.ledger_by_replica

    def test_dead_daemon_frees_its_places(self, fleet):
        admit(fleet.entry_by_name["d1"], 1)
        admit(fleet.entry_by_name["d2"], 2)
        for entry in fleet.entry_by_name.values():
            entry.owner.drop_daemon(_ids.DaemonId("d1"))
        assert fleet.owned_load() == 1


class TestReturnBesideADyingHome:
    """Symptom: a chat moves again and again while its home comes and goes.

    Sequence: the home is dead, which its owner knows and the entry daemon
    not yet; the chat has run at the second of its rank, whose owner has not
    heard of the end of that turn. Cause: at low load that turn alone fills
    the bound, and only at a home is it overlooked.
    """

    def test_chat_stays_at_the_second_of_its_rank(self, fleet_of_low_bound):
        fleet = fleet_of_low_bound
        entry, owner = (fleet.entry_by_name[name] for name in ("d1", "d2"))
        number, home = chat_with_owners(entry, home="d2", second="d3")
        owner.targets.take_fact(fixtures.dead(home))
        idle = messages.LoadSummary(
            group=fixtures.POOL, total=0, replicas=6, interval=0.05
        )
        fleet.entry_by_name["d3"].owner.take_summary(
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
    """One daemon that owns its one replica of one slot; real time."""

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
    def wait(entry, number, seconds=100.0, **changes):
        deadline = entry.admission._clock.monotonic() + seconds
        return gevent.spawn(admit, entry, number, deadline=deadline, **changes)

    @staticmethod
    def queued(entry):
        (ledger,) = entry.owner.ledger_by_replica.values()
        return len(ledger.waiting_by_key)

    @staticmethod
    def free(entry):
        (place,) = entry.admission.holdings.place_by_ask.values()
        entry.admission.release(place)

    def test_freed_slot_goes_to_the_first(self, entry):
        tasks = [self.wait(entry, number) for number in (1, 2)]
        fixtures.wait_until(lambda: self.queued(entry) == 2)
        for task in tasks:
            self.free(entry)
            assert task.get(timeout=20).target.replica == "r0"

    def test_queue_is_bounded(self, entry):
        tasks = [self.wait(entry, number) for number in (1, 2)]
        fixtures.wait_until(lambda: self.queued(entry) == 2)
        late = self.wait(entry, 3)
        with pytest.raises(_errors.Overloaded) as caught:
            late.get(timeout=20)
        assert caught.value.outcome is _errors.Outcome.NOT_RUN
        assert caught.value.retry_after
        assert not any(task.ready() for task in tasks)

    def test_deadline_in_the_queue(self, entry):
        """Symptom: a caller gets a bare status 500 of the HTTP library.

        Sequence: its call waits in the queue of a replica that the same
        daemon owns, until its deadline. Cause: the wait's timeout is no
        exception of ours.
        """
        with pytest.raises(_errors.RequestError) as caught:
            self.wait(entry, 1, seconds=0.02).get(timeout=20)
        assert caught.value.outcome is _errors.Outcome.NOT_RUN
        assert not self.queued(entry)

    def test_caller_that_leaves_the_queue(self, entry):
        """Symptom: slots stand empty though callers wait.

        Sequence: a caller hangs up while its call waits in the queue.
        Cause: its turn is kept, and a slot is granted to nobody.
        """
        task = self.wait(entry, 1)
        fixtures.wait_until(lambda: self.queued(entry) == 1)
        task.kill()
        assert not self.queued(entry)

    def test_queue_of_a_lost_replica_looks_for_another_place(self, entry):
        """Symptom: calls are refused as overloaded while slots are free.

        Sequence: calls wait at a replica's owner; the replica gets another
        owner. Cause: the old one sent its queue away as if it were full.
        """
        task = self.wait(entry, 1)
        fixtures.wait_until(lambda: self.queued(entry) == 1)
        entry.owner.transfer(
            [_ownership.Transfer(_ids.ReplicaId("r0"), entry.daemon, None)]
        )
        place = task.get(timeout=20)
        assert place.ask in entry.admission.holdings.place_by_ask


class TestOverload:
    def test_full_replicas_are_not_asked_again_at_once(self):
        """Symptom: control traffic grows with overload, to 92 KB/s.

        Sequence: all slots are taken and calls keep coming. Cause: each call
        asked each owner, only to hear again that it is full.
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
        for asked in (4, 5):
            with pytest.raises(_errors.DeadlineExceeded):
                admit(entry, 1, deadline=fleet.clock.seconds + 0.05)
            assert counts[messages.Verdict.full] - before == asked
