"""Software versions that the replicas of each group have had lately.

What two versions of one software write into a stream does not fit together.
While a group has one version only, no daemon needs to know where a stream
began. That holds for the whole fleet only if no daemon uses a second version
before all others can know of it, as their lists of replicas differ by seconds,
and if a daemon that starts learns of versions that have left.
"""

from collections.abc import Callable
from collections.abc import Iterable
import math
from typing import NamedTuple
from typing import final

from gevent import event
import msgspec

from topazlug import _clock
from topazlug import _ids
from topazlug import _logs
from topazlug.fleet import _copy_state
from topazlug.targets import _target
from topazlug.versions import _version_records

_log = _logs.logger("replicas")
# For how long versions and the beginnings of streams are remembered. No caller
# waits for longer than this for the end of a stream.
MEMORY_SECONDS = 60.0
# A daemon may see a second version, and then end, before it tells the others
# which of its streams began at the first one. Streams that nobody knows count
# as begun at the first version for this long, and the second one is not used
# by anybody until then.
_PRESUMED_SECONDS = 1.0
# For how long the records of a group without replicas are kept. All of its
# replicas may be gone for a while, or the group for good.
_EMPTY_GROUP_SECONDS = 86400.0
# The times of a copy's answers are computed from its age at two moments.
_TOLERANCE_SECONDS = 0.01

Version = _ids.SoftwareVersion


@final
class VersionsView(NamedTuple):
    """What one daemon knows of the versions of a group.

    Attributes
    ----------
    versions : frozenset of SoftwareVersion
        Versions that the group has, or has had lately.
    is_current : bool
        Whether its list of replicas is up to date.
    knows_past : bool
        Whether these are all versions of the `MEMORY_SECONDS` before the
        list's time.
    """

    versions: frozenset[Version]
    is_current: bool
    knows_past: bool

    @property
    def sole_version(self) -> Version | None:
        """Return the only version, None if there are several or none."""
        if len(self.versions) != 1:
            return None
        (version,) = self.versions
        return version

    @property
    def is_proof(self) -> bool:
        """Return whether streams can't have begun at other versions."""
        return self.is_current and self.knows_past

    def summary(self) -> str:
        """Return it as a short text for log lines."""
        words: list[str] = [*sorted(self.versions)] or ["none"]
        if not self.is_current:
            words.append("(old list)")
        if not self.knows_past:
            words.append("(past unknown)")
        return " ".join(words)


class _Group(msgspec.Struct):
    listed: frozenset[Version] = frozenset()
    # Versions that are not listed any more, as long as they are remembered.
    unlisted_at: dict[Version, float] = msgspec.field(default_factory=dict)
    number_by_recorded: dict[Version, int] = msgspec.field(
        default_factory=dict
    )
    # When this daemon first knew of each version that it remembers.
    known_at: dict[Version, float] = msgspec.field(default_factory=dict)
    # The only version until `mixed_at`, None if another may have been used.
    first_version: Version | None = None
    mixed_at: float = -math.inf

    def is_older(self, version: Version, other: Version) -> bool:
        """Return whether a version was there before another one."""
        return self._order(version) < self._order(other)

    def _order(self, version: Version) -> tuple[float, float]:
        number = self.number_by_recorded.get(version, math.inf)
        return number, self.known_at.get(version, math.inf)


