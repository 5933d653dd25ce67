"""While the table service is down, only claims are refused."""

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
        """Symptom: all callers hear silence while the store is down.

        Sequence: the platform's services are down for long, the list of
        instances among them. Cause: a request waits for a read or a write
        that it does not need.
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
        """Symptom: chats crawl while the store is slow.

        Sequence: each answer of the platform takes seconds. Cause: the
        chat's path waits for the platform.
        """
        with fleet_fixtures.faults(fleet.platform_url, delay=5.0):
            answers = [fleet_fixtures.chat(d) for d in fleet.daemons * 3]
        assert {a.ending for a in answers} == {fleet_calls.Ending.WHOLE}
