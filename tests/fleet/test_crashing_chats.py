"""A chat that crashes engines is blocked across a fleet of daemons."""

import itertools
from typing import Iterator

import pytest

from bench.fleets import fleet as _fleet
from bench.fleets import fleet_calls
from tests.fleet import fleet_fixtures

_FIRST_NEW = 10
pytestmark = pytest.mark.processes
_NUMBERS = itertools.count(_FIRST_NEW)
_QUESTION = "the one that ends engines"
_ENGINES = 4
_MANY_ENGINES = 12
_ASKED = 8
# Three attempts identify the chat. The first of them may crash a second
# engine, and each of the others one before its daemon is notified.
_MOST_ENDED = 6


@pytest.fixture
def fleet() -> Iterator[_fleet.Fleet]:
    """Return a fleet whose engines crash on one question."""
    described = fleet_fixtures.deployment(
        daemons=3, engines=_ENGINES, services=0
    )
    with _fleet.Fleet(described) as started:
        for engine in started.engines:
            arm(engine)
        yield started


@pytest.fixture
def large_fleet() -> Iterator[_fleet.Fleet]:
    """Return a fleet with enough engines that none need be replaced."""
    described = fleet_fixtures.deployment(
        daemons=3, engines=_MANY_ENGINES, services=0
    )
    with _fleet.Fleet(described) as started:
        for engine in started.engines:
            arm(engine)
        yield started


def arm(engine: _fleet.TargetProcess) -> None:
    """Have an engine crash on the question."""
    fleet_calls.set_faults(engine.url, crash_text=_QUESTION)


def replace_ended(fleet: _fleet.Fleet) -> int:
    """Replace each engine that has exited; return how many there were."""
    (pool,) = fleet.deployment.pools
    ended = [one for one in fleet.engines if not one.process.is_running()]
    for engine in ended:
        fleet.engines.remove(engine)
        fleet.engines.append(fleet.start_engine(pool, next(_NUMBERS)))
        arm(fleet.engines[-1])
    return len(ended)


def is_served(daemon: _fleet.DaemonProcess) -> bool:
    """Return whether a daemon answers an ordinary chat."""
    return fleet_fixtures.chat(daemon).ending is fleet_calls.Ending.WHOLE


class TestChatThatEndsEngines:
    def test_few_engines_get_it_whichever_daemon_it_comes_to(
        self, fleet: _fleet.Fleet
    ) -> None:
        """A chat that crashes engines must be blocked by all daemons.

        Each attempt crashed up to four engines. The caller then retried at
        another daemon, which had no record of the earlier crashes.
        """
        ended = 0
        answers = []
        for number in range(_ASKED):
            daemon = fleet.daemons[number % 3]
            fleet_fixtures.eventually(lambda: is_served(daemon))
            answers.append(fleet_fixtures.chat(daemon, question=_QUESTION))
            ended += replace_ended(fleet)
        assert ended <= _MOST_ENDED
        assert [answer.code for answer in answers[-3:]] == [
            "request_blocked"
        ] * 3

    def test_few_engines_get_it_when_it_is_repeated_at_once(
        self, large_fleet: _fleet.Fleet
    ) -> None:
        """A chat must be held back by all daemons before it is blocked.

        Two of three daemons had the records of its crashes and held it back.
        The third one sent it to an engine again until they had decided.
        """
        fleet = large_fleet
        answers = [
            fleet_fixtures.chat(fleet.daemons[n % 3], question=_QUESTION)
            for n in range(_ASKED)
        ]
        ended = [one for one in fleet.engines if not one.process.is_running()]
        assert len(ended) <= _MOST_ENDED
        assert [answer.code for answer in answers[-3:]] == [
            "request_blocked"
        ] * 3

    def test_daemon_that_starts_later_blocks_it(
        self, fleet: _fleet.Fleet
    ) -> None:
        """A daemon started later must block the chat from its crash records.

        The records must outlive the daemons that made them.
        """
        for number in range(_ASKED):
            daemon = fleet.daemons[number % 3]
            fleet_fixtures.eventually(lambda: is_served(daemon))
            fleet_fixtures.chat(daemon, question=_QUESTION)
            replace_ended(fleet)
        late = fleet.start_daemon(3)
        fleet_fixtures.eventually(lambda: is_served(late))
        fleet_fixtures.eventually(
            lambda: fleet_fixtures.chat(late, question=_QUESTION).code
            == "request_blocked"
        )
        assert replace_ended(fleet) == 0
