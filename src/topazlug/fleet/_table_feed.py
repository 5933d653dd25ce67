"""Keeps a copy of one table of the platform's store up to date."""

from collections.abc import Callable
import math
import random
from typing import final

import gevent
from gevent import event
import msgspec

from topazlug import _clock
from topazlug import _errors
from topazlug import _logs
from topazlug.fleet import _copy_state
from topazlug.fleet import _table_copy
from topazlug.fleet import _table_source

_log = _logs.logger("store")
# Pause before the first retry; it doubles up to `Pace.max_pause`. Pauses are
# short because the configuration is out of date while the store is lost, and
# random because all daemons lose it at the same moment.
_FIRST_RETRY_SECONDS = 0.1
# If this copy is newer by this much than that of a waiting daemon, the daemon
# is answered at once. Otherwise ages would add up along a chain of daemons.
_MIN_AGE_GAIN_SECONDS = 0.5
_DEFAULT_VALIDITY_SECONDS = 2.5
_DEFAULT_MAX_GAP_SECONDS = 4.0


@final
class Pace(msgspec.Struct, frozen=True):
    """How often a table is read.

    Attributes
    ----------
    min_interval : float
        Minimum seconds between the starts of two calls. Replicas of a new
        fleet register one after the other, and without this interval each
        call would return only one of them: 81 daemons that started together
        made 1,400 calls. The default is a tenth of the shortest time in which
        changes must be in force.
    max_pause : float
        Maximum pause in seconds between two attempts. The return of the
        store must be detected within a second: entries that expired during
        an outage are kept for two more seconds, and the bounds apply again
        three seconds after the outage. An attempt without an answer takes
        0.6 s.
    """

    min_interval: float = 0.2
    max_pause: float = 0.25


DEFAULT_PACE = Pace()


class TableListener:
    """Callbacks for the changes of a table.

    Attributes
    ----------
    changed : callable
        Called with the data by key after each change.
    recovered : callable
        Called when the store answers again after a loss, before `changed`.
        Its argument is the seconds since the start of the last failed call:
        the store may have been available for that long.
    """

    def __init__(
        self,
        *,
        changed: Callable[[dict[str, bytes]], None],
        recovered: Callable[[float], None] | None = None,
    ) -> None:
        self.changed = changed
        self.recovered = recovered


