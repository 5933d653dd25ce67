"""Chats whose context is on another replica than their home.

A chat's home is the first replica in its ranking. The home's owner stores an
entry for each chat that was placed elsewhere, so that the next turn goes to
the replica that holds the context. The entries are bounded; the least recently
used is evicted. Chats at their home need no entry.
"""

import collections
from collections.abc import Mapping
from typing import final

import msgspec

from topazlug import _ids
from topazlug._generated import messages
from topazlug.targets import _targets


class _Displacement(msgspec.Struct, gc=False):
    group: _ids.GroupName
    home: _ids.ReplicaId
    replica: _ids.ReplicaId


@final
class DisplacedChats:
    """Replicas of displaced chats, by chat.

    Parameters
    ----------
    capacity : int
        Maximum number of chats, over all replicas owned.
    """

    def __init__(self, *, capacity: int) -> None:
        self._capacity = capacity
        self._displacement_by_chat: collections.OrderedDict[
            _ids.ChatHash, _Displacement
        ]
        self._displacement_by_chat = collections.OrderedDict()
        self._incarnation_by_replica: dict[_ids.ReplicaId, int] = {}

    def __contains__(self, chat: _ids.ChatHash) -> bool:
        return chat in self._displacement_by_chat

    def __len__(self) -> int:
        return len(self._displacement_by_chat)

    def find(
        self, chat: _ids.ChatHash, *, home: _ids.ReplicaId
    ) -> _ids.ReplicaId | None:
        """Return the replica that a chat was displaced to from its home.

        An entry counts only for the home it was recorded for. While that
        home is dead, the next replica in the chat's ranking is its home. If
        both have the same owner, using the old entry would move the chat
        away from a healthy replica.
        """
        displacement = self._displacement_by_chat.get(chat)
        if displacement is None or displacement.home != home:
            return None
        self._displacement_by_chat.move_to_end(chat)
        return displacement.replica

    def record(self, entry: messages.Displaced) -> None:
        """Store an entry, or remove it if it names no replica."""
        chat = _ids.ChatHash(entry.chat)
        if not entry.replica:
            self._displacement_by_chat.pop(chat, None)
            return
        self._displacement_by_chat[chat] = _Displacement(
            group=_ids.GroupName(entry.group),
            home=_ids.ReplicaId(entry.home),
            replica=_ids.ReplicaId(entry.replica),
        )
        self._displacement_by_chat.move_to_end(chat)
        while len(self._displacement_by_chat) > self._capacity:
            self._displacement_by_chat.popitem(last=False)

    def remove_restarted(
        self, target_by_replica: Mapping[_ids.ReplicaId, _targets.Target]
    ) -> None:
        """Remove the chats displaced to replicas that have restarted.

        A restarted replica no longer holds their context.
        """
        previous = self._incarnation_by_replica
        self._incarnation_by_replica = {
            replica: target.incarnation
            for replica, target in target_by_replica.items()
        }
        restarted = {
            replica
            for replica, incarnation in self._incarnation_by_replica.items()
            if previous.get(replica, incarnation) != incarnation
        }
        for chat, displacement in list(self._displacement_by_chat.items()):
            if displacement.replica in restarted:
                del self._displacement_by_chat[chat]

    def remove_by_home(
        self, homes: set[_ids.ReplicaId]
    ) -> dict[_ids.ReplicaId, list[messages.Displaced]]:
        """Remove and return the chats of homes that have a new owner.

        Returns
        -------
        dict
            Entries by home, to be sent to the new owner.
        """
        entries: dict[_ids.ReplicaId, list[messages.Displaced]] = {}
        for chat, displacement in list(self._displacement_by_chat.items()):
            if displacement.home not in homes:
                continue
            del self._displacement_by_chat[chat]
            entries.setdefault(displacement.home, []).append(
                messages.Displaced(
                    group=displacement.group,
                    home=displacement.home,
                    chat=chat,
                    replica=displacement.replica,
                )
            )
        return entries
