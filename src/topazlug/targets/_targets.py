"""Directory of targets, and which of them may receive new requests.

A target is taken out of service by whichever of four sources shows it first:
the platform's list, which lags, the target's own answers, the operators'
drains, or peers' facts. A leaving target receives no new requests until it is
live under a new incarnation, even if the list still shows the leaving process
as live.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import math
from typing import final

import msgspec

from topazlug import _clock
from topazlug import _ids
from topazlug import _logs
from topazlug._generated import messages
from topazlug.targets import _brittle_groups
from topazlug.targets import _cold_replicas
from topazlug.targets import _ejected_replicas
from topazlug.targets import _listed_targets
from topazlug.targets import _reported_states
from topazlug.targets import _target
from topazlug.targets import _target_report
from topazlug.targets import _zone_reachability

# Aliases: most modules refer to these types through this module.
Target = _target.Target
TargetKind = _target.TargetKind

_log = _logs.logger("replicas")
_AVOID_SECONDS = 1.0
_PEER_TARGET_SECONDS = 900.0
_HELD_OUT_BASE_SECONDS = 1.0
_MAX_HELD_OUT_SECONDS = 30.0


class _PeerTarget(msgspec.Struct):
    target: Target
    until: float


class _Candidates(msgspec.Struct):
    in_service: list[_ids.ReplicaId]
    usable: list[_ids.ReplicaId]
    until: float


class _Health(msgspec.Struct):
    incarnation: int = 0
    state: messages.FactState = messages.FactState.live
    returns: list[float] = msgspec.field(default_factory=list)
    held_out_until: float = 0.0
    avoid_until: float = 0.0
    unlisted_at: float | None = None


class Drains(msgspec.Struct, frozen=True):
    """Replicas and zones that operators took out of service."""

    replicas: frozenset[str] = frozenset()
    zones: frozenset[str] = frozenset()


ReportCallback = Callable[[Target, _target_report.TargetReport], None]

_UNUSABLE = (messages.FactState.leaving, messages.FactState.dead)


@final
class TargetDirectory:
    """All known targets and their states.

    Parameters
    ----------
    clock : Clock
        Time.
    flap_window : float
        Seconds over which a target's returns to service are counted.

    Attributes
    ----------
    target_by_replica : dict
        The platform's list as last read, with newer entries from peers.
    drains : Drains
        Replicas and zones that operators took out of service.
    cold : ColdReplicas
        Replicas that have just started.
    reachability : ZoneReachability
        Zones that accept connections from this daemon.
    ejected : EjectedReplicas
        Replicas that their owners have ejected.
    brittle : BrittleGroups
        Groups whose replicas crash if they reject too many requests.
    reported : ReportedStates
        States that targets have reported in their answers.
    """

    def __init__(self, *, clock: _clock.Clock, flap_window: float) -> None:
        self._clock = clock
        self.cold = _cold_replicas.ColdReplicas(clock=clock)
        self.reachability = _zone_reachability.ZoneReachability(clock=clock)
        self.ejected = _ejected_replicas.EjectedReplicas(clock=clock)
        self.brittle = _brittle_groups.BrittleGroups(clock=clock)
        self.reported = _reported_states.ReportedStates(clock=clock)
        self._flap_window = flap_window
        self._health_by_replica: dict[_ids.ReplicaId, _Health] = {}
        self.drains = Drains()
        self._callbacks: list[Callable[[], None]] = []
        self._report_callbacks: list[ReportCallback] = []
        self._candidates_by_group: dict[_ids.GroupName, _Candidates] = {}
        self._listed_by_replica: dict[_ids.ReplicaId, Target] = {}
        self._peer_target_by_replica: dict[_ids.ReplicaId, _PeerTarget] = {}
        self.target_by_replica: dict[_ids.ReplicaId, Target] = {}
        self._replicas_by_group: dict[_ids.GroupName, list[_ids.ReplicaId]]
        self._replicas_by_group = {}
        # Groups of which over half of the replicas flap.
        self._flapping_groups: set[_ids.GroupName] = set()

    def on_change(self, callback: Callable[[], None]) -> None:
        """Register a callback for changes of targets or their states."""
        self._callbacks.append(callback)

    def on_report(self, callback: ReportCallback) -> None:
        """Register a callback for reports that change a target's state."""
        self._report_callbacks.append(callback)

    def set_list(self, targets: Iterable[Target]) -> None:
        """Replace the platform's list of targets.

        Parameters
        ----------
        targets : iterable of Target
            The complete list.
        """
        self._listed_by_replica = {
            target.replica: target for target in targets
        }
        self.cold.update_reported(self._listed_by_replica.values())
        self._merge()

    def _merge(self) -> None:
        """Merge the list with entries that peers read from a newer one."""
        now = self._clock.monotonic()
        merged = dict(self._listed_by_replica)
        for replica, peer_target in list(self._peer_target_by_replica.items()):
            listed = merged.get(replica)
            if now > peer_target.until:
                del self._peer_target_by_replica[replica]
            elif (
                listed is None
                or listed.incarnation < peer_target.target.incarnation
            ):
                merged[replica] = peer_target.target
        if merged == self.target_by_replica:
            return
        for replica in self.target_by_replica:
            self._health(replica)
        for target in _listed_targets.restarted(
            self.target_by_replica, merged.values()
        ):
            self._reset_health(target.replica)
        self.target_by_replica = merged
        self._update_presence(merged, now)
        groups: dict[_ids.GroupName, list[_ids.ReplicaId]] = {}
        for replica in sorted(merged):
            groups.setdefault(merged[replica].group, []).append(replica)
        self._replicas_by_group = groups
        self._notify()

    def _reset_health(self, replica: _ids.ReplicaId) -> None:
        """Reset the state of a replica whose process has been replaced.

        Its returns to service still count, as they belong to the replica's
        id: one that restarts repeatedly must not move chats back and forth.
        """
        health = self._health(replica)
        health.state = messages.FactState.live
        health.avoid_until = 0.0
        health.held_out_until = 0.0

    def _update_presence(
        self, merged: Mapping[_ids.ReplicaId, Target], now: float
    ) -> None:
        """Record which targets left the list, and count those that came back.

        The health of a removed target is kept for the flap window. Without
        it, a target that repeatedly leaves the list and comes back would
        count as new each time.
        """
        for replica, health in list(self._health_by_replica.items()):
            if replica in merged:
                if health.unlisted_at is not None:
                    health.unlisted_at = None
                    self._record_return(health)
            elif health.unlisted_at is None:
                health.unlisted_at = now
            elif now - health.unlisted_at > self._flap_window:
                del self._health_by_replica[replica]

    def set_drains(self, drains: Drains) -> None:
        """Replace the operators' drains.

        Replicas of a zone that is no longer drained are presumed cold, as
        they may have been restarted meanwhile and their entries are late.
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
        """Return the listed targets that operators took out of service."""
        return [
            target
            for target in self.target_by_replica.values()
            if self._is_drained(target)
        ]

    def cold_replicas(self) -> list[Target]:
        """Return the listed targets that are cold, or presumed to be."""
        targets = self.target_by_replica.values()
        return [target for target in targets if self.cold.is_cold(target)]

    def unreachable(self) -> list[Target]:
        """Return the listed targets in unreachable zones."""
        targets = self.target_by_replica.values()
        return [
            target
            for target in targets
            if not self.reachability.is_reachable(target.zone)
        ]

    def reported_leaving(self) -> list[Target]:
        """Return the listed targets that reported that they are leaving."""
        targets = self.target_by_replica.values()
        return [
            target for target in targets if self.reported.is_leaving(target)
        ]

    def in_backoff(self) -> list[Target]:
        """Return the listed targets in backoff for this daemon."""
        targets = self.target_by_replica.values()
        return [
            target
            for target in targets
            if self.reported.remaining_backoff(target) > 0
        ]

    def handle_report(
        self, target: Target, report: _target_report.TargetReport
    ) -> None:
        """Apply the report in a target's answer."""
        self.brittle.record(target, report.tolerated_rejections)
        if not self.reported.record(target, report):
            return
        self._candidates_by_group.pop(target.group, None)
        if report.leaving:
            self._notify()
        for callback in self._report_callbacks:
            callback(target, report)

    def apply_peer_backoff(
        self, replica: _ids.ReplicaId, seconds: float
    ) -> None:
        """Apply a backoff that holds for all daemons, as a peer reported.

        It is not passed on: the receivers would count this daemon as one
        more that the target rejected, and the backoff would never end.
        """
        target = self.target_by_replica.get(replica)
        if target is None:
            return
        self.reported.record_peer_backoff(target, seconds)
        self._candidates_by_group.pop(target.group, None)

    def is_leaving(self, target: Target) -> bool:
        """Return whether a target is leaving, by the list or its report."""
        return target.leaving or self.reported.is_leaving(target)

    def _is_drained(self, target: Target) -> bool:
        if target.replica in self.drains.replicas:
            return True
        return target.zone in self.drains.zones

    def apply_fact(self, fact: messages.Fact) -> None:
        """Apply a fact about a target, from a peer or this daemon."""
        if fact.group and fact.port:
            self._peer_target_by_replica[_ids.ReplicaId(fact.subject)] = (
                _PeerTarget(
                    target=_listed_targets.target_from_fact(fact),
                    until=self._clock.monotonic() + _PEER_TARGET_SECONDS,
                )
            )
            self._merge()
        health = self._health(_ids.ReplicaId(fact.subject))
        returned = health.state in _UNUSABLE and fact.state not in _UNUSABLE
        health.incarnation = fact.incarnation
        health.state = fact.state
        if returned:
            self._record_return(health)
        self._notify()

    def _record_return(self, health: _Health) -> None:
        """Record that a target is usable again, and hold it out if it flaps.

        A flapping target moves its chats back and forth, and each move costs
        them their cached context. Each further return within the flap window
        doubles the time for which the target receives no new requests.
        """
        now = self._clock.monotonic()
        since = now - self._flap_window
        health.returns = [at for at in health.returns if at > since]
        health.returns.append(now)
        if len(health.returns) < 2:
            return
        held_out_seconds = _HELD_OUT_BASE_SECONDS * 2 ** (
            len(health.returns) - 1
        )
        health.held_out_until = now + min(
            held_out_seconds, _MAX_HELD_OUT_SECONDS
        )

    def avoid(self, replica: _ids.ReplicaId) -> None:
        """Exclude a target for `_AVOID_SECONDS`, on this daemon only."""
        until = self._clock.monotonic() + _AVOID_SECONDS
        self._health(replica).avoid_until = until
        self._candidates_by_group.clear()

    def listed_replicas(self, group: _ids.GroupName) -> list[_ids.ReplicaId]:
        """Return all listed replicas of a group."""
        return self._replicas_by_group.get(group, [])

    def groups(self) -> list[_ids.GroupName]:
        """Return the groups that have listed replicas."""
        return list(self._replicas_by_group)

    def usable(self, group: _ids.GroupName) -> list[_ids.ReplicaId]:
        """Return a group's replicas that this daemon may send requests to."""
        return self._candidates(group).usable

    def in_service(self, group: _ids.GroupName) -> list[_ids.ReplicaId]:
        """Return a group's replicas that are in service.

        Those in backoff for this daemon are included: other daemons may still
        send them requests.
        """
        return self._candidates(group).in_service

    def _candidates(self, group: _ids.GroupName) -> _Candidates:
        """Return a group's candidates, cached until one of them may change.

        Without the cache, each request would check every replica of its
        group, which may have 156.
        """
        now = self._clock.monotonic()
        cached = self._candidates_by_group.get(group)
        if cached is None or now >= cached.until:
            cached = self._find_candidates(group, now)
            self._candidates_by_group[group] = cached
        return cached

    def _find_candidates(
        self, group: _ids.GroupName, now: float
    ) -> _Candidates:
        candidates = _Candidates(in_service=[], usable=[], until=math.inf)
        is_common = self._is_flapping_common(group, now)
        for replica in self.listed_replicas(group):
            backoff = self.reported.remaining_backoff(
                self.target_by_replica[replica]
            )
            if self._is_in_service(replica, now, ignores_hold_out=is_common):
                candidates.in_service.append(replica)
                if backoff <= 0:
                    candidates.usable.append(replica)
            health = self._health_by_replica.get(replica, _Health())
            ends = (health.held_out_until, health.avoid_until, now + backoff)
            candidates.until = min(
                [candidates.until, *(end for end in ends if end > now)]
            )
        return candidates

    def _is_flapping_common(self, group: _ids.GroupName, now: float) -> bool:
        """Return whether over half of a group's replicas are held out.

        What makes them leave and return together, such as a network or the
        list itself, is no fault of any of them. Without them, the rest would
        get all requests, or there would be no replica at all.
        """
        replicas = self.listed_replicas(group)
        held_out = sum(
            now < health.held_out_until
            for health in map(self._health_by_replica.get, replicas)
            if health is not None
        )
        is_common = held_out * 2 > len(replicas)
        if is_common and group not in self._flapping_groups:
            _log.warning(
                "{held_out} of {replicas} replicas of {group} flap; none of "
                "them is held out",
                held_out=held_out,
                replicas=len(replicas),
                group=group,
            )
        if is_common:
            self._flapping_groups.add(group)
        else:
            self._flapping_groups.discard(group)
        return is_common

    def is_usable(self, replica: _ids.ReplicaId) -> bool:
        """Return whether this daemon may send requests to a replica."""
        if not self.is_in_service(replica):
            return False
        return (
            self.reported.remaining_backoff(self.target_by_replica[replica])
            <= 0
        )

    def is_in_service(self, replica: _ids.ReplicaId) -> bool:
        """Return whether a replica is in service, also when in backoff."""
        now = self._clock.monotonic()
        if self._is_in_service(replica, now):
            return True
        target = self.target_by_replica.get(replica)
        health = self._health_by_replica.get(replica)
        if target is None or health is None or now >= health.held_out_until:
            return False
        return self._is_in_service(
            replica,
            now,
            ignores_hold_out=self._is_flapping_common(target.group, now),
        )

    def seconds_until_usable(
        self,
        group: _ids.GroupName,
        excluded: frozenset[_ids.ReplicaId] = frozenset(),
    ) -> float | None:
        """Return the time until a replica of a group is usable.

        Returns
        -------
        float or None
            0 if one is usable now; None if none is in service.
        """
        waits = [
            self.reported.remaining_backoff(self.target_by_replica[replica])
            for replica in self.in_service(group)
            if replica not in excluded
        ]
        return min(waits, default=None)

    def _is_in_service(
        self,
        replica: _ids.ReplicaId,
        now: float,
        *,
        ignores_hold_out: bool = False,
    ) -> bool:
        target = self.target_by_replica.get(replica)
        if target is None or self.is_leaving(target):
            return False
        if self._is_drained(target):
            return False
        return self._is_answering(
            target, now, ignores_hold_out=ignores_hold_out
        )

    def is_answering(self, replica: _ids.ReplicaId) -> bool:
        """Return whether a replica answers requests, new ones or not.

        One that is leaving or drained still does. It has contexts in its
        cache that other replicas can fetch instead of recomputing them.
        """
        target = self.target_by_replica.get(replica)
        if target is None:
            return False
        return target.leaving or self._is_answering(
            target, self._clock.monotonic()
        )

    def _is_answering(
        self, target: Target, now: float, *, ignores_hold_out: bool = False
    ) -> bool:
        health = self._health_by_replica.get(target.replica)
        if health is None:
            return True
        if now < health.held_out_until and not ignores_hold_out:
            return False
        if now < health.avoid_until:
            return False
        if health.state not in _UNUSABLE:
            return True
        return target.incarnation > health.incarnation

    def state_of(self, replica: _ids.ReplicaId) -> messages.FactState:
        """Return the last known state of a replica."""
        health = self._health_by_replica.get(replica)
        return messages.FactState.live if health is None else health.state

    def _health(self, replica: _ids.ReplicaId) -> _Health:
        return self._health_by_replica.setdefault(replica, _Health())

    def _notify(self) -> None:
        self._candidates_by_group.clear()
        for callback in self._callbacks:
            callback()
