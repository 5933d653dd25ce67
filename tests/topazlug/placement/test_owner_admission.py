"""Places by the owners' counts, and without their word."""

import contextlib
import itertools

import pytest

from tests.topazlug.forwarding import forwarding_fixtures as fixtures
from tests.topazlug.placement import owner_fixtures
from topazlug import _errors
from topazlug import _ids
from topazlug._generated import messages
from topazlug.routing import _group_load
from topazlug.routing import _ranking

DAEMONS = tuple(f"d{n}" for n in range(9))
REPLICAS = tuple(f"i-{n}" for n in range(6))
# What no replica may hold: the bound over which requests of others wait.
MULTIPLE = 2.0
BEYOND = 3


@pytest.fixture
def fleet():
    return owner_fixtures.Fleet(*DAEMONS, replicas=REPLICAS)


def chats():
    """Give one chat after the other."""
    return (
        _ids.ChatHash(_ranking.chat_hash("chat", str(n)))
        for n in itertools.count()
    )


def home_of(chat):
    return _ids.ReplicaId(_ranking.first(REPLICAS, chat))


def chat_of(fleet, *, owner):
    """Give a chat whose home a daemon owns."""
    return next(c for c in chats() if fleet.owner_of(home_of(c)) == owner)


def chat_owned_by_another(fleet, name):
    """Give a chat whose home a daemon does not own, and who does."""
    chat = next(c for c in chats() if fleet.owner_of(home_of(c)) != name)
    return chat, fleet.owner_of(home_of(chat))


class TestSurge:
    def test_no_replica_is_swamped_while_daemons_see_slivers(self, fleet):
        """Symptom: one replica holds most requests while others idle.

        Sequence: most requests are of one chat and come through all
        daemons; none of them has ended, so no replica has told its load.
        Cause: each daemon sees a ninth of what its home holds.
        """
        hot = next(chats())
        for daemon, chat in zip(fleet.daemon_by_name.values(), chats()):
            daemon.admit(chat)
        fleet.report()
        for number, chat in zip(range(90), chats()):
            daemon = fleet.daemon_by_name[DAEMONS[number % len(DAEMONS)]]
            for wanted in (hot, hot, chat):
                place = daemon.admit(wanted)
                loads = fleet.load_by_replica()
                mean = sum(loads.values()) / len(loads)
                held = loads[place.target.replica]
                assert held <= MULTIPLE * mean + BEYOND
            fleet.report()

    def test_chat_goes_back_to_where_it_was_displaced(self, fleet):
        """Symptom: a displaced chat's prompt is read by replica after replica.

        Sequence: its home is full and it goes to another; it returns
        through other daemons. Cause: only the first daemon knows where.
        """
        hot = next(chats())
        first = fleet.daemon_by_name["d0"]
        places = [first.admit(hot)]
        while places[-1].target.replica == home_of(hot):
            places.append(first.admit(hot))
        seat = places[-1].target.replica
        for place in places:
            first.admission.release(place)
        for daemon in fleet.daemon_by_name.values():
            place = daemon.admit(hot)
            assert place.target.replica == seat
            daemon.admission.release(place)


class TestFull:
    def test_least_loaded_takes_what_none_has_room_for(self):
        """Symptom: one replica's queue grows while others' are short.

        Sequence: all replicas run as much as they can and requests go on
        coming, through daemons that each see a sliver. Cause: a request
        that no owner admits goes to its home.
        """
        fleet = owner_fixtures.Fleet(*DAEMONS, replicas=REPLICAS, slots=4)
        hot = next(chats())
        for number, chat in zip(range(48), chats()):
            daemon = fleet.daemon_by_name[DAEMONS[number % len(DAEMONS)]]
            daemon.admit(hot)
            daemon.admit(chat)
            fleet.renew()
            fleet.report()
        loads = fleet.load_by_replica()
        assert max(loads.values()) <= 2 * min(loads.values())


