"""Origins of streams, sent from daemon to daemon."""

from collections.abc import Callable
from collections.abc import Sequence
from typing import Any
from typing import Protocol
from typing import final

import gevent
import msgspec

from topazlug import _errors
from topazlug import _ids
from topazlug import _logs
from topazlug._generated import messages
from topazlug.peers import _peers
from topazlug.versions import _group_versions
from topazlug.versions import _stream_holders
from topazlug.versions import _stream_origins

_log = _logs.logger("versions")
# Daemons that are asked first. One of the daemons that were told of a stream
# may have relayed it itself, which ranks the others one place lower.
_ASKED_FIRST = _stream_holders.TOLD + 1
# Callers abandon a stream after a gap of two seconds. A daemon of the same
# region answers within a few milliseconds, also if a stream to it is opened.
_ASK_TIMEOUT_SECONDS = 0.25


class Links(Protocol):
    """Streams to other daemons; implemented by PeerLinks."""

    def send(self, to: _ids.DaemonId, message: msgspec.Struct) -> None:
        """Queue a one-way message; raises PeerUnreachable."""

    def call(
        self, to: _ids.DaemonId, message: msgspec.Struct, *, timeout: float
    ) -> msgspec.Struct:
        """Return the answer to a request; raises PeerUnreachable."""

    def handle(
        self, kind: type[msgspec.Struct], handler: _peers.Handler
    ) -> None:
        """Register the handler of a kind of message."""


@final
class Answers(msgspec.Struct):
    """What other daemons answered.

    Attributes
    ----------
    origin : Origin or None
        Where the stream began, None if none of them knows it.
    view_by_daemon : dict of DaemonId to VersionsView
        What they know of the versions of the group.
    unanswered : list of DaemonId
        Those that did not answer.
    is_asked : bool
        Whether daemons were asked at all.
    """

    origin: _stream_origins.Origin | None = None
    view_by_daemon: dict[_ids.DaemonId, _group_versions.VersionsView] = (
        msgspec.field(default_factory=dict)
    )
    unanswered: list[_ids.DaemonId] = msgspec.field(default_factory=list)
    is_asked: bool = False

    @property
    def is_complete(self) -> bool:
        """Return whether all daemons that know of the stream have answered."""
        return self.is_asked and not self.unanswered


@final
class OriginExchange:
    """Tells other daemons of streams, and asks them.

    Parameters
    ----------
    links : Links
        Streams to other daemons.
    holders : StreamHolders
        Which daemons hold which streams.
    origins : StreamOrigins
        Origins that this daemon remembers.
    view_of : callable
        Returns what this daemon knows of a group's versions.

    Attributes
    ----------
    told_count : int
        Number of messages about streams that were sent.
    asked_count : int
        Number of questions that were sent.
    """

    def __init__(
        self,
        *,
        links: Links,
        holders: _stream_holders.StreamHolders,
        origins: _stream_origins.StreamOrigins,
        view_of: Callable[[_ids.GroupName], _group_versions.VersionsView],
    ) -> None:
        self._links = links
        self._holders = holders
        self._origins = origins
        self._view_of = view_of
        self.told_count = 0
        self.asked_count = 0
        links.handle(messages.StreamBegun, self._on_begun)
        links.handle(messages.OriginAsk, self._on_ask)

    def tell(
        self,
        key: _ids.StreamKey,
        origin: _stream_origins.Origin,
        process: _ids.ProcessKey,
    ) -> None:
        """Tell the holders of a stream where it began."""
        message = messages.StreamBegun(
            stream=key,
            group=origin.group,
            version=origin.version,
            process=process,
            is_certain=origin.is_certain,
        )
        told = 0
        for daemon in self._holders.of_stream(key):
            try:
                self._links.send(daemon, message)
            except _errors.PeerUnreachable:
                continue
            told += 1
            if told == _stream_holders.TOLD:
                break
        self.told_count += told

    def ask(
        self, key: _ids.StreamKey, group: _ids.GroupName, answers: Answers
    ) -> None:
        """Ask other daemons where a stream began.

        Parameters
        ----------
        key : StreamKey
            The stream.
        group : GroupName
            Group whose versions are asked for as well.
        answers : Answers
            Receives what they answer.
        """
        answers.is_asked = True
        daemons = self._holders.of_stream(key)
        message = messages.OriginAsk(stream=key, group=group)
        for asked in (daemons[:_ASKED_FIRST], daemons[_ASKED_FIRST:]):
            self._ask_all(asked, message, answers)
            if answers.origin is not None:
                return

    def _ask_all(
        self,
        daemons: Sequence[_ids.DaemonId],
        message: messages.OriginAsk,
        answers: Answers,
    ) -> None:
        """Ask some daemons at the same time, until one knows the stream."""
        daemon_by_call = {
            gevent.spawn(self._ask, daemon, message): daemon
            for daemon in daemons
        }
        self.asked_count += len(daemon_by_call)
        try:
            for call in gevent.iwait(daemon_by_call):
                daemon, reply = daemon_by_call[call], call.value
                if reply is None:
                    answers.unanswered.append(daemon)
                    continue
                answers.view_by_daemon[daemon] = _view_from(reply)
                if reply.is_known:
                    answers.origin = _origin_from(reply)
                    return
        finally:
            gevent.killall(list(daemon_by_call), block=False)

    def _ask(
        self, daemon: _ids.DaemonId, message: messages.OriginAsk
    ) -> messages.OriginReply | None:
        try:
            reply = self._links.call(
                daemon, message, timeout=_ASK_TIMEOUT_SECONDS
            )
        except _errors.PeerUnreachable as error:
            _log.info(
                "{daemon} does not tell where a stream began: {why}",
                daemon=daemon,
                why=error.message,
            )
            return None
        return reply if isinstance(reply, messages.OriginReply) else None

    def _on_begun(
        self, sender: _ids.DaemonId, message: Any, reply: _peers.Reply
    ) -> None:
        origin = _stream_origins.Origin(
            _ids.GroupName(message.group),
            _ids.SoftwareVersion(message.version),
            message.is_certain,
        )
        self._origins.hold(
            _ids.StreamKey(message.stream),
            origin,
            _ids.ProcessKey(message.process),
        )

    def _on_ask(
        self, sender: _ids.DaemonId, message: Any, reply: _peers.Reply
    ) -> None:
        view = self._view_of(_ids.GroupName(message.group))
        answer = messages.OriginReply(
            is_known=False,
            versions=sorted(view.versions),
            is_current=view.is_current,
            knows_past=view.knows_past,
        )
        origin = self._origins.find(_ids.StreamKey(message.stream))
        if origin is not None:
            answer.is_known = True
            answer.is_certain = origin.is_certain
            answer.group = origin.group
            answer.version = origin.version
        reply(answer)


def _origin_from(reply: messages.OriginReply) -> _stream_origins.Origin:
    return _stream_origins.Origin(
        _ids.GroupName(reply.group),
        _ids.SoftwareVersion(reply.version),
        reply.is_certain,
    )


def _view_from(reply: messages.OriginReply) -> _group_versions.VersionsView:
    return _group_versions.VersionsView(
        versions=frozenset(map(_ids.SoftwareVersion, reply.versions)),
        is_current=reply.is_current,
        knows_past=reply.knows_past,
    )
