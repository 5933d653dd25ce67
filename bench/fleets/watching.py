"""Watches a fleet while it runs: engines' load, bytes, processor time."""

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
_TIMEOUT = 3.0
_MEGABYTE = 1 << 20
_SENT = "topazlug_control_sent_bytes_total"
_RECEIVED = "topazlug_control_received_bytes_total"


class _Load(msgspec.Struct):
    running: int
    waiting: int


class ResourceUsage(msgspec.Struct, frozen=True, kw_only=True):
    """What a process had spent at a time."""

    processor: float = 0.0
    resident: float = 0.0
    sent: float = 0.0
    received: float = 0.0


class UsageSnapshot(msgspec.Struct, frozen=True, kw_only=True):
    """What all processes had spent at a time, by name."""

    at: float
    daemons: dict[str, ResourceUsage]
    engines: dict[str, ResourceUsage]


@final
class Watcher:
    """Reads figures off a running fleet.

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
        """Ask all engines for their load, again and again."""
        while True:
            for engine in list(self._fleet.engines):
                gevent.spawn(self._sample, engine)
            gevent.sleep(_SAMPLE_SECONDS)

    def _sample(self, engine: _fleet.TargetProcess) -> None:
        # The engine shows what was so long ago; the sample is dated back.
        at = time.time() - self._fleet.deployment.engine.load_lag
        try:
            data = _fleet.get(f"{engine.url}/load", timeout=_TIMEOUT)
        except (OSError, urllib.error.URLError):
            return
        load = msgspec.json.decode(data, type=_Load)
        self.samples.append(
            journals.Sample(at, engine.name, load.running, load.waiting)
        )

    def collect_journal(self, engine: _fleet.TargetProcess) -> None:
        """Keep an engine's journal; call it before the engine ends."""
        data = _fleet.get(f"{engine.url}/journal", timeout=10.0)
        for event in msgspec.json.decode(data, type=list[journals.Event]):
            self.events.append(
                msgspec.structs.replace(event, engine=engine.name)
            )

    def note(self, engine: _fleet.TargetProcess, event: str) -> None:
        """Note that an engine now leaves or has gone."""
        self.events.append(journals.Event(time.time(), event, 0, engine.name))

    def read(self) -> UsageSnapshot:
        """Read what all processes have spent."""
        return UsageSnapshot(
            at=time.time(),
            daemons={
                daemon.name: _spent_by_daemon(daemon)
                for daemon in self._fleet.daemons
            },
            engines={
                engine.name: _spent(engine.process.pid)
                for engine in self._fleet.engines
            },
        )


def _spent(pid: int) -> ResourceUsage:
    try:
        process = psutil.Process(pid)
        times = process.cpu_times()
        resident = process.memory_info().rss / _MEGABYTE
    except psutil.Error:
        return ResourceUsage()
    return ResourceUsage(
        processor=times.user + times.system, resident=resident
    )


def _spent_by_daemon(daemon: _fleet.DaemonProcess) -> ResourceUsage:
    spent = _spent(daemon.process.pid)
    try:
        url = f"{daemon.administration_url}/metrics"
        text = _fleet.get(url, timeout=_TIMEOUT).decode()
    except OSError:
        return ResourceUsage()
    return msgspec.structs.replace(
        spent, sent=metric(text, _SENT), received=metric(text, _RECEIVED)
    )


def metric(text: str, name: str) -> float:
    """Give a number without labels of its own from an exposition."""
    found = re.search(rf"^{name}(?:{{[^}}]*}})? (\S+)$", text, re.MULTILINE)
    return float(found.group(1)) if found else 0.0


def daemon_figures(
    before: UsageSnapshot, after: UsageSnapshot
) -> dict[str, records.ProcessFigures]:
    """Give what each daemon spent between two readings, a second.

    A daemon that could not be read at one of the two is left out.
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
    """Give the cores that the engines kept busy between two readings."""
    spent = 0.0
    for name, late in after.engines.items():
        early = before.engines.get(name, ResourceUsage())
        spent += max(0.0, late.processor - early.processor)
    return spent / (after.at - before.at)
