"""Components shared by all kinds of calls."""

from typing import NamedTuple

from topazlug import _clock
from topazlug._generated import settings
from topazlug.calls import _attempts
from topazlug.crashes import _crash_guard
from topazlug.limits import _quotas
from topazlug.routing import _placement
from topazlug.targets import _target_client
from topazlug.telemetry import _metrics


class CallAssembly(NamedTuple):
    """Components of the daemon that serve all kinds of calls.

    Attributes
    ----------
    attempts : Attempts
        Sends requests to replicas, with retries.
    admission : Admission
        Releases placements.
    connections : TargetConnections
        Connections to targets.
    quotas : Quotas
        Ceilings of teams.
    limits : LimitSettings
        Timeouts and other limits.
    metrics : Metrics
        Counters and histograms.
    guard : CrashGuard
        Rejects requests that crash replicas.
    clock : Clock
        Time.
    """

    attempts: _attempts.Attempts
    admission: _placement.Admission
    connections: _target_client.TargetConnections
    quotas: _quotas.Quotas
    limits: settings.LimitSettings
    metrics: _metrics.Metrics
    guard: _crash_guard.CrashGuard
    clock: _clock.Clock
