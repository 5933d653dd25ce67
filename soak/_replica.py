"""A replica process that serves requests and records its runs in a ledger.

The ledger entry is written before the work begins, so that a run is recorded
even if the replica is killed during it.
"""

from gevent import monkey

monkey.patch_all()

# flake8: noqa: E402
import collections
from collections.abc import Iterator
import contextlib
import json
import math
import os
import random
import signal
import sys
import time
from typing import Any
from urllib import request as urllib

import gevent

from soak import _expected
from soak import _held_contexts
from soak import _run_plan
from soak import _slowness
from standins import _http

HEARTBEAT_SECONDS = 0.4
_DRAIN_SECONDS = 2.0
_LINGER_SECONDS = 1.5
_WORK_SECONDS = (0.005, 0.08)
_EVENT_SECONDS = 0.03
_TRUNCATION_PROBABILITY = 0.02
_FAILURE_PROBABILITY = 0.03
_CRASH_SECONDS = 0.1
_NO_ANSWER_SECONDS = 5.0


class Replica:
    """One replica.

    Parameters
    ----------
    settings : dict
        id, service, port, zone, version, address (where daemons reach it), store
        (URL), ledger, ends and words (paths of the records of runs, of their
        ends and of reports), seed, cold (whether it starts cold), slots, load_report (value of a
        LoadReport).
    """

    def __init__(self, settings: dict[str, Any]) -> None:
        self._settings = settings
        self._random = random.Random(settings["seed"])
        self._state = "serving"
        self._cold_until = time.monotonic()
        if settings["cold"]:
            self._cold_until += _expected.COLD_SECONDS
        self._request_times: collections.deque[float] = collections.deque()
        self._is_leaving = False
        self._is_rejecting = False
        self._is_failing = False
        self._brittle_since = math.inf
        self._rejected_at: collections.deque[float] = collections.deque()
        self._failures = random.Random(f"failures {settings['seed']}")
        self._failure = "status"
        self._failing_part = 1.0
        self._in_flight = 0
        self._load_report = _run_plan.LoadReport(settings["load_report"])
        self._slowness = _slowness.Slowness(
            seed=settings["seed"],
            varies=self._load_report is _run_plan.LoadReport.SLOWNESS,
            now=time.monotonic(),
        )
        self._held_contexts = _held_contexts.HeldContexts(
            seed=settings["seed"]
        )
        self._ledger = _open_ledger(settings["ledger"])
        self._reports = _open_ledger(settings["words"])
        self._ends = _open_ledger(settings["ends"])

    def answer(self, request: _http.Request) -> _http.Answer:
        """Handle a request of a daemon."""
        if request.path == _held_contexts.PATH:
            self._record_report(_expected.LIST_REPORT, "-")
            return self._held_contexts.answer()
        attempt = request.header("X-Attempt-Id")
        expected = request.header("X-Expected-Replica")
        if expected != self._settings["id"]:
            return _http.bytes_answer(421, b"")
        if self._is_rejecting:
            return self._reject(attempt)
        if self._is_brittle and self._in_flight >= self._settings["slots"]:
            return self._reject_for_room(attempt)
        self._record_run(attempt, request.path)
        self._crash_if_overloaded()
        if _expected.has_bad_part(request.header("X-Prompt-Prefix")):
            gevent.sleep(_CRASH_SECONDS)
            os._exit(1)
        if request.body == _expected.CRASHING:
            gevent.sleep(_CRASH_SECONDS)
            os._exit(1)
        with self._held(attempt):
            self._work(self._random.uniform(*_WORK_SECONDS))
            self._held_contexts.add(request)
            load_fields = self._load_fields()
            if (
                self._is_failing
                and self._failures.random() < self._failing_part
            ):
                return self._fail(attempt)
        fields = (
            ("X-Attempt-Id", attempt),
            ("X-Response-Signature", _expected.SIGNATURE),
            ("Keep-Alive", "timeout=5"),
            *load_fields,
            *self._leaving_fields(attempt),
            *self._brittle_fields(),
        )
        if request.path.startswith(_expected.STREAM):
            return self._stream(request, attempt, fields)
        if request.path.startswith(_expected.LONG):
            return self._long_stream(attempt, fields)
        if self._random.random() < _FAILURE_PROBABILITY:
            return _http.bytes_answer(500, b"broken", fields)
        answer = _http.bytes_answer(
            200, _expected.response_body(attempt), fields
        )
        if self._random.random() < _TRUNCATION_PROBABILITY:
            return _http.truncate(answer)
        return answer

    @contextlib.contextmanager
    def _held(self, attempt: str) -> Iterator[None]:
        """Count a request as held, and record until when it was."""
        self._in_flight += 1
        try:
            yield
        finally:
            self._in_flight -= 1
            line = f"{time.monotonic()} {self._settings['id']} {attempt}\n"
            os.write(self._ends, line.encode())

    def _work(self, seconds: float) -> None:
        percent = self._slowness.percent(now=time.monotonic())
        gevent.sleep(seconds * percent / 100)

    def _load_fields(self) -> tuple[tuple[str, str], ...]:
        if self._load_report is _run_plan.LoadReport.NONE:
            return ()
        slots = self._settings["slots"]
        running = min(self._in_flight, slots)
        figures = [running, self._in_flight - running, slots]
        if self._load_report is _run_plan.LoadReport.SLOWNESS:
            figures.append(self._slowness.percent(now=time.monotonic()))
        return (("X-Replica-Load", ",".join(map(str, figures))),)

    def _reject(self, attempt: str) -> _http.Answer:
        self._record_report("backoff", attempt)
        fields = (
            ("X-Attempt-Id", attempt),
            ("X-Not-Executed", "1"),
            ("Retry-After", str(_expected.BACKOFF_SECONDS)),
        )
        return _http.bytes_answer(503, b"", fields)

    @property
    def _is_brittle(self) -> bool:
        return self._brittle_since < math.inf

    def _brittle_fields(self) -> tuple[tuple[str, str], ...]:
        if not self._is_brittle:
            return ()
        return (("Server-Brittle", str(_expected.TOLERATED_REJECTIONS)),)

    def _reject_for_room(self, attempt: str) -> _http.Answer:
        """Reject a request; crash if that happens too often in a second."""
        now = time.monotonic()
        self._rejected_at.append(now)
        while self._rejected_at[0] <= now - 1.0:
            self._rejected_at.popleft()
        is_fragile = now - self._brittle_since > _expected.BRITTLE_NOTICE
        if is_fragile and (
            len(self._rejected_at) > _expected.TOLERATED_REJECTIONS
        ):
            with open(self._settings["ledger"] + ".brittle", "a") as ledger:
                ledger.write(f"{now} {self._settings['id']}\n")
            os._exit(1)
        fields = (("X-Attempt-Id", attempt), ("X-Not-Executed", "1"))
        return _http.bytes_answer(503, b"", (*fields, *self._brittle_fields()))

    def _fail(self, attempt: str) -> _http.Answer:
        if self._failure == "status":
            fields = (("X-Attempt-Id", attempt),)
            return _http.bytes_answer(500, b"failing", fields)
        if self._failure == "silence":
            gevent.sleep(_NO_ANSWER_SECONDS)
        raise _http.ConnectionCut()

    def _leaving_fields(self, attempt: str) -> tuple[tuple[str, str], ...]:
        if not self._is_leaving:
            return ()
        self._record_report("leaving", attempt)
        return (("Server-Leaving", "1"),)

    def _stream(
        self,
        request: _http.Request,
        attempt: str,
        fields: tuple[tuple[str, str], ...],
    ) -> _http.Answer:
        first = int(request.header("Last-Event-Id", "0")) + 1
        stream = request.header("Resumes") or attempt
        version = self._settings["version"]
        truncates = self._random.random() < _TRUNCATION_PROBABILITY

        def events() -> Iterator[bytes]:
            with self._held(attempt):
                for number in range(first, _expected.event_count(stream) + 1):
                    event = _expected.format_event(stream, number, version)
                    if truncates and number > first:
                        yield event[: len(event) // 2]
                        raise _http.ConnectionCut()
                    yield event
                    self._work(_EVENT_SECONDS)

        kind = ("Content-Type", "text/event-stream")
        return _http.Answer(status=200, headers=(kind, *fields), body=events())

    def _long_stream(
        self, attempt: str, fields: tuple[tuple[str, str], ...]
    ) -> _http.Answer:
        version = self._settings["version"]

        def events() -> Iterator[bytes]:
            with self._held(attempt):
                for number in range(1, _expected.LONG_EVENTS + 1):
                    yield _expected.format_event(attempt, number, version)
                    gevent.sleep(_expected.LONG_EVENT_SECONDS)

        kind = ("Content-Type", "text/event-stream")
        return _http.Answer(status=200, headers=(kind, *fields), body=events())

    def _record_run(self, attempt: str, path: str) -> None:
        line = f"{time.monotonic()} {self._settings['id']} {attempt} {path}\n"
        os.write(self._ledger, line.encode())

    def _record_report(self, kind: str, attempt: str) -> None:
        line = f"{time.monotonic()} {self._settings['id']} {attempt} {kind}\n"
        os.write(self._reports, line.encode())

    def _crash_if_overloaded(self) -> None:
        """Crash if a cold replica received too many requests in one second."""
        now = time.monotonic()
        self._request_times.append(now)
        while self._request_times[0] <= now - 1.0:
            self._request_times.popleft()
        is_over = len(self._request_times) > _expected.COLD_CRASH_RATE
        if is_over and now < self._cold_until:
            line = f"{now} {self._settings['id']} {len(self._request_times)}\n"
            with open(self._settings["ledger"] + ".cold", "a") as ledger:
                ledger.write(line)
            os._exit(1)

    def register_forever(self) -> None:
        """Write the entry, and renew it before it expires."""
        while True:
            self._register()
            gevent.sleep(HEARTBEAT_SECONDS)

    def _register(self) -> None:
        entry = {
            "service": self._settings["service"],
            "address": self._settings["address"],
            "zone": self._settings["zone"],
            "version": self._settings["version"],
            "slots": self._settings["slots"],
            "state": self._state,
            "cold_remaining_ms": self._cold_milliseconds(),
        }
        body = {"key": self._settings["id"], "entry": entry}
        try:
            call = urllib.Request(
                self._settings["store"] + "/soak/beat",
                data=json.dumps(body).encode(),
            )
            urllib.urlopen(call, timeout=1.0).close()
        except OSError as error:
            print(f"registration failed: {error}", flush=True)

    def _cold_milliseconds(self) -> int:
        remaining = self._cold_until - time.monotonic()
        return max(0, int(1000 * remaining))

    def drain(self) -> None:
        """Register as draining, go on serving for a while, and exit."""
        self._is_leaving = True
        self._state = "draining"
        self._register()
        gevent.sleep(_DRAIN_SECONDS + _LINGER_SECONDS)
        os._exit(0)

    def announce_leaving(self) -> None:
        """Announce leaving in responses, but not in the registered entry."""
        self._is_leaving = True

    def toggle_rejecting(self) -> None:
        """Start to reject all requests, or stop rejecting them."""
        self._is_rejecting = not self._is_rejecting

    def toggle_failing(self) -> None:
        """Start to fail some or all requests, or stop failing them.

        Its entry stays as it is, as that of a replica whose health check
        passes.
        """
        self._is_failing = not self._is_failing
        self._failure = self._failures.choice(["status", "reset", "silence"])
        self._failing_part = self._failures.choice([0.5, 1.0])

    def toggle_brittle(self) -> None:
        """Start to crash of too many rejections, or stop doing so."""
        is_brittle = self._is_brittle
        self._brittle_since = math.inf if is_brittle else time.monotonic()

    def toggle_slow(self) -> None:
        """Start to work slowly, or stop working slowly."""
        self._slowness.is_slow = not self._slowness.is_slow


def _open_ledger(path: str) -> int:
    return os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT)


def main() -> None:
    """Run one replica until the process is terminated."""
    replica = Replica(json.loads(sys.argv[1]))
    _http.server(replica.answer, json.loads(sys.argv[1])["port"])
    gevent.spawn(replica.register_forever)
    gevent.signal_handler(signal.SIGTERM, gevent.spawn, replica.drain)
    gevent.signal_handler(signal.SIGUSR1, replica.toggle_rejecting)
    gevent.signal_handler(signal.SIGURG, replica.toggle_brittle)
    gevent.signal_handler(signal.SIGHUP, replica.toggle_slow)
    gevent.signal_handler(signal.SIGWINCH, replica.toggle_failing)
    gevent.signal_handler(signal.SIGUSR2, replica.announce_leaving)
    print("READY", flush=True)
    gevent.get_hub().join()


if __name__ == "__main__":
    main()
