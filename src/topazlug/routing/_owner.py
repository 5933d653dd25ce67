"""The owner's role: count and admit what its replicas carry.

One greenlet for each peer's stream calls in here; nothing in here yields, so
each ask is judged against an exact count.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import math
from typing import Protocol
from typing import final

from topazlug import _clock
from topazlug import _ids
from topazlug import _logs
from topazlug._generated import messages
from topazlug._generated import settings as _settings_types
from topazlug.capacity import _place_key
from topazlug.capacity import _start_room
from topazlug.routing import _displaced
from topazlug.routing import _group_accounts
from topazlug.routing import _ledger
from topazlug.routing import _owner_answers
from topazlug.routing import _owner_judge
from topazlug.routing import _owner_queue
from topazlug.routing import _ownership
from topazlug.targets import _targets

_log = _logs.logger("owner")

CAREFUL_SECONDS = 2.5


class GroupRules(Protocol):
    """What the table says of a group and a team."""

    def bound_of(self, group: _ids.GroupName) -> float:
        """Give the multiple of the mean that no replica may pass."""

    def allowance_of(self, group: _ids.GroupName) -> int:
        """Give the load units that a replica may hold beyond it."""

    def slots_of(self, group: _ids.GroupName) -> int:
        """Give the load units that one replica runs at once."""

    def batch_reserve_of(self, group: _ids.GroupName) -> float:
        """Give the part of the slots that batch work may not take."""

    def weight_of(self, team: _ids.TeamName) -> float:
        """Give a team's weight."""


