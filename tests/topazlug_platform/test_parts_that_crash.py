"""Requests that share a prompt part on which replicas crash."""

import gevent

from tests.topazlug_platform import part_fleet

BAD, FIRST = part_fleet.BAD, part_fleet.FIRST
# Crashes from which on the time counts until every daemon must know the part.
_CRASHES = 5
_KNOWN_SECONDS = 3.0
_TEAMS_PARTS = ("tools", "style", "manual")


def wait_until_known(fleet, crashes=_CRASHES):
    """Wait until the part must be known to every daemon."""
    with gevent.Timeout(30, False):
        while fleet.crashed_count() < crashes:
            gevent.sleep(0.02)
    gevent.sleep(_KNOWN_SECONDS)


class TestCrashingPart:
    def test_no_request_with_the_part_arrives_late(self):
        """Requests with one part crashed replicas, no two of them alike."""
        with part_fleet.running_fleet() as fleet:
            with part_fleet.traffic(fleet) as traffic:
                traffic.send(FIRST, interval=0.05, varies=_TEAMS_PARTS)
                traffic.send(FIRST, BAD, interval=0.25, varies=_TEAMS_PARTS)
                wait_until_known(fleet)
                arrived, _ = fleet.counts()
                before = len(traffic.sound)
                gevent.sleep(_KNOWN_SECONDS)
                assert fleet.counts()[0] == arrived
                assert traffic.begun_share(before) >= 0.9
