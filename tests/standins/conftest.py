"""Fixtures that run stand-ins as processes on free ports."""

import json
import pathlib
import socket
import subprocess
import sys
import time
from typing import Any
from typing import Callable
from typing import Iterator
import urllib.error
import urllib.request

import pytest

DEADLINE_SECONDS = 10.0
ROOT = pathlib.Path(__file__).parents[2]


class StandIn:
    """A stand-in's process and the ports that it listens on."""

    def __init__(self, *arguments: str) -> None:
        command = [sys.executable, "-m", "standins", *arguments]
        self.process = subprocess.Popen(
            [*command, "--max-seconds", "60"],
            stdout=subprocess.PIPE,
            text=True,
            cwd=ROOT,
        )
        assert self.process.stdout is not None
        words = self.process.stdout.readline().split()
        assert words[0] == "READY"
        self.ports = [int(word) for word in words[1:]]
        self.address = f"127.0.0.1:{self.ports[0]}"

    def call(
        self,
        path: str,
        body: Any = None,
        *,
        port: int | None = None,
        **headers: str,
    ) -> tuple[int, Any, Any]:
        """Return status, headers and raw body; with a body, send a POST."""
        request = urllib.request.Request(
            f"http://127.0.0.1:{port or self.ports[0]}{path}",
            None if body is None else json.dumps(body).encode(),
            {key.replace("_", "-"): headers[key] for key in headers},
        )
        try:
            with urllib.request.urlopen(request, timeout=10) as answer:
                return answer.status, answer.headers, answer.read()
        except urllib.error.HTTPError as error:
            return error.code, error.headers, error.read()

    def json(self, path: str, body: Any = None, **options: Any) -> Any:
        """Return the decoded JSON body of an answer."""
        return json.loads(self.call(path, body, **options)[2])

    def raw(self, path: str, body: Any, request_id: str) -> bytes:
        """Return all bytes received until the connection is closed."""
        with self.open_post(path, body, request_id) as sock:
            return b"".join(iter(lambda: sock.recv(65536), b""))

    def open_post(
        self, path: str, body: Any, request_id: str
    ) -> socket.socket:
        """Return a connection on which a POST request was sent."""
        data = json.dumps(body).encode()
        head = (
            f"POST {path} HTTP/1.1\r\nHost: x\r\nX-Request-Id: {request_id}"
            f"\r\nContent-Length: {len(data)}\r\n\r\n"
        )
        sock = socket.create_connection(("127.0.0.1", self.ports[0]), 10)
        sock.sendall(head.encode() + data)
        return sock

    def stop(self) -> None:
        """Terminate the process."""
        self.process.terminate()
        self.process.wait(10)
        assert self.process.stdout is not None
        self.process.stdout.close()


def eventually(condition: Callable[[], bool]) -> None:
    """Wait until `condition` holds."""
    deadline = time.monotonic() + DEADLINE_SECONDS
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.01)


@pytest.fixture(name="eventually")
def eventually_fixture() -> Callable[[Callable[[], bool]], None]:
    return eventually


@pytest.fixture
def start() -> Iterator[Callable[..., StandIn]]:
    started: list[StandIn] = []

    def start_one(*arguments: str) -> StandIn:
        started.append(StandIn(*arguments))
        return started[-1]

    yield start_one
    for one in started:
        one.stop()


@pytest.fixture
def platform(start: Callable[..., StandIn]) -> StandIn:
    return start("platform")


@pytest.fixture
def engine(start: Callable[..., StandIn]) -> StandIn:
    speeds = ("--token-interval", "0.005", "--resume-grace", "0.5")
    return start("engine", "--id", "e", "--pool", "p", "--slots", "1", *speeds)
