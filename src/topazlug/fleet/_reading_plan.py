"""Decides where a daemon reads the store's tables: the store, or a peer.

Load pattern: hundreds of daemons want the same few rows, and each of their
calls to the store has its price. When the store is lost, by all daemons or by
some, each daemon that turned to it by itself would add its calls at the
moment at which the store can do least. So a few daemons read for all, and how
many calls a second the fleet makes is decided here, whatever fails:

- A few readers, the first of one order that all daemons know, answer all
  others. The first of them that the store serves asks it, the others ask that
  one. With each answer goes the time since the store's last word.
- A reader that the store turns away hears from those that it serves.
- Where all readers have lost the store, the next daemons of the order are
  asked, two at a time until one of them has it. Who is asked reads the store
  itself for a while, so that the fleet meets those that the store still
  serves.
- A daemon that no reader answers may be cut off from them alone, and asks the
  store itself.

Nothing here reads, waits or knows a connection.
"""

from collections.abc import Callable
import enum
import math
import random
from typing import Protocol
from typing import final

import msgspec

from topazlug import _clock
from topazlug import _ids
from topazlug.routing import _ranking

# One reader answers so many daemons: three asks a second of each are 200
# messages, about a hundredth of a core, and a change of 20 KB for all of them
# passes a link of 100 Mbit/s in a tenth of a second.
DAEMONS_A_READER = 64
# Of three readers two may be lost while the third is found.
LEAST_READERS = 3
# Daemons of the order that may be asked in place of readers that lost the
# store, and how many of them one search asks. While the store serves nobody
# each of them tries it again and again.
_SUBSTITUTES = 8
_SUBSTITUTES_A_SEARCH = 2
# A substitute that lost the store is asked again after this. By then each of
# the others was asked.
_SUBSTITUTE_LOST_SECONDS = 2.0
# Who was asked and had no news reads the store for so long after that.
_ASKED_SECONDS = 5.0
# A reader that says it lost the store is asked again after this.
_LOST_SECONDS = 0.5
# One that says nothing is left alone for longer each time: it may be gone for
# good, and each ask of it costs the whole timeout.
_SILENT_SECONDS = 3.0
_LONGEST_SILENT_SECONDS = 24.0
# One that refuses a connection at once costs nothing, and is about to be back
# if all have just started again.
_QUICK_SECONDS = 0.2
_REFUSED_SECONDS = 0.3
# After so much silence in one round the store is asked: whoever is cut off
# from all readers must not go through them one after the other. Nor before
# it: after a loss of power of all, readers refuse connections for half a
# second, and each of 195 daemons would turn to the store meanwhile.
SILENCE_SECONDS = 1.2
# A reader that the store turned away asks it again after this. It must see
# the store's return within a second.
STORE_AGAIN_SECONDS = 0.8
# Calls a second that all daemons without a reader make together. Where peers
# say that the store is lost it is asked rarely; silence says nothing of it,
# and half of the rate of the smallest store known is used.
_PROBES_A_SECOND = 20.0
_DIRECT_CALLS_A_SECOND = 1000.0
# A call of a daemon that no reader answers waits for news so long, and then
# looks for readers again.
_ALONE_SECONDS = 1.0
# Nobody waits longer than this for its moment: with the silence before it, a
# change would else come too late in a fleet of 880. The stores of larger
# fleets take more calls.
_LONGEST_SPREAD_SECONDS = 1.0
# Tables that each daemon follows: the configuration, replicas, daemons and
# crashes.
_TABLES = 4


class Outcome(enum.Enum):
    """What became of one ask.

    Attributes
    ----------
    ANSWERED
        There is news, or there is none.
    LOST
        The one asked has lost the store.
    SILENT
        No word came.
    """

    ANSWERED = "answered"
    LOST = "lost"
    SILENT = "silent"


@final
class AskPeer(msgspec.Struct, frozen=True):
    """Ask a daemon that reads the store."""

    peer: _ids.DaemonId


@final
class AskStore(msgspec.Struct, frozen=True):
    """Ask the store.

    Attributes
    ----------
    pause : float
        Seconds to wait before, so that the fleet's calls are spread.
    longest : float
        Seconds that the call may wait for news at most. With 0 it finds out
        whether the store is back.
    """

    pause: float = 0.0
    longest: float = math.inf


