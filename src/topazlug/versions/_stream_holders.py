"""Which daemons hold the origin of a stream.

Each daemon computes the same ranking of daemons from the hash of an attempt,
so a daemon that is asked to take a stream up finds those that were told of its
beginning, also if the daemon that relayed it has ended.
"""

from collections.abc import Callable
from collections.abc import Mapping
from typing import Any
from typing import final

from topazlug import _ids
from topazlug.routing import _ranking

# Daemons that are told of a stream. Two, as one may be frozen or have ended.
TOLD = 2
# Daemons that are asked at most. With eight, each daemon of a fleet of nine
# is, also the one that relayed the stream.
MAX_ASKED = 8
# Rankings are computed for this many classes of streams instead of for each
# stream: one of 880 daemons takes 0.4 ms.
_CLASSES = 1024


@final
class StreamHolders:
    """Ranking of the other daemons for each stream.

    Parameters
    ----------
    daemon : DaemonId
        This daemon.
    daemons : callable
        Returns all known daemons by their ids, a new mapping after each
        change.
    """

    def __init__(
        self,
        *,
        daemon: _ids.DaemonId,
        daemons: Callable[[], Mapping[_ids.DaemonId, Any]],
    ) -> None:
        self._daemon = daemon
        self._daemons = daemons
        self._ranked: Mapping[_ids.DaemonId, Any] = {}
        self._ranking_by_class: dict[int, list[_ids.DaemonId]] = {}

    def of_stream(self, key: _ids.StreamKey) -> list[_ids.DaemonId]:
        """Return other daemons in the order of their ranking for a stream."""
        daemons = self._daemons()
        if daemons is not self._ranked:
            self._ranked = daemons
            self._ranking_by_class.clear()
        number = key % _CLASSES
        found = self._ranking_by_class.get(number)
        if found is None:
            seed = _ranking.chat_hash("stream-holders", str(number))
            names = _ranking.rank(daemons, seed, count=MAX_ASKED + 1)
            found = [
                _ids.DaemonId(name) for name in names if name != self._daemon
            ][:MAX_ASKED]
            self._ranking_by_class[number] = found
        return found
