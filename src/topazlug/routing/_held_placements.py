"""Placements that this daemon holds, and their renewal with owners.

Owners count placements as soft state. The entry daemon renews what it holds at
intervals and, after a change of ownership, at once. After a message that may
have been lost, it renews until the owner has confirmed.
"""

from collections.abc import Callable
from typing import Protocol
from typing import final

import gevent
import msgspec

from topazlug import _clock
from topazlug import _errors
from topazlug import _ids
from topazlug._generated import messages
from topazlug.capacity import _team_shares
from topazlug.routing import _owner
from topazlug.routing import _ownership
from topazlug.routing import _placement

# An owner that has not confirmed for this long is removed from renewals.
_UNCONFIRMED_SECONDS = 300.0
_CONFIRM_TIMEOUT = 1.0


class Links(Protocol):
    """Connections to peers, as the entry role uses them."""

    def send(self, to: _ids.DaemonId, message: msgspec.Struct) -> None:
        """Send a one-way message; raises PeerUnreachable."""

    def call(
        self, to: _ids.DaemonId, message: msgspec.Struct, *, timeout: float
    ) -> msgspec.Struct:
        """Send a request and return its reply; raises PeerUnreachable."""

    def received_since(self, peer: _ids.DaemonId, moment: float) -> bool:
        """Return whether a peer has sent anything since a moment."""


