"""The soak test ends every process that it starts."""

import types

import gevent
import pytest
from topazlug_platform import boot_file

from soak import _world


class SlowProcess:
    """A process whose start lets other greenlets run."""

    def __init__(self):
        self.started = 0
        self._running = False

    def is_running(self):
        return self._running

    def start(self):
        gevent.sleep(0)
        self.started += 1
        self._running = True


class TestDaemon:
    def test_concurrent_starts_start_one_process(self, tmp_path):
        """Overlapping faults must not leave a daemon running after the run.

        A kill and a planned stop each restarted the daemon at the same time,
        and only the second process was tracked. A later run of that seed
        failed with "Address already in use: ('127.1.1.4', 9464)".
        """
        daemon = _world.Daemon(number=0, folder=tmp_path, store_port=1, seed=1)
        daemon.process = SlowProcess()
        gevent.joinall([gevent.spawn(daemon.start) for _ in range(2)])
        assert daemon.process.started == 1

    @pytest.mark.parametrize("has_pressure", [False, True])
    def test_rule_sets(self, tmp_path, has_pressure):
        """Runs under pressure must not be without fair shares of teams."""
        _world.Daemon(
            number=0,
            folder=tmp_path,
            store_port=1,
            seed=1,
            has_pressure=has_pressure,
        )
        boot = boot_file.load(tmp_path / "boot-0.json")
        options = boot_file.options_from_boot(boot)
        assert options.is_capacity_short is has_pressure


class TestReplica:
    def test_concurrent_replacements_start_one_replica(
        self, tmp_path, monkeypatch
    ):
        """A replica that is replaced twice must not abort the soak.

        It crashed on a request just when a fault killed it, and both led to
        a replacement: "ValueError: Replica object is not in list". The soak
        ended with this error and left its processes running.
        """
        started = []

        def start(world):
            gevent.sleep(0)
            started.append(types.SimpleNamespace())
            return started[-1]

        monkeypatch.setattr(_world.World, "_new_replica", start)
        world = _world.World(folder=tmp_path, daemons=0, replicas=1, seed=1)
        (old,) = world.replicas
        replaced = [gevent.spawn(world.replace, old) for _ in range(2)]
        gevent.joinall(replaced, raise_error=True)
        world.store.stop()
        assert len(started) == 2
        assert world.replicas == started[1:]
