"""Identifies a slot in an owner's counts."""

from typing import NamedTuple

from topazlug import _ids


class SlotKey(NamedTuple):
    """Daemon that holds a slot, and the number of its admission request."""

    daemon: _ids.DaemonId
    ask: _ids.AdmissionRequestId
