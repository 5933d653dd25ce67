"""Fault injection: a seed determines the faults, which may overlap."""

from collections.abc import Callable
import random
import signal
import time
from typing import NamedTuple

import gevent

from soak import _store
from soak import _world

_PAUSE_SECONDS = (0.2, 1.2)
_DURATION_SECONDS = (0.5, 2.5)
# Duration of a brief store outage, and of the time without another one after
# it, in which the time bounds must hold again.
_BRIEF_OUTAGE_SECONDS = 0.4
_RECOVERY_SECONDS = 4.5
# Longer than the time in which a replica may still receive requests after it
# has announced that it is leaving, and longer than a backoff.
_ANNOUNCED_LEAVE_SECONDS = 3.0
_REJECTING_SECONDS = 3.0
_DELAY_SECONDS = 0.05
# Includes the time that daemons may need to learn of the evacuation.
_EVACUATION_SECONDS = 3.0


class InjectedFault(NamedTuple):
    """A fault that was injected; the number selects a daemon or replica."""

    at: float
    kind: str
    number: int


class Faults:
    """Injects faults until a point in time, then reverts all of them.

    Parameters
    ----------
    world : World
        Processes, links and the store.
    seed : int
        Determines the kind, time and duration of each fault.
    only : str
        Comma-separated parts of the names of the kinds to inject; empty for
        all kinds.
    """

    def __init__(
        self, *, world: _world.World, seed: int, only: str = ""
    ) -> None:
        self._world = world
        self._random = random.Random(seed)
        self._running: list[gevent.Greenlet] = []
        self._is_briefly_silent = False
        self.injected: list[InjectedFault] = []
        self._kinds: dict[str, Callable[[int, float], None]] = {
            "daemon-stopped": self._stop_daemon,
            "daemon-killed": self._kill_daemon,
            "daemon-frozen": self._freeze_daemon,
            "replica-killed": self._kill_replica,
            "replica-frozen": self._freeze_replica,
            "replica-drained": self._drain_replica,
            "replica-leaves-unlisted": self._leave_while_registered,
            "replica-sheds": self._reject_requests,
            "zone-evacuated": self._evacuate_zone,
            "link-cut": self._cut_link,
            "link-silent": self._silence_link,
            "link-slow": self._slow_link,
            "store-silent": self._disrupt_store(_store.Mode.SILENT),
            "store-busy": self._disrupt_store(_store.Mode.BUSY),
            "store-reset": self._disrupt_store(_store.Mode.RESET),
            "store-briefly-silent": self._silence_store_briefly,
            "store-forgets": self._drop_store_history,
            "configuration": self._change_configuration,
        }
        if only:
            self._kinds = {
                kind: inject
                for kind, inject in self._kinds.items()
                if any(part in kind for part in only.split(","))
            }

    def run(self, until: float) -> None:
        """Inject faults until a point in time, then wait until they end."""
        while time.monotonic() < until:
            gevent.sleep(self._random.uniform(*_PAUSE_SECONDS))
            kind = self._random.choice(list(self._kinds))
            number = self._random.randrange(100)
            duration = self._random.uniform(*_DURATION_SECONDS)
            self.injected.append(InjectedFault(time.monotonic(), kind, number))
            self._running.append(
                gevent.spawn(self._kinds[kind], number, duration)
            )
        gevent.joinall(self._running, raise_error=True)

    def _stop_daemon(self, number: int, duration: float) -> None:
        daemon = self._world.daemon(number)
        if not daemon.process.is_running():
            return
        daemon.record_disruption()
        # An overlapping fault may end the daemon too and restart it.
        before = daemon.process.pid
        daemon.process.terminate()
        while daemon.process.is_running() and daemon.process.pid == before:
            gevent.sleep(0.05)
        daemon.start()

    def _kill_daemon(self, number: int, duration: float) -> None:
        daemon = self._world.daemon(number)
        daemon.record_kill()
        daemon.process.kill()
        gevent.sleep(duration / 2)
        daemon.start()

    def _freeze_daemon(self, number: int, duration: float) -> None:
        daemon = self._world.daemon(number)
        daemon.record_disruption(duration)
        daemon.process.freeze()
        gevent.sleep(duration)
        daemon.process.thaw()

    def _kill_replica(self, number: int, duration: float) -> None:
        replica = self._world.replica(number)
        replica.process.kill()
        gevent.sleep(duration)
        self._world.replace(replica)

    def _freeze_replica(self, number: int, duration: float) -> None:
        replica = self._world.replica(number)
        replica.process.freeze()
        gevent.sleep(duration)
        replica.process.thaw()

    def _drain_replica(self, number: int, duration: float) -> None:
        self._drain_replica_of(self._world.replica(number))

    def _drain_replica_of(self, replica: _world.Replica) -> None:
        if replica.drained_at is not None:
            return
        replica.process.terminate()
        replica.drained_at = time.monotonic()
        while replica.process.is_running():
            gevent.sleep(0.1)
        self._world.replace(replica)

    def _leave_while_registered(self, number: int, duration: float) -> None:
        """Announce leaving in responses only, and drain some time later."""
        replica = self._world.replica(number)
        if replica.drained_at is not None or replica.announces_leaving:
            return
        replica.announces_leaving = True
        replica.process.send(signal.SIGUSR2)
        gevent.sleep(_ANNOUNCED_LEAVE_SECONDS + duration)
        self._drain_replica_of(replica)

    def _reject_requests(self, number: int, duration: float) -> None:
        """Have a replica reject all requests for a while."""
        replica = self._world.replica(number)
        if replica.is_rejecting:
            return
        replica.is_rejecting = True
        replica.process.send(signal.SIGUSR1)
        gevent.sleep(_REJECTING_SECONDS + duration)
        replica.process.send(signal.SIGUSR1)
        replica.is_rejecting = False

    def _evacuate_zone(self, number: int, duration: float) -> None:
        self._world.evacuate(number, _EVACUATION_SECONDS + duration)

    def _cut_link(self, number: int, duration: float) -> None:
        self._fault_link(number, duration, cut=True)

    def _silence_link(self, number: int, duration: float) -> None:
        self._fault_link(number, duration, blackhole=True)

    def _slow_link(self, number: int, duration: float) -> None:
        self._fault_link(number, duration, delay=_DELAY_SECONDS)

    def _fault_link(
        self, number: int, duration: float, **faults: object
    ) -> None:
        link = self._world.replica(number).link
        link.set_faults(**faults)
        gevent.sleep(duration)
        link.set_faults()

    def _disrupt_store(
        self, mode: _store.Mode
    ) -> Callable[[int, float], None]:
        def disrupt(number: int, duration: float) -> None:
            self._world.store.set_mode(mode)
            gevent.sleep(duration)
            self._world.store.set_mode(_store.Mode.NORMAL)

        return disrupt

    def _silence_store_briefly(self, number: int, duration: float) -> None:
        """Silence the store briefly, then change the configuration at once."""
        if self._is_briefly_silent:
            return
        self._is_briefly_silent = True
        self._world.store.set_mode(_store.Mode.SILENT)
        gevent.sleep(_BRIEF_OUTAGE_SECONDS)
        self._world.store.set_mode(_store.Mode.NORMAL)
        self._world.change_configuration()
        gevent.sleep(_RECOVERY_SECONDS)
        self._is_briefly_silent = False

    def _drop_store_history(self, number: int, duration: float) -> None:
        self._world.store.drop_history()

    def _change_configuration(self, number: int, duration: float) -> None:
        self._world.change_configuration()
