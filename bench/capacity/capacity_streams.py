"""Slopes of remembering the versions at which streams began."""

import itertools
from typing import Any

import msgspec

from bench.capacity import capacity_sizes as sizes
from topazlug import _clock
from topazlug import _ids
from topazlug._generated import messages
from topazlug.fleet import _copy_state
from topazlug.peers import _peer_codec
from topazlug.targets import _targets
from topazlug.versions import _group_versions
from topazlug.versions import _stream_holders
from topazlug.versions import _stream_origins
from topazlug.versions import _stream_versions

_STREAMS = 4000
_MAX_FRAME_BYTES = 1 << 20


class _Links:
    """Encodes each message, and sends it nowhere."""

    def __init__(self) -> None:
        self.frame_bytes = 0

    def handle(self, kind: Any, handler: Any) -> None:
        """Ignore the handler: no message arrives."""

    def send(self, to: _ids.DaemonId, message: Any) -> None:
        """Encode a message."""
        frame = _peer_codec.encode(
            message, call=_peer_codec.ONE_WAY, max_bytes=_MAX_FRAME_BYTES
        )
        self.frame_bytes = len(frame)

    def call(self, to: Any, message: Any, *, timeout: float) -> Any:
        """Answer nothing."""
        raise NotImplementedError


def _versions(daemons: int) -> tuple[_stream_versions.StreamVersions, _Links]:
    clock = _clock.SystemClock()
    rows = dict.fromkeys(sizes.daemon_ids(daemons))
    versions = _stream_versions.StreamVersions(
        daemon=sizes.daemon_ids(1)[0],
        daemons=lambda: rows,
        groups=_group_versions.GroupVersions(
            clock=clock,
            list_state=_copy_state.CopyState,
            record_state=_copy_state.CopyState,
            max_list_age=2.0,
            first_start=True,
        ),
        clock=clock,
    )
    links = _Links()
    versions.join(links)
    return versions, links


def _attempts(numbers: Any) -> list[_ids.RequestId]:
    return [_ids.RequestId(f"{number:016x}") for number in numbers]


def streams() -> list[sizes.Slope]:
    """Measure one stream of a group with two versions, and one with one."""
    listed = sizes.targets(2 * sizes.POOLS)
    numbers = itertools.count()
    found = []
    for versions_of_group in (1, 2):
        versions, links = _versions(sizes.DAEMONS)
        first = _with_version(listed[0], "v1.1")
        second = _with_version(listed[sizes.POOLS], f"v1.{versions_of_group}")
        versions.update_targets({}, [first, second])

        def begin() -> None:
            for attempt in _attempts(itertools.islice(numbers, _STREAMS)):
                versions.begin(attempt, first)
                versions.complete(attempt)

        begin()
        micros = sizes.processor_micros(begin, count=_STREAMS)
        name = f"a stream begins and ends, {versions_of_group} versions"
        found.append(sizes.Slope(name, micros, "µs"))
    found.append(sizes.Slope("message about a stream", links.frame_bytes, "B"))
    return [*found, _ranking_slope(), *_memory_slopes()]


def _with_version(target: _targets.Target, version: str) -> _targets.Target:
    return msgspec.structs.replace(
        target, version=_ids.SoftwareVersion(version)
    )


def _ranking_slope() -> sizes.Slope:
    rows = dict.fromkeys(sizes.daemon_ids())

    def rank_all() -> None:
        holders = _stream_holders.StreamHolders(
            daemon=sizes.daemon_ids(1)[0], daemons=lambda: rows
        )
        for key in range(100):
            holders.of_stream(_ids.StreamKey(key))

    micros = sizes.processor_micros(rank_all, count=100)
    return sizes.Slope("first ranking of a class of streams", micros, "µs")


def _memory_slopes() -> list[sizes.Slope]:
    origin = _stream_origins.Origin(
        _ids.GroupName("pool-01"), _ids.SoftwareVersion("v1.1")
    )
    clock = _clock.SystemClock()

    def held() -> Any:
        origins = _stream_origins.StreamOrigins(clock=clock)
        for attempt in _attempts(range(_STREAMS)):
            key = _stream_origins.stream_key(attempt)
            origins.hold(key, origin, _ids.ProcessKey(key ^ 1))
        return origins

    bytes_each = sizes.held_bytes(held) / _STREAMS
    message = messages.OriginAsk(stream=1 << 63, group="pool-01")
    ask = _peer_codec.encode(message, call=100, max_bytes=_MAX_FRAME_BYTES)
    return [
        sizes.Slope("stream remembered", bytes_each, "B"),
        sizes.Slope("question about a stream", len(ask), "B"),
    ]
