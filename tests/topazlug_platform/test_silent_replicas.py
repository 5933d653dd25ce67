"""A sound replica that is silent for a second and then goes on."""

import contextlib

import gevent
import pytest

from tests.topazlug.forwarding import forwarding_fixtures as fixtures
from tests.topazlug_platform import cut_fleet
from tests.topazlug_platform import platform_rig
from topazlug.forwarding import _table

STREAM = _table.RequestKind.STREAM
SILENCE_SECONDS = 1.0


@contextlib.contextmanager
def running(route, scripts):
    rig = platform_rig.Rig(route, scripts=scripts)
    try:
        yield rig
    finally:
        rig.stop()


def pausing(sock):
    """Send a stream with a second of silence after its first event."""
    sock.sendall(
        platform_rig.stream_head() + platform_rig.chunk(platform_rig.event(1))
    )
    gevent.sleep(SILENCE_SECONDS)
    rest = platform_rig.event(2) + platform_rig.event(3)
    sock.sendall(platform_rig.chunk(rest) + platform_rig.END)


class TestSilentReplica:
    @pytest.mark.parametrize("max_pause", [0.05, 0.3])
    def test_stream_goes_on_at_its_replica(self, max_pause):
        """It was resumed elsewhere while the first run went on too."""
        route = fixtures.route(
            kind=STREAM, resumable=True, max_pause=max_pause
        )
        with running(route, scripts=[pausing] * 2) as rig:
            _, _, body = rig.send()
            assert len(rig.requests) == 1
        assert platform_rig.event(3) in body
        assert body.endswith(platform_rig.END)

    def test_daemon_does_not_count_as_cut_off(self):
        """One silent replica is no reason to have others serve requests."""
        fleet = cut_fleet.CutFleet(
            fixtures.route(kind=_table.RequestKind.AT_MOST_ONCE)
        )
        try:
            fleet.warm_up()
            silent = fleet.replicas[0].name
            fleet.links_by_daemon[0][silent].cut(cut_fleet.CUT.HANG)
            fleet.statuses(0, 12)
            assert not fleet.is_cut_off(0)
            assert fleet.delegated(0) == 0
            fleet.links_by_daemon[0][silent].heal()
            assert fleet.statuses(0, 12) == [200] * 12
        finally:
            fleet.stop()
