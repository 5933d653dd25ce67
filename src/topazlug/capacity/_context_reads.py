"""Lets one request read a context that several need at the same time.

Load pattern: a replica is lost, or a chat's home is over its bound, and all
requests of that chat turn to a replica that does not hold its context. An
engine reads the shared parts of a prompt for each request that is there
before the first one has read them; under load, that work alone is more than
the engines can do, and all first tokens are late.
"""

import collections
import enum
from typing import final

import msgspec

from topazlug import _ids
from topazlug.capacity import _slot_key

# Below this many shared tokens the word of an owner takes longer than the
# engine's reading (38 to 140 tokens a millisecond were seen).
MIN_SHARED_TOKENS = 1000
# An engine that was not asked for a context for so long may have dropped it.
_KNOWN_SECONDS = 30.0
# A read that took longer has lost its word; the next request reads itself.
_LONGEST_READ_SECONDS = 2.0
# Asking again costs a message each way; reading 8,600 tokens takes 0.06 to
# 0.22 s on an idle engine.
_SHORTEST_WAIT_SECONDS = 0.02
_LONGEST_WAIT_SECONDS = 0.1
# Contexts of one replica that are remembered, by least recent use. An engine
# has room for some hundred.
_MAX_CHATS = 4096


class ReadState(enum.Enum):
    """What a request finds on a replica."""

    KNOWN = "known"
    FIRST = "first"
    WAIT = "wait"


class _Reading(msgspec.Struct, frozen=True):
    key: _slot_key.SlotKey
    since: float


@final
class ContextReads:
    """Which contexts a replica holds, and which are being read there."""

    def __init__(self) -> None:
        self._known_at_by_chat: collections.OrderedDict[_ids.ChatHash, float]
        self._known_at_by_chat = collections.OrderedDict()
        self._reading_by_chat: dict[_ids.ChatHash, _Reading] = {}
        self._chat_by_key: dict[_slot_key.SlotKey, _ids.ChatHash] = {}

    def state(self, chat: _ids.ChatHash, *, now: float) -> ReadState:
        """Say what a request of a chat finds now."""
        known_at = self._known_at_by_chat.get(chat)
        if known_at is not None and now - known_at <= _KNOWN_SECONDS:
            return ReadState.KNOWN
        reading = self._reading_by_chat.get(chat)
        if reading is None or now - reading.since > _LONGEST_READ_SECONDS:
            return ReadState.FIRST
        return ReadState.WAIT

    def wait(self, chat: _ids.ChatHash, *, now: float) -> float:
        """Give the seconds after which a read may have ended.

        The longer it has taken, the longer it may still take.
        """
        since = self._reading_by_chat[chat].since
        wait = max(_SHORTEST_WAIT_SECONDS, (now - since) / 2)
        return min(_LONGEST_WAIT_SECONDS, wait)

    def begin(
        self, chat: _ids.ChatHash, key: _slot_key.SlotKey, *, now: float
    ) -> None:
        """Note that a request reads a chat's context from now on."""
        before = self._reading_by_chat.get(chat)
        if before is not None:
            self._chat_by_key.pop(before.key, None)
        self._reading_by_chat[chat] = _Reading(key, now)
        self._chat_by_key[key] = chat

    def note_use(self, chat: _ids.ChatHash, *, now: float) -> None:
        """Note that a context that is held is used once more."""
        if chat in self._known_at_by_chat:
            self._known_at_by_chat[chat] = now
            self._known_at_by_chat.move_to_end(chat)

    def note_read(self, chat: _ids.ChatHash, *, now: float) -> None:
        """Note that a context has been read."""
        reading = self._reading_by_chat.pop(chat, None)
        if reading is not None:
            self._chat_by_key.pop(reading.key, None)
        self._known_at_by_chat[chat] = now
        self._known_at_by_chat.move_to_end(chat)
        if len(self._known_at_by_chat) > _MAX_CHATS:
            self._known_at_by_chat.popitem(last=False)

    def note_ended(self, key: _slot_key.SlotKey) -> None:
        """Note that a request is gone; what it had not read, nobody has."""
        chat = self._chat_by_key.pop(key, None)
        if chat is not None:
            del self._reading_by_chat[chat]
