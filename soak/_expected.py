"""Expected responses of a replica, and settings that both sides share."""

import hashlib
import re
from typing import Final

ONCE: Final = "/once/"
READ: Final = "/read/"
STREAM: Final = "/stream/"
# Streams that take as long as a stop leaves to what runs.
LONG: Final = "/long/"
LONG_EVENTS: Final = 14
LONG_EVENT_SECONDS: Final = 0.3
LONG_TIMEOUT_SECONDS: Final = 8.0
SIGNATURE: Final = "soak"
# Body of a request that crashes each replica that begins to run it.
CRASHING: Final = b'{"crash": true}'
CRASHING_NAME: Final = "crash"
# How long a replica that starts during a run is cold, the requests per second
# that it can serve while cold, and the number above which it crashes.
COLD_SECONDS: Final = 1.5
COLD_PER_SECOND: Final = 6.0
COLD_CRASH_RATE: Final = 1.5 * COLD_PER_SECOND + 5
# Rejections in a second that a brittle replica survives, and the seconds after
# which more of them crash it.
TOLERATED_REJECTIONS: Final = 2
BRITTLE_NOTICE: Final = 3.0
# Team of the callers whose requests are many times its usual for a while.
SURGING_TEAM: Final = "surging"
# Kind of the record that a daemon asked a replica which contexts it holds.
LIST_REPORT: Final = "kv-list"
# Value of Retry-After in a rejection by a replica, in whole seconds.
BACKOFF_SECONDS: Final = 3
# Software versions of replicas.
VERSIONS: Final = ("v1", "v2")
# Part of a prompt that crashes each replica that begins to answer it.
BAD_PART: Final = "bad0bad0bad0bad0"
_SHARED_TOKENS = 4000
_OWN_TOKENS = 500
_EVENT = re.compile(rb"id: (\d+)\ndata: \S+ \d+ (\S+)\n\n")
_MIN_EVENTS = 3
_EVENT_COUNT_RANGE = 12


def response_body(attempt: str) -> bytes:
    """Return the complete body of a response that is not a stream."""
    digest = hashlib.sha256(attempt.encode()).hexdigest()
    return (digest * (1 + int(digest[0], 16))).encode()


def event_count(attempt: str) -> int:
    """Return the number of events of a stream."""
    digest = hashlib.sha256(attempt.encode()).digest()
    return _MIN_EVENTS + digest[0] % _EVENT_COUNT_RANGE


def format_event(
    stream: str, number: int, version: str = VERSIONS[0]
) -> bytes:
    """Return one event of a stream; events are numbered from 1."""
    return f"id: {number}\ndata: {stream} {number} {version}\n\n".encode()


def stream_body(
    stream: str, version: str = VERSIONS[0], *, after: int = 0
) -> bytes:
    """Return the complete body of a stream, or the part after an event.

    Parameters
    ----------
    stream : str
        Attempt that brings its first event.
    version : str
        Version of the replicas that make it.
    after : int
        Number of the last event that is left out.
    """
    numbers = range(after + 1, event_count(stream) + 1)
    return b"".join(
        format_event(stream, number, version) for number in numbers
    )


def parse_events(body: bytes) -> list[tuple[int, str]]:
    """Return the number and the version of each complete event."""
    return [
        (int(number), version.decode())
        for number, version in _EVENT.findall(body)
    ]


def bad_prompt_fields(attempt: str) -> dict[str, str]:
    """Return the fields of a prompt with the bad part."""
    tokens = _SHARED_TOKENS + _OWN_TOKENS
    return {
        "X-Prompt-Prefix": (
            f"{BAD_PART}:{_SHARED_TOKENS},{attempt}:{_OWN_TOKENS}"
        ),
        "X-Token-Counts": f"{tokens},{event_count(attempt)}",
    }


def has_bad_part(prompt: str) -> bool:
    """Return whether a prompt shares the bad part."""
    return prompt.startswith(f"{BAD_PART}:")
