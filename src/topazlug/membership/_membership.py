"""Detects which daemons are alive and which targets are leaving.

Each daemon sends a small heartbeat to a few peers at each interval and goes
through all peers in shuffled order, so the cost to one daemon does not grow
with the fleet. A changed fact is pushed at once to a few random peers, which
pass it on if it is new to them, and is repeated in heartbeats for a while.
Digests show whether two daemons hold the same facts. If they differ while no
change is spreading, the two daemons exchange all their facts.

A peer that does not answer is suspected, and dead if it stays unresponsive.
A daemon that receives a fact that it is suspected or dead raises its sequence
and announces itself as live. Entries of the platform's list become facts of
sequence 0, so any observation of the same incarnation overrides them.
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
PAUSE_THRESHOLD_SECONDS = 1.0
REMOVAL_INTERVAL_SECONDS = 30.0

_log = logbook.Logger("topazlug.membership")

_UNREACHABLE_STATES = (messages.FactState.suspected, messages.FactState.dead)


class Instances(Protocol):
    """The part of the platform's list that membership uses."""

    @property
    def instances_by_id(self) -> Mapping[str, _instances.Instance]:
        """Return the list as last read."""

    def on_change(self, callback: Callable[[], None]) -> None:
        """Add a callback for changes of the list."""


Member = _members.Member


