"""Software versions that the replicas of each group have had lately.

What two versions of one software write into a stream does not fit together.
While a group has one version only, no daemon needs to know where a stream
began. That holds for the whole fleet only if no daemon uses a second version
before all others can know of it, as their lists of replicas differ by seconds.
"""

from collections.abc import Callable
from collections.abc import Iterable
import math
from typing import NamedTuple
from typing import final

import msgspec

from topazlug import _clock
from topazlug import _ids
from topazlug import _logs
from topazlug.targets import _target

_log = _logs.logger("replicas")
# For how long versions and the beginnings of streams are remembered. No caller
# waits for longer than this for the end of a stream.
MEMORY_SECONDS = 60.0
# A daemon may see a second version, and then end, before it tells the others
# which of its streams began at the first one. Streams that nobody knows count
# as begun at the first version for this long, and the second one is not used
# by anybody until then.
_PRESUMED_SECONDS = 1.0

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
        Whether it has had the list for `MEMORY_SECONDS`.
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
    unlisted_at: dict[Version, float] = msgspec.field(default_factory=dict)
    # The only version until `mixed_at`.
    first_version: Version | None = None
    mixed_at: float = -math.inf


@final
class GroupVersions:
    """Follows the list of replicas.

    Parameters
    ----------
    clock : Clock
        Time.
    list_age : callable
        Returns the age of the list of replicas in seconds.
    max_list_age : float
        Age in seconds up to which a list is up to date. All connected daemons
        know each change of the list after this time.
    knows_past : bool
        Whether no replica ran before this daemon started, as the whole system
        starts for the first time.

    Attributes
    ----------
    max_list_age : float
        As given.
    """

    def __init__(
        self,
        *,
        clock: _clock.Clock,
        list_age: Callable[[], float],
        max_list_age: float,
        knows_past: bool,
    ) -> None:
        self.max_list_age = max_list_age
        self._clock = clock
        self._list_age = list_age
        self._known_since = -math.inf if knows_past else math.inf
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
        self._known_since = min(self._known_since, now)
        listed: dict[_ids.GroupName, set[Version]] = {}
        for target in targets:
            listed.setdefault(target.group, set()).add(target.version)
        mixed = []
        for name in self._group_by_name.keys() | listed.keys():
            versions = frozenset(listed.get(name, ()))
            if self._update_group(name, versions, now):
                mixed.append(name)
        return mixed

    def _update_group(
        self, name: _ids.GroupName, listed: frozenset[Version], now: float
    ) -> bool:
        """Apply the versions of one group; return whether it became mixed."""
        group = self._group_by_name.setdefault(name, _Group())
        before = self._recent(group, now)
        for version in group.listed - listed:
            group.unlisted_at[version] = now
        group.listed = listed
        if len(before) != 1 or listed <= before:
            return False
        (group.first_version,) = before
        group.mixed_at = now
        _log.info(
            "{group} has a second software version",
            group=name,
            versions=sorted(listed),
            version_before=group.first_version,
        )
        return True

    def _recent(self, group: _Group, now: float) -> frozenset[Version]:
        """Return the versions of the last `MEMORY_SECONDS`."""
        for version, at in list(group.unlisted_at.items()):
            if version in group.listed or now - at > MEMORY_SECONDS:
                del group.unlisted_at[version]
        return group.listed.union(group.unlisted_at)

    def view(self, name: _ids.GroupName) -> VersionsView:
        """Return what this daemon knows of a group's versions."""
        now = self._clock.monotonic()
        group = self._group_by_name.get(name, _Group())
        return VersionsView(
            versions=self._recent(group, now),
            is_current=self._list_age() <= self.max_list_age,
            knows_past=now - self._known_since >= MEMORY_SECONDS,
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
        return self._first_version_within(name, _PRESUMED_SECONDS)

    def settled(
        self, name: _ids.GroupName, replicas: list[_target.Target]
    ) -> list[_target.Target]:
        """Return the replicas that may begin new streams.

        A second version begins none until all daemons can know of it. A
        daemon that does not would send a stream that began there, and that
        its caller takes up, to the first version. If the replicas of the
        first version are the smaller part, all are returned, as they could
        not carry the load.

        Parameters
        ----------
        name : GroupName
            A group.
        replicas : list of Target
            Its usable replicas.
        """
        seconds = self.max_list_age + _PRESUMED_SECONDS
        first = self._first_version_within(name, seconds)
        if first is None:
            return replicas
        found = [one for one in replicas if one.version == first]
        return found if 2 * len(found) >= len(replicas) else replicas

    def _first_version_within(
        self, name: _ids.GroupName, seconds: float
    ) -> Version | None:
        group = self._group_by_name.get(name)
        if group is None or self._clock.monotonic() > group.mixed_at + seconds:
            return None
        return group.first_version
