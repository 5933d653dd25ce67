"""Callers that reuse connections and record the outcome of each attempt."""

from collections.abc import Callable
import enum
from http import client as http_client
import random
import time
from typing import NamedTuple
import uuid

import gevent

from soak import _expected

TIMEOUT_SECONDS = {
    _expected.ONCE: 2.0,
    _expected.READ: 2.0,
    _expected.STREAM: 4.0,
}
_PAUSE_SECONDS = (0.005, 0.06)
_CRASH_PAUSE_SECONDS = (0.4, 1.2)
_DISCONNECT_PROBABILITY = 0.03
_NEW_KEY_PROBABILITY = 0.2
HOST = "soak.example"


class Completion(enum.Enum):
    """How an attempt ended for its caller."""

    ANSWERED = "answered"
    TRUNCATED = "response truncated"
    NO_RESPONSE = "closed without a response"
    NO_CONNECTION = "no connection"
    TIMED_OUT = "timed out"
    DISCONNECTED = "disconnected by caller"


class AddedKey(NamedTuple):
    """An API key that the operator added, and when the store accepted it."""

    key: str
    accepted_at: float


class Outcome(NamedTuple):
    """The outcome of one attempt, as its caller observed it.

    Attributes
    ----------
    started, ended : float
        Monotonic seconds.
    reused : bool
        Whether its connection had carried an earlier request.
    crashes : bool
        Whether it crashes each replica that runs it.
    key_accepted_at : float or None
        When its key was accepted, if it was added during the run.
    """

    attempt: str
    path: str
    daemon: int
    started: float
    ended: float
    completion: Completion
    status: int
    body: bytes
    signed: bool
    reused: bool
    crashes: bool = False
    key_accepted_at: float | None = None


class Caller:
    """A caller that sends one request after the other.

    Parameters
    ----------
    addresses : list of (str, int)
        The daemons' listeners.
    key : str
        API key.
    seed : int
        Determines the requests and when it disconnects early.
    newest_key : callable or None
        Returns the key that was added last.
    """

    def __init__(
        self,
        *,
        addresses: list[tuple[str, int]],
        key: str,
        seed: int,
        newest_key: Callable[[], AddedKey] | None = None,
    ) -> None:
        self._newest_key = newest_key
        self._addresses = addresses
        self._key = key
        self._random = random.Random(seed)
        self._idle_connections: dict[int, http_client.HTTPConnection] = {}
        self.outcomes: list[Outcome] = []

    def run(self, until: float) -> None:
        """Send requests until a point in time."""
        while time.monotonic() < until:
            daemon = self._random.randrange(len(self._addresses))
            path = self._random.choice(list(TIMEOUT_SECONDS))
            disconnects = self._random.random() < _DISCONNECT_PROBABILITY
            added = None
            if (
                self._newest_key
                and self._random.random() < _NEW_KEY_PROBABILITY
            ):
                added = self._newest_key()
            self.outcomes.append(
                self.send(daemon, path, disconnects=disconnects, added=added)
            )
            gevent.sleep(self._random.uniform(*_PAUSE_SECONDS))

    def crash(self, until: float, path: str) -> None:
        """Send the request that crashes replicas until a point in time."""
        while time.monotonic() < until:
            daemon = self._random.randrange(len(self._addresses))
            self.outcomes.append(self.send(daemon, path, crashes=True))
            gevent.sleep(self._random.uniform(*_CRASH_PAUSE_SECONDS))

    def send(
        self,
        daemon: int,
        path: str,
        *,
        disconnects: bool = False,
        crashes: bool = False,
        added: AddedKey | None = None,
    ) -> Outcome:
        """Make one attempt, with the default key unless one was added."""
        attempt = uuid.UUID(int=self._random.getrandbits(128)).hex
        started = time.monotonic()
        connection = self._idle_connections.pop(daemon, None)
        reused = connection is not None
        if connection is None:
            connection = http_client.HTTPConnection(
                *self._addresses[daemon], timeout=TIMEOUT_SECONDS[path] + 1.0
            )
        status, body, signed = 0, b"", False
        try:
            if connection.sock is None:
                connection.connect()
        except OSError:
            completion = Completion.NO_CONNECTION
        else:
            completion, status, body, signed = self._exchange(
                connection,
                daemon,
                attempt,
                path,
                added.key if added else self._key,
                disconnects,
                crashes,
            )
        return Outcome(
            attempt=attempt,
            path=path,
            daemon=daemon,
            started=started,
            ended=time.monotonic(),
            completion=completion,
            status=status,
            body=body,
            signed=signed,
            reused=reused,
            crashes=crashes,
            key_accepted_at=added.accepted_at if added else None,
        )

    def _exchange(
        self,
        connection: http_client.HTTPConnection,
        daemon: int,
        attempt: str,
        path: str,
        key: str,
        disconnects: bool,
        crashes: bool,
    ) -> tuple[Completion, int, bytes, bool]:
        fields = {
            "Host": HOST,
            "X-Attempt-Id": attempt,
            "Authorization": f"Bearer {key}",
            "X-Deadline-Ms": str(int(TIMEOUT_SECONDS[path] * 1000)),
        }
        status, signed = 0, False
        try:
            body = _expected.CRASHING if crashes else b"{}"
            name = _expected.CRASHING_NAME if crashes else "x"
            connection.request("POST", f"{path}{name}", body, fields)
            if disconnects:
                gevent.sleep(0.01)
                connection.close()
                return Completion.DISCONNECTED, 0, b"", False
            response = connection.getresponse()
            status = response.status
            signed = bool(response.getheader("X-Response-Signature"))
            body = response.read()
        except TimeoutError:
            connection.close()
            return Completion.TIMED_OUT, status, b"", signed
        except (OSError, http_client.HTTPException):
            connection.close()
            completion = (
                Completion.TRUNCATED if status else Completion.NO_RESPONSE
            )
            return completion, status, b"", signed
        if response.will_close:
            connection.close()
        else:
            self._idle_connections[daemon] = connection
        return Completion.ANSWERED, status, body, signed
