"""Memory of the software versions at which streams began.

A daemon remembers the streams that it relays, and those that other daemons
have told it of. Both are bounded in number and in age.
"""

import collections
import math
from typing import NamedTuple
from typing import final

import msgspec

from topazlug import _clock
from topazlug import _ids
from topazlug.routing import _ranking
from topazlug.targets import _target
from topazlug.versions import _group_versions

# At 34 new streams a second, a daemon of a large fleet relays 2,040 in the
# time for which they are remembered, and holds twice as many for others.
_MAX_OWN_STREAMS = 8192
_MAX_HELD_STREAMS = 16384
# A caller whose connection breaks may have lost the end of a stream that was
# sent to it completely. It takes the stream up within this time.
_COMPLETED_SECONDS = 5.0


def process_key(target: _target.Target) -> _ids.ProcessKey:
    """Return the 64-bit hash of a replica's process."""
    return _ids.ProcessKey(
        _ranking.chat_hash("process", target.replica, str(target.incarnation))
    )


def stream_key(attempt: _ids.RequestId) -> _ids.StreamKey:
    """Return the 64-bit hash of the attempt that brings a first event."""
    return _ids.StreamKey(_ranking.chat_hash("stream", attempt))


@final
class Origin(NamedTuple):
    """Where a stream began.

    Attributes
    ----------
    group : GroupName
        Group of the replica.
    version : SoftwareVersion
        Version of its software.
    is_certain : bool
        Whether it was this version for certain. If not, the stream can't go
        on anywhere.
    """

    group: _ids.GroupName
    version: _ids.SoftwareVersion
    is_certain: bool = True


class _Stream(msgspec.Struct):
    origin: Origin
    process: _ids.ProcessKey
    began_at: float
    # When its caller had been sent all of it; infinite before.
    completed_at: float = math.inf


class _Streams:
    """Streams by their keys, bounded in number and in age."""

    def __init__(self, *, max_streams: int) -> None:
        self._max_streams = max_streams
        self.by_key: collections.OrderedDict[_ids.StreamKey, _Stream]
        self.by_key = collections.OrderedDict()

    def add(self, key: _ids.StreamKey, stream: _Stream) -> None:
        self.by_key[key] = stream
        self.by_key.move_to_end(key)
        oldest = stream.began_at - _group_versions.MEMORY_SECONDS
        while True:
            first = next(iter(self.by_key.values()))
            is_over = len(self.by_key) > self._max_streams
            if first.began_at >= oldest and not is_over:
                return
            self.by_key.popitem(last=False)


@final
class StreamOrigins:
    """Origins of streams by their keys.

    Parameters
    ----------
    clock : Clock
        Time.
    """

    def __init__(self, *, clock: _clock.Clock) -> None:
        self._clock = clock
        self._own = _Streams(max_streams=_MAX_OWN_STREAMS)
        self._held = _Streams(max_streams=_MAX_HELD_STREAMS)

    def __len__(self) -> int:
        """Return the number of streams that are remembered."""
        return len(self._own.by_key) + len(self._held.by_key)

    def begin(
        self,
        key: _ids.StreamKey,
        origin: Origin,
        process: _ids.ProcessKey,
    ) -> None:
        """Remember a stream of this daemon."""
        now = self._clock.monotonic()
        self._own.add(key, _Stream(origin, process, now))

    def complete(self, key: _ids.StreamKey) -> None:
        """Record that a stream of this daemon was sent completely.

        It is remembered, as its caller may not have received all of it.
        """
        stream = self._own.by_key.get(key)
        if stream is not None:
            stream.completed_at = self._clock.monotonic()

    def hold(
        self,
        key: _ids.StreamKey,
        origin: Origin,
        process: _ids.ProcessKey,
    ) -> None:
        """Remember a stream of another daemon."""
        now = self._clock.monotonic()
        self._held.add(key, _Stream(origin, process, now))

    def find(self, key: _ids.StreamKey) -> Origin | None:
        """Return where a stream began, None if it is not known."""
        stream = self._own.by_key.get(key) or self._held.by_key.get(key)
        return None if stream is None else stream.origin

    def unfinished(
        self, group: _ids.GroupName
    ) -> list[tuple[_ids.StreamKey, Origin, _ids.ProcessKey]]:
        """Return the streams of this daemon that callers may take up.

        Parameters
        ----------
        group : GroupName
            Group in which they began.
        """
        since = self._clock.monotonic() - _COMPLETED_SECONDS
        return [
            (key, stream.origin, stream.process)
            for key, stream in self._own.by_key.items()
            if stream.origin.group == group and stream.completed_at >= since
        ]

    def make_uncertain(
        self, process: _ids.ProcessKey, *, since: float
    ) -> list[tuple[_ids.StreamKey, Origin, _ids.ProcessKey]]:
        """Mark the streams that began lately at a process as uncertain.

        Returns
        -------
        list of (StreamKey, Origin, ProcessKey)
            Those of them that are this daemon's own.
        """
        found = []
        for streams in (self._own, self._held):
            for key, stream in streams.by_key.items():
                if stream.process == process and stream.began_at >= since:
                    stream.origin = stream.origin._replace(is_certain=False)
                    if streams is self._own:
                        found.append((key, stream.origin, process))
        return found
