"""Lifts blocks that answers show to be wrong, and confirms the others."""

from collections.abc import Callable
from collections.abc import Sequence
import functools
from typing import final

from topazlug import _logs
from topazlug.crashes import _block_trials
from topazlug.crashes import _crash_history
from topazlug.crashes import _crash_records
from topazlug.crashes import _sound_parts
from topazlug.targets import _target_runs

_log = _logs.logger("crashes")


@final
class BlockReview:
    """Applies what trials and other answers show of blocks.

    Parameters
    ----------
    history : CrashHistory
        Blocks and crashes.
    runs : RunTracker
        Running requests.
    trials : BlockTrials
        Requests that were let through.
    publish : callable
        Publishes records to all daemons.
    """

    def __init__(
        self,
        *,
        history: _crash_history.CrashHistory,
        runs: _target_runs.RunTracker,
        trials: _block_trials.BlockTrials,
        publish: Callable[[Sequence[_crash_records.CrashRecord]], None],
    ) -> None:
        self._history = history
        self._runs = runs
        self._trials = trials
        self._publish = publish

    def handle_end(self, run: _target_runs.Run) -> bool:
        """Handle the end of a run; return whether it was a trial."""
        if run.is_success and self._history.blocks_in_force():
            self._lift_answered(run)
        return self._trials.record_end(run)

    def _lift_answered(self, run: _target_runs.Run) -> None:
        """Lift the blocks of a request that was answered nevertheless.

        It is a trial, or it ran already when the block began.
        """
        began_at = _sound_parts.output_began_at(run)
        members = (run.fingerprint, *run.parts)
        for block in self._history.analysis.blocks_of(members):
            if began_at > self._trials.known_since(block):
                self._lift(block)

    def _lift(self, block: _crash_records.Block) -> None:
        _log.warning(
            "{fingerprint} is no longer blocked: it was answered",
            fingerprint=block.fingerprint,
            trials=block.trials,
            starts=" ".join(block.starts),
        )
        released = self._history.release(block.fingerprint)
        if released is not None:
            self._publish([released])

    def judge(self) -> None:
        """Apply the outcomes of trials."""
        blocks = self._history.blocks_in_force()
        self._trials.update({block.fingerprint: block for block in blocks})
        for block in blocks:
            verdict = self._trials.verdict(
                block,
                self._runs.all_running(),
                has_crashed=functools.partial(
                    self._history.has_crashed_alone,
                    fingerprint=block.fingerprint,
                ),
            )
            if verdict is _block_trials.Verdict.ANSWERED:
                self._lift(block)
            elif verdict is _block_trials.Verdict.CRASHED:
                self._confirm(block)
            elif verdict is _block_trials.Verdict.OPEN:
                self._trials.restart(block)

    def _confirm(self, block: _crash_records.Block) -> None:
        confirmed = self._history.confirm(block)
        _log.warning(
            "{fingerprint} remains blocked: it crashed one more replica",
            fingerprint=block.fingerprint,
            trials=confirmed.trials,
            retry_after=self._trials.retry_after(confirmed),
        )
        self._publish([confirmed])
