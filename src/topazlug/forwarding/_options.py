"""What a forwarding daemon is told at its start."""

from typing import final

import msgspec

from topazlug import _ids
from topazlug._generated import settings as _settings_types
from topazlug.fleet import _staleness_bounds
from topazlug.placement import _mechanisms


@final
class ForwardingOptions(msgspec.Struct, frozen=True, kw_only=True):
    """What a forwarding daemon is told at its start.

    Attributes
    ----------
    daemon : DaemonId
        Its name.
    callers, health : AddressSettings
        Listeners for callers, and for the balancer's question.
    health_path : str
        Path of that question.
    metrics : AddressSettings
        Listener for scrapes of `/metrics`.
    zone : str
        Its availability zone.
    stop_seconds : float
        Seconds that a planned stop may take.
    retry_ratio, retry_extra, retry_window : float
        Bound on retries over the whole fleet: a part of requests and a
        fixed number, in any window of so many seconds.
    peers : AddressSettings
        Listener for other daemons.
    relays : bool
        Whether its link carries news for other daemons.
    staleness_bounds : StalenessBounds
        How old its copies of the store's tables may get.
    first_start : bool
        Whether the whole system starts for the first time.
    max_connections : int
        Callers' connections served at once.
    disabled : frozenset of Mechanism
        What is switched off.
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
    relays: bool
    staleness_bounds: _staleness_bounds.StalenessBounds
    first_start: bool
    max_connections: int
    disabled: _mechanisms.DisabledMechanisms = _mechanisms.NONE_DISABLED
