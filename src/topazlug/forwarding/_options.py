"""Options of a forwarding daemon."""

from typing import final

import msgspec

from topazlug import _ids
from topazlug._generated import settings as _settings_types
from topazlug.fleet import _staleness_bounds
from topazlug.placement import _mechanisms


@final
class ForwardingOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Options of a forwarding daemon, read at its start.

    Attributes
    ----------
    daemon : DaemonId
        Name of the daemon.
    callers, health : AddressSettings
        Listeners for callers and for readiness checks.
    health_path : str
        Path of readiness checks.
    metrics : AddressSettings
        Listener for scrapes of `/metrics`.
    zone : str
        Availability zone of the daemon.
    stop_seconds : float
        Maximum seconds that a graceful stop may take.
    retry_ratio, retry_extra, retry_window : float
        Bound on retries of the whole fleet: in any window of
        `retry_window` seconds at most `retry_ratio` times the number of
        requests, plus `retry_extra`.
    peers : AddressSettings
        Listener for other daemons.
    delegation_port : int
        Port at the address of `peers` for requests that other daemons
        delegate to this one; 0 to serve none.
    relays : bool
        Whether it relays changes of tables to other daemons.
    staleness_bounds : StalenessBounds
        Maximum ages of its copies of the store's tables.
    first_start : bool
        Whether the whole system starts for the first time.
    max_connections : int
        Maximum number of callers' connections served at once.
    memory_bytes : float
        Memory of the process, 0 if it is not known.
    is_capacity_short : bool
        Whether the teams of this deployment want more than its replicas can
        process at times.
    disabled : frozenset of Mechanism
        Mechanisms that are switched off.
    """

    daemon: _ids.DaemonId
    callers: _settings_types.AddressSettings
    health: _settings_types.AddressSettings
    health_path: str
    metrics: _settings_types.AddressSettings
    zone: str
    stop_seconds: float
    retry_ratio: float
    retry_extra: float
    retry_window: float
    peers: _settings_types.AddressSettings
    delegation_port: int
    relays: bool
    staleness_bounds: _staleness_bounds.StalenessBounds
    first_start: bool
    max_connections: int
    memory_bytes: float = 0.0
    is_capacity_short: bool = False
    disabled: _mechanisms.DisabledMechanisms = _mechanisms.NONE_DISABLED
