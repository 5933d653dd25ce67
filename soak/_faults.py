"""Fault injection: a seed determines the faults, which may overlap."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
import contextlib
import random
import signal
import time
from typing import NamedTuple

import gevent

from bench.fleets import processes
from soak import _eager_callers
from soak import _store
from soak import _world
from standins import _cut_link

_PAUSE_SECONDS = (0.2, 1.2)
_LOAD_PAUSE_SECONDS = (0.5, 2.5)
_OWNER_PAUSE_SECONDS = (1.0, 3.0)
_ZONE_PAUSE_SECONDS = (2.0, 5.0)
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
# Several times the second within which owners must notice it.
_SLOW_SECONDS = 3.0
# Several times the second after which a failing replica must not matter.
_FAILING_SECONDS = 2.5
_FLAP_SECONDS = 0.4
# Longer than the time after which callers must be served elsewhere.
_CUT_SECONDS = 4.0
# Longer than the time after which requests must be read again.
_HERD_SECONDS = 2.0
# Longer than the time after which rejections crash brittle replicas.
_BRITTLE_SECONDS = 5.0
_SURGE_KIND = "team-surges"
# Includes the time that daemons may need to learn of the evacuation.
_EVACUATION_SECONDS = 3.0


_Inject = Callable[[int, float], None]


class Draw(NamedTuple):
    """A fault as drawn, and the pause before it."""

    pause: float
    kind: str
    number: int
    duration: float


def draws(
    generator: random.Random,
    kinds: Iterable[str],
    pauses: tuple[float, float],
) -> Iterator[Draw]:
    """Yield the faults that a random generator determines, without an end."""
    names = list(kinds)
    while True:
        yield Draw(
            pause=generator.uniform(*pauses),
            kind=generator.choice(names),
            number=generator.randrange(100),
            duration=generator.uniform(*_DURATION_SECONDS),
        )


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
    surge : callable or None
        Has one team send many times its usual load; None if no team surges in
        this run.
    cuts_daemons : bool
        Whether to cut daemons off from all replicas, and to turn replicas
        brittle.
    has_herds : bool
        Whether herds of connections come to one daemon.
    has_release : bool
        Whether all replicas are replaced by others of another version.
    has_stops : bool
        Whether daemons are stopped as planned, one after the other, some of
        them with a second signal.
    has_misbehaving_clients : bool
        Whether crowds of clients that send on or stop come to daemons.
    has_zone_losses : bool
        Whether half of the replicas end at the same moment.
    """

    def __init__(
        self,
        *,
        world: _world.World,
        seed: int,
        only: str = "",
        surge: _Inject | None = None,
        cuts_daemons: bool = False,
        has_herds: bool = False,
        has_release: bool = False,
        has_stops: bool = False,
        has_misbehaving_clients: bool = False,
        has_zone_losses: bool = False,
    ) -> None:
        self._world = world
        self._seed = seed
        self._running: list[gevent.Greenlet] = []
        self._is_briefly_silent = False
        self._is_stopping = False
        self._stopped_at = 0.0
        self._has_lost_power = False
        self._is_released = False
        self._is_brittle = False
        self.injected: list[InjectedFault] = []
        kinds: dict[str, _Inject] = {
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
        load_kinds: dict[str, _Inject] = {"replica-slow": self._slow_replica}
        owner_kinds: dict[str, _Inject] = {
            "replica-fails": self._fail_requests,
            "replica-flaps": self._flap_replica,
            "daemons-lose-power": self._lose_power,
        }
        cut_kinds: dict[str, _Inject] = {}
        if cuts_daemons:
            cut_kinds = {
                "daemons-cut-off": self._cut_off_daemons,
                "replicas-brittle": self._turn_brittle,
            }
        herd_kinds: dict[str, _Inject] = {}
        if has_herds:
            herd_kinds = {"connection-herd": self._crowd_daemon}
        stop_kinds: dict[str, _Inject] = {}
        if has_stops:
            stop_kinds = {"planned-stop": self._stop_as_planned}
        release_kinds: dict[str, _Inject] = {}
        if has_release:
            release_kinds = {"version-released": self._release}
        client_kinds: dict[str, _Inject] = {}
        if has_misbehaving_clients:
            client_kinds = {"clients-misbehave": self._send_crowd}
        zone_kinds: dict[str, _Inject] = {}
        if has_zone_losses:
            zone_kinds = {"zone-lost": self._kill_replicas}
        parts = only.split(",")
        known = [*kinds, *load_kinds, _SURGE_KIND, *owner_kinds, *cut_kinds]
        known += [*herd_kinds, *release_kinds, *stop_kinds, *client_kinds]
        known += zone_kinds
        if not any(part in kind for kind in known for part in parts):
            raise ValueError(f"{only!r} is part of none of {known}")
        if surge is not None:
            load_kinds[_SURGE_KIND] = surge
        self._kinds = _select(kinds, parts)
        self._load_kinds = _select(load_kinds, parts)
        self._owner_kinds = _select(owner_kinds, parts)
        self._cut_kinds = _select(cut_kinds, parts)
        self._herd_kinds = _select(herd_kinds, parts)
        self._release_kinds = _select(release_kinds, parts)
        self._stop_kinds = _select(stop_kinds, parts)
        self._client_kinds = _select(client_kinds, parts)
        self._zone_kinds = _select(zone_kinds, parts)

    def run(self, until: float) -> None:
        """Inject faults until a point in time, then wait until they end."""
        # Kinds that were added later have a generator of their own, so that
        # earlier seeds still determine the same faults of the other kinds.
        injectors = [
            gevent.spawn(
                self._inject,
                draws(random.Random(seed), kinds, pauses),
                kinds,
                until,
            )
            for seed, kinds, pauses in (
                (self._seed, self._kinds, _PAUSE_SECONDS),
                (f"load {self._seed}", self._load_kinds, _LOAD_PAUSE_SECONDS),
                (
                    f"owner {self._seed}",
                    self._owner_kinds,
                    _OWNER_PAUSE_SECONDS,
                ),
                (f"cut {self._seed}", self._cut_kinds, _LOAD_PAUSE_SECONDS),
                (f"herd {self._seed}", self._herd_kinds, _OWNER_PAUSE_SECONDS),
                (
                    f"release {self._seed}",
                    self._release_kinds,
                    _OWNER_PAUSE_SECONDS,
                ),
                (f"stop {self._seed}", self._stop_kinds, _OWNER_PAUSE_SECONDS),
                (
                    f"clients {self._seed}",
                    self._client_kinds,
                    _OWNER_PAUSE_SECONDS,
                ),
                (f"zone {self._seed}", self._zone_kinds, _ZONE_PAUSE_SECONDS),
            )
            if kinds
        ]
        gevent.sleep(max(0.0, until - time.monotonic()))
        gevent.joinall(injectors, raise_error=True)
        gevent.joinall(self._running, raise_error=True)

    def _inject(
        self,
        drawn: Iterator[Draw],
        inject_by_kind: dict[str, _Inject],
        until: float,
    ) -> None:
        while time.monotonic() < until:
            fault = next(drawn)
            gevent.sleep(fault.pause)
            self.injected.append(
                InjectedFault(time.monotonic(), fault.kind, fault.number)
            )
            inject = inject_by_kind[fault.kind]
            self._running.append(
                gevent.spawn(inject, fault.number, fault.duration)
            )

    def _crowd_daemon(self, number: int, duration: float) -> None:
        self._world.crowd(number, _HERD_SECONDS + duration)

    def _send_crowd(self, number: int, duration: float) -> None:
        self._world.send_crowd(number, _HERD_SECONDS + duration)

    def _stop_daemon(self, number: int, duration: float) -> None:
        daemon = self._world.daemon(number)
        if not daemon.process.is_running():
            return
        self._stop(daemon)

    def _stop_as_planned(self, number: int, duration: float) -> None:
        """Stop one daemon, unless another one is being stopped."""
        daemon = self._world.daemon(number)
        if self._is_stopping or not daemon.process.is_running():
            return
        self._is_stopping = True
        before = len(daemon.disruptions) + 1
        began = time.monotonic()
        if number % 2:
            self._running.append(
                gevent.spawn_later(
                    duration, signal_again, daemon.process, daemon.process.pid
                )
            )
        self._stop(daemon)
        self._world.stops.append(
            _eager_callers.Stop(
                daemon=self._world.daemons.index(daemon),
                began=began,
                ended=self._stopped_at,
                # One when it was told, and one as it was started again.
                is_alone=len(daemon.disruptions) == before + 1,
            )
        )
        self._is_stopping = False

    def _stop(self, daemon: _world.Daemon) -> None:
        daemon.record_disruption()
        # An overlapping fault may end the daemon too and restart it.
        before = daemon.process.pid
        daemon.process.terminate()
        while daemon.process.is_running() and daemon.process.pid == before:
            gevent.sleep(0.05)
        self._stopped_at = time.monotonic()
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
        with replica.disrupted():
            replica.process.kill()
            gevent.sleep(duration)
            self._world.replace(replica)

    def _kill_replicas(self, number: int, duration: float) -> None:
        """End every second replica at the same moment."""
        chosen = self._world.replicas[number % 2 :: 2]
        with contextlib.ExitStack() as stack:
            for replica in chosen:
                stack.enter_context(replica.disrupted())
            for replica in chosen:
                replica.process.kill()
            gevent.sleep(duration)
            for replica in chosen:
                self._world.replace(replica)

    def _freeze_replica(self, number: int, duration: float) -> None:
        replica = self._world.replica(number)
        with replica.disrupted():
            replica.process.freeze()
            gevent.sleep(duration)
            replica.process.thaw()

    def _drain_replica(self, number: int, duration: float) -> None:
        self._drain_replica_of(self._world.replica(number))

    def _drain_replica_of(self, replica: _world.Replica) -> None:
        if replica.drained_at is not None:
            return
        with replica.disrupted():
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
        with replica.disrupted():
            replica.process.send(signal.SIGUSR2)
            gevent.sleep(_ANNOUNCED_LEAVE_SECONDS + duration)
            self._drain_replica_of(replica)

    def _reject_requests(self, number: int, duration: float) -> None:
        """Have a replica reject all requests for a while."""
        replica = self._world.replica(number)
        if replica.is_rejecting:
            return
        replica.is_rejecting = True
        with replica.disrupted():
            replica.process.send(signal.SIGUSR1)
            gevent.sleep(_REJECTING_SECONDS + duration)
            replica.process.send(signal.SIGUSR1)
        replica.is_rejecting = False

    def _slow_replica(self, number: int, duration: float) -> None:
        """Have a replica work slowly for a while, and report it if it may."""
        replica = self._world.replica(number)
        if replica.is_slow:
            return
        replica.is_slow = True
        with replica.disrupted():
            replica.process.send(signal.SIGHUP)
            gevent.sleep(_SLOW_SECONDS + duration)
            replica.process.send(signal.SIGHUP)
        replica.is_slow = False

    def _fail_requests(self, number: int, duration: float) -> None:
        """Have a replica fail some or all of its requests for a while."""
        replica = self._world.replica(number)
        if replica.is_failing:
            return
        replica.is_failing = True
        with replica.disrupted(is_failing=True):
            replica.process.send(signal.SIGWINCH)
            gevent.sleep(_FAILING_SECONDS + duration)
            replica.process.send(signal.SIGWINCH)
        replica.is_failing = False

    def _flap_replica(self, number: int, duration: float) -> None:
        """Make a replica unreachable and reachable again by turns."""
        replica = self._world.replica(number)
        if replica.is_failing:
            return
        replica.is_failing = True
        until = time.monotonic() + _FAILING_SECONDS + duration
        with replica.disrupted(is_failing=True):
            while time.monotonic() < until:
                replica.link.set_faults(cut=True)
                gevent.sleep(_FLAP_SECONDS)
                replica.link.set_faults()
                gevent.sleep(_FLAP_SECONDS)
        replica.is_failing = False

    def _cut_off_daemons(self, number: int, duration: float) -> None:
        """Cut one, most or all daemons off from all replicas for a while."""
        daemons = len(self._world.daemons)
        count = 1 + number % daemons
        chosen = frozenset((number + one) % daemons for one in range(count))
        how = list(_cut_link.Cut)[number % len(_cut_link.Cut)]
        self._world.cut_off_daemons(chosen, how, _CUT_SECONDS + duration)

    def _turn_brittle(self, number: int, duration: float) -> None:
        """Have all replicas report for a while that they are brittle."""
        if self._is_brittle:
            return
        self._is_brittle = True
        self._world.brittle_periods += 1
        brittle = list(self._world.replicas)
        for replica in brittle:
            replica.process.send(signal.SIGURG)
        gevent.sleep(_BRITTLE_SECONDS + duration)
        for replica in brittle:
            replica.process.send(signal.SIGURG)
        self._is_brittle = False

    def _lose_power(self, number: int, duration: float) -> None:
        """Have all daemons lose power at once, at most once in a run.

        The checks of single daemons exempt one that has been restarted.
        """
        if not self._has_lost_power:
            self._has_lost_power = True
            self._world.lose_power(duration / 2)

    def _release(self, number: int, duration: float) -> None:
        """Release another version, at most once in a run.

        In half of the runs all daemons lose power as it ends.
        """
        if self._is_released:
            return
        self._is_released = True
        self._world.release()
        if number % 2:
            self._lose_power(number, duration)

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
        replica = self._world.replica(number)
        with replica.disrupted():
            replica.link.set_faults(**faults)
            gevent.sleep(duration)
            replica.link.set_faults()

    def _disrupt_store(self, mode: _store.Mode) -> _Inject:
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


def signal_again(process: processes.Process, stopping: int) -> None:
    """Send a second signal to the process that is being stopped.

    The next process of its daemon may not handle signals yet. It would end,
    and nobody would start it again.
    """
    if process.pid == stopping and process.is_running():
        process.send(signal.SIGTERM)


def _select(
    inject_by_kind: dict[str, _Inject], parts: list[str]
) -> dict[str, _Inject]:
    return {
        kind: inject
        for kind, inject in inject_by_kind.items()
        if any(part in kind for part in parts)
    }
