"""Decides whether a daemon reads a table from the store or from a peer.

Load pattern: hundreds of daemons need the same few rows, and each call to the
store is costly. If every daemon that lost the store called it on its own, the
calls would arrive when the store has the least capacity. So a few daemons read
for all, and the rate of calls is bounded here for all kinds of failures:

- A few readers serve all other daemons: the first ones of an order that all
  daemons share. The first reader with access to the store reads it, and the
  other readers read from that one. Each answer carries the time since the
  last answer of the store.
- A reader whose calls the store rejects reads from the other readers.
- If all readers have lost the store, the next daemons of the order serve as
  substitutes. They are tried two at a time until one has access. A daemon
  that receives such a request reads the store itself for a while, so the
  fleet finds the daemons that the store still serves.
- A daemon that gets no answer from any reader reads the store directly, as it
  may be cut off from the readers only.

This module only decides; it makes no calls and does not wait.
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

# Three requests per second from each daemon are 200 messages, about a
# hundredth of a core, and a change of 20 KB for all of them takes a tenth of a
# second on a link of 100 Mbit/s.
DAEMONS_PER_READER = 64
# With three readers two may fail, and the third is still found.
MIN_READERS = 3
# Number of daemons that may replace readers without access to the store, and
# how many of them one search tries. During an outage of the store each
# substitute calls it repeatedly.
_MAX_SUBSTITUTES = 8
_SUBSTITUTES_PER_SEARCH = 2
# How long a substitute that lost the store is avoided. All other substitutes
# have been tried by then.
_SUBSTITUTE_AVOIDED_SECONDS = 2.0
# A daemon that received a request without having a valid copy reads the store
# for this long.
_READ_AFTER_MISS_SECONDS = 5.0
# How long a reader that lost the store is avoided.
_READER_AVOIDED_SECONDS = 0.5
# A peer that does not answer is avoided for longer each time: it may be gone
# permanently, and each request to it takes the whole timeout.
_NO_ANSWER_AVOIDED_SECONDS = 3.0
_MAX_NO_ANSWER_AVOIDED_SECONDS = 24.0
# A failure within this time is a refused connection. It costs nothing, and the
# peer will soon be back if all daemons have just restarted.
_REFUSAL_SECONDS = 0.2
_REFUSED_AVOIDED_SECONDS = 0.3
# After this time without answers a search goes on to the store, since a daemon
# that is cut off from all readers must not try each of them. The time must not
# be shorter: after a power loss readers refuse connections for half a second,
# and each of 195 daemons would call the store meanwhile.
MAX_UNANSWERED_SECONDS = 1.2
# A daemon calls the store again this long after a failed call. It must detect
# the return of the store within a second.
STORE_RETRY_SECONDS = 0.8
# Total rates at which daemons without a working reader call the store. If
# peers report that they lost the store, it is probed at the lower rate. If
# they do not answer, that shows nothing about the store, and the rate is half
# the limit of the smallest known store.
_PROBES_PER_SECOND = 20.0
_DIRECT_CALLS_PER_SECOND = 1000.0
# Maximum wait of a call by a daemon that no reader answers. After it the
# daemon tries the readers again.
_DIRECT_WAIT_SECONDS = 1.0
# Maximum random pause before such a call. With `MAX_UNANSWERED_SECONDS` before
# it, a longer one would delay changes too much in a fleet of 880. The stores
# of larger fleets accept more calls.
_MAX_SPREAD_SECONDS = 1.0
# Tables that each daemon reads: configuration, replicas, daemons and crashes.
_TABLE_COUNT = 4


class Outcome(enum.Enum):
    """Outcome of one call to a source.

    Attributes
    ----------
    ANSWERED
        The source answered, with or without changes.
    STORE_LOST
        The peer has lost the store, or the store did not answer.
    NO_ANSWER
        The peer did not answer.
    """

    ANSWERED = "answered"
    STORE_LOST = "lost"
    NO_ANSWER = "silent"


@final
class ReadPeer(msgspec.Struct, frozen=True):
    """Step that reads from another daemon."""

    peer: _ids.DaemonId


@final
class ReadStore(msgspec.Struct, frozen=True):
    """Step that reads from the store.

    Attributes
    ----------
    pause : float
        Seconds to pause before the call, to spread the calls of the fleet.
    max_wait : float
        Maximum seconds that the call may wait for changes. With 0 it only
        probes whether the store answers.
    """

    pause: float = 0.0
    max_wait: float = math.inf


Step = ReadPeer | ReadStore


class Directory(Protocol):
    """The part of the fleet's directory that the plan uses."""

    @property
    def is_small(self) -> bool:
        """Return whether each daemon reads the store directly."""

    def reading_order(self) -> list[_ids.DaemonId]:
        """Return all daemons, starting with those that read for others."""


