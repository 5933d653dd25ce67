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
COLD_MOST: Final = 1.5 * COLD_PER_SECOND + 5
# What a replica that turns a request away asks for, in whole seconds.
BACKOFF_SECONDS: Final = 3
_LEAST_EVENTS = 3
_EVENT_SPREAD = 12


def body_of(attempt: str) -> bytes:
    """Give the whole body of a plain answer."""
    digest = hashlib.sha256(attempt.encode()).hexdigest()
    return (digest * (1 + int(digest[0], 16))).encode()


def count_of(attempt: str) -> int:
    """Give the number of events of a stream."""
    digest = hashlib.sha256(attempt.encode()).digest()
    return _LEAST_EVENTS + digest[0] % _EVENT_SPREAD


def event_of(attempt: str, number: int) -> bytes:
    """Give one event, numbered from 1."""
    return f"id: {number}\ndata: {attempt} {number}\n\n".encode()


def stream_of(attempt: str) -> bytes:
    """Give a whole stream."""
    numbers = range(1, count_of(attempt) + 1)
    return b"".join(event_of(attempt, number) for number in numbers)