class TestRelease:
    def test_owner_counts_it_no_more(self, fleet):
        chat, owner = chat_owned_by_another(fleet, "d0")
        daemon = fleet.daemon_by_name["d0"]
        for _ in range(20):
            place = daemon.admit(chat)
            assert place.target.replica == home_of(chat)
            assert place.owner == owner
            daemon.admission.release(place)
            daemon.admission.release(place)
        assert set(fleet.load_by_replica().values()) == {0}

    def test_place_without_owner_frees_no_other(self, fleet):
        """Symptom: an owner counts less than a replica holds.

        Sequence: a place found without an owner has the number of one that
        an owner counts, and is released. Cause: two series of numbers.
        """
        chat, owner = chat_owned_by_another(fleet, "d0")
        daemon = fleet.daemon_by_name["d0"]
        counted = [daemon.admit(chat).ask for _ in range(3)]
        service = daemon.admit(next(chats()), keeps_context=False)
        assert service.ask in counted
        daemon.admission.release(service)
        released = [m for m in fleet.sent if isinstance(m, messages.Release)]
        assert released == []


class TestOwnerWithoutWord:
    def test_home_is_kept_when_its_owner_is_silent(self, fleet):
        """Symptom: prompts are read anew when a daemon freezes.

        Sequence: the owner of a chat's home freezes; the home itself is
        well. Cause: the chat goes to a replica whose owner answers.
        """
        chat, owner = chat_owned_by_another(fleet, "d0")
        fleet.silent.add(owner)
        place = fleet.daemon_by_name["d0"].admit(chat)
        assert place.target.replica == home_of(chat)
        assert place.owner is None

    def test_callers_wait_once_for_a_silent_owner(self, fleet):
        chat, owner = chat_owned_by_another(fleet, "d0")
        fleet.silent.add(owner)
        daemon = fleet.daemon_by_name["d0"]
        before = fleet.clock.seconds
        for _ in range(10):
            daemon.admit(chat)
        assert fleet.clock.seconds - before == pytest.approx(0.03)

    def test_late_owner_is_asked_again(self, fleet):
        """Symptom: at four times the load most requests are placed blind.

        Sequence: words of owners wait behind bodies on full links; one that
        is late by some milliseconds is taken for silence, and its owner is
        passed over for longer each time. Cause: an owner of which other
        words arrive was not told from a frozen one.
        """
        chat, owner = chat_owned_by_another(fleet, "d0")
        fleet.silent.add(owner)
        fleet.heard_at[owner] = 1e9
        daemon = fleet.daemon_by_name["d0"]
        asked = []
        for _ in range(5):
            daemon.admit(chat)
            asks = [m for m in fleet.sent if isinstance(m, messages.AdmitAsk)]
            asked.append(len(asks))
        assert asked == [1, 2, 3, 4, 5]

    def test_word_is_waited_for_while_the_answer_can_be_on_time(self, fleet):
        chat, owner = chat_owned_by_another(fleet, "d0")
        fleet.silent.add(owner)
        daemon = fleet.daemon_by_name["d0"]
        waited = []
        for objective in (0.1, 0.3, 5.0):
            before = fleet.clock.seconds
            daemon.admit(chat, context_wait=objective)
            waited.append(fleet.clock.seconds - before)
            fleet.clock.advance(2.0)
        assert waited == pytest.approx([0.03, 0.045, 0.12])

    def test_replica_that_was_full_is_not_taken_blind(self, fleet):
        """Symptom: replicas reject half of what comes to them.

        Sequence: an owner says that there is no room for a rank, and says
        nothing to the next ask. Cause: this daemon had forgotten the word,
        and of the replica itself it had no report.
        """
        chat, owner = chat_owned_by_another(fleet, "d0")
        daemon = fleet.daemon_by_name["d0"]
        view = daemon.views.of(home_of(chat))
        view.note_full(1)
        fleet.silent.add(owner)
        assert daemon.admit(**ranked(chat, 0)).target.replica == home_of(chat)
        for rank in (1, 2):
            place = daemon.admit(**ranked(chat, rank))
            assert place.target.replica != home_of(chat)
        fleet.clock.advance(0.3)
        assert daemon.admit(**ranked(chat, 1)).target.replica == home_of(chat)

    def test_what_is_not_known_is_no_empty_replica(self, fleet):
        """Symptom: daemons send on to replicas that have long been full.

        Sequence: five replicas have told that they hold more than they can
        run, the sixth has told this daemon nothing. Cause: that one was
        taken for empty, so that not all were full.
        """
        daemon = fleet.daemon_by_name["d0"]
        daemon.admission.asks = None
        for replica in REPLICAS[1:]:
            daemon.views.of(replica).note_report(90)
        with pytest.raises(_errors.Overloaded):
            daemon.admit(**ranked(next(chats()), 0))

    def test_owners_words_are_kept_for_when_none_comes(self, fleet):
        chat, owner = chat_owned_by_another(fleet, "d0")
        fleet.daemon_by_name["d1"].admit(chat)
        daemon = fleet.daemon_by_name["d0"]
        daemon.admission.release(daemon.admit(chat))
        view = daemon.views.of(home_of(chat))
        assert view.is_known and view.load == pytest.approx(1.0)

    def test_daemons_that_disagree_on_the_owner(self, fleet):
        """Symptom: requests are refused while a daemon joins.

        Sequence: a new daemon is known to one daemon and not yet to the
        one that it takes for the owner. Cause: "not the owner" is taken
        for "no room".
        """
        chat, owner = chat_owned_by_another(fleet, "d0")
        others = {name: None for name in DAEMONS if name != owner}
        fleet.daemon_by_name[owner].owners.take_daemons(others)
        place = fleet.daemon_by_name["d0"].admit(chat)
        assert place.target.replica == home_of(chat)

    def test_before_the_fleet_is_joined(self, fleet):
        daemon = fleet.daemon_by_name["d0"]
        daemon.admission.asks = None
        chat = next(chats())
        place = daemon.admit(chat)
        assert place.target.replica == home_of(chat)
        daemon.admission.release(place)
        assert fleet.sent == []