@final
class GroupVersions:
    """Follows the list of replicas and the records of versions.

    Parameters
    ----------
    clock : Clock
        Time.
    list_state : callable
        Returns how up to date the list of replicas is.
    record_state : callable
        Returns how up to date the records are.
    max_list_age : float
        Age in seconds up to which a list is up to date. All connected daemons
        know each change of the list after this time.
    first_start : bool
        Whether the whole system starts for the first time, so that no streams
        have begun before.

    Attributes
    ----------
    max_list_age : float
        As given.
    records_read : Event
        Set once the records have been read.
    """

    def __init__(
        self,
        *,
        clock: _clock.Clock,
        list_state: Callable[[], _copy_state.CopyState],
        record_state: Callable[[], _copy_state.CopyState],
        max_list_age: float,
        first_start: bool,
    ) -> None:
        self.max_list_age = max_list_age
        self.records_read = event.Event()
        self._clock = clock
        self._list_state = list_state
        self._record_state = record_state
        self._first_start = first_start
        # When the list was first applied, and since when it had been followed
        # at that time.
        self._listed_since = math.inf
        self._followed_at_start = -math.inf
        self._group_by_name: dict[_ids.GroupName, _Group] = {}

    def update(
        self, targets: Iterable[_target.Target]
    ) -> list[_ids.GroupName]:
        """Apply a list of replicas.

        Returns
        -------
        list of GroupName
            Groups that have a second version from now on.
        """
        now = self._clock.monotonic()
        state = self._list_state()
        if self._listed_since == math.inf:
            self._listed_since = now
            self._followed_at_start = state.followed_since
        listed: dict[_ids.GroupName, list[_target.Target]] = {}
        for target in targets:
            listed.setdefault(target.group, []).append(target)
        mixed = []
        follows_gap = _follows_gap(state, now)
        for name in self._group_by_name.keys() | listed.keys():
            group = self._group_by_name.setdefault(name, _Group())
            before = self._recent(group, now)
            found = listed.get(name, [])
            is_certain = (
                self._knows_past(group)
                and not follows_gap
                and bool(group.listed)
                and _are_most_of(group.listed, found)
            )
            versions = frozenset(one.version for one in found)
            for version in group.listed - versions:
                group.unlisted_at[version] = now
            group.listed = versions
            if self._note_versions(name, before, is_certain=is_certain):
                mixed.append(name)
        return mixed

    def set_records(
        self, records: Iterable[_version_records.VersionRecord]
    ) -> list[_ids.GroupName]:
        """Apply the records of versions.

        Returns
        -------
        list of GroupName
            Groups that have a second version from now on.
        """
        now = self._clock.monotonic()
        numbers_by_name: dict[_ids.GroupName, dict[Version, int]] = {}
        for record in records:
            numbers = numbers_by_name.setdefault(record.group, {})
            numbers[record.version] = record.number
        mixed = []
        for name in self._group_by_name.keys() | numbers_by_name.keys():
            group = self._group_by_name.setdefault(name, _Group())
            before = self._recent(group, now)
            group.number_by_recorded = numbers_by_name.get(name, {})
            for version in group.number_by_recorded.keys() - group.listed:
                group.unlisted_at.setdefault(version, now)
            if self._note_versions(name, before, is_certain=False):
                mixed.append(name)
        self.records_read.set()
        return mixed

    def _note_versions(
        self,
        name: _ids.GroupName,
        before: frozenset[Version],
        *,
        is_certain: bool,
    ) -> bool:
        """Note new versions of a group; return whether it became mixed.

        Parameters
        ----------
        name : GroupName
            The group.
        before : frozenset of Version
            Its versions before.
        is_certain : bool
            Whether no stream can have begun at another one yet.
        """
        now = self._clock.monotonic()
        group = self._group_by_name[name]
        versions = self._recent(group, now)
        for version in group.known_at.keys() - versions:
            del group.known_at[version]
        for version in versions:
            group.known_at.setdefault(version, now)
        if len(before) != 1 or versions <= before:
            return False
        (first,) = before
        group.first_version = first if is_certain else None
        group.mixed_at = now
        _log.info(
            "{group} has a second software version",
            group=name,
            versions=sorted(versions),
            version_before=first,
            is_certain=is_certain,
        )
        return True

    def _recent(self, group: _Group, now: float) -> frozenset[Version]:
        """Return the versions of the last `MEMORY_SECONDS`, and the recorded.

        A recorded version counts until its record is removed, as a daemon
        that has just started does not know since when it has not been listed.
        """
        for version, at in list(group.unlisted_at.items()):
            is_over = (
                now - at > MEMORY_SECONDS
                and version not in group.number_by_recorded
            )
            if version in group.listed or is_over:
                del group.unlisted_at[version]
        return group.listed.union(group.unlisted_at)

    def _knows_past(self, group: _Group) -> bool:
        """Return whether all versions of the last `MEMORY_SECONDS` are known.

        Either the group is recorded, and the records are about as up to date
        as the list, or the list has been followed for long enough.
        """
        state = self._list_state()
        max_age = state.age + self.max_list_age
        if group.number_by_recorded and self._record_state().age <= max_age:
            return True
        if self._first_start and (
            state.followed_since <= self._followed_at_start
        ):
            return True
        return self._followed_seconds >= MEMORY_SECONDS

    @property
    def _followed_seconds(self) -> float:
        """Return for how long the list has been followed without a gap."""
        state = self._list_state()
        since = max(self._listed_since, state.followed_since)
        return self._clock.monotonic() - state.age - since

    def view(self, name: _ids.GroupName) -> VersionsView:
        """Return what this daemon knows of a group's versions."""
        group = self._group_by_name.get(name, _Group())
        return VersionsView(
            versions=self._recent(group, self._clock.monotonic()),
            is_current=self._list_state().age <= self.max_list_age,
            knows_past=self._knows_past(group),
        )

    def is_mixed(self, name: _ids.GroupName) -> bool:
        """Return whether a group has had several versions lately."""
        group = self._group_by_name.get(name)
        if group is None:
            return False
        return len(self._recent(group, self._clock.monotonic())) > 1

    def presumed(self, name: _ids.GroupName) -> Version | None:
        """Return the version of streams that nobody knows, None if unknown.

        A daemon may have ended before it told others of them.
        """
        group = self._group_by_name.get(name, _Group())
        until = group.mixed_at + _PRESUMED_SECONDS
        return (
            group.first_version if self._clock.monotonic() <= until else None
        )

    def settled(
        self, name: _ids.GroupName, replicas: list[_target.Target]
    ) -> list[_target.Target]:
        """Return the replicas that may begin new streams.

        A new version begins none until it is recorded and all daemons can
        know of it. A daemon that does not would send a stream that began
        there, and that its caller takes up, to the version before. If the
        replicas of the other versions are the smaller part, all are returned,
        as they could not carry the load.

        Parameters
        ----------
        name : GroupName
            A group.
        replicas : list of Target
            Its usable replicas.
        """
        group = self._group_by_name.get(name, _Group())
        new = {one for one in group.known_at if self._is_new(group, one)}
        if not new:
            return replicas
        found = [one for one in replicas if one.version not in new]
        return found if _is_larger_part(found, replicas) else replicas

    def _is_new(self, group: _Group, version: Version) -> bool:
        """Return whether some daemon may not know of a version yet."""
        if not any(group.is_older(one, version) for one in group.known_at):
            return False
        if group.number_by_recorded and (
            version not in group.number_by_recorded
        ):
            return True
        known_seconds = self._clock.monotonic() - group.known_at[version]
        return known_seconds <= self.max_list_age + _PRESUMED_SECONDS

    def unrecorded(self) -> list[_version_records.VersionRecord]:
        """Return the records that are missing.

        The first records of a group show that all versions are recorded, so
        they are missing only if all of them are known.
        """
        found = []
        now = self._clock.monotonic()
        for name, group in self._group_by_name.items():
            recorded = group.number_by_recorded
            versions = group.listed if recorded else self._recent(group, now)
            missing = versions - recorded.keys()
            if not missing or not (recorded or self._knows_past(group)):
                continue
            number = max(recorded.values(), default=0) + 1
            found += [
                _version_records.VersionRecord(
                    group=name, version=version, number=number
                )
                for version in sorted(missing)
            ]
        return found

    def obsolete_in(
        self,
    ) -> list[tuple[_version_records.VersionRecord, float]]:
        """Return the records of versions that are not listed any more.

        Returns
        -------
        list of (VersionRecord, float)
            Each record, and the seconds after which it may be removed if its
            version is not listed until then. While a group has no replicas,
            its records stay, as these may come back.
        """
        found = []
        now = self._clock.monotonic()
        followed_for = self._followed_seconds
        for name, group in self._group_by_name.items():
            recorded = group.number_by_recorded
            if group.listed and not group.listed & recorded.keys():
                # The versions that are listed are recorded first.
                continue
            seconds = MEMORY_SECONDS if group.listed else _EMPTY_GROUP_SECONDS
            for version in sorted(recorded.keys() - group.listed):
                absent_for = now - group.unlisted_at[version]
                wait = seconds - min(absent_for, followed_for)
                record = _version_records.VersionRecord(
                    group=name, version=version, number=recorded[version]
                )
                found.append((record, max(0.0, wait)))
        return found


def _are_most_of(
    versions: frozenset[Version], targets: list[_target.Target]
) -> bool:
    """Return whether most replicas that stay are of these versions."""
    staying = [one for one in targets if not one.leaving]
    found = [one for one in staying if one.version in versions]
    return _is_larger_part(found, staying)


def _is_larger_part(
    found: list[_target.Target], replicas: list[_target.Target]
) -> bool:
    """Return whether these are enough to carry the load of all."""
    return 2 * len(found) >= len(replicas)


def _follows_gap(state: _copy_state.CopyState, now: float) -> bool:
    """Return whether a copy was not followed before its last answer."""
    answered_at = now - state.age
    return state.followed_since >= answered_at - _TOLERANCE_SECONDS
