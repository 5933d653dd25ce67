"""What every kind of caller's call is served with."""

from typing import NamedTuple

from topazlug import _clock
from topazlug._generated import settings
from topazlug.calls import _attempts
from topazlug.crashes import _crash_guard
from topazlug.limits import _quotas
from topazlug.routing import _place
from topazlug.targets import _target_client
from topazlug.telemetry import _metrics


class CallAssembly(NamedTuple):
    """Parts of the daemon that calls share.

    Attributes
    ----------
    attempts : Attempts
        Finds replicas and retries.
    admission : Admission
        Takes places back.
    connections : TargetConnections
        Connections to targets.
    quotas : Quotas
        Ceilings of teams.
    limits : LimitSettings
        Bounds.
    metrics : Metrics
        What is measured.
    guard : CrashGuard
        Refuses requests that crash replicas.
    clock : Clock
        Time.
    """

    attempts: _attempts.Attempts
    admission: _place.Admission
    connections: _target_client.TargetConnections
    quotas: _quotas.Quotas
    limits: settings.LimitSettings
    metrics: _metrics.Metrics
    guard: _crash_guard.CrashGuard
    clock: _clock.Clock
