"""Crash records sent from daemon to daemon, without the store.

The record of a crash goes to the two collectors of each of its suspects: the
daemons that rank first for it. So a collector receives all crashes that hit
one request, whichever daemons reported them, and a crash takes some dozen
messages instead of one to each daemon. Decisions of the collectors are rare
and go to all daemons.
"""

import base64
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import random
from typing import Any
from typing import Protocol
from typing import TypeGuard
from typing import final

import msgspec

from topazlug import _errors
from topazlug import _ids
from topazlug import _logs
from topazlug._generated import messages
from topazlug.crashes import _crash_records
from topazlug.crashes import _fingerprint
from topazlug.peers import _peers
from topazlug.routing import _ranking

_log = _logs.logger("crashes")
# Two, as one may have failed.
_COLLECTORS = 2
# Each recipient needs a stream, so larger fleets are split into groups. Two
# daemons of each group receive the message, as one may have failed, and pass
# it on to the rest of the group. In a fleet of 880 daemons each daemon sends
# at most 200 messages and receives each decision twice.
_MAX_RECIPIENTS = 200
_RECIPIENTS_PER_GROUP = 2
# The store may reject calls of the daemons that decide while it serves others,
# so some recipients write the decision as well. If the store rejects a third
# of the daemons, it rejects all four of these with a probability of 1/80.
_STAND_INS = 4
# Daemons that a new daemon asks, as one may have failed.
_ASKED = 3
# Records in one message. The record of a crash with 64 requests takes 4 KB.
_MAX_RECORDS = 64


class ReceiveRecords(Protocol):
    """Callback for records received from a peer."""

    def __call__(
        self, records: list[_crash_records.CrashRecord], *, stand_in: bool
    ) -> None:
        """Process records; `stand_in` is as in the message."""


class ReceiveHolds(Protocol):
    """Callback for holds received from a peer."""

    def __call__(self, holds: Sequence[messages.RequestHold]) -> None:
        """Process holds."""