Step = AskPeer | AskStore


class Directory(Protocol):
    """What is known of the fleet."""

    @property
    def is_small(self) -> bool:
        """Say whether each daemon reads the store itself."""

    def reading_order(self) -> list[_ids.DaemonId]:
        """Give all daemons, those that read for others first."""


class _Avoided(msgspec.Struct):
    until: float
    outcome: Outcome
    times: int = 1


def reader_count(daemons: int) -> int:
    """Give how many of so many daemons read the store for all."""
    return max(LEAST_READERS, math.ceil(daemons / DAEMONS_A_READER))


@final
class ReadingPlan:
    """Where one daemon reads tables now.

    Parameters
    ----------
    daemon_id : DaemonId
        This daemon.
    directory : Directory
        The fleet.
    clock : Clock
        Time.
    chance : callable
        Gives numbers from 0 to 1, to spread calls by.
    """

    def __init__(
        self,
        *,
        daemon_id: _ids.DaemonId,
        directory: Directory,
        clock: _clock.Clock,
        chance: Callable[[], float] = random.random,
    ) -> None:
        self._me = daemon_id
        self._directory = directory
        self._clock = clock
        self._chance = chance
        self._asked_at_by_table: dict[str, float] = {}
        self._answered_at = clock.monotonic()
        self._store_lost_at = -math.inf
        self._readers_lost_at: float | None = None
        self._probe_at = 0.0
        self._found: _ids.DaemonId | None = None
        self._avoided_by_peer: dict[_ids.DaemonId, _Avoided] = {}

    def note_asked(self, table: str) -> None:
        """Note that another daemon asked for a table and got no news."""
        self._asked_at_by_table[table] = self._clock.monotonic()

    def reads_store(self, table: str) -> bool:
        """Say whether this daemon reads a table of the store for others."""
        asked_at = self._asked_at_by_table.get(table, -math.inf)
        if self._clock.monotonic() - asked_at < _ASKED_SECONDS:
            return True
        return self._me in self.readers()

    def readers(self) -> list[_ids.DaemonId]:
        """Give the daemons that read the store for all."""
        order = self._directory.reading_order()
        return order[: reader_count(len(order))]

    def first_steps(self, table: str) -> list[Step]:
        """Give what is tried before substitutes are."""
        if self._directory.is_small:
            return self._steps_of_small_fleet()
        readers = self.readers()
        if self._me in readers:
            return self._steps_of_reader(readers, table)
        own = _ranking.chat_hash(self._me)
        ranked = _ranking.rank(readers, own, count=len(readers))
        peers: list[Step] = [AskPeer(_ids.DaemonId(name)) for name in ranked]
        return self._own_steps(table) + peers

    def _steps_of_small_fleet(self) -> list[Step]:
        """Give how a daemon asks that reads the store for itself.

        A call without an answer may have been made before the store was
        back, so the store is asked again at once. Until it has answered
        itself no call waits for news, whatever others say meanwhile.
        """
        probe = AskStore(longest=0.0)
        if self._store_lost_at > -math.inf:
            return [probe]
        return [AskStore(), probe]

    def _steps_of_reader(
        self, readers: list[_ids.DaemonId], table: str
    ) -> list[Step]:
        """Give whom a reader asks: the readers before it, then the store.

        So one of them asks the store, the first that it serves. The others
        carry what that one hears on to all daemons: a call of each of them
        would say the same.
        """
        place = readers.index(self._me)
        before: list[Step] = [AskPeer(one) for one in readers[:place]]
        after: list[Step] = [AskPeer(one) for one in readers[place + 1 :]]
        return before + self._own_steps(table) + after

    def _own_steps(self, table: str) -> list[Step]:
        if not self.reads_store(table) or not self.store_is_due:
            return []
        is_lost = self._store_lost_at > -math.inf
        return [AskStore(longest=0.0 if is_lost else math.inf)]

    @property
    def store_is_due(self) -> bool:
        """Say whether the store has not turned this daemon away just now."""
        since = self._clock.monotonic() - self._store_lost_at
        return since >= STORE_AGAIN_SECONDS

    def substitutes(self) -> list[Step]:
        """Give whom to ask while all readers have lost the store."""
        now = self._clock.monotonic()
        if self._readers_lost_at is None:
            self._readers_lost_at = now
            self._probe_at = now + self._chance() * self._probe_seconds
        order = self._directory.reading_order()
        few = reader_count(len(order))
        chosen = [
            one
            for one in order[few : few + _SUBSTITUTES]
            if not self._is_out(one)
        ]
        chosen = chosen[:_SUBSTITUTES_A_SEARCH]
        if self._found is not None and self._found not in chosen:
            chosen.insert(0, self._found)
        return [
            AskStore(longest=0.0) if one == self._me else AskPeer(one)
            for one in chosen
        ]

    @property
    def _probe_seconds(self) -> float:
        daemons = len(self._directory.reading_order())
        return daemons * _TABLES / _PROBES_A_SECOND

    def last_step(self, *, is_lost: bool) -> Step | None:
        """Give what is left when nobody has news.

        Parameters
        ----------
        is_lost : bool
            Whether some daemon said that it has lost the store.
        """
        now = self._clock.monotonic()
        if not is_lost:
            if now - self._answered_at < SILENCE_SECONDS:
                return None
            daemons = len(self._directory.reading_order())
            longest = daemons * _TABLES / _DIRECT_CALLS_A_SECOND
            longest = min(longest, _LONGEST_SPREAD_SECONDS)
            return AskStore(
                pause=self._chance() * longest, longest=_ALONE_SECONDS
            )
        if now < self._probe_at:
            return None
        self._probe_at = now + self._probe_seconds
        return AskStore(longest=0.0)

    def avoided(self, peer: _ids.DaemonId) -> Outcome | None:
        """Give why a peer is not asked now; None if it may be."""
        avoided = self._avoided_by_peer.get(peer)
        if avoided is None or avoided.until <= self._clock.monotonic():
            return None
        return avoided.outcome

    def _is_out(self, peer: _ids.DaemonId) -> bool:
        """Say whether a peer is avoided and not just about to be back.

        When all start again at once, each refuses connections for a moment;
        with others asked instead, all of those would read the store.
        """
        is_avoided = self.avoided(peer) is not None
        return is_avoided and self._avoided_by_peer[peer].times > 0

    def note(self, step: Step, outcome: Outcome, *, seconds: float) -> None:
        """Take what became of an ask, and how long that took."""
        if outcome is Outcome.ANSWERED:
            self._answered_at = self._clock.monotonic()
        if isinstance(step, AskStore):
            self._note_store(outcome)
        elif outcome is Outcome.ANSWERED:
            self._avoided_by_peer.pop(step.peer, None)
            self._note_peer_answered(step.peer)
        else:
            self._avoid(step.peer, outcome, seconds)

    def _note_store(self, outcome: Outcome) -> None:
        if outcome is Outcome.ANSWERED:
            self._store_lost_at = -math.inf
            if self._me in self.readers():
                self._readers_lost_at = None
        else:
            self._store_lost_at = self._clock.monotonic()

    def _note_peer_answered(self, peer: _ids.DaemonId) -> None:
        if peer in self.readers():
            self._readers_lost_at = None
            self._found = None
        else:
            self._found = peer

    def _avoid(
        self, peer: _ids.DaemonId, outcome: Outcome, spent: float
    ) -> None:
        now = self._clock.monotonic()
        if self._found == peer:
            self._found = None
        before = self._avoided_by_peer.get(peer)
        times = 1
        if before is not None and before.outcome is outcome:
            times = before.times + 1
        seconds = _LOST_SECONDS
        if peer not in self.readers():
            seconds = _SUBSTITUTE_LOST_SECONDS
        if outcome is Outcome.SILENT and spent < _QUICK_SECONDS:
            seconds, times = _REFUSED_SECONDS, 0
        elif outcome is Outcome.SILENT:
            seconds = _SILENT_SECONDS * 2.0 ** min(times - 1, 8)
            seconds = min(seconds, _LONGEST_SILENT_SECONDS)
        self._avoided_by_peer[peer] = _Avoided(now + seconds, outcome, times)