@final
class HeldPlacements:
    """Placements that this daemon holds, and pending admission requests.

    Parameters
    ----------
    daemon : DaemonId
        This daemon.
    owner : Owner
        This daemon's owner role.
    ownership : Ownership
        Owners of all replicas.
    links : Links
        Connections to peers.
    clock : Clock
        Source of time.

    Attributes
    ----------
    placement_by_ask : dict
        Placements that were not released, by number of their admission
        request.
    pending_by_ask : dict
        Owners that have not replied yet, by number of the request.
    reports_outcomes : callable
        Returns whether outcomes on a replica are reported to its owner.
    """

    def __init__(
        self,
        *,
        daemon: _ids.DaemonId,
        owner: _owner.Owner,
        ownership: _ownership.Ownership,
        links: Links,
        clock: _clock.Clock,
    ) -> None:
        self._daemon = daemon
        self._owner = owner
        self._ownership = ownership
        self._links = links
        self._clock = clock
        self._unconfirmed_until: dict[_ids.DaemonId, float] = {}
        self.reports_outcomes: Callable[[_ids.ReplicaId], bool] = (
            lambda replica: False
        )
        self.placement_by_ask: dict[
            _ids.AdmissionRequestId, _placement.Placement
        ] = {}
        self.pending_by_ask: dict[_ids.AdmissionRequestId, _ids.DaemonId] = {}

    def load_by_replica(self) -> dict[_ids.ReplicaId, int]:
        """Return the load units held on each replica."""
        held: dict[_ids.ReplicaId, int] = {}
        for placement in self.placement_by_ask.values():
            replica = placement.target.replica
            held[replica] = held.get(replica, 0) + placement.request.weight
        return held

    def release(self, placement: _placement.Placement) -> None:
        """Release a placement; does nothing if it was released before."""
        if self.placement_by_ask.pop(placement.ask, None) is None:
            return
        if placement.owner is not None:
            self.send_release(
                placement.owner,
                placement.ask,
                failed=placement.has_unreported_failure,
                unknown=placement.is_outcome_unknown,
                rejected=placement.is_rejected,
            )

    def send_release(
        self,
        owner: _ids.DaemonId,
        ask: _ids.AdmissionRequestId,
        *,
        failed: bool = False,
        unknown: bool = False,
        rejected: bool = False,
    ) -> None:
        """Notify an owner that an admitted or queued request has ended."""
        failures: list[int] = [ask] if failed else []
        unknowns: list[int] = [ask] if unknown and not failed else []
        message = messages.Release(
            asks=[ask],
            failed=failures,
            unknown=unknowns,
            rejected=[ask] if rejected else [],
        )
        if owner == self._daemon:
            self._owner.release(self._daemon, message)
            return
        self._mark_unconfirmed(owner)
        self.send(owner, message)

    def release_unused(
        self,
        owner: _ids.DaemonId,
        ask: _ids.AdmissionRequestId,
        replica: _ids.ReplicaId,
    ) -> None:
        """Release a slot on a replica to which no request was sent."""
        self.send_release(owner, ask, unknown=self.reports_outcomes(replica))

    def report_failure(self, placement: _placement.Placement) -> None:
        """Report to its owner that a held request fails or is clearly late.

        Its slot is not released.
        """
        message = messages.Release(asks=[], failed=[placement.ask])
        if placement.owner == self._daemon:
            self._owner.release(self._daemon, message)
        elif placement.owner is not None:
            self.send(placement.owner, message)

    def _mark_unconfirmed(self, owner: _ids.DaemonId) -> None:
        """Include an owner in renewals until it confirms.

        A release may be lost with its connection, as may the reply to a
        granted request. The owner would then count a placement that no
        daemon holds, and the counted load would stay too high. Renewals are
        sent until the owner confirms one, or `_UNCONFIRMED_SECONDS` have
        passed.
        """
        self._unconfirmed_until[owner] = (
            self._clock.monotonic() + _UNCONFIRMED_SECONDS
        )

    def send(self, owner: _ids.DaemonId, message: msgspec.Struct) -> None:
        """Send a one-way message, if the owner is reachable."""
        try:
            self._links.send(owner, message)
        except _errors.PeerUnreachable:
            # The next renewal contains all that is held.
            return

    def renew(self, owners: set[_ids.DaemonId] | None = None) -> int:
        """Send each owner a list of all that this daemon holds with it.

        An owner that was sent a release and has not confirmed a renewal since
        is included even if nothing is held with it any more.

        Parameters
        ----------
        owners : set of DaemonId or None
            Owners to renew with; None for all.

        Returns
        -------
        int
            Number of owners.
        """
        held: dict[_ids.DaemonId, list[messages.HeldPlace]] = {}
        pending: dict[_ids.DaemonId, list[int]] = {}
        for placement in self.placement_by_ask.values():
            self._update_owner(placement)
            if placement.owner is not None:
                placement.is_counted = True
                held.setdefault(placement.owner, []).append(
                    _held_place_message(placement)
                )
        for ask, owner in self.pending_by_ask.items():
            pending.setdefault(owner, []).append(ask)
        current = set(held) | set(pending)
        self._remove_expired()
        recipients = current | set(self._unconfirmed_until)
        if owners is not None:
            recipients &= owners
        for owner in recipients:
            message = messages.Renew(
                held=held.get(owner, []), pending=pending.get(owner, [])
            )
            if owner == self._daemon:
                self._owner.renew(self._daemon, message)
            elif owner in current:
                self.send(owner, message)
            else:
                gevent.spawn(self._confirm_nothing_held, owner)
        return len(recipients)

    def _confirm_nothing_held(self, owner: _ids.DaemonId) -> None:
        """Send an owner an empty renewal and wait for its confirmation.

        A sent message may still be lost with its connection, so only the
        owner's reply removes it from the unconfirmed owners.
        """
        if owner in self.pending_by_ask.values():
            return
        placements = self.placement_by_ask.values()
        if any(placement.owner == owner for placement in placements):
            return
        message = messages.Renew(held=[], pending=[])
        unconfirmed_until = self._unconfirmed_until.get(owner)
        try:
            self._links.call(owner, message, timeout=_CONFIRM_TIMEOUT)
        except _errors.PeerUnreachable:
            return
        if self._unconfirmed_until.get(owner) == unconfirmed_until:
            self._unconfirmed_until.pop(owner, None)

    def _remove_expired(self) -> None:
        now = self._clock.monotonic()
        for owner, until in list(self._unconfirmed_until.items()):
            if now > until:
                del self._unconfirmed_until[owner]

    def _update_owner(self, placement: _placement.Placement) -> None:
        owner = self._ownership.owner_of(placement.target.replica)
        if owner is not None and owner != placement.owner:
            if placement.owner is not None:
                self._mark_unconfirmed(placement.owner)
            placement.owner = owner


def _held_place_message(placement: _placement.Placement) -> messages.HeldPlace:
    request = placement.request
    shared = 0 if placement.reads_context else request.shared_tokens
    return messages.HeldPlace(
        ask=placement.ask,
        replica=placement.target.replica,
        weight=placement.request.weight,
        team=placement.request.team,
        batch=placement.request.batch,
        rank=placement.request.rank,
        work=_team_shares.work_of(
            unread_tokens=request.prompt_tokens - shared,
            output_tokens=request.output_tokens,
        ),
    )
