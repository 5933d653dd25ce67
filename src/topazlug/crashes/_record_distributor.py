"""Notes from daemon to daemon, where they can't be written for all.

A note of a crash goes to the two daemons that come first for each of its
suspects. They hear of all crashes under one request, whichever daemons saw
them, and a crash takes some dozen messages instead of one to each daemon.
What they decide is rare, and all daemons are told.
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
from typing import final

from topazlug import _errors
from topazlug import _ids
from topazlug import _logs
from topazlug._generated import messages
from topazlug.crashes import _crash_records
from topazlug.peers import _peers
from topazlug.routing import _ranking

_log = _logs.logger("crashes")
# One may be gone.
_COLLECTORS = 2
# Each takes a stream. In larger fleets two of each group are told, as one may
# be gone, and pass it on to all of it: of 880 daemons each sends 200 messages
# at most and gets each decision twice.
_MAX_RECIPIENTS = 200
_RECIPIENTS_PER_GROUP = 2
# The store may turn away those that decide, and serve others. Where it turns
# away a third of the daemons, all of four with a chance of one in eighty.
_STAND_INS = 4
# What one message may hold: a crash of a replica with 64 requests takes 4 KB.
_MAX_RECORDS = 64


class ReceiveRecords(Protocol):
    """Gets notes that were told."""

    def __call__(
        self, records: list[_crash_records.CrashRecord], *, stand_in: bool
    ) -> None:
        """Take notes; `stand_in` as in the message."""


@final
class RecordDistributor:
    """Tells other daemons notes, and takes theirs.

    Parameters
    ----------
    daemon : DaemonId
        This daemon.
    links : PeerLinks
        Streams to peers.
    daemons : callable
        Gives the daemons of the fleet by their ids.
    on_records : Take
        Gets notes that were told.
    """

    def __init__(
        self,
        *,
        daemon: _ids.DaemonId,
        links: _peers.PeerLinks,
        daemons: Callable[[], Mapping[_ids.DaemonId, Any]],
        on_records: ReceiveRecords,
    ) -> None:
        self._daemon = daemon
        self._links = links
        self._daemons = daemons
        self._on_records = on_records
        links.handle(messages.CrashNotes, self._on_message)

    def send(self, records: Iterable[_crash_records.CrashRecord]) -> None:
        """Tell notes to who should hear of them."""
        decisions = []
        records_by_daemon: dict[
            _ids.DaemonId, list[_crash_records.CrashRecord]
        ] = {}
        for record in records:
            if not isinstance(record, _crash_records.Crash):
                decisions.append(record)
                continue
            for daemon in self._collectors_of(record):
                records_by_daemon.setdefault(daemon, []).append(record)
        for daemon, batch in records_by_daemon.items():
            if daemon != self._daemon:
                self._send(daemon, _encode_rows(batch))
        if decisions:
            self._broadcast(_encode_rows(decisions))

    def _collectors_of(
        self, crash: _crash_records.Crash
    ) -> set[_ids.DaemonId]:
        daemons = list(self._daemons())
        return {
            _ids.DaemonId(name)
            for suspect in crash.suspects
            for name in _ranking.rank(
                daemons,
                _ranking.chat_hash("crashes", suspect.fingerprint),
                count=_COLLECTORS,
            )
        }

    def _broadcast(self, rows: list[messages.TableRow]) -> None:
        others = [one for one in self._daemons() if one != self._daemon]
        random.shuffle(others)
        stand_ins = others[:_STAND_INS]
        for daemon, rest in _relay_plan(others):
            self._send(
                daemon, rows, pass_on=rest, stand_in=daemon in stand_ins
            )

    def _send(
        self,
        daemon: _ids.DaemonId,
        rows: list[messages.TableRow],
        *,
        pass_on: Sequence[_ids.DaemonId] = (),
        stand_in: bool = False,
    ) -> None:
        """Send rows to one daemon, if it can be reached."""
        message = messages.CrashNotes(
            rows=rows, pass_on=[*pass_on], stand_in=stand_in
        )
        try:
            self._links.send(daemon, message)
        except _errors.PeerUnreachable as error:
            _log.info(
                "{daemon} was not told of crashes: {why}",
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
                    "a note of {sender} can't be read: {why}",
                    sender=sender,
                    why=str(error),
                )
        self._on_records(records, stand_in=message.stand_in)
        for daemon in message.pass_on[:_MAX_RECIPIENTS]:
            self._send(_ids.DaemonId(daemon), rows)


def _relay_plan(
    daemons: Sequence[_ids.DaemonId],
) -> Iterator[tuple[_ids.DaemonId, list[_ids.DaemonId]]]:
    """Give whom to tell, and to whom each of these passes it on."""
    is_small = len(daemons) <= _MAX_RECIPIENTS
    groups = (
        len(daemons) if is_small else _MAX_RECIPIENTS // _RECIPIENTS_PER_GROUP
    )
    for number in range(groups):
        group = daemons[number::groups]
        for first in group[:_RECIPIENTS_PER_GROUP]:
            yield first, [one for one in group if one != first]


def _encode_rows(
    records: Sequence[_crash_records.CrashRecord],
) -> list[messages.TableRow]:
    return [_encode_row(record) for record in records[-_MAX_RECORDS:]]


def _encode_row(record: _crash_records.CrashRecord) -> messages.TableRow:
    data = base64.b64encode(_crash_records.encode(record)).decode()
    return messages.TableRow(key=_crash_records.record_key(record), data=data)
