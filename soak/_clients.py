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
# In a run with waves, callers begin requests only in the first part of each
# period, all of them at the same time. The load at an owner is then far from
# the mean of a second before.
_WAVE_SECONDS = 2.0
_WAVE_PART = 0.4
_CRASH_PAUSE_SECONDS = (0.4, 1.2)
_DISCONNECT_PROBABILITY = 0.03
# Times that a caller takes up one stream.
_MAX_TRIES = 2
_READ_BYTES = 65536
_NEW_KEY_PROBABILITY = 0.2
# Number of chats whose requests share the greater part of their prompts, and
# tokens of that part and of the rest.
_CHATS = 16
_SHARED_TOKENS = 4000
_OWN_TOKENS = 500
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


class Response(NamedTuple):
    """What a caller received; `head_at` is in monotonic seconds."""

    completion: Completion
    status: int = 0
    body: bytes = b""
    signed: bool = False
    head_at: float | None = None


class TakenUp(NamedTuple):
    """A stream that a caller takes up.

    Attributes
    ----------
    stream : str
        Attempt that brought its first event.
    after : int
        Number of the last event that the caller has.
    """

    stream: str
    after: int


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
    head_at : float or None
        When the head of the response had arrived, None if it did not.
    has_bad_part : bool
        Whether its prompt has a part that crashes replicas.
    taken_up : TakenUp or None
        The stream that it takes up, None if it begins one.
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
    head_at: float | None = None
    team: str = ""
    has_bad_part: bool = False
    taken_up: TakenUp | None = None


