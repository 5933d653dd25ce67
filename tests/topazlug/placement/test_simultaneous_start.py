"""Requests in the first second after all daemons have started."""

import itertools

from tests.topazlug.placement import owner_fixtures
from topazlug import _ids
from topazlug.routing import _ranking

DAEMONS = tuple(f"d{number}" for number in range(40))
REPLICAS = tuple(f"i-{number}" for number in range(12))
SLOTS = 16
# Requests between two reports of load.
REPORT_EVERY = 36


def chats():
    return (
        _ids.ChatHash(_ranking.chat_hash("c", str(number)))
        for number in itertools.count()
    )


def count_displaced(fleet, count):
    """Return how many of a number of chats are not placed at their home."""
    displaced = 0
    daemons = itertools.cycle(fleet.daemons)
    for number, chat in enumerate(itertools.islice(chats(), count)):
        if number % REPORT_EVERY == 0:
            fleet.report()
        placement = next(daemons).admit(chat)
        displaced += placement.target.replica != _ranking.first(REPLICAS, chat)
    return displaced


def admit_one_chat(fleet, times):
    chat = next(chats())
    for daemon in itertools.islice(itertools.cycle(fleet.daemons), times):
        daemon.admit(chat)
        fleet.report()


class TestSimultaneousStart:
    def test_chats_go_home_while_replicas_are_nearly_idle(self):
        """Idle replicas must not displace chats after all daemons restart.

        All daemons lose power, callers return in the same second, and owners
        count from zero. The bound is a multiple of a mean near zero. In one
        outage owners rejected 733 requests, at a load of 2 and a limit of 2 on
        replicas of 16 slots, and contexts were read again.
        """
        fleet = owner_fixtures.Fleet(
            *DAEMONS, replicas=REPLICAS, slots=SLOTS, is_starting=True
        )
        assert count_displaced(fleet, 4 * len(REPLICAS)) == 0

    def test_bound_holds_after_the_start(self):
        fleet = owner_fixtures.Fleet(*DAEMONS, replicas=REPLICAS, slots=SLOTS)
        admit_one_chat(fleet, 8)
        assert max(fleet.load_by_replica().values()) < SLOTS / 2
