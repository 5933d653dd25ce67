"""A team sends many times its usual load for some seconds."""

import time

import gevent

from soak import _clients
from soak import _expected
from soak import _surging_team


class TestSurgingTeam:
    def test_overlapping_surges(self, monkeypatch):
        """The recorded spans must be those in which the team surged.

        Otherwise requests are held to the bound of a surge outside of one.
        """
        running = []

        def run(caller, until):
            running.append(caller)
            gevent.sleep(max(0.0, until - time.monotonic()))

        monkeypatch.setattr(_clients.Caller, "run", run)
        monkeypatch.setattr(_surging_team, "_MIN_SURGE_SECONDS", 0.0)
        team = _surging_team.SurgingTeam(addresses=[], seed=1)
        team.run(time.monotonic())
        usual = len(running)
        surges = [gevent.spawn(team.surge, 1, 0.1) for _ in range(2)]
        gevent.joinall(surges, raise_error=True)
        assert len(running) == _surging_team._SURGE_FACTOR * usual
        (surge,) = team.surges
        assert surge.ended <= time.monotonic()
        assert {caller._team for caller in running} == {_expected.SURGING_TEAM}
