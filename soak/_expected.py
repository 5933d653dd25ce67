"""What a replica answers to an attempt, as callers expect it."""

import hashlib
from typing import Final

ONCE: Final = "/once/"
READ: Final = "/read/"
STREAM: Final = "/stream/"
SIGNATURE: Final = "soak"
# Body of a request under which each replica ends that begins to run it.
CRASHING: Final = b'{"crash": true}'
CRASHING_NAME: Final = "crash"
# For how long a replica that starts during a run is cold, the requests a
# second that it stands meanwhile, and how many in one second end it.
COLD_SECONDS: Final = 1.5
COLD_PER_SECOND: Final = 6.0
COLD_CRASH_RATE: Final = 1.5 * COLD_PER_SECOND + 5
# What a replica that turns a request away asks for, in whole seconds.
BACKOFF_SECONDS: Final = 3
_MIN_EVENTS = 3
_EVENT_COUNT_RANGE = 12


def response_body(attempt: str) -> bytes:
    """Give the whole body of a plain answer."""
    digest = hashlib.sha256(attempt.encode()).hexdigest()
    return (digest * (1 + int(digest[0], 16))).encode()


def event_count(attempt: str) -> int:
    """Give the number of events of a stream."""
    digest = hashlib.sha256(attempt.encode()).digest()
    return _MIN_EVENTS + digest[0] % _EVENT_COUNT_RANGE


def format_event(attempt: str, number: int) -> bytes:
    """Give one event, numbered from 1."""
    return f"id: {number}\ndata: {attempt} {number}\n\n".encode()


def stream_body(attempt: str) -> bytes:
    """Give a whole stream."""
    numbers = range(1, event_count(attempt) + 1)
    return b"".join(format_event(attempt, number) for number in numbers)
