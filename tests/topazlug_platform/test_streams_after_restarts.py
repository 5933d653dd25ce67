"""Streams that callers take up after the daemons have been killed."""

import contextlib

from tests.topazlug_platform import version_fleet

STREAMS = 24
# Of the streams of the only version, at least this fraction goes on.
MIN_COMPLETE = 0.9
wait_until = version_fleet.wait_until


@contextlib.contextmanager
def running_fleet(*versions):
    fleet = version_fleet.VersionFleet(versions=versions, first_start=True)
    try:
        fleet.warm_up()
        wait_until(lambda: fleet.recorded() == set(versions))
        yield fleet
    finally:
        fleet.stop()


def begin(fleet):
    """Return callers with the first events of streams, at each daemon."""
    callers = []
    for number in range(len(fleet.daemons)):
        callers += fleet.begin_streams(STREAMS // 3, number, events=2)
    return callers


def begin_release(fleet):
    """Start replicas of the second version."""
    fleet.add_replica("v2")
    fleet.add_replica("v2")
    fleet.list_replicas()
    wait_until(lambda: fleet.recorded() == {"v1", "v2"})


def mixed(streams):
    return [one for one in streams if one.is_mixed]


class TestAllDaemonsKilled:
    def test_as_a_release_ended(self):
        """Daemons that had just started confirmed each other's short view."""
        with running_fleet("v1", "v1") as fleet:
            callers = begin(fleet)
            begin_release(fleet)
            fleet.kill()
            fleet.remove_version("v1")
            fleet.start()
            streams = fleet.take_up(callers, 1)
            assert mixed(streams) == []
            assert {one.statuses[-1] for one in streams} == {503}

    def test_before_any_saw_the_second_version(self):
        """No daemon that runs had ever seen the first one."""
        with running_fleet("v1", "v1") as fleet:
            callers = begin(fleet)
            fleet.kill()
            fleet.add_replica("v2")
            fleet.remove_version("v1")
            fleet.start()
            assert mixed(fleet.take_up(callers, 0)) == []

    def test_with_one_version(self):
        """Streams that could go on anywhere were refused."""
        with running_fleet("v1", "v1") as fleet:
            callers = begin(fleet)
            fleet.kill()
            fleet.start()
            streams = fleet.take_up(callers, 2)
            complete = [one for one in streams if one.is_complete]
            assert len(complete) >= MIN_COMPLETE * len(streams)
            assert fleet.messages() == 0


class TestDaemonsKilledInTurn:
    def test_after_a_release(self):
        """The last daemon that had seen the first version was killed."""
        with running_fleet("v1", "v1") as fleet:
            callers = begin(fleet)
            begin_release(fleet)
            fleet.remove_version("v1")
            for number in range(len(fleet.daemons)):
                fleet.kill(number)
                fleet.start(number)
            assert mixed(fleet.take_up(callers, 2)) == []

    def test_with_one_version(self):
        with running_fleet("v1", "v1") as fleet:
            callers = begin(fleet)
            for number in range(len(fleet.daemons)):
                fleet.kill(number)
                fleet.start(number)
            streams = fleet.take_up(callers, 0)
            complete = [one for one in streams if one.is_complete]
            assert len(complete) >= MIN_COMPLETE * len(streams)


class TestStoreRejectsRecords:
    def test_second_version_is_not_used(self):
        """Nothing would tell of it after all daemons were killed."""
        with running_fleet("v1", "v1") as fleet:
            rejects = fleet.reject_writes()
            fleet.add_replica("v2")
            fleet.list_replicas()
            wait_until(rejects.is_set)
            streams = fleet.streams(STREAMS, 0)
            assert {one.versions for one in streams} == {frozenset({"v1"})}
            assert fleet.recorded() == {"v1"}
