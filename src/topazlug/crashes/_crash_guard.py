"""Keeps requests that crash replicas from further replicas."""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import datetime
import random
from typing import Protocol
from typing import final

from gevent import event

from topazlug import _clock
from topazlug import _errors
from topazlug import _ids
from topazlug import _logs
from topazlug.crashes import _crash_watch
from topazlug.crashes import _evidence
from topazlug.crashes import _likely_causes
from topazlug.crashes import _notebook
from topazlug.crashes import _notes
from topazlug.targets import _target
from topazlug.targets import _target_runs
from topazlug.targets import _targets

_log = _logs.logger("crashes")
# Many daemons may have answered a request; the first ones clear it for all.
_SPREAD_SECONDS = 0.3
# Daemons that saw no crash themselves leave it to those to write the block
# down, and do it in their place if they are gone.
_OTHERS_SECONDS = (1.5, 3.0)
# One attempt of a caller ends so many replicas at most.
_MOST_CRASHES_AN_ATTEMPT = 2


class Sharing(Protocol):
    """Has all daemons know what one has noted."""

    def publish(
        self, notes: Sequence[_notes.Note], *, drop: Sequence[str] = ()
    ) -> None:
        """Write notes, and drop rows by their keys; does not block."""


@final
class CrashGuard:
    """Learns which requests crash replicas, and refuses those.

    Parameters
    ----------
    daemon : DaemonId
        This daemon.
    runs : RunTracker
        What runs where.
    targets : TargetDirectory
        Known targets.
    refuses : bool
        Whether what it learns is acted on.
    clock : Clock
        Time.

    Attributes
    ----------
    sharing : Sharing or None
        How other daemons hear of it; None until this daemon has joined its
        fleet.
    """

    def __init__(
        self,
        *,
        daemon: _ids.DaemonId,
        runs: _target_runs.RunTracker,
        targets: _targets.TargetDirectory,
        refuses: bool = True,
        clock: _clock.Clock,
    ) -> None:
        self._refuses = refuses
        self._targets = targets
        self._clock = clock
        self.sharing: Sharing | None = None
        self._notebook = _notebook.Notebook(daemon=daemon, clock=clock)
        self._watch = _crash_watch.CrashWatch(
            runs=runs,
            listed=lambda: targets.target_by_replica,
            is_leaving=targets.is_leaving,
            crashed=self._take_crash,
            clock=clock,
        )
        runs.on_end(self._take_end)
        self._news = event.Event()
        # Keys of notes that another daemon should write down, and when this
        # one does it instead.
        self._due_by_key: dict[str, float] = {}
        self._likely = _likely_causes.LikelyCauses(clock=clock)

    @property
    def blocked(self) -> int:
        """Give how many requests are blocked."""
        return len(self.blocks())

    def blocks(self) -> list[_notes.Block]:
        """Give the blocks in force, the newest first."""
        blocks = self._notebook.evidence.blocks.values()
        found = [block for block in blocks if not block.released]
        return sorted(found, key=lambda block: block.at, reverse=True)

    def release(self, fingerprint: _ids.Fingerprint) -> _notes.Block | None:
        """Let a blocked request run again; None if it is not blocked."""
        block = self._notebook.release(fingerprint)
        if block is not None:
            _log.info(
                "requests of {fingerprint} may run again",
                fingerprint=fingerprint,
            )
            self._publish([block])
        return block

    def check(self, fingerprint: _ids.Fingerprint) -> None:
        """Refuse a request that crashes replicas.

        Raises
        ------
        RequestBlocked
            It is not run.
        """
        if not self._refuses:
            return
        evidence = self._notebook.evidence
        count = evidence.count_of(fingerprint)
        # An answer of this daemon may have cleared it since.
        if count >= _evidence.CRASHES and self._likely.is_held(fingerprint):
            raise _errors.RequestBlocked(
                f"{count} replicas crashed when they ran this request;"
                " whether it is the cause is not known yet",
                retry_after=_likely_causes.HOLD_SECONDS,
            )
        if not evidence.is_blocked(fingerprint):
            return
        block = evidence.blocks[fingerprint]
        left = block.at + _notes.LASTING - self._clock.now()
        if left > datetime.timedelta():
            raise _errors.RequestBlocked(
                f"{len(block.starts)} replicas of {block.group} crashed when"
                " they ran this request; it is kept from others",
                retry_after=left.total_seconds(),
            )

    def may_repeat(
        self, fingerprint: _ids.Fingerprint, target: _targets.Target
    ) -> bool:
        """Say whether a request may go to another target after one failed.

        One that comes back after a crash is not repeated: it would end two
        replicas at each of its attempts.
        """
        if not self._refuses:
            return True
        if self._notebook.evidence.is_blocked(fingerprint):
            return False
        # A replica that ends at once is the second of the same attempt while
        # the first one is still being asked.
        self._watch.wait_earlier_checked(fingerprint, target)
        if not self._notebook.evidence.starts_of(fingerprint):
            # One crash is no reason, so nobody waits for it to be found out.
            return True
        self._watch.wait_checked(target)
        starts = self._notebook.evidence.starts_of(fingerprint)
        return len(starts) < _MOST_CRASHES_AN_ATTEMPT

    def take_list(
        self,
        before: Mapping[_ids.ReplicaId, _targets.Target],
        listed: Iterable[_targets.Target],
    ) -> None:
        """Take the platform's list; see `CrashWatch`."""
        self._watch.take_list(before, listed)

    def take_shared(self, notes: Iterable[_notes.Note]) -> None:
        """Take the notes that all daemons see."""
        self._notebook.take_shared(notes)
        self._note_news()

    def take_told(
        self, notes: Iterable[_notes.Note], *, stand_in: bool = False
    ) -> None:
        """Take notes of a daemon that can't share them with all.

        Parameters
        ----------
        stand_in : bool
            Whether this daemon shares them if the other one still can't.
        """
        news = self._notebook.take_told(notes)
        for note in news if stand_in else ():
            self._set_due(note, random.uniform(*_OTHERS_SECONDS))
        self._note_news()

    def _note_news(self) -> None:
        self._likely.take(self._notebook.evidence.likely_causes())
        self._news.set()

    def _take_end(self, run: _target_runs.Run) -> None:
        if run.is_success:
            self._notebook.note_answered(run.fingerprint)

    def _take_crash(
        self, target: _targets.Target, runs: list[_target_runs.Run]
    ) -> None:
        start = _target.process_of(target)
        crash = self._notebook.note_crash(
            start,
            target.group,
            runs,
            replicas=len(self._targets.known(target.group)),
        )
        self._publish([crash])
        self._note_news()

    def run(self) -> None:
        """Decide again after each news, for ever."""
        while True:
            self._news.wait(self._seconds_to_due())
            self._news.clear()
            self._clock.sleep(random.uniform(0.0, _SPREAD_SECONDS))
            self.decide()

    def _seconds_to_due(self) -> float | None:
        """Give when something is to be done without any news."""
        moments = [*self._due_by_key.values()]
        moments += self._likely.settled_at()
        if not moments:
            return None
        return max(0.0, min(moments) - self._clock.monotonic())

    def decide(self) -> None:
        """Clear requests that were answered, and block those that crash."""
        cleared = self._notebook.cleared()
        if cleared:
            self._publish(cleared)
        self._likely.take(self._notebook.evidence.likely_causes())
        while causes := self._notebook.evidence.causes():
            if not all(map(self._likely.is_settled, causes)):
                break
            for block in self._notebook.block(causes):
                self._note_blocked(block)
        self._publish_due()

    def _note_blocked(self, block: _notes.Block) -> None:
        _log.warning(
            "requests of {fingerprint} are blocked: {n} replicas crashed",
            fingerprint=block.fingerprint,
            n=len(block.starts),
            group=block.group,
            starts=" ".join(block.starts),
        )
        wait = 0.0
        if not self._notebook.is_witness(block.fingerprint):
            wait = random.uniform(*_OTHERS_SECONDS)
        self._set_due(block, wait)

    def _set_due(self, note: _notes.Note, wait: float) -> None:
        due = self._clock.monotonic() + wait
        self._due_by_key[_notes.key_of(note)] = due

    def _publish_due(self) -> None:
        now = self._clock.monotonic()
        for key, due in list(self._due_by_key.items()):
            if due > now:
                continue
            del self._due_by_key[key]
            note = self._notebook.get(key)
            if note is not None and not self._notebook.is_shared(note):
                self._publish([note])

    def _publish(self, notes: Sequence[_notes.Note]) -> None:
        if self.sharing is not None:
            self.sharing.publish(notes, drop=self._notebook.surplus())
