"""Identifies a slot in an owner's counts."""

from typing import NamedTuple

from topazlug import _ids


class SlotKey(NamedTuple):
    """The daemon that holds a slot, and the number it gave that slot."""

    daemon: _ids.DaemonId
    ask: _ids.AdmissionRequestId
