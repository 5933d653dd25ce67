"""The name of one place that an owner counts."""

from typing import NamedTuple

from topazlug import _ids


class SlotKey(NamedTuple):
    """Names one place: the entry daemon and the number it gave."""

    daemon: _ids.DaemonId
    ask: _ids.AskNumber
