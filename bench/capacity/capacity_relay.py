"""Throughput of one core that relays token streams through daemon modules.

Covers gevent's WSGI server, `ChatStream` and its event reader, without what
`ChatCalls` adds. The measurements of whole daemons include that.
"""

from collections.abc import Callable
from collections.abc import Iterable
import gc
import subprocess
import sys
import time
from typing import Any

import gevent
from gevent import pywsgi

from bench.capacity import capacity_messages
from bench.capacity import capacity_sizes as sizes
from topazlug import _clock
from topazlug import _errors
from topazlug import _ids
from topazlug.calls import _chat_stream
from topazlug.targets import _target_client

_HOST = "127.0.0.1"
_TOKENS = 200
_STREAMS = (100, 300, 570)
_WINDOW = 5.0
_CLOCK = _clock.SystemClock()
_Slope = sizes.Slope


class _Relay:
    def __init__(self, port: int) -> None:
        self._target = capacity_messages.target_at(port)
        self._connections = _target_client.TargetConnections(
            connect_timeout=5.0, clock=_CLOCK
        )
        self.tokens = 0
        self.open = 0

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Relay one stream."""
        request_id = _ids.RequestId("0123456789abcdef")
        request = _target_client.TargetRequest(
            method="POST",
            path="/v1/chat/completions",
            headers=[("Host", _HOST)],
            body=b"",
            request_id=request_id,
        )
        answer = self._connections.exchange(
            self._target, request, head_timeout=10.0
        )
        stream = _chat_stream.ChatStream(
            connections=self._connections,
            target=self._target,
            request_id=request_id,
            answer=answer,
            receive_timeout=20.0,
            deadline=_CLOCK.monotonic() + 120.0,
        )
        start_response("200 OK", [("Content-Type", "text/event-stream")])
        self.open += 1
        try:
            for piece in stream.pieces():
                self.tokens += 1
                yield piece
        except _errors.RequestError:
            # The far ends are killed in the middle of their streams.
            return


def relay() -> list[_Slope]:
    """Measure several numbers of streams, with one token every 57 ms."""
    slopes = []
    for count in _STREAMS:
        slopes += _measure(count)
    return slopes


def _measure(count: int) -> list[_Slope]:
    arguments = ("--tokens", str(_TOKENS))
    with capacity_messages.start_far_end("engine", *arguments) as ports:
        app = _Relay(int(ports[0]))
        server = pywsgi.WSGIServer((_HOST, 0), app, log=None, error_log=None)
        server.start()
        before = sizes.resident_bytes()
        callers = subprocess.Popen(
            [
                *(
                    sys.executable,
                    "-m",
                    "bench.capacity.capacity_far_end",
                    "callers",
                ),
                *("--port", str(server.server_port), "--count", str(count)),
            ],
            stdout=subprocess.DEVNULL,
        )
        try:
            while app.open < count:
                gevent.sleep(0.02)
            gc.collect()
            held = (sizes.resident_bytes() - before) / count
            rate, micros = _measure_window(app)
        finally:
            callers.kill()
            callers.wait()
            server.stop(timeout=0)
    return [
        _Slope(f"{count} streams: tokens relayed", rate, "/s"),
        _Slope(f"{count} streams: processor time", micros, "µs/token"),
        _Slope(f"{count} streams: resident, each", held, "B"),
    ]


def _measure_window(app: _Relay) -> tuple[float, float]:
    tokens = app.tokens
    processor, started = time.process_time(), time.monotonic()
    gevent.sleep(_WINDOW)
    processor = time.process_time() - processor
    relayed = app.tokens - tokens
    seconds = time.monotonic() - started
    return relayed / seconds, processor / max(1, relayed) * 1e6