class TestReplicaThatLeavesMeanwhile:
    def test_request_goes_elsewhere_and_its_place_is_freed(self, fleet):
        """Symptom: requests fail with 500 while replicas are replaced.

        Sequence: an owner grants a place; before its word arrives, the
        replica falls off this daemon's list. Cause: the place was taken on
        what the list said before the owner was asked.
        """
        chat, owner = chat_owned_by_another(fleet, "d0")
        daemon = fleet.daemon_by_name["d0"]
        left = [one for one in fleet.targets if one.replica != home_of(chat)]
        fleet.before_answer = lambda: daemon.targets.take_list(left)
        place = daemon.admit(chat)
        assert place.target.replica != home_of(chat)
        released = [m for m in fleet.sent if isinstance(m, messages.Release)]
        assert len(released) == 1


class TestIllReplica:
    def test_gets_nothing_though_its_owner_would_admit(self, fleet):
        daemon = fleet.daemon_by_name["d0"]
        chat = next(chats())
        for _ in range(5):
            daemon.views.of(home_of(chat)).note_outcome(failed=True)
        assert daemon.admit(chat).target.replica != home_of(chat)


class TestStartedAgain:
    """Symptom: chats are kept away from a replica that is back and idle.

    Sequence: a replica with requests on it crashes behind a cut and starts
    again under its id, with nothing of before. Cause: its owner went on
    counting them, and sent displaced chats to where their context was.
    """

    def start_again(self, fleet, replica):
        fleet.targets = [
            (
                owner_fixtures.started_again(one)
                if one.replica == replica
                else one
            )
            for one in fleet.targets
        ]
        for daemon in fleet.daemons:
            daemon.views.take_list(fleet.targets)
            daemon.targets.take_list(fleet.targets)

    def test_owner_counts_nothing_of_the_old_start(self, fleet):
        chat, owner = chat_owned_by_another(fleet, "d0")
        daemon = fleet.daemon_by_name["d0"]
        home = home_of(chat)
        places = [daemon.admit(chat) for _ in range(3)]
        assert {place.target.replica for place in places} == {home}
        self.start_again(fleet, home)
        for place in places:
            daemon.admission.release(place)
        ledger = fleet.daemon_by_name[owner].owners.ledger_of(home)
        assert ledger.load == 0
        assert fleet.load_by_replica()[home] == 0

    def test_displaced_chat_goes_home_again(self, fleet):
        hot = next(chats())
        first = fleet.daemon_by_name["d0"]
        places = [first.admit(hot)]
        while places[-1].target.replica == home_of(hot):
            places.append(first.admit(hot))
        seat = places[-1].target.replica
        for place in places:
            first.admission.release(place)
        self.start_again(fleet, seat)
        assert first.admit(hot).target.replica == home_of(hot)