class _Avoidance(msgspec.Struct):
    until: float
    outcome: Outcome
    failures: int = 1


def reader_count(daemons: int) -> int:
    """Return how many daemons of a fleet of this size are readers."""
    return max(MIN_READERS, math.ceil(daemons / DAEMONS_PER_READER))


@final
class ReadingPlan:
    """Selects the sources from which one daemon reads tables.

    Parameters
    ----------
    daemon_id : DaemonId
        This daemon.
    directory : Directory
        The daemons of the fleet.
    clock : Clock
        Source of time.
    random_fraction : callable
        Returns random numbers from 0 to 1, used to spread calls.
    """

    def __init__(
        self,
        *,
        daemon_id: _ids.DaemonId,
        directory: Directory,
        clock: _clock.Clock,
        random_fraction: Callable[[], float] = random.random,
    ) -> None:
        self._daemon_id = daemon_id
        self._directory = directory
        self._clock = clock
        self._random_fraction = random_fraction
        self._missed_at_by_table: dict[str, float] = {}
        self._answered_at = clock.monotonic()
        self._store_lost_at = -math.inf
        self._readers_lost_at: float | None = None
        self._next_probe_at = 0.0
        self._working_substitute: _ids.DaemonId | None = None
        self._avoidance_by_peer: dict[_ids.DaemonId, _Avoidance] = {}

    def record_miss(self, table: str) -> None:
        """Record that another daemon's request could not be answered."""
        self._missed_at_by_table[table] = self._clock.monotonic()

    def reads_store(self, table: str) -> bool:
        """Return whether this daemon reads a table from the store for others.

        It does so as a reader, and for a while after a recorded miss.
        """
        missed_at = self._missed_at_by_table.get(table, -math.inf)
        if self._clock.monotonic() - missed_at < _READ_AFTER_MISS_SECONDS:
            return True
        return self._daemon_id in self.readers()

    def readers(self) -> list[_ids.DaemonId]:
        """Return the daemons that read the store for all."""
        order = self._directory.reading_order()
        return order[: reader_count(len(order))]

    def first_steps(self, table: str) -> list[Step]:
        """Return the sources to try before any substitutes."""
        if self._directory.is_small:
            return self._steps_of_small_fleet()
        readers = self.readers()
        if self._daemon_id in readers:
            return self._steps_of_reader(readers, table)
        own_hash = _ranking.chat_hash(self._daemon_id)
        ranked = _ranking.rank(readers, own_hash, count=len(readers))
        peers: list[Step] = [ReadPeer(_ids.DaemonId(name)) for name in ranked]
        return self._store_steps(table) + peers

    def _steps_of_small_fleet(self) -> list[Step]:
        """Return the steps of a daemon that reads the store for itself.

        An unanswered call may have been made before the store was back, so
        the store is called again at once. Until it has answered, no call
        waits for changes, even if other daemons answer meanwhile.
        """
        probe = ReadStore(max_wait=0.0)
        if self._store_lost_at > -math.inf:
            return [probe]
        return [ReadStore(), probe]

    def _steps_of_reader(
        self, readers: list[_ids.DaemonId], table: str
    ) -> list[Step]:
        """Return the steps of a reader: earlier readers, store, later readers.

        So only the first reader with access to the store reads it. The other
        readers relay its answers; their own calls would return the same.
        """
        index = readers.index(self._daemon_id)
        before: list[Step] = [ReadPeer(peer) for peer in readers[:index]]
        after: list[Step] = [ReadPeer(peer) for peer in readers[index + 1 :]]
        return before + self._store_steps(table) + after

    def _store_steps(self, table: str) -> list[Step]:
        if not self.reads_store(table) or not self.store_is_due:
            return []
        is_lost = self._store_lost_at > -math.inf
        return [ReadStore(max_wait=0.0 if is_lost else math.inf)]

    @property
    def store_is_due(self) -> bool:
        """Return whether the store may be called again after a failed call."""
        since = self._clock.monotonic() - self._store_lost_at
        return since >= STORE_RETRY_SECONDS

    def substitutes(self) -> list[Step]:
        """Return the sources to try while all readers lost the store."""
        now = self._clock.monotonic()
        if self._readers_lost_at is None:
            self._readers_lost_at = now
            self._next_probe_at = (
                now + self._random_fraction() * self._probe_interval
            )
        order = self._directory.reading_order()
        first = reader_count(len(order))
        chosen = [
            peer
            for peer in order[first : first + _MAX_SUBSTITUTES]
            if not self._is_unavailable(peer)
        ]
        chosen = chosen[:_SUBSTITUTES_PER_SEARCH]
        if (
            self._working_substitute is not None
            and self._working_substitute not in chosen
        ):
            chosen.insert(0, self._working_substitute)
        return [
            (
                ReadStore(max_wait=0.0)
                if peer == self._daemon_id
                else ReadPeer(peer)
            )
            for peer in chosen
        ]

    @property
    def _probe_interval(self) -> float:
        daemons = len(self._directory.reading_order())
        return daemons * _TABLE_COUNT / _PROBES_PER_SECOND

    def last_step(self, *, store_reported_lost: bool) -> Step | None:
        """Return the last source to try after all others have failed.

        Parameters
        ----------
        store_reported_lost : bool
            Whether some daemon reported that it lost the store.
        """
        now = self._clock.monotonic()
        if not store_reported_lost:
            if now - self._answered_at < MAX_UNANSWERED_SECONDS:
                return None
            daemons = len(self._directory.reading_order())
            max_pause = daemons * _TABLE_COUNT / _DIRECT_CALLS_PER_SECOND
            max_pause = min(max_pause, _MAX_SPREAD_SECONDS)
            return ReadStore(
                pause=self._random_fraction() * max_pause,
                max_wait=_DIRECT_WAIT_SECONDS,
            )
        if now < self._next_probe_at:
            return None
        self._next_probe_at = now + self._probe_interval
        return ReadStore(max_wait=0.0)

    def avoidance_reason(self, peer: _ids.DaemonId) -> Outcome | None:
        """Return why a peer is avoided now, None if it is not."""
        avoidance = self._avoidance_by_peer.get(peer)
        if avoidance is None or avoidance.until <= self._clock.monotonic():
            return None
        return avoidance.outcome

    def _is_unavailable(self, peer: _ids.DaemonId) -> bool:
        """Return whether a peer is avoided, except for a refused connection.

        When all daemons restart at once, each refuses connections briefly.
        Trying further substitutes instead would make all of them read the
        store.
        """
        is_avoided = self.avoidance_reason(peer) is not None
        return is_avoided and self._avoidance_by_peer[peer].failures > 0

    def record(self, step: Step, outcome: Outcome, *, seconds: float) -> None:
        """Record the outcome of a step and the seconds that it took."""
        if outcome is Outcome.ANSWERED:
            self._answered_at = self._clock.monotonic()
        if isinstance(step, ReadStore):
            self._record_store_outcome(outcome)
        elif outcome is Outcome.ANSWERED:
            self._avoidance_by_peer.pop(step.peer, None)
            self._record_peer_answer(step.peer)
        else:
            self._avoid(step.peer, outcome, seconds)

    def _record_store_outcome(self, outcome: Outcome) -> None:
        if outcome is Outcome.ANSWERED:
            self._store_lost_at = -math.inf
            if self._daemon_id in self.readers():
                self._readers_lost_at = None
        else:
            self._store_lost_at = self._clock.monotonic()

    def _record_peer_answer(self, peer: _ids.DaemonId) -> None:
        if peer in self.readers():
            self._readers_lost_at = None
            self._working_substitute = None
        else:
            self._working_substitute = peer

    def _avoid(
        self, peer: _ids.DaemonId, outcome: Outcome, elapsed: float
    ) -> None:
        now = self._clock.monotonic()
        if self._working_substitute == peer:
            self._working_substitute = None
        before = self._avoidance_by_peer.get(peer)
        failures = 1
        if before is not None and before.outcome is outcome:
            failures = before.failures + 1
        seconds = _READER_AVOIDED_SECONDS
        if peer not in self.readers():
            seconds = _SUBSTITUTE_AVOIDED_SECONDS
        if outcome is Outcome.NO_ANSWER and elapsed < _REFUSAL_SECONDS:
            seconds, failures = _REFUSED_AVOIDED_SECONDS, 0
        elif outcome is Outcome.NO_ANSWER:
            seconds = _NO_ANSWER_AVOIDED_SECONDS * 2.0 ** min(failures - 1, 8)
            seconds = min(seconds, _MAX_NO_ANSWER_AVOIDED_SECONDS)
        self._avoidance_by_peer[peer] = _Avoidance(
            now + seconds, outcome, failures
        )
