"""A replica as a process: serves, registers, keeps a ledger of its runs.

The ledger is appended to before the work begins, so that a run is known also
when the replica is killed in the middle of it.
"""

from gevent import monkey

monkey.patch_all()

# flake8: noqa: E402
import collections
from collections.abc import Iterator
import json
import os
import random
import signal
import sys
import time
from typing import Any
from urllib import request as urllib

import gevent

from soak import _expected
from standins import _http

HEARTBEAT_SECONDS = 0.4
_DRAIN_SECONDS = 2.0
_LINGER_SECONDS = 1.5
_WORK_SECONDS = (0.005, 0.08)
_EVENT_SECONDS = 0.03
_TRUNCATED = 0.02
_FAILED = 0.03
_CRASH_SECONDS = 0.1


class Replica:
    """One replica.

    Parameters
    ----------
    settings : dict
        id, service, port, zone, address (where daemons reach it), store
        (URL), ledger and words (paths), seed, cold (whether it starts
        cold).
    """

    def __init__(self, settings: dict[str, Any]) -> None:
        self._settings = settings
        self._random = random.Random(settings["seed"])
        self._state = "serving"
        self._cold_until = time.monotonic()
        if settings["cold"]:
            self._cold_until += _expected.COLD_SECONDS
        self._begun_at: collections.deque[float] = collections.deque()
        self._is_leaving = False
        self._is_shedding = False
        self._ledger = _ledger_at(settings["ledger"])
        self._words = _ledger_at(settings["words"])

    def answer(self, request: _http.Request) -> _http.Answer:
        """Answer one request of a daemon."""
        attempt = request.header("X-Attempt-Id")
        expected = request.header("X-Expected-Replica")
        if expected != self._settings["id"]:
            return _http.bytes_answer(421, b"")
        if self._is_shedding:
            return self._turn_away(attempt)
        self._note_run(attempt, request.path)
        self._end_if_swamped()
        if request.body == _expected.CRASHING:
            gevent.sleep(_CRASH_SECONDS)
            os._exit(1)
        gevent.sleep(self._random.uniform(*_WORK_SECONDS))
        fields = (
            ("X-Attempt-Id", attempt),
            ("X-Response-Signature", _expected.SIGNATURE),
            ("Keep-Alive", "timeout=5"),
            *self._leaving_fields(attempt),
        )
        if request.path.startswith(_expected.STREAM):
            return self._stream(request, attempt, fields)
        if self._random.random() < _FAILED:
            return _http.bytes_answer(500, b"broken", fields)
        answer = _http.bytes_answer(200, _expected.body_of(attempt), fields)
        if self._random.random() < _TRUNCATED:
            return _http.truncate(answer)
        return answer

    def _turn_away(self, attempt: str) -> _http.Answer:
        self._note_word("backoff", attempt)
        fields = (
            ("X-Attempt-Id", attempt),
            ("X-Not-Executed", "1"),
            ("Retry-After", str(_expected.BACKOFF_SECONDS)),
        )
        return _http.bytes_answer(503, b"", fields)

    def _leaving_fields(self, attempt: str) -> tuple[tuple[str, str], ...]:
        if not self._is_leaving:
            return ()
        self._note_word("leaving", attempt)
        return (("Server-Leaving", "1"),)

    def _stream(
        self,
        request: _http.Request,
        attempt: str,
        fields: tuple[tuple[str, str], ...],
    ) -> _http.Answer:
        first = int(request.header("Last-Event-Id", "0")) + 1
        breaks = self._random.random() < _TRUNCATED

        def events() -> Iterator[bytes]:
            for number in range(first, _expected.count_of(attempt) + 1):
                event = _expected.event_of(attempt, number)
                if breaks and number > first:
                    yield event[: len(event) // 2]
                    raise _http.ConnectionCut()
                yield event
                gevent.sleep(_EVENT_SECONDS)

        kind = ("Content-Type", "text/event-stream")
        return _http.Answer(status=200, headers=(kind, *fields), body=events())

    def _note_run(self, attempt: str, path: str) -> None:
        line = f"{time.monotonic()} {self._settings['id']} {attempt} {path}\n"
        os.write(self._ledger, line.encode())

    def _note_word(self, word: str, attempt: str) -> None:
        line = f"{time.monotonic()} {self._settings['id']} {attempt} {word}\n"
        os.write(self._words, line.encode())

    def _end_if_swamped(self) -> None:
        """Crash under more than a cold replica stands in one second."""
        now = time.monotonic()
        self._begun_at.append(now)
        while self._begun_at[0] <= now - 1.0:
            self._begun_at.popleft()
        is_over = len(self._begun_at) > _expected.COLD_MOST
        if is_over and now < self._cold_until:
            line = f"{now} {self._settings['id']} {len(self._begun_at)}\n"
            with open(self._settings["ledger"] + ".cold", "a") as ledger:
                ledger.write(line)
            os._exit(1)

    def register_forever(self) -> None:
        """Write the entry, and again before it lapses."""
        while True:
            self._register()
            gevent.sleep(HEARTBEAT_SECONDS)

    def _register(self) -> None:
        entry = {
            "service": self._settings["service"],
            "address": self._settings["address"],
            "zone": self._settings["zone"],
            "slots": 16,
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
            print(f"not registered: {error}", flush=True)

    def _cold_milliseconds(self) -> int:
        left = self._cold_until - time.monotonic()
        return max(0, int(1000 * left))

    def drain(self) -> None:
        """Say that it leaves, serve a little longer, and go."""
        self._is_leaving = True
        self._state = "draining"
        self._register()
        gevent.sleep(_DRAIN_SECONDS + _LINGER_SECONDS)
        os._exit(0)

    def say_leaving(self) -> None:
        """Say in answers only that it leaves."""
        self._is_leaving = True

    def shed(self) -> None:
        """Turn all requests away from now on, or none any more."""
        self._is_shedding = not self._is_shedding


def _ledger_at(path: str) -> int:
    return os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT)


def main() -> None:
    """Run one replica until it is ended."""
    replica = Replica(json.loads(sys.argv[1]))
    _http.server(replica.answer, json.loads(sys.argv[1])["port"])
    gevent.spawn(replica.register_forever)
    gevent.signal_handler(signal.SIGTERM, gevent.spawn, replica.drain)
    gevent.signal_handler(signal.SIGUSR1, replica.shed)
    gevent.signal_handler(signal.SIGUSR2, replica.say_leaving)
    print("READY", flush=True)
    gevent.get_hub().join()


if __name__ == "__main__":
    main()
