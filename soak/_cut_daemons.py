"""Daemons that are cut off from all replicas, and what their callers get.

Each daemon reads the replicas' addresses through a port of the store of its
own, which names a link of this daemon to each replica.
"""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Sequence
import json
from typing import NamedTuple

from soak import _clients
from soak import _store
from standins import _cut_link

# A daemon must have found another way to its replicas by then.
_NOTICE_SECONDS = 3.0
# Callers' first tries may be served this much less often at daemons that are
# cut off, unless no more than this many and this part of all tries fail.
_MIN_SERVED_FRACTION = 2 / 3
_MAX_FAILED = 10
_MAX_FAILED_PART = 1 / 50


class CutPeriod(NamedTuple):
    """A time span in which some daemons were cut off from all replicas."""

    daemons: frozenset[int]
    began: float
    ended: float


class DaemonLinks:
    """Links of one daemon to all replicas.

    Parameters
    ----------
    store : StoreStandIn
        The store.

    Attributes
    ----------
    store_port : int
        Port of the store at which this daemon sees its links' addresses.
    """

    def __init__(self, store: _store.StoreStandIn) -> None:
        self._link_by_address: dict[str, _cut_link.CutLink] = {}
        self._how: _cut_link.Cut | None = None
        self.store_port = store.add_view(self._mapped_entry)

    def _mapped_entry(self, entry: bytes) -> bytes:
        """Return a replica's entry with the address of this daemon's link."""
        fields = json.loads(entry)
        address = fields["address"]
        link = self._link_by_address.get(address)
        if link is None:
            link = _cut_link.CutLink(int(address.rpartition(":")[2]))
            self._link_by_address[address] = link
            if self._how is not None:
                link.cut(self._how)
        fields["address"] = f"127.0.0.1:{link.port}"
        return json.dumps(fields).encode()

    @property
    def is_cut(self) -> bool:
        """Return whether the links are cut."""
        return self._how is not None

    def cut(self, how: _cut_link.Cut) -> None:
        """Cut all links, also those to replicas that are added later."""
        self._how = how
        for link in self._link_by_address.values():
            link.cut(how)

    def heal(self) -> None:
        """Restore all links."""
        self._how = None
        for link in self._link_by_address.values():
            link.heal()

    def stop(self) -> None:
        """Close all links."""
        for link in self._link_by_address.values():
            link.stop()


def check_cut_daemons(
    periods: Sequence[CutPeriod],
    outcomes: Sequence[_clients.Outcome],
    is_undisrupted: Callable[[int, float], bool],
) -> Iterator[str]:
    """Check that callers of cut-off daemons are served like others.

    Parameters
    ----------
    periods : sequence of CutPeriod
        All periods of the run.
    outcomes : sequence of Outcome
        Outcomes of all requests.
    is_undisrupted : callable
        Returns whether a daemon had no other disruption at a time. Tries at
        other daemons are left out.
    """
    for period in periods:
        tries = [
            one
            for one in outcomes
            if period.began + _NOTICE_SECONDS <= one.started < period.ended
            and is_undisrupted(one.daemon, one.started)
        ]
        cut_off = [one for one in tries if one.daemon in period.daemons]
        others = [one for one in tries if one.daemon not in period.daemons]
        if not cut_off or not others:
            continue
        failed = sum(one.status != 200 for one in cut_off)
        if failed <= _MAX_FAILED + _MAX_FAILED_PART * len(tries):
            continue
        served = 1 - failed / len(cut_off)
        expected = sum(one.status == 200 for one in others) / len(others)
        if served < _MIN_SERVED_FRACTION * expected:
            yield (
                f"RECOVER: daemons {sorted(period.daemons)} served "
                f"{served:.2f} of {len(cut_off)} requests while cut off, the "
                f"others {expected:.2f}"
            )
