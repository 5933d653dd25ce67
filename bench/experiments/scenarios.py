"""Scenarios of a run's phases: request rates and injected faults."""

from collections.abc import Callable
import enum
import time
from typing import final

import gevent

from bench.fleets import deployment as _deployment
from bench.fleets import fleet as _fleet
from bench.fleets import watching
from bench.load import workload
from bench.reports import journals

_SURGE_SHARE = 0.6
_OVERLOAD_RATE = 4.0
_FAULT_SECONDS = 10.0
_LEAVE_SECONDS = 5.0


class Scenario(enum.Enum):
    """Kind of phase."""

    QUIET = "quiet"
    SURGE = "surge"
    CHURN = "churn"
    OVERLOAD = "overload"
    OWNER_KILLED = "owner-killed"
    OWNER_FROZEN = "owner-frozen"
    LOAD_SILENT = "load-silent"
    LINKS_CUT = "links-cut"


def request_rates(
    scenario: Scenario, teams: list[workload.TeamShare]
) -> tuple[float, dict[str, float]]:
    """Return the rate factor of all chats, and the factor of each team."""
    if scenario is Scenario.SURGE:
        return 1.0, workload.surge_rates(teams, share=_SURGE_SHARE)
    if scenario is Scenario.OVERLOAD:
        return _OVERLOAD_RATE, {}
    return 1.0, {}


def zone_groups(
    deployment: _deployment.Deployment, wanted: list[Scenario]
) -> list[list[int]]:
    """Return the daemons of each availability zone, if links are cut."""
    if Scenario.LINKS_CUT not in wanted:
        return []
    zones = len(deployment.zones)
    numbers = range(deployment.daemons)
    return [list(numbers[zone::zones]) for zone in range(zones)]


@final
class Director:
    """Injects the faults of a phase.

    Parameters
    ----------
    fleet : Fleet
        The processes.
    watcher : Watcher
        Receives the journals of engines before they are killed.
    """

    def __init__(self, fleet: _fleet.Fleet, watcher: watching.Watcher) -> None:
        self._fleet = fleet
        self._watcher = watcher
        self._next_number = fleet.deployment.pools[0].replicas
        self.faulted: dict[Scenario, str] = {}

    def play(self, scenario: Scenario, *, end: float) -> None:
        """Inject the faults of a phase; return before the phase ends."""
        handlers: dict[Scenario, Callable[[float], None]] = {
            Scenario.CHURN: self._churn,
            Scenario.OWNER_KILLED: self._kill_owner,
            Scenario.OWNER_FROZEN: self._freeze_owner,
            Scenario.LOAD_SILENT: self._silence_load_reports,
            Scenario.LINKS_CUT: self._cut_links,
        }
        handler = handlers.get(scenario)
        if handler is not None:
            handler(end)

    def faulted_in(self, phase: str) -> str:
        """Return the daemon that a phase killed or froze, empty for none."""
        return self.faulted.get(Scenario(phase), "")

    @property
    def _pool(self) -> _deployment.Pool:
        return self._fleet.deployment.pools[0]

    def _churn(self, end: float) -> None:
        """Replace the first engine every 15 s while the last one flaps."""
        flapping = gevent.spawn(self._flap, end)
        gevent.sleep(2.0)
        while time.time() < end - _LEAVE_SECONDS:
            self._replace(self._fleet.engines[0])
            gevent.sleep(15.0 - _LEAVE_SECONDS)
        flapping.join()

    def _replace(self, engine: _fleet.TargetProcess) -> None:
        self._fleet.engines.append(self._start(self._next_number))
        self._next_number += 1
        _fleet.post(f"{engine.url}/admin/leave", {})
        self._watcher.note(engine, journals.LEAVING)
        gevent.sleep(_LEAVE_SECONDS)
        self._end(engine)

    def _flap(self, end: float) -> None:
        gevent.sleep(7.0)
        while time.time() < end - 8.0:
            engine = self._engine(self._pool.replicas - 1)
            self._end(engine)
            gevent.sleep(3.0)
            restarted = self._start(self._pool.replicas - 1)
            self._fleet.engines.append(restarted)
            gevent.sleep(8.0)

    def _engine(self, number: int) -> _fleet.TargetProcess:
        name = f"{self._pool.name}-{number}"
        engines = self._fleet.engines
        return next(engine for engine in engines if engine.name == name)

    def _start(self, number: int) -> _fleet.TargetProcess:
        # The port is read from the log: an old log has the port of the
        # engine process that ended.
        log = self._fleet.folder / f"{self._pool.name}-{number}.log"
        log.unlink(missing_ok=True)
        engine = self._fleet.start_engine(self._pool, number)
        engine.port
        return engine

    def _end(self, engine: _fleet.TargetProcess) -> None:
        self._watcher.collect_journal(engine)
        engine.process.kill()
        self._watcher.note(engine, journals.GONE)
        self._fleet.engines.remove(engine)

    def _largest_owner(self) -> _fleet.DaemonProcess:
        def owned(daemon: _fleet.DaemonProcess) -> float:
            try:
                text = _fleet.get(f"{daemon.administration_url}/metrics")
            except OSError:
                return -1.0
            name = "topazlug_replicas_owned"
            return watching.metric(text.decode(), name)

        return max(self._fleet.daemons, key=owned)

    def _kill_owner(self, end: float) -> None:
        daemon = self._largest_owner()
        self.faulted[Scenario.OWNER_KILLED] = daemon.name
        gevent.sleep(2.0)
        daemon.process.kill()

    def _freeze_owner(self, end: float) -> None:
        daemon = self._largest_owner()
        self.faulted[Scenario.OWNER_FROZEN] = daemon.name
        gevent.sleep(2.0)
        daemon.process.freeze()
        gevent.sleep(_FAULT_SECONDS)
        daemon.process.thaw()

    def _silence_load_reports(self, end: float) -> None:
        self._set_silent(True)
        gevent.sleep(max(0.0, end - time.time()))
        self._set_silent(False)

    def _cut_links(self, end: float) -> None:
        gevent.sleep(2.0)
        self._fleet.switch_links(cut=True)
        gevent.sleep(_FAULT_SECONDS)
        self._fleet.switch_links(cut=False)

    def _set_silent(self, silent: bool) -> None:
        for engine in self._fleet.engines:
            _fleet.post(f"{engine.url}/faults", {"load_silent": silent})
