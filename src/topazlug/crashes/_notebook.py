"""All that this daemon knows of crashes, and how much of it is kept."""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import datetime
import functools
import math
from typing import final

import msgspec

from topazlug import _clock
from topazlug import _ids
from topazlug.crashes import _evidence
from topazlug.crashes import _notes
from topazlug.targets import _target
from topazlug.targets import _target_runs

# Rows and memory are bounded by what the last crashes leave. A replica that
# runs 64 requests leaves as many suspects.
MOST_CRASHES = 512
MOST_SUSPECTS = 2048
# Blocked requests; and as many suspected ones that were answered.
MOST_BLOCKS = 256
_SUSPECTS_A_NOTE = 64
# Requests answered here though some crash counts against them.
_MOST_ANSWERED = 1024
# A request that was answered so lately ends no replica, whatever news come of
# crashes. 4,096 take 0.6 MB: what a daemon answers in two minutes at 34 a
# second.
_LATELY_SECONDS = 60.0
_MOST_LATELY = 4096

_MOST_BY_KIND = {
    _notes.Crash: MOST_CRASHES,
    _notes.Answered: MOST_BLOCKS,
    _notes.Block: MOST_BLOCKS,
}

NoteByKey = dict[str, _notes.Note]


@final
class Notebook:
    """Notes of all daemons, as far as this one has them.

    Parameters
    ----------
    daemon : DaemonId
        This daemon.
    clock : Clock
        Time.
    """

    def __init__(self, *, daemon: _ids.DaemonId, clock: _clock.Clock) -> None:
        self._daemon = daemon
        self._clock = clock
        # Rows that all daemons see; notes of this daemon that are no rows
        # yet; what others told this one because they could not write it.
        self._shared: NoteByKey = {}
        self._own: NoteByKey = {}
        self._told: NoteByKey = {}
        self._answered_at: collections.OrderedDict[_ids.Fingerprint, float] = (
            collections.OrderedDict()
        )
        # Suspects that this daemon has answered, and not told of yet.
        self._answered: collections.OrderedDict[
            _ids.Fingerprint, _notes.Answered
        ] = collections.OrderedDict()
        self._evidence: _evidence.Evidence | None = None

    @property
    def evidence(self) -> _evidence.Evidence:
        """Give what all notes together say, as far as this daemon knows."""
        return self._counted()

    def _counted(self) -> _evidence.Evidence:
        """Count anew after news, and clear what was answered here lately."""
        if self._evidence is None:
            self._evidence = self._count()
        return self._evidence

    def _count(self) -> _evidence.Evidence:
        kept = _kept(self._all(), self._clock.now())
        self._own = {k: v for k, v in self._own.items() if k in kept}
        self._told = {k: v for k, v in self._told.items() if k in kept}
        self._clear_answered(kept.values())
        return _evidence.Evidence([*kept.values(), *self._answered.values()])

    def take_shared(self, notes: Iterable[_notes.Note]) -> None:
        """Take the rows that all daemons see."""
        self._shared = {_notes.key_of(note): note for note in notes}
        for held in (self._own, self._told):
            for key in [key for key in held if self.is_shared(held[key])]:
                del held[key]
        self._evidence = None

    def take_told(self, notes: Iterable[_notes.Note]) -> list[_notes.Note]:
        """Take what a daemon tells that can't write rows just now.

        Returns
        -------
        list of Note
            What was not known.
        """
        known = self._all()
        news = []
        for note in notes:
            key = _notes.key_of(note)
            if key in known and _holds(known[key], note):
                continue
            self._told[key] = note
            news.append(note)
        self._evidence = None
        return news

    def get(self, key: str) -> _notes.Note | None:
        """Give the note that would stand at a key."""
        return self._all().get(key)

    def note_crash(
        self,
        start: _target.ReplicaProcess,
        group: _ids.GroupName,
        runs: Iterable[_target_runs.Run],
        *,
        replicas: int,
    ) -> _notes.Crash:
        """Note what this daemon had running on a replica that crashed.

        Parameters
        ----------
        replicas : int
            How many replicas the group has.
        """
        now = self._clock.monotonic()
        suspects = [
            _notes.Suspect(
                run.fingerprint,
                _notes.attempt_tag(run.attempt),
                round(run.seconds(now), 3),
            )
            for run in runs
        ]
        crash = _notes.Crash(
            start=_notes.start_name(start),
            daemon=self._daemon,
            at=self._clock.now(),
            group=group,
            replicas=replicas,
            suspects=suspects[:_SUSPECTS_A_NOTE],
        )
        self._add_own(crash)
        return crash

    def block(
        self, causes: Mapping[_ids.Fingerprint, _ids.GroupName]
    ) -> list[_notes.Block]:
        """Block requests that crash replicas; see `Evidence.causes`."""
        blocks = [
            _notes.Block(
                fingerprint=fingerprint,
                starts=sorted(self.evidence.starts_of(fingerprint)),
                at=self._clock.now(),
                group=group,
            )
            for fingerprint, group in causes.items()
        ]
        self._add_own(*blocks)
        return blocks

    def release(self, fingerprint: _ids.Fingerprint) -> _notes.Block | None:
        """Let a blocked request run again; None if it is not blocked."""
        if not self.evidence.is_blocked(fingerprint):
            return None
        released = _notes.released(
            self.evidence.blocks[fingerprint], now=self._clock.now()
        )
        self._add_own(released)
        return released

    def note_answered(self, fingerprint: _ids.Fingerprint) -> None:
        """Note that a request was answered whole.

        Here that counts at once: of requests that a team sends all the time
        some run at each crash, and would be held back with it.
        """
        self._answered_at[fingerprint] = self._clock.monotonic()
        self._answered_at.move_to_end(fingerprint)
        if len(self._answered_at) > _MOST_LATELY:
            self._answered_at.popitem(last=False)
        if self.evidence.starts_of(fingerprint):
            self._evidence = None

    def _clear_answered(self, notes: Iterable[_notes.Note]) -> None:
        """Clear of their crashes what was answered here lately."""
        oldest = self._clock.monotonic() - _LATELY_SECONDS
        for note in notes:
            if not isinstance(note, _notes.Crash):
                continue
            for suspect in note.suspects:
                at = self._answered_at.get(suspect.fingerprint, -math.inf)
                if at > oldest:
                    self._clear(suspect.fingerprint, note.start)
        while len(self._answered) > _MOST_ANSWERED:
            self._answered.popitem(last=False)

    def _clear(
        self, fingerprint: _ids.Fingerprint, start: _notes.StartName
    ) -> None:
        before = self._answered.get(fingerprint)
        starts = set(before.starts) if before else set()
        if start not in starts:
            self._answered[fingerprint] = _notes.Answered(
                fingerprint=fingerprint,
                starts=sorted({*starts, start}),
                at=self._clock.now(),
            )

    def cleared(self) -> list[_notes.Answered]:
        """Give what to tell of answered requests that others may block.

        Those that one more crash would block, where nobody had seen an
        answer. Most requests that were beside a crash never come again, and
        each row costs a call.
        """
        self._counted()
        if not self._answered:
            return []
        known = _evidence.Evidence(self._all().values())
        found = [
            self._merged(note)
            for fingerprint, note in self._answered.items()
            if known.count_of(fingerprint) + 1 >= _evidence.CRASHES
        ]
        for note in found:
            del self._answered[note.fingerprint]
        self._add_own(*found)
        return found

    def _merged(self, note: _notes.Answered) -> _notes.Answered:
        """Add what others have cleared: one row holds it all."""
        before = self._all().get(_notes.key_of(note))
        if not isinstance(before, _notes.Answered):
            return note
        starts = {*note.starts, *before.starts}
        return msgspec.structs.replace(note, starts=sorted(starts))

    def is_witness(self, fingerprint: _ids.Fingerprint) -> bool:
        """Say whether this daemon itself saw a crash under a request."""
        return any(
            note.daemon == self._daemon
            and any(one.fingerprint == fingerprint for one in note.suspects)
            for note in self._all().values()
            if isinstance(note, _notes.Crash)
        )

    def is_shared(self, note: _notes.Note) -> bool:
        """Say whether all daemons see what a note says."""
        shared = self._shared.get(_notes.key_of(note))
        return shared is not None and _holds(shared, note)

    def surplus(self) -> list[str]:
        """Give the keys of rows that nobody counts any more."""
        kept = _kept(self._shared, self._clock.now())
        return [key for key in self._shared if key not in kept]

    def _add_own(self, *notes: _notes.Note) -> None:
        for note in notes:
            self._own[_notes.key_of(note)] = note
        self._evidence = None

    def _all(self) -> NoteByKey:
        found = dict(self._shared)
        for held in (self._told, self._own):
            for key, note in held.items():
                if key not in found or not _holds(found[key], note):
                    found[key] = note
        return found


