"""What goes wrong, when: drawn from a seed, in series and overlapping."""

from collections.abc import Callable
import random
import signal
import time
from typing import NamedTuple

import gevent

from soak import _store
from soak import _world

_PAUSE_SECONDS = (0.2, 1.2)
_LASTS_SECONDS = (0.5, 2.5)
# A short silence, and the time without disruptions after it in which bounds
# hold again.
_BRIEF_SECONDS = 0.4
_CALM_SECONDS = 4.5
# Longer than a leaving replica may get requests after it has said so, and
# than a backoff.
_UNLISTED_SECONDS = 3.0
_SHEDDING_SECONDS = 3.0
_DELAY_SECONDS = 0.05
# Daemons may take a part of this to know of it.
_EVACUATED_SECONDS = 3.0


class Happened(NamedTuple):
    """One fault that was brought about."""

    at: float
    kind: str
    subject: int


class Faults:
    """Brings about faults until a moment, then undoes all of them.

    Parameters
    ----------
    world : World
        Processes, links and the store.
    seed : int
        Decides what comes when.
    only : str
        Part of a kind's name; other kinds don't come.
    """

    def __init__(
        self, *, world: _world.World, seed: int, only: str = ""
    ) -> None:
        self._world = world
        self._random = random.Random(seed)
        self._running: list[gevent.Greenlet] = []
        self._is_briefly_silent = False
        self.happened: list[Happened] = []
        self._kinds: dict[str, Callable[[int, float], None]] = {
            "daemon-stopped": self._stop_daemon,
            "daemon-killed": self._kill_daemon,
            "daemon-frozen": self._freeze_daemon,
            "replica-killed": self._kill_replica,
            "replica-frozen": self._freeze_replica,
            "replica-drained": self._drain_replica,
            "replica-leaves-unlisted": self._leave_unlisted,
            "replica-sheds": self._shed,
            "zone-evacuated": self._evacuate_zone,
            "link-cut": self._cut_link,
            "link-silent": self._silence_link,
            "link-slow": self._slow_link,
            "store-silent": self._disturb_store(_store.Mode.SILENT),
            "store-busy": self._disturb_store(_store.Mode.BUSY),
            "store-reset": self._disturb_store(_store.Mode.RESET),
            "store-briefly-silent": self._silence_store_briefly,
            "store-forgets": self._forget,
            "configuration": self._configure,
        }
        if only:
            self._kinds = {
                kind: bring_about
                for kind, bring_about in self._kinds.items()
                if any(part in kind for part in only.split(","))
            }

    def run(self, until: float) -> None:
        """Bring about faults until a moment, and wait for their ends."""
        while time.monotonic() < until:
            gevent.sleep(self._random.uniform(*_PAUSE_SECONDS))
            kind = self._random.choice(list(self._kinds))
            subject = self._random.randrange(100)
            lasts = self._random.uniform(*_LASTS_SECONDS)
            self.happened.append(Happened(time.monotonic(), kind, subject))
            self._running.append(
                gevent.spawn(self._kinds[kind], subject, lasts)
            )
        gevent.joinall(self._running, raise_error=True)

    def _stop_daemon(self, subject: int, lasts: float) -> None:
        daemon = self._world.daemon(subject)
        if not daemon.process.is_running():
            return
        daemon.disturb()
        # Another fault may end it too, and start it again.
        before = daemon.process.pid
        daemon.process.terminate()
        while daemon.process.is_running() and daemon.process.pid == before:
            gevent.sleep(0.05)
        daemon.start()

    def _kill_daemon(self, subject: int, lasts: float) -> None:
        daemon = self._world.daemon(subject)
        daemon.killed()
        daemon.process.kill()
        gevent.sleep(lasts / 2)
        daemon.start()

    def _freeze_daemon(self, subject: int, lasts: float) -> None:
        daemon = self._world.daemon(subject)
        daemon.disturb(lasts)
        daemon.process.freeze()
        gevent.sleep(lasts)
        daemon.process.thaw()

    def _kill_replica(self, subject: int, lasts: float) -> None:
        replica = self._world.replica(subject)
        replica.process.kill()
        gevent.sleep(lasts)
        self._world.replace(replica)

    def _freeze_replica(self, subject: int, lasts: float) -> None:
        replica = self._world.replica(subject)
        replica.process.freeze()
        gevent.sleep(lasts)
        replica.process.thaw()

    def _drain_replica(self, subject: int, lasts: float) -> None:
        self._drain_replica_of(self._world.replica(subject))

    def _drain_replica_of(self, replica: _world.Replica) -> None:
        if replica.drained_at is not None:
            return
        replica.process.terminate()
        replica.drained_at = time.monotonic()
        while replica.process.is_running():
            gevent.sleep(0.1)
        self._world.replace(replica)

    def _leave_unlisted(self, subject: int, lasts: float) -> None:
        """Leave, and say so in answers only for a while."""
        replica = self._world.replica(subject)
        if replica.drained_at is not None or replica.says_leaving:
            return
        replica.says_leaving = True
        replica.process.send(signal.SIGUSR2)
        gevent.sleep(_UNLISTED_SECONDS + lasts)
        self._drain_replica_of(replica)

    def _shed(self, subject: int, lasts: float) -> None:
        """Turn all requests away for a while."""
        replica = self._world.replica(subject)
        if replica.sheds:
            return
        replica.sheds = True
        replica.process.send(signal.SIGUSR1)
        gevent.sleep(_SHEDDING_SECONDS + lasts)
        replica.process.send(signal.SIGUSR1)
        replica.sheds = False

    def _evacuate_zone(self, subject: int, lasts: float) -> None:
        self._world.evacuate(subject, _EVACUATED_SECONDS + lasts)

    def _cut_link(self, subject: int, lasts: float) -> None:
        self._fault_link(subject, lasts, cut=True)

    def _silence_link(self, subject: int, lasts: float) -> None:
        self._fault_link(subject, lasts, blackhole=True)

    def _slow_link(self, subject: int, lasts: float) -> None:
        self._fault_link(subject, lasts, delay=_DELAY_SECONDS)

    def _fault_link(
        self, subject: int, lasts: float, **faults: object
    ) -> None:
        link = self._world.replica(subject).link
        link.set(**faults)
        gevent.sleep(lasts)
        link.set()

    def _disturb_store(
        self, mode: _store.Mode
    ) -> Callable[[int, float], None]:
        def disturb(subject: int, lasts: float) -> None:
            self._world.store.disturb(mode)
            gevent.sleep(lasts)
            self._world.store.disturb(_store.Mode.NORMAL)

        return disturb

    def _silence_store_briefly(self, subject: int, lasts: float) -> None:
        """Be silent for a moment; the configuration changes right after it."""
        if self._is_briefly_silent:
            return
        self._is_briefly_silent = True
        self._world.store.disturb(_store.Mode.SILENT)
        gevent.sleep(_BRIEF_SECONDS)
        self._world.store.disturb(_store.Mode.NORMAL)
        self._world.change_configuration()
        gevent.sleep(_CALM_SECONDS)
        self._is_briefly_silent = False

    def _forget(self, subject: int, lasts: float) -> None:
        self._world.store.forget()

    def _configure(self, subject: int, lasts: float) -> None:
        self._world.change_configuration()
