"""Requests that share a prompt part on which replicas crash."""

import gevent
import pytest

from tests.topazlug.forwarding import forwarding_fixtures as fixtures
from tests.topazlug_platform import part_fleet
from topazlug.crashes import _fingerprint

BAD, FIRST = part_fleet.BAD, part_fleet.FIRST
# Crashes from which on the time counts until every daemon must know the part.
_CRASHES = 5
_KNOWN_SECONDS = 3.0
# Replicas that may end until a part is blocked: those of the five crashes, and
# what is on its way then.
_MAX_CRASHED = 8
_OTHERS = ("tools", "style", "manual")


def wait_until_known(fleet, crashes=_CRASHES):
    """Wait until the part must be known to every daemon."""
    with gevent.Timeout(30, False):
        while fleet.crashed_count() < crashes and not fleet.blocked(0):
            gevent.sleep(0.02)
    gevent.sleep(_KNOWN_SECONDS)


def wait_blocked(fleet, *numbers):
    """Wait until each of these daemons blocks something."""
    part_fleet.wait_until(lambda: all(map(fleet.blocked, numbers)))


def crash_until_blocked(fleet, *parts, numbers=(0, 1, 2)):
    """Send requests with these parts in turn until daemons block them."""
    number = 0
    with gevent.Timeout(30):
        while not all(map(fleet.blocked, numbers)):
            fleet.ask(numbers[number % len(numbers)], *parts, f"x{number}")
            number += 1
            gevent.sleep(0.15)


def part_of(name):
    """Return the fingerprint of a part."""
    (part,) = _fingerprint.part_fingerprints(fixtures.GROUP, (name, "own"))
    return part


class TestCrashingPart:
    def test_no_request_with_the_part_arrives_late(self):
        """Requests with one part crashed replicas, no two of them alike."""
        with part_fleet.running_fleet() as fleet:
            with part_fleet.traffic(fleet) as traffic:
                traffic.send(FIRST, interval=0.05, varies=_OTHERS)
                traffic.send(FIRST, BAD, interval=0.25, varies=_OTHERS)
                wait_until_known(fleet)
                arrived, _ = fleet.counts()
                before = len(traffic.sound)
                gevent.sleep(_KNOWN_SECONDS)
                assert fleet.counts()[0] == arrived
                assert traffic.begun_share(before) >= 0.9

    @pytest.mark.parametrize(
        "prompt",
        [(BAD,), (BAD, FIRST), (FIRST, "tools", BAD)],
        ids=["only", "first", "last"],
    )
    def test_place_of_the_part_does_not_matter(self, prompt):
        """A part crashed replicas wherever it stood in the prompt."""
        with part_fleet.running_fleet() as fleet:
            with part_fleet.traffic(fleet) as traffic:
                traffic.send(FIRST, "tools", interval=0.1)
                traffic.send(*prompt, interval=0.25)
                wait_until_known(fleet)
                assert fleet.crashed_count() <= _MAX_CRASHED
                assert fleet.blocked(1) == {part_of(BAD)}

    @pytest.mark.parametrize(
        "changes",
        [part_fleet.RESUMABLE, part_fleet.READ],
        ids=["resumable", "read"],
    )
    def test_retries_and_resumed_streams_carry_no_part_on(self, changes):
        """Early retries and resumed streams carried a part to replicas."""
        with part_fleet.running_fleet(**changes) as fleet:
            with part_fleet.traffic(fleet) as traffic:
                traffic.send(FIRST, interval=0.05, varies=_OTHERS)
                traffic.send(FIRST, BAD, interval=0.3, varies=_OTHERS)
                wait_until_known(fleet)
                arrived, _ = fleet.counts()
                gevent.sleep(1.0)
                assert fleet.counts()[0] == arrived
                assert fleet.crashed_count() <= _MAX_CRASHED

    def test_many_requests_with_the_part_at_once(self):
        """Requests with a bad part arrived faster than news of crashes."""
        with part_fleet.running_fleet() as fleet:
            with part_fleet.traffic(fleet) as traffic:
                traffic.send(FIRST, interval=0.1, varies=_OTHERS)
                traffic.send(FIRST, BAD, interval=0.04, varies=_OTHERS)
                wait_until_known(fleet)
                arrived, _ = fleet.counts()
                gevent.sleep(1.0)
                assert fleet.counts()[0] == arrived
                assert fleet.blocked(2) == {part_of(BAD)}

    def test_two_bad_parts(self):
        """Two parts crashed replicas at the same time."""
        with part_fleet.running_fleet() as fleet:
            fleet.bad_parts.add("worse")
            with part_fleet.traffic(fleet) as traffic:
                traffic.send(FIRST, interval=0.05, varies=_OTHERS)
                traffic.send(FIRST, BAD, interval=0.4, varies=_OTHERS)
                traffic.send(FIRST, "worse", interval=0.4, varies=_OTHERS)
                part_fleet.wait_until(lambda: len(fleet.blocked(0)) == 2)
                expected = {part_of(BAD), part_of("worse")}
                part_fleet.wait_until(lambda: fleet.blocked(2) == expected)
                gevent.sleep(1.0)
                arrived, _ = fleet.counts()
                before = len(traffic.sound)
                gevent.sleep(1.0)
                assert fleet.counts()[0] == arrived
                assert traffic.begun_share(before) >= 0.9

    def test_part_that_was_sound_before(self):
        """A part in steady use began to crash replicas."""
        with part_fleet.running_fleet() as fleet:
            fleet.bad_parts.clear()
            with part_fleet.traffic(fleet) as traffic:
                traffic.send(FIRST, interval=0.05, varies=_OTHERS)
                traffic.send(FIRST, BAD, interval=0.2, varies=_OTHERS)
                gevent.sleep(1.5)
                fleet.bad_parts.add(BAD)
                part_fleet.wait_until(
                    lambda: fleet.blocked(0) == {part_of(BAD)}
                )
                assert fleet.crashed_count() <= 2 * _MAX_CRASHED

    def test_part_of_another_route_of_the_service(self):
        """Requests with the part came by way of another route."""
        route = fixtures.route(**part_fleet.STREAM)
        other = fixtures.route(
            **{**part_fleet.READ, "name": "other", "prefix": "/b/"}
        )
        with part_fleet.running_fleet(routes=(route, other)) as fleet:
            crash_until_blocked(fleet, FIRST, BAD)
            before = fleet.counts()
            assert fleet.ask(0, FIRST, BAD, path="/b/x")[0] == 503
            assert fleet.counts() == before


