"""Which daemons live, and which targets are on their way out.

Each daemon sends a small heartbeat to a few peers at each interval, in a
shuffled round over all of them, so that the cost to one daemon does not
grow with the fleet. Facts that are news go out at once to a few random
peers, which pass them on where they were news, and ride on heartbeats for a
while. Digests tell whether two daemons hold the same; if they don't and
nothing fresh is on its way, the books are exchanged whole.

A peer that gives no answer is suspected; one that stays silent is dead. A
daemon that hears itself doubted raises its sequence and says live. The
platform's list only adds: what it shows enters the book as a fact of
sequence 0, which any evidence of the same incarnation overrules.
"""

from collections.abc import Callable
from collections.abc import Mapping
from typing import Protocol
from typing import final

import gevent
import logbook
import msgspec

from topazlug import _clock
from topazlug import _ids
from topazlug import _tasks
from topazlug._generated import messages
from topazlug._generated import settings as _settings
from topazlug.membership import _fact_exchange
from topazlug.membership import _facts
from topazlug.membership import _members
from topazlug.peers import _peers
from topazlug.store import _instances

TICK_SECONDS = 0.25
PAUSE_SECONDS = 1.0
FORGET_INTERVAL_SECONDS = 30.0

_log = logbook.Logger("topazlug.membership")

_DOUBTS = (messages.FactState.suspected, messages.FactState.dead)


class Instances(Protocol):
    """What membership asks of the platform's list."""

    @property
    def instances_by_id(self) -> Mapping[str, _instances.Instance]:
        """Give the list as last read."""

    def on_change(self, callback: Callable[[], None]) -> None:
        """Have a callable called when the list has changed."""


Member = _members.Member


