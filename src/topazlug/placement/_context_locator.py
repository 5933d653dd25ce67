"""Locates the replica that still holds the context of a prompt.

The replica that read a prompt's shared parts last keeps them. When the chat
moves (a replica joins, drains, fails or is over its bound), the new replica
can copy the parts from there, for a tenth of the cost of reading them again.
Each daemon gets only a part of the requests, so it may have no record of the
last read. The source is then the chat's previous home: the first replica in
the ranking of those that have not joined recently.
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
# This long after a replica has joined, nearly all of its active chats have
# sent it a request, so that it holds their contexts itself.
_SETTLE_SECONDS = 12.0
# Maximum age of a recorded read that is still used as a source.
_MAX_READ_AGE_SECONDS = 30.0


@final
class _LastRead(msgspec.Struct, frozen=True):
    replica: _ids.ReplicaId
    incarnation: int
    at: float


@final
class _Joined(msgspec.Struct, frozen=True):
    incarnation: int
    at: float


@final
class ContextLocator:
    """Locates the replica that probably holds a prompt's context.

    Parameters
    ----------
    targets : TargetDirectory
        Known replicas, including those that are leaving.
    clock : Clock
        Time.
    """

    def __init__(
        self, *, targets: _targets.TargetDirectory, clock: _clock.Clock
    ) -> None:
        self._targets = targets
        self._clock = clock
        self._last_read_by_chat: collections.OrderedDict[
            _ids.ChatHash, _LastRead
        ]
        self._last_read_by_chat = collections.OrderedDict()
        self._joined_by_replica: dict[_ids.ReplicaId, _Joined] = {}
        self._started_at = clock.monotonic()

    def update_targets(self, targets: Iterable[_targets.Target]) -> None:
        """Update the known replicas; new ones count as joined now.

        A replica that restarted under the same id counts as new, as it lost
        its contexts. Replicas of the first list count as joined long ago:
        they were running before this daemon.
        """
        now = self._clock.monotonic()
        before = self._joined_by_replica
        joined_at = now if before else -math.inf
        self._joined_by_replica = {}
        for target in targets:
            joined = before.get(target.replica)
            if joined is None or joined.incarnation != target.incarnation:
                joined = _Joined(target.incarnation, joined_at)
            self._joined_by_replica[target.replica] = joined

    def record_read(
        self, chat: _ids.ChatHash, target: _targets.Target
    ) -> None:
        """Record that a replica has read a chat's prompt."""
        last = _LastRead(
            target.replica, target.incarnation, self._clock.monotonic()
        )
        self._last_read_by_chat[chat] = last
        self._last_read_by_chat.move_to_end(chat)
        if len(self._last_read_by_chat) > _MAX_CHATS:
            self._last_read_by_chat.popitem(last=False)

    def source(
        self, chat: _ids.ChatHash, chosen: _targets.Target
    ) -> _targets.Target | None:
        """Return the replica that a chat's context can be copied from.

        Returns
        -------
        Target or None
            None if the chosen replica probably holds the context itself, or
            no replica to copy it from is known.
        """
        last_reader = self._last_reader(chat)
        if last_reader == chosen.replica:
            return None
        if last_reader is not None and self._can_copy(
            last_reader, chosen.group
        ):
            return self._targets.target_by_replica[last_reader]
        return self._previous_home(chat, chosen)

    def is_held(self, chat: _ids.ChatHash, group: _ids.GroupName) -> bool:
        """Return whether a replica that can be copied from has a context.

        Only reads that this daemon has seen count: a previous home may hold
        nothing of a chat that is new.
        """
        last_reader = self._last_reader(chat)
        return last_reader is not None and self._can_copy(last_reader, group)

    def _last_reader(self, chat: _ids.ChatHash) -> _ids.ReplicaId | None:
        last = self._last_read_by_chat.get(chat)
        if last is None:
            return None
        if self._clock.monotonic() - last.at > _MAX_READ_AGE_SECONDS:
            return None
        joined = self._joined_by_replica.get(last.replica)
        if joined is not None and joined.incarnation != last.incarnation:
            return None
        return last.replica

    def _can_copy(
        self, replica: _ids.ReplicaId, group: _ids.GroupName
    ) -> bool:
        target = self._targets.target_by_replica.get(replica)
        if target is None or target.group != group:
            return False
        # A replica that is down or in an unreachable zone can't serve a copy.
        # The request would wait for the copy before its prompt is read.
        if not self._targets.reachability.is_reachable(target.zone):
            return False
        return self._targets.is_answering(replica)

    def _previous_home(
        self, chat: _ids.ChatHash, chosen: _targets.Target
    ) -> _targets.Target | None:
        """Return the chat's home before replicas joined, if it changed."""
        known = self._targets.listed_replicas(chosen.group)
        before = [replica for replica in known if self._is_settled(replica)]
        home = _ranking.first(before, chat)
        if home is None or home == chosen.replica:
            return None
        replica = _ids.ReplicaId(home)
        if not self._can_copy(replica, chosen.group):
            return None
        return self._targets.target_by_replica[replica]

    def _is_settled(self, replica: _ids.ReplicaId) -> bool:
        joined = self._joined_by_replica.get(replica)
        if joined is None:
            return True
        return self._clock.monotonic() - joined.at > _SETTLE_SECONDS
