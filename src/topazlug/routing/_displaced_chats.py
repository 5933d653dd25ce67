"""Chats that were sent elsewhere than their home.

The home's owner remembers only these, least recently used first out, so a
returning chat is sent to where its context is and not to its hash. Chats at
home need no memory at all.
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
    """Where displaced chats went.

    Parameters
    ----------
    capacity : int
        Chats remembered, over all replicas owned.
    """

    def __init__(self, *, capacity: int) -> None:
        self._capacity = capacity
        self._displacement_by_chat: collections.OrderedDict[
            _ids.ChatHash, _Displacement
        ]
        self._displacement_by_chat = collections.OrderedDict()
        self._incarnation_by_replica: dict[_ids.ReplicaId, int] = {}

    def __len__(self) -> int:
        return len(self._displacement_by_chat)

    def find(
        self, chat: _ids.ChatHash, *, home: _ids.ReplicaId
    ) -> _ids.ReplicaId | None:
        """Give the replica that a chat was sent to from its home.

        While its home is dead the next of its rank stands for it. If that
        has the same owner, the seat of the one before must not count: the
        chat would be sent away from a replica that is well.
        """
        displacement = self._displacement_by_chat.get(chat)
        if displacement is None or displacement.home != home:
            return None
        self._displacement_by_chat.move_to_end(chat)
        return displacement.replica

    def record(self, entry: messages.Displaced) -> None:
        """Remember, or forget when the entry names no replica."""
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
        """Forget the seats on replicas that started again."""
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
        """Remove the chats of homes that now have another owner.

        Returns
        -------
        dict
            Entries by home, to be handed over.
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