@final
class RecordDistributor:
    """Sends crash records to other daemons and receives theirs.

    Parameters
    ----------
    daemon : DaemonId
        This daemon.
    links : PeerLinks
        Streams to peers.
    daemons : callable
        Returns the daemons of the fleet by their ids.
    on_records : ReceiveRecords
        Called with records that a peer has sent.
    on_holds : ReceiveHolds
        Called with holds that a peer has sent.
    unshared : callable
        Returns the records of this daemon that are not in the table.
    """

    def __init__(
        self,
        *,
        daemon: _ids.DaemonId,
        links: _peers.PeerLinks,
        daemons: Callable[[], Mapping[_ids.DaemonId, Any]],
        on_records: ReceiveRecords,
        on_holds: ReceiveHolds,
        unshared: Callable[[], list[_crash_records.CrashRecord]],
    ) -> None:
        self._unshared = unshared
        self._daemon = daemon
        self._links = links
        self._daemons = daemons
        self._on_records = on_records
        self._on_holds = on_holds
        links.handle(messages.CrashNotes, self._on_message)

    def send(self, records: Iterable[_crash_records.CrashRecord]) -> None:
        """Send crashes to their collectors and decisions to all daemons."""
        decisions = []
        records_by_daemon: dict[
            _ids.DaemonId, list[_crash_records.CrashRecord]
        ] = {}
        for record in records:
            if _is_clearance_of_part(record):
                # Only the collectors decide on it, and most daemons answer
                # requests with a common part.
                for daemon in self.collectors_of(record.fingerprint):
                    records_by_daemon.setdefault(daemon, []).append(record)
                continue
            if not isinstance(record, _crash_records.Crash):
                decisions.append(record)
                continue
            suspects = [suspect.fingerprint for suspect in record.suspects]
            for daemon in self.collectors_of(*suspects, *record.parts):
                records_by_daemon.setdefault(daemon, []).append(record)
        for daemon, batch in records_by_daemon.items():
            if daemon != self._daemon:
                self._send(
                    daemon, messages.CrashNotes(rows=_encode_rows(batch))
                )
        if decisions:
            self._broadcast(messages.CrashNotes(rows=_encode_rows(decisions)))

    def ask(self) -> None:
        """Ask some daemons for records that are not in the table.

        A daemon that has just started would otherwise run what is blocked
        until the daemons that blocked it have written that.
        """
        others = [
            daemon for daemon in self._daemons() if daemon != self._daemon
        ]
        for daemon in random.sample(others, min(_ASKED, len(others))):
            self._send(daemon, messages.CrashNotes(rows=[], asks=True))

    def send_hold(self, fingerprint: _ids.Fingerprint, crashes: int) -> None:
        """Have all daemons hold back a request, if this is a collector of it.

        Parameters
        ----------
        fingerprint : Fingerprint
            The request.
        crashes : int
            Number of crashes that count against it.
        """
        if self._daemon not in self.collectors_of(fingerprint):
            return
        hold = messages.RequestHold(fingerprint=fingerprint, crashes=crashes)
        self._broadcast(messages.CrashNotes(rows=[], holds=[hold]))

    def rank_of(self, fingerprint: _ids.Fingerprint) -> int:
        """Return this daemon's rank for a fingerprint, 0 for the first."""
        daemons = {*self._daemons(), self._daemon}
        ranked = _ranking.rank(
            sorted(daemons), _seed_of(fingerprint), count=len(daemons)
        )
        return ranked.index(self._daemon)

    def collectors_of(
        self, *fingerprints: _ids.Fingerprint
    ) -> set[_ids.DaemonId]:
        """Return the daemons that receive the crashes of some requests."""
        daemons = list(self._daemons())
        return {
            _ids.DaemonId(name)
            for fingerprint in fingerprints
            for name in _ranking.rank(
                daemons,
                _seed_of(fingerprint),
                count=_COLLECTORS,
            )
        }

    def _broadcast(self, message: messages.CrashNotes) -> None:
        others = [
            daemon for daemon in self._daemons() if daemon != self._daemon
        ]
        random.shuffle(others)
        stand_ins = others[:_STAND_INS]
        for daemon, rest in _relay_plan(others):
            self._send(
                daemon,
                msgspec.structs.replace(
                    message, pass_on=[*rest], stand_in=daemon in stand_ins
                ),
            )

    def _send(
        self, daemon: _ids.DaemonId, message: messages.CrashNotes
    ) -> None:
        """Send a message to one daemon; log it if that is unreachable."""
        try:
            self._links.send(daemon, message)
        except _errors.PeerUnreachable as error:
            _log.info(
                "sending crash records to {daemon} failed: {why}",
                daemon=daemon,
                why=error.message,
            )

    def _on_message(
        self, sender: _ids.DaemonId, message: Any, reply: _peers.Reply
    ) -> None:
        records = []
        rows = message.rows[:_MAX_RECORDS]
        for row in rows:
            try:
                data = base64.b64decode(row.data, validate=True)
                records.append(_crash_records.decode(row.key, data))
            except ValueError as error:
                _log.warning(
                    "skipping invalid crash record from {sender}: {why}",
                    sender=sender,
                    why=str(error),
                )
        if records:
            self._on_records(records, stand_in=message.stand_in)
        unshared = self._unshared() if message.asks else []
        if unshared:
            self._send(
                sender, messages.CrashNotes(rows=_encode_rows(unshared))
            )
        holds = message.holds[:_MAX_RECORDS]
        if holds:
            self._on_holds(holds)
        for daemon in message.pass_on[:_MAX_RECIPIENTS]:
            self._send(
                _ids.DaemonId(daemon),
                messages.CrashNotes(rows=rows, holds=holds),
            )


def _is_clearance_of_part(
    record: _crash_records.CrashRecord,
) -> TypeGuard[_crash_records.Answered]:
    return isinstance(
        record, _crash_records.Answered
    ) and _fingerprint.is_part(record.fingerprint)


def _seed_of(fingerprint: _ids.Fingerprint) -> _ids.ChatHash:
    return _ranking.chat_hash("crashes", fingerprint)


def _relay_plan(
    daemons: Sequence[_ids.DaemonId],
) -> Iterator[tuple[_ids.DaemonId, list[_ids.DaemonId]]]:
    """Yield each direct recipient with those that it passes rows on to."""
    is_small = len(daemons) <= _MAX_RECIPIENTS
    groups = (
        len(daemons) if is_small else _MAX_RECIPIENTS // _RECIPIENTS_PER_GROUP
    )
    for number in range(groups):
        group = daemons[number::groups]
        for first in group[:_RECIPIENTS_PER_GROUP]:
            yield first, [daemon for daemon in group if daemon != first]


def _encode_rows(
    records: Sequence[_crash_records.CrashRecord],
) -> list[messages.TableRow]:
    return [_encode_row(record) for record in records[-_MAX_RECORDS:]]


def _encode_row(record: _crash_records.CrashRecord) -> messages.TableRow:
    data = base64.b64encode(_crash_records.encode(record)).decode()
    return messages.TableRow(key=_crash_records.record_key(record), data=data)
