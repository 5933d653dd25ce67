"""Builds the tracking of software versions and connects it to the store."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any
from typing import final

from topazlug import _clock
from topazlug import _ids
from topazlug.crashes import _crash_records
from topazlug.fleet import _copy_state
from topazlug.fleet import _row_reader
from topazlug.fleet import _table_source
from topazlug.targets import _target
from topazlug.versions import _group_versions
from topazlug.versions import _stream_versions
from topazlug.versions import _version_recorder
from topazlug.versions import _version_records

# The records share the table of the crash records, as a table of their own
# would cost each daemon as many calls again.
TABLE = _crash_records.TABLE


@final
class VersionAssembly:
    """The versions of streams with the storage of what the fleet must keep.

    Parameters
    ----------
    daemon : DaemonId
        This daemon.
    daemons : callable
        Returns the daemons of the fleet by their ids.
    new_store : callable
        Returns a new client of the store with connections of its own.
    list_state : callable
        Returns how up to date the list of replicas is.
    max_list_age : float
        Age in seconds up to which a list is up to date.
    first_start : bool
        Whether the whole system starts for the first time.
    clock : Clock
        Clock of the daemon.

    Attributes
    ----------
    streams : StreamVersions
        Remembers where streams began, and finds out where others did.
    record_state : callable
        Returns how up to date the rows of `TABLE` are.
    """

    def __init__(
        self,
        *,
        daemon: _ids.DaemonId,
        daemons: Callable[[], Mapping[_ids.DaemonId, Any]],
        new_store: Callable[[], _table_source.TableStore],
        list_state: Callable[[], _copy_state.CopyState],
        max_list_age: float,
        first_start: bool,
        clock: _clock.Clock,
    ) -> None:
        self.record_state: Callable[[], _copy_state.CopyState]
        self.record_state = _copy_state.CopyState
        groups = _group_versions.GroupVersions(
            clock=clock,
            list_state=list_state,
            record_state=lambda: self.record_state(),
            max_list_age=max_list_age,
            first_start=first_start,
        )
        self.streams = _stream_versions.StreamVersions(
            daemon=daemon, daemons=daemons, groups=groups, clock=clock
        )
        self._store = new_store()
        self._recorder = _version_recorder.VersionRecorder(
            daemon=daemon,
            daemons=daemons,
            groups=groups,
            write=self._write,
            clock=clock,
        )
        self._reader = _row_reader.RowReader(
            name=TABLE, decode=_version_records.decode, clock=clock
        )

    def update_targets(
        self,
        before: Mapping[_ids.ReplicaId, _target.Target],
        targets: Iterable[_target.Target],
    ) -> None:
        """Apply a list of replicas."""
        self.streams.update_targets(before, targets)
        self._recorder.notify()

    def update_rows(self, data_by_key: Mapping[str, bytes]) -> None:
        """Apply the rows with records of versions."""
        self.streams.update_records(self._reader.read(data_by_key))
        self._recorder.notify()

    def _write(
        self,
        records: Sequence[_version_records.VersionRecord],
        removed_keys: Sequence[str],
    ) -> None:
        rows = [
            _table_source.Row(
                _version_records.record_key(record),
                _version_records.encode(record),
            )
            for record in records
        ]
        rows += [_table_source.Row(key, deleted=True) for key in removed_keys]
        self._store.write(TABLE, rows)

    def tasks(self) -> list[Callable[[], None]]:
        """Return the tasks that run as long as the daemon does."""
        return [self._recorder.run]
