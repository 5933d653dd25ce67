"""The owner's decision to eject a replica for all daemons.

Nothing in this module yields or does I/O. The outcomes of a group are known
from the collector, with a delay: other owners report every 1.3 s in a group
of 45, or three times as often while their failures rise. If all replicas
begin to fail at the same time, each owner sees its own failures first. So a
replica's fraction of failures is compared as of a moment that the reports of
the others cover, and only with a reply of the collector that has just come.
"""

from collections.abc import Callable
import math
from typing import final

from topazlug import _clock
from topazlug import _ids
from topazlug import _logs
from topazlug._generated import messages
from topazlug.capacity import _outcome_counts
from topazlug.capacity import _slot_key
from topazlug.routing import _group_limits
from topazlug.routing import _ledger
from topazlug.routing import _owner_features
from topazlug.routing import _ranking
from topazlug.targets import _targets

_log = _logs.logger("owner")
# The thresholds of a daemon's own view: plain services fail 14% of their
# reads when healthy.
_MIN_FAILURES = 3
_MIN_FRACTION = 0.3
_MIN_RATIO = 2.0
# Shorter windows in which a replica may be found to fail too. Without them, a
# replica that began to fail all of its requests had failed 12 of them when it
# was found, as earlier successes still counted.
_SHORT_WINDOWS_SECONDS = (0.5, 1.0)
# Where fewer requests of the rest are known, none of this many is assumed to
# have failed.
_MIN_REST = 10
# The others need this long to report that they have begun to fail too.
_MIN_TROUBLE_SECONDS = 0.2
# Of 22 requests in a window, 14% fail on average, and 30% or more in one
# window of 30. A replica is ejected only if its failures would be less likely
# than this if it failed as often as the rest of its group.
_MAX_PROBABILITY = 1e-6
# The same for an earlier moment, in comparison with later reports of the rest.
_MAX_EARLIER_PROBABILITY = 1e-3
# At most this part of a group is ejected, as the others take its load.
_MAX_EJECTED_PART = 3
_EARLY_FAILURES = 2
# A decision waits this long for a new reply of the collector, which usually
# takes 0.1 s, and a lost one 0.3 s.
_MAX_WAIT_SECONDS = 0.5
# The time for a report to arrive, on top of the interval between two.
_REPORT_SECONDS = 0.1
# Where this part of the requests of the rest fail, one failure on probation
# may be chance: at 14%, one of two requests fails in a quarter of probations.
_FAILING_REST_FRACTION = 0.05
# Backoff while another request is on probation: about its duration.
_PROBE_SECONDS = 0.2
# A stream may take a minute. The next request is admitted after this time
# although the previous one on probation has not ended.
_MAX_PROBE_SECONDS = 1.0
# Interval of the log line about a replica that may not be ejected.
_LIMIT_LOG_SECONDS = 1.0
_HASHES = 1 << 64

EjectedCallback = Callable[[_ids.DaemonId, messages.Ejected], None]