@final
class TableFeed:
    """Keeps a complete copy of one table that never returns to older rows.

    Parameters
    ----------
    source : RelayedSource
        Source of the table.
    table : str
        Its name.
    wait : callable
        Returns for how many seconds one call waits for changes.
    listener : TableListener
        Callbacks for changes.
    clock : Clock
        Source of time.
    pace : Pace
        How often the table is read.
    validity : float
        Seconds after the last answer of the store, direct or relayed, for
        which other daemons may use this copy. Without this limit a call that
        the store never answers would look to them as if nothing had changed.
    max_gap : float
        Seconds between two answers of the store that count as a gap.
    """

    def __init__(
        self,
        *,
        source: _table_source.RelayedSource,
        table: str,
        wait: Callable[[], float],
        listener: TableListener,
        clock: _clock.Clock,
        pace: Pace = DEFAULT_PACE,
        validity: float = _DEFAULT_VALIDITY_SECONDS,
        max_gap: float = _DEFAULT_MAX_GAP_SECONDS,
    ) -> None:
        self._source = source
        self._validity = validity
        self._max_gap = max_gap
        self._catching_up: gevent.Greenlet | None = None
        self._pace = pace
        self.table = table
        self._wait = wait
        self._listener = listener
        self._clock = clock
        self._copy = _table_copy.TableCopy(table)
        self._is_read = False
        # When the store last answered, to this daemon or the relaying one.
        self._store_answered_at = -math.inf
        self._followed_since = math.inf
        self._lost_at: float | None = None
        # When the last failed call started.
        self._failed_at = 0.0
        self._changed_event = event.Event()

    @property
    def version(self) -> int:
        """Return the store's version of the copy."""
        return self._copy.version

    @property
    def is_connected(self) -> bool:
        """Return whether the last call to the source succeeded."""
        return self._is_read and self._lost_at is None

    def start_from(self, table_changes: _table_source.TableChanges) -> None:
        """Start with a table that has already been read."""
        self._replace_rows(table_changes)

    def run(self) -> None:
        """Read the table and its changes forever."""
        pause = _FIRST_RETRY_SECONDS
        while True:
            called_at = self._clock.monotonic()
            try:
                self._step()
                pause = _FIRST_RETRY_SECONDS
                spent = self._clock.monotonic() - called_at
                self._clock.sleep(max(0.0, self._pace.min_interval - spent))
            except _table_source.HistoryLost as error:
                _log.warning(
                    "{why}; reading the whole table", why=error.message
                )
                self._is_read = False
                self._clock.sleep(random.uniform(0, _FIRST_RETRY_SECONDS))
            except _errors.StoreUnavailable as error:
                self._failed_at = called_at
                self._record_loss(error)
                self._clock.sleep(random.uniform(pause / 2, pause))
                pause = min(self._pace.max_pause, 2 * pause)

    def _step(self) -> None:
        if not self._is_read:
            self._replace_rows(self._source.rows(self.table))
            return
        # After a loss the first call must not wait for changes: listeners
        # keep expired entries for some time from the return of the store,
        # which would otherwise be detected only with the first change.
        wait = self._wait() if self._lost_at is None else 0.0
        after = self.version
        answer = self._source.changes(
            self.table, after=after, wait=wait, age=self.age
        )
        if answer.whole:
            self._replace_rows(answer)
            return
        self._apply_changes(answer, after=after)

    def _apply_changes(
        self, answer: _table_source.TableChanges, *, after: int
    ) -> None:
        """Apply an answer, unless the copy has changed since the call.

        Two calls may be in progress, the feed's own and one of `catch_up`.
        The answer that arrives second may be older than the copy and would
        revert it. It does not update the age of the copy either: its changes
        are returned again by the next call.
        """
        if self.version != after:
            return
        self._record_answer(answer)
        self._copy.apply(answer)
        if answer.rows:
            self._notify_listener()

    def _replace_rows(self, answer: _table_source.TableChanges) -> None:
        self._copy.replace(answer)
        self._record_answer(answer)
        self._is_read = True
        self._notify_listener()

    def _notify_listener(self) -> None:
        """Pass the rows to the listener, and log an error that it raises.

        If the error ended the feed, the feed would restart with the same
        rows and fail again, so no change would be applied while they stay.
        """
        self._wake_waiting()
        try:
            self._listener.changed(self._copy.data_by_key)
        except Exception:
            _log.exception(
                "listener failed on rows of {table}", table=self.table
            )

    def _wake_waiting(self) -> None:
        self._changed_event.set()
        self._changed_event.clear()

    def changes_since(
        self, version: int, *, wait: float, age: float = 0.0
    ) -> _table_source.TableChanges | None:
        """Return the changes since a version, for another daemon.

        Parameters
        ----------
        version : int
            Version of the other daemon's copy.
        wait : float
            Maximum seconds to wait for the first change or for a newer
            answer of the store.
        age : float
            Age of the other daemon's copy in seconds.

        Returns
        -------
        TableChanges or None
            All rows if the changes are no longer kept: otherwise all daemons
            would call the store at once after it dropped its history. None
            if this copy is too old, counted from the store's last answer to
            any daemon: two daemons that relay to each other would otherwise
            consider an outdated table current.
        """
        end = self._clock.monotonic() + wait
        newer_after = self._clock.monotonic() - age + _MIN_AGE_GAIN_SECONDS
        if not self._is_read and self._lost_at is None:
            # The other daemon started at the same time as this one.
            self._changed_event.wait(wait)
        while self._is_valid:
            rows = self._copy.since(version)
            if rows is None:
                return _table_source.TableChanges(
                    self.version, self._copy.rows(), whole=True, age=self.age
                )
            now = self._clock.monotonic()
            if rows or now >= end or self._store_answered_at > newer_after:
                newest = max(version, self.version)
                return _table_source.TableChanges(newest, rows, age=self.age)
            self._changed_event.wait(min(end, self._valid_until) - now)
        return None

    @property
    def age(self) -> float:
        """Return the seconds since the store's last answer, 0 before any."""
        if self._store_answered_at == -math.inf:
            return 0.0
        return self._clock.monotonic() - self._store_answered_at

    @property
    def state(self) -> _copy_state.CopyState:
        """Return how up to date the copy is."""
        return _copy_state.CopyState(
            age=self._clock.monotonic() - self._store_answered_at,
            followed_since=self._followed_since,
        )

    @property
    def _valid_until(self) -> float:
        return self._store_answered_at + self._validity

    @property
    def _is_valid(self) -> bool:
        is_fresh = self._clock.monotonic() < self._valid_until
        return self.is_connected and is_fresh

    def catch_up(self, *, timeout: float) -> None:
        """Read changes from the store on behalf of another daemon.

        If all readers have lost the store, other daemons are called in their
        place. Such a daemon waits for an answer of a reader itself and would
        read the store only after that. Concurrent callers share one call to
        the store.

        Parameters
        ----------
        timeout : float
            Seconds to wait for the answer of the store.
        """
        if self._catching_up is None:
            if not self._is_read or not self._source.is_store_due():
                return
            self._catching_up = gevent.spawn(self._read_store)
        self._catching_up.join(timeout=timeout)

    def _read_store(self) -> None:
        after = self.version
        try:
            answer = self._source.changes_now(self.table, after=after)
        except _errors.TopazlugError as error:
            _log.info(
                "could not read {table} for another daemon: {why}",
                table=self.table,
                why=error.message,
            )
            return
        finally:
            self._catching_up = None
        self._apply_changes(answer, after=after)

    def _record_loss(self, error: _errors.StoreUnavailable) -> None:
        if self._lost_at is not None:
            return
        self._lost_at = self._clock.monotonic()
        self._wake_waiting()
        _log.warning(
            "lost table {table} of the store: {why}",
            table=self.table,
            why=error.message,
        )

    def _record_answer(self, answer: _table_source.TableChanges) -> None:
        store_answered_at = self._clock.monotonic() - answer.age
        if store_answered_at > self._store_answered_at:
            if store_answered_at - self._store_answered_at > self._max_gap:
                self._followed_since = store_answered_at
            self._store_answered_at = store_answered_at
            self._wake_waiting()
        seconds_since_failure = answer.seconds_since_failure
        if self._lost_at is not None:
            now = self._clock.monotonic()
            if seconds_since_failure is None:
                seconds_since_failure = now - self._failed_at
            _log.info(
                "table {table} of the store is back after {seconds:.1f} s",
                table=self.table,
                seconds=now - self._lost_at,
            )
            self._lost_at = None
        if (
            seconds_since_failure is not None
            and self._listener.recovered is not None
        ):
            self._listener.recovered(seconds_since_failure)
