"""The owner role's endpoint: message handlers and periodic messages."""

from collections.abc import Callable
from collections.abc import Mapping
from typing import Any
from typing import final

import gevent

from topazlug import _clock
from topazlug import _errors
from topazlug import _ids
from topazlug import _logs
from topazlug._generated import messages
from topazlug._generated import settings as _settings_types
from topazlug.peers import _peers
from topazlug.routing import _group_load
from topazlug.routing import _held_placements
from topazlug.routing import _owner
from topazlug.routing import _ownership

_log = _logs.logger("owner")
_REPORT_TIMEOUT = 0.3
_RETRY_SECONDS = 0.2
# A daemon that sent nothing for this many renewal intervals is assumed dead.
_MAX_MISSED_RENEWALS = 2.5
# A collector that did not reply is skipped for this long, and the next daemon
# in the ranking collects instead. Shorter than the three seconds after which
# a total is stale.
_COLLECTOR_SKIP_SECONDS = 2.0
_HANDOVER_ENTRIES = 500
_RENEW_BYTES = 150
_RENEW_BYTES_PER_SECOND = 2048


@final
class OwnerEndpoint:
    """Connects an `Owner` to the peers.

    Parameters
    ----------
    daemon : DaemonId
        This daemon.
    owner : Owner
        Owner role of this daemon.
    held_placements : HeldPlacements
        Placements that this daemon holds with owners.
    links : PeerLinks
        Connections to peers.
    usable : callable
        Returns the usable daemons by id.
    routing : RoutingSettings
        Intervals of renewals and load reports.
    clock : Clock
        Source of time.
    """

    def __init__(
        self,
        *,
        daemon: _ids.DaemonId,
        owner: _owner.Owner,
        held_placements: _held_placements.HeldPlacements,
        links: _peers.PeerLinks,
        usable: Callable[[], Mapping[_ids.DaemonId, Any]],
        routing: _settings_types.RoutingSettings,
        clock: _clock.Clock,
    ) -> None:
        self._daemon = daemon
        self._owner = owner
        self._held_placements = held_placements
        self._links = links
        self._usable = usable
        self._routing = routing
        self._clock = clock
        self._collector = _group_load.LoadCollector(
            clock=clock, interval=routing.load_interval
        )
        self._groups_awaiting_reply: set[str] = set()
        self._skip_until: dict[_ids.DaemonId, float] = {}

    def register(self) -> None:
        """Register the handlers of peers' messages."""
        links = self._links
        links.handle(messages.AdmitAsk, self._on_admit_ask)
        links.handle(messages.EngineWord, self._on_engine_word)
        links.handle(messages.TurnedAway, self._on_turned_away)
        links.handle(messages.Unreached, self._on_unreached)
        links.handle(messages.Backoff, self._on_backoff)
        links.handle(messages.Release, self._on_release)
        links.handle(messages.Outcomes, self._on_outcomes)
        links.handle(messages.Renew, self._on_renew)
        links.handle(messages.Displaced, self._on_displaced)
        links.handle(messages.DisplacedBatch, self._on_displaced_batch)
        links.handle(messages.LoadReport, self._on_load_report)

    def _on_admit_ask(
        self, sender: _ids.DaemonId, ask: Any, reply: _peers.Reply
    ) -> None:
        self._owner.handle_admission_request(sender, ask, reply)

    def _on_engine_word(
        self, sender: _ids.DaemonId, message: Any, reply: _peers.Reply
    ) -> None:
        self._owner.record_response_head(sender, message)

    def _on_turned_away(
        self, sender: _ids.DaemonId, message: Any, reply: _peers.Reply
    ) -> None:
        self._owner.record_rejection(message)

    def _on_unreached(
        self, sender: _ids.DaemonId, message: Any, reply: _peers.Reply
    ) -> None:
        self._owner.record_connection_failure(message)

    def _on_backoff(
        self, sender: _ids.DaemonId, message: Any, reply: _peers.Reply
    ) -> None:
        self._owner.record_backoff(sender, message)

    def _on_release(
        self, sender: _ids.DaemonId, message: Any, reply: _peers.Reply
    ) -> None:
        self._owner.release(sender, message)

    def _on_outcomes(
        self, sender: _ids.DaemonId, message: Any, reply: _peers.Reply
    ) -> None:
        self._owner.record_outcomes(sender, message)

    def _on_renew(
        self, sender: _ids.DaemonId, message: Any, reply: _peers.Reply
    ) -> None:
        self._owner.renew(sender, message)
        reply(messages.Ack())

    def _on_displaced(
        self, sender: _ids.DaemonId, message: Any, reply: _peers.Reply
    ) -> None:
        self._owner.displaced.record(message)

    def _on_displaced_batch(
        self, sender: _ids.DaemonId, message: Any, reply: _peers.Reply
    ) -> None:
        if message.recovered:
            self._owner.recoveries.record_displaced(message.entries)
            return
        for entry in message.entries:
            self._owner.displaced.record(entry)

    def _on_load_report(
        self, sender: _ids.DaemonId, message: Any, reply: _peers.Reply
    ) -> None:
        reply(self._collector.add_report(sender, message))

    def on_transfer(self, transfers: list[_ownership.Transfer]) -> None:
        """Apply ownership changes: send displaced chats, then renew."""
        handover = self._owner.apply_transfers(transfers)
        for after, entries in handover.items():
            self._hand_over(after, entries)
        gained = {t.after for t in transfers if t.after is not None}
        lost = {t.before for t in transfers if t.before is not None}
        self._held_placements.renew(gained | lost)

    def _hand_over(
        self, after: _ids.DaemonId, entries: list[messages.Displaced]
    ) -> None:
        for start in range(0, len(entries), _HANDOVER_ENTRIES):
            batch = entries[start : start + _HANDOVER_ENTRIES]
            try:
                self._links.send(after, messages.DisplacedBatch(entries=batch))
            except _errors.PeerUnreachable:
                _log.warning(
                    "displaced chats lost, new owner {to} is unreachable",
                    to=after,
                )
                return

    def renew_forever(self) -> None:
        """Renew this daemon's placements with their owners periodically.

        The interval grows with the number of owners. With 500 owners, one
        renewal per second would take 75 KB/s, and the budget for all control
        traffic is 28 KB/s.
        """
        owners = 0
        while True:
            self._clock.sleep(self._renew_seconds(owners))
            owners = self._held_placements.renew()

    def _renew_seconds(self, owners: int) -> float:
        min_interval = owners * _RENEW_BYTES / _RENEW_BYTES_PER_SECOND
        return max(self._routing.renew_interval, min_interval)

    def drop_unresponsive(self, owners: int) -> None:
        """Release the placements of daemons that missed their renewals.

        Parameters
        ----------
        owners : int
            Number of daemons that own replicas. The renewal interval grows
            with it.
        """
        max_silence = _MAX_MISSED_RENEWALS * self._renew_seconds(owners)
        self._owner.drop_unresponsive(max_silence=max_silence)

    def report_forever(self) -> None:
        """Send due load reports of the owned replicas to collectors."""
        while True:
            self.report()
            self._clock.sleep(self._routing.load_interval)

    @property
    def is_reporting(self) -> bool:
        """Whether a report awaits its reply."""
        return bool(self._groups_awaiting_reply)

    def report(self) -> None:
        """Send the load reports that are due now."""
        for report in self._owner.group_limits.due_reports():
            if report.group not in self._groups_awaiting_reply:
                self._groups_awaiting_reply.add(report.group)
                gevent.spawn(self._report, report)

    def _report(self, report: messages.LoadReport) -> None:
        group = _ids.GroupName(report.group)
        try:
            summary = self._exchange(group, report)
        finally:
            self._groups_awaiting_reply.discard(report.group)
        if summary is not None:
            self._owner.apply_summary(summary, report)

    def _exchange(
        self, group: _ids.GroupName, report: messages.LoadReport
    ) -> messages.LoadSummary | None:
        collector = _group_load.collector_of(group, self._responsive_daemons())
        if collector is None:
            return None
        if collector == self._daemon:
            return self._collector.add_report(self._daemon, report)
        try:
            reply = self._links.call(
                collector, report, timeout=_REPORT_TIMEOUT
            )
        except _errors.PeerUnreachable:
            until = self._clock.monotonic() + _COLLECTOR_SKIP_SECONDS
            self._skip_until[collector] = until
            _log.info(
                "no reply from collector {collector} of {group}, skipping it",
                group=group,
                collector=collector,
                seconds=_COLLECTOR_SKIP_SECONDS,
            )
            self._clock.sleep(_RETRY_SECONDS)
            return None
        return reply if isinstance(reply, messages.LoadSummary) else None

    def _responsive_daemons(self) -> list[_ids.DaemonId]:
        """Return the usable daemons except collectors that did not reply.

        An unreachable daemon stays usable until membership reports it dead.
        Without a total, an owner estimates the group's mean from its own
        replicas. An owner of a single replica would then apply no bound, and
        fill that replica while others are idle.
        """
        now = self._clock.monotonic()
        return [
            daemon
            for daemon in self._usable()
            if now >= self._skip_until.get(daemon, 0.0)
        ]
