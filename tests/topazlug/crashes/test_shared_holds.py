"""All daemons hold back a request that may crash replicas."""

import functools

import pytest

from tests.topazlug import claim_fakes
from tests.topazlug.forwarding import forwarding_fixtures as fixtures
from topazlug import _errors
from topazlug import _ids
from topazlug._generated import messages
from topazlug.crashes import _crash_guard
from topazlug.crashes import _record_distributor
from topazlug.targets import _target_runs
from topazlug.targets import _targets

F = _ids.Fingerprint("f")


class Links:
    """Streams to other daemons, as plain calls."""

    def __init__(self, name, links_by_daemon):
        self.name = name
        self.links_by_daemon = links_by_daemon
        self.sent = 0

    def handle(self, kind, handler):
        assert kind is messages.CrashNotes
        self.handler = handler

    def send(self, to, message):
        self.sent += 1
        self.links_by_daemon[to].handler(self.name, message, None)


class Daemon:
    """A guard whose records go to peers, and to no table."""

    def __init__(self, name, names, links_by_daemon, clock):
        self.clock = clock
        self.tracker = _target_runs.RunTracker(clock=clock)
        self.guard = _crash_guard.CrashGuard(
            daemon=name,
            runs=self.tracker,
            targets=_targets.TargetDirectory(clock=clock, flap_window=1.0),
            clock=clock,
        )
        self.links = links_by_daemon[name] = Links(name, links_by_daemon)
        self.distributor = _record_distributor.RecordDistributor(
            daemon=name,
            links=self.links,
            daemons=lambda: dict.fromkeys(names),
            on_records=self.guard.add_peer_records,
            on_holds=self.guard.add_peer_holds,
            unshared=self.guard.unshared_records,
        )
        self.guard.publisher = self
        self.guard.announce_hold = self.distributor.send_hold

    def publish(self, records, *, remove=()):
        self.distributor.send(records)

    def begin(self, number, name=F):
        return self.tracker.begin(
            fixtures.target(f"i-{number}"),
            fingerprint=name,
            attempt=f"{name}-{number}",
        )

    def crash(self, number, *names):
        """Report a crash under requests of this daemon."""
        runs = [self.begin(number, name) for name in names or (F,)]
        self.guard._on_crash(fixtures.target(f"i-{number}"), runs)

    def answer(self, name=F):
        run = self.begin(99, name)
        self.tracker.finish(run, _target_runs.RunEnd.COMPLETE, status=200)

    def is_rejected(self, name=F):
        try:
            self.guard.check(name)
        except _errors.RequestBlocked:
            return True
        return False


class Fleet:
    def __init__(self, count):
        self.clock = claim_fakes.FakeClock()
        names = [_ids.DaemonId(f"daemon-{n}") for n in range(count)]
        make = functools.partial(
            Daemon, names=names, links_by_daemon={}, clock=self.clock
        )
        self.daemons = [make(name) for name in names]

    def collectors(self):
        """Return the daemons that receive the crashes of the request."""
        names = self.daemons[0].distributor.collectors_of(F)
        return [
            daemon for daemon in self.daemons if daemon.links.name in names
        ]

    def others(self):
        collectors = self.collectors()
        return [one for one in self.daemons if one not in collectors]

    def sent(self):
        return sum(daemon.links.sent for daemon in self.daemons)


@pytest.fixture
def fleet():
    return Fleet(3)


class TestHold:
    def test_daemon_that_collects_nothing_holds_the_request(self, fleet):
        """The sixth attempt of a chat crashed one more engine.

        Its daemon had two of five crashes itself. The two daemons that had
        all five held the chat back and had not decided yet.
        """
        (other,) = fleet.others()
        first, second = fleet.collectors()
        first.crash(0)
        first.crash(1)
        second.crash(2)
        other.crash(3)
        other.crash(4)
        assert first.is_rejected()
        assert second.is_rejected()
        assert other.is_rejected()

    @pytest.mark.parametrize("count", [30, 450])
    def test_all_daemons_of_a_large_fleet_hold_the_request(self, count):
        """Each daemon without the hold might crash one more replica."""
        fleet = Fleet(count)
        for number, daemon in enumerate(fleet.others()[:3]):
            daemon.crash(number)
        assert all(daemon.is_rejected() for daemon in fleet.daemons)

    def test_hold_ends_without_a_decision(self, fleet):
        """An ordinary request must not be held back for longer."""
        (other,) = fleet.others()
        for number, daemon in enumerate(fleet.daemons):
            daemon.crash(number)
        assert other.is_rejected()
        fleet.clock.advance(1.51)
        assert not other.is_rejected()

    def test_held_request_is_not_repeated(self, fleet):
        """The attempt in progress would crash one more replica."""
        (other,) = fleet.others()
        for number, daemon in enumerate(fleet.collectors() * 2):
            daemon.crash(number)
        assert not other.guard.may_repeat(F, fixtures.target("i-9"))

    def test_request_that_was_just_answered_is_not_held(self, fleet):
        """A request that gets answers crashes no replica."""
        (other,) = fleet.others()
        for number, daemon in enumerate(fleet.collectors() * 2):
            daemon.crash(number)
        other.answer()
        assert not other.is_rejected()

    def test_only_likely_causes_are_announced(self, fleet):
        """Each announcement takes a message to each daemon."""
        for number, daemon in enumerate(fleet.daemons):
            daemon.crash(number, _ids.Fingerprint(f"g{number}"))
        (other,) = fleet.others()
        assert not other.is_rejected()
        before = fleet.sent()
        fleet.collectors()[0].crash(9, _ids.Fingerprint("h"))
        assert fleet.sent() - before <= 2