@final
class Membership:
    """The daemons, and the targets with facts, kept in sync with peers.

    Parameters
    ----------
    daemon_id : DaemonId
        This daemon.
    incarnation : int
        Increases with each start of this daemon.
    address : Address
        Where this daemon listens for peers.
    zone : str
        Availability zone of this daemon.
    settings : MembershipSettings
        Intervals and timeouts.
    links : PeerLinks
        Streams to peers; heartbeats are answered after `start`.
    instances : Instances
        The platform's list.
    clock : Clock
        Source of monotonic time.
    current_revision : callable
        Returns the configuration revision to send in heartbeats.

    Attributes
    ----------
    members_by_id : dict
        All daemons known, whatever their state.
    target_facts_by_id : dict
        Facts of targets. A target without one is in its usual state.
    pause_count : int
        Number of pauses of this process that were detected.
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
        self._last_tick_at = clock.monotonic()
        self._last_removal_at = self._last_tick_at
        self._greenlets: list[gevent.Greenlet] = []
        self._fact_set = _facts.FactSet(clock=clock)
        self._exchange = _fact_exchange.FactExchange(
            settings=settings,
            links=links,
            fact_set=self._fact_set,
            clock=clock,
            current_revision=current_revision,
            merge=self._merge,
            candidates=self._candidates,
            on_no_answer=self._on_no_answer,
            dead_ids=self._dead_ids,
        )
        self._publish_own(
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
        links.before_each_message(self.check_pause)
        instances.on_change(self._merge_listed)

    def start(self) -> None:
        """Start exchanging facts with peers."""
        self._merge_listed()
        self._last_tick_at = self._clock.monotonic()
        self._exchange.start()
        self._greenlets.append(
            _tasks.spawn(self._run_ticker, clock=self._clock)
        )

    def stop(self) -> None:
        """Stop exchanging facts, without notifying peers."""
        self._exchange.stop()
        gevent.killall(self._greenlets, block=True)

    def usable(self) -> Mapping[_ids.DaemonId, _members.Member]:
        """Return the daemons that may own replicas.

        These are the live and suspected ones, including this daemon unless
        it is leaving. Returns the same mapping object until members change.
        """
        if self._usable_by_id is None:
            self._usable_by_id = {
                daemon_id: member
                for daemon_id, member in self.members_by_id.items()
                if member.state in _members.USABLE_STATES
            }
        return self._usable_by_id

    def on_change(self, callback: Callable[[], None]) -> None:
        """Add a callback that runs soon after members have changed.

        Several changes at the same time result in one call.
        """
        self._change_callbacks.append(callback)

    def on_target_fact(
        self, callback: Callable[[messages.Fact], None]
    ) -> None:
        """Add a callback that receives each changed fact about a target."""
        self._target_callbacks.append(callback)

    def on_peer_revision(
        self, callback: Callable[[_ids.DaemonId, int], None]
    ) -> None:
        """Add a callback that receives the revision in each heartbeat."""
        self._exchange.revision_callbacks.append(callback)

    def on_pause(self, callback: Callable[[float], None]) -> None:
        """Add a callback that receives the seconds of each own pause."""
        self._pause_callbacks.append(callback)

    def address_of(self, daemon_id: _ids.DaemonId) -> _peers.Address | None:
        """Return where a daemon listens for peers, or None if unknown."""
        member = self.members_by_id.get(daemon_id)
        if member is None or not member.port:
            return None
        return _peers.Address(member.host, member.port)

    def announce_leaving(self) -> None:
        """Announce to the fleet that this daemon is about to stop."""
        self._raise_own_sequence(messages.FactState.leaving)

    def publish_target(
        self,
        replica: _ids.ReplicaId,
        *,
        incarnation: int,
        state: messages.FactState,
    ) -> None:
        """Publish the observed state of a target to the fleet.

        States of older incarnations are ignored. Once the target is leaving,
        only states of a newer incarnation are published. A target without a
        fact counts as live, so that state is not published for it.
        """
        held = self._fact_set.get(messages.FactKind.target, replica)
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
        self._publish(fact)

    def publish_listed_target(self, fact: messages.Fact) -> None:
        """Publish a target that is new in the platform's list.

        The daemons divide the reads of the list among themselves. Without
        this a daemon that reads it every few minutes would send no requests
        to a new replica until its next read.
        """
        held = self._fact_set.get(messages.FactKind.target, fact.subject)
        if held is None or held.incarnation < fact.incarnation:
            self._publish(fact)
        elif fact.state is messages.FactState.leaving:
            self.publish_target(
                _ids.ReplicaId(fact.subject),
                incarnation=fact.incarnation,
                state=fact.state,
            )

    def _publish(self, fact: messages.Fact) -> None:
        if self._merge(fact):
            self._exchange.broadcast(fact)

    def check_pause(self) -> bool:
        """Return whether this process was paused since the last check.

        After a pause, messages waiting in sockets may be handled before the
        ticker runs. Code that relies on something that expires with time
        must call this first: another daemon may have taken over ownership
        during the pause, and both would admit requests to the same replica.
        """
        now = self._clock.monotonic()
        elapsed = now - self._last_tick_at
        self._last_tick_at = now
        if elapsed <= TICK_SECONDS + PAUSE_THRESHOLD_SECONDS:
            return False
        self.pause_count += 1
        _log.warning("this process was paused for {:.1f} s", elapsed)
        # The time of the pause must not count against peers.
        self._fact_set.reset_held_times()
        for callback in self._pause_callbacks:
            callback(elapsed)
        own = self._own()
        if own.state is not messages.FactState.leaving:
            self._raise_own_sequence(messages.FactState.live)
        return True

    def _own(self) -> messages.Fact:
        own = self._fact_set.get(messages.FactKind.daemon, self._daemon_id)
        assert own is not None
        return own

    def _publish_own(self, fact: messages.Fact) -> None:
        self._merge(fact)
        self._exchange.broadcast(fact)

    def _raise_own_sequence(self, state: messages.FactState) -> None:
        own = self._own()
        raised = msgspec.structs.replace(
            own, sequence=own.sequence + 1, state=state
        )
        self._publish_own(raised)

    def _merge(self, fact: messages.Fact) -> bool:
        is_self = fact.kind is messages.FactKind.daemon and (
            fact.subject == self._daemon_id
        )
        if is_self and self._refute(fact):
            return False
        if not self._fact_set.merge(fact):
            return False
        if fact.kind is messages.FactKind.target:
            self._update_target(fact)
        else:
            self._update_member(fact)
        return True

    def _refute(self, fact: messages.Fact) -> bool:
        own = self._fact_set.get(messages.FactKind.daemon, self._daemon_id)
        if own is None:
            return False
        if _facts.precedence(fact) <= _facts.precedence(own):
            if fact.state in _UNREACHABLE_STATES:
                # A peer that was cut off did not receive the refutation,
                # which is no longer being repeated. It would reach the peer
                # only with a full sync, and until then the peer would send
                # this daemon no requests.
                self._exchange.repeat(own)
            return False
        if fact.incarnation > own.incarnation:
            _log.error(
                "another daemon uses the same id {!r} with incarnation {}; "
                "set a unique daemon.id for each daemon",
                self._daemon_id,
                fact.incarnation,
            )
            return True
        if fact.state not in _UNREACHABLE_STATES:
            return False
        raised = msgspec.structs.replace(own, sequence=fact.sequence + 1)
        self._publish_own(raised)
        return True

    def _update_member(self, fact: messages.Fact) -> None:
        daemon_id = _ids.DaemonId(fact.subject)
        before = self.members_by_id.get(daemon_id)
        if before is not None and before.state is not fact.state:
            _log.info("daemon {} is now {}", daemon_id, fact.state.value)
        self.members_by_id[daemon_id] = _members.member_from_fact(fact)
        if fact.state is messages.FactState.suspected:
            self._suspected_ids.add(daemon_id)
        else:
            self._suspected_ids.discard(daemon_id)
        self._schedule_notify()

    def _update_target(self, fact: messages.Fact) -> None:
        self.target_facts_by_id[_ids.ReplicaId(fact.subject)] = fact
        for callback in self._target_callbacks:
            callback(fact)

    def _schedule_notify(self) -> None:
        self._usable_by_id = None
        if not self._notifying and self._change_callbacks:
            self._notifying = True
            gevent.spawn(self._notify)

    def _notify(self) -> None:
        self._notifying = False
        for callback in self._change_callbacks:
            callback()

    def _merge_listed(self) -> None:
        for instance in self._instances.instances_by_id.values():
            if instance.kind is _instances.InstanceKind.DAEMON:
                self._merge(_members.fact_from_instance(instance))

    def _candidates(self) -> set[_ids.DaemonId]:
        return set(self.usable()) - {self._daemon_id}

    def _on_no_answer(self, peer: _ids.DaemonId) -> None:
        held = self._fact_set.get(messages.FactKind.daemon, peer)
        if held is not None and held.state is messages.FactState.live:
            self._change_state(held, messages.FactState.suspected)

    def _change_state(
        self, held: messages.Fact, state: messages.FactState
    ) -> None:
        fact = msgspec.structs.replace(held, state=state)
        if self._merge(fact):
            self._exchange.broadcast(fact)

    def _dead_ids(self) -> list[_ids.DaemonId]:
        return [
            member.daemon_id
            for member in self.members_by_id.values()
            if member.state is messages.FactState.dead
        ]

    def _run_ticker(self) -> None:
        while True:
            self._clock.sleep(TICK_SECONDS)
            # Checking for a pause comes first since it resets held times.
            # Otherwise a daemon that was frozen would declare the peers that
            # it had suspected dead as soon as it resumes.
            self.check_pause()
            self._expire_suspected()
            self._remove_expired()

    def _expire_suspected(self) -> None:
        for daemon_id in list(self._suspected_ids):
            subject = (messages.FactKind.daemon, daemon_id)
            held_seconds = self._fact_set.held_seconds(subject)
            if held_seconds > self._settings.suspect_timeout:
                fact = self._fact_set.fact_by_subject[subject]
                self._change_state(fact, messages.FactState.dead)

    def _remove_expired(self) -> None:
        now = self._clock.monotonic()
        if now - self._last_removal_at < REMOVAL_INTERVAL_SECONDS:
            return
        self._last_removal_at = now
        for kind, name in self._fact_set.remove_expired(self._is_needed):
            if kind is messages.FactKind.daemon:
                self.members_by_id.pop(_ids.DaemonId(name), None)
            else:
                self.target_facts_by_id.pop(_ids.ReplicaId(name), None)

    def _is_needed(self, fact: messages.Fact) -> bool:
        # If the fact of a dead daemon were removed while the platform still
        # lists it, the daemon would be added again as live.
        listed = self._instances.instances_by_id.get(fact.subject)
        return listed is not None and listed.incarnation <= fact.incarnation
