"""Rejects what crashes replicas, to protect further replicas."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import datetime
import functools
import random
from typing import Protocol
from typing import final

from gevent import event

from topazlug import _clock
from topazlug import _errors
from topazlug import _ids
from topazlug import _logs
from topazlug._generated import messages
from topazlug.crashes import _block_review
from topazlug.crashes import _block_trials
from topazlug.crashes import _cause_analysis
from topazlug.crashes import _crash_detector
from topazlug.crashes import _crash_history
from topazlug.crashes import _crash_records
from topazlug.crashes import _decision_log
from topazlug.crashes import _fingerprint
from topazlug.crashes import _likely_causes
from topazlug.targets import _target
from topazlug.targets import _target_runs
from topazlug.targets import _targets

_log = _logs.logger("crashes")
# Maximum random delay before a decision. If many daemons have answered a
# request, the first ones to decide publish that for all.
_SPREAD_SECONDS = 0.3
# A daemon that recorded no crash itself leaves the writing of the block to the
# daemons that did. It writes the block after this delay if they have not.
_FALLBACK_WRITE_SECONDS = (1.5, 3.0)
# A caller's attempt is not sent to another replica after this many crashes.
_MAX_CRASHES_PER_ATTEMPT = 2
# A daemon that ran no request with a part at its crashes leaves the decision
# on it to those that did, which may have answered other requests with it.
_OTHERS_SETTLE_SECONDS = 2.5
# Many daemons answer requests with a common part, and each could clear it of a
# crash. Besides those that reported the crash, about so many of them do.
_MAX_CLEARING_DAEMONS = 16
# Bounds the crashes that are listed in a log line.
_MAX_LOGGED = 8


AnnounceHold = Callable[[_ids.Fingerprint, int], None]


class RecordPublisher(Protocol):
    """Publishes crash records to all daemons."""

    def publish(
        self,
        records: Sequence[_crash_records.CrashRecord],
        *,
        remove: Sequence[str] = (),
    ) -> None:
        """Write records and remove rows by their keys; does not block."""


@final
class CrashGuard:
    """Finds the requests that crash replicas, and rejects them.

    Parameters
    ----------
    daemon : DaemonId
        This daemon.
    runs : RunTracker
        Running requests by target.
    targets : TargetDirectory
        Known targets.
    rejects : bool
        Whether requests that crash replicas are rejected.
    fleet_size : callable
        Returns the number of daemons in the fleet.
    clock : Clock
        Source of time.

    Attributes
    ----------
    publisher : RecordPublisher or None
        Publishes records to other daemons; None until this daemon has joined
        its fleet.
    announce_hold : callable or None
        Called with each request that is held back from now on, and the
        number of crashes that count against it; has other daemons hold it
        back too. None until this daemon has joined its fleet.
    trials : BlockTrials
        Lets single requests through that are blocked.
    """

    def __init__(
        self,
        *,
        daemon: _ids.DaemonId,
        runs: _target_runs.RunTracker,
        targets: _targets.TargetDirectory,
        rejects: bool = True,
        fleet_size: Callable[[], int] = lambda: 1,
        clock: _clock.Clock,
    ) -> None:
        self._rejects = rejects
        self._fleet_size = fleet_size
        self._runs = runs
        self._targets = targets
        self._clock = clock
        self.publisher: RecordPublisher | None = None
        self.announce_hold: AnnounceHold | None = None
        self._history = _crash_history.CrashHistory(daemon=daemon, clock=clock)
        self._detector = _crash_detector.CrashDetector(
            runs=runs,
            listed=lambda: targets.target_by_replica,
            is_leaving=targets.is_leaving,
            on_crash=self._on_crash,
            clock=clock,
        )
        runs.on_end(self._on_run_end)
        self._changed = event.Event()
        # When this daemon publishes records that another daemon should have
        # written by then.
        self._due_by_key: dict[str, float] = {}
        self._likely_causes = _likely_causes.LikelyCauses(clock=clock)
        self._decision_log = _decision_log.DecisionLog()
        self.trials = _block_trials.BlockTrials(clock=clock)
        self._block_review = _block_review.BlockReview(
            history=self._history,
            runs=runs,
            trials=self.trials,
            publish=self._publish,
        )

    @property
    def blocked(self) -> int:
        """Return the number of blocked requests."""
        return len(self.blocks())

    def blocks(self) -> list[_crash_records.Block]:
        """Return the blocks in force, newest first."""
        return self._history.blocks_in_force()

    def release(
        self, fingerprint: _ids.Fingerprint
    ) -> _crash_records.Block | None:
        """Release a blocked request; return None if it is not blocked."""
        block = self._history.release(fingerprint)
        if block is not None:
            _log.info(
                "{fingerprint} may run again",
                fingerprint=fingerprint,
            )
            self._publish([block])
        return block

    def check(
        self,
        fingerprint: _ids.Fingerprint,
        parts: Sequence[_ids.Fingerprint] = (),
        *,
        attempt: str = "",
    ) -> None:
        """Raise if a request, or a part of its prompt, must not run now.

        Parameters
        ----------
        fingerprint : Fingerprint
            The request.
        parts : sequence of Fingerprint
            Parts of its prompt that it may share with other requests.
        attempt : str
            Identifies the caller's attempt, as in its runs. Without it the
            request is no trial of a block.

        Raises
        ------
        RequestBlocked
            The request must not run.
        """
        if not self._rejects:
            return
        if not (self._history.has_records or self._likely_causes.has_holds):
            return
        for suspect in (fingerprint, *parts):
            self._check_suspect(suspect, parts, attempt)

    def _check_suspect(
        self,
        suspect: _ids.Fingerprint,
        parts: Sequence[_ids.Fingerprint],
        attempt: str,
    ) -> None:
        analysis = self._history.analysis
        what = _describe(suspect)
        count = self._held_crash_count(suspect)
        block = analysis.block_of(suspect, parts)
        self._log_decision(suspect, is_held=count > 0, is_blocked=bool(block))
        if count:
            self._log_rejection(suspect, _decision_log.Decision.HOLD)
            raise _errors.RequestBlocked(
                f"{count} replicas crashed while running {what}; it is held"
                " back until the cause is determined",
                retry_after=_likely_causes.HOLD_SECONDS,
            ).refused_by(_errors.Guard.CRASH_HOLD, suspect)
        if block is None:
            return
        remaining = block.at + _crash_records.RETENTION - self._clock.now()
        if remaining <= datetime.timedelta() or self._is_trial(block, attempt):
            return
        self._log_rejection(suspect, _decision_log.Decision.BLOCK)
        raise _errors.RequestBlocked(
            f"{len(block.starts)} replicas of {block.group} crashed while"
            f" running {what}; it is blocked",
            retry_after=min(
                remaining.total_seconds(), self.trials.retry_after(block)
            ),
        ).refused_by(_errors.Guard.CRASH_BLOCK, suspect)

    def _is_trial(self, block: _crash_records.Block, attempt: str) -> bool:
        """Return whether an attempt runs although it is blocked."""
        last_crash_at = functools.partial(
            self._history.last_crash_under, block
        )
        if not self.trials.may_run(
            block, attempt, last_crash_at=last_crash_at
        ):
            return False
        # The trial is looked at until it is decided.
        self._changed.set()
        return True

    def _held_crash_count(self, suspect: _ids.Fingerprint) -> int:
        """Return the crashes for which something is held back, 0 if not."""
        is_part = _fingerprint.is_part(suspect)
        if self._likely_causes.is_held(suspect):
            # The count is lower if this daemon has answered it since.
            count = self._history.analysis.crash_count_of(suspect)
            is_answered = (
                is_part
                and count < _cause_analysis.MANY_CRASHES_OF_SOUND_PART
                and self._history.is_answered(suspect)
            )
            is_decided = self._history.analysis.is_decided(suspect)
            if (
                count >= _cause_analysis.MIN_CRASHES
                and not is_answered
                and not is_decided
            ):
                return count
        if self._is_held_for_peers(suspect):
            return self._likely_causes.peer_crash_count(suspect)
        return 0

    def _is_held_for_peers(self, suspect: _ids.Fingerprint) -> bool:
        """Return whether peers hold what got no answer here."""
        return self._likely_causes.peer_crash_count(
            suspect
        ) > 0 and not self._history.is_answered(suspect)

    def _log_decision(
        self, suspect: _ids.Fingerprint, *, is_held: bool, is_blocked: bool
    ) -> None:
        analysis = self._history.analysis
        incarnations = analysis.incarnations_of(suspect)
        if not (incarnations or is_held or is_blocked):
            return
        decision = _decision_log.Decision.RUN
        if is_held:
            decision = _decision_log.Decision.HOLD
        elif is_blocked:
            decision = _decision_log.Decision.BLOCK
        elif _fingerprint.is_part(suspect) and (
            analysis.crash_count_of(suspect) < _cause_analysis.MIN_CRASHES - 1
        ):
            # Each crash hits many parts, nearly all of them by chance.
            return
        counts = self._history.record_counts()
        self._decision_log.add(
            suspect,
            decision,
            _decision_log.Basis(
                crashes=analysis.crash_count_of(suspect),
                incarnations=len(incarnations),
                own=counts.own,
                received=counts.received,
                shared=counts.shared,
            ),
        )

    def _log_rejection(
        self, suspect: _ids.Fingerprint, decision: _decision_log.Decision
    ) -> None:
        evidence = self._history.evidence_of(suspect)
        _log.info(
            "request not run: {suspect} ran at {n} crashes: {decision}",
            suspect=suspect,
            n=len(evidence),
            events=self._history.analysis.event_count_of(suspect),
            decision=decision.value,
            crashes=" ".join(
                f"{start}:{','.join(sorted(daemons))}"
                for start, daemons in sorted(evidence.items())[:_MAX_LOGGED]
            ),
        )

    def may_repeat(
        self,
        fingerprint: _ids.Fingerprint,
        target: _targets.Target,
        parts: Sequence[_ids.Fingerprint] = (),
    ) -> bool:
        """Return whether a request may be sent on after its target failed.

        What hit a crash at an earlier attempt is not repeated after another
        crash, as it would crash two replicas at each attempt.
        """
        if not self._rejects:
            return True
        suspects = (fingerprint, *parts)
        analysis = self._history.analysis
        if any(analysis.block_of(one, parts) for one in suspects):
            return False
        if any(map(self._is_held_for_peers, suspects)):
            return False
        # Replicas may crash so fast that the second target of an attempt fails
        # while the first one is still being checked.
        self._detector.wait_for_other_checks(fingerprint, target)
        if not any(map(self._crashes_without_answer, suspects)):
            # One crash does not prevent a repeat, so there is no need to wait
            # for the check of this target.
            return True
        self._detector.wait_for_check(target)
        return all(
            self._crashes_without_answer(one) < _MAX_CRASHES_PER_ATTEMPT
            for one in suspects
        )

    def _crashes_without_answer(self, suspect: _ids.Fingerprint) -> int:
        if _fingerprint.is_part(suspect) and self._history.is_answered(
            suspect
        ):
            return 0
        return self._history.analysis.event_count_of(suspect)

    def handle_list_change(
        self,
        before: Mapping[_ids.ReplicaId, _targets.Target],
        listed: Iterable[_targets.Target],
    ) -> None:
        """Handle a change of the platform's list; see `CrashDetector`."""
        self._detector.handle_list_change(before, listed)

    def set_shared_records(
        self, records: Iterable[_crash_records.CrashRecord]
    ) -> None:
        """Replace the records that are in the table."""
        self._history.set_shared_records(records)
        self._update_likely_causes()

    def add_peer_records(
        self,
        records: Iterable[_crash_records.CrashRecord],
        *,
        stand_in: bool = False,
    ) -> None:
        """Add records from a daemon that can't write rows now.

        Parameters
        ----------
        stand_in : bool
            Whether this daemon publishes the records if they are not in the
            table after a delay.
        """
        added = self._history.add_peer_records(records)
        for record in added if stand_in else ():
            self._set_due(record, random.uniform(*_FALLBACK_WRITE_SECONDS))
        self._update_likely_causes()

    def unshared_records(self) -> list[_crash_records.CrashRecord]:
        """Return the records that are not in the table, blocks last."""
        return self._history.unshared_records()

    def add_peer_holds(self, holds: Iterable[messages.RequestHold]) -> None:
        """Hold back requests that are likely causes at other daemons.

        The records of their crashes go to few daemons. The others would run
        such a request again until these have decided.
        """
        for hold in holds:
            self._likely_causes.add_peer_hold(
                _ids.Fingerprint(hold.fingerprint), crashes=hold.crashes
            )

    def _update_likely_causes(self) -> None:
        self._refresh_likely_causes()
        self._changed.set()

    def _refresh_likely_causes(self) -> None:
        causes = self._history.analysis.likely_causes()
        if any(map(_fingerprint.is_part, causes)):
            self._history.confirm_survivors(self._runs.all_running())
            causes = self._history.analysis.likely_causes()
        for fingerprint in self._likely_causes.update(causes):
            # Crashes that are in the table are known to all daemons.
            if (
                self.announce_hold is not None
                and self._history.has_unshared_crash(fingerprint)
            ):
                self.announce_hold(fingerprint, causes[fingerprint])

    def _on_run_end(self, run: _target_runs.Run) -> None:
        if self._history.handle_end(run):
            # Other daemons may be about to decide.
            self._changed.set()
        if self._block_review.handle_end(run):
            self._changed.set()

    def _on_crash(
        self, target: _targets.Target, runs: list[_target_runs.Run]
    ) -> None:
        process = _target.process_of(target)
        # What is being answered on other replicas is known as sound.
        self._history.confirm_survivors(self._runs.all_running())
        crash = self._history.add_crash(
            process,
            target.group,
            runs,
            replicas=len(self._targets.listed_replicas(target.group)),
        )
        self._publish([crash])
        self._update_likely_causes()

    def run(self) -> None:
        """Decide again after each change, forever."""
        while True:
            self._changed.wait(self._seconds_to_due())
            self._changed.clear()
            self._clock.sleep(random.uniform(0.0, _SPREAD_SECONDS))
            self.decide()

    def _seconds_to_due(self) -> float | None:
        """Return the time until the next timed action, or None."""
        times = [*self._due_by_key.values()]
        times += self._likely_causes.settle_times(_OTHERS_SETTLE_SECONDS)
        next_poll = self.trials.next_poll()
        if next_poll is not None:
            times.append(next_poll)
        outdated_until = self._history.outdated_until
        if outdated_until is not None:
            times.append(outdated_until)
        if not times:
            return None
        return max(0.0, min(times) - self._clock.monotonic())

    def decide(self) -> None:
        """Clear answered requests, and block requests that crash replicas."""
        cleared = self._history.add_clearances(publishes=self._publishes)
        if cleared:
            self._publish(cleared)
        self._refresh_likely_causes()
        while causes := self._history.analysis.causes():
            if not all(map(self._is_settled, causes)):
                break
            for block in self._history.block(causes):
                self._announce_block(block)
        self._block_review.judge()
        self._publish_due()

    def _publishes(self, suspect: _ids.Fingerprint) -> bool:
        """Return whether this daemon publishes a clearance."""
        if not _fingerprint.is_part(suspect):
            return True
        if self._history.has_own_crash(suspect):
            return True
        share = _MAX_CLEARING_DAEMONS / max(1, self._fleet_size())
        return random.random() < share

    def _is_settled(self, cause: _cause_analysis.Cause) -> bool:
        return all(map(self._is_member_settled, cause.members))

    def _is_member_settled(self, member: _ids.Fingerprint) -> bool:
        if not _fingerprint.is_part(member):
            return self._likely_causes.is_settled(member)
        if self._history.has_own_crash(member):
            return self._likely_causes.is_steady(member)
        return self._likely_causes.is_steady(
            member, seconds=_OTHERS_SETTLE_SECONDS
        )

    def _announce_block(self, block: _crash_records.Block) -> None:
        _log.warning(
            "{fingerprint} is blocked: {n} replicas crashed",
            fingerprint=block.fingerprint,
            together=" ".join(block.together),
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


def _describe(suspect: _ids.Fingerprint) -> str:
    if _fingerprint.is_part(suspect):
        return "requests with a part of this prompt"
    return "this request"
