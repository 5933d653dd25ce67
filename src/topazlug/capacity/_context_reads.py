"""Prevents several requests from reading a context at the same time.

Load pattern: a replica is lost, or a chat's home is over its bound, and all
requests of that chat go to a replica that does not hold its context. An
engine reads the shared parts of a prompt for each request that arrives before
the first one has read them. Under load this work alone exceeds the capacity
of the engines, and all first tokens are late.
"""

import collections
import enum
from typing import final

import msgspec

from topazlug import _ids
from topazlug.capacity import _slot_key

# With fewer shared tokens the owner's reply takes longer than the engine needs
# to read them (measured: 38 to 140 tokens a millisecond).
MIN_SHARED_TOKENS = 1000
# An engine may have evicted a context that was not used for this long.
_KNOWN_SECONDS = 30.0
# After this time the report of a read counts as lost, and the next request
# reads the context itself.
_MAX_READ_SECONDS = 2.0
# Each check costs a message each way; reading 8,600 tokens takes 0.06 to
# 0.22 s on an idle engine.
_MIN_WAIT_SECONDS = 0.02
_MAX_WAIT_SECONDS = 0.1
# Contexts kept for one replica; the least recently used is evicted. An engine
# can hold some hundred.
_MAX_CHATS = 4096


class ReadState(enum.Enum):
    """State of a context on a replica.

    KNOWN: the replica holds it. FIRST: no request is reading it, so the next
    one does. WAIT: a request is reading it, so others wait.
    """

    KNOWN = "known"
    FIRST = "first"
    WAIT = "wait"


class _ActiveRead(msgspec.Struct, frozen=True):
    key: _slot_key.SlotKey
    since: float


@final
class ContextReads:
    """Contexts that a replica holds, and those that are being read there."""

    def __init__(self) -> None:
        self._known_at_by_chat: collections.OrderedDict[_ids.ChatHash, float]
        self._known_at_by_chat = collections.OrderedDict()
        self._active_read_by_chat: dict[_ids.ChatHash, _ActiveRead] = {}
        self._chat_by_key: dict[_slot_key.SlotKey, _ids.ChatHash] = {}

    def state(self, chat: _ids.ChatHash, *, now: float) -> ReadState:
        """Return the state of a chat's context."""
        known_at = self._known_at_by_chat.get(chat)
        if known_at is not None and now - known_at <= _KNOWN_SECONDS:
            return ReadState.KNOWN
        active = self._active_read_by_chat.get(chat)
        if active is None or now - active.since > _MAX_READ_SECONDS:
            return ReadState.FIRST
        return ReadState.WAIT

    def wait(self, chat: _ids.ChatHash, *, now: float) -> float:
        """Return the seconds until the next check whether a read has ended.

        The longer the read has taken, the longer it may still take.
        """
        since = self._active_read_by_chat[chat].since
        wait = max(_MIN_WAIT_SECONDS, (now - since) / 2)
        return min(_MAX_WAIT_SECONDS, wait)

    def begin(
        self, chat: _ids.ChatHash, key: _slot_key.SlotKey, *, now: float
    ) -> None:
        """Record that a request starts to read a chat's context."""
        before = self._active_read_by_chat.get(chat)
        if before is not None:
            self._chat_by_key.pop(before.key, None)
        self._active_read_by_chat[chat] = _ActiveRead(key, now)
        self._chat_by_key[key] = chat

    def record_use(self, chat: _ids.ChatHash, *, now: float) -> None:
        """Record another use of a context that the replica holds."""
        if chat in self._known_at_by_chat:
            self._known_at_by_chat[chat] = now
            self._known_at_by_chat.move_to_end(chat)

    def record_read(self, chat: _ids.ChatHash, *, now: float) -> None:
        """Record that a context has been read."""
        active = self._active_read_by_chat.pop(chat, None)
        if active is not None:
            self._chat_by_key.pop(active.key, None)
        self._known_at_by_chat[chat] = now
        self._known_at_by_chat.move_to_end(chat)
        if len(self._known_at_by_chat) > _MAX_CHATS:
            self._known_at_by_chat.popitem(last=False)

    def record_end(self, key: _slot_key.SlotKey) -> None:
        """Record the end of a request, and discard its unfinished read."""
        chat = self._chat_by_key.pop(key, None)
        if chat is not None:
            del self._active_read_by_chat[chat]
