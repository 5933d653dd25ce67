"""While the table service is down, only claims are rejected."""

import time

import pytest

from bench.fleets import fleet as _fleet
from bench.fleets import fleet_calls
from tests.fleet import fleet_fixtures
from tests.fleet import fleet_load

pytestmark = pytest.mark.processes
OUTAGE_SECONDS = 6.0


class TestOutage:
    def test_chats_succeed_and_claims_are_rejected(
        self, fleet: _fleet.Fleet
    ) -> None:
        """A long outage of the platform must not stop chats.

        All platform services are down, including the instance list. Callers
        get no response if a request waits for a read or a write that it
        doesn't need.
        """
        key = fleet_fixtures.new_key()
        rejected = []
        down = {"down": True, "down_list": True}
        with fleet_fixtures.faults(fleet.platform_url, **down):
            end = time.monotonic() + OUTAGE_SECONDS
            with fleet_load.Load(fleet) as load:
                while time.monotonic() < end:
                    daemon = fleet.daemons[len(rejected) % 3]
                    rejected.append(fleet_fixtures.order(daemon, key))
                    load.wait_for_more(5)
        assert load.failures() == []
        assert {answer.status for answer in rejected} == {503}
        assert {answer.outcome for answer in rejected} == {"not-run"}
        assert all("retry-after" in answer.headers for answer in rejected)
        assert fleet_fixtures.run_count(fleet, key) == 0
        fleet_fixtures.eventually(
            lambda: fleet_fixtures.order(fleet.daemons[0], key).status == 200
        )
        assert fleet_fixtures.run_count(fleet, key) == 1

    def test_chats_succeed_with_a_slow_store(
        self, fleet: _fleet.Fleet
    ) -> None:
        """A slow platform must not slow down chats.

        Each response of the platform takes seconds. Chats are delayed if
        handling them includes waiting for the platform.
        """
        with fleet_fixtures.faults(fleet.platform_url, delay=5.0):
            answers = [fleet_fixtures.chat(d) for d in fleet.daemons * 3]
        assert {a.ending for a in answers} == {fleet_calls.Ending.WHOLE}
