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
        until = time.monotonic() + 60.0
        team = _surging_team.SurgingTeam(addresses=[], seed=1, until=until)
        surges = [gevent.spawn(team.surge, 1, 0.1) for _ in range(2)]
        gevent.joinall(surges, raise_error=True)
        factor = _surging_team._SURGE_FACTOR - 1
        assert len(running) == factor * _surging_team._USUAL_CALLERS
        (surge,) = team.surges
        assert surge.ended <= time.monotonic()
        assert {caller._team for caller in running} == {_expected.SURGING_TEAM}

    def test_surge_ends_with_the_other_teams(self, monkeypatch):
        """A surge after the others have ended must not count as their loss.

        The team that surged was served alone then, and the others seemed to
        get a smaller part of what they had asked for (seed 7).
        """
        ends = []
        monkeypatch.setattr(
            _clients.Caller, "run", lambda caller, until: ends.append(until)
        )
        until = time.monotonic() + 0.1
        team = _surging_team.SurgingTeam(addresses=[], seed=1, until=until)
        team.surge(1, 2.0)
        assert set(ends) == {until}
        assert team.surges[0].ended == until