def ranked(chat, rank, **changes):
    """Give the fields of a request that is held to a limit by rank."""
    return {
        "chat": chat,
        "rank": rank,
        "prompt": chat,
        "context_wait": 1.0,
        "deadline": 1e9,
        **changes,
    }


class TestOverload:
    """Symptom: all requests are late, and callers hear nothing until then.

    Sequence: more comes than all replicas can run. Cause: each request was
    sent to some replica and waited there until its deadline.
    """

    @pytest.fixture
    def fleet(self):
        return owner_fixtures.Fleet(*DAEMONS, replicas=REPLICAS, slots=16)

    def fill(self, fleet, *, rank):
        places = []
        for number, chat in zip(range(1000), chats()):
            daemon = fleet.daemon_by_name[DAEMONS[number % len(DAEMONS)]]
            with contextlib.suppress(_errors.Overloaded):
                places.append(daemon.admit(**ranked(chat, rank)))
            # The urgent are about all the time.
            with contextlib.suppress(_errors.Overloaded):
                place = daemon.admit(**ranked(chat, 0))
                daemon.admission.release(place)
            fleet.report()
        return places

    def test_what_has_no_room_is_told_when_to_come_back(self, fleet):
        self.fill(fleet, rank=1)
        loads = fleet.load_by_replica().values()
        assert 12 <= min(loads) and max(loads) <= 16
        daemon = fleet.daemon_by_name["d0"]
        with pytest.raises(_errors.Overloaded) as caught:
            daemon.admit(**ranked(next(chats()), 1))
        assert caught.value.outcome is _errors.Outcome.NOT_RUN
        assert caught.value.retry_after >= 0.2

    def test_room_is_left_for_the_urgent(self):
        fleet = owner_fixtures.Fleet(*DAEMONS, replicas=REPLICAS, slots=64)
        daemon = fleet.daemon_by_name["d0"]
        self.fill(fleet, rank=1)
        fleet.clock.advance(1.0)
        let_in = {0: 0, 1: 0}
        for chat, _ in zip(chats(), range(30)):
            for rank in let_in:
                with contextlib.suppress(_errors.Overloaded):
                    place = daemon.admit(**ranked(chat, rank))
                    daemon.admission.release(place)
                    let_in[rank] += 1
        assert let_in[0] >= 25
        assert let_in[1] <= 5

    def test_stream_that_goes_on_is_not_turned_away(self, fleet):
        self.fill(fleet, rank=1)
        daemon = fleet.daemon_by_name["d0"]
        assert daemon.admit(next(chats()), rank=-1)

    def test_who_waits_gets_a_place_that_is_given_back(self, fleet):
        places = self.fill(fleet, rank=1)
        # Whoever was turned away meanwhile comes before, by chance one or
        # two of this replica; their time is over now.
        fleet.clock.advance(2.0)
        daemon = fleet.daemon_by_name["d0"]
        slept = []

        def give_back(seconds):
            slept.append(seconds)
            for place in places:
                for other in fleet.daemons:
                    other.admission.release(place)
            fleet.clock.advance(seconds)

        fleet.clock.sleep = give_back
        assert daemon.admit(**ranked(next(chats()), 1))
        assert len(slept) == 1

    def test_views_refuse_when_no_owner_says_a_word(self, fleet):
        daemon = fleet.daemon_by_name["d0"]
        fleet.silent.update(name for name in DAEMONS if name != "d0")
        for replica in REPLICAS:
            daemon.views.of(replica).note_report(40)
        daemon.admission.asks = None
        with pytest.raises(_errors.Overloaded):
            daemon.admit(**ranked(next(chats()), 0))