@final
class OutcomeEjections:
    """Counts outcomes on an owner's replicas, and ejects those that fail.

    Parameters
    ----------
    group_limits : GroupLimits
        Ledgers and outcomes of groups.
    targets : TargetDirectory
        Replicas and their health.
    features : OwnerFeatures
        Optional decisions that are switched on.
    clock : Clock
        Source of time.

    Attributes
    ----------
    ejection_count : int
        Number of ejections, including those on probation.
    return_count : int
        Number of replicas that returned after their probation.
    """

    def __init__(
        self,
        *,
        group_limits: _group_limits.GroupLimits,
        targets: _targets.TargetDirectory,
        features: _owner_features.OwnerFeatures,
        clock: _clock.Clock,
    ) -> None:
        self._group_limits = group_limits
        self._targets = targets
        self._features = features
        self._clock = clock
        self._callbacks: list[EjectedCallback] = []
        self._waiting_since: dict[_ids.ReplicaId, float] = {}
        self._limit_logged_at: dict[_ids.ReplicaId, float] = {}
        self.ejection_count = 0
        self.return_count = 0

    def on_ejected(self, callback: EjectedCallback) -> None:
        """Register a callback that notifies one daemon of an ejection."""
        self._callbacks.append(callback)

    def _applies_to(self, ledger: _ledger.ReplicaLedger) -> bool:
        return self._features.shared_outcomes and (
            self._features.is_capacity_short or ledger.speed.is_reported
        )

    def record_failure(
        self, ledger: _ledger.ReplicaLedger, key: _slot_key.SlotKey
    ) -> None:
        """Count a held request that has failed, or is clearly late, once."""
        if key not in ledger.entry_by_key or not self._applies_to(ledger):
            return
        if ledger.outcomes.count_once(key):
            self._record(ledger, key.daemon, failed=1, ended=1, key=key)

    def record_end(
        self, ledger: _ledger.ReplicaLedger, key: _slot_key.SlotKey
    ) -> None:
        """Count a held request that is about to be released."""
        was_counted = ledger.outcomes.end(key)
        if key not in ledger.entry_by_key or not self._applies_to(ledger):
            return
        if not was_counted:
            self._record(ledger, key.daemon, failed=0, ended=1, key=key)

    def record_outcomes(
        self,
        ledger: _ledger.ReplicaLedger | None,
        sender: _ids.DaemonId,
        message: messages.Outcomes,
    ) -> None:
        """Count requests that an entry daemon placed by its own view."""
        if ledger is None or ledger.incarnation != message.incarnation:
            return
        if not self._applies_to(ledger):
            return
        now = self._clock.monotonic()
        ledger.outcomes.record_sender(sender, now=now)
        if ledger.outcomes.remaining(now=now) > 0:
            self._notify(ledger, sender)
        self._record(
            ledger, sender, failed=message.failed, ended=message.ended
        )

    def _record(
        self,
        ledger: _ledger.ReplicaLedger,
        sender: _ids.DaemonId,
        *,
        failed: int,
        ended: int,
        key: _slot_key.SlotKey | None = None,
    ) -> None:
        now = self._clock.monotonic()
        counts = ledger.outcomes
        state = counts.state(now=now)
        if state is _outcome_counts.EjectionState.EJECTED:
            return
        if state is _outcome_counts.EjectionState.PROBATION:
            if key is None:
                # Such a message covers several requests, and a failure
                # prompts it, so most of them contain one.
                has_failed = failed / max(1, ended) >= _MIN_FRACTION
                counts.end_probe(None)
                self._judge_probe(ledger, failed=has_failed)
            elif counts.is_probe(key):
                counts.end_probe(key)
                self._judge_probe(ledger, failed=failed > 0)
            return
        counts.record(
            sender,
            failed=failed,
            ended=ended,
            now=now,
            is_exact=key is not None,
            chat=_chat_of(ledger, key),
        )
        if failed:
            self._report_early(ledger)
            self._consider(ledger)

    def _judge_probe(
        self, ledger: _ledger.ReplicaLedger, *, failed: bool
    ) -> None:
        now = self._clock.monotonic()
        if failed:
            rest = self._rest(ledger)
            allowed = 1 if rest.fraction >= _FAILING_REST_FRACTION else 0
            if ledger.outcomes.record_probe_failure() > allowed:
                self._eject(ledger, "a request failed on probation")
        elif ledger.outcomes.record_probe_success(now=now):
            self.return_count += 1
            _log.info(
                "{replica} returns: its requests on probation succeeded",
                replica=ledger.replica,
            )

    def _report_early(self, ledger: _ledger.ReplicaLedger) -> None:
        """Report to the collector early if failures rise."""
        now = self._clock.monotonic()
        known = self._group_limits.outcomes_of(ledger.group)
        rise = (
            ledger.outcomes.totals(now=now).failed
            - ledger.outcomes.reported_failed
        )
        is_due = now - known.reported_at >= known.early_interval
        if rise >= _EARLY_FAILURES and is_due:
            self._group_limits.request_report(ledger.group)

    def handle_summary(self, group: _ids.GroupName) -> None:
        """Decide again after a reply of the collector."""
        for ledger in self._group_limits.ledgers_of(group):
            if not self._applies_to(ledger):
                continue
            if ledger.outcomes.is_limited:
                self._revoke_excess(ledger)
            elif ledger.outcomes.totals(now=self._clock.monotonic()).failed:
                self._consider(ledger)

    def _consider(self, ledger: _ledger.ReplicaLedger) -> None:
        """Eject a replica if it fails more than the rest of its group."""
        now = self._clock.monotonic()
        counts = ledger.outcomes
        rest = self._rest(ledger)
        windows = [
            counts.exact_totals(now=now, seconds=seconds)
            for seconds in _SHORT_WINDOWS_SECONDS
        ]
        windows.append(counts.totals(now=now))
        outliers = [own for own in windows if _is_outlier(own, rest)]
        if not outliers or not self._is_comparable(ledger, rest):
            self._waiting_since.pop(ledger.replica, None)
            return
        own = outliers[0]
        ejected, limit = self._ejected_and_limit(ledger.group)
        if ejected >= limit:
            self._waiting_since.pop(ledger.replica, None)
            self._log_limit(ledger, own, ejected=ejected, limit=limit)
            return
        if self._awaits_summary(ledger):
            return
        self._eject(
            ledger,
            f"{own.failed} of {own.ended} requests failed, of the rest "
            f"{rest.failed} of {rest.ended}",
        )

    def _log_limit(
        self,
        ledger: _ledger.ReplicaLedger,
        own: _outcome_counts.OutcomeTotals,
        *,
        ejected: int,
        limit: int,
    ) -> None:
        now = self._clock.monotonic()
        logged_at = self._limit_logged_at.get(ledger.replica, -math.inf)
        if now - logged_at < _LIMIT_LOG_SECONDS:
            return
        self._limit_logged_at[ledger.replica] = now
        _log.info(
            "{replica} is not ejected: {ejected} of at most {limit} are",
            replica=ledger.replica,
            ejected=ejected,
            limit=limit,
            failed=own.failed,
            ended=own.ended,
        )

    def _rest(
        self, ledger: _ledger.ReplicaLedger
    ) -> _outcome_counts.OutcomeTotals:
        """Return the outcomes of the group's other replicas."""
        now = self._clock.monotonic()
        failed, ended = self._group_limits.outcomes_of(ledger.group).totals(
            now=now
        )
        for other in self._group_limits.ledgers_of(ledger.group):
            if other is not ledger:
                own = other.outcomes.totals(now=now)
                failed += own.failed
                ended += own.ended
        return _outcome_counts.OutcomeTotals(failed, ended)

    def _is_comparable(
        self,
        ledger: _ledger.ReplicaLedger,
        rest: _outcome_counts.OutcomeTotals,
    ) -> bool:
        """Return whether failures are the replica's and older than reports.

        The reports of other owners cover only what happened some time ago.
        At that time the replica must already have failed more than they did.
        """
        now = self._clock.monotonic()
        if not ledger.outcomes.is_seen_by_several(now=now):
            return False
        if ledger.outcomes.is_of_one_chat(now=now):
            return False
        if not rest.failed:
            earlier = ledger.outcomes.totals(now=now, age=_MIN_TROUBLE_SECONDS)
            return earlier.failed > 0
        known = self._group_limits.outcomes_of(ledger.group)
        age = min(
            _outcome_counts.MAX_AGE_SECONDS,
            known.early_interval + _REPORT_SECONDS,
        )
        earlier = ledger.outcomes.totals(now=now, age=age)
        return (
            earlier.fraction >= _MIN_RATIO * rest.fraction
            and chance_of(earlier, rest) <= _MAX_EARLIER_PROBABILITY
        )

    def _awaits_summary(self, ledger: _ledger.ReplicaLedger) -> bool:
        """Return whether a newer reply of the collector is awaited."""
        now = self._clock.monotonic()
        known = self._group_limits.outcomes_of(ledger.group)
        since = self._waiting_since.setdefault(ledger.replica, now)
        is_fresh = known.received_at > since
        is_over = now - since >= _MAX_WAIT_SECONDS
        if is_fresh or is_over or not known.is_current(now=now):
            del self._waiting_since[ledger.replica]
            return False
        self._group_limits.request_report(
            ledger.group, earliest=known.reported_at + known.early_interval
        )
        return True

    def _ejected_and_limit(self, group: _ids.GroupName) -> tuple[int, int]:
        """Return how many replicas are ejected, and how many may be.

        The only replica of a group is never ejected.
        """
        ledgers = self._group_limits.ledgers_of(group)
        here = sum(ledger.outcomes.is_limited for ledger in ledgers)
        elsewhere = self._group_limits.outcomes_of(group).ejected
        replicas = len(self._targets.in_service(group))
        limit = max(1, replicas // _MAX_EJECTED_PART) if replicas > 1 else 0
        return here + max(0, elsewhere), limit

    def _revoke_excess(self, ledger: _ledger.ReplicaLedger) -> None:
        """Revoke an ejection if more replicas are ejected than may be.

        Owners that eject in the same moment do not know of each other. The
        replica's hash decides whether its ejection is one of the excess, so
        that about as many as are too many return, and none of the others.
        """
        ejected, limit = self._ejected_and_limit(ledger.group)
        if ejected <= limit:
            return
        seed = _ranking.chat_hash("ejection", ledger.replica)
        if seed / _HASHES >= (ejected - limit) / ejected:
            return
        ledger.outcomes.admit(now=self._clock.monotonic())
        _log.info(
            "{replica} returns: {ejected} of at most {limit} replicas are "
            "ejected",
            replica=ledger.replica,
            ejected=ejected,
            limit=limit,
        )

    def _eject(self, ledger: _ledger.ReplicaLedger, why: str) -> None:
        now = self._clock.monotonic()
        seconds = ledger.outcomes.eject(now=now)
        self.ejection_count += 1
        _log.warning(
            "{replica} is ejected for all daemons for {seconds:.0f} s: {why}",
            replica=ledger.replica,
            seconds=seconds,
            why=why,
            load=ledger.load,
        )
        for daemon in ledger.outcomes.recent_senders(now=now):
            self._notify(ledger, daemon)
        self._group_limits.request_report(ledger.group)

    def _notify(
        self, ledger: _ledger.ReplicaLedger, daemon: _ids.DaemonId
    ) -> None:
        message = messages.Ejected(
            replica=ledger.replica,
            incarnation=ledger.incarnation,
            seconds=ledger.outcomes.remaining(now=self._clock.monotonic()),
        )
        for callback in self._callbacks:
            callback(daemon, message)

    def backoff_of(self, ledger: _ledger.ReplicaLedger) -> float:
        """Return for how long an entry daemon is to send no requests."""
        now = self._clock.monotonic()
        counts = ledger.outcomes
        if counts.state(now=now) is _outcome_counts.EjectionState.EJECTED:
            return counts.remaining(now=now)
        if not counts.is_limited:
            return 0.0
        is_recent = now - counts.probe_allowed_at < _MAX_PROBE_SECONDS
        if is_recent and counts.probe in ledger.entry_by_key:
            return _PROBE_SECONDS
        counts.probe_allowed_at = now
        return 0.0

    def ejected_replicas(self) -> int:
        """Return how many owned replicas are ejected or on probation."""
        ledgers = self._group_limits.ledgers()
        return sum(ledger.outcomes.is_limited for ledger in ledgers)


def _chat_of(
    ledger: _ledger.ReplicaLedger, key: _slot_key.SlotKey | None
) -> _ids.ChatHash:
    """Return the chat of a held request, 0 if unknown."""
    entry = None if key is None else ledger.entry_by_key.get(key)
    return _ids.ChatHash(0) if entry is None else entry.chat


def _is_outlier(
    own: _outcome_counts.OutcomeTotals, rest: _outcome_counts.OutcomeTotals
) -> bool:
    if own.failed < _MIN_FAILURES or own.fraction < _MIN_FRACTION:
        return False
    if own.fraction < _MIN_RATIO * rest.fraction:
        return False
    return chance_of(own, rest) <= _MAX_PROBABILITY


def chance_of(
    own: _outcome_counts.OutcomeTotals, rest: _outcome_counts.OutcomeTotals
) -> float:
    """Return the probability of so many failures if it fails as the rest.

    The fraction of the rest is taken as slightly higher than measured
    (Laplace's rule of succession), as the rest may be few requests.
    """
    chance = (rest.failed + 1) / (max(rest.ended, _MIN_REST) + 2)
    return math.fsum(
        math.exp(
            math.lgamma(own.ended + 1)
            - math.lgamma(count + 1)
            - math.lgamma(own.ended - count + 1)
            + count * math.log(chance)
            + (own.ended - count) * math.log1p(-chance)
        )
        for count in range(own.failed, own.ended + 1)
    )
