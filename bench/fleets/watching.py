"""Monitoring of a running fleet: load of engines, bytes, processor time."""

import re
import time
from typing import final
import urllib.error

import gevent
import msgspec
import psutil  # type: ignore[import-untyped]

from bench.fleets import fleet as _fleet
from bench.reports import journals
from bench.reports import records

_SAMPLE_SECONDS = 0.2
_TIMEOUT_SECONDS = 3.0
_MEGABYTE = 1 << 20
_SENT = "topazlug_control_sent_bytes_total"
_RECEIVED = "topazlug_control_received_bytes_total"


class _Load(msgspec.Struct):
    running: int
    waiting: int


class ResourceUsage(msgspec.Struct, frozen=True, kw_only=True):
    """The resources that a process had used up to some time."""

    processor: float = 0.0
    resident: float = 0.0
    sent: float = 0.0
    received: float = 0.0


class UsageSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """The resource usage of all processes at some time, by name."""

    at: float
    daemons: dict[str, ResourceUsage]
    engines: dict[str, ResourceUsage]


@final
class Watcher:
    """Collects measurements of a running fleet.

    Parameters
    ----------
    fleet : Fleet
        The processes.
    """

    def __init__(self, fleet: _fleet.Fleet) -> None:
        self._fleet = fleet
        self.samples: list[journals.Sample] = []
        self.events: list[journals.Event] = []

    def sample_forever(self) -> None:
        """Poll the load of all engines periodically."""
        while True:
            for engine in list(self._fleet.engines):
                gevent.spawn(self._sample, engine)
            gevent.sleep(_SAMPLE_SECONDS)

    def _sample(self, engine: _fleet.TargetProcess) -> None:
        # Engines report their load with this lag, so backdate the sample.
        at = time.time() - self._fleet.deployment.engine.load_lag
        try:
            data = _fleet.get(f"{engine.url}/load", timeout=_TIMEOUT_SECONDS)
        except (OSError, urllib.error.URLError):
            return
        load = msgspec.json.decode(data, type=_Load)
        self.samples.append(
            journals.Sample(at, engine.name, load.running, load.waiting)
        )

    def collect_journal(self, engine: _fleet.TargetProcess) -> None:
        """Store an engine's journal; must be called before it exits."""
        data = _fleet.get(f"{engine.url}/journal", timeout=10.0)
        for event in msgspec.json.decode(data, type=list[journals.Event]):
            self.events.append(
                msgspec.structs.replace(event, engine=engine.name)
            )

    def note(self, engine: _fleet.TargetProcess, event: str) -> None:
        """Record that an engine is leaving or has exited."""
        self.events.append(journals.Event(time.time(), event, 0, engine.name))

    def read(self) -> UsageSnapshot:
        """Read the resource usage of all processes."""
        return UsageSnapshot(
            at=time.time(),
            daemons={
                daemon.name: _daemon_usage(daemon)
                for daemon in self._fleet.daemons
            },
            engines={
                engine.name: _process_usage(engine.process.pid)
                for engine in self._fleet.engines
            },
        )


def _process_usage(pid: int) -> ResourceUsage:
    try:
        process = psutil.Process(pid)
        times = process.cpu_times()
        resident = process.memory_info().rss / _MEGABYTE
    except psutil.Error:
        return ResourceUsage()
    return ResourceUsage(
        processor=times.user + times.system, resident=resident
    )


def _daemon_usage(daemon: _fleet.DaemonProcess) -> ResourceUsage:
    spent = _process_usage(daemon.process.pid)
    try:
        url = f"{daemon.administration_url}/metrics"
        text = _fleet.get(url, timeout=_TIMEOUT_SECONDS).decode()
    except OSError:
        return ResourceUsage()
    return msgspec.structs.replace(
        spent, sent=metric(text, _SENT), received=metric(text, _RECEIVED)
    )


def metric(text: str, name: str) -> float:
    """Return the first value of a metric in an exposition, 0.0 without one.

    Labels of the sample are ignored.
    """
    found = re.search(rf"^{name}(?:{{[^}}]*}})? (\S+)$", text, re.MULTILINE)
    return float(found.group(1)) if found else 0.0


def daemon_figures(
    before: UsageSnapshot, after: UsageSnapshot
) -> dict[str, records.ProcessFigures]:
    """Return what each daemon used per second between two snapshots.

    A daemon that could not be read for one of the two is left out.
    """
    seconds = after.at - before.at
    figures = {}
    for name, late in after.daemons.items():
        early = before.daemons.get(name, ResourceUsage())
        if not late.sent or not early.sent:
            continue
        figures[name] = records.ProcessFigures(
            sent=(late.sent - early.sent) / seconds,
            received=(late.received - early.received) / seconds,
            processor=(late.processor - early.processor) / seconds,
            resident=late.resident,
        )
    return figures


def engines_processor(before: UsageSnapshot, after: UsageSnapshot) -> float:
    """Return the cores that the engines kept busy between two snapshots."""
    spent = 0.0
    for name, late in after.engines.items():
        early = before.engines.get(name, ResourceUsage())
        spent += max(0.0, late.processor - early.processor)
    return spent / (after.at - before.at)
