"""The entry daemon's role: find a place for a request.

The entry daemon asks the owners of the replicas in the chat's rank, one
after the other. It talks to the replica itself, so no stream crosses two
daemons.
"""

from collections.abc import Callable
import math
from typing import NamedTuple
from typing import final

import logbook

from topazlug import _clock
from topazlug import _errors
from topazlug import _ids
from topazlug._generated import messages
from topazlug._generated import settings as _settings_types
from topazlug.routing import _holdings
from topazlug.routing import _no_target
from topazlug.routing import _owner
from topazlug.routing import _owner_asks
from topazlug.routing import _ownership
from topazlug.routing import _place
from topazlug.routing import _ranking
from topazlug.targets import _target_report
from topazlug.targets import _targets

_log = logbook.Logger("admission")

# A returning chat waits so long for the replica that holds its context.
# Recomputing the context costs more, and where places come free often, as
# each 70 ms at 15 requests/s, most such waits end with one.
_CONTEXT_WAIT = 0.2
_REDIRECTS = 1
_FULL_SECONDS = 0.25
_NO_TARGET_SECONDS = 1.0
_SEARCHES = 4
_MOVED = (messages.Verdict.not_owner, messages.Verdict.expired)


class _Full(NamedTuple):
    """A replica that had no free slot, and until when that counts."""

    load: int
    until: float


class _Round:
    """What one request has learned while it looks for a place."""

    def __init__(self, ranked: list[_ids.ReplicaId]) -> None:
        self.ranked = ranked
        self.asked: set[_ids.ReplicaId] = set()
        self.load_by_replica: dict[_ids.ReplicaId, int] = {}
        self.seat: _ids.ReplicaId | None = None
        self.retry_after = 0.0
        self.place: _place.Place | None = None
        self.is_worth_repeating = False
        self.has_old_loads = False

    def note(
        self, replica: _ids.ReplicaId, reply: messages.AdmitReply
    ) -> None:
        self.retry_after = max(self.retry_after, reply.retry_after)
        self.load_by_replica[replica] = reply.load

    @property
    def least(self) -> _ids.ReplicaId | None:
        """Give the replica that said it has the least load."""
        loads = self.load_by_replica
        return min(loads, key=loads.__getitem__) if loads else None

    def total(self, replicas: int) -> int:
        """Give the group's load if all owners have just told theirs.

        The mean that owners go by lags. When calls come in a burst, each
        owner still counts the others as idle and all refuse, though one of
        them must lie below the true mean; the caller would wait for the
        next report.
        """
        if self.has_old_loads or len(self.load_by_replica) < replicas:
            return 0
        return sum(self.load_by_replica.values())