class TestPartsThatComeTogether:
    def test_sound_part_of_the_same_prompts_is_served(self):
        """A sound part was blocked, as it came with the bad one each time."""
        with part_fleet.running_fleet() as fleet:
            crash_until_blocked(fleet, BAD, "tools")
            assert fleet.ask(1, BAD, "tools")[0] == 503
            assert fleet.ask(1, "tools", "x") == (200, True)

    def test_bad_part_alone_crashes_one_more(self):
        """A bad part was rejected only with the part it first came with."""
        with part_fleet.running_fleet() as fleet:
            crash_until_blocked(fleet, BAD, "tools")
            crashed = fleet.crashed_count()
            for number in range(9):
                fleet.ask(number, BAD, f"x{number}")
                gevent.sleep(0.2)
            assert fleet.crashed_count() <= crashed + 2
            assert part_of(BAD) in fleet.blocked(1)
            assert fleet.ask(2, "tools", "x") == (200, True)


class TestNobodyElse:
    def test_part_that_all_share_when_replicas_crash_by_themselves(self):
        """Replicas crashed for other reasons, under parts in steady use."""
        with part_fleet.running_fleet() as fleet:
            with part_fleet.traffic(fleet) as traffic:
                traffic.send(FIRST, interval=0.04, varies=_OTHERS)
                traffic.send(FIRST, "rare", interval=0.5)
                for number in range(14):
                    gevent.sleep(0.3)
                    fleet.replicas[number % 6].crash()
                gevent.sleep(1.0)
                assert not any(fleet.blocked(number) for number in range(3))
                before = len(traffic.sound)
                gevent.sleep(1.0)
                assert traffic.begun_share(before) == 1.0

    def test_caller_that_names_parts_of_others(self):
        """A caller had the parts of others blocked by naming them."""
        with part_fleet.running_fleet() as fleet:
            with part_fleet.traffic(fleet) as traffic:
                traffic.send(FIRST, interval=0.1, varies=_OTHERS)
                traffic.send("secret", BAD, *_OTHERS, interval=0.3)
                wait_blocked(fleet, 0, 1, 2)
                gevent.sleep(1.0)
                assert fleet.ask(0, FIRST, "tools") == (200, True)

    def test_requests_that_last_long_are_no_suspects(self):
        """Long streams met most crashes, and nothing with their part ended.

        Their output had begun long before each crash.
        """
        with part_fleet.running_fleet() as fleet:
            fleet.event_seconds = 0.5
            with part_fleet.traffic(fleet) as traffic:
                traffic.send("long", interval=0.2, varies=_OTHERS)
                gevent.sleep(1.5)
                for number in range(8):
                    fleet.replicas[number % 6].crash()
                    gevent.sleep(0.3)
                assert not any(fleet.blocked(number) for number in range(3))


