"""Which targets there are, and which may get new work.

Four signs count, whichever is first: the platform's lagging list, the
target's own answers, the operators' drains, and peers' facts. A target that
is leaving gets nothing new until it is seen live under a new incarnation,
whatever the list says of the start that is leaving.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import math
from typing import final

import msgspec

from topazlug import _clock
from topazlug import _ids
from topazlug._generated import messages
from topazlug.targets import _cold_replicas
from topazlug.targets import _listed_targets
from topazlug.targets import _reported_states
from topazlug.targets import _target
from topazlug.targets import _target_report
from topazlug.targets import _zone_reachability

# The types under the name that most modules know them by.
Target = _target.Target
TargetKind = _target.TargetKind

_AVOID_SECONDS = 1.0
_TOLD_SECONDS = 900.0
_HOLD_BASE_SECONDS = 1.0
_HOLD_MAX_SECONDS = 30.0


class _Told(msgspec.Struct):
    target: Target
    until: float


class _Choice(msgspec.Struct):
    in_service: list[_ids.ReplicaId]
    usable: list[_ids.ReplicaId]
    until: float


class _Health(msgspec.Struct):
    incarnation: int = 0
    state: messages.FactState = messages.FactState.live
    returns: list[float] = msgspec.field(default_factory=list)
    held_until: float = 0.0
    avoid_until: float = 0.0
    gone_at: float | None = None


class Drains(msgspec.Struct, frozen=True):
    """What operators took out of service."""

    replicas: frozenset[str] = frozenset()
    zones: frozenset[str] = frozenset()


WordCallback = Callable[[Target, _target_report.TargetReport], None]

_UNUSABLE = (messages.FactState.leaving, messages.FactState.dead)


@final
class TargetDirectory:
    """All known targets.

    Parameters
    ----------
    clock : Clock
        Time.
    flap_window : float
        Seconds over which a target's returns are counted.

    Attributes
    ----------
    target_by_replica : dict
        The platform's list as last read, and what peers saw on it since.
    drains : Drains
        What operators took out of service.
    cold : ColdReplicas
        Replicas that have just started.
    reachability : ZoneReachability
        Zones that take connections of this daemon.
    reported : ReportedStates
        Targets that said in answers that they want no new work.
    """

    def __init__(self, *, clock: _clock.Clock, flap_window: float) -> None:
        self._clock = clock
        self.cold = _cold_replicas.ColdReplicas(clock=clock)
        self.reachability = _zone_reachability.ZoneReachability(clock=clock)
        self.reported = _reported_states.ReportedStates(clock=clock)
        self._flap_window = flap_window
        self._health_by_replica: dict[_ids.ReplicaId, _Health] = {}
        self.drains = Drains()
        self._callbacks: list[Callable[[], None]] = []
        self._word_callbacks: list[WordCallback] = []
        self._choice_by_group: dict[_ids.GroupName, _Choice] = {}
        self._listed_by_replica: dict[_ids.ReplicaId, Target] = {}
        self._told_by_replica: dict[_ids.ReplicaId, _Told] = {}
        self.target_by_replica: dict[_ids.ReplicaId, Target] = {}
        self._replicas_by_group: dict[_ids.GroupName, list[_ids.ReplicaId]]
        self._replicas_by_group = {}

    def on_change(self, callback: Callable[[], None]) -> None:
        """Ask to be called when the set of targets changed."""
        self._callbacks.append(callback)

    def on_report(self, callback: WordCallback) -> None:
        """Ask to be called with what targets newly say in answers."""
        self._word_callbacks.append(callback)

    def take_list(self, targets: Iterable[Target]) -> None:
        """Take over the platform's list of targets.

        Parameters
        ----------
        targets : iterable of Target
            The whole list.
        """
        self._listed_by_replica = {t.replica: t for t in targets}
        self.cold.take_list(self._listed_by_replica.values())
        self._merge()

    def _merge(self) -> None:
        """Join the list with what peers saw on a newer one."""
        now = self._clock.monotonic()
        fresh = dict(self._listed_by_replica)
        for replica, told in list(self._told_by_replica.items()):
            listed = fresh.get(replica)
            if now > told.until:
                del self._told_by_replica[replica]
            elif (
                listed is None or listed.incarnation < told.target.incarnation
            ):
                fresh[replica] = told.target
        if fresh == self.target_by_replica:
            return
        for replica in self.target_by_replica:
            self._health(replica)
        for target in _listed_targets.restarted(
            self.target_by_replica, fresh.values()
        ):
            self._forget_start(target.replica)
        self.target_by_replica = fresh
        self._note_gone_and_back(fresh, now)
        groups: dict[_ids.GroupName, list[_ids.ReplicaId]] = {}
        for replica in sorted(fresh):
            groups.setdefault(fresh[replica].group, []).append(replica)
        self._replicas_by_group = groups
        self._notify()

    def _forget_start(self, replica: _ids.ReplicaId) -> None:
        """End what is believed of a start that has ended.

        Its returns to the list still count: they are the id's, and one that
        starts again and again must not pull chats back and forth.
        """
        health = self._health(replica)
        health.state = messages.FactState.live
        health.avoid_until = 0.0
        health.held_until = 0.0

    def _note_gone_and_back(
        self, fresh: Mapping[_ids.ReplicaId, Target], now: float
    ) -> None:
        """Count a target that fell off the list and came back as flapping.

        Its record is kept for a while after it went: forgotten at once, a
        target that comes and goes on the list would be new each time.
        """
        for replica, health in list(self._health_by_replica.items()):
            if replica in fresh:
                if health.gone_at is not None:
                    health.gone_at = None
                    self._note_return(health)
            elif health.gone_at is None:
                health.gone_at = now
            elif now - health.gone_at > self._flap_window:
                del self._health_by_replica[replica]

    def set_drains(self, drains: Drains) -> None:
        """Take over what operators drained.

        Replicas of a zone that was drained may have been started again
        meanwhile; until they say that they are not cold they are taken to be.
        """
        returned = self.drains.zones - drains.zones
        self.cold.presume_cold(
            target
            for target in self.target_by_replica.values()
            if target.zone in returned
        )
        self.drains = drains
        self._notify()

    def drained(self) -> list[Target]:
        """Give the listed targets that operators took out of service."""
        return [
            target
            for target in self.target_by_replica.values()
            if self._is_drained(target)
        ]

    def cold_replicas(self) -> list[Target]:
        """Give the listed targets that have just started, or may have."""
        targets = self.target_by_replica.values()
        return [target for target in targets if self.cold.is_cold(target)]

    def unreachable(self) -> list[Target]:
        """Give the listed targets in zones that take no connections."""
        targets = self.target_by_replica.values()
        return [
            one
            for one in targets
            if not self.reachability.is_reachable(one.zone)
        ]

    def reported_leaving(self) -> list[Target]:
        """Give the listed targets that said that they are leaving."""
        targets = self.target_by_replica.values()
        return [one for one in targets if self.reported.is_leaving(one)]

    def in_backoff(self) -> list[Target]:
        """Give the listed targets that want no request of this daemon now."""
        targets = self.target_by_replica.values()
        return [
            one for one in targets if self.reported.remaining_backoff(one) > 0
        ]

    def handle_report(
        self, target: Target, report: _target_report.TargetReport
    ) -> None:
        """Take what a target says of itself with an answer."""
        if not self.reported.note(target, report):
            return
        self._choice_by_group.pop(target.group, None)
        if report.leaving:
            self._notify()
        for callback in self._word_callbacks:
            callback(target, report)

    def take_peer_backoff(
        self, replica: _ids.ReplicaId, seconds: float
    ) -> None:
        """Take a peer's word that a target wants no request of anybody.

        It is told to nobody: told on, it would look like one more daemon
        that the target has turned away, and would never end.
        """
        target = self.target_by_replica.get(replica)
        if target is None:
            return
        self.reported.note_peer_backoff(target, seconds)
        self._choice_by_group.pop(target.group, None)

    def is_leaving(self, target: Target) -> bool:
        """Say whether a target leaves, by the list or its own word."""
        return target.leaving or self.reported.is_leaving(target)

    def _is_drained(self, target: Target) -> bool:
        if target.replica in self.drains.replicas:
            return True
        return target.zone in self.drains.zones

    def apply_fact(self, fact: messages.Fact) -> None:
        """Take over what a peer, or this daemon, saw of a target."""
        if fact.group and fact.port:
            self._told_by_replica[_ids.ReplicaId(fact.subject)] = _Told(
                target=_listed_targets.target_from_fact(fact),
                until=self._clock.monotonic() + _TOLD_SECONDS,
            )
            self._merge()
        health = self._health(_ids.ReplicaId(fact.subject))
        returned = health.state in _UNUSABLE and fact.state not in _UNUSABLE
        health.incarnation = fact.incarnation
        health.state = fact.state
        if returned:
            self._note_return(health)
        self._notify()

    def _note_return(self, health: _Health) -> None:
        """Hold a target that comes and goes out of new work for longer.

        A target that flaps pulls its chats back and forth, and each swing
        costs them their context. Each return within the window doubles the
        time it must stay up before it gets work again.
        """
        now = self._clock.monotonic()
        since = now - self._flap_window
        health.returns = [at for at in health.returns if at > since]
        health.returns.append(now)
        if len(health.returns) < 2:
            return
        hold = _HOLD_BASE_SECONDS * 2 ** (len(health.returns) - 1)
        health.held_until = now + min(hold, _HOLD_MAX_SECONDS)

    def avoid(self, replica: _ids.ReplicaId) -> None:
        """Pass a target over for a moment, on this daemon only."""
        until = self._clock.monotonic() + _AVOID_SECONDS
        self._health(replica).avoid_until = until
        self._choice_by_group.clear()

    def known(self, group: _ids.GroupName) -> list[_ids.ReplicaId]:
        """Give all listed replicas of a group."""
        return self._replicas_by_group.get(group, [])

    def groups(self) -> list[_ids.GroupName]:
        """Give the groups that have listed replicas."""
        return list(self._replicas_by_group)

    def usable(self, group: _ids.GroupName) -> list[_ids.ReplicaId]:
        """Give the replicas of a group that may get work of this daemon."""
        return self._choice(group).usable

    def in_service(self, group: _ids.GroupName) -> list[_ids.ReplicaId]:
        """Give the replicas of a group that may get work of any daemon.

        Those that want nothing of this daemon for a while are among them.
        """
        return self._choice(group).in_service

    def _choice(self, group: _ids.GroupName) -> _Choice:
        """Look through a group, or give what was found last.

        It is kept until something changes: a group of 156 replicas would be
        looked through for each request.
        """
        now = self._clock.monotonic()
        kept = self._choice_by_group.get(group)
        if kept is None or now >= kept.until:
            kept = self._look_through(group, now)
            self._choice_by_group[group] = kept
        return kept

    def _look_through(self, group: _ids.GroupName, now: float) -> _Choice:
        choice = _Choice(in_service=[], usable=[], until=math.inf)
        for replica in self.known(group):
            backoff = self.reported.remaining_backoff(
                self.target_by_replica[replica]
            )
            if self._is_in_service(replica, now):
                choice.in_service.append(replica)
                if backoff <= 0:
                    choice.usable.append(replica)
            health = self._health_by_replica.get(replica, _Health())
            ends = (health.held_until, health.avoid_until, now + backoff)
            choice.until = min(
                [choice.until, *(end for end in ends if end > now)]
            )
        return choice

    def is_usable(self, replica: _ids.ReplicaId) -> bool:
        """Say whether a replica may get work of this daemon."""
        if not self.is_in_service(replica):
            return False
        return (
            self.reported.remaining_backoff(self.target_by_replica[replica])
            <= 0
        )

    def is_in_service(self, replica: _ids.ReplicaId) -> bool:
        """Say whether a replica may get work of any daemon."""
        return self._is_in_service(replica, self._clock.monotonic())

    def seconds_until_usable(
        self,
        group: _ids.GroupName,
        excluded: frozenset[_ids.ReplicaId] = frozenset(),
    ) -> float | None:
        """Give when the first of a group's replicas may get work again.

        Returns
        -------
        float or None
            0 if one may now; None if none is in service.
        """
        waits = [
            self.reported.remaining_backoff(self.target_by_replica[replica])
            for replica in self.in_service(group)
            if replica not in excluded
        ]
        return min(waits, default=None)

    def _is_in_service(self, replica: _ids.ReplicaId, now: float) -> bool:
        target = self.target_by_replica.get(replica)
        if target is None or self.is_leaving(target):
            return False
        if self._is_drained(target):
            return False
        return self._is_answering(target, now)

    def is_answering(self, replica: _ids.ReplicaId) -> bool:
        """Say whether a replica can be asked, if only for what it holds.

        One that leaves or is drained still answers, and holds contexts that
        others would read again.
        """
        target = self.target_by_replica.get(replica)
        if target is None:
            return False
        return target.leaving or self._is_answering(
            target, self._clock.monotonic()
        )

    def _is_answering(self, target: Target, now: float) -> bool:
        health = self._health_by_replica.get(target.replica)
        if health is None:
            return True
        if now < health.held_until or now < health.avoid_until:
            return False
        if health.state not in _UNUSABLE:
            return True
        return target.incarnation > health.incarnation

    def state_of(self, replica: _ids.ReplicaId) -> messages.FactState:
        """Give what is known of a replica's state."""
        health = self._health_by_replica.get(replica)
        return messages.FactState.live if health is None else health.state

    def _health(self, replica: _ids.ReplicaId) -> _Health:
        return self._health_by_replica.setdefault(replica, _Health())

    def _notify(self) -> None:
        self._choice_by_group.clear()
        for callback in self._callbacks:
            callback()