@final
class Membership:
    """The daemons and the exceptional targets, kept in step with peers.

    Parameters
    ----------
    daemon_id : DaemonId
        This daemon.
    incarnation : int
        Grows with each start of this daemon.
    address : Address
        Where this daemon listens for peers.
    zone : str
        Availability zone of this daemon.
    settings : MembershipSettings
        Intervals and timeouts.
    links : PeerLinks
        Streams to peers; heartbeats are handled from `start` on.
    instances : Instances
        The platform's list.
    clock : Clock
        Source of monotonic time.
    current_revision : callable
        Gives the configuration revision that heartbeats carry.

    Attributes
    ----------
    members_by_id : dict
        All daemons known, whatever their state.
    target_facts_by_id : dict
        Facts of targets. A target without one is in its usual state.
    pause_count : int
        How often this process was found to have been paused.
    """

    def __init__(
        self,
        *,
        daemon_id: _ids.DaemonId,
        incarnation: int,
        address: _peers.Address,
        zone: str,
        settings: _settings.MembershipSettings,
        links: _peers.PeerLinks,
        instances: Instances,
        clock: _clock.Clock,
        current_revision: Callable[[], int] = lambda: 0,
    ) -> None:
        self.members_by_id: dict[_ids.DaemonId, _members.Member] = {}
        self.target_facts_by_id: dict[_ids.ReplicaId, messages.Fact] = {}
        self.pause_count = 0
        self._daemon_id = daemon_id
        self._settings = settings
        self._instances = instances
        self._clock = clock
        self._usable_by_id: dict[_ids.DaemonId, _members.Member] | None = None
        self._change_callbacks: list[Callable[[], None]] = []
        self._target_callbacks: list[Callable[[messages.Fact], None]] = []
        self._pause_callbacks: list[Callable[[float], None]] = []
        self._notifying = False
        self._suspected_ids: set[_ids.DaemonId] = set()
        self._ticked_at = clock.monotonic()
        self._forgot_at = self._ticked_at
        self._greenlets: list[gevent.Greenlet] = []
        self._book = _facts.FactSet(clock=clock)
        self._exchange = _fact_exchange.FactExchange(
            settings=settings,
            links=links,
            book=self._book,
            clock=clock,
            current_revision=current_revision,
            take=self._take,
            candidates=self._candidates,
            doubted=self._doubted,
            lost_ids=self._lost_ids,
        )
        self._take_own(
            messages.Fact(
                kind=messages.FactKind.daemon,
                subject=daemon_id,
                incarnation=incarnation,
                sequence=0,
                state=messages.FactState.live,
                host=address.host,
                port=address.port,
                zone=zone,
            )
        )
        links.before_each(self.check_pause)
        instances.on_change(self._seed)

    def start(self) -> None:
        """Exchange with peers from now on."""
        self._seed()
        self._ticked_at = self._clock.monotonic()
        self._exchange.start()
        self._greenlets.append(
            _tasks.spawn(self._tick_forever, clock=self._clock)
        )

    def stop(self) -> None:
        """Exchange no more, without a word to peers."""
        self._exchange.stop()
        gevent.killall(self._greenlets, block=True)

    def usable(self) -> Mapping[_ids.DaemonId, _members.Member]:
        """Give the daemons that may own something.

        Live and suspected ones, this daemon among them unless it leaves.
        The same mapping until something changes.
        """
        if self._usable_by_id is None:
            self._usable_by_id = {
                daemon_id: member
                for daemon_id, member in self.members_by_id.items()
                if member.state in _members.USABLE_STATES
            }
        return self._usable_by_id

    def on_change(self, callback: Callable[[], None]) -> None:
        """Have a callable called soon after members have changed.

        Several changes at once make one call.
        """
        self._change_callbacks.append(callback)

    def on_target_fact(
        self, callback: Callable[[messages.Fact], None]
    ) -> None:
        """Have a callable called with each news of a target."""
        self._target_callbacks.append(callback)

    def on_peer_revision(
        self, callback: Callable[[_ids.DaemonId, int], None]
    ) -> None:
        """Have a callable called with the revision in each heartbeat."""
        self._exchange.revision_callbacks.append(callback)

    def on_pause(self, callback: Callable[[float], None]) -> None:
        """Have a callable called with the seconds of each own pause."""
        self._pause_callbacks.append(callback)

    def address_of(self, daemon_id: _ids.DaemonId) -> _peers.Address | None:
        """Give where a daemon listens for peers, if that is known."""
        member = self.members_by_id.get(daemon_id)
        if member is None or not member.port:
            return None
        return _peers.Address(member.host, member.port)

    def announce_leaving(self) -> None:
        """Tell the fleet that this daemon stops."""
        self._raise_own(messages.FactState.leaving)

    def publish_target(
        self,
        replica: _ids.ReplicaId,
        *,
        incarnation: int,
        state: messages.FactState,
    ) -> None:
        """Tell the fleet what was learned of a target.

        An older incarnation is ignored, and so is anything but a newer one
        once the target leaves. That a target without a fact is live is no
        news and is not told.
        """
        held = self._book.get(messages.FactKind.target, replica)
        sequence = 0
        if held is None and state is messages.FactState.live:
            return
        if held is not None and held.incarnation == incarnation:
            if held.state is state:
                return
            sequence = held.sequence + 1
        fact = messages.Fact(
            kind=messages.FactKind.target,
            subject=replica,
            incarnation=incarnation,
            sequence=sequence,
            state=state,
        )
        if held is not None and held.incarnation == incarnation:
            fact = msgspec.structs.replace(
                held, sequence=sequence, state=state
            )
        self._tell(fact)

    def publish_listed_target(self, fact: messages.Fact) -> None:
        """Tell the fleet of a target that the list shows anew.

        Daemons share the reads of the list; without this, one that reads it
        every few minutes would send a new replica no work for as long.
        """
        held = self._book.get(messages.FactKind.target, fact.subject)
        if held is None or held.incarnation < fact.incarnation:
            self._tell(fact)
        elif fact.state is messages.FactState.leaving:
            self.publish_target(
                _ids.ReplicaId(fact.subject),
                incarnation=fact.incarnation,
                state=fact.state,
            )

    def _tell(self, fact: messages.Fact) -> None:
        if self._take(fact):
            self._exchange.spread(fact)

    def check_pause(self) -> bool:
        """Look whether this process was paused; tell whether it was.

        After a pause, messages that wait in the sockets may be handled
        before the ticker runs. Who acts on a promise that lapses with time
        looks here first: another daemon may have taken over meanwhile, and
        both would then admit work onto the same replica.
        """
        now = self._clock.monotonic()
        elapsed = now - self._ticked_at
        self._ticked_at = now
        if elapsed <= TICK_SECONDS + PAUSE_SECONDS:
            return False
        self.pause_count += 1
        _log.warning("paused for {:.1f} s", elapsed)
        # The silence of peers in this time was our own.
        self._book.restart_held_times()
        for callback in self._pause_callbacks:
            callback(elapsed)
        own = self._own()
        if own.state is not messages.FactState.leaving:
            self._raise_own(messages.FactState.live)
        return True

    def _own(self) -> messages.Fact:
        own = self._book.get(messages.FactKind.daemon, self._daemon_id)
        assert own is not None
        return own

    def _take_own(self, fact: messages.Fact) -> None:
        self._take(fact)
        self._exchange.spread(fact)

    def _raise_own(self, state: messages.FactState) -> None:
        own = self._own()
        raised = msgspec.structs.replace(
            own, sequence=own.sequence + 1, state=state
        )
        self._take_own(raised)

    def _take(self, fact: messages.Fact) -> bool:
        is_self = fact.kind is messages.FactKind.daemon and (
            fact.subject == self._daemon_id
        )
        if is_self and self._refuted(fact):
            return False
        if not self._book.merge(fact):
            return False
        if fact.kind is messages.FactKind.target:
            self._take_target(fact)
        else:
            self._take_member(fact)
        return True

    def _refuted(self, fact: messages.Fact) -> bool:
        own = self._book.get(messages.FactKind.daemon, self._daemon_id)
        if own is None:
            return False
        if _facts.order(fact) <= _facts.order(own):
            if fact.state in _DOUBTS:
                # Somebody still doubts what was refuted while it was cut
                # off. The refutation is no news any more and would reach it
                # only by a whole sync; until then it sends us nothing.
                self._exchange.remind(own)
            return False
        if fact.incarnation > own.incarnation:
            _log.error(
                "another daemon goes by our name {!r}, incarnation {}: give "
                "each daemon a daemon.id of its own",
                self._daemon_id,
                fact.incarnation,
            )
            return True
        if fact.state not in _DOUBTS:
            return False
        raised = msgspec.structs.replace(own, sequence=fact.sequence + 1)
        self._take_own(raised)
        return True

    def _take_member(self, fact: messages.Fact) -> None:
        daemon_id = _ids.DaemonId(fact.subject)
        before = self.members_by_id.get(daemon_id)
        if before is not None and before.state is not fact.state:
            _log.info("daemon {} is {}", daemon_id, fact.state.value)
        self.members_by_id[daemon_id] = _members.member_of(fact)
        if fact.state is messages.FactState.suspected:
            self._suspected_ids.add(daemon_id)
        else:
            self._suspected_ids.discard(daemon_id)
        self._changed()

    def _take_target(self, fact: messages.Fact) -> None:
        self.target_facts_by_id[_ids.ReplicaId(fact.subject)] = fact
        for callback in self._target_callbacks:
            callback(fact)

    def _changed(self) -> None:
        self._usable_by_id = None
        if not self._notifying and self._change_callbacks:
            self._notifying = True
            gevent.spawn(self._notify)

    def _notify(self) -> None:
        self._notifying = False
        for callback in self._change_callbacks:
            callback()

    def _seed(self) -> None:
        for instance in self._instances.instances_by_id.values():
            if instance.kind is _instances.InstanceKind.DAEMON:
                self._take(_members.listed_fact(instance))

    def _candidates(self) -> set[_ids.DaemonId]:
        return set(self.usable()) - {self._daemon_id}

    def _doubted(self, peer: _ids.DaemonId) -> None:
        held = self._book.get(messages.FactKind.daemon, peer)
        if held is not None and held.state is messages.FactState.live:
            self._worsen(held, messages.FactState.suspected)

    def _worsen(self, held: messages.Fact, state: messages.FactState) -> None:
        fact = msgspec.structs.replace(held, state=state)
        if self._take(fact):
            self._exchange.spread(fact)

    def _lost_ids(self) -> list[_ids.DaemonId]:
        return [
            member.daemon_id
            for member in self.members_by_id.values()
            if member.state is messages.FactState.dead
        ]

    def _tick_forever(self) -> None:
        while True:
            self._clock.sleep(TICK_SECONDS)
            # The pause goes first: it restarts the times held. Else a
            # daemon that was frozen would, on its thaw, take for dead
            # whom it suspected before.
            self.check_pause()
            self._bury_silent()
            self._forget_old()

    def _bury_silent(self) -> None:
        for daemon_id in list(self._suspected_ids):
            subject = (messages.FactKind.daemon, daemon_id)
            held_seconds = self._book.held_seconds(subject)
            if held_seconds > self._settings.suspect_timeout:
                fact = self._book.fact_by_subject[subject]
                self._worsen(fact, messages.FactState.dead)

    def _forget_old(self) -> None:
        now = self._clock.monotonic()
        if now - self._forgot_at < FORGET_INTERVAL_SECONDS:
            return
        self._forgot_at = now
        for kind, name in self._book.forget_old(self._is_needed):
            if kind is messages.FactKind.daemon:
                self.members_by_id.pop(_ids.DaemonId(name), None)
            else:
                self.target_facts_by_id.pop(_ids.ReplicaId(name), None)

    def _is_needed(self, fact: messages.Fact) -> bool:
        # Forgotten while the platform still lists it, a dead daemon would
        # enter the book again as live.
        listed = self._instances.instances_by_id.get(fact.subject)
        return listed is not None and listed.incarnation <= fact.incarnation