class TestFleetwide:
    def test_without_the_store(self):
        """Daemons shared no evidence on parts while the store was away."""
        with part_fleet.running_fleet() as fleet:
            fleet.cut_from_store(0, 1, 2)
            with part_fleet.traffic(fleet) as traffic:
                traffic.send(FIRST, interval=0.05, varies=_OTHERS)
                traffic.send(FIRST, BAD, interval=0.25, varies=_OTHERS)
                wait_until_known(fleet)
                arrived, _ = fleet.counts()
                before = len(traffic.sound)
                gevent.sleep(1.5)
                assert fleet.counts()[0] == arrived
                assert traffic.begun_share(before) >= 0.9

    def test_daemon_that_has_just_started(self):
        """A daemon started after the crashes, and sent such requests on."""
        with part_fleet.running_fleet() as fleet:
            crash_until_blocked(fleet, FIRST, BAD)
            fleet.restart(1)
            wait_blocked(fleet, 1)
            before = fleet.counts()
            assert fleet.ask(1, FIRST, BAD)[0] == 503
            assert fleet.counts() == before

    def test_daemon_that_starts_before_the_block_is_written(self):
        """The daemons that had found the part could not write that."""
        with part_fleet.running_fleet() as fleet:
            fleet.cut_from_store(0, 2)
            crash_until_blocked(fleet, FIRST, BAD, numbers=(0, 2))
            fleet.restart(1)
            wait_blocked(fleet, 1)
            before = fleet.counts()
            assert fleet.ask(1, FIRST, BAD)[0] == 503
            assert fleet.counts() == before

    def test_released_part_runs_again(self):
        with part_fleet.running_fleet() as fleet:
            crash_until_blocked(fleet, FIRST, BAD)
            fleet.bad_parts.clear()
            guard = fleet.daemons[0]._crash_assembly.guard
            assert guard.release(part_of(BAD)).members >= {part_of(BAD)}
            part_fleet.wait_until(lambda: not fleet.blocked(2))
            assert fleet.ask(2, FIRST, BAD) == (200, True)


class TestWaiting:
    def test_request_that_waits_for_a_slot_is_checked_again(self):
        """Requests waited for a slot, and ran after the part was blocked."""
        with part_fleet.running_fleet() as fleet:
            gate = fleet.delay_slots(1)
            waiting = gevent.spawn(fleet.ask, 1, FIRST, BAD)
            fleet.write_block(part_of(BAD))
            wait_blocked(fleet, 1)
            gate.set()
            assert waiting.get()[0] == 503
            assert fleet.counts()[0] == 0


class TestUnframedStreams:
    def test_sound_parts_are_not_blamed(self):
        """Streams without chunks end with their connection, as in a crash."""
        with part_fleet.running_fleet() as fleet:
            fleet.is_framed = False
            with part_fleet.traffic(fleet) as traffic:
                traffic.send(FIRST, interval=0.05, varies=_OTHERS)
                traffic.send(FIRST, BAD, interval=0.25, varies=_OTHERS)
                wait_until_known(fleet)
                assert fleet.blocked(1) == {part_of(BAD)}
                before = len(traffic.sound)
                gevent.sleep(1.0)
                assert traffic.begun_share(before) >= 0.9

    def test_stream_that_ends_within_an_event_is_a_crash(self):
        """The end of such a stream counted as a complete answer."""
        with part_fleet.running_fleet() as fleet:
            fleet.is_framed = False
            fleet.crashes_within_event = True
            with part_fleet.traffic(fleet) as traffic:
                traffic.send(FIRST, interval=0.1, varies=_OTHERS)
                traffic.send(FIRST, BAD, interval=0.25, varies=_OTHERS)
                wait_until_known(fleet)
                assert fleet.blocked(1) == {part_of(BAD)}
