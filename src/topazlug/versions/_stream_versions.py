"""Decides at which software version a stream goes on.

A stream goes on only at the version that began it. While a group has one
version, no daemon needs to be told or asked.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import enum
from typing import Any
from typing import final

from topazlug import _clock
from topazlug import _errors
from topazlug import _ids
from topazlug import _logs
from topazlug.targets import _target
from topazlug.versions import _group_versions
from topazlug.versions import _origin_exchange
from topazlug.versions import _stream_holders
from topazlug.versions import _stream_origins
from topazlug.versions import _version_records

_log = _logs.logger("versions")
# Another daemon may know the stream, or this one reach those that do.
_RETRY_AFTER_SECONDS = 0.2
# A daemon that has just started waits this long for the records of versions,
# which it reads at the same time as its list of replicas.
_RECORDS_TIMEOUT_SECONDS = 0.25
# A replica writes its entry within this time after its start.
_REGISTRATION_SECONDS = 1.0


class _Source(enum.Enum):
    """How this daemon knows at which version a stream began."""

    REMEMBERED = "remembered here"
    OTHER_DAEMON = "remembered by another daemon"
    OWN_VIEW = "the only version in this daemon's view"
    VIEWS = "the only version in this daemon's and other views"
    PRESUMED = "the only version until a moment ago"


@final
class StreamVersions:
    """Remembers where streams began, and finds out where others did.

    Parameters
    ----------
    daemon : DaemonId
        This daemon.
    daemons : callable
        Returns all known daemons by their ids.
    groups : GroupVersions
        Versions of each group.
    clock : Clock
        Time.

    Attributes
    ----------
    taken_up_count : int
        Streams that callers took up and that go on.
    refused_count : int
        Streams that callers took up and that can't go on, as it is not known
        where they began.
    """

    def __init__(
        self,
        *,
        daemon: _ids.DaemonId,
        daemons: Callable[[], Mapping[_ids.DaemonId, Any]],
        groups: _group_versions.GroupVersions,
        clock: _clock.Clock,
    ) -> None:
        self.groups = groups
        self._clock = clock
        self._origins = _stream_origins.StreamOrigins(clock=clock)
        self._holders = _stream_holders.StreamHolders(
            daemon=daemon, daemons=daemons
        )
        self._target_by_replica: dict[_ids.ReplicaId, _target.Target] = {}
        self._exchange: _origin_exchange.OriginExchange | None = None
        self.taken_up_count = 0
        self.refused_count = 0

    def join(self, links: _origin_exchange.Links) -> None:
        """Tell and ask other daemons from now on."""
        self._exchange = _origin_exchange.OriginExchange(
            links=links,
            holders=self._holders,
            origins=self._origins,
            view_of=self.groups.view,
        )

    @property
    def remembered_count(self) -> int:
        """Return the number of streams that this daemon remembers."""
        return len(self._origins)

    @property
    def message_count(self) -> int:
        """Return the number of messages that this daemon has sent."""
        if self._exchange is None:
            return 0
        return self._exchange.told_count + self._exchange.asked_count

    def update_targets(
        self,
        before: Mapping[_ids.ReplicaId, _target.Target],
        targets: Iterable[_target.Target],
    ) -> None:
        """Apply a list of replicas."""
        targets = list(targets)
        self._target_by_replica = {one.replica: one for one in targets}
        for target in targets:
            former = before.get(target.replica)
            if former is not None:
                self._handle_replacement(former, target)
        self._tell_unfinished(self.groups.update(targets))

    def update_records(
        self, records: Iterable[_version_records.VersionRecord]
    ) -> None:
        """Apply the records of versions."""
        self._tell_unfinished(self.groups.set_records(records))

    def _tell_unfinished(self, groups: Iterable[_ids.GroupName]) -> None:
        """Tell other daemons of the streams of some groups.

        They were not told before, as these groups had one version only.
        """
        for group in groups:
            for stream in self._origins.unfinished(group):
                self._tell(*stream)

    def _handle_replacement(
        self, former: _target.Target, target: _target.Target
    ) -> None:
        """Handle a replica that was replaced under its id.

        The list shows that some time after it happened. Streams that began
        there in the meantime may be from either process.
        """
        if not _is_replaced(former, target):
            return
        seconds = self.groups.max_list_age + _REGISTRATION_SECONDS
        uncertain = self._origins.make_uncertain(
            _stream_origins.process_key(former),
            since=self._clock.monotonic() - seconds,
        )
        _log.info(
            "{replica} was replaced by another version",
            replica=target.replica,
            version=target.version,
            version_before=former.version,
            uncertain_streams=len(uncertain),
        )
        for stream in uncertain:
            self._tell(*stream)

    def _tell(
        self,
        key: _ids.StreamKey,
        origin: _stream_origins.Origin,
        process: _ids.ProcessKey,
    ) -> None:
        if self._exchange is not None:
            self._exchange.tell(key, origin, process)

    def begin(
        self,
        attempt: _ids.RequestId,
        target: _target.Target,
    ) -> None:
        """Remember a stream whose first event is about to be relayed.

        If the group has several versions, other daemons are told before the
        caller receives the event, so that the stream can go on even if this
        daemon ends right after it.

        Parameters
        ----------
        attempt : RequestId
            Attempt that brings the first event of the whole stream.
        target : Target
            Replica that sent the event.
        """
        key = _stream_origins.stream_key(attempt)
        listed = self._target_by_replica.get(target.replica, target)
        origin = _stream_origins.Origin(
            target.group,
            target.version,
            is_certain=not _is_replaced(target, listed),
        )
        process = _stream_origins.process_key(target)
        self._origins.begin(key, origin, process)
        if self.groups.is_mixed(target.group):
            self._tell(key, origin, process)
            # Lets the links write the messages.
            self._clock.sleep(0)

    def complete(self, attempt: _ids.RequestId) -> None:
        """Record that a stream was sent to its caller completely."""
        self._origins.complete(_stream_origins.stream_key(attempt))

    def is_certain(self, attempt: _ids.RequestId) -> bool:
        """Return whether the version that began a stream is certain."""
        origin = self._origins.find(_stream_origins.stream_key(attempt))
        return origin is None or origin.is_certain

    def find(
        self, attempt: _ids.RequestId, group: _ids.GroupName
    ) -> _stream_origins.Origin:
        """Return where a stream began that its caller takes up.

        Parameters
        ----------
        attempt : RequestId
            Attempt that brought the first event; empty if it is not named.
        group : GroupName
            Group that serves the request.

        Raises
        ------
        StreamNotResumable
            It is not known, or not certain.
        """
        answers = _origin_exchange.Answers()
        try:
            origin, source = self._find(attempt, group, answers)
        except _errors.StreamNotResumable as error:
            self.refused_count += 1
            _log.info(
                "a stream of {group} is not taken up: {why}",
                group=group,
                why=error.message,
                **self._evidence(group, answers),
            )
            raise
        self.taken_up_count += 1
        _log.info(
            "the stream began at version {version} of {group}: {source}",
            version=origin.version,
            group=origin.group,
            source=source.value,
            **self._evidence(group, answers),
        )
        return origin

    def _find(
        self,
        attempt: _ids.RequestId,
        group: _ids.GroupName,
        answers: _origin_exchange.Answers,
    ) -> tuple[_stream_origins.Origin, _Source]:
        """Return where a stream began, and how that is known.

        Parameters
        ----------
        attempt, group
            As for `find`.
        answers : Answers
            Receives what other daemons answer, if they are asked.
        """
        key = _stream_origins.stream_key(attempt)
        origin = self._origins.find(key)
        if origin is not None:
            return _certain(origin), _Source.REMEMBERED
        version = self._sole_version(group)
        if version is not None:
            return _stream_origins.Origin(group, version), _Source.OWN_VIEW
        if self._exchange is not None:
            self._exchange.ask(key, group, answers)
        if answers.origin is not None:
            return _certain(answers.origin), _Source.OTHER_DAEMON
        own_view = self.groups.view(group)
        version = _sole_version(own_view, answers)
        if version is not None:
            return _stream_origins.Origin(group, version), _Source.VIEWS
        version = self.groups.presumed(group)
        if version is not None:
            return _stream_origins.Origin(group, version), _Source.PRESUMED
        # If all that may know have answered, asking again is in vain.
        is_final = answers.is_complete and own_view.is_proof
        raise _errors.StreamNotResumable(
            f"it is not known at which version of {group} the stream began, "
            f"and {len(answers.view_by_daemon)} other daemons don't know "
            "either",
            retry_after=None if is_final else _RETRY_AFTER_SECONDS,
        )

    def _sole_version(
        self, group: _ids.GroupName
    ) -> _ids.SoftwareVersion | None:
        """Return the only version of a group if this daemon can prove it."""
        view = self.groups.view(group)
        if not view.knows_past and not self.groups.records_read.is_set():
            self.groups.records_read.wait(_RECORDS_TIMEOUT_SECONDS)
            view = self.groups.view(group)
        return view.sole_version if view.is_proof else None

    def _evidence(
        self, group: _ids.GroupName, answers: _origin_exchange.Answers
    ) -> dict[str, Any]:
        """Return the fields of a log line on where a stream began."""
        return {
            "view": self.groups.view(group).summary(),
            "views": {
                daemon: view.summary()
                for daemon, view in answers.view_by_daemon.items()
            },
            "unanswered": answers.unanswered,
        }


def _is_replaced(former: _target.Target, target: _target.Target) -> bool:
    """Return whether another version has taken the place of a replica."""
    is_same = _target.process_of(former) == _target.process_of(target)
    return not is_same and former.version != target.version


def _certain(origin: _stream_origins.Origin) -> _stream_origins.Origin:
    if origin.is_certain:
        return origin
    raise _errors.StreamNotResumable(
        "the replica that began the stream was replaced by another version "
        "at about that time"
    )


def _sole_version(
    own_view: _group_versions.VersionsView, answers: _origin_exchange.Answers
) -> _ids.SoftwareVersion | None:
    """Return the only version that a group can have had lately.

    One daemon must know both the present and the past: an up-to-date list of
    a daemon that has just started shows only the versions that are left, and
    other daemons may have started just as lately. If no list is up to date,
    as the store is down for all, the past must be known to all daemons that
    were asked, as any of them may have had a newer list than the others.
    """
    views = [own_view, *answers.view_by_daemon.values()]
    versions = frozenset().union(*(view.versions for view in views))
    if len(versions) != 1:
        return None
    (version,) = versions
    if any(view.is_proof for view in views):
        return version
    is_known_to_all = all(view.knows_past for view in views)
    return version if answers.is_complete and is_known_to_all else None
