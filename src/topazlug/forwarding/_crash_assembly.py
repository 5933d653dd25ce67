"""Builds the crash guard and connects it to the store and to peers."""

from collections.abc import Callable
from collections.abc import Mapping
from typing import Any
from typing import final

from topazlug import _clock
from topazlug import _ids
from topazlug.crashes import _crash_guard
from topazlug.crashes import _crash_records
from topazlug.crashes import _record_distributor
from topazlug.crashes import _record_writer
from topazlug.fleet import _row_reader
from topazlug.fleet import _table_feed
from topazlug.fleet import _table_source
from topazlug.peers import _peers
from topazlug.targets import _target_runs
from topazlug.targets import _targets

TABLE = _crash_records.TABLE
# The table has few rows, which are written together. A daemon that reads them
# late may lose one more replica, because a caller may repeat its request after
# 0.1 s. While the store is unavailable, daemons send the records to each
# other, so the store's return need not be detected at once. With the pace of
# the other tables, a day with a store outage of 10 s cost 470 of 1,577 calls
# (nine daemons).
PACE = _table_feed.Pace(min_interval=0.05, max_pause=1.0)


@final
class CrashAssembly:
    """The crash guard with the storage and distribution of its records.

    Parameters
    ----------
    daemon : DaemonId
        This daemon.
    runs : RunTracker
        Tracks which requests run on which replica.
    targets : TargetDirectory
        Known targets.
    new_store : callable
        Returns a new client of the store with connections of its own.
    daemons : callable
        Returns the daemons of the fleet by their ids.
    rejects : bool
        Whether requests that crash replicas are rejected.
    clock : Clock
        Clock of the daemon.

    Attributes
    ----------
    guard : CrashGuard
        Detects and rejects requests that crash replicas.
    """

    def __init__(
        self,
        *,
        daemon: _ids.DaemonId,
        runs: _target_runs.RunTracker,
        targets: _targets.TargetDirectory,
        new_store: Callable[[], _table_source.TableStore],
        daemons: Callable[[], Mapping[_ids.DaemonId, Any]],
        rejects: bool,
        clock: _clock.Clock,
    ) -> None:
        self._daemon = daemon
        self._daemons = daemons
        self.guard = _crash_guard.CrashGuard(
            daemon=daemon,
            runs=runs,
            targets=targets,
            rejects=rejects,
            fleet_size=lambda: len(daemons()),
            clock=clock,
        )
        self._distributor: _record_distributor.RecordDistributor | None = None
        self._store = new_store()
        self._writer = _record_writer.RecordWriter(
            write=self._write, notify=self._distribute, clock=clock
        )
        self.guard.publisher = self._writer
        self._reader = _row_reader.RowReader(
            name=TABLE, decode=_crash_records.decode, clock=clock
        )

    def _write(
        self,
        records: list[_crash_records.CrashRecord],
        deleted_keys: list[str],
    ) -> None:
        rows = [
            _table_source.Row(
                _crash_records.record_key(record),
                _crash_records.encode(record),
            )
            for record in records
        ]
        rows += [_table_source.Row(key, deleted=True) for key in deleted_keys]
        self._store.write(TABLE, rows)

    def update_rows(self, data_by_key: dict[str, bytes]) -> None:
        """Apply the crash records in the rows of `TABLE`."""
        self.guard.set_shared_records(self._reader.read(data_by_key))

    def _distribute(self, records: list[_crash_records.CrashRecord]) -> None:
        if self._distributor is not None:
            self._distributor.send(records)

    def join(self, links: _peers.PeerLinks) -> None:
        """Start exchanging crash records with peers."""
        self._distributor = _record_distributor.RecordDistributor(
            daemon=self._daemon,
            links=links,
            daemons=self._daemons,
            on_records=self.guard.add_peer_records,
            on_holds=self.guard.add_peer_holds,
            unshared=self.guard.unshared_records,
        )
        self._distributor.ask()
        self.guard.announce_hold = self._distributor.send_hold
        self.guard.trials.rank_of = self._distributor.rank_of

    def tasks(self) -> list[Callable[[], None]]:
        """Return the tasks that run as long as the daemon does."""
        return [self.guard.run, self._writer.run]
