"""Where the context of a prompt may still lie.

A prompt's shared parts are kept by the replica that read them last. When
its place changes (a replica joins, drains, falls ill or is over its bound),
the new replica can copy the parts from there, for a tenth of the price of
reading them again. Each daemon sees a part of the requests only, so besides
its own memory it goes by the ranking: before a replica joined, the chat's
home was the best of the others.
"""

import collections
from collections.abc import Iterable
import math
from typing import final

import msgspec

from topazlug import _clock
from topazlug import _ids
from topazlug.routing import _ranking
from topazlug.targets import _targets

_MAX_CHATS = 20000
# After this many seconds nearly all chats that are in use have been to their
# new home once, so that it has the context itself.
_MOVE_SECONDS = 12.0
# Longest age in seconds of a memory that is still worth a look-up.
_MEMORY_SECONDS = 30.0


@final
class _Last(msgspec.Struct, frozen=True):
    replica: _ids.ReplicaId
    start: int
    at: float


@final
class _Joined(msgspec.Struct, frozen=True):
    start: int
    at: float


@final
class ContextMemory:
    """Finds the replica that probably holds a prompt's context.

    Parameters
    ----------
    targets : TargetDirectory
        Known replicas, the leaving ones too.
    clock : Clock
        Time.
    """

    def __init__(
        self, *, targets: _targets.TargetDirectory, clock: _clock.Clock
    ) -> None:
        self._targets = targets
        self._clock = clock
        self._last_by_chat: collections.OrderedDict[_ids.ChatHash, _Last]
        self._last_by_chat = collections.OrderedDict()
        self._joined_by_replica: dict[_ids.ReplicaId, _Joined] = {}
        self._started_at = clock.monotonic()

    def take_list(self, targets: Iterable[_targets.Target]) -> None:
        """Take the known replicas; new ones count as joined now.

        One that started again under its id is new: it holds nothing of
        before. The first ones are as old as can be: they were there before
        this daemon was.
        """
        now = self._clock.monotonic()
        before = self._joined_by_replica
        joined_at = now if before else -math.inf
        self._joined_by_replica = {}
        for target in targets:
            joined = before.get(target.replica)
            if joined is None or joined.start != target.incarnation:
                joined = _Joined(target.incarnation, joined_at)
            self._joined_by_replica[target.replica] = joined

    def note_read(self, chat: _ids.ChatHash, target: _targets.Target) -> None:
        """Note that a replica has read a chat's prompt."""
        last = _Last(
            target.replica, target.incarnation, self._clock.monotonic()
        )
        self._last_by_chat[chat] = last
        self._last_by_chat.move_to_end(chat)
        if len(self._last_by_chat) > _MAX_CHATS:
            self._last_by_chat.popitem(last=False)

    def source(
        self, chat: _ids.ChatHash, chosen: _targets.Target
    ) -> _targets.Target | None:
        """Give where a chosen replica may copy a chat's context from.

        Returns
        -------
        Target or None
            None when the chosen one probably has it itself.
        """
        remembered = self._remembered(chat)
        if remembered == chosen.replica:
            return None
        if remembered is not None and self._can_copy(remembered, chosen):
            return self._targets.target_by_replica[remembered]
        return self._by_rank(chat, chosen)

    def _remembered(self, chat: _ids.ChatHash) -> _ids.ReplicaId | None:
        last = self._last_by_chat.get(chat)
        if last is None:
            return None
        if self._clock.monotonic() - last.at > _MEMORY_SECONDS:
            return None
        joined = self._joined_by_replica.get(last.replica)
        if joined is not None and joined.start != last.start:
            return None
        return last.replica

    def _can_copy(
        self, replica: _ids.ReplicaId, chosen: _targets.Target
    ) -> bool:
        target = self._targets.target_by_replica.get(replica)
        if target is None or target.group != chosen.group:
            return False
        # A replica that is down answers no copy either, nor does one in a
        # zone without a way to it: the request would wait for it before it
        # is read.
        if not self._targets.reachability.is_reachable(target.zone):
            return False
        return self._targets.is_answering(replica)

    def _by_rank(
        self, chat: _ids.ChatHash, chosen: _targets.Target
    ) -> _targets.Target | None:
        """Give the home that a chat had before, if it has changed."""
        known = self._targets.known(chosen.group)
        before = [one for one in known if self._is_settled(one)]
        home = _ranking.first(before, chat)
        if home is None or home == chosen.replica:
            return None
        replica = _ids.ReplicaId(home)
        if not self._can_copy(replica, chosen):
            return None
        return self._targets.target_by_replica[replica]

    def _is_settled(self, replica: _ids.ReplicaId) -> bool:
        joined = self._joined_by_replica.get(replica)
        if joined is None:
            return True
        return self._clock.monotonic() - joined.at > _MOVE_SECONDS