@final
class OwnersAdmission:
    """Finds places by asking owners.

    Parameters
    ----------
    daemon : DaemonId
        This daemon.
    owner : Owner
        This daemon's own ledgers.
    ownership : Ownership
        Who owns what.
    targets : TargetDirectory
        Which replicas may get new work.
    links : Links
        Streams to peers.
    routing : RoutingSettings
        Settings.
    clock : Clock
        Time.
    fleet_size : callable
        Gives the number of usable daemons.
    """

    def __init__(
        self,
        *,
        daemon: _ids.DaemonId,
        owner: _owner.Owner,
        ownership: _ownership.Ownership,
        targets: _targets.TargetDirectory,
        links: _holdings.Links,
        routing: _settings_types.RoutingSettings,
        clock: _clock.Clock,
        fleet_size: Callable[[], int],
    ) -> None:
        self._targets = targets
        self._routing = routing
        self._clock = clock
        self._fleet_size = fleet_size
        self._asks = _owner_asks.OwnerAsks(
            daemon=daemon,
            owner=owner,
            ownership=ownership,
            links=links,
            timeout=routing.owner_timeout,
            clock=clock,
        )
        self.holdings = self._asks.holdings
        self._full: dict[_ids.ReplicaId, _Full] = {}
        self.decided_alone = 0

    def admit(self, request: _place.PlaceRequest) -> _place.Place:
        """Find a place, asking the owners in the chat's rank.

        Raises
        ------
        Overloaded
            None is free and none will be before the deadline.
        NoTarget
            The group has no usable replica.
        """
        for _ in range(_SEARCHES):
            search = self._search(request)
            if search.place is not None:
                self.holdings.place_by_ask[search.place.ask] = search.place
                self._asks.note_displacement(
                    search.place, home=search.ranked[0], seat=search.seat
                )
                return search.place
            if not search.is_worth_repeating:
                break
        raise _errors.Overloaded(
            f"no place is free on {request.group}",
            retry_after=max(0.5, search.retry_after),
        )

    def _search(self, request: _place.PlaceRequest) -> _Round:
        """Ask for a place once, in the order of the ranks of now."""
        ranked = self._rank(request)
        if not ranked:
            raise _no_target.none_usable(
                self._targets, request, retry_after=_NO_TARGET_SECONDS
            )
        search = _Round(ranked)
        search.place = self._try_ranked(request, search)
        if search.place is None:
            search.place = self._wait(request, search)
        if search.place is None and search.least is None:
            search.place = self._decide_alone(request, ranked)
        return search

    def _rank(self, request: _place.PlaceRequest) -> list[_ids.ReplicaId]:
        usable = self._targets.usable(request.group)
        candidates = [name for name in usable if name not in request.excluded]
        count = max(self._routing.candidates, min(len(candidates), 8))
        best = _ranking.rank(candidates, request.chat, count=count)
        return [_ids.ReplicaId(name) for name in best]

    def _try_ranked(
        self, request: _place.PlaceRequest, search: _Round
    ) -> _place.Place | None:
        for replica in search.ranked:
            if self._clock.monotonic() > request.deadline:
                raise _errors.DeadlineExceeded("no place before the deadline")
            place = self._try(request, search, replica)
            if place is not None:
                return place
        return None

    def _try(
        self,
        request: _place.PlaceRequest,
        search: _Round,
        replica: _ids.ReplicaId,
        *,
        redirects: int = _REDIRECTS,
    ) -> _place.Place | None:
        if replica in search.asked:
            return None
        if replica != search.ranked[0] and self._is_known_full(replica):
            search.load_by_replica[replica] = self._full[replica].load
            search.has_old_loads = True
            return None
        is_home = replica == search.ranked[0]
        has_context = replica == (search.seat or search.ranked[0])
        answer = self._asks.ask(
            request,
            replica,
            home=is_home and redirects > 0,
            wait=_CONTEXT_WAIT if request.returning and has_context else 0.0,
        )
        if answer is None:
            return None
        ask, owner, reply = answer
        if reply.verdict is messages.Verdict.elsewhere:
            seat = _ids.ReplicaId(reply.replica)
            search.seat = seat
            place = None
            if seat not in request.excluded:
                place = self._try(request, search, seat, redirects=0)
            if place is not None:
                return place
            # The displaced seat is full: the home itself is asked again,
            # and this time counts the chat as its own.
            return self._try(request, search, replica, redirects=0)
        search.asked.add(replica)
        if reply.backoff > 0:
            self._targets.apply_peer_backoff(replica, reply.backoff)
            search.retry_after = max(search.retry_after, reply.backoff)
            return None
        if reply.verdict is messages.Verdict.granted:
            return self._new_place(request, replica, ask, owner, home=is_home)
        if reply.verdict in (
            messages.Verdict.full,
            messages.Verdict.over_bound,
        ):
            search.note(replica, reply)
        if reply.verdict is messages.Verdict.full:
            until = self._clock.monotonic() + _FULL_SECONDS
            self._full[replica] = _Full(reply.load, until)
        return None

    def _is_known_full(self, replica: _ids.ReplicaId) -> bool:
        """Say whether a replica was full a moment ago.

        Under overload every call would ask every owner only to hear the
        same: five times the messages, just when there are most calls. Its
        place, when one comes free, is for those who wait in its queue.
        """
        full = self._full.get(replica)
        return full is not None and self._clock.monotonic() < full.until

    def _wait(
        self, request: _place.PlaceRequest, search: _Round
    ) -> _place.Place | None:
        """Queue at the replica that had the least load."""
        replica = search.least
        if replica is None:
            return None
        wait = request.deadline - self._clock.monotonic()
        if wait <= 0:
            raise _errors.DeadlineExceeded("no place before the deadline")
        replicas = len(self._targets.in_service(request.group))
        answer = self._asks.ask(
            request,
            replica,
            home=False,
            wait=wait,
            total=search.total(replicas),
        )
        if answer is None:
            # The owner died or fell silent while the ask waited there; the
            # call has time left and another owner may have a place.
            search.is_worth_repeating = True
            return None
        ask, owner, reply = answer
        if reply.verdict is messages.Verdict.granted:
            is_home = replica == search.ranked[0]
            place = self._new_place(request, replica, ask, owner, home=is_home)
            search.is_worth_repeating = place is None
            return place
        search.is_worth_repeating = reply.verdict in _MOVED
        search.note(replica, reply)
        return None

    def _decide_alone(
        self, request: _place.PlaceRequest, ranked: list[_ids.ReplicaId]
    ) -> _place.Place | None:
        """Admit without any owner, within this daemon's share of the slots.

        With no owner in reach, as in a cut between zones, refusing all
        would be silence. Shares of the slots add up to no more than all of
        them, so the engines still aren't swamped.
        """
        held = self.holdings.load_by_replica()
        for replica in ranked:
            target = self._targets.target_by_replica.get(replica)
            if target is None:
                continue
            share = math.ceil(target.slots / max(1, self._fleet_size()))
            if held.get(replica, 0) >= share:
                continue
            self.decided_alone += 1
            ask = self._asks.new_number()
            home = replica == ranked[0]
            return self._new_place(request, replica, ask, None, home=home)
        return None

    def _new_place(
        self,
        request: _place.PlaceRequest,
        replica: _ids.ReplicaId,
        ask: _ids.AskNumber,
        owner: _ids.DaemonId | None,
        *,
        home: bool,
    ) -> _place.Place | None:
        target = self._targets.target_by_replica.get(replica)
        # It may have gone, or asked for quiet, while its owner was asked.
        if target is None or self._targets.reported.is_unavailable(target):
            if owner is not None:
                self.holdings.send_release(owner, ask)
            return None
        return _place.Place(
            target=target, ask=ask, owner=owner, request=request, home=home
        )

    def tell_backoff(
        self, target: _targets.Target, word: _target_report.TargetReport
    ) -> None:
        """Tell a target's owner of a backoff that it asked for."""
        self._asks.tell_backoff(target, word)

    def release(self, place: _place.Place) -> None:
        """Give a place back; a second time does nothing."""
        self.holdings.release(place)