@functools.singledispatch
def _holds(shared: _notes.Note, note: _notes.Note) -> bool:
    """Say whether a row says all that a note with the same key does."""
    return True


@_holds.register
def _block_holds(shared: _notes.Block, note: _notes.Block) -> bool:
    # Of two blocks by two daemons one is enough; what an operator has
    # released since, or what crashes replicas again, is news.
    is_same = shared.released == note.released
    return is_same or shared.at >= note.at


@_holds.register
def _answered_holds(shared: _notes.Answered, note: _notes.Answered) -> bool:
    return set(note.starts) <= set(shared.starts)


def _kept(
    note_by_key: Mapping[str, _notes.Note], now: datetime.datetime
) -> NoteByKey:
    """Give the newest notes that still count, as far as there is room."""
    newest = sorted(
        note_by_key.items(), key=lambda item: item[1].at, reverse=True
    )
    kept: NoteByKey = {}
    count_by_kind: collections.Counter[type] = collections.Counter()
    suspects = 0
    for key, note in newest:
        if now - note.at >= _notes.LASTING:
            continue
        kind = type(note)
        count_by_kind[kind] += 1
        if isinstance(note, _notes.Crash):
            suspects += len(note.suspects)
        if count_by_kind[kind] > _MOST_BY_KIND[kind]:
            continue
        if isinstance(note, _notes.Crash) and suspects > MOST_SUSPECTS:
            continue
        kept[key] = note
    return kept
