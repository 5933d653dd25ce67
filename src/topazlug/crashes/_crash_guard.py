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
from topazlug.crashes import _cause_analysis
from topazlug.crashes import _crash_detector
from topazlug.crashes import _crash_history
from topazlug.crashes import _crash_records
from topazlug.crashes import _likely_causes
from topazlug.targets import _target
from topazlug.targets import _target_runs
from topazlug.targets import _targets

_log = _logs.logger("crashes")
# Many daemons may have answered a request; the first ones clear it for all.
_SPREAD_SECONDS = 0.3
# Daemons that saw no crash themselves leave it to those to write the block
# down, and do it in their place if they are gone.
_FALLBACK_WRITE_SECONDS = (1.5, 3.0)
# One attempt of a caller ends so many replicas at most.
_MAX_CRASHES_PER_ATTEMPT = 2


class RecordPublisher(Protocol):
    """Has all daemons know what one has noted."""

    def publish(
        self,
        records: Sequence[_crash_records.CrashRecord],
        *,
        remove: Sequence[str] = (),
    ) -> None:
        """Write notes, and drop rows by their keys; does not block."""


@final
class CrashGuard:
    """Learns which requests crash replicas, and refuses those.

    Parameters
    ----------
    daemon : DaemonId
        This daemon.
    runs : RunBook
        What runs where.
    targets : TargetDirectory
        Known targets.
    rejects : bool
        Whether what it learns is acted on.
    clock : Clock
        Time.

    Attributes
    ----------
    publisher : Sharing or None
        How other daemons hear of it; None until this daemon has joined its
        fleet.
    """

    def __init__(
        self,
        *,
        daemon: _ids.DaemonId,
        runs: _target_runs.RunBook,
        targets: _targets.TargetDirectory,
        rejects: bool = True,
        clock: _clock.Clock,
    ) -> None:
        self._refuses = rejects
        self._targets = targets
        self._clock = clock
        self.publisher: RecordPublisher | None = None
        self._history = _crash_history.CrashHistory(daemon=daemon, clock=clock)
        self._detector = _crash_detector.CrashDetector(
            runs=runs,
            listed=lambda: targets.target_by_replica,
            is_leaving=targets.is_leaving,
            crashed=self._on_crash,
            clock=clock,
        )
        runs.on_end(self._on_run_end)
        self._changed = event.Event()
        # Keys of notes that another daemon should write down, and when this
        # one does it instead.
        self._due_by_key: dict[str, float] = {}
        self._likely_causes = _likely_causes.LikelyCauses(clock=clock)

    @property
    def blocked(self) -> int:
        """Give how many requests are blocked."""
        return len(self.blocks())

    def blocks(self) -> list[_crash_records.Block]:
        """Give the blocks in force, the newest first."""
        blocks = self._history.analysis.blocks.values()
        found = [block for block in blocks if not block.released]
        return sorted(found, key=lambda block: block.at, reverse=True)

    def release(
        self, fingerprint: _ids.Fingerprint
    ) -> _crash_records.Block | None:
        """Let a blocked request run again; None if it is not blocked."""
        block = self._history.release(fingerprint)
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
        analysis = self._history.analysis
        count = analysis.crash_count_of(fingerprint)
        # An answer of this daemon may have cleared it since.
        if (
            count >= _cause_analysis.MIN_CRASHES
            and self._likely_causes.is_held(fingerprint)
        ):
            raise _errors.RequestBlocked(
                f"{count} replicas crashed when they ran this request;"
                " whether it is the cause is not known yet",
                retry_after=_likely_causes.HOLD_SECONDS,
            )
        if not analysis.is_blocked(fingerprint):
            return
        block = analysis.blocks[fingerprint]
        left = block.at + _crash_records.RETENTION - self._clock.now()
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
        if self._history.analysis.is_blocked(fingerprint):
            return False
        # A replica that ends at once is the second of the same attempt while
        # the first one is still being asked.
        self._detector.wait_for_other_checks(fingerprint, target)
        if not self._history.analysis.incarnations_of(fingerprint):
            # One crash is no reason, so nobody waits for it to be found out.
            return True
        self._detector.wait_for_check(target)
        crashes = self._history.analysis.incarnations_of(fingerprint)
        return len(crashes) < _MAX_CRASHES_PER_ATTEMPT

    def handle_list_change(
        self,
        before: Mapping[_ids.ReplicaId, _targets.Target],
        listed: Iterable[_targets.Target],
    ) -> None:
        """Take the platform's list; see `CrashDetector`."""
        self._detector.handle_list_change(before, listed)

    def set_shared_records(
        self, records: Iterable[_crash_records.CrashRecord]
    ) -> None:
        """Take the notes that all daemons see."""
        self._history.set_shared_records(records)
        self._update()

    def add_peer_records(
        self,
        records: Iterable[_crash_records.CrashRecord],
        *,
        stand_in: bool = False,
    ) -> None:
        """Take notes of a daemon that can't share them with all.

        Parameters
        ----------
        stand_in : bool
            Whether this daemon shares them if the other one still can't.
        """
        added = self._history.add_peer_records(records)
        for record in added if stand_in else ():
            self._set_due(record, random.uniform(*_FALLBACK_WRITE_SECONDS))
        self._update()

    def _update(self) -> None:
        self._likely_causes.update(self._history.analysis.likely_causes())
        self._changed.set()

    def _on_run_end(self, run: _target_runs.Run) -> None:
        if run.is_success:
            self._history.add_answered(run.fingerprint)

    def _on_crash(
        self, target: _targets.Target, runs: list[_target_runs.Run]
    ) -> None:
        incarnation = _target.start_of(target)
        crash = self._history.add_crash(
            incarnation,
            target.group,
            runs,
            replicas=len(self._targets.known(target.group)),
        )
        self._publish([crash])
        self._update()

    def run(self) -> None:
        """Decide again after each news, for ever."""
        while True:
            self._changed.wait(self._seconds_to_due())
            self._changed.clear()
            self._clock.sleep(random.uniform(0.0, _SPREAD_SECONDS))
            self.decide()

    def _seconds_to_due(self) -> float | None:
        """Give when something is to be done without any news."""
        moments = [*self._due_by_key.values()]
        moments += self._likely_causes.settle_times()
        if not moments:
            return None
        return max(0.0, min(moments) - self._clock.monotonic())

    def decide(self) -> None:
        """Clear requests that were answered, and block those that crash."""
        cleared = self._history.add_clearances()
        if cleared:
            self._publish(cleared)
        self._likely_causes.update(self._history.analysis.likely_causes())
        while causes := self._history.analysis.causes():
            if not all(map(self._likely_causes.is_settled, causes)):
                break
            for block in self._history.block(causes):
                self._announce_block(block)
        self._publish_due()

    def _announce_block(self, block: _crash_records.Block) -> None:
        _log.warning(
            "requests of {fingerprint} are blocked: {n} replicas crashed",
            fingerprint=block.fingerprint,
            n=len(block.starts),
            group=block.group,
            starts=" ".join(block.starts),
        )
        wait = 0.0
        if not self._history.has_own_crash(block.fingerprint):
            wait = random.uniform(*_FALLBACK_WRITE_SECONDS)
        self._set_due(block, wait)

    def _set_due(
        self, record: _crash_records.CrashRecord, wait: float
    ) -> None:
        due = self._clock.monotonic() + wait
        self._due_by_key[_crash_records.record_key(record)] = due

    def _publish_due(self) -> None:
        now = self._clock.monotonic()
        for key, due in list(self._due_by_key.items()):
            if due > now:
                continue
            del self._due_by_key[key]
            record = self._history.get(key)
            if record is not None and not self._history.is_in_table(record):
                self._publish([record])

    def _publish(self, records: Sequence[_crash_records.CrashRecord]) -> None:
        if self.publisher is not None:
            self.publisher.publish(
                records, remove=self._history.obsolete_keys()
            )
