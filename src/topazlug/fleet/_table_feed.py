"""Follows one table of the platform's store."""

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
from topazlug.fleet import _table_copy
from topazlug.fleet import _table_source

_log = _logs.logger("store")
# The first pause between two tries; the others double up to the longest. They
# are short, since each second without the store is a second with an old
# configuration, and spread, since all daemons lose it at the same moment.
_FIRST_PAUSE_SECONDS = 0.1
# A word of the store that is so much later is told at once, so that ages don't
# add up over the daemons by which it comes.
_NEWER_SECONDS = 0.5
# For how long a copy's word counts where nothing else is said.
_VOUCHED_SECONDS = 2.5


@final
class Pace(msgspec.Struct, frozen=True):
    """How often a table is read.

    Attributes
    ----------
    min_interval : float
        Seconds between the beginnings of two calls at least. Replicas of a
        new fleet register one after the other, and a call that is made at
        once brings one of them: 81 daemons that start together made 1,400
        calls otherwise. It is a tenth of the shortest time in which changes
        must be in force.
    max_pause : float
        Longest pause in seconds between two tries. The store's return must be
        seen within a second: entries that lapsed with it are kept for two
        more, and three after a cut has healed bounds count again. A try that
        is not answered takes 0.6 s.
    """

    min_interval: float = 0.2
    max_pause: float = 0.25


DEFAULT_PACE = Pace()