@final
class Owner:
    """Ledgers of the replicas that this daemon owns.

    Parameters
    ----------
    daemon : DaemonId
        This daemon.
    ownership : Ownership
        Who owns what.
    targets : TargetDirectory
        Which replicas may get new work.
    rules : GroupRules
        Weights and bounds.
    routing : RoutingSettings
        Settings.
    clock : Clock
        Time.
    start_part : float
        Part of a replica's slots that is let in whatever the mean is, just
        after this daemon has started.
    """

    def __init__(
        self,
        *,
        daemon: _ids.DaemonId,
        ownership: _ownership.Ownership,
        targets: _targets.TargetDirectory,
        rules: GroupRules,
        routing: _settings_types.RoutingSettings,
        clock: _clock.Clock,
        start_part: float = 0.0,
    ) -> None:
        self._daemon = daemon
        self._ownership = ownership
        self._targets = targets
        self._rules = rules
        self._routing = routing
        self._clock = clock
        self.ledger_by_replica: dict[_ids.ReplicaId, _ledger.ReplicaLedger] = (
            {}
        )
        self.accounts = _group_accounts.GroupAccounts(
            ledger_by_replica=self.ledger_by_replica,
            targets=targets,
            bounds=rules,
            clock=clock,
        )
        self.displaced = _displaced.DisplacedChats(
            capacity=routing.displaced_capacity
        )
        self._answers = _owner_answers.OwnerAnswers()
        self.count_by_verdict = self._answers.count_by_verdict
        self._queue = _owner_queue.OwnerQueue(
            accounts=self.accounts,
            answers=self._answers,
            targets=targets,
            weight_of=rules.weight_of,
            clock=clock,
        )
        self._judge = _owner_judge.OwnerJudge(
            accounts=self.accounts,
            answers=self._answers,
            queue=self._queue,
            targets=targets,
            start=_start_room.StartRoom(
                part=start_part, started_at=clock.monotonic()
            ),
            clock=clock,
        )
        self._heard_at: dict[_ids.DaemonId, float] = {}

    def ask(
        self,
        sender: _ids.DaemonId,
        ask: messages.AdmitAsk,
        reply: _owner_answers.Reply,
    ) -> None:
        """Judge one ask; a queued one is answered when its turn comes.

        Parameters
        ----------
        sender : DaemonId
            The entry daemon.
        ask : AdmitAsk
            What it asks.
        reply : callable
            Called once with the verdict, now or later.
        """
        self._heard_at[sender] = self._clock.monotonic()
        replica = _ids.ReplicaId(ask.replica)
        if self._ownership.owner_of(replica) != self._daemon:
            self._answers.give(reply, messages.Verdict.not_owner)
            return
        ledger = self._ledger_of(replica)
        if ledger is None or not self._targets.is_in_service(replica):
            self._answers.give(reply, messages.Verdict.expired)
            return
        if ask.home and self._send_elsewhere(ask, reply):
            return
        self._judge.judge(sender, ask, ledger, reply)

    def _send_elsewhere(
        self, ask: messages.AdmitAsk, reply: _owner_answers.Reply
    ) -> bool:
        seat = self.displaced.find(
            _ids.ChatHash(ask.chat), home=_ids.ReplicaId(ask.replica)
        )
        if seat is None or seat == ask.replica:
            return False
        if not self._targets.is_in_service(seat):
            return False
        self._answers.give(reply, messages.Verdict.elsewhere, replica=seat)
        return True

    def note_unreached(self, note: messages.Unreached) -> None:
        """Note that a replica took no connection from a daemon."""
        target = self._targets.target_by_replica.get(
            _ids.ReplicaId(note.replica)
        )
        if target is not None:
            self._targets.cold.presume_cold([target])

    def note_backoff(
        self, sender: _ids.DaemonId, note: messages.Backoff
    ) -> None:
        """Note that a replica asked a daemon for a backoff."""
        ledger = self.ledger_by_replica.get(_ids.ReplicaId(note.replica))
        if ledger is not None and ledger.incarnation == note.incarnation:
            ledger.backoff.note(
                sender, seconds=note.seconds, now=self._clock.monotonic()
            )

    def note_turned_away(self, note: messages.TurnedAway) -> None:
        """Note that a request found no place anywhere and may come back."""
        ledger = self.ledger_by_replica.get(_ids.ReplicaId(note.replica))
        if ledger is not None and note.request:
            ledger.returns.note(
                note.request,
                note.rank,
                seconds=note.seconds,
                now=self._clock.monotonic(),
            )

    def take_word(self, word: messages.EngineWord) -> None:
        """Note what the head of an answer told of a replica owned here."""
        ledger = self.ledger_by_replica.get(_ids.ReplicaId(word.replica))
        if ledger is None:
            return
        now = self._clock.monotonic()
        ledger.room.take_report(
            word.running, word.waiting, slow=word.slow, now=now
        )
        if word.read:
            ledger.reads.note_read(_ids.ChatHash(word.read), now=now)

    def release(self, sender: _ids.DaemonId, asks: Iterable[int]) -> None:
        """Free places of an entry daemon, on whichever ledger they are."""
        now = self._clock.monotonic()
        for ask in asks:
            key = _place_key.PlaceKey(sender, _ids.AskNumber(ask))
            ledger = self._find(key)
            if ledger is None:
                continue
            ledger.release(key, now=now)
            self._queue.pump(ledger)

    def _find(self, key: _place_key.PlaceKey) -> _ledger.ReplicaLedger | None:
        for ledger in self.ledger_by_replica.values():
            if key in ledger.held_by_key or key in ledger.waiting_by_key:
                return ledger
        return None

    def renew(self, sender: _ids.DaemonId, renew: messages.Renew) -> None:
        """Make the counts of one entry daemon what it says they are.

        A release that was lost with its stream would leave a place counted
        for ever; the replica would look fuller than it is and, in the end,
        refuse all. The full list heals that.
        """
        now = self._clock.monotonic()
        self._heard_at[sender] = now
        pending = {_ids.AskNumber(ask) for ask in renew.pending}
        held: dict[
            _ids.ReplicaId, dict[_ids.AskNumber, messages.HeldPlace]
        ] = {}
        for place in renew.held:
            replica = _ids.ReplicaId(place.replica)
            by_ask = held.setdefault(replica, {})
            by_ask[_ids.AskNumber(place.ask)] = place
        for replica in held:
            if self._ownership.owner_of(replica) == self._daemon:
                self._ledger_of(replica)
        for replica, ledger in self.ledger_by_replica.items():
            ledger.keep_only(sender, held.get(replica, {}), pending, now=now)
            self._queue.pump(ledger)

    def refresh_slots(self) -> None:
        """Take over what the table and the list now say of slots."""
        for replica, ledger in self.ledger_by_replica.items():
            target = self._targets.target_by_replica.get(replica)
            if target is None:
                continue
            ledger.slots, ledger.batch_slots = self._slots_of(target)
            self._queue.pump(ledger)

    def _slots_of(self, target: _targets.Target) -> tuple[int, int]:
        """Give a replica's slots, and how many batch work may take."""
        slots = self._rules.slots_of(target.group)
        if target.slots:
            slots = min(slots, target.slots)
        reserve = self._rules.batch_reserve_of(target.group)
        return slots, max(1, math.floor(slots * (1 - reserve)))

    def drop_silent(self, *, longest: float) -> None:
        """Free what daemons held that have not been heard of for long.

        A daemon that lost power gives nothing back, and where nobody says
        that it is gone its places would count until it comes back. They
        raise the mean, and with it what every replica may hold.

        Parameters
        ----------
        longest : float
            Seconds; longer than daemons take between two renewals.
        """
        now = self._clock.monotonic()
        for daemon, heard_at in list(self._heard_at.items()):
            if now - heard_at <= longest or daemon == self._daemon:
                continue
            del self._heard_at[daemon]
            _log.info(
                "no word of {daemon} for {seconds:.1f} s: its places are free",
                daemon=daemon,
                seconds=now - heard_at,
            )
            self.drop_daemon(daemon)

    def drop_daemon(self, daemon: _ids.DaemonId) -> None:
        """Free all that a dead daemon held."""
        now = self._clock.monotonic()
        for ledger in self.ledger_by_replica.values():
            ledger.drop_daemon(daemon, now=now)
            self._queue.pump(ledger)

    def transfer(
        self, transfers: list[_ownership.Transfer]
    ) -> Mapping[_ids.DaemonId, list[messages.Displaced]]:
        """Take up gained replicas and lay down lost ones.

        Returns
        -------
        mapping
            Displaced chats to hand over, by their new owner.
        """
        lost: dict[_ids.ReplicaId, _ids.DaemonId | None] = {}
        for change in transfers:
            if change.after == self._daemon:
                self._ledger_of(change.replica)
            elif change.before == self._daemon:
                lost[change.replica] = change.after
        for replica in lost:
            ledger = self.ledger_by_replica.pop(replica, None)
            if ledger is not None:
                ledger.refuse_all(messages.Verdict.not_owner)
        handover: dict[_ids.DaemonId, list[messages.Displaced]] = {}
        for home, entries in self.displaced.take_out(set(lost)).items():
            after = lost[home]
            if after is not None:
                handover.setdefault(after, []).extend(entries)
        return handover

    def forget_ended_starts(self) -> None:
        """Begin anew with replicas that started again under their id.

        The new start runs nothing of what is counted and holds no context.
        Kept, the old count would keep calls away from an idle replica, and
        displaced chats would return to where their context no longer is.
        """
        for replica, ledger in list(self.ledger_by_replica.items()):
            target = self._targets.target_by_replica.get(replica)
            if target is None or target.incarnation == ledger.incarnation:
                continue
            ledger.refuse_all(messages.Verdict.expired)
            fresh = self._open(target)
            # Nothing is held there yet: there is no count to distrust.
            fresh.careful_until = 0.0
            self.ledger_by_replica[replica] = fresh
        self.displaced.forget_ended_starts(self._targets.target_by_replica)

    def turn_careful(self) -> None:
        """Distrust all counts for a while, after a pause of this daemon."""
        until = self._clock.monotonic() + CAREFUL_SECONDS
        for ledger in self.ledger_by_replica.values():
            ledger.careful_until = until
            ledger.forget_reports()

    def take_engine_report(
        self, replica: _ids.ReplicaId, running: int
    ) -> None:
        """Note what an engine says of its load."""
        ledger = self.ledger_by_replica.get(replica)
        if ledger is not None:
            ledger.take_report(running)

    def take_summary(
        self, summary: messages.LoadSummary, report: messages.LoadReport
    ) -> None:
        """Note a collector's answer, and grant what now fits."""
        group = _ids.GroupName(summary.group)
        self.accounts.take_summary(summary, report)
        for ledger in self.accounts.ledgers_of(group):
            self._queue.pump(ledger)

    def waiting(self) -> int:
        """Give the asks that wait in this owner's queues."""
        ledgers = self.ledger_by_replica.values()
        return sum(len(ledger.waiting_by_key) for ledger in ledgers)

    def _ledger_of(
        self, replica: _ids.ReplicaId
    ) -> _ledger.ReplicaLedger | None:
        ledger = self.ledger_by_replica.get(replica)
        if ledger is not None:
            return ledger
        target = self._targets.target_by_replica.get(replica)
        if target is None:
            return None
        ledger = self._open(target)
        self.ledger_by_replica[replica] = ledger
        return ledger

    def _open(self, target: _targets.Target) -> _ledger.ReplicaLedger:
        slots, batch_slots = self._slots_of(target)
        ledger = _ledger.ReplicaLedger(
            replica=target.replica,
            group=target.group,
            slots=slots,
            batch_slots=batch_slots,
            queue_capacity=self._routing.queue_per_replica,
            incarnation=target.incarnation,
        )
        ledger.careful_until = self._clock.monotonic() + CAREFUL_SECONDS
        _log.info("own {replica}", replica=target.replica)
        return ledger