class TestContextReads:
    def test_second_request_waits_for_the_first_to_read(self, fleet):
        """Symptom: engines read a prompt once for each request of its chat.

        Sequence: a chat moves to a replica that has not read it, and its
        requests come there at the same time through many daemons.
        """
        chat = next(chats())
        first = fleet.daemon_by_name["d0"]
        second = fleet.daemon_by_name["d1"]
        fields = ranked(chat, 0, shared_tokens=8000)
        place = first.admit(**fields)
        assert place.reads_context
        slept = []

        def tell(seconds):
            slept.append(seconds)
            first.admission.note_head(place, 1, 0, 0.1)
            fleet.clock.advance(seconds)

        fleet.clock.sleep = tell
        other = second.admit(**fields)
        assert len(slept) == 1
        assert other.target.replica == place.target.replica
        assert not other.reads_context

    def test_nobody_waits_longer_than_it_may(self, fleet):
        chat = next(chats())
        fields = ranked(chat, 0, shared_tokens=8000, context_wait=0.5)
        fleet.daemon_by_name["d0"].admit(**fields)
        before = fleet.clock.seconds
        fleet.daemon_by_name["d1"].admit(**fields)
        assert 0.5 <= fleet.clock.seconds - before <= 0.7


class TestCollectorWithoutWord:
    def test_bound_holds_while_the_collector_is_dark(self, fleet):
        """Symptom: one replica holds three times the mean while others idle.

        Sequence: the daemon that adds up the load loses power and stays in
        the directory; three seconds later most requests are of one chat.
        Cause: an owner without a total takes its own replicas for all. With
        one replica of its own the mean is that replica's load, so that no
        load is over a multiple of it.
        """
        collector = _group_load.collector_of(fixtures.GROUP, DAEMONS)
        hot = next(
            chat
            for chat in chats()
            if fleet.owner_of(home_of(chat)) != collector
        )
        fleet.report()
        fleet.refusing.add(collector)
        for _ in range(40):
            fleet.report()
        alive = [name for name in DAEMONS if name != collector]
        for number, chat in zip(range(40), chats()):
            daemon = fleet.daemon_by_name[alive[number % len(alive)]]
            daemon.admit(chat)
            daemon.admit(hot)
            fleet.report()
        loads = fleet.load_by_replica()
        mean = sum(loads.values()) / len(loads)
        assert loads[home_of(hot)] <= MULTIPLE * mean + BEYOND


class TestOwnerThatComesBack:
    """Symptom: one replica gets far more than the others after a restart.

    Sequence: the owner of a replica loses power; requests are placed there
    by views; it starts again and counts from nothing. Meanwhile what it held
    itself is still counted by the other owners, which raises the mean. Cause:
    places found without it were told to nobody, and its own were never freed.
    """

    def test_it_hears_of_what_was_placed_without_it(self, fleet):
        chat, owner = chat_owned_by_another(fleet, "d0")
        daemon = fleet.daemon_by_name["d0"]
        fleet.silent.add(owner)
        places = [daemon.admit(chat) for _ in range(3)]
        at_home = [p for p in places if p.target.replica == home_of(chat)]
        fleet.silent.clear()
        fleet.renew()
        ledger = fleet.daemon_by_name[owner].owners.ledger_of(home_of(chat))
        assert ledger.load == len(at_home) >= 1
        for place in places:
            daemon.admission.release(place)
        assert ledger.load == 0

    def test_places_of_a_daemon_that_is_gone_are_freed(self, fleet):
        chat, owner = chat_owned_by_another(fleet, "d0")
        fleet.daemon_by_name["d0"].admit(chat)
        owners = fleet.daemon_by_name[owner].owners
        ledger = owners.ledger_of(home_of(chat))
        fleet.clock.advance(1.5)
        owners.drop_silent()
        assert ledger.load == 1
        fleet.clock.advance(2.0)
        owners.drop_silent()
        assert ledger.load == 0

    def test_daemon_that_renews_keeps_its_places(self, fleet):
        chat, owner = chat_owned_by_another(fleet, "d0")
        fleet.daemon_by_name["d0"].admit(chat)
        owners = fleet.daemon_by_name[owner].owners
        for _ in range(5):
            fleet.clock.advance(1.0)
            fleet.renew()
            owners.drop_silent()
        assert owners.ledger_of(home_of(chat)).load == 1
