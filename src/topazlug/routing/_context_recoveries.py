"""The owner's part in the recovery of contexts after a change of owners.

Decides which new ledgers need the list of their replica's contexts, records
the list, and decides which recovered entries of displaced chats to store.
Nothing in it does I/O.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from typing import final

from topazlug import _clock
from topazlug import _ids
from topazlug import _logs
from topazlug._generated import messages
from topazlug.capacity import _context_reads
from topazlug.capacity import _context_recovery
from topazlug.routing import _displaced_chats
from topazlug.routing import _ledger
from topazlug.routing import _owner_features
from topazlug.targets import _replica_history
from topazlug.targets import _targets

_log = _logs.logger("owner")

RequestHandler = Callable[[_ledger.ReplicaLedger], None]


def _ignore_request(ledger: _ledger.ReplicaLedger) -> None:
    """Ignore a request for a list, as nothing can ask replicas."""


@final
class ContextRecoveries:
    """Recoveries of contexts of the replicas that a daemon owns.

    Parameters
    ----------
    ledger_by_replica : mapping
        Ledgers of the owned replicas.
    displaced : DisplacedChats
        Chats displaced from them.
    features : OwnerFeatures
        Optional decisions that are switched on.
    clock : Clock
        Source of time.

    Attributes
    ----------
    on_request : callable
        Called with each ledger whose replica is to be asked. Must not yield.
    list_count : int
        Lists that have arrived.
    given_up_count : int
        Ledgers for which all attempts failed.
    context_count : int
        Contexts that were learnt from lists.
    displaced_count : int
        Entries of displaced chats that were learnt from lists.
    """

    def __init__(
        self,
        *,
        ledger_by_replica: Mapping[_ids.ReplicaId, _ledger.ReplicaLedger],
        displaced: _displaced_chats.DisplacedChats,
        features: _owner_features.OwnerFeatures,
        clock: _clock.Clock,
    ) -> None:
        self._ledger_by_replica = ledger_by_replica
        self._displaced = displaced
        self._features = features
        self._clock = clock
        self._history = _replica_history.ReplicaHistory(clock=clock)
        # Groups whose requests carry prompts.
        self._prompt_groups: set[_ids.GroupName] = set()
        # Recovered entries of homes whose own list has not arrived.
        self._unconfirmed_by_home: dict[
            _ids.ReplicaId, dict[_ids.ChatHash, _ids.ReplicaId]
        ] = {}
        self.on_request: RequestHandler = _ignore_request
        self.list_count = 0
        self.given_up_count = 0
        self.context_count = 0
        self.displaced_count = 0

    def open(
        self, ledger: _ledger.ReplicaLedger, target: _targets.Target
    ) -> None:
        """Begin the recovery of a ledger that is being opened, if needed."""
        if not self._features.context_recovery:
            return
        ledger.context_recovery = _context_recovery.ContextRecovery(
            is_needed=self._history.ran_before(target),
            opened_at=self._clock.monotonic(),
        )
        self._request(ledger)

    def handle_prompt(self, group: _ids.GroupName) -> None:
        """Request the lists of a group when it gets its first prompt.

        Plain services have no such list, and would run the request. While a
        fleet starts, replicas change owners several times without requests.
        """
        if group in self._prompt_groups:
            return
        self._prompt_groups.add(group)
        for ledger in list(self._ledger_by_replica.values()):
            if ledger.group == group:
                self._request(ledger)

    def handle_slowness(self, ledger: _ledger.ReplicaLedger) -> None:
        """Request the list of a replica that reports its slowness."""
        self._request(ledger)

    def _request(self, ledger: _ledger.ReplicaLedger) -> None:
        if ledger.group not in self._prompt_groups:
            return
        if not self._features.is_capacity_short and (
            not ledger.speed.is_reported
        ):
            return
        if ledger.context_recovery.request(now=self._clock.monotonic()):
            self.on_request(ledger)

    def record_targets(
        self, target_by_replica: Mapping[_ids.ReplicaId, _targets.Target]
    ) -> None:
        """Record the list of replicas, once the ledgers follow it."""
        self._history.record_list(target_by_replica)

    def is_current(self, ledger: _ledger.ReplicaLedger) -> bool:
        """Return whether a ledger is still that of its replica's process.

        It is not if the replica has another owner now or has restarted.
        """
        return self._ledger_by_replica.get(ledger.replica) is ledger

    def record_failure(
        self, ledger: _ledger.ReplicaLedger, error: Exception
    ) -> None:
        """Record that a replica did not report its contexts."""
        ledger.context_recovery.record_failure()
        state = ledger.context_recovery.state
        self.given_up_count += (
            state is _context_recovery.RecoveryState.GIVEN_UP
        )
        _log.info(
            "contexts of {replica} not learnt: {why}",
            replica=ledger.replica,
            why=str(error)[:200],
            state=state.value,
        )

    def record_list(
        self,
        ledger: _ledger.ReplicaLedger,
        contexts: Iterable[_context_recovery.HeldContext],
    ) -> list[_ids.ChatHash]:
        """Record the contexts that a replica holds as read there.

        Returns
        -------
        list of ChatHash
            The chats that were recorded. Small contexts are left out, as
            reading them takes less time than asking for them.
        """
        now = self._clock.monotonic()
        chats = [
            context.chat
            for context in contexts
            if context.tokens >= _context_reads.MIN_SHARED_TOKENS
        ]
        for chat in chats:
            ledger.context_reads.record_read(chat, now=now)
        self._remove_contradicted(ledger, chats)
        ledger.context_recovery.record_list()
        self.list_count += 1
        self.context_count += len(chats)
        return chats

    def _remove_contradicted(
        self, ledger: _ledger.ReplicaLedger, chats: list[_ids.ChatHash]
    ) -> None:
        """Remove recovered entries of chats that their home holds itself.

        Another replica's list may arrive before that of the home. All further
        turns would go to an old copy.
        """
        unconfirmed = self._unconfirmed_by_home.pop(ledger.replica, {})
        for chat in chats:
            replica = unconfirmed.get(chat)
            if replica is not None and replica == self._displaced.find(
                chat, home=ledger.replica
            ):
                self._displaced.record(
                    messages.Displaced(
                        group=ledger.group,
                        home=ledger.replica,
                        chat=chat,
                        replica="",
                    )
                )

    def record_displaced(self, entries: list[messages.Displaced]) -> None:
        """Store the entries that other replicas' lists show.

        Several owners learn lists at the same moment. The home's own context
        and what is known already take precedence, so of two replicas that
        hold a context, the first one reported is used.
        """
        if not self._features.context_recovery:
            return
        stored = [entry for entry in entries if self._is_news(entry)]
        for entry in stored:
            self._displaced.record(entry)
            home = _ids.ReplicaId(entry.home)
            ledger = self._ledger_by_replica.get(home)
            if ledger is not None and ledger.context_recovery.is_open:
                unconfirmed = self._unconfirmed_by_home.setdefault(home, {})
                unconfirmed[_ids.ChatHash(entry.chat)] = _ids.ReplicaId(
                    entry.replica
                )
        self.displaced_count += len(stored)

    def _is_news(self, entry: messages.Displaced) -> bool:
        chat = _ids.ChatHash(entry.chat)
        if chat in self._displaced:
            return False
        home = self._ledger_by_replica.get(_ids.ReplicaId(entry.home))
        if home is None:
            return True
        state = home.context_reads.state(chat, now=self._clock.monotonic())
        return state is _context_reads.ReadState.FIRST