class Caller:
    """A caller that sends one request after the other.

    Parameters
    ----------
    addresses : list of (str, int)
        The daemons' listeners.
    key : str
        API key.
    seed : int or str
        Determines the requests and when it disconnects early.
    newest_key : callable or None
        Returns the key that was added last.
    team : str
        Team of its key.
    sends_context : bool
        Whether its streams name the prompt's parts and lengths.
    has_waves : bool
        Whether it sends in clumps, at the same time as other such callers.
    """

    def __init__(
        self,
        *,
        addresses: list[tuple[str, int]],
        key: str,
        seed: int | str,
        newest_key: Callable[[], AddedKey] | None = None,
        team: str = "",
        sends_context: bool = False,
        has_waves: bool = False,
    ) -> None:
        self._has_waves = has_waves
        self._team = team
        self._sends_context = sends_context
        self._newest_key = newest_key
        self._addresses = addresses
        self._key = key
        self._random = random.Random(seed)
        # Of its own, so that a seed determines the same requests as before
        # callers took streams up.
        self._takeups = random.Random(f"take-ups {seed}")
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
            outcome = self.send(
                daemon, path, disconnects=disconnects, added=added
            )
            self.outcomes.append(outcome)
            if path == _expected.STREAM:
                self._take_up(outcome, until)
            gevent.sleep(self._random.uniform(*_PAUSE_SECONDS))
            if self._has_waves:
                gevent.sleep(until_next_wave(time.monotonic()))

    def _take_up(self, first: Outcome, until: float) -> None:
        """Take up a stream that broke after its first event, a few times."""
        if not outcome_breaks(first):
            return
        events = _expected.parse_events(first.body)
        for _ in range(_MAX_TRIES):
            if not events or time.monotonic() >= until:
                return
            daemon = self._takeups.randrange(len(self._addresses))
            outcome = self.send(
                daemon,
                _expected.STREAM,
                taken_up=TakenUp(first.attempt, events[-1][0]),
            )
            self.outcomes.append(outcome)
            if outcome.completion is Completion.ANSWERED:
                return
            events += _expected.parse_events(outcome.body)

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
        taken_up: TakenUp | None = None,
        has_bad_part: bool = False,
    ) -> Outcome:
        """Make one attempt, with the default key unless one was added."""
        generator = self._takeups if taken_up else self._random
        attempt = uuid.UUID(int=generator.getrandbits(128)).hex
        started = time.monotonic()
        connection = self._idle_connections.pop(daemon, None)
        reused = connection is not None
        if connection is None:
            connection = http_client.HTTPConnection(
                *self._addresses[daemon], timeout=timeout_of(path) + 1.0
            )
        try:
            if connection.sock is None:
                connection.connect()
        except OSError:
            response = Response(Completion.NO_CONNECTION)
        else:
            response = self._exchange(
                connection,
                daemon,
                attempt,
                path,
                added.key if added else self._key,
                disconnects,
                crashes,
                taken_up,
                has_bad_part,
            )
        return Outcome(
            attempt=attempt,
            path=path,
            daemon=daemon,
            started=started,
            ended=time.monotonic(),
            reused=reused,
            crashes=crashes,
            key_accepted_at=added.accepted_at if added else None,
            team=self._team,
            has_bad_part=has_bad_part,
            taken_up=taken_up,
            **response._asdict(),
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
        taken_up: TakenUp | None,
        has_bad_part: bool,
    ) -> Response:
        fields = {
            "Host": HOST,
            "X-Attempt-Id": attempt,
            "Authorization": f"Bearer {key}",
            "X-Deadline-Ms": str(int(timeout_of(path) * 1000)),
        }
        if self._sends_context and path == _expected.STREAM:
            fields.update(_context_fields(attempt))
        if has_bad_part:
            fields.update(_expected.bad_prompt_fields(attempt))
        if taken_up is not None:
            fields["Resumes"] = taken_up.stream
            fields["Last-Event-Id"] = str(taken_up.after)
        status, signed, head_at = 0, False, None
        received = bytearray()
        try:
            body = _expected.CRASHING if crashes else b"{}"
            name = _expected.CRASHING_NAME if crashes else "x"
            if has_bad_part:
                name = attempt
            connection.request("POST", f"{path}{name}", body, fields)
            if disconnects:
                gevent.sleep(0.01)
                connection.close()
                return Response(Completion.DISCONNECTED)
            response = connection.getresponse()
            head_at = time.monotonic()
            status = response.status
            signed = bool(response.getheader("X-Response-Signature"))
            # On an answer that is not chunked, `read1` misses the end.
            read = response.read1 if response.chunked else response.read
            while data := read(_READ_BYTES):
                received += data
            # Only a `read` without a limit reports a missing end itself.
            if response.length:
                raise http_client.IncompleteRead(
                    bytes(received), response.length
                )
        except TimeoutError:
            connection.close()
            return Response(
                Completion.TIMED_OUT, status, bytes(received), signed, head_at
            )
        except (OSError, http_client.HTTPException):
            connection.close()
            completion = (
                Completion.TRUNCATED if status else Completion.NO_RESPONSE
            )
            return Response(
                completion, status, bytes(received), signed, head_at
            )
        if response.will_close:
            connection.close()
        else:
            self._idle_connections[daemon] = connection
        return Response(
            Completion.ANSWERED, status, bytes(received), signed, head_at
        )


def timeout_of(path: str) -> float:
    """Return the seconds that a caller waits for an answer."""
    if path == _expected.LONG:
        return _expected.LONG_TIMEOUT_SECONDS
    return TIMEOUT_SECONDS[path]


def outcome_breaks(outcome: Outcome) -> bool:
    """Return whether an answer ended early, and not for its caller."""
    return outcome.completion in (Completion.TRUNCATED, Completion.TIMED_OUT)


def until_next_wave(now: float) -> float:
    """Return the seconds until callers send again, 0 during a wave."""
    phase = now % _WAVE_SECONDS
    is_sending = phase < _WAVE_PART * _WAVE_SECONDS
    return 0.0 if is_sending else _WAVE_SECONDS - phase


def _context_fields(attempt: str) -> dict[str, str]:
    """Return the fields of a prompt that one of several chats shares.

    The attempt determines the chat, so that nothing more is drawn for it.
    """
    chat = int(attempt, 16) % _CHATS
    tokens = _SHARED_TOKENS + _OWN_TOKENS
    return {
        "X-Prompt-Prefix": (
            f"{chat:032x}:{_SHARED_TOKENS},{attempt}:{_OWN_TOKENS}"
        ),
        "X-Token-Counts": f"{tokens},{_expected.event_count(attempt)}",
    }
