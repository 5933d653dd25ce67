"""Writes the records of versions while the versions of a group change."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import random
from typing import Any
from typing import final

from gevent import event

from topazlug import _clock
from topazlug import _errors
from topazlug import _ids
from topazlug import _logs
from topazlug.routing import _ranking
from topazlug.versions import _group_versions
from topazlug.versions import _version_records

_log = _logs.logger("versions")
# All daemons see a new version at about the same time. Each waits this much
# longer than the one that ranks before it, and writes only if the record has
# not appeared by then. An answer of the store takes some milliseconds.
_SECONDS_PER_RANK = 0.25
# Time in which the table shows what was written. It is written again after it.
_REPEAT_SECONDS = 1.0
_INITIAL_BACKOFF_SECONDS = 0.1
_MAX_BACKOFF_SECONDS = 1.0
# The store allows 100 rows in a call.
_MAX_ROWS_PER_CALL = 90

# Writes records, or removes rows by their keys, in one call; raises
# StoreUnavailable or StoreAmbiguous.
WriteRows = Callable[
    [Sequence[_version_records.VersionRecord], Sequence[str]], None
]


@final
class VersionRecorder:
    """Keeps the records of versions complete, together with other daemons.

    Parameters
    ----------
    daemon : DaemonId
        This daemon.
    daemons : callable
        Returns all known daemons by their ids.
    groups : GroupVersions
        Versions of each group.
    write : callable
        Writes and removes rows; see `WriteRows`.
    clock : Clock
        Time.
    """

    def __init__(
        self,
        *,
        daemon: _ids.DaemonId,
        daemons: Callable[[], Mapping[_ids.DaemonId, Any]],
        groups: _group_versions.GroupVersions,
        write: WriteRows,
        clock: _clock.Clock,
    ) -> None:
        self._daemon = daemon
        self._daemons = daemons
        self._groups = groups
        self._write = write
        self._clock = clock
        self._changed = event.Event()
        # When this daemon writes or removes a record, by the key of its row.
        self._due_by_key: dict[str, float] = {}

    def notify(self) -> None:
        """Check the records; called after each change of the versions."""
        self._changed.set()

    def run(self) -> None:
        """Write and remove records, forever."""
        backoff = _INITIAL_BACKOFF_SECONDS
        pause: float | None = None
        while True:
            self._changed.wait(pause)
            self._changed.clear()
            try:
                pause = self.write_due()
                backoff = _INITIAL_BACKOFF_SECONDS
            except (
                _errors.StoreUnavailable,
                _errors.StoreAmbiguous,
            ) as error:
                _log.warning(
                    "writing the records of versions failed, retrying: {why}",
                    why=error.message,
                )
                self._clock.sleep(random.uniform(backoff / 2, backoff))
                backoff = min(_MAX_BACKOFF_SECONDS, 2 * backoff)
                pause = 0.0

    def write_due(self) -> float | None:
        """Write and remove what is due.

        Returns
        -------
        float or None
            Seconds until more may be due, None if nothing will be.

        Raises
        ------
        StoreUnavailable, StoreAmbiguous
            The store did not accept it.
        """
        now = self._clock.monotonic()
        missing = self._groups.unrecorded()
        obsolete = self._groups.obsolete_in()
        wait_by_key = {
            _version_records.record_key(one): 0.0 for one in missing
        }
        for record, wait in obsolete:
            wait_by_key[_version_records.record_key(record)] = wait
        self._due_by_key = {
            key: self._due(key, now, wait) for key, wait in wait_by_key.items()
        }
        due_keys = {key for key, at in self._due_by_key.items() if at <= now}
        self._write_missing(
            [
                one
                for one in missing
                if _version_records.record_key(one) in due_keys
            ]
        )
        self._remove_obsolete(
            [
                record
                for record, _ in obsolete
                if _version_records.record_key(record) in due_keys
            ]
        )
        for key in due_keys:
            self._due_by_key[key] = now + _REPEAT_SECONDS
        return min(self._due_by_key.values()) - now if wait_by_key else None

    def _due(self, key: str, now: float, wait: float) -> float:
        """Return when this daemon writes or removes a row."""
        if wait > 0:
            return now + wait + self._rank_seconds(key)
        known = self._due_by_key.get(key)
        return now + self._rank_seconds(key) if known is None else known

    def _rank_seconds(self, key: str) -> float:
        daemons = self._daemons()
        ranked = _ranking.rank(
            daemons, _ranking.chat_hash(key), count=len(daemons)
        )
        if self._daemon not in ranked:
            return 0.0
        return ranked.index(self._daemon) * _SECONDS_PER_RANK

    def _write_missing(
        self, records: list[_version_records.VersionRecord]
    ) -> None:
        if not records:
            return
        self._write(records[:_MAX_ROWS_PER_CALL], ())
        _log.info(
            "recorded {n} new software versions",
            n=len(records),
            versions=[f"{one.group} {one.version}" for one in records],
        )

    def _remove_obsolete(
        self, records: list[_version_records.VersionRecord]
    ) -> None:
        if not records:
            return
        keys = [_version_records.record_key(one) for one in records]
        self._write((), keys[:_MAX_ROWS_PER_CALL])
        _log.info(
            "removed the records of {n} software versions that have left",
            n=len(records),
            versions=[f"{one.group} {one.version}" for one in records],
        )
