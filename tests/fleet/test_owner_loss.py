"""No request is lost when an owner dies, freezes or is partitioned."""

from collections import Counter
import time
from typing import Iterator

import pytest

from bench.fleets import fleet as _fleet
from bench.fleets import fleet_calls
from tests.fleet import fleet_fixtures
from tests.fleet import fleet_load

pytestmark = pytest.mark.processes
FROZEN_SECONDS = 3.0
CUT_SECONDS = 5.0


@pytest.fixture
def own_fleet() -> Iterator[_fleet.Fleet]:
    """Return a fleet for a single test, which may end or freeze daemons."""
    deployment = fleet_fixtures.deployment(daemons=4, engines=4, services=1)
    with _fleet.Fleet(deployment) as started:
        yield started


def busiest_owner(fleet: _fleet.Fleet) -> _fleet.DaemonProcess:
    """Return the daemon that owns the most engines."""
    found = fleet_calls.replicas(fleet.daemons[0]).values()
    owners = Counter(e["owner"] for e in found if e["group"] == "pool")
    name = owners.most_common(1)[0][0]
    return next(d for d in fleet.daemons if d.name == name)


def wait_until_idle(daemons: list[_fleet.DaemonProcess]) -> None:
    """Wait until all agree on the owners and count no slot as held."""
    fleet_fixtures.eventually(
        lambda: fleet_fixtures.agree_on_owners(daemons)
        and all(fleet_fixtures.is_idle(daemon) for daemon in daemons)
    )


class TestOwnerKilled:
    def test_no_request_is_lost_and_no_slot_leaks(
        self, own_fleet: _fleet.Fleet
    ) -> None:
        """The death of an owner must not fail calls or leak slots.

        The owner, through which no call enters just then, is killed under
        load. Calls fail if entry daemons wait for it, and a replica seems
        full forever if its successor isn't notified of released slots.
        """
        owner = busiest_owner(own_fleet)
        own_fleet.daemons.remove(owner)
        with fleet_load.Load(own_fleet) as load:
            load.wait_for_more(20)
            owner.process.kill()
            load.wait_for_more(200)
        assert load.failures() == []
        wait_until_idle(own_fleet.daemons)


class TestEntryKilled:
    def test_its_slots_are_released(self, own_fleet: _fleet.Fleet) -> None:
        """Slots held by a daemon that died must be released.

        A daemon is killed with streams open and can't release their slots
        itself. If nothing else does, replicas appear fuller with each
        instance that dies.
        """
        killed = own_fleet.daemons.pop()
        streams = [
            lambda: fleet_fixtures.chat(killed, tokens=2000) for _ in range(20)
        ]
        streams.append(lambda: kill_when_busy(killed, len(streams) - 1))
        fleet_fixtures.run_concurrently(streams)
        wait_until_idle(own_fleet.daemons)


class TestOwnerFrozen:
    def test_no_request_is_lost_and_no_slot_leaks(
        self, own_fleet: _fleet.Fleet
    ) -> None:
        """A frozen owner must not stall calls or overload replicas.

        The owner is frozen for seconds, replaced by another and resumed.
        Calls stall if each waits for the unresponsive owner again. A replica
        is overloaded if the resumed owner still admits requests to replicas
        that another owner has taken over.
        """
        owner = busiest_owner(own_fleet)
        all_daemons = list(own_fleet.daemons)
        own_fleet.daemons.remove(owner)
        with fleet_load.Load(own_fleet) as load:
            load.wait_for_more(20)
            owner.process.freeze()
            thaw_at = time.monotonic() + FROZEN_SECONDS
            fleet_fixtures.eventually(lambda: time.monotonic() > thaw_at)
            owner.process.thaw()
            load.wait_for_more(200)
        assert load.failures() == []
        wait_until_idle(all_daemons)


class TestNetworkPartition:
    @pytest.fixture
    def split_fleet(self) -> Iterator[_fleet.Fleet]:
        """Return a fleet of two groups whose links can be cut."""
        deployment = fleet_fixtures.deployment(daemons=4)
        groups = ((0, 1), (2, 3))
        with _fleet.Fleet(deployment, groups=groups) as started:
            yield started

    @pytest.mark.parametrize("fault", ["cut", "blackhole"])
    def test_groups_rejoin(
        self, split_fleet: _fleet.Fleet, fault: str
    ) -> None:
        """Daemons must rediscover each other after a network partition.

        Two groups of daemons can't reach each other, regard each other as
        dead, and both serve until the links work again. If no daemon contacts
        those regarded as dead, two owners go on admitting to one replica.
        """
        with fleet_load.Load(split_fleet) as load:
            load.wait_for_more(20)
            split_fleet.switch_links(**{fault: True})
            fleet_fixtures.eventually(
                lambda: live_daemons(split_fleet, 0) == {0, 1}
            )
            fleet_fixtures.eventually(
                lambda: live_daemons(split_fleet, 3) == {2, 3}
            )
            load.wait_for_more(100)
            split_fleet.switch_links(**{fault: False})
            all_daemons = set(range(4))
            fleet_fixtures.eventually(
                lambda: all(
                    live_daemons(split_fleet, n) == all_daemons
                    for n in all_daemons
                )
            )
            load.wait_for_more(50)
        assert load.failures() == []
        wait_until_idle(split_fleet.daemons)


def live_daemons(fleet: _fleet.Fleet, number: int) -> set[int]:
    """Return the numbers of the daemons that one daemon reports as live."""
    daemon = fleet.daemons[number]
    answer = fleet_calls.operate(daemon, "GET", "/v1/status")
    return {
        int(entry["id"].rpartition("-")[2])
        for entry in answer.document["daemons"]
        if entry["state"] == "live"
    }


def kill_when_busy(
    daemon: _fleet.DaemonProcess, count: int
) -> fleet_calls.Answer:
    """Kill a daemon once this many requests are in progress."""
    fleet_fixtures.eventually(
        lambda: fleet_fixtures.in_flight(daemon) == count
    )
    daemon.process.kill()
    return fleet_calls.Answer(ending=fleet_calls.Ending.BROKEN)