class TableListener:
    """What a feed tells of its table.

    Attributes
    ----------
    changed : callable
        Gets the data by key after each change.
    recovered : callable
        Called when the store is back after a loss, before `changed`. Gets
        the seconds since the last failed call began: the store may have been
        back for as long.
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
    """Keeps a copy of one table, whole and never older than it was.

    Parameters
    ----------
    source : RelayedSource
        Where it is read.
    table : str
        Its name.
    wait : callable
        Gives the seconds that one call waits for changes.
    follower : TableListener
        Gets what is new.
    clock : Clock
        Time.
    pace : Pace
        How often it is read.
    validity : float
        Seconds after the store's last word, by whatever way it came, for
        which this copy's word counts for other daemons. A call that the
        store took and never answers would else look to them as if there
        were no news.
    """

    def __init__(
        self,
        *,
        source: _table_source.RelayedSource,
        table: str,
        wait: Callable[[], float],
        follower: TableListener,
        clock: _clock.Clock,
        pace: Pace = DEFAULT_PACE,
        validity: float = _VOUCHED_SECONDS,
    ) -> None:
        self._source = source
        self._vouched = validity
        self._catching_up: gevent.Greenlet | None = None
        self._pace = pace
        self.table = table
        self._wait = wait
        self._follower = follower
        self._clock = clock
        self._copy = _table_copy.TableCopy(table)
        self._is_read = False
        # When the store itself answered last, to whomever.
        self._direct_at = -math.inf
        self._lost_at: float | None = None
        # When the last try that failed began.
        self._failed_at = 0.0
        self._news = event.Event()

    @property
    def version(self) -> int:
        """Give the version of the store that the copy is of."""
        return self._copy.version

    @property
    def in_contact(self) -> bool:
        """Say whether the last call to the source succeeded."""
        return self._is_read and self._lost_at is None

    def start_from(self, found: _table_source.TableChanges) -> None:
        """Take over a table that was read before the feed began."""
        self._take_whole(found)

    def run(self) -> None:
        """Follow the table for ever."""
        pause = _FIRST_PAUSE_SECONDS
        while True:
            asked_at = self._clock.monotonic()
            try:
                self._step()
                pause = _FIRST_PAUSE_SECONDS
                spent = self._clock.monotonic() - asked_at
                self._clock.sleep(max(0.0, self._pace.min_interval - spent))
            except _table_source.HistoryLost as error:
                _log.warning("{why}; it is read whole", why=error.message)
                self._is_read = False
                self._clock.sleep(random.uniform(0, _FIRST_PAUSE_SECONDS))
            except _errors.StoreUnavailable as error:
                self._failed_at = asked_at
                self._note_loss(error)
                self._clock.sleep(random.uniform(pause / 2, pause))
                pause = min(self._pace.max_pause, 2 * pause)

    def _step(self) -> None:
        if not self._is_read:
            self._take_whole(self._source.rows(self.table))
            return
        # After a loss the first call must not wait for news: whoever keeps
        # entries that lapsed with the store counts from its return, and
        # would count from the first change instead.
        wait = self._wait() if self._lost_at is None else 0.0
        after = self.version
        answer = self._source.changes(
            self.table, after=after, wait=wait, age=self.age
        )
        if answer.whole:
            self._take_whole(answer)
            return
        self._take_changes(answer, after=after)

    def _take_changes(
        self, answer: _table_source.TableChanges, *, after: int
    ) -> None:
        """Take what changed after a version.

        Two calls may be on their way, the feed's own and one for others.
        What comes second may be older than what the copy holds by then, and
        would undo it. Nor does it count as a word of the store: what is new
        in it comes with the next call.
        """
        if self.version != after:
            return
        self._note_contact(answer)
        self._copy.apply(answer)
        if answer.rows:
            self._tell()

    def _take_whole(self, answer: _table_source.TableChanges) -> None:
        self._copy.replace(answer)
        self._note_contact(answer)
        self._is_read = True
        self._tell()

    def _tell(self) -> None:
        """Hand the rows over; a fault in taking them ends no feed.

        A feed that ended would start again with a read of the same rows, and
        meet the same fault: no news would be taken while they stay.
        """
        self._wake()
        try:
            self._follower.changed(self._copy.data_by_key)
        except Exception:
            _log.exception("rows of {table} were not taken", table=self.table)

    def _wake(self) -> None:
        self._news.set()
        self._news.clear()

    def changes_since(
        self, version: int, *, wait: float, age: float = 0.0
    ) -> _table_source.TableChanges | None:
        """Give what changed since a version, for another daemon.

        Parameters
        ----------
        version : int
            What the other holds.
        wait : float
            Longest time in seconds to wait for the first change, or for
            another word of the store.
        age : float
            Seconds since the store's last word that the other knows of.

        Returns
        -------
        TableChanges or None
            All rows if the changes are not kept any more: when the store
            drops its history, all daemons would turn to it at once. None if
            nothing was heard of the store itself for too long, by whatever
            way: two daemons that told each other would take an old table
            for the newest.
        """
        end = self._clock.monotonic() + wait
        known_at = self._clock.monotonic() - age + _NEWER_SECONDS
        if not self._is_read and self._lost_at is None:
            # Whoever asks has started at the same time as this daemon.
            self._news.wait(wait)
        while self._has_store:
            rows = self._copy.since(version)
            if rows is None:
                return _table_source.TableChanges(
                    self.version, self._copy.rows(), whole=True, age=self.age
                )
            now = self._clock.monotonic()
            if rows or now >= end or self._direct_at > known_at:
                newest = max(version, self.version)
                return _table_source.TableChanges(newest, rows, age=self.age)
            self._news.wait(min(end, self._vouched_until) - now)
        return None

    @property
    def age(self) -> float:
        """Give the seconds since the store's last word; 0 before any."""
        if self._direct_at == -math.inf:
            return 0.0
        return self._clock.monotonic() - self._direct_at

    @property
    def _vouched_until(self) -> float:
        return self._direct_at + self._vouched

    @property
    def _has_store(self) -> bool:
        is_vouched = self._clock.monotonic() < self._vouched_until
        return self.in_contact and is_vouched

    def catch_up(self, *, longest: float) -> None:
        """Ask the store itself, for a daemon that asks this one.

        Where those that read for all have lost the store, others are asked.
        Such a one follows another daemon, and would turn to the store only
        once that has answered it. All who ask meanwhile share one call.

        Parameters
        ----------
        longest : float
            Seconds to wait for the store's answer.
        """
        if self._catching_up is None:
            if not self._is_read or not self._source.is_worth_asking():
                return
            self._catching_up = gevent.spawn(self._ask_store)
        self._catching_up.join(timeout=longest)

    def _ask_store(self) -> None:
        after = self.version
        try:
            answer = self._source.changes_now(self.table, after=after)
        except _errors.TopazlugError as error:
            _log.info(
                "no news of {table} for others: {why}",
                table=self.table,
                why=error.message,
            )
            return
        finally:
            self._catching_up = None
        self._take_changes(answer, after=after)

    def _note_loss(self, error: _errors.StoreUnavailable) -> None:
        if self._lost_at is not None:
            return
        self._lost_at = self._clock.monotonic()
        self._wake()
        _log.warning(
            "lost the store's {table}: {why}",
            table=self.table,
            why=error.message,
        )

    def _note_contact(self, answer: _table_source.TableChanges) -> None:
        direct_at = self._clock.monotonic() - answer.age
        if direct_at > self._direct_at:
            self._direct_at = direct_at
            self._wake()
        lost_since = answer.lost_since
        if self._lost_at is not None:
            now = self._clock.monotonic()
            if lost_since is None:
                lost_since = now - self._failed_at
            _log.info(
                "the store's {table} is back after {seconds:.1f} s",
                table=self.table,
                seconds=now - self._lost_at,
            )
            self._lost_at = None
        if lost_since is not None and self._follower.recovered is not None:
            self._follower.recovered(lost_since)
