"""How long a replica needs to read a prompt, and which streams that delays.

Load pattern: a replica reads one prompt after the other and stalls its running
streams meanwhile. Long prompts, several in succession and slow moments of the
replica make running streams and the answer itself late, while other replicas
could read the prompt without delaying anyone.
"""

import collections
import math
from typing import final

import msgspec

from topazlug import _ids
from topazlug.capacity import _slot_key

# Tokens a second at a slowness of 1.0, until it is known (measured: 55,000
# and 140,000). Too low an assumption only sends some reads elsewhere.
DEFAULT_RATE = 40_000.0
# Greatest change of the rate by one reading. Some readings are wrong by far,
# as the replica held a part of the prompt or was slow for a moment; with equal
# steps up and down the rate approaches their median.
_MAX_RATE_FACTOR = 1.05
# The longest prompt takes 4 s on a slow replica in a slow moment. Without a
# limit, an implausible length would close a replica to reads for long.
_MAX_READ_SECONDS = 5.0
# The time to the head of a shorter read is mostly spent on the network.
_MIN_LEARNT_TOKENS = 2000
# Greatest change of that time by one short read. A body of 50 KB takes 40 to
# 80 ms on a link of 5 to 10 Mbit/s.
_MAX_OVERHEAD_STEP_SECONDS = 0.002
# An event holds several tokens, a slow moment may begin during the read, and
# the pause that the caller sees includes the time on the network.
_HARMLESS_FRACTION = 0.5
# A chat's first read is placed by one entry daemon within this time: it asks
# up to three more owners, each of which replies within 8 to 15 ms, rarely 30.
_SEARCH_SECONDS = 0.15
# Repeating the request sooner would mostly find the search unfinished.
SEARCH_RETRY_SECONDS = 0.03


@final
class ReadImpact(msgspec.Struct, frozen=True, kw_only=True):
    """What a read that started now would delay.

    Attributes
    ----------
    wait : float
        Seconds until the reads before it have ended.
    duration : float
        Seconds that it takes itself.
    streams : int
        Requests on the replica that it would delay.
    stall : float
        Sum of the delays in seconds to its request and to the streams.
    is_harmless : bool
        Whether the streams and its own first event remain on time.
    """

    wait: float
    duration: float
    streams: int
    stall: float
    is_harmless: bool


@final
class _PendingRead(msgspec.Struct, frozen=True, kw_only=True):
    """A granted read whose answer has not begun."""

    tokens: float
    slowness: float
    duration: float
    ends_at: float
    is_alone: bool


