"""Daemons that reach no replica, while others of their fleet do."""

import contextlib

from tests.topazlug.forwarding import forwarding_fixtures as fixtures
from tests.topazlug_platform import cut_fleet

CUT = cut_fleet.CUT
TRIES = 40
# Of the tries at a daemon that is cut off, at least this fraction is served.
MIN_SERVED = 0.95


@contextlib.contextmanager
def running_fleet(*, daemons=3, **changes):
    fleet = cut_fleet.CutFleet(fixtures.route(**changes), daemons=daemons)
    try:
        fleet.warm_up()
        yield fleet
    finally:
        fleet.stop()


class TestMostDaemons:
    def test_callers_are_served_by_the_one_that_is_left(self):
        """Two of three daemons refused all callers, and the third none."""
        with running_fleet() as fleet:
            fleet.cut_off(CUT.HANG, 0, 1)
            fleet.notice_cut(0, 1)
            for number in (0, 1):
                served = fleet.statuses(number, TRIES).count(200)
                assert served >= MIN_SERVED * TRIES
