"""Requests for the lists of contexts of replicas with a new owner."""

from collections.abc import Mapping
from typing import final

import gevent
from gevent import lock

from topazlug import _clock
from topazlug import _errors
from topazlug import _ids
from topazlug import _logs
from topazlug._generated import messages
from topazlug.capacity import _context_recovery
from topazlug.routing import _context_lister
from topazlug.routing import _context_recoveries
from topazlug.routing import _held_placements
from topazlug.routing import _ledger
from topazlug.routing import _ownership
from topazlug.routing import _ranking
from topazlug.targets import _targets

_log = _logs.logger("owner")
# Lists that are received at the same time. Each may take 512 KiB.
_MAX_CONCURRENT = 8
# Ranking this many chats over 156 replicas takes 2 ms (measured).
_CHATS_PER_SLICE = 50
_BATCH_ENTRIES = 500


@final
class ContextRequests:
    """Asks replicas for their contexts, and informs the homes' owners.

    Parameters
    ----------
    daemon : DaemonId
        This daemon.
    recoveries : ContextRecoveries
        Decides which replicas are asked, and records their lists.
    lister : ContextLister
        Asks a replica.
    ownership : Ownership
        Owners of all replicas.
    targets : TargetDirectory
        Replicas.
    links : Links
        Connections to peers.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        *,
        daemon: _ids.DaemonId,
        recoveries: _context_recoveries.ContextRecoveries,
        lister: _context_lister.ContextLister,
        ownership: _ownership.Ownership,
        targets: _targets.TargetDirectory,
        links: _held_placements.Links,
        clock: _clock.Clock,
    ) -> None:
        self._daemon = daemon
        self._recoveries = recoveries
        self._lister = lister
        self._ownership = ownership
        self._targets = targets
        self._links = links
        self._clock = clock
        self._slots = lock.BoundedSemaphore(_MAX_CONCURRENT)
        recoveries.on_request = self._start

    def _start(self, ledger: _ledger.ReplicaLedger) -> None:
        gevent.spawn(self.recover, ledger)

    def recover(self, ledger: _ledger.ReplicaLedger) -> None:
        """Ask a replica until its list has arrived or all attempts failed."""
        recovery = ledger.context_recovery
        while recovery.state is _context_recovery.RecoveryState.AWAITED:
            self._clock.sleep(recovery.wait(now=self._clock.monotonic()))
            with self._slots:
                if not self._attempt(ledger):
                    return

    def _attempt(self, ledger: _ledger.ReplicaLedger) -> bool:
        """Ask a replica once; return whether its ledger is still current."""
        target = self._target_of(ledger)
        if target is None:
            return False
        ledger.context_recovery.begin_attempt(now=self._clock.monotonic())
        try:
            contexts = self._lister.list_contexts(target)
        except _errors.TopazlugError as error:
            self._recoveries.record_failure(ledger, error)
            return True
        except Exception as error:
            # Without this, the ledger would await its list for ever.
            _log.exception(
                "internal error while asking {replica} for its contexts",
                replica=ledger.replica,
            )
            self._recoveries.record_failure(ledger, error)
            return True
        if self._target_of(ledger) is None:
            _log.info(
                "contexts of {replica} discarded: it has another owner or "
                "has restarted",
                replica=ledger.replica,
            )
            return False
        chats = self._recoveries.record_list(ledger, contexts)
        displaced = self._inform_homes(ledger, chats)
        _log.info(
            "{replica} holds {contexts} contexts, {displaced} of them of "
            "other homes",
            replica=ledger.replica,
            contexts=len(chats),
            displaced=displaced,
        )
        return True

    def _target_of(
        self, ledger: _ledger.ReplicaLedger
    ) -> _targets.Target | None:
        """Return the process of a ledger, None if it is not current."""
        if not self._recoveries.is_current(ledger):
            return None
        return self._targets.target_by_replica.get(ledger.replica)

    def _inform_homes(
        self, ledger: _ledger.ReplicaLedger, chats: list[_ids.ChatHash]
    ) -> int:
        """Inform the owners of other homes; return the number of entries."""
        replicas = self._targets.usable(ledger.group)
        entries: dict[_ids.DaemonId, list[messages.Displaced]] = {}
        for number, chat in enumerate(chats, start=1):
            home = _ranking.first(replicas, chat)
            if home is not None and home != ledger.replica:
                replica = _ids.ReplicaId(home)
                owner = self._ownership.owner_of(replica)
                if owner is not None:
                    entries.setdefault(owner, []).append(
                        messages.Displaced(
                            group=ledger.group,
                            home=home,
                            chat=chat,
                            replica=ledger.replica,
                        )
                    )
            if not number % _CHATS_PER_SLICE:
                # Requests go on while the rest is ranked.
                gevent.sleep(0)
        self._send(entries)
        return sum(len(found) for found in entries.values())

    def _send(
        self,
        entries_by_owner: Mapping[_ids.DaemonId, list[messages.Displaced]],
    ) -> None:
        for owner, entries in entries_by_owner.items():
            if owner == self._daemon:
                self._recoveries.record_displaced(entries)
                continue
            for start in range(0, len(entries), _BATCH_ENTRIES):
                batch = messages.DisplacedBatch(
                    entries=entries[start : start + _BATCH_ENTRIES],
                    recovered=True,
                )
                try:
                    self._links.send(owner, batch)
                except _errors.PeerUnreachable:
                    _log.info(
                        "recovered chats lost, owner {to} is unreachable",
                        to=owner,
                        entries=len(entries) - start,
                    )
                    break