@final
class PromptReads:
    """Prompts that one replica is reading, and how fast it reads them.

    The queue of reads is kept as the time at which it will be empty. It passes
    by itself, so a lost message cannot leave the estimate wrong for long.

    Parameters
    ----------
    rate : float
        Tokens a second at a slowness of 1.0 to assume at first.

    Attributes
    ----------
    rate : float
        Tokens a second at a slowness of 1.0.
    is_rate_learnt : bool
        Whether the rate was learnt from reads on this replica.
    """

    def __init__(self, *, rate: float = DEFAULT_RATE) -> None:
        self.rate = rate
        self.is_rate_learnt = False
        self._busy_until = 0.0
        # Seconds to the head of an answer that are not spent reading.
        self._overhead = 0.0
        # In the order in which they were granted.
        self._pending_by_key: dict[_slot_key.SlotKey, _PendingRead] = {}
        self._search_until_by_chat: collections.OrderedDict[
            _ids.ChatHash, float
        ] = collections.OrderedDict()

    def impact(
        self,
        tokens: float,
        *,
        slowness: float,
        streams: int,
        max_pause: float,
        objective: float,
        now: float,
    ) -> ReadImpact:
        """Return what a read that started now would delay.

        Parameters
        ----------
        tokens : float
            Tokens to read.
        slowness : float
            Slowness of the replica at this moment.
        streams : int
            Requests that have a slot on the replica.
        max_pause : float
            Shortest of the pauses that they may have, 0 if unknown.
        objective : float
            Seconds within which the request's own answer must begin, 0 if
            unknown.
        now : float
            Monotonic seconds.
        """
        wait = max(0.0, self._busy_until - now)
        duration = self._duration(tokens, slowness)
        end = wait + duration
        pause_limit = max_pause * _HARMLESS_FRACTION or math.inf
        first_event_limit = objective * _HARMLESS_FRACTION or math.inf
        return ReadImpact(
            wait=wait,
            duration=duration,
            streams=streams,
            stall=end + streams * duration,
            is_harmless=(not streams or end <= pause_limit)
            and end <= first_event_limit,
        )

    def _duration(self, tokens: float, slowness: float) -> float:
        return min(_MAX_READ_SECONDS, tokens * slowness / self.rate)

    def record_granted(
        self,
        key: _slot_key.SlotKey,
        tokens: float,
        *,
        slowness: float,
        now: float,
    ) -> None:
        """Record that a request was granted that reads this many tokens."""
        duration = self._duration(tokens, slowness)
        is_alone = self._busy_until <= now
        self._busy_until = max(now, self._busy_until) + duration
        self._pending_by_key[key] = _PendingRead(
            tokens=tokens,
            slowness=slowness,
            duration=duration,
            ends_at=self._busy_until,
            is_alone=is_alone,
        )

    def record_head(
        self,
        key: _slot_key.SlotKey,
        *,
        seconds: float,
        slowness: float,
        now: float,
    ) -> None:
        """Record that an answer has begun, so that its prompt has been read.

        Parameters
        ----------
        key : SlotKey
            Slot of the answered request.
        seconds : float
            Seconds from sending the request to the head of its answer, 0 if
            unknown.
        slowness : float
            Slowness of the replica at this moment.
        now : float
            Monotonic seconds.
        """
        read = self._pending_by_key.get(key)
        if read is None:
            return
        self._busy_until = now + self._remaining_after(key, now)
        del self._pending_by_key[key]
        # A read that others delayed does not show the rate.
        if read.is_alone and seconds > 0:
            self._learn(read, seconds, (read.slowness + slowness) / 2)

    def _remaining_after(self, key: _slot_key.SlotKey, now: float) -> float:
        """Return the seconds of other reads when a read has ended.

        Requests may reach the replica in another order than they were granted
        in, as long prompts take time on slow links. So the read of one that
        was granted earlier counts until its expected end.
        """
        remaining = 0.0
        is_later = False
        for other, read in self._pending_by_key.items():
            if other == key:
                is_later = True
            elif is_later:
                remaining += read.duration
            else:
                remaining += min(read.duration, max(0.0, read.ends_at - now))
        return remaining

    def _learn(
        self, read: _PendingRead, seconds: float, slowness: float
    ) -> None:
        if read.tokens < _MIN_LEARNT_TOKENS:
            overhead = max(0.0, seconds - read.duration)
            step = min(_MAX_OVERHEAD_STEP_SECONDS, overhead - self._overhead)
            self._overhead += max(-_MAX_OVERHEAD_STEP_SECONDS, step)
            return
        reading = max(seconds - self._overhead, seconds / 2)
        measured = read.tokens * slowness / reading
        factor = min(_MAX_RATE_FACTOR, measured / self.rate)
        self.rate *= max(1 / _MAX_RATE_FACTOR, factor)
        self.is_rate_learnt = True

    def record_end(self, key: _slot_key.SlotKey) -> None:
        """Record the end of a request, whether or not it was answered."""
        self._pending_by_key.pop(key, None)

    def begin_search(self, chat: _ids.ChatHash, *, now: float) -> None:
        """Record that an entry daemon asks other replicas to read a prompt."""
        self._search_until_by_chat[chat] = now + _SEARCH_SECONDS
        self._search_until_by_chat.move_to_end(chat)
        while next(iter(self._search_until_by_chat.values())) <= now:
            self._search_until_by_chat.popitem(last=False)

    def is_searching(self, chat: _ids.ChatHash, *, now: float) -> bool:
        """Return whether an entry daemon asks other replicas at the moment.

        If this replica granted the read to another request of the chat
        meanwhile, two replicas would read the same prompt.
        """
        return now < self._search_until_by_chat.get(chat, 0.0)
